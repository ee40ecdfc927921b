package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/intake"
)

// Memory of the decoded form of a message, apart from its bytes: that of a value in an array or a map, and of
// an object, whose fields need none of the message.
const (
	decodedValueBytes  = 64
	decodedObjectBytes = 256
)

// envelopeBytes is the length of what precedes each message of a stream: flags, and its length in 4 bytes.
const envelopeBytes = 5

// Types of CBOR data items (RFC 8949, 3.1), and the least additional information that stands for a length of
// 1, 2, 4 or 8 bytes.
const (
	cborByteString    = 2
	cborTextString    = 3
	cborMap           = 5
	cborLongArgument  = 24
	cborAfterArgument = 28
	// cborIndefinite stands for an unknown length, of items that follow up to an end.
	cborIndefinite = 31
)

// decodedMemory returns an upper estimate of the memory of the decoded form of CBOR data, apart from its bytes.
// Data that is not well-formed is not decoded, so that its memory does not matter.
func decodedMemory(data []byte) gypsum.Bytes {
	memory := gypsum.Bytes(0)
	for len(data) > 0 {
		kind, info := data[0]>>5, data[0]&0x1f
		argument := uint64(info)
		data = data[1:]
		if info >= cborLongArgument && info < cborAfterArgument {
			length := 1 << (info - cborLongArgument)
			if len(data) < length {
				return memory
			}
			var padded [8]byte
			copy(padded[len(padded)-length:], data)
			argument, data = binary.BigEndian.Uint64(padded[:]), data[length:]
		}
		memory += decodedValueBytes
		switch kind {
		case cborMap:
			memory += decodedObjectBytes
		case cborByteString, cborTextString:
			if info == cborIndefinite {
				argument = 0 // each part is a string again
			}
			data = data[min(argument, uint64(len(data))):]
		}
	}
	return memory
}

// messageMemory is decodedMemory for the body of a request: a message or, in a stream, messages in envelopes.
func messageMemory(header http.Header, body []byte) gypsum.Bytes {
	if !strings.HasPrefix(header.Get("Content-Type"), "application/connect+") {
		return decodedMemory(body)
	}
	memory := gypsum.Bytes(0)
	for len(body) > envelopeBytes {
		length := min(uint64(binary.BigEndian.Uint32(body[1:])), uint64(len(body)-envelopeBytes))
		memory += decodedMemory(body[envelopeBytes : envelopeBytes+length])
		body = body[envelopeBytes+length:]
	}
	return memory
}

// countParts returns a handler that counts the decoded form of messages of daemons toward what the clients of
// a port hold, and refuses those that there is no room for before they are decoded.
func countParts(next http.Handler) http.Handler {
	var reader buffer.Reader
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		body, err := reader.ReadAll(io.LimitReader(r.Body, maxMessageBytes+1), intake.SmallBody, func(gypsum.Bytes) error { return nil })
		if err == nil {
			err = intake.Reserve(r, messageMemory(r.Header, body))
		}
		switch {
		case errors.Is(err, intake.ErrNoMemory):
			refuseMessage(w)
		case err != nil:
			http.Error(w, fmt.Sprintf("the message did not come whole: %v", err), http.StatusBadRequest)
		default:
			r.Body = io.NopCloser(bytes.NewReader(body))
			next.ServeHTTP(w, r)
		}
	})
}

// refuseMessage refuses a message that there is no memory for. Nothing was done with it.
func refuseMessage(w http.ResponseWriter) {
	w.Header().Set(intake.NotAcceptedHeader, "1")
	http.Error(w, "no memory left for messages", http.StatusServiceUnavailable)
}

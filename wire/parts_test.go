package wire

import (
	"bytes"
	"net/http"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/check"
)

// TestDecodedMemory checks that the parts of messages count, however they are encoded, and that strings count as
// one part each.
func TestDecodedMemory(t *testing.T) {
	is := is.New(t)
	is.True(decodedMemory(check.CBORObjects(1, 100_000)) >= 100_000*decodedObjectBytes)
	text, err := cbor.Marshal(map[string][]byte{"a": bytes.Repeat([]byte{0xa0}, 70_000), "b": {}})
	is.NoErr(err)
	is.Equal(int(decodedMemory(text)), decodedObjectBytes+5*decodedValueBytes)
	values, err := cbor.Marshal([]any{uint64(1) << 40, -1, 1.5, true, nil, "x"})
	is.NoErr(err)
	is.Equal(int(decodedMemory(values)), 7*decodedValueBytes)
	for _, parts := range [][]byte{{0x9f}, {0xbf}} { // of a length that is not stated
		content := append(bytes.Clone(parts), bytes.Repeat([]byte{0x60}, 1000)...)
		is.True(decodedMemory(append(content, 0xff)) >= 1000*decodedValueBytes)
	}
	chunks := append(append([]byte{0x5f}, bytes.Repeat([]byte{0x42, 0xa0, 0xa0}, 10)...), 0xff)
	is.Equal(int(decodedMemory(chunks)), 12*decodedValueBytes)
}

// TestMessageMemory checks that messages of a stream count without their envelopes, and that truncated data
// does no harm.
func TestMessageMemory(t *testing.T) {
	is := is.New(t)
	message, err := cbor.Marshal(&gypsum.ForwardedRequest{Header: http.Header{"A": {"x", "y"}}, Body: bytes.Repeat([]byte{0xa0}, 300)})
	is.NoErr(err)
	header := http.Header{"Content-Type": {"application/connect+cbor"}}
	envelope := append([]byte{0, 0, 0, byte(len(message) >> 8), byte(len(message))}, message...)
	is.Equal(messageMemory(header, append(bytes.Clone(envelope), envelope...)), 2*decodedMemory(message))
	is.Equal(messageMemory(http.Header{}, message), decodedMemory(message))
	for end := range envelope {
		is.True(messageMemory(header, envelope[:end]) <= decodedMemory(message))
		is.True(decodedMemory(message[:min(end, len(message))]) <= decodedMemory(message))
	}
}

// FuzzDecodedMemory checks that no data makes the estimate fail, and that it covers the parts of data that can be
// decoded.
func FuzzDecodedMemory(f *testing.F) {
	f.Add(check.CBORObjects(1, 3))
	f.Add([]byte{0x5f, 0x41, 0x01, 0xff})
	f.Add([]byte{0xc1, 0x1a, 0x51, 0x4b, 0x67, 0xb0})
	f.Fuzz(func(t *testing.T, data []byte) {
		memory := decodedMemory(data)
		var values []any
		if cbor.Unmarshal(data, &values) == nil && memory < gypsum.Bytes(len(values)*decodedValueBytes) {
			t.Errorf("%d bytes for %d values", memory, len(values))
		}
	})
}

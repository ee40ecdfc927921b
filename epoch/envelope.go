package epoch

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/gypsumhook/gypsum"
)

// envelopeKind is the type of a record in a stream.
type envelopeKind string

const (
	kindEpoch    envelopeKind = "epoch"
	kindRecord   envelopeKind = "record"
	kindSnapshot envelopeKind = "snapshot"
	// kindRead marks a read-only operation. It is never written to the log.
	kindRead envelopeKind = "read"
)

// envelope is the encoded form of each record in the log.
type envelope struct {
	Kind  envelopeKind `json:"kind"`
	Nonce string       `json:"nonce"`
	// Epoch is the newest epoch that a snapshot includes.
	Epoch gypsum.Offset `json:"epoch,omitempty"`
	// LastIncluded is the offset of the newest record that a snapshot includes.
	LastIncluded gypsum.Offset `json:"covers,omitempty"`
	Body         []byte        `json:"body,omitempty"`
}

// encodeEnvelope returns the CBOR encoding of an envelope.
func encodeEnvelope(env *envelope) []byte {
	data, err := cbor.Marshal(env)
	if err != nil {
		panic("envelope cannot be encoded: " + err.Error())
	}
	return data
}

// decodeEnvelope parses the CBOR encoding of an envelope.
func decodeEnvelope(data []byte) (*envelope, error) {
	var env envelope
	if err := cbor.Unmarshal(data, &env); err != nil {
		return nil, fmt.Errorf("decode envelope: %w", err)
	}
	return &env, nil
}

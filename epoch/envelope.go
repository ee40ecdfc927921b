package epoch

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/gypsumhook/gypsum"
)

// kind is what a record of a stream does.
type kind string

const (
	kindEpoch    kind = "epoch"
	kindRecord   kind = "record"
	kindSnapshot kind = "snapshot"
	// kindRead is a request to read only. It never stands in the log.
	kindRead kind = "read"
)

// envelope is the form of each record in the log.
type envelope struct {
	Kind  kind   `json:"kind"`
	Nonce string `json:"nonce"`
	// Epoch is the newest epoch that a snapshot includes.
	Epoch gypsum.Offset `json:"epoch,omitempty"`
	// LastIncluded is the newest offset that a snapshot includes.
	LastIncluded gypsum.Offset `json:"covers,omitempty"`
	Body         []byte        `json:"body,omitempty"`
}

// encode returns the envelope's bytes.
func encode(env *envelope) []byte {
	data, err := cbor.Marshal(env)
	if err != nil {
		panic("envelope cannot be encoded: " + err.Error())
	}
	return data
}

// decode returns the envelope of a record.
func decode(data []byte) (*envelope, error) {
	var env envelope
	if err := cbor.Unmarshal(data, &env); err != nil {
		return nil, fmt.Errorf("decode envelope: %w", err)
	}
	return &env, nil
}

package wire

import (
	"context"
	"encoding/hex"
	"net/http"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// failingStore fails each call with an error.
type failingStore struct {
	gypsum.KeyedStore
	err error
}

// Append implements gypsum.KeyedStore.
func (s *failingStore) Append(context.Context, gypsum.KeyedAppend) (gypsum.Offset, error) {
	return 0, s.err
}

// TestStoreErrorsOfPeers checks that a call through another daemon fails with the error of the
// store.
func TestStoreErrorsOfPeers(t *testing.T) {
	sentinels := []error{
		gypsum.ErrStoreRateLimited, gypsum.ErrStoreRefused, gypsum.ErrStoreFenced, gypsum.ErrStoreSequence, gypsum.ErrTruncated, gypsum.ErrStoreUnknown,
	}
	for _, sentinel := range sentinels {
		is := is.New(t)
		mux := http.NewServeMux()
		mux.Handle(StoreHandler(&failingStore{err: sentinel}))
		peers, cleanup := NewPeerClients()
		_, err := peers.StoreVia(serve(t, mux)).Append(t.Context(), gypsum.KeyedAppend{})
		for _, other := range sentinels {
			is.Equal(errors.Is(err, other), other == sentinel) // exactly this error
		}
		cleanup()
	}
}

// TestRateLimitForOlderBuilds guards against a response that older builds take for an unknown
// outcome. The bytes are those of commit 581280a, which had no code for the rate.
func TestRateLimitForOlderBuilds(t *testing.T) {
	is := is.New(t)
	content, err := cbor.Marshal(newStoreResponse(gypsum.ErrStoreRateLimited))
	is.NoErr(err)
	var older struct {
		ErrorCode string `cbor:"1,keyasint,omitempty"`
	}
	is.NoErr(cbor.Unmarshal(content, &older))
	is.Equal(older.ErrorCode, "refused")
	content, err = cbor.Marshal(newStoreResponse(gypsum.ErrStoreRefused))
	is.NoErr(err)
	is.Equal(hex.EncodeToString(content), "a1016772656675736564")
}

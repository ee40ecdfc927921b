package batch_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/fake"
)

// TestMemoryForBatches checks that batches are refused as not stored while the memory for them is used up,
// also those that are submitted at the same moment, that a single one is accepted whatever its size, and
// that others are accepted again once it has ended.
func TestMemoryForBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		backing.Latency = 4 * time.Millisecond
		manager := startManager(t, backing, "a")
		manager.Memory = 64 << 10
		time.Sleep(100 * time.Millisecond)
		is.NoErr(manager.AcceptBatch(t.Context(), newBatch("large", 200, 10)))
		time.Sleep(10 * time.Millisecond)
		err := manager.AcceptBatch(t.Context(), newBatch("next", 1, 10))
		is.True(errors.Is(err, batch.ErrTooManyItems) && errors.Is(err, gypsum.ErrStoreRefused))
		is.NoErr(manager.AcceptBatch(t.Context(), newBatch("large", 200, 10))) // accepted before
		is.NoErr(manager.EndBatch(t.Context(), "large"))
		time.Sleep(10 * time.Millisecond)
		results := make(chan error, 20)
		for i := range cap(results) {
			go func() { results <- manager.AcceptBatch(t.Context(), newBatch(fmt.Sprint("same-", i), 8, 10)) }()
		}
		accepted := 0
		for range cap(results) {
			if err := <-results; err == nil {
				accepted++
			} else {
				is.True(errors.Is(err, batch.ErrTooManyItems))
			}
		}
		is.Equal(accepted, 6) // of some 10 KiB each
	})
}

package batch_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/fake"
)

// countedReads counts the bytes of the bodies that are being read at a time.
type countedReads struct {
	gypsum.KeyedStore
	reads         atomic.Int64
	current, peak atomic.Int64
}

// Read implements gypsum.KeyedStore.
func (s *countedReads) Read(ctx context.Context, req gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	if req.Topic != topics.Bodies {
		return s.KeyedStore.Read(ctx, req)
	}
	s.reads.Add(1)
	current := s.current.Add(int64(req.Max))
	defer s.current.Add(-int64(req.Max))
	for {
		if peak := s.peak.Load(); current <= peak || s.peak.CompareAndSwap(peak, current) {
			break
		}
	}
	return s.KeyedStore.Read(ctx, req)
}

// TestReadersOfBodies guards against concurrent readers of bodies that make a daemon read a batch once for each of them,
// and hold as many copies. The load is 300 readers of three batches at one moment.
func TestReadersOfBodies(t *testing.T) {
	const (
		batches  = 3
		items    = 4
		bodySize = 16 << 10
		readers  = 300
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		backing.Latency = 20 * time.Millisecond
		accepting := startManager(t, backing, "a")
		for i := range batches {
			is.NoErr(accepting.AcceptBatch(t.Context(), newBatch(fmt.Sprint("b", i), items, bodySize)))
		}
		counted := &countedReads{KeyedStore: backing}
		manager := startManager(t, counted, "b")
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		for i := range readers {
			wg.Go(func() {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if i == 0 {
					time.AfterFunc(time.Millisecond, cancel) // the first reader leaves
				}
				body, err := manager.ItemBody(ctx, gypsum.BatchID(fmt.Sprint("b", i%batches)), gypsum.ItemID(fmt.Sprint("item-", i%items)))
				if i > 0 && (err != nil || len(body) != bodySize) {
					t.Errorf("reader %d: %d bytes, %v", i, len(body), err)
				}
			})
		}
		wg.Wait()
		t.Logf("%d reads, at most %d bytes at a time", counted.reads.Load(), counted.peak.Load())
		is.True(counted.peak.Load() <= batches*2*items*bodySize)
	})
}

// TestMemoryForReads checks that reads that there is no memory for fail at once, and that one which is larger than all of
// the memory is made alone.
func TestMemoryForReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		accepting := startManager(t, backing, "a")
		for _, id := range []string{"large", "other"} {
			is.NoErr(accepting.AcceptBatch(t.Context(), newBatch(id, 4, 16<<10)))
		}
		backing.Latency = 20 * time.Millisecond
		manager := startManager(t, backing, "b")
		manager.ReadMemory = buffer.NewPool(32 << 10)
		time.Sleep(time.Second)
		read := make(chan error)
		go func() {
			_, err := manager.ItemBody(t.Context(), "large", "item-0")
			read <- err
		}()
		time.Sleep(5 * time.Millisecond)
		startedAt := time.Now()
		_, err := manager.ItemBody(t.Context(), "other", "item-0")
		is.True(errors.Is(err, batch.ErrReadsFull))
		is.Equal(time.Since(startedAt), time.Duration(0)) // at once
		is.NoErr(<-read)
		_, err = manager.ItemBody(t.Context(), "other", "item-0")
		is.NoErr(err)
		is.Equal(manager.ReadMemory.Usage().Used, gypsum.Bytes(0))
	})
}

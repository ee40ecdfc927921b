package batch_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
)

// highLatencyStore is a store behind connections with small windows: reading texts takes one
// round trip per window.
type highLatencyStore struct {
	gypsum.KeyedStore
	roundTrip  time.Duration
	windowSize int
}

// Read implements gypsum.KeyedStore.
func (f *highLatencyStore) Read(ctx context.Context, req gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	page, err := f.KeyedStore.Read(ctx, req)
	if err != nil || req.Topic != topics.Texts {
		return page, err
	}
	size := 0
	for i := range page.Records {
		size += len(page.Records[i].Value)
	}
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("read texts: %w", ctx.Err())
	case <-time.After(f.roundTrip * time.Duration(1+size/f.windowSize)):
		return page, nil
	}
}

// A daemon far from the store returns the long texts of a batch in several responses,
// each within the time that a reader waits.
func TestReaderWithHighLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const (
			itemCount = 24
			textSize  = 35 << 10
		)
		backing := fake.NewKeyedStore()
		writer := startManager(t, backing, "near")
		is.NoErr(writer.AcceptBatch(t.Context(), newBatch("b", itemCount, 10)))
		for i := range itemCount {
			storeTextResult(t, writer, "b", i, strings.Repeat(fmt.Sprint(i%10), textSize))
		}
		reader := startManager(t, &highLatencyStore{KeyedStore: backing, roundTrip: 180 * time.Millisecond, windowSize: 16 << 10}, "far")
		calls := 0
		for from := 0; from < itemCount; calls++ {
			ctx, cancel := context.WithTimeout(t.Context(), 1200*time.Millisecond)
			startedAt := time.Now()
			total, results, err := reader.ReadResults(ctx, "b", from, 0)
			cancel()
			is.NoErr(err)
			is.Equal(total, itemCount)
			is.True(len(results) > 0)
			is.True(time.Since(startedAt) <= 1200*time.Millisecond)
			for i := range results {
				is.Equal(results[i].Text, strings.Repeat(fmt.Sprint((from+i)%10), textSize))
			}
			from += len(results)
		}
		t.Logf("%d results of %d bytes in %d reads", itemCount, textSize, calls)
		is.True(calls <= 6)
	})
}

package store_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/store"
)

const topic = gypsum.Topic("keyed.test")

// discardLogger returns a logger that drops all lines.
func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// startWriter runs a writer until the test ends.
func startWriter(t *testing.T, backing gypsum.KeyedStore) *store.Writer {
	writer := &store.Writer{Store: backing, Topic: topic, Producer: "host.1", MaxCallBytes: 1 << 20, Logger: discardLogger()}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- writer.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
	return writer
}

// recordKeys returns the keys of a topic's records in offset order.
func recordKeys(t *testing.T, backing gypsum.KeyedStore) []string {
	t.Helper()
	page, err := backing.Read(t.Context(), gypsum.KeyedRead{Topic: topic})
	if err != nil {
		t.Fatal(err)
	}
	keys := make([]string, 0, len(page.Records))
	for i := range page.Records {
		keys = append(keys, page.Records[i].Key)
	}
	return keys
}

// TestLostResponseAppendsOnce checks that an append whose responses are lost is
// stored exactly once.
func TestLostResponseAppendsOnce(t *testing.T) {
	for name, fault := range map[string]fake.KeyedFault{"lost": fake.KeyedResponseLost, "late": fake.KeyedDelayed, "silent": fake.KeyedHang} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				backing := fake.NewKeyedStore()
				backing.Latency = 30 * time.Millisecond
				writer := startWriter(t, backing)
				backing.SetFault(fault)
				time.AfterFunc(2*time.Second, func() { backing.SetFault(0) })
				_, err := writer.Append(t.Context(), gypsum.KeyedRecord{Key: "a", Value: []byte("1")})
				is.NoErr(err)
				time.Sleep(10 * time.Second)
				_, err = writer.Append(t.Context(), gypsum.KeyedRecord{Key: "b", Value: []byte("1")})
				is.NoErr(err)
				is.Equal(recordKeys(t, backing), []string{"a", "b"})
			})
		})
	}
}

// TestRefusedAppendIsNeverStored checks that an append is reported as refused only
// if its records are not in the store and never will be.
func TestRefusedAppendIsNeverStored(t *testing.T) {
	for name, fault := range map[string]fake.KeyedFault{"refuse": fake.KeyedRefused, "lost": fake.KeyedResponseLost, "late": fake.KeyedDelayed, "silent": fake.KeyedHang} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				backing := fake.NewKeyedStore()
				writer := startWriter(t, backing)
				backing.SetFault(fault)
				refused := make(map[string]bool)
				for i := range 5 {
					key := fmt.Sprint(i)
					ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
					_, err := writer.Append(ctx, gypsum.KeyedRecord{Key: key, Value: []byte("1")})
					cancel()
					is.True(err != nil)
					refused[key] = errors.Is(err, gypsum.ErrStoreRefused)
					is.True(refused[key] || errors.Is(err, gypsum.ErrStoreUnknown))
				}
				backing.SetFault(0)
				time.Sleep(time.Minute)
				_, err := writer.Append(t.Context(), gypsum.KeyedRecord{Key: "last", Value: []byte("1")})
				is.NoErr(err)
				keys := recordKeys(t, backing)
				for _, key := range keys {
					is.True(!refused[key]) // reported as refused, but stored
				}
				is.Equal(keys[len(keys)-1], "last") // reported as stored, not confused with an earlier append
			})
		})
	}
}

// TestAppendCompletesAfterOutage checks that queued records are stored as soon as a
// store that did not respond responds again, so that clients see an outage no longer than
// it lasts.
func TestAppendCompletesAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		backing.Latency = 30 * time.Millisecond
		writer := startWriter(t, backing)
		backing.SetFault(fake.KeyedHang)
		const outage = 6200 * time.Millisecond
		time.AfterFunc(outage, func() { backing.SetFault(0) })
		start := time.Now()
		_, err := writer.Append(t.Context(), gypsum.KeyedRecord{Key: "a", Value: []byte("1")})
		is.NoErr(err)
		is.True(time.Since(start) < outage+700*time.Millisecond) // does not wait for the call in flight to time out
	})
}

// TestSlowAppendSucceeds checks that a writer waits for the responses of a slow
// store.
func TestSlowAppendSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		backing.Latency = 1500 * time.Millisecond
		writer := startWriter(t, backing)
		start := time.Now()
		_, err := writer.Append(t.Context(), gypsum.KeyedRecord{Key: "a", Value: []byte("1")})
		is.NoErr(err)
		is.True(time.Since(start) < 1600*time.Millisecond)
		is.Equal(recordKeys(t, backing), []string{"a"})
	})
}

// TestRateLimitedAppendIsNotUncertain guards against a new epoch and an unknown outcome after an
// append that the store refused for its rate: it was not executed, and is sent again.
func TestRateLimitedAppendIsNotUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		limited := &fake.LimitedStore{KeyedStore: backing, WritesPerSecond: 1}
		writer := startWriter(t, limited)
		for _, key := range []string{"a", "b"} {
			_, err := writer.Append(t.Context(), gypsum.KeyedRecord{Key: key, Value: []byte("1")})
			is.NoErr(err)
		}
		ctx := contextWithTimeout(t, 500*time.Millisecond)
		_, err := writer.Append(ctx, gypsum.KeyedRecord{Key: "c", Value: []byte("1")})
		is.True(errors.Is(err, gypsum.ErrStoreRefused)) // the caller gave up before any call was executed
		time.Sleep(3 * time.Second)
		is.Equal(recordKeys(t, backing), []string{"a", "b"})
	})
}

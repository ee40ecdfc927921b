package epoch

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum"
)

// CircuitBreaker wraps a log and rejects appends at once while the log is known
// to be unavailable, so that callers need not each wait for a timeout. Only
// reads decide whether it is available: the response to an append may be lost
// although the log works.
type CircuitBreaker struct {
	Log gypsum.Log
	// Cooldown is the time after a failed read during which appends are rejected.
	Cooldown time.Duration

	unavailableUntil atomic.Int64
	appendCount      atomic.Int64
}

// Unavailable reports whether the log is known to be unavailable.
func (b *CircuitBreaker) Unavailable() bool {
	return time.Now().UnixNano() < b.unavailableUntil.Load()
}

// AppendCount returns the number of append calls passed on to the log.
func (b *CircuitBreaker) AppendCount() int64 { return b.appendCount.Load() }

// Append passes the records on to the log. It returns gypsum.ErrLogUnavailable
// without a call while the log is known to be unavailable.
func (b *CircuitBreaker) Append(ctx context.Context, stream gypsum.StreamName, records [][]byte) (gypsum.Offset, error) {
	if b.Unavailable() {
		return 0, fmt.Errorf("append not attempted: %w", gypsum.ErrLogUnavailable)
	}
	b.appendCount.Add(1)
	return b.Log.Append(ctx, stream, records)
}

// Read passes the read on to the log and updates the breaker from its result.
func (b *CircuitBreaker) Read(ctx context.Context, req gypsum.LogRead) (*gypsum.LogPage, error) {
	page, err := b.Log.Read(ctx, req)
	if page != nil {
		b.recordResult(nil)
		return page, err
	}
	b.recordResult(err)
	return page, err
}

// recordResult updates the breaker from the result of a read.
func (b *CircuitBreaker) recordResult(err error) {
	if err == nil {
		b.unavailableUntil.Store(0)
		return
	}
	b.unavailableUntil.Store(time.Now().Add(b.Cooldown).UnixNano())
}

package epoch

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum"
)

// CircuitBreaker is a log that refuses appends at once while the log behind it is
// known to be out, so that callers need not wait for a timeout each. Reads
// pass through and tell whether it is out: the answer to an append may be lost
// by a log that works.
type CircuitBreaker struct {
	Log gypsum.Log
	// Cooldown is the time after a failure in which appends are refused.
	Cooldown time.Duration

	downUntil atomic.Int64
	appends   atomic.Int64
}

// Down tells whether the log is known to be out.
func (b *CircuitBreaker) Down() bool {
	return time.Now().UnixNano() < b.downUntil.Load()
}

// Appends returns the number of append calls passed on.
func (b *CircuitBreaker) Appends() int64 { return b.appends.Load() }

// Append passes the records on, unless the log is known to be out.
func (b *CircuitBreaker) Append(ctx context.Context, stream gypsum.StreamName, records [][]byte) (gypsum.Offset, error) {
	if b.Down() {
		return 0, fmt.Errorf("append not tried: %w", gypsum.ErrLogUnavailable)
	}
	b.appends.Add(1)
	return b.Log.Append(ctx, stream, records)
}

// Read passes the read on and learns from its result.
func (b *CircuitBreaker) Read(ctx context.Context, read gypsum.LogRead) (*gypsum.LogPage, error) {
	page, err := b.Log.Read(ctx, read)
	if page != nil {
		b.recordResult(nil)
		return page, err
	}
	b.recordResult(err)
	return page, err
}

// recordResult keeps the result of a call in mind.
func (b *CircuitBreaker) recordResult(err error) {
	if err == nil {
		b.downUntil.Store(0)
		return
	}
	b.downUntil.Store(time.Now().Add(b.Cooldown).UnixNano())
}

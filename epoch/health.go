package epoch

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Health is a log that refuses appends at once while the log behind it is
// known to be out, so that callers need not wait for a timeout each. Reads
// pass through and tell whether it is out: the answer to an append may be lost
// by a log that works.
type Health struct {
	Log gypsum.Log
	// Refusals is the time after a failure in which appends are refused.
	Refusals time.Duration

	downUntil atomic.Int64
	appends   atomic.Int64
}

// Down tells whether the log is known to be out.
func (h *Health) Down() bool {
	return time.Now().UnixNano() < h.downUntil.Load()
}

// Appends returns the number of append calls passed on.
func (h *Health) Appends() int64 { return h.appends.Load() }

// Append passes the records on, unless the log is known to be out.
func (h *Health) Append(ctx context.Context, stream gypsum.StreamName, records [][]byte) (gypsum.Offset, error) {
	if h.Down() {
		return 0, fmt.Errorf("append not tried: %w", gypsum.ErrLogUnavailable)
	}
	h.appends.Add(1)
	return h.Log.Append(ctx, stream, records)
}

// Read passes the read on and learns from its result.
func (h *Health) Read(ctx context.Context, read gypsum.LogRead) (*gypsum.LogPage, error) {
	page, err := h.Log.Read(ctx, read)
	if page != nil {
		h.note(nil)
		return page, err
	}
	h.note(err)
	return page, err
}

// note keeps the result of a call in mind.
func (h *Health) note(err error) {
	if err == nil {
		h.downUntil.Store(0)
		return
	}
	h.downUntil.Store(time.Now().Add(h.Refusals).UnixNano())
}

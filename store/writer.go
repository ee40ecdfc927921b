// Package store appends to, follows and fetches records of keyed topics of the
// platform's store.
package store

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// Timeouts and delays of appends.
const (
	// appendTimeout bounds one call. It exceeds the 2 s for which the store queues an append
	// before it refuses the call, so that the refusal still arrives.
	appendTimeout = 2500 * time.Millisecond
	// appendHedgeDelay is the time after which a call without a response is repeated
	// concurrently: several times the latency of a response from the other region.
	appendHedgeDelay = 250 * time.Millisecond
	// appendBackoff is the delay after a failed call. It limits the calls of each daemon
	// to ten per second during an outage.
	appendBackoff = 100 * time.Millisecond
)

// Writer appends records to one partition. Records of several callers share a
// call. A call without a response is repeated under the same sequence number until
// its outcome is known or no caller waits for it. Set the exported fields before
// Run.
type Writer struct {
	Store     gypsum.KeyedStore
	Topic     gypsum.Topic
	Partition gypsum.Partition
	// Producer is unique for each start of a process.
	Producer string
	// MaxCallBytes bounds the total size of the records of one call. A larger append
	// is sent in a call of its own.
	MaxCallBytes gypsum.Bytes
	Logger       *slog.Logger

	mu       sync.Mutex
	queue    []*pendingAppend
	wake     chan struct{}
	initOnce sync.Once
	epoch    int64
	sequence int64
	// failingSince is when the current series of failures began, lastLogged when a
	// failure was last logged.
	failingSince time.Time
	lastLogged   time.Time
}

// pendingAppend is the append of one caller.
type pendingAppend struct {
	ctx     context.Context
	records []gypsum.KeyedRecord
	size    gypsum.Bytes
	// sent is set, under the writer's mu, once a call may have carried the records.
	sent bool
	done chan appendResult
}

// appendResult is the result of one append.
type appendResult struct {
	offset gypsum.Offset
	err    error
}

// lazyInit prepares the writer on its first use.
func (w *Writer) lazyInit() {
	w.initOnce.Do(func() { w.wake, w.epoch = make(chan struct{}, 1), 1 })
}

// Append appends records atomically and returns the offset of the first. If it
// returns gypsum.ErrStoreRefused, none was appended and none will be; if it returns
// gypsum.ErrStoreUnknown, they may have been.
func (w *Writer) Append(ctx context.Context, records ...gypsum.KeyedRecord) (gypsum.Offset, error) {
	w.lazyInit()
	pending := &pendingAppend{ctx: ctx, records: records, done: make(chan appendResult, 1)}
	for i := range records {
		pending.size += gypsum.Bytes(len(records[i].Key) + len(records[i].Value))
	}
	w.mu.Lock()
	w.queue = append(w.queue, pending)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case result := <-pending.done:
		return result.offset, result.err
	case <-ctx.Done():
	}
	w.mu.Lock()
	sent := pending.sent
	w.mu.Unlock()
	select {
	case result := <-pending.done:
		return result.offset, result.err
	default:
	}
	if sent {
		return 0, fmt.Errorf("append cancelled after it was sent: %w", gypsum.ErrStoreUnknown)
	}
	return 0, fmt.Errorf("append cancelled before it was sent: %w", gypsum.ErrStoreRefused)
}

// Run sends the appends to the store until ctx ends.
func (w *Writer) Run(ctx context.Context) error {
	w.lazyInit()
	for {
		group := w.nextGroup()
		if len(group) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-w.wake:
			}
			continue
		}
		if err := w.appendGroup(ctx, group); err != nil {
			return err
		}
	}
}

// nextGroup removes the appends of the next call from the queue, at least one if
// any is queued.
func (w *Writer) nextGroup() []*pendingAppend {
	w.mu.Lock()
	defer w.mu.Unlock()
	var group []*pendingAppend
	var size gypsum.Bytes
	remaining := w.queue[:0]
	for _, pending := range w.queue {
		switch {
		case pending.ctx.Err() != nil:
			pending.done <- appendResult{err: fmt.Errorf("append cancelled before it was sent: %w", gypsum.ErrStoreRefused)}
		case len(remaining) > 0 || (len(group) > 0 && size+pending.size > w.MaxCallBytes):
			remaining = append(remaining, pending)
		default:
			pending.sent = true
			size += pending.size
			group = append(group, pending)
		}
	}
	clear(w.queue[len(remaining):])
	w.queue = remaining
	return group
}

// appendGroup sends a group of appends until its outcome is known or no caller
// waits for it.
func (w *Writer) appendGroup(ctx context.Context, group []*pendingAppend) error {
	var records []gypsum.KeyedRecord
	for _, pending := range group {
		records = append(records, pending.records...)
	}
	req := gypsum.KeyedAppend{
		Topic: w.Topic, Part: w.Partition, Records: records, Producer: w.Producer, Epoch: w.epoch, Sequence: w.sequence,
	}
	offset, uncertain, err := w.appendHedged(ctx, req, group)
	w.logAppendResult(len(records), uncertain, err)
	if err == nil {
		w.sequence++
		w.completeGroup(group, offset)
		return nil
	}
	if uncertain || errors.Is(err, gypsum.ErrStoreFenced) || errors.Is(err, gypsum.ErrStoreSequence) {
		// A new epoch fences this call, so that it cannot take effect after a later call.
		w.startNextEpoch()
	}
	if uncertain {
		w.failGroup(group, fmt.Errorf("append records: %w: %w", gypsum.ErrStoreUnknown, err))
		return ctx.Err()
	}
	w.requeueGroup(group)
	return w.waitBackoff(ctx)
}

// logAppendResult logs the first failure of a series, then one per second, and its end.
func (w *Writer) logAppendResult(records int, uncertain bool, err error) {
	now := time.Now()
	switch {
	case err == nil && !w.failingSince.IsZero():
		w.Logger.Info("appends recovered", "topic", w.Topic, "part", w.Partition, "failed_for_ms", now.Sub(w.failingSince).Milliseconds())
		w.failingSince, w.lastLogged = time.Time{}, time.Time{}
	case err != nil && now.Sub(w.lastLogged) >= time.Second:
		if w.failingSince.IsZero() {
			w.failingSince = now
		}
		w.lastLogged = now
		w.Logger.Warn("append failed", "topic", w.Topic, "part", w.Partition, "records", records, "uncertain", uncertain,
			"failing_for_ms", now.Sub(w.failingSince).Milliseconds(), "error", err)
	}
}

// appendHedged sends an append and repeats it concurrently while there is no
// response; the store treats all of them as one append. If err is set, uncertain
// means that the append may have been carried out all the same.
func (w *Writer) appendHedged(ctx context.Context, req gypsum.KeyedAppend, group []*pendingAppend) (offset gypsum.Offset, uncertain bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan appendResult)
	hedgeTimer := time.NewTimer(0)
	defer hedgeTimer.Stop()
	inFlight := 0
	for {
		select {
		case <-ctx.Done():
			return 0, true, ctx.Err()
		case <-hedgeTimer.C:
			if inFlight > 0 {
				uncertain = true
			}
			if uncertain && !hasActiveCaller(group) {
				return 0, true, fmt.Errorf("all callers cancelled the append: %w", gypsum.ErrStoreUnknown)
			}
			inFlight++
			go w.appendOnce(ctx, req, results)
			hedgeTimer.Reset(appendHedgeDelay)
		case result := <-results:
			inFlight--
			switch {
			case result.err == nil:
				return result.offset, false, nil
			case errors.Is(result.err, gypsum.ErrStoreFenced), errors.Is(result.err, gypsum.ErrStoreSequence):
				return 0, uncertain, result.err
			case !errors.Is(result.err, gypsum.ErrStoreRefused) && !errors.Is(result.err, gypsum.ErrStoreRateLimited):
				uncertain = true
			}
			if !uncertain {
				return 0, false, result.err
			}
			if inFlight == 0 {
				hedgeTimer.Reset(jittered(appendBackoff))
			}
		}
	}
}

// appendOnce makes a single append call.
func (w *Writer) appendOnce(ctx context.Context, req gypsum.KeyedAppend, results chan<- appendResult) {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := w.Store.Append(callCtx, req)
	select {
	case results <- appendResult{offset: offset, err: err}:
	case <-ctx.Done():
	}
}

// startNextEpoch starts a new producer epoch.
func (w *Writer) startNextEpoch() { w.epoch, w.sequence = w.epoch+1, 0 }

// completeGroup reports their offsets to the callers of a group.
func (w *Writer) completeGroup(group []*pendingAppend, offset gypsum.Offset) {
	for _, pending := range group {
		pending.done <- appendResult{offset: offset}
		offset += gypsum.Offset(len(pending.records))
	}
}

// failGroup reports an error to the callers of a group.
func (w *Writer) failGroup(group []*pendingAppend, err error) {
	for _, pending := range group {
		pending.done <- appendResult{err: err}
	}
}

// requeueGroup puts a group whose call was not carried out back at the head of the
// queue.
func (w *Writer) requeueGroup(group []*pendingAppend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, pending := range group {
		pending.sent = false
	}
	w.queue = append(group, w.queue...)
}

// waitBackoff waits before the next call. It returns an error if ctx ends first.
func (w *Writer) waitBackoff(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(jittered(appendBackoff)):
		return nil
	}
}

// hasActiveCaller reports whether a caller of the group still waits.
func hasActiveCaller(group []*pendingAppend) bool {
	for _, pending := range group {
		if pending.ctx.Err() == nil {
			return true
		}
	}
	return false
}

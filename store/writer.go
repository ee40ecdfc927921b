// Package store appends to and follows keyed topics of the platform's store.
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

// Times of appends.
const (
	// appendTimeout bounds one call: the store's longest queue of appends is 2 s,
	// beyond which it refuses.
	appendTimeout = 2500 * time.Millisecond
	// appendHedgeDelay is the time after which a call without an answer is made once more
	// beside the first: several times an answer from the other region.
	appendHedgeDelay = 250 * time.Millisecond
	// appendBackoff is the wait after a call that failed, so that an outage costs
	// each host ten calls a second at most.
	appendBackoff = 100 * time.Millisecond
)

// Writer appends records to one partition. Records of several callers share a
// call. A call without an answer is repeated under the same sequence number until
// its outcome is known or nobody waits for it. Set the exported fields before Run.
type Writer struct {
	Store     gypsum.RecordStore
	Topic     gypsum.Topic
	Partition gypsum.Partition
	// Producer is unique for each start of a process.
	Producer string
	// MaxCallBytes bounds the records of one call.
	MaxCallBytes gypsum.Bytes
	Logger       *slog.Logger

	mu       sync.Mutex
	queue    []*pendingAppend
	wake     chan struct{}
	initOnce sync.Once
	epoch    int64
	sequence int64
	// failingSince is when the present row of failures began, said when one was last logged.
	failingSince time.Time
	lastLogged   time.Time
}

// pendingAppend is a caller's records.
type pendingAppend struct {
	ctx     context.Context
	records []gypsum.KeyedRecord
	size    gypsum.Bytes
	// sent is set, under the writer's mu, once a call may have carried the records.
	sent bool
	done chan appendResult
}

// appendResult is the outcome of a caller's append.
type appendResult struct {
	offset gypsum.Offset
	err    error
}

// lazyInit prepares the writer for its first use.
func (w *Writer) lazyInit() {
	w.initOnce.Do(func() { w.wake, w.epoch = make(chan struct{}, 1), 1 })
}

// Append adds records in one act and returns the offset of the first. On
// gypsum.ErrStoreRefused none was added and none will be; on gypsum.ErrStoreUnknown
// they may have been.
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
		return 0, fmt.Errorf("append given up: %w", gypsum.ErrStoreUnknown)
	}
	return 0, fmt.Errorf("append given up before it was sent: %w", gypsum.ErrStoreRefused)
}

// Run makes the calls until ctx ends.
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

// nextGroup removes the callers of the next call, at least one if any waits.
func (w *Writer) nextGroup() []*pendingAppend {
	w.mu.Lock()
	defer w.mu.Unlock()
	var group []*pendingAppend
	var size gypsum.Bytes
	remaining := w.queue[:0]
	for _, pending := range w.queue {
		switch {
		case pending.ctx.Err() != nil:
			pending.done <- appendResult{err: fmt.Errorf("append given up before it was sent: %w", gypsum.ErrStoreRefused)}
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

// appendGroup makes a call until its outcome is known or no caller waits for it.
func (w *Writer) appendGroup(ctx context.Context, group []*pendingAppend) error {
	var records []gypsum.KeyedRecord
	for _, pending := range group {
		records = append(records, pending.records...)
	}
	req := gypsum.KeyedAppend{
		Topic: w.Topic, Part: w.Partition, Records: records, Producer: w.Producer, Epoch: w.epoch, Sequence: w.sequence,
	}
	offset, uncertain, err := w.appendHedged(ctx, req, group)
	w.logResult(len(records), uncertain, err)
	if err == nil {
		w.sequence++
		w.completeGroup(group, offset)
		return nil
	}
	if uncertain || errors.Is(err, gypsum.ErrStoreFenced) || errors.Is(err, gypsum.ErrStoreSequence) {
		// A higher epoch keeps the call from taking effect behind a later one.
		w.nextEpoch()
	}
	if uncertain {
		w.failGroup(group, fmt.Errorf("%w: %w", gypsum.ErrStoreUnknown, err))
		return ctx.Err()
	}
	w.requeue(group)
	return w.backOff(ctx)
}

// logResult logs the first failure of a row, one each second of it, and its end.
func (w *Writer) logResult(records int, uncertain bool, err error) {
	now := time.Now()
	switch {
	case err == nil && !w.failingSince.IsZero():
		w.Logger.Info("appends work again", "topic", w.Topic, "part", w.Partition, "failed_for_ms", now.Sub(w.failingSince).Milliseconds())
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

// appendHedged makes a call, and makes it again beside the first while there is no answer:
// all are one append to the store. Uncertain means that it may have been carried out
// although err is set.
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
				return 0, true, fmt.Errorf("no caller waits: %w", gypsum.ErrStoreUnknown)
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
			case !errors.Is(result.err, gypsum.ErrStoreRefused):
				uncertain = true
			}
			if !uncertain {
				return 0, false, result.err
			}
			if inFlight == 0 {
				hedgeTimer.Reset(appendBackoff)
			}
		}
	}
}

// appendOnce makes one call of an append.
func (w *Writer) appendOnce(ctx context.Context, req gypsum.KeyedAppend, results chan<- appendResult) {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := w.Store.Append(callCtx, req)
	select {
	case results <- appendResult{offset: offset, err: err}:
	case <-ctx.Done():
	}
}

// nextEpoch begins a new epoch of the writer.
func (w *Writer) nextEpoch() { w.epoch, w.sequence = w.epoch+1, 0 }

// completeGroup tells the callers their offsets.
func (w *Writer) completeGroup(group []*pendingAppend, offset gypsum.Offset) {
	for _, pending := range group {
		pending.done <- appendResult{offset: offset}
		offset += gypsum.Offset(len(pending.records))
	}
}

// failGroup tells the callers an error.
func (w *Writer) failGroup(group []*pendingAppend, err error) {
	for _, pending := range group {
		pending.done <- appendResult{err: err}
	}
}

// requeue lets callers wait again whose call was not carried out.
func (w *Writer) requeue(group []*pendingAppend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, pending := range group {
		pending.sent = false
	}
	w.queue = append(group, w.queue...)
}

// backOff waits before the next call.
func (w *Writer) backOff(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(appendBackoff):
		return nil
	}
}

// hasActiveCaller tells whether a caller still waits.
func hasActiveCaller(group []*pendingAppend) bool {
	for _, pending := range group {
		if pending.ctx.Err() == nil {
			return true
		}
	}
	return false
}

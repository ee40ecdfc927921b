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
	// appendAgain is the time after which a call without an answer is made once more
	// beside the first: several times an answer from the other region.
	appendAgain = 250 * time.Millisecond
	// appendPause is the wait after a call that failed, so that an outage costs
	// each host ten calls a second at most.
	appendPause = 100 * time.Millisecond
)

// Writer appends records to one partition. Records of several callers share a
// call. A call without an answer is repeated under the same sequence number until
// its outcome is known or nobody waits for it. Set the exported fields before Run.
type Writer struct {
	Store gypsum.RecordStore
	Topic gypsum.Topic
	Part  gypsum.Partition
	// Producer is unique for each start of a process.
	Producer string
	// CallSize bounds the records of one call.
	CallSize gypsum.Bytes
	Logger   *slog.Logger

	mu       sync.Mutex
	waiting  []*pending
	wake     chan struct{}
	begin    sync.Once
	epoch    int64
	sequence int64
	// failing is when the present row of failures began, said when one was last logged.
	failing time.Time
	said    time.Time
}

// pending is a caller's records.
type pending struct {
	ctx     context.Context
	records []gypsum.KeyedRecord
	size    gypsum.Bytes
	// sent is set, under the writer's mu, once a call may have carried the records.
	sent bool
	done chan outcome
}

// outcome is the outcome of a caller's append.
type outcome struct {
	offset gypsum.Offset
	err    error
}

// start prepares the writer for its first use.
func (w *Writer) start() {
	w.begin.Do(func() { w.wake, w.epoch = make(chan struct{}, 1), 1 })
}

// Append adds records in one act and returns the offset of the first. On
// gypsum.ErrStoreRefused none was added and none will be; on gypsum.ErrStoreUnknown
// they may have been.
func (w *Writer) Append(ctx context.Context, records ...gypsum.KeyedRecord) (gypsum.Offset, error) {
	w.start()
	request := &pending{ctx: ctx, records: records, done: make(chan outcome, 1)}
	for i := range records {
		request.size += gypsum.Bytes(len(records[i].Key) + len(records[i].Value))
	}
	w.mu.Lock()
	w.waiting = append(w.waiting, request)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case result := <-request.done:
		return result.offset, result.err
	case <-ctx.Done():
	}
	w.mu.Lock()
	sent := request.sent
	w.mu.Unlock()
	select {
	case result := <-request.done:
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
	w.start()
	for {
		group := w.take()
		if len(group) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-w.wake:
			}
			continue
		}
		if err := w.settle(ctx, group); err != nil {
			return err
		}
	}
}

// take removes the callers of the next call, at least one if any waits.
func (w *Writer) take() []*pending {
	w.mu.Lock()
	defer w.mu.Unlock()
	var group []*pending
	var size gypsum.Bytes
	rest := w.waiting[:0]
	for _, request := range w.waiting {
		switch {
		case request.ctx.Err() != nil:
			request.done <- outcome{err: fmt.Errorf("append given up before it was sent: %w", gypsum.ErrStoreRefused)}
		case len(rest) > 0 || (len(group) > 0 && size+request.size > w.CallSize):
			rest = append(rest, request)
		default:
			request.sent = true
			size += request.size
			group = append(group, request)
		}
	}
	clear(w.waiting[len(rest):])
	w.waiting = rest
	return group
}

// settle makes a call until its outcome is known or no caller waits for it.
func (w *Writer) settle(ctx context.Context, group []*pending) error {
	var records []gypsum.KeyedRecord
	for _, request := range group {
		records = append(records, request.records...)
	}
	add := gypsum.KeyedAppend{
		Topic: w.Topic, Part: w.Part, Records: records, Producer: w.Producer, Epoch: w.epoch, Sequence: w.sequence,
	}
	offset, uncertain, err := w.call(ctx, add, group)
	w.note(len(records), uncertain, err)
	if err == nil {
		w.sequence++
		w.succeed(group, offset)
		return nil
	}
	if uncertain || errors.Is(err, gypsum.ErrStoreFenced) || errors.Is(err, gypsum.ErrStoreSequence) {
		// A higher epoch keeps the call from taking effect behind a later one.
		w.nextEpoch()
	}
	if uncertain {
		w.fail(group, fmt.Errorf("%w: %w", gypsum.ErrStoreUnknown, err))
		return ctx.Err()
	}
	w.giveBack(group)
	return w.pause(ctx)
}

// note logs the first failure of a row, one each second of it, and its end.
func (w *Writer) note(records int, uncertain bool, err error) {
	now := time.Now()
	switch {
	case err == nil && !w.failing.IsZero():
		w.Logger.Info("appends work again", "topic", w.Topic, "part", w.Part, "failed_for_ms", now.Sub(w.failing).Milliseconds())
		w.failing, w.said = time.Time{}, time.Time{}
	case err != nil && now.Sub(w.said) >= time.Second:
		if w.failing.IsZero() {
			w.failing = now
		}
		w.said = now
		w.Logger.Warn("append failed", "topic", w.Topic, "part", w.Part, "records", records, "uncertain", uncertain,
			"failing_for_ms", now.Sub(w.failing).Milliseconds(), "error", err)
	}
}

// call makes a call, and makes it again beside the first while there is no answer:
// all are one append to the store. Uncertain means that it may have been carried out
// although err is set.
func (w *Writer) call(ctx context.Context, add gypsum.KeyedAppend, group []*pending) (offset gypsum.Offset, uncertain bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan outcome)
	again := time.NewTimer(0)
	defer again.Stop()
	open := 0
	for {
		select {
		case <-ctx.Done():
			return 0, true, ctx.Err()
		case <-again.C:
			if open > 0 {
				uncertain = true
			}
			if uncertain && !anyWaits(group) {
				return 0, true, fmt.Errorf("no caller waits: %w", gypsum.ErrStoreUnknown)
			}
			open++
			go w.attempt(ctx, add, answers)
			again.Reset(appendAgain)
		case answer := <-answers:
			open--
			switch {
			case answer.err == nil:
				return answer.offset, false, nil
			case errors.Is(answer.err, gypsum.ErrStoreFenced), errors.Is(answer.err, gypsum.ErrStoreSequence):
				return 0, uncertain, answer.err
			case !errors.Is(answer.err, gypsum.ErrStoreRefused):
				uncertain = true
			}
			if !uncertain {
				return 0, false, answer.err
			}
			if open == 0 {
				again.Reset(appendPause)
			}
		}
	}
}

// attempt makes one call of an append.
func (w *Writer) attempt(ctx context.Context, add gypsum.KeyedAppend, answers chan<- outcome) {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := w.Store.Append(callCtx, add)
	select {
	case answers <- outcome{offset: offset, err: err}:
	case <-ctx.Done():
	}
}

// nextEpoch begins a new epoch of the writer.
func (w *Writer) nextEpoch() { w.epoch, w.sequence = w.epoch+1, 0 }

// succeed tells the callers their offsets.
func (w *Writer) succeed(group []*pending, offset gypsum.Offset) {
	for _, request := range group {
		request.done <- outcome{offset: offset}
		offset += gypsum.Offset(len(request.records))
	}
}

// fail tells the callers an error.
func (w *Writer) fail(group []*pending, err error) {
	for _, request := range group {
		request.done <- outcome{err: err}
	}
}

// giveBack lets callers wait again whose call was not carried out.
func (w *Writer) giveBack(group []*pending) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, request := range group {
		request.sent = false
	}
	w.waiting = append(group, w.waiting...)
}

// pause waits before the next call.
func (w *Writer) pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(appendPause):
		return nil
	}
}

// anyWaits tells whether a caller still waits.
func anyWaits(group []*pending) bool {
	for _, request := range group {
		if request.ctx.Err() == nil {
			return true
		}
	}
	return false
}

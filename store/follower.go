package store

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// Timeouts and delays of reads.
const (
	// longPollWait is how long the store may hold a read open while there are no new
	// records. It is below the time after which a holder without heartbeats counts
	// as failed, so that a store that does not respond is not mistaken for a failed
	// holder.
	longPollWait = time.Second
	// longPollGrace is how long a read may take beyond its wait before it times out and
	// the store counts as unavailable.
	longPollGrace = 800 * time.Millisecond
	// outageReadTimeout bounds a read while the store is unavailable. It leaves time for
	// a slow response from the other region.
	outageReadTimeout = 600 * time.Millisecond
	// outageReadWait is the wait of such a read. Reads without a wait are those of callers and
	// claims, which have a higher priority.
	outageReadWait = time.Millisecond
	// pageTimeout bounds the read of one page of the latest records: 1 MB between
	// regions.
	pageTimeout = 3 * time.Second
	// readBackoff is the delay after a failed read.
	readBackoff = 150 * time.Millisecond
)

// Update is the content of one read: a sequence of records.
type Update struct {
	Records []gypsum.KeyedRecord
	// Complete means that Records holds the latest record of every key: keys that are
	// not among them no longer exist.
	Complete bool
}

// PageSource reads pages of topics and states their ages.
type PageSource interface {
	Read(ctx context.Context, req gypsum.KeyedRead) (*gypsum.KeyedPage, error)
}

// Follower reads the latest records of a keyed topic's first partition and then
// follows new records as they are appended. Set the exported fields before Run.
type Follower struct {
	Store gypsum.KeyedStore
	// Pages is where new records are read, Store if it is nil.
	Pages PageSource
	Topic gypsum.Topic
	// MinReadInterval is the minimum time between two reads that returned records,
	// 0 for none.
	MinReadInterval time.Duration
	// Handle is called with each update, from the goroutine of Run.
	Handle func(Update)
	// Confirmed is called, from the same goroutine, after a read that shows that all records that
	// the store had accepted at a time by Clock have been handled. Nil for none.
	Confirmed func(at time.Duration)
	// Clock measures the ages of what has been read, the runtime's monotonic clock if it is nil.
	Clock gypsum.SteadyClock
	// ReadWait returns how long the next read may wait for new records, 0 for the default. Nil means
	// the default.
	ReadWait func() time.Duration
	// Patience is how long a read may wait for the daemon's share of the store's calls, in addition
	// to the timeout of the read.
	Patience time.Duration
	Logger   *slog.Logger

	mu           sync.Mutex
	nextOffset   gypsum.Offset
	loaded       bool
	lastResponse time.Time
	recoveredAt  time.Time
	unavailable  bool
	// hasRead is used only by the goroutine of Run.
	hasRead bool
	// rateLimited means that the newest read was refused since all daemons together made too many
	// calls.
	rateLimited bool
	// responseAge is the ResponseAge of the page that was just read.
	responseAge time.Duration
	// readSentAt is the time by Clock at which the newest successful read was sent to the store.
	readSentAt time.Duration
	// offsetAdvanced is closed when nextOffset advances, nil if nothing waits for that.
	offsetAdvanced chan struct{}
}

// Loaded reports whether the latest records have been read once.
func (f *Follower) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// LastResponse returns when the store last responded to a read, zero for never,
// and whether the newest read failed.
func (f *Follower) LastResponse() (at time.Time, unavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastResponse, f.unavailable
}

// LimitedFor returns the time since the last response to a read if the newest read was refused
// since all daemons together made too many calls, and 0 otherwise. The store is available then, but
// what has been read may be outdated.
func (f *Follower) LimitedFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.rateLimited || f.lastResponse.IsZero() {
		return 0
	}
	return time.Since(f.lastResponse)
}

// ReadAge returns how long ago the newest successful read was sent to the store, by Clock.
func (f *Follower) ReadAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now() - f.readSentAt
}

// RecoveredAt returns when the store last responded again after an outage, zero if
// there was none.
func (f *Follower) RecoveredAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recoveredAt
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	reload := true
	for {
		var sentAt time.Duration
		var err error
		start := time.Now()
		if reload {
			sentAt, err = f.loadLatestRecords(ctx)
		} else {
			sentAt, err = f.readNewRecords(ctx)
		}
		f.recordResult(err)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, gypsum.ErrTruncated):
			f.Logger.Warn("records expired before they were read", "topic", f.Topic, "error", err)
			reload = true
		case err != nil:
			sleep(ctx, jittered(readBackoff))
		default:
			f.recordRead(sentAt)
			reload = false
			sleep(ctx, f.MinReadInterval-time.Since(start))
		}
	}
}

// recordResult updates whether the store is unavailable, and logs each change. A read that was
// refused for its rate neither begins nor ends an outage.
func (f *Follower) recordResult(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rateLimited = errors.Is(err, gypsum.ErrStoreRateLimited)
	if f.rateLimited {
		return
	}
	failed := err != nil && !errors.Is(err, gypsum.ErrTruncated)
	if failed != f.unavailable {
		f.Logger.Warn("access to the store lost or recovered", "topic", f.Topic, "lost", failed, "last_answer_ms", time.Since(f.lastResponse).Milliseconds(), "error", err)
	}
	if !failed {
		f.lastResponse = time.Now().Add(-f.responseAge)
	}
	f.responseAge = 0
	if f.unavailable && !failed {
		f.recoveredAt = f.lastResponse
	}
	f.unavailable = failed
}

// recordRead records a successful read that was sent to the store at a time by Clock. All records
// that the store had accepted by then have been handled, or their number exceeds one page.
func (f *Follower) recordRead(sentAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readSentAt = sentAt
}

// now returns the time by Clock.
func (f *Follower) now() time.Duration {
	if f.Clock == nil {
		return time.Since(processStart)
	}
	return f.Clock()
}

// processStart is the origin of the clock of followers without Clock.
var processStart = time.Now()

// jittered returns a random duration of up to a half more than d, so that daemons that failed at
// the same moment do not retry at the same moment.
func jittered(d time.Duration) time.Duration { return d + rand.N(d/2) }

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// loadLatestRecords reads the latest records of all keys.
func (f *Follower) loadLatestRecords(ctx context.Context) (sentAt time.Duration, err error) {
	sentAt = f.now()
	records, next, err := readLatestRecords(ctx, f.Store, f.Topic, pageTimeout)
	if err != nil {
		return 0, err
	}
	f.Handle(Update{Records: records, Complete: true})
	f.advanceOffset(next)
	return sentAt, nil
}

// readNewRecords reads the records that follow the last handled one.
func (f *Follower) readNewRecords(ctx context.Context) (sentAt time.Duration, err error) {
	sentAt = f.now()
	wait := f.readWait()
	f.mu.Lock()
	from, timeout := f.nextOffset, wait+longPollGrace
	if f.unavailable {
		wait, timeout = outageReadWait, outageReadTimeout
	}
	f.mu.Unlock()
	readCtx, cancel := context.WithTimeout(ctx, timeout+f.Patience)
	defer cancel()
	var pages PageSource = f.Store
	if f.Pages != nil {
		pages = f.Pages
	}
	page, err := pages.Read(readCtx, gypsum.KeyedRead{Topic: f.Topic, From: from, Wait: wait, Timeout: timeout})
	if err != nil {
		return 0, fmt.Errorf("read topic %s: %w", f.Topic, err)
	}
	if page.First > from {
		return 0, fmt.Errorf("read topic %s from offset %d, oldest retained offset is %d: %w", f.Topic, from, page.First, gypsum.ErrTruncated)
	}
	if page.SentAt != 0 {
		sentAt = page.SentAt
	}
	f.mu.Lock()
	f.responseAge = page.ResponseAge
	f.mu.Unlock()
	next := from
	if len(page.Records) > 0 {
		next = page.Records[len(page.Records)-1].Offset + 1
		f.Handle(Update{Records: page.Records})
		f.advanceOffset(next)
	}
	// A page that does not reach the end, or that ends before what was read earlier, shows nothing
	// about newer records. The age counts from the time of sending and not from the time of the
	// response, since the process may have been suspended in between.
	if f.Confirmed != nil && page.Next == next {
		f.Confirmed(sentAt)
	}
	return sentAt, nil
}

// readWait returns how long the next read may wait for new records. The first read does not wait,
// since what depends on Confirmed is not served before.
func (f *Follower) readWait() time.Duration {
	if f.Confirmed != nil && !f.hasRead {
		f.hasRead = true
		return 0
	}
	if f.ReadWait != nil {
		if wait := f.ReadWait(); wait > 0 {
			return wait
		}
	}
	return longPollWait
}

// advanceOffset sets the offset before which all records have been handled.
func (f *Follower) advanceOffset(nextOffset gypsum.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextOffset, f.loaded = nextOffset, true
	if f.offsetAdvanced != nil {
		close(f.offsetAdvanced)
		f.offsetAdvanced = nil
	}
}

// CatchUp waits until all records that are in the store now have been handled.
func (f *Follower) CatchUp(ctx context.Context) error {
	_, err := f.CatchUpAt(ctx)
	return err
}

// errEndBeforeRead means that a page ends before records that have been read: it is older than they are.
var errEndBeforeRead = errors.New("topic ends before records that were read earlier")

// CatchUpAt waits until all records have been handled that the store contained at a time after the call, and
// returns that time by Clock.
func (f *Follower) CatchUpAt(ctx context.Context) (at time.Duration, err error) {
	f.mu.Lock()
	from := f.nextOffset
	f.mu.Unlock()
	at = f.now()
	page, err := f.Store.Read(ctx, gypsum.KeyedRead{Topic: f.Topic, From: from, Max: 1 << 10})
	switch {
	case err != nil:
		return 0, fmt.Errorf("read end offset of topic %s: %w", f.Topic, err)
	case page.Next < from:
		return 0, fmt.Errorf("read end offset %d of topic %s from offset %d: %w", page.Next, f.Topic, from, errEndBeforeRead)
	}
	return at, f.WaitForOffset(ctx, page.Next)
}

// WaitForOffset waits until the records before an offset have been handled.
func (f *Follower) WaitForOffset(ctx context.Context, offset gypsum.Offset) error {
	for {
		f.mu.Lock()
		if f.loaded && f.nextOffset >= offset {
			f.mu.Unlock()
			return nil
		}
		if f.offsetAdvanced == nil {
			f.offsetAdvanced = make(chan struct{})
		}
		advanced := f.offsetAdvanced
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for offset %d of topic %s: %w", offset, f.Topic, ctx.Err())
		case <-advanced:
		}
	}
}

package store

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// Times of reads.
const (
	// readWait is how long the store may hold a read back while nothing is new. It
	// is below the silence after which a holder counts as lost, so that silence of
	// the store is told from silence of a holder.
	readWait = time.Second
	// readSlack is what a read may take beyond its wait before its connection
	// counts as silent.
	readSlack = 800 * time.Millisecond
	// readAgain bounds a read while the store does not answer: a slow answer from the
	// other region.
	readAgain = 600 * time.Millisecond
	// loadTimeout bounds one page of the newest records: 1 MB between regions.
	loadTimeout = 3 * time.Second
	// readPause is the wait after a read that failed.
	readPause = 150 * time.Millisecond
)

// Update is what a follower has read.
type Update struct {
	Records []gypsum.KeyedRecord
	// Whole means that the records are the newest of all keys, and that keys not
	// among them are gone.
	Whole bool
}

// Follower reads the newest records of a keyed topic's first partition and then
// each record as it comes. Set the exported fields before Run.
type Follower struct {
	Store gypsum.RecordStore
	Topic gypsum.Topic
	// Gap is the least time between two reads that brought something, 0 for none.
	Gap time.Duration
	// Handle takes each update, from the goroutine of Run.
	Handle func(Update)
	Logger *slog.Logger

	mu       sync.Mutex
	position gypsum.Offset
	loaded   bool
	answered time.Time
	back     time.Time
	down     bool
	moved    chan struct{}
}

// Loaded tells whether the newest records have been read once.
func (f *Follower) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// Answered returns when the store last answered a read, zero for never, and
// whether the newest read failed.
func (f *Follower) Answered() (at time.Time, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answered, f.down
}

// Back returns when the store last began to answer again, zero if it always did.
func (f *Follower) Back() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.back
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	reload := true
	for {
		var err error
		begun := time.Now()
		if reload {
			err = f.load(ctx)
		} else {
			err = f.read(ctx)
		}
		f.note(err)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, gypsum.ErrTruncated):
			f.Logger.Warn("records expired before they were read", "topic", f.Topic, "error", err)
			reload = true
		case err != nil:
			pause(ctx, readPause)
		default:
			reload = false
			pause(ctx, f.Gap-time.Since(begun))
		}
	}
}

// note keeps whether the store answers, and logs each change.
func (f *Follower) note(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	failed := err != nil && !errors.Is(err, gypsum.ErrTruncated)
	if failed != f.down {
		f.Logger.Warn("store followed", "topic", f.Topic, "lost", failed, "last_answer_ms", time.Since(f.answered).Milliseconds(), "error", err)
	}
	if !failed {
		f.answered = time.Now()
	}
	if f.down && !failed {
		f.back = f.answered
	}
	f.down = failed
}

// pause waits for a time, if that is above zero.
func pause(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// load reads the newest records of all keys.
func (f *Follower) load(ctx context.Context) error {
	var records []gypsum.KeyedRecord
	after, next := "", gypsum.Offset(-1)
	for more := true; more; {
		pageCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		page, err := f.Store.LatestRecords(pageCtx, f.Topic, 0, after)
		cancel()
		if err != nil {
			return fmt.Errorf("load %s: %w", f.Topic, err)
		}
		if next < 0 {
			next = page.Next
		}
		records = append(records, page.Records...)
		more = page.More && len(page.Records) > 0
		if more {
			after = page.Records[len(page.Records)-1].Key
		}
	}
	// Pages are no snapshot: what was added meanwhile is read in its order.
	records = slices.DeleteFunc(records, func(r gypsum.KeyedRecord) bool { return r.Offset >= next })
	slices.SortFunc(records, func(a, b gypsum.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	f.Handle(Update{Records: records, Whole: true})
	f.advance(next)
	return nil
}

// read reads what has come.
func (f *Follower) read(ctx context.Context) error {
	f.mu.Lock()
	from, wait, limit := f.position, readWait, readWait+readSlack
	if f.down {
		wait, limit = 0, readAgain
	}
	f.mu.Unlock()
	readCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	page, err := f.Store.Read(readCtx, gypsum.KeyedRead{Topic: f.Topic, From: from, Wait: wait})
	if err != nil {
		return fmt.Errorf("follow %s: %w", f.Topic, err)
	}
	if page.First > from {
		return fmt.Errorf("follow %s from %d, first is %d: %w", f.Topic, from, page.First, gypsum.ErrTruncated)
	}
	if len(page.Records) == 0 {
		return nil
	}
	f.Handle(Update{Records: page.Records})
	f.advance(page.Records[len(page.Records)-1].Offset + 1)
	return nil
}

// advance notes how far the topic was handled.
func (f *Follower) advance(position gypsum.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.position, f.loaded = position, true
	if f.moved != nil {
		close(f.moved)
		f.moved = nil
	}
}

// CatchUp waits until all records that the store holds now have been handled.
func (f *Follower) CatchUp(ctx context.Context) error {
	f.mu.Lock()
	from := f.position
	f.mu.Unlock()
	page, err := f.Store.Read(ctx, gypsum.KeyedRead{Topic: f.Topic, From: from, Max: 1 << 10})
	if err != nil {
		return fmt.Errorf("read the end of %s: %w", f.Topic, err)
	}
	return f.Reach(ctx, page.Next)
}

// Reach waits until the records before an offset have been handled.
func (f *Follower) Reach(ctx context.Context, position gypsum.Offset) error {
	for {
		f.mu.Lock()
		if f.loaded && f.position >= position {
			f.mu.Unlock()
			return nil
		}
		if f.moved == nil {
			f.moved = make(chan struct{})
		}
		moved := f.moved
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return fmt.Errorf("reach offset %d of %s: %w", position, f.Topic, ctx.Err())
		case <-moved:
		}
	}
}

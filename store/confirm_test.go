package store_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/store"
)

// pageStore changes the pages of a store.
type pageStore struct {
	gypsum.KeyedStore
	mu     sync.Mutex
	change func(*gypsum.KeyedPage)
}

// setChange sets the change of the following pages.
func (s *pageStore) setChange(change func(*gypsum.KeyedPage)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change = change
}

// Read implements gypsum.KeyedStore.
func (s *pageStore) Read(ctx context.Context, req gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	page, err := s.KeyedStore.Read(ctx, req)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && s.change != nil {
		changed := *page
		s.change(&changed)
		page = &changed
	}
	return page, err
}

// TestFollowerConfirms checks the times at which a follower is known to have read all records: those
// at which reads were sent, less the age of their pages, and only if they reach the end.
func TestFollowerConfirms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		pages := &pageStore{KeyedStore: backing}
		start := time.Now()
		var confirmed, handled, handledAtConfirm atomic.Int64
		confirmed.Store(-1)
		confirmedAt := func() time.Duration { synctest.Wait(); return time.Duration(confirmed.Load()) }
		const wait = 300 * time.Millisecond
		follower := &store.Follower{
			Store: pages, Topic: topic, Logger: discardLogger(), Handle: func(update store.Update) { handled.Add(int64(len(update.Records))) },
			Confirmed: func(at time.Duration) { confirmed.Store(int64(at)); handledAtConfirm.Store(handled.Load()) },
			Clock:     func() time.Duration { return time.Since(start) },
			ReadWait:  func() time.Duration { return wait },
		}
		appendRecord(t, backing, "a")
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		t.Cleanup(func() { stop(); <-ended })
		is.Equal(confirmedAt(), time.Duration(0)) // at once, by the first read after the load
		time.Sleep(wait + time.Millisecond)
		is.Equal(confirmedAt(), time.Duration(0)) // the read was sent then; it returned only now
		time.Sleep(wait)
		is.Equal(confirmedAt(), wait)
		appendRecord(t, backing, "b")
		is.Equal(confirmedAt(), 2*wait)             // a read that returns records
		is.Equal(handledAtConfirm.Load(), int64(2)) // they are handled before

		// Pages that show nothing about newer records.
		for _, change := range []func(*gypsum.KeyedPage){
			func(page *gypsum.KeyedPage) { page.Next++ }, func(page *gypsum.KeyedPage) { page.Next-- },
		} {
			before := confirmedAt()
			pages.setChange(change)
			time.Sleep(3 * wait)
			is.Equal(confirmedAt(), before)
			pages.setChange(nil)
			time.Sleep(3 * wait)
			is.True(confirmedAt() > before)
		}

		// A page that another daemon knew already.
		pages.setChange(func(page *gypsum.KeyedPage) { page.SentAt = time.Since(start) - 10*wait })
		before := confirmedAt()
		time.Sleep(4 * wait)
		is.True(confirmedAt() <= time.Since(start)-10*wait)
		pages.setChange(nil)
		is.True(confirmedAt() != before)

		// No read succeeds.
		backing.SetFault(fake.KeyedRefused)
		time.Sleep(wait)
		before = confirmedAt()
		time.Sleep(5 * time.Second)
		is.Equal(confirmedAt(), before)
		backing.SetFault(0)
		time.Sleep(time.Second)
		is.True(time.Since(start)-confirmedAt() <= 2*wait)
	})
}

// TestEndBeforeRecordsThatWereRead guards against an old page that is taken for the current end of a topic.
func TestEndBeforeRecordsThatWereRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		pages := &pageStore{KeyedStore: backing}
		start := time.Now()
		follower := &store.Follower{Store: pages, Topic: topic, Logger: discardLogger(), Handle: func(store.Update) {}, Clock: func() time.Duration { return time.Since(start) }}
		appendRecord(t, backing, "a")
		appendRecord(t, backing, "b")
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		t.Cleanup(func() { stop(); <-ended })
		time.Sleep(time.Minute)
		at, err := follower.CatchUpAt(t.Context())
		is.NoErr(err)
		is.Equal(at, time.Minute)
		pages.setChange(func(page *gypsum.KeyedPage) { page.Next = 1 })
		_, err = follower.CatchUpAt(t.Context())
		is.True(err != nil)
		is.True(follower.CatchUp(t.Context()) != nil)
	})
}

// TestUnconfirmedReadsWait guards against a follower that reads without a pause because no page
// reaches the end of the topic.
func TestUnconfirmedReadsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		pages := &pageStore{KeyedStore: backing, change: func(page *gypsum.KeyedPage) { page.Next++ }}
		follower := &store.Follower{
			Store: pages, Topic: topic, Logger: discardLogger(), Handle: func(store.Update) {}, Confirmed: func(time.Duration) { t.Error("confirmed") },
			Clock: func() time.Duration { return 0 }, ReadWait: func() time.Duration { return 0 },
		}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		time.Sleep(5500 * time.Millisecond)
		stop()
		<-ended
		is.True(backing.CallCount() <= 8) // the load, the first read and one a second
	})
}

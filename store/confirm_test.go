package store_test

import (
	"context"
	"sync"
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
		confirmedAt, handled, handledAtConfirm := time.Duration(-1), 0, 0
		const wait = 300 * time.Millisecond
		follower := &store.Follower{
			Store: pages, Topic: topic, Logger: discardLogger(), Handle: func(update store.Update) { handled += len(update.Records) },
			Confirmed: func(at time.Duration) { confirmedAt, handledAtConfirm = at, handled },
			Clock:     func() time.Duration { return time.Since(start) },
			ReadWait:  func() time.Duration { return wait },
		}
		appendRecord(t, backing, "a")
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		t.Cleanup(func() { stop(); <-ended })
		synctest.Wait()
		is.Equal(confirmedAt, time.Duration(0)) // at once, by the first read after the load
		time.Sleep(wait + time.Millisecond)
		synctest.Wait()
		is.Equal(confirmedAt, time.Duration(0)) // the read was sent then; it returned only now
		time.Sleep(wait)
		synctest.Wait()
		is.Equal(confirmedAt, wait)
		appendRecord(t, backing, "b")
		synctest.Wait()
		is.Equal(confirmedAt, 2*wait) // a read that returns records
		is.Equal(handledAtConfirm, 2) // they are handled before

		// Pages that show nothing about newer records.
		for _, change := range []func(*gypsum.KeyedPage){
			func(page *gypsum.KeyedPage) { page.Next++ }, func(page *gypsum.KeyedPage) { page.Next-- },
		} {
			before := confirmedAt
			pages.setChange(change)
			time.Sleep(3 * wait)
			synctest.Wait()
			is.Equal(confirmedAt, before)
			pages.setChange(nil)
			time.Sleep(3 * wait)
			synctest.Wait()
			is.True(confirmedAt > before)
		}

		// A page that another daemon knew already.
		pages.setChange(func(page *gypsum.KeyedPage) { page.SentAt = time.Since(start) - 10*wait })
		before := confirmedAt
		time.Sleep(4 * wait)
		synctest.Wait()
		is.True(confirmedAt <= time.Since(start)-10*wait)
		pages.setChange(nil)
		is.True(confirmedAt != before)

		// No read succeeds.
		backing.SetFault(fake.KeyedRefused)
		time.Sleep(wait)
		synctest.Wait()
		before = confirmedAt
		time.Sleep(5 * time.Second)
		synctest.Wait()
		is.Equal(confirmedAt, before)
		backing.SetFault(0)
		time.Sleep(time.Second)
		synctest.Wait()
		is.True(time.Since(start)-confirmedAt <= 2*wait)
	})
}

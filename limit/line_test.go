package limit_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/limit"
)

// newLineLimiter returns a limiter that gives permits for its only replica itself, four in a
// second.
func newLineLimiter() (*limit.Limiter, *gypsum.Replica) {
	replica := &gypsum.Replica{ID: "r-1", Incarnation: 1}
	logger := slog.New(slog.DiscardHandler)
	table := limit.NewTable(logger)
	table.Store = &fake.RateLimitStore{}
	rate := gypsum.RequestRate(4)
	table.ObserveRateLimit(replica, &rate, time.Now())
	limiter := limit.NewLimiter()
	limiter.Self, limiter.Table, limiter.Budgets, limiter.PeerPermits, limiter.Logger = "host-1", table, limit.NewBudgets(), &fake.PeerPermits{}, logger
	limiter.ListPeers, limiter.HolderOf = func() []gypsum.Peer { return nil }, func(gypsum.ServiceName) gypsum.HostID { return "" }
	return limiter, replica
}

// TestPermitsGoToCostliestRequests guards against permits that go to the request that asked
// first, however little its delay costs. The number of permits and their times stay the same,
// and a permit whose request has gone is used by another.
func TestPermitsGoToCostliestRequests(t *testing.T) {
	for name, row := range map[string]struct {
		leaves bool
		want   []string
	}{
		"all stay":        {want: []string{"high", "low-0", "low-1", "low-2"}},
		"one leaves":      {leaves: true, want: []string{"high", "low-1", "low-2"}},
		"short deadlines": {want: []string{"low-0", "low-1", "low-2", "high"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				limiter, replica := newLineLimiter()
				begin := time.Now()
				var mu sync.Mutex
				var order []string
				var sentAt []time.Duration
				var wg sync.WaitGroup
				send := func(ctx context.Context, id string, priority int, deadline time.Duration) {
					now := time.Now()
					work := gypsum.Work{Class: gypsum.WorkLive, Priority: priority, Arrived: now, Target: now.Add(2 * time.Second), Deadline: now.Add(deadline), Expected: 20 * time.Millisecond}
					wg.Go(func() {
						if limiter.AcquireFor(ctx, replica, 2*time.Second, &work) == nil {
							mu.Lock()
							defer mu.Unlock()
							order, sentAt = append(order, id), append(sentAt, time.Since(begin))
						}
					})
					synctest.Wait()
				}
				deadline := 4 * time.Second
				if name == "short deadlines" {
					deadline = 800 * time.Millisecond // none can be met with a later permit
				}
				leaving, leave := context.WithCancel(t.Context())
				for i := range 3 {
					ctx := t.Context()
					if i == 0 {
						ctx = leaving
					}
					send(ctx, fmt.Sprint("low-", i), 2, deadline)
				}
				send(t.Context(), "high", 0, 4*time.Second)
				if row.leaves {
					leave()
				}
				wg.Wait()
				leave()
				is.Equal(order, row.want)
				for i, at := range sentAt {
					is.True(at >= time.Duration(i+1)*250*time.Millisecond-time.Millisecond)
				}
			})
		})
	}
}

// TestPermitAfterDeadline guards against a request that waits beyond its deadline, since permits go
// to other requests again and again: no permit lets it end in time, so that its delay costs
// nothing.
func TestPermitAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limiter, replica := newLineLimiter()
		begin := time.Now()
		acquire := func(deadline, expected time.Duration) error {
			now := time.Now()
			work := gypsum.Work{Class: gypsum.WorkLive, Arrived: now, Target: now.Add(time.Second), Deadline: now.Add(deadline), Expected: expected}
			return limiter.AcquireFor(t.Context(), replica, 2*time.Second, &work)
		}
		var wg sync.WaitGroup
		wg.Go(func() { is.NoErr(acquire(4*time.Second, 20*time.Millisecond)) })
		synctest.Wait()
		var waited time.Duration
		var err error
		wg.Go(func() {
			err = acquire(600*time.Millisecond, 550*time.Millisecond)
			waited = time.Since(begin)
		})
		for range 20 {
			time.Sleep(250 * time.Millisecond)
			wg.Go(func() { is.NoErr(acquire(4*time.Second, 20*time.Millisecond)) })
		}
		wg.Wait()
		is.True(waited <= 600*time.Millisecond)
		var limited *gypsum.RateLimitError
		is.True(err == nil || errors.As(err, &limited))
	})
}

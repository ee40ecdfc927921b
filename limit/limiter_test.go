package limit_test

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/limit"
)

// TestKeepers checks that all daemons agree on the keeper, that the holder of the service
// comes first, and that the replicas are spread over the daemons.
func TestKeepers(t *testing.T) {
	is := is.New(t)
	peers := []gypsum.Peer{{Host: "a"}, {Host: "b"}, {Host: "c"}, {Host: "d"}}
	reversed := []gypsum.Peer{{Host: "d"}, {Host: "c"}, {Host: "b"}, {Host: "a"}}
	first := make(map[gypsum.HostID]int)
	for _, replica := range []gypsum.BackendID{"r-1", "r-2", "r-3", "r-4", "r-5", "r-6", "r-7", "r-8"} {
		keepers := limit.Keepers(replica, "", peers)
		is.Equal(keepers, limit.Keepers(replica, "", reversed))
		is.Equal(limit.Keepers(replica, "c", peers)[0].Host, gypsum.HostID("c"))
		first[keepers[0].Host]++
	}
	is.True(len(first) > 1)
	is.Equal(len(limit.Keepers("r-1", "c", nil)), 0)
}

// TestBudget checks the rate, the burst and the share of a substitute.
func TestBudget(t *testing.T) {
	for name, row := range map[string]struct {
		limit      gypsum.RequestRate
		substitute bool
		within10s  int // permits that can be taken within 10 s
		afterPause int // permits that can be taken at once after a pause
	}{
		"8/s":            {8, false, 80, 2},
		"fraction":       {0.5, false, 5, 1},
		"none accepted":  {0, false, 2, 1},
		"substitute 9/s": {9, true, 30, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budgets, now := limit.NewBudgets(), time.Now()
			request := gypsum.PermitRequest{Replica: "r", Limit: row.limit, Substitute: row.substitute}
			take := func() bool { return budgets.Take(request, now).Granted }
			is.True(!take()) // empty at first
			granted := 0
			for range 10000 {
				now = now.Add(time.Millisecond)
				if take() {
					granted++
				}
			}
			is.True(granted == row.within10s || granted == row.within10s-1) // the last one may be due just after
			now = now.Add(time.Minute)
			burst := 0
			for take() {
				burst++
			}
			is.Equal(burst, row.afterPause)
		})
	}
}

// TestPermitsOfUnreachableKeeper checks that another daemon gives permits in the place of an
// unreachable one, at first only for a part of the limit, and that requests within the wait of
// the next permit are sent then.
func TestPermitsOfUnreachableKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger, rate, replica := slog.New(slog.DiscardHandler), gypsum.RequestRate(9), &gypsum.Replica{ID: "r", Service: "desk"}
		var permits fake.PeerPermits
		newLimiter := func(host gypsum.HostID) *limit.Limiter {
			limiter := limit.NewLimiter()
			limiter.Self, limiter.Table, limiter.Budgets, limiter.PeerPermits, limiter.Logger = host, limit.NewTable(logger), limit.NewBudgets(), &permits, logger
			limiter.Table.Store = &fake.RateLimitStore{}
			limiter.ListPeers = func() []gypsum.Peer {
				return []gypsum.Peer{{Host: "a", Address: "a"}, {Host: "b", Address: "b"}, {Host: "c", Address: "c"}}
			}
			limiter.HolderOf = func(gypsum.ServiceName) gypsum.HostID { return "a" }
			permits.Set(string(host), limiter)
			return limiter
		}
		substitute, asking := newLimiter("b"), newLimiter("c")
		asking.HolderOf = func(gypsum.ServiceName) gypsum.HostID { return "a" }
		is.NoErr(asking.Acquire(t.Context(), replica, 0)) // no limit is known
		asking.Table.ObserveRateLimit(replica, &rate, time.Now())
		granted := func(duration time.Duration) (count int) {
			for begin := time.Now(); time.Since(begin) < duration; time.Sleep(10 * time.Millisecond) {
				if asking.Acquire(t.Context(), replica, 0) == nil {
					count++
				}
			}
			return count
		}
		early := granted(4 * time.Second)
		is.True(early >= 8 && early <= 12) // a third of the limit
		time.Sleep(2 * time.Second)
		late := granted(4 * time.Second)
		is.True(late >= 30 && late <= 37) // the whole limit
		is.True(asking.IsDenied("r", time.Now()))
		is.NoErr(asking.Acquire(t.Context(), replica, time.Second)) // waits for the next permit
		permits.Set("b", nil)
		permits.Set("c", nil)
		var limited *gypsum.RateLimitError
		err := substitute.Acquire(t.Context(), replica, 0)
		is.NoErr(err) // this daemon knows no limit
		err = asking.Acquire(t.Context(), &gypsum.Replica{ID: "r", Service: "desk", Incarnation: 1}, 0)
		is.NoErr(err) // another start of the replica
		err = asking.Acquire(t.Context(), replica, 0)
		is.True(errors.As(err, &limited) && limited.RetryAfter > 0)
		is.True(errors.Is(err, gypsum.ErrNotSent))
	})
}

// TestRecordedLimits checks that a limit that another daemon has observed is in force, until
// either daemon observes that it is lifted.
func TestRecordedLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		records, rate, replica := &fake.RateLimitStore{}, gypsum.RequestRate(9), &gypsum.Replica{ID: "r"}
		newTable := func() *limit.Table {
			table := limit.NewTable(slog.New(slog.DiscardHandler))
			table.Store = records
			done := make(chan error)
			go func() { done <- table.Run(t.Context()) }()
			t.Cleanup(func() { <-done })
			return table
		}
		observing, other := newTable(), newTable()
		isLimited := func(table *limit.Table) bool {
			time.Sleep(time.Millisecond)
			_, limited := table.Limit(replica)
			return limited
		}
		observing.ObserveRateLimit(replica, &rate, time.Now())
		is.True(isLimited(observing) && isLimited(other))
		time.Sleep(2 * time.Second)
		other.ObserveRateLimit(replica, nil, time.Now())
		is.True(!isLimited(other) && !isLimited(observing))
		time.Sleep(2 * time.Second)
		other.ObserveRateLimit(replica, &rate, time.Now())
		is.True(isLimited(observing) && isLimited(other))
		_, limited := observing.Limit(&gypsum.Replica{ID: "r", Incarnation: 1})
		is.True(!limited)
	})
}

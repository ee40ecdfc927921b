package limit_test

import (
	"log/slog"
	"strconv"
	"testing"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/limit"
)

// BenchmarkPermit measures a permit at its keeper, with the daemons of a large deployment.
func BenchmarkPermit(b *testing.B) {
	limiter := limit.NewLimiter()
	limiter.Self, limiter.Table, limiter.Budgets = "host-1", limit.NewTable(slog.New(slog.DiscardHandler)), limit.NewBudgets()
	limiter.Table.Store = &fake.RateLimitStore{}
	var peers []gypsum.Peer
	for i := range 780 {
		peers = append(peers, gypsum.Peer{Host: gypsum.HostID("host-" + strconv.Itoa(i))})
	}
	limiter.ListPeers = func() []gypsum.Peer { return peers }
	limiter.HolderOf = func(gypsum.ServiceName) gypsum.HostID { return "host-1" }
	replica, rate := &gypsum.Replica{ID: "r"}, gypsum.RequestRate(1e9)
	limiter.Table.ObserveRateLimit(replica, &rate, time.Now())
	for b.Loop() {
		_ = limiter.Acquire(b.Context(), replica, time.Second)
	}
}

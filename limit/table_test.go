package limit_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/limit"
)

// TestStatedLimits checks when a limit is in force: from its first statement until a response
// to a later request states none, or the replica restarts.
func TestStatedLimits(t *testing.T) {
	is := is.New(t)
	table := limit.NewTable(slog.New(slog.DiscardHandler))
	table.Store = &fake.RateLimitStore{}
	replica := &gypsum.Replica{ID: "r", Incarnation: 1}
	restarted := &gypsum.Replica{ID: "r", Incarnation: 2}
	rate := gypsum.RequestRate(2.5)
	beforeStatement := time.Now()
	table.ObserveRateLimit(replica, nil, beforeStatement)
	is.Equal(table.Count(), 0)
	table.ObserveRateLimit(replica, &rate, beforeStatement)
	is.Equal(table.Count(), 1)
	table.ObserveRateLimit(replica, nil, beforeStatement) // sent before the limit was stated
	is.Equal(table.Count(), 1)
	table.ObserveRateLimit(replica, nil, time.Now().Add(time.Millisecond))
	is.Equal(table.Count(), 0)
	table.ObserveRateLimit(replica, &rate, time.Now())
	table.ObserveRateLimit(restarted, nil, beforeStatement) // another start has no limit
	is.Equal(table.Count(), 0)
	table.ObserveRateLimit(restarted, &rate, time.Now())
	table.ObserveRateLimit(replica, nil, time.Now().Add(time.Millisecond)) // late response of the start before
	is.Equal(table.Count(), 1)
	is.Equal([]int64{table.Stats.Stated.Load(), table.Stats.Lifted.Load()}, []int64{3, 2})
}

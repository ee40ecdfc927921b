package relay_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum/relay"
)

// Load pattern: one of three replicas fails two requests in five, at once, while its
// health checks pass; a host sends a request each second and a half. Replicas that
// count by what they fail fail fewer requests than replicas that are put out for a
// while after each failure, and a replica that is well again gets its share back.
func TestPartialFailures(t *testing.T) {
	is := is.New(t)
	const (
		requests   = 400
		interval   = 1500 * time.Millisecond
		recoversAt = 200
	)
	type result struct{ failed, returned int }
	simulate := func(pick func(now time.Time, candidates []relay.Candidate) int, record func(chosen int, now time.Time, ok bool)) (got result) {
		random := rand.New(rand.NewPCG(1, 2))
		candidates := []relay.Candidate{newCandidate("a", "genova", "liguria"), newCandidate("b", "genova", "liguria"), newCandidate("c", "genova", "liguria")}
		now := time.Unix(0, 0)
		for i := range requests {
			now = now.Add(interval)
			chosen := pick(now, candidates)
			bad := random.Float64() < 0.4 && chosen == 0 && i < recoversAt
			if bad {
				got.failed++
			}
			if chosen == 0 && i >= recoversAt {
				got.returned++
			}
			record(chosen, now, !bad)
		}
		return got
	}
	choose := func(candidates []relay.Candidate) int {
		best := relay.Choose(candidates, home, relay.FailureCost(true, 250*time.Millisecond, 4*time.Second))
		for i := range candidates {
			if candidates[i].Replica == best.Replica {
				return i
			}
		}
		return -1
	}
	// All answers that come take the same time.
	const latency = 30 * time.Millisecond

	ejectedUntil := make([]time.Time, 3)
	failures := make([]int, 3)
	ejected := simulate(func(now time.Time, candidates []relay.Candidate) int {
		for i := range candidates {
			candidates[i].Full = now.Before(ejectedUntil[i])
		}
		return choose(candidates)
	}, func(chosen int, now time.Time, ok bool) {
		if ok {
			failures[chosen] = 0
			return
		}
		ejectedUntil[chosen] = now.Add(min(3*time.Second, 200*time.Millisecond<<min(failures[chosen], 6)))
		failures[chosen]++
	})
	stats := make([]relay.ReplicaStats, 3)
	weighted := simulate(func(now time.Time, candidates []relay.Candidate) int {
		for i := range candidates {
			candidates[i].FailureRate, candidates[i].Latency = stats[i].FailureRate(now), stats[i].Latency()
		}
		return choose(candidates)
	}, func(chosen int, now time.Time, ok bool) {
		if ok {
			stats[chosen].RecordResponse(latency, now)
		} else {
			stats[chosen].RecordFailure(now)
		}
	})
	t.Logf("failed: %d put out for a while, %d weighed; returned: %d, %d", ejected.failed, weighted.failed, ejected.returned, weighted.returned)
	is.True(weighted.failed*3 < ejected.failed)
	is.True(weighted.returned > 0)
}

// What failed says nothing of the time of answers; a replica that is full is so for
// a moment.
func TestReplicaStats(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	var stats relay.ReplicaStats
	stats.RecordFailure(now)
	is.Equal(stats.Latency(), time.Duration(0))
	stats.RecordResponse(20*time.Millisecond, now)
	is.Equal(stats.Latency(), 20*time.Millisecond)
	stats.RecordOverload(now)
	is.True(stats.Full(now.Add(100 * time.Millisecond)))
	is.True(!stats.Full(now.Add(time.Second)))
}

// A failure costs a request that may be repeated some time, any other all of it.
func TestFailureCost(t *testing.T) {
	is := is.New(t)
	is.Equal(relay.FailureCost(true, 400*time.Millisecond, 4*time.Second), 1600*time.Millisecond)
	is.Equal(relay.FailureCost(true, 400*time.Millisecond, time.Second), time.Second)
	is.Equal(relay.FailureCost(false, 400*time.Millisecond, 4*time.Second), 4*time.Second)
}

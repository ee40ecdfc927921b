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
func TestGreyReplica(t *testing.T) {
	is := is.New(t)
	const (
		requests = 400
		interval = 1500 * time.Millisecond
		wellFrom = 200
	)
	type play struct{ failed, returned int }
	run := func(pick func(now time.Time, targets []relay.Target) int, learn func(chosen int, now time.Time, ok bool)) (got play) {
		random := rand.New(rand.NewPCG(1, 2))
		targets := []relay.Target{target("a", "genova", "liguria"), target("b", "genova", "liguria"), target("c", "genova", "liguria")}
		now := time.Unix(0, 0)
		for i := range requests {
			now = now.Add(interval)
			chosen := pick(now, targets)
			bad := random.Float64() < 0.4 && chosen == 0 && i < wellFrom
			if bad {
				got.failed++
			}
			if chosen == 0 && i >= wellFrom {
				got.returned++
			}
			learn(chosen, now, !bad)
		}
		return got
	}
	choose := func(targets []relay.Target) int {
		best := relay.Choose(targets, home, relay.FailureCost(true, 250*time.Millisecond, 4*time.Second))
		for i := range targets {
			if targets[i].Replica == best.Replica {
				return i
			}
		}
		return -1
	}
	// All answers that come take the same time.
	const took = 30 * time.Millisecond

	out := make([]time.Time, 3)
	failures := make([]int, 3)
	putOut := run(func(now time.Time, targets []relay.Target) int {
		for i := range targets {
			targets[i].Full = now.Before(out[i])
		}
		return choose(targets)
	}, func(chosen int, now time.Time, ok bool) {
		if ok {
			failures[chosen] = 0
			return
		}
		out[chosen] = now.Add(min(3*time.Second, 200*time.Millisecond<<min(failures[chosen], 6)))
		failures[chosen]++
	})
	standings := make([]relay.Standing, 3)
	weighed := run(func(now time.Time, targets []relay.Target) int {
		for i := range targets {
			targets[i].Failing, targets[i].Latency = standings[i].FailureRate(now), standings[i].Latency()
		}
		return choose(targets)
	}, func(chosen int, now time.Time, ok bool) {
		if ok {
			standings[chosen].Answered(took, now)
		} else {
			standings[chosen].RecordFailure(now)
		}
	})
	t.Logf("failed: %d put out for a while, %d weighed; returned: %d, %d", putOut.failed, weighed.failed, putOut.returned, weighed.returned)
	is.True(weighed.failed*3 < putOut.failed)
	is.True(weighed.returned > 0)
}

// What failed says nothing of the time of answers; a replica that is full is so for
// a moment.
func TestStanding(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	var standing relay.Standing
	standing.RecordFailure(now)
	is.Equal(standing.Latency(), time.Duration(0))
	standing.Answered(20*time.Millisecond, now)
	is.Equal(standing.Latency(), 20*time.Millisecond)
	standing.Refused(now)
	is.True(standing.Full(now.Add(100 * time.Millisecond)))
	is.True(!standing.Full(now.Add(time.Second)))
}

// A failure costs a request that may be repeated some time, any other all of it.
func TestFailureCost(t *testing.T) {
	is := is.New(t)
	is.Equal(relay.FailureCost(true, 400*time.Millisecond, 4*time.Second), 1600*time.Millisecond)
	is.Equal(relay.FailureCost(true, 400*time.Millisecond, time.Second), time.Second)
	is.Equal(relay.FailureCost(false, 400*time.Millisecond, 4*time.Second), 4*time.Second)
}

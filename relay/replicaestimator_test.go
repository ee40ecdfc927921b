package relay_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum/relay"
)

// One of three replicas fails 40 % of its requests immediately, while its health checks
// pass; a daemon sends a request every 1.5 s. Weighing replicas by their failure rate
// causes fewer failed requests than ejecting them for a time after each failure, and a
// recovered replica gets requests again.
func TestPartialFailures(t *testing.T) {
	is := is.New(t)
	const (
		requests   = 400
		interval   = 1500 * time.Millisecond
		recoversAt = 200
	)
	type result struct{ failed, afterRecovery int }
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
				got.afterRecovery++
			}
			record(chosen, now, !bad)
		}
		return got
	}
	choose := func(candidates []relay.Candidate) int {
		best := relay.ChooseReplica(candidates, local, relay.FailureCost(true, 250*time.Millisecond, 4*time.Second))
		for i := range candidates {
			if candidates[i].Replica == best.Replica {
				return i
			}
		}
		return -1
	}
	// All responses take the same time.
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
	estimators := make([]relay.ReplicaEstimator, 3)
	weighted := simulate(func(now time.Time, candidates []relay.Candidate) int {
		for i := range candidates {
			candidates[i].FailureRate, candidates[i].Latency = estimators[i].FailureRate(now), estimators[i].Latency()
		}
		return choose(candidates)
	}, func(chosen int, now time.Time, ok bool) {
		if ok {
			estimators[chosen].RecordResponse(latency, now)
		} else {
			estimators[chosen].RecordFailure(now)
		}
	})
	t.Logf("failed requests: %d with ejection, %d with weights; requests after recovery: %d, %d", ejected.failed, weighted.failed, ejected.afterRecovery, weighted.afterRecovery)
	is.True(weighted.failed*3 < ejected.failed)
	is.True(weighted.afterRecovery > 0)
}

// Failures do not affect the latency, and a full replica is avoided only briefly.
func TestReplicaEstimator(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	var estimator relay.ReplicaEstimator
	estimator.RecordFailure(now)
	is.Equal(estimator.Latency(), time.Duration(0))
	estimator.RecordResponse(20*time.Millisecond, now)
	is.Equal(estimator.Latency(), 20*time.Millisecond)
	estimator.RecordFull(now)
	is.True(estimator.IsFull(now.Add(100 * time.Millisecond)))
	is.True(!estimator.IsFull(now.Add(time.Second)))
}

// A failure costs a retryable request some time, and any other request all its remaining
// time.
func TestFailureCost(t *testing.T) {
	is := is.New(t)
	is.Equal(relay.FailureCost(true, 400*time.Millisecond, 4*time.Second), 1600*time.Millisecond)
	is.Equal(relay.FailureCost(true, 400*time.Millisecond, time.Second), time.Second)
	is.Equal(relay.FailureCost(false, 400*time.Millisecond, 4*time.Second), 4*time.Second)
}

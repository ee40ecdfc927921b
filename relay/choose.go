// Package relay takes a live request to a replica and its answer back: which
// replica, when to try another, when to refuse and when to come back.
package relay

import (
	"time"

	"github.com/gypsumhook/gypsum"
)

// Weights of a choice.
const (
	// defaultLatency is the answer time of a replica that has not been seen.
	defaultLatency = 50 * time.Millisecond
	// dataCentreRoundTrip and regionLatency are the round trips to another data centre and
	// to another region, rounded up from the sheets.
	dataCentreRoundTrip = 5 * time.Millisecond
	regionRoundTrip     = 65 * time.Millisecond
)

// Candidate is what is known of a replica when one is chosen.
type Candidate struct {
	Replica *gypsum.Replica
	// InFlight is the number of this host's requests there, Latency the mean time of its
	// answers, zero if none was seen.
	InFlight int
	Latency  time.Duration
	// FailureRate is the part of requests that it is expected to fail.
	FailureRate float64
	// Full means that it said just now that it takes no more.
	Full bool
	// Tried means that it was handed this request before.
	Tried bool
}

// Choose returns the replica from which the answer is expected first, nil if there is
// none; a failed attempt costs the request some time. Load: replicas of one service
// differ in speed, some are several times slower for a while, and each host sees a
// small share of the requests, so that the counts of others are unknown. The answer
// time seen here stands for them. A replica that is full is taken only if all are;
// one that was tried only if all were.
func Choose(candidates []Candidate, local gypsum.Location, failureCost time.Duration) *Candidate {
	var best *Candidate
	for i := range candidates {
		if best == nil || less(&candidates[i], best, local, failureCost) {
			best = &candidates[i]
		}
	}
	return best
}

// less tells whether a target goes before another.
func less(a, b *Candidate, local gypsum.Location, failureCost time.Duration) bool {
	if a.Tried != b.Tried {
		return !a.Tried
	}
	if a.Full != b.Full {
		return !a.Full
	}
	return a.expectedCost(local, failureCost) < b.expectedCost(local, failureCost)
}

// expectedCost returns the expected time to an answer, with that of failures.
func (c *Candidate) expectedCost(local gypsum.Location, failureCost time.Duration) time.Duration {
	return c.expectedLatency(local) + time.Duration(c.FailureRate*float64(failureCost))
}

// failureCostFactor is how many times its aim a request is late after a failed attempt that
// another may follow: a second attempt and the patience before it.
const failureCostFactor = 4

// FailureCost returns what a failed attempt costs a request: time if another may
// follow, else all that the client has.
func FailureCost(retryable bool, target, remaining time.Duration) time.Duration {
	if !retryable {
		return remaining
	}
	return min(remaining, failureCostFactor*max(target, minAttemptTimeout))
}

// expectedLatency returns the expected time to an answer.
func (c *Candidate) expectedLatency(local gypsum.Location) time.Duration {
	latency := c.Latency
	if latency == 0 {
		latency = defaultLatency + roundTrips[c.Replica.Location.DistanceTo(local)]
	}
	rounds := 1 + c.InFlight/max(1, c.Replica.Slots)
	return latency*time.Duration(rounds) + latency*time.Duration(c.InFlight)/time.Duration(8*max(1, c.Replica.Slots))
}

// roundTrips are the round trips to replicas by their distance.
var roundTrips = map[gypsum.Distance]time.Duration{
	gypsum.SameDataCentre: 0, gypsum.SameRegion: dataCentreRoundTrip, gypsum.OtherRegion: regionRoundTrip,
}

// Bounds of the time that one attempt gets while others may follow.
const (
	// minAttemptTimeout is used for requests whose aim allows it: a few answers.
	minAttemptTimeout = 300 * time.Millisecond
	// attemptTimeoutFactor is how many times the mean an answer may take: beyond the longest
	// hundredth of answers in the sheets (five times the mean work).
	attemptTimeoutFactor = 6
)

// AttemptTimeout returns how long a replica may take to answer, or to begin a stream, before
// another is asked. Load: a replica falls silent without a reset, and the request's
// aim is a few hundred milliseconds; half of the aim leaves time for another replica's
// answer. The last attempt gets all the time that is left.
func AttemptTimeout(latency, target, remaining time.Duration, last bool) time.Duration {
	if last {
		return remaining
	}
	if latency == 0 {
		latency = defaultLatency
	}
	return min(remaining, max(min(minAttemptTimeout, target/2), attemptTimeoutFactor*latency))
}

// Bounds of the time after which a refused client is told to come back.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// RetryAfter returns when a refused client should come back: once as much time has
// passed again as the cause of the refusal has lasted, within bounds. An outage that
// has just begun is likely to be short, one that has lasted to go on.
func RetryAfter(elapsed time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, elapsed))
}

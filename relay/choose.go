// Package relay takes a live request to a replica and its answer back: which
// replica, when to try another, when to refuse and when to come back.
package relay

import (
	"time"

	"github.com/gypsumhook/gypsum"
)

// Weights of a choice.
const (
	// firstLatency is the answer time of a replica that has not been seen.
	firstLatency = 50 * time.Millisecond
	// centreLatency and regionLatency are the round trips to another data centre and
	// to another region, rounded up from the sheets.
	centreLatency = 5 * time.Millisecond
	regionLatency = 65 * time.Millisecond
)

// Target is what is known of a replica when one is chosen.
type Target struct {
	Replica *gypsum.Replica
	// Open is the number of this host's requests there, Latency the mean time of its
	// answers, zero if none was seen.
	Open    int
	Latency time.Duration
	// Failing is the part of requests that it is expected to fail.
	Failing float64
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
func Choose(targets []Target, home gypsum.Location, failure time.Duration) *Target {
	var best *Target
	for i := range targets {
		if best == nil || before(&targets[i], best, home, failure) {
			best = &targets[i]
		}
	}
	return best
}

// before tells whether a target goes before another.
func before(a, b *Target, home gypsum.Location, failure time.Duration) bool {
	if a.Tried != b.Tried {
		return !a.Tried
	}
	if a.Full != b.Full {
		return !a.Full
	}
	return a.cost(home, failure) < b.cost(home, failure)
}

// cost returns the expected time to an answer, with that of failures.
func (t *Target) cost(home gypsum.Location, failure time.Duration) time.Duration {
	return t.expected(home) + time.Duration(t.Failing*float64(failure))
}

// failureTimes is how many times its aim a request is late after a failed attempt that
// another may follow: a second attempt and the patience before it.
const failureTimes = 4

// FailureCost returns what a failed attempt costs a request: time if another may
// follow, else all that the client has.
func FailureCost(repeatable bool, target, left time.Duration) time.Duration {
	if !repeatable {
		return left
	}
	return min(left, failureTimes*max(target, shortestPatience))
}

// expected returns the expected time to an answer.
func (t *Target) expected(home gypsum.Location) time.Duration {
	latency := t.Latency
	if latency == 0 {
		latency = firstLatency + roundTrips[t.Replica.Location.DistanceTo(home)]
	}
	waves := 1 + t.Open/max(1, t.Replica.Slots)
	return latency*time.Duration(waves) + latency*time.Duration(t.Open)/time.Duration(8*max(1, t.Replica.Slots))
}

// roundTrips are the round trips to replicas by their distance.
var roundTrips = map[gypsum.Distance]time.Duration{
	gypsum.SameDataCentre: 0, gypsum.SameRegion: centreLatency, gypsum.OtherRegion: regionLatency,
}

// Bounds of the time that one attempt gets while others may follow.
const (
	// shortestPatience is used for requests whose aim allows it: a few answers.
	shortestPatience = 300 * time.Millisecond
	// patienceTimes is how many times the mean an answer may take: beyond the longest
	// hundredth of answers in the sheets (five times the mean work).
	patienceTimes = 6
)

// Patience returns how long a replica may take to answer, or to begin a stream, before
// another is asked. Load: a replica falls silent without a reset, and the request's
// aim is a few hundred milliseconds; half of the aim leaves time for another replica's
// answer. The last attempt gets all the time that is left.
func Patience(latency, target, left time.Duration, last bool) time.Duration {
	if last {
		return left
	}
	if latency == 0 {
		latency = firstLatency
	}
	return min(left, max(min(shortestPatience, target/2), patienceTimes*latency))
}

// Bounds of the time after which a refused client is told to come back.
const (
	shortestReturn = 200 * time.Millisecond
	longestReturn  = 2 * time.Second
)

// ReturnAfter returns when a refused client should come back: once as much time has
// passed again as the cause of the refusal has lasted, within bounds. An outage that
// has just begun is likely to be short, one that has lasted to go on.
func ReturnAfter(lasted time.Duration) time.Duration {
	return min(longestReturn, max(shortestReturn, lasted))
}

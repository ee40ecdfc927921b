// Package relay forwards live requests to replicas and returns their responses. It
// chooses the replica, decides when to try another and when to refuse, and tells refused
// clients when to retry.
package relay

import (
	"time"

	"github.com/gypsumhook/gypsum"
)

// Latencies assumed for replicas without measurements.
const (
	// defaultLatency is the assumed latency of a replica in the same data centre.
	defaultLatency = 50 * time.Millisecond
	// dataCentreRoundTrip and regionRoundTrip are the round-trip times to another data
	// centre and to another region, rounded up from the platform's specifications.
	dataCentreRoundTrip = 5 * time.Millisecond
	regionRoundTrip     = 65 * time.Millisecond
)

// Candidate is a replica that may be chosen, with what is known of it.
type Candidate struct {
	Replica *gypsum.Replica
	// Via is the daemon through which the request goes, nil for the direct path.
	Via *gypsum.Peer
	// InFlight is the number of this daemon's requests there. Latency is the moving
	// average of its response times, 0 if none was measured.
	InFlight int
	Latency  time.Duration
	// FailureRate is the expected fraction of requests that fail, 0 to 1.
	FailureRate float64
	// Full means that the replica has just refused a request because it was full, or that
	// its request rate is at its limit.
	Full bool
	// Tried means that this request was sent to the replica before.
	Tried bool

	// rateLimited means that the replica's request rate is at its limit. free is the number of
	// slots that requests of this daemon may take, bodyBytes the size of their bodies in flight.
	rateLimited bool
	free        int
	bodyBytes   int
}

// via returns the host through which the request goes, empty for the direct path.
func (c *Candidate) via() gypsum.HostID {
	if c.Via == nil {
		return ""
	}
	return c.Via.Host
}

// path returns the path of an attempt at the candidate.
func (c *Candidate) path() attemptPath { return attemptPath{replica: c.Replica.ID, via: c.via()} }

// ChooseReplica returns the replica with the lowest expected time to a response, nil if there
// are no candidates. A failed attempt is expected to cost failureCost. Replicas of a
// service differ in speed, and some are temporarily several times slower; each daemon
// sees only a small share of the requests and does not know the in-flight requests of
// others, so the latencies it measures serve as the estimate. A full replica is chosen
// only if all are full, one that was tried only if all were tried.
func ChooseReplica(candidates []Candidate, local gypsum.Location, failureCost time.Duration) *Candidate {
	var best *Candidate
	for i := range candidates {
		if best == nil || isPreferred(&candidates[i], best, local, failureCost) {
			best = &candidates[i]
		}
	}
	return best
}

// isPreferred reports whether candidate a is preferred to b.
func isPreferred(a, b *Candidate, local gypsum.Location, failureCost time.Duration) bool {
	if a.Tried != b.Tried {
		return !a.Tried
	}
	if a.Full != b.Full {
		return !a.Full
	}
	return a.expectedCost(local, failureCost) < b.expectedCost(local, failureCost)
}

// expectedCost returns the expected time to a response, including the cost of failures.
func (c *Candidate) expectedCost(local gypsum.Location, failureCost time.Duration) time.Duration {
	return c.expectedLatency(local) + time.Duration(c.FailureRate*float64(failureCost))
}

// failureCostFactor is the expected cost of a failed attempt that may be retried, in
// multiples of the latency target: the timeout of the attempt and a second attempt.
const failureCostFactor = 4

// FailureCost returns the cost of a failed attempt: a multiple of the latency target if
// the request may be retried, else all the remaining time of the client.
func FailureCost(retryable bool, target, remaining time.Duration) time.Duration {
	if !retryable {
		return remaining
	}
	return min(remaining, failureCostFactor*max(target, minAttemptTimeout))
}

// minServiceTime bounds the capacity that is expected of a replica that responds very fast.
const minServiceTime = time.Millisecond

// expectedServiceTime returns how long a request is expected to occupy a slot of the replica.
func (c *Candidate) expectedServiceTime() time.Duration {
	if c.Latency == 0 {
		return defaultLatency
	}
	return c.Latency
}

// expectedLatency returns the expected time to a response, including the wait for a
// slot.
func (c *Candidate) expectedLatency(local gypsum.Location) time.Duration {
	latency := c.Latency
	if latency == 0 {
		latency = defaultLatency + roundTripByDistance[c.Replica.Location.DistanceTo(local)]
	}
	rounds := 1 + c.InFlight/max(1, c.Replica.Slots)
	return latency*time.Duration(rounds) + latency*time.Duration(c.InFlight)/time.Duration(8*max(1, c.Replica.Slots))
}

// roundTripByDistance are the assumed round-trip times to replicas by distance.
var roundTripByDistance = map[gypsum.Distance]time.Duration{
	gypsum.SameDataCentre: 0, gypsum.SameRegion: dataCentreRoundTrip, gypsum.OtherRegion: regionRoundTrip,
}

// Bounds of the timeout of an attempt that may be followed by another.
const (
	// minAttemptTimeout is the lower bound for requests whose latency target allows it.
	// It allows for several typical response times.
	minAttemptTimeout = 300 * time.Millisecond
	// attemptTimeoutFactor is the timeout in multiples of the mean latency. It is above
	// the 99th percentile of response times in the platform's specifications (five times
	// the mean).
	attemptTimeoutFactor = 6
)

// AttemptTimeout returns how long a replica may take to respond, or to start a stream,
// before another is tried. A replica may stop responding without a connection reset,
// while latency targets are a few hundred milliseconds; half of the target leaves time
// for another replica to respond. The last attempt gets all the remaining time.
func AttemptTimeout(latency, target, remaining time.Duration, isLast bool) time.Duration {
	if isLast {
		return remaining
	}
	if latency == 0 {
		latency = defaultLatency
	}
	return min(remaining, max(min(minAttemptTimeout, target/2), attemptTimeoutFactor*latency))
}

// permitWaitDivisor is the part of a request's latency target, and of its remaining time,
// that it may wait for a permit.
const permitWaitDivisor = 2

// PermitWait returns how long a request may wait until the last replica left accepts it by its
// rate limit. Requests that come in a burst, at a mean rate within the limit, are served a
// little late. Beyond that, the client is told at once when to come back.
func PermitWait(target, remaining time.Duration) time.Duration {
	return max(0, min(target, remaining)/permitWaitDivisor)
}

// Bounds of the retry delay that refusals recommend to clients.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// RetryAfter returns the retry delay for a refused client: as long as the cause of the
// refusal has lasted so far, within bounds. An outage that has just started is likely to
// be short, a long one likely to continue.
func RetryAfter(elapsed time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, elapsed))
}

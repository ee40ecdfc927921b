package relay

import (
	"math"
	"time"
)

// Bounds of what is learned of a replica.
const (
	// latencyWeight is the weight of the newest answer time.
	latencyWeight = 0.25
	// outcomeWeight is the weight of the newest outcome: after one failure the
	// replica is expected to fail three in ten.
	outcomeWeight = 0.3
	// outcomeHalfLife is the time in which what is held against a replica halves
	// without requests: a few times the doubling waits of a replica's restart.
	outcomeHalfLife = 5 * time.Second
	// fullTime is the time for which a replica that said that it is full is taken
	// only if all are: a few answers, so that slots are free again.
	fullTime = 200 * time.Millisecond
)

// Standing is what one host has seen of a replica's answers. Load: some replicas fail
// a part of their requests at once, while their health checks pass, for some
// callers only; each host sees a few requests a second. So a replica is not in or out:
// the part that it is expected to fail counts in the choice, falls with each success
// and, for replicas that get no requests, with time, so that the return is gentle.
type Standing struct {
	latency time.Duration
	failing float64
	asOf    time.Time
	full    time.Time
}

// Answered learns from a whole answer.
func (s *Standing) Answered(took time.Duration, now time.Time) {
	s.failing = (1 - outcomeWeight) * s.Failing(now)
	s.asOf = now
	if s.latency == 0 {
		s.latency = took
		return
	}
	s.latency += time.Duration(latencyWeight * float64(took-s.latency))
}

// Failed learns from an attempt that brought no answer, or an error in place of one.
// Its time says nothing: many failures are quick.
func (s *Standing) Failed(now time.Time) {
	s.failing = (1-outcomeWeight)*s.Failing(now) + outcomeWeight
	s.asOf = now
}

// Full learns that the replica took no request, since others held all its places.
func (s *Standing) Full(now time.Time) { s.full = now.Add(fullTime) }

// Failing returns the part of requests that the replica is expected to fail.
func (s *Standing) Failing(now time.Time) float64 {
	if s.failing == 0 {
		return 0
	}
	return s.failing * math.Exp2(-now.Sub(s.asOf).Seconds()/outcomeHalfLife.Seconds())
}

// Latency returns the mean time of answers, zero if there was none.
func (s *Standing) Latency() time.Duration { return s.latency }

// IsFull tells whether the replica said just now that it is full.
func (s *Standing) IsFull(now time.Time) bool { return now.Before(s.full) }

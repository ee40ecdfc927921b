package relay

import (
	"time"

	"github.com/gypsumhook/gypsum/health"
)

// Bounds of what is learned of a replica.
const (
	// latencyWeight is the weight of the newest answer time.
	latencyWeight = 0.25
	// fullCooldown is the time for which a replica that said that it is full is taken
	// only if all are: a few answers, so that slots are free again.
	fullCooldown = 200 * time.Millisecond
)

// ReplicaStats is what one host has seen of a replica's answers.
type ReplicaStats struct {
	health.FailureEstimator

	latency   time.Duration
	fullUntil time.Time
}

// RecordResponse learns from a whole answer. Failures say nothing of the time: many are quick.
func (s *ReplicaStats) RecordResponse(elapsed time.Duration, now time.Time) {
	s.RecordSuccess(now)
	if s.latency == 0 {
		s.latency = elapsed
		return
	}
	s.latency += time.Duration(latencyWeight * float64(elapsed-s.latency))
}

// RecordOverload learns that the replica took no request, since others held all its places.
func (s *ReplicaStats) RecordOverload(now time.Time) { s.fullUntil = now.Add(fullCooldown) }

// Latency returns the mean time of answers, zero if there was none.
func (s *ReplicaStats) Latency() time.Duration { return s.latency }

// Full tells whether the replica said just now that it is full.
func (s *ReplicaStats) Full(now time.Time) bool { return now.Before(s.fullUntil) }

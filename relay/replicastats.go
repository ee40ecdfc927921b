package relay

import (
	"time"

	"github.com/gypsumhook/gypsum/health"
)

// Parameters of the statistics of a replica.
const (
	// latencyWeight is the weight of the latest response time in the moving average.
	latencyWeight = 0.25
	// fullCooldown is how long a replica that was full is avoided unless all are: a few
	// response times, after which slots are free again.
	fullCooldown = 200 * time.Millisecond
)

// ReplicaStats are the statistics of a replica's responses, as observed by one daemon.
type ReplicaStats struct {
	health.FailureEstimator

	latency   time.Duration
	fullUntil time.Time
}

// RecordResponse records a complete response. Failures do not count for the latency,
// since many of them are fast.
func (s *ReplicaStats) RecordResponse(elapsed time.Duration, now time.Time) {
	s.RecordSuccess(now)
	if s.latency == 0 {
		s.latency = elapsed
		return
	}
	s.latency += time.Duration(latencyWeight * float64(elapsed-s.latency))
}

// RecordFull records that the replica refused a request because it was full.
func (s *ReplicaStats) RecordFull(now time.Time) { s.fullUntil = now.Add(fullCooldown) }

// Latency returns the moving average of the response times, 0 if there were none.
func (s *ReplicaStats) Latency() time.Duration { return s.latency }

// Full reports whether the replica was full within fullCooldown.
func (s *ReplicaStats) Full(now time.Time) bool { return now.Before(s.fullUntil) }

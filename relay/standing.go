package relay

import (
	"time"

	"github.com/gypsumhook/gypsum/health"
)

// Bounds of what is learned of a replica.
const (
	// latencyWeight is the weight of the newest answer time.
	latencyWeight = 0.25
	// fullTime is the time for which a replica that said that it is full is taken
	// only if all are: a few answers, so that slots are free again.
	fullTime = 200 * time.Millisecond
)

// Standing is what one host has seen of a replica's answers.
type Standing struct {
	health.FailureEstimator

	latency time.Duration
	full    time.Time
}

// Answered learns from a whole answer. Failures say nothing of the time: many are quick.
func (s *Standing) Answered(took time.Duration, now time.Time) {
	s.RecordSuccess(now)
	if s.latency == 0 {
		s.latency = took
		return
	}
	s.latency += time.Duration(latencyWeight * float64(took-s.latency))
}

// Refused learns that the replica took no request, since others held all its places.
func (s *Standing) Refused(now time.Time) { s.full = now.Add(fullTime) }

// Latency returns the mean time of answers, zero if there was none.
func (s *Standing) Latency() time.Duration { return s.latency }

// Full tells whether the replica said just now that it is full.
func (s *Standing) Full(now time.Time) bool { return now.Before(s.full) }

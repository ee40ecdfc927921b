// Package health learns from outcomes what part of its work a backend server is
// expected to fail.
package health

import (
	"math"
	"time"
)

// Weights of what is learned.
const (
	// newestOutcomeWeight is the weight of the newest outcome: after one failure a backend
	// server is expected to fail three in ten.
	newestOutcomeWeight = 0.3
	// halfLife is the time in which what is held against one halves without work: a few
	// times the time that a restart takes.
	halfLife = 5 * time.Second
)

// FailureEstimator are what one daemon has seen of a backend server. Load: some fail a part of
// their work at once, while their health checks pass, for some callers only, and
// each caller sees little of it. So none is in or out: the part that one is expected to
// fail counts in each choice, falls with each success and, for those that get no work,
// with time, so that the return is gentle.
type FailureEstimator struct {
	rate      float64
	updatedAt time.Time
}

// RecordSuccess learns from work that was done.
func (e *FailureEstimator) RecordSuccess(now time.Time) { e.record(0, now) }

// RecordFailure learns from work that failed.
func (e *FailureEstimator) RecordFailure(now time.Time) { e.record(1, now) }

// record takes in an outcome.
func (e *FailureEstimator) record(outcome float64, now time.Time) {
	e.rate = (1-newestOutcomeWeight)*e.FailureRate(now) + newestOutcomeWeight*outcome
	e.updatedAt = now
}

// FailureRate returns the part of its work, 0 to 1, that the backend server is expected to fail.
func (e *FailureEstimator) FailureRate(now time.Time) float64 {
	if e.rate == 0 {
		return 0
	}
	return e.rate * math.Exp2(-now.Sub(e.updatedAt).Seconds()/halfLife.Seconds())
}

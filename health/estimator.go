// Package health estimates the failure rate of a backend server from the results of the
// work sent to it.
package health

import (
	"math"
	"time"
)

// Parameters of the moving average.
const (
	// latestResultWeight is the weight of the latest result: one failure after a clean
	// record sets the estimate to 0.3.
	latestResultWeight = 0.3
	// failureRateHalfLife is the time in which the estimate halves without new results: a
	// few times the duration of a restart.
	failureRateHalfLife = 5 * time.Second
)

// FailureEstimator estimates the failure rate of one backend server as observed by one
// daemon. A backend server may fail part of its work immediately, for some callers only,
// while its health checks pass, and each daemon observes few of these failures. The
// estimate therefore never ejects a backend server: callers weigh it in each choice. It
// falls with each success and, without new results, with time, so that a recovered
// backend server gets work back gradually.
//
// The zero value estimates a failure rate of 0.
type FailureEstimator struct {
	rate      float64
	updatedAt time.Time
}

// RecordSuccess updates the estimate with a success.
func (e *FailureEstimator) RecordSuccess(now time.Time) { e.recordResult(0, now) }

// RecordFailure updates the estimate with a failure.
func (e *FailureEstimator) RecordFailure(now time.Time) { e.recordResult(1, now) }

// recordResult updates the moving average with a result, 1 for a failure and 0 for a success.
func (e *FailureEstimator) recordResult(result float64, now time.Time) {
	e.rate = (1-latestResultWeight)*e.FailureRate(now) + latestResultWeight*result
	e.updatedAt = now
}

// FailureRate returns the expected fraction of failing work, from 0 to 1.
func (e *FailureEstimator) FailureRate(now time.Time) float64 {
	if e.rate == 0 {
		return 0
	}
	return e.rate * math.Exp2(-now.Sub(e.updatedAt).Seconds()/failureRateHalfLife.Seconds())
}

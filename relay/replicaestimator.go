package relay

import (
	"time"

	"github.com/gypsumhook/gypsum/health"
)

// Parameters of a ReplicaEstimator.
const (
	// latestLatencyWeight is the weight of the latest response time in the moving average.
	latestLatencyWeight = 0.25
	// fullCooldown is how long a replica that was full is avoided unless all are: a few
	// response times, after which slots are free again.
	fullCooldown = 200 * time.Millisecond
)

// ReplicaEstimator estimates the latency and the failure rate of a replica from its
// responses, as observed by one daemon.
type ReplicaEstimator struct {
	health.FailureEstimator

	latency   time.Duration
	fullUntil time.Time
}

// RecordResponse records a complete response. Failures do not count for the latency,
// since many of them are fast.
func (e *ReplicaEstimator) RecordResponse(elapsed time.Duration, now time.Time) {
	e.RecordSuccess(now)
	if e.latency == 0 {
		e.latency = elapsed
		return
	}
	e.latency += time.Duration(latestLatencyWeight * float64(elapsed-e.latency))
}

// RecordFull records that the replica refused a request because it was full.
func (e *ReplicaEstimator) RecordFull(now time.Time) { e.fullUntil = now.Add(fullCooldown) }

// Latency returns the moving average of the response times, 0 if there were none.
func (e *ReplicaEstimator) Latency() time.Duration { return e.latency }

// IsFull reports whether the replica was full within fullCooldown.
func (e *ReplicaEstimator) IsFull(now time.Time) bool { return now.Before(e.fullUntil) }

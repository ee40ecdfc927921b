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

	latency ResponseTime
	// rewardLatency is that of reward calls, which take many times as long as live
	// requests of the same service.
	rewardLatency ResponseTime
	fullUntil     time.Time
}

// ResponseTime is a moving average of response times, 0 if there were none.
type ResponseTime time.Duration

// Record updates the average.
func (t *ResponseTime) Record(elapsed time.Duration) {
	if *t == 0 {
		*t = ResponseTime(elapsed)
		return
	}
	*t += ResponseTime(latestLatencyWeight * float64(elapsed-time.Duration(*t)))
}

// RecordResponse records a complete response to a live request. Failures do not count for
// the latency, since many of them are fast.
func (e *ReplicaEstimator) RecordResponse(elapsed time.Duration, now time.Time) {
	e.RecordSuccess(now)
	e.latency.Record(elapsed)
}

// RecordRewardResponse records a complete response to a reward call.
func (e *ReplicaEstimator) RecordRewardResponse(elapsed time.Duration, now time.Time) {
	e.RecordSuccess(now)
	e.rewardLatency.Record(elapsed)
}

// RecordFull records that the replica refused a request because it was full.
func (e *ReplicaEstimator) RecordFull(now time.Time) { e.fullUntil = now.Add(fullCooldown) }

// Latency returns the moving average of the response times to live requests, 0 if there
// were none.
func (e *ReplicaEstimator) Latency() time.Duration { return time.Duration(e.latency) }

// RewardLatency returns that of reward calls.
func (e *ReplicaEstimator) RewardLatency() time.Duration { return time.Duration(e.rewardLatency) }

// IsFull reports whether the replica was full within fullCooldown.
func (e *ReplicaEstimator) IsFull(now time.Time) bool { return now.Before(e.fullUntil) }

package sched

import (
	"math"
	"sync"
	"time"
)

// eventTimeHalfLife is the time in which the weight of a measurement halves. It covers
// about ten events of one attempt, so that single late events hardly change the estimate,
// while an engine that has become several times slower is noticed within half a second.
const eventTimeHalfLife = 300 * time.Millisecond

// recentHalfLife is the same for the recent estimate, which covers a few events of one attempt, so
// that the beginning and the end of a slow period of 600 ms are noticed within some 100 ms.
const recentHalfLife = 80 * time.Millisecond

// EventTimer estimates the time per event of an engine from the times between the events of
// its attempts. It is safe for concurrent use. The zero value has no estimate.
type EventTimer struct {
	mu sync.Mutex
	// sum and count are those of the times added since the last update.
	sum   time.Duration
	count int
	// weightedSum and weightedCount are those of all times, weighted by their age. Their
	// ratio is the mean of the times, not weighted by their duration.
	weightedSum   float64
	weightedCount float64
	// recentSum and recentCount are the same, weighted by recentHalfLife.
	recentSum   float64
	recentCount float64
	updatedAt   time.Time
}

// Add adds the time between two events.
func (t *EventTimer) Add(gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum += gap
	t.count++
}

// Reset discards the estimate.
func (t *EventTimer) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum, t.count, t.weightedSum, t.weightedCount, t.recentSum, t.recentCount = 0, 0, 0, 0, 0, 0
}

// Update updates the estimate with the times added since the last call. The estimate does
// not change without new times, and hardly depends on how often Update is called.
func (t *EventTimer) Update(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count == 0 {
		return
	}
	elapsed := now.Sub(t.updatedAt).Seconds()
	decay, recentDecay := math.Exp2(-elapsed/eventTimeHalfLife.Seconds()), math.Exp2(-elapsed/recentHalfLife.Seconds())
	t.weightedSum = t.weightedSum*decay + float64(t.sum)
	t.weightedCount = t.weightedCount*decay + float64(t.count)
	t.recentSum = t.recentSum*recentDecay + float64(t.sum)
	t.recentCount = t.recentCount*recentDecay + float64(t.count)
	t.sum, t.count, t.updatedAt = 0, 0, now
}

// EventTime returns the estimate, 0 if nothing was measured.
func (t *EventTimer) EventTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.weightedCount == 0 {
		return 0
	}
	return time.Duration(math.Round(t.weightedSum / t.weightedCount))
}

// RecentEventTime returns the estimate of the last events and the time of the update that added
// them, 0 if nothing was measured.
func (t *EventTimer) RecentEventTime() (eventTime time.Duration, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.recentCount == 0 {
		return 0, time.Time{}
	}
	return time.Duration(math.Round(t.recentSum / t.recentCount)), t.updatedAt
}

package queue

import (
	"math"
	"time"
)

// reserveTimeConstant is the time constant of the average number of running live calls.
const reserveTimeConstant = 2 * time.Second

// slotReserve determines how many slots to keep free of trainers' calls.
type slotReserve struct {
	meanLive    float64
	runningLive int
	updatedAt   time.Time
	// meanBudget is the average time budget of live calls in nanoseconds.
	meanBudget float64
}

// observeBudget updates the average budget with that of a live call.
func (r *slotReserve) observeBudget(budget time.Duration) {
	if r.meanBudget == 0 {
		r.meanBudget = float64(budget)
	}
	r.meanBudget += meanGain * (float64(budget) - r.meanBudget)
}

// setRunningLive sets the number of running live calls.
func (r *slotReserve) setRunningLive(live int, now time.Time) {
	r.updateMean(now)
	r.runningLive = live
}

// updateMean advances the average to the current time.
func (r *slotReserve) updateMean(now time.Time) {
	if !r.updatedAt.IsZero() {
		weight := 1 - math.Exp(-now.Sub(r.updatedAt).Seconds()/reserveTimeConstant.Seconds())
		r.meanLive += weight * (float64(r.runningLive) - r.meanLive)
	}
	r.updatedAt = now
}

// reservedSlots returns how many of the slots trainers' calls must leave free: as many as live
// calls use on average, and at most half. Live calls beyond that preempt trainers'
// calls.
func (r *slotReserve) reservedSlots(now time.Time, slots int) int {
	r.updateMean(now)
	return min(int(r.meanLive), slots/2)
}

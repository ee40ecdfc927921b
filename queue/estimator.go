package queue

import (
	"math"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Gains of the moving averages: the weight of a new measurement.
const (
	meanGain      = 0.125
	deviationGain = 0.25
)

// defaultEstimate is the expected duration of a call before any was measured.
const defaultEstimate = 50 * time.Millisecond

// initialDeviationDivisor sets the initial deviation to 1/initialDeviationDivisor of the
// first measured duration.
const initialDeviationDivisor = 6

// marginDeviations is the number of mean deviations in the margin of an estimate.
const marginDeviations = 12

// estimator estimates how long calls occupy a slot from moving averages.
type estimator struct {
	// perToken is the time per token in nanoseconds, tokenShare the fraction of
	// max_tokens that calls use.
	perToken   float64
	tokenShare float64
	// mean is the average duration of calls, deviation their average deviation from the
	// estimates, both in nanoseconds.
	mean         float64
	deviation    float64
	observations int
}

// estimate returns how long a call is expected to occupy a slot.
func (e *estimator) estimate(call *gypsum.Call) time.Duration {
	if e.observations == 0 {
		return defaultEstimate
	}
	if call.Generation == nil || e.perToken == 0 {
		return time.Duration(e.mean)
	}
	remaining := call.Generation.MaxTokens - call.Generation.ResumeTokens
	return time.Duration(e.perToken * e.tokenShare * float64(max(1, remaining)))
}

// meanTime returns the mean duration of calls.
func (e *estimator) meanTime() time.Duration {
	if e.observations == 0 {
		return defaultEstimate
	}
	return time.Duration(e.mean)
}

// margin returns the uncertainty of the estimates.
func (e *estimator) margin() time.Duration {
	return time.Duration(e.deviation * marginDeviations)
}

// observe updates the averages with the duration of a complete response.
func (e *estimator) observe(call *gypsum.Call, elapsed time.Duration, tokens int) {
	expected := e.estimate(call)
	e.observations++
	if e.observations == 1 {
		e.mean = float64(elapsed)
		e.deviation = float64(elapsed) / initialDeviationDivisor
	}
	e.mean += meanGain * (float64(elapsed) - e.mean)
	if call.Generation != nil && tokens > 0 {
		e.observeTokens(call, elapsed, tokens)
	}
	if e.observations > 1 {
		e.deviation += deviationGain * (abs(float64(elapsed-expected)) - e.deviation)
	}
}

// observeTokens updates the averages of the generation speed and the response length.
func (e *estimator) observeTokens(call *gypsum.Call, elapsed time.Duration, tokens int) {
	perToken := float64(elapsed) / float64(tokens)
	share := float64(tokens) / float64(max(1, call.Generation.MaxTokens-call.Generation.ResumeTokens))
	if e.perToken == 0 {
		e.perToken, e.tokenShare = perToken, share
	}
	e.perToken += meanGain * (perToken - e.perToken)
	e.tokenShare += meanGain * (share - e.tokenShare)
}

func abs(value float64) float64 {
	return max(value, -value)
}

// reserveTimeConstant is the time constant of the average number of running live calls.
const reserveTimeConstant = 2 * time.Second

// minReserveMean is the average number of live calls below which no slot is reserved.
const minReserveMean = 0.01

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

// setRunning sets the number of running live calls.
func (r *slotReserve) setRunning(live int, now time.Time) {
	r.update(now)
	r.runningLive = live
}

// update advances the average to the current time.
func (r *slotReserve) update(now time.Time) {
	if !r.updatedAt.IsZero() {
		weight := 1 - math.Exp(-now.Sub(r.updatedAt).Seconds()/reserveTimeConstant.Seconds())
		r.meanLive += weight * (float64(r.runningLive) - r.meanLive)
	}
	r.updatedAt = now
}

// slots returns how many of the slots trainers' calls must leave free: as many as live
// calls use on average, and at most half. Live calls beyond that preempt trainers'
// calls.
func (r *slotReserve) slots(now time.Time, slots int) int {
	r.update(now)
	if r.meanLive < minReserveMean && r.runningLive == 0 {
		return 0
	}
	return min(int(r.meanLive), slots/2)
}

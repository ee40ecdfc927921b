package queue

import (
	"math"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Weights of new measurements in the moving averages.
const (
	meanGain      = 0.125
	deviationGain = 0.25
)

// defaultEstimate is the expected time of a call before any was measured.
const defaultEstimate = 50 * time.Millisecond

// initialDeviationDivisor is the part of the first measured time that is taken for
// the deviation at first: 1/firstDeviationParts.
const initialDeviationDivisor = 6

// marginDeviations is how many mean deviations the margin of an expected time holds.
const marginDeviations = 12

// estimator learns how long calls hold a slot.
type estimator struct {
	// PerToken is the time for one token, Share the part of max_tokens that is used.
	perToken   float64
	tokenShare float64
	mean       float64
	deviation  float64
	samples    int
}

// estimate returns the time that a call is expected to hold a slot.
func (e *estimator) estimate(call *gypsum.Call) time.Duration {
	if e.samples == 0 {
		return defaultEstimate
	}
	if call.Generation == nil || e.perToken == 0 {
		return time.Duration(e.mean)
	}
	remaining := call.Generation.MaxTokens - call.Generation.ResumeTokens
	return time.Duration(e.perToken * e.tokenShare * float64(max(1, remaining)))
}

// meanTime returns the mean time of calls.
func (e *estimator) meanTime() time.Duration {
	if e.samples == 0 {
		return defaultEstimate
	}
	return time.Duration(e.mean)
}

// margin returns the uncertainty of expected times.
func (e *estimator) margin() time.Duration {
	return time.Duration(e.deviation * marginDeviations)
}

// observe takes the time of a whole answer into the averages.
func (e *estimator) observe(call *gypsum.Call, elapsed time.Duration, tokens int) {
	expected := e.estimate(call)
	e.samples++
	if e.samples == 1 {
		e.mean = float64(elapsed)
		e.deviation = float64(elapsed) / initialDeviationDivisor
	}
	e.mean += meanGain * (float64(elapsed) - e.mean)
	if call.Generation != nil && tokens > 0 {
		e.observeTokens(call, elapsed, tokens)
	}
	if e.samples > 1 {
		e.deviation += deviationGain * (abs(float64(elapsed-expected)) - e.deviation)
	}
}

// observeTokens takes the speed and length of an engine's answer into the averages.
func (e *estimator) observeTokens(call *gypsum.Call, elapsed time.Duration, tokens int) {
	perToken := float64(elapsed) / float64(tokens)
	share := float64(tokens) / float64(max(1, call.Generation.MaxTokens-call.Generation.ResumeTokens))
	if e.perToken == 0 {
		e.perToken, e.tokenShare = perToken, share
	}
	e.perToken += meanGain * (perToken - e.perToken)
	e.tokenShare += meanGain * (share - e.tokenShare)
}

// abs returns the absolute value.
func abs(value float64) float64 {
	return max(value, -value)
}

// reserveTimeConstant is the time constant of the mean number of live calls.
const reserveTimeConstant = 2 * time.Second

// minReserveMean is the mean number of live calls below which no slot is kept free.
const minReserveMean = 0.01

// slotReserve learns how many slots to keep free of trainers' calls.
type slotReserve struct {
	meanLive    float64
	runningLive int
	updatedAt   time.Time
	// Budget is the mean time that live calls allow.
	meanBudget float64
}

// observeBudget notes the time that a live call allows.
func (r *slotReserve) observeBudget(budget time.Duration) {
	if r.meanBudget == 0 {
		r.meanBudget = float64(budget)
	}
	r.meanBudget += meanGain * (float64(budget) - r.meanBudget)
}

// setRunning notes how many live calls run from now on.
func (r *slotReserve) setRunning(live int, now time.Time) {
	r.update(now)
	r.runningLive = live
}

// update moves the mean to the present.
func (r *slotReserve) update(now time.Time) {
	if !r.updatedAt.IsZero() {
		weight := 1 - math.Exp(-now.Sub(r.updatedAt).Seconds()/reserveTimeConstant.Seconds())
		r.meanLive += weight * (float64(r.runningLive) - r.meanLive)
	}
	r.updatedAt = now
}

// slots returns how many of the slots trainers' calls must leave free: those that
// live calls use on average. Above that, live calls take slots from trainers'.
func (r *slotReserve) slots(now time.Time, slots int) int {
	r.update(now)
	if r.meanLive < minReserveMean && r.runningLive == 0 {
		return 0
	}
	return min(int(r.meanLive), slots/2)
}

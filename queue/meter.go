package queue

import (
	"math"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Weights of new measurements in the moving averages.
const (
	meterGain     = 0.125
	deviationGain = 0.25
)

// firstExpectation is the expected time of a call before any was measured.
const firstExpectation = 50 * time.Millisecond

// firstDeviationParts is the part of the first measured time that is taken for
// the deviation at first: 1/firstDeviationParts.
const firstDeviationParts = 6

// deviations is how many mean deviations the margin of an expected time holds.
const deviations = 12

// meter learns how long calls hold a slot.
type meter struct {
	// PerToken is the time for one token, Share the part of max_tokens that is used.
	perToken  float64
	share     float64
	mean      float64
	deviation float64
	samples   int
}

// expect returns the time that a call is expected to hold a slot.
func (m *meter) expect(call *gypsum.Call) time.Duration {
	if m.samples == 0 {
		return firstExpectation
	}
	if call.Generation == nil || m.perToken == 0 {
		return time.Duration(m.mean)
	}
	left := call.Generation.MaxTokens - call.Generation.ResumeTokens
	return time.Duration(m.perToken * m.share * float64(max(1, left)))
}

// typical returns the mean time of calls.
func (m *meter) typical() time.Duration {
	if m.samples == 0 {
		return firstExpectation
	}
	return time.Duration(m.mean)
}

// margin returns the uncertainty of expected times.
func (m *meter) margin() time.Duration {
	return time.Duration(m.deviation * deviations)
}

// learn takes the time of a whole answer into the averages.
func (m *meter) learn(call *gypsum.Call, took time.Duration, tokens int) {
	expected := m.expect(call)
	m.samples++
	if m.samples == 1 {
		m.mean = float64(took)
		m.deviation = float64(took) / firstDeviationParts
	}
	m.mean += meterGain * (float64(took) - m.mean)
	if call.Generation != nil && tokens > 0 {
		m.learnTokens(call, took, tokens)
	}
	if m.samples > 1 {
		m.deviation += deviationGain * (abs(float64(took-expected)) - m.deviation)
	}
}

// learnTokens takes the speed and length of an engine's answer into the averages.
func (m *meter) learnTokens(call *gypsum.Call, took time.Duration, tokens int) {
	perToken := float64(took) / float64(tokens)
	share := float64(tokens) / float64(max(1, call.Generation.MaxTokens-call.Generation.ResumeTokens))
	if m.perToken == 0 {
		m.perToken, m.share = perToken, share
	}
	m.perToken += meterGain * (perToken - m.perToken)
	m.share += meterGain * (share - m.share)
}

// abs returns the absolute value.
func abs(value float64) float64 {
	return max(value, -value)
}

// reserveTime is the time constant of the mean number of live calls.
const reserveTime = 2 * time.Second

// reserveLeast is the mean number of live calls below which no slot is kept free.
const reserveLeast = 0.01

// reserve learns how many slots to keep free of trainers' calls.
type reserve struct {
	mean   float64
	now    int
	lastAt time.Time
	// Budget is the mean time that live calls allow.
	budget float64
}

// arrived notes the time that a live call allows.
func (r *reserve) arrived(budget time.Duration) {
	if r.budget == 0 {
		r.budget = float64(budget)
	}
	r.budget += meterGain * (float64(budget) - r.budget)
}

// running notes how many live calls run from now on.
func (r *reserve) running(live int, now time.Time) {
	r.advance(now)
	r.now = live
}

// advance moves the mean to the present.
func (r *reserve) advance(now time.Time) {
	if !r.lastAt.IsZero() {
		weight := 1 - math.Exp(-now.Sub(r.lastAt).Seconds()/reserveTime.Seconds())
		r.mean += weight * (float64(r.now) - r.mean)
	}
	r.lastAt = now
}

// slots returns how many of the slots trainers' calls must leave free: those that
// live calls use on average. Above that, live calls take slots from trainers'.
func (r *reserve) slots(now time.Time, slots int) int {
	r.advance(now)
	if r.mean < reserveLeast && r.now == 0 {
		return 0
	}
	return min(int(r.mean), slots/2)
}

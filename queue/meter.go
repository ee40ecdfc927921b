package queue

import (
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

// deviations is how many mean deviations the margin of an expected time holds.
const deviations = 4

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

// reserveWindow is how long a peak of live calls keeps slots free for the next.
const reserveWindow = 10 * time.Second

// reserve learns how many slots to keep free of trainers' calls.
type reserve struct {
	peak   int
	peakAt time.Time
	lastAt time.Time
}

// arrived notes a call's arrival.
func (r *reserve) arrived(class gypsum.Class, now time.Time) {
	if class == gypsum.ClassLive {
		r.lastAt = now
	}
}

// running notes how many live calls run.
func (r *reserve) running(live int, now time.Time) {
	if live >= r.peak || now.Sub(r.peakAt) > reserveWindow {
		r.peak, r.peakAt = live, now
	}
}

// slots returns how many of the slots trainers' calls must leave free.
func (r *reserve) slots(now time.Time, slots int) int {
	if r.lastAt.IsZero() || now.Sub(r.lastAt) > reserveWindow {
		return 0
	}
	return min(r.peak+1, slots/2)
}

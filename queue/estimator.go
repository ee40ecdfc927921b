package queue

import (
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
	// nanosPerToken is the time per token in nanoseconds, tokenShare the fraction of
	// max_tokens that calls use.
	nanosPerToken float64
	tokenShare    float64
	// meanNanos is the average duration of calls, deviationNanos their average deviation
	// from the estimates, both in nanoseconds.
	meanNanos      float64
	deviationNanos float64
	observations   int
}

// estimateDuration returns how long a call is expected to occupy a slot.
func (e *estimator) estimateDuration(call *gypsum.Call) time.Duration {
	if e.observations == 0 {
		return defaultEstimate
	}
	if call.Generation == nil || e.nanosPerToken == 0 {
		return time.Duration(e.meanNanos)
	}
	remaining := call.Generation.MaxTokens - call.Generation.ResumeTokens
	return time.Duration(e.nanosPerToken * e.tokenShare * float64(max(1, remaining)))
}

// meanDuration returns the mean duration of calls.
func (e *estimator) meanDuration() time.Duration {
	if e.observations == 0 {
		return defaultEstimate
	}
	return time.Duration(e.meanNanos)
}

// estimateMargin returns the margin to add to an estimated duration: marginDeviations times
// the moving average of the absolute difference between measured and estimated durations.
func (e *estimator) estimateMargin() time.Duration {
	return time.Duration(e.deviationNanos * marginDeviations)
}

// recordDuration updates the averages with the duration of a complete response.
func (e *estimator) recordDuration(call *gypsum.Call, elapsed time.Duration, tokens int) {
	expected := e.estimateDuration(call)
	e.observations++
	if e.observations == 1 {
		e.meanNanos = float64(elapsed)
		e.deviationNanos = float64(elapsed) / initialDeviationDivisor
	}
	e.meanNanos += meanGain * (float64(elapsed) - e.meanNanos)
	if call.Generation != nil && tokens > 0 {
		e.recordTokens(call, elapsed, tokens)
	}
	if e.observations > 1 {
		e.deviationNanos += deviationGain * (abs(float64(elapsed-expected)) - e.deviationNanos)
	}
}

// recordTokens updates the averages of the generation speed and the response length.
func (e *estimator) recordTokens(call *gypsum.Call, elapsed time.Duration, tokens int) {
	perToken := float64(elapsed) / float64(tokens)
	share := float64(tokens) / float64(max(1, call.Generation.MaxTokens-call.Generation.ResumeTokens))
	if e.nanosPerToken == 0 {
		e.nanosPerToken, e.tokenShare = perToken, share
	}
	e.nanosPerToken += meanGain * (perToken - e.nanosPerToken)
	e.tokenShare += meanGain * (share - e.tokenShare)
}

func abs(value float64) float64 {
	return max(value, -value)
}

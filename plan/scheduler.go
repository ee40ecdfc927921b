package plan

import (
	"time"

	"github.com/gypsumhook/gypsum"
)

// Rules for second attempts.
const (
	// StragglerFactor is how many median times an attempt may take alone.
	stragglerFactor = 2
	stragglerFloor  = 200 * time.Millisecond
	maxAttempts     = 2
)

// NewLookahead returns a scheduler that starts the trainer's step first, then
// second attempts at its stragglers, then later steps whose samples would
// still be fresh enough when the trainer gets there.
func NewLookahead() gypsum.Scheduler { return lookaheadScheduler{} }

// lookaheadScheduler is the scheduler made by NewSteady.
type lookaheadScheduler struct{}

// Next returns the slots at which to start an attempt.
func (lookaheadScheduler) Next(state *gypsum.PlanState, limit int) []gypsum.Slot {
	if state.NewestVersion > 0 && state.NewestVersion < state.Version-gypsum.WeightVersion(state.Spec.MaxStaleness) {
		return nil
	}
	var next []gypsum.Slot
	appendSlot := func(slot gypsum.Slot) {
		if len(next) < limit {
			next = append(next, slot)
		}
	}
	for _, slot := range state.Pending {
		if slot.Step == state.Step {
			appendSlot(slot)
		}
	}
	for _, running := range state.Running {
		if running.Slot.Step == state.Step && isStraggler(state, &running) {
			appendSlot(running.Slot)
		}
	}
	for _, slot := range state.Pending {
		if slot.Step > state.Step && withinStaleness(state, slot.Step) {
			appendSlot(slot)
		}
	}
	return next
}

// isStraggler tells whether a slot needs a second attempt: it has taken long,
// and at its speed the rest would take longer than a fresh attempt.
func isStraggler(state *gypsum.PlanState, running *gypsum.RunningSlot) bool {
	if state.MedianDuration == 0 || running.Attempts >= maxAttempts {
		return false
	}
	if running.Age < max(stragglerFloor, stragglerFactor*state.MedianDuration) {
		return false
	}
	remaining := state.Spec.MaxTokens - running.Tokens
	perToken := running.Age / time.Duration(max(1, running.Tokens))
	return perToken*time.Duration(max(0, remaining)) > state.MedianDuration
}

// withinStaleness tells whether a sample made now would be within the staleness
// bound when the trainer reaches the step, at one version a step.
func withinStaleness(state *gypsum.PlanState, step int) bool {
	if state.NewestVersion == 0 {
		return false
	}
	expected := state.Version + gypsum.WeightVersion(step-state.Step)
	return expected-state.NewestVersion <= gypsum.WeightVersion(state.Spec.MaxStaleness)
}

// NewCurrentStep returns a scheduler that only starts the trainer's own step, each
// slot once.
func NewCurrentStep() gypsum.Scheduler { return currentStepScheduler{} }

// currentStepScheduler is the scheduler made by NewInOrder.
type currentStepScheduler struct{}

// Next returns the slots at which to start an attempt.
func (currentStepScheduler) Next(state *gypsum.PlanState, limit int) []gypsum.Slot {
	var next []gypsum.Slot
	for _, slot := range state.Pending {
		if slot.Step == state.Step && len(next) < limit {
			next = append(next, slot)
		}
	}
	return next
}

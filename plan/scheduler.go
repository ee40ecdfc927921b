package plan

import (
	"time"

	"github.com/gypsumhook/gypsum"
)

// Parameters of second attempts.
const (
	// stragglerFactor times the median duration, but at least stragglerFloor, is how
	// long an attempt may take before a second one is considered.
	stragglerFactor = 2
	stragglerFloor  = 200 * time.Millisecond
	// maxConcurrentAttempts limits the concurrent attempts at a slot.
	maxConcurrentAttempts = 2
)

// NewLookaheadScheduler returns a scheduler that starts the slots of the trainer's current step
// first, then second attempts at the step's stragglers, then slots of later steps
// whose samples would still be within the staleness bound when the trainer reaches
// them. It starts none while the newest version of the engines exceeds the bound.
func NewLookaheadScheduler() gypsum.Scheduler { return lookaheadScheduler{} }

// lookaheadScheduler implements the scheduler returned by NewLookaheadScheduler.
type lookaheadScheduler struct{}

// NextSlots implements gypsum.Scheduler.
func (lookaheadScheduler) NextSlots(state *gypsum.PlanState, limit int) []gypsum.Slot {
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
		if slot.Step > state.Step && isWithinStaleness(state, slot.Step) {
			appendSlot(slot)
		}
	}
	return next
}

// isStraggler reports whether a slot needs a second attempt: its attempt has taken
// long, and at its speed the remaining tokens would take longer than a new attempt.
func isStraggler(state *gypsum.PlanState, running *gypsum.RunningSlot) bool {
	if state.MedianDuration == 0 || running.Attempts >= maxConcurrentAttempts {
		return false
	}
	if running.Age < max(stragglerFloor, stragglerFactor*state.MedianDuration) {
		return false
	}
	remaining := state.Spec.MaxTokens - running.Tokens
	perToken := running.Age / time.Duration(max(1, running.Tokens))
	return perToken*time.Duration(max(0, remaining)) > state.MedianDuration
}

// isWithinStaleness reports whether a sample generated now would be within the staleness
// bound when the trainer reaches the step, assuming one version per step.
func isWithinStaleness(state *gypsum.PlanState, step int) bool {
	if state.NewestVersion == 0 {
		return false
	}
	expected := state.Version + gypsum.WeightVersion(step-state.Step)
	return expected-state.NewestVersion <= gypsum.WeightVersion(state.Spec.MaxStaleness)
}

// NewCurrentStepScheduler returns a scheduler that starts only slots of the trainer's current
// step, with one attempt at a time for each.
func NewCurrentStepScheduler() gypsum.Scheduler { return currentStepScheduler{} }

// currentStepScheduler implements the scheduler returned by NewCurrentStepScheduler.
type currentStepScheduler struct{}

// NextSlots implements gypsum.Scheduler.
func (currentStepScheduler) NextSlots(state *gypsum.PlanState, limit int) []gypsum.Slot {
	var next []gypsum.Slot
	for _, slot := range state.Pending {
		if slot.Step == state.Step && len(next) < limit {
			next = append(next, slot)
		}
	}
	return next
}

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

// NewSteady returns a scheduler that starts the trainer's step first, then
// second attempts at its stragglers, then later steps whose samples would
// still be fresh enough when the trainer gets there.
func NewSteady() gypsum.Scheduler { return steadyScheduler{} }

// steadyScheduler is the scheduler made by NewSteady.
type steadyScheduler struct{}

// Next returns the slots at which to start an attempt.
func (steadyScheduler) Next(state *gypsum.PlanState, room int) []gypsum.Slot {
	if state.NewestVersion > 0 && state.NewestVersion < state.Version-gypsum.WeightVersion(state.Spec.MaxStaleness) {
		return nil
	}
	var next []gypsum.Slot
	add := func(place gypsum.Slot) {
		if len(next) < room {
			next = append(next, place)
		}
	}
	for _, place := range state.Pending {
		if place.Step == state.Step {
			add(place)
		}
	}
	for _, running := range state.Running {
		if running.Slot.Step == state.Step && straggles(state, &running) {
			add(running.Slot)
		}
	}
	for _, place := range state.Pending {
		if place.Step > state.Step && freshAhead(state, place.Step) {
			add(place)
		}
	}
	return next
}

// straggles tells whether a slot needs a second attempt: it has taken long,
// and at its speed the rest would take longer than a fresh attempt.
func straggles(state *gypsum.PlanState, running *gypsum.RunningSlot) bool {
	if state.MedianDuration == 0 || running.Attempts >= maxAttempts {
		return false
	}
	if running.Age < max(stragglerFloor, stragglerFactor*state.MedianDuration) {
		return false
	}
	left := state.Spec.MaxTokens - running.Tokens
	perToken := running.Age / time.Duration(max(1, running.Tokens))
	return perToken*time.Duration(max(0, left)) > state.MedianDuration
}

// freshAhead tells whether a sample made now would be within the staleness
// bound when the trainer reaches the step, at one version a step.
func freshAhead(state *gypsum.PlanState, step int) bool {
	if state.NewestVersion == 0 {
		return false
	}
	expected := state.Version + gypsum.WeightVersion(step-state.Step)
	return expected-state.NewestVersion <= gypsum.WeightVersion(state.Spec.MaxStaleness)
}

// NewInOrder returns a scheduler that only starts the trainer's own step, each
// slot once.
func NewInOrder() gypsum.Scheduler { return inOrderScheduler{} }

// inOrderScheduler is the scheduler made by NewInOrder.
type inOrderScheduler struct{}

// Next returns the slots at which to start an attempt.
func (inOrderScheduler) Next(state *gypsum.PlanState, room int) []gypsum.Slot {
	var next []gypsum.Slot
	for _, place := range state.Pending {
		if place.Step == state.Step && len(next) < room {
			next = append(next, place)
		}
	}
	return next
}

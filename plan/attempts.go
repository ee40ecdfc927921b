package plan

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
)

// startAttempts starts the attempts that the scheduler chooses, up to the plan's
// concurrency.
func (f *Filler) startAttempts(ctx context.Context) {
	spec, ok := f.Spec()
	newest, limit := f.NewestVersion(), f.Concurrency()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !ok || f.session == 0 || time.Since(f.lastPull) > trainerIdleTimeout {
		f.dropAllSlots()
		return
	}
	f.dropStaleSamples(&spec)
	state := f.planState(&spec, newest)
	for _, slot := range f.Scheduler.NextSlots(state, max(0, limit-f.inFlight)) {
		f.startAttempt(ctx, slot, &spec)
	}
}

// planState returns the input of the scheduler. The caller holds mu.
func (f *Filler) planState(spec *gypsum.PlanSpec, newest gypsum.WeightVersion) *gypsum.PlanState {
	now := time.Now()
	state := &gypsum.PlanState{Spec: spec, Step: f.step, Version: f.trainerVersion, NewestVersion: newest, MedianDuration: f.medianDuration()}
	for step := f.step; step <= f.step+spec.MaxStepsAhead; step++ {
		if step > f.step && len(spec.Prompts) == 0 && len(f.prompts[f.step]) > 0 {
			// The trainer supplies the prompts of each step, so those of later steps are not known
			// yet and their slots cannot start.
			break
		}
		f.addOpenSlots(state, spec, step, now)
	}
	return state
}

// addOpenSlots adds the pending and running slots of a step to the scheduler's input.
func (f *Filler) addOpenSlots(state *gypsum.PlanState, spec *gypsum.PlanSpec, step int, now time.Time) {
	for group := range spec.Groups {
		for index := range spec.GroupSize {
			slot := gypsum.Slot{Step: step, Group: group, Index: index}
			current := f.slots[slot]
			switch {
			case f.receivedSlots[slot] || (current != nil && current.sample != nil):
			case current == nil || (len(current.attempts) == 0 && now.After(current.notBefore)):
				state.Pending = append(state.Pending, slot)
			case len(current.attempts) > 0:
				state.Running = append(state.Running, runningSlot(slot, current, now))
			}
		}
	}
}

// runningSlot returns the scheduler's input for a slot with attempts in progress.
func runningSlot(slot gypsum.Slot, state *slotState, now time.Time) gypsum.RunningSlot {
	first := state.attempts[0]
	running := gypsum.RunningSlot{Slot: slot, Attempts: len(state.attempts), Age: now.Sub(first.startedAt)}
	for _, attempt := range state.attempts {
		running.Tokens = max(running.Tokens, attempt.tokens)
	}
	return running
}

// medianDuration returns the median duration of the step's finished attempts, 0 if
// there are none.
func (f *Filler) medianDuration() time.Duration {
	if len(f.durations) == 0 {
		return 0
	}
	sorted := slices.Clone(f.durations)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// startAttempt starts an attempt at a slot. The caller holds mu.
func (f *Filler) startAttempt(ctx context.Context, slot gypsum.Slot, spec *gypsum.PlanSpec) {
	state, ok := f.slots[slot]
	if !ok {
		state = &slotState{}
		f.slots[slot] = state
	}
	attemptCtx, cancel := context.WithTimeout(ctx, spec.SampleTimeout)
	current := &attempt{slot: slot, startedAt: time.Now(), cancel: cancel}
	call := f.newCall(slot, spec, state)
	state.attempts = append(state.attempts, current)
	f.inFlight++
	f.Logger.Info("attempt started", "plan", f.planName, "slot", slot.String(), "request", call.ID,
		"attempt", len(state.attempts), "failures", state.failures, "min_version", call.MinVersion)
	f.attempts.Add(1)
	go func() {
		defer f.attempts.Done()
		defer cancel()
		sample, err := f.runAttempt(attemptCtx, call, current, spec)
		f.finishAttempt(current, sample, err)
	}()
}

// newCall returns the call of an attempt. The caller holds mu.
func (f *Filler) newCall(slot gypsum.Slot, spec *gypsum.PlanSpec, state *slotState) *gypsum.Call {
	prompt := f.prompt(slot, spec)
	id := newRequestID()
	call := &gypsum.Call{
		ID: id, Service: spec.Service, Class: gypsum.ClassTrainer, Stage: gypsum.StagePlace,
		Budget: spec.SampleTimeout, Tenant: string(f.planName), Weight: spec.Share,
		PrefixHash: gypsum.Hash64(prompt), Recovery: gypsum.RecoveryResume,
		Fingerprint: gypsum.FingerprintOf(spec.Service, "sample", []byte(prompt)),
		// The trainer advances one version per step, so this is the oldest version
		// that is still within the staleness bound when the trainer reaches the
		// sample's step.
		MinVersion: f.trainerVersion + gypsum.WeightVersion(slot.Step-f.step-spec.MaxStaleness),
		Generation: &gypsum.Generation{
			ID: id, Prompt: prompt, MaxTokens: spec.MaxTokens,
			Seed: int64(gypsum.Hash64(string(f.planName), slot.String()) >> 1),
		},
	}
	if slot.Step == f.step {
		call.TrainerWait = time.Duration(float64(time.Since(f.stepStart)) * spec.IdleWeight)
	}
	for _, attempt := range state.attempts {
		if attempt.backend != "" {
			call.ExcludedBackends = append(call.ExcludedBackends, attempt.backend)
		}
	}
	return call
}

// prompt returns the prompt of a slot's group: the trainer's, else the plan's, else a
// generated one.
func (f *Filler) prompt(slot gypsum.Slot, spec *gypsum.PlanSpec) string {
	if prompts := f.prompts[slot.Step]; len(prompts) > 0 {
		return prompts[slot.Group%len(prompts)]
	}
	if len(spec.Prompts) == 0 {
		return fmt.Sprintf("%s %d/%d", spec.Name, slot.Step, slot.Group)
	}
	return spec.Prompts[(slot.Step*spec.Groups+slot.Group)%len(spec.Prompts)]
}

// runAttempt generates one sample and scores it if the plan names a scoring service.
func (f *Filler) runAttempt(ctx context.Context, call *gypsum.Call, current *attempt, spec *gypsum.PlanSpec) (*gypsum.Sample, error) {
	var backend gypsum.BackendID
	err := f.Runner.Run(ctx, call, func(event *gypsum.Event) error {
		switch {
		case event.Chunk != nil:
			if _, err := current.assembler.Append(event.Chunk); err != nil {
				return fmt.Errorf("assemble sample: %w", err)
			}
			f.addTokens(current, event.Chunk.Tokens)
		case event.End != nil:
			backend = event.End.Backend
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("generate sample: %w", err)
	}
	sample := &gypsum.Sample{
		Plan: f.planName, Slot: current.slot, Prompt: call.Generation.Prompt, Seed: call.Generation.Seed,
		Text: current.assembler.Text(), Segments: current.assembler.Segments(), Backend: backend,
	}
	if err := validateSample(sample, &current.assembler); err != nil {
		return nil, err
	}
	if spec.Scorer == "" {
		return sample, nil
	}
	return f.addScore(ctx, spec, sample)
}

// addScore sets the sample's score. It retries until the attempt's deadline, since
// generating the sample cost more than scoring it.
func (f *Filler) addScore(ctx context.Context, spec *gypsum.PlanSpec, sample *gypsum.Sample) (*gypsum.Sample, error) {
	for {
		score, err := f.requestScore(ctx, spec, sample)
		if err == nil {
			sample.Score = &score
			return sample, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("score sample: %w", err)
		case <-time.After(scoreRetryInterval):
		}
	}
}

// validateSample returns an error for a sample that is incomplete or lacks a weight
// version.
func validateSample(sample *gypsum.Sample, assembler *gypsum.ResponseAssembler) error {
	if !assembler.IsComplete() || len(sample.Segments) == 0 {
		return fmt.Errorf("sample %s has no finish reason or no tokens: %w", sample.Slot, gypsum.ErrIncompleteResponse)
	}
	if sample.OldestVersion() <= 0 {
		return fmt.Errorf("sample %s: engine reported no weight version: %w", sample.Slot, gypsum.ErrIncompleteResponse)
	}
	return nil
}

// addTokens counts tokens generated by an attempt.
func (f *Filler) addTokens(current *attempt, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current.tokens += tokens
}

// finishAttempt records the result of an attempt. The first sample of a slot is kept,
// and the other attempts at the slot are cancelled.
func (f *Filler) finishAttempt(current *attempt, sample *gypsum.Sample, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
	defer f.notifyWaiters()
	state, ok := f.slots[current.slot]
	if !ok || !slices.Contains(state.attempts, current) {
		return
	}
	state.attempts = slices.DeleteFunc(state.attempts, func(a *attempt) bool { return a == current })
	if err != nil {
		f.delayRetry(state, current, err)
		return
	}
	for _, rival := range state.attempts {
		rival.cancel()
	}
	state.attempts = nil
	if state.sample == nil {
		state.sample = sample
		f.durations = append(f.durations, time.Since(current.startedAt))
	}
}

// delayRetry sets the time of the next attempt at a slot after a failure: exponential
// backoff, or the RetryAfter of a refusal for overload if that is longer. Neither
// exceeds maxBackoff. The caller holds mu.
func (f *Filler) delayRetry(state *slotState, current *attempt, err error) {
	state.failures++
	wait := min(maxBackoff, minBackoff<<min(state.failures-1, 5))
	if refusal := gypsum.AsRefusal(err); refusal.Reason == gypsum.ReasonOverloaded {
		wait = max(wait, min(maxBackoff, refusal.RetryAfter))
	}
	state.notBefore = time.Now().Add(wait)
	f.Logger.Info("attempt failed", "plan", f.planName, "slot", current.slot.String(), "error", err, "again_after", wait)
}

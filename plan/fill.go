package plan

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
)

// fill starts as many attempts as there is room for.
func (b *Book) fill(ctx context.Context) {
	spec, ok := b.Spec()
	newest, room := b.Newest(), b.Parallel()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !ok || b.session == 0 || time.Since(b.lastPull) > pullIdle {
		b.cancelAll()
		return
	}
	b.dropStale(&spec)
	state := b.planState(&spec, newest)
	for _, place := range b.Scheduler.Next(state, max(0, room-b.running)) {
		b.start(ctx, place, &spec)
	}
}

// planState returns what the scheduler decides on. The caller holds mu.
func (b *Book) planState(spec *gypsum.PlanSpec, newest gypsum.WeightVersion) *gypsum.PlanState {
	now := time.Now()
	state := &gypsum.PlanState{Spec: spec, Step: b.step, Version: b.version, NewestVersion: newest, MedianDuration: b.median()}
	for step := b.step; step <= b.step+spec.MaxStepsAhead; step++ {
		if step > b.step && len(spec.Prompts) == 0 && len(b.prompts[b.step]) > 0 {
			// The trainer brings its own prompts, and those of later steps are not known.
			break
		}
		b.addStep(state, spec, step, now)
	}
	return state
}

// addStep adds the open slots of a step to the scheduler's state.
func (b *Book) addStep(state *gypsum.PlanState, spec *gypsum.PlanSpec, step int, now time.Time) {
	for group := range spec.Groups {
		for index := range spec.GroupSize {
			place := gypsum.Slot{Step: step, Group: group, Index: index}
			known := b.slots[place]
			switch {
			case b.held[place] || (known != nil && known.sample != nil):
			case known == nil || (len(known.attempts) == 0 && now.After(known.notUntil)):
				state.Pending = append(state.Pending, place)
			case len(known.attempts) > 0:
				state.Running = append(state.Running, runningState(place, known, now))
			}
		}
	}
}

// runningState returns what the scheduler knows of a slot in progress.
func runningState(place gypsum.Slot, known *slot, now time.Time) gypsum.RunningSlot {
	first := known.attempts[0]
	running := gypsum.RunningSlot{Slot: place, Attempts: len(known.attempts), Age: now.Sub(first.begin)}
	for _, attempt := range known.attempts {
		running.Tokens = max(running.Tokens, attempt.tokens)
	}
	return running
}

// median returns the median time of the step's finished attempts, 0 if none.
func (b *Book) median() time.Duration {
	if len(b.finished) == 0 {
		return 0
	}
	sorted := slices.Clone(b.finished)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// start begins an attempt at a slot. The caller holds mu.
func (b *Book) start(ctx context.Context, place gypsum.Slot, spec *gypsum.PlanSpec) {
	state, ok := b.slots[place]
	if !ok {
		state = &slot{}
		b.slots[place] = state
	}
	attemptCtx, cancel := context.WithTimeout(ctx, spec.SampleTimeout)
	current := &attempt{slot: place, begin: time.Now(), cancel: cancel}
	call := b.attemptCall(place, spec, state)
	state.attempts = append(state.attempts, current)
	b.running++
	b.Logger.Info("attempt started", "plan", b.name, "slot", place.String(), "request", call.ID,
		"attempt", len(state.attempts), "failures", state.failures, "min_version", call.MinVersion)
	b.attempt.Add(1)
	go func() {
		defer b.attempt.Done()
		defer cancel()
		sample, err := b.runAttempt(attemptCtx, call, current, spec)
		b.finish(current, sample, err)
	}()
}

// attemptCall returns the call of an attempt. The caller holds mu.
func (b *Book) attemptCall(place gypsum.Slot, spec *gypsum.PlanSpec, state *slot) *gypsum.Call {
	prompt := b.prompt(place, spec)
	id := newRequestID()
	call := &gypsum.Call{
		ID: id, Service: spec.Service, Class: gypsum.ClassTrainer, Stage: gypsum.StagePlace,
		Budget: spec.SampleTimeout, Tenant: string(b.name), Weight: spec.Share,
		PrefixHash: gypsum.Hash64(prompt), Recovery: gypsum.RecoveryResume,
		Fingerprint: gypsum.FingerprintOf(spec.Service, "sample", []byte(prompt)),
		// At one version a step, the trainer will be so far when it uses the sample.
		MinVersion: b.version + gypsum.WeightVersion(place.Step-b.step-spec.MaxStaleness),
		Generation: &gypsum.Generation{
			ID: id, Prompt: prompt, MaxTokens: spec.MaxTokens,
			Seed: int64(gypsum.Hash64(string(b.name), place.String()) >> 1),
		},
	}
	if place.Step == b.step {
		call.TrainerWait = time.Duration(float64(time.Since(b.stepBegin)) * spec.IdleWeight)
	}
	for _, running := range state.attempts {
		if running.backend != "" {
			call.ExcludedBackends = append(call.ExcludedBackends, running.backend)
		}
	}
	return call
}

// prompt returns the prompt of a slot's group.
func (b *Book) prompt(place gypsum.Slot, spec *gypsum.PlanSpec) string {
	if prompts := b.prompts[place.Step]; len(prompts) > 0 {
		return prompts[place.Group%len(prompts)]
	}
	if len(spec.Prompts) == 0 {
		return fmt.Sprintf("%s %d/%d", spec.Name, place.Step, place.Group)
	}
	return spec.Prompts[(place.Step*spec.Groups+place.Group)%len(spec.Prompts)]
}

// runAttempt runs one attempt to a scored sample.
func (b *Book) runAttempt(ctx context.Context, call *gypsum.Call, current *attempt, spec *gypsum.PlanSpec) (*gypsum.Sample, error) {
	var backend gypsum.BackendID
	err := b.Route.Run(ctx, call, func(event *gypsum.Event) error {
		switch {
		case event.Chunk != nil:
			if _, err := current.joiner.Append(event.Chunk); err != nil {
				return fmt.Errorf("join sample: %w", err)
			}
			b.progress(current, event.Chunk.Tokens)
		case event.End != nil:
			backend = event.End.Backend
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("generate sample: %w", err)
	}
	sample := &gypsum.Sample{
		Plan: b.name, Slot: current.slot, Prompt: call.Generation.Prompt, Seed: call.Generation.Seed,
		Text: current.joiner.Text(), Segments: current.joiner.Segments(), Backend: backend,
	}
	if err := checkSample(sample, &current.joiner); err != nil {
		return nil, err
	}
	if spec.Scorer == "" {
		return sample, nil
	}
	return b.scored(ctx, spec, sample)
}

// scored adds the score to a sample. It tries again until the attempt's
// deadline, since the sample has cost more than its score.
func (b *Book) scored(ctx context.Context, spec *gypsum.PlanSpec, sample *gypsum.Sample) (*gypsum.Sample, error) {
	for {
		score, err := b.score(ctx, spec, sample)
		if err == nil {
			sample.Score = &score
			return sample, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("score sample: %w", err)
		case <-time.After(scoreAgain):
		}
	}
}

// checkSample refuses samples that are not whole or lack a version.
func checkSample(sample *gypsum.Sample, joiner *gypsum.ResponseAssembler) error {
	if !joiner.Complete() || len(sample.Segments) == 0 {
		return fmt.Errorf("sample %s: %w", sample.Slot, gypsum.ErrIncompleteResponse)
	}
	if sample.OldestVersion() <= 0 {
		return fmt.Errorf("sample %s: engine reported no version: %w", sample.Slot, gypsum.ErrIncompleteResponse)
	}
	return nil
}

// progress notes tokens of an attempt.
func (b *Book) progress(current *attempt, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current.tokens += tokens
}

// finish takes an attempt's result. The first sample of a slot wins; the other
// attempts are cancelled.
func (b *Book) finish(current *attempt, sample *gypsum.Sample, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	defer b.notify()
	state, ok := b.slots[current.slot]
	if !ok || !slices.Contains(state.attempts, current) {
		return
	}
	state.attempts = slices.DeleteFunc(state.attempts, func(a *attempt) bool { return a == current })
	if err != nil {
		b.failed(state, current, err)
		return
	}
	for _, other := range state.attempts {
		other.cancel()
	}
	state.attempts = nil
	if state.sample == nil {
		state.sample = sample
		b.finished = append(b.finished, time.Since(current.begin))
	}
}

// failed delays the next attempt at a slot. The caller holds mu.
func (b *Book) failed(state *slot, current *attempt, err error) {
	state.failures++
	wait := min(maxBackoff, failureBackoff<<min(state.failures-1, 5))
	if refusal := gypsum.AsRefusal(err); refusal.Reason == gypsum.ReasonOverloaded {
		wait = max(wait, min(maxBackoff, refusal.RetryAfter))
	}
	state.notUntil = time.Now().Add(wait)
	b.Logger.Info("attempt failed", "plan", b.name, "slot", current.slot.String(), "error", err, "again_after", wait)
}

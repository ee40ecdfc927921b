// Package plan fills the slots of rollout plans with samples and hands them to
// the trainers. Its state is soft: each pull of a trainer says what the
// trainer holds, and a new owner goes on from there.
package plan

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/gypsumhook/gypsum"
)

// Times of the filling of slots.
const (
	fillInterval = 100 * time.Millisecond
	minBackoff   = 250 * time.Millisecond
	maxBackoff   = 5 * time.Second
)

// trainerIdleTimeout is the silence of a trainer after which its attempts are cancelled.
const trainerIdleTimeout = time.Minute

// maxPullSamples bounds the samples of one answer to a pull.
const maxPullSamples = 512

// Filler fills the slots of one plan. Set the exported fields before Start.
type Filler struct {
	// Spec returns the plan in force, false if it was deleted.
	Spec func() (gypsum.PlanSpec, bool)
	// Concurrency returns how many attempts may run at once.
	Concurrency func() int
	// NewestVersion returns the newest version that engines of the service report.
	NewestVersion func() gypsum.WeightVersion
	// Runner takes attempts to engines and samples to the scorer.
	Runner    gypsum.Runner
	Scheduler gypsum.Scheduler
	Logger    *slog.Logger

	mu             sync.Mutex
	plan           gypsum.PlanName
	session        gypsum.Incarnation
	pullNumber     int64
	step           int
	trainerVersion gypsum.WeightVersion
	prompts        map[int][]string
	held           map[gypsum.Slot]bool
	slots          map[gypsum.Slot]*slotState
	inFlight       int
	lastPull       time.Time
	// StepBegin is when the trainer first asked for the step.
	stepStart time.Time
	stepDurations

	changed  chan struct{}
	wake     chan struct{}
	done     chan error
	attempts sync.WaitGroup
}

// slotState is the state of one slot without a delivered sample.
type slotState struct {
	sample    *gypsum.Sample
	attempts  []*attempt
	failures  int
	notBefore time.Time
}

// attempt is one run at a slot.
type attempt struct {
	slot      gypsum.Slot
	start     time.Time
	cancel    context.CancelFunc
	tokens    int
	assembler gypsum.ResponseAssembler
	// Backend is the engine the attempt was last seen on.
	backend gypsum.BackendID
}

// stepDurations keeps the times of finished attempts of the step.
type stepDurations struct {
	durations []time.Duration
}

// Start begins to fill slots once a pull has come.
func (f *Filler) Start(ctx context.Context, name gypsum.PlanName) {
	f.plan = name
	f.prompts = make(map[int][]string)
	f.held = make(map[gypsum.Slot]bool)
	f.slots = make(map[gypsum.Slot]*slotState)
	f.changed = make(chan struct{})
	f.wake = make(chan struct{}, 1)
	f.done = make(chan error, 1)
	go func() { f.done <- f.run(ctx) }()
}

// Done reports the end of the book's goroutine.
func (f *Filler) Done() <-chan error { return f.done }

// run starts attempts whenever there is room, until ctx ends.
func (f *Filler) run(ctx context.Context) error {
	ticker := time.NewTicker(fillInterval)
	defer ticker.Stop()
	defer f.attempts.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.wake:
		case <-ticker.C:
		}
		f.startAttempts(ctx)
	}
}

// Pull answers a trainer's pull. It waits for a sample that the trainer does
// not hold, up to the pull's wait or until a newer pull comes.
func (f *Filler) Pull(ctx context.Context, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
	spec, ok := f.Spec()
	if !ok {
		return nil, gypsum.NotRun(gypsum.ReasonUnknownService, http.StatusNotFound, 0, "there is no such plan")
	}
	if err := f.acceptPull(pull, &spec); err != nil {
		return nil, err
	}
	deadline := time.NewTimer(pull.Wait)
	defer deadline.Stop()
	for {
		resp, changed, current := f.collectSamples(pull, &spec)
		if len(resp.Samples) > 0 || resp.Missing == 0 || !current {
			return resp, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("wait for samples: %w", ctx.Err())
		case <-deadline.C:
			return resp, nil
		case <-changed:
		}
	}
}

// acceptPull takes over what a pull says of the trainer, which is the truth.
func (f *Filler) acceptPull(pull *gypsum.PullRequest, spec *gypsum.PlanSpec) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	outdated := pull.Session < f.session || (pull.Session == f.session && pull.Number <= f.pullNumber)
	if outdated {
		return gypsum.NotRun(gypsum.ReasonStepPast, http.StatusConflict, 0, "a newer pull has come")
	}
	if pull.Session != f.session || pull.Step < f.step {
		f.dropAllSlots()
		f.step = pull.Step
	}
	f.session, f.pullNumber, f.trainerVersion, f.lastPull = pull.Session, pull.Number, pull.Version, time.Now()
	f.advanceTo(pull.Step)
	if len(pull.Prompts) > 0 {
		f.prompts[pull.Step] = pull.Prompts
	}
	f.held = make(map[gypsum.Slot]bool, len(pull.ReceivedSlots))
	for _, held := range pull.ReceivedSlots {
		f.held[held] = true
		f.dropSlot(held)
	}
	f.dropStale(spec)
	f.notify()
	return nil
}

// advanceTo moves to a step and drops what belongs to earlier ones.
func (f *Filler) advanceTo(step int) {
	if step != f.step || f.stepStart.IsZero() {
		f.durations, f.stepStart = nil, time.Now()
	}
	f.step = step
	for slot := range f.slots {
		if slot.Step < step {
			f.dropSlot(slot)
		}
	}
	for earlier := range f.prompts {
		if earlier < step {
			delete(f.prompts, earlier)
		}
	}
}

// dropSlot cancels the attempts at a slot and forgets it.
func (f *Filler) dropSlot(slot gypsum.Slot) {
	state, ok := f.slots[slot]
	if !ok {
		return
	}
	for _, attempt := range state.attempts {
		attempt.cancel()
	}
	delete(f.slots, slot)
}

// dropAllSlots forgets all slots.
func (f *Filler) dropAllSlots() {
	for slot := range f.slots {
		f.dropSlot(slot)
	}
	f.durations = nil
}

// dropStale forgets finished samples that are too old for the trainer's version.
func (f *Filler) dropStale(spec *gypsum.PlanSpec) {
	for slot, state := range f.slots {
		if state.sample != nil && f.isStale(state.sample.OldestVersion(), spec) {
			f.Logger.Info("sample too stale", "plan", f.plan, "slot", slot.String(),
				"oldest", state.sample.OldestVersion(), "trainer", f.trainerVersion)
			delete(f.slots, slot)
		}
	}
}

// isStale tells whether a version is beyond the staleness bound.
func (f *Filler) isStale(oldest gypsum.WeightVersion, spec *gypsum.PlanSpec) bool {
	return oldest < f.trainerVersion-gypsum.WeightVersion(spec.MaxStaleness)
}

// collectSamples returns the samples for a pull, a channel that is closed on the next
// change, and whether the pull is still the newest.
func (f *Filler) collectSamples(pull *gypsum.PullRequest, spec *gypsum.PlanSpec) (*gypsum.PullResponse, <-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	resp := &gypsum.PullResponse{Session: pull.Session, Number: pull.Number}
	if pull.Session != f.session || pull.Number != f.pullNumber {
		resp.Missing = -1
		return resp, f.changed, false
	}
	for slot, state := range f.slots {
		if slot.Step != pull.Step || state.sample == nil || f.isStale(state.sample.OldestVersion(), spec) {
			continue
		}
		if len(resp.Samples) < maxPullSamples {
			resp.Samples = append(resp.Samples, state.sample)
		}
	}
	slices.SortFunc(resp.Samples, func(a, b *gypsum.Sample) int { return compareSlots(a.Slot, b.Slot) })
	resp.Missing = spec.Groups*spec.GroupSize - len(f.held) - len(resp.Samples)
	return resp, f.changed, true
}

// notify wakes all who wait for a change. The caller holds mu.
func (f *Filler) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// compareSlots orders slots.
func compareSlots(a, b gypsum.Slot) int {
	if a.Step != b.Step {
		return a.Step - b.Step
	}
	if a.Group != b.Group {
		return a.Group - b.Group
	}
	return a.Index - b.Index
}

// newRequestID returns a fresh request id.
func newRequestID() gypsum.RequestID {
	return gypsum.RequestID(uuid.NewString())
}

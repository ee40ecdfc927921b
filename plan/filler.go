// Package plan generates the samples of rollout plans and delivers them to the trainers.
// It keeps its state in memory only: each pull lists the slots whose samples the trainer
// already has, so a new owner of the plan can continue from the next pull.
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

// Intervals for starting attempts.
const (
	fillInterval = 100 * time.Millisecond
	minBackoff   = 250 * time.Millisecond
	maxBackoff   = 5 * time.Second
)

// trainerIdleTimeout is the time without a pull after which a plan's attempts are
// cancelled.
const trainerIdleTimeout = time.Minute

// maxPullSamples limits the samples in one response to a pull.
const maxPullSamples = 512

// Filler generates samples for the slots of one plan. Set the exported fields before
// Start.
type Filler struct {
	// Spec returns the current spec of the plan, and false if the plan was deleted.
	Spec func() (gypsum.PlanSpec, bool)
	// Concurrency returns how many attempts may run at the same time.
	Concurrency func() int
	// NewestVersion returns the newest weight version reported by the engines of the
	// service.
	NewestVersion func() gypsum.WeightVersion
	// Runner runs the calls to engines and to the scoring service.
	Runner    gypsum.CallRunner
	Scheduler gypsum.Scheduler
	Logger    *slog.Logger

	mu             sync.Mutex
	planName       gypsum.PlanName
	session        gypsum.Incarnation
	pullNumber     int64
	step           int
	trainerVersion gypsum.WeightVersion
	// prompts are the prompts that the trainer supplied, by step.
	prompts map[int][]string
	// receivedSlots are the slots whose samples the trainer already has.
	receivedSlots map[gypsum.Slot]bool
	slots         map[gypsum.Slot]*slotState
	inFlight      int
	lastPull      time.Time
	// stepStart is the time of the trainer's first pull for the step.
	stepStart time.Time
	stepDurations

	changed  chan struct{}
	wake     chan struct{}
	done     chan error
	attempts sync.WaitGroup
}

// slotState is the state of a slot whose sample the trainer does not have yet.
type slotState struct {
	sample *gypsum.Sample
	// attempts are the attempts in progress.
	attempts []*attempt
	failures int
	// notBefore is the time of the next attempt after a failure.
	notBefore time.Time
}

// attempt is one try to generate a sample for a slot.
type attempt struct {
	slot      gypsum.Slot
	startedAt time.Time
	cancel    context.CancelFunc
	tokens    int
	assembler gypsum.ResponseAssembler
	// backend is the engine that a second attempt at the slot is to avoid. It is not
	// set yet: the response names its engine only at the end.
	backend gypsum.BackendID
}

// stepDurations holds the durations of the step's finished attempts.
type stepDurations struct {
	durations []time.Duration
}

// Start starts the goroutine that fills slots. It is idle until the first pull.
func (f *Filler) Start(ctx context.Context, name gypsum.PlanName) {
	f.planName = name
	f.prompts = make(map[int][]string)
	f.receivedSlots = make(map[gypsum.Slot]bool)
	f.slots = make(map[gypsum.Slot]*slotState)
	f.changed = make(chan struct{})
	f.wake = make(chan struct{}, 1)
	f.done = make(chan error, 1)
	go func() { f.done <- f.run(ctx) }()
}

// Done returns the channel on which the end of the goroutine is reported.
func (f *Filler) Done() <-chan error { return f.done }

// run starts attempts on each change and each tick, until ctx is done.
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

// Pull serves a trainer's pull. It waits until there is a sample that the trainer does
// not have, but no longer than pull.Wait or until a newer pull arrives.
func (f *Filler) Pull(ctx context.Context, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
	spec, ok := f.Spec()
	if !ok {
		return nil, gypsum.NotRunRefusal(gypsum.ReasonUnknownService, http.StatusNotFound, 0, "there is no such plan")
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

// acceptPull updates the state from a pull. What the pull says about the trainer
// replaces what was known. An outdated pull is refused.
func (f *Filler) acceptPull(pull *gypsum.PullRequest, spec *gypsum.PlanSpec) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	outdated := pull.Session < f.session || (pull.Session == f.session && pull.Number <= f.pullNumber)
	if outdated {
		return gypsum.NotRunRefusal(gypsum.ReasonStepEnded, http.StatusConflict, 0, "a newer pull has come")
	}
	if pull.Session != f.session || pull.Step < f.step {
		f.dropAllSlots()
		f.step = pull.Step
	}
	f.session, f.pullNumber, f.trainerVersion, f.lastPull = pull.Session, pull.Number, pull.Version, time.Now()
	f.advanceToStep(pull.Step)
	if len(pull.Prompts) > 0 {
		f.prompts[pull.Step] = pull.Prompts
	}
	f.receivedSlots = make(map[gypsum.Slot]bool, len(pull.ReceivedSlots))
	for _, received := range pull.ReceivedSlots {
		f.receivedSlots[received] = true
		f.dropSlot(received)
	}
	f.dropStaleSamples(spec)
	f.notifyWaiters()
	return nil
}

// advanceToStep moves to a step and drops the slots and prompts of earlier ones. The
// caller holds mu.
func (f *Filler) advanceToStep(step int) {
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

// dropSlot cancels the attempts at a slot and removes its state. The caller holds mu.
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

// dropAllSlots cancels all attempts and removes the state of all slots and the step's
// durations. The caller holds mu.
func (f *Filler) dropAllSlots() {
	for slot := range f.slots {
		f.dropSlot(slot)
	}
	f.durations = nil
}

// dropStaleSamples drops finished samples that exceed the staleness bound. The caller holds
// mu.
func (f *Filler) dropStaleSamples(spec *gypsum.PlanSpec) {
	for slot, state := range f.slots {
		if state.sample != nil && f.isStale(state.sample.OldestVersion(), spec) {
			f.Logger.Info("stale sample dropped", "plan", f.planName, "slot", slot.String(),
				"oldest", state.sample.OldestVersion(), "trainer", f.trainerVersion)
			delete(f.slots, slot)
		}
	}
}

// isStale reports whether a weight version exceeds the plan's staleness bound.
func (f *Filler) isStale(oldest gypsum.WeightVersion, spec *gypsum.PlanSpec) bool {
	return oldest < f.trainerVersion-gypsum.WeightVersion(spec.MaxStaleness)
}

// collectSamples returns the response to a pull, a channel that is closed on the next
// change, and whether the pull is still the newest one. If it is not, the response has
// no samples and Missing is -1.
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
	resp.Missing = spec.Groups*spec.GroupSize - len(f.receivedSlots) - len(resp.Samples)
	return resp, f.changed, true
}

// notifyWaiters wakes the waiting pulls and the filling goroutine. The caller holds mu.
func (f *Filler) notifyWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// compareSlots orders slots by step, group and index.
func compareSlots(a, b gypsum.Slot) int {
	if a.Step != b.Step {
		return a.Step - b.Step
	}
	if a.Group != b.Group {
		return a.Group - b.Group
	}
	return a.Index - b.Index
}

func newRequestID() gypsum.RequestID {
	return gypsum.RequestID(uuid.NewString())
}

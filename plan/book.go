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
	fillInterval   = 100 * time.Millisecond
	failureBackoff = 250 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// pullIdle is the silence of a trainer after which its attempts are cancelled.
const pullIdle = time.Minute

// maxAnswerSamples bounds the samples of one answer to a pull.
const maxAnswerSamples = 512

// Book fills the slots of one plan. Set the exported fields before Start.
type Book struct {
	// Spec returns the plan in force, false if it was deleted.
	Spec func() (gypsum.PlanSpec, bool)
	// Parallel returns how many attempts may run at once.
	Parallel func() int
	// Newest returns the newest version that engines of the service report.
	Newest func() gypsum.WeightVersion
	// Route takes attempts to engines and samples to the scorer.
	Route     gypsum.Runner
	Scheduler gypsum.Scheduler
	Logger    *slog.Logger

	mu       sync.Mutex
	name     gypsum.PlanName
	session  gypsum.Incarnation
	number   int64
	step     int
	version  gypsum.WeightVersion
	prompts  map[int][]string
	held     map[gypsum.Slot]bool
	slots    map[gypsum.Slot]*slot
	running  int
	lastPull time.Time
	// StepBegin is when the trainer first asked for the step.
	stepBegin time.Time
	durations

	changed chan struct{}
	wake    chan struct{}
	done    chan error
	attempt sync.WaitGroup
}

// slot is the state of one slot without a delivered sample.
type slot struct {
	sample   *gypsum.Sample
	attempts []*attempt
	failures int
	notUntil time.Time
}

// attempt is one run at a slot.
type attempt struct {
	slot   gypsum.Slot
	begin  time.Time
	cancel context.CancelFunc
	tokens int
	joiner gypsum.ResponseAssembler
	// Backend is the engine the attempt was last seen on.
	backend gypsum.BackendID
}

// durations keeps the times of finished attempts of the step.
type durations struct {
	finished []time.Duration
}

// Start begins to fill slots once a pull has come.
func (b *Book) Start(ctx context.Context, name gypsum.PlanName) {
	b.name = name
	b.prompts = make(map[int][]string)
	b.held = make(map[gypsum.Slot]bool)
	b.slots = make(map[gypsum.Slot]*slot)
	b.changed = make(chan struct{})
	b.wake = make(chan struct{}, 1)
	b.done = make(chan error, 1)
	go func() { b.done <- b.run(ctx) }()
}

// Done reports the end of the book's goroutine.
func (b *Book) Done() <-chan error { return b.done }

// run starts attempts whenever there is room, until ctx ends.
func (b *Book) run(ctx context.Context) error {
	ticker := time.NewTicker(fillInterval)
	defer ticker.Stop()
	defer b.attempt.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.wake:
		case <-ticker.C:
		}
		b.fill(ctx)
	}
}

// Pull answers a trainer's pull. It waits for a sample that the trainer does
// not hold, up to the pull's wait or until a newer pull comes.
func (b *Book) Pull(ctx context.Context, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
	spec, ok := b.Spec()
	if !ok {
		return nil, gypsum.NotRun(gypsum.ReasonUnknownService, http.StatusNotFound, 0, "there is no such plan")
	}
	if err := b.accept(pull, &spec); err != nil {
		return nil, err
	}
	deadline := time.NewTimer(pull.Wait)
	defer deadline.Stop()
	for {
		answer, changed, current := b.collect(pull, &spec)
		if len(answer.Samples) > 0 || answer.Missing == 0 || !current {
			return answer, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("wait for samples: %w", ctx.Err())
		case <-deadline.C:
			return answer, nil
		case <-changed:
		}
	}
}

// accept takes over what a pull says of the trainer, which is the truth.
func (b *Book) accept(pull *gypsum.PullRequest, spec *gypsum.PlanSpec) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	late := pull.Session < b.session || (pull.Session == b.session && pull.Number <= b.number)
	if late {
		return gypsum.NotRun(gypsum.ReasonStepPast, http.StatusConflict, 0, "a newer pull has come")
	}
	if pull.Session != b.session || pull.Step < b.step {
		b.cancelAll()
		b.step = pull.Step
	}
	b.session, b.number, b.version, b.lastPull = pull.Session, pull.Number, pull.Version, time.Now()
	b.advance(pull.Step)
	if len(pull.Prompts) > 0 {
		b.prompts[pull.Step] = pull.Prompts
	}
	b.held = make(map[gypsum.Slot]bool, len(pull.ReceivedSlots))
	for _, held := range pull.ReceivedSlots {
		b.held[held] = true
		b.dropSlot(held)
	}
	b.dropStale(spec)
	b.notify()
	return nil
}

// advance moves to a step and drops what belongs to earlier ones.
func (b *Book) advance(step int) {
	if step != b.step || b.stepBegin.IsZero() {
		b.finished, b.stepBegin = nil, time.Now()
	}
	b.step = step
	for place := range b.slots {
		if place.Step < step {
			b.dropSlot(place)
		}
	}
	for old := range b.prompts {
		if old < step {
			delete(b.prompts, old)
		}
	}
}

// dropSlot cancels the attempts at a slot and forgets it.
func (b *Book) dropSlot(place gypsum.Slot) {
	state, ok := b.slots[place]
	if !ok {
		return
	}
	for _, running := range state.attempts {
		running.cancel()
	}
	delete(b.slots, place)
}

// cancelAll forgets all slots.
func (b *Book) cancelAll() {
	for place := range b.slots {
		b.dropSlot(place)
	}
	b.finished = nil
}

// dropStale forgets finished samples that are too old for the trainer's version.
func (b *Book) dropStale(spec *gypsum.PlanSpec) {
	for place, state := range b.slots {
		if state.sample != nil && b.tooOld(state.sample.OldestVersion(), spec) {
			b.Logger.Info("sample too stale", "plan", b.name, "slot", place.String(),
				"oldest", state.sample.OldestVersion(), "trainer", b.version)
			delete(b.slots, place)
		}
	}
}

// tooOld tells whether a version is beyond the staleness bound.
func (b *Book) tooOld(oldest gypsum.WeightVersion, spec *gypsum.PlanSpec) bool {
	return oldest < b.version-gypsum.WeightVersion(spec.MaxStaleness)
}

// collect returns the samples for a pull, a channel that is closed on the next
// change, and whether the pull is still the newest.
func (b *Book) collect(pull *gypsum.PullRequest, spec *gypsum.PlanSpec) (*gypsum.PullResponse, <-chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	answer := &gypsum.PullResponse{Session: pull.Session, Number: pull.Number}
	if pull.Session != b.session || pull.Number != b.number {
		answer.Missing = -1
		return answer, b.changed, false
	}
	for place, state := range b.slots {
		if place.Step != pull.Step || state.sample == nil || b.tooOld(state.sample.OldestVersion(), spec) {
			continue
		}
		if len(answer.Samples) < maxAnswerSamples {
			answer.Samples = append(answer.Samples, state.sample)
		}
	}
	slices.SortFunc(answer.Samples, func(a, b *gypsum.Sample) int { return compareSlots(a.Slot, b.Slot) })
	answer.Missing = spec.Groups*spec.GroupSize - len(b.held) - len(answer.Samples)
	return answer, b.changed, true
}

// notify wakes all who wait for a change. The caller holds mu.
func (b *Book) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
	select {
	case b.wake <- struct{}{}:
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

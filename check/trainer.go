package check

import (
	"context"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
)

// Times of a trainer's pulls.
const (
	pullWait  = 2 * time.Second
	pullAgain = 200 * time.Millisecond
)

// Trainer runs the steps of a plan and checks each sample. Set the exported
// fields before Run.
type Trainer struct {
	// Pull sends a pull through some entry host.
	Pull func(ctx context.Context, pull *gypsum.PullRequest) (*gypsum.PullResponse, error)
	// Publish adds a version to the weight store.
	Publish func(ctx context.Context, version gypsum.WeightVersion)
	Record  *Record
	Plan    gypsum.PlanName
	// TrainTime is the time of training between two steps.
	TrainTime time.Duration
	// MaxStaleness is the bound to check against.
	MaxStaleness int
	// Steps is the number of steps to run, 0 for no end.
	Steps int
	// OnStep, if set, is called with each whole step.
	OnStep func(step int, version gypsum.WeightVersion, samples []*gypsum.Sample, wait time.Duration)

	session gypsum.Incarnation
	number  int64
	version gypsum.WeightVersion
}

// Run runs steps until ctx ends.
func (t *Trainer) Run(ctx context.Context) {
	t.session, t.version = gypsum.Incarnation(time.Now().UnixMilli()), 1
	for step := 0; ctx.Err() == nil && (t.Steps == 0 || step < t.Steps); step++ {
		begin := time.Now()
		samples, whole := t.step(ctx, step)
		if !whole {
			return
		}
		wait := time.Since(begin)
		t.Record.mu.Lock()
		t.Record.idle += wait
		t.Record.steps++
		t.Record.mu.Unlock()
		if t.OnStep != nil {
			t.OnStep(step, t.version, samples, wait)
		}
		Pause(ctx, t.TrainTime)
		t.version++
		t.Publish(ctx, t.version)
	}
}

// step pulls until the trainer holds each slot of a step.
func (t *Trainer) step(ctx context.Context, step int) (samples []*gypsum.Sample, whole bool) {
	held := make(map[gypsum.Slot]bool)
	for ctx.Err() == nil {
		t.number++
		pull := &gypsum.PullRequest{
			Plan: t.Plan, Session: t.session, Number: t.number, Step: step, Version: t.version, Wait: pullWait,
		}
		for slot := range held {
			pull.ReceivedSlots = append(pull.ReceivedSlots, slot)
		}
		answer, err := t.pullOnce(ctx, pull)
		if err != nil {
			Pause(ctx, pullAgain)
			continue
		}
		if answer.Session != t.session || answer.Number != t.number {
			t.Record.Breach("pull %d got the answer of pull %d", t.number, answer.Number)
		}
		for _, sample := range answer.Samples {
			t.take(sample, step, held)
			samples = append(samples, sample)
		}
		if answer.Missing == 0 {
			return samples, true
		}
	}
	return samples, false
}

// pullOnce sends one pull.
func (t *Trainer) pullOnce(ctx context.Context, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pullWait+2*time.Second)
	defer cancel()
	return t.Pull(ctx, pull)
}

// take checks a sample and keeps it.
func (t *Trainer) take(sample *gypsum.Sample, step int, held map[gypsum.Slot]bool) {
	if held[sample.Slot] {
		t.Record.Breach("sample %s was delivered twice", sample.Slot)
	}
	if sample.Slot.Step != step {
		t.Record.Breach("sample %s was delivered in step %d", sample.Slot, step)
	}
	held[sample.Slot] = true
	if sample.Text != fake.Text(sample.Prompt, sample.Seed, sample.Segments) {
		t.Record.Breach("sample %s does not name the weights that made it", sample.Slot)
	}
	behind := int(t.version - sample.OldestVersion())
	if behind > t.MaxStaleness {
		t.Record.Breach("sample %s is %d versions old", sample.Slot, behind)
	}
	t.Record.mu.Lock()
	defer t.Record.mu.Unlock()
	for _, segment := range sample.Segments {
		t.Record.tokens += int64(segment.Tokens)
	}
	t.Record.ages = append(t.Record.ages, max(0, behind))
	t.Record.samples++
	t.Record.stale += max(0, behind)
}

// Pause waits for a time or until ctx ends.
func Pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

package fleet

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

// Trainer runs the steps of the plan and checks each sample.
type Trainer struct {
	Fleet  *Fleet
	Record *Record
	Plan   gypsum.PlanName
	// TrainTime is the time of training between two steps.
	TrainTime time.Duration
	// MaxStaleness is the bound to check against.
	MaxStaleness int

	session gypsum.Incarnation
	number  int64
	version gypsum.WeightVersion
	next    int
}

// Run runs steps until ctx ends.
func (t *Trainer) Run(ctx context.Context) {
	t.session, t.version = gypsum.Incarnation(time.Now().UnixMilli()), 1
	for step := 0; ctx.Err() == nil; step++ {
		begin := time.Now()
		if !t.step(ctx, step) {
			return
		}
		t.Record.mu.Lock()
		t.Record.idle += time.Since(begin)
		t.Record.steps++
		t.Record.mu.Unlock()
		pause(ctx, t.TrainTime)
		t.version++
		t.Fleet.Store.Publish(Model, t.version)
	}
}

// step pulls until the trainer holds each slot of a step.
func (t *Trainer) step(ctx context.Context, step int) bool {
	held := make(map[gypsum.Slot]bool)
	for ctx.Err() == nil {
		t.number++
		pull := &gypsum.Pull{
			Plan: t.Plan, Session: t.session, Number: t.number, Step: step, Version: t.version, Wait: pullWait,
		}
		for slot := range held {
			pull.Holds = append(pull.Holds, slot)
		}
		answer, err := t.pull(ctx, pull)
		if err != nil {
			pause(ctx, pullAgain)
			continue
		}
		if answer.Session != t.session || answer.Number != t.number {
			t.Record.breach("pull %d got the answer of pull %d", t.number, answer.Number)
		}
		for _, sample := range answer.Samples {
			t.take(sample, step, held)
		}
		if answer.Missing == 0 {
			return true
		}
	}
	return false
}

// pull sends one pull through the next daemon.
func (t *Trainer) pull(ctx context.Context, pull *gypsum.Pull) (*gypsum.PullAnswer, error) {
	ready := t.Fleet.Ready()
	if len(ready) == 0 {
		return nil, gypsum.ErrNotHanded
	}
	t.next++
	via := ready[t.next%len(ready)]
	timeout, cancel := context.WithTimeout(ctx, pullWait+2*time.Second)
	defer cancel()
	running := t.Fleet.Node(via)
	if running == nil {
		return nil, gypsum.ErrNotHanded
	}
	if err := t.Fleet.Network.Gate(timeout, via); err != nil {
		return nil, err
	}
	answer, err := running.Pull(timeout, pull)
	if gateErr := t.Fleet.Network.Gate(timeout, via); gateErr != nil {
		return nil, gateErr
	}
	return answer, err
}

// take checks a sample and keeps it.
func (t *Trainer) take(sample *gypsum.Sample, step int, held map[gypsum.Slot]bool) {
	if held[sample.Slot] {
		t.Record.breach("sample %s was delivered twice", sample.Slot)
	}
	if sample.Slot.Step != step {
		t.Record.breach("sample %s was delivered in step %d", sample.Slot, step)
	}
	held[sample.Slot] = true
	if sample.Text != fake.Text(sample.Prompt, sample.Seed, sample.Segments) {
		t.Record.breach("sample %s does not name the weights that made it", sample.Slot)
	}
	behind := int(t.version - sample.Oldest())
	if behind > t.MaxStaleness {
		t.Record.breach("sample %s is %d versions old", sample.Slot, behind)
	}
	t.Record.mu.Lock()
	defer t.Record.mu.Unlock()
	t.Record.samples++
	t.Record.stale += max(0, behind)
}

// pause waits for a time or until ctx ends.
func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

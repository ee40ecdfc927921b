// Package client is the callers' and trainers' side of the service.
package client

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// Times of pulls.
const (
	pullWait    = 2 * time.Second
	pullTimeout = pullWait + 2*time.Second
	pullAgain   = 200 * time.Millisecond
)

// PullRequest is the body of a pull.
type PullRequest struct {
	Session gypsum.Incarnation   `json:"session"`
	Number  int64                `json:"number"`
	Step    int                  `json:"step"`
	Version gypsum.WeightVersion `json:"version"`
	Holds   []gypsum.Slot        `json:"holds"`
	WaitMS  int64                `json:"wait_ms"`
	Prompts []string             `json:"prompts,omitempty"`
}

// Trainer pulls the samples of one plan and keeps each slot's sample exactly
// once. Set the exported fields before use; it is for one goroutine.
type Trainer struct {
	Entries []*Entry
	Plan    gypsum.PlanName
	// Session tells this start of the trainer from earlier ones. It must grow.
	Session gypsum.Incarnation

	number int64
}

// Step returns all samples of a step, by slot. Version is the trainer's own.
// It goes on over failures until ctx ends. Held are samples that the trainer
// already has, for example from a checkpoint.
func (t *Trainer) Step(ctx context.Context, step int, version gypsum.WeightVersion, prompts []string, held map[gypsum.Slot]*gypsum.Sample) (map[gypsum.Slot]*gypsum.Sample, error) {
	samples := maps.Clone(held)
	if samples == nil {
		samples = make(map[gypsum.Slot]*gypsum.Sample)
	}
	for {
		answer, err := t.pull(ctx, step, version, prompts, samples)
		if final(err) || ctx.Err() != nil {
			return samples, err
		}
		if err != nil {
			sleep(ctx, pullAgain)
			continue
		}
		for _, sample := range answer.Samples {
			if _, ok := samples[sample.Slot]; !ok && sample.Slot.Step == step {
				samples[sample.Slot] = sample
			}
		}
		if answer.Missing == 0 {
			return samples, nil
		}
	}
}

// final tells whether a pull can never succeed.
func final(err error) bool {
	var refusal *gypsum.Refusal
	return errors.As(err, &refusal) && refusal.Status == http.StatusBadRequest
}

// pull makes one pull. Its answer is only used if it belongs to this pull.
func (t *Trainer) pull(ctx context.Context, step int, version gypsum.WeightVersion, prompts []string, samples map[gypsum.Slot]*gypsum.Sample) (*gypsum.PullResponse, error) {
	t.number++
	pull := &gypsum.PullRequest{
		Plan: t.Plan, Session: t.Session, Number: t.number, Step: step, Version: version,
		Wait: pullWait, Prompts: prompts, ReceivedSlots: make([]gypsum.Slot, 0, len(samples)),
	}
	for slot := range samples {
		pull.ReceivedSlots = append(pull.ReceivedSlots, slot)
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	answer, err := t.Entries[int(t.number)%len(t.Entries)].Pull(ctx, pull)
	if err != nil {
		return nil, err
	}
	if answer.Session != t.Session || answer.Number != t.number {
		return nil, fmt.Errorf("answer to pull %d came for pull %d: %w", answer.Number, t.number, gypsum.ErrResponseMismatch)
	}
	return answer, nil
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

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

// Timeouts and delays of pulls.
const (
	// pullWait is how long a daemon may delay its response until samples are available.
	pullWait = 2 * time.Second
	// pullTimeout limits one pull request.
	pullTimeout = pullWait + 2*time.Second
	// pullRetryDelay is the delay after a failed pull.
	pullRetryDelay = 200 * time.Millisecond
)

// PullRequest is the JSON body of a pull. Its fields are those of gypsum.PullRequest.
type PullRequest struct {
	Session       gypsum.Incarnation   `json:"session"`
	Number        int64                `json:"number"`
	Step          int                  `json:"step"`
	Version       gypsum.WeightVersion `json:"version"`
	ReceivedSlots []gypsum.Slot        `json:"holds"`
	WaitMS        int64                `json:"wait_ms"`
	Prompts       []string             `json:"prompts,omitempty"`
}

// Trainer pulls the samples of one plan through several entry hosts in turn and keeps
// exactly one sample for each slot. Set the exported fields before use. It is not safe for
// concurrent use.
type Trainer struct {
	Clients []*Client
	Plan    gypsum.PlanName
	// Session identifies this start of the trainer. It must be greater than the session of
	// any earlier start.
	Session gypsum.Incarnation

	number int64
}

// PullStep returns all samples of a step, by slot. The version is the weight version of the
// trainer; received are samples that it already has, for example from a checkpoint. Failed
// pulls are retried until ctx is done; then the samples received so far are returned with the
// error of the last pull or, if that succeeded, the error of ctx. A refusal of a pull that can
// never succeed is returned at once.
func (t *Trainer) PullStep(ctx context.Context, step int, version gypsum.WeightVersion, prompts []string, received map[gypsum.Slot]*gypsum.Sample) (map[gypsum.Slot]*gypsum.Sample, error) {
	samples := maps.Clone(received)
	if samples == nil {
		samples = make(map[gypsum.Slot]*gypsum.Sample)
	}
	for {
		response, err := t.pull(ctx, step, version, prompts, samples)
		if isPermanentRefusal(err) {
			return samples, err
		}
		if err == nil {
			for _, sample := range response.Samples {
				if _, ok := samples[sample.Slot]; !ok && sample.Slot.Step == step {
					samples[sample.Slot] = sample
				}
			}
			if response.Missing == 0 {
				return samples, nil
			}
		}
		switch {
		case ctx.Err() != nil && err != nil:
			return samples, err
		case ctx.Err() != nil:
			return samples, fmt.Errorf("step %d is incomplete: %w", step, ctx.Err())
		case err != nil:
			sleep(ctx, pullRetryDelay)
		}
	}
}

// isPermanentRefusal reports whether err means that a pull can never succeed.
func isPermanentRefusal(err error) bool {
	var refusal *gypsum.Refusal
	return errors.As(err, &refusal) && refusal.Status == http.StatusBadRequest
}

// pull sends one pull request. It returns gypsum.ErrResponseMismatch if the response
// belongs to another pull.
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
	response, err := t.Clients[int(t.number)%len(t.Clients)].Pull(ctx, pull)
	if err != nil {
		return nil, err
	}
	if response.Session != t.Session || response.Number != t.number {
		return nil, fmt.Errorf("response to pull %d received for pull %d: %w", response.Number, t.number, gypsum.ErrResponseMismatch)
	}
	return response, nil
}

// sleep waits until the duration has passed or ctx is done.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

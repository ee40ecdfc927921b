// Package client is the trainers' side of a rollout plan: it pulls the samples
// of a step and keeps each slot's sample exactly once.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
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

// ErrRefused is a pull that can never succeed.
var ErrRefused = errors.New("pull refused")

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

// Trainer pulls the samples of one plan. Set the exported fields before use; it
// is for one goroutine.
type Trainer struct {
	// Addresses are entry hosts, or the balancer before them, as http://host:port.
	Addresses []string
	Plan      gypsum.PlanName
	HTTP      *http.Client
	// Session tells this start of the trainer from earlier ones. It must grow.
	Session gypsum.Incarnation

	number int64
	next   int
}

// Step returns all samples of a step, by slot. Version is the trainer's own.
// It goes on over failures until ctx ends. Held are samples that the trainer
// already has, for example from a checkpoint.
func (t *Trainer) Step(ctx context.Context, step int, version gypsum.WeightVersion, prompts []string, held map[gypsum.Slot]*gypsum.Sample) (map[gypsum.Slot]*gypsum.Sample, error) {
	samples := make(map[gypsum.Slot]*gypsum.Sample, len(held))
	for slot, sample := range held {
		samples[slot] = sample
	}
	for {
		answer, err := t.pull(ctx, step, version, prompts, samples)
		if errors.Is(err, ErrRefused) || ctx.Err() != nil {
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

// pull makes one pull. Its answer is only used if it belongs to this pull.
func (t *Trainer) pull(ctx context.Context, step int, version gypsum.WeightVersion, prompts []string, samples map[gypsum.Slot]*gypsum.Sample) (*gypsum.PullAnswer, error) {
	t.number++
	request := PullRequest{
		Session: t.Session, Number: t.number, Step: step, Version: version,
		WaitMS: pullWait.Milliseconds(), Prompts: prompts, Holds: []gypsum.Slot{},
	}
	for slot := range samples {
		request.Holds = append(request.Holds, slot)
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	answer, err := t.post(ctx, &request)
	if err != nil {
		return nil, err
	}
	if answer.Session != t.Session || answer.Number != t.number {
		return nil, fmt.Errorf("answer to pull %d came for pull %d: %w", answer.Number, t.number, gypsum.ErrCrossed)
	}
	return answer, nil
}

// post sends a pull to the next entry host.
func (t *Trainer) post(ctx context.Context, pull *PullRequest) (*gypsum.PullAnswer, error) {
	body, err := json.Marshal(pull)
	if err != nil {
		return nil, fmt.Errorf("encode pull: %w", err)
	}
	t.next++
	address := t.Addresses[t.next%len(t.Addresses)] + "/v1/plans/" + string(t.Plan) + "/pull"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make pull: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := t.HTTP.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send pull: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if response.StatusCode == http.StatusBadRequest {
		return nil, fmt.Errorf("status %d: %s: %w", response.StatusCode, content, ErrRefused)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("pull: status %d: %s", response.StatusCode, content)
	}
	var answer gypsum.PullAnswer
	if err := json.Unmarshal(content, &answer); err != nil {
		return nil, fmt.Errorf("decode answer: %w", err)
	}
	return &answer, nil
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

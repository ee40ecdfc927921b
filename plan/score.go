package plan

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/gypsumhook/gypsum"
)

// scorePath is the path of the scoring endpoint on scoring services.
const scorePath = "/score"

// scoreRetryInterval is the delay before scoring a sample is retried.
const scoreRetryInterval = 100 * time.Millisecond

// scoreResponse is the response body of a scoring service.
type scoreResponse struct {
	Score *float64 `json:"score"`
}

// requestScore requests a sample's score from the plan's scoring service. The call is
// idempotent.
func (f *Filler) requestScore(ctx context.Context, spec *gypsum.PlanSpec, sample *gypsum.Sample) (float64, error) {
	body, err := json.Marshal(sample)
	if err != nil {
		return 0, fmt.Errorf("encode sample: %w", err)
	}
	id := newRequestID()
	call := &gypsum.Call{
		ID: id, Service: spec.Scorer, Class: gypsum.ClassTrainer, Stage: gypsum.StagePlace,
		Budget: spec.SampleTimeout, Tenant: string(f.planName), Weight: spec.Share,
		Fingerprint: gypsum.FingerprintOf(spec.Scorer, scorePath, body),
		Plain: &gypsum.PlainRequest{
			ID: id, Method: http.MethodPost, Path: scorePath,
			Header: http.Header{"Content-Type": {"application/json"}}, Body: body,
		},
	}
	var result scoreResponse
	err = f.Runner.Run(ctx, call, func(event *gypsum.Event) error {
		if event.Response == nil {
			return nil
		}
		if event.Response.Status != http.StatusOK {
			return fmt.Errorf("scorer returned status %d: %w", event.Response.Status, gypsum.ErrIncompleteResponse)
		}
		return json.Unmarshal(event.Response.Body, &result)
	})
	if err != nil {
		return 0, fmt.Errorf("call scorer: %w", err)
	}
	if result.Score == nil {
		return 0, fmt.Errorf("scorer response has no score: %w", gypsum.ErrIncompleteResponse)
	}
	return *result.Score, nil
}

package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/adapt"
)

// Headers of calls and answers.
const (
	TimeoutHeader        = "Gypsum-Timeout-Ms"
	DeadlineHeader       = "Gypsum-Deadline"
	CallerHeader         = "Gypsum-Caller"
	RecoveryHeader       = "Gypsum-Recovery"
	IdempotencyKeyHeader = "Idempotency-Key"
	BackendHeader        = "Gypsum-Backend"
)

// responseGrace is how long after its deadline a call waits for a final answer
// that is on its way.
const responseGrace = 50 * time.Millisecond

// doneMarker is the data of the event behind a completion's last chunk.
const doneMarker = "[DONE]"

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type    string         `json:"type"`
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Detail  string         `json:"detail,omitempty"`
	Outcome gypsum.Outcome `json:"outcome"`
	Reason  gypsum.Reason  `json:"reason"`
	// RetryAfterMS is the time to come back, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// refusal returns the problem as a refusal.
func (p *Problem) refusal() *gypsum.Refusal {
	return &gypsum.Refusal{
		Reason: p.Reason, Outcome: p.Outcome, Status: p.Status, Detail: p.Detail,
		RetryAfter: time.Duration(p.RetryAfterMS) * time.Millisecond,
	}
}

// Client is the way to one entry host. It is a gypsum.Runner.
type Client struct {
	// BaseURL is the host, or the balancer before it, as http://host:port.
	BaseURL    string
	HTTPClient *http.Client
}

// Run sends a call. A lost connection is a failure with an unknown outcome,
// unless it was never made.
func (c *Client) Run(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	ctx, cancel := context.WithTimeout(ctx, call.Budget+responseGrace)
	defer cancel()
	request, err := c.newRequest(ctx, call)
	if err != nil {
		return err
	}
	response, err := c.HTTPClient.Do(request)
	if errors.Is(err, gypsum.ErrNotSent) {
		return gypsum.NotRun(gypsum.ReasonPeerFailed, 0, 0, "entry host was not reached")
	}
	if err != nil {
		return gypsum.Unknown(gypsum.ReasonPeerFailed, 0, 0, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get("Content-Type") == "application/problem+json" {
		return readProblem(response.Body)
	}
	if call.Generation != nil {
		return readStream(response, sink)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return gypsum.Unknown(gypsum.ReasonPeerFailed, 0, 0, err.Error())
	}
	plainResponse := &gypsum.PlainResponse{Status: response.StatusCode, Header: response.Header, Body: body}
	if err := sink(&gypsum.Event{Response: plainResponse}); err != nil {
		return err
	}
	return sink(&gypsum.Event{End: &gypsum.End{Backend: gypsum.BackendID(response.Header.Get(BackendHeader))}})
}

// newRequest returns the HTTP request of a call.
func (c *Client) newRequest(ctx context.Context, call *gypsum.Call) (*http.Request, error) {
	if call.Generation != nil {
		return c.newCompletionRequest(ctx, call)
	}
	url := c.BaseURL + "/services/" + string(call.Service) + call.Plain.Path
	request, err := http.NewRequestWithContext(ctx, call.Plain.Method, url, bytes.NewReader(call.Plain.Body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	if call.IdempotencyKey != "" {
		request.Header.Set(IdempotencyKeyHeader, string(call.IdempotencyKey))
	}
	request.Header.Set(TimeoutHeader, strconv.FormatInt(call.Budget.Milliseconds(), 10))
	return request, nil
}

// newCompletionRequest returns the HTTP request of a completion.
func (c *Client) newCompletionRequest(ctx context.Context, call *gypsum.Call) (*http.Request, error) {
	generation := call.Generation
	body, err := json.Marshal(adapt.CompletionRequest{
		Model: string(call.Service), Prompt: generation.Prompt, MaxTokens: generation.MaxTokens, Seed: generation.Seed, Stream: true,
	})
	if err != nil {
		return nil, fmt.Errorf("encode completion: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.BaseURL+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(TimeoutHeader, strconv.FormatInt(call.Budget.Milliseconds(), 10))
	if call.Recovery == gypsum.RecoveryResume {
		request.Header.Set(RecoveryHeader, string(gypsum.RecoveryResume))
	}
	return request, nil
}

// readProblem returns the refusal of a problem document.
func readProblem(body io.Reader) error {
	var problem Problem
	if err := json.NewDecoder(body).Decode(&problem); err != nil {
		return gypsum.Unknown(gypsum.ReasonPeerFailed, 0, 0, "problem document not read: "+err.Error())
	}
	return problem.refusal()
}

// readStream reads the server-sent events of a completion.
func readStream(response *http.Response, sink gypsum.Sink) error {
	for event, err := range sse.Read(response.Body, nil) {
		switch {
		case err != nil:
			return gypsum.Unknown(gypsum.ReasonPeerFailed, 0, 0, "stream broke off: "+err.Error())
		case event.Type == "error":
			return readProblem(bytes.NewReader([]byte(event.Data)))
		case event.Data == doneMarker:
			return sink(&gypsum.Event{End: &gypsum.End{}})
		}
		chunk, err := adapt.DecodeChunk(event.Data, "")
		if err != nil {
			return err
		}
		if err := sink(&gypsum.Event{Chunk: chunk}); err != nil {
			return err
		}
	}
	return gypsum.Unknown(gypsum.ReasonPeerFailed, 0, 0, "stream ended without mark")
}

// Pull sends a trainer's pull.
func (c *Client) Pull(ctx context.Context, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
	body, err := json.Marshal(PullRequest{
		Session: pull.Session, Number: pull.Number, Step: pull.Step, Version: pull.Version,
		ReceivedSlots: pull.ReceivedSlots, WaitMS: pull.Wait.Milliseconds(), Prompts: pull.Prompts,
	})
	if err != nil {
		return nil, fmt.Errorf("encode pull: %w", err)
	}
	url := c.BaseURL + "/v1/plans/" + string(pull.Plan) + "/pull"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make pull: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.HTTPClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send pull: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, readProblem(response.Body)
	}
	var pullResponse gypsum.PullResponse
	if err := json.NewDecoder(response.Body).Decode(&pullResponse); err != nil {
		return nil, fmt.Errorf("decode answer: %w", err)
	}
	return &pullResponse, nil
}

// Package client provides the Go clients of callers and trainers.
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

// Headers of requests and responses.
const (
	// TimeoutHeader is the timeout of a request in milliseconds.
	TimeoutHeader = "Gypsum-Timeout-Ms"
	// DeadlineHeader is the deadline of a request in the format of RFC 3339. It takes
	// precedence over TimeoutHeader.
	DeadlineHeader = "Gypsum-Deadline"
	// CallerHeader names the caller whose fair share a request counts against.
	CallerHeader = "Gypsum-Caller"
	// RecoveryHeader is "resume" if another engine may continue an incomplete completion,
	// and "none" if nothing may be done with it.
	RecoveryHeader = "Gypsum-Recovery"
	// IdempotencyKeyHeader is required for requests to plain services whose method is not
	// idempotent.
	IdempotencyKeyHeader = "Idempotency-Key"
	// BackendHeader names the backend server that served a request. It is set in responses.
	BackendHeader = "Gypsum-Backend"
)

// responseGrace is how long after its deadline a call waits for a final response that is
// already on its way.
const responseGrace = 50 * time.Millisecond

// doneMarker is the data of the event after the last chunk of a completion.
const doneMarker = "[DONE]"

// Problem is an RFC 9457 problem document, the body of an error response.
type Problem struct {
	Type    string         `json:"type"`
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Detail  string         `json:"detail,omitempty"`
	Outcome gypsum.Outcome `json:"outcome"`
	Reason  gypsum.Reason  `json:"reason"`
	// RetryAfterMS is how long to wait before a retry, in milliseconds, 0 if no retry is
	// suggested.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// toRefusal converts the problem document to a refusal.
func (p *Problem) toRefusal() *gypsum.Refusal {
	return &gypsum.Refusal{
		Reason: p.Reason, Outcome: p.Outcome, Status: p.Status, Detail: p.Detail,
		RetryAfter: time.Duration(p.RetryAfterMS) * time.Millisecond,
	}
}

// Client is a client of one entry host. It implements gypsum.CallRunner.
type Client struct {
	// BaseURL is the address of the host, or of the load balancer in front of it, as
	// http://host:port.
	BaseURL    string
	HTTPClient *http.Client
}

// Run sends a call. It returns the error response of the host as a *gypsum.Refusal. A
// connection failure has an unknown outcome, unless no byte of the request was sent.
func (c *Client) Run(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	ctx, cancel := context.WithTimeout(ctx, call.Budget+responseGrace)
	defer cancel()
	request, err := c.newRequest(ctx, call)
	if err != nil {
		return err
	}
	response, err := c.HTTPClient.Do(request)
	if errors.Is(err, gypsum.ErrNotSent) {
		return gypsum.NotRunRefusal(gypsum.ReasonPeerFailed, 0, 0, "entry host was not reached")
	}
	if err != nil {
		return gypsum.UnknownRefusal(gypsum.ReasonPeerFailed, 0, 0, err.Error())
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
		return gypsum.UnknownRefusal(gypsum.ReasonPeerFailed, 0, 0, err.Error())
	}
	plainResponse := &gypsum.PlainResponse{Status: response.StatusCode, Header: response.Header, Body: body}
	if err := sink(&gypsum.Event{Response: plainResponse}); err != nil {
		return err
	}
	return sink(&gypsum.Event{End: &gypsum.End{Backend: gypsum.BackendID(response.Header.Get(BackendHeader))}})
}

// newRequest returns the HTTP request for a call to an engine or a plain service.
func (c *Client) newRequest(ctx context.Context, call *gypsum.Call) (*http.Request, error) {
	if call.Generation != nil {
		return c.newCompletionRequest(ctx, call)
	}
	url := c.BaseURL + "/services/" + string(call.Service) + call.Plain.Path
	request, err := http.NewRequestWithContext(ctx, call.Plain.Method, url, bytes.NewReader(call.Plain.Body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	if call.IdempotencyKey != "" {
		request.Header.Set(IdempotencyKeyHeader, string(call.IdempotencyKey))
	}
	request.Header.Set(TimeoutHeader, strconv.FormatInt(call.Budget.Milliseconds(), 10))
	return request, nil
}

// newCompletionRequest returns the HTTP request for a streamed completion.
func (c *Client) newCompletionRequest(ctx context.Context, call *gypsum.Call) (*http.Request, error) {
	generation := call.Generation
	body, err := json.Marshal(adapt.CompletionRequest{
		Model: string(call.Service), Prompt: generation.Prompt, MaxTokens: generation.MaxTokens, Seed: generation.Seed, Stream: true,
	})
	if err != nil {
		return nil, fmt.Errorf("encode completion request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.BaseURL+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(TimeoutHeader, strconv.FormatInt(call.Budget.Milliseconds(), 10))
	if call.Recovery == gypsum.RecoveryResume {
		request.Header.Set(RecoveryHeader, string(gypsum.RecoveryResume))
	}
	return request, nil
}

// readProblem decodes a problem document and returns it as a *gypsum.Refusal.
func readProblem(body io.Reader) error {
	var problem Problem
	if err := json.NewDecoder(body).Decode(&problem); err != nil {
		return gypsum.UnknownRefusal(gypsum.ReasonPeerFailed, 0, 0, "problem document not read: "+err.Error())
	}
	return problem.toRefusal()
}

// readStream passes the chunks of a streamed completion to sink, until its end marker.
func readStream(response *http.Response, sink gypsum.Sink) error {
	for event, err := range sse.Read(response.Body, nil) {
		switch {
		case err != nil:
			return gypsum.UnknownRefusal(gypsum.ReasonPeerFailed, 0, 0, "stream broke off: "+err.Error())
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
	return gypsum.UnknownRefusal(gypsum.ReasonPeerFailed, 0, 0, "stream ended without mark")
}

// Pull sends a trainer's pull request. An error response is returned as a *gypsum.Refusal.
func (c *Client) Pull(ctx context.Context, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
	body, err := json.Marshal(PullRequest{
		Session: pull.Session, Number: pull.Number, Step: pull.Step, Version: pull.Version,
		ReceivedSlots: pull.ReceivedSlots, WaitMS: pull.Wait.Milliseconds(), Prompts: pull.Prompts,
	})
	if err != nil {
		return nil, fmt.Errorf("encode pull request: %w", err)
	}
	url := c.BaseURL + "/v1/plans/" + string(pull.Plan) + "/pull"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create pull request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.HTTPClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send pull request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, readProblem(response.Body)
	}
	var pullResponse gypsum.PullResponse
	if err := json.NewDecoder(response.Body).Decode(&pullResponse); err != nil {
		return nil, fmt.Errorf("decode pull response: %w", err)
	}
	return &pullResponse, nil
}

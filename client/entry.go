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
	TimeoutHeader  = "Gypsum-Timeout-Ms"
	DeadlineHeader = "Gypsum-Deadline"
	CallerHeader   = "Gypsum-Caller"
	RecoveryHeader = "Gypsum-Recovery"
	KeyHeader      = "Idempotency-Key"
	BackendHeader  = "Gypsum-Backend"
)

// answerSlack is how long after its deadline a call waits for a final answer
// that is on its way.
const answerSlack = 50 * time.Millisecond

// doneMark is the data of the event behind a completion's last chunk.
const doneMark = "[DONE]"

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type    string         `json:"type"`
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Detail  string         `json:"detail,omitempty"`
	Outcome gypsum.Outcome `json:"outcome"`
	Reason  gypsum.Reason  `json:"reason"`
	// RetryAfter is the time to come back, in milliseconds.
	RetryAfter int64 `json:"retry_after_ms,omitempty"`
}

// refusal returns the problem as a refusal.
func (p *Problem) refusal() *gypsum.Refusal {
	return &gypsum.Refusal{
		Reason: p.Reason, Outcome: p.Outcome, Status: p.Status, Detail: p.Detail,
		RetryAfter: time.Duration(p.RetryAfter) * time.Millisecond,
	}
}

// Entry is the way to one entry host. It is a gypsum.Runner.
type Entry struct {
	// Address is the host, or the balancer before it, as http://host:port.
	Address string
	HTTP    *http.Client
}

// Run sends a call. A lost connection is a failure with an unknown outcome,
// unless it was never made.
func (e *Entry) Run(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	ctx, cancel := context.WithTimeout(ctx, call.Budget+answerSlack)
	defer cancel()
	request, err := e.request(ctx, call)
	if err != nil {
		return err
	}
	response, err := e.HTTP.Do(request)
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
	answer := &gypsum.PlainResponse{Status: response.StatusCode, Header: response.Header, Body: body}
	if err := sink(&gypsum.Event{Response: answer}); err != nil {
		return err
	}
	return sink(&gypsum.Event{End: &gypsum.End{Backend: gypsum.BackendID(response.Header.Get(BackendHeader))}})
}

// request returns the HTTP request of a call.
func (e *Entry) request(ctx context.Context, call *gypsum.Call) (*http.Request, error) {
	if call.Generation != nil {
		return e.completion(ctx, call)
	}
	url := e.Address + "/services/" + string(call.Service) + call.Plain.Path
	request, err := http.NewRequestWithContext(ctx, call.Plain.Method, url, bytes.NewReader(call.Plain.Body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	if call.IdempotencyKey != "" {
		request.Header.Set(KeyHeader, string(call.IdempotencyKey))
	}
	request.Header.Set(TimeoutHeader, strconv.FormatInt(call.Budget.Milliseconds(), 10))
	return request, nil
}

// completion returns the HTTP request of a completion.
func (e *Entry) completion(ctx context.Context, call *gypsum.Call) (*http.Request, error) {
	generation := call.Generation
	body, err := json.Marshal(adapt.CompletionRequest{
		Model: string(call.Service), Prompt: generation.Prompt, MaxTokens: generation.MaxTokens, Seed: generation.Seed, Stream: true,
	})
	if err != nil {
		return nil, fmt.Errorf("encode completion: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.Address+"/v1/completions", bytes.NewReader(body))
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
		case event.Data == doneMark:
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
func (e *Entry) Pull(ctx context.Context, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
	body, err := json.Marshal(PullRequest{
		Session: pull.Session, Number: pull.Number, Step: pull.Step, Version: pull.Version,
		Holds: pull.ReceivedSlots, WaitMS: pull.Wait.Milliseconds(), Prompts: pull.Prompts,
	})
	if err != nil {
		return nil, fmt.Errorf("encode pull: %w", err)
	}
	url := e.Address + "/v1/plans/" + string(pull.Plan) + "/pull"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make pull: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := e.HTTP.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send pull: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, readProblem(response.Body)
	}
	var answer gypsum.PullResponse
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, fmt.Errorf("decode answer: %w", err)
	}
	return &answer, nil
}

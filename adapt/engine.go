package adapt

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/tmaxmax/go-sse"

	"github.com/gypsumhook/gypsum"
)

// maxEventBytes is the maximum size of a server-sent event of an engine.
const maxEventBytes = 1 << 20

// doneMarker is the data of the event after the last chunk of a completion.
const doneMarker = "[DONE]"

// CompletionRequest is the body of an OpenAI-style completion request, extended by the
// fields with which engines resume a generation.
type CompletionRequest struct {
	RequestID    gypsum.RequestID `json:"request_id,omitempty"`
	Model        string           `json:"model"`
	Prompt       string           `json:"prompt"`
	MaxTokens    int              `json:"max_tokens,omitempty"`
	Seed         int64            `json:"seed,omitempty"`
	Stream       bool             `json:"stream,omitempty"`
	ResumeText   string           `json:"resume_text,omitempty"`
	ResumeTokens int              `json:"resume_tokens,omitempty"`
}

// CompletionChunk is a chunk of an OpenAI-style completion stream.
type CompletionChunk struct {
	ID            gypsum.RequestID     `json:"id"`
	Object        string               `json:"object"`
	Model         string               `json:"model"`
	Choices       []CompletionChoice   `json:"choices"`
	WeightVersion gypsum.WeightVersion `json:"weight_version"`
}

// CompletionChoice is the text of a chunk.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	TokenIndex   int     `json:"token_index"`
	Tokens       int     `json:"tokens"`
	FinishReason *string `json:"finish_reason"`
}

// engineClient is a client of a model engine. It implements gypsum.Engine.
//
//	POST BASE/v1/completions  OpenAI-style, server-sent events
//	GET  BASE/load            gypsum.LoadReport
//	POST BASE/order           gypsum.LoadOrder; 409 for a stale fencing token
type engineClient struct {
	client  *http.Client
	baseURL string
}

// Generate implements gypsum.Engine.
func (e *engineClient) Generate(ctx context.Context, generation *gypsum.Generation, sink func(*gypsum.Chunk) error) error {
	response, err := e.startGeneration(ctx, generation)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	// A stream that exceeds its limit ends early.
	stream := io.LimitReader(response.Body, maxStreamBytes(generation.MaxTokens))
	for event, err := range sse.Read(stream, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return fmt.Errorf("read completion stream: %v: %w", err, gypsum.ErrIncompleteResponse)
		}
		if event.Data == doneMarker {
			return nil
		}
		chunk, err := DecodeChunk(event.Data, generation.ID)
		if err != nil {
			return err
		}
		if err := sink(chunk); err != nil {
			return err
		}
	}
	return fmt.Errorf("completion stream ended early: %w", gypsum.ErrIncompleteResponse)
}

// maxStreamBytes returns the most bytes of a completion stream with a number of tokens: the chunks
// of engines have a few hundred bytes for each token.
func maxStreamBytes(tokens int) int64 { return maxEventBytes + int64(tokens)*4<<10 }

// startGeneration sends a generation request and returns the streaming response.
func (e *engineClient) startGeneration(ctx context.Context, generation *gypsum.Generation) (*http.Response, error) {
	body, err := json.Marshal(CompletionRequest{
		RequestID: generation.ID, Model: generation.Model, Prompt: generation.Prompt, MaxTokens: generation.MaxTokens,
		Seed: generation.Seed, Stream: true, ResumeText: generation.ResumeText, ResumeTokens: generation.ResumeTokens,
	})
	if err != nil {
		return nil, fmt.Errorf("encode generation request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.baseURL+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := e.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send generation request: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("engine returned status %d: %w", response.StatusCode, gypsum.ErrIncompleteResponse)
	}
	return response, nil
}

// DecodeChunk decodes the chunk in the data of an event. It returns
// gypsum.ErrResponseMismatch if the chunk belongs to a request other than id, and
// gypsum.ErrIncompleteResponse if the chunk is invalid. An empty id accepts chunks of any
// request.
func DecodeChunk(data string, id gypsum.RequestID) (*gypsum.Chunk, error) {
	var completion CompletionChunk
	if err := json.Unmarshal([]byte(data), &completion); err != nil {
		return nil, fmt.Errorf("decode chunk: %v: %w", err, gypsum.ErrIncompleteResponse)
	}
	if id != "" && completion.ID != id {
		return nil, fmt.Errorf("chunk of %s in the stream of %s: %w", completion.ID, id, gypsum.ErrResponseMismatch)
	}
	if len(completion.Choices) != 1 {
		return nil, fmt.Errorf("chunk has %d choices, expected 1: %w", len(completion.Choices), gypsum.ErrIncompleteResponse)
	}
	choice := completion.Choices[0]
	chunk := &gypsum.Chunk{Index: choice.TokenIndex, Text: choice.Text, Tokens: choice.Tokens, Version: completion.WeightVersion}
	if choice.FinishReason != nil {
		chunk.FinishReason = *choice.FinishReason
	}
	return chunk, nil
}

// FetchLoadReport implements gypsum.Engine.
func (e *engineClient) FetchLoadReport(ctx context.Context) (*gypsum.LoadReport, error) {
	return fetchLoadReport(ctx, e.client, e.baseURL)
}

// fetchLoadReport fetches the load report of a backend server.
func fetchLoadReport(ctx context.Context, client *http.Client, baseURL string) (*gypsum.LoadReport, error) {
	report := gypsum.LoadReport{Incarnation: missing}
	if err := doJSON(ctx, client, http.MethodGet, baseURL+"/load", nil, &report, maxReportBytes); err != nil {
		return nil, fmt.Errorf("fetch load report: %w", err)
	}
	if report.Incarnation < 0 {
		// It would look like a restart.
		return nil, fmt.Errorf("fetch load report: %w", errMissingValue)
	}
	return &report, nil
}

// SendLoadOrder implements gypsum.Engine.
func (e *engineClient) SendLoadOrder(ctx context.Context, order gypsum.LoadOrder) error {
	err := doJSON(ctx, e.client, http.MethodPost, e.baseURL+"/order", order, nil, maxReportBytes)
	if hasStatus(err, http.StatusConflict) {
		return fmt.Errorf("send load order: %w", gypsum.ErrStaleFencingToken)
	}
	if err != nil {
		return fmt.Errorf("send load order: %w", err)
	}
	return nil
}

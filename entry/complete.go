package entry

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/tmaxmax/go-sse"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/adapt"
	"github.com/gypsumhook/gypsum/client"
)

// standardMaxTokens is the max_tokens of completions that state none.
const standardMaxTokens = 16

// maxTokensLimit bounds max_tokens.
const maxTokensLimit = 1 << 20

// Completion is a whole answer to a completion without streaming.
type Completion struct {
	ID      gypsum.RequestID         `json:"id"`
	Object  string                   `json:"object"`
	Model   string                   `json:"model"`
	Choices []adapt.CompletionChoice `json:"choices"`
	// Segments name the weights' versions that produced the tokens.
	Segments []gypsum.Segment `json:"segments"`
	Usage    Usage            `json:"usage"`
}

// Usage counts tokens.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// complete serves a completion.
func (e *Entry) complete(w http.ResponseWriter, r *http.Request) {
	call, request, refusal := e.completionCall(w, r)
	if refusal != nil {
		e.refuse(w, r, refusal)
		return
	}
	answer := &completionWriter{entry: e, w: w, r: r, call: call, model: request.Model, streaming: request.Stream}
	if err := e.Node.Run(r.Context(), call, answer.take); err != nil {
		answer.fail(gypsum.AsRefusal(err))
		return
	}
	answer.finish()
}

// completionCall returns the call of a completion.
func (e *Entry) completionCall(w http.ResponseWriter, r *http.Request) (*gypsum.Call, *adapt.CompletionRequest, *gypsum.Refusal) {
	body, refusal := e.readBody(w, r)
	if refusal != nil {
		return nil, nil, refusal
	}
	request, refusal := decodeCompletion(body)
	if refusal != nil {
		return nil, nil, refusal
	}
	call, refusal := e.newCall(r, gypsum.ServiceName(request.Model), gypsum.KindModel)
	if refusal != nil {
		return nil, nil, refusal
	}
	call.Recovery, refusal = recoveryOf(r, request.Stream)
	if refusal != nil {
		return nil, nil, refusal
	}
	spec, _ := e.Node.View().Service(call.Service)
	call.Fingerprint = gypsum.FingerprintOf(call.Service, r.URL.Path, body)
	call.PrefixHash = gypsum.Hash64(request.Prompt[:min(len(request.Prompt), prefixLength)])
	call.Generation = &gypsum.Generation{
		ID: call.ID, Model: spec.Model, Prompt: request.Prompt, MaxTokens: request.MaxTokens, Seed: request.Seed,
	}
	return call, request, nil
}

// decodeCompletion reads and checks a completion's body.
func decodeCompletion(body []byte) (*adapt.CompletionRequest, *gypsum.Refusal) {
	request := &adapt.CompletionRequest{MaxTokens: standardMaxTokens}
	if err := json.Unmarshal(body, request); err != nil {
		return nil, badRequest(http.StatusBadRequest, "the body is no completion request: "+err.Error())
	}
	if request.Model == "" || request.Prompt == "" {
		return nil, badRequest(http.StatusBadRequest, "model and prompt are required")
	}
	if request.MaxTokens < 1 || request.MaxTokens > maxTokensLimit {
		return nil, badRequest(http.StatusBadRequest, fmt.Sprintf("max_tokens is %d, allowed is 1 to %d", request.MaxTokens, maxTokensLimit))
	}
	return request, nil
}

// recoveryOf returns what may be done when an answer breaks off. A stream that
// has begun can only go on where the caller allows other weights in its rest.
func recoveryOf(r *http.Request, streaming bool) (gypsum.Recovery, *gypsum.Refusal) {
	switch value := r.Header.Get(client.RecoveryHeader); value {
	case string(gypsum.RecoveryResume):
		return gypsum.RecoveryResume, nil
	case "":
		if streaming {
			return gypsum.RecoveryNone, nil
		}
		return gypsum.RecoveryRestart, nil
	case "none":
		return gypsum.RecoveryNone, nil
	default:
		return "", badRequest(http.StatusBadRequest, fmt.Sprintf("%s is %q, allowed is resume or none", client.RecoveryHeader, value))
	}
}

// completionWriter gives a completion to its caller.
type completionWriter struct {
	entry     *Entry
	w         http.ResponseWriter
	r         *http.Request
	call      *gypsum.Call
	model     string
	streaming bool
	begun     bool
	joiner    gypsum.ResponseAssembler
}

// take takes an event of the answer.
func (c *completionWriter) take(event *gypsum.Event) error {
	switch {
	case event.Restart:
		c.joiner = gypsum.ResponseAssembler{}
	case event.End != nil && !c.begun:
		c.w.Header().Set(client.BackendHeader, string(event.End.Backend))
	case event.Chunk != nil:
		if _, err := c.joiner.Append(event.Chunk); err != nil {
			return fmt.Errorf("join completion: %w", err)
		}
		if c.streaming {
			return c.send(event.Chunk)
		}
	}
	return nil
}

// send gives a chunk to the caller at once.
func (c *completionWriter) send(chunk *gypsum.Chunk) error {
	if !c.begun {
		c.begun = true
		c.w.Header().Set("Content-Type", "text/event-stream")
		c.w.Header().Set("Cache-Control", "no-store")
	}
	choice := adapt.CompletionChoice{Text: chunk.Text, TokenIndex: chunk.Index, Tokens: chunk.Tokens}
	if chunk.FinishReason != "" {
		choice.FinishReason = &chunk.FinishReason
	}
	return c.event("", adapt.CompletionChunk{
		ID: c.call.ID, Object: "text_completion", Model: c.model,
		Choices: []adapt.CompletionChoice{choice}, WeightVersion: chunk.Version,
	})
}

// event writes one server-sent event.
func (c *completionWriter) event(kind string, content any) error {
	data, err := json.Marshal(content)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	return c.data(kind, string(data))
}

// data writes the data of one server-sent event.
func (c *completionWriter) data(kind, data string) error {
	message := &sse.Message{}
	if kind != "" {
		message.Type = sse.Type(kind)
	}
	message.AppendData(data)
	if _, err := message.WriteTo(c.w); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}

// fail tells the caller why there is no whole answer.
func (c *completionWriter) fail(refusal *gypsum.Refusal) {
	if !c.begun {
		c.entry.refuse(c.w, c.r, refusal)
		return
	}
	_ = c.event("error", problemOf(refusal))
}

// finish ends a whole answer.
func (c *completionWriter) finish() {
	if c.streaming {
		_ = c.data("", "[DONE]")
		return
	}
	finish := c.joiner.FinishReason()
	c.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(c.w).Encode(Completion{
		ID: c.call.ID, Object: "text_completion", Model: c.model,
		Choices:  []adapt.CompletionChoice{{Text: c.joiner.Text(), Tokens: c.joiner.Tokens(), FinishReason: &finish}},
		Segments: c.joiner.Segments(), Usage: Usage{CompletionTokens: c.joiner.Tokens()},
	})
}

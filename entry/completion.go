package entry

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/tmaxmax/go-sse"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/adapt"
	"github.com/gypsumhook/gypsum/client"
	"github.com/gypsumhook/gypsum/intake"
)

// defaultMaxTokens is the max_tokens of completion requests that do not set it.
const defaultMaxTokens = 16

// maxTokensLimit is the largest max_tokens that is accepted.
const maxTokensLimit = 1 << 20

// CompletionResponse is the body of the response to a completion request without
// streaming.
type CompletionResponse struct {
	ID      gypsum.RequestID         `json:"id"`
	Object  string                   `json:"object"`
	Model   string                   `json:"model"`
	Choices []adapt.CompletionChoice `json:"choices"`
	// Segments name the weight versions that produced the tokens, in order.
	Segments []gypsum.Segment `json:"segments"`
	Usage    Usage            `json:"usage"`
}

// Usage is the token count of a completion.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// serveCompletion serves a completion request, with or without streaming.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	call, request, refusal := s.newCompletionCall(w, r)
	if refusal != nil {
		s.logAndRefuse(w, r, refusal)
		return
	}
	writer := &completionWriter{server: s, w: w, r: r, call: call, model: request.Model, streaming: request.Stream}
	if err := s.Core.Run(r.Context(), call, writer.handleEvent); err != nil {
		writer.writeRefusal(gypsum.AsRefusal(err))
		return
	}
	writer.finishResponse()
}

// newCompletionCall returns the call for a completion request, and the decoded request.
func (s *Server) newCompletionCall(w http.ResponseWriter, r *http.Request) (*gypsum.Call, *adapt.CompletionRequest, *gypsum.Refusal) {
	body, refusal := s.readBody(w, r)
	if refusal != nil {
		return nil, nil, refusal
	}
	if refusal := reserveDecoded(r, body); refusal != nil {
		return nil, nil, refusal
	}
	request, refusal := decodeCompletion(body)
	if refusal != nil {
		return nil, nil, refusal
	}
	call, refusal := s.newCall(r, gypsum.ServiceName(request.Model), gypsum.HostKindModel)
	if refusal != nil {
		return nil, nil, refusal
	}
	call.Recovery, refusal = requestedRecovery(r, request.Stream)
	if refusal != nil {
		return nil, nil, refusal
	}
	spec, _ := s.Core.View().Service(call.Service)
	call.Fingerprint = gypsum.FingerprintOf(call.Service, r.URL.Path, body)
	call.PrefixHash = gypsum.Hash64(request.Prompt[:min(len(request.Prompt), affinityPrefixLength)])
	call.Generation = &gypsum.Generation{
		ID: call.ID, Model: spec.Model, Prompt: request.Prompt, MaxTokens: request.MaxTokens, Seed: request.Seed,
	}
	return call, request, nil
}

// decodeCompletion decodes and validates the body of a completion request.
func decodeCompletion(body []byte) (*adapt.CompletionRequest, *gypsum.Refusal) {
	request := &adapt.CompletionRequest{MaxTokens: defaultMaxTokens}
	if err := json.Unmarshal(body, request); err != nil {
		return nil, badRequestRefusal(http.StatusBadRequest, "the body is no completion request: "+err.Error())
	}
	if request.Model == "" || request.Prompt == "" {
		return nil, badRequestRefusal(http.StatusBadRequest, "model and prompt are required")
	}
	if request.MaxTokens < 1 || request.MaxTokens > maxTokensLimit {
		return nil, badRequestRefusal(http.StatusBadRequest, fmt.Sprintf("max_tokens is %d, allowed is 1 to %d", request.MaxTokens, maxTokensLimit))
	}
	return request, nil
}

// requestedRecovery returns how a completion may recover when its response is incomplete. A
// stream that has started can only be continued if the caller allows its remaining tokens
// to come from other weights. Without streaming, the default is a restart, since the
// caller has received nothing yet.
func requestedRecovery(r *http.Request, streaming bool) (gypsum.Recovery, *gypsum.Refusal) {
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
		return "", badRequestRefusal(http.StatusBadRequest, fmt.Sprintf("%s is %q, allowed is resume or none", client.RecoveryHeader, value))
	}
}

// completionWriter writes the response to a completion request.
type completionWriter struct {
	server    *Server
	w         http.ResponseWriter
	r         *http.Request
	call      *gypsum.Call
	model     string
	streaming bool
	// started means that a chunk of the stream has been sent.
	started   bool
	assembler gypsum.ResponseAssembler
}

// handleEvent processes one event of the response. It is a gypsum.Sink.
func (c *completionWriter) handleEvent(event *gypsum.Event) error {
	switch {
	case event.Restart:
		c.assembler = gypsum.ResponseAssembler{}
	case event.End != nil && !c.started:
		c.w.Header().Set(client.BackendHeader, string(event.End.Backend))
	case event.Chunk != nil:
		if _, err := c.assembler.Append(event.Chunk); err != nil {
			return fmt.Errorf("assemble completion: %w", err)
		}
		if c.streaming {
			return c.writeChunk(event.Chunk)
		}
		// The text is held until the response is complete, and once more while it is encoded.
		if err := intake.Reserve(c.r, gypsum.Bytes(2*len(event.Chunk.Text))); err != nil {
			return fmt.Errorf("assemble completion: %w", err)
		}
	}
	return nil
}

// writeChunk sends a chunk to a streaming caller without waiting for the next one.
func (c *completionWriter) writeChunk(chunk *gypsum.Chunk) error {
	if !c.started {
		c.started = true
		c.w.Header().Set("Content-Type", "text/event-stream")
		c.w.Header().Set("Cache-Control", "no-store")
	}
	choice := adapt.CompletionChoice{Text: chunk.Text, TokenIndex: chunk.Index, Tokens: chunk.Tokens}
	if chunk.FinishReason != "" {
		choice.FinishReason = &chunk.FinishReason
	}
	return c.writeEvent("", adapt.CompletionChunk{
		ID: c.call.ID, Object: "text_completion", Model: c.model,
		Choices: []adapt.CompletionChoice{choice}, WeightVersion: chunk.Version,
	})
}

// writeEvent sends content as JSON in one server-sent event. The event has no type if kind
// is empty.
func (c *completionWriter) writeEvent(kind string, content any) error {
	data, err := json.Marshal(content)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	return c.writeEventData(kind, string(data))
}

// writeEventData sends one server-sent event and flushes it.
func (c *completionWriter) writeEventData(kind, data string) error {
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

// writeRefusal reports why there is no complete response. Once the stream has started, the
// status can no longer change, and the refusal is sent as an error event.
func (c *completionWriter) writeRefusal(refusal *gypsum.Refusal) {
	if !c.started {
		c.server.logAndRefuse(c.w, c.r, refusal)
		return
	}
	_ = c.writeEvent("error", newProblem(refusal))
}

// finishResponse completes the response: it ends the stream or writes the whole completion.
func (c *completionWriter) finishResponse() {
	if c.streaming {
		_ = c.writeEventData("", "[DONE]")
		return
	}
	finish := c.assembler.FinishReason()
	c.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(c.w).Encode(CompletionResponse{
		ID: c.call.ID, Object: "text_completion", Model: c.model,
		Choices:  []adapt.CompletionChoice{{Text: c.assembler.Text(), Tokens: c.assembler.Tokens(), FinishReason: &finish}},
		Segments: c.assembler.Segments(), Usage: Usage{CompletionTokens: c.assembler.Tokens()},
	})
}

package stubs

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/adapt"
	"github.com/gypsumhook/gypsum/fake"
)

// EngineHandler returns an HTTP handler that serves a model engine. GET /orders returns
// the load orders that it has accepted, PUT /leaving makes it report that it is leaving.
func EngineHandler(engine *fake.Engine) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { serveCompletion(engine, w, r) })
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, r *http.Request) {
		report, err := engine.FetchLoadReport(r.Context())
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, http.StatusOK, report)
	})
	mux.HandleFunc("POST /order", func(w http.ResponseWriter, r *http.Request) {
		var order gypsum.LoadOrder
		if !decodeJSON(w, r, &order) {
			return
		}
		err := engine.SendLoadOrder(r.Context(), order)
		switch {
		case errors.Is(err, gypsum.ErrStaleFencingToken):
			http.Error(w, err.Error(), http.StatusConflict)
		case err != nil:
			panic(http.ErrAbortHandler)
		}
	})
	mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, engine.LoadOrders()) })
	mux.HandleFunc("PUT /leaving", func(http.ResponseWriter, *http.Request) { engine.SetLeaving(true) })
	return mux
}

// serveCompletion streams the response of an engine as server-sent events. On an error it
// aborts the connection. For a mismatched response it sends a chunk with the ID of
// another request and ends the stream without [DONE].
func serveCompletion(engine *fake.Engine, w http.ResponseWriter, r *http.Request) {
	var req adapt.CompletionRequest
	if !decodeJSON(w, r, &req) {
		return
	}
	generation := &gypsum.Generation{
		ID: req.RequestID, Model: req.Model, Prompt: req.Prompt, MaxTokens: req.MaxTokens,
		Seed: req.Seed, ResumeText: req.ResumeText, ResumeTokens: req.ResumeTokens,
	}
	w.Header().Set("Content-Type", "text/event-stream")
	err := engine.Generate(r.Context(), generation, func(chunk *gypsum.Chunk) error {
		return writeChunk(w, completionChunk(generation, chunk))
	})
	if errors.Is(err, gypsum.ErrResponseMismatch) {
		mismatched := *generation
		mismatched.ID = "another-" + generation.ID
		_ = writeChunk(w, completionChunk(&mismatched, &gypsum.Chunk{Tokens: 1, Text: "x ", Version: 1}))
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	message := &sse.Message{}
	message.AppendData("[DONE]")
	_, _ = message.WriteTo(w)
}

// completionChunk converts a chunk to the engines' protocol.
func completionChunk(generation *gypsum.Generation, chunk *gypsum.Chunk) *adapt.CompletionChunk {
	choice := adapt.CompletionChoice{Text: chunk.Text, TokenIndex: chunk.Index, Tokens: chunk.Tokens}
	if chunk.FinishReason != "" {
		choice.FinishReason = &chunk.FinishReason
	}
	return &adapt.CompletionChunk{
		ID: generation.ID, Object: "text_completion", Model: generation.Model,
		Choices: []adapt.CompletionChoice{choice}, WeightVersion: chunk.Version,
	}
}

// writeChunk writes a chunk as a server-sent event and flushes it.
func writeChunk(w http.ResponseWriter, chunk *adapt.CompletionChunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	message := &sse.Message{}
	message.AppendData(string(data))
	if _, err := message.WriteTo(w); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// PlainServiceHandler returns an HTTP handler that serves a replica of a plain service.
// GET /ledger returns how often each request was executed, PUT /leaving makes the replica
// report that it is leaving.
func PlainServiceHandler(service *fake.PlainService) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, r *http.Request) {
		report, err := service.FetchLoadReport(r.Context())
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, http.StatusOK, report)
	})
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, service.Executions.Counts()) })
	mux.HandleFunc("PUT /leaving", func(http.ResponseWriter, *http.Request) { service.SetLeaving(true) })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { servePlainRequest(service, w, r) })
	return mux
}

// servePlainRequest executes a request of a plain service. On an error it aborts the
// connection.
func servePlainRequest(service *fake.PlainService, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp, err := service.Do(r.Context(), &gypsum.PlainRequest{
		ID: gypsum.RequestID(r.Header.Get(adapt.RequestIDHeader)), Method: r.Method, Path: r.URL.Path,
		Query: r.URL.RawQuery, Header: r.Header, Body: body,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
}

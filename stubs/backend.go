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

// Engine returns the handler of a model engine.
func Engine(engine *fake.Engine) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { complete(engine, w, r) })
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, r *http.Request) {
		report, err := engine.FetchLoad(r.Context())
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		answer(w, http.StatusOK, report)
	})
	mux.HandleFunc("POST /order", func(w http.ResponseWriter, r *http.Request) {
		var order gypsum.LoadOrder
		if !decode(w, r, &order) {
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
	mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, engine.Orders()) })
	mux.HandleFunc("PUT /leaving", func(http.ResponseWriter, *http.Request) { engine.SetLeaving(true) })
	return mux
}

// complete streams the answer of an engine.
func complete(engine *fake.Engine, w http.ResponseWriter, r *http.Request) {
	var request adapt.CompletionRequest
	if !decode(w, r, &request) {
		return
	}
	generation := &gypsum.Generation{
		ID: request.RequestID, Model: request.Model, Prompt: request.Prompt, MaxTokens: request.MaxTokens,
		Seed: request.Seed, ResumeText: request.ResumeText, ResumeTokens: request.ResumeTokens,
	}
	w.Header().Set("Content-Type", "text/event-stream")
	err := engine.Generate(r.Context(), generation, func(chunk *gypsum.Chunk) error {
		return send(w, chunkOf(generation, chunk))
	})
	if errors.Is(err, gypsum.ErrResponseMismatch) {
		other := *generation
		other.ID = "another-" + generation.ID
		_ = send(w, chunkOf(&other, &gypsum.Chunk{Tokens: 1, Text: "x ", Version: 1}))
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	message := &sse.Message{}
	message.AppendData("[DONE]")
	_, _ = message.WriteTo(w)
}

// chunkOf returns the chunk in the engines' protocol.
func chunkOf(generation *gypsum.Generation, chunk *gypsum.Chunk) *adapt.CompletionChunk {
	choice := adapt.CompletionChoice{Text: chunk.Text, TokenIndex: chunk.Index, Tokens: chunk.Tokens}
	if chunk.FinishReason != "" {
		choice.FinishReason = &chunk.FinishReason
	}
	return &adapt.CompletionChunk{
		ID: generation.ID, Object: "text_completion", Model: generation.Model,
		Choices: []adapt.CompletionChoice{choice}, WeightVersion: chunk.Version,
	}
}

// send writes one chunk.
func send(w http.ResponseWriter, chunk *adapt.CompletionChunk) error {
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

// Plain returns the handler of a replica of a plain service. GET /ledger tells
// how often each request ran on it.
func Plain(plain *fake.Plain) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, r *http.Request) {
		report, err := plain.FetchLoad(r.Context())
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		answer(w, http.StatusOK, report)
	})
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, plain.Ledger.Runs()) })
	mux.HandleFunc("PUT /leaving", func(http.ResponseWriter, *http.Request) { plain.SetLeaving(true) })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { serve(plain, w, r) })
	return mux
}

// serve runs a request of a plain service.
func serve(plain *fake.Plain, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	response, err := plain.Do(r.Context(), &gypsum.PlainRequest{
		ID: gypsum.RequestID(r.Header.Get(adapt.RequestIDHeader)), Method: r.Method, Path: r.URL.Path,
		Query: r.URL.RawQuery, Header: r.Header, Body: body,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

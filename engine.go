package gypsum

import (
	"context"
	"net/http"
	"time"
)

// Chunk is a piece of an engine's response.
type Chunk struct {
	// Index is the position of the chunk's first token in the response.
	Index  int    `json:"index"`
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	// Version is the weight version that the engine reports for these tokens.
	Version WeightVersion `json:"version"`
	// FinishReason is why the response ends ("stop", "length"), in the last chunk only.
	FinishReason string `json:"finish,omitempty"`
}

// Generation is a request to an engine to generate tokens.
type Generation struct {
	ID        RequestID `json:"id"`
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	Seed      int64     `json:"seed,omitempty"`
	// ResumeText and ResumeTokens are what another engine has already generated.
	ResumeText   string `json:"resume_text,omitempty"`
	ResumeTokens int    `json:"resume_tokens,omitempty"`
}

// LoadReport is the state that a backend server reports about itself. It may be stale.
type LoadReport struct {
	Incarnation    Incarnation   `json:"incarnation"`
	Running        int           `json:"running"`
	Waiting        int           `json:"waiting"`
	Slots          int           `json:"slots"`
	Version        WeightVersion `json:"version"`
	LoadingWeights bool          `json:"swapping,omitempty"`
	Leaving        bool          `json:"leaving,omitempty"`
	FencingToken   Offset        `json:"fence,omitempty"`
	// CacheEventNumber is the number of the newest cache event. A jump means that events
	// were missed. Placement does not use it: cache affinity goes by the hash of the
	// prompt's prefix.
	CacheEventNumber int64 `json:"cache_event,omitempty"`
}

// LoadOrder is a load order: a command to an engine to load a weight version. It states the
// target, so that repeating it is idempotent.
type LoadOrder struct {
	// FencingToken is the offset of the log record that made the sender the holder of the
	// load orders. An engine that enforces fencing rejects a lower token than it has
	// accepted before.
	FencingToken Offset        `json:"fence"`
	Model        string        `json:"model"`
	Version      WeightVersion `json:"version"`
}

// Engine is a client of one model engine.
type Engine interface {
	// Generate passes each chunk of the response to sink, in order. Cancelling ctx
	// cancels the request on the engine. It returns ErrNotSent if no byte of the
	// request was sent, ErrIncompleteResponse or ErrResponseMismatch if the
	// response cannot be used.
	Generate(ctx context.Context, generation *Generation, sink func(*Chunk) error) error
	FetchLoadReport(ctx context.Context) (*LoadReport, error)
	// SendLoadOrder returns ErrStaleFencingToken if the engine rejects the fencing token.
	SendLoadOrder(ctx context.Context, order LoadOrder) error
}

// PlainRequest is a request for a plain service (see PlainService).
type PlainRequest struct {
	ID     RequestID   `json:"id"`
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// NonIdempotent means that the request must reach the service at most once.
	NonIdempotent bool `json:"once,omitempty"`
}

// PlainResponse is the complete response of a plain service.
type PlainResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// PlainService is a client of one backend server of a plain service. A plain service is any
// service that serves no model.
type PlainService interface {
	// Do returns ErrNotSent if no byte of the request was sent.
	Do(ctx context.Context, request *PlainRequest) (*PlainResponse, error)
	FetchLoadReport(ctx context.Context) (*LoadReport, error)
}

// LoadReportTimeout limits a request for a backend server's load report.
const LoadReportTimeout = time.Second

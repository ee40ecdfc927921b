package adapt

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/gypsumhook/gypsum"
)

// RequestIDHeader carries the request's id to plain services.
const RequestIDHeader = "X-Request-Id"

// hopHeaders are those of one connection, not of the request.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host",
}

// plain is the client of one replica of a plain service. GET BASE/load is its
// load report.
type plain struct {
	client *http.Client
	once   *http.Client
	base   string
}

// Do is part of gypsum.PlainService.
func (p *plain) Do(ctx context.Context, request *gypsum.PlainRequest) (*gypsum.PlainResponse, error) {
	address := p.base + request.Path
	if request.Query != "" {
		address += "?" + request.Query
	}
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, address, bytes.NewReader(request.Body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	outgoing.Header = WithoutHopHeaders(request.Header)
	outgoing.Header.Set(RequestIDHeader, string(request.ID))
	client := p.client
	if request.NonIdempotent {
		client = p.once
		outgoing.GetBody = nil
	}
	response, err := client.Do(outgoing)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read answer: %v: %w", err, gypsum.ErrIncompleteResponse)
	}
	return &gypsum.PlainResponse{Status: response.StatusCode, Header: WithoutHopHeaders(response.Header), Body: body}, nil
}

// WithoutHopHeaders returns a copy of the headers without those of one connection.
func WithoutHopHeaders(header http.Header) http.Header {
	kept := header.Clone()
	if kept == nil {
		kept = make(http.Header)
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}

// FetchLoad is part of gypsum.PlainService.
func (p *plain) FetchLoad(ctx context.Context) (*gypsum.LoadReport, error) {
	return load(ctx, p.client, p.base)
}

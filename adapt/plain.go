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

// hopByHopHeaders are those of one connection, not of the request.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host",
}

// plainClient is the client of one replica of a plain service. GET BASE/load is its
// load report.
type plainClient struct {
	client     *http.Client
	atMostOnce *http.Client
	base       string
}

// Do is part of gypsum.PlainService.
func (p *plainClient) Do(ctx context.Context, request *gypsum.PlainRequest) (*gypsum.PlainResponse, error) {
	address := p.base + request.Path
	if request.Query != "" {
		address += "?" + request.Query
	}
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, address, bytes.NewReader(request.Body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	outgoing.Header = WithoutHopByHopHeaders(request.Header)
	outgoing.Header.Set(RequestIDHeader, string(request.ID))
	client := p.client
	if request.NonIdempotent {
		client = p.atMostOnce
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
	return &gypsum.PlainResponse{Status: response.StatusCode, Header: WithoutHopByHopHeaders(response.Header), Body: body}, nil
}

// WithoutHopByHopHeaders returns a copy of the headers without those of one connection.
func WithoutHopByHopHeaders(header http.Header) http.Header {
	copied := header.Clone()
	if copied == nil {
		copied = make(http.Header)
	}
	for _, name := range hopByHopHeaders {
		copied.Del(name)
	}
	return copied
}

// FetchLoad is part of gypsum.PlainService.
func (p *plainClient) FetchLoad(ctx context.Context) (*gypsum.LoadReport, error) {
	return fetchLoad(ctx, p.client, p.base)
}

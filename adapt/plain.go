package adapt

import (
	"bytes"
	"context"
	"fmt"
	"net/http"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/wire"
)

// RequestIDHeader is the header that transmits the request ID to plain services.
const RequestIDHeader = "X-Request-Id"

// plainClient is a client of a replica of a plain service. It implements
// gypsum.PlainService. GET BASE/load returns the load report.
type plainClient struct {
	client          *http.Client
	singleUseClient *http.Client
	baseURL         string
	reader          *buffer.Reader
}

// Do implements gypsum.PlainService.
func (p *plainClient) Do(ctx context.Context, request *gypsum.PlainRequest) (*gypsum.PlainResponse, error) {
	address := p.baseURL + request.Path
	if request.Query != "" {
		address += "?" + request.Query
	}
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, address, bytes.NewReader(request.Body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	outgoing.Header = WithoutHopByHopHeaders(request.Header)
	outgoing.Header.Set(RequestIDHeader, string(request.ID))
	if request.NonIdempotent {
		outgoing.GetBody = nil
	}
	response, err := p.singleUseClient.Do(outgoing)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := wire.ReadCounted(ctx, p.reader, response.Body, maxPlainBytes)
	if err != nil {
		return nil, fmt.Errorf("read response: %v: %w", err, gypsum.ErrIncompleteResponse)
	}
	return &gypsum.PlainResponse{Status: response.StatusCode, Header: WithoutHopByHopHeaders(response.Header), Body: body}, nil
}

// WithoutHopByHopHeaders returns a copy of header without the headers that apply to a
// single connection, also those that the Connection header names, and without those that the
// transport sets itself.
func WithoutHopByHopHeaders(header http.Header) http.Header {
	copied := header.Clone()
	if copied == nil {
		copied = make(http.Header)
	}
	wire.RemoveHopByHopHeaders(copied)
	copied.Del("Content-Length")
	copied.Del("Host")
	return copied
}

// FetchLoadReport implements gypsum.PlainService.
func (p *plainClient) FetchLoadReport(ctx context.Context) (*gypsum.LoadReport, error) {
	return fetchLoadReport(ctx, p.client, p.baseURL)
}

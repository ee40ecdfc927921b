// Package adapt provides the clients of the systems outside the service. Each speaks
// the published HTTP protocol of its system.
package adapt

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/wire"
)

// Limits of the HTTP clients.
const (
	maxIdleConnsPerHost = 256
	idleConnTimeout     = time.Minute
	// maxErrorBodyBytes is how much of the body of an error response is retained.
	maxErrorBodyBytes = 256
	// maxJSONBytes limits a JSON response: the host list of the largest deployment, and a page
	// of the log, several times over.
	maxJSONBytes = 16 << 20
	// maxReportBytes limits a load report, and the response to an order or an append. There are as many at a time as
	// backend servers.
	maxReportBytes = 64 << 10
	// maxPlainBytes limits the response of a plain service.
	maxPlainBytes = 16 << 20
)

// NewClient returns an HTTP client whose connection errors wrap gypsum.ErrNotSent, and a
// function that closes its idle connections.
func NewClient() (client *http.Client, cleanup func()) {
	transport := wire.NewResponseTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleConnTimeout})
	return transport.Client(), transport.CloseIdleConnections
}

// newSingleUseClient returns a client that uses a new connection for each request. On one in use
// again, a late second copy of a response would be taken for the response to the next request, as
// plain services do not name the request that they answer. The standard transport also retries a
// request with an Idempotency-Key header by itself when a reused connection breaks.
func newSingleUseClient() *http.Client {
	return wire.NewResponseTransport(&http.Transport{DisableKeepAlives: true}).Client()
}

// errMissingValue is returned for a response without a value that it must state. Other bytes than a response may be JSON
// as well.
var errMissingValue = errors.New("response lacks a value")

// statusError is a response with an error status. Body is the start of the response body.
type statusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// hasStatus reports whether err wraps a statusError with the status.
func hasStatus(err error, status int) bool {
	var unexpected *statusError
	return errors.As(err, &unexpected) && unexpected.Status == status
}

// doJSON sends a JSON request and decodes the JSON response into result, also for status
// 410. Any status of 300 or above is returned as a *statusError.
func doJSON(ctx context.Context, client *http.Client, method, url string, body, result any, limit int64) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := wire.ReadBody(response.Body, limit)
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if result != nil && (response.StatusCode < 300 || response.StatusCode == http.StatusGone) {
		if err := json.Unmarshal(content, result); err != nil {
			return fmt.Errorf("decode response: %w", err)
		}
	}
	if response.StatusCode >= 300 {
		return &statusError{Status: response.StatusCode, Body: string(content[:min(len(content), maxErrorBodyBytes)])}
	}
	return nil
}

// Dialer creates clients of backend servers. It implements gypsum.Dialer.
type Dialer struct {
	Client          *http.Client
	singleUseClient *http.Client
	reader          buffer.Reader
}

// NewDialer returns a dialer and a function that closes its idle connections.
func NewDialer() (dialer *Dialer, cleanup func()) {
	client, cleanup := NewClient()
	return &Dialer{Client: client, singleUseClient: newSingleUseClient()}, cleanup
}

// Engine implements gypsum.Dialer.
func (d *Dialer) Engine(host gypsum.Host) gypsum.Engine {
	return &engineClient{client: d.Client, baseURL: "http://" + host.Address}
}

// PlainService implements gypsum.Dialer.
func (d *Dialer) PlainService(host gypsum.Host) gypsum.PlainService {
	return &plainClient{client: d.Client, singleUseClient: d.singleUseClient, baseURL: "http://" + host.Address, reader: &d.reader}
}

package wire

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ResponseTransport is an HTTP/1.1 transport whose responses are valid and whole. A response that only the end
// of its connection delimits must be followed by an orderly close.
type ResponseTransport struct {
	transport *http.Transport
	// EndsAfterError means that a connection carries no further request after a response with an error
	// status. It must be set before use.
	EndsAfterError bool
}

// ErrConnEnded is returned for a request that was given a connection after its last response. No byte of the request was
// sent, nor will be.
var ErrConnEnded = errors.New("connection has carried its last response")

// NewResponseTransport returns a transport that sends requests with another one, of which it takes ownership.
// Its dialer is Dial if it has none.
func NewResponseTransport(transport *http.Transport) *ResponseTransport {
	dial := transport.DialContext
	if dial == nil {
		dial = Dial
	}
	transport.MaxResponseHeaderBytes = MaxResponseHeaderBytes
	responses := &ResponseTransport{transport: transport}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &responseConn{Conn: conn, endsAfterError: responses.EndsAfterError}, nil
	}
	return responses
}

// Client returns an HTTP client that returns redirects instead of following them: another server, or another call, would
// respond in place of the one that was called.
func (t *ResponseTransport) Client() *http.Client {
	return &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// CloseIdleConnections closes the connections that no request uses.
func (t *ResponseTransport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper. The error of an invalid response is ErrInvalidResponse.
func (t *ResponseTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	hasEnded := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { hasEnded = !info.Conn.(*responseConn).expectHead() }}
	response, err := t.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	switch {
	case err != nil && hasEnded:
		return nil, fmt.Errorf("exchange request and response: %w: %w", ErrConnEnded, err)
	case err != nil:
		return nil, fmt.Errorf("exchange request and response: %w", err)
	}
	return response, nil
}

// minErrorStatus is the lowest status of an error (RFC 9110, 15.5).
const minErrorStatus = "400"

// responseConn is a connection on which responses are read.
type responseConn struct {
	net.Conn
	endsAfterError bool

	mu sync.Mutex
	// hasEnded means that the last response on the connection has begun. Nothing more is written.
	hasEnded bool
	// head checks the head of the response that is expected, nil before the first request.
	head *headScanner
}

// expectHead begins to check the head of the response to a request that is about to be written. It returns false if
// the connection has carried its last response.
func (c *responseConn) expectHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasEnded {
		return false
	}
	c.head = &headScanner{}
	return true
}

// Write implements net.Conn.
func (c *responseConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	hasEnded := c.hasEnded
	c.mu.Unlock()
	if hasEnded {
		return 0, ErrConnEnded
	}
	return c.Conn.Write(data)
}

// scan checks bytes that were read.
func (c *responseConn) scan(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head == nil {
		return nil
	}
	err := c.head.scan(data)
	// The transport sees the response, and may use the connection for another request, only after this.
	c.hasEnded = c.hasEnded || (c.endsAfterError && c.head.status >= minErrorStatus)
	return err
}

// Read implements net.Conn. It checks the heads of responses, and fails at the end of a connection that was reset. The
// kernel reports a reset once, to the first call: after a write that failed, a read returns the end of the file.
func (c *responseConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if err := c.scan(buffer[:n]); err != nil {
		return 0, err
	}
	if err == io.EOF && wasReset(c.Conn) {
		err = fmt.Errorf("read from connection that was reset: %w", unix.ECONNRESET)
	}
	return n, err
}

// wasReset reports whether a connection at whose end a read has arrived was reset: it is in the state CLOSE then, and
// in CLOSE-WAIT after an orderly close by the peer (RFC 9293, 3.3.2). One whose state is not known counts as closed in
// order.
func wasReset(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	// This end closes a connection when a write has failed.
	return reset || err != nil
}

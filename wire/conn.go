package wire

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"

	"golang.org/x/sys/unix"
)

// ResponseTransport is an HTTP/1.1 transport whose responses are valid and whole. A response that only the end
// of its connection delimits must be followed by an orderly close.
type ResponseTransport struct {
	transport *http.Transport
	// EndsAfterError means that a connection carries no further request after a response with an error
	// status, as if that said so. It must be set before use.
	EndsAfterError bool
}

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
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { info.Conn.(*responseConn).expectHead() }}
	response, err := t.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, fmt.Errorf("exchange request and response: %w", err)
	}
	return response, nil
}

// responseConn is a connection on which responses are read.
type responseConn struct {
	net.Conn
	endsAfterError bool
	// unread are bytes that were read from the connection, and unreadErr the error behind them. Only Read uses them.
	unread    []byte
	unreadErr error

	mu sync.Mutex
	// head checks the head of the response that is expected, nil before the first request.
	head *headScanner
}

// expectHead begins to check the head of the response to a request that is about to be written.
func (c *responseConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = &headScanner{}
}

// scan checks bytes that were read. errorAt is where among them the status line of an error ends, 0 if it does not.
func (c *responseConn) scan(data []byte) (errorAt int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head == nil {
		return 0, nil
	}
	err = c.head.scan(data)
	return c.head.errorAt, err
}

// lastResponseField tells the transport to use the connection for no further request (RFC 9112, 9.6). The transport may
// lend a connection to another request as soon as it has read the head.
const lastResponseField = "Connection: close\r\n"

// Read implements net.Conn. It checks the heads of responses, and fails at the end of a connection that was reset. The
// kernel reports a reset once, to the first call: after a write that failed, a read returns the end of the file.
func (c *responseConn) Read(buffer []byte) (int, error) {
	if len(c.unread) > 0 {
		return c.readUnread(buffer)
	}
	n, err := c.Conn.Read(buffer)
	errorAt, scanErr := c.scan(buffer[:n])
	if scanErr != nil {
		return 0, scanErr
	}
	if err == io.EOF && wasReset(c.Conn) {
		err = fmt.Errorf("read from connection that was reset: %w", unix.ECONNRESET)
	}
	if c.endsAfterError && errorAt > 0 {
		c.unread, c.unreadErr = slices.Concat(buffer[:errorAt], []byte(lastResponseField), buffer[errorAt:n]), err
		return c.readUnread(buffer)
	}
	return n, err
}

// readUnread reads bytes that were read from the connection before.
func (c *responseConn) readUnread(buffer []byte) (int, error) {
	n := copy(buffer, c.unread)
	if c.unread = c.unread[n:]; len(c.unread) > 0 {
		return n, nil
	}
	return n, c.unreadErr
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

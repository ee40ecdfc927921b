package fake

import (
	"io"
	"net"
	"sync/atomic"
)

// CutRelay is a relay on loopback in front of a server. It closes each connection once it has passed on a number of
// bytes of the server's responses. Set the exported fields before Start.
type CutRelay struct {
	// To is the address of the server.
	To string

	loopbackServer
	limit  atomic.Int64
	passed atomic.Int64
}

// Start starts the relay and returns a function that stops it and waits for its connections.
func (r *CutRelay) Start() (cleanup func(), err error) { return r.start(r.serve) }

// SetLimit sets the number of bytes for the connections that are opened from now on.
func (r *CutRelay) SetLimit(limit int64) { r.limit.Store(limit) }

// Passed returns the number of bytes of the responses that were passed on.
func (r *CutRelay) Passed() int64 { return r.passed.Load() }

// serve serves one connection.
func (r *CutRelay) serve(near net.Conn) {
	limit := r.limit.Load()
	far, err := net.Dial("tcp", r.To)
	if err != nil {
		return
	}
	requestsEnded := make(chan struct{})
	go func() {
		defer close(requestsEnded)
		_, _ = io.Copy(far, near)
		_ = far.(*net.TCPConn).CloseWrite()
	}()
	passed, _ := io.CopyN(near, far, limit)
	r.passed.Add(passed)
	// An orderly end of the responses, as of a server that closes. The caller closes the other direction.
	_ = near.(*net.TCPConn).CloseWrite()
	<-requestsEnded
	_ = far.Close()
}

package fake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// RawEnd is what a RawServer does after a response.
type RawEnd int

// The ends of a response: the server closes the connection, resets it, or serves further requests on it.
const (
	RawClose RawEnd = iota
	RawReset
	RawKeep
)

// rawPause is the time between a response and its end, in which the caller reads the response and fills
// the buffers of the connection with the rest of its request.
const rawPause = 30 * time.Millisecond

// RawServer is an HTTP server on loopback that answers each request with the same bytes, whatever they
// are. Set the exported fields before Start.
type RawServer struct {
	// Response is sent after each request. "{id}" stands for the header IDHeader of the request.
	Response string
	IDHeader string
	// Responses, unless there are none, are sent instead, one after each request.
	Responses []string
	// First, unless it is empty, is sent instead after the first request of a connection, which is kept.
	First string
	// Copy is sent CopyDelay after the response, as a second response that nobody asked for.
	Copy      string
	CopyDelay time.Duration
	// UnreadBody means that the server does not read the body of the request.
	UnreadBody bool
	End        RawEnd

	loopbackServer
	requests atomic.Int64
}

// Start starts the server and returns a function that stops it and waits for its connections.
func (s *RawServer) Start() (cleanup func(), err error) { return s.start(s.serve) }

// Requests returns the number of requests that arrived.
func (s *RawServer) Requests() int64 { return s.requests.Load() }

// serve serves one connection.
func (s *RawServer) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for i := 0; ; i++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		number := s.requests.Add(1) - 1
		if !s.UnreadBody {
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
		}
		id := request.Header.Get(s.IDHeader)
		if i == 0 && s.First != "" {
			if _, err := io.WriteString(conn, strings.ReplaceAll(s.First, "{id}", id)); err != nil {
				return
			}
			s.requests.Add(-1)
			continue
		}
		content := s.Response
		if len(s.Responses) > 0 {
			content = s.Responses[number%int64(len(s.Responses))]
		}
		if _, err := io.WriteString(conn, strings.ReplaceAll(content, "{id}", id)); err != nil {
			return
		}
		if s.Copy != "" {
			time.Sleep(s.CopyDelay)
			_, _ = io.WriteString(conn, strings.ReplaceAll(s.Copy, "{id}", id))
		}
		switch s.End {
		case RawReset:
			time.Sleep(rawPause)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		case RawClose:
			return
		}
	}
}

package fake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

// endlessBytes is how much a connection to an EndlessServer gets at most, so that a client
// without limits does not fill the memory of the machine.
const endlessBytes = 48 << 20

// EndlessServer is an HTTP server in trouble on loopback: it answers each request with a head and
// then repeats a piece of the response until the caller closes the connection. Set the exported
// fields before Start.
type EndlessServer struct {
	// Head is the start of each response. "{id}" stands for the header IDHeader of the request.
	Head     string
	IDHeader string
	// Piece is repeated after it. "{n}" stands for its number.
	Piece string
	// StallAfter is the number of bytes after which a connection stays silent, 0 for none.
	StallAfter int

	loopbackServer
	written atomic.Int64
}

// Start starts the server and returns a function that stops it and waits for its connections.
func (s *EndlessServer) Start() (cleanup func(), err error) { return s.start(s.serve) }

// Wait waits until the callers have closed their connections, and returns the number of bytes
// sent after the heads, over all connections.
func (s *EndlessServer) Wait() int64 {
	s.connections.Wait()
	return s.written.Load()
}

// serve serves one connection.
func (s *EndlessServer) serve(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	out := bufio.NewWriterSize(conn, 64<<10)
	if _, err = io.WriteString(out, strings.ReplaceAll(s.Head, "{id}", request.Header.Get(s.IDHeader))); err != nil {
		return
	}
	piece, numbered := s.Piece, strings.Contains(s.Piece, "{n}")
	if !numbered {
		piece = strings.Repeat(piece, 1+(4<<10)/len(piece))
	}
	for n, sent := 1, 0; err == nil && sent < endlessBytes; n++ {
		next := piece
		if numbered {
			next = strings.ReplaceAll(piece, "{n}", fmt.Sprint(n))
		}
		_, err = io.WriteString(out, next)
		sent += len(next)
		s.written.Add(int64(len(next)))
		if s.StallAfter > 0 && sent >= s.StallAfter {
			_ = out.Flush()
			_, _ = conn.Read(make([]byte, 1)) // until the caller closes
			return
		}
	}
}

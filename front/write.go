package front

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/relay"
)

// Times and sizes of writes to clients.
const (
	// stallTimeout is how long a client may read nothing before its response is aborted. Bytes
	// in the buffers of the kernel count as read.
	stallTimeout = 10 * time.Second
	// shortStallTimeout applies while the memory for responses is used up.
	shortStallTimeout = 500 * time.Millisecond
	// writeChunkBytes is the size of one write.
	writeChunkBytes = 64 << 10
)

// writeDeadline limits the time of writes to a client. It is safe for concurrent use.
type writeDeadline struct {
	controller *http.ResponseController

	mu      sync.Mutex
	aborted bool
}

// newWriteDeadline returns the write deadline of a client's connection. The caller must call
// clear, since the connection may be used for another request.
func newWriteDeadline(w http.ResponseWriter) *writeDeadline {
	return &writeDeadline{controller: http.NewResponseController(w)}
}

// extend sets the time that the next write may take, unless the response was aborted. Writers
// that know no deadlines do without.
func (d *writeDeadline) extend(timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.aborted {
		_ = d.controller.SetWriteDeadline(time.Now().Add(timeout))
	}
}

// abort makes a write in progress and later ones fail.
func (d *writeDeadline) abort() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.aborted = true
	_ = d.controller.SetWriteDeadline(expired)
}

// clear removes the deadline, unless the response was aborted.
func (d *writeDeadline) clear() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.aborted {
		_ = d.controller.SetWriteDeadline(time.Time{})
	}
}

// writeResponse writes a complete response of a replica.
func (s *Server) writeResponse(w http.ResponseWriter, response *gypsum.LiveResponse, request *relay.Request) {
	copyHeader(w.Header(), response.Header)
	s.writeBody(w, response.Status, response.Body, request.ID, request.Account)
}

// writeBody writes a response with a body to a request of an account. The body counts toward the memory
// for responses until the client has read it. A client that reads nothing for long loses the response,
// and loses it sooner if others need the memory.
func (s *Server) writeBody(w http.ResponseWriter, status int, body []byte, request gypsum.RequestID, account gypsum.AccountName) {
	now, size := time.Now(), gypsum.Bytes(len(body))
	holder := s.Buffers.Open(account, size, nil, now)
	defer holder.Close()
	timeout := stallTimeout
	if err := holder.AddEvicting(size, shortStallTimeout, now); err != nil {
		// The replica has run the request, so the response is written if the client takes it at
		// once.
		timeout = shortStallTimeout
		s.Logger.Info("memory for responses is used up", "request", request, "account", account, "bytes", size, "error", err)
	}
	s.writeCounted(w, status, body, request, account, holder, timeout)
}

// writeCounted writes a response with a body that counts in holder, to a client that may take nothing for up to a timeout.
func (s *Server) writeCounted(w http.ResponseWriter, status int, body []byte, request gypsum.RequestID, account gypsum.AccountName, holder *buffer.Holder, timeout time.Duration) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	deadline, now := newWriteDeadline(w), time.Now()
	holder.Abortable(deadline.abort, now)
	defer func() {
		// Nobody may abort the connection once it can be used for another request.
		holder.Keep()
		deadline.clear()
	}()
	for rest := body; len(rest) > 0; {
		deadline.extend(timeout)
		written, err := w.Write(rest[:min(len(rest), writeChunkBytes)])
		if err != nil {
			// The client has disconnected or reads too slowly, which is no failure of this daemon.
			s.Stats.WritesFailed.Add(1)
			s.Logger.Info("response not read by client", "request", request, "account", account, "bytes", len(body),
				"unread", len(rest), "took_ms", time.Since(now).Milliseconds(), "error", err)
			return
		}
		rest = rest[written:]
		holder.Progress(time.Now())
	}
}

package front

import (
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum/buffer"
)

// stuckWriter is the response of a client that reads nothing: writes wait until their deadline.
type stuckWriter struct {
	header   http.Header
	deadline chan struct{}
}

func (w *stuckWriter) Header() http.Header { return w.header }
func (w *stuckWriter) WriteHeader(int)     {}

// Write implements http.ResponseWriter.
func (w *stuckWriter) Write([]byte) (int, error) {
	<-w.deadline
	return 0, http.ErrHandlerTimeout
}

// SetWriteDeadline is found by http.ResponseController.
func (w *stuckWriter) SetWriteDeadline(deadline time.Time) error {
	if !deadline.IsZero() && deadline.Before(time.Now()) {
		close(w.deadline)
	}
	return nil
}

// TestUnreadBodiesCount checks that a body that a client does not read counts toward the memory for
// responses, whatever the request was, and that the client loses it if others need the memory.
func TestUnreadBodiesCount(t *testing.T) {
	is := is.New(t)
	s := &Server{Buffers: buffer.NewPool(100 << 10), Logger: slog.New(slog.DiscardHandler)}
	body := []byte(strings.Repeat("x", 60<<10))
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.writeBody(&stuckWriter{header: make(http.Header), deadline: make(chan struct{})}, http.StatusOK, body, "unread", "")
	}()
	for deadline := time.Now().Add(5 * time.Second); s.Buffers.Usage().Used == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(int(s.Buffers.Usage().Used), len(body))
	time.Sleep(shortStallTimeout + 50*time.Millisecond)
	holder := s.Buffers.Open("", 60<<10, nil, time.Now())
	is.NoErr(holder.AddEvicting(60<<10, shortStallTimeout, time.Now()))
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the response was not aborted")
	}
	holder.Close()
	is.Equal(int(s.Buffers.Usage().Used), 0)
}

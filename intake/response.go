package intake

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum/buffer"
)

// responseWriter writes the response of a request. It tells how long the client has read nothing, and
// ends the response if that is longer than writeStallTime, or if others need the memory.
type responseWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	// holder is the share of the request, nil if its handler counts the response.
	holder *buffer.Holder
	// isStream means that other responses use the same connection, so that it tells nothing of this one.
	isStream bool
	// writingSince is when the write in progress began, in nanoseconds, 0 for none.
	writingSince atomic.Int64
}

// newResponseWriter returns a writer of the response to a request.
func newResponseWriter(w http.ResponseWriter, r *http.Request) *responseWriter {
	return &responseWriter{ResponseWriter: w, controller: http.NewResponseController(w), isStream: r.ProtoMajor > 1}
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// begin records that a write begins.
func (w *responseWriter) begin() {
	now := time.Now()
	w.writingSince.Store(now.UnixNano())
	if w.holder != nil {
		w.holder.Abortable(w.abort, now)
	}
	if w.isStream {
		// A connection that is not shared sets its deadline itself.
		_ = w.controller.SetWriteDeadline(now.Add(writeStallTime))
	}
}

// end records that a write has ended.
func (w *responseWriter) end() {
	w.writingSince.Store(0)
	if w.holder != nil {
		w.holder.Keep()
	}
}

// abort makes the write in progress and later ones fail.
func (w *responseWriter) abort() { _ = w.controller.SetWriteDeadline(past) }

// unreadFor returns how long the client has not read what is being written, 0 if nothing is.
func (w *responseWriter) unreadFor(now time.Time) time.Duration {
	since := w.writingSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// Write implements io.Writer.
func (w *responseWriter) Write(content []byte) (written int, err error) {
	defer w.end()
	for {
		w.begin()
		n, err := w.ResponseWriter.Write(content[written:min(len(content), written+writeChunkBytes)])
		written += n
		if err != nil || written == len(content) {
			return written, err
		}
	}
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() { _ = w.FlushError() }

// FlushError sends what is buffered.
func (w *responseWriter) FlushError() error {
	w.begin()
	defer w.end()
	if err := w.controller.Flush(); err != nil {
		return fmt.Errorf("flush response: %w", err)
	}
	return nil
}

package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// responseReserve is the time before the connections of a stopping daemon are cut in which it writes its last responses.
const responseReserve = 200 * time.Millisecond

// Drain ends the requests that a stopping daemon cannot complete before its connections are cut, so that their clients
// get a response. The zero value is ready for use.
type Drain struct {
	mu sync.Mutex
	// respondBy is when requests end, zero while the daemon is not stopping.
	respondBy time.Time
	// ended is done from respondBy on.
	ended context.Context
	end   context.CancelFunc
}

// context returns the context that is done when requests end. The caller holds mu.
func (d *Drain) context() context.Context {
	if d.ended == nil {
		d.ended, d.end = context.WithCancel(context.Background())
	}
	return d.ended
}

// Begin starts the drain of a daemon whose connections will be cut at a time. Only the first call has an effect.
func (d *Drain) Begin(cutAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.respondBy.IsZero() {
		return
	}
	d.respondBy = cutAt.Add(-responseReserve)
	d.context()
	time.AfterFunc(time.Until(d.respondBy), d.end)
}

// Left returns how much time requests have. isStopping is false if the drain has not begun.
func (d *Drain) Left(now time.Time) (left time.Duration, isStopping bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.respondBy.Sub(now), !d.respondBy.IsZero()
}

// Handler returns a handler whose requests end in time: the cause of the end of their context is gypsum.ErrStopping.
func (d *Drain) Handler(next http.Handler) http.Handler {
	d.mu.Lock()
	ended := d.context()
	d.mu.Unlock()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		defer context.AfterFunc(ended, func() { cancel(gypsum.ErrStopping) })()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

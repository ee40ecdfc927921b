package core

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// submitToMember sends a call to a daemon and passes its response to sink. It fails if the
// daemon stops sending keep-alive events.
func (c *Core) submitToMember(ctx context.Context, view *View, target gypsum.Member, call *gypsum.Call, sink gypsum.Sink) error {
	if target.ID == view.Self.ID {
		return c.serveAtStage(ctx, call, sink)
	}
	if target.Location.Region != view.Self.Location.Region {
		c.countCrossRegionCall(call)
	}
	forwarded := *call
	// The receiver starts its deadline when the call arrives, and the response takes time to
	// travel back. The budget is therefore reduced by a round trip.
	forwarded.Budget -= c.roundTrips.estimateRoundTrip(target.Location.DataCentre)
	if forwarded.Budget <= 0 {
		return gypsum.NotRunRefusal(gypsum.ReasonTimeout, http.StatusGatewayTimeout, time.Second, "too little time is left to go to another host")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := newKeepAliveWatchdog(c.Tuning.AcceptTimeout, c.Tuning.KeepAliveTimeout, func() { cancel(errKeepAliveTimeout) })
	defer watchdog.stop()
	ended := false
	err := c.Peers.Submit(ctx, target, &forwarded, func(event *gypsum.Event) error {
		watchdog.reset()
		switch {
		case event.KeepAlive:
			return nil
		case event.Refusal != nil:
			return event.Refusal
		case event.End != nil:
			ended = true
		}
		return sink(event)
	})
	if err == nil && !ended {
		err = fmt.Errorf("response has no end event: %w", gypsum.ErrIncompleteResponse)
	}
	return c.peerRefusal(ctx, target, err)
}

// errKeepAliveTimeout is the cancellation cause of a call whose daemon stopped sending
// events.
var errKeepAliveTimeout = errors.New("no keep-alive event from daemon within the timeout")

// peerRefusal converts the error of a call to a daemon to a refusal.
func (c *Core) peerRefusal(ctx context.Context, target gypsum.Member, err error) error {
	var refusal *gypsum.Refusal
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, gypsum.ErrNotSent):
		c.postUpdate(func(l *controlLoop) { l.recordCallFailure(target.ID) })
		refusal = gypsum.NotRunRefusal(gypsum.ReasonPeerFailed, http.StatusServiceUnavailable, time.Second, fmt.Sprintf("host %s was not reached", target.ID))
		refusal.Misrouted = true
		return refusal
	case errors.Is(context.Cause(ctx), errKeepAliveTimeout):
		c.postUpdate(func(l *controlLoop) { l.recordCallFailure(target.ID) })
		return gypsum.UnknownRefusal(gypsum.ReasonPeerFailed, http.StatusBadGateway, time.Second, fmt.Sprintf("host %s has gone silent", target.ID))
	case ctx.Err() != nil:
		return gypsum.UnknownRefusal(gypsum.ReasonCancelled, http.StatusGatewayTimeout, 0, "the caller gave up or the deadline passed")
	}
	return gypsum.UnknownRefusal(gypsum.ReasonPeerFailed, http.StatusBadGateway, time.Second, fmt.Sprintf("host %s failed: %v", target.ID, err))
}

// countCrossRegionCall counts a call to another region and charges its bytes to the budget
// of its class.
func (c *Core) countCrossRegionCall(call *gypsum.Call) {
	c.Stats.CrossRegionCalls.Add(1)
	size := 0
	if call.Plain != nil {
		size = len(call.Plain.Body)
	}
	if call.Generation != nil {
		size = len(call.Generation.Prompt) + len(call.Generation.ResumeText)
	}
	c.crossRegionBudgets[call.Class].Spend(gypsum.Bytes(size)+callOverheadBytes, time.Now())
}

// callOverheadBytes is the approximate size of a call on the network beyond its body.
const callOverheadBytes gypsum.Bytes = 512

// keepAliveWatchdog cancels a call whose daemon stops sending events.
type keepAliveWatchdog struct {
	mu      sync.Mutex
	timer   *time.Timer
	timeout time.Duration
}

// newKeepAliveWatchdog returns a watchdog that calls onTimeout if the first event does
// not arrive within acceptTimeout, or a later one within keepAliveTimeout.
func newKeepAliveWatchdog(acceptTimeout, keepAliveTimeout time.Duration, onTimeout func()) *keepAliveWatchdog {
	return &keepAliveWatchdog{timer: time.AfterFunc(acceptTimeout, onTimeout), timeout: keepAliveTimeout}
}

// reset restarts the timeout after an event.
func (w *keepAliveWatchdog) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(w.timeout)
}

func (w *keepAliveWatchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

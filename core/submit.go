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

// submit hands a call to a daemon and watches that its answer goes on.
func (c *Core) submit(ctx context.Context, view *View, target gypsum.Member, call *gypsum.Call, sink gypsum.Sink) error {
	if target.ID == view.Self.ID {
		return c.serveStage(ctx, call, sink)
	}
	if target.Location.Region != view.Self.Location.Region {
		c.countCrossRegion(call)
	}
	forwarded := *call
	// The receiver counts the budget from the arrival, and its answer has to
	// come back.
	forwarded.Budget -= c.roundTrips.estimate(target.Location.DataCentre)
	if forwarded.Budget <= 0 {
		return gypsum.NotRun(gypsum.ReasonTimeout, http.StatusGatewayTimeout, time.Second, "too little time is left to go to another host")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := newHeartbeatWatchdog(c.Tuning.AcceptTimeout, c.Tuning.HeartbeatTimeout, func() { cancel(errHeartbeatTimeout) })
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
		err = fmt.Errorf("answer without end: %w", gypsum.ErrIncompleteResponse)
	}
	return c.peerRefusal(ctx, target, err)
}

// errHeartbeatTimeout is the cause of the end of a call whose daemon has gone silent.
var errHeartbeatTimeout = errors.New("host has gone silent")

// peerRefusal turns the failure of a call to a daemon into a refusal.
func (c *Core) peerRefusal(ctx context.Context, target gypsum.Member, err error) error {
	var refusal *gypsum.Refusal
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, gypsum.ErrNotSent):
		c.post(func(l *controlLoop) { l.markFailed(target.ID) })
		refusal = gypsum.NotRun(gypsum.ReasonPeerFailed, http.StatusServiceUnavailable, time.Second, fmt.Sprintf("host %s was not reached", target.ID))
		refusal.Misrouted = true
		return refusal
	case errors.Is(context.Cause(ctx), errHeartbeatTimeout):
		c.post(func(l *controlLoop) { l.markFailed(target.ID) })
		return gypsum.Unknown(gypsum.ReasonPeerFailed, http.StatusBadGateway, time.Second, fmt.Sprintf("host %s has gone silent", target.ID))
	case ctx.Err() != nil:
		return gypsum.Unknown(gypsum.ReasonCancelled, http.StatusGatewayTimeout, 0, "the caller gave up or the deadline passed")
	}
	return gypsum.Unknown(gypsum.ReasonPeerFailed, http.StatusBadGateway, time.Second, fmt.Sprintf("host %s failed: %v", target.ID, err))
}

// countCrossRegion counts the bytes of a call that goes to another region.
func (c *Core) countCrossRegion(call *gypsum.Call) {
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

// callOverheadBytes is about what a call takes on the link beside its body.
const callOverheadBytes gypsum.Bytes = 512

// heartbeatWatchdog ends a call whose daemon gives no sign of life.
type heartbeatWatchdog struct {
	mu      sync.Mutex
	timer   *time.Timer
	timeout time.Duration
}

// newHeartbeatWatchdog returns a watchdog that calls expired if the first sign does not
// come within first, or a further one within silence.
func newHeartbeatWatchdog(acceptTimeout, heartbeatTimeout time.Duration, onTimeout func()) *heartbeatWatchdog {
	return &heartbeatWatchdog{timer: time.AfterFunc(acceptTimeout, onTimeout), timeout: heartbeatTimeout}
}

// reset notes a sign of life.
func (w *heartbeatWatchdog) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(w.timeout)
}

// stop ends the watch.
func (w *heartbeatWatchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

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
func (n *Node) submit(ctx context.Context, view *View, target gypsum.Member, call *gypsum.Call, sink gypsum.Sink) error {
	if target.ID == view.Self.ID {
		return n.serve(ctx, call, sink)
	}
	if target.Location.Region != view.Self.Location.Region {
		n.countCrossing(call)
	}
	onward := *call
	// The receiver counts the budget from the arrival, and its answer has to
	// come back.
	onward.Budget -= n.trips.to(target.Location.DataCentre)
	if onward.Budget <= 0 {
		return gypsum.NotRun(gypsum.ReasonTimeout, http.StatusGatewayTimeout, time.Second, "too little time is left to go to another host")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatchdog(n.Tuning.AcceptTimeout, n.Tuning.HeartbeatTimeout, func() { cancel(errSilent) })
	defer watch.stop()
	ended := false
	err := n.Peers.Submit(ctx, target, &onward, func(event *gypsum.Event) error {
		watch.heard()
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
	return n.peerError(ctx, target, err)
}

// errSilent is the cause of the end of a call whose daemon has gone silent.
var errSilent = errors.New("host has gone silent")

// peerError turns the failure of a call to a daemon into a refusal.
func (n *Node) peerError(ctx context.Context, target gypsum.Member, err error) error {
	var refusal *gypsum.Refusal
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, gypsum.ErrNotSent):
		n.post(func(c *control) { c.failed(target.ID) })
		refusal = gypsum.NotRun(gypsum.ReasonPeerFailed, http.StatusServiceUnavailable, time.Second, fmt.Sprintf("host %s was not reached", target.ID))
		refusal.Misrouted = true
		return refusal
	case errors.Is(context.Cause(ctx), errSilent):
		n.post(func(c *control) { c.failed(target.ID) })
		return gypsum.Unknown(gypsum.ReasonPeerFailed, http.StatusBadGateway, time.Second, fmt.Sprintf("host %s has gone silent", target.ID))
	case ctx.Err() != nil:
		return gypsum.Unknown(gypsum.ReasonCancelled, http.StatusGatewayTimeout, 0, "the caller gave up or the deadline passed")
	}
	return gypsum.Unknown(gypsum.ReasonPeerFailed, http.StatusBadGateway, time.Second, fmt.Sprintf("host %s failed: %v", target.ID, err))
}

// countCrossing counts the bytes of a call that goes to another region.
func (n *Node) countCrossing(call *gypsum.Call) {
	n.Stats.Crossings.Add(1)
	size := 0
	if call.Plain != nil {
		size = len(call.Plain.Body)
	}
	if call.Generation != nil {
		size = len(call.Generation.Prompt) + len(call.Generation.ResumeText)
	}
	n.budgets[call.Class].Spend(gypsum.Bytes(size)+callOverhead, time.Now())
}

// callOverhead is about what a call takes on the link beside its body.
const callOverhead gypsum.Bytes = 512

// watchdog ends a call whose daemon gives no sign of life.
type watchdog struct {
	mu      sync.Mutex
	timer   *time.Timer
	silence time.Duration
}

// newWatchdog returns a watchdog that calls expired if the first sign does not
// come within first, or a further one within silence.
func newWatchdog(first, silence time.Duration, expired func()) *watchdog {
	return &watchdog{timer: time.AfterFunc(first, expired), silence: silence}
}

// heard notes a sign of life.
func (w *watchdog) heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(w.silence)
}

// stop ends the watch.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

package core

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/gypsumhook/gypsum"
)

// keepAlivesPerTimeout is the number of keep-alive events sent within a peer's timeout.
const keepAlivesPerTimeout = 3

// HandleSubmit implements gypsum.PeerServer: it serves a call sent by another daemon. It
// sends keep-alive events until the response has ended.
func (c *Core) HandleSubmit(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	// A channel rather than a mutex serializes sends, since a send may block for long.
	sending := make(chan struct{}, 1)
	send := func(event *gypsum.Event) error {
		sending <- struct{}{}
		defer func() { <-sending }()
		return sink(event)
	}
	if err := send(&gypsum.Event{KeepAlive: true}); err != nil {
		return fmt.Errorf("send first keep-alive event: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	keepAlivesDone := make(chan struct{})
	go func() {
		defer close(keepAlivesDone)
		c.sendKeepAlives(ctx, send)
	}()
	err := c.serveAtStage(ctx, call, send)
	cancel()
	<-keepAlivesDone
	if err != nil {
		return send(&gypsum.Event{Refusal: gypsum.AsRefusal(err)})
	}
	return nil
}

// sendKeepAlives sends keep-alive events until ctx is done or a send fails.
func (c *Core) sendKeepAlives(ctx context.Context, send gypsum.Sink) {
	ticker := time.NewTicker(c.Tuning.KeepAliveTimeout / keepAlivesPerTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := send(&gypsum.Event{KeepAlive: true}); err != nil {
				return
			}
		}
	}
}

// serveAtStage serves a call according to its stage.
func (c *Core) serveAtStage(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	switch call.Stage {
	case gypsum.StageQueue:
		worker, ok := c.queues.worker(call.Target)
		if !ok {
			return misroutedRefusal("the backend server is not known here")
		}
		return worker.queue.Run(ctx, call, sink)
	case gypsum.StageDedup:
		return c.serveNonIdempotent(ctx, call, sink)
	case gypsum.StagePlace:
		return c.runWithRetries(ctx, call, sink)
	}
	return gypsum.NotRunRefusal(gypsum.ReasonBadRequest, http.StatusBadRequest, 0, fmt.Sprintf("unknown stage %q", call.Stage))
}

// misroutedRefusal refuses a call that another daemon should serve.
func misroutedRefusal(detail string) *gypsum.Refusal {
	refusal := gypsum.NotRunRefusal(gypsum.ReasonPeerFailed, statusMisdirected, time.Second, detail)
	refusal.Misrouted = true
	return refusal
}

// serveNonIdempotent runs a non-idempotent call if this daemon owns the shard of its key, or the call
// has been refused for that reason before.
func (c *Core) serveNonIdempotent(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	index := c.shardIndexOf(call)
	if !call.AnyOwner && !c.View().ownsShard(index, c.HomeRegion) {
		return misroutedRefusal("the key's shard is guarded elsewhere")
	}
	shard := c.shards.shard(index)
	if c.LogUnavailable() {
		return logUnavailableRefusal()
	}
	return shard.Run(ctx, call, sink)
}

// logUnavailableRefusal refuses a call that needs the platform's log.
func logUnavailableRefusal() *gypsum.Refusal {
	return gypsum.NotRunRefusal(gypsum.ReasonLogUnavailable, http.StatusServiceUnavailable, logRetryAfter, "the platform's log does not answer; the request was not started")
}

// logRetryAfter is the RetryAfter of refusals while the log is unavailable.
const logRetryAfter = 2 * time.Second

// Pull sends a trainer's pull to the daemon that owns the plan and returns its
// response.
func (c *Core) Pull(ctx context.Context, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
	view := c.View()
	if view.Config == nil {
		return nil, noConfigurationRefusal()
	}
	if _, ok := view.Plan(pull.Plan); !ok {
		return nil, gypsum.NotRunRefusal(gypsum.ReasonUnknownService, http.StatusNotFound, 0, fmt.Sprintf("there is no plan %q", pull.Plan))
	}
	owner, ok := view.ownerInRegion(planOwnershipKey(pull.Plan), c.HomeRegion)
	if !ok {
		return nil, gypsum.NotRunRefusal(gypsum.ReasonPeerFailed, http.StatusServiceUnavailable, time.Second, "no host owns the plan now")
	}
	c.Logger.Info("pull routed", "plan", pull.Plan, "step", pull.Step, "number", pull.Number, "to_host", owner.ID)
	if owner.ID == view.Self.ID {
		return c.HandlePull(ctx, pull)
	}
	callCtx, cancel := context.WithTimeout(ctx, pull.Wait+c.Tuning.KeepAliveTimeout)
	defer cancel()
	resp, err := c.Peers.Pull(callCtx, owner, pull)
	if err != nil {
		return nil, c.peerRefusal(callCtx, owner, err)
	}
	return resp, nil
}

// HandlePull implements gypsum.PeerServer: it serves a pull for a plan that this daemon
// owns.
func (c *Core) HandlePull(ctx context.Context, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
	if !c.View().ownsInRegion(planOwnershipKey(pull.Plan), c.HomeRegion) {
		return nil, misroutedRefusal("the plan is owned elsewhere")
	}
	return c.plans.filler(pull.Plan).Pull(ctx, pull)
}

package core

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/gypsumhook/gypsum"
)

// heartbeatParts is how many signs of life are given in a peer's timeout.
const heartbeatParts = 3

// HandleSubmit serves a call that another daemon has handed over. It gives
// signs of life until the answer has ended.
func (n *Node) HandleSubmit(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	// A send can take long, so that it is guarded by a channel, not a mutex.
	sending := make(chan struct{}, 1)
	send := func(event *gypsum.Event) error {
		sending <- struct{}{}
		defer func() { <-sending }()
		return sink(event)
	}
	if err := send(&gypsum.Event{KeepAlive: true}); err != nil {
		return fmt.Errorf("accept call: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.beatUntilDone(ctx, send)
	}()
	err := n.serve(ctx, call, send)
	cancel()
	<-ended
	if err != nil {
		return send(&gypsum.Event{Refusal: gypsum.AsRefusal(err)})
	}
	return nil
}

// beatUntilDone gives signs of life until ctx ends.
func (n *Node) beatUntilDone(ctx context.Context, send gypsum.Sink) {
	ticker := time.NewTicker(n.Tuning.HeartbeatTimeout / heartbeatParts)
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

// serve takes over a call at its stage.
func (n *Node) serve(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	switch call.Stage {
	case gypsum.StageQueue:
		running, ok := n.owned.get(call.Target)
		if !ok {
			return misrouted("the backend server is not known here")
		}
		return running.queue.Run(ctx, call, sink)
	case gypsum.StageDedup:
		return n.serveOnce(ctx, call, sink)
	case gypsum.StagePlace:
		return n.place(ctx, call, sink)
	}
	return gypsum.NotRun(gypsum.ReasonBadRequest, http.StatusBadRequest, 0, fmt.Sprintf("unknown stage %q", call.Stage))
}

// misrouted refuses a call that another daemon is to serve.
func misrouted(detail string) *gypsum.Refusal {
	refusal := gypsum.NotRun(gypsum.ReasonPeerFailed, statusMisdirected, time.Second, detail)
	refusal.Misrouted = true
	return refusal
}

// serveOnce runs a non-idempotent call if this daemon holds its key's shard.
func (n *Node) serveOnce(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	shard := n.shardOf(call)
	if !n.View().holds(shard, n.Home) {
		return misrouted("the key's shard is guarded elsewhere")
	}
	guard := n.shards.get(shard)
	if n.LogDown() {
		return logUnavailable()
	}
	return guard.Run(ctx, call, sink)
}

// logUnavailable refuses a call that needs the platform's log.
func logUnavailable() *gypsum.Refusal {
	return gypsum.NotRun(gypsum.ReasonLogUnavailable, http.StatusServiceUnavailable, logRetryAfter, "the platform's log does not answer; the request was not started")
}

// logRetryAfter is the time to come back that is told while the log is out.
const logRetryAfter = 2 * time.Second

// Pull takes a trainer's pull to the daemon that owns the plan.
func (n *Node) Pull(ctx context.Context, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
	view := n.View()
	if view.Config == nil {
		return nil, noConfiguration()
	}
	if _, ok := view.Plan(pull.Plan); !ok {
		return nil, gypsum.NotRun(gypsum.ReasonUnknownService, http.StatusNotFound, 0, fmt.Sprintf("there is no plan %q", pull.Plan))
	}
	owner, ok := view.owner(planItem(pull.Plan), n.Home)
	if !ok {
		return nil, gypsum.NotRun(gypsum.ReasonPeerFailed, http.StatusServiceUnavailable, time.Second, "no host owns the plan now")
	}
	n.Logger.Info("pull routed", "plan", pull.Plan, "step", pull.Step, "number", pull.Number, "to_host", owner.ID)
	if owner.ID == view.Self.ID {
		return n.HandlePull(ctx, pull)
	}
	callCtx, cancel := context.WithTimeout(ctx, pull.Wait+n.Tuning.HeartbeatTimeout)
	defer cancel()
	answer, err := n.Peers.Pull(callCtx, owner, pull)
	if err != nil {
		return nil, n.peerError(callCtx, owner, err)
	}
	return answer, nil
}

// HandlePull answers a pull for a plan that this daemon owns.
func (n *Node) HandlePull(ctx context.Context, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
	if !n.View().owns(planItem(pull.Plan), n.Home) {
		return nil, misrouted("the plan is owned elsewhere")
	}
	return n.plans.get(pull.Plan).Pull(ctx, pull)
}

package core

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/gypsumhook/gypsum"
)

// statusMisdirected is the status of a call that reached the wrong daemon.
const statusMisdirected = http.StatusMisdirectedRequest

// misroutedWait is the wait before a call is routed anew.
const misroutedWait = 50 * time.Millisecond

// maxOverloads is how many backend servers may refuse a call before it is refused.
const maxOverloads = 2

// Run takes a call to its answer: a non-idempotent one by way of its key's
// shard, any other to a backend server.
func (n *Node) Run(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	n.Stats.Calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, call.Budget)
	defer cancel()
	var err error
	if call.NonIdempotent() {
		err = n.runOnce(ctx, call, sink)
	} else {
		err = n.place(ctx, call, sink)
	}
	if err == nil {
		n.Stats.Answers.Add(1)
		return nil
	}
	refusal := gypsum.AsRefusal(err)
	n.Stats.Refusals.add(refusal)
	return refusal
}

// runOnce hands a non-idempotent call to the daemon that holds its key's shard.
func (n *Node) runOnce(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	deadline := time.Now().Add(call.Budget)
	shard := n.shardOf(call)
	handed := false
	for attempt := 1; ; attempt++ {
		view := n.View()
		if view.Config == nil {
			return noConfiguration()
		}
		owner, ok := view.keyHolder(shard, n.Home)
		if !ok {
			return gypsum.NotRun(gypsum.ReasonPeerFailed, http.StatusServiceUnavailable, time.Second, "no host holds keys now")
		}
		onward := *call
		onward.Stage, onward.Budget, onward.Hops = gypsum.StageDedup, gypsum.Remaining(deadline), call.Hops+1
		n.Logger.Info("key routed", "request", call.ID, "service", call.Service, "shard", shard, "to_host", owner.ID, "attempt", attempt)
		err := n.submit(ctx, view, owner, &onward, sink)
		if err == nil {
			return nil
		}
		refusal := gypsum.AsRefusal(err)
		handed = handed || refusal.Outcome != gypsum.OutcomeNotRun
		// The key's shard keeps a repeat from running twice, so that another
		// holder may be tried even when the first has gone silent.
		again := refusal.Misrouted || (refusal.Reason == gypsum.ReasonPeerFailed && attempt < n.Tuning.MaxAttempts)
		if !again || !n.pause(ctx, deadline, misroutedWait) {
			return finalRefusal(refusal, handed)
		}
	}
}

// finalRefusal returns the last refusal of a call as it is told to the caller.
// Its outcome counts all attempts.
func finalRefusal(last *gypsum.Refusal, handed bool) *gypsum.Refusal {
	final := *last
	final.Misrouted = false
	if handed {
		final.Outcome = gypsum.OutcomeUnknown
	}
	return &final
}

// noConfiguration refuses a call of a daemon that has learned no configuration.
func noConfiguration() *gypsum.Refusal {
	return gypsum.NotRun(gypsum.ReasonNoConfiguration, http.StatusServiceUnavailable, time.Second, "this host has no configuration yet")
}

// pause waits before a further attempt; false if there is no time for one.
func (n *Node) pause(ctx context.Context, deadline time.Time, wait time.Duration) bool {
	if gypsum.Remaining(deadline) <= wait {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// place takes a call to a backend server and tries again where that is safe.
func (n *Node) place(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	view := n.View()
	if view.Config == nil {
		return noConfiguration()
	}
	spec, ok := view.Service(call.Service)
	if !ok {
		return gypsum.NotRun(gypsum.ReasonUnknownService, http.StatusNotFound, 0, fmt.Sprintf("there is no service %q", call.Service))
	}
	n.crashes.merge(call.Crashes, time.Now())
	trip := &journey{node: n, call: *call, deadline: time.Now().Add(call.Budget), sink: sink, spec: spec}
	if call.Generation != nil {
		trip.joiner.Resume(call.Generation)
	}
	n.retries.RecordCall()
	for {
		refusal := trip.attempt(ctx)
		if refusal == nil {
			return nil
		}
		trip.handed = trip.handed || refusal.Outcome != gypsum.OutcomeNotRun
		wait, again := trip.again(ctx, refusal)
		if !again || !n.pause(ctx, trip.deadline, wait) {
			final := finalRefusal(refusal, trip.handed)
			final.Crashes = n.crashes.of(call.Fingerprint)
			return final
		}
	}
}

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

// misroutedBackoff is the wait before a call is routed anew.
const misroutedBackoff = 50 * time.Millisecond

// maxOverloadRefusals is how many backend servers may refuse a call before it is refused.
const maxOverloadRefusals = 2

// Run takes a call to its answer: a non-idempotent one by way of its key's
// shard, any other to a backend server.
func (c *Core) Run(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	c.Stats.Calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, call.Budget)
	defer cancel()
	var err error
	if call.NonIdempotent() {
		err = c.runByKey(ctx, call, sink)
	} else {
		err = c.runWithRetries(ctx, call, sink)
	}
	if err == nil {
		c.Stats.Responses.Add(1)
		return nil
	}
	refusal := gypsum.AsRefusal(err)
	c.Stats.Refusals.add(refusal)
	return refusal
}

// runByKey hands a non-idempotent call to the daemon that holds its key's shard.
func (c *Core) runByKey(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	deadline := time.Now().Add(call.Budget)
	shard := c.shardOf(call)
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		view := c.View()
		if view.Config == nil {
			return noConfigurationRefusal()
		}
		owner, ok := view.shardOwner(shard, c.HomeRegion)
		if !ok {
			return gypsum.NotRun(gypsum.ReasonPeerFailed, http.StatusServiceUnavailable, time.Second, "no host holds keys now")
		}
		forwarded := *call
		forwarded.Stage, forwarded.Budget, forwarded.Hops = gypsum.StageDedup, gypsum.Remaining(deadline), call.Hops+1
		c.Logger.Info("key routed", "request", call.ID, "service", call.Service, "shard", shard, "to_host", owner.ID, "attempt", attempt)
		err := c.submit(ctx, view, owner, &forwarded, sink)
		if err == nil {
			return nil
		}
		refusal := gypsum.AsRefusal(err)
		mayHaveRun = mayHaveRun || refusal.Outcome != gypsum.OutcomeNotRun
		// The key's shard keeps a repeat from running twice, so that another
		// holder may be tried even when the first has gone silent.
		retry := refusal.Misrouted || (refusal.Reason == gypsum.ReasonPeerFailed && attempt < c.Tuning.MaxAttempts)
		if !retry || !c.waitForRetry(ctx, deadline, misroutedBackoff) {
			return finalRefusal(refusal, mayHaveRun)
		}
	}
}

// finalRefusal returns the last refusal of a call as it is told to the caller.
// Its outcome counts all attempts.
func finalRefusal(last *gypsum.Refusal, mayHaveRun bool) *gypsum.Refusal {
	final := *last
	final.Misrouted = false
	if mayHaveRun {
		final.Outcome = gypsum.OutcomeUnknown
	}
	return &final
}

// noConfigurationRefusal refuses a call of a daemon that has learned no configuration.
func noConfigurationRefusal() *gypsum.Refusal {
	return gypsum.NotRun(gypsum.ReasonNoConfiguration, http.StatusServiceUnavailable, time.Second, "this host has no configuration yet")
}

// waitForRetry waits before a further attempt; false if there is no time for one.
func (c *Core) waitForRetry(ctx context.Context, deadline time.Time, wait time.Duration) bool {
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

// runWithRetries takes a call to a backend server and tries again where that is safe.
func (c *Core) runWithRetries(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	view := c.View()
	if view.Config == nil {
		return noConfigurationRefusal()
	}
	spec, ok := view.Service(call.Service)
	if !ok {
		return gypsum.NotRun(gypsum.ReasonUnknownService, http.StatusNotFound, 0, fmt.Sprintf("there is no service %q", call.Service))
	}
	c.crashes.merge(call.Crashes, time.Now())
	exec := &execution{core: c, call: *call, deadline: time.Now().Add(call.Budget), sink: sink, spec: spec}
	if call.Generation != nil {
		exec.assembler.Resume(call.Generation)
	}
	c.retryBudget.Earn()
	for {
		refusal := exec.runAttempt(ctx)
		if refusal == nil {
			return nil
		}
		exec.mayHaveRun = exec.mayHaveRun || refusal.Outcome != gypsum.OutcomeNotRun
		wait, retry := exec.shouldRetry(ctx, refusal)
		if !retry || !c.waitForRetry(ctx, exec.deadline, wait) {
			final := finalRefusal(refusal, exec.mayHaveRun)
			final.Crashes = c.crashes.countsOf(call.Fingerprint)
			return final
		}
	}
}

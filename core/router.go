package core

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/gypsumhook/gypsum"
)

// statusMisdirected is the HTTP status for a call that reached the wrong daemon.
const statusMisdirected = http.StatusMisdirectedRequest

// misroutedBackoff is the delay before a misrouted call is routed again.
const misroutedBackoff = 50 * time.Millisecond

// maxOverloadRefusals is the number of backend servers that may refuse a call as
// overloaded before the call itself is refused.
const maxOverloadRefusals = 2

// Run implements gypsum.CallRunner. Non-idempotent calls go through the shard of their
// idempotency key, all others directly to a backend server.
func (c *Core) Run(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	c.Stats.Calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, call.Budget)
	defer cancel()
	var err error
	if call.NonIdempotent() {
		err = c.runNonIdempotent(ctx, call, sink)
	} else {
		err = c.runWithRetries(ctx, call, sink)
	}
	if err == nil {
		c.Stats.Responses.Add(1)
		return nil
	}
	refusal := gypsum.AsRefusal(err)
	c.Stats.Refusals.recordRefusal(refusal)
	return refusal
}

// runNonIdempotent sends a non-idempotent call to the daemon that owns the shard of its key.
func (c *Core) runNonIdempotent(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	deadline := time.Now().Add(call.Budget)
	shard := c.shardIndexOf(call)
	mayHaveRun, misrouted := false, false
	for attempt := 1; ; attempt++ {
		view := c.View()
		if view.Config == nil {
			return noConfigurationRefusal()
		}
		owner, ok := view.shardOwner(shard, c.HomeRegion)
		if !ok {
			return gypsum.NotRunRefusal(gypsum.ReasonPeerFailed, http.StatusServiceUnavailable, time.Second, "no host holds keys now")
		}
		forwarded := *call
		forwarded.Stage, forwarded.Budget, forwarded.Hops = gypsum.StageDedup, gypsum.RemainingTime(deadline), call.Hops+1
		forwarded.AnyOwner = misrouted
		c.Logger.Info("call routed to shard owner", "request", call.ID, "service", call.Service, "shard", shard, "to_host", owner.ID, "attempt", attempt)
		err := c.submitToMember(ctx, view, owner, &forwarded, sink)
		if err == nil {
			return nil
		}
		refusal := gypsum.AsRefusal(err)
		mayHaveRun = mayHaveRun || refusal.Outcome != gypsum.OutcomeNotRun
		misrouted = misrouted || refusal.Misrouted
		// The shard prevents a second execution, so the call may be sent to another
		// owner even if the first one has stopped responding.
		retry := refusal.Misrouted || (refusal.Reason == gypsum.ReasonPeerFailed && attempt < c.Tuning.MaxAttempts)
		if !retry || !c.waitForRetry(ctx, deadline, misroutedBackoff) {
			return finalRefusal(refusal, mayHaveRun)
		}
	}
}

// finalRefusal returns the refusal to send to the caller after the last attempt. Its
// outcome covers all attempts.
func finalRefusal(last *gypsum.Refusal, mayHaveRun bool) *gypsum.Refusal {
	final := *last
	final.Misrouted = false
	if mayHaveRun {
		final.Outcome = gypsum.OutcomeUnknown
	}
	return &final
}

// noConfigurationRefusal refuses a call because no configuration was received yet.
func noConfigurationRefusal() *gypsum.Refusal {
	return gypsum.NotRunRefusal(gypsum.ReasonNoConfiguration, http.StatusServiceUnavailable, time.Second, "this host has no configuration yet")
}

// waitForRetry waits before another attempt. It returns false if ctx is done or too
// little time is left.
func (c *Core) waitForRetry(ctx context.Context, deadline time.Time, wait time.Duration) bool {
	if gypsum.RemainingTime(deadline) <= wait {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// runWithRetries runs a call on a backend server and retries it where that is safe.
func (c *Core) runWithRetries(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	view := c.View()
	if view.Config == nil {
		return noConfigurationRefusal()
	}
	spec, ok := view.Service(call.Service)
	if !ok {
		return gypsum.NotRunRefusal(gypsum.ReasonUnknownService, http.StatusNotFound, 0, fmt.Sprintf("there is no service %q", call.Service))
	}
	c.crashTracker.mergeCounts(call.CrashCounts, time.Now())
	active := &activeCall{core: c, call: *call, deadline: time.Now().Add(call.Budget), sink: sink, spec: spec}
	if call.Generation != nil {
		active.assembler.Resume(call.Generation)
	}
	c.retryBudget.RecordCall()
	for {
		refusal := active.runAttempt(ctx)
		if refusal == nil {
			return nil
		}
		active.mayHaveRun = active.mayHaveRun || refusal.Outcome != gypsum.OutcomeNotRun
		wait, retry := active.retryDelay(ctx, refusal)
		if !retry || !c.waitForRetry(ctx, active.deadline, wait) {
			final := finalRefusal(refusal, active.mayHaveRun)
			final.CrashCounts = c.crashTracker.countsOf(call.Fingerprint)
			return final
		}
	}
}

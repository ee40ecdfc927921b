package runner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
)

// pendingClaim is a claim that waits for its delay or is being written.
type pendingClaim struct {
	notBefore time.Time
	started   bool
}

// syncHeldServices starts and stops holding services according to the claim records,
// and claims services with open batches that have no live holder.
func (r *Runner) syncHeldServices(ctx context.Context, batches map[gypsum.ServiceName][]batch.Header, now time.Time) {
	for service, held := range r.heldServices {
		holder, _, _ := r.Batches.State.Holder(service)
		if !r.isHolder(&holder) || holder.FencingToken != held.fencingToken {
			r.Logger.Warn("service lost", "service", service, "fence", held.fencingToken, "holder", holder.Host, "new_fence", holder.FencingToken)
			held.cancelAttempts()
			delete(r.heldServices, service)
		}
	}
	for service, headers := range batches {
		holder, lastHeartbeat, known := r.Batches.State.Holder(service)
		if known && r.isHolder(&holder) {
			if r.heldServices[service] == nil {
				r.holdService(ctx, service, &holder)
			}
			delete(r.pendingClaims, service)
			continue
		}
		r.considerClaim(ctx, service, headers, &holder, lastHeartbeat, known, now)
	}
}

// isHolder reports whether holder is this process and has not released the service.
func (r *Runner) isHolder(holder *batch.Holder) bool {
	return holder.Host == r.Host && holder.Incarnation == r.Incarnation && !holder.Released
}

// holdService starts holding a service that this daemon has claimed.
func (r *Runner) holdService(ctx context.Context, service gypsum.ServiceName, holder *batch.Holder) {
	held := newHeldService(ctx, r, service, holder)
	if holder.PreviousHost != "" && holder.PreviousHost != r.Host {
		held.loadOrdersNotBefore = time.Now().Add(r.Lease)
		r.Stats.Takeovers.Add(1)
	}
	held.lastActive, held.heldSince = time.Now(), time.Now()
	r.heldServices[service] = held
	r.lastHeartbeat = time.Now()
	r.Logger.Info("service acquired", "service", service, "fence", holder.FencingToken, "prior", holder.PreviousHost)
}

// considerClaim claims a service without a live holder, after a delay that differs
// between daemons.
func (r *Runner) considerClaim(ctx context.Context, service gypsum.ServiceName, headers []batch.Header, holder *batch.Holder, lastHeartbeat time.Time, holderKnown bool, now time.Time) {
	if r.StoreUnavailable() {
		delete(r.pendingClaims, service)
		return
	}
	lastHeartbeat = r.silentSince(lastHeartbeat)
	vacant := !holderKnown || holder.Released || (holder.Host == r.Host && holder.Incarnation != r.Incarnation) || cannotRun(holder, headers)
	lastResponse, _ := r.Batches.Follower.LastResponse()
	if !vacant && !isHolderSilent(lastHeartbeat, lastResponse, now) {
		delete(r.pendingClaims, service)
		return
	}
	claim := r.pendingClaims[service]
	if claim == nil {
		claim = &pendingClaim{notBefore: now.Add(r.claimDelay(service, headers, holder))}
		r.pendingClaims[service] = claim
	}
	if claim.started || now.Before(claim.notBefore) {
		return
	}
	claim.started = true
	r.Logger.Info("service claimed", "service", service, "term", holder.Term+1, "holder", holder.Host,
		"released", holder.Released, "silent_ms", now.Sub(lastHeartbeat).Milliseconds(), "open_batches", len(headers))
	r.Stats.Claims.Add(1)
	go r.claimService(ctx, service, holder.Term, vacant)
}

// isHolderSilent reports whether a holder has sent no heartbeat for holderTimeout while the
// store responded. A store that stops responding also ends the heartbeats, and each daemon
// finds out only when its read times out. The store must therefore have responded after two
// heartbeats were due: otherwise, in a large deployment, dozens of daemons would claim the
// service at the same moment.
func isHolderSilent(lastHeartbeat, lastResponse, now time.Time) bool {
	return now.Sub(lastHeartbeat) >= holderTimeout && lastResponse.Sub(lastHeartbeat) >= 2*heartbeatInterval
}

// cannotRun reports whether the holder is a daemon of an older version that lacks what an open
// batch needs: that makes no reward calls, or does not pass on the account of a batch.
func cannotRun(holder *batch.Holder, headers []batch.Header) bool {
	return slices.ContainsFunc(headers, func(header batch.Header) bool {
		lacksScores := header.Scored && !holder.MakesRewardCalls
		lacksAccount := header.Account != "" && !holder.NamesAccounts
		return lacksScores || lacksAccount
	})
}

// silentSince returns the time from which a holder counts as silent: its last heartbeat
// or, if later, the time at which the store became reachable again, since no heartbeat
// could be observed before.
func (r *Runner) silentSince(lastHeartbeat time.Time) time.Time {
	if reachableSince := r.Batches.Follower.RecoveredAt(); reachableSince.After(lastHeartbeat) {
		return reachableSince
	}
	return lastHeartbeat
}

// claimDelay returns how long this daemon waits before it claims a service, so that
// others may claim first. A daemon that accepted one of the open batches does not wait
// for the others; one on a host with a small CPU share waits longer.
func (r *Runner) claimDelay(service gypsum.ServiceName, headers []batch.Header, holder *batch.Holder) time.Duration {
	delay := time.Duration(0)
	if r.CPUShare < strongHostShare {
		delay = weakHostClaimDelay
	}
	if slices.ContainsFunc(headers, func(header batch.Header) bool { return header.Origin == r.Host }) {
		return delay
	}
	rank := gypsum.RendezvousScore(string(service)+"/"+fmt.Sprint(holder.FencingToken), string(r.Host))
	return delay + tickInterval + time.Duration(rank%uint64(claimJitter))
}

// claimService catches up with the store and claims the service if it still has no live
// holder in the given term.
func (r *Runner) claimService(ctx context.Context, service gypsum.ServiceName, term int64, vacant bool) {
	// The end of the claim must be posted even if the claim timed out.
	defer r.postUpdate(ctx, func() { delete(r.pendingClaims, service) })
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if !r.Reach.CanConnect(ctx, service) {
		r.Logger.Warn("service not claimed: its engines are out of reach", "service", service, "term", term+1)
		waitForRetry(ctx)
		return
	}
	err := r.Batches.Follower.CatchUp(ctx)
	if err == nil {
		holder, lastHeartbeat, _ := r.Batches.State.Holder(service)
		if holder.Term == term && (vacant || time.Since(r.silentSince(lastHeartbeat)) >= holderTimeout) {
			err = r.Batches.RecordClaim(ctx, service, term+1, false)
		}
	}
	if err != nil {
		r.Logger.Warn("failed to claim service", "service", service, "term", term+1, "error", err)
	}
}

// unreachableRetryDelay is the delay after a claim that was not made since the engines are out
// of reach.
const unreachableRetryDelay = 500 * time.Millisecond

// waitForRetry waits for unreachableRetryDelay, or until ctx ends.
func waitForRetry(ctx context.Context) {
	timer := time.NewTimer(unreachableRetryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// releaseUnreachable releases the services whose engines only other hosts reach. While engines
// still send events on open connections, the service is kept: a new holder has to wait before
// it may send load orders.
func (r *Runner) releaseUnreachable(ctx context.Context, now time.Time) {
	for service, held := range r.heldServices {
		if detour := r.Reach.Detour(service); detour != nil && held.silentFor(now) >= silenceNoticeTime {
			r.Logger.Warn("releasing service: its engines are out of reach", "service", service, "reached_by", detour.Host,
				"silent_ms", held.silentFor(now).Milliseconds())
			r.Stats.UnreachableReleases.Add(1)
			r.releaseService(ctx, service, held)
		}
	}
}

// releaseToStrongHosts releases the services of a daemon on a weak host if one on a strong host
// is known, which then claims first. The delay between two such releases of a service
// doubles each time, so that they become rare while no such daemon takes over.
func (r *Runner) releaseToStrongHosts(ctx context.Context, now time.Time) {
	if r.CPUShare >= strongHostShare {
		return
	}
	strongHostKnown := slices.ContainsFunc(r.Batches.State.DaemonRecords(), func(host batch.DaemonRecord) bool {
		return host.Host != r.Host && host.CPUShare >= strongHostShare
	})
	for service, held := range r.heldServices {
		delay := max(firstReleaseDelay, r.releaseDelays[service])
		if !strongHostKnown || r.StoreUnavailable() || now.Sub(held.heldSince) < delay {
			continue
		}
		r.releaseDelays[service] = 2 * delay
		r.Logger.Info("releasing service for hosts with a larger CPU share", "service", service, "held_for_ms", now.Sub(held.heldSince).Milliseconds())
		r.releaseService(ctx, service, held)
	}
}

// sendHeartbeat stores a heartbeat if one is due while the daemon holds a service that
// had open batches within idleHolderTimeout.
func (r *Runner) sendHeartbeat(ctx context.Context, now time.Time) {
	active := false
	for _, held := range r.heldServices {
		active = active || now.Sub(held.lastActive) < idleHolderTimeout
	}
	if !active || r.heartbeatInFlight || now.Sub(r.lastHeartbeat) < heartbeatInterval {
		return
	}
	r.heartbeatInFlight = true
	r.heartbeatNumber++
	number := r.heartbeatNumber
	go func() {
		heartbeatCtx, cancel := context.WithTimeout(ctx, holderTimeout)
		defer cancel()
		offset, err := r.Batches.RecordHeartbeat(heartbeatCtx, number)
		if err == nil {
			// A host that was cut off may reach the store for appends before it has read the claim of
			// another daemon. Its heartbeat counts once all records before it are known.
			err = r.Batches.Follower.WaitForOffset(heartbeatCtx, offset+1)
		}
		if err != nil {
			r.Logger.Warn("failed to store heartbeat", "error", err)
		}
		r.postUpdate(ctx, func() {
			r.heartbeatInFlight = false
			if err == nil {
				r.lastHeartbeat = now
			}
		})
	}()
}

// maySendLoadOrders reports whether the daemon's own last heartbeat is recent enough to
// send load orders. It has to be recent by the monotonic clock and by the wall clock,
// which also advances while the host is suspended.
func (r *Runner) maySendLoadOrders(now time.Time) bool {
	return now.Sub(r.lastHeartbeat) < maxHeartbeatAge && now.Round(0).Sub(r.lastHeartbeat.Round(0)).Abs() < maxHeartbeatAge
}

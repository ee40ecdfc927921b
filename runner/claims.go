package runner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
)

// pendingClaim is a claim that is being considered or made.
type pendingClaim struct {
	notBefore time.Time
	started   bool
}

// syncHeldServices begins and ends to hold services as the records say, and claims
// those that need it.
func (r *Runner) syncHeldServices(ctx context.Context, batches map[gypsum.ServiceName][]batch.Header, now time.Time) {
	for service, held := range r.held {
		holder, _, _ := r.Batches.State.Holder(service)
		if !r.isHolder(&holder) || holder.FencingToken != held.fencingToken {
			r.Logger.Warn("service lost", "service", service, "fence", held.fencingToken, "holder", holder.Host, "new_fence", holder.FencingToken)
			held.close()
			delete(r.held, service)
		}
	}
	for service, headers := range batches {
		holder, lastHeartbeat, known := r.Batches.State.Holder(service)
		if known && r.isHolder(&holder) {
			if r.held[service] == nil {
				r.holdService(ctx, service, &holder)
			}
			delete(r.claims, service)
			continue
		}
		r.considerClaim(ctx, service, headers, &holder, lastHeartbeat, known, now)
	}
}

// isHolder tells whether this process holds a service.
func (r *Runner) isHolder(holder *batch.Holder) bool {
	return holder.Host == r.Host && holder.Incarnation == r.Boot && !holder.Released
}

// holdService begins to hold a service.
func (r *Runner) holdService(ctx context.Context, service gypsum.ServiceName, holder *batch.Holder) {
	held := newHeldService(ctx, r, service, holder)
	if holder.Previous != "" && holder.Previous != r.Host {
		held.ordersNotBefore = time.Now().Add(r.Lease)
		r.Stats.Takeovers.Add(1)
	}
	held.lastActive, held.since = time.Now(), time.Now()
	r.held[service] = held
	r.lastHeartbeat = time.Now()
	r.Logger.Info("service held", "service", service, "fence", holder.FencingToken, "prior", holder.Previous)
}

// considerClaim claims a service whose batches nobody runs, after a wait that differs
// between hosts.
func (r *Runner) considerClaim(ctx context.Context, service gypsum.ServiceName, headers []batch.Header, holder *batch.Holder, lastHeartbeat time.Time, known bool, now time.Time) {
	if r.StoreUnavailable() {
		delete(r.claims, service)
		return
	}
	lastHeartbeat = r.silentSince(lastHeartbeat)
	vacant := !known || holder.Released || (holder.Host == r.Host && holder.Incarnation != r.Boot)
	if !vacant && now.Sub(lastHeartbeat) < holderTimeout {
		delete(r.claims, service)
		return
	}
	claim := r.claims[service]
	if claim == nil {
		claim = &pendingClaim{notBefore: now.Add(r.claimDelay(service, headers, holder))}
		r.claims[service] = claim
	}
	if claim.started || now.Before(claim.notBefore) {
		return
	}
	claim.started = true
	r.Logger.Info("service claimed", "service", service, "term", holder.Term+1, "holder", holder.Host,
		"released", holder.Released, "silent_ms", now.Sub(lastHeartbeat).Milliseconds(), "open_batches", len(headers))
	r.Stats.Claims.Add(1)
	go r.claim(ctx, service, holder.Term, vacant)
}

// silentSince returns from when a holder's silence counts: its last heartbeat, or the
// return of the store if that came later, since no sign could be seen before.
func (r *Runner) silentSince(lastHeartbeat time.Time) time.Time {
	if reachableSince := r.Batches.Follower.RecoveredAt(); reachableSince.After(lastHeartbeat) {
		return reachableSince
	}
	return lastHeartbeat
}

// claimDelay returns how long this host waits for another to claim.
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

// claim makes sure that the holder is still silent, and claims.
func (r *Runner) claim(ctx context.Context, service gypsum.ServiceName, term int64, vacant bool) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := r.Batches.Follower.CatchUp(ctx)
	if err == nil {
		holder, lastHeartbeat, _ := r.Batches.State.Holder(service)
		if holder.Term == term && (vacant || time.Since(r.silentSince(lastHeartbeat)) >= holderTimeout) {
			err = r.Batches.Claim(ctx, service, term+1, false)
		}
	}
	if err != nil {
		r.Logger.Warn("claim failed", "service", service, "term", term+1, "error", err)
	}
	r.post(ctx, func() { delete(r.claims, service) })
}

// offerServices releases services that a weak host holds although strong ones are known, which
// then claim first. While none takes over, the offers become rare.
func (r *Runner) offerServices(ctx context.Context, now time.Time) {
	if r.CPUShare >= strongHostShare {
		return
	}
	strongHostKnown := slices.ContainsFunc(r.Batches.State.Daemons(), func(host batch.DaemonRecord) bool {
		return host.Host != r.Host && host.CPUShare >= strongHostShare
	})
	for service, held := range r.held {
		delay := max(firstOfferDelay, r.offerDelays[service])
		if !strongHostKnown || r.StoreUnavailable() || now.Sub(held.since) < delay {
			continue
		}
		r.offerDelays[service] = 2 * delay
		r.Logger.Info("service offered to stronger hosts", "service", service, "held_for_ms", now.Sub(held.since).Milliseconds())
		r.releaseService(ctx, service, held)
	}
}

// sendHeartbeat gives heartbeats while the host holds a service.
func (r *Runner) sendHeartbeat(ctx context.Context, now time.Time) {
	active := false
	for _, held := range r.held {
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
		err := r.Batches.RecordHeartbeat(heartbeatCtx, number)
		if err != nil {
			r.Logger.Warn("heartbeat not stored", "error", err)
		}
		r.post(ctx, func() {
			r.heartbeatInFlight = false
			if err == nil {
				r.lastHeartbeat = now
			}
		})
	}()
}

// mayOrderLoads tells whether the host's own heartbeats are new enough to give orders:
// by the steady clock, and by the time of day, which counts a time of suspension.
func (r *Runner) mayOrderLoads(now time.Time) bool {
	return now.Sub(r.lastHeartbeat) < maxHeartbeatAge && now.Round(0).Sub(r.lastHeartbeat.Round(0)).Abs() < maxHeartbeatAge
}

package runner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
)

// claiming is a claim that is being considered or made.
type claiming struct {
	at      time.Time
	running bool
}

// followClaims begins and ends to hold services as the records say, and claims
// those that need it.
func (r *Runner) followClaims(ctx context.Context, jobs map[gypsum.ServiceName][]batch.Header, now time.Time) {
	for service, held := range r.held {
		holder, _, _ := r.Batches.State.Holder(service)
		if !r.mine(&holder) || holder.FencingToken != held.fence {
			r.Logger.Warn("service lost", "service", service, "fence", held.fence, "holder", holder.Host, "new_fence", holder.FencingToken)
			held.end()
			delete(r.held, service)
		}
	}
	for service, open := range jobs {
		holder, alive, known := r.Batches.State.Holder(service)
		if known && r.mine(&holder) {
			if r.held[service] == nil {
				r.begin(ctx, service, &holder)
			}
			delete(r.claims, service)
			continue
		}
		r.consider(ctx, service, open, &holder, alive, known, now)
	}
}

// mine tells whether this process holds a service.
func (r *Runner) mine(holder *batch.Holder) bool {
	return holder.Host == r.Host && holder.Incarnation == r.Boot && !holder.Released
}

// begin begins to hold a service.
func (r *Runner) begin(ctx context.Context, service gypsum.ServiceName, holder *batch.Holder) {
	held := newHold(ctx, r, service, holder)
	if holder.Previous != "" && holder.Previous != r.Host {
		held.ordersFrom = time.Now().Add(r.Lease)
		r.Stats.Takeovers.Add(1)
	}
	held.active, held.begun = time.Now(), time.Now()
	r.held[service] = held
	r.beaten = time.Now()
	r.Logger.Info("service held", "service", service, "fence", holder.FencingToken, "prior", holder.Previous)
}

// consider claims a service whose batches nobody runs, after a wait that differs
// between hosts.
func (r *Runner) consider(ctx context.Context, service gypsum.ServiceName, open []batch.Header, holder *batch.Holder, alive time.Time, known bool, now time.Time) {
	if r.StoreAway() {
		delete(r.claims, service)
		return
	}
	alive = r.heardSince(alive)
	free := !known || holder.Released || (holder.Host == r.Host && holder.Incarnation != r.Boot)
	if !free && now.Sub(alive) < silenceLimit {
		delete(r.claims, service)
		return
	}
	claim := r.claims[service]
	if claim == nil {
		claim = &claiming{at: now.Add(r.claimDelay(service, open, holder))}
		r.claims[service] = claim
	}
	if claim.running || now.Before(claim.at) {
		return
	}
	claim.running = true
	r.Logger.Info("service claimed", "service", service, "term", holder.Term+1, "holder", holder.Host,
		"released", holder.Released, "silent_ms", now.Sub(alive).Milliseconds(), "open_batches", len(open))
	r.Stats.Claims.Add(1)
	go r.claim(ctx, service, holder.Term, free)
}

// heardSince returns from when a holder's silence counts: its last heartbeat, or the
// return of the store if that came later, since no sign could be seen before.
func (r *Runner) heardSince(alive time.Time) time.Time {
	if back := r.Batches.Follower.Back(); back.After(alive) {
		return back
	}
	return alive
}

// claimDelay returns how long this host waits for another to claim.
func (r *Runner) claimDelay(service gypsum.ServiceName, open []batch.Header, holder *batch.Holder) time.Duration {
	delay := time.Duration(0)
	if r.Share < strongShare {
		delay = weakDelay
	}
	if slices.ContainsFunc(open, func(header batch.Header) bool { return header.Origin == r.Host }) {
		return delay
	}
	rank := gypsum.RendezvousScore(string(service)+"/"+fmt.Sprint(holder.FencingToken), string(r.Host))
	return delay + tickInterval + time.Duration(rank%uint64(claimSpread))
}

// claim makes sure that the holder is still silent, and claims.
func (r *Runner) claim(ctx context.Context, service gypsum.ServiceName, term int64, free bool) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := r.Batches.Follower.CatchUp(ctx)
	if err == nil {
		holder, alive, _ := r.Batches.State.Holder(service)
		if holder.Term == term && (free || time.Since(r.heardSince(alive)) >= silenceLimit) {
			err = r.Batches.Claim(ctx, service, term+1, false)
		}
	}
	if err != nil {
		r.Logger.Warn("claim failed", "service", service, "term", term+1, "error", err)
	}
	r.post(ctx, func() { delete(r.claims, service) })
}

// yield releases services that a weak host holds although strong ones are known, which
// then claim first. While none takes over, the offers become rare.
func (r *Runner) yield(ctx context.Context, now time.Time) {
	if r.Share >= strongShare {
		return
	}
	strong := slices.ContainsFunc(r.Batches.State.Daemons(), func(host batch.DaemonRecord) bool {
		return host.Host != r.Host && host.CPUShare >= strongShare
	})
	for service, held := range r.held {
		wait := max(firstYield, r.yields[service])
		if !strong || r.StoreAway() || now.Sub(held.begun) < wait {
			continue
		}
		r.yields[service] = 2 * wait
		r.Logger.Info("service offered to stronger hosts", "service", service, "held_for_ms", now.Sub(held.begun).Milliseconds())
		r.handOver(ctx, service, held)
	}
}

// keepBeating gives heartbeats while the host holds a service.
func (r *Runner) keepBeating(ctx context.Context, now time.Time) {
	active := false
	for _, held := range r.held {
		active = active || now.Sub(held.active) < idleHold
	}
	if !active || r.beating || now.Sub(r.beaten) < beatInterval {
		return
	}
	r.beating = true
	r.beat++
	number := r.beat
	go func() {
		beatCtx, cancel := context.WithTimeout(ctx, silenceLimit)
		defer cancel()
		err := r.Batches.RecordHeartbeat(beatCtx, number)
		if err != nil {
			r.Logger.Warn("heartbeat not stored", "error", err)
		}
		r.post(ctx, func() {
			r.beating = false
			if err == nil {
				r.beaten = now
			}
		})
	}()
}

// mayOrder tells whether the host's own heartbeats are new enough to give orders:
// by the steady clock, and by the time of day, which counts a time of suspension.
func (r *Runner) mayOrder(now time.Time) bool {
	return now.Sub(r.beaten) < ordersLimit && now.Round(0).Sub(r.beaten.Round(0)).Abs() < ordersLimit
}

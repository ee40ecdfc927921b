package relay

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/shed"
)

// Parameters of the wait for a slot of a replica.
const (
	// maxWaiting is the number of live requests that may wait for one service. Twelve slots
	// serve as many within half of a usual latency target.
	maxWaiting = 64
	// Bounds of probeInterval, the time after which one request is sent to a replica that
	// refused one as full. Slots are occupied by requests of other hosts too, so only the
	// replica knows when one is free.
	minProbeInterval = 10 * time.Millisecond
	maxProbeInterval = 100 * time.Millisecond
	// maxProbeDoublings limits the doublings of the interval while the replica refuses probes:
	// each refusal costs a request one of its attempts.
	maxProbeDoublings = 2
	// maxDispatchInterval is the longest time between two checks of the waiting requests.
	// Replicas may be registered or leave meanwhile.
	maxDispatchInterval = 50 * time.Millisecond
	// bodyBytesPerSlot bounds the request bodies in flight to a replica, since one that holds more
	// than its memory crashes. Registrations state slots but no memory; the usual bodies have
	// some kilobytes. A single larger body is sent when no other is in flight.
	bodyBytesPerSlot = 2 << 20
	// assumedSlots applies to replicas that state none.
	assumedSlots = 16
	// minSlotRetryAfter is the shortest retry delay of a request that is refused because no
	// slot would be free in time.
	minSlotRetryAfter = 50 * time.Millisecond
)

// WaitStats counts the live requests that found all replicas of their service full.
type WaitStats struct {
	// Waited is the number of those that waited, Granted that of those that got a slot, and
	// Refused that of those that were refused because they could not be met.
	Waited  atomic.Int64
	Granted atomic.Int64
	Refused atomic.Int64
	// Time is the total time of waiting in nanoseconds.
	Time atomic.Int64
}

// waitQueue holds the live requests that wait for a slot of a service.
type waitQueue struct {
	waiters []*waiter
	shares  *shed.Shares
	timer   *time.Timer
	// promisedAt is the latest time at which a refused request was told to come back.
	promisedAt time.Time
}

// retryAfter returns the retry delay of a refused request, for which a slot is expected to be
// free after a time. Requests that are refused one after the other come back one after the
// other, since they would find the replicas full again otherwise.
func (w *waitQueue) retryAfter(free, interval time.Duration, now time.Time) time.Duration {
	free = max(free, minSlotRetryAfter, w.promisedAt.Add(interval).Sub(now))
	free = min(free, maxRetryAfter)
	w.promisedAt = now.Add(free)
	return free
}

// waiter is a live request that waits. granted and refusal are set before done is closed.
type waiter struct {
	request *Request
	work    gypsum.Work
	done    chan struct{}
	refusal *gypsum.Refusal
}

// probeInterval returns the time between two probes of a full replica.
func probeInterval(latency time.Duration) time.Duration {
	if latency == 0 {
		latency = defaultLatency
	}
	return min(maxProbeInterval, max(minProbeInterval, latency/2))
}

// freeSlots returns the number of slots of a replica that requests of this daemon may take. The
// replica may have fewer, since other daemons use it too. The caller holds mu.
func (s *replicaState) freeSlots(replica *gypsum.Replica, now time.Time) int {
	if s.estimator.IsFull(now) {
		if now.Before(s.nextProbe) || s.reserved > 0 {
			return 0
		}
		return 1
	}
	if replica.Slots <= 0 {
		return maxWaiting
	}
	return max(0, replica.Slots-s.inFlight-s.reserved)
}

// acceptsBody reports whether a request body of a size may be sent to the candidate now.
func (c *Candidate) acceptsBody(size int) bool {
	slots := c.Replica.Slots
	if slots <= 0 {
		slots = assumedSlots
	}
	return c.bodyBytes == 0 || c.bodyBytes+size <= slots*bodyBytesPerSlot
}

// queue returns the waiting queue of a service. The caller holds mu.
func (r *Relay) queue(service gypsum.ServiceName) *waitQueue {
	queue := r.queues[service]
	if queue == nil {
		queue = &waitQueue{shares: shed.NewShares()}
		r.queues[service] = queue
	}
	return queue
}

// mayUse reports whether the request may be sent to a candidate: one that it has not been sent
// to, or one that only refused it because it was full.
func (r *Request) mayUse(candidate *Candidate) bool {
	if !r.canContinueOn(candidate.Replica) {
		return false
	}
	id := candidate.Replica.ID
	return r.foundFull[id] || (!r.reached[id] && !r.tried[candidate.path()])
}

// work returns the request as the policy sees it.
func (r *Request) work(expected time.Duration) gypsum.Work {
	work := gypsum.Work{
		Class: gypsum.WorkLive, Account: r.Account, Priority: r.Priority, Arrived: r.Arrived, Target: r.Arrived.Add(r.Route.LatencyTarget),
		Deadline: r.Deadline, Expected: expected, RetryElsewhere: !r.mayHaveRun,
	}
	if r.sentAttempts > 0 {
		work.Class = gypsum.WorkRetry
	}
	return work
}

// awaitSlot waits while all replicas that the request may use are full, or other requests wait
// for them. It returns the refusal of a request that cannot be met.
func (r *Relay) awaitSlot(ctx context.Context, request *Request) *gypsum.Refusal {
	if request.sentAttempts >= request.Route.MaxAttempts || (request.mayHaveRun && !request.Route.Retryable()) {
		return nil
	}
	now := time.Now()
	if !now.Before(request.Deadline) {
		return nil
	}
	waiting := r.enqueue(request, now)
	if waiting == nil {
		return nil
	}
	select {
	case <-waiting.done:
	case <-ctx.Done():
		if r.dequeue(waiting) {
			return r.cancelledRefusal(ctx, request)
		}
		<-waiting.done
	}
	waited := time.Since(now)
	r.Stats.Waits.Time.Add(int64(waited))
	if waiting.refusal != nil {
		r.Stats.Waits.Refused.Add(1)
		return waiting.refusal
	}
	if ctx.Err() != nil {
		return r.cancelledRefusal(ctx, request)
	}
	r.Stats.Waits.Granted.Add(1)
	r.Logger.Info("request waited for a slot", "request", request.ID, "service", request.Service, "attempt", request.sentAttempts+1,
		"account", request.Account, "priority", waiting.work.Priority, "waited_ms", waited.Milliseconds())
	return nil
}

// enqueue adds the request to the waiting queue of its service if it has to wait, and returns
// nil otherwise.
func (r *Relay) enqueue(request *Request, now time.Time) *waiter {
	candidates := r.candidateSource(request.Service, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	queue := r.queue(request.Service)
	current := candidates()
	work := request.work(expectedSlotTime(current))
	waiting := &waiter{request: request, work: work, done: make(chan struct{})}
	// A replica whose request rate is at its limit is not waited for here: the limiter knows
	// when it accepts the next request.
	limited := slices.ContainsFunc(current, func(c Candidate) bool { return c.rateLimited && request.mayUse(&c) })
	if len(queue.waiters) == 0 && (r.grant(waiting, current, now) || limited) {
		queue.shares.Serve(&work, now)
		return nil
	}
	queue.waiters = append(queue.waiters, waiting)
	r.Stats.Waits.Waited.Add(1)
	r.dispatch(request.Service, queue, current, now)
	return waiting
}

// dequeue removes a waiting request whose client has left. It reports false if the request
// does not wait any more.
func (r *Relay) dequeue(waiting *waiter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	queue := r.queue(waiting.request.Service)
	index := slices.Index(queue.waiters, waiting)
	if index < 0 {
		return false
	}
	queue.waiters = slices.Delete(queue.waiters, index, index+1)
	return true
}

// expectedSlotTime returns the expected duration of a request at the fastest candidate that has
// been measured.
func expectedSlotTime(candidates []Candidate) time.Duration {
	expected := time.Duration(0)
	for i := range candidates {
		if latency := candidates[i].Latency; latency > 0 && (expected == 0 || latency < expected) {
			expected = latency
		}
	}
	if expected == 0 {
		return defaultLatency
	}
	return expected
}

// slotState returns the slots of candidates as the policy sees them.
func slotState(candidates []Candidate, now time.Time) *gypsum.ShedState {
	state, perSecond := &gypsum.ShedState{Now: now, MaxWaiting: maxWaiting}, 0.0
	for i := range candidates {
		latency, busy := candidates[i].Latency, max(1, candidates[i].InFlight)
		if latency == 0 {
			latency = defaultLatency
		}
		state.Free += candidates[i].free
		state.Slots += max(busy, candidates[i].InFlight+candidates[i].free)
		perSecond += float64(busy) / latency.Seconds()
	}
	if perSecond > 0 {
		state.Interval = time.Duration(float64(time.Second) / perSecond)
	}
	return state
}

// dispatch lets the policy decide about the waiting requests, and gives the free slots to the
// first ones. The caller holds mu.
func (r *Relay) dispatch(service gypsum.ServiceName, queue *waitQueue, candidates []Candidate, now time.Time) {
	if len(queue.waiters) == 0 {
		return
	}
	state := slotState(candidates, now)
	state.Shares = queue.shares
	for _, waiting := range queue.waiters {
		state.Waiting = append(state.Waiting, waiting.work)
	}
	decision := r.Policy.Decide(state)
	ended := make([]bool, len(queue.waiters))
	for _, refused := range decision.Refused {
		waiting := queue.waiters[refused.Index]
		queue.shares.Refuse(&waiting.work, now)
		waiting.refusal = r.requestRefusal(waiting.request, gypsum.ReasonOverloaded,
			queue.retryAfter(refused.RetryAfter, state.Interval, now), "all replicas are full, and none would have a free slot in time")
		ended[refused.Index] = true
		close(waiting.done)
	}
	for _, index := range decision.Order {
		waiting := queue.waiters[index]
		switch {
		case r.grant(waiting, candidates, now):
			queue.shares.Serve(&waiting.work, now)
		case !now.Before(waiting.work.Deadline.Add(-waiting.work.Expected)):
			// A slot is free, but not for this request: the replica failed it, or holds too
			// many large bodies.
			queue.shares.Refuse(&waiting.work, now)
			waiting.refusal = r.requestRefusal(waiting.request, gypsum.ReasonOverloaded,
				queue.retryAfter(state.Interval, state.Interval, now), "no replica had a slot for the request in time")
		default:
			continue
		}
		ended[index] = true
		close(waiting.done)
	}
	kept := queue.waiters[:0]
	for i, waiting := range queue.waiters {
		if !ended[i] {
			kept = append(kept, waiting)
		}
	}
	clear(queue.waiters[len(kept):])
	queue.waiters = kept
	r.scheduleDispatch(service, queue, candidates, now)
}

// bestFreeCandidate returns the candidate with a free slot that is preferred for the request, nil
// if there is none. usable reports whether there is any that the request may use.
func (r *Relay) bestFreeCandidate(request *Request, candidates []Candidate, now time.Time) (best *Candidate, usable bool) {
	failureCost := FailureCost(request.Route.Retryable(), request.Route.LatencyTarget, request.Deadline.Sub(now))
	for i := range candidates {
		candidate := &candidates[i]
		if !request.mayUse(candidate) {
			continue
		}
		usable = true
		candidate.Tried = request.foundFull[candidate.Replica.ID]
		if candidate.free > 0 && candidate.acceptsBody(len(request.Body)) && (best == nil || isPreferred(candidate, best, r.Location, failureCost)) {
			best = candidate
		}
	}
	return best, usable
}

// grant reserves a free slot for a waiting request. It returns false if the request has to wait
// on. A request without a replica that it may use does not wait: it is refused for that.
func (r *Relay) grant(waiting *waiter, candidates []Candidate, now time.Time) bool {
	request := waiting.request
	best, usable := r.bestFreeCandidate(request, candidates, now)
	if best == nil {
		return !usable
	}
	best.free--
	best.InFlight++
	tracked := r.track(best.Replica)
	tracked.reserved++
	tracked.bodyBytes += len(request.Body)
	best.bodyBytes += len(request.Body)
	tracked.nextProbe = now.Add(probeInterval(best.Latency))
	request.reservation, request.reservedAt = tracked, best.Replica.ID
	delete(request.reached, best.Replica.ID)
	delete(request.tried, best.path())
	return true
}

// releaseSlot gives up the slot that was reserved for a request, if any.
func (r *Relay) releaseSlot(request *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releaseReservation(request)
}

// releaseReservation is releaseSlot for a caller that holds mu.
func (r *Relay) releaseReservation(request *Request) {
	if request.reservation != nil {
		request.reservation.reserved--
		request.reservation.bodyBytes -= len(request.Body)
		request.reservation = nil
	}
}

// scheduleDispatch sets the time of the next dispatch while requests wait: when the next full
// replica may be probed, or when the next request can no longer be met.
func (r *Relay) scheduleDispatch(service gypsum.ServiceName, queue *waitQueue, candidates []Candidate, now time.Time) {
	if len(queue.waiters) == 0 {
		if queue.timer != nil {
			queue.timer.Stop()
		}
		return
	}
	wait := maxDispatchInterval
	for i := range candidates {
		if tracked := r.replicaStates[candidates[i].Replica.ID]; tracked != nil && tracked.nextProbe.After(now) {
			wait = min(wait, tracked.nextProbe.Sub(now))
		}
	}
	for _, waiting := range queue.waiters {
		wait = min(wait, max(time.Millisecond, waiting.work.Deadline.Add(-waiting.work.Expected).Sub(now)))
	}
	if queue.timer == nil {
		queue.timer = time.AfterFunc(wait, func() { r.redispatch(service) })
		return
	}
	queue.timer.Reset(wait)
}

// redispatch gives slots that have become free to waiting requests.
func (r *Relay) redispatch(service gypsum.ServiceName) {
	now := time.Now()
	candidates := r.candidateSource(service, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if queue := r.queue(service); len(queue.waiters) > 0 {
		r.dispatch(service, queue, candidates(), now)
	}
}

// hasWaiters reports whether requests wait for a service. The caller holds mu.
func (r *Relay) hasWaiters(service gypsum.ServiceName) bool {
	queue := r.queues[service]
	return queue != nil && len(queue.waiters) > 0
}

// WaitingCount returns the number of live requests that wait for a slot.
func (r *Relay) WaitingCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, queue := range r.queues {
		count += len(queue.waiters)
	}
	return count
}

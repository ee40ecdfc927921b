package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/state"
)

// replicaState is what this daemon has observed of a replica since the replica started.
type replicaState struct {
	incarnation gypsum.Incarnation
	inFlight    int
	// reserved is the number of slots that were given to waiting requests which are not sent
	// yet. nextProbe is when the next request may be sent while the replica is full.
	reserved  int
	nextProbe time.Time
	// refusals is the number of requests that the replica has refused as full since it last ran
	// one.
	refusals int
	// bodyBytes is the size of the request bodies in flight and of those with a reserved slot.
	bodyBytes int
	// answeredAt is when the replica last responded to a request, whatever it was.
	answeredAt time.Time
	estimator  ReplicaEstimator
}

// crashLimit is the number of replicas that a request may crash before it is refused, by
// the user documentation.
const crashLimit = 3

// candidates returns the ready replicas of a service, with the response times to live
// requests or to reward calls.
func (r *Relay) candidates(service gypsum.ServiceName, isReward bool, now time.Time) []Candidate {
	list := r.candidateSource(service, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := list()
	if isReward {
		for i := range candidates {
			candidates[i].Latency = 0
			if tracked := r.replicaStates[candidates[i].Replica.ID]; tracked != nil && tracked.incarnation == candidates[i].Replica.Incarnation {
				candidates[i].Latency = tracked.estimator.RewardLatency()
			}
		}
	}
	return candidates
}

// candidateSource returns a function that returns the ready replicas of a service with the
// response times to live requests. Its caller holds mu.
func (r *Relay) candidateSource(service gypsum.ServiceName, now time.Time) func() []Candidate {
	replicas, detour := r.Registry.Current().Services[service], r.Reach.Detour(service)
	return func() []Candidate {
		candidates := make([]Candidate, 0, len(replicas))
		for _, replica := range replicas {
			if replica.State != gypsum.ReplicaReady {
				continue
			}
			candidate := Candidate{Replica: replica, Via: detour, rateLimited: r.Limiter.IsDenied(replica.ID, now), free: maxWaiting}
			if replica.Slots > 0 {
				candidate.free = replica.Slots
			}
			candidate.Full = candidate.rateLimited
			if tracked := r.replicaStates[replica.ID]; tracked != nil && tracked.incarnation == replica.Incarnation {
				candidate.InFlight, candidate.Latency = tracked.inFlight+tracked.reserved, tracked.estimator.Latency()
				candidate.FailureRate, candidate.Full = tracked.estimator.FailureRate(now), candidate.Full || tracked.estimator.IsFull(now)
				candidate.free, candidate.bodyBytes = tracked.freeSlots(replica, now), tracked.bodyBytes
			}
			candidates = append(candidates, candidate)
		}
		return candidates
	}
}

// track returns the state of a replica. The caller holds mu.
func (r *Relay) track(replica *gypsum.Replica) *replicaState {
	tracked := r.replicaStates[replica.ID]
	if tracked == nil || tracked.incarnation != replica.Incarnation {
		tracked = &replicaState{incarnation: replica.Incarnation}
		r.replicaStates[replica.ID] = tracked
	}
	return tracked
}

// beginAttempt counts a request in flight at a replica. The slot that was reserved for the
// request is now in use.
func (r *Relay) beginAttempt(request *Request, replica *gypsum.Replica) *replicaState {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releaseReservation(request)
	tracked := r.track(replica)
	tracked.inFlight++
	tracked.bodyBytes += len(request.Body)
	tracked.nextProbe = now.Add(probeInterval(tracked.estimator.Latency()))
	return tracked
}

// endAttempt ends a request in flight at a replica and records its result. An attempt
// whose client has disconnected does not count. Waiting requests may take its slot.
func (r *Relay) endAttempt(tracked *replicaState, request *Request, elapsed time.Duration, result attemptResult) {
	r.recordEnd(tracked, request, elapsed, result, time.Now())
	r.mu.Lock()
	waiting := r.hasWaiters(request.Service)
	r.mu.Unlock()
	if waiting {
		r.redispatch(request.Service)
	}
}

func (r *Relay) recordEnd(tracked *replicaState, request *Request, elapsed time.Duration, result attemptResult, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tracked.inFlight--
	tracked.bodyBytes -= len(request.Body)
	if result == resultSucceeded || result == resultFull {
		tracked.answeredAt = now
	}
	if result != resultFull {
		// The request leaves a free slot.
		tracked.nextProbe, tracked.refusals = now, 0
	}
	switch result {
	case resultSucceeded:
		if request.isReward {
			tracked.estimator.RecordRewardResponse(elapsed, now)
			return
		}
		tracked.estimator.RecordResponse(elapsed, now)
	case resultFull:
		tracked.estimator.RecordFull(now)
		tracked.nextProbe = now.Add(min(maxProbeInterval, probeInterval(tracked.estimator.Latency())<<min(tracked.refusals, maxProbeDoublings)))
		tracked.refusals++
	case resultFailed:
		tracked.estimator.RecordFailure(now)
	}
}

// attemptResult is what an attempt shows about its replica.
type attemptResult int

// Results of attempts.
const (
	resultUnknown attemptResult = iota
	resultSucceeded
	resultFull
	resultFailed
)

// attemptResultOf returns what an attempt shows about its replica. Status 504 is not counted
// as a failure: the replica reports that it was given too little time. A request that did not
// get through another host shows nothing about the replica.
func attemptResultOf(ctx context.Context, candidate *Candidate, response *gypsum.LiveResponse, err error) attemptResult {
	switch {
	case ctx.Err() != nil || errors.Is(err, errClientDisconnected):
		return resultUnknown
	case candidate.Via != nil && errors.Is(err, gypsum.ErrNotSent):
		return resultUnknown
	case errors.Is(err, gypsum.ErrNotRun):
		return resultFull
	case err != nil:
		return resultFailed
	case response.Status >= http.StatusInternalServerError && response.Status != http.StatusGatewayTimeout:
		return resultFailed
	}
	return resultSucceeded
}

// InFlightCount returns the number of requests in flight at replicas.
func (r *Relay) InFlightCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	inFlight := 0
	for _, tracked := range r.replicaStates {
		inFlight += tracked.inFlight
	}
	return inFlight
}

// PruneReplicaStates drops the state of replicas that are no longer registered.
func (r *Relay) PruneReplicaStates(snapshot *state.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, tracked := range r.replicaStates {
		if snapshot.Replicas[id] == nil && tracked.inFlight == 0 && tracked.reserved == 0 {
			delete(r.replicaStates, id)
		}
	}
	for service, queue := range r.queues {
		if len(snapshot.Services[service]) == 0 && len(queue.waiters) == 0 {
			delete(r.queues, service)
		}
	}
}

// Bounds of the probes of replicas whose connection broke.
const (
	probeTimeout = 1500 * time.Millisecond
	// maxQueuedProbes is the length of the probe queue: one probe for each replica of a
	// large service.
	maxQueuedProbes = 64
)

// crashProbe is a probe of a replica whose connection broke before it responded.
type crashProbe struct {
	request     gypsum.RequestID
	fingerprint gypsum.Fingerprint
	replica     *gypsum.Replica
	// wasSilent means that the connection did not break, but the replica sent nothing in time.
	wasSilent bool
}

// queueProbe queues a probe that finds out whether a replica whose connection broke, or that was
// silent, has crashed.
func (r *Relay) queueProbe(request *Request, replica *gypsum.Replica, wasSilent bool) {
	select {
	case r.probes <- crashProbe{request: request.ID, fingerprint: request.fingerprint, replica: replica, wasSilent: wasSilent}:
	default:
		r.Logger.Warn("replica not probed: probe queue is full", "request", request.ID, "replica", replica.ID)
	}
}

// Run probes replicas whose connection broke, records those that crashed for all daemons, and
// forgets the crashes of requests that were served, until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case probe := <-r.probes:
			r.checkCrash(ctx, probe)
		case served := <-r.served:
			r.forgetCrashes(ctx, served)
		}
	}
}

// forgetTimeout bounds the removal of the crashes of a request.
const forgetTimeout = 1500 * time.Millisecond

// servedRequest is a request that a replica of a service and software version has served.
type servedRequest struct {
	fingerprint gypsum.Fingerprint
	service     gypsum.ServiceName
	software    gypsum.SoftwareVersion
}

// recordServed takes note that a replica has served a request, and forgets the crashes counted for it:
// what crashes the replicas of a version gets no response from them. It may crash those of another
// version, whose crashes stay. Reward calls are not counted.
func (r *Relay) recordServed(request *Request, replica *gypsum.Replica) {
	if request.isReward {
		return
	}
	r.serving.record(servedRequest{request.fingerprint, replica.Service, replica.Software}, time.Now())
	if r.Crashes.CrashCount(request.fingerprint) == 0 {
		return
	}
	select {
	case r.served <- servedRequest{request.fingerprint, replica.Service, replica.Software}:
	default: // a later response of the request does the same
	}
}

// forgetCrashes forgets the crashes counted for a request that was served.
func (r *Relay) forgetCrashes(ctx context.Context, served servedRequest) {
	ctx, cancel := context.WithTimeout(ctx, forgetTimeout)
	defer cancel()
	count, err := r.Crashes.ForgetCrashes(ctx, served.fingerprint, served.software)
	if count > 0 || err != nil {
		r.Logger.Info("crashes of a request forgotten, as a replica has served it", "fingerprint", served.fingerprint, "software", served.software,
			"crashes", count, "error", err)
	}
}

// IsSilent reports whether a replica that sent no response to a request from its send until now sent none to any other in
// the second half of that time. One that did is slow, or overloaded.
func IsSilent(sentAt, answeredAt, now time.Time) bool {
	return answeredAt.Before(sentAt.Add(now.Sub(sentAt) / 2))
}

// probeSilent queues a probe of a replica that sent nothing to a request in time, if it may have crashed without an end
// of its connections.
func (r *Relay) probeSilent(request *Request, replica *gypsum.Replica, sentAt time.Time) {
	r.mu.Lock()
	tracked := r.replicaStates[replica.ID]
	answeredAt := time.Time{}
	if tracked != nil && tracked.incarnation == replica.Incarnation {
		answeredAt = tracked.answeredAt
	}
	r.mu.Unlock()
	if IsSilent(sentAt, answeredAt, time.Now()) {
		r.queueProbe(request, replica, true)
	}
}

// isDown reports whether a replica accepts connections of no host.
func (r *Relay) isDown(ctx context.Context, replica *gypsum.Replica) bool {
	outOfReach := r.Reach.Detour(replica.Service) != nil
	if !outOfReach && r.Transport.AcceptsConnections(ctx, replica) {
		return false
	}
	return ctx.Err() == nil && r.Reach.ConfirmDown(ctx, replica)
}

// checkCrash records a crash if the replica no longer accepts connections, or was silent and has started again.
func (r *Relay) checkCrash(ctx context.Context, probe crashProbe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	current := r.Registry.Current().Replicas[probe.replica.ID]
	hasRestarted := probe.wasSilent && current != nil && current.Incarnation > probe.replica.Incarnation
	if !hasRestarted && !r.isDown(ctx, probe.replica) {
		return
	}
	evidence := r.serving.evidence(probe.fingerprint, probe.replica, time.Now())
	if !evidence.BlamesRequest() {
		r.Logger.Warn("replica crashed while running a request that others have served", "request", probe.request, "fingerprint", probe.fingerprint,
			"replica", probe.replica.ID, "served_ago_ms", evidence.ServedAgo.Milliseconds())
		return
	}
	err := r.Crashes.RecordCrash(ctx, probe.fingerprint, probe.replica)
	r.Logger.Warn("replica crashed while running a request", "request", probe.request, "fingerprint", probe.fingerprint,
		"replica", probe.replica.ID, "error", err)
}

package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/state"
)

// replicaState is what this host has seen of a replica since its start.
type replicaState struct {
	incarnation gypsum.Incarnation
	inFlight    int
	stats       ReplicaStats
}

// crashLimit is how many replicas a request may crash, from the users' pages.
const crashLimit = 3

// candidates returns the replicas of a request's service that may get it.
func (r *Relay) candidates(request *Request, now time.Time) []Candidate {
	replicas := r.State.Current().Services[request.Service]
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := make([]Candidate, 0, len(replicas))
	for _, replica := range replicas {
		if replica.State != gypsum.ReplicaReady {
			continue
		}
		candidate := Candidate{Replica: replica, Tried: request.tried[replica.ID]}
		if tracked := r.replicaStates[replica.ID]; tracked != nil && tracked.incarnation == replica.Incarnation {
			candidate.InFlight, candidate.Latency = tracked.inFlight, tracked.stats.Latency()
			candidate.FailureRate, candidate.Full = tracked.stats.FailureRate(now), tracked.stats.Full(now)
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}

// beginAttempt counts a request at a replica.
func (r *Relay) beginAttempt(replica *gypsum.Replica) *replicaState {
	r.mu.Lock()
	defer r.mu.Unlock()
	tracked := r.replicaStates[replica.ID]
	if tracked == nil || tracked.incarnation != replica.Incarnation {
		tracked = &replicaState{incarnation: replica.Incarnation}
		r.replicaStates[replica.ID] = tracked
	}
	tracked.inFlight++
	return tracked
}

// endAttempt counts the end of a request at a replica. Nothing is learned from one whose
// client has left.
func (r *Relay) endAttempt(tracked *replicaState, elapsed time.Duration, outcome outcome) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	tracked.inFlight--
	switch outcome {
	case outcomeSucceeded:
		tracked.stats.RecordResponse(elapsed, now)
	case outcomeFull:
		tracked.stats.RecordOverload(now)
	case outcomeFailed:
		tracked.stats.RecordFailure(now)
	}
}

// outcome is what an attempt says of its replica.
type outcome int

// The outcomes of attempts.
const (
	outcomeUnknown outcome = iota
	outcomeSucceeded
	outcomeFull
	outcomeFailed
)

// outcomeOf returns what an attempt says of its replica. A replica that is short of
// time says so with 504, which is not its fault.
func outcomeOf(ctx context.Context, response *gypsum.LiveResponse, err error) outcome {
	switch {
	case ctx.Err() != nil || errors.Is(err, errClientDisconnected):
		return outcomeUnknown
	case errors.Is(err, gypsum.ErrNotExecuted):
		return outcomeFull
	case err != nil:
		return outcomeFailed
	case response.Status >= http.StatusInternalServerError && response.Status != http.StatusGatewayTimeout:
		return outcomeFailed
	}
	return outcomeSucceeded
}

// InFlight returns the number of requests that are at replicas now.
func (r *Relay) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	inFlight := 0
	for _, tracked := range r.replicaStates {
		inFlight += tracked.inFlight
	}
	return inFlight
}

// Prune forgets replicas that are no longer registered.
func (r *Relay) Prune(snapshot *state.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, tracked := range r.replicaStates {
		if snapshot.Replicas[id] == nil && tracked.inFlight == 0 {
			delete(r.replicaStates, id)
		}
	}
}

// Bounds of looks at replicas that broke off requests.
const (
	probeTimeout = time.Second
	// maxQueuedProbes is how many may wait: one for each replica of a large service.
	maxQueuedProbes = 64
)

// crashProbe is a replica that broke off a request without an answer.
type crashProbe struct {
	request     gypsum.RequestID
	fingerprint gypsum.Fingerprint
	replica     *gypsum.Replica
}

// queueProbe lets Run look whether a replica that broke off a request has died.
func (r *Relay) queueProbe(request *Request, replica *gypsum.Replica) {
	select {
	case r.probes <- crashProbe{request: request.ID, fingerprint: request.fingerprint, replica: replica}:
	default:
		r.Logger.Warn("replica not probed, too many wait", "request", request.ID, "replica", replica.ID)
	}
}

// Run looks at replicas that broke off requests, and tells all hosts of those that
// died, until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case probe := <-r.probes:
			r.probeReplica(ctx, probe)
		}
	}
}

// probeReplica looks at one replica.
func (r *Relay) probeReplica(ctx context.Context, probe crashProbe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if r.Transport.AcceptsConnections(ctx, probe.replica) || ctx.Err() != nil {
		return
	}
	err := r.Crashes.RecordCrash(ctx, probe.fingerprint, probe.replica.ID)
	r.Logger.Warn("replica died while it ran a request", "request", probe.request, "fingerprint", probe.fingerprint,
		"replica", probe.replica.ID, "error", err)
}

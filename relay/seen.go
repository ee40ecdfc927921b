package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/state"
)

// tracked is what this host has seen of a replica since its start.
type tracked struct {
	born     gypsum.Incarnation
	open     int
	standing Standing
}

// crashLimit is how many replicas a request may crash, from the users' pages.
const crashLimit = 3

// targets returns the replicas of a request's service that may get it.
func (r *Relay) targets(request *Request, now time.Time) []Target {
	replicas := r.State.Current().Services[request.Service]
	r.mu.Lock()
	defer r.mu.Unlock()
	targets := make([]Target, 0, len(replicas))
	for _, replica := range replicas {
		if replica.State != gypsum.ReplicaReady {
			continue
		}
		target := Target{Replica: replica, Tried: request.tried[replica.ID]}
		if seen := r.known[replica.ID]; seen != nil && seen.born == replica.Incarnation {
			target.Open, target.Latency = seen.open, seen.standing.Latency()
			target.Failing, target.Full = seen.standing.FailureRate(now), seen.standing.Full(now)
		}
		targets = append(targets, target)
	}
	return targets
}

// begin counts a request at a replica.
func (r *Relay) begin(replica *gypsum.Replica) *tracked {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := r.known[replica.ID]
	if seen == nil || seen.born != replica.Incarnation {
		seen = &tracked{born: replica.Incarnation}
		r.known[replica.ID] = seen
	}
	seen.open++
	return seen
}

// end counts the end of a request at a replica. Nothing is learned from one whose
// client has left.
func (r *Relay) end(seen *tracked, took time.Duration, outcome outcome) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	seen.open--
	switch outcome {
	case outcomeAnswered:
		seen.standing.Answered(took, now)
	case outcomeFull:
		seen.standing.Refused(now)
	case outcomeFailed:
		seen.standing.RecordFailure(now)
	}
}

// outcome is what an attempt says of its replica.
type outcome int

// The outcomes of attempts.
const (
	outcomeUnknown outcome = iota
	outcomeAnswered
	outcomeFull
	outcomeFailed
)

// outcomeOf returns what an attempt says of its replica. A replica that is short of
// time says so with 504, which is not its fault.
func outcomeOf(ctx context.Context, answer *gypsum.LiveResponse, err error) outcome {
	switch {
	case ctx.Err() != nil || errors.Is(err, errClientGone):
		return outcomeUnknown
	case errors.Is(err, gypsum.ErrNotExecuted):
		return outcomeFull
	case err != nil:
		return outcomeFailed
	case answer.Status >= http.StatusInternalServerError && answer.Status != http.StatusGatewayTimeout:
		return outcomeFailed
	}
	return outcomeAnswered
}

// Open returns the number of requests that are at replicas now.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	open := 0
	for _, seen := range r.known {
		open += seen.open
	}
	return open
}

// Keep forgets replicas that are no longer registered.
func (r *Relay) Keep(snapshot *state.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, seen := range r.known {
		if snapshot.Replicas[id] == nil && seen.open == 0 {
			delete(r.known, id)
		}
	}
}

// Bounds of looks at replicas that broke off requests.
const (
	crashProbe = time.Second
	// probesQueued is how many may wait: one for each replica of a large service.
	probesQueued = 64
)

// probe is a replica that broke off a request without an answer.
type probe struct {
	request     gypsum.RequestID
	fingerprint gypsum.Fingerprint
	replica     *gypsum.Replica
}

// noteBroken lets Run look whether a replica that broke off a request has died.
func (r *Relay) noteBroken(request *Request, replica *gypsum.Replica) {
	select {
	case r.probes <- probe{request: request.ID, fingerprint: request.fingerprint, replica: replica}:
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
		case broken := <-r.probes:
			r.look(ctx, broken)
		}
	}
}

// look looks at one replica.
func (r *Relay) look(ctx context.Context, broken probe) {
	ctx, cancel := context.WithTimeout(ctx, crashProbe)
	defer cancel()
	if r.Replicas.AcceptsConnections(ctx, broken.replica) || ctx.Err() != nil {
		return
	}
	err := r.Crashes.RecordCrash(ctx, broken.fingerprint, broken.replica.ID)
	r.Logger.Warn("replica died while it ran a request", "request", broken.request, "fingerprint", broken.fingerprint,
		"replica", broken.replica.ID, "error", err)
}

package relay

import (
	"context"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/state"
)

// tracked is what this host has seen of a replica.
type tracked struct {
	open     int
	latency  time.Duration
	failures int
	ejected  time.Time
}

// Bounds of what is remembered of replicas and requests.
const (
	// latencyWeight is the weight of the newest answer time.
	latencyWeight = 0.25
	// firstEjection and longestEjection bound the time for which a replica that failed is
	// taken only if all are.
	firstEjection   = 200 * time.Millisecond
	longestEjection = 3 * time.Second
	// crashLimit is how many replicas a request may crash, from the users' pages.
	crashLimit = 3
)

// targets returns the replicas of a request's service that may get it.
func (r *Relay) targets(request *Request, now time.Time) []Target {
	replicas := r.State.Now().Services[request.Service]
	r.mu.Lock()
	defer r.mu.Unlock()
	targets := make([]Target, 0, len(replicas))
	for _, replica := range replicas {
		if replica.State != gypsum.ReplicaReady {
			continue
		}
		target := Target{Replica: replica, Tried: request.tried[replica.ID]}
		if seen := r.known[replica.ID]; seen != nil {
			target.Open, target.Latency, target.Ejected = seen.open, seen.latency, now.Before(seen.ejected)
		}
		targets = append(targets, target)
	}
	return targets
}

// begin counts a request at a replica.
func (r *Relay) begin(id gypsum.BackendID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := r.known[id]
	if seen == nil {
		seen = &tracked{}
		r.known[id] = seen
	}
	seen.open++
}

// end counts the end of a request at a replica. Nothing is learned from one whose
// client has left.
func (r *Relay) end(id gypsum.BackendID, latency time.Duration, err error, left bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := r.known[id]
	seen.open--
	if left {
		return
	}
	if err != nil {
		seen.ejected = time.Now().Add(min(longestEjection, firstEjection<<min(seen.failures, 6)))
		seen.failures++
		return
	}
	seen.failures = 0
	if seen.latency == 0 {
		seen.latency = latency
		return
	}
	seen.latency += time.Duration(latencyWeight * float64(latency-seen.latency))
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
	if r.Replicas.Listens(ctx, broken.replica) || ctx.Err() != nil {
		return
	}
	err := r.Crashes.NoteCrash(ctx, broken.fingerprint, broken.replica.ID)
	r.Logger.Warn("replica died while it ran a request", "request", broken.request, "fingerprint", broken.fingerprint,
		"replica", broken.replica.ID, "error", err)
}

package relay

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/state"
)

// Relay serves live requests. Set the exported fields before use.
type Relay struct {
	Transport gypsum.ReplicaTransport
	// Crashes tells which requests crash replicas.
	Crashes  gypsum.CrashCounter
	State    *state.Registry
	Location gypsum.Location
	Logger   *slog.Logger
	Stats    Stats

	mu            sync.Mutex
	replicaStates map[gypsum.BackendID]*replicaState
	probes        chan crashProbe
}

// Stats counts what a relay did.
type Stats struct {
	Requests  atomic.Int64
	Responses atomic.Int64
	Attempts  atomic.Int64
	Resumes   atomic.Int64
	Refused   atomic.Int64
	Failed    atomic.Int64
}

// New returns a relay; its exported fields are set before use.
func New() *Relay {
	return &Relay{replicaStates: make(map[gypsum.BackendID]*replicaState), probes: make(chan crashProbe, maxQueuedProbes)}
}

// Request is a live request on its way.
type Request struct {
	gypsum.LiveRequest
	Route    *gypsum.Route
	Service  gypsum.ServiceName
	Arrived  time.Time
	Deadline time.Time

	fingerprint gypsum.Fingerprint
	tried       map[gypsum.BackendID]bool
	// sentAttempts is the number of replicas that were sent the request, ran whether one may
	// have run it.
	sentAttempts int
	mayHaveRun   bool
	lastReason   gypsum.Reason
}

// prepare fills in what the relay keeps of a request, and refuses what is hopeless.
func (r *Relay) prepare(request *Request) *gypsum.Refusal {
	r.Stats.Requests.Add(1)
	request.tried = make(map[gypsum.BackendID]bool)
	request.fingerprint = gypsum.FingerprintOf(request.Service, request.Target, request.Body)
	switch {
	case !time.Now().Before(request.Deadline):
		return r.refuse(request, gypsum.ReasonDeadlinePast, 0, "no time is left")
	case r.Crashes.CrashCount(request.fingerprint) >= crashLimit:
		return r.refuse(request, gypsum.ReasonPoison, 0, "the request crashes replicas")
	}
	return nil
}

// refuse returns the final answer to a request that has not run and will not.
func (r *Relay) refuse(request *Request, reason gypsum.Reason, retryAfter time.Duration, detail string) *gypsum.Refusal {
	if request.mayHaveRun {
		return r.fail(reason, http.StatusBadGateway, detail)
	}
	return gypsum.NotRun(reason, http.StatusServiceUnavailable, retryAfter, detail)
}

// fail returns the final answer to a request that may have run.
func (r *Relay) fail(reason gypsum.Reason, status int, detail string) *gypsum.Refusal {
	return gypsum.Unknown(reason, status, 0, detail)
}

// recordRefusal counts and logs the final answer to a request that got none from a replica.
func (r *Relay) recordRefusal(request *Request, refusal *gypsum.Refusal) *gypsum.Refusal {
	counter := &r.Stats.Failed
	if refusal.Outcome == gypsum.OutcomeNotRun {
		counter = &r.Stats.Refused
	}
	counter.Add(1)
	r.Logger.Warn("request refused or failed", "request", request.ID, "service", request.Service, "reason", refusal.Reason,
		"outcome", refusal.Outcome, "status", refusal.Status, "handed", request.sentAttempts,
		"retry_after_ms", refusal.RetryAfter.Milliseconds(), "after_ms", time.Since(request.Arrived).Milliseconds())
	return refusal
}

// nextReplica chooses the replica of the next attempt, or says why there is none.
func (r *Relay) nextReplica(request *Request) (*Candidate, *gypsum.Refusal) {
	now := time.Now()
	remaining := request.Deadline.Sub(now)
	switch {
	case remaining <= 0 && request.mayHaveRun:
		return nil, r.fail(gypsum.ReasonTimeout, http.StatusGatewayTimeout, "no answer in time")
	case remaining <= 0:
		return nil, r.refuse(request, gypsum.ReasonDeadlinePast, 0, "no replica was free in time")
	case request.sentAttempts >= request.Route.MaxAttempts:
		return nil, r.refuseExhausted(request)
	case request.mayHaveRun && !request.Route.Retryable():
		return nil, r.fail(gypsum.ReasonBackendFailed, http.StatusBadGateway, "the replica broke off its answer")
	}
	failureCost := FailureCost(request.Route.Retryable(), request.Route.LatencyTarget, remaining)
	candidate := Choose(r.candidates(request, now), r.Location, failureCost)
	if candidate == nil {
		return nil, r.refuse(request, gypsum.ReasonNoBackend, maxRetryAfter, "the service has no replica now")
	}
	if candidate.Tried {
		return nil, r.refuseExhausted(request)
	}
	request.tried[candidate.Replica.ID] = true
	r.Stats.Attempts.Add(1)
	return candidate, nil
}

// refuseExhausted returns the final answer to a request that all replicas it may reach have
// refused or failed.
func (r *Relay) refuseExhausted(request *Request) *gypsum.Refusal {
	if request.mayHaveRun {
		return r.fail(request.lastReason, http.StatusBadGateway, "replicas failed")
	}
	return r.refuse(request, gypsum.ReasonOverloaded, RetryAfter(time.Since(request.Arrived)), "replicas are busy or out of reach")
}

// Serve takes a request to a replica and returns the whole answer.
func (r *Relay) Serve(ctx context.Context, request *Request) (*gypsum.LiveResponse, *gypsum.Refusal) {
	if refusal := r.prepare(request); refusal != nil {
		return nil, r.recordRefusal(request, refusal)
	}
	var failed *gypsum.LiveResponse
	for {
		candidate, refusal := r.nextReplica(request)
		if refusal != nil {
			if failed != nil {
				r.Stats.Responses.Add(1)
				return failed, nil
			}
			return nil, r.recordRefusal(request, refusal)
		}
		response, err := r.attempt(ctx, request, candidate)
		switch {
		case ctx.Err() != nil:
			return nil, r.recordRefusal(request, r.fail(gypsum.ReasonCancelled, http.StatusBadGateway, "the client has left"))
		case err != nil:
			continue
		case response.Status >= http.StatusInternalServerError && request.Route.Retryable():
			failed = response
			continue
		}
		r.Stats.Responses.Add(1)
		return response, nil
	}
}

// isLastAttempt tells whether no attempt may follow the next one.
func (r *Relay) isLastAttempt(request *Request) bool {
	return !request.Route.Retryable() || request.sentAttempts+1 >= request.Route.MaxAttempts || len(r.State.Current().Services[request.Service]) < 2
}

// attemptTimeout returns how long a replica may take to answer or to begin a stream.
func (r *Relay) attemptTimeout(request *Request, candidate *Candidate, now time.Time) time.Duration {
	return AttemptTimeout(candidate.Latency, request.Route.LatencyTarget, request.Deadline.Sub(now), r.isLastAttempt(request))
}

// attempt makes one attempt at a replica.
func (r *Relay) attempt(ctx context.Context, request *Request, candidate *Candidate) (*gypsum.LiveResponse, error) {
	replica, startedAt := candidate.Replica, time.Now()
	timeout := r.attemptTimeout(request, candidate, startedAt)
	attemptCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	tracked := r.beginAttempt(replica)
	response, err := r.Transport.Exchange(attemptCtx, replica, &request.LiveRequest, request.Deadline.Sub(startedAt))
	elapsed := time.Since(startedAt)
	r.endAttempt(tracked, elapsed, outcomeOf(ctx, response, err))
	status := 0
	if response != nil {
		status = response.Status
	}
	r.Logger.Info("attempt", "request", request.ID, "service", request.Service, "replica", replica.ID, "attempt", request.sentAttempts+1,
		"open", candidate.InFlight, "latency_ms", candidate.Latency.Milliseconds(), "failing", candidate.FailureRate, "patience_ms", timeout.Milliseconds(),
		"took_ms", elapsed.Milliseconds(), "status", status, "error", err)
	r.recordAttempt(request, replica, err)
	return response, err
}

// recordAttempt keeps what an attempt means for the request's final answer.
func (r *Relay) recordAttempt(request *Request, replica *gypsum.Replica, err error) {
	switch {
	case errors.Is(err, gypsum.ErrNotSent):
		request.lastReason = gypsum.ReasonNoBackend
	case errors.Is(err, gypsum.ErrNotExecuted):
		request.sentAttempts++
		request.lastReason = gypsum.ReasonOverloaded
	default:
		request.sentAttempts++
		request.mayHaveRun = true
		request.lastReason = gypsum.ReasonBackendFailed
		connectionBroke := err != nil && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) &&
			!errors.Is(err, gypsum.ErrResponseMismatch) && !errors.Is(err, gypsum.ErrIncompleteResponse)
		if connectionBroke {
			r.queueProbe(request, replica)
		}
	}
}

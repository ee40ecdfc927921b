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
	Replicas gypsum.ReplicaTransport
	// Crashes tells which requests crash replicas.
	Crashes gypsum.CrashCounter
	State   *state.Registry
	Home    gypsum.Location
	Logger  *slog.Logger
	Stats   Stats

	mu     sync.Mutex
	known  map[gypsum.BackendID]*tracked
	probes chan probe
}

// Stats counts what a relay did.
type Stats struct {
	Requests atomic.Int64
	Answers  atomic.Int64
	Attempts atomic.Int64
	Resumes  atomic.Int64
	Refused  atomic.Int64
	Failed   atomic.Int64
}

// New returns a relay; its exported fields are set before use.
func New() *Relay {
	return &Relay{known: make(map[gypsum.BackendID]*tracked), probes: make(chan probe, probesQueued)}
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
	// handed is the number of replicas that were sent the request, ran whether one may
	// have run it.
	handed int
	ran    bool
	last   gypsum.Reason
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
	if request.ran {
		return r.fail(reason, http.StatusBadGateway, detail)
	}
	return gypsum.NotRun(reason, http.StatusServiceUnavailable, retryAfter, detail)
}

// fail returns the final answer to a request that may have run.
func (r *Relay) fail(reason gypsum.Reason, status int, detail string) *gypsum.Refusal {
	return gypsum.Unknown(reason, status, 0, detail)
}

// conclude counts and logs the final answer to a request that got none from a replica.
func (r *Relay) conclude(request *Request, refusal *gypsum.Refusal) *gypsum.Refusal {
	counter := &r.Stats.Failed
	if refusal.Outcome == gypsum.OutcomeNotRun {
		counter = &r.Stats.Refused
	}
	counter.Add(1)
	r.Logger.Warn("request refused or failed", "request", request.ID, "service", request.Service, "reason", refusal.Reason,
		"outcome", refusal.Outcome, "status", refusal.Status, "handed", request.handed,
		"retry_after_ms", refusal.RetryAfter.Milliseconds(), "after_ms", time.Since(request.Arrived).Milliseconds())
	return refusal
}

// next chooses the replica of the next attempt, or says why there is none.
func (r *Relay) next(request *Request) (*Target, *gypsum.Refusal) {
	now := time.Now()
	left := request.Deadline.Sub(now)
	switch {
	case left <= 0 && request.ran:
		return nil, r.fail(gypsum.ReasonTimeout, http.StatusGatewayTimeout, "no answer in time")
	case left <= 0:
		return nil, r.refuse(request, gypsum.ReasonDeadlinePast, 0, "no replica was free in time")
	case request.handed >= request.Route.MaxAttempts:
		return nil, r.giveUp(request)
	case request.ran && !request.Route.Retryable():
		return nil, r.fail(gypsum.ReasonBackendFailed, http.StatusBadGateway, "the replica broke off its answer")
	}
	failure := FailureCost(request.Route.Retryable(), request.Route.LatencyTarget, left)
	target := Choose(r.targets(request, now), r.Home, failure)
	if target == nil {
		return nil, r.refuse(request, gypsum.ReasonNoBackend, longestReturn, "the service has no replica now")
	}
	if target.Tried {
		return nil, r.giveUp(request)
	}
	request.tried[target.Replica.ID] = true
	r.Stats.Attempts.Add(1)
	return target, nil
}

// giveUp returns the final answer to a request that all replicas it may reach have
// refused or failed.
func (r *Relay) giveUp(request *Request) *gypsum.Refusal {
	if request.ran {
		return r.fail(request.last, http.StatusBadGateway, "replicas failed")
	}
	return r.refuse(request, gypsum.ReasonOverloaded, ReturnAfter(time.Since(request.Arrived)), "replicas are busy or out of reach")
}

// Serve takes a request to a replica and returns the whole answer.
func (r *Relay) Serve(ctx context.Context, request *Request) (*gypsum.LiveResponse, *gypsum.Refusal) {
	if refusal := r.prepare(request); refusal != nil {
		return nil, r.conclude(request, refusal)
	}
	var failure *gypsum.LiveResponse
	for {
		target, refusal := r.next(request)
		if refusal != nil {
			if failure != nil {
				r.Stats.Answers.Add(1)
				return failure, nil
			}
			return nil, r.conclude(request, refusal)
		}
		answer, err := r.attempt(ctx, request, target)
		switch {
		case ctx.Err() != nil:
			return nil, r.conclude(request, r.fail(gypsum.ReasonCancelled, http.StatusBadGateway, "the client has left"))
		case err != nil:
			continue
		case answer.Status >= http.StatusInternalServerError && request.Route.Retryable():
			failure = answer
			continue
		}
		r.Stats.Answers.Add(1)
		return answer, nil
	}
}

// final tells whether no attempt may follow the next one.
func (r *Relay) final(request *Request) bool {
	return !request.Route.Retryable() || request.handed+1 >= request.Route.MaxAttempts || len(r.State.Current().Services[request.Service]) < 2
}

// patience returns how long a replica may take to answer or to begin a stream.
func (r *Relay) patience(request *Request, target *Target, now time.Time) time.Duration {
	return Patience(target.Latency, request.Route.LatencyTarget, request.Deadline.Sub(now), r.final(request))
}

// attempt makes one attempt at a replica.
func (r *Relay) attempt(ctx context.Context, request *Request, target *Target) (*gypsum.LiveResponse, error) {
	replica, begun := target.Replica, time.Now()
	patience := r.patience(request, target, begun)
	attemptCtx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	seen := r.begin(replica)
	answer, err := r.Replicas.Exchange(attemptCtx, replica, &request.LiveRequest, request.Deadline.Sub(begun))
	took := time.Since(begun)
	r.end(seen, took, outcomeOf(ctx, answer, err))
	status := 0
	if answer != nil {
		status = answer.Status
	}
	r.Logger.Info("attempt", "request", request.ID, "service", request.Service, "replica", replica.ID, "attempt", request.handed+1,
		"open", target.Open, "latency_ms", target.Latency.Milliseconds(), "failing", target.Failing, "patience_ms", patience.Milliseconds(),
		"took_ms", took.Milliseconds(), "status", status, "error", err)
	r.note(request, replica, err)
	return answer, err
}

// note keeps what an attempt means for the request's final answer.
func (r *Relay) note(request *Request, replica *gypsum.Replica, err error) {
	switch {
	case errors.Is(err, gypsum.ErrNotSent):
		request.last = gypsum.ReasonNoBackend
	case errors.Is(err, gypsum.ErrNotExecuted):
		request.handed++
		request.last = gypsum.ReasonOverloaded
	default:
		request.handed++
		request.ran = true
		request.last = gypsum.ReasonBackendFailed
		broke := err != nil && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) &&
			!errors.Is(err, gypsum.ErrResponseMismatch) && !errors.Is(err, gypsum.ErrIncompleteResponse)
		if broke {
			r.noteBroken(request, replica)
		}
	}
}

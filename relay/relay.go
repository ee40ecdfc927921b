package relay

import (
	"context"
	"io"
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
	Replicas gypsum.Replicas
	// Crashes tells which requests crash replicas.
	Crashes gypsum.CrashBook
	State   *state.Keeper
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

// tracked is what this host has seen of a replica.
type tracked struct {
	open     int
	latency  time.Duration
	failures int
	shunned  time.Time
}

// Bounds of what is remembered of replicas and requests.
const (
	// latencyWeight is the weight of the newest answer time.
	latencyWeight = 0.25
	// firstShun and longestShun bound the time for which a replica that failed is
	// taken only if all are.
	firstShun   = 200 * time.Millisecond
	longestShun = 3 * time.Second
	// crashLimit is how many replicas a request may crash, from the users' pages.
	crashLimit = 3
)

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
			target.Open, target.Latency, target.Shunned = seen.open, seen.latency, now.Before(seen.shunned)
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

// end counts the end of a request at a replica. A latency of zero is a failure.
func (r *Relay) end(id gypsum.BackendID, latency time.Duration, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := r.known[id]
	seen.open--
	if failed {
		seen.shunned = time.Now().Add(min(longestShun, firstShun<<min(seen.failures, 6)))
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

// prepare fills in what the relay keeps of a request, and refuses what is hopeless.
func (r *Relay) prepare(request *Request) *gypsum.Refusal {
	r.Stats.Requests.Add(1)
	request.tried = make(map[gypsum.BackendID]bool)
	request.fingerprint = gypsum.FingerprintOf(request.Service, request.Target, request.Body)
	switch {
	case !time.Now().Before(request.Deadline):
		return r.refuse(request, gypsum.ReasonDeadlinePast, 0, "no time is left")
	case r.Crashes.Crashes(request.fingerprint) >= crashLimit:
		return r.refuse(request, gypsum.ReasonPoison, 0, "the request crashes replicas")
	}
	return nil
}

// refuse returns the final answer to a request that has not run and will not.
func (r *Relay) refuse(request *Request, reason gypsum.Reason, retryAfter time.Duration, detail string) *gypsum.Refusal {
	if request.ran {
		return r.fail(request, reason, http.StatusBadGateway, detail)
	}
	r.Stats.Refused.Add(1)
	r.Logger.Info("request refused", "request", request.ID, "service", request.Service, "reason", reason, "outcome", gypsum.OutcomeNotRun,
		"handed", request.handed, "retry_after_ms", retryAfter.Milliseconds(), "after_ms", time.Since(request.Arrived).Milliseconds())
	return gypsum.NotRun(reason, http.StatusServiceUnavailable, retryAfter, detail)
}

// fail returns the final answer to a request that may have run.
func (r *Relay) fail(request *Request, reason gypsum.Reason, status int, detail string) *gypsum.Refusal {
	r.Stats.Failed.Add(1)
	r.Logger.Warn("request failed", "request", request.ID, "service", request.Service, "reason", reason, "outcome", gypsum.OutcomeUnknown,
		"handed", request.handed, "after_ms", time.Since(request.Arrived).Milliseconds())
	return gypsum.Unknown(reason, status, 0, detail)
}

// next chooses the replica of the next attempt, or says why there is none.
func (r *Relay) next(request *Request) (*Target, *gypsum.Refusal) {
	now := time.Now()
	left := request.Deadline.Sub(now)
	switch {
	case left <= 0 && request.ran:
		return nil, r.fail(request, gypsum.ReasonTimeout, http.StatusGatewayTimeout, "no answer in time")
	case left <= 0:
		return nil, r.refuse(request, gypsum.ReasonDeadlinePast, 0, "no replica was free in time")
	case request.handed >= request.Route.MaxAttempts:
		return nil, r.giveUp(request)
	case request.ran && !request.Route.Repeatable():
		return nil, r.fail(request, gypsum.ReasonBackendFailed, http.StatusBadGateway, "the replica broke off its answer")
	}
	target := Choose(r.targets(request, now), r.Home)
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
		return r.fail(request, request.last, http.StatusBadGateway, "replicas failed")
	}
	return r.refuse(request, gypsum.ReasonOverloaded, ReturnAfter(time.Since(request.Arrived)), "replicas are busy or out of reach")
}

// Serve takes a request to a replica and returns the whole answer.
func (r *Relay) Serve(ctx context.Context, request *Request) (*gypsum.LiveAnswer, *gypsum.Refusal) {
	if refusal := r.prepare(request); refusal != nil {
		return nil, refusal
	}
	var failure *gypsum.LiveAnswer
	for {
		target, refusal := r.next(request)
		if refusal != nil {
			if failure != nil {
				return failure, nil
			}
			return nil, refusal
		}
		answer, err := r.attempt(ctx, request, target)
		switch {
		case ctx.Err() != nil:
			return nil, r.fail(request, gypsum.ReasonCancelled, http.StatusBadGateway, "the client has left")
		case err != nil:
			continue
		case answer.Status >= http.StatusInternalServerError && request.Route.Repeatable():
			failure = answer
			continue
		}
		r.Stats.Answers.Add(1)
		return answer, nil
	}
}

// attempt makes one attempt at a replica.
func (r *Relay) attempt(ctx context.Context, request *Request, target *Target) (*gypsum.LiveAnswer, error) {
	replica, begun := target.Replica, time.Now()
	left := request.Deadline.Sub(begun)
	last := !request.Route.Repeatable() || request.handed+1 >= request.Route.MaxAttempts || len(r.State.Now().Services[request.Service]) < 2
	patience := Patience(target.Latency, request.Route.Target, left, last)
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	r.begin(replica.ID)
	answer, err := r.Replicas.Exchange(ctx, replica, &request.LiveRequest, left)
	took := time.Since(begun)
	r.end(replica.ID, took, err != nil)
	status := 0
	if answer != nil {
		status = answer.Status
	}
	r.Logger.Info("attempt", "request", request.ID, "service", request.Service, "replica", replica.ID, "attempt", request.handed+1,
		"open", target.Open, "latency_ms", target.Latency.Milliseconds(), "patience_ms", patience.Milliseconds(),
		"took_ms", took.Milliseconds(), "status", status, "error", err)
	r.note(request, replica, err)
	return answer, err
}

// note keeps what an attempt means for the request's final answer.
func (r *Relay) note(request *Request, replica *gypsum.Replica, err error) {
	switch {
	case errors.Is(err, gypsum.ErrNotHanded):
		request.last = gypsum.ReasonNoBackend
	case errors.Is(err, gypsum.ErrNotExecuted):
		request.handed++
		request.last = gypsum.ReasonOverloaded
	default:
		request.handed++
		request.ran = true
		request.last = gypsum.ReasonBackendFailed
		broke := err != nil && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) &&
			!errors.Is(err, gypsum.ErrCrossed) && !errors.Is(err, gypsum.ErrBroken)
		if broke {
			r.noteBroken(request, replica)
		}
	}
}

// Sink takes a streamed answer.
type Sink interface {
	// Begin takes the status and header of the answer.
	Begin(answer *gypsum.LiveAnswer) error
	// Event takes the bytes of a whole event.
	Event(raw []byte) error
}

// ErrBrokenOff is a stream that has begun and cannot be brought to its end.
var ErrBrokenOff = errors.New("stream broken off")

// Stream takes a request to a replica and passes the events of the answer on as they
// come. A stream that may be resumed goes on at another replica. It returns a refusal
// if the answer has not begun, ErrBrokenOff if it has.
func (r *Relay) Stream(ctx context.Context, request *Request, sink Sink) error {
	if refusal := r.prepare(request); refusal != nil {
		return refusal
	}
	begun, last := false, int64(0)
	for {
		target, refusal := r.next(request)
		if refusal != nil {
			if begun {
				return ErrBrokenOff
			}
			return refusal
		}
		if begun {
			r.Stats.Resumes.Add(1)
		}
		err := r.streamOnce(ctx, request, target, sink, &begun, &last)
		if err == nil {
			r.Stats.Answers.Add(1)
			return nil
		}
		if ctx.Err() != nil || (begun && !request.Route.Resumable) {
			return ErrBrokenOff
		}
	}
}

// streamOnce passes on the events of one replica.
func (r *Relay) streamOnce(ctx context.Context, request *Request, target *Target, sink Sink, begun *bool, last *int64) error {
	replica, started := target.Replica, time.Now()
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	r.begin(replica.ID)
	err := r.passEvents(ctx, request, replica, sink, begun, last)
	r.end(replica.ID, time.Since(started), err != nil)
	r.note(request, replica, err)
	r.Logger.Info("stream attempt", "request", request.ID, "service", request.Service, "replica", replica.ID,
		"attempt", request.handed, "last_event", *last, "took_ms", time.Since(started).Milliseconds(), "error", err)
	return err
}

// passEvents passes on the answer of a replica.
func (r *Relay) passEvents(ctx context.Context, request *Request, replica *gypsum.Replica, sink Sink, begun *bool, last *int64) error {
	stream, err := r.Replicas.Stream(ctx, replica, &request.LiveRequest, time.Until(request.Deadline), *last)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	answer := stream.Answer()
	if *begun && (answer.Status != http.StatusOK || !stream.Events()) {
		return ErrBrokenOff
	}
	if !*begun {
		*begun = true
		if err := sink.Begin(answer); err != nil {
			return err
		}
		if !stream.Events() {
			return nil
		}
	}
	for {
		number, raw, err := stream.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if number > 0 && number != *last+1 {
			return ErrBrokenOff
		}
		if err := sink.Event(raw); err != nil {
			return err
		}
		*last = max(*last, number)
	}
}

package relay

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/limit"
	"github.com/gypsumhook/gypsum/origin"
	"github.com/gypsumhook/gypsum/reach"
	"github.com/gypsumhook/gypsum/share"
	"github.com/gypsumhook/gypsum/shed"
	"github.com/gypsumhook/gypsum/state"
)

// Relay serves live requests. Create it with New and set the exported fields before use.
type Relay struct {
	Transport gypsum.ReplicaTransport
	// Crashes counts the replicas that each request has crashed.
	Crashes  gypsum.CrashCounter
	Registry *state.Registry
	// Sends divides the requests to a service among accounts while its replicas are full. HostCount
	// returns the number of daemons that send to the same replicas. Without it, there is one.
	Sends     share.Sends
	HostCount func() int
	// Limiter keeps the requests to each replica within the rate that it accepts.
	Limiter *limit.Limiter
	// Origins remembers which software versions began the streams.
	Origins *origin.Tracker
	// Reach knows the services that only other hosts reach. TransportVia returns the transport
	// through the daemon at an address.
	Reach        *reach.Tracker
	TransportVia func(address string) gypsum.ReplicaTransport
	// Runs is told of the requests of accounts that replicas began to run, nil if nothing counts
	// them. Reward calls are not among them.
	Runs gypsum.RunObserver

	// Policy decides about live requests that wait because all replicas are full.
	Policy gypsum.Policy
	// Buffers bounds what is held of streams for clients that read slowly.
	Buffers *buffer.Pool

	Location gypsum.Location
	Logger   *slog.Logger
	Stats    Stats

	mu            sync.Mutex
	replicaStates map[gypsum.BackendID]*replicaState
	queues        map[gypsum.ServiceName]*waitQueue
	probes        chan crashProbe
	// served are requests with counted crashes that a replica has served.
	served   chan servedRequest
	serving  servedRequests
	transits TransitEstimator
}

// Stats counts the requests, responses and attempts of a Relay since its start.
type Stats struct {
	Requests  atomic.Int64
	Responses atomic.Int64
	Attempts  atomic.Int64
	Resumes   atomic.Int64
	// Detours counts the attempts through other hosts.
	Detours atomic.Int64
	// ClientResumes counts the streams that clients took up again.
	ClientResumes atomic.Int64
	// BeyondShare counts the requests that were refused since their account had used its share.
	BeyondShare atomic.Int64
	Refused     atomic.Int64
	Failed      atomic.Int64
	Waits       WaitStats
	// SlowClients counts the streams that were aborted because their clients read too slowly.
	SlowClients atomic.Int64
}

// New returns a Relay with the default Policy and Buffers, for one daemon. Its other exported fields
// are not set yet.
func New() *Relay {
	return &Relay{
		HostCount: func() int { return 1 },
		Policy:    shed.NewCostPolicy(), Buffers: buffer.NewPool(defaultBufferMemory), replicaStates: make(map[gypsum.BackendID]*replicaState), queues: make(map[gypsum.ServiceName]*waitQueue),
		probes: make(chan crashProbe, maxQueuedProbes), served: make(chan servedRequest, maxQueuedProbes),
		serving: newServedRequests(),
	}
}

// Request is a live request and the state of its attempts.
type Request struct {
	gypsum.LiveRequest
	Route    *gypsum.Route
	Service  gypsum.ServiceName
	Arrived  time.Time
	Deadline time.Time
	// Priority is that of the account or, without one, of the route, 0 being the highest.
	Priority int
	// Recheck decides before each send to a replica whether the request may still be sent. It
	// returns nil if so. It is nil for the requests of the daemon itself.
	Recheck func() *gypsum.Refusal
	// Resume says where the client takes up a stream again, nil for a new request.
	Resume *gypsum.StreamResume

	isReward bool
	// software is the software version that began the response, nil before the first event.
	// Only replicas of the same version can continue it.
	software    *gypsum.SoftwareVersion
	fingerprint gypsum.Fingerprint
	// tried are the paths that attempts used, reached the replicas that may have received the
	// request.
	tried   map[attemptPath]bool
	reached map[gypsum.BackendID]bool
	// foundFull are the replicas that refused the request as full and may be tried again.
	foundFull map[gypsum.BackendID]bool
	// reservation is the replica with a slot reserved for the request, nil for none.
	reservation *replicaState
	reservedAt  gypsum.BackendID
	// sentAttempts is the number of replicas that the request was sent to. mayHaveRun
	// means that one of them may have run it.
	sentAttempts int
	mayHaveRun   bool
	lastReason   gypsum.Reason
	// lastUnconnected means that the last attempt got no connection, lastUnanswered that it got
	// no response in time or did not get through another host.
	lastUnconnected bool
	lastUnanswered  bool
	// permitWait is the shortest time until a replica that limits its request rate accepts
	// the request, 0 if none was tried.
	permitWait time.Duration
	// runObserved means that Runs was told of the request.
	runObserved bool
}

// attemptPath is a replica and the host through which the request goes to it, empty for the
// direct path.
type attemptPath struct {
	replica gypsum.BackendID
	via     gypsum.HostID
}

// prepareRequest initializes the state of a request. It refuses requests that checkRequest refuses,
// and those beyond the share of their account.
func (r *Relay) prepareRequest(request *Request) *gypsum.Refusal {
	if refusal := r.checkRequest(request); refusal != nil {
		return refusal
	}
	refusal := r.admitToShare(request, r.Sends.Admit)
	if refusal != nil {
		r.Stats.BeyondShare.Add(1)
	}
	return refusal
}

// checkRequest initializes the state of a request. It refuses requests without remaining time
// and those that crash replicas. Reward calls belong to accepted items, which are owed a result
// whatever crashed while they ran.
func (r *Relay) checkRequest(request *Request) *gypsum.Refusal {
	request.tried, request.reached = make(map[attemptPath]bool), make(map[gypsum.BackendID]bool)
	request.foundFull = make(map[gypsum.BackendID]bool)
	// The service is no part of it: crashes count wherever the route of the request moves.
	request.fingerprint = gypsum.FingerprintOf(gypsum.HostNameOf(request.HostName), request.Target, request.Body)
	switch {
	case !time.Now().Before(request.Deadline):
		return r.requestRefusal(request, gypsum.ReasonDeadlineExceeded, 0, "no time is left")
	case !request.isReward && r.Crashes.CrashCount(request.fingerprint) >= crashLimit:
		return r.requestRefusal(request, gypsum.ReasonPoison, 0, "the request crashes replicas")
	}
	return nil
}

// admitFunc is share.Sends.Admit or Peek.
type admitFunc func(service gypsum.ServiceName, account gypsum.AccountName, now time.Time) (ok bool, retryAfter time.Duration)

// admitToShare refuses a request whose account has used its share of a service whose replicas are
// full.
func (r *Relay) admitToShare(request *Request, admit admitFunc) *gypsum.Refusal {
	if !request.AccountsInForce || request.isReward {
		return nil
	}
	ok, retryAfter := admit(request.Service, request.Account, time.Now())
	if ok {
		return nil
	}
	return r.requestRefusal(request, gypsum.ReasonOverloaded, retryAfter, "the account has used its share of the replicas, which are full")
}

// recordFull records that a request was refused since all replicas of its service are full.
func (r *Relay) recordFull(request *Request) {
	if !request.AccountsInForce || request.isReward || request.lastReason != gypsum.ReasonOverloaded {
		return
	}
	now := time.Now()
	perSecond := 0.0
	for _, candidate := range r.candidates(request.Service, false, now) {
		perSecond += float64(max(1, candidate.Replica.Slots)) / max(minServiceTime, candidate.expectedServiceTime()).Seconds()
	}
	r.Sends.RecordFull(request.Service, perSecond/float64(max(1, r.HostCount())), now)
}

// requestRefusal returns the refusal of a request: with outcome not_run, or unknown if the
// request may have run.
func (r *Relay) requestRefusal(request *Request, reason gypsum.Reason, retryAfter time.Duration, detail string) *gypsum.Refusal {
	if request.mayHaveRun {
		return r.failureRefusal(reason, http.StatusBadGateway, detail)
	}
	return gypsum.NotRunRefusal(reason, http.StatusServiceUnavailable, retryAfter, detail)
}

// failureRefusal returns the refusal of a request that may have run.
func (r *Relay) failureRefusal(reason gypsum.Reason, status int, detail string) *gypsum.Refusal {
	return gypsum.UnknownRefusal(reason, status, 0, detail)
}

// StopRetryAfter is the retry delay of a request that has not run since its host stops. Other hosts serve it at once.
const StopRetryAfter = 50 * time.Millisecond

// cancelledRefusal returns the refusal of a request whose context has ended.
func (r *Relay) cancelledRefusal(ctx context.Context, request *Request) *gypsum.Refusal {
	if isStopping(ctx) {
		return r.requestRefusal(request, gypsum.ReasonShutdown, StopRetryAfter, "the host is stopping")
	}
	return r.failureRefusal(gypsum.ReasonCancelled, http.StatusBadGateway, "the client has left")
}

// isStopping reports whether a context has ended since the daemon is stopping.
func isStopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), gypsum.ErrStopping) }

// recordRefusal counts and logs the refusal of a request.
func (r *Relay) recordRefusal(request *Request, refusal *gypsum.Refusal) *gypsum.Refusal {
	counter := &r.Stats.Failed
	if refusal.Outcome == gypsum.OutcomeNotRun {
		counter = &r.Stats.Refused
	}
	counter.Add(1)
	r.Logger.Warn("request refused or failed", "request", request.ID, "account", request.Account, "service", request.Service, "reason", refusal.Reason,
		"outcome", refusal.Outcome, "status", refusal.Status, "handed", request.sentAttempts,
		"retry_after_ms", refusal.RetryAfter.Milliseconds(), "after_ms", time.Since(request.Arrived).Milliseconds())
	return refusal
}

// nextReplica chooses the replica of the next attempt and obtains the permit to send the
// request to it, or returns the refusal if there can be none.
func (r *Relay) nextReplica(ctx context.Context, request *Request) (*Candidate, *gypsum.Refusal) {
	for {
		r.awaitDetour(ctx, request)
		if refusal := r.awaitSlot(ctx, request); refusal != nil {
			return nil, refusal
		}
		candidate, isLast, refusal := r.chooseReplica(request)
		if refusal != nil {
			return nil, refusal
		}
		maxWait := time.Duration(0)
		if isLast {
			maxWait = PermitWait(request.Route.LatencyTarget, time.Until(request.Deadline))
		}
		work := request.work(max(candidate.Latency, minProbeInterval))
		err := r.Limiter.AcquireFor(ctx, candidate.Replica, maxWait, &work)
		var limited *gypsum.RateLimitError
		switch {
		case err == nil:
			if refusal := r.recheck(request); refusal != nil {
				return nil, refusal
			}
			r.Stats.Attempts.Add(1)
			if candidate.Via != nil {
				r.Stats.Detours.Add(1)
			}
			return candidate, nil
		case errors.As(err, &limited):
			r.releaseSlot(request)
			// Without this, a request that the replica refused as full would ask for its slot
			// again at once.
			delete(request.foundFull, candidate.Replica.ID)
			if request.permitWait == 0 || limited.RetryAfter < request.permitWait {
				request.permitWait = limited.RetryAfter
			}
			request.lastReason = gypsum.ReasonOverloaded
		default:
			return nil, r.cancelledRefusal(ctx, request)
		}
	}
}

// recheck returns the refusal of a request that may no longer be sent. It is called after all waits
// before a send.
func (r *Relay) recheck(request *Request) *gypsum.Refusal {
	if request.Recheck == nil {
		return nil
	}
	refusal := request.Recheck()
	if refusal != nil && request.mayHaveRun {
		return r.failureRefusal(refusal.Reason, http.StatusBadGateway, refusal.Detail)
	}
	return refusal
}

// chooseReplica chooses the replica of the next attempt, or returns the refusal if there can
// be none. isLast means that no other replica is left to try.
func (r *Relay) chooseReplica(request *Request) (chosen *Candidate, isLast bool, refusal *gypsum.Refusal) {
	now := time.Now()
	remaining := request.Deadline.Sub(now)
	switch {
	case remaining <= 0 && request.mayHaveRun:
		return nil, false, r.failureRefusal(gypsum.ReasonTimeout, http.StatusGatewayTimeout, "no answer in time")
	case remaining <= 0:
		return nil, false, r.requestRefusal(request, gypsum.ReasonDeadlineExceeded, 0, "no replica was free in time")
	case request.sentAttempts >= request.Route.MaxAttempts:
		return nil, false, r.exhaustedRefusal(request)
	case request.mayHaveRun && !request.Route.Retryable():
		return nil, false, r.failureRefusal(gypsum.ReasonBackendFailed, http.StatusBadGateway, "the replica broke off its answer")
	}
	failureCost := FailureCost(request.Route.Retryable(), request.Route.LatencyTarget, remaining)
	candidates := slices.DeleteFunc(r.candidates(request.Service, false, now), func(c Candidate) bool { return !request.canContinueOn(c.Replica) })
	untried := 0
	for i := range candidates {
		candidates[i].Tried = request.reached[candidates[i].Replica.ID] || request.tried[candidates[i].path()]
		if !candidates[i].Tried {
			untried++
		}
	}
	candidate := ChooseReplica(candidates, r.Location, failureCost)
	if reserved := request.reservedCandidate(candidates); reserved != nil {
		candidate = reserved
	}
	if candidate == nil {
		detail := "the service has no replica now"
		if request.software != nil {
			detail = "the service has no replica of the software version that began the stream"
		}
		return nil, false, r.requestRefusal(request, gypsum.ReasonNoBackend, maxRetryAfter, detail)
	}
	if candidate.Tried {
		return nil, false, r.exhaustedRefusal(request)
	}
	request.tried[candidate.path()] = true
	return candidate, untried == 1, nil
}

// reservedCandidate returns the candidate with a slot reserved for the request, nil if there is
// none.
func (r *Request) reservedCandidate(candidates []Candidate) *Candidate {
	if r.reservation == nil {
		return nil
	}
	for i := range candidates {
		if candidates[i].Replica.ID == r.reservedAt && !candidates[i].Tried {
			candidates[i].InFlight-- // the reserved slot itself
			return &candidates[i]
		}
	}
	return nil
}

// exhaustedRefusal returns the refusal of a request that all available replicas have
// refused or failed.
func (r *Relay) exhaustedRefusal(request *Request) *gypsum.Refusal {
	if request.mayHaveRun {
		return r.failureRefusal(request.lastReason, http.StatusBadGateway, "replicas failed")
	}
	r.recordFull(request)
	retryAfter := max(RetryAfter(time.Since(request.Arrived)), min(request.permitWait, maxRetryAfter))
	return r.requestRefusal(request, gypsum.ReasonOverloaded, retryAfter, "replicas are busy or out of reach")
}

// Serve forwards a request to a replica and returns the complete response. A server
// error is retried if the route allows it. If no further attempt is possible, Serve
// returns the last response with a server error or, if there was none, a refusal.
func (r *Relay) Serve(ctx context.Context, request *Request) (*gypsum.LiveResponse, *gypsum.Refusal) {
	r.Stats.Requests.Add(1)
	if refusal := r.prepareRequest(request); refusal != nil {
		return nil, r.recordRefusal(request, refusal)
	}
	defer r.releaseSlot(request)
	var failed *gypsum.LiveResponse
	for {
		candidate, refusal := r.nextReplica(ctx, request)
		if refusal != nil {
			if failed != nil {
				r.Stats.Responses.Add(1)
				return failed, nil
			}
			return nil, r.recordRefusal(request, refusal)
		}
		response, err := r.runAttempt(ctx, request, candidate, r.attemptTimeout(request, candidate, time.Now()))
		switch {
		case ctx.Err() != nil:
			return nil, r.recordRefusal(request, r.cancelledRefusal(ctx, request))
		case err != nil:
			continue
		case response.Status >= http.StatusInternalServerError && request.Route.Retryable():
			failed = response
			continue
		case request.mayNotPassOn(response.Status):
			return nil, r.recordRefusal(request, r.failureRefusal(gypsum.ReasonBackendFailed, http.StatusBadGateway, unprovenDetail))
		case response.Status/100 == 2:
			r.recordServed(request, candidate.Replica)
		}
		r.Stats.Responses.Add(1)
		return response, nil
	}
}

// unprovenDetail is the detail of a failure in place of a status that may not be passed on.
const unprovenDetail = "the replica's status would promise that the request has not run"

// mayNotPassOn reports whether the status of a replica's response, which does not confirm that the request has not run,
// would tell the client so by the platform's documentation. A request that may run again loses nothing by it.
func (r *Request) mayNotPassOn(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return !r.Route.Retryable()
	}
	return false
}

// canContinueOn reports whether a replica can continue the response to a request, if it has
// begun.
func (r *Request) canContinueOn(replica *gypsum.Replica) bool {
	return r.software == nil || *r.software == replica.Software
}

// isLastAttempt reports whether no other attempt may follow the next one.
func (r *Relay) isLastAttempt(request *Request) bool {
	if !request.Route.Retryable() || request.sentAttempts+1 >= request.Route.MaxAttempts {
		return true
	}
	usable := 0
	for _, replica := range r.Registry.Current().Services[request.Service] {
		if request.canContinueOn(replica) {
			usable++
		}
	}
	return usable < 2
}

// attemptTimeout returns how long a replica may take to respond or to start a stream.
func (r *Relay) attemptTimeout(request *Request, candidate *Candidate, now time.Time) time.Duration {
	timeout := AttemptTimeout(candidate.Latency, request.Route.LatencyTarget, request.Deadline.Sub(now), r.isLastAttempt(request))
	if candidate.Via != nil {
		timeout = min(timeout+detourTime, request.Deadline.Sub(now))
	}
	return timeout
}

// transport returns the transport of an attempt.
func (r *Relay) transport(candidate *Candidate) gypsum.ReplicaTransport {
	if candidate.Via == nil {
		return r.Transport
	}
	return r.TransportVia(candidate.Via.Address)
}

// detourTime is what another host on the way to a replica adds to the time of an attempt: a round
// trip between regions and a busy host.
const detourTime = 150 * time.Millisecond

// Bounds of the wait for the check whether another host reaches a service.
const (
	// maxDetourWait applies to a request for which no replica has accepted a connection.
	maxDetourWait = 700 * time.Millisecond
	// maxUnansweredWait applies to a request that got no response in time. The next attempt could
	// be its last and use an open connection that is cut off as well. If the replica was only
	// slow, the check takes a round trip.
	maxUnansweredWait = 250 * time.Millisecond
)

// awaitDetour waits for the check of the request's service if the last attempt got no connection or
// no response and no other host is known that reaches the service.
func (r *Relay) awaitDetour(ctx context.Context, request *Request) {
	maxWait := time.Duration(0)
	switch {
	case r.Reach.Detour(request.Service) != nil:
	case request.lastUnconnected:
		maxWait = maxDetourWait
	case request.lastUnanswered && request.Route.Retryable():
		maxWait = maxUnansweredWait
	}
	if maxWait == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(maxWait, time.Until(request.Deadline)/2))
	defer cancel()
	r.Reach.AwaitCheck(ctx, request.Service)
}

// runAttempt sends the request to one replica, which has to respond within timeout.
func (r *Relay) runAttempt(ctx context.Context, request *Request, candidate *Candidate, timeout time.Duration) (*gypsum.LiveResponse, error) {
	replica, startedAt := candidate.Replica, time.Now()
	attemptCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	attemptCtx, send := r.traceSend(attemptCtx, request, candidate, startedAt)
	tracked := r.beginAttempt(request, replica)
	response, err := r.transport(candidate).RoundTrip(attemptCtx, replica, &request.LiveRequest, request.Deadline.Sub(startedAt))
	elapsed := time.Since(startedAt)
	r.observeRun(request, send, err)
	r.endAttempt(tracked, request, elapsed, attemptResultOf(ctx, candidate, response, err))
	status := 0
	if response != nil {
		status = response.Status
	}
	r.Logger.Info("attempt", "request", request.ID, "service", request.Service, "replica", replica.ID, "via", candidate.via(), "attempt", request.sentAttempts+1,
		"open", candidate.InFlight, "latency_ms", candidate.Latency.Milliseconds(), "failing", candidate.FailureRate, "patience_ms", timeout.Milliseconds(),
		"took_ms", elapsed.Milliseconds(), "status", status, "error", err)
	r.recordReach(ctx, request, candidate, startedAt, response, err)
	r.recordAttempt(request, replica, startedAt, err)
	return response, err
}

// recordReach records what an attempt shows about the path to the service.
func (r *Relay) recordReach(ctx context.Context, request *Request, candidate *Candidate, startedAt time.Time, response *gypsum.LiveResponse, err error) {
	responded := (response != nil && !errors.Is(err, errStreamIdleTimeout) && !errors.Is(err, context.DeadlineExceeded)) || errors.Is(err, gypsum.ErrNotRun) || errors.Is(err, gypsum.ErrResponseMismatch) || errors.Is(err, gypsum.ErrIncompleteResponse)
	switch {
	case !responded && ctx.Err() != nil:
	case candidate.Via != nil && errors.Is(err, gypsum.ErrPeerFailed) && !errors.Is(err, context.DeadlineExceeded):
		r.Reach.RecordDetourFailure(request.Service, candidate.Via.Host)
	case candidate.Via != nil && (errors.Is(err, context.DeadlineExceeded) || errors.Is(err, gypsum.ErrNotSent)):
		r.Reach.RecheckDetour(request.Service, candidate.Via.Host)
	case candidate.Via != nil:
	case responded:
		r.Reach.RecordResponse(request.Service, time.Now())
	default:
		r.Reach.RecordFailure(request.Service, startedAt)
	}
}

// recordAttempt updates the state of the request after an attempt that began at startedAt. If the
// connection broke, or the replica was silent, it queues a probe of the replica.
func (r *Relay) recordAttempt(request *Request, replica *gypsum.Replica, startedAt time.Time, err error) {
	request.lastUnconnected = errors.Is(err, gypsum.ErrNotSent)
	request.lastUnanswered = errors.Is(err, context.DeadlineExceeded) || errors.Is(err, gypsum.ErrPeerFailed)
	if !request.lastUnconnected {
		request.reached[replica.ID] = true
	}
	switch {
	case request.lastUnconnected:
		// Without this, a request that the replica refused as full would try to connect again at
		// once, until its deadline.
		delete(request.foundFull, replica.ID)
		request.lastReason = gypsum.ReasonNoBackend
	case errors.Is(err, gypsum.ErrNotRun):
		request.sentAttempts++
		request.foundFull[replica.ID] = true
		request.lastReason = gypsum.ReasonOverloaded
	default:
		request.sentAttempts++
		delete(request.foundFull, replica.ID)
		request.mayHaveRun = true
		request.lastReason = gypsum.ReasonBackendFailed
		connectionBroke := err != nil && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) &&
			!errors.Is(err, errClientDisconnected) && !errors.Is(err, gypsum.ErrResponseMismatch) && !errors.Is(err, gypsum.ErrIncompleteResponse) && !errors.Is(err, gypsum.ErrPeerFailed)
		switch {
		case request.isReward:
		case connectionBroke:
			r.queueProbe(request, replica, false)
		case errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, gypsum.ErrPeerFailed):
			r.probeSilent(request, replica, startedAt)
		}
	}
}

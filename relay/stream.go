package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// Sink receives a streamed response.
type Sink interface {
	// BeginResponse receives the status and header of the response.
	BeginResponse(response *gypsum.LiveResponse) error
	// WriteEvent receives the bytes of a complete event.
	WriteEvent(raw []byte) error
	// Abort makes a write in progress and all later ones fail. It may be called concurrently.
	Abort()
}

// ErrStreamInterrupted means that a stream has begun and cannot be completed.
var ErrStreamInterrupted = errors.New("response stream interrupted")

// ServeStream forwards a request to a replica and passes on the events of the response as
// they arrive. A resumable stream that fails continues at another replica. ServeStream
// returns a *gypsum.Refusal if the response has not begun, and ErrStreamInterrupted if
// it has or the client has disconnected.
func (r *Relay) ServeStream(ctx context.Context, request *Request, sink Sink) error {
	r.Stats.Requests.Add(1)
	if refusal := r.prepareRequest(request); refusal != nil {
		return r.recordRefusal(request, refusal)
	}
	if refusal := r.resumeStream(ctx, request); refusal != nil {
		return r.recordRefusal(request, refusal)
	}
	defer r.releaseSlot(request)
	buffered := r.newStreamBuffer(ctx, request.Account, sink)
	err := r.serveBuffered(ctx, request, buffered)
	finishCtx := ctx
	if refusal := (*gypsum.Refusal)(nil); errors.As(err, &refusal) {
		// The client gets the refusal, although ctx may have ended.
		finishCtx = context.WithoutCancel(ctx)
	}
	// What has arrived before a failure is passed on too.
	flushErr := buffered.finish(finishCtx)
	if errors.Is(flushErr, ErrClientTooSlow) {
		r.Stats.SlowClients.Add(1)
		r.Logger.Warn("stream aborted: client reads too slowly", "request", request.ID, "service", request.Service, "account", request.Account,
			"after_ms", time.Since(request.Arrived).Milliseconds())
	}
	if err == nil && flushErr != nil {
		r.recordRefusal(request, r.failureRefusal(gypsum.ReasonCancelled, http.StatusBadGateway, "the client has left"))
		return ErrStreamInterrupted
	}
	if err == nil {
		r.Stats.Responses.Add(1)
	}
	return err
}

// serveBuffered forwards the request to replicas until one has completed the response.
func (r *Relay) serveBuffered(ctx context.Context, request *Request, sink Sink) error {
	begun, lastEvent := false, int64(0)
	if request.Resume != nil {
		lastEvent = request.Resume.After
	}
	for {
		candidate, refusal := r.nextReplica(ctx, request)
		if refusal != nil {
			r.recordRefusal(request, refusal)
			if begun {
				return ErrStreamInterrupted
			}
			return refusal
		}
		if begun {
			r.Stats.Resumes.Add(1)
		}
		err := r.streamAttempt(ctx, request, candidate, sink, &begun, &lastEvent)
		if err == nil {
			return nil
		}
		switch {
		case ctx.Err() != nil || errors.Is(err, errClientDisconnected):
			refusal := r.recordRefusal(request, r.cancelledRefusal(ctx, request))
			if !begun && isStopping(ctx) {
				return refusal
			}
			return ErrStreamInterrupted
		case begun && !request.Route.Resumable:
			r.recordRefusal(request, r.failureRefusal(gypsum.ReasonBackendFailed, http.StatusBadGateway, "the replica broke off its stream"))
			return ErrStreamInterrupted
		}
	}
}

// unknownOriginRetryAfter is the retry delay of a client whose stream's origin is not known. Its
// record may be on the way.
const unknownOriginRetryAfter = 500 * time.Millisecond

// resumeStream binds a request that takes up a stream to the service and the software version
// that began it.
func (r *Relay) resumeStream(ctx context.Context, request *Request) *gypsum.Refusal {
	if request.Resume == nil {
		return nil
	}
	found, ok := r.Origins.Find(ctx, request.Resume.First, request.Route.Services)
	switch {
	case !ok:
		return r.requestRefusal(request, gypsum.ReasonOriginUnknown, unknownOriginRetryAfter, "it is not known which software version began the stream")
	case !slices.ContainsFunc(request.Route.Services, func(s gypsum.WeightedService) bool { return s.Service == found.Service }):
		return r.requestRefusal(request, gypsum.ReasonNoBackend, 0, "the route no longer leads to the service that began the stream")
	}
	request.Service, request.software = found.Service, &found.Software
	r.Stats.ClientResumes.Add(1)
	r.Logger.Info("client resumes stream", "request", request.ID, "first", request.Resume.First, "after", request.Resume.After,
		"service", found.Service, "software", found.Software)
	return nil
}

// streamIdleTimeout is how long a resumable stream may pause before it is resumed
// elsewhere: half of the shortest pause after which clients abandon a stream, by the
// user documentation.
const streamIdleTimeout = time.Second

// errStreamIdleTimeout is the cancellation cause of a stream whose replica sent nothing in
// time.
var errStreamIdleTimeout = errors.New("replica sent no event in time")

// errClientDisconnected means that the client no longer accepts the response.
var errClientDisconnected = errors.New("client disconnected")

// errReplicaServerError means that a replica returned a server error instead of a stream.
var errReplicaServerError = errors.New("replica returned a server error")

// errStatusNotPassedOn means that a replica responded with a status that may not be passed on.
var errStatusNotPassedOn = fmt.Errorf("%s: %w", unprovenDetail, gypsum.ErrIncompleteResponse)

// streamAttempt streams the response of one replica.
func (r *Relay) streamAttempt(ctx context.Context, request *Request, candidate *Candidate, sink Sink, begun *bool, lastEvent *int64) error {
	replica, startedAt := candidate.Replica, time.Now()
	deadlineCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	streamCtx, cancelStream := context.WithCancelCause(deadlineCtx)
	defer cancelStream(nil)
	timeout := r.attemptTimeout(request, candidate, startedAt)
	idleTimer := time.AfterFunc(timeout, func() { cancelStream(errStreamIdleTimeout) })
	defer idleTimer.Stop()
	lastAttempt := false
	var firstEvent time.Duration
	tracked := r.beginAttempt(request, replica)
	response, err := r.forwardEvents(streamCtx, request, candidate, sink, begun, lastEvent, func() {
		if firstEvent == 0 {
			firstEvent = time.Since(startedAt)
			lastAttempt = r.isLastAttempt(request)
		}
		if !lastAttempt {
			idleTimer.Reset(streamIdleTimeout)
		} else {
			idleTimer.Stop()
		}
	})
	if cause := context.Cause(streamCtx); err != nil && errors.Is(cause, errStreamIdleTimeout) {
		err = cause
	}
	if firstEvent == 0 {
		firstEvent = time.Since(startedAt) // a response without events
	}
	r.endAttempt(tracked, request, firstEvent, attemptResultOf(ctx, candidate, response, err))
	r.recordReach(ctx, request, candidate, startedAt, response, err)
	r.recordAttempt(request, replica, startedAt, err)
	if err == nil && response.Status/100 == 2 {
		r.recordServed(request, replica)
	}
	r.Logger.Info("stream attempt", "request", request.ID, "service", request.Service, "replica", replica.ID, "via", candidate.via(),
		"attempt", request.sentAttempts, "open", candidate.InFlight, "latency_ms", candidate.Latency.Milliseconds(), "failing", candidate.FailureRate,
		"patience_ms", timeout.Milliseconds(), "last_event", *lastEvent, "first_ms", firstEvent.Milliseconds(),
		"took_ms", time.Since(startedAt).Milliseconds(), "error", err)
	return err
}

// forwardEvents forwards the response of a replica to the sink and calls onEvent for
// each event.
func (r *Relay) forwardEvents(ctx context.Context, request *Request, candidate *Candidate, sink Sink, begun *bool, lastEvent *int64, onEvent func()) (*gypsum.LiveResponse, error) {
	replica := candidate.Replica
	ctx, send := r.traceSend(ctx, request, candidate, time.Now())
	stream, err := r.transport(candidate).Stream(ctx, replica, &request.LiveRequest, time.Until(request.Deadline), *lastEvent)
	r.observeRun(request, send, err)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	response := stream.Response()
	if *begun && (response.Status != http.StatusOK || !stream.IsEventStream()) {
		return response, ErrStreamInterrupted
	}
	if !*begun && response.Status >= http.StatusInternalServerError && request.Route.Retryable() && !r.isLastAttempt(request) {
		return response, errReplicaServerError
	}
	if !*begun && request.mayNotPassOn(response.Status) {
		return response, errStatusNotPassedOn
	}
	if !*begun {
		*begun = true
		if err := sink.BeginResponse(response); err != nil {
			return response, fmt.Errorf("forward response header: %w: %w", errClientDisconnected, err)
		}
		if !stream.IsEventStream() {
			return response, nil
		}
	}
	numbered := *lastEvent == 0
	for {
		number, raw, err := stream.Next()
		if err == io.EOF {
			return response, nil
		}
		if err != nil {
			return response, err
		}
		if !isNext(number, *lastEvent, numbered) {
			return response, ErrStreamInterrupted
		}
		numbered = numbered || number > 0
		if request.software == nil {
			request.software = &replica.Software
			r.Origins.Record(gypsum.StreamOrigin{Request: request.ID, Service: request.Service, Software: replica.Software})
		}
		onEvent()
		if err := sink.WriteEvent(raw); err != nil {
			return response, fmt.Errorf("forward event: %w: %w", errClientDisconnected, err)
		}
		*lastEvent = max(*lastEvent, number)
	}
}

// isNext reports whether an event can follow the last one of a stream. numbered means that the replica has sent an
// event with a number, or begins the stream. The first event of a replica that continues a stream needs one: without
// it, it may belong to another response.
func isNext(number, last int64, numbered bool) bool {
	return number == last+1 || (number == 0 && numbered)
}

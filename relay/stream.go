package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// Sink takes a streamed answer.
type Sink interface {
	// Begin takes the status and header of the answer.
	Begin(response *gypsum.LiveResponse) error
	// Event takes the bytes of a whole event.
	Event(raw []byte) error
}

// ErrStreamInterrupted is a stream that has begun and cannot be brought to its end.
var ErrStreamInterrupted = errors.New("stream broken off")

// Stream takes a request to a replica and passes the events of the answer on as they
// come. A stream that may be resumed goes on at another replica. It returns a refusal
// if the answer has not begun, ErrBrokenOff if it has.
func (r *Relay) Stream(ctx context.Context, request *Request, sink Sink) error {
	if refusal := r.prepare(request); refusal != nil {
		return r.recordRefusal(request, refusal)
	}
	begun, lastEvent := false, int64(0)
	for {
		candidate, refusal := r.nextReplica(request)
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
			r.Stats.Responses.Add(1)
			return nil
		}
		if ctx.Err() != nil || errors.Is(err, errClientDisconnected) || (begun && !request.Route.Resumable) {
			return ErrStreamInterrupted
		}
	}
}

// streamIdleTimeout is how long a stream that may be resumed may pause before it is: half
// of the shortest pause after which clients give a stream up, from the users' pages.
const streamIdleTimeout = time.Second

// errIdleTimeout is the cause of the end of a stream whose replica gave nothing in its time.
var errIdleTimeout = errors.New("replica is silent")

// errClientDisconnected is an answer that the client no longer takes.
var errClientDisconnected = errors.New("client takes no more of the answer")

// errServerError is an error that a replica gave in place of a stream.
var errServerError = errors.New("replica answered with an error")

// streamAttempt passes on the events of one replica.
func (r *Relay) streamAttempt(ctx context.Context, request *Request, candidate *Candidate, sink Sink, begun *bool, lastEvent *int64) error {
	replica, startedAt := candidate.Replica, time.Now()
	deadlineCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	streamCtx, cancelStream := context.WithCancelCause(deadlineCtx)
	defer cancelStream(nil)
	timeout := r.attemptTimeout(request, candidate, startedAt)
	idleTimer := time.AfterFunc(timeout, func() { cancelStream(errIdleTimeout) })
	defer idleTimer.Stop()
	lastAttempt := r.isLastAttempt(request)
	var firstEvent time.Duration
	tracked := r.beginAttempt(replica)
	response, err := r.forwardEvents(streamCtx, request, replica, sink, begun, lastEvent, func() {
		if firstEvent == 0 {
			firstEvent = time.Since(startedAt)
		}
		if !lastAttempt {
			idleTimer.Reset(streamIdleTimeout)
		} else {
			idleTimer.Stop()
		}
	})
	if cause := context.Cause(streamCtx); err != nil && errors.Is(cause, errIdleTimeout) {
		err = cause
	}
	if firstEvent == 0 {
		firstEvent = time.Since(startedAt) // an answer without events
	}
	r.endAttempt(tracked, firstEvent, outcomeOf(ctx, response, err))
	r.recordAttempt(request, replica, err)
	r.Logger.Info("stream attempt", "request", request.ID, "service", request.Service, "replica", replica.ID,
		"attempt", request.sentAttempts, "open", candidate.InFlight, "latency_ms", candidate.Latency.Milliseconds(), "failing", candidate.FailureRate,
		"patience_ms", timeout.Milliseconds(), "last_event", *lastEvent, "first_ms", firstEvent.Milliseconds(),
		"took_ms", time.Since(startedAt).Milliseconds(), "error", err)
	return err
}

// forwardEvents passes on the answer of a replica and calls heard at each sign of life.
func (r *Relay) forwardEvents(ctx context.Context, request *Request, replica *gypsum.Replica, sink Sink, begun *bool, lastEvent *int64, onEvent func()) (*gypsum.LiveResponse, error) {
	stream, err := r.Transport.Stream(ctx, replica, &request.LiveRequest, time.Until(request.Deadline), *lastEvent)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	response := stream.Response()
	if *begun && (response.Status != http.StatusOK || !stream.IsEventStream()) {
		return response, ErrStreamInterrupted
	}
	if !*begun && response.Status >= http.StatusInternalServerError && request.Route.Retryable() && !r.isLastAttempt(request) {
		return response, errServerError
	}
	if !*begun {
		*begun = true
		if err := sink.Begin(response); err != nil {
			return response, fmt.Errorf("%w: %w", errClientDisconnected, err)
		}
		if !stream.IsEventStream() {
			return response, nil
		}
	}
	for {
		number, raw, err := stream.Next()
		if err == io.EOF {
			return response, nil
		}
		if err != nil {
			return response, err
		}
		onEvent()
		if number > 0 && number != *lastEvent+1 {
			return response, ErrStreamInterrupted
		}
		if err := sink.Event(raw); err != nil {
			return response, fmt.Errorf("%w: %w", errClientDisconnected, err)
		}
		*lastEvent = max(*lastEvent, number)
	}
}

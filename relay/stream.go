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
	Begin(answer *gypsum.LiveResponse) error
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
		return r.conclude(request, refusal)
	}
	begun, last := false, int64(0)
	for {
		target, refusal := r.next(request)
		if refusal != nil {
			r.conclude(request, refusal)
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
		if ctx.Err() != nil || errors.Is(err, errClientGone) || (begun && !request.Route.Resumable) {
			return ErrBrokenOff
		}
	}
}

// streamSilence is how long a stream that may be resumed may pause before it is: half
// of the shortest pause after which clients give a stream up, from the users' pages.
const streamSilence = time.Second

// errSilent is the cause of the end of a stream whose replica gave nothing in its time.
var errSilent = errors.New("replica is silent")

// errClientGone is an answer that the client no longer takes.
var errClientGone = errors.New("client takes no more of the answer")

// errServerError is an error that a replica gave in place of a stream.
var errServerError = errors.New("replica answered with an error")

// streamOnce passes on the events of one replica.
func (r *Relay) streamOnce(ctx context.Context, request *Request, target *Target, sink Sink, begun *bool, last *int64) error {
	replica, started := target.Replica, time.Now()
	deadlineCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	streamCtx, silence := context.WithCancelCause(deadlineCtx)
	defer silence(nil)
	patience := r.patience(request, target, started)
	watch := time.AfterFunc(patience, func() { silence(errSilent) })
	defer watch.Stop()
	final := r.final(request)
	var first time.Duration
	seen := r.begin(replica)
	answer, err := r.passEvents(streamCtx, request, replica, sink, begun, last, func() {
		if first == 0 {
			first = time.Since(started)
		}
		if !final {
			watch.Reset(streamSilence)
		} else {
			watch.Stop()
		}
	})
	if cause := context.Cause(streamCtx); err != nil && errors.Is(cause, errSilent) {
		err = cause
	}
	if first == 0 {
		first = time.Since(started) // an answer without events
	}
	r.end(seen, first, outcomeOf(ctx, answer, err))
	r.note(request, replica, err)
	r.Logger.Info("stream attempt", "request", request.ID, "service", request.Service, "replica", replica.ID,
		"attempt", request.handed, "open", target.Open, "latency_ms", target.Latency.Milliseconds(), "failing", target.Failing,
		"patience_ms", patience.Milliseconds(), "last_event", *last, "first_ms", first.Milliseconds(),
		"took_ms", time.Since(started).Milliseconds(), "error", err)
	return err
}

// passEvents passes on the answer of a replica and calls heard at each sign of life.
func (r *Relay) passEvents(ctx context.Context, request *Request, replica *gypsum.Replica, sink Sink, begun *bool, last *int64, heard func()) (*gypsum.LiveResponse, error) {
	stream, err := r.Replicas.Stream(ctx, replica, &request.LiveRequest, time.Until(request.Deadline), *last)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	answer := stream.Response()
	if *begun && (answer.Status != http.StatusOK || !stream.IsEventStream()) {
		return answer, ErrBrokenOff
	}
	if !*begun && answer.Status >= http.StatusInternalServerError && request.Route.Retryable() && !r.final(request) {
		return answer, errServerError
	}
	if !*begun {
		*begun = true
		if err := sink.Begin(answer); err != nil {
			return answer, fmt.Errorf("%w: %w", errClientGone, err)
		}
		if !stream.IsEventStream() {
			return answer, nil
		}
	}
	for {
		number, raw, err := stream.Next()
		if err == io.EOF {
			return answer, nil
		}
		if err != nil {
			return answer, err
		}
		heard()
		if number > 0 && number != *last+1 {
			return answer, ErrBrokenOff
		}
		if err := sink.Event(raw); err != nil {
			return answer, fmt.Errorf("%w: %w", errClientGone, err)
		}
		*last = max(*last, number)
	}
}

package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

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
		if ctx.Err() != nil || (begun && !request.Route.Resumable) {
			return ErrBrokenOff
		}
	}
}

// streamOnce passes on the events of one replica.
func (r *Relay) streamOnce(ctx context.Context, request *Request, target *Target, sink Sink, begun *bool, last *int64) error {
	replica, started := target.Replica, time.Now()
	streamCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	r.begin(replica.ID)
	err := r.passEvents(streamCtx, request, replica, sink, begun, last)
	r.end(replica.ID, time.Since(started), err, ctx.Err() != nil)
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

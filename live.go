package gypsum

import (
	"context"
	"net/http"
	"time"
)

// LiveRequest is a client's request that waits for its answer.
type LiveRequest struct {
	ID       RequestID
	Method   string
	Target   string
	HostName string
	Header   http.Header
	Body     []byte
}

// LiveResponse is a replica's whole answer.
type LiveResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// LiveStream is the answer of a replica whose events come one by one.
type LiveStream interface {
	// Response is the status and header, with the body if it is no stream of events.
	Response() *LiveResponse
	// IsEventStream tells whether the body is a stream of events.
	IsEventStream() bool
	// Next returns the number and the bytes of the next whole event, io.EOF at a
	// clean end.
	Next() (int64, []byte, error)
	Close() error
}

// ReplicaTransport are the calls to replicas that live requests need.
type ReplicaTransport interface {
	// Exchange returns the whole answer. It returns ErrNotSent if no byte left,
	// ErrNotExecuted if the replica has not run the request, ErrResponseMismatch for another
	// request's answer and ErrIncompleteResponse for one that is not whole.
	Exchange(ctx context.Context, replica *Replica, request *LiveRequest, budget time.Duration) (*LiveResponse, error)
	// Stream begins an answer behind the event with the number after, 0 for none.
	Stream(ctx context.Context, replica *Replica, request *LiveRequest, budget time.Duration, after int64) (LiveStream, error)
	Prober
}

// Prober tells a replica that died from one that lost an answer.
type Prober interface {
	// AcceptsConnections tells whether something accepts connections at the replica's address.
	AcceptsConnections(ctx context.Context, replica *Replica) bool
}

// CrashCounter keeps how many replicas have died while they ran a request, for all daemons.
type CrashCounter interface {
	RecordCrash(ctx context.Context, fingerprint Fingerprint, replica BackendID) error
	CrashCount(fingerprint Fingerprint) int
}

package gypsum

import (
	"context"
	"net/http"
	"time"
)

// LiveRequest is a client's request whose response the client waits for.
type LiveRequest struct {
	ID       RequestID
	Method   string
	Target   string
	HostName string
	Header   http.Header
	Body     []byte
	// Account is the client account of the request, empty for none.
	Account AccountName
	// AccountsInForce means that the deployment has accounts. What a client states about its key
	// and its account in Header is then not passed on.
	AccountsInForce bool
	// RunsOnce means that the request must not run more than once, or that its failures are counted. An error, or a
	// response that it has not run, is then accepted only where it cannot be the copy of an earlier response.
	RunsOnce bool
}

// LiveResponse is a replica's complete response.
type LiveResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is the replica's signature of the response.
	Signature string
}

// LiveStream is a replica's response that is read event by event.
type LiveStream interface {
	// Response returns the status and header, and the body unless it is an event stream.
	Response() *LiveResponse
	// IsEventStream reports whether the body is an event stream.
	IsEventStream() bool
	// Next returns the number and the bytes of the next complete event. It returns
	// io.EOF at a clean end of the stream.
	Next() (int64, []byte, error)
	Close() error
}

// LeaveObserver is told of replicas that announce in a response that they are leaving.
// Whatever their registrations say afterwards, such replicas get no new work until they
// restart: they may exit before the registration reaches the daemon.
type LeaveObserver interface {
	// MarkLeaving is called before the response is passed on. It may be called
	// concurrently, and again for each further response.
	MarkLeaving(replica *Replica)
}

// ReplicaTransport sends live requests to replicas. Transports pass the announcements of
// leaving replicas to a LeaveObserver.
type ReplicaTransport interface {
	// RoundTrip sends a request and returns the complete response. It returns ErrNotSent
	// if no byte was sent, ErrNotRun if the replica has not run the request,
	// ErrResponseMismatch for a response to another request and ErrIncompleteResponse for
	// an incomplete one.
	RoundTrip(ctx context.Context, replica *Replica, request *LiveRequest, budget time.Duration) (*LiveResponse, error)
	// Stream sends a request and returns its response from the event after the given
	// number on, 0 for the first event.
	Stream(ctx context.Context, replica *Replica, request *LiveRequest, budget time.Duration, after int64) (LiveStream, error)
	Prober
}

// Prober distinguishes a crashed replica from one that merely lost a response.
type Prober interface {
	// AcceptsConnections reports whether connections to the replica's address succeed.
	AcceptsConnections(ctx context.Context, replica *Replica) bool
}

// CrashCounter counts, for all daemons together, the starts of replicas that crashed while running
// a request, unless a replica of the same software version has served it since.
type CrashCounter interface {
	// RecordCrash counts a crash of a start of a replica, which may be recorded several times: by each
	// of the requests that it ran.
	RecordCrash(ctx context.Context, fingerprint Fingerprint, replica *Replica) error
	CrashCount(fingerprint Fingerprint) int
	// ForgetCrashes forgets the crashes of replicas of a software version that are known here, since a
	// replica of that version has served the request. It returns how many were forgotten.
	ForgetCrashes(ctx context.Context, fingerprint Fingerprint, software SoftwareVersion) (int, error)
}

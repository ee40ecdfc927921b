package gypsum

import (
	"context"
	"io"
	"net/http"
)

// ForwardedRequest is a live request that a daemon sends to a replica through another daemon.
type ForwardedRequest struct {
	Replica     BackendID   `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Method      string      `cbor:"3,keyasint"`
	Target      string      `cbor:"4,keyasint"`
	HostName    string      `cbor:"5,keyasint"`
	Header      http.Header `cbor:"6,keyasint"`
	Body        []byte      `cbor:"7,keyasint,omitempty"`
	// ID is that of the client's request, which Header has as well. It is for logs.
	ID RequestID `cbor:"8,keyasint"`
	// RunsOnce is that of the LiveRequest.
	RunsOnce bool `cbor:"9,keyasint,omitempty"`
}

// ForwardedResponse is a replica's response as another daemon receives it. The receiver must
// close Body, whose end without an error is the end of the response.
type ForwardedResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// ReachQuery asks a daemon whether it can connect to a replica, or to any replica of the service
// if Replica is empty.
type ReachQuery struct {
	Service ServiceName `cbor:"1,keyasint"`
	Replica BackendID   `cbor:"2,keyasint,omitempty"`
}

// RemoteReplicas reaches the replicas from the host of another daemon.
type RemoteReplicas interface {
	// Reaches reports whether that daemon can connect to the replicas of a query.
	Reaches(ctx context.Context, query ReachQuery) (bool, error)
	// Forward sends a request to a replica. It returns ErrNotSent if no byte was sent to the
	// replica, ErrPeerFailed if that daemon did not accept the request or did not respond, and
	// ErrResponseMismatch for a response to another request. After an error that is not
	// ErrNotSent the replica may have run the request.
	Forward(ctx context.Context, request *ForwardedRequest) (*ForwardedResponse, error)
}

// PeerReplicas returns clients of the replicas that other daemons reach.
type PeerReplicas interface {
	// ReplicasVia returns a client of the replicas that the daemon at an address reaches.
	ReplicasVia(address string) RemoteReplicas
}

// ReplicaForwarder sends a request of another daemon to a replica, as RemoteReplicas.Forward
// does.
type ReplicaForwarder interface {
	ForwardTo(ctx context.Context, replica *Replica, request *ForwardedRequest) (*ForwardedResponse, error)
}

package reach

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// maxForwarding is the number of requests of other daemons that a daemon forwards at one time.
const maxForwarding = 256

// Reasons for which a request of another daemon is not accepted. Another host may accept those
// that wrap gypsum.ErrPeerFailed.
var (
	errNotRegistered = errors.New("replica is not ready here")
	errStopping      = fmt.Errorf("%w: it is stopping", gypsum.ErrPeerFailed)
	errOutOfReach    = fmt.Errorf("%w: service is out of reach there", gypsum.ErrPeerFailed)
	errTooMany       = fmt.Errorf("%w: too many forwarded requests", gypsum.ErrPeerFailed)
)

// Forward implements gypsum.RemoteReplicas for other daemons. Their requests keep to what this
// daemon knows of the replica: it may have announced to this host that it is leaving.
func (t *Tracker) Forward(ctx context.Context, request *gypsum.ForwardedRequest) (*gypsum.ForwardedResponse, error) {
	replica, err := t.acceptForwarded(request)
	if err != nil {
		t.Stats.Rejected.Add(1)
		return nil, fmt.Errorf("%w: %w", gypsum.ErrNotSent, err)
	}
	startedAt := time.Now()
	response, err := t.Forwarder.ForwardTo(ctx, replica, request)
	t.Logger.Info("request forwarded for another host", "request", request.ID, "service", replica.Service, "replica", replica.ID,
		"took_ms", time.Since(startedAt).Milliseconds(), "error", err)
	if err != nil {
		t.forwarding.Add(-1)
		if ctx.Err() == nil {
			t.RecordFailure(replica.Service, startedAt)
		}
		return nil, err
	}
	t.RecordResponse(replica.Service, time.Now())
	t.Stats.Forwarded.Add(1)
	response.Body = &forwardedBody{ReadCloser: response.Body, release: func() { t.forwarding.Add(-1) }}
	return response, nil
}

// acceptForwarded returns the replica of a request of another daemon. The caller must decrement
// forwarding if the error is nil.
func (t *Tracker) acceptForwarded(request *gypsum.ForwardedRequest) (*gypsum.Replica, error) {
	replica := t.Registry.Current().Replicas[request.Replica]
	switch {
	case t.Stopping():
		return nil, errStopping
	case replica == nil || replica.State != gypsum.ReplicaReady || replica.Incarnation != request.Incarnation:
		return nil, errNotRegistered
	case t.isUnreachable(replica.Service):
		return nil, errOutOfReach
	}
	if t.forwarding.Add(1) > maxForwarding {
		t.forwarding.Add(-1)
		return nil, errTooMany
	}
	return replica, nil
}

// isUnreachable reports whether a service is out of reach.
func (t *Tracker) isUnreachable(service gypsum.ServiceName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.service(service).unreachableSince.IsZero()
}

// forwardedBody calls release once it is closed.
type forwardedBody struct {
	io.ReadCloser
	once    sync.Once
	release func()
}

// Close implements io.Closer.
func (b *forwardedBody) Close() error {
	b.once.Do(b.release)
	return b.ReadCloser.Close()
}

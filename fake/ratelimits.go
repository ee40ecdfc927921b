package fake

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// The users' bounds of the request rate of a replica that states a limit.
const (
	// LimitNoticeTime is the time after the first statement from which they hold.
	LimitNoticeTime = 4 * time.Second
	// LimitWindow is the time over which requests are counted.
	LimitWindow = 4 * time.Second
)

// MaxWithinLimit returns how many requests a replica may receive within LimitWindow: one and a
// half times what its limit allows and 5 more.
func MaxWithinLimit(limit gypsum.RequestRate) int {
	return int(1.5*float64(limit)*LimitWindow.Seconds()) + 5
}

// RateLimits are the limits that in-memory replicas put on the rate of their requests, and
// the requests that they have received. The zero value has no limits.
type RateLimits struct {
	mu       sync.Mutex
	limits   map[gypsum.BackendID]gypsum.RequestRate
	received map[gypsum.BackendID][]time.Time
}

// SetLimit sets the limit that a replica states.
func (l *RateLimits) SetLimit(id gypsum.BackendID, limit gypsum.RequestRate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits == nil {
		l.limits = make(map[gypsum.BackendID]gypsum.RequestRate)
	}
	l.limits[id] = limit
}

// ClearLimit makes a replica state no limit.
func (l *RateLimits) ClearLimit(id gypsum.BackendID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.limits, id)
}

// statedLimit returns the limit that a replica states, nil for none.
func (l *RateLimits) statedLimit(id gypsum.BackendID) *gypsum.RequestRate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit, ok := l.limits[id]; ok {
		return &limit
	}
	return nil
}

// recordRequest records the arrival of a request.
func (l *RateLimits) recordRequest(id gypsum.BackendID) time.Time {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.received == nil {
		l.received = make(map[gypsum.BackendID][]time.Time)
	}
	l.received[id] = append(l.received[id], now)
	return now
}

// RequestsTo returns the times at which a replica received requests, in order.
func (l *RateLimits) RequestsTo(id gypsum.BackendID) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.received[id]...)
}

// MostWithin returns the largest number of requests that a replica received within a duration
// that begins at or after a time.
func (l *RateLimits) MostWithin(id gypsum.BackendID, duration time.Duration, from time.Time) int {
	return MostWithin(l.RequestsTo(id), duration, from)
}

// MostWithin returns the largest number of times within a duration that begins at or after a
// time. The times are in order.
func MostWithin(times []time.Time, duration time.Duration, from time.Time) int {
	most, first := 0, 0
	for last, received := range times {
		for times[first].Before(from) && first < last || received.Sub(times[first]) >= duration {
			first++
		}
		if !received.Before(from) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// LimitedEngines are engines that limit the rate of their requests, as one daemon reaches
// them. It implements gypsum.EngineTransport.
type LimitedEngines struct {
	gypsum.EngineTransport
	Limits   *RateLimits
	Observer gypsum.RateObserver
}

// GenerateItem implements gypsum.EngineTransport. The limit is stated with the first event.
func (e *LimitedEngines) GenerateItem(ctx context.Context, attempt *gypsum.ItemAttempt, sink func(gypsum.StreamEvent) error) error {
	sentAt := e.Limits.recordRequest(attempt.Replica.ID)
	begun := false
	return e.EngineTransport.GenerateItem(ctx, attempt, func(event gypsum.StreamEvent) error {
		if !begun {
			begun = true
			e.Observer.ObserveRateLimit(attempt.Replica, e.Limits.statedLimit(attempt.Replica.ID), sentAt)
		}
		return sink(event)
	})
}

// SendLoadOrder implements gypsum.EngineTransport.
func (e *LimitedEngines) SendLoadOrder(ctx context.Context, order *gypsum.ReplicaLoadOrder) (gypsum.LoadOrderResponse, error) {
	sentAt := e.Limits.recordRequest(order.Replica.ID)
	response, err := e.EngineTransport.SendLoadOrder(ctx, order)
	if err == nil {
		e.Observer.ObserveRateLimit(order.Replica, e.Limits.statedLimit(order.Replica.ID), sentAt)
	}
	return response, err
}

// FetchReport implements gypsum.EngineTransport.
func (e *LimitedEngines) FetchReport(ctx context.Context, replica *gypsum.Replica) (*gypsum.EngineReport, error) {
	sentAt := e.Limits.recordRequest(replica.ID)
	report, err := e.EngineTransport.FetchReport(ctx, replica)
	if err == nil {
		e.Observer.ObserveRateLimit(replica, e.Limits.statedLimit(replica.ID), sentAt)
	}
	return report, err
}

// LimitedReplicas are replicas of plain services that limit the rate of their requests, as one
// daemon reaches them. It implements gypsum.ReplicaTransport.
type LimitedReplicas struct {
	gypsum.ReplicaTransport
	Limits   *RateLimits
	Observer gypsum.RateObserver
}

// RoundTrip implements gypsum.ReplicaTransport.
func (r *LimitedReplicas) RoundTrip(ctx context.Context, replica *gypsum.Replica, request *gypsum.LiveRequest, budget time.Duration) (*gypsum.LiveResponse, error) {
	sentAt := r.Limits.recordRequest(replica.ID)
	response, err := r.ReplicaTransport.RoundTrip(ctx, replica, request, budget)
	if err == nil {
		r.Observer.ObserveRateLimit(replica, r.Limits.statedLimit(replica.ID), sentAt)
	}
	return response, err
}

// RateLimitStore is an in-memory store of rate limits that all daemons share. It implements
// gypsum.RateLimitStore.
type RateLimitStore struct {
	mu      sync.Mutex
	limits  map[gypsum.BackendID]gypsum.RateLimit
	written map[gypsum.BackendID]time.Time
}

// RecordRateLimit implements gypsum.RateLimitStore.
func (s *RateLimitStore) RecordRateLimit(_ context.Context, limit gypsum.RateLimit) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits == nil {
		s.limits, s.written = make(map[gypsum.BackendID]gypsum.RateLimit), make(map[gypsum.BackendID]time.Time)
	}
	s.limits[limit.Replica], s.written[limit.Replica] = limit, time.Now()
	return nil
}

// RecordedRateLimit implements gypsum.RateLimitStore.
func (s *RateLimitStore) RecordedRateLimit(replica gypsum.BackendID) (gypsum.RateLimit, time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit, ok := s.limits[replica]
	return limit, s.written[replica], ok
}

// PeerPermits are the permit sources of daemons in memory, by address. It implements
// gypsum.PeerPermits.
type PeerPermits struct {
	// Latency is the time of a request for a permit.
	Latency time.Duration

	mu      sync.Mutex
	sources map[string]gypsum.PermitSource
}

// Set sets the permit source at an address. Without one, no daemon answers there.
func (p *PeerPermits) Set(address string, source gypsum.PermitSource) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sources == nil {
		p.sources = make(map[string]gypsum.PermitSource)
	}
	p.sources[address] = source
}

// PermitsFrom implements gypsum.PeerPermits.
func (p *PeerPermits) PermitsFrom(address string) gypsum.PermitSource {
	return &remotePermits{peers: p, address: address}
}

// remotePermits is the permit source at an address. It implements gypsum.PermitSource.
type remotePermits struct {
	peers   *PeerPermits
	address string
}

// RequestPermit implements gypsum.PermitSource. It does not return before ctx ends if no
// daemon answers.
func (r *remotePermits) RequestPermit(ctx context.Context, request gypsum.PermitRequest) (gypsum.PermitResponse, error) {
	r.peers.mu.Lock()
	source := r.peers.sources[r.address]
	r.peers.mu.Unlock()
	if source == nil {
		<-ctx.Done()
		return gypsum.PermitResponse{}, ctx.Err()
	}
	time.Sleep(r.peers.Latency)
	return source.RequestPermit(ctx, request)
}

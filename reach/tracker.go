package reach

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/state"
)

// Tracker knows which services this host reaches. Failed attempts start a check of their service
// unless a response shows that the service is in reach; nothing is sent otherwise. Set the
// exported fields before use. A Tracker is safe for concurrent use. A nil Tracker reaches all
// services.
type Tracker struct {
	Self      gypsum.HostID
	Location  gypsum.Location
	Registry  *state.Registry
	Prober    gypsum.Prober
	ListPeers func() []gypsum.Peer
	Peers     gypsum.PeerReplicas
	// Forwarder sends the requests of other daemons.
	Forwarder gypsum.ReplicaForwarder
	// Stopping reports whether the daemon shuts down. It accepts no requests of other daemons
	// then.
	Stopping func() bool
	Logger   *slog.Logger
	// Stats counts since the start of the daemon.
	Stats Stats

	mu        sync.Mutex
	services  map[gypsum.ServiceName]*serviceReach
	cooldowns map[gypsum.HostID]time.Time
	requests  chan gypsum.ServiceName
	// forwarding is the number of requests of other daemons in progress.
	forwarding atomic.Int64
}

// Stats counts checks, services that went out of reach, and requests of other daemons that were
// forwarded and that were not accepted.
type Stats struct {
	Checks     atomic.Int64
	OutOfReach atomic.Int64
	Forwarded  atomic.Int64
	Rejected   atomic.Int64
}

// serviceReach is what is known of the path to a service.
type serviceReach struct {
	lastResponse time.Time
	lastCheck    time.Time
	// checked is closed when the check in progress ends, nil if there is none.
	checked chan struct{}
	checks  int64
	// misses is the number of checks since the last one that found a path.
	misses int
	// unreachableSince is zero while the service is in reach.
	unreachableSince time.Time
	// detour is the daemon through which requests go while the service is out of reach, nil if
	// none is known.
	detour *gypsum.Peer
	// checkAgain means that the result of the check in progress will be outdated.
	checkAgain bool
	// unconfirmed means that the daemon has to confirm that it still reaches the service.
	unconfirmed bool
}

// maxQueuedChecks is the capacity of the queue of checks.
const maxQueuedChecks = 64

// NewTracker returns a Tracker whose exported fields are not set yet.
func NewTracker() *Tracker {
	return &Tracker{services: make(map[gypsum.ServiceName]*serviceReach), cooldowns: make(map[gypsum.HostID]time.Time), requests: make(chan gypsum.ServiceName, maxQueuedChecks)}
}

// service returns the state of a service. The caller holds mu.
func (t *Tracker) service(name gypsum.ServiceName) *serviceReach {
	s := t.services[name]
	if s == nil {
		s = &serviceReach{}
		t.services[name] = s
	}
	return s
}

// RecordResponse records that a replica of a service has responded on a direct connection.
func (t *Tracker) RecordResponse(service gypsum.ServiceName, at time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.service(service); at.After(s.lastResponse) {
		s.lastResponse = at
	}
}

// RecordFailure records that an attempt at a replica, started at a time, got no connection or no
// response. It starts a check unless a replica of the service has responded since then.
func (t *Tracker) RecordFailure(service gypsum.ServiceName, startedAt time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.service(service); s.lastResponse.Before(startedAt) {
		t.queueCheck(service, s, time.Now())
	}
}

// queueCheck queues a check of a service unless one is in progress or was started a short time
// ago. The caller holds mu.
func (t *Tracker) queueCheck(service gypsum.ServiceName, s *serviceReach, now time.Time) {
	interval := checkInterval
	switch {
	case s.unreachableSince.IsZero():
		interval = minCheckInterval
	case s.misses > maxWidenings:
		interval = downCheckInterval
	}
	if s.checked != nil || now.Sub(s.lastCheck) < interval {
		return
	}
	select {
	case t.requests <- service:
		s.checked, s.lastCheck = make(chan struct{}), now
		s.checks++
	default:
	}
}

// Detour returns the daemon through which requests to a service go, nil if they go to the replicas
// directly.
func (t *Tracker) Detour(service gypsum.ServiceName) *gypsum.Peer {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(service).detour
}

// AwaitCheck waits for the end of the check of a service that is in progress, if any.
func (t *Tracker) AwaitCheck(ctx context.Context, service gypsum.ServiceName) {
	if t == nil {
		return
	}
	t.mu.Lock()
	checked := t.service(service).checked
	t.mu.Unlock()
	if checked == nil {
		return
	}
	select {
	case <-checked:
	case <-ctx.Done():
	}
}

// RecheckDetour records that a request through another daemon got no connection or no response in
// time. The replica may be at fault, so that a check asks the daemon whether it still reaches the
// service.
func (t *Tracker) RecheckDetour(service gypsum.ServiceName, host gypsum.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.service(service); s.detour != nil && s.detour.Host == host {
		s.unconfirmed = true
		t.queueCheck(service, s, time.Now())
	}
}

// RecordDetourFailure records that another daemon could not forward a request. It is not used for
// a while.
func (t *Tracker) RecordDetourFailure(service gypsum.ServiceName, host gypsum.HostID) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cooldowns[host] = now.Add(peerCooldown)
	s := t.service(service)
	if s.detour == nil || s.detour.Host != host {
		return
	}
	s.detour, s.lastCheck = nil, time.Time{}
	s.checkAgain = s.checked != nil
	t.queueCheck(service, s, now)
}

// Run checks services until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	ended := make(chan struct{})
	running := 0
	for {
		select {
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-ended
			}
			return ctx.Err()
		case service := <-t.requests:
			running++
			go func() {
				t.check(ctx, service)
				ended <- struct{}{}
			}()
		case <-ended:
			running--
		case now := <-ticker.C:
			t.recheck(now)
		}
	}
}

// recheck queues checks of the services that are out of reach.
func (t *Tracker) recheck(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.services {
		if !s.unreachableSince.IsZero() {
			t.queueCheck(name, s, now)
		}
	}
	for host, until := range t.cooldowns {
		if now.After(until) {
			delete(t.cooldowns, host)
		}
	}
}

// CanConnect reports whether this host reaches a service: a replica has responded a short time
// ago or accepts a connection now. It is true for a service without replicas.
func (t *Tracker) CanConnect(ctx context.Context, service gypsum.ServiceName) bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	s := t.service(service)
	unreachable, lastResponse := !s.unreachableSince.IsZero(), s.lastResponse
	t.mu.Unlock()
	switch {
	case unreachable:
		return false
	case time.Since(lastResponse) < evidenceTime:
		return true
	}
	return t.connects(ctx, service)
}

// connects reports whether a replica of a service accepts a connection of this host now, or the
// service has none.
func (t *Tracker) connects(ctx context.Context, service gypsum.ServiceName) bool {
	replicas := t.sample(service)
	return len(replicas) == 0 || t.anyAccepts(ctx, replicas)
}

// anyAccepts reports whether one of several replicas accepts a connection.
func (t *Tracker) anyAccepts(ctx context.Context, replicas []*gypsum.Replica) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	probes := make(chan bool, len(replicas))
	t.probe(ctx, replicas, probes)
	for range replicas {
		if <-probes {
			return true
		}
	}
	return false
}

// ConfirmDown reports whether a replica that accepts no connection of this host accepts none of
// other hosts either, so that the path to it is not at fault. Only hosts that reach other replicas,
// of any service, can tell. Without an answer of one of them, it is up to this host.
func (t *Tracker) ConfirmDown(ctx context.Context, replica *gypsum.Replica) bool {
	if t == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	query := gypsum.ReachQuery{Service: replica.Service, Replica: replica.ID}
	type answer struct {
		reaches bool
		err     error
	}
	peers := t.peersToAsk(0, 0, nil)
	answers := make(chan answer, len(peers))
	for _, peer := range peers {
		go func() {
			reaches, err := t.Peers.ReplicasVia(peer.Address).Reaches(ctx, query)
			answers <- answer{reaches, err}
		}()
	}
	denied := false
	for range peers {
		received := <-answers
		if received.reaches && received.err == nil {
			return false
		}
		denied = denied || received.err == nil
	}
	return denied || t.reachesOthers(ctx, replica)
}

// reachesOthers reports whether this host can connect to a replica other than the given one.
func (t *Tracker) reachesOthers(ctx context.Context, except *gypsum.Replica) bool {
	var others []*gypsum.Replica
	for _, replica := range t.Registry.Current().Replicas { // in random order
		if replica.ID != except.ID && replica.State == gypsum.ReplicaReady {
			others = append(others, replica)
		}
		if len(others) == maxOtherProbes {
			break
		}
	}
	return t.anyAccepts(ctx, others)
}

// Reaches implements gypsum.RemoteReplicas for other daemons.
func (t *Tracker) Reaches(ctx context.Context, query gypsum.ReachQuery) (bool, error) {
	if query.Replica == "" {
		// Open connections may still work where new ones do not, so that only a probe shows it.
		usable := !t.Stopping() && len(t.Registry.Current().Services[query.Service]) > 0 && !t.isUnreachable(query.Service)
		return usable && t.connects(ctx, query.Service), nil
	}
	replica := t.Registry.Current().Replicas[query.Replica]
	if replica == nil || replica.Service != query.Service {
		return false, fmt.Errorf("replica %s is not registered here: %w", query.Replica, gypsum.ErrNotSent)
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	othersReached := make(chan bool, 1)
	go func() { othersReached <- t.reachesOthers(ctx, replica) }()
	switch {
	case t.Prober.AcceptsConnections(ctx, replica):
		return true, nil
	case !<-othersReached:
		return false, errOutOfReach
	}
	return false, nil
}

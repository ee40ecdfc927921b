package limit

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/shed"
)

// Times and limits of permits.
const (
	// permitTimeout bounds a request for a permit. It allows for a round trip between
	// regions and a busy host.
	permitTimeout = 150 * time.Millisecond
	// unreachableRetryInterval is how long a daemon that did not answer is not asked again.
	unreachableRetryInterval = 2 * time.Second
	// substitutionTime is how long after a daemon became unreachable the daemon asked in its
	// place is a substitute. After that, it is in charge.
	substitutionTime = 5 * time.Second
	// maxKeepers is the number of daemons that are asked for one permit.
	maxKeepers = 3
	// unreachableRetryAfter is the retry delay of a request for which no daemon was asked
	// successfully.
	unreachableRetryAfter = time.Second
	// maxControlInterval bounds the time between two control requests to a replica.
	maxControlInterval = 2 * time.Second
)

// Limiter obtains a permit for each request to a replica that limits its rate. One daemon, the
// keeper, gives the permits of a replica: the holder of the replica's service if there is one,
// otherwise the daemon that rendezvous hashing chooses. Two keepers at a time, while daemons
// disagree about who is there, exceed the limit for a moment. Set the exported fields before
// use. A Limiter is safe for concurrent use.
type Limiter struct {
	Self    gypsum.HostID
	Table   *Table
	Budgets *Budgets
	// ListPeers returns the daemons, with or without this one.
	ListPeers func() []gypsum.Peer
	// HolderOf returns the holder of a service, empty for none.
	HolderOf    func(gypsum.ServiceName) gypsum.HostID
	PeerPermits gypsum.PeerPermits
	// Policy decides which request gets the next permit.
	Policy gypsum.Policy
	Logger *slog.Logger
	// Stats counts since the start of the daemon.
	Stats LimiterStats

	mu sync.Mutex
	// deniedUntil is when the next permit for a replica is available, after one was denied.
	deniedUntil map[gypsum.BackendID]time.Time
	unreachable map[gypsum.HostID]unreachability
	lines       map[gypsum.BackendID]permitLine
}

// LimiterStats counts the permits that this daemon obtained and that it was denied.
type LimiterStats struct {
	Granted atomic.Int64
	Denied  atomic.Int64
}

// unreachability says since when a daemon has not answered, and when it was last asked.
type unreachability struct {
	since   time.Time
	askedAt time.Time
}

// NewLimiter returns a Limiter whose exported fields are not set yet.
func NewLimiter() *Limiter {
	return &Limiter{
		Policy: shed.NewCostPolicy(), deniedUntil: make(map[gypsum.BackendID]time.Time), unreachable: make(map[gypsum.HostID]unreachability),
		lines: make(map[gypsum.BackendID]permitLine),
	}
}

// Keepers returns the daemons to ask for permits of a replica, the one in charge first: the
// holder of the service, if any, and the others in the order of rendezvous hashing.
func Keepers(replica gypsum.BackendID, holder gypsum.HostID, peers []gypsum.Peer) []gypsum.Peer {
	keepers := make([]gypsum.Peer, 0, maxKeepers+1)
	for _, peer := range peers {
		if peer.Host == holder {
			keepers = append(keepers, peer)
		}
	}
	for _, peer := range gypsum.RendezvousPeers(string(replica), peers, maxKeepers) {
		if peer.Host != holder && len(keepers) < maxKeepers {
			keepers = append(keepers, peer)
		}
	}
	return keepers
}

// Acquire waits until a request may be sent to a replica, at most maxWait. It returns a
// *gypsum.RateLimitError if no permit is available by then, and the error of ctx if that ends.
func (l *Limiter) Acquire(ctx context.Context, replica *gypsum.Replica, maxWait time.Duration) error {
	now := time.Now()
	return l.AcquireFor(ctx, replica, maxWait, &gypsum.Work{Arrived: now, Deadline: now.Add(maxWait)})
}

// AcquireFor is like Acquire. Requests of this daemon that wait for permits of the same replica
// are sent in the order of what a delay costs; one that costs less may wait longer than maxWait,
// but not so long that it misses its deadline.
func (l *Limiter) AcquireFor(ctx context.Context, replica *gypsum.Replica, maxWait time.Duration, work *gypsum.Work) error {
	rateLimit, limited := l.Table.Limit(replica)
	if !limited {
		return nil
	}
	now := time.Now()
	if wait := l.deniedFor(replica.ID, now); wait > maxWait {
		return l.deny(replica.ID, wait, now)
	}
	request := gypsum.PermitRequest{Replica: replica.ID, Incarnation: replica.Incarnation, Limit: rateLimit, MaxWait: maxWait}
	response := l.requestPermit(ctx, replica, request)
	if !response.Granted {
		return l.deny(replica.ID, response.Wait, now)
	}
	l.Stats.Granted.Add(1)
	if response.Wait <= 0 {
		return nil
	}
	return l.awaitPermit(ctx, replica.ID, work, time.Now().Add(response.Wait))
}

// awaitPermit waits until the time of a permit for the request.
func (l *Limiter) awaitPermit(ctx context.Context, replica gypsum.BackendID, work *gypsum.Work, at time.Time) error {
	waiting := l.enterLine(replica, work, at, time.Now())
	timer := time.NewTimer(time.Until(l.permitTime(waiting)))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			l.leaveLine(replica, waiting, false, time.Now())
			return ctx.Err()
		case <-waiting.changed:
		case <-timer.C:
		}
		left := time.Until(l.permitTime(waiting))
		if left <= 0 {
			l.leaveLine(replica, waiting, true, time.Now())
			return nil
		}
		timer.Reset(left)
	}
}

// deniedFor returns how long no permit for a replica is available according to the last
// denial.
func (l *Limiter) deniedFor(replica gypsum.BackendID, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, ok := l.deniedUntil[replica]
	if ok && !until.After(now) {
		delete(l.deniedUntil, replica)
	}
	return until.Sub(now)
}

// deny counts and remembers that no permit is available.
func (l *Limiter) deny(replica gypsum.BackendID, wait time.Duration, now time.Time) error {
	l.Stats.Denied.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deniedUntil[replica] = now.Add(wait)
	return &gypsum.RateLimitError{Replica: replica, RetryAfter: wait}
}

// requestPermit asks the keepers of a replica for a permit, in order, until one answers.
func (l *Limiter) requestPermit(ctx context.Context, replica *gypsum.Replica, request gypsum.PermitRequest) gypsum.PermitResponse {
	keepers := Keepers(replica.ID, l.HolderOf(replica.Service), l.ListPeers())
	if !slices.ContainsFunc(keepers, func(keeper gypsum.Peer) bool { return keeper.Host == l.Self }) {
		keepers = append(keepers, gypsum.Peer{Host: l.Self})
	}
	for _, keeper := range keepers {
		if keeper.Host == l.Self {
			return l.Budgets.Take(request, time.Now())
		}
		if lost, ok := l.unreachableSince(keeper.Host); ok && time.Since(lost.askedAt) < unreachableRetryInterval {
			request.Substitute = request.Substitute || time.Since(lost.since) < substitutionTime
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, permitTimeout)
		response, err := l.PeerPermits.PermitsFrom(keeper.Address).RequestPermit(askCtx, request)
		cancel()
		if err == nil {
			l.setReachable(keeper.Host)
			return response
		}
		if ctx.Err() != nil {
			break
		}
		lost := l.setUnreachable(keeper.Host, err)
		request.Substitute = request.Substitute || time.Since(lost.since) < substitutionTime
	}
	return gypsum.PermitResponse{Wait: unreachableRetryAfter}
}

// unreachableSince returns since when a daemon has not answered. ok is false if its last
// answer came in time.
func (l *Limiter) unreachableSince(host gypsum.HostID) (lost unreachability, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost, ok = l.unreachable[host]
	return lost, ok
}

// setReachable records that a daemon has answered.
func (l *Limiter) setReachable(host gypsum.HostID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.unreachable, host)
}

// setUnreachable records that a daemon has not answered.
func (l *Limiter) setUnreachable(host gypsum.HostID, err error) unreachability {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	lost, ok := l.unreachable[host]
	if !ok {
		lost.since = now
		l.Logger.Warn("daemon in charge of a request rate is unreachable", "host", host, "error", err)
	}
	lost.askedAt = now
	l.unreachable[host] = lost
	return lost
}

// IsDenied reports whether no permit for a replica is available now, as far as this daemon
// knows.
func (l *Limiter) IsDenied(replica gypsum.BackendID, now time.Time) bool {
	return l.deniedFor(replica, now) > 0
}

// DeniedFor returns how long no permit for a replica is available, as far as this daemon knows.
func (l *Limiter) DeniedFor(replica gypsum.BackendID, now time.Time) time.Duration {
	return max(0, l.deniedFor(replica, now))
}

// Available returns the number of requests that the keeper of a replica may send to it now.
// limited is false if the replica does not limit its rate.
func (l *Limiter) Available(replica *gypsum.Replica, now time.Time) (count int, limited bool) {
	rateLimit, limited := l.Table.Limit(replica)
	if !limited {
		return 0, false
	}
	return l.Budgets.Available(replica, rateLimit, now), true
}

// Charge counts a request that the keeper of a replica sends in any case. Later requests wait
// for it.
func (l *Limiter) Charge(replica *gypsum.Replica, now time.Time) {
	if rateLimit, limited := l.Table.Limit(replica); limited {
		l.Budgets.Charge(replica, rateLimit, now)
	}
}

// ControlInterval returns the least time between two control requests to a replica, so that
// they leave half of its rate to others. It is 0 if the replica does not limit its rate.
func (l *Limiter) ControlInterval(replica *gypsum.Replica) time.Duration {
	rateLimit, limited := l.Table.Limit(replica)
	if !limited {
		return 0
	}
	return min(maxControlInterval, time.Duration(2/max(float64(rateLimit), minRate)*float64(time.Second)))
}

// RequestPermit implements gypsum.PermitSource: it gives permits to other daemons.
func (l *Limiter) RequestPermit(_ context.Context, request gypsum.PermitRequest) (gypsum.PermitResponse, error) {
	return l.Budgets.Take(request, time.Now()), nil
}

// Prune drops what is known of replicas that are not registered any more.
func (l *Limiter) Prune(registered map[gypsum.BackendID]*gypsum.Replica, now time.Time) {
	l.Table.Prune(registered, now)
	l.Budgets.Prune(now)
}

// Package proxy reaches the platform's store through another daemon while the store does
// not respond to this one: the network path may be cut, or the store may refuse only some
// daemons.
package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/pace"
)

// Timeouts and delays of the direct path and of proxied calls.
const (
	// directTimeout is how long a direct call may take beyond its own wait before the
	// direct path counts as unavailable. It leaves time for a slow response from the
	// other region.
	directTimeout = 450 * time.Millisecond
	// initialProbeDelay and probeInterval are the times before the first and between
	// later probes of a direct path that is unavailable; probeTimeout bounds one probe.
	initialProbeDelay = 200 * time.Millisecond
	probeInterval     = 500 * time.Millisecond
	probeTimeout      = 700 * time.Millisecond
	// peerCooldown is how long a peer that could not serve a call is not used.
	peerCooldown = time.Second
	// appendPatience is how long an append waits for the daemon's share of the store's writes. It is
	// below the time after which a writer repeats a call without a response.
	appendPatience = 200 * time.Millisecond
	// readPatience is how long a read without a deadline waits for the daemon's share of the store's
	// reads, and callTime the part of a deadline that is left to a call without a timeout. It
	// includes a slow response from the other region.
	readPatience = 2 * time.Second
	callTime     = 500 * time.Millisecond
	// recoveryWait is above the wait of the reads with which a follower checks whether the store has
	// returned.
	recoveryWait = 10 * time.Millisecond
	// maxPeersPerCall bounds the peers tried for one call.
	maxPeersPerCall = 2
)

// Store implements gypsum.KeyedStore. It uses the direct path to the store, and other
// daemons while that is unavailable. Set the exported fields before use.
type Store struct {
	DirectStore gypsum.KeyedStore
	PeerStores  gypsum.PeerStores
	// ListPeers returns the other daemons.
	ListPeers func() []gypsum.Peer
	Location  gypsum.Location
	Self      gypsum.HostID
	// ProbeRead is the read used to probe the direct path.
	ProbeRead gypsum.KeyedRead
	Logger    *slog.Logger
	// Reads and Writes pace the calls of this daemon, nil if they need not be paced. Class returns
	// the class of a call, which is pace.ClassBatches if it is nil.
	Reads  *pace.Gate
	Writes *pace.Gate
	Class  func(topic gypsum.Topic, write bool) pace.Class
	// Clock dates the reads of pages, the runtime's monotonic clock if it is nil.
	Clock gypsum.SteadyClock

	mu                sync.Mutex
	directUnavailable bool
	// limitedCalls is the number of direct calls since the last that the store did not refuse for
	// its rate, limitedSince the time of the first of them.
	limitedCalls  int
	limitedSince  time.Time
	wake          chan struct{}
	initOnce      sync.Once
	cooldownUntil map[gypsum.HostID]time.Time
	proxiedCalls  int64
}

// lazyInit prepares the store on its first use.
func (s *Store) lazyInit() {
	s.initOnce.Do(func() { s.wake, s.cooldownUntil = make(chan struct{}, 1), make(map[gypsum.HostID]time.Time) })
}

// ProxiedCalls returns the number of calls made through other daemons.
func (s *Store) ProxiedCalls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proxiedCalls
}

// DirectUnavailable reports whether the direct path is unavailable.
func (s *Store) DirectUnavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directUnavailable
}

// setDirectUnavailable sets whether the direct path is unavailable, logs a change, and
// starts the probes once it is.
func (s *Store) setDirectUnavailable(unavailable bool, err error) {
	s.mu.Lock()
	changed := s.directUnavailable != unavailable
	s.directUnavailable = unavailable
	s.mu.Unlock()
	if !changed {
		return
	}
	s.Logger.Warn("direct path to the store lost or recovered", "lost", unavailable, "error", err)
	if unavailable {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// Run probes the direct path while it is unavailable, until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	s.lazyInit()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		}
		for wait := initialProbeDelay; s.DirectUnavailable(); wait = probeInterval {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(wait):
			}
			s.probeDirectPath(ctx)
		}
	}
}

// probeDirectPath probes the direct path once.
func (s *Store) probeDirectPath(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if s.Reads.Wait(ctx, pace.ClassClaims, probeTimeout-callTime) != nil {
		return
	}
	_, err := s.DirectStore.Read(ctx, s.ProbeRead)
	s.report(ctx, s.Reads, err)
	if err == nil || errors.Is(err, gypsum.ErrTruncated) {
		s.recordAccepted()
		s.setDirectUnavailable(false, nil)
	}
}

// Limits of a series of direct calls that the store refuses for their rate. The store may refuse all
// calls of one host while it serves the others. While all daemons together make too many calls, each
// paces its own, so that some of them succeed within that time.
const (
	maxLimitedTime  = time.Second
	maxLimitedCalls = 5
)

// recordLimited records a direct call that was refused for its rate, and reports whether the
// store refuses all calls of this host.
func (s *Store) recordLimited(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limitedCalls == 0 {
		s.limitedSince = now
	}
	s.limitedCalls++
	return s.Reads != nil && s.limitedCalls >= maxLimitedCalls && now.Sub(s.limitedSince) >= maxLimitedTime
}

// recordAccepted ends the series of refused calls.
func (s *Store) recordAccepted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limitedCalls = 0
}

// isPathError reports whether an error is due to the path rather than to the call.
// gypsum.ErrStoreRateLimited is not: the store responded, and the same call through another daemon
// would exceed the rate as well. Only a series of them is (recordLimited).
func isPathError(err error) bool {
	return errors.Is(err, gypsum.ErrStoreUnknown) || errors.Is(err, gypsum.ErrStoreRefused)
}

// errDirectPathTimeout means that a direct call took too long.
var errDirectPathTimeout = errors.New("no response within the time limit")

// callWithFailover makes a call on the direct path, or through other daemons while that is
// unavailable. A peer whose own direct path is unavailable refuses at once, so that an
// outage of the store for all daemons is distinguished from one for this daemon only.
func callWithFailover[T any](ctx context.Context, s *Store, wait time.Duration, do func(context.Context, gypsum.KeyedStore) (T, error)) (T, error) {
	s.lazyInit()
	var result T
	var err error
	if s.DirectUnavailable() {
		for _, peer := range s.candidatePeers() {
			result, err = do(ctx, s.PeerStores.StoreVia(peer.Address))
			if err == nil || !isPathError(err) {
				s.countProxiedCall()
				return result, err
			}
			s.startCooldown(peer.Host)
			if !errors.Is(err, gypsum.ErrStoreRefused) || ctx.Err() != nil {
				return result, fmt.Errorf("call store through daemon %s: %w", peer.Host, err)
			}
		}
	}
	slowTimer := time.AfterFunc(wait+directTimeout, func() { s.setDirectUnavailable(true, errDirectPathTimeout) })
	defer slowTimer.Stop()
	result, err = do(ctx, s.DirectStore)
	switch {
	case errors.Is(err, gypsum.ErrStoreRateLimited):
		if s.recordLimited(time.Now()) {
			s.setDirectUnavailable(true, err)
		}
	case err == nil || !isPathError(err):
		s.recordAccepted()
		s.setDirectUnavailable(false, nil)
	case ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded):
		s.setDirectUnavailable(true, err)
	}
	return result, err
}

func (s *Store) countProxiedCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proxiedCalls++
}

// startCooldown excludes a peer from calls for peerCooldown.
func (s *Store) startCooldown(host gypsum.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cooldownUntil[host] = time.Now().Add(peerCooldown)
}

// candidatePeers returns the peers to try, nearest first, without those in cooldown. The
// order of equally near peers differs between daemons and changes every
// peerSelectionInterval.
func (s *Store) candidatePeers() []gypsum.Peer {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var available []gypsum.Peer
	for _, peer := range s.ListPeers() {
		if peer.Host != s.Self && now.After(s.cooldownUntil[peer.Host]) {
			available = append(available, peer)
		}
	}
	return NearestPeers(available, s.Location, fmt.Sprint(s.Self, now.Unix()/int64(peerSelectionInterval.Seconds())), maxPeersPerCall)
}

// peerSelectionInterval is how long a daemon uses the same peers, so that connections are
// reused.
const peerSelectionInterval = 10 * time.Second

// class returns the class of a call.
func (s *Store) class(topic gypsum.Topic, write bool) pace.Class {
	if s.Class == nil {
		return pace.ClassBatches
	}
	return s.Class(topic, write)
}

// report reports the result of a call to the gate that let it pass. A call that its caller
// cancelled says nothing about the store.
func (s *Store) report(ctx context.Context, gate *pace.Gate, err error) {
	if !errors.Is(ctx.Err(), context.Canceled) {
		gate.Report(err)
	}
}

// patience returns how long a read that then takes callTime may wait for the daemon's share.
func patience(ctx context.Context, callTime time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return readPatience
	}
	return max(0, time.Until(deadline)-callTime)
}

// Append implements gypsum.KeyedStore.
func (s *Store) Append(ctx context.Context, req gypsum.KeyedAppend) (gypsum.Offset, error) {
	if err := s.Writes.Wait(ctx, s.class(req.Topic, true), appendPatience); err != nil {
		return 0, err
	}
	offset, err := callWithFailover(ctx, s, 0, func(ctx context.Context, store gypsum.KeyedStore) (gypsum.Offset, error) {
		return store.Append(ctx, req)
	})
	s.report(ctx, s.Writes, err)
	return offset, err
}

// Read implements gypsum.KeyedStore. A read without a timeout that had to wait for the daemon's
// share waits for records for a shorter time, so that it keeps its deadline.
func (s *Store) Read(ctx context.Context, req gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	class := s.class(req.Topic, false)
	switch {
	case req.Wait == 0:
		// A caller or a claim waits for the end of the topic.
		class = pace.ClassClaims
	case req.Wait < recoveryWait:
		// The topic has not been read since an outage began.
		class = min(class, pace.ClassConfig)
	}
	timeout := req.Timeout
	if timeout == 0 {
		timeout = callTime
	}
	if err := s.Reads.Wait(ctx, class, patience(ctx, timeout)); err != nil {
		return nil, err
	}
	if req.Timeout == 0 {
		req.Wait = min(req.Wait, patience(ctx, callTime))
	} else {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.Timeout)
		defer cancel()
	}
	sentAt := s.now()
	page, err := callWithFailover(ctx, s, req.Wait, func(ctx context.Context, store gypsum.KeyedStore) (*gypsum.KeyedPage, error) {
		return store.Read(ctx, req)
	})
	s.report(ctx, s.Reads, err)
	if err != nil {
		return nil, err
	}
	page.SentAt = sentAt
	return page, nil
}

// now returns the time by Clock.
func (s *Store) now() time.Duration {
	if s.Clock == nil {
		return time.Since(processStart)
	}
	return s.Clock()
}

// processStart is the origin of the clock of stores without Clock.
var processStart = time.Now()

// LatestRecords implements gypsum.KeyedStore.
func (s *Store) LatestRecords(ctx context.Context, topic gypsum.Topic, partition gypsum.Partition, after string) (*gypsum.LatestPage, error) {
	// A daemon can do little before it has read the latest records of its topics.
	class := min(s.class(topic, false), pace.ClassConfig)
	if err := s.Reads.Wait(ctx, class, patience(ctx, callTime)); err != nil {
		return nil, err
	}
	page, err := callWithFailover(ctx, s, 0, func(ctx context.Context, store gypsum.KeyedStore) (*gypsum.LatestPage, error) {
		return store.LatestRecords(ctx, topic, partition, after)
	})
	s.report(ctx, s.Reads, err)
	return page, err
}

// StoreForPeers returns the store that this daemon offers to other daemons: it uses the
// direct path only and refuses at once while that is unavailable.
func (s *Store) StoreForPeers() gypsum.KeyedStore { return &peerStore{proxy: s} }

// peerStore is the store returned by StoreForPeers.
type peerStore struct {
	proxy *Store
}

// directStore returns the direct path, or a refusal if it is unavailable.
func (s *peerStore) directStore() (gypsum.KeyedStore, error) {
	if s.proxy.DirectUnavailable() {
		return nil, fmt.Errorf("direct path to the store is unavailable: %w", gypsum.ErrStoreRefused)
	}
	return s.proxy.DirectStore, nil
}

// Append implements gypsum.KeyedStore.
func (s *peerStore) Append(ctx context.Context, req gypsum.KeyedAppend) (gypsum.Offset, error) {
	direct, err := s.directStore()
	if err != nil {
		return 0, err
	}
	return direct.Append(ctx, req)
}

// Read implements gypsum.KeyedStore.
func (s *peerStore) Read(ctx context.Context, req gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	direct, err := s.directStore()
	if err != nil {
		return nil, err
	}
	return direct.Read(ctx, req)
}

// LatestRecords implements gypsum.KeyedStore.
func (s *peerStore) LatestRecords(ctx context.Context, topic gypsum.Topic, partition gypsum.Partition, after string) (*gypsum.LatestPage, error) {
	direct, err := s.directStore()
	if err != nil {
		return nil, err
	}
	return direct.LatestRecords(ctx, topic, partition, after)
}

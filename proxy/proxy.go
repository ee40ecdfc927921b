// Package proxy reaches the platform's store by way of another daemon while the
// store does not answer this one: the path may be cut, or the store may turn away
// some hosts only.
package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// Times of the direct path and of detours.
const (
	// directTimeout is how long a call may take beyond its own wait before the direct
	// path counts as silent: a slow answer from the other region.
	directTimeout = 450 * time.Millisecond
	// initialProbeDelay and probeInterval are the times between two tries of a path that is
	// silent, probeTimeout bounds one.
	initialProbeDelay = 200 * time.Millisecond
	probeInterval     = 500 * time.Millisecond
	probeTimeout      = 700 * time.Millisecond
	// peerCooldown is how long a daemon that could not help is not asked.
	peerCooldown = time.Second
	// maxPeersPerCall bounds the daemons asked for one call.
	maxPeersPerCall = 2
)

// Peer is another daemon.
type Peer struct {
	Host     gypsum.HostID
	Address  string
	Location gypsum.Location
}

// Store is the store by the direct path, and by way of other daemons while that does
// not answer. It is a gypsum.RecordStore. Set the exported fields before use.
type Store struct {
	Direct gypsum.RecordStore
	Peers  gypsum.PeerStores
	// ListPeers returns the other daemons.
	ListPeers func() []Peer
	Location  gypsum.Location
	Self      gypsum.HostID
	// ProbeRead is a read that shows whether the direct path answers.
	ProbeRead gypsum.KeyedRead
	Logger    *slog.Logger

	mu            sync.Mutex
	directDown    bool
	wake          chan struct{}
	initOnce      sync.Once
	cooldownUntil map[gypsum.HostID]time.Time
	proxiedCalls  int64
}

// lazyInit prepares the store for its first use.
func (s *Store) lazyInit() {
	s.initOnce.Do(func() { s.wake, s.cooldownUntil = make(chan struct{}, 1), make(map[gypsum.HostID]time.Time) })
}

// ProxiedCalls returns the number of calls made by way of other daemons.
func (s *Store) ProxiedCalls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proxiedCalls
}

// DirectDown tells whether the direct path does not answer.
func (s *Store) DirectDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directDown
}

// setDirectDown notes whether the direct path answers.
func (s *Store) setDirectDown(down bool, err error) {
	s.mu.Lock()
	changed := s.directDown != down
	s.directDown = down
	s.mu.Unlock()
	if !changed {
		return
	}
	s.Logger.Warn("direct path to the store", "lost", down, "error", err)
	if down {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// Run tries the direct path while it does not answer, until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	s.lazyInit()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		}
		for wait := initialProbeDelay; s.DirectDown(); wait = probeInterval {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(wait):
			}
			s.probe(ctx)
		}
	}
}

// probe tries the direct path once.
func (s *Store) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := s.Direct.Read(ctx, s.ProbeRead)
	if err == nil || errors.Is(err, gypsum.ErrTruncated) {
		s.setDirectDown(false, nil)
	}
}

// isPathError tells whether an error speaks against the path, not against the call.
func isPathError(err error) bool {
	return errors.Is(err, gypsum.ErrStoreUnknown) || errors.Is(err, gypsum.ErrStoreRefused)
}

// errDirectTimeout is a direct call that takes too long.
var errDirectTimeout = errors.New("no answer in time")

// call makes a call by the direct path, or by way of others while that is broken. A
// daemon that has no direct path itself refuses at once, so that an outage of the
// store for all is told from one for this host.
func call[T any](ctx context.Context, s *Store, wait time.Duration, do func(context.Context, gypsum.RecordStore) (T, error)) (T, error) {
	s.lazyInit()
	var result T
	var err error
	if s.DirectDown() {
		for _, peer := range s.candidatePeers() {
			result, err = do(ctx, s.Peers.StoreVia(peer.Address))
			if err == nil || !isPathError(err) {
				s.countProxiedCall()
				return result, err
			}
			s.startCooldown(peer.Host)
			if !errors.Is(err, gypsum.ErrStoreRefused) || ctx.Err() != nil {
				return result, fmt.Errorf("by way of %s: %w", peer.Host, err)
			}
		}
	}
	slowTimer := time.AfterFunc(wait+directTimeout, func() { s.setDirectDown(true, errDirectTimeout) })
	defer slowTimer.Stop()
	result, err = do(ctx, s.Direct)
	switch {
	case err == nil || !isPathError(err):
		s.setDirectDown(false, nil)
	case ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded):
		s.setDirectDown(true, err)
	}
	return result, err
}

// countProxiedCall counts a detour.
func (s *Store) countProxiedCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proxiedCalls++
}

// startCooldown lets a daemon be for a while.
func (s *Store) startCooldown(host gypsum.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cooldownUntil[host] = time.Now().Add(peerCooldown)
}

// candidatePeers returns the daemons to ask: those of the own data centre first, then of
// the region, in an order that differs between hosts and seconds.
func (s *Store) candidatePeers() []Peer {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var available []Peer
	for _, peer := range s.ListPeers() {
		if peer.Host != s.Self && now.After(s.cooldownUntil[peer.Host]) {
			available = append(available, peer)
		}
	}
	return Nearest(available, s.Location, fmt.Sprint(s.Self, now.Unix()/int64(peerSelectionInterval.Seconds())), maxPeersPerCall)
}

// peerSelectionInterval is how long a host asks the same daemons, so that connections are used again.
const peerSelectionInterval = 10 * time.Second

// Append is part of gypsum.RecordStore.
func (s *Store) Append(ctx context.Context, req gypsum.KeyedAppend) (gypsum.Offset, error) {
	return call(ctx, s, 0, func(ctx context.Context, store gypsum.RecordStore) (gypsum.Offset, error) {
		return store.Append(ctx, req)
	})
}

// Read is part of gypsum.RecordStore.
func (s *Store) Read(ctx context.Context, read gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	return call(ctx, s, read.Wait, func(ctx context.Context, store gypsum.RecordStore) (*gypsum.KeyedPage, error) {
		return store.Read(ctx, read)
	})
}

// LatestRecords is part of gypsum.RecordStore.
func (s *Store) LatestRecords(ctx context.Context, topic gypsum.Topic, partition gypsum.Partition, after string) (*gypsum.NewestPage, error) {
	return call(ctx, s, 0, func(ctx context.Context, store gypsum.RecordStore) (*gypsum.NewestPage, error) {
		return store.LatestRecords(ctx, topic, partition, after)
	})
}

// ServeToPeers returns the store for other daemons: the direct path, or a refusal at once
// while that does not answer.
func (s *Store) ServeToPeers() gypsum.RecordStore { return &peerStore{proxy: s} }

// peerStore is the store made by Served.
type peerStore struct {
	proxy *Store
}

// directStore returns the direct path, or a refusal.
func (s *peerStore) directStore() (gypsum.RecordStore, error) {
	if s.proxy.DirectDown() {
		return nil, fmt.Errorf("this host does not reach the store either: %w", gypsum.ErrStoreRefused)
	}
	return s.proxy.Direct, nil
}

// Append is part of gypsum.RecordStore.
func (s *peerStore) Append(ctx context.Context, req gypsum.KeyedAppend) (gypsum.Offset, error) {
	direct, err := s.directStore()
	if err != nil {
		return 0, err
	}
	return direct.Append(ctx, req)
}

// Read is part of gypsum.RecordStore.
func (s *peerStore) Read(ctx context.Context, read gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	direct, err := s.directStore()
	if err != nil {
		return nil, err
	}
	return direct.Read(ctx, read)
}

// LatestRecords is part of gypsum.RecordStore.
func (s *peerStore) LatestRecords(ctx context.Context, topic gypsum.Topic, partition gypsum.Partition, after string) (*gypsum.NewestPage, error) {
	direct, err := s.directStore()
	if err != nil {
		return nil, err
	}
	return direct.LatestRecords(ctx, topic, partition, after)
}

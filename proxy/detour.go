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
	// directLimit is how long a call may take beyond its own wait before the direct
	// path counts as silent: a slow answer from the other region.
	directLimit = 450 * time.Millisecond
	// firstProbe and probeInterval are the times between two tries of a path that is
	// silent, probeTimeout bounds one.
	firstProbe    = 200 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 700 * time.Millisecond
	// peerPause is how long a daemon that could not help is not asked.
	peerPause = time.Second
	// peersAsked bounds the daemons asked for one call.
	peersAsked = 2
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
	// Others returns the other daemons.
	Others func() []Peer
	Home   gypsum.Location
	Self   gypsum.HostID
	// Probe is a read that shows whether the direct path answers.
	Probe  gypsum.KeyedRead
	Logger *slog.Logger

	mu      sync.Mutex
	broken  bool
	wake    chan struct{}
	begin   sync.Once
	paused  map[gypsum.HostID]time.Time
	detours int64
}

// start prepares the store for its first use.
func (s *Store) start() {
	s.begin.Do(func() { s.wake, s.paused = make(chan struct{}, 1), make(map[gypsum.HostID]time.Time) })
}

// Detours returns the number of calls made by way of other daemons.
func (s *Store) Detours() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detours
}

// Broken tells whether the direct path does not answer.
func (s *Store) Broken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken
}

// setBroken notes whether the direct path answers.
func (s *Store) setBroken(broken bool, why error) {
	s.mu.Lock()
	changed := s.broken != broken
	s.broken = broken
	s.mu.Unlock()
	if !changed {
		return
	}
	s.Logger.Warn("direct path to the store", "lost", broken, "error", why)
	if broken {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// Run tries the direct path while it does not answer, until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	s.start()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		}
		for wait := firstProbe; s.Broken(); wait = probeInterval {
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
	_, err := s.Direct.Read(ctx, s.Probe)
	if err == nil || errors.Is(err, gypsum.ErrTruncated) {
		s.setBroken(false, nil)
	}
}

// failedPath tells whether an error speaks against the path, not against the call.
func failedPath(err error) bool {
	return errors.Is(err, gypsum.ErrStoreUnknown) || errors.Is(err, gypsum.ErrStoreRefused)
}

// errSlow is a direct call that takes too long.
var errSlow = errors.New("no answer in time")

// call makes a call by the direct path, or by way of others while that is broken. A
// daemon that has no direct path itself refuses at once, so that an outage of the
// store for all is told from one for this host.
func call[T any](ctx context.Context, s *Store, wait time.Duration, do func(context.Context, gypsum.RecordStore) (T, error)) (T, error) {
	s.start()
	var answer T
	var err error
	if s.Broken() {
		for _, peer := range s.candidates() {
			answer, err = do(ctx, s.Peers.StoreVia(peer.Address))
			if err == nil || !failedPath(err) {
				s.count()
				return answer, err
			}
			s.pause(peer.Host)
			if !errors.Is(err, gypsum.ErrStoreRefused) || ctx.Err() != nil {
				return answer, fmt.Errorf("by way of %s: %w", peer.Host, err)
			}
		}
	}
	slow := time.AfterFunc(wait+directLimit, func() { s.setBroken(true, errSlow) })
	defer slow.Stop()
	answer, err = do(ctx, s.Direct)
	switch {
	case err == nil || !failedPath(err):
		s.setBroken(false, nil)
	case ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded):
		s.setBroken(true, err)
	}
	return answer, err
}

// count counts a detour.
func (s *Store) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detours++
}

// pause lets a daemon be for a while.
func (s *Store) pause(host gypsum.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused[host] = time.Now().Add(peerPause)
}

// candidates returns the daemons to ask: those of the own data centre first, then of
// the region, in an order that differs between hosts and seconds.
func (s *Store) candidates() []Peer {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var open []Peer
	for _, peer := range s.Others() {
		if peer.Host != s.Self && now.After(s.paused[peer.Host]) {
			open = append(open, peer)
		}
	}
	return Nearest(open, s.Home, fmt.Sprint(s.Self, now.Unix()/int64(stickTime.Seconds())), peersAsked)
}

// stickTime is how long a host asks the same daemons, so that connections are used again.
const stickTime = 10 * time.Second

// Append is part of gypsum.RecordStore.
func (s *Store) Append(ctx context.Context, add gypsum.KeyedAppend) (gypsum.Offset, error) {
	return call(ctx, s, 0, func(ctx context.Context, store gypsum.RecordStore) (gypsum.Offset, error) {
		return store.Append(ctx, add)
	})
}

// Read is part of gypsum.RecordStore.
func (s *Store) Read(ctx context.Context, read gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	return call(ctx, s, read.Wait, func(ctx context.Context, store gypsum.RecordStore) (*gypsum.KeyedPage, error) {
		return store.Read(ctx, read)
	})
}

// LatestRecords is part of gypsum.RecordStore.
func (s *Store) LatestRecords(ctx context.Context, topic gypsum.Topic, part gypsum.Partition, after string) (*gypsum.NewestPage, error) {
	return call(ctx, s, 0, func(ctx context.Context, store gypsum.RecordStore) (*gypsum.NewestPage, error) {
		return store.LatestRecords(ctx, topic, part, after)
	})
}

// Served returns the store for other daemons: the direct path, or a refusal at once
// while that does not answer.
func (s *Store) Served() gypsum.RecordStore { return &served{store: s} }

// served is the store made by Served.
type served struct {
	store *Store
}

// open returns the direct path, or a refusal.
func (s *served) open() (gypsum.RecordStore, error) {
	if s.store.Broken() {
		return nil, fmt.Errorf("this host does not reach the store either: %w", gypsum.ErrStoreRefused)
	}
	return s.store.Direct, nil
}

// Append is part of gypsum.RecordStore.
func (s *served) Append(ctx context.Context, add gypsum.KeyedAppend) (gypsum.Offset, error) {
	direct, err := s.open()
	if err != nil {
		return 0, err
	}
	return direct.Append(ctx, add)
}

// Read is part of gypsum.RecordStore.
func (s *served) Read(ctx context.Context, read gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	direct, err := s.open()
	if err != nil {
		return nil, err
	}
	return direct.Read(ctx, read)
}

// LatestRecords is part of gypsum.RecordStore.
func (s *served) LatestRecords(ctx context.Context, topic gypsum.Topic, part gypsum.Partition, after string) (*gypsum.NewestPage, error) {
	direct, err := s.open()
	if err != nil {
		return nil, err
	}
	return direct.LatestRecords(ctx, topic, part, after)
}

// Package origin remembers which software version of a service began the response stream of a
// client's request. A client may take up a stream at another daemon, and the one that began it
// may be gone.
package origin

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/state"
)

// Times and limits of origins.
const (
	// maxStreamAge is the longest time from the first event of a stream until its client takes
	// it up again. It is above the longest deadline of clients in the users' documents.
	maxStreamAge = 30 * time.Second
	// maxOrigins bounds the origins in memory: a daemon's share of the target's streams within
	// maxStreamAge, several times over.
	maxOrigins = 1 << 14
	// maxOriginBytes bounds their memory: as many of ordinary requests, whose IDs clients choose. An origin
	// takes originBytes apart from its texts.
	maxOriginBytes = 4 << 20
	originBytes    = 128
	// recordCopies is the number of other daemons that an origin is sent to.
	recordCopies = 2
	// findCopies is the number of other daemons that are asked for an origin. Daemons may
	// disagree about one that has just started or left.
	findCopies = recordCopies + 1
	// flushDelay is the time in which origins are collected before they are sent.
	flushDelay = 5 * time.Millisecond
	// recordTimeout and findTimeout bound a call to another daemon. They allow for a round trip
	// between regions and a busy host.
	recordTimeout = 300 * time.Millisecond
	findTimeout   = 300 * time.Millisecond
	// catchUpTimeout bounds a CatchUp. It allows for the time between two reads of the registrations.
	catchUpTimeout = time.Second
)

// Tracker remembers the origins of the streams of one daemon, and shares them with others while
// replicas of several software versions serve. A stream of a service whose replicas have been of
// one version for longer than a stream lasts needs no record. Set the exported fields before
// use. A Tracker is safe for concurrent use.
type Tracker struct {
	Self     gypsum.HostID
	Registry *state.Registry
	// Records are the stored software versions of services.
	Records gypsum.SoftwareRecords
	// CatchUp returns once the Registry and the Records contain all that the store contained at some
	// moment after the call.
	CatchUp func(ctx context.Context) error
	// StoreUnavailable reports whether the store does not respond.
	StoreUnavailable func() bool
	ListPeers        func() []gypsum.Peer
	Peers            gypsum.PeerOrigins
	Logger           *slog.Logger
	// Stats counts since the start of the daemon.
	Stats Stats

	origins *lru.Cache[gypsum.RequestID, knownOrigin]
	// addMu guards memory, which is that of the origins.
	addMu  sync.Mutex
	memory int

	// versions are the software versions of the services at the last Update, unconfirmed is whether
	// the store did not respond then.
	versions    map[gypsum.ServiceName][]gypsum.SoftwareVersion
	unconfirmed atomic.Bool

	mu      sync.Mutex
	pending []gypsum.StreamOrigin
	wake    chan struct{}
}

// Stats counts the origins sent to other daemons, and those that were and were not found for a
// client that takes up its stream.
type Stats struct {
	Shared  atomic.Int64
	Found   atomic.Int64
	Unknown atomic.Int64
}

// knownOrigin is an origin and when this daemon learned of it.
type knownOrigin struct {
	gypsum.StreamOrigin
	learnedAt time.Time
}

// NewTracker returns a Tracker whose exported fields are not set yet.
func NewTracker() (*Tracker, error) {
	t := &Tracker{versions: make(map[gypsum.ServiceName][]gypsum.SoftwareVersion), wake: make(chan struct{}, 1)}
	var err error
	// The cache calls this for what add removes.
	t.origins, err = lru.NewWithEvict(maxOrigins, func(_ gypsum.RequestID, removed knownOrigin) { t.memory -= removed.memory() })
	if err != nil {
		return nil, fmt.Errorf("create cache of stream origins: %w", err)
	}
	return t, nil
}

// memory returns the memory of an origin.
func (o *knownOrigin) memory() int {
	return originBytes + len(o.Request) + len(o.Service) + len(o.Software)
}

// add adds an origin. The oldest ones make room.
func (t *Tracker) add(stream gypsum.StreamOrigin) {
	added := knownOrigin{StreamOrigin: stream, learnedAt: time.Now()}
	t.addMu.Lock()
	defer t.addMu.Unlock()
	// The cache does not report a value that is replaced.
	t.origins.Remove(stream.Request)
	t.memory += added.memory()
	t.origins.Add(stream.Request, added)
	for t.memory > maxOriginBytes {
		t.origins.RemoveOldest()
	}
}

// known returns the origin of a stream that this daemon knows, nil if it knows none.
func (t *Tracker) known(first gypsum.RequestID) *gypsum.StreamOrigin {
	found, ok := t.origins.Peek(first)
	if !ok || time.Since(found.learnedAt) > maxStreamAge {
		return nil
	}
	return &found.StreamOrigin
}

// soleVersion returns the software version of all streams of a service that may still be taken up.
// ok is false if there may be streams of several versions. The registrations may be outdated.
func (t *Tracker) soleVersion(service gypsum.ServiceName, now time.Time) (version gypsum.SoftwareVersion, ok bool) {
	versions, observed := t.Registry.SoftwareSince(service, now.Add(-maxStreamAge))
	if len(versions) != 1 {
		return "", false
	}
	if !observed {
		// Other daemons may have observed for longer before this one started.
		record, recorded := t.Records.RecordedSoftware(service)
		observed = recorded && record.Settled && slices.Equal(record.Versions, versions)
	}
	return versions[0], observed
}

// confirmedSoleVersion returns what soleVersion returns by registrations that are read after the call.
// A daemon that has observed one version may be behind those that have begun streams at another.
func (t *Tracker) confirmedSoleVersion(ctx context.Context, service gypsum.ServiceName) (version gypsum.SoftwareVersion, ok bool) {
	if _, sole := t.soleVersion(service, time.Now()); !sole {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := t.CatchUp(ctx); err != nil {
		t.Logger.Warn("failed to confirm the software version of a service", "service", service, "error", err)
		return "", false
	}
	return t.soleVersion(service, time.Now())
}

// Update observes the software versions of the services. It shares the origins of the streams of a
// service whose versions have changed, and all origins once the store does not respond, since other
// daemons then cannot confirm a version.
func (t *Tracker) Update(now time.Time) {
	unconfirmed := t.StoreUnavailable()
	storeLost := !t.unconfirmed.Swap(unconfirmed) && unconfirmed
	for service, versions := range t.Registry.Current().Software {
		previous := t.versions[service]
		changed := !slices.Equal(previous, versions)
		t.versions[service] = versions
		if changed && len(previous)+len(versions) > 1 {
			t.Logger.Info("software versions of service", "service", service, "versions", versions, "previous", previous)
		}
		if changed || storeLost {
			t.shareKnown(service, now)
		}
	}
}

// shareKnown shares the known origins of the streams of a service.
func (t *Tracker) shareKnown(service gypsum.ServiceName, now time.Time) {
	for _, known := range t.origins.Values() {
		if known.Service == service && now.Sub(known.learnedAt) <= maxStreamAge {
			t.share(known.StreamOrigin)
		}
	}
}

// Record remembers the origin of a stream. It is called before the first event is passed on.
func (t *Tracker) Record(stream gypsum.StreamOrigin) {
	t.add(stream)
	if _, ok := t.soleVersion(stream.Service, time.Now()); !ok || t.unconfirmed.Load() {
		t.share(stream)
	}
}

// share queues an origin for other daemons.
func (t *Tracker) share(stream gypsum.StreamOrigin) {
	t.mu.Lock()
	t.pending = append(t.pending, stream)
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Run sends origins to other daemons until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.wake:
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(flushDelay):
		}
		t.flush(ctx)
	}
}

// otherPeers returns the daemons other than this one.
func (t *Tracker) otherPeers() []gypsum.Peer {
	return slices.DeleteFunc(slices.Clone(t.ListPeers()), func(peer gypsum.Peer) bool { return peer.Host == t.Self })
}

// flush sends the queued origins to the daemons that keep copies of them, and waits for the
// answers.
func (t *Tracker) flush(ctx context.Context) {
	t.mu.Lock()
	pending := t.pending
	t.pending = nil
	t.mu.Unlock()
	peers := t.otherPeers()
	batches := make(map[gypsum.Peer][]gypsum.StreamOrigin)
	for _, stream := range pending {
		for _, peer := range gypsum.RendezvousPeers(string(stream.Request), peers, recordCopies) {
			batches[peer] = append(batches[peer], stream)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for peer, streams := range batches {
		wg.Go(func() {
			if err := t.Peers.OriginsAt(peer.Address).RecordOrigins(ctx, streams); err != nil {
				t.Logger.Warn("failed to share the origins of streams", "host", peer.Host, "streams", len(streams), "error", err)
				return
			}
			t.Stats.Shared.Add(int64(len(streams)))
		})
	}
	wg.Wait()
}

// Find returns the origin of a stream by the request that brought its first event. services are
// those that the request may go to. ok is false if the origin is not known.
func (t *Tracker) Find(ctx context.Context, first gypsum.RequestID, services []gypsum.WeightedService) (found gypsum.StreamOrigin, ok bool) {
	origin := t.known(first)
	if origin == nil && len(services) == 1 {
		service := services[0].Service
		if version, sole := t.confirmedSoleVersion(ctx, service); sole {
			origin = &gypsum.StreamOrigin{Request: first, Service: service, Software: version}
		}
	}
	if origin == nil && first != "" {
		origin = t.findAtPeers(ctx, first)
	}
	if origin == nil {
		t.Stats.Unknown.Add(1)
		return gypsum.StreamOrigin{}, false
	}
	t.Stats.Found.Add(1)
	return *origin, true
}

// findAtPeers asks the daemons that keep copies of an origin. It returns nil if none knows it.
func (t *Tracker) findAtPeers(ctx context.Context, first gypsum.RequestID) *gypsum.StreamOrigin {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	peers := gypsum.RendezvousPeers(string(first), t.otherPeers(), findCopies)
	answers := make(chan *gypsum.StreamOrigin, len(peers))
	for _, peer := range peers {
		go func() {
			answer, err := t.Peers.OriginsAt(peer.Address).FindOrigin(ctx, first)
			if err != nil && ctx.Err() == nil {
				t.Logger.Warn("failed to ask for the origin of a stream", "host", peer.Host, "request", first, "error", err)
			}
			answers <- answer
		}()
	}
	for range peers {
		if answer := <-answers; answer != nil {
			return answer
		}
	}
	return nil
}

// RecordOrigins implements gypsum.OriginStore: it keeps origins of other daemons.
func (t *Tracker) RecordOrigins(_ context.Context, origins []gypsum.StreamOrigin) error {
	for _, stream := range origins {
		t.add(stream)
	}
	return nil
}

// FindOrigin implements gypsum.OriginStore. It returns only what this daemon itself knows.
func (t *Tracker) FindOrigin(_ context.Context, first gypsum.RequestID) (*gypsum.StreamOrigin, error) {
	return t.known(first), nil
}

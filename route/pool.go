// Package route places calls: it chooses a data centre, then a backend server in it.
package route

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum"
)

// pointsPerBackend is the number of points of each backend server on the hash ring.
const pointsPerBackend = 16

// Consecutive failures that eject a backend server, and the bounds of the ejection time.
const (
	ejectionThreshold = 3
	ejectionBase      = time.Second
	ejectionMax       = 30 * time.Second
)

// maxEjectedDivisor bounds the ejected backend servers to 1/maxEjectedDivisor of the
// open ones.
const maxEjectedDivisor = 3

// SentCounter counts calls that were sent and are not yet included in a load report.
type SentCounter struct {
	total atomic.Int64
	live  atomic.Int64
}

// CountCall counts a call.
func (s *SentCounter) CountCall(class gypsum.Class) {
	s.total.Add(1)
	if class == gypsum.ClassLive {
		s.live.Add(1)
	}
}

// reset sets the counters to zero.
func (s *SentCounter) reset() {
	s.total.Store(0)
	s.live.Store(0)
}

// Tracker holds what this daemon has observed of a backend server. It outlives the pools
// that contain the backend server.
type Tracker struct {
	sentCounter  SentCounter
	failures     atomic.Int64
	ejectedUntil atomic.Int64
}

// RecordReport records the arrival of a load report, which includes the calls sent
// before.
func (t *Tracker) RecordReport() { t.sentCounter.reset() }

// RecordSuccess records a complete response, which ends an ejection.
func (t *Tracker) RecordSuccess() {
	t.failures.Store(0)
	t.ejectedUntil.Store(0)
}

// RecordFailure records a failure of the backend server. Consecutive failures eject it
// for a time that doubles with each further failure.
func (t *Tracker) RecordFailure(now time.Time) {
	failures := t.failures.Add(1)
	if failures < ejectionThreshold {
		return
	}
	wait := ejectionMax
	if shift := failures - ejectionThreshold; shift < 5 {
		wait = ejectionBase << shift
	}
	t.ejectedUntil.Store(now.Add(wait).UnixNano())
}

// IsEjected reports whether the backend server is ejected at the given time.
func (t *Tracker) IsEjected(now time.Time) bool {
	return now.UnixNano() < t.ejectedUntil.Load()
}

// Backend is a backend server of a pool.
type Backend struct {
	Host    gypsum.Host
	Owner   gypsum.Member
	Status  gypsum.BackendStatus
	Tracker *Tracker
	// Closed means that the backend server gets no new calls: it is leaving, drained,
	// down or loading weights.
	Closed bool
}

// Pool is the set of backend servers of a service in a data centre. Apart from the
// counters and trackers, it is immutable.
type Pool struct {
	backends      []Backend
	indexByID     map[gypsum.BackendID]int
	ring          []ringPoint
	slots         int
	busy          int
	live          int
	openCount     int
	newestVersion gypsum.WeightVersion
	oldestVersion gypsum.WeightVersion
	ejected       int
	// sentCounter counts the calls placed since the pool was created.
	sentCounter SentCounter
	createdAt   time.Time
}

// ringPoint is a point of a backend server on the hash ring.
type ringPoint struct {
	hash  uint64
	index int
}

// NewPool returns a pool of the backend servers. It reuses the hash ring of previous,
// which may be nil, if that has the same members.
func NewPool(backends []Backend, previous *Pool, now time.Time) *Pool {
	slices.SortFunc(backends, func(a, b Backend) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
	pool := &Pool{backends: backends, indexByID: make(map[gypsum.BackendID]int, len(backends)), createdAt: now}
	for i := range backends {
		backend := &backends[i]
		pool.indexByID[gypsum.BackendID(backend.Host.ID)] = i
		pool.addVersion(backend)
		if backend.Closed {
			continue
		}
		pool.openCount++
		pool.slots += max(1, backend.Status.Slots)
		pool.busy += backend.Status.Running + backend.Status.Queued + int(backend.Tracker.sentCounter.total.Load())
		pool.live += backend.Status.Live + int(backend.Tracker.sentCounter.live.Load())
		if backend.Tracker.IsEjected(now) {
			pool.ejected++
		}
	}
	if previous != nil && pool.hasSameBackends(previous) {
		pool.ring = previous.ring
	} else {
		pool.ring = newRing(backends)
	}
	return pool
}

// hasSameBackends reports whether two pools have the same backend servers.
func (p *Pool) hasSameBackends(other *Pool) bool {
	return slices.EqualFunc(p.backends, other.backends, func(a, b Backend) bool { return a.Host.ID == b.Host.ID })
}

// newRing returns the hash ring of the backend servers.
func newRing(backends []Backend) []ringPoint {
	ring := make([]ringPoint, 0, len(backends)*pointsPerBackend)
	for i := range backends {
		for n := range pointsPerBackend {
			ring = append(ring, ringPoint{gypsum.Hash64(backends[i].Host.ID, string(rune('a'+n))), i})
		}
	}
	slices.SortFunc(ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return ring
}

// Len returns the number of backend servers.
func (p *Pool) Len() int { return len(p.backends) }

// OpenCount returns the number of backend servers that may get calls.
func (p *Pool) OpenCount() int { return p.openCount }

// addVersion includes a backend server's weight version, unless it is down.
func (p *Pool) addVersion(backend *Backend) {
	version := backend.Status.Version
	if backend.Status.Down || version == 0 {
		return
	}
	p.newestVersion = max(p.newestVersion, version)
	if p.oldestVersion == 0 || version < p.oldestVersion {
		p.oldestVersion = version
	}
}

// Versions returns the newest and the oldest weight version on the backend servers, 0 if
// none is known.
func (p *Pool) Versions() (newest, oldest gypsum.WeightVersion) {
	return p.newestVersion, p.oldestVersion
}

// SlotUsage returns the slots of the open backend servers, the number of calls there, and the
// number of live calls among these.
func (p *Pool) SlotUsage() (slots, busy, live int) { return p.slots, p.busy, p.live }

// MeanLoad returns the mean load of the open backend servers for a class.
func (p *Pool) MeanLoad(class gypsum.Class) float64 {
	return gypsum.RelativeLoad(class, p.live+int(p.sentCounter.live.Load()), p.busy+int(p.sentCounter.total.Load()), p.slots)
}

// RecordPlacement counts a call that was sent to a backend server.
func (p *Pool) RecordPlacement(backend *Backend, class gypsum.Class) {
	backend.Tracker.sentCounter.CountCall(class)
	p.sentCounter.CountCall(class)
}

// SentCounter returns the counter of calls placed since the pool was created.
func (p *Pool) SentCounter() *SentCounter { return &p.sentCounter }

// At returns a candidate by its index.
func (p *Pool) At(index int) gypsum.Candidate {
	backend := &p.backends[index]
	return gypsum.Candidate{
		ID:    gypsum.BackendID(backend.Host.ID),
		Slots: max(1, backend.Status.Slots),
		Busy:  backend.Status.Running + backend.Status.Queued + int(backend.Tracker.sentCounter.total.Load()),
		Live:  backend.Status.Live + int(backend.Tracker.sentCounter.live.Load()),
	}
}

// Successor returns the index of the candidate that owns the n-th point of the ring at or
// after a hash; n = 0 is the next.
func (p *Pool) Successor(hash uint64, n int) int {
	first, _ := slices.BinarySearchFunc(p.ring, hash, func(p ringPoint, hash uint64) int { return cmp.Compare(p.hash, hash) })
	return p.ring[(first+n)%len(p.ring)].index
}

// IsUsable reports whether the candidate may get the call.
func (p *Pool) IsUsable(index int, call *gypsum.Call) bool {
	backend := &p.backends[index]
	if backend.Closed || slices.Contains(call.ExcludedBackends, gypsum.BackendID(backend.Host.ID)) {
		return false
	}
	if version := backend.Status.Version; version > 0 && version < call.MinVersion {
		return false
	}
	// If too many are ejected, the network is the more likely cause, so ejections are
	// ignored.
	return p.ejected*maxEjectedDivisor > p.openCount || !backend.Tracker.IsEjected(p.createdAt)
}

// FindBackend returns a backend server by its id.
func (p *Pool) FindBackend(id gypsum.BackendID) (*Backend, bool) {
	index, ok := p.indexByID[id]
	if !ok {
		return nil, false
	}
	return &p.backends[index], true
}

// Hosts returns the hosts of all backend servers of the pool.
func (p *Pool) Hosts() []gypsum.Host {
	hosts := make([]gypsum.Host, len(p.backends))
	for i := range p.backends {
		hosts[i] = p.backends[i].Host
	}
	return hosts
}

// Package route places calls on backend servers: first a data centre, then a
// backend server in it.
package route

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum"
)

// ringPoints is the number of points of a backend server on the hash ring.
const ringPoints = 16

// Times of ejection after consecutive failures.
const (
	ejectAfter = 3
	ejectBase  = time.Second
	ejectMax   = 30 * time.Second
)

// ejectParts bounds the ejected backend servers to 1/ejectParts of a pool.
const ejectParts = 3

// Sent counts calls that were sent and are not in the news yet.
type Sent struct {
	all  atomic.Int64
	live atomic.Int64
}

// Add counts a call.
func (s *Sent) Add(class gypsum.Class) {
	s.all.Add(1)
	if class == gypsum.ClassLive {
		s.live.Add(1)
	}
}

// reset starts anew.
func (s *Sent) reset() {
	s.all.Store(0)
	s.live.Store(0)
}

// Tracker is what this daemon itself knows of a backend server, kept over the
// pools it is in.
type Tracker struct {
	sent     Sent
	failures atomic.Int64
	until    atomic.Int64
}

// Reported notes that a load report arrived, which includes what was sent before.
func (t *Tracker) Reported() { t.sent.reset() }

// Succeeded notes a whole answer.
func (t *Tracker) Succeeded() {
	t.failures.Store(0)
	t.until.Store(0)
}

// Failed notes a failure of the backend server. Several in a row eject it for
// a time that doubles.
func (t *Tracker) Failed(now time.Time) {
	failures := t.failures.Add(1)
	if failures < ejectAfter {
		return
	}
	wait := ejectMax
	if shift := failures - ejectAfter; shift < 5 {
		wait = ejectBase << shift
	}
	t.until.Store(now.Add(wait).UnixNano())
}

// Ejected tells whether the backend server gets no calls now.
func (t *Tracker) Ejected(now time.Time) bool {
	return now.UnixNano() < t.until.Load()
}

// Backend is a backend server of a pool.
type Backend struct {
	Host    gypsum.Host
	Owner   gypsum.Member
	News    gypsum.BackendStatus
	Tracker *Tracker
	// Closed means that it gets no new calls: leaving, drained, down or swapping.
	Closed bool
}

// Pool is the set of backend servers of a service in a data centre. It is
// immutable but for the trackers.
type Pool struct {
	backends []Backend
	index    map[gypsum.BackendID]int
	ring     []point
	slots    int
	busy     int
	live     int
	open     int
	newest   gypsum.WeightVersion
	oldest   gypsum.WeightVersion
	ejected  int
	// Sent are the calls placed since the pool was made.
	sent Sent
	made time.Time
}

// point is a place on the hash ring.
type point struct {
	hash  uint64
	index int
}

// NewPool returns a pool of the backend servers. If previous has the same
// members, their ring is used again.
func NewPool(backends []Backend, previous *Pool, now time.Time) *Pool {
	slices.SortFunc(backends, func(a, b Backend) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
	pool := &Pool{backends: backends, index: make(map[gypsum.BackendID]int, len(backends)), made: now}
	for i := range backends {
		backend := &backends[i]
		pool.index[gypsum.BackendID(backend.Host.ID)] = i
		pool.addVersion(backend)
		if backend.Closed {
			continue
		}
		pool.open++
		pool.slots += max(1, backend.News.Slots)
		pool.busy += backend.News.Running + backend.News.Queued + int(backend.Tracker.sent.all.Load())
		pool.live += backend.News.Live + int(backend.Tracker.sent.live.Load())
		if backend.Tracker.Ejected(now) {
			pool.ejected++
		}
	}
	if previous != nil && pool.sameMembers(previous) {
		pool.ring = previous.ring
	} else {
		pool.ring = newRing(backends)
	}
	return pool
}

// sameMembers tells whether two pools have the same backend servers.
func (p *Pool) sameMembers(other *Pool) bool {
	return slices.EqualFunc(p.backends, other.backends, func(a, b Backend) bool { return a.Host.ID == b.Host.ID })
}

// newRing returns the hash ring of the backend servers.
func newRing(backends []Backend) []point {
	ring := make([]point, 0, len(backends)*ringPoints)
	for i := range backends {
		for n := range ringPoints {
			ring = append(ring, point{gypsum.Hash64(backends[i].Host.ID, string(rune('a'+n))), i})
		}
	}
	slices.SortFunc(ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	return ring
}

// Len returns the number of backend servers.
func (p *Pool) Len() int { return len(p.backends) }

// Open returns the number of backend servers that may get calls.
func (p *Pool) Open() int { return p.open }

// addVersion takes a backend server's version into account, unless it is down.
func (p *Pool) addVersion(backend *Backend) {
	version := backend.News.Version
	if backend.News.Down || version == 0 {
		return
	}
	p.newest = max(p.newest, version)
	if p.oldest == 0 || version < p.oldest {
		p.oldest = version
	}
}

// Versions returns the newest and the oldest version of the weights on the
// backend servers, 0 if none is known.
func (p *Pool) Versions() (newest, oldest gypsum.WeightVersion) { return p.newest, p.oldest }

// Load returns the slots of the open backend servers, the calls there, and the
// live calls among them.
func (p *Pool) Load() (slots, busy, live int) { return p.slots, p.busy, p.live }

// Mean returns the mean load of the open backend servers for a class.
func (p *Pool) Mean(class gypsum.Class) float64 {
	return gypsum.RelativeLoad(class, p.live+int(p.sent.live.Load()), p.busy+int(p.sent.all.Load()), p.slots)
}

// Placed counts a call that was sent to a backend server.
func (p *Pool) Placed(backend *Backend, class gypsum.Class) {
	backend.Tracker.sent.Add(class)
	p.sent.Add(class)
}

// Sent returns the count of the calls placed since the pool was made.
func (p *Pool) Sent() *Sent { return &p.sent }

// At returns a candidate by its index.
func (p *Pool) At(index int) gypsum.Candidate {
	backend := &p.backends[index]
	return gypsum.Candidate{
		ID:    gypsum.BackendID(backend.Host.ID),
		Slots: max(1, backend.News.Slots),
		Busy:  backend.News.Running + backend.News.Queued + int(backend.Tracker.sent.all.Load()),
		Live:  backend.News.Live + int(backend.Tracker.sent.live.Load()),
	}
}

// Successor returns the index of the n-th candidate on the hash ring after a point.
func (p *Pool) Successor(hash uint64, n int) int {
	at, _ := slices.BinarySearchFunc(p.ring, hash, func(p point, hash uint64) int { return cmp.Compare(p.hash, hash) })
	return p.ring[(at+n)%len(p.ring)].index
}

// Usable tells whether the candidate may get the call.
func (p *Pool) Usable(index int, call *gypsum.Call) bool {
	backend := &p.backends[index]
	if backend.Closed || slices.Contains(call.ExcludedBackends, gypsum.BackendID(backend.Host.ID)) {
		return false
	}
	if known := backend.News.Version; known > 0 && known < call.MinVersion {
		return false
	}
	// With too many ejected, ejection says more of the network than of them.
	return p.ejected*ejectParts > p.open || !backend.Tracker.Ejected(p.made)
}

// Find returns a backend server by its name.
func (p *Pool) Find(id gypsum.BackendID) (*Backend, bool) {
	index, ok := p.index[id]
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

package route

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/gypsumhook/gypsum"
)

// Bounds of affinity: a backend server that has the prompt's prefix is chosen up to the
// load maxAffinityLoad, or up to maxAffinityLoadFactor times the mean load, but only while
// it has a free slot.
// maxAffinityProbes is the number of points of the hash ring that are examined.
const (
	maxAffinityLoad       = 0.75
	maxAffinityLoadFactor = 1.25
	maxAffinityProbes     = 3
)

// randomCandidates is the number of random candidates among which the least loaded is
// chosen.
const randomCandidates = 3

// maxRandomDraws bounds the random draws before all candidates are considered.
const maxRandomDraws = 16

// NewAffinityPlacer returns a placer that prefers the backend servers that the hash of a
// prompt's prefix maps to, as long as their load allows. Otherwise it chooses the least
// loaded of a few random candidates. Its cost does not grow with the pool.
func NewAffinityPlacer() gypsum.Placer { return affinityPlacer{} }

type affinityPlacer struct{}

// meanLoader is a pool that knows its mean load.
type meanLoader interface {
	MeanLoad(class gypsum.Class) float64
}

// Place implements gypsum.Placer.
func (affinityPlacer) Place(call *gypsum.Call, pool gypsum.CandidatePool) (gypsum.Placement, bool) {
	if pool.Len() == 0 {
		return gypsum.Placement{}, false
	}
	if call.PrefixHash != 0 {
		if placement, ok := placeByAffinity(call, pool); ok {
			return placement, true
		}
	}
	return placeLeastLoadedOfRandom(call, pool)
}

// placeByAffinity chooses the first backend server after the prefix's hash on the ring
// whose load is within the bound.
func placeByAffinity(call *gypsum.Call, pool gypsum.CandidatePool) (gypsum.Placement, bool) {
	bound := maxAffinityLoad
	if loader, ok := pool.(meanLoader); ok {
		bound = min(max(bound, maxAffinityLoadFactor*loader.MeanLoad(call.Class)), 1)
	}
	for n := range maxAffinityProbes {
		index := pool.Successor(call.PrefixHash, n)
		candidate := pool.At(index)
		if pool.IsUsable(index, call) && candidate.Load(call.Class) < bound {
			return gypsum.Placement{Backend: candidate.ID, Reason: "prefix_affinity", Considered: n + 1, Load: candidate.Load(call.Class)}, true
		}
	}
	return gypsum.Placement{}, false
}

// placeLeastLoadedOfRandom chooses the least loaded of a few random candidates.
func placeLeastLoadedOfRandom(call *gypsum.Call, pool gypsum.CandidatePool) (gypsum.Placement, bool) {
	best := gypsum.Placement{Reason: "least_of_random"}
	usable := 0
	for draw := 0; draw < maxRandomDraws && usable < randomCandidates; draw++ {
		index := rand.IntN(pool.Len())
		if pool.IsUsable(index, call) {
			usable++
			replaceIfLessLoaded(&best, call, pool.At(index))
		}
	}
	if usable > 0 {
		best.Considered = usable
		return best, true
	}
	return placeLeastLoaded(call, pool)
}

// NewLeastLoadedPlacer returns a placer that chooses the least loaded of all candidates.
func NewLeastLoadedPlacer() gypsum.Placer { return leastLoadedPlacer{} }

type leastLoadedPlacer struct{}

// Place implements gypsum.Placer.
func (leastLoadedPlacer) Place(call *gypsum.Call, pool gypsum.CandidatePool) (gypsum.Placement, bool) {
	return placeLeastLoaded(call, pool)
}

// placeLeastLoaded chooses the least loaded of all usable candidates.
func placeLeastLoaded(call *gypsum.Call, pool gypsum.CandidatePool) (gypsum.Placement, bool) {
	best := gypsum.Placement{Reason: "least_of_all"}
	usable := 0
	for index := range pool.Len() {
		if pool.IsUsable(index, call) {
			usable++
			replaceIfLessLoaded(&best, call, pool.At(index))
		}
	}
	best.Considered = usable
	return best, usable > 0
}

// replaceIfLessLoaded replaces best if the candidate is less loaded.
func replaceIfLessLoaded(best *gypsum.Placement, call *gypsum.Call, candidate gypsum.Candidate) {
	if load := candidate.Load(call.Class); best.Backend == "" || load < best.Load {
		best.Backend, best.Load = candidate.ID, load
	}
}

// NewRoundRobinPlacer returns a placer that chooses the usable candidates in turn.
func NewRoundRobinPlacer() gypsum.Placer { return &roundRobinPlacer{} }

type roundRobinPlacer struct {
	next atomic.Uint64
}

// Place implements gypsum.Placer.
func (r *roundRobinPlacer) Place(call *gypsum.Call, pool gypsum.CandidatePool) (gypsum.Placement, bool) {
	for range pool.Len() {
		index := int(r.next.Add(1) % uint64(pool.Len()))
		if pool.IsUsable(index, call) {
			candidate := pool.At(index)
			return gypsum.Placement{Backend: candidate.ID, Reason: "round_robin", Considered: 1, Load: candidate.Load(call.Class)}, true
		}
	}
	return gypsum.Placement{}, false
}

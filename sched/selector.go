package sched

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/gypsumhook/gypsum"
)

// engineSelector selects the engine with the shortest expected time per event for
// each of many items. It keeps the engines in heaps instead of scanning all of them
// for each item, since a large service has thousands of both.
//
// The expected time includes the engine's failure rate: an engine that fails half of
// its attempts immediately has free slots all the time and would otherwise attract
// items. An engine with a pending load gets no item that would delay the load unless
// no other engine may start it.
type engineSelector struct {
	engines []*Engine
	heaps   map[engineHeapKey]*engineHeap
}

// engineHeapKey is the set of properties of an item that determine which engines serve it
// and in which order they are preferred.
type engineHeapKey struct {
	model         gypsum.EngineModel
	minVersion    gypsum.WeightVersion
	singleVersion bool
	// software is the version that the text requires if isBegun is set.
	software gypsum.SoftwareVersion
	isBegun  bool
}

// newEngineSelector returns a selector over engines; heaps are built on first use.
func newEngineSelector(engines []*Engine) *engineSelector {
	return &engineSelector{engines: engines, heaps: make(map[engineHeapKey]*engineHeap)}
}

// fastestFor returns the engine to start an item on, or nil if none may start it.
func (s *engineSelector) fastestFor(item *Item) *Engine {
	key := engineHeapKey{item.Model, item.MinVersion, item.SingleVersion, item.Software, item.GeneratedEvents > 0}
	candidates, ok := s.heaps[key]
	if !ok {
		candidates = &engineHeap{}
		for i, engine := range s.engines {
			if engine.canServe(item) {
				delaysLoad := item.SingleVersion && engine.PendingLoad == item.Model
				*candidates = append(*candidates, engineCandidate{engine: engine, delaysLoad: delaysLoad, eventTime: engine.expectedEventTime(), index: i})
			}
		}
		heap.Init(candidates)
		s.heaps[key] = candidates
	}
	return candidates.fastestFor(item)
}

// engineCandidate is an engine with its expected event time when it was last examined.
type engineCandidate struct {
	engine *Engine
	// delaysLoad reports whether the item would delay a pending load on the engine.
	delaysLoad bool
	eventTime  time.Duration
	index      int
}

// less reports whether the candidate is preferred to another.
func (c *engineCandidate) less(other *engineCandidate) bool {
	if c.delaysLoad != other.delaysLoad {
		return other.delaysLoad
	}
	return cmp.Or(cmp.Compare(c.eventTime, other.eventTime), cmp.Compare(c.index, other.index)) < 0
}

// engineHeap is a heap of the engines that serve items with the same engineHeapKey. While
// it is in use, attempts are only added, so that event times only rise and slots
// only fill up: a stale candidate at the top is corrected when it is examined.
type engineHeap []engineCandidate

// fastestFor returns the engine with the shortest expected event time that may start an
// item, or nil if there is none.
func (h *engineHeap) fastestFor(item *Item) *Engine {
	var avoided []engineCandidate
	defer func() {
		for _, c := range avoided {
			heap.Push(h, c)
		}
	}()
	for h.Len() > 0 {
		first := &(*h)[0]
		switch eventTime := first.engine.expectedEventTime(); {
		case first.engine.Loading == item.Model || !first.engine.acceptsAttempt():
			heap.Pop(h)
		case eventTime > first.eventTime:
			first.eventTime = eventTime
			heap.Fix(h, 0)
		case first.engine.isAvoidedBy(item):
			avoided = append(avoided, *first)
			heap.Pop(h)
		default:
			return first.engine
		}
	}
	return nil
}

// Len implements heap.Interface.
func (h engineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h engineHeap) Less(i, j int) bool { return h[i].less(&h[j]) }

// Swap implements heap.Interface.
func (h engineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *engineHeap) Push(x any) {
	if c, ok := x.(engineCandidate); ok {
		*h = append(*h, c)
	}
}

// Pop implements heap.Interface.
func (h *engineHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

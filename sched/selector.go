package sched

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/gypsumhook/gypsum"
)

// engineSelector find the engine on which an item's events are expected to come fastest, for each
// of many items without a look at all engines for each: a large service has thousands of
// both. Load: an engine may fail half of its runs at once, and would draw items with its
// free slots. An engine that is to load the next version gets no item that would hold up
// the load, unless no other may start it.
type engineSelector struct {
	engines []*Engine
	heaps   map[heapKey]*engineHeap
}

// heapKey tells which engines serve an item, and in which order.
type heapKey struct {
	model         gypsum.EngineModel
	minVersion    gypsum.WeightVersion
	singleVersion bool
}

// newEngineSelector returns the pools of engines.
func newEngineSelector(engines []*Engine) *engineSelector {
	return &engineSelector{engines: engines, heaps: make(map[heapKey]*engineHeap)}
}

// fastest returns the engine for an item, nil if none may start it.
func (s *engineSelector) fastest(item *Item) *Engine {
	key := heapKey{item.Model, item.MinVersion, item.SingleVersion}
	candidates, ok := s.heaps[key]
	if !ok {
		candidates = &engineHeap{}
		for i, engine := range s.engines {
			if engine.serves(item) {
				delaysLoad := item.SingleVersion && engine.PendingLoad == item.Model
				*candidates = append(*candidates, candidate{engine: engine, delaysLoad: delaysLoad, eventTime: engine.expectedEventTime(), index: i})
			}
		}
		heap.Init(candidates)
		s.heaps[key] = candidates
	}
	return candidates.fastest(item)
}

// candidate is an engine with its cost when it was last looked at.
type candidate struct {
	engine *Engine
	// Behind means that the item would hold up a load.
	delaysLoad bool
	eventTime  time.Duration
	index      int
}

// less tells whether a candidate goes before another.
func (c *candidate) less(other *candidate) bool {
	if c.delaysLoad != other.delaysLoad {
		return other.delaysLoad
	}
	return cmp.Or(cmp.Compare(c.eventTime, other.eventTime), cmp.Compare(c.index, other.index)) < 0
}

// engineHeap is a heap of the engines that serve items of one model from one version on. Runs
// are only added while it is in use, so that costs only rise and slots only fill.
type engineHeap []candidate

// fastest returns the engine with the least cost that may start an item, nil for none.
func (h *engineHeap) fastest(item *Item) *Engine {
	var avoided []candidate
	defer func() {
		for _, c := range avoided {
			heap.Push(h, c)
		}
	}()
	for h.Len() > 0 {
		first := &(*h)[0]
		switch eventTime := first.engine.expectedEventTime(); {
		case first.engine.Unavailable || first.engine.Loading == item.Model || first.engine.Running >= first.engine.Slots:
			heap.Pop(h)
		case eventTime > first.eventTime:
			first.eventTime = eventTime
			heap.Fix(h, 0)
		case first.engine.avoidedBy(item):
			avoided = append(avoided, *first)
			heap.Pop(h)
		default:
			return first.engine
		}
	}
	return nil
}

// Len is part of heap.Interface.
func (h engineHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h engineHeap) Less(i, j int) bool { return h[i].less(&h[j]) }

// Swap is part of heap.Interface.
func (h engineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *engineHeap) Push(x any) {
	if c, ok := x.(candidate); ok {
		*h = append(*h, c)
	}
}

// Pop is part of heap.Interface.
func (h *engineHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

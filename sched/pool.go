package sched

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/gypsumhook/gypsum"
)

// pools find the engine on which an item's events are expected to come fastest, for each
// of many items without a look at all engines for each: a large service has thousands of
// both. Load: an engine may fail half of its runs at once, and would draw items with its
// free slots. An engine that is to load the next version gets no item that would hold up
// the load, unless no other may start it.
type pools struct {
	engines []*Engine
	made    map[poolKey]*pool
}

// poolKey tells which engines serve an item, and in which order.
type poolKey struct {
	model   gypsum.EngineModel
	version gypsum.WeightVersion
	single  bool
}

// newPools returns the pools of engines.
func newPools(engines []*Engine) *pools {
	return &pools{engines: engines, made: make(map[poolKey]*pool)}
}

// quickest returns the engine for an item, nil if none may start it.
func (p *pools) quickest(item *Item) *Engine {
	key := poolKey{item.Model, item.MinVersion, item.Single}
	found, ok := p.made[key]
	if !ok {
		found = &pool{}
		for order, engine := range p.engines {
			if engine.serves(item) {
				behind := item.Single && engine.Behind == item.Model
				*found = append(*found, candidate{engine: engine, behind: behind, cost: engine.costTime(), order: order})
			}
		}
		heap.Init(found)
		p.made[key] = found
	}
	return found.quickest(item)
}

// candidate is an engine with its cost when it was last looked at.
type candidate struct {
	engine *Engine
	// Behind means that the item would hold up a load.
	behind bool
	cost   time.Duration
	order  int
}

// before tells whether a candidate goes before another.
func (c *candidate) before(other *candidate) bool {
	if c.behind != other.behind {
		return other.behind
	}
	return cmp.Or(cmp.Compare(c.cost, other.cost), cmp.Compare(c.order, other.order)) < 0
}

// pool is a heap of the engines that serve items of one model from one version on. Runs
// are only added while it is in use, so that costs only rise and slots only fill.
type pool []candidate

// quickest returns the engine with the least cost that may start an item, nil for none.
func (p *pool) quickest(item *Item) *Engine {
	var aside []candidate
	defer func() {
		for _, one := range aside {
			heap.Push(p, one)
		}
	}()
	for p.Len() > 0 {
		first := &(*p)[0]
		switch cost := first.engine.costTime(); {
		case first.engine.Closed || first.engine.Loading == item.Model || first.engine.Running >= first.engine.Slots:
			heap.Pop(p)
		case cost > first.cost:
			first.cost = cost
			heap.Fix(p, 0)
		case first.engine.shunned(item):
			aside = append(aside, *first)
			heap.Pop(p)
		default:
			return first.engine
		}
	}
	return nil
}

// Len is part of heap.Interface.
func (p pool) Len() int { return len(p) }

// Less is part of heap.Interface.
func (p pool) Less(i, j int) bool { return p[i].before(&p[j]) }

// Swap is part of heap.Interface.
func (p pool) Swap(i, j int) { p[i], p[j] = p[j], p[i] }

// Push is part of heap.Interface.
func (p *pool) Push(x any) {
	if one, ok := x.(candidate); ok {
		*p = append(*p, one)
	}
}

// Pop is part of heap.Interface.
func (p *pool) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

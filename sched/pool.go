package sched

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/gypsumhook/gypsum"
)

// pools find the engine with the least cost for each of many items without a look at
// all engines for each: a large service has thousands of both.
type pools struct {
	engines []*Engine
	made    map[poolKey]*pool
}

// poolKey tells which engines serve an item.
type poolKey struct {
	model   gypsum.EngineModel
	version gypsum.WeightVersion
}

// newPools returns the pools of engines.
func newPools(engines []*Engine) *pools {
	return &pools{engines: engines, made: make(map[poolKey]*pool)}
}

// quickest returns the engine for an item as the function of this name does.
func (p *pools) quickest(item *Item) *Engine {
	if item.Single {
		return quickest(item, p.engines) // its order is not by cost alone
	}
	key := poolKey{item.Model, item.MinVersion}
	found, ok := p.made[key]
	if !ok {
		found = &pool{}
		for order, engine := range p.engines {
			if engine.serves(item) {
				*found = append(*found, candidate{engine: engine, cost: engine.costTime(), order: order})
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
	cost   time.Duration
	order  int
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
func (p pool) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(p[i].cost, p[j].cost), cmp.Compare(p[i].order, p[j].order)) < 0
}

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

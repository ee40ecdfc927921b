package core

import (
	"context"
	"sync"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/epoch"
	"github.com/gypsumhook/gypsum/order"
	"github.com/gypsumhook/gypsum/plan"
	"github.com/gypsumhook/gypsum/route"
)

// plans are the books of the rollout plans that this daemon owns.
type plans struct {
	node *Node
	ctx  context.Context

	mu    sync.Mutex
	books map[gypsum.PlanName]*openBook
}

// openBook is a book and the way to end it.
type openBook struct {
	book *plan.Book
	stop context.CancelFunc
}

// newPlans returns the plans of a daemon that owns none yet.
func newPlans(ctx context.Context, n *Node) *plans {
	return &plans{node: n, ctx: ctx, books: make(map[gypsum.PlanName]*openBook)}
}

// planItem is the name under which a plan is given to an owner.
func planItem(name gypsum.PlanName) string { return "plan/" + string(name) }

// follow ends the books of plans that another daemon owns now.
func (p *plans) follow(view *View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, open := range p.books {
		if _, ok := view.Plan(name); !ok || !view.owns(planItem(name), p.node.Home) {
			p.node.Logger.Info("plan given up", "plan", name)
			open.stop()
			delete(p.books, name)
		}
	}
}

// get returns the book of a plan, opened on first use.
func (p *plans) get(name gypsum.PlanName) *plan.Book {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open, ok := p.books[name]; ok {
		return open.book
	}
	n := p.node
	book := &plan.Book{
		Spec:      func() (gypsum.PlanSpec, bool) { return n.View().Plan(name) },
		Parallel:  func() int { return n.planParallel(name) },
		Newest:    func() gypsum.WeightVersion { return n.planNewest(name) },
		Route:     gypsum.RunnerFunc(n.Run),
		Scheduler: n.Scheduler, Logger: n.Logger,
	}
	ctx, stop := context.WithCancel(p.ctx)
	book.Start(ctx, name)
	n.tasks.start(func() { <-book.Done() })
	p.books[name] = &openBook{book: book, stop: stop}
	n.Logger.Info("plan taken over", "plan", name)
	return book
}

// planParallel returns how many attempts of a plan may run or wait at once: as many
// as live calls leave slots, and a few more. An attempt that waits in a queue
// cannot use a slot that gets free elsewhere.
func (n *Node) planParallel(name gypsum.PlanName) int {
	view := n.View()
	spec, ok := view.Plan(name)
	if !ok {
		return 0
	}
	room := view.room(spec.Service)
	return max(1, room+room/8)
}

// planNewest returns the newest version that engines of a plan's service report.
func (n *Node) planNewest(name gypsum.PlanName) gypsum.WeightVersion {
	view := n.View()
	spec, _ := view.Plan(name)
	return view.newest(spec.Service)
}

// keepers give the orders to engines, one keeper for each model service.
type keepers struct {
	node *Node
	ctx  context.Context

	mu       sync.Mutex
	services map[gypsum.ServiceName]*order.Keeper
}

// newKeepers returns the keepers of a daemon without services.
func newKeepers(ctx context.Context, n *Node) *keepers {
	return &keepers{node: n, ctx: ctx, services: make(map[gypsum.ServiceName]*order.Keeper)}
}

// follow starts keepers for the services whose engines follow the weights.
func (k *keepers) follow(view *View) {
	if view.Config == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, service := range view.Config.Services {
		if _, ok := k.services[name]; !ok && service.Spec.FollowWeights {
			k.services[name] = k.start(name)
		}
	}
}

// start starts the keeper of a service in this data centre.
func (k *keepers) start(name gypsum.ServiceName) *order.Keeper {
	n := k.node
	item := "orders/" + string(name) + "/" + string(n.Self.Location.DataCentre)
	keeper := &order.Keeper{
		Stream: &epoch.Stream{
			Log: n.health, Name: gypsum.StreamName(item), Machine: order.Machine{},
			Stateless: true, Logger: n.Logger, Timeout: n.Tuning.LogTimeout,
		},
		Store: n.Store, Dialer: n.Dialer, Logger: n.Logger, LoadsPerSecond: n.Tuning.LoadsPerSecond,
		Spec:    func() (gypsum.ServiceSpec, bool) { return n.View().Service(name) },
		Owner:   func() bool { return n.View().ownsInCentre(item) },
		Engines: func() []gypsum.Host { return n.View().engines(name) },
		Share: func(limit int, target gypsum.WeightVersion) int {
			return route.LocalReloadLimit(n.View().Centres[name], limit, target)
		},
		Replicas: func() int { return n.View().replicas(name) },
	}
	keeper.Start(k.ctx)
	n.tasks.start(keeper.Wait)
	return keeper
}

// replicas returns the number of a service's backend servers in the host list.
func (v *View) replicas(name gypsum.ServiceName) int {
	count := 0
	for _, host := range v.Backends {
		if host.Service == name {
			count++
		}
	}
	return count
}

// engines returns the engines of a service whose orders are given from this
// data centre.
func (v *View) engines(name gypsum.ServiceName) []gypsum.Host {
	pool, ok := v.Pools[name]
	if !ok {
		return nil
	}
	return pool.Hosts()
}

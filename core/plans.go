package core

import (
	"context"
	"sync"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/epoch"
	"github.com/gypsumhook/gypsum/plan"
	"github.com/gypsumhook/gypsum/route"
	"github.com/gypsumhook/gypsum/weight"
)

// ownedPlans holds the fillers of the rollout plans that this daemon owns.
type ownedPlans struct {
	core *Core
	ctx  context.Context

	mu      sync.Mutex
	running map[gypsum.PlanName]*runningPlan
}

// runningPlan is a running filler and the function that stops it.
type runningPlan struct {
	filler *plan.Filler
	stop   context.CancelFunc
}

func newOwnedPlans(ctx context.Context, c *Core) *ownedPlans {
	return &ownedPlans{core: c, ctx: ctx, running: make(map[gypsum.PlanName]*runningPlan)}
}

// planOwnershipKey returns the rendezvous hashing key that determines the owner of a
// plan.
func planOwnershipKey(name gypsum.PlanName) string { return "plan/" + string(name) }

// reconcile stops the fillers of plans that were deleted or that another daemon owns
// now.
func (p *ownedPlans) reconcile(view *View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, running := range p.running {
		if _, ok := view.Plan(name); !ok || !view.ownsInRegion(planOwnershipKey(name), p.core.HomeRegion) {
			p.core.Logger.Info("plan given up", "plan", name)
			running.stop()
			delete(p.running, name)
		}
	}
}

// get returns the filler of a plan and starts it on first use.
func (p *ownedPlans) get(name gypsum.PlanName) *plan.Filler {
	p.mu.Lock()
	defer p.mu.Unlock()
	if running, ok := p.running[name]; ok {
		return running.filler
	}
	c := p.core
	filler := &plan.Filler{
		Spec:          func() (gypsum.PlanSpec, bool) { return c.View().Plan(name) },
		Concurrency:   func() int { return c.planConcurrency(name) },
		NewestVersion: func() gypsum.WeightVersion { return c.planNewestVersion(name) },
		Runner:        gypsum.CallRunnerFunc(c.Run),
		Scheduler:     c.Scheduler, Logger: c.Logger,
	}
	ctx, stop := context.WithCancel(p.ctx)
	filler.Start(ctx, name)
	c.tasks.start(func() { <-filler.Done() })
	p.running[name] = &runningPlan{filler: filler, stop: stop}
	c.Logger.Info("plan taken over", "plan", name)
	return filler
}

// planConcurrency returns how many attempts of a plan may run or be queued at the same
// time: the number of slots not used by live calls, and an eighth more, since an
// attempt queued at one engine cannot use a slot that becomes free at another.
func (c *Core) planConcurrency(name gypsum.PlanName) int {
	view := c.View()
	spec, ok := view.Plan(name)
	if !ok {
		return 0
	}
	slots := view.trainerSlots(spec.Service)
	return max(1, slots+slots/8)
}

// planNewestVersion returns the newest weight version reported by the engines of a
// plan's service.
func (c *Core) planNewestVersion(name gypsum.PlanName) gypsum.WeightVersion {
	view := c.View()
	spec, _ := view.Plan(name)
	return view.newestVersion(spec.Service)
}

// weightUpdaters sends load orders to engines, with one updater per model service.
type weightUpdaters struct {
	core *Core
	ctx  context.Context

	mu       sync.Mutex
	services map[gypsum.ServiceName]*weight.Updater
}

func newWeightUpdaters(ctx context.Context, c *Core) *weightUpdaters {
	return &weightUpdaters{core: c, ctx: ctx, services: make(map[gypsum.ServiceName]*weight.Updater)}
}

// reconcile starts an updater for each service whose engines follow the weight store.
func (u *weightUpdaters) reconcile(view *View) {
	if view.Config == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for name, service := range view.Config.Services {
		if _, ok := u.services[name]; !ok && service.Spec.FollowWeights {
			u.services[name] = u.start(name)
		}
	}
}

// start starts the updater of a service in this data centre.
func (u *weightUpdaters) start(name gypsum.ServiceName) *weight.Updater {
	c := u.core
	ownershipKey := "orders/" + string(name) + "/" + string(c.Self.Location.DataCentre)
	updater := &weight.Updater{
		Stream: &epoch.Stream{
			Log: c.logBreaker, Name: gypsum.StreamName(ownershipKey), StateMachine: weight.StateMachine{},
			Stateless: true, Logger: c.Logger, Timeout: c.Tuning.LogTimeout,
		},
		Store: c.Store, Dialer: c.Dialer, Logger: c.Logger, LoadsPerSecond: c.Tuning.LoadsPerSecond,
		Spec:    func() (gypsum.ServiceSpec, bool) { return c.View().Service(name) },
		IsOwner: func() bool { return c.View().ownsInDataCentre(ownershipKey) },
		Engines: func() []gypsum.Host { return c.View().localEngines(name) },
		LocalLoadLimit: func(limit int, target gypsum.WeightVersion) int {
			return route.LocalLoadLimit(c.View().DataCentres[name], limit, target)
		},
		ReplicaCount: func() int { return c.View().replicaCount(name) },
	}
	updater.Start(u.ctx)
	c.tasks.start(updater.Wait)
	return updater
}

// replicaCount returns the number of a service's backend servers in the host list.
func (v *View) replicaCount(name gypsum.ServiceName) int {
	count := 0
	for _, host := range v.Backends {
		if host.Service == name {
			count++
		}
	}
	return count
}

// localEngines returns the engines of a service that get their load orders from this
// data centre.
func (v *View) localEngines(name gypsum.ServiceName) []gypsum.Host {
	pool, ok := v.Pools[name]
	if !ok {
		return nil
	}
	return pool.Hosts()
}

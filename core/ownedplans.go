package core

import (
	"context"
	"sync"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/plan"
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
	cancel context.CancelFunc
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
			p.core.Logger.Info("plan filler stopped", "plan", name)
			running.cancel()
			delete(p.running, name)
		}
	}
}

// filler returns the filler of a plan and starts it on first use.
func (p *ownedPlans) filler(name gypsum.PlanName) *plan.Filler {
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
	p.running[name] = &runningPlan{filler: filler, cancel: stop}
	c.Logger.Info("plan filler started", "plan", name)
	return filler
}

// planConcurrency returns how many attempts of a plan may run or be queued at the same
// time: the number of slots not used by live calls, and half as many more, since an
// attempt queued at one engine cannot use a slot that becomes free at another.
func (c *Core) planConcurrency(name gypsum.PlanName) int {
	view := c.View()
	spec, ok := view.Plan(name)
	if !ok {
		return 0
	}
	slots := view.trainerSlotCount(spec.Service)
	return max(1, slots+slots/2)
}

// planNewestVersion returns the newest weight version reported by the engines of a
// plan's service.
func (c *Core) planNewestVersion(name gypsum.PlanName) gypsum.WeightVersion {
	view := c.View()
	spec, _ := view.Plan(name)
	return view.newestVersion(spec.Service)
}

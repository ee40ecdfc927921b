package bench

import (
	"github.com/gypsumhook/gypsum/core"
	"github.com/gypsumhook/gypsum/plan"
	"github.com/gypsumhook/gypsum/queue"
	"github.com/gypsumhook/gypsum/route"
)

// Policy is a named combination of placement, queueing, admission and scheduling
// policies.
type Policy struct {
	Name string
	// Apply sets the policies of a daemon before it starts; the others keep their
	// defaults.
	Apply func(*core.Core)
}

// CurrentPolicy is the name of the policy that daemons use by default.
const CurrentPolicy = "current"

// Policies returns all policies to compare: the baselines, the alternatives that replace
// one part of the current policy, and the current policy.
func Policies() []Policy {
	return []Policy{
		{"round_robin_fifo", func(c *core.Core) {
			c.Placer, c.NewCallQueue, c.Admission, c.Scheduler = route.NewRoundRobinPlacer(), queue.NewFIFOQueue, queue.NewBoundedAdmission(), plan.NewCurrentStepScheduler()
		}},
		{"least_fifo", func(c *core.Core) {
			c.Placer, c.NewCallQueue, c.Admission, c.Scheduler = route.NewLeastLoadedPlacer(), queue.NewFIFOQueue, queue.NewBoundedAdmission(), plan.NewCurrentStepScheduler()
		}},
		{"in_order", func(c *core.Core) { c.Scheduler = plan.NewCurrentStepScheduler() }},
		{"nearest_deadline", func(c *core.Core) { c.NewCallQueue = queue.NewEarliestDeadlineQueue }},
		{"max_min_utility", func(c *core.Core) { c.NewCallQueue = queue.NewMaxMinUtilityQueue }},
		{CurrentPolicy, func(*core.Core) {}},
	}
}

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
			c.Placer, c.NewCallQueue, c.Admission, c.Scheduler = route.NewRoundRobin(), queue.NewFIFO, queue.NewBoundedAdmission(), plan.NewCurrentStep()
		}},
		{"least_fifo", func(c *core.Core) {
			c.Placer, c.NewCallQueue, c.Admission, c.Scheduler = route.NewLeastLoaded(), queue.NewFIFO, queue.NewBoundedAdmission(), plan.NewCurrentStep()
		}},
		{"in_order", func(c *core.Core) { c.Scheduler = plan.NewCurrentStep() }},
		{"nearest_deadline", func(c *core.Core) { c.NewCallQueue = queue.NewEarliestDeadline }},
		{"max_min_utility", func(c *core.Core) { c.NewCallQueue = queue.NewMaxMinUtility }},
		{CurrentPolicy, func(*core.Core) {}},
	}
}

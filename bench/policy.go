package bench

import (
	"github.com/gypsumhook/gypsum/core"
	"github.com/gypsumhook/gypsum/plan"
	"github.com/gypsumhook/gypsum/queue"
	"github.com/gypsumhook/gypsum/route"
)

// Policy is a named set of policies.
type Policy struct {
	Name string
	// Apply gives a daemon the policies.
	Apply func(*core.Core)
}

// CurrentPolicy is the policy that daemons run with.
const CurrentPolicy = "current"

// Policies returns the current policy and its rivals, the baselines first.
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

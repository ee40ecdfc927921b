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
	// Set gives a daemon the policies.
	Set func(*core.Core)
}

// Current is the policy that daemons run with.
const Current = "current"

// Policies returns the current policy and its rivals, the baselines first.
func Policies() []Policy {
	return []Policy{
		{"round_robin_fifo", func(n *core.Core) {
			n.Placer, n.NewCallQueue, n.Admission, n.Scheduler = route.NewRoundRobin(), queue.NewFIFO, queue.NewBoundedAdmission(), plan.NewCurrentStep()
		}},
		{"least_fifo", func(n *core.Core) {
			n.Placer, n.NewCallQueue, n.Admission, n.Scheduler = route.NewLeastLoaded(), queue.NewFIFO, queue.NewBoundedAdmission(), plan.NewCurrentStep()
		}},
		{"in_order", func(n *core.Core) { n.Scheduler = plan.NewCurrentStep() }},
		{"nearest_deadline", func(n *core.Core) { n.NewCallQueue = queue.NewEarliestDeadline }},
		{"max_min_utility", func(n *core.Core) { n.NewCallQueue = queue.NewMaxMinUtility }},
		{Current, func(*core.Core) {}},
	}
}

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
	Set func(*core.Node)
}

// Current is the policy that daemons run with.
const Current = "current"

// Policies returns the current policy and its rivals, the baselines first.
func Policies() []Policy {
	return []Policy{
		{"round_robin_fifo", func(n *core.Node) {
			n.Placer, n.NewLine, n.Admission, n.Scheduler = route.NewRoundRobin(), queue.NewFIFO, queue.NewBoundedAdmission(), plan.NewInOrder()
		}},
		{"least_fifo", func(n *core.Node) {
			n.Placer, n.NewLine, n.Admission, n.Scheduler = route.NewLeastLoaded(), queue.NewFIFO, queue.NewBoundedAdmission(), plan.NewInOrder()
		}},
		{"in_order", func(n *core.Node) { n.Scheduler = plan.NewInOrder() }},
		{"nearest_deadline", func(n *core.Node) { n.NewLine = queue.NewEarliestDeadline }},
		{"max_min_utility", func(n *core.Node) { n.NewLine = queue.NewMaxMinUtility }},
		{Current, func(*core.Node) {}},
	}
}

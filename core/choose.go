package core

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/route"
)

// choose returns the daemon that takes the call over, and the call as sent to it.
func (n *Node) choose(view *View, call *gypsum.Call) (gypsum.Member, *gypsum.Call, *gypsum.Refusal) {
	onward := *call
	onward.Hops++
	mayCross := n.budgets[call.Class].Allows(time.Now())
	centre, rule := n.chooseCentre(view, call, mayCross)
	if centre == nil {
		refusal := gypsum.NotRun(gypsum.ReasonNoBackend, http.StatusServiceUnavailable, time.Second, "no backend server can take the call")
		n.Logger.Info("call not placed", "request", call.ID, "service", call.Service, "may_cross", mayCross)
		return gypsum.Member{}, nil, refusal
	}
	if !centre.Local && len(centre.Members) > 0 {
		return n.chooseFar(view, &onward, centre, rule)
	}
	return n.chooseNear(view, &onward, rule)
}

// chooseCentre returns the data centre for a call. A call that came from
// another one stays.
func (n *Node) chooseCentre(view *View, call *gypsum.Call, mayCross bool) (*route.DataCentre, string) {
	centres := view.Centres[call.Service]
	if call.DataCentre == view.Self.Location.DataCentre {
		for i := range centres {
			if centres[i].Local {
				return &centres[i], "placed_here"
			}
		}
		return nil, ""
	}
	if len(call.AvoidedDataCentres) > 0 {
		centres = slices.DeleteFunc(slices.Clone(centres), func(centre route.DataCentre) bool {
			return slices.Contains(call.AvoidedDataCentres, centre.Location.DataCentre)
		})
	}
	return route.ChooseDataCentre(centres, call.Class, view.Self.Location.Region, mayCross)
}

// chooseFar hands the call to a member of another data centre for placement there.
func (n *Node) chooseFar(view *View, onward *gypsum.Call, centre *route.DataCentre, rule string) (gypsum.Member, *gypsum.Call, *gypsum.Refusal) {
	if centre.Sent != nil {
		centre.Sent.Add(onward.Class)
	}
	brief := centre.Members[rand.IntN(len(centre.Members))]
	onward.Stage, onward.DataCentre = gypsum.StagePlace, centre.Location.DataCentre
	target := gypsum.Member{ID: brief.ID, Address: brief.Address, Location: centre.Location}
	n.Logger.Info("call sent to data centre", "request", onward.ID, "service", onward.Service, "data_centre", centre.Location.DataCentre,
		"to_host", brief.ID, "why", rule, "load", centre.Load(onward.Class), "weighed", len(view.Centres[onward.Service]))
	return target, onward, nil
}

// chooseNear places the call on a backend server of the own data centre.
func (n *Node) chooseNear(view *View, onward *gypsum.Call, rule string) (gypsum.Member, *gypsum.Call, *gypsum.Refusal) {
	pool := view.Pools[onward.Service]
	var placement gypsum.Placement
	ok := false
	if pool != nil && pool.Len() > 0 {
		placement, ok = n.Placer.Place(onward, pool)
	}
	if !ok {
		refusal := gypsum.NotRun(gypsum.ReasonNoBackend, http.StatusServiceUnavailable, time.Second, "no backend server here can take the call now")
		refusal.DataCentre = view.Self.Location.DataCentre
		return gypsum.Member{}, nil, refusal
	}
	if view.saturated(onward) {
		onward.Redirects = gypsum.MaxRedirects
	}
	backend, _ := pool.Find(placement.Backend)
	pool.RecordPlacement(backend, onward.Class)
	onward.Stage, onward.Target = gypsum.StageQueue, placement.Backend
	n.Logger.Info("call placed", "request", onward.ID, "service", onward.Service, "backend", placement.Backend, "to_host", backend.Owner.ID,
		"why", placement.Reason, "centre_why", rule, "weighed", placement.Considered, "load", placement.Load, "excluded", len(onward.ExcludedBackends))
	return backend.Owner, onward, nil
}

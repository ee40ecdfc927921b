package core

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/route"
)

// chooseTarget returns the daemon to send the call to, and the call to send.
func (c *Core) chooseTarget(view *View, call *gypsum.Call) (gypsum.Member, *gypsum.Call, *gypsum.Refusal) {
	forwarded := *call
	forwarded.Hops++
	crossRegionAllowed := c.crossRegionBudgets[call.Class].Allows(time.Now())
	dataCentre, rule := c.chooseDataCentre(view, call, crossRegionAllowed)
	if dataCentre == nil {
		refusal := gypsum.NotRunRefusal(gypsum.ReasonNoBackend, http.StatusServiceUnavailable, time.Second, "no backend server can take the call")
		c.Logger.Info("call not placed", "request", call.ID, "service", call.Service, "may_cross", crossRegionAllowed)
		return gypsum.Member{}, nil, refusal
	}
	if !dataCentre.Local && len(dataCentre.Members) > 0 {
		return c.chooseRemoteTarget(view, &forwarded, dataCentre, rule)
	}
	return c.chooseLocalTarget(view, &forwarded, rule)
}

// chooseDataCentre returns the data centre for a call and the rule that chose it. A
// call that another data centre sent here stays here.
func (c *Core) chooseDataCentre(view *View, call *gypsum.Call, crossRegionAllowed bool) (*route.DataCentre, string) {
	dataCentres := view.DataCentres[call.Service]
	if call.DataCentre == view.Self.Location.DataCentre {
		for i := range dataCentres {
			if dataCentres[i].Local {
				return &dataCentres[i], "placed_here"
			}
		}
		return nil, ""
	}
	if len(call.ExcludedDataCentres) > 0 {
		dataCentres = slices.DeleteFunc(slices.Clone(dataCentres), func(dataCentre route.DataCentre) bool {
			return slices.Contains(call.ExcludedDataCentres, dataCentre.Location.DataCentre)
		})
	}
	return route.ChooseDataCentre(dataCentres, call.Class, view.Self.Location.Region, crossRegionAllowed)
}

// chooseRemoteTarget returns a random member of another data centre and the call to send to it.
// That member chooses the backend server.
func (c *Core) chooseRemoteTarget(view *View, forwarded *gypsum.Call, dataCentre *route.DataCentre, rule string) (gypsum.Member, *gypsum.Call, *gypsum.Refusal) {
	if dataCentre.Sent != nil {
		dataCentre.Sent.CountCall(forwarded.Class)
	}
	peer := dataCentre.Members[rand.IntN(len(dataCentre.Members))]
	forwarded.Stage, forwarded.DataCentre = gypsum.StagePlace, dataCentre.Location.DataCentre
	target := gypsum.Member{ID: peer.ID, Address: peer.Address, Location: dataCentre.Location}
	c.Logger.Info("call sent to data centre", "request", forwarded.ID, "service", forwarded.Service, "data_centre", dataCentre.Location.DataCentre,
		"to_host", peer.ID, "why", rule, "load", dataCentre.Load(forwarded.Class), "weighed", len(view.DataCentres[forwarded.Service]))
	return target, forwarded, nil
}

// chooseLocalTarget places the call on a backend server of the local data centre. It returns
// the owner of the backend server's queue and the call to send to that owner.
func (c *Core) chooseLocalTarget(view *View, forwarded *gypsum.Call, rule string) (gypsum.Member, *gypsum.Call, *gypsum.Refusal) {
	pool := view.Pools[forwarded.Service]
	var placement gypsum.Placement
	ok := false
	if pool != nil && pool.Len() > 0 {
		placement, ok = c.Placer.Place(forwarded, pool)
	}
	if !ok {
		refusal := gypsum.NotRunRefusal(gypsum.ReasonNoBackend, http.StatusServiceUnavailable, time.Second, "no backend server here can take the call now")
		refusal.DataCentre = view.Self.Location.DataCentre
		return gypsum.Member{}, nil, refusal
	}
	if view.isSaturated(forwarded) {
		forwarded.Redirects = gypsum.MaxRedirects
	}
	backend, _ := pool.FindBackend(placement.Backend)
	pool.RecordPlacement(backend, forwarded.Class)
	forwarded.Stage, forwarded.Target = gypsum.StageQueue, placement.Backend
	c.Logger.Info("call placed", "request", forwarded.ID, "service", forwarded.Service, "backend", placement.Backend, "to_host", backend.Owner.ID,
		"why", placement.Reason, "centre_why", rule, "weighed", placement.Considered, "load", placement.Load, "excluded", len(forwarded.ExcludedBackends))
	return backend.Owner, forwarded, nil
}

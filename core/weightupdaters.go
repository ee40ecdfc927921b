package core

import (
	"context"
	"sync"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/epoch"
	"github.com/gypsumhook/gypsum/route"
	"github.com/gypsumhook/gypsum/weight"
)

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
			u.services[name] = u.startUpdater(name)
		}
	}
}

// startUpdater starts the updater of a service in this data centre.
func (u *weightUpdaters) startUpdater(name gypsum.ServiceName) *weight.Updater {
	c := u.core
	ownershipKey := "orders/" + string(name) + "/" + string(c.Self.Location.DataCentre)
	updater := &weight.Updater{
		Stream: &epoch.Stream{
			Log: c.logBreaker, Name: gypsum.StreamName(ownershipKey), StateMachine: weight.StateMachine{},
			Stateless: true, Logger: c.Logger, Timeout: c.Tuning.LogTimeout,
		},
		Store: c.WeightStore, Dialer: c.Dialer, Logger: c.Logger, LoadsPerSecond: c.Tuning.LoadsPerSecond,
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

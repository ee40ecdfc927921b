package core

import (
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/config"
	"github.com/gypsumhook/gypsum/member"
	"github.com/gypsumhook/gypsum/route"
)

// View is what a daemon knows at a moment. It is immutable; traffic reads it
// without locks.
type View struct {
	Made time.Time
	Self gypsum.Member
	// Members are those of the own data centre, with states.
	Members []member.Status
	// Alive are the members of the own data centre that get new work.
	Alive  []gypsum.Member
	Others []gypsum.DataCentreSummary
	// Known are the live members of all data centres.
	Known    []gypsum.Member
	Config   *config.Config
	Pools    map[gypsum.ServiceName]*route.Pool
	Centres  map[gypsum.ServiceName][]route.DataCentre
	Backends map[gypsum.BackendID]gypsum.Host
	// Settled means that the daemon has heard of the fleet.
	Settled bool
	// Listed are the daemons of the platform's list.
	Listed []gypsum.Host
}

// ownerIn returns the member of the candidates that owns an item, by rendezvous.
func ownerIn(item string, candidates []gypsum.Member) (gypsum.Member, bool) {
	var owner gypsum.Member
	var best uint64
	found := false
	for i := range candidates {
		rank := gypsum.RendezvousScore(item, string(candidates[i].ID))
		if !found || rank > best {
			owner, best, found = candidates[i], rank, true
		}
	}
	return owner, found
}

// inRegion returns the live members of a region, or all if it has none.
func (v *View) inRegion(region gypsum.Region) []gypsum.Member {
	var members []gypsum.Member
	for _, known := range v.Known {
		if known.Location.Region == region {
			members = append(members, known)
		}
	}
	if len(members) == 0 {
		return v.Known
	}
	return members
}

// inCentre returns the live members of a data centre.
func (v *View) inCentre(centre gypsum.DataCentre) []gypsum.Member {
	var members []gypsum.Member
	for _, known := range v.Known {
		if known.Location.DataCentre == centre {
			members = append(members, known)
		}
	}
	return members
}

// owner returns the live member that owns an item among those of a region.
func (v *View) owner(item string, region gypsum.Region) (gypsum.Member, bool) {
	return ownerIn(item, v.inRegion(region))
}

// owns tells whether this daemon owns an item among the members of a region.
func (v *View) owns(item string, region gypsum.Region) bool {
	owner, ok := v.owner(item, region)
	return ok && owner.ID == v.Self.ID
}

// keyHolder returns the live member that guards a shard of idempotency keys:
// one that reaches the platform's log, if any does.
func (v *View) keyHolder(shard int, home gypsum.Region) (gypsum.Member, bool) {
	var reaching []gypsum.Member
	for _, known := range v.inRegion(home) {
		if !known.LogUnreachable {
			reaching = append(reaching, known)
		}
	}
	if len(reaching) == 0 {
		return v.owner(shardItem(shard), home)
	}
	return ownerIn(shardItem(shard), reaching)
}

// holds tells whether this daemon guards a shard.
func (v *View) holds(shard int, home gypsum.Region) bool {
	holder, ok := v.keyHolder(shard, home)
	return ok && holder.ID == v.Self.ID
}

// ownsInCentre tells whether this daemon owns an item in its data centre.
func (v *View) ownsInCentre(item string) bool {
	owner, ok := ownerIn(item, v.Alive)
	return ok && owner.ID == v.Self.ID
}

// backendOwner returns the member that owns the queue of a backend server: one
// of its data centre, else of its region, else any.
func (v *View) backendOwner(host *gypsum.Host) (gypsum.Member, bool) {
	if near := v.inCentre(host.Location.DataCentre); len(near) > 0 {
		return ownerIn(host.ID, near)
	}
	return v.owner(host.ID, host.Location.Region)
}

// Service returns a service of the configuration in force.
func (v *View) Service(name gypsum.ServiceName) (gypsum.ServiceSpec, bool) {
	if v.Config == nil {
		return gypsum.ServiceSpec{}, false
	}
	service, ok := v.Config.Services[name]
	return service.Spec, ok
}

// Plan returns a plan of the configuration in force.
func (v *View) Plan(name gypsum.PlanName) (gypsum.PlanSpec, bool) {
	if v.Config == nil {
		return gypsum.PlanSpec{}, false
	}
	plan, ok := v.Config.Plans[name]
	return plan.Spec, ok
}

// saturatedLoad is the mean load from which another backend server of the data
// centre is unlikely to be better.
const saturatedLoad = 0.9

// saturated tells whether the own data centre's backend servers are all in use
// by calls of the same class.
func (v *View) saturated(call *gypsum.Call) bool {
	pool := v.Pools[call.Service]
	return pool != nil && pool.MeanLoad(call.Class) >= saturatedLoad
}

// room returns the slots of a service that live calls leave, over all data centres.
func (v *View) room(name gypsum.ServiceName) int {
	room := 0
	for _, centre := range v.Centres[name] {
		room += max(0, centre.Slots-centre.Live)
	}
	return room
}

// newest returns the newest version that engines of a service report.
func (v *View) newest(name gypsum.ServiceName) gypsum.WeightVersion {
	var newest gypsum.WeightVersion
	for _, centre := range v.Centres[name] {
		newest = max(newest, centre.NewestVersion)
	}
	return newest
}

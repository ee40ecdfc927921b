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
	CreatedAt time.Time
	Self      gypsum.Member
	// LocalMembers are those of the own data centre, with states.
	LocalMembers []member.Status
	// LocalAlive are the members of the own data centre that get new work.
	LocalAlive      []gypsum.Member
	RemoteSummaries []gypsum.DataCentreSummary
	// AllAlive are the live members of all data centres.
	AllAlive []gypsum.Member
	Config   *config.Config
	Pools    map[gypsum.ServiceName]*route.Pool
	Centres  map[gypsum.ServiceName][]route.Centre
	Backends map[gypsum.BackendID]gypsum.Host
	// Converged means that the daemon has heard of the fleet.
	Converged bool
	// ListedDaemons are the daemons of the platform's list.
	ListedDaemons []gypsum.Host
}

// ownerAmong returns the member of the candidates that owns an item, by rendezvous.
func ownerAmong(key string, candidates []gypsum.Member) (gypsum.Member, bool) {
	var owner gypsum.Member
	var best uint64
	found := false
	for i := range candidates {
		rank := gypsum.RendezvousScore(key, string(candidates[i].ID))
		if !found || rank > best {
			owner, best, found = candidates[i], rank, true
		}
	}
	return owner, found
}

// aliveInRegion returns the live members of a region, or all if it has none.
func (v *View) aliveInRegion(region gypsum.Region) []gypsum.Member {
	var members []gypsum.Member
	for _, m := range v.AllAlive {
		if m.Location.Region == region {
			members = append(members, m)
		}
	}
	if len(members) == 0 {
		return v.AllAlive
	}
	return members
}

// aliveInCentre returns the live members of a data centre.
func (v *View) aliveInCentre(centre gypsum.DataCentre) []gypsum.Member {
	var members []gypsum.Member
	for _, m := range v.AllAlive {
		if m.Location.DataCentre == centre {
			members = append(members, m)
		}
	}
	return members
}

// ownerInRegion returns the live member that owns an item among those of a region.
func (v *View) ownerInRegion(key string, region gypsum.Region) (gypsum.Member, bool) {
	return ownerAmong(key, v.aliveInRegion(region))
}

// ownsInRegion tells whether this daemon owns an item among the members of a region.
func (v *View) ownsInRegion(key string, region gypsum.Region) bool {
	owner, ok := v.ownerInRegion(key, region)
	return ok && owner.ID == v.Self.ID
}

// shardOwner returns the live member that guards a shard of idempotency keys:
// one that reaches the platform's log, if any does.
func (v *View) shardOwner(shard int, home gypsum.Region) (gypsum.Member, bool) {
	var connected []gypsum.Member
	for _, m := range v.aliveInRegion(home) {
		if !m.LogUnreachable {
			connected = append(connected, m)
		}
	}
	if len(connected) == 0 {
		return v.ownerInRegion(shardOwnershipKey(shard), home)
	}
	return ownerAmong(shardOwnershipKey(shard), connected)
}

// ownsShard tells whether this daemon guards a shard.
func (v *View) ownsShard(shard int, home gypsum.Region) bool {
	owner, ok := v.shardOwner(shard, home)
	return ok && owner.ID == v.Self.ID
}

// ownsInCentre tells whether this daemon owns an item in its data centre.
func (v *View) ownsInCentre(key string) bool {
	owner, ok := ownerAmong(key, v.LocalAlive)
	return ok && owner.ID == v.Self.ID
}

// queueOwner returns the member that owns the queue of a backend server: one
// of its data centre, else of its region, else any.
func (v *View) queueOwner(host *gypsum.Host) (gypsum.Member, bool) {
	if near := v.aliveInCentre(host.Location.DataCentre); len(near) > 0 {
		return ownerAmong(host.ID, near)
	}
	return v.ownerInRegion(host.ID, host.Location.Region)
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
	return pool != nil && pool.Mean(call.Class) >= saturatedLoad
}

// slotsWithoutLive returns the slots of a service that live calls leave, over all data centres.
func (v *View) slotsWithoutLive(name gypsum.ServiceName) int {
	slots := 0
	for _, centre := range v.Centres[name] {
		slots += max(0, centre.Slots-centre.Live)
	}
	return slots
}

// newestVersion returns the newest version that engines of a service report.
func (v *View) newestVersion(name gypsum.ServiceName) gypsum.WeightVersion {
	var newest gypsum.WeightVersion
	for _, centre := range v.Centres[name] {
		newest = max(newest, centre.Newest)
	}
	return newest
}

package core

import (
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/config"
	"github.com/gypsumhook/gypsum/member"
	"github.com/gypsumhook/gypsum/route"
)

// View is an immutable snapshot of what a daemon knows. Calls read it without locks.
type View struct {
	CreatedAt time.Time
	Self      gypsum.Member
	// LocalMembers are the members of the local data centre with their states.
	LocalMembers []member.Status
	// LocalAlive are the members of the local data centre that get new calls.
	LocalAlive []gypsum.Member
	// RemoteSummaries are the summaries of the other data centres.
	RemoteSummaries []gypsum.DataCentreSummary
	// AllAlive are the live members of all data centres.
	AllAlive []gypsum.Member
	// Config is the current configuration, nil if none was received yet.
	Config *config.Config
	// Pools are the backend servers whose queues are owned in the local data centre.
	Pools map[gypsum.ServiceName]*route.Pool
	// DataCentres are the data centres that serve a service, with their load.
	DataCentres map[gypsum.ServiceName][]route.DataCentre
	// Backends are the backend servers in the platform's host list.
	Backends map[gypsum.BackendID]gypsum.Host
	// Converged means that the daemon knows the other members, so that it chooses the
	// same owners as they do.
	Converged bool
	// ListedDaemons are the daemons in the platform's host list.
	ListedDaemons []gypsum.Host
}

// ownerAmong returns the candidate that owns a key by rendezvous hashing, and false if
// there are no candidates.
func ownerAmong(key string, candidates []gypsum.Member) (gypsum.Member, bool) {
	var owner gypsum.Member
	var bestScore uint64
	found := false
	for i := range candidates {
		score := gypsum.RendezvousScore(key, string(candidates[i].ID))
		if !found || score > bestScore {
			owner, bestScore, found = candidates[i], score, true
		}
	}
	return owner, found
}

// aliveInRegion returns the live members of a region. If the region has none, it returns
// those of all regions.
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

// aliveInDataCentre returns the live members of a data centre.
func (v *View) aliveInDataCentre(dataCentre gypsum.DataCentre) []gypsum.Member {
	var members []gypsum.Member
	for _, m := range v.AllAlive {
		if m.Location.DataCentre == dataCentre {
			members = append(members, m)
		}
	}
	return members
}

// ownerInRegion returns the live member of a region that owns a key.
func (v *View) ownerInRegion(key string, region gypsum.Region) (gypsum.Member, bool) {
	return ownerAmong(key, v.aliveInRegion(region))
}

// ownsInRegion reports whether this daemon owns a key among the live members of a
// region.
func (v *View) ownsInRegion(key string, region gypsum.Region) bool {
	owner, ok := v.ownerInRegion(key, region)
	return ok && owner.ID == v.Self.ID
}

// shardOwner returns the live member that owns a shard of idempotency keys: one that
// reaches the platform's log, if there is any.
func (v *View) shardOwner(index int, home gypsum.Region) (gypsum.Member, bool) {
	var connected []gypsum.Member
	for _, m := range v.aliveInRegion(home) {
		if !m.LogUnavailable {
			connected = append(connected, m)
		}
	}
	if len(connected) == 0 {
		return v.ownerInRegion(shardOwnershipKey(index), home)
	}
	return ownerAmong(shardOwnershipKey(index), connected)
}

// ownsShard reports whether this daemon owns a shard.
func (v *View) ownsShard(index int, home gypsum.Region) bool {
	owner, ok := v.shardOwner(index, home)
	return ok && owner.ID == v.Self.ID
}

// ownsInDataCentre reports whether this daemon owns a key in its data centre.
func (v *View) ownsInDataCentre(key string) bool {
	owner, ok := ownerAmong(key, v.LocalAlive)
	return ok && owner.ID == v.Self.ID
}

// queueOwner returns the member that owns the queue of a backend server: a member of
// the same data centre, else of the same region, else any.
func (v *View) queueOwner(host *gypsum.Host) (gypsum.Member, bool) {
	if local := v.aliveInDataCentre(host.Location.DataCentre); len(local) > 0 {
		return ownerAmong(host.ID, local)
	}
	return v.ownerInRegion(host.ID, host.Location.Region)
}

// Service returns the spec of a service in the current configuration.
func (v *View) Service(name gypsum.ServiceName) (gypsum.ServiceSpec, bool) {
	if v.Config == nil {
		return gypsum.ServiceSpec{}, false
	}
	service, ok := v.Config.Services[name]
	return service.Spec, ok
}

// Plan returns the spec of a plan in the current configuration.
func (v *View) Plan(name gypsum.PlanName) (gypsum.PlanSpec, bool) {
	if v.Config == nil {
		return gypsum.PlanSpec{}, false
	}
	plan, ok := v.Config.Plans[name]
	return plan.Spec, ok
}

// saturatedLoad is the mean load of a data centre above which trying another of its
// backend servers is unlikely to help.
const saturatedLoad = 0.9

// isSaturated reports whether the local backend servers of the call's service are all
// busy with calls of its class.
func (v *View) isSaturated(call *gypsum.Call) bool {
	pool := v.Pools[call.Service]
	return pool != nil && pool.MeanLoad(call.Class) >= saturatedLoad
}

// trainerSlotCount returns the number of a service's slots in all data centres that live
// calls do not use.
func (v *View) trainerSlotCount(name gypsum.ServiceName) int {
	slots := 0
	for _, dataCentre := range v.DataCentres[name] {
		slots += max(0, dataCentre.Slots-dataCentre.Live)
	}
	return slots
}

// newestVersion returns the newest weight version reported by the engines of a
// service.
func (v *View) newestVersion(name gypsum.ServiceName) gypsum.WeightVersion {
	var newest gypsum.WeightVersion
	for _, dataCentre := range v.DataCentres[name] {
		newest = max(newest, dataCentre.NewestVersion)
	}
	return newest
}

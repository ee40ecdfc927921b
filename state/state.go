// Package state maintains the current view of what operators, trainers and replicas have
// written to the platform's store: configuration, announced versions, registrations.
package state

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum"
)

// lapseGracePeriod is how long registrations that lapsed during an outage of the store
// are kept after its end. By the platform's documentation, replicas register again
// within about 2 s.
const lapseGracePeriod = 2300 * time.Millisecond

// leaveRetention is how long the announcement of a leaving replica is kept. It is far longer
// than a replica takes to exit, and its registration may lapse and return meanwhile.
const leaveRetention = time.Hour

// leave is the announcement of one start of a replica that it is leaving.
type leave struct {
	incarnation gypsum.Incarnation
	announcedAt time.Time
}

// Snapshot is the state at one moment. It is immutable.
type Snapshot struct {
	Config   *gypsum.RoutingConfig
	Replicas map[gypsum.BackendID]*gypsum.Replica
	Services map[gypsum.ServiceName][]*gypsum.Replica
	// Software holds the software versions of the replicas of each service, in order.
	Software map[gypsum.ServiceName][]gypsum.SoftwareVersion
	Versions map[gypsum.EngineModel]gypsum.WeightVersion
}

// Registry builds the state from the records of the platform's store. Its snapshots are
// read without a lock.
type Registry struct {
	Logger *slog.Logger
	// OnChange is called after each change, without a lock held.
	OnChange func()

	mu       sync.Mutex
	snapshot atomic.Pointer[Snapshot]
	// lapsedReplicas are the replicas that are kept for the grace period although their
	// registrations have ended.
	lapsedReplicas   map[gypsum.BackendID]bool
	storeRecoveredAt time.Time
	storeUnavailable bool
	// software are the versions of replicas that are no longer registered. observedSince is when all
	// registrations were read last; every later one has been applied.
	software      softwareHistory
	observedSince time.Time
	// leavingReplicas are the starts of replicas that announced in a response that they are
	// leaving.
	leavingReplicas map[gypsum.BackendID]leave
	leavingCount    atomic.Int64
	// configConfirmedAt is the latest time, by the steady clock, at which the configuration in
	// force was known to be the current one. It is valid if configConfirmed is set.
	configConfirmedAt atomic.Int64
	configConfirmed   atomic.Bool
	// configUnreadable means that the newest configuration cannot be decoded.
	configUnreadable atomic.Bool
}

// NewRegistry returns an empty registry.
func NewRegistry(logger *slog.Logger) *Registry {
	registry := &Registry{Logger: logger, OnChange: func() {}, lapsedReplicas: make(map[gypsum.BackendID]bool), leavingReplicas: make(map[gypsum.BackendID]leave), software: make(softwareHistory)}
	registry.snapshot.Store(&Snapshot{})
	return registry
}

// Current returns the newest snapshot.
func (r *Registry) Current() *Snapshot { return r.snapshot.Load() }

// updateSnapshot replaces the snapshot by a copy that apply has changed.
func (r *Registry) updateSnapshot(apply func(*Snapshot)) {
	r.mu.Lock()
	next := *r.snapshot.Load()
	apply(&next)
	r.snapshot.Store(&next)
	r.mu.Unlock()
	r.OnChange()
}

// ApplyConfig applies a configuration unless one of the same or a newer revision is in
// force.
func (r *Registry) ApplyConfig(config *gypsum.RoutingConfig) {
	// The flag is cleared last: a confirmation may come from another goroutine meanwhile.
	defer r.configUnreadable.Store(false)
	if current := r.Current().Config; current != nil && current.Revision >= config.Revision {
		return
	}
	r.updateSnapshot(func(s *Snapshot) { s.Config = config })
	accounts := 0
	if config.Accounts != nil {
		accounts = config.Accounts.Len()
	}
	r.Logger.Info("configuration in force", "revision", config.Revision, "routes", len(config.Routes), "services", len(config.Services),
		"keys_required", config.Accounts != nil, "accounts", accounts)
}

// MarkConfigUnreadable records that the newest configuration cannot be decoded. The one in force
// stays in force, and is not known to be current until a configuration is applied again.
func (r *Registry) MarkConfigUnreadable() { r.configUnreadable.Store(true) }

// ConfirmConfig records that the configuration in force was the current one at a time by the
// steady clock. All configurations that the store had accepted by then must have been applied.
func (r *Registry) ConfirmConfig(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.configUnreadable.Load() || (r.configConfirmed.Load() && int64(at) <= r.configConfirmedAt.Load()) {
		return
	}
	r.configConfirmedAt.Store(int64(at))
	r.configConfirmed.Store(true)
}

// ConfirmedConfig returns the configuration in force and the latest time, by the steady clock, at
// which it or an earlier one was known to be the current one. confirmed is false if there is no
// such time.
func (r *Registry) ConfirmedConfig() (config *gypsum.RoutingConfig, at time.Duration, confirmed bool) {
	// The time is read first: a configuration that is applied in between is newer than the time
	// says, never older.
	confirmed = r.configConfirmed.Load()
	at = time.Duration(r.configConfirmedAt.Load())
	return r.Current().Config, at, confirmed
}

// ApplyVersion applies the announced version of a model if it is newer than the known
// one.
func (r *Registry) ApplyVersion(model gypsum.EngineModel, version gypsum.WeightVersion) {
	if r.Current().Versions[model] >= version {
		return
	}
	r.updateSnapshot(func(s *Snapshot) {
		s.Versions = maps.Clone(s.Versions)
		if s.Versions == nil {
			s.Versions = make(map[gypsum.EngineModel]gypsum.WeightVersion)
		}
		s.Versions[model] = version
	})
	r.Logger.Info("weight version announced", "model", model, "version", version)
}

// ApplyReplica applies a registration unless it is older than the known one.
func (r *Registry) ApplyReplica(replica *gypsum.Replica) { r.ApplyReplicas([]*gypsum.Replica{replica}) }

// ApplyReplicas applies registrations in order, as one change.
func (r *Registry) ApplyReplicas(replicas []*gypsum.Replica) {
	r.mu.Lock()
	replicas = slices.Clone(replicas)
	for i, replica := range replicas {
		delete(r.lapsedReplicas, replica.ID)
		replicas[i] = r.withLeaveApplied(replica)
	}
	r.mu.Unlock()
	changed := make(map[gypsum.BackendID]*gypsum.Replica)
	var replaced []*gypsum.Replica
	current := r.Current().Replicas
	for _, replica := range replicas {
		known, ok := changed[replica.ID]
		if !ok {
			known = current[replica.ID]
		}
		if known == nil || (known.Incarnation <= replica.Incarnation && !known.Equal(replica)) {
			changed[replica.ID] = replica
			if known != nil && (known.Software != replica.Software || known.Service != replica.Service) {
				replaced = append(replaced, known)
			}
		}
	}
	if len(changed) == 0 {
		return
	}
	r.markReplaced(replaced...)
	r.updateSnapshot(func(s *Snapshot) { s.updateReplicas(changed) })
	for id, replica := range changed {
		previous := current[id]
		if previous == nil || previous.State != replica.State || previous.Incarnation != replica.Incarnation || previous.Address != replica.Address {
			r.Logger.Info("replica registered", "replica", id, "service", replica.Service, "address", replica.Address,
				"state", replica.State, "born", replica.Incarnation, "software", replica.Software)
		}
	}
}

// withLeaveApplied returns a registration with the state draining if that start of the
// replica has announced that it is leaving. The caller holds mu.
func (r *Registry) withLeaveApplied(replica *gypsum.Replica) *gypsum.Replica {
	left, ok := r.leavingReplicas[replica.ID]
	if !ok {
		return replica
	}
	if left.incarnation < replica.Incarnation {
		delete(r.leavingReplicas, replica.ID)
		return replica
	}
	draining := *replica
	draining.State = gypsum.ReplicaDraining
	return &draining
}

// MarkLeaving implements gypsum.LeaveObserver: the replica is draining from now on, whatever
// its registration says, until it restarts.
func (r *Registry) MarkLeaving(replica *gypsum.Replica) {
	now := time.Now()
	r.mu.Lock()
	if left, known := r.leavingReplicas[replica.ID]; known && left.incarnation >= replica.Incarnation {
		r.mu.Unlock()
		return
	}
	maps.DeleteFunc(r.leavingReplicas, func(_ gypsum.BackendID, left leave) bool { return now.Sub(left.announcedAt) > leaveRetention })
	r.leavingReplicas[replica.ID] = leave{incarnation: replica.Incarnation, announcedAt: now}
	r.mu.Unlock()
	r.leavingCount.Add(1)
	r.Logger.Info("replica announced that it is leaving", "replica", replica.ID, "service", replica.Service, "born", replica.Incarnation)
	if current := r.Current().Replicas[replica.ID]; current != nil && current.Incarnation == replica.Incarnation {
		r.ApplyReplica(current)
	}
}

// LeavingCount returns how many replicas have announced in a response that they are leaving.
func (r *Registry) LeavingCount() int64 { return r.leavingCount.Load() }

// RemoveReplica applies the end of a registration. A registration that may have lapsed
// because the store was unavailable is kept for a grace period after the outage.
func (r *Registry) RemoveReplica(id gypsum.BackendID) { r.endRegistrations([]gypsum.BackendID{id}) }

// endRegistrations applies the ends of registrations, as RemoveReplica does.
func (r *Registry) endRegistrations(ids []gypsum.BackendID) {
	current := r.Current().Replicas
	ids = slices.DeleteFunc(ids, func(id gypsum.BackendID) bool { return current[id] == nil })
	r.mu.Lock()
	inGracePeriod := r.storeUnavailable || time.Since(r.storeRecoveredAt) < lapseGracePeriod
	if inGracePeriod {
		for _, id := range ids {
			r.lapsedReplicas[id] = true
		}
	}
	r.mu.Unlock()
	if !inGracePeriod {
		r.deleteReplicas(ids, "registration removed")
		return
	}
	for _, id := range ids {
		r.Logger.Info("lapsed registration kept for a grace period", "replica", id)
	}
}

// deleteReplicas deletes replicas at once.
func (r *Registry) deleteReplicas(ids []gypsum.BackendID, reason string) {
	if len(ids) == 0 {
		return
	}
	removed := make(map[gypsum.BackendID]*gypsum.Replica, len(ids))
	current := r.Current().Replicas
	for _, id := range ids {
		removed[id] = nil
		r.markReplaced(current[id])
	}
	r.updateSnapshot(func(s *Snapshot) { s.updateReplicas(removed) })
	for _, id := range ids {
		r.Logger.Info("replica removed", "replica", id, "why", reason)
	}
}

// RetainReplicas removes the replicas that are not in keep, as RemoveReplica does. It is called when
// all registrations have been read and applied.
func (r *Registry) RetainReplicas(keep map[gypsum.BackendID]bool) {
	var dropped []gypsum.BackendID
	for id := range r.Current().Replicas {
		if !keep[id] {
			dropped = append(dropped, id)
		}
	}
	r.endRegistrations(dropped)
	r.mu.Lock()
	r.observedSince = time.Now()
	r.mu.Unlock()
}

// ExpireRegistrations records whether the store is unavailable, and deletes the
// registrations that have not been renewed within the grace period after an outage.
func (r *Registry) ExpireRegistrations(storeUnavailable bool, now time.Time) {
	r.mu.Lock()
	if r.storeUnavailable && !storeUnavailable {
		r.storeRecoveredAt = now
	}
	r.storeUnavailable = storeUnavailable
	var expired []gypsum.BackendID
	if !storeUnavailable && now.Sub(r.storeRecoveredAt) > lapseGracePeriod {
		for id := range r.lapsedReplicas {
			expired = append(expired, id)
		}
		clear(r.lapsedReplicas)
	}
	r.mu.Unlock()
	r.deleteReplicas(expired, "registration did not come back")
}

// updateReplicas adds, replaces or, where the value is nil, deletes replicas in a
// snapshot that is not published yet.
func (s *Snapshot) updateReplicas(changed map[gypsum.BackendID]*gypsum.Replica) {
	previous := s.Replicas
	s.Replicas = maps.Clone(previous)
	if s.Replicas == nil {
		s.Replicas = make(map[gypsum.BackendID]*gypsum.Replica, len(changed))
	}
	affected := make(map[gypsum.ServiceName]bool)
	for id, replica := range changed {
		if current := previous[id]; current != nil {
			affected[current.Service] = true
		}
		delete(s.Replicas, id)
		if replica != nil {
			s.Replicas[id] = replica
			affected[replica.Service] = true
		}
	}
	s.rebuildServices(affected)
}

// rebuildServices rebuilds the replica lists of the affected services, sorted by ID, and their
// software versions.
func (s *Snapshot) rebuildServices(affected map[gypsum.ServiceName]bool) {
	s.Services = maps.Clone(s.Services)
	if s.Services == nil {
		s.Services = make(map[gypsum.ServiceName][]*gypsum.Replica, len(affected))
	}
	for service := range affected {
		delete(s.Services, service)
	}
	for _, replica := range s.Replicas {
		if affected[replica.Service] {
			s.Services[replica.Service] = append(s.Services[replica.Service], replica)
		}
	}
	s.Software = maps.Clone(s.Software)
	if s.Software == nil {
		s.Software = make(map[gypsum.ServiceName][]gypsum.SoftwareVersion, len(affected))
	}
	for service := range affected {
		s.Software[service] = softwareOf(s.Services[service])
		slices.SortFunc(s.Services[service], func(a, b *gypsum.Replica) int { return cmp.Compare(a.ID, b.ID) })
	}
}

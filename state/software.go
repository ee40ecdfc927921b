package state

import (
	"maps"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
)

// softwareHistory says when replicas of software versions were registered that no replica of the
// service has now.
type softwareHistory map[gypsum.ServiceName]map[gypsum.SoftwareVersion]time.Time

// mark takes note that a replica was registered until now.
func (h softwareHistory) mark(replica *gypsum.Replica, now time.Time) {
	versions := h[replica.Service]
	if versions == nil {
		versions = make(map[gypsum.SoftwareVersion]time.Time)
		h[replica.Service] = versions
	}
	versions[replica.Software] = now
}

// markReplaced takes note that replicas are removed, or replaced by other registrations, now.
func (r *Registry) markReplaced(replicas ...*gypsum.Replica) {
	if len(replicas) == 0 {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, replica := range replicas {
		if replica != nil {
			r.software.mark(replica, now)
		}
	}
}

// SoftwareSince returns the software versions, in order, that registered replicas of a service have
// had at any time since a moment, as far as this daemon has observed. observed is false if it has
// not read all registrations since then: others may have been registered meanwhile.
func (r *Registry) SoftwareSince(service gypsum.ServiceName, since time.Time) (versions []gypsum.SoftwareVersion, observed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions = r.snapshot.Load().Software[service]
	observed = !r.observedSince.IsZero() && !r.observedSince.After(since)
	earlier := r.software[service]
	maps.DeleteFunc(earlier, func(_ gypsum.SoftwareVersion, lastSeen time.Time) bool { return lastSeen.Before(since) })
	all := versions
	for version := range earlier {
		if !slices.Contains(versions, version) {
			all = append(slices.Clip(all), version)
		}
	}
	if len(all) > len(versions) {
		slices.Sort(all)
	}
	return all, observed
}

// softwareOf returns the software versions of replicas, in order.
func softwareOf(replicas []*gypsum.Replica) []gypsum.SoftwareVersion {
	versions := make(map[gypsum.SoftwareVersion]bool, 1)
	for _, replica := range replicas {
		versions[replica.Software] = true
	}
	return slices.Sorted(maps.Keys(versions))
}

package fake

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// HostList is the platform's list of hosts in memory.
type HostList struct {
	// Lag is how late changes show.
	Lag time.Duration

	mu          sync.Mutex
	versions    []hostListVersion
	unavailable bool
}

// hostListVersion is the list from a moment on.
type hostListVersion struct {
	visibleFrom time.Time
	hosts       []gypsum.Host
}

// Set replaces the list. It shows after Lag.
func (h *HostList) Set(hosts []gypsum.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, hostListVersion{visibleFrom: time.Now().Add(h.Lag), hosts: slices.Clone(hosts)})
}

// SetWithoutLag replaces the list at once.
func (h *HostList) SetWithoutLag(hosts []gypsum.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = []hostListVersion{{visibleFrom: time.Now(), hosts: slices.Clone(hosts)}}
}

// SetUnavailable makes the list fail.
func (h *HostList) SetUnavailable(unavailable bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unavailable = unavailable
}

// Hosts returns the list as it shows now.
func (h *HostList) Hosts(context.Context) ([]gypsum.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unavailable {
		return nil, fmt.Errorf("host list: %w", gypsum.ErrNotSent)
	}
	var visible []gypsum.Host
	for _, version := range h.versions {
		if !time.Now().Before(version.visibleFrom) {
			visible = version.hosts
		}
	}
	return slices.Clone(visible), nil
}

// WeightStore is the weight store in memory.
type WeightStore struct {
	mu          sync.Mutex
	latest      map[string]gypsum.WeightVersion
	unavailable bool
}

// NewWeightStore returns a store without weights.
func NewWeightStore() *WeightStore {
	return &WeightStore{latest: make(map[string]gypsum.WeightVersion)}
}

// Publish adds a version of a model's weights.
func (s *WeightStore) Publish(model string, version gypsum.WeightVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest[model] = max(s.latest[model], version)
}

// SetUnavailable makes the store fail.
func (s *WeightStore) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// Latest returns the newest version of a model's weights.
func (s *WeightStore) Latest(_ context.Context, model string) (gypsum.WeightVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return 0, fmt.Errorf("weight store: %w", gypsum.ErrNotSent)
	}
	return s.latest[model], nil
}

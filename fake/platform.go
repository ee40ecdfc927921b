package fake

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// HostList is an in-memory host list of the platform. It implements gypsum.HostList.
type HostList struct {
	// Lag is the delay after which changes become visible.
	Lag time.Duration

	mu          sync.Mutex
	versions    []hostListVersion
	unavailable bool
}

// hostListVersion is the content of the list from a time on.
type hostListVersion struct {
	visibleFrom time.Time
	hosts       []gypsum.Host
}

// SetHosts replaces the list. The new one is visible after Lag.
func (h *HostList) SetHosts(hosts []gypsum.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, hostListVersion{visibleFrom: time.Now().Add(h.Lag), hosts: slices.Clone(hosts)})
}

// SetHostsWithoutLag replaces the list immediately.
func (h *HostList) SetHostsWithoutLag(hosts []gypsum.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = []hostListVersion{{visibleFrom: time.Now(), hosts: slices.Clone(hosts)}}
}

// SetUnavailable makes reads of the list fail, or lets them succeed again.
func (h *HostList) SetUnavailable(unavailable bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unavailable = unavailable
}

// Hosts implements gypsum.HostList.
func (h *HostList) Hosts(context.Context) ([]gypsum.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unavailable {
		return nil, fmt.Errorf("read host list: %w", gypsum.ErrNotSent)
	}
	var visible []gypsum.Host
	for _, version := range h.versions {
		if !time.Now().Before(version.visibleFrom) {
			visible = version.hosts
		}
	}
	return slices.Clone(visible), nil
}

// WeightStore is an in-memory weight store. It implements gypsum.WeightStore.
type WeightStore struct {
	mu          sync.Mutex
	latest      map[string]gypsum.WeightVersion
	unavailable bool
}

// NewWeightStore returns a store without weights.
func NewWeightStore() *WeightStore {
	return &WeightStore{latest: make(map[string]gypsum.WeightVersion)}
}

// Publish adds a version of the weights of a model.
func (s *WeightStore) Publish(model string, version gypsum.WeightVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest[model] = max(s.latest[model], version)
}

// SetUnavailable makes reads of the store fail, or lets them succeed again.
func (s *WeightStore) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// LatestVersion implements gypsum.WeightStore. It returns 0 for a model without weights.
func (s *WeightStore) LatestVersion(_ context.Context, model string) (gypsum.WeightVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return 0, fmt.Errorf("read weight store: %w", gypsum.ErrNotSent)
	}
	return s.latest[model], nil
}

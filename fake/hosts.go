package fake

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Hosts is the platform's list of hosts in memory.
type Hosts struct {
	// Lag is how late changes show.
	Lag time.Duration

	mu     sync.Mutex
	states []listState
	out    bool
}

// listState is the list from a moment on.
type listState struct {
	from  time.Time
	hosts []gypsum.Host
}

// Set replaces the list. It shows after Lag.
func (h *Hosts) Set(hosts []gypsum.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.states = append(h.states, listState{from: time.Now().Add(h.Lag), hosts: slices.Clone(hosts)})
}

// Show replaces the list at once.
func (h *Hosts) Show(hosts []gypsum.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.states = []listState{{from: time.Now(), hosts: slices.Clone(hosts)}}
}

// SetOut makes the list fail.
func (h *Hosts) SetOut(out bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.out = out
}

// Hosts returns the list as it shows now.
func (h *Hosts) Hosts(context.Context) ([]gypsum.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.out {
		return nil, fmt.Errorf("host list: %w", gypsum.ErrNotSent)
	}
	var shown []gypsum.Host
	for _, state := range h.states {
		if !time.Now().Before(state.from) {
			shown = state.hosts
		}
	}
	return slices.Clone(shown), nil
}

// Store is the weight store in memory.
type Store struct {
	mu     sync.Mutex
	latest map[string]gypsum.WeightVersion
	out    bool
}

// NewStore returns a store without weights.
func NewStore() *Store { return &Store{latest: make(map[string]gypsum.WeightVersion)} }

// Publish adds a version of a model's weights.
func (s *Store) Publish(model string, version gypsum.WeightVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest[model] = max(s.latest[model], version)
}

// SetOut makes the store fail.
func (s *Store) SetOut(out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = out
}

// Latest returns the newest version of a model's weights.
func (s *Store) Latest(_ context.Context, model string) (gypsum.WeightVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.out {
		return 0, fmt.Errorf("weight store: %w", gypsum.ErrNotSent)
	}
	return s.latest[model], nil
}

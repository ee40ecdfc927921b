package config

import (
	"sync/atomic"

	"github.com/gypsumhook/gypsum"
)

// Registry holds the newest configuration known to a daemon, from the log or from a peer.
// Its revision never decreases.
type Registry struct {
	current atomic.Pointer[Config]
}

// Current returns the newest configuration, nil if none is known yet.
func (r *Registry) Current() *Config { return r.current.Load() }

// Revision returns the newest revision, 0 if no configuration is known yet.
func (r *Registry) Revision() gypsum.Revision {
	if current := r.Current(); current != nil {
		return current.Revision
	}
	return 0
}

// StoreIfNewer stores a received configuration if it is newer than the current one, and
// reports whether it did.
func (r *Registry) StoreIfNewer(received *Config) bool {
	for {
		current := r.current.Load()
		if current != nil && received.Revision <= current.Revision {
			return false
		}
		if r.current.CompareAndSwap(current, received) {
			return true
		}
	}
}

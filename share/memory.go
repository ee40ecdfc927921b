// Package share divides what is short at a host among client accounts, so that a burst of one
// account takes no other account's share: memory for request bodies, and sends to replicas that
// are full.
package share

import (
	"sync"

	"github.com/gypsumhook/gypsum"
)

// Memory divides memory among accounts. An account may hold as much as is free, so that n accounts
// that all want more hold 1/(n+1) each, and an account that holds nothing always finds that much.
// The zero value is ready for use.
type Memory struct {
	mu    sync.Mutex
	total gypsum.Bytes
	held  map[gypsum.AccountName]gypsum.Bytes
}

// Acquire takes memory for a request and reports whether it may. It takes none if not. divided
// means that accounts are in force; otherwise only limit counts. The request must release the
// memory.
func (m *Memory) Acquire(account gypsum.AccountName, divided bool, size, limit gypsum.Bytes) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	free, held := limit-m.total, m.held[account]
	// The first request of an account may take all that is free: a large body must not be refused
	// while nothing is short.
	if size > free || (divided && held > 0 && held+size > free) {
		return false
	}
	if m.held == nil {
		m.held = make(map[gypsum.AccountName]gypsum.Bytes)
	}
	m.total += size
	m.held[account] += size
	return true
}

// Release returns the memory of a request.
func (m *Memory) Release(account gypsum.AccountName, size gypsum.Bytes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total -= size
	if m.held[account] -= size; m.held[account] <= 0 {
		delete(m.held, account)
	}
}

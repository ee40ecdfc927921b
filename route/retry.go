package route

import "sync"

// Sizes of the retry budget.
const (
	retryEarned = 0.1
	retryBurst  = 20
)

// Retries is a budget of retries: each call earns a part of one, so that
// retries cannot multiply the load when much fails.
type Retries struct {
	mu   sync.Mutex
	left float64
	used bool
}

// Earn notes a call's first attempt.
func (r *Retries) Earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start()
	r.left = min(retryBurst, r.left+retryEarned)
}

// Take returns whether a retry is allowed, and counts it.
func (r *Retries) Take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start()
	if r.left < 1 {
		return false
	}
	r.left--
	return true
}

// start fills the budget before its first use. The caller holds mu.
func (r *Retries) start() {
	if !r.used {
		r.left, r.used = retryBurst, true
	}
}

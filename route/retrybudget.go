package route

import "sync"

// Sizes of the retry budget.
const (
	retryRatio = 0.1
	retryBurst = 20
)

// RetryBudget is a budget of retries: each call earns a part of one, so that
// retries cannot multiply the load when much fails.
type RetryBudget struct {
	mu          sync.Mutex
	tokens      float64
	initialized bool
}

// RecordCall notes a call's first attempt.
func (r *RetryBudget) RecordCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	r.tokens = min(retryBurst, r.tokens+retryRatio)
}

// Allow returns whether a retry is allowed, and counts it.
func (r *RetryBudget) Allow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// init fills the budget before its first use. The caller holds mu.
func (r *RetryBudget) init() {
	if !r.initialized {
		r.tokens, r.initialized = retryBurst, true
	}
}

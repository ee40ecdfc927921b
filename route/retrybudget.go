package route

import "sync"

// Retries earned per call, and the largest number of retries that may be saved up.
const (
	retryRatio = 0.1
	retryBurst = 20
)

// RetryBudget limits retries to a fraction of the calls, so that retries cannot multiply
// the load when many calls fail. The zero value is ready for use, with a full budget.
type RetryBudget struct {
	mu          sync.Mutex
	tokens      float64
	initialized bool
}

// RecordCall records the first attempt of a call.
func (r *RetryBudget) RecordCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lazyInit()
	r.tokens = min(retryBurst, r.tokens+retryRatio)
}

// AllowRetry reports whether a retry is allowed, and consumes it if so.
func (r *RetryBudget) AllowRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lazyInit()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// lazyInit fills the budget before its first use. The caller holds mu.
func (r *RetryBudget) lazyInit() {
	if !r.initialized {
		r.tokens, r.initialized = retryBurst, true
	}
}

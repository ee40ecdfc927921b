package queue

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gypsumhook/gypsum"
)

// minRetryAfter is the shortest retry delay that a refusal recommends to a caller.
const minRetryAfter = 500 * time.Millisecond

// tenantLimitDivisor bounds what one tenant may occupy to 1/tenantLimitDivisor of the
// queue. The bound applies once the whole queue is that full.
const tenantLimitDivisor = 2

// NewDeadlineAdmission returns an admission policy that refuses a call on arrival if its
// deadline cannot be met. It also bounds the queue and each tenant's share of it.
func NewDeadlineAdmission() gypsum.Admission { return deadlineAdmission{} }

type deadlineAdmission struct{}

// Admit implements gypsum.Admission.
func (deadlineAdmission) Admit(state gypsum.QueueState, queued *gypsum.QueuedCall, now time.Time) *gypsum.Refusal {
	limit := state.MaxQueue
	if limit > 0 && state.Queued >= limit {
		return overloadedRefusal(state, "the line before the backend server is full")
	}
	if limit > 0 && state.Queued >= limit/tenantLimitDivisor && state.TenantQueued >= limit/tenantLimitDivisor {
		return overloadedRefusal(state, "the caller's part of the line is full")
	}
	if state.NoEstimate && state.Queued >= state.Slots {
		return overloadedRefusal(state, "the backend server's speed is not known yet")
	}
	if state.ExpectedWait == 0 {
		return nil
	}
	if now.Add(state.ExpectedWait + queued.ExpectedDuration + state.Margin).After(queued.Deadline) {
		return overloadedRefusal(state, "the expected wait passes the deadline")
	}
	return nil
}

// overloadedRefusal returns a refusal with a randomized retry delay, so that refused callers do
// not all return at once.
func overloadedRefusal(state gypsum.QueueState, detail string) *gypsum.Refusal {
	wait := max(minRetryAfter, state.ExpectedWait)
	spread := wait + time.Duration(rand.Int64N(int64(wait)))
	return gypsum.NotRunRefusal(gypsum.ReasonOverloaded, http.StatusServiceUnavailable, spread, detail)
}

// NewBoundedAdmission returns an admission policy that only bounds the length of the
// queue.
func NewBoundedAdmission() gypsum.Admission { return boundedAdmission{} }

type boundedAdmission struct{}

// Admit implements gypsum.Admission.
func (boundedAdmission) Admit(state gypsum.QueueState, _ *gypsum.QueuedCall, _ time.Time) *gypsum.Refusal {
	if state.MaxQueue > 0 && state.Queued >= state.MaxQueue {
		return overloadedRefusal(state, "the line before the backend server is full")
	}
	return nil
}

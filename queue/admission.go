package queue

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gypsumhook/gypsum"
)

// minRetryAfter is the shortest time to come back that is told to a caller.
const minRetryAfter = 500 * time.Millisecond

// tenantLimitDivisor is the part of a line that one tenant may fill: 1/tenantParts of
// it, once the line is that full.
const tenantLimitDivisor = 2

// NewDeadlineAdmission returns an admission that refuses a call at arrival when its
// deadline cannot be met, and bounds the line and each tenant's part of it.
func NewDeadlineAdmission() gypsum.Admission { return deadlineAdmission{} }

// deadlineAdmission is the admission made by NewDeadline.
type deadlineAdmission struct{}

// Admit decides on a call.
func (deadlineAdmission) Admit(state gypsum.QueueState, queued *gypsum.QueuedCall, now time.Time) *gypsum.Refusal {
	limit := state.MaxQueue
	if limit > 0 && state.Waiting >= limit {
		return overloaded(state, "the line before the backend server is full")
	}
	if limit > 0 && state.Waiting >= limit/tenantLimitDivisor && state.TenantWaiting >= limit/tenantLimitDivisor {
		return overloaded(state, "the caller's part of the line is full")
	}
	if state.NoEstimate && state.Waiting >= state.Slots {
		return overloaded(state, "the backend server's speed is not known yet")
	}
	if state.ExpectedWait == 0 {
		return nil
	}
	if now.Add(state.ExpectedWait + queued.ExpectedDuration + state.Margin).After(queued.Deadline) {
		return overloaded(state, "the expected wait passes the deadline")
	}
	return nil
}

// overloaded returns a refusal whose time to come back is spread, so that
// refused callers do not all return at once.
func overloaded(state gypsum.QueueState, detail string) *gypsum.Refusal {
	wait := max(minRetryAfter, state.ExpectedWait)
	spread := wait + time.Duration(rand.Int64N(int64(wait)))
	return gypsum.NotRun(gypsum.ReasonOverloaded, http.StatusServiceUnavailable, spread, detail)
}

// NewBoundedAdmission returns an admission that only bounds the line.
func NewBoundedAdmission() gypsum.Admission { return boundedAdmission{} }

// boundedAdmission is the admission made by NewBounded.
type boundedAdmission struct{}

// Admit decides on a call.
func (boundedAdmission) Admit(state gypsum.QueueState, _ *gypsum.QueuedCall, _ time.Time) *gypsum.Refusal {
	if state.MaxQueue > 0 && state.Waiting >= state.MaxQueue {
		return overloaded(state, "the line before the backend server is full")
	}
	return nil
}

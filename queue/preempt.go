package queue

import (
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// AbortCalls cancels the running calls that may run again elsewhere, because the backend
// server has stopped responding. Non-idempotent calls continue.
func (q *Queue) AbortCalls() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for queued, cancel := range q.cancels {
		if !queued.Call.NonIdempotent() {
			cancel(errCallAborted)
		}
	}
}

// errCallAborted is the cancellation cause of a call whose backend server is down.
var errCallAborted = errors.New("backend server stopped responding")

// preemptDivisor sets when a trainer's call is preempted: if a live call would wait for
// a slot for at least 1/preemptDivisor of its average budget.
const preemptDivisor = 20

// preemptTrainerCall cancels the resumable trainer's call that arrived last if a live call
// would wait too long for a slot. The cancelled call resumes elsewhere after its last
// token. The caller holds mu.
func (q *Queue) preemptTrainerCall(state gypsum.QueueState) {
	if float64(state.NextSlotFree)*preemptDivisor < q.reserve.meanBudget {
		return
	}
	var last *gypsum.QueuedCall
	for queued := range q.cancels {
		call := queued.Call
		if call.Class == gypsum.ClassLive || call.Recovery != gypsum.RecoveryResume || q.preempted[queued] {
			continue
		}
		if last == nil || queued.Arrived.After(last.Arrived) {
			last = queued
		}
	}
	if last != nil {
		q.preempted[last] = true
		q.cancels[last](errCallPreempted)
	}
}

// errCallPreempted is the cancellation cause of a trainer's call that made room for a live
// call.
var errCallPreempted = errors.New("preempted by a live call")

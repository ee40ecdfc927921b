package queue

import (
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// Abort ends the running calls that may be run again elsewhere, because the
// backend server no longer answers.
func (q *Queue) Abort() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for queued, cancel := range q.cancels {
		if !queued.Call.NonIdempotent() {
			cancel(errAborted)
		}
	}
}

// errAborted is the cause of the end of a call whose backend server is down.
var errAborted = errors.New("backend server no longer answers")

// preemptDivisor is the part of a live call's time from which its wait for a slot
// is worth ending a trainer's call for: 1/preemptParts.
const preemptDivisor = 20

// preempt ends the trainer's call that began last, which goes on elsewhere behind
// its last token, if a live call would wait too long for a slot. The caller
// holds mu.
func (q *Queue) preempt(state gypsum.QueueState) {
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
		q.cancels[last](errPreempted)
	}
}

// errPreempted is the cause of the end of a trainer's call for a live one.
var errPreempted = errors.New("a live call needs the slot")

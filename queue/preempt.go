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
	for waiting, cancel := range q.aborts {
		if !waiting.Call.NonIdempotent() {
			cancel(errAborted)
		}
	}
}

// errAborted is the cause of the end of a call whose backend server is down.
var errAborted = errors.New("backend server no longer answers")

// preemptParts is the part of a live call's time from which its wait for a slot
// is worth ending a trainer's call for: 1/preemptParts.
const preemptParts = 20

// preempt ends the trainer's call that began last, which goes on elsewhere behind
// its last token, if a live call would wait too long for a slot. The caller
// holds mu.
func (q *Queue) preempt(state gypsum.QueueState) {
	if float64(state.NextSlotFree)*preemptParts < q.reserve.budget {
		return
	}
	var last *gypsum.QueuedCall
	for waiting := range q.aborts {
		call := waiting.Call
		if call.Class == gypsum.ClassLive || call.Recovery != gypsum.RecoveryResume || q.preempted[waiting] {
			continue
		}
		if last == nil || waiting.Arrived.After(last.Arrived) {
			last = waiting
		}
	}
	if last != nil {
		q.preempted[last] = true
		q.aborts[last](errPreempted)
	}
}

// errPreempted is the cause of the end of a trainer's call for a live one.
var errPreempted = errors.New("a live call needs the slot")

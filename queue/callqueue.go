package queue

import (
	"container/heap"
	"time"

	"github.com/gypsumhook/gypsum"
)

// NewPriorityQueue returns a queue that serves live calls before trainers' calls. Live calls
// are served by earliest deadline, trainers' plans by weighted fair queueing.
func NewPriorityQueue() gypsum.CallQueue { return newPriorityQueue(lessByShare) }

// NewEarliestDeadlineQueue returns a queue like that of NewPriorityQueue, except that trainers'
// calls are served by earliest deadline.
func NewEarliestDeadlineQueue() gypsum.CallQueue { return newPriorityQueue(lessByDeadline) }

// NewMaxMinUtilityQueue returns a queue like that of NewPriorityQueue, except that it
// serves the trainer with the lowest utility first. The utility falls with the time for
// which the trainer has waited for its step (after CORA's lexicographic max-min over
// utilities of completion time).
func NewMaxMinUtilityQueue() gypsum.CallQueue { return newPriorityQueue(lessByUtility) }

// newPriorityQueue returns a queue that chooses among trainers' plans by less.
func newPriorityQueue(less func(a, b *planCalls) bool) gypsum.CallQueue {
	return &priorityQueue{plans: make(map[string]*planCalls), byTenant: make(map[tenantKey]int), less: less}
}

// tenantKey identifies a tenant within its class.
type tenantKey struct {
	class  gypsum.Class
	tenant string
}

// priorityQueue serves live calls by earliest deadline, then trainers' plans in the
// order given by less.
type priorityQueue struct {
	// less reports whether plan a is served before plan b.
	less      func(a, b *planCalls) bool
	liveCalls deadlineHeap
	liveWork  time.Duration
	plans     map[string]*planCalls
	callCount int
	byTenant  map[tenantKey]int
	// virtualTime is the virtual clock of the fair queueing among plans.
	virtualTime float64
}

// planCalls are the waiting calls of one trainer's plan.
type planCalls struct {
	calls []*gypsum.QueuedCall
	// virtualFinish is the virtual time up to which the plan has used its share.
	virtualFinish float64
}

// Push implements gypsum.CallQueue.
func (q *priorityQueue) Push(queued *gypsum.QueuedCall) {
	q.callCount++
	q.byTenant[tenantKey{queued.Call.Class, queued.Call.Tenant}]++
	if queued.Call.Class == gypsum.ClassLive {
		q.liveWork += queued.ExpectedDuration
		heap.Push(&q.liveCalls, queued)
		return
	}
	plan, ok := q.plans[queued.Call.Tenant]
	if !ok {
		plan = &planCalls{virtualFinish: q.virtualTime}
		q.plans[queued.Call.Tenant] = plan
	}
	if len(plan.calls) == 0 {
		plan.virtualFinish = max(plan.virtualFinish, q.virtualTime)
	}
	plan.calls = append(plan.calls, queued)
}

// Pop returns the next live call or, if there is none, a trainer's call, unless
// trainers' calls occupy all slots that are not reserved for live calls.
func (q *priorityQueue) Pop(state gypsum.QueueState) *gypsum.QueuedCall {
	if len(q.liveCalls) > 0 {
		queued, _ := heap.Pop(&q.liveCalls).(*gypsum.QueuedCall)
		q.liveWork -= queued.ExpectedDuration
		q.recordRemoval(queued)
		return queued
	}
	if state.Running-state.LiveRunning >= state.Slots-state.ReservedSlots {
		return nil
	}
	return q.popTrainer()
}

// popTrainer returns the oldest call of the plan that less puts first.
func (q *priorityQueue) popTrainer() *gypsum.QueuedCall {
	var next *planCalls
	for _, plan := range q.plans {
		if len(plan.calls) > 0 && (next == nil || q.less(plan, next)) {
			next = plan
		}
	}
	if next == nil {
		return nil
	}
	queued := next.calls[0]
	next.calls = next.calls[1:]
	q.virtualTime = next.virtualFinish
	next.virtualFinish += queued.ExpectedDuration.Seconds() / float64(max(1, queued.Call.Weight))
	q.recordRemoval(queued)
	return queued
}

// lessByShare orders plans by how far they are behind their fair share.
func lessByShare(a, b *planCalls) bool {
	if a.virtualFinish != b.virtualFinish {
		return a.virtualFinish < b.virtualFinish
	}
	return a.calls[0].Arrived.Before(b.calls[0].Arrived)
}

// lessByDeadline orders plans by the deadline of their oldest call.
func lessByDeadline(a, b *planCalls) bool {
	return a.calls[0].Deadline.Before(b.calls[0].Deadline)
}

// lessByUtility orders plans by the weighted time for which their trainers have waited, the
// longest first.
func lessByUtility(a, b *planCalls) bool {
	first, second := a.calls[0].Call.TrainerWait, b.calls[0].Call.TrainerWait
	if first != second {
		return first > second
	}
	return lessByShare(a, b)
}

// recordRemoval updates the counters for a call that leaves the queue, and drops plans
// that are empty and no longer ahead of the virtual time.
func (q *priorityQueue) recordRemoval(queued *gypsum.QueuedCall) {
	q.callCount--
	key := tenantKey{queued.Call.Class, queued.Call.Tenant}
	if q.byTenant[key]--; q.byTenant[key] <= 0 {
		delete(q.byTenant, key)
	}
	if plan, ok := q.plans[queued.Call.Tenant]; ok && len(plan.calls) == 0 && plan.virtualFinish <= q.virtualTime {
		delete(q.plans, queued.Call.Tenant)
	}
}

// Remove implements gypsum.CallQueue.
func (q *priorityQueue) Remove(queued *gypsum.QueuedCall) bool {
	if queued.Call.Class == gypsum.ClassLive {
		if queued.Position < 0 || queued.Position >= len(q.liveCalls) || q.liveCalls[queued.Position] != queued {
			return false
		}
		heap.Remove(&q.liveCalls, queued.Position)
		q.liveWork -= queued.ExpectedDuration
		q.recordRemoval(queued)
		return true
	}
	plan, ok := q.plans[queued.Call.Tenant]
	if !ok {
		return false
	}
	for i, other := range plan.calls {
		if other == queued {
			plan.calls = append(plan.calls[:i], plan.calls[i+1:]...)
			q.recordRemoval(queued)
			return true
		}
	}
	return false
}

// WorkAhead returns the work that would start before a call that is about to be pushed.
func (q *priorityQueue) WorkAhead(queued *gypsum.QueuedCall) time.Duration {
	var work time.Duration
	for _, other := range q.liveCalls {
		if queued.Call.Class != gypsum.ClassLive || other.Deadline.Before(queued.Deadline) {
			work += other.ExpectedDuration
		}
	}
	if queued.Call.Class == gypsum.ClassLive {
		return work
	}
	for tenant, plan := range q.plans {
		for i, other := range plan.calls {
			// Of each other plan, about as many calls go first as the call's own plan
			// has waiting.
			if tenant == queued.Call.Tenant || i < q.TenantLen(gypsum.ClassTrainer, queued.Call.Tenant) {
				work += other.ExpectedDuration
			}
		}
	}
	return work
}

// Len returns the number of waiting calls.
func (q *priorityQueue) Len() int { return q.callCount }

// TenantLen returns the number of waiting calls of a tenant.
func (q *priorityQueue) TenantLen(class gypsum.Class, tenant string) int {
	return q.byTenant[tenantKey{class, tenant}]
}

// deadlineHeap is a heap of live calls with the earliest deadline on top.
type deadlineHeap []*gypsum.QueuedCall

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].Position, h[j].Position = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	queued, _ := x.(*gypsum.QueuedCall)
	queued.Position = len(*h)
	*h = append(*h, queued)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	last.Position = -1
	*h = old[:len(old)-1]
	return last
}

// NewFIFOQueue returns a queue that serves calls in order of arrival, regardless of their
// class and deadline.
func NewFIFOQueue() gypsum.CallQueue {
	return &fifoQueue{}
}

// fifoQueue serves calls in order of arrival.
type fifoQueue struct {
	calls []*gypsum.QueuedCall
}

// Push implements gypsum.CallQueue.
func (q *fifoQueue) Push(queued *gypsum.QueuedCall) { q.calls = append(q.calls, queued) }

// Pop returns the oldest call.
func (q *fifoQueue) Pop(gypsum.QueueState) *gypsum.QueuedCall {
	if len(q.calls) == 0 {
		return nil
	}
	first := q.calls[0]
	q.calls = q.calls[1:]
	return first
}

// Remove implements gypsum.CallQueue.
func (q *fifoQueue) Remove(queued *gypsum.QueuedCall) bool {
	for i, other := range q.calls {
		if other == queued {
			q.calls = append(q.calls[:i], q.calls[i+1:]...)
			return true
		}
	}
	return false
}

// WorkAhead returns the work of all waiting calls.
func (q *fifoQueue) WorkAhead(*gypsum.QueuedCall) time.Duration {
	var work time.Duration
	for _, other := range q.calls {
		work += other.ExpectedDuration
	}
	return work
}

// Len returns the number of waiting calls.
func (q *fifoQueue) Len() int { return len(q.calls) }

// TenantLen returns the number of waiting calls of a tenant.
func (q *fifoQueue) TenantLen(class gypsum.Class, tenant string) int {
	count := 0
	for _, other := range q.calls {
		if other.Call.Class == class && other.Call.Tenant == tenant {
			count++
		}
	}
	return count
}

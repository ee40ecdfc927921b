package queue

import (
	"container/heap"
	"time"

	"github.com/gypsumhook/gypsum"
)

// NewPriority returns a line that serves live calls before trainers' calls:
// live calls by nearest deadline, trainers' by weighted fair shares.
func NewPriority() gypsum.CallQueue { return newPriorityLine(byShare) }

// NewNearest returns a line like NewPriority's that serves trainers' calls by
// nearest deadline.
func NewNearest() gypsum.CallQueue { return newPriorityLine(byDeadline) }

// NewMaxMin returns a line like NewPriority's that serves the trainer with the
// least utility first, which falls with the time it has waited for its step
// (after CORA's lexicographic max-min over utilities of completion time).
func NewMaxMin() gypsum.CallQueue { return newPriorityLine(byUtility) }

// newPriorityLine returns a line that chooses among trainers by a rule.
func newPriorityLine(first func(a, b *share) bool) gypsum.CallQueue {
	return &priorityLine{trainers: make(map[string]*share), tenants: make(map[tenantKey]int), first: first}
}

// tenantKey is a tenant within its class.
type tenantKey struct {
	class  gypsum.Class
	tenant string
}

// priorityLine is the line made by NewPriority and its kin.
type priorityLine struct {
	// First tells whether plan a is served before plan b.
	first    func(a, b *share) bool
	live     deadlineHeap
	liveWork time.Duration
	trainers map[string]*share
	waiting  int
	tenants  map[tenantKey]int
	// Clock is the virtual time of the trainers' fair shares.
	clock float64
}

// share is the line of one trainer's plan.
type share struct {
	calls []*gypsum.QueuedCall
	// Finish is the virtual time up to which the plan has used its share.
	finish float64
}

// Push adds a call to the line.
func (l *priorityLine) Push(waiting *gypsum.QueuedCall) {
	l.waiting++
	l.tenants[tenantKey{waiting.Call.Class, waiting.Call.Tenant}]++
	if waiting.Call.Class == gypsum.ClassLive {
		l.liveWork += waiting.ExpectedDuration
		heap.Push(&l.live, waiting)
		return
	}
	plan, ok := l.trainers[waiting.Call.Tenant]
	if !ok {
		plan = &share{finish: l.clock}
		l.trainers[waiting.Call.Tenant] = plan
	}
	if len(plan.calls) == 0 {
		plan.finish = max(plan.finish, l.clock)
	}
	plan.calls = append(plan.calls, waiting)
}

// Pop returns the next call: a live one, or a trainer's if slots beyond the
// reserve are free.
func (l *priorityLine) Pop(state gypsum.QueueState) *gypsum.QueuedCall {
	if len(l.live) > 0 {
		waiting, _ := heap.Pop(&l.live).(*gypsum.QueuedCall)
		l.liveWork -= waiting.ExpectedDuration
		l.left(waiting)
		return waiting
	}
	if state.Running-state.LiveRunning >= state.Slots-state.ReservedSlots {
		return nil
	}
	return l.popTrainer()
}

// popTrainer returns the oldest call of the plan that is furthest behind its share.
func (l *priorityLine) popTrainer() *gypsum.QueuedCall {
	var next *share
	for _, plan := range l.trainers {
		if len(plan.calls) > 0 && (next == nil || l.first(plan, next)) {
			next = plan
		}
	}
	if next == nil {
		return nil
	}
	waiting := next.calls[0]
	next.calls = next.calls[1:]
	l.clock = next.finish
	next.finish += waiting.ExpectedDuration.Seconds() / float64(max(1, waiting.Call.Weight))
	l.left(waiting)
	return waiting
}

// byShare serves the plan that is furthest behind its share.
func byShare(a, b *share) bool {
	if a.finish != b.finish {
		return a.finish < b.finish
	}
	return a.calls[0].Arrived.Before(b.calls[0].Arrived)
}

// byDeadline serves the plan whose oldest call has the nearest deadline.
func byDeadline(a, b *share) bool {
	return a.calls[0].Deadline.Before(b.calls[0].Deadline)
}

// byUtility serves the plan whose trainer has waited longest, by its weight.
func byUtility(a, b *share) bool {
	first, second := a.calls[0].Call.TrainerWait, b.calls[0].Call.TrainerWait
	if first != second {
		return first > second
	}
	return byShare(a, b)
}

// left updates the counts for a call that leaves the line.
func (l *priorityLine) left(waiting *gypsum.QueuedCall) {
	l.waiting--
	key := tenantKey{waiting.Call.Class, waiting.Call.Tenant}
	if l.tenants[key]--; l.tenants[key] <= 0 {
		delete(l.tenants, key)
	}
	if plan, ok := l.trainers[waiting.Call.Tenant]; ok && len(plan.calls) == 0 && plan.finish <= l.clock {
		delete(l.trainers, waiting.Call.Tenant)
	}
}

// Remove takes a call out of the line.
func (l *priorityLine) Remove(waiting *gypsum.QueuedCall) bool {
	if waiting.Call.Class == gypsum.ClassLive {
		if waiting.Position < 0 || waiting.Position >= len(l.live) || l.live[waiting.Position] != waiting {
			return false
		}
		heap.Remove(&l.live, waiting.Position)
		l.liveWork -= waiting.ExpectedDuration
		l.left(waiting)
		return true
	}
	plan, ok := l.trainers[waiting.Call.Tenant]
	if !ok {
		return false
	}
	for i, other := range plan.calls {
		if other == waiting {
			plan.calls = append(plan.calls[:i], plan.calls[i+1:]...)
			l.left(waiting)
			return true
		}
	}
	return false
}

// WorkAhead returns the work before a call that is about to be pushed.
func (l *priorityLine) WorkAhead(waiting *gypsum.QueuedCall) time.Duration {
	var work time.Duration
	for _, other := range l.live {
		if waiting.Call.Class != gypsum.ClassLive || other.Deadline.Before(waiting.Deadline) {
			work += other.ExpectedDuration
		}
	}
	if waiting.Call.Class == gypsum.ClassLive {
		return work
	}
	for tenant, plan := range l.trainers {
		for i, other := range plan.calls {
			// Of other plans, about as many calls go first as of the call's own.
			if tenant == waiting.Call.Tenant || i < l.TenantLen(gypsum.ClassTrainer, waiting.Call.Tenant) {
				work += other.ExpectedDuration
			}
		}
	}
	return work
}

// Len returns the number of waiting calls.
func (l *priorityLine) Len() int { return l.waiting }

// TenantLen returns the number of waiting calls of a tenant.
func (l *priorityLine) TenantLen(class gypsum.Class, tenant string) int {
	return l.tenants[tenantKey{class, tenant}]
}

// deadlineHeap is a heap of live calls, the nearest deadline first.
type deadlineHeap []*gypsum.QueuedCall

// Len is part of heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h deadlineHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }

// Swap is part of heap.Interface.
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].Position, h[j].Position = i, j
}

// Push is part of heap.Interface.
func (h *deadlineHeap) Push(x any) {
	waiting, _ := x.(*gypsum.QueuedCall)
	waiting.Position = len(*h)
	*h = append(*h, waiting)
}

// Pop is part of heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	last.Position = -1
	*h = old[:len(old)-1]
	return last
}

// NewFIFO returns a line that serves calls in the order of arrival, whatever
// their class and deadline.
func NewFIFO() gypsum.CallQueue {
	return &fifoLine{}
}

// fifoLine is the line made by NewFIFO.
type fifoLine struct {
	calls []*gypsum.QueuedCall
}

// Push adds a call at the end.
func (l *fifoLine) Push(waiting *gypsum.QueuedCall) { l.calls = append(l.calls, waiting) }

// Pop returns the oldest call.
func (l *fifoLine) Pop(gypsum.QueueState) *gypsum.QueuedCall {
	if len(l.calls) == 0 {
		return nil
	}
	first := l.calls[0]
	l.calls = l.calls[1:]
	return first
}

// Remove takes a call out of the line.
func (l *fifoLine) Remove(waiting *gypsum.QueuedCall) bool {
	for i, other := range l.calls {
		if other == waiting {
			l.calls = append(l.calls[:i], l.calls[i+1:]...)
			return true
		}
	}
	return false
}

// WorkAhead returns the work of all waiting calls.
func (l *fifoLine) WorkAhead(*gypsum.QueuedCall) time.Duration {
	var work time.Duration
	for _, other := range l.calls {
		work += other.ExpectedDuration
	}
	return work
}

// Len returns the number of waiting calls.
func (l *fifoLine) Len() int { return len(l.calls) }

// TenantLen returns the number of waiting calls of a tenant.
func (l *fifoLine) TenantLen(class gypsum.Class, tenant string) int {
	count := 0
	for _, other := range l.calls {
		if other.Call.Class == class && other.Call.Tenant == tenant {
			count++
		}
	}
	return count
}

// Package queue holds the calls that wait for a backend server. Engines accept every
// call and know no priorities, so calls are queued here instead.
package queue

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// BackendRunner runs calls on one backend server.
type BackendRunner interface {
	Run(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error
	// Crashed reports whether the backend server has crashed since the given time.
	Crashed(ctx context.Context, since time.Time) bool
}

// Queue is the queue of calls for one backend server. Set the exported fields before the
// first Run.
type Queue struct {
	Backend   gypsum.BackendID
	Owner     gypsum.HostID
	Calls     gypsum.CallQueue
	Admission gypsum.Admission
	Runner    BackendRunner
	MaxQueue  int
	Logger    *slog.Logger
	// Background runs a task that outlives its call.
	Background func(task func())
	// OnCrash counts a crash and returns all crash counts of the request.
	OnCrash func(fingerprint gypsum.Fingerprint) []gypsum.CrashCount

	mu             sync.Mutex
	slots          int
	running        int
	liveRunning    int
	liveQueued     int
	runningWork    time.Duration
	closedReason   gypsum.Reason
	estimators     map[gypsum.Class]*estimator
	reserve        slotReserve
	cancels        map[*gypsum.QueuedCall]context.CancelCauseFunc
	preempted      map[*gypsum.QueuedCall]bool
	suspectSlot    chan struct{}
	lastSuspectEnd time.Time
	// crashesCounted is when a crash was last counted for a request.
	crashesCounted map[gypsum.Fingerprint]time.Time
	initOnce       sync.Once
}

// State is the load of a queue.
type State struct {
	Running int
	Queued  int
	Slots   int
	// Live is the number of live calls running and waiting.
	Live int
	// Latency is the mean duration of a call.
	Latency time.Duration
}

// lazyInit creates the state that is not needed before the first call.
func (q *Queue) lazyInit() {
	q.initOnce.Do(func() {
		q.suspectSlot = make(chan struct{}, 1)
		q.crashesCounted = make(map[gypsum.Fingerprint]time.Time)
		q.cancels = make(map[*gypsum.QueuedCall]context.CancelCauseFunc)
		q.preempted = make(map[*gypsum.QueuedCall]bool)
		q.estimators = map[gypsum.Class]*estimator{gypsum.ClassLive: {}, gypsum.ClassTrainer: {}}
		if q.slots == 0 {
			q.slots = 1
		}
	})
}

// SetSlots sets how many calls the backend server runs concurrently.
func (q *Queue) SetSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = max(1, slots)
	q.startNextCalls()
}

// Close refuses new and waiting calls with the given reason; running calls continue. An
// empty reason reopens the queue.
func (q *Queue) Close(reason gypsum.Reason) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closedReason = reason
	if reason == "" {
		q.startNextCalls()
		return
	}
	for {
		queued := q.Calls.Pop(gypsum.QueueState{Slots: 1 << 20})
		if queued == nil {
			return
		}
		close(queued.Ready)
	}
}

// State returns the load of the queue.
func (q *Queue) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return State{
		Running: q.running, Queued: q.Calls.Len(), Slots: max(1, q.slots), Latency: q.meanDuration(),
		Live: q.liveRunning + q.liveQueued,
	}
}

// Run queues the call and runs it on the backend server. It returns a *gypsum.Refusal or
// the error of the sink.
func (q *Queue) Run(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	q.lazyInit()
	if len(call.CrashCounts) > 0 {
		release, err := q.acquireSuspect(ctx)
		if err != nil {
			return err
		}
		defer release()
	}
	queued, err := q.admitCall(call)
	if err != nil {
		return err
	}
	if err := q.awaitTurn(ctx, queued); err != nil {
		return err
	}
	return q.runInSlot(ctx, queued, sink)
}

// admitCall adds a call to the queue, or refuses it.
func (q *Queue) admitCall(call *gypsum.Call) (*gypsum.QueuedCall, error) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closedReason != "" {
		return nil, q.closedRefusal()
	}
	queued := &gypsum.QueuedCall{
		Call: call, Arrived: now, Deadline: now.Add(call.Budget),
		ExpectedDuration: q.estimateDuration(call), Ready: make(chan struct{}),
	}
	if call.Class == gypsum.ClassLive {
		q.reserve.observeBudget(call.Budget)
	}
	state := q.policyState(queued)
	if call.Class == gypsum.ClassLive && call.Redirects < gypsum.MaxRedirects && state.ExpectedWait > redirectWait {
		return nil, q.busyRefusal()
	}
	if call.Class == gypsum.ClassLive && q.running-q.liveRunning > q.liveQueued {
		// The call can preempt a trainer's call instead of waiting, so it is admitted as one
		// without a wait.
		state.ExpectedWait = 0
	}
	if refusal := q.Admission.Admit(state, queued, now); refusal != nil {
		refusal.Backend = q.Backend
		return nil, refusal
	}
	q.Calls.Push(queued)
	if call.Class == gypsum.ClassLive {
		q.liveQueued++
	}
	q.startNextCalls()
	if call.Class == gypsum.ClassLive && queued.Position != positionStarted {
		q.preemptTrainerCall(state)
	}
	return queued, nil
}

// redirectWait is the expected wait above which a live call is redirected to another
// backend server. The sender chose this one by load reports that lag; the count of the
// queue's owner is exact.
const redirectWait = 50 * time.Millisecond

// busyRefusal returns the refusal that redirects a call to another backend server.
func (q *Queue) busyRefusal() *gypsum.Refusal {
	refusal := gypsum.NotRunRefusal(gypsum.ReasonBusy, http.StatusServiceUnavailable, time.Second, "the call would have to wait here")
	refusal.Backend = q.Backend
	return refusal
}

// policyState returns the input of the queueing and admission policies. With a call, it
// includes the expected wait of that call. The caller holds mu.
func (q *Queue) policyState(queued *gypsum.QueuedCall) gypsum.QueueState {
	class := gypsum.ClassTrainer
	if queued != nil {
		class = queued.Call.Class
	}
	slots := max(1, q.slots)
	// The ends of the running calls are assumed to be spread evenly over their mean expected
	// duration, so the next slot becomes free after 1/slots of it.
	nextFree := q.runningWork / time.Duration(max(1, q.running)*slots)
	state := gypsum.QueueState{
		Slots: slots, Running: q.running, LiveRunning: q.liveRunning,
		Queued: q.Calls.Len(), MaxQueue: q.MaxQueue, RunningWork: q.runningWork,
		ReservedSlots: q.reserve.reservedSlots(time.Now(), slots), Margin: q.estimatorFor(class).estimateMargin(), NextSlotFree: nextFree, NoEstimate: q.hasNoObservations(),
	}
	if queued == nil {
		return state
	}
	state.TenantQueued = q.Calls.TenantLen(queued.Call.Class, queued.Call.Tenant)
	state.WorkAhead = q.Calls.WorkAhead(queued)
	if state.Running >= state.Slots || state.WorkAhead > 0 {
		state.ExpectedWait = state.WorkAhead/time.Duration(slots) + nextFree
	}
	return state
}

// estimatorFor returns the estimator for calls of a class.
func (q *Queue) estimatorFor(class gypsum.Class) *estimator {
	q.lazyInit()
	return q.estimators[class]
}

// estimateDuration returns how long a call is expected to occupy a slot. Without
// measurements of the call's class, it uses those of the other class.
func (q *Queue) estimateDuration(call *gypsum.Call) time.Duration {
	primary, fallback := q.estimatorFor(gypsum.ClassLive), q.estimatorFor(gypsum.ClassTrainer)
	if call.Class != gypsum.ClassLive {
		primary, fallback = fallback, primary
	}
	if primary.observations == 0 {
		return fallback.estimateDuration(call)
	}
	return primary.estimateDuration(call)
}

// meanDuration returns the mean duration of live calls or, without any, of trainers' calls.
func (q *Queue) meanDuration() time.Duration {
	if live := q.estimatorFor(gypsum.ClassLive); live.observations > 0 {
		return live.meanDuration()
	}
	return q.estimatorFor(gypsum.ClassTrainer).meanDuration()
}

// hasNoObservations reports whether no call has been measured yet.
func (q *Queue) hasNoObservations() bool {
	return q.estimatorFor(gypsum.ClassLive).observations == 0 && q.estimatorFor(gypsum.ClassTrainer).observations == 0
}

// startNextCalls starts waiting calls in the free slots. The caller holds mu.
func (q *Queue) startNextCalls() {
	for q.closedReason == "" && q.running < max(1, q.slots) {
		queued := q.Calls.Pop(q.policyState(nil))
		if queued == nil {
			return
		}
		q.running++
		q.runningWork += queued.ExpectedDuration
		if queued.Call.Class == gypsum.ClassLive {
			q.liveQueued--
			q.liveRunning++
			q.reserve.setRunningLive(q.liveRunning, time.Now())
		}
		queued.Position = positionStarted
		close(queued.Ready)
	}
}

// positionStarted is the Position of a call that occupies a slot.
const positionStarted = -2

// awaitTurn waits until the call may start. It returns a refusal as soon as the call
// could no longer end before its deadline.
func (q *Queue) awaitTurn(ctx context.Context, queued *gypsum.QueuedCall) error {
	// A waiting call is only started while it can still end in time.
	timer := time.NewTimer(time.Until(queued.Deadline.Add(-queued.ExpectedDuration)))
	defer timer.Stop()
	select {
	case <-queued.Ready:
	case <-ctx.Done():
	case <-timer.C:
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if queued.Position == positionStarted {
		return nil
	}
	if queued.Call.Class == gypsum.ClassLive {
		q.liveQueued--
	}
	if !q.Calls.Remove(queued) {
		return q.closedRefusal()
	}
	if ctx.Err() != nil {
		return gypsum.NotRunRefusal(gypsum.ReasonCancelled, http.StatusGatewayTimeout, 0, "the caller gave up while the call waited")
	}
	return gypsum.NotRunRefusal(gypsum.ReasonOverloaded, http.StatusServiceUnavailable, q.drainTime(), "the call waited too long to end in time")
}

// closedRefusal returns the refusal of a call that another queue may accept. The caller
// holds mu.
func (q *Queue) closedRefusal() *gypsum.Refusal {
	reason := q.closedReason
	if reason == "" {
		reason = gypsum.ReasonNoBackend
	}
	refusal := gypsum.NotRunRefusal(reason, http.StatusServiceUnavailable, time.Second, "the backend server takes no new calls")
	refusal.Backend, refusal.Misrouted = q.Backend, true
	return refusal
}

// drainTime returns the expected time until all queued calls have been served. The
// caller holds mu.
func (q *Queue) drainTime() time.Duration {
	work := q.meanDuration() * time.Duration(q.Calls.Len()+q.running)
	return max(minRetryAfter, work/time.Duration(max(1, q.slots)))
}

// runInSlot runs a call that occupies a slot, and frees the slot.
func (q *Queue) runInSlot(ctx context.Context, queued *gypsum.QueuedCall, sink gypsum.Sink) error {
	call := queued.Call
	startedAt := time.Now()
	q.Logger.Debug("call started", "request", call.ID, "backend", q.Backend, "class", call.Class, "waited", startedAt.Sub(queued.Arrived))
	tokens := 0
	var err error
	defer func() { q.finishCall(queued, time.Since(startedAt), tokens, err == nil) }()
	if startedAt.After(queued.Deadline) {
		err = gypsum.NotRunRefusal(gypsum.ReasonTimeout, http.StatusGatewayTimeout, time.Second, "the deadline passed before the call could start")
		return err
	}
	deadlineCtx, cancel := context.WithDeadline(ctx, queued.Deadline)
	defer cancel()
	runCtx, cancelRun := context.WithCancelCause(deadlineCtx)
	defer cancelRun(nil)
	q.mu.Lock()
	q.cancels[queued] = cancelRun
	q.mu.Unlock()
	err = q.Runner.Run(runCtx, call, func(event *gypsum.Event) error {
		if event.Chunk != nil {
			tokens += event.Chunk.Tokens
		}
		return sink(event)
	})
	if err == nil {
		return sink(&gypsum.Event{End: &gypsum.End{Backend: q.Backend}})
	}
	return q.refusalForError(runCtx, call, err, startedAt)
}

// finishCall frees a call's slot, updates the estimates if the response was complete, and
// starts the next call.
func (q *Queue) finishCall(queued *gypsum.QueuedCall, elapsed time.Duration, tokens int, complete bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	delete(q.cancels, queued)
	delete(q.preempted, queued)
	q.runningWork -= queued.ExpectedDuration
	if queued.Call.Class == gypsum.ClassLive {
		q.liveRunning--
		q.reserve.setRunningLive(q.liveRunning, time.Now())
	}
	if complete {
		q.estimators[queued.Call.Class].recordDuration(queued.Call, elapsed, tokens)
	}
	q.startNextCalls()
}

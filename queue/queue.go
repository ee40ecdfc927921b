// Package queue holds the calls that wait for one backend server. Engines know
// no priorities and admit what arrives, so the waiting happens here.
package queue

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Executor takes a call to the backend server itself.
type Executor interface {
	Execute(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error
	// Crashed tells whether the backend server has died since the time.
	Crashed(ctx context.Context, since time.Time) bool
}

// Queue is the line of calls before one backend server. Set the exported
// fields before the first Run.
type Queue struct {
	Backend   gypsum.BackendID
	Owner     gypsum.HostID
	Calls     gypsum.CallQueue
	Admission gypsum.Admission
	Executor  Executor
	MaxQueue  int
	Logger    *slog.Logger
	// Background runs a task that outlives its call.
	Background func(task func())
	// OnCrash counts a crash and returns all counts of the request.
	OnCrash func(fingerprint gypsum.Fingerprint) []gypsum.Crash

	mu             sync.Mutex
	slots          int
	running        int
	liveRunning    int
	liveWaiting    int
	runningWork    time.Duration
	closedReason   gypsum.Reason
	estimators     map[gypsum.Class]*estimator
	reserve        slotReserve
	cancels        map[*gypsum.QueuedCall]context.CancelCauseFunc
	preempted      map[*gypsum.QueuedCall]bool
	suspectSlot    chan struct{}
	lastSuspectEnd time.Time
	initOnce       sync.Once
}

// State is a queue's load.
type State struct {
	Running int
	Queued  int
	Slots   int
	// Live is the number of live calls running and waiting.
	Live int
	// Latency is the expected time of a call.
	Latency time.Duration
}

// init makes the parts that have no use before the first call.
func (q *Queue) init() {
	q.initOnce.Do(func() {
		q.suspectSlot = make(chan struct{}, 1)
		q.cancels = make(map[*gypsum.QueuedCall]context.CancelCauseFunc)
		q.preempted = make(map[*gypsum.QueuedCall]bool)
		q.estimators = map[gypsum.Class]*estimator{gypsum.ClassLive: {}, gypsum.ClassTrainer: {}}
		if q.slots == 0 {
			q.slots = 1
		}
	})
}

// SetSlots sets how many calls the backend server runs at once.
func (q *Queue) SetSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = max(1, slots)
	q.startNext()
}

// Close refuses new calls from now on and those that wait, but not those that
// run. The empty reason opens the queue again.
func (q *Queue) Close(reason gypsum.Reason) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closedReason = reason
	if reason == "" {
		q.startNext()
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

// State returns the queue's load.
func (q *Queue) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return State{
		Running: q.running, Queued: q.Calls.Len(), Slots: max(1, q.slots), Latency: q.meanTime(),
		Live: q.liveRunning + q.liveWaiting,
	}
}

// Run waits for the call's turn and runs it on the backend server.
func (q *Queue) Run(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	q.init()
	if len(call.Crashes) > 0 {
		release, err := q.acquireSuspect(ctx)
		if err != nil {
			return err
		}
		defer release()
	}
	queued, err := q.admit(call)
	if err != nil {
		return err
	}
	if err := q.awaitTurn(ctx, queued); err != nil {
		return err
	}
	return q.execute(ctx, queued, sink)
}

// admit admits a call into the line.
func (q *Queue) admit(call *gypsum.Call) (*gypsum.QueuedCall, error) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closedReason != "" {
		return nil, q.refuseClosed()
	}
	queued := &gypsum.QueuedCall{
		Call: call, Arrived: now, Deadline: now.Add(call.Budget),
		ExpectedDuration: q.estimate(call), Ready: make(chan struct{}),
	}
	if call.Class == gypsum.ClassLive {
		q.reserve.observeBudget(call.Budget)
	}
	state := q.state(queued)
	if call.Class == gypsum.ClassLive && call.Redirects < gypsum.MaxRedirects && state.ExpectedWait > redirectWait {
		return nil, q.refuseBusy()
	}
	if call.Class == gypsum.ClassLive && q.running-q.liveRunning > q.liveWaiting {
		// The call can take a slot from a trainer's.
		state.ExpectedWait = 0
	}
	if refusal := q.Admission.Admit(state, queued, now); refusal != nil {
		refusal.Backend = q.Backend
		return nil, refusal
	}
	q.Calls.Push(queued)
	if call.Class == gypsum.ClassLive {
		q.liveWaiting++
	}
	q.startNext()
	if call.Class == gypsum.ClassLive && queued.Position != positionStarted {
		q.preempt(state)
	}
	return queued, nil
}

// redirectWait is the expected wait from which a live call is sent back to try
// another backend server. News of loads is old; the owner's own count is exact.
const redirectWait = 50 * time.Millisecond

// refuseBusy sends a call back.
func (q *Queue) refuseBusy() *gypsum.Refusal {
	refusal := gypsum.NotRun(gypsum.ReasonBusy, http.StatusServiceUnavailable, time.Second, "the call would have to wait here")
	refusal.Backend = q.Backend
	return refusal
}

// state returns what the policies need to decide on a call. The caller holds mu.
func (q *Queue) state(queued *gypsum.QueuedCall) gypsum.QueueState {
	class := gypsum.ClassTrainer
	if queued != nil {
		class = queued.Call.Class
	}
	slots := max(1, q.slots)
	// The slots get free one after another.
	nextFree := q.runningWork / time.Duration(max(1, q.running)*slots)
	state := gypsum.QueueState{
		Slots: slots, Running: q.running, LiveRunning: q.liveRunning,
		Waiting: q.Calls.Len(), MaxQueue: q.MaxQueue, RunningWork: q.runningWork,
		ReservedSlots: q.reserve.slots(time.Now(), slots), Margin: q.estimator(class).margin(), NextSlotFree: nextFree, NoEstimate: q.noSamples(),
	}
	if queued == nil {
		return state
	}
	state.TenantWaiting = q.Calls.TenantLen(queued.Call.Class, queued.Call.Tenant)
	state.WorkAhead = q.Calls.WorkAhead(queued)
	if state.Running >= state.Slots || state.WorkAhead > 0 {
		state.ExpectedWait = state.WorkAhead/time.Duration(slots) + nextFree
	}
	return state
}

// estimator returns what was learned of calls of a class.
func (q *Queue) estimator(class gypsum.Class) *estimator {
	q.init()
	return q.estimators[class]
}

// estimate returns the time that a call is expected to hold a slot, by calls of
// its class or, before there were any, by those of the other.
func (q *Queue) estimate(call *gypsum.Call) time.Duration {
	primary, fallback := q.estimator(gypsum.ClassLive), q.estimator(gypsum.ClassTrainer)
	if call.Class != gypsum.ClassLive {
		primary, fallback = fallback, primary
	}
	if primary.samples == 0 {
		return fallback.estimate(call)
	}
	return primary.estimate(call)
}

// meanTime returns the mean time of live calls or, without any, of trainers'.
func (q *Queue) meanTime() time.Duration {
	if live := q.estimator(gypsum.ClassLive); live.samples > 0 {
		return live.meanTime()
	}
	return q.estimator(gypsum.ClassTrainer).meanTime()
}

// noSamples tells whether no call's time has been measured yet.
func (q *Queue) noSamples() bool {
	return q.estimator(gypsum.ClassLive).samples == 0 && q.estimator(gypsum.ClassTrainer).samples == 0
}

// startNext gives free slots to the next calls. The caller holds mu.
func (q *Queue) startNext() {
	for q.closedReason == "" && q.running < max(1, q.slots) {
		queued := q.Calls.Pop(q.state(nil))
		if queued == nil {
			return
		}
		q.running++
		q.runningWork += queued.ExpectedDuration
		if queued.Call.Class == gypsum.ClassLive {
			q.liveWaiting--
			q.liveRunning++
			q.reserve.setRunning(q.liveRunning, time.Now())
		}
		queued.Position = positionStarted
		close(queued.Ready)
	}
}

// positionStarted is the Position of a call that holds a slot.
const positionStarted = -2

// awaitTurn waits for a call's turn. It gives up when the call could no longer end
// in time.
func (q *Queue) awaitTurn(ctx context.Context, queued *gypsum.QueuedCall) error {
	// A call that waits is only started while it can still end in time.
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
		q.liveWaiting--
	}
	if !q.Calls.Remove(queued) {
		return q.refuseClosed()
	}
	if ctx.Err() != nil {
		return gypsum.NotRun(gypsum.ReasonCancelled, http.StatusGatewayTimeout, 0, "the caller gave up while the call waited")
	}
	return gypsum.NotRun(gypsum.ReasonOverloaded, http.StatusServiceUnavailable, q.drainTime(), "the call waited too long to end in time")
}

// refuseClosed refuses a call that another queue may take. The caller holds mu.
func (q *Queue) refuseClosed() *gypsum.Refusal {
	reason := q.closedReason
	if reason == "" {
		reason = gypsum.ReasonNoBackend
	}
	refusal := gypsum.NotRun(reason, http.StatusServiceUnavailable, time.Second, "the backend server takes no new calls")
	refusal.Backend, refusal.Misrouted = q.Backend, true
	return refusal
}

// drainTime is the time in which the present line will have been served. The
// caller holds mu.
func (q *Queue) drainTime() time.Duration {
	work := q.meanTime() * time.Duration(q.Calls.Len()+q.running)
	return max(minRetryAfter, work/time.Duration(max(1, q.slots)))
}

// execute runs a call that holds a slot and frees the slot.
func (q *Queue) execute(ctx context.Context, queued *gypsum.QueuedCall, sink gypsum.Sink) error {
	call := queued.Call
	startedAt := time.Now()
	q.Logger.Debug("call started", "request", call.ID, "backend", q.Backend, "class", call.Class, "waited", startedAt.Sub(queued.Arrived))
	tokens := 0
	var err error
	defer func() { q.finish(queued, time.Since(startedAt), tokens, err == nil) }()
	if startedAt.After(queued.Deadline) {
		err = gypsum.NotRun(gypsum.ReasonTimeout, http.StatusGatewayTimeout, time.Second, "the deadline passed before the call could start")
		return err
	}
	deadlineCtx, cancel := context.WithDeadline(ctx, queued.Deadline)
	defer cancel()
	runCtx, cancelRun := context.WithCancelCause(deadlineCtx)
	defer cancelRun(nil)
	q.mu.Lock()
	q.cancels[queued] = cancelRun
	q.mu.Unlock()
	err = q.Executor.Execute(runCtx, call, func(event *gypsum.Event) error {
		if event.Chunk != nil {
			tokens += event.Chunk.Tokens
		}
		return sink(event)
	})
	if err == nil {
		return sink(&gypsum.Event{End: &gypsum.End{Backend: q.Backend}})
	}
	return q.refusalFor(runCtx, call, err, startedAt)
}

// finish frees a call's slot and learns from its time.
func (q *Queue) finish(queued *gypsum.QueuedCall, elapsed time.Duration, tokens int, complete bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	delete(q.cancels, queued)
	delete(q.preempted, queued)
	q.runningWork -= queued.ExpectedDuration
	if queued.Call.Class == gypsum.ClassLive {
		q.liveRunning--
		q.reserve.setRunning(q.liveRunning, time.Now())
	}
	if complete {
		q.estimators[queued.Call.Class].observe(queued.Call, elapsed, tokens)
	}
	q.startNext()
}

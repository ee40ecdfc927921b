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
	Line      gypsum.CallQueue
	Admission gypsum.Admission
	Executor  Executor
	MaxQueue  int
	Logger    *slog.Logger
	// Background runs a task that outlives its call.
	Background func(task func())
	// OnCrash counts a crash and returns all counts of the request.
	OnCrash func(fingerprint gypsum.Fingerprint) []gypsum.Crash

	mu          sync.Mutex
	slots       int
	running     int
	liveRunning int
	liveWaiting int
	runningWork time.Duration
	closed      gypsum.Reason
	meters      map[gypsum.Class]*meter
	reserve     reserve
	aborts      map[*gypsum.QueuedCall]context.CancelCauseFunc
	preempted   map[*gypsum.QueuedCall]bool
	suspect     chan struct{}
	suspectEnd  time.Time
	once        sync.Once
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
	q.once.Do(func() {
		q.suspect = make(chan struct{}, 1)
		q.aborts = make(map[*gypsum.QueuedCall]context.CancelCauseFunc)
		q.preempted = make(map[*gypsum.QueuedCall]bool)
		q.meters = map[gypsum.Class]*meter{gypsum.ClassLive: {}, gypsum.ClassTrainer: {}}
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
	q.closed = reason
	if reason == "" {
		q.startNext()
		return
	}
	for {
		waiting := q.Line.Pop(gypsum.QueueState{Slots: 1 << 20})
		if waiting == nil {
			return
		}
		close(waiting.Ready)
	}
}

// State returns the queue's load.
func (q *Queue) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return State{
		Running: q.running, Queued: q.Line.Len(), Slots: max(1, q.slots), Latency: q.typical(),
		Live: q.liveRunning + q.liveWaiting,
	}
}

// Run waits for the call's turn and runs it on the backend server.
func (q *Queue) Run(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	q.init()
	if len(call.Crashes) > 0 {
		release, err := q.enterSuspect(ctx)
		if err != nil {
			return err
		}
		defer release()
	}
	waiting, err := q.enter(call)
	if err != nil {
		return err
	}
	if err := q.await(ctx, waiting); err != nil {
		return err
	}
	return q.execute(ctx, waiting, sink)
}

// enter admits a call into the line.
func (q *Queue) enter(call *gypsum.Call) (*gypsum.QueuedCall, error) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed != "" {
		return nil, q.moved()
	}
	waiting := &gypsum.QueuedCall{
		Call: call, Arrived: now, Deadline: now.Add(call.Budget),
		ExpectedDuration: q.expect(call), Ready: make(chan struct{}),
	}
	if call.Class == gypsum.ClassLive {
		q.reserve.arrived(call.Budget)
	}
	state := q.state(waiting)
	if call.Class == gypsum.ClassLive && call.Redirects < gypsum.MaxRedirects && state.ExpectedWait > bounceWait {
		return nil, q.busy()
	}
	if call.Class == gypsum.ClassLive && q.running-q.liveRunning > q.liveWaiting {
		// The call can take a slot from a trainer's.
		state.ExpectedWait = 0
	}
	if refusal := q.Admission.Admit(state, waiting, now); refusal != nil {
		refusal.Backend = q.Backend
		return nil, refusal
	}
	q.Line.Push(waiting)
	if call.Class == gypsum.ClassLive {
		q.liveWaiting++
	}
	q.startNext()
	if call.Class == gypsum.ClassLive && waiting.Position != started {
		q.preempt(state)
	}
	return waiting, nil
}

// bounceWait is the expected wait from which a live call is sent back to try
// another backend server. News of loads is old; the owner's own count is exact.
const bounceWait = 50 * time.Millisecond

// busy sends a call back.
func (q *Queue) busy() *gypsum.Refusal {
	refusal := gypsum.NotRun(gypsum.ReasonBusy, http.StatusServiceUnavailable, time.Second, "the call would have to wait here")
	refusal.Backend = q.Backend
	return refusal
}

// state returns what the policies need to decide on a call. The caller holds mu.
func (q *Queue) state(waiting *gypsum.QueuedCall) gypsum.QueueState {
	class := gypsum.ClassTrainer
	if waiting != nil {
		class = waiting.Call.Class
	}
	slots := max(1, q.slots)
	// The slots get free one after another.
	nextFree := q.runningWork / time.Duration(max(1, q.running)*slots)
	state := gypsum.QueueState{
		Slots: slots, Running: q.running, LiveRunning: q.liveRunning,
		Waiting: q.Line.Len(), MaxQueue: q.MaxQueue, RunningWork: q.runningWork,
		ReservedSlots: q.reserve.slots(time.Now(), slots), Margin: q.meter(class).margin(), NextSlotFree: nextFree, NoEstimate: q.cold(),
	}
	if waiting == nil {
		return state
	}
	state.TenantWaiting = q.Line.TenantLen(waiting.Call.Class, waiting.Call.Tenant)
	state.WorkAhead = q.Line.WorkAhead(waiting)
	if state.Running >= state.Slots || state.WorkAhead > 0 {
		state.ExpectedWait = state.WorkAhead/time.Duration(slots) + nextFree
	}
	return state
}

// meter returns what was learned of calls of a class.
func (q *Queue) meter(class gypsum.Class) *meter {
	q.init()
	return q.meters[class]
}

// expect returns the time that a call is expected to hold a slot, by calls of
// its class or, before there were any, by those of the other.
func (q *Queue) expect(call *gypsum.Call) time.Duration {
	own, other := q.meter(gypsum.ClassLive), q.meter(gypsum.ClassTrainer)
	if call.Class != gypsum.ClassLive {
		own, other = other, own
	}
	if own.samples == 0 {
		return other.expect(call)
	}
	return own.expect(call)
}

// typical returns the mean time of live calls or, without any, of trainers'.
func (q *Queue) typical() time.Duration {
	if live := q.meter(gypsum.ClassLive); live.samples > 0 {
		return live.typical()
	}
	return q.meter(gypsum.ClassTrainer).typical()
}

// cold tells whether no call's time has been measured yet.
func (q *Queue) cold() bool {
	return q.meter(gypsum.ClassLive).samples == 0 && q.meter(gypsum.ClassTrainer).samples == 0
}

// startNext gives free slots to the next calls. The caller holds mu.
func (q *Queue) startNext() {
	for q.closed == "" && q.running < max(1, q.slots) {
		waiting := q.Line.Pop(q.state(nil))
		if waiting == nil {
			return
		}
		q.running++
		q.runningWork += waiting.ExpectedDuration
		if waiting.Call.Class == gypsum.ClassLive {
			q.liveWaiting--
			q.liveRunning++
			q.reserve.running(q.liveRunning, time.Now())
		}
		waiting.Position = started
		close(waiting.Ready)
	}
}

// started is the Position of a call that holds a slot.
const started = -2

// await waits for a call's turn. It gives up when the call could no longer end
// in time.
func (q *Queue) await(ctx context.Context, waiting *gypsum.QueuedCall) error {
	// A call that waits is only started while it can still end in time.
	timer := time.NewTimer(time.Until(waiting.Deadline.Add(-waiting.ExpectedDuration)))
	defer timer.Stop()
	select {
	case <-waiting.Ready:
	case <-ctx.Done():
	case <-timer.C:
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if waiting.Position == started {
		return nil
	}
	if waiting.Call.Class == gypsum.ClassLive {
		q.liveWaiting--
	}
	if !q.Line.Remove(waiting) {
		return q.moved()
	}
	if ctx.Err() != nil {
		return gypsum.NotRun(gypsum.ReasonCancelled, http.StatusGatewayTimeout, 0, "the caller gave up while the call waited")
	}
	return gypsum.NotRun(gypsum.ReasonOverloaded, http.StatusServiceUnavailable, q.drainTime(), "the call waited too long to end in time")
}

// moved refuses a call that another queue may take. The caller holds mu.
func (q *Queue) moved() *gypsum.Refusal {
	reason := q.closed
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
	work := q.typical() * time.Duration(q.Line.Len()+q.running)
	return max(minRetryAfter, work/time.Duration(max(1, q.slots)))
}

// execute runs a call that holds a slot and frees the slot.
func (q *Queue) execute(ctx context.Context, waiting *gypsum.QueuedCall, sink gypsum.Sink) error {
	call := waiting.Call
	begin := time.Now()
	q.Logger.Debug("call started", "request", call.ID, "backend", q.Backend, "class", call.Class, "waited", begin.Sub(waiting.Arrived))
	tokens := 0
	var err error
	defer func() { q.finish(waiting, time.Since(begin), tokens, err == nil) }()
	if begin.After(waiting.Deadline) {
		err = gypsum.NotRun(gypsum.ReasonTimeout, http.StatusGatewayTimeout, time.Second, "the deadline passed before the call could start")
		return err
	}
	deadlineCtx, cancel := context.WithDeadline(ctx, waiting.Deadline)
	defer cancel()
	runCtx, abort := context.WithCancelCause(deadlineCtx)
	defer abort(nil)
	q.mu.Lock()
	q.aborts[waiting] = abort
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
	return q.failure(runCtx, call, err, begin)
}

// finish frees a call's slot and learns from its time.
func (q *Queue) finish(waiting *gypsum.QueuedCall, took time.Duration, tokens int, whole bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	delete(q.aborts, waiting)
	delete(q.preempted, waiting)
	q.runningWork -= waiting.ExpectedDuration
	if waiting.Call.Class == gypsum.ClassLive {
		q.liveRunning--
		q.reserve.running(q.liveRunning, time.Now())
	}
	if whole {
		q.meters[waiting.Call.Class].learn(waiting.Call, took, tokens)
	}
	q.startNext()
}

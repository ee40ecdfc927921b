package core

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/queue"
)

// unownedIdleTimeout is how long a queue is kept after its last call once another
// daemon owns it.
const unownedIdleTimeout = 5 * time.Second

// defaultPlainSlots is the concurrency of a plain service's replica that does not
// report its slots.
const defaultPlainSlots = 16

// defaultMaxQueue is the queue limit of a backend server whose service is not known
// yet.
const defaultMaxQueue = 256

// ownedQueues holds the queues of the backend servers that this daemon owns. Two
// daemons may own the same one for a short time, which can only overload it slightly.
type ownedQueues struct {
	core *Core
	ctx  context.Context

	mu      sync.Mutex
	workers map[gypsum.BackendID]*backendWorker
}

// backendWorker serves one backend server: it runs its queue and polls its load.
type backendWorker struct {
	core   *Core
	host   gypsum.Host
	queue  *queue.Queue
	stop   context.CancelFunc
	engine gypsum.Engine
	plain  gypsum.PlainService

	mu       sync.Mutex
	report   gypsum.LoadReport
	reported bool
	down     bool
	failures int
	lastCall time.Time
}

func newOwnedQueues(ctx context.Context, c *Core) *ownedQueues {
	return &ownedQueues{core: c, ctx: ctx, workers: make(map[gypsum.BackendID]*backendWorker)}
}

// reconcile starts the queues that this daemon owns in the view, and stops the other
// queues once they are idle.
func (q *ownedQueues) reconcile(view *View) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for id, host := range view.Backends {
		owner, ok := view.queueOwner(&host)
		if ok && owner.ID == view.Self.ID {
			q.start(id, host)
		}
	}
	for id, worker := range q.workers {
		host, listed := view.Backends[id]
		owner, ok := view.queueOwner(&host)
		owned := listed && ok && owner.ID == view.Self.ID
		if !owned && worker.idle() {
			worker.stop()
			delete(q.workers, id)
		}
	}
}

// start starts the worker of a backend server unless it is running. The caller holds
// mu.
func (q *ownedQueues) start(id gypsum.BackendID, host gypsum.Host) *backendWorker {
	if worker, ok := q.workers[id]; ok {
		return worker
	}
	ctx, stop := context.WithCancel(q.ctx)
	worker := &backendWorker{core: q.core, host: host, stop: stop, lastCall: time.Now()}
	if host.Kind == gypsum.KindModel {
		worker.engine = q.core.Dialer.Engine(host)
	} else {
		worker.plain = q.core.Dialer.PlainService(host)
	}
	worker.queue = &queue.Queue{
		Backend: id, Owner: q.core.Self.ID, Calls: q.core.NewCallQueue(), Admission: q.core.Admission,
		Runner: worker, MaxQueue: q.maxQueue(host.Service), Logger: q.core.Logger, OnCrash: q.core.crashes.record,
		Background: q.core.tasks.start,
	}
	q.workers[id] = worker
	q.core.tasks.start(func() { worker.pollLoop(ctx) })
	return worker
}

// maxQueue returns the queue limit of a service.
func (q *ownedQueues) maxQueue(service gypsum.ServiceName) int {
	if view := q.core.View(); view != nil {
		if spec, ok := view.Service(service); ok {
			return spec.MaxQueue
		}
	}
	return defaultMaxQueue
}

// get returns the worker of a backend server, and false if it is not in the host list.
// It starts the worker even if this daemon does not own the queue in its own view, since
// the sender's view may be newer.
func (q *ownedQueues) get(id gypsum.BackendID) (*backendWorker, bool) {
	host, ok := q.core.View().Backends[id]
	if !ok {
		return nil, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	worker := q.start(id, host)
	worker.touch()
	return worker, true
}

// statuses returns the status of each backend server that has one, sorted by ID. Each
// status includes the calls sent before it, so their count is reset.
func (q *ownedQueues) statuses() []gypsum.BackendStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	statuses := make([]gypsum.BackendStatus, 0, len(q.workers))
	for _, worker := range q.workers {
		if status, ok := worker.status(); ok {
			statuses = append(statuses, status)
			q.core.trackers.get(status.ID).RecordReport()
		}
	}
	slices.SortFunc(statuses, func(a, b gypsum.BackendStatus) int { return cmp.Compare(a.ID, b.ID) })
	return statuses
}

// touch records the time of a call.
func (w *backendWorker) touch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastCall = time.Now()
}

// idle reports whether the queue is empty and has had no call for unownedIdleTimeout.
func (w *backendWorker) idle() bool {
	state := w.queue.State()
	w.mu.Lock()
	defer w.mu.Unlock()
	return state.Running+state.Queued == 0 && time.Since(w.lastCall) > unownedIdleTimeout
}

// status returns the status of the backend server, and false before the first load
// report.
func (w *backendWorker) status() (gypsum.BackendStatus, bool) {
	state := w.queue.State()
	w.mu.Lock()
	defer w.mu.Unlock()
	return gypsum.BackendStatus{
		ID: gypsum.BackendID(w.host.ID), Running: max(state.Running, w.report.Running), Queued: state.Queued, Live: state.Live,
		Slots: state.Slots, Version: w.report.Version, Leaving: w.report.Leaving, Down: w.down,
		LoadingWeights: w.report.LoadingWeights, LatencyMS: state.Latency.Milliseconds(),
	}, w.reported || w.down
}

// pollLoop polls the backend server's load until ctx is done.
func (w *backendWorker) pollLoop(ctx context.Context) {
	for {
		w.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(w.core.Tuning.LoadPollInterval):
		}
	}
}

// poll fetches one load report and updates the queue from it.
func (w *backendWorker) poll(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, gypsum.LoadReportTimeout)
	report, err := w.fetchLoadReport(callCtx)
	cancel()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		w.pollFailed(err)
		return
	}
	w.mu.Lock()
	w.report, w.reported, w.failures, w.down = *report, true, 0, false
	w.mu.Unlock()
	slots := report.Slots
	if slots == 0 {
		slots = defaultPlainSlots
	}
	w.queue.SetSlots(slots)
	switch {
	case report.Leaving:
		w.queue.Close(gypsum.ReasonNoBackend)
	case report.LoadingWeights:
		w.queue.Close(gypsum.ReasonNoBackend)
	default:
		w.queue.Close("")
	}
}

// pollFailed counts a failed poll. After Tuning.LoadPollFailures in a row, or at once
// if nothing was sent, the backend server is considered down: its queue is closed and
// its running calls are aborted.
func (w *backendWorker) pollFailed(err error) {
	w.mu.Lock()
	w.failures++
	wentDown := !w.down && (w.failures >= w.core.Tuning.LoadPollFailures || errors.Is(err, gypsum.ErrNotSent))
	w.down = w.down || wentDown
	w.mu.Unlock()
	if !wentDown {
		return
	}
	w.core.Logger.Warn("backend server down", "backend", w.host.ID, "error", err)
	w.queue.Close(gypsum.ReasonNoBackend)
	w.queue.Abort()
}

// fetchLoadReport requests a load report from the backend server.
func (w *backendWorker) fetchLoadReport(ctx context.Context) (*gypsum.LoadReport, error) {
	if w.engine != nil {
		return w.engine.FetchLoadReport(ctx)
	}
	return w.plain.FetchLoadReport(ctx)
}

// Run implements queue.BackendRunner: it runs a call on the backend server.
func (w *backendWorker) Run(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	if w.engine != nil && call.Generation != nil {
		return w.engine.Generate(ctx, call.Generation, func(chunk *gypsum.Chunk) error {
			return sink(&gypsum.Event{Chunk: chunk})
		})
	}
	if w.plain == nil || call.Plain == nil {
		return gypsum.NotRun(gypsum.ReasonBadRequest, statusMisdirected, 0, "the service is of another kind")
	}
	response, err := w.plain.Do(ctx, call.Plain)
	if err != nil {
		return err
	}
	return sink(&gypsum.Event{Response: response})
}

// crashProbeInterval is the delay before a backend server that broke off a response is
// probed again.
const crashProbeInterval = 100 * time.Millisecond

// Crashed implements queue.BackendRunner. It reports whether the backend server has crashed
// since the given time: nothing listens at its address, or it reports a new
// incarnation. One that does not respond before ctx is done may be frozen, which is
// not a crash.
func (w *backendWorker) Crashed(ctx context.Context, since time.Time) bool {
	w.mu.Lock()
	previous := w.report.Incarnation
	w.mu.Unlock()
	for {
		report, err := w.fetchLoadReport(ctx)
		if err == nil {
			return report.Incarnation != previous || int64(report.Incarnation) > since.UnixMilli()
		}
		if errors.Is(err, gypsum.ErrNotSent) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-w.core.stopped:
			return false
		case <-time.After(crashProbeInterval):
		}
	}
}

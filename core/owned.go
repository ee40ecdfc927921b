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

// foreignIdle is how long a queue that another daemon is believed to own is
// kept after its last call.
const foreignIdle = 5 * time.Second

// plainSlots is how many calls a plain service's replica runs at once if its
// report says nothing.
const plainSlots = 16

// defaultMaxQueue bounds the line of a queue whose service is not known yet.
const defaultMaxQueue = 256

// ownedQueues are the queues of the backend servers that this daemon owns. Two
// daemons may own the same for a moment; that only means a little overload.
type ownedQueues struct {
	node *Node
	ctx  context.Context

	mu      sync.Mutex
	workers map[gypsum.BackendID]*worker
}

// worker is the queue of one backend server and the watch over it.
type worker struct {
	node   *Node
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

// newOwnedQueues returns the queues of a daemon that owns none yet.
func newOwnedQueues(ctx context.Context, n *Node) *ownedQueues {
	return &ownedQueues{node: n, ctx: ctx, workers: make(map[gypsum.BackendID]*worker)}
}

// follow starts the queues that the view gives this daemon and ends the others
// once they are idle.
func (o *ownedQueues) follow(view *View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, host := range view.Backends {
		owner, ok := view.backendOwner(&host)
		if ok && owner.ID == view.Self.ID {
			o.start(id, host)
		}
	}
	for id, running := range o.workers {
		host, listed := view.Backends[id]
		owner, ok := view.backendOwner(&host)
		owned := listed && ok && owner.ID == view.Self.ID
		if !owned && running.idle() {
			running.stop()
			delete(o.workers, id)
		}
	}
}

// start starts the queue of a backend server. The caller holds mu.
func (o *ownedQueues) start(id gypsum.BackendID, host gypsum.Host) *worker {
	if running, ok := o.workers[id]; ok {
		return running
	}
	ctx, stop := context.WithCancel(o.ctx)
	running := &worker{node: o.node, host: host, stop: stop, lastCall: time.Now()}
	if host.Kind == gypsum.KindModel {
		running.engine = o.node.Dialer.Engine(host)
	} else {
		running.plain = o.node.Dialer.PlainService(host)
	}
	running.queue = &queue.Queue{
		Backend: id, Owner: o.node.Self.ID, Calls: o.node.NewLine(), Admission: o.node.Admission,
		Executor: running, MaxQueue: o.maxQueue(host.Service), Logger: o.node.Logger, OnCrash: o.node.crashes.add,
		Background: o.node.tasks.start,
	}
	o.workers[id] = running
	o.node.tasks.start(func() { running.watch(ctx) })
	return running
}

// maxQueue returns the bound of a service's lines.
func (o *ownedQueues) maxQueue(service gypsum.ServiceName) int {
	if view := o.node.View(); view != nil {
		if spec, ok := view.Service(service); ok {
			return spec.MaxQueue
		}
	}
	return defaultMaxQueue
}

// get returns the queue of a backend server. A daemon that is asked for one it
// does not believe to own serves it all the same.
func (o *ownedQueues) get(id gypsum.BackendID) (*worker, bool) {
	host, ok := o.node.View().Backends[id]
	if !ok {
		return nil, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	running := o.start(id, host)
	running.touch()
	return running, true
}

// news returns this daemon's word on the backend servers it owns.
func (o *ownedQueues) news() []gypsum.BackendStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	news := make([]gypsum.BackendStatus, 0, len(o.workers))
	for _, running := range o.workers {
		if item, ok := running.news(); ok {
			news = append(news, item)
			o.node.tracked.get(item.ID).RecordReport()
		}
	}
	slices.SortFunc(news, func(a, b gypsum.BackendStatus) int { return cmp.Compare(a.ID, b.ID) })
	return news
}

// touch notes a call.
func (w *worker) touch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastCall = time.Now()
}

// idle tells whether the queue has been without calls for a while.
func (w *worker) idle() bool {
	state := w.queue.State()
	w.mu.Lock()
	defer w.mu.Unlock()
	return state.Running+state.Queued == 0 && time.Since(w.lastCall) > foreignIdle
}

// news returns the worker's word on its backend server, false before the first report.
func (w *worker) news() (gypsum.BackendStatus, bool) {
	state := w.queue.State()
	w.mu.Lock()
	defer w.mu.Unlock()
	return gypsum.BackendStatus{
		ID: gypsum.BackendID(w.host.ID), Running: max(state.Running, w.report.Running), Queued: state.Queued, Live: state.Live,
		Slots: state.Slots, Version: w.report.Version, Leaving: w.report.Leaving, Down: w.down,
		SwappingWeights: w.report.SwappingWeights, LatencyMS: state.Latency.Milliseconds(),
	}, w.reported || w.down
}

// watch asks the backend server for its load until ctx ends.
func (w *worker) watch(ctx context.Context) {
	for {
		w.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(w.node.Tuning.PollInterval):
		}
	}
}

// poll asks for one report and lets the queue follow it.
func (w *worker) poll(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, gypsum.LoadTimeout)
	report, err := w.load(callCtx)
	cancel()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		w.missed(err)
		return
	}
	w.mu.Lock()
	w.report, w.reported, w.failures, w.down = *report, true, 0, false
	w.mu.Unlock()
	slots := report.Slots
	if slots == 0 {
		slots = plainSlots
	}
	w.queue.SetSlots(slots)
	switch {
	case report.Leaving:
		w.queue.Close(gypsum.ReasonNoBackend)
	case report.SwappingWeights:
		w.queue.Close(gypsum.ReasonNoBackend)
	default:
		w.queue.Close("")
	}
}

// missed notes a report that did not come. After a few the backend server is
// taken for down.
func (w *worker) missed(err error) {
	w.mu.Lock()
	w.failures++
	fell := !w.down && (w.failures >= w.node.Tuning.PollFailures || errors.Is(err, gypsum.ErrNotSent))
	w.down = w.down || fell
	w.mu.Unlock()
	if !fell {
		return
	}
	w.node.Logger.Warn("backend server down", "backend", w.host.ID, "error", err)
	w.queue.Close(gypsum.ReasonNoBackend)
	w.queue.Abort()
}

// load asks the backend server for its load.
func (w *worker) load(ctx context.Context) (*gypsum.LoadReport, error) {
	if w.engine != nil {
		return w.engine.FetchLoad(ctx)
	}
	return w.plain.FetchLoad(ctx)
}

// Execute takes a call to the backend server. It is part of queue.Executor.
func (w *worker) Execute(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
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

// probeAgain is the wait before a backend server that broke off an answer is
// asked again whether it lives.
const probeAgain = 100 * time.Millisecond

// Crashed tells whether the backend server has died since the time: nothing
// listens at its address, or it reports a new incarnation. One that does not
// answer before ctx ends may be frozen, which is no crash. It is part of
// queue.Executor.
func (w *worker) Crashed(ctx context.Context, since time.Time) bool {
	w.mu.Lock()
	before := w.report.Incarnation
	w.mu.Unlock()
	for {
		report, err := w.load(ctx)
		if err == nil {
			return report.Incarnation != before || int64(report.Incarnation) > since.UnixMilli()
		}
		if errors.Is(err, gypsum.ErrNotSent) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-w.node.stopped:
			return false
		case <-time.After(probeAgain):
		}
	}
}

package core

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/queue"
)

// unownedQueueIdleTimeout is how long a queue is kept after its last call once another
// daemon owns it.
const unownedQueueIdleTimeout = 5 * time.Second

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
			q.startWorker(id, host)
		}
	}
	for id, worker := range q.workers {
		host, listed := view.Backends[id]
		owner, ok := view.queueOwner(&host)
		owned := listed && ok && owner.ID == view.Self.ID
		if !owned && worker.isIdle() {
			worker.cancel()
			delete(q.workers, id)
		}
	}
}

// startWorker starts the worker of a backend server unless it is running. The caller holds
// mu.
func (q *ownedQueues) startWorker(id gypsum.BackendID, host gypsum.Host) *backendWorker {
	if worker, ok := q.workers[id]; ok {
		return worker
	}
	ctx, stop := context.WithCancel(q.ctx)
	worker := &backendWorker{core: q.core, host: host, cancel: stop, lastCall: time.Now()}
	if host.Kind == gypsum.HostKindModel {
		worker.engine = q.core.Dialer.Engine(host)
	} else {
		worker.plain = q.core.Dialer.PlainService(host)
	}
	worker.queue = &queue.Queue{
		Backend: id, Owner: q.core.Self.ID, Calls: q.core.NewCallQueue(), Admission: q.core.Admission,
		Runner: worker, MaxQueue: q.maxQueue(host.Service), Logger: q.core.Logger, OnCrash: q.core.crashTracker.recordCrash,
		Background: q.core.tasks.start,
	}
	q.workers[id] = worker
	q.core.tasks.start(func() { worker.pollLoadReports(ctx) })
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

// worker returns the worker of a backend server, and false if it is not in the host list.
// It starts the worker even if this daemon does not own the queue in its own view, since
// the sender's view may be newer.
func (q *ownedQueues) worker(id gypsum.BackendID) (*backendWorker, bool) {
	host, ok := q.core.View().Backends[id]
	if !ok {
		return nil, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	worker := q.startWorker(id, host)
	worker.recordCallTime()
	return worker, true
}

// backendStatuses returns the status of each backend server that has one, sorted by ID. Each
// status includes the calls sent before it, so their count is reset.
func (q *ownedQueues) backendStatuses() []gypsum.BackendStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	statuses := make([]gypsum.BackendStatus, 0, len(q.workers))
	for _, worker := range q.workers {
		if status, ok := worker.status(); ok {
			statuses = append(statuses, status)
			q.core.trackers.tracker(status.ID).RecordReport()
		}
	}
	slices.SortFunc(statuses, func(a, b gypsum.BackendStatus) int { return cmp.Compare(a.ID, b.ID) })
	return statuses
}

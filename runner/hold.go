package runner

import (
	"context"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/sched"
	"github.com/gypsumhook/gypsum/state"
)

// Times of runs.
const (
	// firstEventLimit is how long an engine may take to the first event: some loads
	// of weights and a full queue.
	firstEventLimit = 1200 * time.Millisecond
	// eventLimit is how long an engine may pause between two events: far above a
	// slow engine's, so that only a silent one is left.
	eventLimit = 1200 * time.Millisecond
	// keepFinished is how long texts of ended batches are kept for the next step.
	keepFinished = 15 * time.Second
	// itemsTimeout bounds reading the items of a batch, itemsPause is the wait after
	// a failure.
	itemsTimeout = 3 * time.Second
	itemsPause   = 200 * time.Millisecond
	// checkpointAfter and checkpointEvery say how long a run is before its events
	// are stored, and how often then: long items decide when a step is whole.
	checkpointAfter = 1200 * time.Millisecond
	checkpointEvery = 1500 * time.Millisecond
	// crashLimit is how many engines an item may crash, from the users' pages.
	crashLimit = 3
	// clockSlack is how far the clocks of hosts may differ.
	clockSlack = time.Second
)

// hold is a service that this host holds.
type hold struct {
	runner *Runner
	// ctx ends with the hold, process with the daemon: results are stored all the same.
	ctx     context.Context
	process context.Context
	stop    context.CancelFunc
	service gypsum.ServiceName
	fence   gypsum.Offset
	term    int64
	// ordersFrom is when orders may be given: the holder before may have given one
	// just before its end.
	ordersFrom time.Time
	active     time.Time
	begun      time.Time

	engines  map[gypsum.BackendID]*engine
	jobs     map[gypsum.BatchID]*job
	shares   map[gypsum.BackendID]gypsum.EngineModel
	demand   map[gypsum.EngineModel]float64
	finished map[gypsum.ItemID]*finished
}

// newHold returns a service that is held from now on.
func newHold(ctx context.Context, r *Runner, service gypsum.ServiceName, holder *batch.Holder) *hold {
	process := ctx
	ctx, stop := context.WithCancel(ctx)
	return &hold{
		runner: r, ctx: ctx, process: process, stop: stop, service: service, fence: holder.FencingToken, term: holder.Term,
		engines: make(map[gypsum.BackendID]*engine), jobs: make(map[gypsum.BatchID]*job),
		shares: make(map[gypsum.BackendID]gypsum.EngineModel), demand: make(map[gypsum.EngineModel]float64),
		finished: make(map[gypsum.ItemID]*finished),
	}
}

// end ends all runs.
func (h *hold) end() { h.stop() }

// decide follows the news and makes the decisions that are due.
func (h *hold) decide(snapshot *state.Snapshot, open []batch.Header, now time.Time) {
	h.followEngines(snapshot)
	h.followJobs(snapshot, open, now)
	h.watch(now)
	engines := h.views(now)
	h.markBehind(snapshot, engines)
	h.start(engines, now)
	h.move(engines)
	h.giveOrders(snapshot, engines, now)
}

// followEngines takes over the registrations.
func (h *hold) followEngines(snapshot *state.Snapshot) {
	listed := make(map[gypsum.BackendID]bool)
	for _, replica := range snapshot.Services[h.service] {
		listed[replica.ID] = true
		known := h.engines[replica.ID]
		if known == nil {
			h.engines[replica.ID] = newEngine(replica)
			continue
		}
		known.follow(replica)
	}
	for id, known := range h.engines {
		if !listed[id] && known.running == 0 {
			delete(h.engines, id)
		} else if !listed[id] {
			known.closed = time.Now().Add(longestPause)
		}
	}
}

// views returns the engines as the decisions see them.
func (h *hold) views(now time.Time) []*sched.Engine {
	views := make([]*sched.Engine, 0, len(h.engines))
	for _, known := range h.engines {
		known.measure()
		views = append(views, known.view(now))
	}
	return views
}

// view returns the task as the decisions see it.
func (t *task) view() sched.Item {
	return sched.Item{
		Batch: t.job.header.ID, ID: t.item.ID, Model: t.job.header.Model, MinVersion: t.job.header.MinVersion,
		Due: t.job.header.DueAt(), Left: t.left(), Avoid: t.avoid, Failed: t.failed, Single: t.job.header.SingleVersion,
	}
}

package runner

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/sched"
	"github.com/gypsumhook/gypsum/state"
)

// Times of runs.
const (
	// firstEventLimit is how long an engine may take to the first event: some loads
	// of weights and a full queue.
	firstEventLimit = 2 * time.Second
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
		runner: r, ctx: ctx, process: process, stop: stop, service: service, fence: holder.Fence, term: holder.Term,
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

// followJobs takes over new batches and drops those that are ended or whole.
func (h *hold) followJobs(snapshot *state.Snapshot, open []batch.Header, now time.Time) {
	isOpen := make(map[gypsum.BatchID]bool, len(open))
	for _, header := range open {
		isOpen[header.ID] = true
		known := h.jobs[header.ID]
		if known == nil {
			known = h.addJob(snapshot, header)
		}
		if !known.loaded && !known.loading && !now.Before(known.again) {
			h.loadItems(known)
		}
		h.followRoute(snapshot, known, now)
	}
	for id, known := range h.jobs {
		if !isOpen[id] {
			h.dropJob(known, now)
		} else {
			h.dropListed(known)
		}
	}
	maps.DeleteFunc(h.finished, func(_ gypsum.ItemID, text *finished) bool { return now.Sub(text.at) > keepFinished })
}

// addJob takes over a batch.
func (h *hold) addJob(snapshot *state.Snapshot, header batch.Header) *job {
	made := &job{
		header: header, needs: needs{least: header.MinVersion, single: header.Single},
		stride: max(1, snapshot.Manifest.Services[h.service].Stride), tasks: make(map[gypsum.ItemID]*task),
	}
	h.jobs[header.ID] = made
	return made
}

// followRoute gives up the items of a batch whose route is gone or whose time is over.
func (h *hold) followRoute(snapshot *state.Snapshot, known *job, now time.Time) {
	gone := routeOf(snapshot.Manifest, known.header.Route) == nil
	if !gone && now.Before(known.header.GiveUpAt().Add(clockSlack)) {
		return
	}
	for _, task := range known.tasks {
		if task.phase == phaseWaiting || task.phase == phaseRunning {
			h.runner.Logger.Info("item given up", "batch", known.header.ID, "item", task.item.ID, "route_gone", gone)
			h.giveUp(task)
		}
	}
}

// loadItems reads a batch's items, and the events of runs that an earlier holder stored.
func (h *hold) loadItems(known *job) {
	known.loading = true
	header := known.header
	go func() {
		ctx, cancel := context.WithTimeout(h.ctx, itemsTimeout)
		defer cancel()
		items, err := h.runner.Desk.Items(ctx, &header)
		var texts map[gypsum.ItemID]*finished
		view, _ := h.runner.Desk.Book.Get(header.ID)
		if err == nil {
			texts = h.readPartials(ctx, &view)
		}
		h.runner.post(h.ctx, func() {
			known.loading = false
			if err != nil {
				known.again = time.Now().Add(itemsPause)
				h.runner.Logger.Warn("items of a batch not read", "batch", header.ID, "error", err)
				return
			}
			known.loaded = true
			h.addTasks(known, items, &view, texts)
		})
	}()
}

// readPartials reads the stored events of a batch's runs. If they cannot be read, the
// items are run from their beginning.
func (h *hold) readPartials(ctx context.Context, view *batch.View) map[gypsum.ItemID]*finished {
	texts := make(map[gypsum.ItemID]*finished, len(view.Partials))
	stored, err := h.runner.Desk.PartialTexts(ctx, view.Header.ID, view.Partials)
	if err != nil {
		h.runner.Logger.Warn("stored events not read", "batch", view.Header.ID, "error", err)
		return texts
	}
	for item, partial := range view.Partials {
		texts[item] = &finished{last: partial.Last, text: string(stored[partial.Text.Key]), versions: partial.Versions}
	}
	return texts
}

// addTasks makes the tasks of a batch's items that have no result.
func (h *hold) addTasks(known *job, items []gypsum.BatchItem, view *batch.View, texts map[gypsum.ItemID]*finished) {
	demand := 0.0
	for i := range items {
		item := &items[i]
		demand += float64(max(item.ExpectedTokens, 1))
		if view.Listed[item.ID] {
			continue
		}
		made := &task{job: known, item: item, failed: view.Failures[item.ID].Failed, crashed: view.Failures[item.ID].Crashed}
		known.tasks[item.ID] = made
		h.reuse(made, texts[item.ID], h.finished[item.ID])
	}
	h.demand[known.header.Model] = demand
}

// reuse lets a task go on from the longest text that its batch allows.
func (h *hold) reuse(made *task, texts ...*finished) {
	var best *finished
	for _, text := range texts {
		if text != nil && made.job.needs.allowAll(text.versions) && (best == nil || text.last > best.last) {
			best = text
		}
	}
	if best == nil || best.last == 0 {
		return
	}
	made.progress.resume(best.last, best.text, best.versions)
	made.saved = best.last
	h.runner.Stats.Resumed.Add(1)
	h.runner.Logger.Info("item resumed", "batch", made.job.header.ID, "item", made.item.ID, "after", best.last, "complete", best.complete)
	if best.complete {
		h.store(made, gypsum.ItemCompleted)
	}
}

// dropJob ends the runs of a batch and keeps their texts for the next step.
func (h *hold) dropJob(known *job, now time.Time) {
	for id, task := range known.tasks {
		if last, text, versions := task.progress.text(); last > 0 && task.phase != phaseDone {
			h.finished[id] = &finished{last: last, text: text, versions: versions, complete: task.phase == phaseStoring, at: now}
		}
		h.drop(task)
	}
	delete(h.jobs, known.header.ID)
	h.runner.Desk.Forget(known.header.ID)
}

// dropListed drops the tasks whose items have a result, also from another host.
func (h *hold) dropListed(known *job) {
	h.runner.Desk.Book.Progress(known.header.ID, func(listed map[gypsum.ItemID]bool, _ bool) {
		for id, task := range known.tasks {
			if listed[id] {
				h.drop(task)
				delete(known.tasks, id)
			}
		}
	})
}

// drop ends a task without a result from this host.
func (h *hold) drop(task *task) {
	if task.phase == phaseRunning {
		task.cancel(errFinished)
	}
	task.phase = phaseDone
}

// giveUp ends a task with a result that says so.
func (h *hold) giveUp(task *task) {
	if task.phase == phaseRunning {
		task.cancel(errFinished)
	}
	task.progress.reset()
	h.runner.Stats.Errored.Add(1)
	h.store(task, gypsum.ItemErrored)
}

// start starts items as decided.
func (h *hold) start(engines []*sched.Engine, now time.Time) {
	var items []sched.Item
	for _, known := range h.jobs {
		for _, task := range known.tasks {
			if task.phase == phaseWaiting && !now.Before(task.notBefore) && task.crashed < crashLimit {
				items = append(items, task.view())
			}
		}
	}
	for _, start := range sched.Starts(items, engines, now) {
		task := h.jobs[start.Item.Batch].tasks[start.Item.ID]
		h.run(task, h.engines[start.Engine], start.Runs, now)
	}
}

// view returns the task as the decisions see it.
func (t *task) view() sched.Item {
	return sched.Item{
		Batch: t.job.header.ID, ID: t.item.ID, Model: t.job.header.Model, MinVersion: t.job.header.MinVersion,
		Due: t.job.header.DueAt(), Left: t.left(), Avoid: t.avoid,
	}
}

// move lets runs go on at other engines as decided.
func (h *hold) move(engines []*sched.Engine) {
	var runs []sched.Run
	tasks := make(map[*sched.Item]*task)
	for _, known := range h.jobs {
		for _, task := range known.tasks {
			if task.phase == phaseRunning && task.next == "" {
				item := task.view()
				tasks[&item] = task
				runs = append(runs, sched.Run{Item: &item, Engine: task.engine.replica.ID, Left: task.left()})
			}
		}
	}
	for _, move := range sched.Moves(runs, engines) {
		task := tasks[move.Item]
		h.runner.Logger.Info("item moved", "batch", task.job.header.ID, "item", task.item.ID, "from", task.engine.replica.ID,
			"to", move.Engine, "runs_there", move.Runs, "left", task.left())
		h.runner.Stats.Moved.Add(1)
		task.next = move.Engine
		task.cancel(errMoved)
	}
}

// run runs an item on an engine.
func (h *hold) run(task *task, on *engine, runs int, now time.Time) {
	ctx, cancel := context.WithCancelCause(h.ctx)
	header := &task.job.header
	task.phase, task.engine, task.cancel, task.begun, task.avoid, task.next = phaseRunning, on, cancel, now, "", ""
	on.running++
	on.runs.Store(int64(on.running))
	on.starting[header.Model]++
	after := task.progress.begin()
	h.runner.Stats.Started.Add(1)
	h.runner.Logger.Info("item started", "batch", header.ID, "item", task.item.ID, "replica", on.replica.ID, "after", after,
		"runs_there", runs, "pace_ms", float64(on.pace.Microseconds())/1000, "version", on.versions[header.Model],
		"left", task.left(), "due_in_ms", header.DueAt().Sub(now).Milliseconds())
	request := &gypsum.ItemRun{
		Replica: on.replica, HostName: header.HostName, Item: task.item, After: after,
		Budget: max(0, header.GiveUpAt().Sub(now)),
	}
	first := true
	go func() {
		err := h.runner.Engines.RunItem(ctx, request, func(event gypsum.StreamEvent) error {
			err := task.progress.add(event, on, &task.job.needs)
			if first && err == nil {
				first = false
				h.runner.post(h.ctx, func() { on.starting[header.Model]-- })
			}
			return err
		})
		cause := context.Cause(ctx)
		cancel(nil)
		h.runner.post(h.ctx, func() {
			if first {
				on.starting[header.Model]--
			}
			h.ended(task, on, err, cause)
		})
	}()
}

// ended follows the end of a run.
func (h *hold) ended(task *task, on *engine, err, cause error) {
	now := time.Now()
	on.running--
	on.runs.Store(int64(on.running))
	if err == nil {
		on.failures = 0
	}
	if task.phase != phaseRunning {
		return
	}
	task.phase = phaseWaiting
	if err == nil {
		h.runner.Stats.Finished.Add(1)
		h.store(task, gypsum.ItemCompleted)
		return
	}
	last, _, fresh := task.progress.events()
	h.runner.Logger.Info("run ended early", "batch", task.job.header.ID, "item", task.item.ID, "replica", on.replica.ID,
		"events", last, "error", err, "cause", cause)
	switch {
	case errors.Is(cause, errMoved):
		if to := h.engines[task.next]; to != nil && to.running < to.replica.Slots {
			h.run(task, to, to.running, now)
		}
		return
	case errors.Is(cause, errStalled):
		task.avoid = on.replica.ID
		on.failed(now)
	case errors.Is(err, gypsum.ErrNotExecuted):
		h.runner.Stats.Rejected.Add(1)
		task.notBefore = now.Add(tickInterval)
		on.failed(now)
	case errors.Is(err, gypsum.ErrItemInvalid):
		h.giveUp(task)
	case errors.Is(err, gypsum.ErrItemFailed):
		task.failed++
		h.noteFailures(task)
		if task.failed >= max(1, task.job.header.MaxAttempts) {
			h.giveUp(task)
		}
	case errors.Is(err, errVersion):
		// An older version than the engine was known to have, or a second one.
		task.progress.reset()
		task.notBefore = now.Add(tickInterval)
	case errors.Is(err, gypsum.ErrNotHanded):
		on.failed(now)
	default:
		h.broken(task, on, fresh, now)
	}
}

// broken follows a run that was broken off by the engine. An engine that no longer
// listens has died: a count that keeps an item from crashing one after the other.
func (h *hold) broken(task *task, on *engine, fresh bool, now time.Time) {
	h.runner.Stats.Broken.Add(1)
	on.failed(now)
	if fresh {
		return
	}
	replica := on.replica
	go func() {
		ctx, cancel := context.WithTimeout(h.ctx, itemsTimeout)
		defer cancel()
		if h.runner.Engines.Listens(ctx, replica) || ctx.Err() != nil {
			return
		}
		h.runner.post(h.ctx, func() {
			task.crashed++
			h.noteFailures(task)
			h.runner.Logger.Warn("engine died while it ran an item", "batch", task.job.header.ID, "item", task.item.ID,
				"replica", replica.ID, "crashed", task.crashed)
		})
	}()
}

// noteFailures stores how often an item has failed, for the holders to come.
func (h *hold) noteFailures(task *task) {
	failures := batch.Failures{
		Batch: task.job.header.ID, Item: task.item.ID, Failed: task.failed, Crashed: task.crashed,
	}
	go func() {
		ctx, cancel := context.WithTimeout(h.ctx, itemsTimeout)
		defer cancel()
		if err := h.runner.Desk.NoteFailures(ctx, failures); err != nil {
			h.runner.Logger.Warn("failures not stored", "batch", failures.Batch, "item", failures.Item, "error", err)
		}
	}()
}

// store stores the result of a task, however long the store is away.
func (h *hold) store(task *task, outcome gypsum.ItemState) {
	task.phase = phaseStoring
	result := &gypsum.BatchResult{Item: task.item.ID, State: outcome}
	if outcome == gypsum.ItemCompleted {
		_, result.Text, result.Versions = task.progress.text()
	}
	id := task.job.header.ID
	begun := time.Now()
	go func() {
		err := h.runner.Desk.Finish(h.process, id, result)
		for err != nil && h.process.Err() == nil {
			h.runner.Logger.Warn("result not stored", "batch", id, "item", result.Item, "error", err)
			time.Sleep(itemsPause)
			err = h.runner.Desk.Finish(h.process, id, result)
		}
		if err == nil {
			h.runner.Logger.Info("result stored", "batch", id, "item", result.Item, "state", outcome,
				"versions", result.Versions, "bytes", len(result.Text), "store_ms", time.Since(begun).Milliseconds())
		}
	}()
}

// watch ends runs that have stalled and stores the events of long ones.
func (h *hold) watch(now time.Time) {
	for _, known := range h.jobs {
		for _, task := range known.tasks {
			if task.phase != phaseRunning {
				continue
			}
			last, at, fresh := task.progress.events()
			limit := firstEventLimit
			if fresh {
				limit = eventLimit
			}
			if now.Sub(at) > limit && task.next == "" {
				task.cancel(errStalled)
			}
			if now.Sub(task.begun) > checkpointAfter && last > task.saved && !task.saving {
				h.checkpoint(task)
			}
		}
	}
}

// checkpoint stores the events of a run.
func (h *hold) checkpoint(task *task) {
	task.saving = true
	id, item := task.job.header.ID, task.item.ID
	go func() {
		last, text, versions := task.progress.text()
		ctx, cancel := context.WithTimeout(h.ctx, itemsTimeout)
		err := h.runner.Desk.Checkpoint(ctx, id, item, last, versions, text)
		cancel()
		if err != nil {
			h.runner.Logger.Warn("events not stored", "batch", id, "item", item, "error", err)
		}
		select {
		case <-h.ctx.Done():
		case <-time.After(checkpointEvery):
		}
		h.runner.post(h.ctx, func() {
			task.saving = false
			if err == nil {
				task.saved = last
			}
		})
	}()
}

// checkpointAll ends all runs and stores what they gave.
func (h *hold) checkpointAll(ctx context.Context) {
	done := make(chan error)
	count := 0
	for _, known := range h.jobs {
		for _, task := range known.tasks {
			if task.phase != phaseRunning {
				continue
			}
			task.cancel(errFinished)
			task.phase = phaseDone
			last, text, versions := task.progress.text()
			if last <= task.saved {
				continue
			}
			count++
			go func() { done <- h.runner.Desk.Checkpoint(ctx, known.header.ID, task.item.ID, last, versions, text) }()
		}
	}
	for range count {
		if err := <-done; err != nil {
			h.runner.Logger.Warn("events not stored", "error", err)
		}
	}
	h.runner.Logger.Info("runs handed over", "service", h.service, "with_events", count)
}

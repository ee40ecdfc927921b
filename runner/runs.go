package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/sched"
)

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
		"runs_there", runs, "pace_ms", float64(on.pace.Microseconds())/1000, "failing", on.outcomes.Failing(now), "version", on.versions[header.Model],
		"left", task.left(), "due_in_ms", header.DueAt().Sub(now).Milliseconds())
	request := &gypsum.ItemAttempt{
		Replica: on.replica, HostName: header.HostName, Item: task.item, AfterEvent: after,
		Budget: max(0, header.ExpiresAt().Sub(now)),
	}
	first := true
	go func() {
		err := h.runner.Engines.GenerateItem(ctx, request, func(event gypsum.StreamEvent) error {
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
		on.succeeded(now)
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
		// The engine's fault or the item's: both are noted, and another engine tells.
		on.outcomes.Failed(now)
		task.avoid = on.replica.ID
		task.failed++
		h.noteFailures(task)
		if task.failed >= max(1, task.job.header.MaxAttempts) {
			h.giveUp(task)
		}
	case errors.Is(err, errVersion):
		// An older version than the engine was known to have, or a second one.
		task.progress.reset()
		task.notBefore = now.Add(tickInterval)
	case errors.Is(err, gypsum.ErrNotSent):
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
		if h.runner.Engines.AcceptsConnections(ctx, replica) || ctx.Err() != nil {
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
		if err := h.runner.Batches.RecordFailures(ctx, failures); err != nil {
			h.runner.Logger.Warn("failures not stored", "batch", failures.Batch, "item", failures.Item, "error", err)
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

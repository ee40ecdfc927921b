package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/sched"
)

// startItems starts items as decided.
func (s *heldService) startItems(engines []*sched.Engine, now time.Time) {
	var items []sched.Item
	for _, b := range s.batches {
		for _, task := range b.tasks {
			if task.phase == phaseWaiting && !now.Before(task.notBefore) && task.crashes < crashLimit {
				items = append(items, task.schedItem())
			}
		}
	}
	for _, placement := range sched.ScheduleItems(items, engines, now) {
		task := s.batches[placement.Item.Batch].tasks[placement.Item.ID]
		s.startAttempt(task, s.engines[placement.Engine], placement.Attempts, now)
	}
}

// moveAttempts lets runs go on at other engines as decided.
func (s *heldService) moveAttempts(engines []*sched.Engine) {
	var attempts []sched.Attempt
	tasks := make(map[*sched.Item]*task)
	for _, b := range s.batches {
		for _, task := range b.tasks {
			if task.phase == phaseRunning && task.moveTarget == "" {
				item := task.schedItem()
				tasks[&item] = task
				attempts = append(attempts, sched.Attempt{Item: &item, Engine: task.engine.replica.ID, RemainingEvents: task.remainingEvents()})
			}
		}
	}
	for _, move := range sched.ScheduleMoves(attempts, engines) {
		task := tasks[move.Item]
		s.runner.Logger.Info("item moved", "batch", task.batch.header.ID, "item", task.item.ID, "from", task.engine.replica.ID,
			"to", move.Engine, "runs_there", move.Attempts, "left", task.remainingEvents())
		s.runner.Stats.ItemsMoved.Add(1)
		task.moveTarget = move.Engine
		task.cancel(errMoved)
	}
}

// startAttempt runs an item on an engine.
func (s *heldService) startAttempt(task *task, e *engine, attempts int, now time.Time) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	header := &task.batch.header
	task.phase, task.engine, task.cancel, task.startedAt, task.avoidedEngine, task.moveTarget = phaseRunning, e, cancel, now, "", ""
	e.running++
	e.attempts.Store(int64(e.running))
	e.awaitingFirstEvent[header.Model]++
	after := task.progress.beginAttempt()
	s.runner.Stats.ItemsStarted.Add(1)
	s.runner.Logger.Info("item started", "batch", header.ID, "item", task.item.ID, "replica", e.replica.ID, "after", after,
		"runs_there", attempts, "pace_ms", float64(e.idleEventTime.Microseconds())/1000, "failing", e.health.FailureRate(now), "version", e.versions[header.Model],
		"left", task.remainingEvents(), "due_in_ms", header.DueAt().Sub(now).Milliseconds())
	attempt := &gypsum.ItemAttempt{
		Replica: e.replica, HostName: header.HostName, Item: task.item, AfterEvent: after,
		Budget: max(0, header.ExpiresAt().Sub(now)),
	}
	first := true
	go func() {
		err := s.runner.Engines.GenerateItem(ctx, attempt, func(event gypsum.StreamEvent) error {
			err := task.progress.appendEvent(event, e, &task.batch.versions)
			if first && err == nil {
				first = false
				s.runner.post(s.ctx, func() { e.awaitingFirstEvent[header.Model]-- })
			}
			return err
		})
		cause := context.Cause(ctx)
		cancel(nil)
		s.runner.post(s.ctx, func() {
			if first {
				e.awaitingFirstEvent[header.Model]--
			}
			s.attemptEnded(task, e, err, cause)
		})
	}()
}

// attemptEnded follows the end of a run.
func (s *heldService) attemptEnded(task *task, e *engine, err, cause error) {
	now := time.Now()
	e.running--
	e.attempts.Store(int64(e.running))
	if err == nil {
		e.recordSuccess(now)
	}
	if task.phase != phaseRunning {
		return
	}
	task.phase = phaseWaiting
	if err == nil {
		s.runner.Stats.ItemsCompleted.Add(1)
		s.storeResult(task, gypsum.ItemCompleted)
		return
	}
	last, _, gotEvent := task.progress.status()
	s.runner.Logger.Info("run ended early", "batch", task.batch.header.ID, "item", task.item.ID, "replica", e.replica.ID,
		"events", last, "error", err, "cause", cause)
	switch {
	case errors.Is(cause, errMoved):
		if target := s.engines[task.moveTarget]; target != nil && target.running < target.replica.Slots {
			s.startAttempt(task, target, target.running, now)
		}
		return
	case errors.Is(cause, errStalled):
		task.avoidedEngine = e.replica.ID
		e.recordFailure(now)
	case errors.Is(err, gypsum.ErrNotExecuted):
		s.runner.Stats.AttemptsRejected.Add(1)
		task.notBefore = now.Add(tickInterval)
		e.recordFailure(now)
	case errors.Is(err, gypsum.ErrItemInvalid):
		s.failItem(task)
	case errors.Is(err, gypsum.ErrItemFailed):
		// The engine's fault or the item's: both are noted, and another engine tells.
		e.health.RecordFailure(now)
		task.avoidedEngine = e.replica.ID
		task.failures++
		s.storeFailures(task)
		if task.failures >= max(1, task.batch.header.MaxAttempts) {
			s.failItem(task)
		}
	case errors.Is(err, errVersionNotAllowed):
		// An older version than the engine was known to have, or a second one.
		task.progress.reset()
		task.notBefore = now.Add(tickInterval)
	case errors.Is(err, gypsum.ErrNotSent):
		e.recordFailure(now)
	default:
		s.attemptBroken(task, e, gotEvent, now)
	}
}

// attemptBroken follows a run that was broken off by the engine. An engine that no longer
// listens has died: a count that keeps an item from crashing one after the other.
func (s *heldService) attemptBroken(task *task, e *engine, gotEvent bool, now time.Time) {
	s.runner.Stats.AttemptsBroken.Add(1)
	e.recordFailure(now)
	if gotEvent {
		return
	}
	replica := e.replica
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, ioTimeout)
		defer cancel()
		if s.runner.Engines.AcceptsConnections(ctx, replica) || ctx.Err() != nil {
			return
		}
		s.runner.post(s.ctx, func() {
			task.crashes++
			s.storeFailures(task)
			s.runner.Logger.Warn("engine died while it ran an item", "batch", task.batch.header.ID, "item", task.item.ID,
				"replica", replica.ID, "crashed", task.crashes)
		})
	}()
}

// storeFailures stores how often an item has failed, for the holders to come.
func (s *heldService) storeFailures(task *task) {
	failures := batch.Failures{
		Batch: task.batch.header.ID, Item: task.item.ID, Failed: task.failures, Crashed: task.crashes,
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, ioTimeout)
		defer cancel()
		if err := s.runner.Batches.RecordFailures(ctx, failures); err != nil {
			s.runner.Logger.Warn("failures not stored", "batch", failures.Batch, "item", failures.Item, "error", err)
		}
	}()
}

// checkAttempts ends runs that have stalled and stores the events of long ones.
func (s *heldService) checkAttempts(now time.Time) {
	for _, b := range s.batches {
		for _, task := range b.tasks {
			if task.phase != phaseRunning {
				continue
			}
			last, lastActivity, gotEvent := task.progress.status()
			timeout := firstEventTimeout
			if gotEvent {
				timeout = eventTimeout
			}
			if now.Sub(lastActivity) > timeout && task.moveTarget == "" {
				task.cancel(errStalled)
			}
			if now.Sub(task.startedAt) > checkpointAfter && last > task.checkpointed && !task.checkpointing {
				s.checkpoint(task)
			}
		}
	}
}

package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/sched"
)

// startItems starts the waiting items for which the scheduler finds an engine.
func (s *heldService) startItems(engines []*sched.Engine, now time.Time) {
	var items []sched.Item
	for _, b := range s.batches {
		for _, t := range b.tasks {
			if t.phase == phaseWaiting && !now.Before(t.notBefore) && t.crashes < crashLimit {
				items = append(items, t.schedItem())
			}
		}
	}
	for _, placement := range sched.ScheduleItems(items, engines, now) {
		t := s.batches[placement.Item.Batch].tasks[placement.Item.ID]
		s.startAttempt(t, s.engines[placement.Engine], placement.EngineAttempts, now)
	}
}

// moveAttempts cancels the attempts that the scheduler moves to another engine. Each
// continues there once it has ended, see attemptEnded.
func (s *heldService) moveAttempts(engines []*sched.Engine) {
	var attempts []sched.Attempt
	tasks := make(map[*sched.Item]*task)
	for _, b := range s.batches {
		for _, t := range b.tasks {
			if t.phase == phaseRunning && t.moveTarget == "" {
				item := t.schedItem()
				tasks[&item] = t
				attempts = append(attempts, sched.Attempt{Item: &item, Engine: t.engine.replica.ID, RemainingEvents: t.remainingEvents()})
			}
		}
	}
	for _, move := range sched.ScheduleMoves(attempts, engines) {
		t := tasks[move.Item]
		s.runner.Logger.Info("item moved", "batch", t.batch.header.ID, "item", t.item.ID, "from", t.engine.replica.ID,
			"to", move.Engine, "runs_there", move.EngineAttempts, "left", t.remainingEvents())
		s.runner.Stats.ItemsMoved.Add(1)
		t.moveTarget = move.Engine
		t.cancel(errMoved)
	}
}

// startAttempt starts an attempt at a task on an engine. attempts is the number of
// attempts already in progress there.
func (s *heldService) startAttempt(t *task, e *engine, attempts int, now time.Time) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	header := &t.batch.header
	t.phase, t.engine, t.cancel, t.startedAt, t.avoidedEngine, t.moveTarget = phaseRunning, e, cancel, now, "", ""
	e.running++
	e.attempts.Store(int64(e.running))
	e.awaitingFirstEvent[header.Model]++
	after := t.progress.beginAttempt()
	s.runner.Stats.ItemsStarted.Add(1)
	s.runner.Logger.Info("item started", "batch", header.ID, "item", t.item.ID, "replica", e.replica.ID, "after", after,
		"runs_there", attempts, "pace_ms", float64(e.idleEventTime.Microseconds())/1000, "failing", e.health.FailureRate(now), "version", e.versions[header.Model],
		"left", t.remainingEvents(), "due_in_ms", header.DueAt().Sub(now).Milliseconds())
	attempt := &gypsum.ItemAttempt{
		Replica: e.replica, HostName: header.HostName, Item: t.item, AfterEvent: after,
		Budget: max(0, header.ExpiresAt().Sub(now)),
	}
	first := true
	go func() {
		err := s.runner.Engines.GenerateItem(ctx, attempt, func(event gypsum.StreamEvent) error {
			err := t.progress.appendEvent(event, e, &t.batch.versions)
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
			s.attemptEnded(t, e, err, cause)
		})
	}()
}

// attemptEnded handles the end of an attempt: err is its outcome, cause the cause of its
// cancellation.
func (s *heldService) attemptEnded(t *task, e *engine, err, cause error) {
	now := time.Now()
	e.running--
	e.attempts.Store(int64(e.running))
	if err == nil {
		e.recordSuccess(now)
	}
	if t.phase != phaseRunning {
		return
	}
	t.phase = phaseWaiting
	if err == nil {
		s.runner.Stats.ItemsCompleted.Add(1)
		s.storeResult(t, gypsum.ItemCompleted)
		return
	}
	last, _, gotEvent := t.progress.status()
	s.runner.Logger.Info("run ended early", "batch", t.batch.header.ID, "item", t.item.ID, "replica", e.replica.ID,
		"events", last, "error", err, "cause", cause)
	switch {
	case errors.Is(cause, errMoved):
		if target := s.engines[t.moveTarget]; target != nil && target.running < target.replica.Slots {
			s.startAttempt(t, target, target.running, now)
		}
		return
	case errors.Is(cause, errStalled):
		t.avoidedEngine = e.replica.ID
		e.recordFailure(now)
	case errors.Is(err, gypsum.ErrNotExecuted):
		s.runner.Stats.AttemptsRejected.Add(1)
		t.notBefore = now.Add(tickInterval)
		e.recordFailure(now)
	case errors.Is(err, gypsum.ErrItemInvalid):
		s.failItem(t)
	case errors.Is(err, gypsum.ErrItemFailed):
		// Either the engine or the item may be at fault: the failure counts against both,
		// and an attempt on another engine decides.
		e.health.RecordFailure(now)
		t.avoidedEngine = e.replica.ID
		t.failures++
		s.storeFailures(t)
		if t.failures >= max(1, t.batch.header.MaxAttempts) {
			s.failItem(t)
		}
	case errors.Is(err, errVersionNotAllowed):
		// The engine generated with an older version than it reported, or with a second
		// version within one text.
		t.progress.reset()
		t.notBefore = now.Add(tickInterval)
	case errors.Is(err, gypsum.ErrNotSent):
		e.recordFailure(now)
	default:
		s.attemptBroken(t, e, gotEvent, now)
	}
}

// attemptBroken handles an attempt that the engine broke off. If the attempt had no
// event yet and the engine no longer accepts connections, the item may have crashed it.
// These crashes are counted to keep an item from crashing one engine after the other.
func (s *heldService) attemptBroken(t *task, e *engine, gotEvent bool, now time.Time) {
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
			t.crashes++
			s.storeFailures(t)
			s.runner.Logger.Warn("engine crashed while running an item", "batch", t.batch.header.ID, "item", t.item.ID,
				"replica", replica.ID, "crashed", t.crashes)
		})
	}()
}

// storeFailures stores the failure and crash counts of a task in the background, so that
// they survive a change of the holder.
func (s *heldService) storeFailures(t *task) {
	failures := batch.Failures{
		Batch: t.batch.header.ID, Item: t.item.ID, Failed: t.failures, Crashed: t.crashes,
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, ioTimeout)
		defer cancel()
		if err := s.runner.Batches.RecordFailures(ctx, failures); err != nil {
			s.runner.Logger.Warn("store failure counts failed", "batch", failures.Batch, "item", failures.Item, "error", err)
		}
	}()
}

// checkAttempts cancels stalled attempts and checkpoints long ones.
func (s *heldService) checkAttempts(now time.Time) {
	for _, b := range s.batches {
		for _, t := range b.tasks {
			if t.phase != phaseRunning {
				continue
			}
			last, lastActivity, gotEvent := t.progress.status()
			timeout := firstEventTimeout
			if gotEvent {
				timeout = eventTimeout
			}
			if now.Sub(lastActivity) > timeout && t.moveTarget == "" {
				t.cancel(errStalled)
			}
			if now.Sub(t.startedAt) > checkpointAfter && last > t.checkpointed && !t.checkpointing {
				s.checkpoint(t)
			}
		}
	}
}

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
		for _, a := range b.items {
			if a.phase == phaseWaiting && !now.Before(a.notBefore) {
				item := a.schedItem(s.scoringTime)
				if sched.RestartsText(&item, now.Sub(a.waitingSince), engines) {
					s.restartText(a, now)
					item = a.schedItem(s.scoringTime)
				}
				items = append(items, item)
			}
		}
	}
	for _, placement := range sched.ScheduleItems(items, engines, now) {
		a := s.batches[placement.Item.Batch].items[placement.Item.ID]
		e := s.engines[placement.Engine]
		s.runner.Limiter.Charge(e.replica, now)
		s.startAttempt(a, e, placement.EngineAttempts, now)
	}
}

// restartText discards the text of an item that waits for an engine of the same software
// version.
func (s *heldService) restartText(a *activeItem, now time.Time) {
	events, software := a.progress.generated()
	s.runner.Logger.Info("text discarded: no engine of its software version continues it", "batch", a.batch.header.ID, "item", a.request.ID,
		"events", events, "software", software, "waited_ms", now.Sub(a.waitingSince).Milliseconds())
	s.runner.Stats.TextsDiscarded.Add(1)
	a.progress.reset()
	a.checkpointedEvent = 0
}

// moveAttempts cancels the attempts that the scheduler moves to another engine. Each
// continues there once it has ended, see handleAttemptEnd.
func (s *heldService) moveAttempts(engines []*sched.Engine, now time.Time) {
	var attempts []sched.Attempt
	activeItems := make(map[*sched.Item]*activeItem)
	for _, b := range s.batches {
		for _, a := range b.items {
			if a.phase == phaseRunning && a.moveTarget == "" {
				item := a.schedItem(s.scoringTime)
				activeItems[&item] = a
				attempts = append(attempts, sched.Attempt{Item: &item, Engine: a.engine.replica.ID, RemainingEvents: a.remainingEvents()})
			}
		}
	}
	for _, move := range sched.ScheduleMoves(attempts, engines, s.startTime, &s.slowPeriods) {
		a := activeItems[move.Item]
		s.runner.Logger.Info("item moved", "batch", a.batch.header.ID, "item", a.request.ID, "from", a.engine.replica.ID,
			"to", move.Engine, "runs_there", move.EngineAttempts, "left", a.remainingEvents(), "slow_ms", a.engine.pace.SlowFor(now).Milliseconds())
		s.runner.Stats.ItemsMoved.Add(1)
		a.moveTarget = move.Engine
		s.runner.Limiter.Charge(s.engines[move.Engine].replica, now)
		a.cancel(errAttemptMoved)
	}
}

// startAttempt starts an attempt at an item on an engine, whose rate limit has been charged
// with it. attempts is the number of attempts already in progress there.
func (s *heldService) startAttempt(a *activeItem, e *engine, attempts int, now time.Time) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	header := &a.batch.header
	a.phase, a.engine, a.cancel, a.avoidedEngine, a.moveTarget = phaseRunning, e, cancel, "", ""
	a.startedAt = now
	if a.firstStartedAt.IsZero() {
		a.firstStartedAt = now
	}
	e.running++
	e.attempts.Store(int64(e.running))
	e.awaitingFirstEvent[header.Model]++
	after := a.progress.beginAttempt()
	s.runner.Stats.ItemsStarted.Add(1)
	s.runner.Logger.Info("item started", "batch", header.ID, "item", a.request.ID, "replica", e.replica.ID, "after", after,
		"runs_there", attempts, "pace_ms", float64(e.eventTimer.EventTime().Microseconds())/1000, "failing", e.health.FailureRate(now), "version", e.versions[header.Model], "software", e.replica.Software,
		"left", a.remainingEvents(), "due_in_ms", header.DueAt().Sub(now).Milliseconds())
	attempt := &gypsum.ItemAttempt{
		Replica: e.replica, HostName: header.HostName, Item: a.request, AfterEvent: after,
		Budget: max(0, header.ExpiresAt().Sub(now)), Account: header.Account, AccountsInForce: s.runner.accountsInForce(),
	}
	first := true
	go func() {
		err := s.runner.Engines.GenerateItem(ctx, attempt, func(event gypsum.StreamEvent) error {
			s.lastEvent.Store(int64(time.Since(s.heldSince)))
			err := a.progress.appendEvent(event, e, attempt.Replica.Software, &a.batch.versions, &s.runner.texts)
			if first && err == nil {
				first = false
				startTime := time.Since(now)
				s.runner.postUpdate(s.ctx, func() {
					e.awaitingFirstEvent[header.Model]--
					s.startTime += time.Duration(startTimeWeight * float64(startTime-s.startTime))
				})
			}
			return err
		})
		cause := context.Cause(ctx)
		cancel(nil)
		s.runner.postUpdate(s.ctx, func() {
			if first {
				e.awaitingFirstEvent[header.Model]--
			}
			s.handleAttemptEnd(a, e, err, cause)
		})
	}()
}

// handleAttemptEnd handles the end of an attempt: err is its result, cause the cause of its
// cancellation.
func (s *heldService) handleAttemptEnd(a *activeItem, e *engine, err, cause error) {
	now := time.Now()
	e.running--
	e.attempts.Store(int64(e.running))
	if err == nil {
		e.recordSuccess(now)
	}
	if a.phase != phaseRunning {
		return
	}
	a.phase = phaseWaiting
	if err == nil {
		s.runner.Stats.ItemsCompleted.Add(1)
		s.completeText(a, nil, now)
		return
	}
	last, _, gotEvent := a.progress.status()
	if gotEvent {
		a.waitingSince = now
	}
	if !gotEvent && (errors.Is(cause, errAttemptStalled) || errors.Is(err, gypsum.ErrNotSent)) {
		s.runner.Reach.RecordFailure(s.service, a.startedAt)
	}
	s.runner.Logger.Info("attempt ended early", "batch", a.batch.header.ID, "item", a.request.ID, "replica", e.replica.ID,
		"events", last, "error", err, "cause", cause)
	switch {
	case errors.Is(cause, errAttemptMoved):
		// The attempt may have generated its first event since the move was decided.
		target := s.engines[a.moveTarget]
		if target != nil && !target.isLeaving() && target.running < target.replica.Slots && a.progress.canContinueOn(target.replica.Software) {
			s.startAttempt(a, target, target.running, now)
		}
		return
	case errors.Is(cause, errAttemptStalled):
		a.avoidedEngine = e.replica.ID
		e.recordFailure(now)
	case errors.Is(err, gypsum.ErrNotRun):
		s.runner.Stats.AttemptsRejected.Add(1)
		a.notBefore = now.Add(tickInterval)
		e.recordFailure(now)
	case errors.Is(err, gypsum.ErrItemInvalid):
		s.failItem(a, reasonInvalid)
	case errors.Is(err, gypsum.ErrItemFailed):
		// Either the engine or the item may be at fault: the failure counts against both,
		// and an attempt on another engine decides.
		e.health.RecordFailure(now)
		a.avoidedEngine = e.replica.ID
		a.failures++
		s.storeFailures(a)
		if a.failures >= max(1, a.batch.header.MaxAttempts) {
			s.failItem(a, reasonAttemptsFailed)
		}
	case errors.Is(err, errVersionNotAllowed) || errors.Is(err, errSoftwareVersion):
		// The engine generated with an older version than it reported, or with a second
		// version within one text.
		a.progress.reset()
		a.checkpointedEvent = 0
		a.notBefore = now.Add(tickInterval)
	case errors.Is(err, gypsum.ErrTextTooLong):
		a.progress.reset()
		a.checkpointedEvent = 0
		a.avoidedEngine = e.replica.ID
		e.recordFailure(now)
	case errors.Is(err, gypsum.ErrNotSent):
		e.recordFailure(now)
	default:
		s.handleBrokenAttempt(a, e, gotEvent, now)
	}
}

// handleBrokenAttempt handles an attempt that the engine broke off. If the attempt had no
// event yet and the engine no longer accepts connections, the item may have crashed it, or
// several engines crashed for another reason. An accepted item is owed a result in either case:
// it is placed again, with growing delays.
func (s *heldService) handleBrokenAttempt(a *activeItem, e *engine, gotEvent bool, now time.Time) {
	s.runner.Stats.AttemptsBroken.Add(1)
	e.recordFailure(now)
	if gotEvent {
		return
	}
	replica := e.replica
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, ioTimeout)
		defer cancel()
		if s.runner.Engines.AcceptsConnections(ctx, replica) || ctx.Err() != nil || !s.runner.Reach.ConfirmDown(ctx, replica) {
			return
		}
		s.runner.postUpdate(s.ctx, func() {
			a.crashes++
			a.notBefore = time.Now().Add(sched.CrashRetryDelay(a.crashes))
			s.storeFailures(a)
			s.runner.Logger.Warn("engine crashed while running an item", "batch", a.batch.header.ID, "item", a.request.ID,
				"replica", replica.ID, "crashed", a.crashes)
		})
	}()
}

// storeFailures stores the failure and crash counts of an item in the background, so that
// they survive a change of the holder. Counts that change meanwhile are stored afterwards: two
// appends at a time could take effect in either order.
func (s *heldService) storeFailures(a *activeItem) {
	if a.storingFailures {
		a.failuresChanged = true
		return
	}
	a.storingFailures, a.failuresChanged = true, false
	failures := batch.Failures{
		Batch: a.batch.header.ID, Item: a.request.ID, Failed: a.failures, Crashed: a.crashes, RewardCallsFailed: a.rewardCallsFailed,
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, ioTimeout)
		defer cancel()
		if err := s.runner.Batches.RecordFailures(ctx, failures); err != nil {
			s.runner.Logger.Warn("failed to store failure counts of item", "batch", failures.Batch, "item", failures.Item, "error", err)
		}
		s.runner.postUpdate(s.ctx, func() {
			a.storingFailures = false
			if a.failuresChanged {
				s.storeFailures(a)
			}
		})
	}()
}

// lastEventTime returns the time of the newest event of any engine, or that at which the service
// was acquired.
func (s *heldService) lastEventTime() time.Time {
	return s.heldSince.Add(time.Duration(s.lastEvent.Load()))
}

// silentFor returns how long no engine has sent an event.
func (s *heldService) silentFor(now time.Time) time.Duration { return now.Sub(s.lastEventTime()) }

// observeSilence notices when all engines with attempts become silent, and when one sends an event
// again. oldestStart is the start of the oldest attempt, zero if there is none.
func (s *heldService) observeSilence(oldestStart, now time.Time) {
	if s.lastEvent.Load() > 0 {
		s.runner.Reach.RecordResponse(s.service, s.lastEventTime())
	}
	silentFor := min(s.silentFor(now), now.Sub(oldestStart))
	silent := !oldestStart.IsZero() && silentFor >= silenceNoticeTime
	if silent {
		s.runner.Reach.RecordFailure(s.service, now)
	}
	if silent != s.silent {
		s.silent = silent
		s.runner.Logger.Warn("engines became silent or responsive", "service", s.service, "silent", silent, "silent_ms", silentFor.Milliseconds())
	}
}

// superviseAttempts cancels stalled attempts and checkpoints long ones.
func (s *heldService) superviseAttempts(now time.Time) {
	var oldestStart time.Time
	defer func() { s.observeSilence(oldestStart, now) }()
	for _, b := range s.batches {
		for _, a := range b.items {
			if a.phase != phaseRunning {
				continue
			}
			if oldestStart.IsZero() || a.startedAt.Before(oldestStart) {
				oldestStart = a.startedAt
			}
			last, lastActivity, gotEvent := a.progress.status()
			timeout := firstEventTimeout
			if gotEvent {
				timeout = eventTimeout
			}
			if now.Sub(lastActivity) > timeout && a.moveTarget == "" {
				a.cancel(errAttemptStalled)
			}
			if now.Sub(a.firstStartedAt) > checkpointAfter && last > a.checkpointedEvent && !a.checkpointing {
				s.checkpointItem(a)
			}
		}
	}
}

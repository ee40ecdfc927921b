package runner

import (
	"context"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
)

// cancelWork cancels the attempt or the reward call in progress.
func (a *activeItem) cancelWork() {
	switch {
	case a.phase == phaseRunning:
		a.cancel(errResultNotNeeded)
	case a.phase == phaseScoring && a.scoring.cancel != nil:
		a.scoring.cancel()
	}
}

// dropItem ends the work on an item without storing a result.
func (s *heldService) dropItem(a *activeItem) {
	a.cancelWork()
	a.phase = phaseDone
}

// Reasons why an item fails.
const (
	reasonRouteRemoved      = "route_removed"
	reasonExpired           = "expired"
	reasonInvalid           = "invalid"
	reasonAttemptsFailed    = "attempts_failed"
	reasonRewardCallsFailed = "reward_calls_failed"
)

// failItem ends an item with an errored result.
func (s *heldService) failItem(a *activeItem, reason string) {
	a.cancelWork()
	s.runner.Logger.Info("item failed", "batch", a.batch.header.ID, "item", a.request.ID, "reason", reason,
		"failed_attempts", a.failures, "failed_reward_calls", a.rewardCallsFailed)
	a.progress.reset()
	s.runner.Stats.ItemsErrored.Add(1)
	s.storeResult(a, gypsum.ItemErrored)
}

// storeResult stores the result of an item in the background and retries until the store
// accepts it or the daemon stops.
func (s *heldService) storeResult(a *activeItem, state gypsum.ItemState) {
	a.phase = phaseStoring
	result := &gypsum.BatchResult{Item: a.request.ID, State: state}
	id := a.batch.header.ID
	store := func() error { return s.runner.Batches.StoreResult(s.processCtx, id, result) }
	if state == gypsum.ItemCompleted {
		_, result.Text, result.Versions = a.progress.text()
		if a.scoring != nil {
			result.Score = a.scoring.score
			text := *a.scoring.text
			store = func() error { return s.runner.Batches.RecordResult(s.processCtx, id, result, text) }
		}
	}
	start := time.Now()
	go func() {
		err := store()
		for err != nil && s.processCtx.Err() == nil {
			s.runner.Logger.Warn("failed to store result; retrying", "batch", id, "item", result.Item, "error", err)
			time.Sleep(ioRetryDelay)
			err = store()
		}
		if err == nil {
			s.runner.Logger.Info("result stored", "batch", id, "item", result.Item, "state", state,
				"versions", result.Versions, "bytes", len(result.Text), "score", result.Score, "store_ms", time.Since(start).Milliseconds())
		}
	}()
}

// checkpointItem stores the events of an item's attempt in the background. The next
// checkpoint of the item may start checkpointInterval later.
func (s *heldService) checkpointItem(a *activeItem) {
	a.checkpointing = true
	id, item := a.batch.header.ID, a.request.ID
	go func() {
		last, text, versions := a.progress.text()
		ctx, cancel := context.WithTimeout(s.ctx, ioTimeout)
		err := s.runner.Batches.StoreCheckpoint(ctx, &batch.Checkpoint{Batch: id, Item: item, LastEvent: last, Versions: versions}, text)
		cancel()
		if err != nil {
			s.runner.Logger.Warn("failed to store checkpoint", "batch", id, "item", item, "error", err)
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(checkpointInterval):
		}
		s.runner.postUpdate(s.ctx, func() {
			a.checkpointing = false
			if err == nil {
				a.checkpointedEvent = last
			}
		})
	}()
}

// checkpointAttempts cancels all attempts and reward calls and stores the events, so that
// the next holder can resume them.
func (s *heldService) checkpointAttempts(ctx context.Context) {
	errs := make(chan error)
	count := 0
	for _, b := range s.batches {
		for _, a := range b.items {
			if a.phase != phaseRunning && a.phase != phaseScoring {
				continue
			}
			a.cancelWork()
			isComplete, checkpointed := a.phase == phaseScoring, a.scoring != nil && a.scoring.checkpointed
			a.phase = phaseDone
			last, text, versions := a.progress.text()
			if checkpointed || (!isComplete && last <= a.checkpointedEvent) {
				continue
			}
			count++
			go func() {
				errs <- s.runner.Batches.StoreCheckpoint(ctx, &batch.Checkpoint{
					Batch: b.header.ID, Item: a.request.ID, LastEvent: last, Versions: versions, Complete: isComplete,
				}, text)
			}()
		}
	}
	for range count {
		if err := <-errs; err != nil {
			s.runner.Logger.Warn("failed to store checkpoint", "error", err)
		}
	}
	s.runner.Logger.Info("attempts checkpointed", "service", s.service, "with_events", count)
}

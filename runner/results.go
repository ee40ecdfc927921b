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
		complete := a.progress.text()
		result.Text, result.Versions = complete.text, complete.versions
		if a.scoring != nil {
			result.Score = a.scoring.score
			text := *a.scoring.text
			store = func() error { return s.runner.Batches.RecordResult(s.processCtx, id, result, text) }
		}
	}
	start := time.Now()
	go func() {
		if s.retry(s.processCtx, a, "store result", store) {
			s.runner.Logger.Info("result stored", "batch", id, "item", result.Item, "state", state,
				"versions", result.Versions, "bytes", len(result.Text), "score", result.Score, "store_ms", time.Since(start).Milliseconds())
		}
	}()
}

// retry calls an operation on an item until it succeeds or ctx ends. It reports whether it has
// succeeded.
func (s *heldService) retry(ctx context.Context, a *activeItem, operation string, do func() error) bool {
	for {
		err := do()
		if err == nil {
			return true
		}
		s.runner.Logger.Warn("operation failed; retrying", "operation", operation, "batch", a.batch.header.ID, "item", a.request.ID, "error", err)
		select {
		case <-ctx.Done():
			return false
		case <-time.After(ioRetryDelay):
		}
	}
}

// checkpoint returns the checkpoint of a text of an item, without the reference to the stored
// text.
func (t *savedText) checkpoint(id gypsum.BatchID, item gypsum.ItemID) *batch.Checkpoint {
	return &batch.Checkpoint{Batch: id, Item: item, LastEvent: t.lastEvent, Versions: t.versions, Software: t.software}
}

// checkpointItem stores the events of an item's attempt in the background. The next
// checkpoint of the item may start checkpointInterval later.
func (s *heldService) checkpointItem(a *activeItem) {
	a.checkpointing = true
	id, item := a.batch.header.ID, a.request.ID
	go func() {
		saved := a.progress.text()
		ctx, cancel := context.WithTimeout(s.ctx, ioTimeout)
		err := s.runner.Batches.StoreCheckpoint(ctx, saved.checkpoint(id, item), saved.text)
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
				a.checkpointedEvent = saved.lastEvent
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
			saved := a.progress.text()
			if checkpointed || (!isComplete && saved.lastEvent <= a.checkpointedEvent) {
				continue
			}
			count++
			checkpoint := saved.checkpoint(b.header.ID, a.request.ID)
			checkpoint.Complete = isComplete
			go func() { errs <- s.runner.Batches.StoreCheckpoint(ctx, checkpoint, saved.text) }()
		}
	}
	for range count {
		if err := <-errs; err != nil {
			s.runner.Logger.Warn("failed to store checkpoint", "error", err)
		}
	}
	s.runner.Logger.Info("attempts checkpointed", "service", s.service, "with_events", count)
}

package runner

import (
	"context"
	"time"

	"github.com/gypsumhook/gypsum"
)

// dropItem ends the work on an item without storing a result.
func (s *heldService) dropItem(a *activeItem) {
	if a.phase == phaseRunning {
		a.cancel(errResultNotNeeded)
	}
	a.phase = phaseDone
}

// failItem ends an item with an errored result.
func (s *heldService) failItem(a *activeItem) {
	if a.phase == phaseRunning {
		a.cancel(errResultNotNeeded)
	}
	a.progress.reset()
	s.runner.Stats.ItemsErrored.Add(1)
	s.storeResult(a, gypsum.ItemErrored)
}

// storeResult stores the result of an item in the background and retries until the store
// accepts it or the daemon stops.
func (s *heldService) storeResult(a *activeItem, state gypsum.ItemState) {
	a.phase = phaseStoring
	result := &gypsum.BatchResult{Item: a.request.ID, State: state}
	if state == gypsum.ItemCompleted {
		_, result.Text, result.Versions = a.progress.text()
	}
	id := a.batch.header.ID
	start := time.Now()
	go func() {
		err := s.runner.Batches.StoreResult(s.processCtx, id, result)
		for err != nil && s.processCtx.Err() == nil {
			s.runner.Logger.Warn("failed to store result; retrying", "batch", id, "item", result.Item, "error", err)
			time.Sleep(ioRetryDelay)
			err = s.runner.Batches.StoreResult(s.processCtx, id, result)
		}
		if err == nil {
			s.runner.Logger.Info("result stored", "batch", id, "item", result.Item, "state", state,
				"versions", result.Versions, "bytes", len(result.Text), "store_ms", time.Since(start).Milliseconds())
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
		err := s.runner.Batches.StoreCheckpoint(ctx, id, item, last, versions, text)
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

// checkpointAttempts cancels all attempts and stores their events, so that the next
// holder can resume them.
func (s *heldService) checkpointAttempts(ctx context.Context) {
	errs := make(chan error)
	count := 0
	for _, b := range s.batches {
		for _, a := range b.items {
			if a.phase != phaseRunning {
				continue
			}
			a.cancel(errResultNotNeeded)
			a.phase = phaseDone
			last, text, versions := a.progress.text()
			if last <= a.checkpointedEvent {
				continue
			}
			count++
			go func() { errs <- s.runner.Batches.StoreCheckpoint(ctx, b.header.ID, a.request.ID, last, versions, text) }()
		}
	}
	for range count {
		if err := <-errs; err != nil {
			s.runner.Logger.Warn("failed to store checkpoint", "error", err)
		}
	}
	s.runner.Logger.Info("attempts checkpointed", "service", s.service, "with_events", count)
}

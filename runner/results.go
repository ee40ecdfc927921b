package runner

import (
	"context"
	"time"

	"github.com/gypsumhook/gypsum"
)

// dropTask ends a task without storing a result.
func (s *heldService) dropTask(t *task) {
	if t.phase == phaseRunning {
		t.cancel(errResultNotNeeded)
	}
	t.phase = phaseDone
}

// failItem ends a task with an errored result.
func (s *heldService) failItem(t *task) {
	if t.phase == phaseRunning {
		t.cancel(errResultNotNeeded)
	}
	t.progress.reset()
	s.runner.Stats.ItemsErrored.Add(1)
	s.storeResult(t, gypsum.ItemErrored)
}

// storeResult stores the result of a task in the background and retries until the store
// accepts it or the daemon stops.
func (s *heldService) storeResult(t *task, state gypsum.ItemState) {
	t.phase = phaseStoring
	result := &gypsum.BatchResult{Item: t.item.ID, State: state}
	if state == gypsum.ItemCompleted {
		_, result.Text, result.Versions = t.progress.text()
	}
	id := t.batch.header.ID
	start := time.Now()
	go func() {
		err := s.runner.Batches.StoreResult(s.processCtx, id, result)
		for err != nil && s.processCtx.Err() == nil {
			s.runner.Logger.Warn("store result failed; retrying", "batch", id, "item", result.Item, "error", err)
			time.Sleep(ioRetryDelay)
			err = s.runner.Batches.StoreResult(s.processCtx, id, result)
		}
		if err == nil {
			s.runner.Logger.Info("result stored", "batch", id, "item", result.Item, "state", state,
				"versions", result.Versions, "bytes", len(result.Text), "store_ms", time.Since(start).Milliseconds())
		}
	}()
}

// checkpoint stores the events of a task's attempt in the background. The next
// checkpoint of the task may start checkpointInterval later.
func (s *heldService) checkpoint(t *task) {
	t.checkpointing = true
	id, item := t.batch.header.ID, t.item.ID
	go func() {
		last, text, versions := t.progress.text()
		ctx, cancel := context.WithTimeout(s.ctx, ioTimeout)
		err := s.runner.Batches.StoreCheckpoint(ctx, id, item, last, versions, text)
		cancel()
		if err != nil {
			s.runner.Logger.Warn("store checkpoint failed", "batch", id, "item", item, "error", err)
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(checkpointInterval):
		}
		s.runner.post(s.ctx, func() {
			t.checkpointing = false
			if err == nil {
				t.checkpointed = last
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
		for _, t := range b.tasks {
			if t.phase != phaseRunning {
				continue
			}
			t.cancel(errResultNotNeeded)
			t.phase = phaseDone
			last, text, versions := t.progress.text()
			if last <= t.checkpointed {
				continue
			}
			count++
			go func() { errs <- s.runner.Batches.StoreCheckpoint(ctx, b.header.ID, t.item.ID, last, versions, text) }()
		}
	}
	for range count {
		if err := <-errs; err != nil {
			s.runner.Logger.Warn("store checkpoint failed", "error", err)
		}
	}
	s.runner.Logger.Info("runs handed over", "service", s.service, "with_events", count)
}

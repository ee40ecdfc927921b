package runner

import (
	"context"
	"time"

	"github.com/gypsumhook/gypsum"
)

// dropTask ends a task without a result from this host.
func (s *heldService) dropTask(task *task) {
	if task.phase == phaseRunning {
		task.cancel(errResultNotNeeded)
	}
	task.phase = phaseDone
}

// failItem ends a task with a result that says so.
func (s *heldService) failItem(task *task) {
	if task.phase == phaseRunning {
		task.cancel(errResultNotNeeded)
	}
	task.progress.reset()
	s.runner.Stats.ItemsErrored.Add(1)
	s.storeResult(task, gypsum.ItemErrored)
}

// storeResult stores the result of a task, however long the store is away.
func (s *heldService) storeResult(task *task, state gypsum.ItemState) {
	task.phase = phaseStoring
	result := &gypsum.BatchResult{Item: task.item.ID, State: state}
	if state == gypsum.ItemCompleted {
		_, result.Text, result.Versions = task.progress.text()
	}
	id := task.batch.header.ID
	start := time.Now()
	go func() {
		err := s.runner.Batches.StoreResult(s.processCtx, id, result)
		for err != nil && s.processCtx.Err() == nil {
			s.runner.Logger.Warn("result not stored", "batch", id, "item", result.Item, "error", err)
			time.Sleep(ioRetryDelay)
			err = s.runner.Batches.StoreResult(s.processCtx, id, result)
		}
		if err == nil {
			s.runner.Logger.Info("result stored", "batch", id, "item", result.Item, "state", state,
				"versions", result.Versions, "bytes", len(result.Text), "store_ms", time.Since(start).Milliseconds())
		}
	}()
}

// checkpoint stores the events of a run.
func (s *heldService) checkpoint(task *task) {
	task.checkpointing = true
	id, item := task.batch.header.ID, task.item.ID
	go func() {
		last, text, versions := task.progress.text()
		ctx, cancel := context.WithTimeout(s.ctx, ioTimeout)
		err := s.runner.Batches.StoreCheckpoint(ctx, id, item, last, versions, text)
		cancel()
		if err != nil {
			s.runner.Logger.Warn("events not stored", "batch", id, "item", item, "error", err)
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(checkpointInterval):
		}
		s.runner.post(s.ctx, func() {
			task.checkpointing = false
			if err == nil {
				task.checkpointed = last
			}
		})
	}()
}

// checkpointAttempts ends all runs and stores what they gave.
func (s *heldService) checkpointAttempts(ctx context.Context) {
	errs := make(chan error)
	count := 0
	for _, b := range s.batches {
		for _, task := range b.tasks {
			if task.phase != phaseRunning {
				continue
			}
			task.cancel(errResultNotNeeded)
			task.phase = phaseDone
			last, text, versions := task.progress.text()
			if last <= task.checkpointed {
				continue
			}
			count++
			go func() { errs <- s.runner.Batches.StoreCheckpoint(ctx, b.header.ID, task.item.ID, last, versions, text) }()
		}
	}
	for range count {
		if err := <-errs; err != nil {
			s.runner.Logger.Warn("events not stored", "error", err)
		}
	}
	s.runner.Logger.Info("runs handed over", "service", s.service, "with_events", count)
}

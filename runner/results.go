package runner

import (
	"context"
	"time"

	"github.com/gypsumhook/gypsum"
)

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
		err := h.runner.Batches.StoreResult(h.process, id, result)
		for err != nil && h.process.Err() == nil {
			h.runner.Logger.Warn("result not stored", "batch", id, "item", result.Item, "error", err)
			time.Sleep(itemsPause)
			err = h.runner.Batches.StoreResult(h.process, id, result)
		}
		if err == nil {
			h.runner.Logger.Info("result stored", "batch", id, "item", result.Item, "state", outcome,
				"versions", result.Versions, "bytes", len(result.Text), "store_ms", time.Since(begun).Milliseconds())
		}
	}()
}

// checkpoint stores the events of a run.
func (h *hold) checkpoint(task *task) {
	task.saving = true
	id, item := task.job.header.ID, task.item.ID
	go func() {
		last, text, versions := task.progress.text()
		ctx, cancel := context.WithTimeout(h.ctx, itemsTimeout)
		err := h.runner.Batches.StoreCheckpoint(ctx, id, item, last, versions, text)
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
			go func() {
				done <- h.runner.Batches.StoreCheckpoint(ctx, known.header.ID, task.item.ID, last, versions, text)
			}()
		}
	}
	for range count {
		if err := <-done; err != nil {
			h.runner.Logger.Warn("events not stored", "error", err)
		}
	}
	h.runner.Logger.Info("runs handed over", "service", h.service, "with_events", count)
}

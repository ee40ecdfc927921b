package runner

import (
	"context"
	"maps"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/state"
)

// updateBatches takes over new batches and drops those that are ended or whole.
func (s *heldService) updateBatches(snapshot *state.Snapshot, headers []batch.Header, now time.Time) {
	isOpen := make(map[gypsum.BatchID]bool, len(headers))
	for _, header := range headers {
		isOpen[header.ID] = true
		b := s.batches[header.ID]
		if b == nil {
			b = s.addBatch(snapshot, header)
		}
		if !b.loaded && !b.loading && !now.Before(b.retryAt) {
			s.loadItems(b)
		}
		s.failExpiredItems(snapshot, b, now)
	}
	for id, b := range s.batches {
		if !isOpen[id] {
			s.dropBatch(b, now)
		} else {
			s.dropTasksWithResult(b)
		}
	}
	maps.DeleteFunc(s.savedTexts, func(_ gypsum.ItemID, text *savedText) bool { return now.Sub(text.savedAt) > savedTextRetention })
}

// addBatch takes over a batch.
func (s *heldService) addBatch(snapshot *state.Snapshot, header batch.Header) *activeBatch {
	b := &activeBatch{
		header: header, versions: versionRule{min: header.MinVersion, single: header.SingleVersion},
		tokensPerEvent: max(1, snapshot.Config.Services[s.service].TokensPerEvent), tasks: make(map[gypsum.ItemID]*task),
	}
	s.batches[header.ID] = b
	return b
}

// failExpiredItems gives up the items of a batch whose route is gone or whose time is over.
func (s *heldService) failExpiredItems(snapshot *state.Snapshot, b *activeBatch, now time.Time) {
	routeGone := findRoute(snapshot.Config, b.header.Route) == nil
	if !routeGone && now.Before(b.header.ExpiresAt().Add(maxClockSkew)) {
		return
	}
	for _, task := range b.tasks {
		if task.phase == phaseWaiting || task.phase == phaseRunning {
			s.runner.Logger.Info("item given up", "batch", b.header.ID, "item", task.item.ID, "route_gone", routeGone)
			s.failItem(task)
		}
	}
}

// loadItems reads a batch's items, and the events of runs that an earlier holder stored.
func (s *heldService) loadItems(b *activeBatch) {
	b.loading = true
	header := b.header
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, ioTimeout)
		defer cancel()
		items, err := s.runner.Batches.Items(ctx, &header)
		var texts map[gypsum.ItemID]*savedText
		view, _ := s.runner.Batches.State.Snapshot(header.ID)
		if err == nil {
			texts = s.readCheckpoints(ctx, &view)
		}
		s.runner.post(s.ctx, func() {
			b.loading = false
			if err != nil {
				b.retryAt = time.Now().Add(ioRetryDelay)
				s.runner.Logger.Warn("items of a batch not read", "batch", header.ID, "error", err)
				return
			}
			b.loaded = true
			s.addTasks(b, items, &view, texts)
		})
	}()
}

// readCheckpoints reads the stored events of a batch's runs. If they cannot be read, the
// items are run from their beginning.
func (s *heldService) readCheckpoints(ctx context.Context, view *batch.Snapshot) map[gypsum.ItemID]*savedText {
	texts := make(map[gypsum.ItemID]*savedText, len(view.Checkpoints))
	stored, err := s.runner.Batches.CheckpointTexts(ctx, view.Header.ID, view.Checkpoints)
	if err != nil {
		s.runner.Logger.Warn("stored events not read", "batch", view.Header.ID, "error", err)
		return texts
	}
	for item, partial := range view.Checkpoints {
		texts[item] = &savedText{lastEvent: partial.LastEvent, text: string(stored[partial.Text.Key]), versions: partial.Versions}
	}
	return texts
}

// addTasks makes the tasks of a batch's items that have no result.
func (s *heldService) addTasks(b *activeBatch, items []gypsum.BatchItem, view *batch.Snapshot, texts map[gypsum.ItemID]*savedText) {
	demand := 0.0
	for i := range items {
		item := &items[i]
		demand += float64(max(item.ExpectedTokens, 1))
		if view.HasResult[item.ID] {
			continue
		}
		t := &task{batch: b, item: item, failures: view.Failures[item.ID].Failed, crashes: view.Failures[item.ID].Crashed}
		b.tasks[item.ID] = t
		s.resumeFromText(t, texts[item.ID], s.savedTexts[item.ID])
	}
	s.demand[b.header.Model] = demand
}

// resumeFromText lets a task go on from the longest text that its batch allows.
func (s *heldService) resumeFromText(t *task, texts ...*savedText) {
	var longest *savedText
	for _, text := range texts {
		if text != nil && t.batch.versions.allowsAll(text.versions) && (longest == nil || text.lastEvent > longest.lastEvent) {
			longest = text
		}
	}
	if longest == nil || longest.lastEvent == 0 {
		return
	}
	t.progress.restore(longest.lastEvent, longest.text, longest.versions)
	t.checkpointed = longest.lastEvent
	s.runner.Stats.ItemsResumed.Add(1)
	s.runner.Logger.Info("item resumed", "batch", t.batch.header.ID, "item", t.item.ID, "after", longest.lastEvent, "complete", longest.complete)
	if longest.complete {
		s.storeResult(t, gypsum.ItemCompleted)
	}
}

// dropBatch ends the runs of a batch and keeps their texts for the next step.
func (s *heldService) dropBatch(b *activeBatch, now time.Time) {
	for id, task := range b.tasks {
		if last, text, versions := task.progress.text(); last > 0 && task.phase != phaseDone {
			s.savedTexts[id] = &savedText{lastEvent: last, text: text, versions: versions, complete: task.phase == phaseStoring, savedAt: now}
		}
		s.dropTask(task)
	}
	delete(s.batches, b.header.ID)
	s.runner.Batches.DropItems(b.header.ID)
}

// dropTasksWithResult drops the tasks whose items have a result, also from another host.
func (s *heldService) dropTasksWithResult(b *activeBatch) {
	s.runner.Batches.State.WithProgress(b.header.ID, func(listed map[gypsum.ItemID]bool, _ bool) {
		for id, task := range b.tasks {
			if listed[id] {
				s.dropTask(task)
				delete(b.tasks, id)
			}
		}
	})
}

package runner

import (
	"context"
	"maps"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/state"
)

// followJobs takes over new batches and drops those that are ended or whole.
func (h *hold) followJobs(snapshot *state.Snapshot, open []batch.Header, now time.Time) {
	isOpen := make(map[gypsum.BatchID]bool, len(open))
	for _, header := range open {
		isOpen[header.ID] = true
		known := h.jobs[header.ID]
		if known == nil {
			known = h.addJob(snapshot, header)
		}
		if !known.loaded && !known.loading && !now.Before(known.again) {
			h.loadItems(known)
		}
		h.followRoute(snapshot, known, now)
	}
	for id, known := range h.jobs {
		if !isOpen[id] {
			h.dropJob(known, now)
		} else {
			h.dropListed(known)
		}
	}
	maps.DeleteFunc(h.finished, func(_ gypsum.ItemID, text *finished) bool { return now.Sub(text.at) > keepFinished })
}

// addJob takes over a batch.
func (h *hold) addJob(snapshot *state.Snapshot, header batch.Header) *job {
	made := &job{
		header: header, needs: needs{least: header.MinVersion, single: header.SingleVersion},
		stride: max(1, snapshot.Config.Services[h.service].TokensPerEvent), tasks: make(map[gypsum.ItemID]*task),
	}
	h.jobs[header.ID] = made
	return made
}

// followRoute gives up the items of a batch whose route is gone or whose time is over.
func (h *hold) followRoute(snapshot *state.Snapshot, known *job, now time.Time) {
	gone := routeOf(snapshot.Config, known.header.Route) == nil
	if !gone && now.Before(known.header.ExpiresAt().Add(clockSlack)) {
		return
	}
	for _, task := range known.tasks {
		if task.phase == phaseWaiting || task.phase == phaseRunning {
			h.runner.Logger.Info("item given up", "batch", known.header.ID, "item", task.item.ID, "route_gone", gone)
			h.giveUp(task)
		}
	}
}

// loadItems reads a batch's items, and the events of runs that an earlier holder stored.
func (h *hold) loadItems(known *job) {
	known.loading = true
	header := known.header
	go func() {
		ctx, cancel := context.WithTimeout(h.ctx, itemsTimeout)
		defer cancel()
		items, err := h.runner.Batches.Items(ctx, &header)
		var texts map[gypsum.ItemID]*finished
		view, _ := h.runner.Batches.State.Snapshot(header.ID)
		if err == nil {
			texts = h.readPartials(ctx, &view)
		}
		h.runner.post(h.ctx, func() {
			known.loading = false
			if err != nil {
				known.again = time.Now().Add(itemsPause)
				h.runner.Logger.Warn("items of a batch not read", "batch", header.ID, "error", err)
				return
			}
			known.loaded = true
			h.addTasks(known, items, &view, texts)
		})
	}()
}

// readPartials reads the stored events of a batch's runs. If they cannot be read, the
// items are run from their beginning.
func (h *hold) readPartials(ctx context.Context, view *batch.Snapshot) map[gypsum.ItemID]*finished {
	texts := make(map[gypsum.ItemID]*finished, len(view.Checkpoints))
	stored, err := h.runner.Batches.CheckpointTexts(ctx, view.Header.ID, view.Checkpoints)
	if err != nil {
		h.runner.Logger.Warn("stored events not read", "batch", view.Header.ID, "error", err)
		return texts
	}
	for item, partial := range view.Checkpoints {
		texts[item] = &finished{last: partial.LastEvent, text: string(stored[partial.Text.Key]), versions: partial.Versions}
	}
	return texts
}

// addTasks makes the tasks of a batch's items that have no result.
func (h *hold) addTasks(known *job, items []gypsum.BatchItem, view *batch.Snapshot, texts map[gypsum.ItemID]*finished) {
	demand := 0.0
	for i := range items {
		item := &items[i]
		demand += float64(max(item.ExpectedTokens, 1))
		if view.HasResult[item.ID] {
			continue
		}
		made := &task{job: known, item: item, failed: view.Failures[item.ID].Failed, crashed: view.Failures[item.ID].Crashed}
		known.tasks[item.ID] = made
		h.reuse(made, texts[item.ID], h.finished[item.ID])
	}
	h.demand[known.header.Model] = demand
}

// reuse lets a task go on from the longest text that its batch allows.
func (h *hold) reuse(made *task, texts ...*finished) {
	var best *finished
	for _, text := range texts {
		if text != nil && made.job.needs.allowAll(text.versions) && (best == nil || text.last > best.last) {
			best = text
		}
	}
	if best == nil || best.last == 0 {
		return
	}
	made.progress.resume(best.last, best.text, best.versions)
	made.saved = best.last
	h.runner.Stats.Resumed.Add(1)
	h.runner.Logger.Info("item resumed", "batch", made.job.header.ID, "item", made.item.ID, "after", best.last, "complete", best.complete)
	if best.complete {
		h.store(made, gypsum.ItemCompleted)
	}
}

// dropJob ends the runs of a batch and keeps their texts for the next step.
func (h *hold) dropJob(known *job, now time.Time) {
	for id, task := range known.tasks {
		if last, text, versions := task.progress.text(); last > 0 && task.phase != phaseDone {
			h.finished[id] = &finished{last: last, text: text, versions: versions, complete: task.phase == phaseStoring, at: now}
		}
		h.drop(task)
	}
	delete(h.jobs, known.header.ID)
	h.runner.Batches.DropItems(known.header.ID)
}

// dropListed drops the tasks whose items have a result, also from another host.
func (h *hold) dropListed(known *job) {
	h.runner.Batches.State.WithProgress(known.header.ID, func(listed map[gypsum.ItemID]bool, _ bool) {
		for id, task := range known.tasks {
			if listed[id] {
				h.drop(task)
				delete(known.tasks, id)
			}
		}
	})
}

package runner

import (
	"context"
	"maps"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/state"
)

// updateBatches adds new batches, drops batches that are no longer open and drops items
// that have a result.
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
		s.failExpiredItems(b, now)
	}
	for id, b := range s.batches {
		if !isOpen[id] {
			s.dropBatch(b, now)
		} else {
			s.dropItemsWithResult(b)
		}
	}
	maps.DeleteFunc(s.savedTexts, func(_ gypsum.ItemID, text *savedText) bool { return now.Sub(text.savedAt) > savedTextRetention })
}

// addBatch adds a batch whose items have yet to be read.
func (s *heldService) addBatch(snapshot *state.Snapshot, header batch.Header) *activeBatch {
	b := &activeBatch{
		header: header, addedAt: s.runner.Clock(), versions: versionRule{minVersion: header.MinVersion, singleVersion: header.SingleVersion},
		tokensPerEvent: max(1, snapshot.Config.Services[s.service].TokensPerEvent), items: make(map[gypsum.ItemID]*activeItem),
	}
	s.batches[header.ID] = b
	if snapshot.Config.FindRoute(header.Route) == nil {
		s.runner.Logger.Warn("batch on a route that the configuration in force lacks", "batch", header.ID, "route", header.Route,
			"origin", header.Origin, "revision", snapshot.Config.Revision)
	}
	return b
}

// isRouteRemoved reports whether the route of a batch has been removed. Another daemon may have
// accepted the batch by a newer configuration than the one in force here, which counts therefore
// only once it is known to have been current after the batch was accepted.
func (s *heldService) isRouteRemoved(b *activeBatch) bool {
	config, confirmedAt, confirmed := s.runner.Registry.ConfirmedConfig()
	return confirmed && confirmedAt >= b.addedAt && config.FindRoute(b.header.Route) == nil
}

// failExpiredItems fails the unfinished items of a batch that has expired or whose
// route has been removed.
func (s *heldService) failExpiredItems(b *activeBatch, now time.Time) {
	reason := reasonExpired
	switch {
	case s.isRouteRemoved(b):
		reason = reasonRouteRemoved
	case now.Before(b.header.ExpiresAt().Add(maxClockSkew)):
		return
	}
	for _, a := range b.items {
		if a.phase == phaseWaiting || a.phase == phaseRunning || a.phase == phaseScoring {
			s.failItem(a, reason)
		}
	}
}

// loadItems reads a batch's items and the checkpoints of earlier attempts from the store.
func (s *heldService) loadItems(b *activeBatch) {
	b.loading = true
	header := b.header
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, ioTimeout)
		defer cancel()
		items, err := s.runner.Batches.Items(ctx, &header)
		var texts map[gypsum.ItemID]*savedText
		batchState, _ := s.runner.Batches.State.Snapshot(header.ID)
		if err == nil {
			texts = s.readCheckpoints(ctx, &batchState)
		}
		s.runner.postUpdate(s.ctx, func() {
			b.loading = false
			if err != nil {
				b.retryAt = time.Now().Add(ioRetryDelay)
				s.runner.Logger.Warn("failed to read batch items", "batch", header.ID, "error", err)
				return
			}
			b.loaded = true
			s.addItems(b, items, &batchState, texts)
		})
	}()
}

// readCheckpoints reads the checkpoints of a batch's items. If they cannot be read, the
// items start from the beginning.
func (s *heldService) readCheckpoints(ctx context.Context, batchState *batch.Snapshot) map[gypsum.ItemID]*savedText {
	texts := make(map[gypsum.ItemID]*savedText, len(batchState.Checkpoints))
	stored, err := s.runner.Batches.CheckpointTexts(ctx, batchState.Header.ID, batchState.Checkpoints)
	if err != nil {
		s.runner.Logger.Warn("failed to read checkpoints; items start from the beginning", "batch", batchState.Header.ID, "error", err)
		return texts
	}
	for item, checkpoint := range batchState.Checkpoints {
		texts[item] = &savedText{lastEvent: checkpoint.LastEvent, text: string(stored[checkpoint.Text.Key]), versions: checkpoint.Versions, software: checkpoint.Software, completed: checkpoint.Complete}
		if checkpoint.Complete {
			texts[item].ref = &checkpoint.Text
		}
	}
	return texts
}

// addItems adds the items of a batch that have no result yet.
func (s *heldService) addItems(b *activeBatch, items []gypsum.BatchItem, batchState *batch.Snapshot, texts map[gypsum.ItemID]*savedText) {
	demand := 0.0
	for i := range items {
		item := &items[i]
		demand += float64(max(item.ExpectedTokens, 1))
		if batchState.HasResult[item.ID] {
			continue
		}
		a := &activeItem{batch: b, request: item, waitingSince: time.Now(), failures: batchState.Failures[item.ID].Failed, crashes: batchState.Failures[item.ID].Crashed, rewardCallsFailed: batchState.Failures[item.ID].RewardCallsFailed}
		b.items[item.ID] = a
		s.resumeFromText(a, texts[item.ID], s.savedTexts[item.ID])
	}
	s.expectedTokens[b.header.Model] = demand
}

// resumeFromText makes an item resume after the best of the texts that its batch's version
// rule allows: a complete one, otherwise the longest that a registered engine can continue.
func (s *heldService) resumeFromText(a *activeItem, texts ...*savedText) {
	var best *savedText
	for _, text := range texts {
		if text == nil || text.lastEvent == 0 || !a.batch.versions.allowsAll(text.versions) {
			continue
		}
		if !text.completed && (text.software == nil || !s.hasEngineOf(*text.software)) {
			continue
		}
		if best == nil || (text.completed && !best.completed) || (text.completed == best.completed && text.lastEvent > best.lastEvent) {
			best = text
		}
	}
	if best == nil {
		return
	}
	a.progress.restore(best)
	a.checkpointedEvent = best.lastEvent
	s.runner.Stats.ItemsResumed.Add(1)
	s.runner.Logger.Info("item resumed", "batch", a.batch.header.ID, "item", a.request.ID, "after", best.lastEvent, "software", best.softwareName(), "complete", best.completed)
	if best.completed {
		s.completeText(a, best.ref, time.Now())
	}
}

// hasEngineOf reports whether an engine of a software version is registered and not leaving.
func (s *heldService) hasEngineOf(software gypsum.SoftwareVersion) bool {
	for _, e := range s.engines {
		if !e.isLeaving() && e.replica.Software == software {
			return true
		}
	}
	return false
}

// dropBatch cancels the attempts of a batch and saves their texts for batches of the
// next step.
func (s *heldService) dropBatch(b *activeBatch, now time.Time) {
	for id, a := range b.items {
		if saved := a.progress.text(); saved.lastEvent > 0 && a.phase != phaseDone {
			saved.completed, saved.savedAt = a.phase == phaseStoring || a.phase == phaseScoring, now
			s.savedTexts[id] = &saved
		}
		s.dropItem(a)
	}
	delete(s.batches, b.header.ID)
	s.runner.Batches.EvictItems(b.header.ID)
}

// dropItemsWithResult drops the items that have a result, which may come from another
// daemon.
func (s *heldService) dropItemsWithResult(b *activeBatch) {
	s.runner.Batches.State.VisitProgress(b.header.ID, func(hasResult map[gypsum.ItemID]bool, _ bool) {
		for id, a := range b.items {
			if hasResult[id] {
				s.dropItem(a)
				delete(b.items, id)
			}
		}
	})
}

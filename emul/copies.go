package emul

import (
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/sched"
)

// newCopyPolicy returns a decision that runs a second copy of the last texts of a batch, once at
// most a number of them are in progress and none waits: on the fastest free engine, if the text
// still needs minCopyTime.
func newCopyPolicy(maxTexts int) func([]sched.Attempt, []*sched.Engine, map[gypsum.BatchID]int) []sched.Placement {
	return func(attempts []sched.Attempt, engines []*sched.Engine, unfinished map[gypsum.BatchID]int) []sched.Placement {
		var copies []sched.Placement
		for _, attempt := range attempts {
			if unfinished[attempt.Item.Batch] > maxTexts {
				continue
			}
			item := *attempt.Item
			item.AvoidedEngine = attempt.Engine
			if placements := sched.ScheduleItems([]sched.Item{item}, engines, epoch); len(placements) > 0 {
				copies = append(copies, sched.Placement{Item: attempt.Item, Engine: placements[0].Engine})
			}
		}
		return copies
	}
}

// minCopyTime is the least remaining time of a text that gets a copy.
const minCopyTime = time.Second

// copyTexts starts second copies of texts as the policy decides. A copy resumes after the last
// event; the first of the two to end gives the result.
func (s *sim) copyTexts(views []*sched.Engine) {
	if s.policy.Copy == nil {
		return
	}
	for _, e := range s.engines {
		e.view.Running = len(e.running) // The moves of this round have been carried out.
	}
	var attempts []sched.Attempt
	byID := make(map[gypsum.ItemID]*item)
	unfinished := make(map[gypsum.BatchID]int)
	for _, b := range s.open {
		for _, it := range b.items {
			if it.phase == itemWaiting || it.phase == itemRunning {
				unfinished[b.id]++
			}
			if it.phase != itemRunning || it.copy != nil {
				continue
			}
			view := s.schedItem(it)
			if time.Duration(view.RemainingEvents)*s.scenario.Engines.EventTime >= minCopyTime {
				attempts = append(attempts, sched.Attempt{Item: &view, Engine: it.engine.view.ID, RemainingEvents: view.RemainingEvents})
				byID[it.id] = it
			}
		}
	}
	for _, placement := range s.policy.Copy(attempts, views, unfinished) {
		it := byID[placement.Item.ID]
		it.copy = &item{batch: it.batch, id: it.id, group: it.group, length: it.length, hint: it.hint, generated: it.generated, original: it}
		s.start(it.copy, s.byID[placement.Engine])
		s.result.Copies++
	}
}

// dropCopy ends the copy of an item, if it has one.
func (s *sim) dropCopy(it *item) {
	if it.copy == nil {
		return
	}
	e := it.copy.engine
	s.advance(e)
	s.abortAttempt(it.copy)
	it.copy = nil
	s.planCompletion(e)
}

// finishAttempt handles the end of an attempt whose text is complete: the other attempt at the item
// ends too.
func (s *sim) finishAttempt(it *item) {
	s.stopAttempt(it)
	if it.original == nil {
		s.dropCopy(it)
		s.completeText(it)
		return
	}
	original := it.original
	original.copy = nil
	if original.phase != itemRunning {
		return
	}
	e := original.engine
	s.advance(e)
	s.abortAttempt(original)
	s.planCompletion(e)
	original.generated = original.length
	s.result.CopiesFirst++
	s.completeText(original)
}

// loseAttempt ends an attempt that its engine lost. An item with a copy continues as the copy.
func (s *sim) loseAttempt(it *item) {
	s.abortAttempt(it)
	switch {
	case it.original != nil:
		it.original.copy = nil
	case it.copy != nil:
		surviving, e := it.copy, it.copy.engine
		it.copy = nil
		it.generated, it.phase, it.engine, it.avoided = surviving.generated, itemRunning, e, ""
		it.startedAt, it.firstEventAt, it.eventsSeen, it.lastEventAt = surviving.startedAt, surviving.firstEventAt, surviving.eventsSeen, surviving.lastEventAt
		e.running[slices.Index(e.running, surviving)] = it
	}
}

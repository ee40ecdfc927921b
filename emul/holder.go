package emul

import (
	"slices"
	"strconv"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/sched"
)

// round makes one round of decisions, as the holder of an engine service does.
func (s *sim) round() {
	if s.now < s.holderLostUntil {
		return
	}
	s.result.Rounds++
	views := make([]*sched.Engine, 0, len(s.engines))
	for _, e := range s.engines {
		s.advance(e)
		e.timer.Update(epoch.Add(s.now))
		if measured := e.timer.EventTime(); measured > 0 {
			e.view.IdleEventTime = measured
		}
		if ended := e.pace.Update(epoch.Add(s.now), &e.timer); ended > 0 {
			s.periods.Add(ended)
		}
		e.pace.Describe(e.view, epoch.Add(s.now))
		e.view.Unusable = s.now < e.unusable
		if e.view.RateLimited = e.rateLimit > 0; e.view.RateLimited {
			e.view.StartsLeft = s.budgets.Available(&gypsum.Replica{ID: e.view.ID}, e.rateLimit, epoch.Add(s.now))
		}
		e.view.PendingLoad = ""
		if model, ok := s.assigned[e.view.ID]; ok && e.view.Versions[model] < s.latest(model) {
			e.view.PendingLoad = model
		}
		views = append(views, e.view)
	}
	s.checkpoint()
	s.startItems(views)
	s.moveItems(views)
	s.copyTexts(views)
	s.sendRewards()
	s.loadWeights(views)
	for _, e := range s.engines {
		e.view.Running = len(e.running)
		if e.changed {
			s.planCompletion(e)
		}
	}
}

// latest returns the newest announced version of a model.
func (s *sim) latest(model gypsum.EngineModel) gypsum.WeightVersion {
	for _, t := range s.trainers {
		if t.model == model {
			return t.latest
		}
	}
	return 0
}

// checkpoint saves the progress of the attempts whose last checkpoint is old.
func (s *sim) checkpoint() {
	for _, e := range s.engines {
		for _, it := range e.running {
			if s.storeUp && s.now-max(it.checkpointedAt, it.firstStart) >= s.scenario.Holder.CheckpointInterval {
				it.checkpointed, it.checkpointedAt = it.generated, s.now
			}
		}
	}
}

// minVersion returns the oldest version that may generate texts of a step.
func (b *batch) minVersion() gypsum.WeightVersion {
	return max(1, gypsum.WeightVersion(b.step-1))
}

// schedItem returns the scheduler's view of an item.
func (s *sim) schedItem(it *item) sched.Item {
	expected := it.hint
	if s.policy.KnowsLengths {
		expected = int(it.length)
	}
	remaining := sched.RemainingEvents(expected, int(it.generated))
	if s.policy.KnowsLengths {
		remaining = max(1, expected-int(it.generated))
	}
	return sched.Item{
		Batch: it.batch.id, ID: it.id, Group: gypsum.GroupID(strconv.Itoa(it.group)), Model: it.batch.trainer.model, MinVersion: it.batch.minVersion(),
		DueAt: epoch.Add(it.batch.submittedAt + it.batch.trainer.spec.Due), RemainingEvents: remaining, ScoringTime: s.scenario.Scoring.Time, AvoidedEngine: it.avoided,
	}
}

// startItems starts the waiting items that the policy places.
func (s *sim) startItems(views []*sched.Engine) {
	var waiting []sched.Item
	byID := make(map[gypsum.ItemID]*item)
	for _, b := range s.open {
		for _, it := range b.items {
			if it.phase == itemWaiting {
				waiting = append(waiting, s.schedItem(it))
				byID[it.id] = it
			}
		}
	}
	if len(waiting) == 0 {
		return
	}
	for _, placement := range s.policy.Place(waiting, views, epoch.Add(s.now)) {
		s.start(byID[placement.Item.ID], s.byID[placement.Engine])
	}
}

// start starts an attempt at an item.
func (s *sim) start(it *item, e *engine) {
	if version := e.view.Versions[it.batch.trainer.model]; version < it.batch.minVersion() {
		s.result.Violations = append(s.result.Violations, "item "+string(it.id)+" started under an old version")
	}
	if len(e.running) >= s.scenario.Engines.Slots {
		s.result.Violations = append(s.result.Violations, "engine "+string(e.view.ID)+" has more attempts than slots")
	}
	s.checkRate(e)
	it.phase, it.engine, it.avoided, it.firstEventAt = itemRunning, e, "", s.now+s.scenario.Engines.StartTime
	it.startedAt, it.eventsSeen, it.lastEventAt = s.now, int(it.generated), 0
	if it.firstStart == 0 {
		it.firstStart = s.now
	}
	e.running, e.changed = append(e.running, it), true
	s.result.Attempts++
}

// The users' bound of the request rate of an engine that limits it: one and a half times the
// limit within limitWindow, and limitSlack more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// checkRate counts an attempt on an engine that limits its request rate.
func (s *sim) checkRate(e *engine) {
	if e.rateLimit == 0 {
		return
	}
	s.budgets.Charge(&gypsum.Replica{ID: e.view.ID}, e.rateLimit, epoch.Add(s.now))
	e.starts = append(e.starts, s.now)
	e.starts = slices.DeleteFunc(e.starts, func(at time.Duration) bool { return s.now-at >= limitWindow })
	if float64(len(e.starts)) > limitFactor*float64(e.rateLimit)*limitWindow.Seconds()+limitSlack {
		s.result.Violations = append(s.result.Violations, "engine "+string(e.view.ID)+" got more requests than its limit")
	}
}

// moveItems moves the attempts that the policy moves.
func (s *sim) moveItems(views []*sched.Engine) {
	var attempts []sched.Attempt
	byID := make(map[gypsum.ItemID]*item)
	for _, e := range s.engines {
		for _, it := range e.running {
			if it.copy != nil || it.original != nil {
				continue
			}
			view := s.schedItem(it)
			attempts = append(attempts, sched.Attempt{Item: &view, Engine: e.view.ID, RemainingEvents: view.RemainingEvents})
			byID[it.id] = it
		}
	}
	for _, move := range s.policy.Move(attempts, views, s.scenario.Engines.StartTime, &s.periods) {
		it := byID[move.Item.ID]
		s.abortAttempt(it)
		s.start(it, s.byID[move.Engine])
		s.result.Moves++
	}
}

// sendRewards sends the reward calls that the scheduler selects.
func (s *sim) sendRewards() {
	if len(s.rewards) == 0 {
		return
	}
	var calls []sched.RewardCall
	byID := make(map[gypsum.ItemID]*item)
	for _, b := range s.open {
		texts, scores := make([]int, len(b.missing)), make([]int, len(b.missing))
		for _, it := range b.items {
			switch it.phase {
			case itemWaiting, itemRunning:
				texts[it.group]++
			case itemScoring:
				scores[it.group]++
			}
		}
		for _, it := range b.items {
			if it.phase == itemScoring && !it.scoringSent {
				calls = append(calls, sched.RewardCall{
					Batch: b.id, Item: it.id, DueAt: epoch.Add(b.submittedAt + b.trainer.spec.Due), CompletedAt: epoch.Add(it.completedAt),
					MissingTexts: texts[it.group], MissingScores: scores[it.group],
				})
				byID[it.id] = it
			}
		}
	}
	inFlight := make(map[gypsum.BackendID]int, len(s.rewards))
	for _, replica := range s.rewards {
		inFlight[replica.ID] = replica.InFlight
	}
	for _, placement := range sched.ScheduleRewards(calls, s.rewards) {
		it, id := byID[placement.Call.Item], placement.Replica
		it.scoringSent = true
		inFlight[id]++
		s.after(s.scenario.Scoring.Time, func() {
			for _, replica := range s.rewards {
				if replica.ID == id {
					replica.InFlight = max(0, replica.InFlight-1)
				}
			}
			if it.phase == itemScoring && it.scoringSent {
				s.storeResult(it)
			}
			s.planRound()
		})
	}
	for _, replica := range s.rewards {
		replica.InFlight = inFlight[replica.ID]
	}
}

// loadWeights sends the load orders that the scheduler decides on.
func (s *sim) loadWeights(views []*sched.Engine) {
	models := make([]sched.ModelDemand, 0, len(s.trainers))
	for _, t := range s.trainers {
		demand := t.spec.MedianEvents * float64(t.spec.Groups*t.spec.GroupSize)
		models = append(models, sched.ModelDemand{Model: t.model, Latest: t.latest, Demand: demand, Items: t.spec.Groups * t.spec.GroupSize})
	}
	s.assigned = sched.AssignModels(models, views, s.assigned)
	busy := func(id gypsum.BackendID, model gypsum.EngineModel) bool {
		for _, it := range s.byID[id].running {
			if it.batch.trainer.model == model && s.now < it.firstEventAt {
				return true
			}
		}
		return false
	}
	for _, order := range sched.ScheduleLoads(models, views, s.assigned, busy) {
		e := s.byID[order.Engine]
		e.view.Loading = order.Model
		s.result.Loads++
		s.after(s.scenario.Engines.LoadTime+s.scenario.Engines.ReportLag, func() {
			e.view.Loading = ""
			e.view.Versions[order.Model] = order.Version
			s.planRound()
		})
	}
}

// summarize computes the result.
func (s *sim) summarize() {
	for _, t := range s.trainers {
		due := int((s.scenario.Duration - t.spec.Due) / t.spec.Interval)
		s.result.GroupsOwed += max(0, due) * t.spec.neededGroups()
		for _, b := range t.batches {
			s.summarizeBatch(b, due)
		}
	}
}

// readSlack is how long after they are due results may be read.
const readSlack = 700 * time.Millisecond

// summarizeBatch adds a batch to the result. Batches from step due on cannot be complete by the
// end of the run.
func (s *sim) summarizeBatch(b *batch, due int) {
	spec := b.trainer.spec
	if b.step < due {
		met := 0
		for _, at := range b.groupWholeAt {
			if at != 0 && at+spec.LinkTime <= b.submittedAt+spec.Due+readSlack {
				met++
			}
		}
		s.result.GroupsMet += min(met, spec.neededGroups())
	}
	if !b.ended {
		return
	}
	last := b.lastNeeded()
	s.result.Steps = append(s.result.Steps, Step{
		Trainer: b.trainer.index, Step: b.step, Total: b.endedAt - b.submittedAt,
		Waiting: last.firstStart - b.submittedAt, Generation: last.completedAt - last.firstStart, Storing: last.storedAt - last.completedAt,
		Reading: b.readAt - last.storedAt, Ending: b.endedAt - b.readAt, Length: int(last.length),
	})
}

// lastNeeded returns the item whose result completed the step.
func (b *batch) lastNeeded() *item {
	for _, it := range b.stored {
		if it.storedAt == b.sufficientAt {
			return it
		}
	}
	return b.items[0]
}

// Package sched decides which item of a batch starts next, on which engine, when a
// run moves to another engine, and which engines load which weights. All of it is
// plain functions of what is known; nothing here waits, calls or logs.
package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
)

// SlowdownPerAttempt is how much one more run slows each step of an engine, as a part
// of a step: 0.0252 ms to 0.723 ms in the users' description of their engines.
const SlowdownPerAttempt = 0.035

// Engine is what is known of an engine.
type Engine struct {
	ID       gypsum.BackendID
	Slots    int
	Running  int
	Versions map[gypsum.EngineModel]gypsum.WeightVersion
	// Loading is the model whose weights the engine loads, empty for none; Behind is the
	// model whose next version it is to load, empty for none.
	Loading     gypsum.EngineModel
	PendingLoad gypsum.EngineModel
	// IdleEventTime is the time of one event on the otherwise idle engine.
	IdleEventTime time.Duration
	// FailureRate is the part of its runs, 0 to 1, that the engine is expected to fail.
	FailureRate float64
	// Unavailable means that nothing may be started there.
	Unavailable bool
}

// eventTime is the expected time of an event with a number of runs.
func (e *Engine) eventTime(attempts int) time.Duration {
	return time.Duration(float64(e.IdleEventTime) * (1 + SlowdownPerAttempt*float64(attempts)))
}

// avoidFailureRate is the part that an engine fails from which an item that failed before waits
// for another: one failure lately.
const avoidFailureRate = 0.15

// avoidedBy tells whether an item is better off on any other engine.
func (e *Engine) avoidedBy(item *Item) bool {
	return e.ID == item.AvoidedEngine || (item.Failures > 0 && e.FailureRate >= avoidFailureRate)
}

// serves tells whether an engine has weights that an item allows.
func (e *Engine) serves(item *Item) bool {
	version, ok := e.Versions[item.Model]
	return ok && version >= item.MinVersion
}

// Item is an item that waits to start.
type Item struct {
	Batch      gypsum.BatchID
	ID         gypsum.ItemID
	Model      gypsum.EngineModel
	MinVersion gypsum.WeightVersion
	Due        time.Time
	// RemainingEvents is the expected number of events still to come.
	RemainingEvents int
	// SingleVersion means that one version must make the whole text, so that a load has to
	// wait for the run.
	SingleVersion bool
	// AvoidedEngine is an engine on which the item failed, empty for none.
	AvoidedEngine gypsum.BackendID
	// Failures is how often an engine said that the item failed. An item has few attempts.
	Failures int
}

// Placement is a decision to start an item on an engine.
type Placement struct {
	Item   *Item
	Engine gypsum.BackendID
	// Attempts is the number of runs on the engine before, Due the time left.
	Attempts int
}

// ScheduleItems decides which of the items start now. Load: a step's items arrive
// together and are more than the free slots; a few are several times longer than
// the rest and decide when the step is whole. So the item whose due time leaves it
// the least slack goes first, and each goes to the engine on which it is expected
// to end first. Engines' Running counts are raised by the starts.
func ScheduleItems(items []Item, engines []*Engine, now time.Time) []Placement {
	eventTime := medianIdleEventTime(engines)
	order := make([]*Item, 0, len(items))
	for i := range items {
		order = append(order, &items[i])
	}
	slack := func(item *Item) time.Duration {
		return item.Due.Sub(now) - time.Duration(item.RemainingEvents)*eventTime
	}
	slices.SortStableFunc(order, func(a, b *Item) int { return cmp.Compare(slack(a), slack(b)) })
	var placements []Placement
	selector := newEngineSelector(engines)
	for _, item := range order {
		if (item.AvoidedEngine != "" || item.Failures > 0) && !hasAlternative(item, engines) {
			item.AvoidedEngine, item.Failures = "", 0
		}
		if engine := selector.fastest(item); engine != nil {
			placements = append(placements, Placement{Item: item, Engine: engine.ID, Attempts: engine.Running})
			engine.Running++
		}
	}
	return placements
}

// hasAlternative tells whether an engine that an item does not shun will be able to start
// it, now or when it has room.
func hasAlternative(item *Item, engines []*Engine) bool {
	return slices.ContainsFunc(engines, func(engine *Engine) bool {
		return !engine.avoidedBy(item) && !engine.Unavailable && engine.serves(item)
	})
}

// maxFailureRate bounds the part that an engine is expected to fail, so that one that
// fails all still gets the items that no other engine may start.
const maxFailureRate = 0.95

// expectedEventTime returns the expected time of an event of one more run, with the runs that
// the engine fails and that are then made again.
func (e *Engine) expectedEventTime() time.Duration {
	return time.Duration(float64(e.eventTime(e.Running+1)) / (1 - min(e.FailureRate, maxFailureRate)))
}

// medianIdleEventTime returns the median pace of the engines.
func medianIdleEventTime(engines []*Engine) time.Duration {
	eventTimes := make([]time.Duration, 0, len(engines))
	for _, engine := range engines {
		if engine.IdleEventTime > 0 {
			eventTimes = append(eventTimes, engine.IdleEventTime)
		}
	}
	if len(eventTimes) == 0 {
		return 0
	}
	slices.Sort(eventTimes)
	return eventTimes[len(eventTimes)/2]
}

// Attempt is an item that runs.
type Attempt struct {
	Item   *Item
	Engine gypsum.BackendID
	// RemainingEvents is the expected number of events still to come.
	RemainingEvents int
}

// Limits of moves.
const (
	// minMoveSpeedup is how many times faster the other engine must be.
	minMoveSpeedup = 1.6
	// moveOverhead is what a move costs: a round trip between regions, reading the
	// prompt and the text again, and the first event.
	moveOverhead = 250 * time.Millisecond
	// maxMovesPerRound bounds the moves of one decision, so that what they do to the
	// other engines is seen before the next.
	maxMovesPerRound = 8
)

// ScheduleMoves decides which runs go on at another engine. Load: one engine turns several
// times slower while it holds a share of each step, and the step waits for its
// longest item there. A run moves if it is expected to end there much later than
// elsewhere, the longest first.
func ScheduleMoves(attempts []Attempt, engines []*Engine) []Placement {
	byID := make(map[gypsum.BackendID]*Engine, len(engines))
	for _, engine := range engines {
		byID[engine.ID] = engine
	}
	order := slices.Clone(attempts)
	slices.SortStableFunc(order, func(a, b Attempt) int { return cmp.Compare(b.RemainingEvents, a.RemainingEvents) })
	var moves []Placement
	selector := newEngineSelector(engines)
	for _, attempt := range order {
		current, ok := byID[attempt.Engine]
		if !ok || len(moves) == maxMovesPerRound {
			continue
		}
		stayTime := time.Duration(attempt.RemainingEvents) * current.eventTime(current.Running)
		if float64(stayTime) <= minMoveSpeedup*float64(moveOverhead) {
			continue
		}
		item := *attempt.Item
		item.AvoidedEngine = attempt.Engine
		target := selector.fastest(&item)
		if target == nil {
			continue
		}
		moveTime := time.Duration(attempt.RemainingEvents)*target.eventTime(target.Running+1) + moveOverhead
		if float64(stayTime) > minMoveSpeedup*float64(moveTime) {
			moves = append(moves, Placement{Item: attempt.Item, Engine: target.ID, Attempts: target.Running})
			target.Running++
			current.Running--
			selector = newEngineSelector(engines) // an engine has become cheaper
		}
	}
	return moves
}

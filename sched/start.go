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

// SlowdownPerRun is how much one more run slows each step of an engine, as a part
// of a step: 0.0252 ms to 0.723 ms in the users' description of their engines.
const SlowdownPerRun = 0.035

// Engine is what is known of an engine.
type Engine struct {
	ID       gypsum.BackendID
	Slots    int
	Running  int
	Versions map[gypsum.EngineModel]gypsum.WeightVersion
	// Loading is the model whose weights the engine loads, empty for none; Behind is the
	// model whose next version it is to load, empty for none.
	Loading gypsum.EngineModel
	Behind  gypsum.EngineModel
	// Pace is the time of one event on the otherwise idle engine.
	Pace time.Duration
	// Failing is the part of its runs, 0 to 1, that the engine is expected to fail.
	Failing float64
	// Closed means that nothing may be started there.
	Closed bool
}

// eventTime is the expected time of an event with a number of runs.
func (e *Engine) eventTime(runs int) time.Duration {
	return time.Duration(float64(e.Pace) * (1 + SlowdownPerRun*float64(runs)))
}

// shunFrom is the part that an engine fails from which an item that failed before waits
// for another: one failure lately.
const shunFrom = 0.15

// shunned tells whether an item is better off on any other engine.
func (e *Engine) shunned(item *Item) bool {
	return e.ID == item.Avoid || (item.Failed > 0 && e.Failing >= shunFrom)
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
	// Left is the expected number of events still to come.
	Left int
	// Single means that one version must make the whole text, so that a load has to
	// wait for the run.
	Single bool
	// Avoid is an engine on which the item failed, empty for none.
	Avoid gypsum.BackendID
	// Failed is how often an engine said that the item failed. An item has few attempts.
	Failed int
}

// Start is a decision to start an item on an engine.
type Start struct {
	Item   *Item
	Engine gypsum.BackendID
	// Runs is the number of runs on the engine before, Due the time left.
	Runs int
}

// Starts decides which of the items start now. Load: a step's items arrive
// together and are more than the free slots; a few are several times longer than
// the rest and decide when the step is whole. So the item whose due time leaves it
// the least slack goes first, and each goes to the engine on which it is expected
// to end first. Engines' Running counts are raised by the starts.
func Starts(items []Item, engines []*Engine, now time.Time) []Start {
	pace := medianPace(engines)
	order := make([]*Item, 0, len(items))
	for i := range items {
		order = append(order, &items[i])
	}
	slack := func(item *Item) time.Duration { return item.Due.Sub(now) - time.Duration(item.Left)*pace }
	slices.SortStableFunc(order, func(a, b *Item) int { return cmp.Compare(slack(a), slack(b)) })
	var starts []Start
	open := newPools(engines)
	for _, item := range order {
		if (item.Avoid != "" || item.Failed > 0) && !elsewhere(item, engines) {
			item.Avoid, item.Failed = "", 0
		}
		if best := open.quickest(item); best != nil {
			starts = append(starts, Start{Item: item, Engine: best.ID, Runs: best.Running})
			best.Running++
		}
	}
	return starts
}

// elsewhere tells whether an engine that an item does not shun will be able to start
// it, now or when it has room.
func elsewhere(item *Item, engines []*Engine) bool {
	return slices.ContainsFunc(engines, func(engine *Engine) bool {
		return !engine.shunned(item) && !engine.Closed && engine.serves(item)
	})
}

// mostFailing bounds the part that an engine is expected to fail, so that one that
// fails all still gets the items that no other engine may start.
const mostFailing = 0.95

// costTime returns the expected time of an event of one more run, with the runs that
// the engine fails and that are then made again.
func (e *Engine) costTime() time.Duration {
	return time.Duration(float64(e.eventTime(e.Running+1)) / (1 - min(e.Failing, mostFailing)))
}

// medianPace returns the median pace of the engines.
func medianPace(engines []*Engine) time.Duration {
	paces := make([]time.Duration, 0, len(engines))
	for _, engine := range engines {
		if engine.Pace > 0 {
			paces = append(paces, engine.Pace)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}

// Run is an item that runs.
type Run struct {
	Item   *Item
	Engine gypsum.BackendID
	// Left is the expected number of events still to come.
	Left int
}

// Limits of moves.
const (
	// moveGain is how many times faster the other engine must be.
	moveGain = 1.6
	// moveCost is what a move costs: a round trip between regions, reading the
	// prompt and the text again, and the first event.
	moveCost = 250 * time.Millisecond
	// movesAtOnce bounds the moves of one decision, so that what they do to the
	// other engines is seen before the next.
	movesAtOnce = 8
)

// Moves decides which runs go on at another engine. Load: one engine turns several
// times slower while it holds a share of each step, and the step waits for its
// longest item there. A run moves if it is expected to end there much later than
// elsewhere, the longest first.
func Moves(runs []Run, engines []*Engine) []Start {
	byID := make(map[gypsum.BackendID]*Engine, len(engines))
	for _, engine := range engines {
		byID[engine.ID] = engine
	}
	order := slices.Clone(runs)
	slices.SortStableFunc(order, func(a, b Run) int { return cmp.Compare(b.Left, a.Left) })
	var moves []Start
	open := newPools(engines)
	for _, run := range order {
		here, ok := byID[run.Engine]
		if !ok || len(moves) == movesAtOnce {
			continue
		}
		stay := time.Duration(run.Left) * here.eventTime(here.Running)
		if float64(stay) <= moveGain*float64(moveCost) {
			continue
		}
		item := *run.Item
		item.Avoid = run.Engine
		there := open.quickest(&item)
		if there == nil {
			continue
		}
		leave := time.Duration(run.Left)*there.eventTime(there.Running+1) + moveCost
		if float64(stay) > moveGain*float64(leave) {
			moves = append(moves, Start{Item: run.Item, Engine: there.ID, Runs: there.Running})
			there.Running++
			here.Running--
			open = newPools(engines) // an engine has become cheaper
		}
	}
	return moves
}

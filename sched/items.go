// Package sched makes the scheduling decisions for batches: which item starts next
// and on which engine, which attempts move to another engine, and which engines load
// which weights. Decisions depend on the arguments only; some functions update these as
// documented. Nothing here blocks, does I/O or logs.
package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
)

// SlowdownPerAttempt is the relative slowdown of each decoding step of an engine by
// one more concurrent attempt: 0.0252 ms on a step of 0.723 ms, according to the
// engines' specification.
const SlowdownPerAttempt = 0.035

// Engine is the scheduler's view of an engine.
type Engine struct {
	ID       gypsum.BackendID
	Slots    int
	Running  int // attempts in progress
	Versions map[gypsum.EngineModel]gypsum.WeightVersion
	// Loading is the model whose weights the engine is loading, empty for none.
	Loading gypsum.EngineModel
	// PendingLoad is the model of which the engine has yet to load a newer version,
	// empty for none.
	PendingLoad gypsum.EngineModel
	// IdleEventTime is the time per event on the otherwise idle engine.
	IdleEventTime time.Duration
	// UsualEventTime is the same outside of slow periods, 0 if it is not known. SlowFor is the age of
	// the engine's current slow period, 0 outside of one, and SlowEventTime the time per event in it.
	UsualEventTime time.Duration
	SlowFor        time.Duration
	SlowEventTime  time.Duration
	// FailureRate is the expected fraction of failing attempts, from 0 to 1.
	FailureRate float64
	// Software is the version of the engine's software.
	Software gypsum.SoftwareVersion
	// Leaving means that the engine gets no work any more.
	Leaving bool
	// Unusable means that no attempt and no load may be started on the engine.
	Unusable bool
	// RateLimited means that the engine limits the rate of its requests. StartsLeft is the
	// number of attempts that may start now if it does.
	RateLimited bool
	StartsLeft  int
}

// acceptsAttempt reports whether the engine has a free slot and accepts another request.
func (e *Engine) acceptsAttempt() bool {
	return !e.Unusable && e.Running < e.Slots && (!e.RateLimited || e.StartsLeft > 0)
}

// CanStart reports whether the engine can start an item now.
func (e *Engine) CanStart(item *Item) bool {
	return e.canServe(item) && e.Loading != item.Model && e.acceptsAttempt() && e.ID != item.AvoidedEngine
}

// AddAttempt counts one more attempt on the engine.
func (e *Engine) AddAttempt() {
	e.Running++
	if e.RateLimited {
		e.StartsLeft--
	}
}

// eventTime returns the expected time per event with a number of concurrent attempts.
func (e *Engine) eventTime(attempts int) time.Duration {
	return time.Duration(float64(e.IdleEventTime) * (1 + SlowdownPerAttempt*float64(attempts)))
}

// avoidFailureRate is the failure rate from which an engine is avoided by items that
// have failed before. A single recent failure exceeds it.
const avoidFailureRate = 0.15

// isAvoidedBy reports whether an item should wait for another engine.
func (e *Engine) isAvoidedBy(item *Item) bool {
	return e.ID == item.AvoidedEngine || (item.Failures > 0 && e.FailureRate >= avoidFailureRate)
}

// hasWeightsFor reports whether the engine has loaded weights that the item accepts.
func (e *Engine) hasWeightsFor(item *Item) bool {
	version, ok := e.Versions[item.Model]
	return ok && version >= item.MinVersion
}

// canServe reports whether the engine has loaded weights that the item accepts and can
// continue its text.
func (e *Engine) canServe(item *Item) bool {
	return e.hasWeightsFor(item) && (item.GeneratedEvents == 0 || e.Software == item.Software)
}

// Item is an item that is waiting to start.
type Item struct {
	Batch      gypsum.BatchID
	ID         gypsum.ItemID
	Group      gypsum.GroupID
	Model      gypsum.EngineModel
	MinVersion gypsum.WeightVersion
	DueAt      time.Time
	// RemainingEvents is the expected number of events still to be generated.
	RemainingEvents int
	// GeneratedEvents is the number of events of the text so far, Software the version of the
	// engines' software that generated them. Only engines of the same version can continue
	// the text.
	GeneratedEvents int
	Software        gypsum.SoftwareVersion
	// ScoringTime is the expected time from the complete text to the score, 0 without a
	// scorer.
	ScoringTime time.Duration
	// SingleVersion means that one weight version must generate the whole text, so
	// that a load on the engine has to wait for the attempt to end.
	SingleVersion bool
	// AvoidedEngine is the engine on which the item failed last, empty for none.
	AvoidedEngine gypsum.BackendID
	// Failures is the number of attempts that engines reported as failed. It counts
	// towards the few attempts that an item has.
	Failures int
}

// RemainingEvents returns the expected number of events still to be generated, from the
// expected number of all events and the number generated so far. An item close to or past
// its estimate is expected to produce at least half as many events again as so far, since
// long items are underestimated the most.
func RemainingEvents(expected, generated int) int {
	return max(expected-generated, generated/2, 1)
}

// RestartsText decides whether an item whose text only engines of one software version can
// continue is generated again from the first event. While the engines' software is replaced,
// few engines of a version may be left. The text is given up once none remains, or after a wait
// of the time that generating it again takes: together, the wait and the restart then take at
// most twice as long as the better of the two. It is kept as long as no other engine could start
// the item.
func RestartsText(item *Item, waited time.Duration, engines []*Engine) bool {
	if item.GeneratedEvents == 0 {
		return false
	}
	sameRemains, otherIsFree := false, false
	for _, engine := range engines {
		if engine.Software == item.Software {
			sameRemains = sameRemains || !engine.Leaving
		} else {
			otherIsFree = otherIsFree || (engine.hasWeightsFor(item) && engine.Loading != item.Model && engine.acceptsAttempt())
		}
	}
	return otherIsFree && (!sameRemains || waited >= time.Duration(item.GeneratedEvents)*medianIdleEventTime(engines))
}

// Bounds of the delay after engines crashed under an item. undelayedCrashes is the number of
// crashes without a delay: during a burst of crashes, one item can meet several.
const (
	undelayedCrashes   = 2
	minCrashRetryDelay = 250 * time.Millisecond
	maxCrashRetryDelay = 2 * time.Second
)

// CrashRetryDelay returns the delay before an item is placed again after a number of engines
// have crashed while they ran it. An item that crashes engines by itself takes one out of service
// every few seconds at most.
func CrashRetryDelay(crashes int) time.Duration {
	if crashes <= undelayedCrashes {
		return 0
	}
	return min(maxCrashRetryDelay, minCrashRetryDelay<<min(crashes-undelayedCrashes-1, 8))
}

// Placement is a decision to start or continue an item on an engine.
type Placement struct {
	Item   *Item
	Engine gypsum.BackendID
	// EngineAttempts is the number of attempts already in progress on the engine.
	EngineAttempts int
}

// ScheduleItems decides which of the items start now. The items of a step arrive
// together and outnumber the free slots, and a few of them are several times longer
// than the rest and determine when the step is complete. Items are therefore started
// in order of increasing slack, each on the engine with the shortest expected time
// per event.
//
// An engine that limits the rate of its requests gets as many items as it accepts now; the
// others wait or start elsewhere.
//
// ScheduleItems updates Running and StartsLeft of the chosen engines. It clears AvoidedEngine and
// Failures of items that have no alternative engine.
func ScheduleItems(items []Item, engines []*Engine, now time.Time) []Placement {
	eventTime := medianIdleEventTime(engines)
	order := make([]*Item, 0, len(items))
	for i := range items {
		order = append(order, &items[i])
	}
	slack := func(item *Item) time.Duration {
		return item.DueAt.Sub(now) - item.ScoringTime - time.Duration(item.RemainingEvents)*eventTime
	}
	slices.SortStableFunc(order, func(a, b *Item) int { return cmp.Compare(slack(a), slack(b)) })
	var placements []Placement
	selector := newEngineSelector(engines)
	for _, item := range order {
		if (item.AvoidedEngine != "" || item.Failures > 0) && !hasAlternative(item, engines) {
			item.AvoidedEngine, item.Failures = "", 0
		}
		if engine := selector.fastestFor(item); engine != nil {
			placements = append(placements, Placement{Item: item, Engine: engine.ID, EngineAttempts: engine.Running})
			engine.AddAttempt()
		}
	}
	return placements
}

// hasAlternative reports whether an engine that the item does not avoid can start it,
// now or once it has a free slot.
func hasAlternative(item *Item, engines []*Engine) bool {
	return slices.ContainsFunc(engines, func(engine *Engine) bool {
		return !engine.isAvoidedBy(item) && !engine.Unusable && engine.canServe(item)
	})
}

// maxFailureRate caps the failure rate in the expected event time, so that an engine
// that fails every attempt still gets the items that no other engine may start.
const maxFailureRate = 0.95

// expectedEventTime returns the expected time per event of one more attempt, including
// the cost of retrying attempts that the engine fails.
func (e *Engine) expectedEventTime() time.Duration {
	return time.Duration(float64(e.eventTime(e.Running+1)) / (1 - min(e.FailureRate, maxFailureRate)))
}

// medianIdleEventTime returns the median IdleEventTime of the engines that have one,
// or 0 if none has.
func medianIdleEventTime(engines []*Engine) time.Duration {
	return medianEventTime(engines, func(engine *Engine) time.Duration { return engine.IdleEventTime })
}

// medianEventTime returns the median of the positive values of the engines, or 0 if there is none.
func medianEventTime(engines []*Engine, value func(*Engine) time.Duration) time.Duration {
	eventTimes := make([]time.Duration, 0, len(engines))
	for _, engine := range engines {
		if eventTime := value(engine); eventTime > 0 {
			eventTimes = append(eventTimes, eventTime)
		}
	}
	if len(eventTimes) == 0 {
		return 0
	}
	slices.Sort(eventTimes)
	return eventTimes[len(eventTimes)/2]
}

// Attempt is an attempt in progress.
type Attempt struct {
	Item   *Item
	Engine gypsum.BackendID
	// RemainingEvents is the expected number of events still to be generated.
	RemainingEvents int
}

// Limits of moves.
const (
	// minMoveSpeedup is the least factor by which a move must shorten the remaining time. It
	// leaves room for errors of the measured event times.
	minMoveSpeedup = 1.1
	// minIdleSpeedup is the least factor by which the target must be faster when idle. The
	// attempts beside change within a second, so that moves to engines that merely run fewer
	// attempts now are not worth their cost.
	minIdleSpeedup = 1.05
	// minDecidingShare is the least time that an attempt needs relative to the longest text of its
	// batch, unless its engine stays slow. A shorter one does not decide when the step is complete.
	// Estimates of lengths are off by a factor of 1.5 and more. When this applied to all moves, p90
	// of the steps of nine engines, of which two stayed slow, rose by 29 ms in the emulator.
	minDecidingShare = 0.5
	// maxMovesPerRound bounds the moves of one round, so that their effect on the
	// target engines is observed before more attempts move.
	maxMovesPerRound = 8
)

// ScheduleMoves decides which attempts continue on another engine. A step waits for its
// longest item, whose length shows only while it is generated, on whichever engine it
// started; and an engine may become several times slower while it runs part of a step. An
// attempt moves if it is expected to end sooner on another engine, the longest attempts
// first. overhead is the cost of a move: the time from the start of an attempt to its first
// event.
//
// Where engines are slow for some tenths of a second at a time, a move costs what the rest of the
// slow period would: of 48 engines that are slow by 2.5 for 0.6 s at a time, one in seven at any
// moment, 1,200 of 5,000 attempts moved within 48 s and gained nothing. periods, which are those
// of the service's engines, tell what remains of a slow period. Texts that end long before the
// last ones of their batch stay, except on engines that stay slow.
//
// ScheduleMoves updates Running and StartsLeft of the engines that it moves attempts between.
func ScheduleMoves(attempts []Attempt, engines []*Engine, overhead time.Duration, periods *SlowPeriods) []Placement {
	byID := make(map[gypsum.BackendID]*Engine, len(engines))
	for _, engine := range engines {
		byID[engine.ID] = engine
	}
	order := slices.Clone(attempts)
	slices.SortStableFunc(order, func(a, b Attempt) int { return cmp.Compare(b.RemainingEvents, a.RemainingEvents) })
	var moves []Placement
	usual := medianEventTime(engines, func(engine *Engine) time.Duration { return cmp.Or(engine.UsualEventTime, engine.IdleEventTime) })
	longest := longestTexts(attempts, usual)
	selector := newEngineSelector(engines)
	for _, attempt := range order {
		current, ok := byID[attempt.Engine]
		if !ok || len(moves) == maxMovesPerRound {
			continue
		}
		stayTime := current.timeFor(attempt.RemainingEvents, current.Running, periods)
		isDeciding := current.staysSlow(usual, periods) || float64(stayTime) >= minDecidingShare*float64(longest[attempt.Item.Batch])
		if !isDeciding || float64(stayTime) <= minMoveSpeedup*float64(overhead) {
			continue
		}
		item := *attempt.Item
		item.AvoidedEngine = attempt.Engine
		target := selector.fastestFor(&item)
		if target == nil {
			continue
		}
		moveTime := target.timeFor(attempt.RemainingEvents, target.Running+1, periods) + overhead
		// The slow period alone must cost more than the move, whatever runs beside it now.
		idleMoveTime := target.timeFor(attempt.RemainingEvents, 0, periods)
		if current.SlowFor > 0 {
			idleMoveTime += overhead
		}
		isFaster := float64(current.timeFor(attempt.RemainingEvents, 0, periods)) > minIdleSpeedup*float64(idleMoveTime)
		if isFaster && float64(stayTime) > minMoveSpeedup*float64(moveTime) {
			moves = append(moves, Placement{Item: attempt.Item, Engine: target.ID, EngineAttempts: target.Running})
			target.AddAttempt()
			current.Running--
			selector = newEngineSelector(engines) // current now has fewer attempts, which the heaps cannot reflect
		}
	}
	return moves
}

// longestTexts returns, for each batch, the time that the longest text in progress needs on an
// otherwise idle engine with an event time.
func longestTexts(attempts []Attempt, eventTime time.Duration) map[gypsum.BatchID]time.Duration {
	longest := make(map[gypsum.BatchID]time.Duration)
	for i := range attempts {
		batch := attempts[i].Item.Batch
		longest[batch] = max(longest[batch], time.Duration(attempts[i].RemainingEvents)*eventTime)
	}
	return longest
}

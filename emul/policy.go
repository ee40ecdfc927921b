package emul

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/sched"
)

// CurrentPolicy is the name of the policy that daemons use.
const CurrentPolicy = "current"

// Policy is a set of decisions. Those of the other policies are for comparison.
type Policy struct {
	Name string
	// Place decides which items start, as sched.ScheduleItems.
	Place func(items []sched.Item, engines []*sched.Engine, now time.Time) []sched.Placement
	// Move decides which attempts move, as sched.ScheduleMoves.
	Move func(attempts []sched.Attempt, engines []*sched.Engine, overhead time.Duration, periods *sched.SlowPeriods) []sched.Placement
	// Copy decides which attempts get a second copy, nil for none. unfinished is the number of texts
	// of each batch that are not complete.
	Copy func(attempts []sched.Attempt, engines []*sched.Engine, unfinished map[gypsum.BatchID]int) []sched.Placement
	// AnswerRead reports whether a read is answered now.
	AnswerRead func(state *ReadState) bool
	// KnowsLengths means that the lengths of the texts are known to Place and Move.
	KnowsLengths bool
}

// Policies returns all policies, the current one first.
func Policies() []*Policy {
	current := Policy{Name: CurrentPolicy, Place: sched.ScheduleItems, Move: sched.ScheduleMoves, AnswerRead: answerAtOnce}
	vary := func(name string, change func(*Policy)) *Policy {
		policy := current
		policy.Name = name
		change(&policy)
		return &policy
	}
	return []*Policy{
		&current,
		vary("oracle", func(p *Policy) { p.KnowsLengths = true }),
		vary("no_moves", func(p *Policy) {
			p.Move = func([]sched.Attempt, []*sched.Engine, time.Duration, *sched.SlowPeriods) []sched.Placement {
				return nil
			}
		}),
		vary("moves_at_once", func(p *Policy) { p.Move = moveAtOnce }),
		vary("copy_last", func(p *Policy) { p.Copy = newCopyPolicy(1) }),
		vary("copy_last_4", func(p *Policy) { p.Copy = newCopyPolicy(4) }),
		vary("reads_held", func(p *Policy) { p.AnswerRead = holdTail }),
		vary("least_loaded", func(p *Policy) { p.Place = placeBy(byOrder, leastLoaded) }),
		vary("round_robin", func(p *Policy) { p.Place = placeBy(byOrder, newRoundRobin()) }),
		vary("short_groups_first", func(p *Policy) { p.Place = inOrder(shortGroupsFirst) }),
		vary("long_groups_first", func(p *Policy) { p.Place = inOrder(longGroupsFirst) }),
		vary("late_last", func(p *Policy) { p.Place = lateLast }),
		vary("longest_hint_first", func(p *Policy) { p.Place = placeBy(longestFirst, leastLoaded) }),
	}
}

// FindPolicy returns the policy with a name, nil if there is none.
func FindPolicy(name string) *Policy {
	for _, policy := range Policies() {
		if policy.Name == name {
			return policy
		}
	}
	return nil
}

// inOrder returns a placement that starts items in the order in which sort puts them, each on the
// engine that the current policy chooses.
func inOrder(sort func([]sched.Item)) func([]sched.Item, []*sched.Engine, time.Time) []sched.Placement {
	return func(items []sched.Item, engines []*sched.Engine, now time.Time) []sched.Placement {
		sort(items)
		var placements []sched.Placement
		for i := range items {
			placements = append(placements, sched.ScheduleItems(items[i:i+1], engines, now)...)
		}
		return placements
	}
}

// lateLast starts the items that cannot end in time after all others.
func lateLast(items []sched.Item, engines []*sched.Engine, now time.Time) []sched.Placement {
	var usual []time.Duration
	for _, e := range engines {
		usual = append(usual, cmp.Or(e.UsualEventTime, e.IdleEventTime))
	}
	slices.Sort(usual)
	eventTime := usual[len(usual)/2]
	var inTime, late []sched.Item
	for i := range items {
		item := items[i]
		if item.DueAt.Add(readSlack).Sub(now) < item.ScoringTime+time.Duration(item.RemainingEvents)*eventTime {
			late = append(late, item)
		} else {
			inTime = append(inTime, item)
		}
	}
	return append(sched.ScheduleItems(inTime, engines, now), sched.ScheduleItems(late, engines, now)...)
}

// shortGroupsFirst sorts items by group: those of the batch that is due first, and in it the groups
// with the least work left.
func shortGroupsFirst(items []sched.Item) {
	work := workOfGroups(items, func(work, events int) int { return work + events })
	slices.SortStableFunc(items, func(a, b sched.Item) int {
		return cmp.Or(a.DueAt.Compare(b.DueAt), cmp.Compare(work[a.Batch][a.Group], work[b.Batch][b.Group]), cmp.Compare(a.Group, b.Group))
	})
}

// longGroupsFirst sorts items by group: those of the batch that is due first, and in it the groups
// with the longest item.
func longGroupsFirst(items []sched.Item) {
	longest := workOfGroups(items, func(work, events int) int { return max(work, events) })
	slices.SortStableFunc(items, func(a, b sched.Item) int {
		return cmp.Or(a.DueAt.Compare(b.DueAt), cmp.Compare(longest[b.Batch][b.Group], longest[a.Batch][a.Group]), cmp.Compare(a.Group, b.Group))
	})
}

// workOfGroups returns the work left in the groups of each batch; add adds an item's events.
func workOfGroups(items []sched.Item, add func(work, events int) int) map[gypsum.BatchID]map[gypsum.GroupID]int {
	work := make(map[gypsum.BatchID]map[gypsum.GroupID]int)
	for i := range items {
		item := &items[i]
		if work[item.Batch] == nil {
			work[item.Batch] = make(map[gypsum.GroupID]int)
		}
		work[item.Batch][item.Group] = add(work[item.Batch][item.Group], item.RemainingEvents)
	}
	return work
}

// byOrder keeps the order of items.
func byOrder(_, _ *sched.Item) int { return 0 }

// longestFirst orders items by their expected length, the longest first.
func longestFirst(a, b *sched.Item) int { return cmp.Compare(b.RemainingEvents, a.RemainingEvents) }

// placeBy returns a placement that starts items in an order, each on the engine that choose
// returns among those with a free slot that may run it.
func placeBy(order func(a, b *sched.Item) int, choose func([]*sched.Engine) *sched.Engine) func([]sched.Item, []*sched.Engine, time.Time) []sched.Placement {
	return func(items []sched.Item, engines []*sched.Engine, _ time.Time) []sched.Placement {
		sorted := make([]*sched.Item, 0, len(items))
		for i := range items {
			sorted = append(sorted, &items[i])
		}
		slices.SortStableFunc(sorted, order)
		var placements []sched.Placement
		for _, it := range sorted {
			var candidates []*sched.Engine
			for _, e := range engines {
				if e.CanStart(it) {
					candidates = append(candidates, e)
				}
			}
			if len(candidates) == 0 {
				continue
			}
			chosen := choose(candidates)
			placements = append(placements, sched.Placement{Item: it, Engine: chosen.ID, EngineAttempts: chosen.Running})
			chosen.AddAttempt()
		}
		return placements
	}
}

// leastLoaded returns the engine with the fewest attempts.
func leastLoaded(engines []*sched.Engine) *sched.Engine {
	return slices.MinFunc(engines, func(a, b *sched.Engine) int {
		return cmp.Or(cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
}

// newRoundRobin returns a choice that takes the engines in turn.
func newRoundRobin() func([]*sched.Engine) *sched.Engine {
	last := gypsum.BackendID("")
	return func(engines []*sched.Engine) *sched.Engine {
		next := engines[0]
		for _, e := range engines {
			if e.ID > last {
				next = e
				break
			}
		}
		last = next.ID
		return next
	}
}

// moveAtOnce moves attempts as if each engine stayed as fast as it was in the last tenths of a
// second, and as if each text decided a step of its own.
func moveAtOnce(attempts []sched.Attempt, engines []*sched.Engine, overhead time.Duration, _ *sched.SlowPeriods) []sched.Placement {
	views := make([]*sched.Engine, 0, len(engines))
	for _, e := range engines {
		view := *e
		view.UsualEventTime, view.SlowFor, view.SlowEventTime = 0, 0, 0
		views = append(views, &view)
	}
	for i := range attempts {
		attempts[i].Item.Batch = gypsum.BatchID(attempts[i].Item.ID)
	}
	return sched.ScheduleMoves(attempts, views, overhead, nil)
}

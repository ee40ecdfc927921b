package shed

import (
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
)

// policy implements gypsum.Policy. It places the waiting work on the slots in the order of rank,
// the highest first, and refuses what cannot be met there.
type policy struct {
	rank func(work *gypsum.Work, value float64, start time.Time, drain time.Duration) float64
	// fair means that the shares of classes and accounts are preserved.
	fair bool
}

// NewCostPolicy returns the policy that orders and refuses work by what a delay or a refusal
// costs the caller, and preserves the shares of classes and accounts.
func NewCostPolicy() gypsum.Policy { return &policy{rank: rankByCost, fair: true} }

// NewArrivalPolicy returns first come first served.
func NewArrivalPolicy() gypsum.Policy { return &policy{rank: rankByArrival} }

// NewPriorityPolicy returns the policy that orders by priority only.
func NewPriorityPolicy() gypsum.Policy { return &policy{rank: rankByPriority} }

// NewDeadlinePolicy returns the policy that serves the earliest target or deadline first.
func NewDeadlinePolicy() gypsum.Policy { return &policy{rank: rankByDeadline} }

// Decide implements gypsum.Policy.
func (p *policy) Decide(state *gypsum.ShedState) gypsum.ShedDecision {
	decision := gypsum.ShedDecision{Order: make([]int, 0, len(state.Waiting))}
	slots := newSlotTimes(state)
	drain := drainTime(state)
	shares := newShareView(state, p.fair)
	remaining, values := make([]int, len(state.Waiting)), make([]float64, len(state.Waiting))
	for i := range remaining {
		remaining[i], values[i] = i, Value(&state.Waiting[i])
		if state.Waiting[i].RetryElsewhere {
			values[i] *= elsewhereLoss
		}
	}
	var refused []int
	for len(remaining) > 0 {
		start := slots.next()
		if start.After(state.Now) {
			// Work that would have to wait and could not be met then is refused. With a free
			// slot it starts, since the expected duration is only an estimate.
			remaining = slices.DeleteFunc(remaining, func(i int) bool {
				if CanMeet(&state.Waiting[i], start) {
					return false
				}
				refused = append(refused, i)
				return true
			})
			if len(remaining) == 0 {
				break
			}
		}
		best := p.choose(state, remaining, values, start, drain, shares)
		chosen := remaining[best]
		remaining = slices.Delete(remaining, best, best+1)
		decision.Order = append(decision.Order, chosen)
		slots.occupy(state.Waiting[chosen].Expected)
		shares.credit(chosen)
	}
	if limit := state.Free + state.MaxWaiting; state.MaxWaiting > 0 && len(decision.Order) > limit {
		refused = append(refused, decision.Order[limit:]...)
		decision.Order = decision.Order[:limit]
	}
	decision.Refused = slots.retryTimes(state, refused)
	return decision
}

// choose returns the index in remaining of the work to start next. Groups that are behind their
// least share come first; otherwise the rank decides, then the arrival.
func (p *policy) choose(state *gypsum.ShedState, remaining []int, values []float64, start time.Time, drain time.Duration, shares *shareView) int {
	best, bestDeficit, bestRank := -1, 0.0, 0.0
	for position, i := range remaining {
		work := &state.Waiting[i]
		rank := p.rank(work, values[i], start, drain)
		deficit := 0.0
		if p.fair {
			// The rank is positive, or 0 if the work cannot be met.
			rank *= shares.accountFactor(i)
			if rank > 0 {
				deficit = shares.deficit(i)
			}
		}
		if best < 0 || isChosen(deficit, rank, work, bestDeficit, bestRank, &state.Waiting[remaining[best]]) {
			best, bestDeficit, bestRank = position, deficit, rank
		}
	}
	return best
}

// isChosen reports whether work with a deficit and a rank starts before other work.
func isChosen(deficit, rank float64, work *gypsum.Work, otherDeficit, otherRank float64, other *gypsum.Work) bool {
	switch {
	case deficit != otherDeficit:
		return deficit > otherDeficit
	case rank != otherRank:
		return rank > otherRank
	}
	return work.Arrived.Before(other.Arrived)
}

// drainTime returns the expected time in which the slots serve the waiting work.
func drainTime(state *gypsum.ShedState) time.Duration {
	total := time.Duration(0)
	for i := range state.Waiting {
		total += state.Waiting[i].Expected
	}
	return total / time.Duration(max(1, state.Slots))
}

// slotTimes are the times at which slots are expected to become free.
type slotTimes struct {
	free []time.Time
	// at is the index of the slot that next returned.
	at int
}

// newSlotTimes returns the times of the free slots, and of the others one after the other. Slots beyond
// the number of waiting work are left out, since the earlier ones are taken first.
func newSlotTimes(state *gypsum.ShedState) *slotTimes {
	slots := &slotTimes{free: make([]time.Time, max(1, min(max(state.Slots, state.Free), len(state.Waiting))))}
	for i := range slots.free {
		if i >= state.Free {
			slots.free[i] = state.Now.Add(max(minExpected, state.Interval) * time.Duration(i-state.Free+1))
		} else {
			slots.free[i] = state.Now
		}
	}
	return slots
}

// next returns when the next slot is expected to become free.
func (s *slotTimes) next() time.Time {
	s.at = 0
	for i := range s.free {
		if s.free[i].Before(s.free[s.at]) {
			s.at = i
		}
	}
	return s.free[s.at]
}

// occupy adds work to the slot that next returned.
func (s *slotTimes) occupy(expected time.Duration) {
	s.free[s.at] = s.free[s.at].Add(max(minExpected, expected))
}

// retryTimes returns the refused work with the times at which slots are expected to be free for
// it, one after the other, so that refused callers do not all return at once.
func (s *slotTimes) retryTimes(state *gypsum.ShedState, refused []int) []gypsum.RefusedWork {
	result := make([]gypsum.RefusedWork, 0, len(refused))
	for _, i := range refused {
		result = append(result, gypsum.RefusedWork{Index: i, RetryAfter: s.next().Sub(state.Now)})
		s.occupy(state.Waiting[i].Expected)
	}
	return result
}

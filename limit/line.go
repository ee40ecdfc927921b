package limit

import (
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
)

// permitLine holds the requests of this daemon that wait for the times of their permits for one
// replica. The permits are exchangeable, so the first one goes to the request whose delay costs
// most.
type permitLine []*permitWaiter

// permitWaiter is a request with a permit for a later time.
type permitWaiter struct {
	work gypsum.Work
	at   time.Time
	// changed receives a value when at has changed.
	changed chan struct{}
}

// reassign assigns the permits in the order that the policy chooses, unless a request could not be
// met with the assigned one. A request that is not expected to be met with its own permit keeps it:
// the policy would give it the last one again and again, beyond its deadline.
func (l permitLine) reassign(policy gypsum.Policy, now time.Time) {
	line := make(permitLine, 0, len(l))
	for _, waiting := range l {
		if canUse(waiting, waiting.at) {
			line = append(line, waiting)
		}
	}
	if len(line) < 2 {
		return
	}
	times := make([]time.Time, len(line))
	state := &gypsum.ShedState{Now: now, Slots: 1}
	for i, waiting := range line {
		times[i] = waiting.at
		state.Waiting = append(state.Waiting, waiting.work)
	}
	slices.SortFunc(times, time.Time.Compare)
	state.Interval = max(0, times[len(times)-1].Sub(now)) / time.Duration(len(times))
	decision := policy.Decide(state)
	order := decision.Order
	for _, refused := range decision.Refused {
		order = append(order, refused.Index)
	}
	for position, index := range order {
		if !canUse(line[index], times[position]) {
			return
		}
	}
	for position, index := range order {
		if waiting := line[index]; !waiting.at.Equal(times[position]) {
			waiting.at = times[position]
			select {
			case waiting.changed <- struct{}{}:
			default:
			}
		}
	}
}

// canUse reports whether a request that is sent at a time can end by its deadline.
func canUse(waiting *permitWaiter, at time.Time) bool {
	return !at.Add(waiting.work.Expected).After(waiting.work.Deadline)
}

// enterLine adds a request with a permit for a later time.
func (l *Limiter) enterLine(replica gypsum.BackendID, work *gypsum.Work, at, now time.Time) *permitWaiter {
	waiting := &permitWaiter{work: *work, at: at, changed: make(chan struct{}, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines[replica] = append(l.lines[replica], waiting)
	l.lines[replica].reassign(l.Policy, now)
	return waiting
}

// leaveLine removes a request. If its permit was not used, it goes to the next request.
func (l *Limiter) leaveLine(replica gypsum.BackendID, waiting *permitWaiter, used bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := slices.DeleteFunc(l.lines[replica], func(other *permitWaiter) bool { return other == waiting })
	if len(line) == 0 {
		delete(l.lines, replica)
		return
	}
	l.lines[replica] = line
	if used {
		return
	}
	// The last one takes the free permit if it is earlier, and the others are assigned again.
	last := slices.MaxFunc(line, func(a, b *permitWaiter) int { return a.at.Compare(b.at) })
	if waiting.at.Before(last.at) {
		last.at = waiting.at
		select {
		case last.changed <- struct{}{}:
		default:
		}
		line.reassign(l.Policy, now)
	}
}

// permitTime returns when the request may be sent.
func (l *Limiter) permitTime(waiting *permitWaiter) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return waiting.at
}

package sched

import (
	"math"
	"time"
)

// maxSlowPeriods is the number of slow periods that are remembered. It spans several seconds of 48
// engines that are slow for 0.6 s at a time, one in seven at any moment.
const maxSlowPeriods = 128

// lastingWeight is the weight of the assumption that a slow period lasts, counted in observed
// periods. A service without observed periods assumes that slowness lasts.
const lastingWeight = 1.0

// SlowPeriods estimates how long slow periods of the engines of a service last. Engines of one
// service are slow for similar reasons: where they share hardware with other work, for some tenths
// of a second at a time; where one is defective, until it is replaced. The zero value knows of no
// period.
type SlowPeriods struct {
	durations []time.Duration // a ring, the oldest at next once it is full
	next      int
}

// Add adds the duration of a slow period that has ended.
func (p *SlowPeriods) Add(duration time.Duration) {
	if len(p.durations) < maxSlowPeriods {
		p.durations = append(p.durations, duration)
		return
	}
	p.durations[p.next] = duration
	p.next = (p.next + 1) % maxSlowPeriods
}

// Remaining returns what is expected of a slow period of an age: the probability that it lasts
// longer than any text, and otherwise the mean time until its end. It is the more likely to last
// the fewer of the observed periods reached that age. p may be nil.
func (p *SlowPeriods) Remaining(age time.Duration) (mean time.Duration, lasting float64) {
	if p == nil {
		return 0, 1
	}
	var sum time.Duration
	longer := 0
	for _, duration := range p.durations {
		if duration > age {
			sum += duration - age
			longer++
		}
	}
	if longer == 0 {
		return 0, 1
	}
	return sum / time.Duration(longer), lastingWeight / (float64(longer) + lastingWeight)
}

// Limits of slow periods.
const (
	// slowFactor is the factor of the usual event time from which an engine is slow, and
	// normalFactor that up to which it is not slow any more. Between them lie the event times of
	// single attempts whose events arrive unevenly.
	slowFactor   = 1.6
	normalFactor = 1.4
	// paceRate is the relative change per second of the usual event time towards the recent one. It
	// is the same for any distance, so that slow periods hardly shift it: the usual event time
	// tracks the median. An engine that stays slow by 2.5 is usually slow after nine seconds.
	paceRate = 0.1
	// fastPaceHalfLife is the time in which the usual event time moves halfway to the recent one
	// of an engine that is faster than usual by slowFactor: its first events were in a slow period.
	fastPaceHalfLife = 200 * time.Millisecond
	// maxPaceGap is the time without an event after which the end of a slow period cannot be told.
	maxPaceGap = 500 * time.Millisecond
)

// PaceTracker separates the usual event time of an engine from its slow periods. The zero value
// has seen no event.
type PaceTracker struct {
	usual     float64       // nanoseconds
	observed  time.Duration // time with events
	recent    time.Duration
	seenAt    time.Time // of the last update with new events
	slowSince time.Time
}

// Update updates the tracker with the estimate of an engine's timer. It returns the duration of the
// slow period that has ended, 0 if none has.
func (t *PaceTracker) Update(now time.Time, timer *EventTimer) (ended time.Duration) {
	recent, at := timer.RecentEventTime()
	if recent == 0 {
		*t = PaceTracker{}
		return 0
	}
	if !at.After(t.seenAt) {
		if now.Sub(t.seenAt) > maxPaceGap {
			t.slowSince = time.Time{}
		}
		return 0
	}
	elapsed := at.Sub(t.seenAt)
	t.recent, t.seenAt = recent, at
	if t.usual == 0 {
		t.usual = float64(recent)
		return 0
	}
	if elapsed > maxPaceGap {
		elapsed, t.slowSince = maxPaceGap, time.Time{}
	}
	ratio := float64(recent) / t.usual
	switch {
	case t.slowSince.IsZero() && ratio > slowFactor:
		t.slowSince = at
	case !t.slowSince.IsZero() && ratio < normalFactor:
		ended, t.slowSince = at.Sub(t.slowSince), time.Time{}
	}
	t.observed += elapsed
	if ratio < 1/slowFactor {
		t.usual += (float64(recent) - t.usual) * (1 - math.Exp2(-elapsed.Seconds()/fastPaceHalfLife.Seconds()))
		return ended
	}
	change := elapsed.Seconds() * paceRate
	if t.slowSince.IsZero() && t.observed < time.Second {
		change = elapsed.Seconds() // The first measurements are averages of few events.
	}
	if ratio > 1 {
		t.usual = min(float64(recent), t.usual*(1+change))
	} else {
		t.usual = max(float64(recent), t.usual*(1-change))
	}
	return ended
}

// Describe sets what the tracker knows in the scheduler's view of its engine.
func (t *PaceTracker) Describe(engine *Engine, now time.Time) {
	engine.UsualEventTime, engine.SlowEventTime = time.Duration(t.usual), 0
	if engine.SlowFor = t.SlowFor(now); engine.SlowFor > 0 {
		engine.SlowEventTime = t.recent
	}
}

// SlowFor returns the age of the current slow period, 0 outside of one.
func (t *PaceTracker) SlowFor(now time.Time) time.Duration {
	if t.slowSince.IsZero() {
		return 0
	}
	return max(1, now.Sub(t.slowSince))
}

// pace returns the time per event of the otherwise idle engine at the moment, apart from noise.
func (e *Engine) pace() time.Duration {
	switch {
	case e.SlowFor > 0:
		return e.SlowEventTime
	case e.UsualEventTime > 0:
		return e.UsualEventTime
	}
	return e.IdleEventTime
}

// lastingSlowness is the factor of the engines' median event time from which an engine counts as
// slow for good. Engines of one service differ by a tenth or two.
const lastingSlowness = 1.4

// staysSlow reports whether the engine is slow, compared with the usual event time of the engines,
// and more likely stays so than not.
func (e *Engine) staysSlow(usual time.Duration, periods *SlowPeriods) bool {
	if e.SlowFor > 0 {
		_, lasting := periods.Remaining(e.SlowFor)
		return lasting >= 0.5
	}
	return float64(e.pace()) >= lastingSlowness*float64(usual)
}

// timeFor returns the expected time for a number of events of an attempt beside others. An engine
// in a slow period stays slow as long as the observed periods did.
func (e *Engine) timeFor(events, attempts int, periods *SlowPeriods) time.Duration {
	slowdown := 1 + SlowdownPerAttempt*float64(attempts)
	current := float64(events) * slowdown * float64(e.pace())
	if e.SlowFor == 0 {
		return time.Duration(current)
	}
	mean, lasting := periods.Remaining(e.SlowFor)
	short := current
	if remaining := float64(mean); remaining < current {
		short = remaining + (current-remaining)*float64(e.UsualEventTime)/float64(e.SlowEventTime)
	}
	return time.Duration(lasting*current + (1-lasting)*short)
}

// Package shed decides which work waits and which is refused when capacity is short, by what a
// delay or a refusal costs the caller. It has no I/O and no clock of its own.
package shed

import (
	"math"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Values of work.
const (
	// lateValue is the part of its value that work has between its target and its deadline, as
	// the platform counts it for live requests.
	lateValue = 0.25
	// priorityStep is the value of a priority relative to the next higher one. Shares protect
	// the lower ones, so the step need not be small.
	priorityStep = 0.5
	// elsewhereLoss is the part of its value that refused work loses if its caller can retry at
	// another host. The others share the same replicas, so a retry often finds them full too.
	elsewhereLoss = 0.5
)

// minExpected is the least duration that is assumed for work, so that an estimate of almost
// nothing does not outweigh every other consideration.
const minExpected = time.Millisecond

// Value returns the value of work that ends in time.
func Value(work *gypsum.Work) float64 {
	value := math.Pow(priorityStep, float64(max(0, work.Priority)))
	if work.Worth > 0 {
		value *= work.Worth
	}
	return value
}

// Utility returns the value of work that ends at a time.
func Utility(work *gypsum.Work, end time.Time) float64 {
	switch {
	case end.After(work.Deadline):
		return 0
	case !work.Target.IsZero() && end.After(work.Target):
		return lateValue * Value(work)
	}
	return Value(work)
}

// DelayCost returns what the caller loses if the work starts at later instead of at earlier.
func DelayCost(work *gypsum.Work, earlier, later time.Time) float64 {
	return Utility(work, earlier.Add(work.Expected)) - Utility(work, later.Add(work.Expected))
}

// RefusalCost returns what the caller loses if the work is refused instead of started at a time.
func RefusalCost(work *gypsum.Work, start time.Time) float64 {
	cost := Utility(work, start.Add(work.Expected))
	if work.RetryElsewhere {
		cost *= elsewhereLoss
	}
	return cost
}

// CanMeet reports whether work that starts at a time is expected to end by its deadline.
func CanMeet(work *gypsum.Work, start time.Time) bool {
	return !start.Add(work.Expected).After(work.Deadline)
}

// urgency returns how much of the value that is due at a time is at stake if the work does not
// start now: 1 if it must start now, less with more time left, measured by the time in which
// the waiting work drains.
func urgency(work *gypsum.Work, start, due time.Time, drain time.Duration) float64 {
	slack := due.Sub(start) - work.Expected
	if slack < 0 {
		return 0
	}
	// An exponential function is 0 for much time, and the order is then that of arrival.
	late := 1 + float64(slack)/float64(drain+work.Expected+minExpected)
	return 1 / (late * late)
}

// rankByCost returns the expected loss for each unit of capacity if the work does not start now:
// the apparent tardiness cost, with one term for the target and one for the deadline. value is
// what a refusal loses.
func rankByCost(work *gypsum.Work, value float64, start time.Time, drain time.Duration) float64 {
	loss := 0.0
	if work.Target.IsZero() {
		loss = urgency(work, start, work.Deadline, drain)
	} else {
		loss = (1-lateValue)*urgency(work, start, work.Target, drain) + lateValue*urgency(work, start, work.Deadline, drain)
	}
	return value * loss / float64(max(minExpected, work.Expected)/time.Microsecond)
}

// rankByArrival, rankByPriority and rankByDeadline are the orders for comparison.
func rankByArrival(work *gypsum.Work, _ float64, start time.Time, _ time.Duration) float64 {
	return float64(start.Sub(work.Arrived))
}

func rankByPriority(work *gypsum.Work, _ float64, _ time.Time, _ time.Duration) float64 {
	return -float64(work.Priority)
}

func rankByDeadline(work *gypsum.Work, _ float64, start time.Time, _ time.Duration) float64 {
	due := work.Deadline
	if !work.Target.IsZero() && !start.Add(work.Expected).After(work.Target) {
		due = work.Target
	}
	return -float64(due.Sub(start))
}

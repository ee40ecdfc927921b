// Package health learns from outcomes what part of its work a backend server is
// expected to fail.
package health

import (
	"math"
	"time"
)

// Weights of what is learned.
const (
	// outcomeWeight is the weight of the newest outcome: after one failure a backend
	// server is expected to fail three in ten.
	outcomeWeight = 0.3
	// halfLife is the time in which what is held against one halves without work: a few
	// times the time that a restart takes.
	halfLife = 5 * time.Second
)

// Outcomes are what one daemon has seen of a backend server. Load: some fail a part of
// their work at once, while their health checks pass, for some callers only, and
// each caller sees little of it. So none is in or out: the part that one is expected to
// fail counts in each choice, falls with each success and, for those that get no work,
// with time, so that the return is gentle.
type Outcomes struct {
	failing float64
	asOf    time.Time
}

// Succeeded learns from work that was done.
func (o *Outcomes) Succeeded(now time.Time) { o.learn(0, now) }

// Failed learns from work that failed.
func (o *Outcomes) Failed(now time.Time) { o.learn(1, now) }

// learn takes in an outcome.
func (o *Outcomes) learn(failed float64, now time.Time) {
	o.failing = (1-outcomeWeight)*o.Failing(now) + outcomeWeight*failed
	o.asOf = now
}

// Failing returns the part of its work, 0 to 1, that the backend server is expected to fail.
func (o *Outcomes) Failing(now time.Time) float64 {
	if o.failing == 0 {
		return 0
	}
	return o.failing * math.Exp2(-now.Sub(o.asOf).Seconds()/halfLife.Seconds())
}

package runner

import (
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/health"
	"github.com/gypsumhook/gypsum/sched"
)

// Event times and cooldowns of engines.
const (
	// initialEventTime is the assumed time per event on an engine without measurements:
	// 39 tokens of 0.723 ms each.
	initialEventTime = 28 * time.Millisecond
	// minCooldown and maxCooldown bound the time for which an engine gets no new
	// attempts after it failed one.
	minCooldown = 150 * time.Millisecond
	maxCooldown = 2 * time.Second
)

// unknownSequence is the loadOrderSequence of an engine that has not reported one.
const unknownSequence = -1

// engine is the holder's state of an engine.
type engine struct {
	replica *gypsum.Replica
	// unregistered means that the registration has ended.
	unregistered bool
	versions     map[gypsum.EngineModel]gypsum.WeightVersion
	running      int
	// awaitingFirstEvent counts the attempts of each model without an event so far.
	awaitingFirstEvent map[gypsum.EngineModel]int
	// loadOrder is the load order in progress, nil if there is none.
	loadOrder           *loadOrder
	consecutiveFailures int
	cooldownUntil       time.Time
	health              health.FailureEstimator
	pace                sched.PaceTracker
	// loadOrderSequence is the number of load orders that the engine has accepted.
	loadOrderSequence int64

	// The fields below are shared with the goroutines of attempts. eventTimer measures the
	// time per event, scaled to an otherwise idle engine.
	attempts   atomic.Int64
	eventTimer sched.EventTimer
}

// newEngine returns the state of a newly registered engine.
func newEngine(replica *gypsum.Replica) *engine {
	e := &engine{loadOrderSequence: unknownSequence, awaitingFirstEvent: make(map[gypsum.EngineModel]int), versions: make(map[gypsum.EngineModel]gypsum.WeightVersion)}
	e.updateReplica(replica)
	return e
}

// updateReplica applies the current registration. A new incarnation of the engine resets
// everything that was measured of the previous one.
func (e *engine) updateReplica(replica *gypsum.Replica) {
	if e.replica != nil && e.replica.Incarnation != replica.Incarnation {
		clear(e.versions)
		e.loadOrderSequence, e.consecutiveFailures, e.cooldownUntil = unknownSequence, 0, time.Time{}
		e.eventTimer.Reset()
		e.health = health.FailureEstimator{}
	}
	e.replica, e.unregistered = replica, false
	for model, version := range replica.Models {
		e.versions[model] = max(e.versions[model], version)
	}
}

// observeEventGap records the time between two events of an attempt, scaled to an otherwise
// idle engine. attemptsBefore is the number of attempts on the engine at the first event:
// attempts that ended with the second event slowed the engine down until then. It is safe
// for concurrent use.
func (e *engine) observeEventGap(gap time.Duration, attemptsBefore int64) {
	attempts := max(attemptsBefore, e.attempts.Load())
	idleGap := float64(gap) / (1 + sched.SlowdownPerAttempt*float64(attempts))
	e.eventTimer.Add(time.Duration(idleGap))
}

// recordSuccess records an attempt that the engine completed.
func (e *engine) recordSuccess(now time.Time) {
	e.consecutiveFailures = 0
	e.health.RecordSuccess(now)
}

// recordFailure records an attempt that the engine broke off or did not accept, and
// starts a cooldown that doubles with each consecutive failure up to maxCooldown.
func (e *engine) recordFailure(now time.Time) {
	e.health.RecordFailure(now)
	cooldown := min(maxCooldown, minCooldown<<min(e.consecutiveFailures, 8))
	e.consecutiveFailures++
	if until := now.Add(cooldown); until.After(e.cooldownUntil) {
		e.cooldownUntil = until
	}
}

// isLeaving reports whether the engine is draining or no longer registered.
func (e *engine) isLeaving() bool { return e.unregistered || e.replica.State != gypsum.ReplicaReady }

// schedEngine returns the scheduler's view of the engine.
func (e *engine) schedEngine(now time.Time) *sched.Engine {
	view := &sched.Engine{
		ID: e.replica.ID, Slots: e.replica.Slots, Running: e.running, Versions: e.versions, IdleEventTime: e.eventTimer.EventTime(),
		FailureRate: e.health.FailureRate(now),
		Software:    e.replica.Software,
		Leaving:     e.isLeaving(),
		Unusable:    e.isLeaving() || now.Before(e.cooldownUntil),
	}
	if view.IdleEventTime == 0 {
		view.IdleEventTime = initialEventTime
	}
	if e.loadOrder != nil {
		view.Loading = e.loadOrder.model
	}
	return view
}

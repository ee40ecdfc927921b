package runner

import (
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/health"
	"github.com/gypsumhook/gypsum/sched"
)

// Paces and pauses of engines.
const (
	// initialEventTime is the time of an event on an engine that has not been seen: 39 tokens
	// of 0.723 ms each.
	initialEventTime = 28 * time.Millisecond
	// eventTimeWeight is the weight of the newest measurement.
	eventTimeWeight = 0.3
	// minCooldown and longestPause bound the time for which an engine that failed a
	// run gets no new ones.
	minCooldown = 150 * time.Millisecond
	maxCooldown = 2 * time.Second
)

// unknownSequence stands for a number of accepted orders that no report has told.
const unknownSequence = -1

// engine is what the holder knows of an engine.
type engine struct {
	replica  *gypsum.Replica
	versions map[gypsum.EngineModel]gypsum.WeightVersion
	running  int
	// awaitingFirstEvent counts, for each model, the runs that have not given an event yet.
	awaitingFirstEvent  map[gypsum.EngineModel]int
	loadOrder           *loadOrder
	idleEventTime       time.Duration
	consecutiveFailures int
	cooldownUntil       time.Time
	health              health.FailureEstimator
	// orderSequence is the number of orders that the engine has accepted.
	orderSequence int64

	attempts atomic.Int64
	gapSum   atomic.Int64
	gapCount atomic.Int64
}

// newEngine returns what is known of an engine from its registration.
func newEngine(replica *gypsum.Replica) *engine {
	e := &engine{orderSequence: unknownSequence, awaitingFirstEvent: make(map[gypsum.EngineModel]int), versions: make(map[gypsum.EngineModel]gypsum.WeightVersion)}
	e.updateReplica(replica)
	return e
}

// updateReplica takes over a newer registration.
func (e *engine) updateReplica(replica *gypsum.Replica) {
	if e.replica != nil && e.replica.Incarnation != replica.Incarnation {
		clear(e.versions)
		e.orderSequence, e.idleEventTime, e.consecutiveFailures, e.cooldownUntil = unknownSequence, 0, 0, time.Time{}
		e.health = health.FailureEstimator{}
	}
	e.replica = replica
	for model, version := range replica.Models {
		e.versions[model] = max(e.versions[model], version)
	}
}

// observeGap takes the time between two events of a run. Any goroutine may call it.
func (e *engine) observeGap(gap time.Duration) {
	idleGap := float64(gap) / (1 + sched.SlowdownPerAttempt*float64(e.attempts.Load()))
	e.gapSum.Add(int64(idleGap))
	e.gapCount.Add(1)
}

// updateEventTime takes in what was observed since the last call.
func (e *engine) updateEventTime() {
	count, sum := e.gapCount.Swap(0), e.gapSum.Swap(0)
	if count == 0 {
		return
	}
	mean := time.Duration(sum / count)
	if e.idleEventTime == 0 {
		e.idleEventTime = mean
		return
	}
	e.idleEventTime += time.Duration(eventTimeWeight * float64(mean-e.idleEventTime))
}

// recordSuccess notes a run that the engine brought to its end.
func (e *engine) recordSuccess(now time.Time) {
	e.consecutiveFailures = 0
	e.health.RecordSuccess(now)
}

// recordFailure notes a run that the engine broke off or did not take.
func (e *engine) recordFailure(now time.Time) {
	e.health.RecordFailure(now)
	cooldown := min(maxCooldown, minCooldown<<min(e.consecutiveFailures, 8))
	e.consecutiveFailures++
	if until := now.Add(cooldown); until.After(e.cooldownUntil) {
		e.cooldownUntil = until
	}
}

// schedEngine returns the engine as the decisions see it.
func (e *engine) schedEngine(now time.Time) *sched.Engine {
	view := &sched.Engine{
		ID: e.replica.ID, Slots: e.replica.Slots, Running: e.running, Versions: e.versions, IdleEventTime: e.idleEventTime,
		FailureRate: e.health.FailureRate(now),
		Unavailable: e.replica.State != gypsum.ReplicaReady || now.Before(e.cooldownUntil),
	}
	if view.IdleEventTime == 0 {
		view.IdleEventTime = initialEventTime
	}
	if e.loadOrder != nil {
		view.Loading = e.loadOrder.model
	}
	return view
}

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
	// firstPace is the time of an event on an engine that has not been seen: 39 tokens
	// of 0.723 ms each.
	firstPace = 28 * time.Millisecond
	// paceWeight is the weight of the newest measurement.
	paceWeight = 0.3
	// firstPause and longestPause bound the time for which an engine that failed a
	// run gets no new ones.
	firstPause   = 150 * time.Millisecond
	longestPause = 2 * time.Second
)

// unknownSequence stands for a number of accepted orders that no report has told.
const unknownSequence = -1

// engine is what the holder knows of an engine.
type engine struct {
	replica  *gypsum.Replica
	versions map[gypsum.EngineModel]gypsum.WeightVersion
	running  int
	// starting counts, for each model, the runs that have not given an event yet.
	starting map[gypsum.EngineModel]int
	order    *order
	pace     time.Duration
	failures int
	closed   time.Time
	outcomes health.Outcomes
	// sequence is the number of orders that the engine has accepted.
	sequence int64

	runs     atomic.Int64
	gaps     atomic.Int64
	gapCount atomic.Int64
}

// newEngine returns what is known of an engine from its registration.
func newEngine(replica *gypsum.Replica) *engine {
	made := &engine{sequence: unknownSequence, starting: make(map[gypsum.EngineModel]int), versions: make(map[gypsum.EngineModel]gypsum.WeightVersion)}
	made.follow(replica)
	return made
}

// follow takes over a newer registration.
func (e *engine) follow(replica *gypsum.Replica) {
	if e.replica != nil && e.replica.Incarnation != replica.Incarnation {
		clear(e.versions)
		e.sequence, e.pace, e.failures, e.closed = unknownSequence, 0, 0, time.Time{}
		e.outcomes = health.Outcomes{}
	}
	e.replica = replica
	for model, version := range replica.Models {
		e.versions[model] = max(e.versions[model], version)
	}
}

// observe takes the time between two events of a run. Any goroutine may call it.
func (e *engine) observe(gap time.Duration) {
	alone := float64(gap) / (1 + sched.SlowdownPerRun*float64(e.runs.Load()))
	e.gaps.Add(int64(alone))
	e.gapCount.Add(1)
}

// measure takes in what was observed since the last call.
func (e *engine) measure() {
	count, sum := e.gapCount.Swap(0), e.gaps.Swap(0)
	if count == 0 {
		return
	}
	mean := time.Duration(sum / count)
	if e.pace == 0 {
		e.pace = mean
		return
	}
	e.pace += time.Duration(paceWeight * float64(mean-e.pace))
}

// succeeded notes a run that the engine brought to its end.
func (e *engine) succeeded(now time.Time) {
	e.failures = 0
	e.outcomes.Succeeded(now)
}

// failed notes a run that the engine broke off or did not take.
func (e *engine) failed(now time.Time) {
	e.outcomes.Failed(now)
	pause := min(longestPause, firstPause<<min(e.failures, 8))
	e.failures++
	if until := now.Add(pause); until.After(e.closed) {
		e.closed = until
	}
}

// view returns the engine as the decisions see it.
func (e *engine) view(now time.Time) *sched.Engine {
	seen := &sched.Engine{
		ID: e.replica.ID, Slots: e.replica.Slots, Running: e.running, Versions: e.versions, Pace: e.pace,
		Failing: e.outcomes.Failing(now),
		Closed:  e.replica.State != gypsum.ReplicaReady || now.Before(e.closed),
	}
	if seen.Pace == 0 {
		seen.Pace = firstPace
	}
	if e.order != nil {
		seen.Loading = e.order.model
	}
	return seen
}

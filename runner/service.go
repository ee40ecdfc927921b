package runner

import (
	"context"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/sched"
	"github.com/gypsumhook/gypsum/state"
)

// Times of runs.
const (
	// firstEventTimeout is how long an engine may take to the first event: some loads
	// of weights and a full queue.
	firstEventTimeout = 1200 * time.Millisecond
	// eventTimeout is how long an engine may pause between two events: far above a
	// slow engine's, so that only a silent one is left.
	eventTimeout = 1200 * time.Millisecond
	// savedTextRetention is how long texts of ended batches are kept for the next step.
	savedTextRetention = 15 * time.Second
	// ioTimeout bounds reading the items of a batch, itemsPause is the wait after
	// a failure.
	ioTimeout    = 3 * time.Second
	ioRetryDelay = 200 * time.Millisecond
	// checkpointAfter and checkpointEvery say how long a run is before its events
	// are stored, and how often then: long items decide when a step is whole.
	checkpointAfter    = 1200 * time.Millisecond
	checkpointInterval = 1500 * time.Millisecond
	// crashLimit is how many engines an item may crash, from the users' pages.
	crashLimit = 3
	// maxClockSkew is how far the clocks of hosts may differ.
	maxClockSkew = time.Second
)

// heldService is a service that this host holds.
type heldService struct {
	runner *Runner
	// ctx ends with the hold, process with the daemon: results are stored all the same.
	ctx          context.Context
	processCtx   context.Context
	cancel       context.CancelFunc
	service      gypsum.ServiceName
	fencingToken gypsum.Offset
	term         int64
	// ordersNotBefore is when orders may be given: the holder before may have given one
	// just before its end.
	ordersNotBefore time.Time
	lastActive      time.Time
	since           time.Time

	engines    map[gypsum.BackendID]*engine
	batches    map[gypsum.BatchID]*activeBatch
	assigned   map[gypsum.BackendID]gypsum.EngineModel
	demand     map[gypsum.EngineModel]float64
	savedTexts map[gypsum.ItemID]*savedText
}

// newHeldService returns a service that is held from now on.
func newHeldService(ctx context.Context, r *Runner, service gypsum.ServiceName, holder *batch.Holder) *heldService {
	processCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	return &heldService{
		runner: r, ctx: ctx, processCtx: processCtx, cancel: cancel, service: service, fencingToken: holder.FencingToken, term: holder.Term,
		engines: make(map[gypsum.BackendID]*engine), batches: make(map[gypsum.BatchID]*activeBatch),
		assigned: make(map[gypsum.BackendID]gypsum.EngineModel), demand: make(map[gypsum.EngineModel]float64),
		savedTexts: make(map[gypsum.ItemID]*savedText),
	}
}

// close ends all runs.
func (s *heldService) close() { s.cancel() }

// runRound follows the news and makes the decisions that are due.
func (s *heldService) runRound(snapshot *state.Snapshot, headers []batch.Header, now time.Time) {
	s.updateEngines(snapshot)
	s.updateBatches(snapshot, headers, now)
	s.checkAttempts(now)
	engines := s.schedEngines(now)
	s.markPendingLoads(snapshot, engines)
	s.startItems(engines, now)
	s.moveAttempts(engines)
	s.issueLoadOrders(snapshot, engines, now)
}

// updateEngines takes over the registrations.
func (s *heldService) updateEngines(snapshot *state.Snapshot) {
	registered := make(map[gypsum.BackendID]bool)
	for _, replica := range snapshot.Services[s.service] {
		registered[replica.ID] = true
		e := s.engines[replica.ID]
		if e == nil {
			s.engines[replica.ID] = newEngine(replica)
			continue
		}
		e.updateReplica(replica)
	}
	for id, e := range s.engines {
		if !registered[id] && e.running == 0 {
			delete(s.engines, id)
		} else if !registered[id] {
			e.cooldownUntil = time.Now().Add(maxCooldown)
		}
	}
}

// schedEngines returns the engines as the decisions see them.
func (s *heldService) schedEngines(now time.Time) []*sched.Engine {
	views := make([]*sched.Engine, 0, len(s.engines))
	for _, e := range s.engines {
		e.updateEventTime()
		views = append(views, e.schedEngine(now))
	}
	return views
}

// schedItem returns the task as the decisions see it.
func (t *task) schedItem() sched.Item {
	return sched.Item{
		Batch: t.batch.header.ID, ID: t.item.ID, Model: t.batch.header.Model, MinVersion: t.batch.header.MinVersion,
		Due: t.batch.header.DueAt(), RemainingEvents: t.remainingEvents(), AvoidedEngine: t.avoidedEngine, Failures: t.failures, SingleVersion: t.batch.header.SingleVersion,
	}
}

package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/sched"
	"github.com/gypsumhook/gypsum/state"
)

// Timeouts and limits of attempts.
const (
	// firstEventTimeout is how long an engine may take until the first event. It covers
	// a few weight loads and a full queue.
	firstEventTimeout = 1200 * time.Millisecond
	// eventTimeout is how long an engine may take between two events. It is far above
	// the event time of a slow engine, so that only silent engines exceed it.
	eventTimeout = 1200 * time.Millisecond
	// savedTextRetention is how long texts of ended batches are kept in memory for
	// batches of the next step.
	savedTextRetention = 15 * time.Second
	// ioTimeout bounds one access to the store or one probe of an engine; ioRetryDelay
	// is the delay before a failed access is retried.
	ioTimeout    = 3 * time.Second
	ioRetryDelay = 200 * time.Millisecond
	// checkpointAfter is the time since an item's first attempt after which its events are
	// stored, and checkpointInterval the time between two checkpoints. Only long items are
	// worth it: they determine when a step is complete.
	checkpointAfter    = 1200 * time.Millisecond
	checkpointInterval = 1500 * time.Millisecond
	// initialStartTime is the assumed time from the start of an attempt to its first event
	// until some are measured: a round trip between regions, the prompt, and an event.
	// startTimeWeight is the weight of the latest measurement in the average.
	initialStartTime = 250 * time.Millisecond
	startTimeWeight  = 0.05
	// silenceNoticeTime is the time without an event of any engine after which the engines
	// count as silent. It spans the event times of slow engines many times over.
	silenceNoticeTime = 400 * time.Millisecond
	// maxClockSkew is the largest assumed difference between the clocks of two hosts.
	maxClockSkew = time.Second
)

// heldService is the state of a service that this daemon holds.
type heldService struct {
	runner *Runner
	// ctx ends when the service is lost or released, processCtx when the daemon stops.
	// Results are stored under processCtx, also after the service is lost.
	ctx          context.Context
	processCtx   context.Context
	cancel       context.CancelFunc
	service      gypsum.ServiceName
	fencingToken gypsum.Offset
	term         int64
	// loadOrdersNotBefore is the time from which load orders may be sent. After a
	// takeover, a load order that the previous holder sent just before may still arrive.
	loadOrdersNotBefore time.Time
	lastActive          time.Time // last round with open batches
	heldSince           time.Time

	engines        map[gypsum.BackendID]*engine
	batches        map[gypsum.BatchID]*activeBatch
	assignedModels map[gypsum.BackendID]gypsum.EngineModel // see sched.AssignModels
	expectedTokens map[gypsum.EngineModel]float64          // expected tokens of the newest batch
	savedTexts     map[gypsum.ItemID]*savedText
	// scoringTime is the moving average of the time from a complete text to its score.
	scoringTime time.Duration
	// startTime is the moving average of the time from the start of an attempt to its first
	// event.
	startTime time.Duration
	// slowPeriods are those of the service's engines.
	slowPeriods sched.SlowPeriods
	// lastEvent is the time of the newest event of any engine, as a duration since heldSince: a
	// Unix time would jump with the host's time of day. It is shared with the goroutines of
	// attempts.
	lastEvent atomic.Int64
	// silent means that no engine has sent an event for silenceNoticeTime.
	silent bool
}

// newHeldService returns the state of a service whose claim by this daemon is holder.
func newHeldService(ctx context.Context, r *Runner, service gypsum.ServiceName, holder *batch.Holder) *heldService {
	processCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	return &heldService{
		runner: r, ctx: ctx, processCtx: processCtx, cancel: cancel, service: service, fencingToken: holder.FencingToken, term: holder.Term,
		engines: make(map[gypsum.BackendID]*engine), batches: make(map[gypsum.BatchID]*activeBatch),
		assignedModels: make(map[gypsum.BackendID]gypsum.EngineModel), expectedTokens: make(map[gypsum.EngineModel]float64),
		savedTexts: make(map[gypsum.ItemID]*savedText), startTime: initialStartTime,
	}
}

func (s *heldService) cancelAttempts() { s.cancel() }

// runRound updates the state of engines and batches and carries out one round of
// scheduling decisions.
func (s *heldService) runRound(snapshot *state.Snapshot, headers []batch.Header, now time.Time) {
	s.updateEngines(snapshot)
	s.updateBatches(snapshot, headers, now)
	s.superviseAttempts(now)
	engines := s.schedEngines(now)
	s.markPendingLoads(snapshot, engines)
	s.startItems(engines, now)
	s.moveAttempts(engines, now)
	s.sendRewardCalls(snapshot, now)
	s.sendLoadOrders(snapshot, engines, now)
}

// updateEngines applies the registrations. An engine that is no longer registered is
// kept without new attempts until its last attempt has ended.
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
			e.unregistered = true
		}
	}
}

// schedEngines returns the scheduler's view of all engines.
func (s *heldService) schedEngines(now time.Time) []*sched.Engine {
	views := make([]*sched.Engine, 0, len(s.engines))
	for _, e := range s.engines {
		e.eventTimer.Update(now)
		if ended := e.pace.Update(now, &e.eventTimer); ended > 0 {
			s.slowPeriods.Add(ended)
			s.runner.Stats.SlowPeriods.Add(1)
			s.runner.Stats.SlowTime.Add(int64(ended))
		}
		view := e.schedEngine(now)
		e.pace.Describe(view, now)
		view.StartsLeft, view.RateLimited = s.runner.Limiter.Available(e.replica, now)
		views = append(views, view)
	}
	return views
}

// schedItem returns the scheduler's view of the item.
func (a *activeItem) schedItem(scoringTime time.Duration) sched.Item {
	if a.request.Scorer == nil {
		scoringTime = 0
	}
	generated, software := a.progress.generated()
	return sched.Item{
		GeneratedEvents: generated, Software: software,
		ScoringTime: scoringTime,
		Batch:       a.batch.header.ID, ID: a.request.ID, Group: a.request.Group, Model: a.batch.header.Model, MinVersion: a.batch.header.MinVersion,
		DueAt: a.batch.header.DueAt(), RemainingEvents: a.remainingEvents(), AvoidedEngine: a.avoidedEngine, Failures: a.failures, SingleVersion: a.batch.header.SingleVersion,
	}
}

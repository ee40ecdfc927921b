package runner

import (
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/sched"
	"github.com/gypsumhook/gypsum/state"
)

// Times of orders.
const (
	// minLoadTime is how long a load of weights takes at the least.
	minLoadTime = 850 * time.Millisecond
	// reportPollInterval is the time between two looks at a load, about a report's age.
	reportPollInterval = 200 * time.Millisecond
	// orderTimeout is how long an order may take before it is given anew.
	orderTimeout = 5 * time.Second
	// orderRetryDelay is the wait after an order that the engine did not take.
	orderRetryDelay = 300 * time.Millisecond
)

// loadOrder is an order that is on its way or being carried out.
type loadOrder struct {
	model   gypsum.EngineModel
	version gypsum.WeightVersion
}

// issueLoadOrders gives the orders that are due.
func (s *heldService) issueLoadOrders(snapshot *state.Snapshot, engines []*sched.Engine, now time.Time) {
	if now.Before(s.ordersNotBefore) || !s.runner.mayOrderLoads(now) {
		return
	}
	models := s.modelDemands(snapshot)
	s.assigned = sched.AssignModels(models, assignableEngines(engines), s.assigned)
	singles := s.singleVersionAttempts()
	busy := func(id gypsum.BackendID, model gypsum.EngineModel) bool {
		return s.engines[id].awaitingFirstEvent[model] > 0 || singles[id] == model
	}
	for _, load := range sched.ScheduleLoads(models, engines, s.assigned, busy) {
		s.orderLoad(s.engines[load.Engine], load)
	}
}

// markPendingLoads marks the engines that are to load the next version of their model.
func (s *heldService) markPendingLoads(snapshot *state.Snapshot, engines []*sched.Engine) {
	for _, engine := range engines {
		if model, ok := s.assigned[engine.ID]; ok && engine.Versions[model] < snapshot.Versions[model] {
			engine.PendingLoad = model
		}
	}
}

// singleVersionAttempts returns the engines on which items run whose texts one version must
// make, with their model: a load would make all of it void.
func (s *heldService) singleVersionAttempts() map[gypsum.BackendID]gypsum.EngineModel {
	singles := make(map[gypsum.BackendID]gypsum.EngineModel)
	for _, b := range s.batches {
		for _, task := range b.tasks {
			if b.header.SingleVersion && task.phase == phaseRunning {
				singles[task.engine.replica.ID] = b.header.Model
			}
		}
	}
	return singles
}

// assignableEngines returns the engines that are not leaving.
func assignableEngines(engines []*sched.Engine) []*sched.Engine {
	var assignable []*sched.Engine
	for _, engine := range engines {
		if !engine.Unavailable || engine.Loading != "" || engine.Running > 0 {
			assignable = append(assignable, engine)
		}
	}
	return assignable
}

// modelDemands returns what the service's models need.
func (s *heldService) modelDemands(snapshot *state.Snapshot) []sched.ModelDemand {
	var models []sched.ModelDemand
	for _, model := range snapshot.Config.Services[s.service].Models {
		models = append(models, sched.ModelDemand{
			Model: model, Latest: max(1, snapshot.Versions[model]), Demand: s.demand[model],
		})
	}
	return models
}

// orderLoad orders an engine to load a version and follows the load.
func (s *heldService) orderLoad(e *engine, order sched.LoadOrder) {
	pending := &loadOrder{model: order.Model, version: order.Version}
	e.loadOrder = pending
	replica, expect := e.replica, e.orderSequence
	s.runner.Stats.Orders.Add(1)
	go func() {
		if expect == unknownSequence {
			report, err := s.runner.Engines.FetchReport(s.ctx, replica)
			if err != nil {
				s.runner.Logger.Warn("engine gave no report", "replica", replica.ID, "error", err)
				s.runner.post(s.ctx, func() { s.loadOrderEnded(e, replica, pending, nil) })
				return
			}
			expect = report.OrderSequence
		}
		answer, err := s.runner.Engines.SendLoadOrder(s.ctx, &gypsum.ReplicaLoadOrder{
			Replica: replica, Model: order.Model, Version: order.Version, Holder: s.runner.Host, FencingToken: s.fencingToken + 1, ExpectedSequence: expect,
		})
		s.runner.Logger.Info("order given", "replica", replica.ID, "model", order.Model, "version", order.Version,
			"fence", s.fencingToken+1, "expect", expect, "answer", answer, "error", err)
		report := &gypsum.EngineReport{}
		switch answer {
		case gypsum.LoadOrderAlreadyLoaded:
			report.Models = map[gypsum.EngineModel]gypsum.WeightVersion{order.Model: order.Version}
			report.OrderSequence = expect
		case gypsum.LoadOrderAccepted:
			report = s.awaitLoad(replica, order, minLoadTime)
		default:
			report = s.awaitLoad(replica, order, orderRetryDelay)
		}
		s.runner.post(s.ctx, func() { s.loadOrderEnded(e, replica, pending, report) })
	}()
}

// awaitLoad looks at an engine until it has loaded a version, is idle without it,
// or takes too long. It returns the last report, nil for none.
func (s *heldService) awaitLoad(replica *gypsum.Replica, order sched.LoadOrder, firstWait time.Duration) *gypsum.EngineReport {
	start := time.Now()
	var last *gypsum.EngineReport
	for wait := firstWait; time.Since(start) < orderTimeout; wait = reportPollInterval {
		select {
		case <-s.ctx.Done():
			return last
		case <-time.After(wait):
		}
		report, err := s.runner.Engines.FetchReport(s.ctx, replica)
		if err != nil {
			s.runner.Logger.Warn("engine gave no report", "replica", replica.ID, "error", err)
			return last
		}
		last = report
		if !report.Busy && (report.Models[order.Model] >= order.Version || firstWait != minLoadTime || time.Since(start) > 2*minLoadTime) {
			return last
		}
	}
	return last
}

// loadOrderEnded takes over what an engine says after an order.
func (s *heldService) loadOrderEnded(e *engine, replica *gypsum.Replica, pending *loadOrder, report *gypsum.EngineReport) {
	if e.loadOrder == pending {
		e.loadOrder = nil
	}
	if report == nil || e.replica.Incarnation != replica.Incarnation {
		e.recordFailure(time.Now())
		return
	}
	e.orderSequence = report.OrderSequence
	for model, version := range report.Models {
		e.versions[model] = max(e.versions[model], version)
	}
}

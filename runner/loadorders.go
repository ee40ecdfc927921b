package runner

import (
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/sched"
	"github.com/gypsumhook/gypsum/state"
)

// Timing of load orders.
const (
	// minLoadTime is the shortest time in which an engine loads weights.
	minLoadTime = 850 * time.Millisecond
	// reportPollInterval is the time between two reports fetched during a load, about
	// the time by which reports lag.
	reportPollInterval = 200 * time.Millisecond
	// loadOrderTimeout is how long a load may take before a new load order may be sent.
	loadOrderTimeout = 5 * time.Second
	// loadOrderRetryDelay is the delay after a load order that the engine did not accept.
	loadOrderRetryDelay = 300 * time.Millisecond
)

// loadOrder is a load order that is being sent or carried out.
type loadOrder struct {
	model   gypsum.EngineModel
	version gypsum.WeightVersion
}

// sendLoadOrders sends the load orders that are due.
func (s *heldService) sendLoadOrders(snapshot *state.Snapshot, engines []*sched.Engine, now time.Time) {
	if now.Before(s.loadOrdersNotBefore) || !s.runner.maySendLoadOrders(now) {
		return
	}
	models := s.modelDemands(snapshot)
	s.assignedModels = sched.AssignModels(models, assignableEngines(engines), s.assignedModels)
	singleVersion := s.singleVersionAttempts()
	busy := func(id gypsum.BackendID, model gypsum.EngineModel) bool {
		return s.engines[id].awaitingFirstEvent[model] > 0 || singleVersion[id] == model
	}
	for _, order := range sched.ScheduleLoads(models, engines, s.assignedModels, busy) {
		s.sendLoadOrder(s.engines[order.Engine], order)
	}
}

// markPendingLoads sets PendingLoad of the engines that are behind the latest version of
// their assigned model.
func (s *heldService) markPendingLoads(snapshot *state.Snapshot, engines []*sched.Engine) {
	for _, engine := range engines {
		if model, ok := s.assignedModels[engine.ID]; ok && engine.Versions[model] < snapshot.Versions[model] {
			engine.PendingLoad = model
		}
	}
}

// singleVersionAttempts returns the engines that run items whose whole text must come
// from one version, with the items' model. A load would invalidate these texts.
func (s *heldService) singleVersionAttempts() map[gypsum.BackendID]gypsum.EngineModel {
	attempts := make(map[gypsum.BackendID]gypsum.EngineModel)
	for _, b := range s.batches {
		for _, a := range b.items {
			if b.header.SingleVersion && a.phase == phaseRunning {
				attempts[a.engine.replica.ID] = b.header.Model
			}
		}
	}
	return attempts
}

// assignableEngines returns the engines that are available, loading weights or running
// attempts.
func assignableEngines(engines []*sched.Engine) []*sched.Engine {
	var assignable []*sched.Engine
	for _, engine := range engines {
		if !engine.Unusable || engine.Loading != "" || engine.Running > 0 {
			assignable = append(assignable, engine)
		}
	}
	return assignable
}

// modelDemands returns the latest version, the demand and the items of each of the service's models.
func (s *heldService) modelDemands(snapshot *state.Snapshot) []sched.ModelDemand {
	var models []sched.ModelDemand
	items := s.openItems()
	for _, model := range snapshot.Config.Services[s.service].Models {
		models = append(models, sched.ModelDemand{
			Model: model, Latest: max(1, snapshot.Versions[model]), Demand: s.expectedTokens[model], Items: items[model],
		})
	}
	return models
}

// openItems returns the number of items in the largest open batch of each model.
func (s *heldService) openItems() map[gypsum.EngineModel]int {
	items := make(map[gypsum.EngineModel]int)
	for _, b := range s.batches {
		items[b.header.Model] = max(items[b.header.Model], b.header.ItemCount)
	}
	return items
}

// sendLoadOrder sends a load order to an engine and waits for the load in the background.
func (s *heldService) sendLoadOrder(e *engine, order sched.LoadOrder) {
	pending := &loadOrder{model: order.Model, version: order.Version}
	e.loadOrder = pending
	replica, expected := e.replica, e.loadOrderSequence
	s.runner.Stats.LoadOrders.Add(1)
	go func() {
		if expected == unknownSequence {
			s.runner.Limiter.Charge(replica, time.Now())
			report, err := s.runner.Engines.FetchReport(s.ctx, replica)
			if err != nil {
				s.runner.Logger.Warn("failed to fetch engine report", "replica", replica.ID, "error", err)
				s.runner.postUpdate(s.ctx, func() { s.handleLoadOrderEnd(e, replica, pending, nil) })
				return
			}
			expected = report.LoadOrderSequence
		}
		s.runner.Limiter.Charge(replica, time.Now())
		status, err := s.runner.Engines.SendLoadOrder(s.ctx, &gypsum.ReplicaLoadOrder{
			Replica: replica, Model: order.Model, Version: order.Version, Holder: s.runner.Host, FencingToken: s.fencingToken + 1, ExpectedSequence: expected,
		})
		s.runner.Logger.Info("load order sent", "replica", replica.ID, "model", order.Model, "version", order.Version,
			"fence", s.fencingToken+1, "expect", expected, "answer", status, "error", err)
		report := &gypsum.EngineReport{}
		switch status {
		case gypsum.LoadOrderAlreadyLoaded:
			report.Models = map[gypsum.EngineModel]gypsum.WeightVersion{order.Model: order.Version}
			report.LoadOrderSequence = expected
		case gypsum.LoadOrderAccepted:
			report = s.waitForLoad(replica, order, minLoadTime)
		default:
			report = s.waitForLoad(replica, order, loadOrderRetryDelay)
		}
		s.runner.postUpdate(s.ctx, func() { s.handleLoadOrderEnd(e, replica, pending, report) })
	}()
}

// waitForLoad polls an engine's report until the engine has loaded the version, is idle
// without having loaded it, or exceeds loadOrderTimeout. Since reports lag, an engine
// that accepted the load order is taken for idle only after twice minLoadTime. waitForLoad
// returns the last report, or nil if there is none.
func (s *heldService) waitForLoad(replica *gypsum.Replica, order sched.LoadOrder, firstWait time.Duration) *gypsum.EngineReport {
	start := time.Now()
	var last *gypsum.EngineReport
	for wait := firstWait; time.Since(start) < loadOrderTimeout; wait = reportPollInterval {
		select {
		case <-s.ctx.Done():
			return last
		case <-time.After(max(wait, s.runner.Limiter.ControlInterval(replica))):
		}
		s.runner.Limiter.Charge(replica, time.Now())
		report, err := s.runner.Engines.FetchReport(s.ctx, replica)
		if err != nil {
			s.runner.Logger.Warn("failed to fetch engine report", "replica", replica.ID, "error", err)
			return last
		}
		last = report
		if !report.LoadingWeights && (report.Models[order.Model] >= order.Version || firstWait != minLoadTime || time.Since(start) > 2*minLoadTime) {
			return last
		}
	}
	return last
}

// handleLoadOrderEnd applies an engine's report after a load order. Without a report, or if
// the engine was restarted meanwhile, the load order counts as a failure of the engine.
func (s *heldService) handleLoadOrderEnd(e *engine, replica *gypsum.Replica, pending *loadOrder, report *gypsum.EngineReport) {
	if e.loadOrder == pending {
		e.loadOrder = nil
	}
	if report == nil || e.replica.Incarnation != replica.Incarnation {
		e.recordFailure(time.Now())
		return
	}
	e.loadOrderSequence = report.LoadOrderSequence
	for model, version := range report.Models {
		e.versions[model] = max(e.versions[model], version)
	}
}

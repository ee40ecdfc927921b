package runner

import (
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/sched"
	"github.com/gypsumhook/gypsum/state"
)

// Times of orders.
const (
	// loadTime is how long a load of weights takes at the least.
	loadTime = 850 * time.Millisecond
	// reportInterval is the time between two looks at a load, about a report's age.
	reportInterval = 200 * time.Millisecond
	// orderLimit is how long an order may take before it is given anew.
	orderLimit = 5 * time.Second
	// orderPause is the wait after an order that the engine did not take.
	orderPause = 300 * time.Millisecond
)

// order is an order that is on its way or being carried out.
type order struct {
	model   gypsum.EngineModel
	version gypsum.WeightVersion
}

// giveOrders gives the orders that are due.
func (h *hold) giveOrders(snapshot *state.Snapshot, engines []*sched.Engine, now time.Time) {
	if now.Before(h.ordersFrom) || !h.runner.mayOrder(now) {
		return
	}
	models := h.needs(snapshot)
	h.shares = sched.Shares(models, ready(engines), h.shares)
	singles := h.singleRuns()
	busy := func(id gypsum.BackendID, model gypsum.EngineModel) bool {
		return h.engines[id].starting[model] > 0 || singles[id] == model
	}
	for _, load := range sched.Loads(models, engines, h.shares, busy) {
		h.order(h.engines[load.Engine], load)
	}
}

// markBehind marks the engines that are to load the next version of their model.
func (h *hold) markBehind(snapshot *state.Snapshot, engines []*sched.Engine) {
	for _, engine := range engines {
		if model, ok := h.shares[engine.ID]; ok && engine.Versions[model] < snapshot.Versions[model] {
			engine.Behind = model
		}
	}
}

// singleRuns returns the engines on which items run whose texts one version must
// make, with their model: a load would make all of it void.
func (h *hold) singleRuns() map[gypsum.BackendID]gypsum.EngineModel {
	singles := make(map[gypsum.BackendID]gypsum.EngineModel)
	for _, known := range h.jobs {
		for _, task := range known.tasks {
			if known.header.SingleVersion && task.phase == phaseRunning {
				singles[task.engine.replica.ID] = known.header.Model
			}
		}
	}
	return singles
}

// ready returns the engines that are not leaving.
func ready(engines []*sched.Engine) []*sched.Engine {
	var open []*sched.Engine
	for _, engine := range engines {
		if !engine.Closed || engine.Loading != "" || engine.Running > 0 {
			open = append(open, engine)
		}
	}
	return open
}

// needs returns what the service's models need.
func (h *hold) needs(snapshot *state.Snapshot) []sched.ModelNeed {
	var models []sched.ModelNeed
	for _, model := range snapshot.Config.Services[h.service].Models {
		models = append(models, sched.ModelNeed{
			Model: model, Named: max(1, snapshot.Versions[model]), Demand: h.demand[model],
		})
	}
	return models
}

// order orders an engine to load a version and follows the load.
func (h *hold) order(on *engine, load sched.Load) {
	given := &order{model: load.Model, version: load.Version}
	on.order = given
	replica, expect := on.replica, on.sequence
	h.runner.Stats.Orders.Add(1)
	go func() {
		if expect == unknownSequence {
			report, err := h.runner.Engines.FetchReport(h.ctx, replica)
			if err != nil {
				h.runner.Logger.Warn("engine gave no report", "replica", replica.ID, "error", err)
				h.runner.post(h.ctx, func() { h.orderEnded(on, replica, given, nil) })
				return
			}
			expect = report.OrderSequence
		}
		answer, err := h.runner.Engines.SendLoadOrder(h.ctx, &gypsum.ReplicaLoadOrder{
			Replica: replica, Model: load.Model, Version: load.Version, Holder: h.runner.Host, FencingToken: h.fence + 1, ExpectedSequence: expect,
		})
		h.runner.Logger.Info("order given", "replica", replica.ID, "model", load.Model, "version", load.Version,
			"fence", h.fence+1, "expect", expect, "answer", answer, "error", err)
		report := &gypsum.EngineReport{}
		switch answer {
		case gypsum.LoadOrderAlreadyLoaded:
			report.Models = map[gypsum.EngineModel]gypsum.WeightVersion{load.Model: load.Version}
			report.OrderSequence = expect
		case gypsum.LoadOrderAccepted:
			report = h.awaitLoad(replica, load, loadTime)
		default:
			report = h.awaitLoad(replica, load, orderPause)
		}
		h.runner.post(h.ctx, func() { h.orderEnded(on, replica, given, report) })
	}()
}

// awaitLoad looks at an engine until it has loaded a version, is idle without it,
// or takes too long. It returns the last report, nil for none.
func (h *hold) awaitLoad(replica *gypsum.Replica, load sched.Load, first time.Duration) *gypsum.EngineReport {
	begun := time.Now()
	var last *gypsum.EngineReport
	for wait := first; time.Since(begun) < orderLimit; wait = reportInterval {
		select {
		case <-h.ctx.Done():
			return last
		case <-time.After(wait):
		}
		report, err := h.runner.Engines.FetchReport(h.ctx, replica)
		if err != nil {
			h.runner.Logger.Warn("engine gave no report", "replica", replica.ID, "error", err)
			return last
		}
		last = report
		if !report.Busy && (report.Models[load.Model] >= load.Version || first != loadTime || time.Since(begun) > 2*loadTime) {
			return last
		}
	}
	return last
}

// orderEnded takes over what an engine says after an order.
func (h *hold) orderEnded(on *engine, replica *gypsum.Replica, given *order, report *gypsum.EngineReport) {
	if on.order == given {
		on.order = nil
	}
	if report == nil || on.replica.Incarnation != replica.Incarnation {
		on.failed(time.Now())
		return
	}
	on.sequence = report.OrderSequence
	for model, version := range report.Models {
		on.versions[model] = max(on.versions[model], version)
	}
}

package sched

import (
	"cmp"
	"slices"

	"github.com/gypsumhook/gypsum"
)

// ModelDemand is what is known of a model of a service.
type ModelDemand struct {
	Model gypsum.EngineModel
	// Latest is the newest version that its trainer has named.
	Latest gypsum.WeightVersion
	// Demand is the work of its newest batch, in any unit common to all models.
	Demand float64
}

// AssignModels decides which model each engine follows. Load: several trainers share the
// engines, each names a version every few seconds, and each load takes an engine
// from one model for a second. Were all engines to follow all models, loads would
// be as many times more as there are models. So each engine follows one model; the
// numbers of engines go by the models' demand, at least one each. The present
// shares are kept as far as the numbers allow; engines without one go to the model
// that they are the least behind on, if that still wants engines. An engine that fails
// most of its runs follows none while there are others: its model needs one that works.
func AssignModels(models []ModelDemand, engines []*Engine, current map[gypsum.BackendID]gypsum.EngineModel) map[gypsum.BackendID]gypsum.EngineModel {
	assigned := make(map[gypsum.BackendID]gypsum.EngineModel, len(engines))
	if len(models) == 0 || len(engines) == 0 {
		return assigned
	}
	healthy := slices.DeleteFunc(slices.Clone(engines), func(engine *Engine) bool { return engine.FailureRate >= maxAssignedFailureRate })
	if len(healthy) > 0 {
		engines = healthy
	}
	quota := engineQuotas(models, len(engines))
	order := slices.Clone(engines)
	slices.SortFunc(order, func(a, b *Engine) int { return cmp.Compare(a.ID, b.ID) })
	assign := func(engine *Engine, model gypsum.EngineModel) bool {
		if _, done := assigned[engine.ID]; done || quota[model] == 0 {
			return false
		}
		quota[model]--
		assigned[engine.ID] = model
		return true
	}
	for _, engine := range order {
		if model, ok := current[engine.ID]; ok {
			assign(engine, model)
		}
	}
	for _, engine := range order {
		for _, model := range modelsByLag(models, engine) {
			if assign(engine, model) {
				break
			}
		}
	}
	return assigned
}

// maxAssignedFailureRate is the part of its runs that an engine fails from which it follows no
// model: more than one failure in a row.
const maxAssignedFailureRate = 0.5

// modelsByLag returns the models, the one that the engine is the least behind on first.
func modelsByLag(models []ModelDemand, engine *Engine) []gypsum.EngineModel {
	order := slices.Clone(models)
	slices.SortStableFunc(order, func(a, b ModelDemand) int {
		return cmp.Compare(a.Latest-engine.Versions[a.Model], b.Latest-engine.Versions[b.Model])
	})
	names := make([]gypsum.EngineModel, 0, len(order))
	for _, model := range order {
		names = append(names, model.Model)
	}
	return names
}

// engineQuotas divides a number of engines among models by their demand: the model with
// the largest demand for each engine it has gets the next.
func engineQuotas(models []ModelDemand, engines int) map[gypsum.EngineModel]int {
	quota := make(map[gypsum.EngineModel]int, len(models))
	total := 0.0
	for _, model := range models {
		total += model.Demand
	}
	// A model whose demand is not known yet counts with a part of the mean.
	minDemand := max(total/float64(len(models))/8, 1e-9)
	for range engines {
		best := 0
		for i := range models {
			if demandPerEngine(&models[i], quota, minDemand) > demandPerEngine(&models[best], quota, minDemand) {
				best = i
			}
		}
		quota[models[best].Model]++
	}
	return quota
}

// demandPerEngine returns a model's demand for each engine that it would have with one more.
// A model without an engine goes first.
func demandPerEngine(model *ModelDemand, quota map[gypsum.EngineModel]int, minDemand float64) float64 {
	engines := quota[model.Model]
	demand := max(model.Demand, minDemand)
	if engines == 0 {
		return demand + 1e18
	}
	return demand / (float64(engines) + 0.5)
}

// LoadOrder is a decision to let an engine load a version.
type LoadOrder struct {
	Engine  gypsum.BackendID
	Model   gypsum.EngineModel
	Version gypsum.WeightVersion
}

// MaxConcurrentLoads returns how many of a service's engines may load at the same time:
// beyond a fifth of them, loads take longer (the sheets: 2 of 8 and 9, 9 of 45).
func MaxConcurrentLoads(engines int) int { return (engines + 4) / 5 }

// ScheduleLoads decides which engines load weights now. Load: a trainer names a version and
// asks for the next step in the same moment; the step may still use the version
// before. So an engine on which items of the model have just been sent, and may
// not have begun, is busy and waits; the engine that is the furthest behind goes first.
func ScheduleLoads(models []ModelDemand, engines []*Engine, assigned map[gypsum.BackendID]gypsum.EngineModel, busy func(gypsum.BackendID, gypsum.EngineModel) bool) []LoadOrder {
	latest := make(map[gypsum.EngineModel]gypsum.WeightVersion, len(models))
	for _, model := range models {
		latest[model.Model] = model.Latest
	}
	free := MaxConcurrentLoads(len(engines))
	var outdated []*Engine
	for _, engine := range engines {
		if engine.Loading != "" {
			free--
			continue
		}
		model, ok := assigned[engine.ID]
		if ok && !engine.Unavailable && engine.Versions[model] < latest[model] && !busy(engine.ID, model) {
			outdated = append(outdated, engine)
		}
	}
	slices.SortStableFunc(outdated, func(a, b *Engine) int {
		lag := func(e *Engine) gypsum.WeightVersion { return latest[assigned[e.ID]] - e.Versions[assigned[e.ID]] }
		return cmp.Or(cmp.Compare(lag(b), lag(a)), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	var orders []LoadOrder
	for _, engine := range outdated[:max(0, min(free, len(outdated)))] {
		model := assigned[engine.ID]
		orders = append(orders, LoadOrder{Engine: engine.ID, Model: model, Version: latest[model]})
	}
	return orders
}

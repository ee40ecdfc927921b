package sched

import (
	"cmp"
	"slices"

	"github.com/gypsumhook/gypsum"
)

// ModelDemand is the state of one model of a service.
type ModelDemand struct {
	Model gypsum.EngineModel
	// Latest is the latest version published by the model's trainer.
	Latest gypsum.WeightVersion
	// Demand is the amount of work in the model's newest batch, in any unit that is
	// common to all models.
	Demand float64
}

// AssignModels decides whose new weight versions each engine loads. Several trainers
// share the engines, each publishes a version every few seconds, and each load takes
// an engine out of service for a second. If every engine loaded the versions of every
// model, the number of loads would be multiplied by the number of models. Each engine
// is therefore assigned one model.
//
// The engines are divided in proportion to the models' demand, with at least one
// engine per model as far as there are enough. Current assignments are kept within
// these quotas; other engines are assigned the model on which they are the fewest
// versions behind. An engine that fails most of its attempts is assigned no model
// while healthy ones are left, since its model needs an engine that works.
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

// maxAssignedFailureRate is the failure rate from which an engine is assigned no model.
// It takes more than one failure in a row to reach it.
const maxAssignedFailureRate = 0.5

// modelsByLag returns the models in order of the number of versions that the engine is
// behind, least first.
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

// engineQuotas divides a number of engines among models in proportion to their demand,
// by the Sainte-Laguë method.
func engineQuotas(models []ModelDemand, engines int) map[gypsum.EngineModel]int {
	quota := make(map[gypsum.EngineModel]int, len(models))
	total := 0.0
	for _, model := range models {
		total += model.Demand
	}
	// Each model counts with at least an eighth of the mean demand, since its demand may
	// not be known yet.
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

// demandPerEngine returns the priority of a model for the next engine: its demand
// divided by its number of engines plus a half. Models without an engine come first.
func demandPerEngine(model *ModelDemand, quota map[gypsum.EngineModel]int, minDemand float64) float64 {
	engines := quota[model.Model]
	demand := max(model.Demand, minDemand)
	if engines == 0 {
		return demand + 1e18
	}
	return demand / (float64(engines) + 0.5)
}

// LoadOrder is the scheduler's decision to send a load order (see gypsum.LoadOrder).
type LoadOrder struct {
	Engine  gypsum.BackendID
	Model   gypsum.EngineModel
	Version gypsum.WeightVersion
}

// MaxConcurrentLoads returns how many of a service's engines may load weights at the
// same time. Beyond a fifth of the engines, loads take longer: the engines'
// specifications give 2 of 8, 2 of 9 and 9 of 45.
func MaxConcurrentLoads(engines int) int { return (engines + 4) / 5 }

// ScheduleLoads decides which engines load weights now. A trainer publishes a version
// and submits the next step at the same moment, and that step may still use the
// previous version. An engine to which items of the model have just been sent may not
// have begun them yet: isBusy reports such engines, and their loads wait. Engines that
// are the most versions behind load first.
func ScheduleLoads(models []ModelDemand, engines []*Engine, assigned map[gypsum.BackendID]gypsum.EngineModel, isBusy func(gypsum.BackendID, gypsum.EngineModel) bool) []LoadOrder {
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
		if ok && !engine.Unusable && engine.Versions[model] < latest[model] && !isBusy(engine.ID, model) {
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

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
	// Items is the number of items in the model's largest open batch, 0 if there is none.
	Items int
}

// Parameters of the number of engines that load the versions of a model.
const (
	// itemsPerEngine is the number of a batch's items for which one engine loads a version. Four
	// concurrent attempts slow an engine down by a seventh only (SlowdownPerAttempt), and half of
	// the slots are left to the next step, which begins before the step has ended.
	itemsPerEngine  = 4
	stepsInProgress = 2
	// assumedItems is the number of items of a batch that is not known yet.
	assumedItems = 150
	// reserveDivisor and minReserve give the engines that load a version in addition, since some are
	// slow, loading or lost at any moment.
	reserveDivisor = 8
	minReserve     = 2
	// minEngines is the number of engines that may load the versions of a model in any case: small
	// services load them everywhere.
	minEngines = 12
)

// enginesUsed returns how many engines with a number of slots the items of a model's steps use, with
// a reserve for faults. Large services have far more engines than that, and each load of weights
// that no step uses is paid for.
func enginesUsed(items, slots int) int {
	perEngine := max(1, min(itemsPerEngine, slots/stepsInProgress))
	used := (items + perEngine - 1) / perEngine
	return max(minEngines, used+max(minReserve, used/reserveDivisor))
}

// engineLimits returns for each model the number of engines that may load its versions, or nil if
// there are no more engines than all models use. Between two batches a model keeps as many engines as
// are assigned to it.
func engineLimits(models []ModelDemand, engines []*Engine, current map[gypsum.BackendID]gypsum.EngineModel) map[gypsum.EngineModel]int {
	assigned := make(map[gypsum.EngineModel]int)
	for _, model := range current {
		assigned[model]++
	}
	slots := 0
	for _, engine := range engines {
		slots += engine.Slots
	}
	limits := make(map[gypsum.EngineModel]int, len(models))
	for _, model := range models {
		items := model.Items
		if items == 0 {
			items = assumedItems
		}
		limits[model.Model] = enginesUsed(items, slots/len(engines))
	}
	if sumOf(limits) >= len(engines) {
		return nil
	}
	for _, model := range models {
		if model.Items == 0 && assigned[model.Model] > 0 {
			limits[model.Model] = min(limits[model.Model], assigned[model.Model])
		}
	}
	return limits
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
//
// In a large service, a model gets no more engines than its steps use, with a reserve. The
// other engines load nothing and replace assigned ones that fail. This decides the loads of 300
// and 1,000 engines for trainers of 50 to 150 items, which would otherwise be several per item.
func AssignModels(models []ModelDemand, engines []*Engine, current map[gypsum.BackendID]gypsum.EngineModel) map[gypsum.BackendID]gypsum.EngineModel {
	assigned := make(map[gypsum.BackendID]gypsum.EngineModel, len(engines))
	if len(models) == 0 || len(engines) == 0 {
		return assigned
	}
	healthy := slices.DeleteFunc(slices.Clone(engines), func(engine *Engine) bool { return engine.FailureRate >= maxAssignedFailureRate })
	if len(healthy) > 0 {
		engines = healthy
	}
	limits := engineLimits(models, engines, current)
	quota := engineQuotas(models, limits, len(engines))
	order := slices.Clone(engines)
	slices.SortFunc(order, func(a, b *Engine) int { return cmp.Compare(a.ID, b.ID) })
	if sumOf(quota) < len(engines) {
		// The engines that stay without a model are spread over the data centres and are those that
		// fail the most.
		slices.SortStableFunc(order, func(a, b *Engine) int {
			return cmp.Or(cmp.Compare(a.FailureRate, b.FailureRate), cmp.Compare(gypsum.RendezvousScore("loads", string(a.ID)), gypsum.RendezvousScore("loads", string(b.ID))))
		})
	}
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

// sumOf returns the sum of the quotas.
func sumOf(quota map[gypsum.EngineModel]int) int {
	sum := 0
	for _, engines := range quota {
		sum += engines
	}
	return sum
}

// engineQuotas divides a number of engines among models in proportion to their demand,
// by the Sainte-Laguë method. No model gets more engines than its limit, if there are limits.
func engineQuotas(models []ModelDemand, limits map[gypsum.EngineModel]int, engines int) map[gypsum.EngineModel]int {
	quota := make(map[gypsum.EngineModel]int, len(models))
	total := 0.0
	for _, model := range models {
		total += model.Demand
	}
	// Each model counts with at least an eighth of the mean demand, since its demand may
	// not be known yet.
	minDemand := max(total/float64(len(models))/8, 1e-9)
	for range engines {
		best := -1
		for i := range models {
			if limits != nil && quota[models[i].Model] >= limits[models[i].Model] {
				continue
			}
			if best < 0 || demandPerEngine(&models[i], quota, minDemand) > demandPerEngine(&models[best], quota, minDemand) {
				best = i
			}
		}
		if best < 0 {
			break
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
	// The engines that load nothing do not count: too many of a model's engines would load at the
	// same time, while the items of its next step wait for them.
	free := MaxConcurrentLoads(len(engines) - countUnused(engines, assigned))
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

// countUnused returns the number of engines that load nothing since the models' steps do not use
// them.
func countUnused(engines []*Engine, assigned map[gypsum.BackendID]gypsum.EngineModel) int {
	unused := 0
	for _, engine := range engines {
		if _, ok := assigned[engine.ID]; !ok && !engine.Unusable && engine.FailureRate < maxAssignedFailureRate {
			unused++
		}
	}
	return unused
}

package sched

import (
	"cmp"
	"slices"

	"github.com/gypsumhook/gypsum"
)

// ModelNeed is what is known of a model of a service.
type ModelNeed struct {
	Model gypsum.EngineModel
	// Named is the newest version that its trainer has named.
	Named gypsum.WeightVersion
	// Demand is the work of its newest batch, in any unit common to all models.
	Demand float64
}

// Shares decides which model each engine follows. Load: several trainers share the
// engines, each names a version every few seconds, and each load takes an engine
// from one model for a second. Were all engines to follow all models, loads would
// be as many times more as there are models. So each engine follows one model; the
// numbers of engines go by the models' demand, at least one each. The present
// shares are kept as far as the numbers allow; engines without one go to the model
// that they are the least behind on, if that still wants engines. An engine that fails
// most of its runs follows none while there are others: its model needs one that works.
func Shares(models []ModelNeed, engines []*Engine, present map[gypsum.BackendID]gypsum.EngineModel) map[gypsum.BackendID]gypsum.EngineModel {
	shares := make(map[gypsum.BackendID]gypsum.EngineModel, len(engines))
	if len(models) == 0 || len(engines) == 0 {
		return shares
	}
	sound := slices.DeleteFunc(slices.Clone(engines), func(engine *Engine) bool { return engine.Failing >= sharedBelow })
	if len(sound) > 0 {
		engines = sound
	}
	want := quotas(models, len(engines))
	order := slices.Clone(engines)
	slices.SortFunc(order, func(a, b *Engine) int { return cmp.Compare(a.ID, b.ID) })
	take := func(engine *Engine, model gypsum.EngineModel) bool {
		if _, taken := shares[engine.ID]; taken || want[model] == 0 {
			return false
		}
		want[model]--
		shares[engine.ID] = model
		return true
	}
	for _, engine := range order {
		if model, ok := present[engine.ID]; ok {
			take(engine, model)
		}
	}
	for _, engine := range order {
		for _, model := range byLag(models, engine) {
			if take(engine, model) {
				break
			}
		}
	}
	return shares
}

// sharedBelow is the part of its runs that an engine fails from which it follows no
// model: more than one failure in a row.
const sharedBelow = 0.5

// byLag returns the models, the one that the engine is the least behind on first.
func byLag(models []ModelNeed, engine *Engine) []gypsum.EngineModel {
	order := slices.Clone(models)
	slices.SortStableFunc(order, func(a, b ModelNeed) int {
		return cmp.Compare(a.Named-engine.Versions[a.Model], b.Named-engine.Versions[b.Model])
	})
	names := make([]gypsum.EngineModel, 0, len(order))
	for _, model := range order {
		names = append(names, model.Model)
	}
	return names
}

// quotas divides a number of engines among models by their demand: the model with
// the largest demand for each engine it has gets the next.
func quotas(models []ModelNeed, engines int) map[gypsum.EngineModel]int {
	quota := make(map[gypsum.EngineModel]int, len(models))
	total := 0.0
	for _, model := range models {
		total += model.Demand
	}
	// A model whose demand is not known yet counts with a part of the mean.
	least := max(total/float64(len(models))/8, 1e-9)
	for range engines {
		best := 0
		for i := range models {
			if need(&models[i], quota, least) > need(&models[best], quota, least) {
				best = i
			}
		}
		quota[models[best].Model]++
	}
	return quota
}

// need returns a model's demand for each engine that it would have with one more.
// A model without an engine goes first.
func need(model *ModelNeed, quota map[gypsum.EngineModel]int, least float64) float64 {
	have := quota[model.Model]
	demand := max(model.Demand, least)
	if have == 0 {
		return demand + 1e18
	}
	return demand / (float64(have) + 0.5)
}

// Load is a decision to let an engine load a version.
type Load struct {
	Engine  gypsum.BackendID
	Model   gypsum.EngineModel
	Version gypsum.WeightVersion
}

// LoadsAtOnce returns how many of a service's engines may load at the same time:
// beyond a fifth of them, loads take longer (the sheets: 2 of 8 and 9, 9 of 45).
func LoadsAtOnce(engines int) int { return (engines + 4) / 5 }

// Loads decides which engines load weights now. Load: a trainer names a version and
// asks for the next step in the same moment; the step may still use the version
// before. So an engine on which items of the model have just been sent, and may
// not have begun, is busy and waits; the engine that is the furthest behind goes first.
func Loads(models []ModelNeed, engines []*Engine, shares map[gypsum.BackendID]gypsum.EngineModel, busy func(gypsum.BackendID, gypsum.EngineModel) bool) []Load {
	named := make(map[gypsum.EngineModel]gypsum.WeightVersion, len(models))
	for _, model := range models {
		named[model.Model] = model.Named
	}
	free := LoadsAtOnce(len(engines))
	var wanted []*Engine
	for _, engine := range engines {
		if engine.Loading != "" {
			free--
			continue
		}
		model, ok := shares[engine.ID]
		if ok && !engine.Closed && engine.Versions[model] < named[model] && !busy(engine.ID, model) {
			wanted = append(wanted, engine)
		}
	}
	slices.SortStableFunc(wanted, func(a, b *Engine) int {
		behind := func(e *Engine) gypsum.WeightVersion { return named[shares[e.ID]] - e.Versions[shares[e.ID]] }
		return cmp.Or(cmp.Compare(behind(b), behind(a)), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	var loads []Load
	for _, engine := range wanted[:max(0, min(free, len(wanted)))] {
		model := shares[engine.ID]
		loads = append(loads, Load{Engine: engine.ID, Model: model, Version: named[model]})
	}
	return loads
}

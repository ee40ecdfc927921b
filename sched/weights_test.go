package sched_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/sched"
)

// loadReplay replays the loads of a service whose trainers publish versions. Each round, all loads
// that were ordered in the round before have ended.
type loadReplay struct {
	engines    []*sched.Engine
	models     []sched.ModelDemand
	assigned   map[gypsum.BackendID]gypsum.EngineModel
	orders     int
	maxAtATime int
}

// newLoadReplay returns a service with engines of 8 slots and models with the given numbers of
// items in a step.
func newLoadReplay(engines int, items ...int) *loadReplay {
	r := &loadReplay{}
	for i := range engines {
		r.engines = append(r.engines, &sched.Engine{ID: gypsum.BackendID(fmt.Sprintf("e%04d", i)), Slots: 8, Versions: make(map[gypsum.EngineModel]gypsum.WeightVersion)})
	}
	for i, count := range items {
		r.models = append(r.models, sched.ModelDemand{Model: gypsum.EngineModel(fmt.Sprint("m", i)), Demand: float64(20 * count), Items: count})
		for _, engine := range r.engines {
			engine.Versions[r.models[i].Model] = 1
		}
	}
	return r
}

// publish publishes a version of all models and makes rounds until no load is left to order.
func (r *loadReplay) publish(version gypsum.WeightVersion) {
	for i := range r.models {
		r.models[i].Latest = version
	}
	for {
		r.assigned = sched.AssignModels(r.models, r.engines, r.assigned)
		orders := sched.ScheduleLoads(r.models, r.engines, r.assigned, func(gypsum.BackendID, gypsum.EngineModel) bool { return false })
		if len(orders) == 0 {
			return
		}
		r.orders, r.maxAtATime = r.orders+len(orders), max(r.maxAtATime, len(orders))
		for _, order := range orders {
			for _, engine := range r.engines {
				if engine.ID == order.Engine {
					engine.Versions[order.Model] = order.Version
				}
			}
		}
	}
}

// setItems sets the items of the open batches, none if open is false.
func (r *loadReplay) setItems(open bool, items ...int) {
	for i := range r.models {
		r.models[i].Items = 0
		if open {
			r.models[i].Items = items[i]
		}
	}
}

// TestVersionsLoadWhereTheyAreUsed guards against loads of each version on all engines of a large
// service, of which the items of a step use a few. All loads are paid for.
func TestVersionsLoadWhereTheyAreUsed(t *testing.T) {
	items := []int{50, 112, 128, 144}
	for _, engines := range []int{300, 1000} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			is := is.New(t)
			r := newLoadReplay(engines, items...)
			const versions = 10
			for version := range gypsum.WeightVersion(versions) {
				r.setItems(version%3 != 0, items...) // some versions are published between two batches
				if version == 1 {
					r.maxAtATime = 0 // the items of the first steps are not known before
				}
				r.publish(version + 2)
			}
			perModel := enginesPerModel(r.assigned)
			t.Logf("%d orders for %d versions of %d models, %d at a time; engines %v", r.orders, versions, len(items), r.maxAtATime, perModel)
			for i, count := range items {
				used := perModel[r.models[i].Model]
				is.True(used >= count/4+2)          // all items find a slot, with a reserve
				is.True(used <= count/4+count/32+3) // and no more
			}
			is.True(r.orders <= versions*150)
			is.True(r.maxAtATime <= (len(r.assigned)+4)/5) // the others stay free for items
			// Lost engines are replaced by ones that had no model, and the others stay as they are.
			before := r.assigned
			lost := 0
			for _, engine := range r.engines {
				if before[engine.ID] != "" && lost < 20 {
					engine.FailureRate = 0.9
					lost++
				}
			}
			r.setItems(true, items...)
			r.publish(versions + 2)
			is.Equal(enginesPerModel(r.assigned), perModel)
			for id, model := range r.assigned {
				is.True(before[id] == model || before[id] == "")
			}
		})
	}
}

// TestSmallServicesLoadEverywhere guards against fewer loads in services whose engines are all
// used, also while no batch is open or an engine is lost for a while.
func TestSmallServicesLoadEverywhere(t *testing.T) {
	for _, service := range []struct {
		engines int
		items   []int
	}{
		{8, []int{48}},
		{9, []int{64, 40}},
		{8, []int{64, 64, 40}},
		{9, []int{128}},
		{44, []int{144, 128, 128, 128}},
		{48, []int{112, 136, 136, 112}},
		{45, []int{160, 184, 176}},
	} {
		t.Run(fmt.Sprint(service.engines, service.items), func(t *testing.T) {
			is := is.New(t)
			r := newLoadReplay(service.engines, service.items...)
			r.publish(2)
			is.Equal(len(r.assigned), service.engines)
			is.Equal(r.orders, service.engines)
			r.setItems(false)
			lost := r.engines[0]
			r.engines = r.engines[1:]
			r.publish(3)
			is.Equal(len(r.assigned), service.engines-1)
			r.engines = append(r.engines, lost)
			r.publish(4)
			is.Equal(len(r.assigned), service.engines) // although no batch is open
		})
	}
}

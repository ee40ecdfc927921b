package sched_test

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/health"
	"github.com/gypsumhook/gypsum/sched"
)

// step is one step of testdata/steps.json, which holds the recorded steps of three
// trainers in the first seconds of a busy day. Each item is a pair of its estimated and
// its actual number of events.
type step struct {
	AtMS  int                `json:"at_ms"`
	Model gypsum.EngineModel `json:"model"`
	Step  int                `json:"step"`
	Items [][2]int           `json:"items"`
}

// readSteps reads testdata/steps.json.
func readSteps(t *testing.T) []step {
	content, err := os.ReadFile("testdata/steps.json")
	if err != nil {
		t.Fatal(err)
	}
	var steps []step
	if err := json.Unmarshal(content, &steps); err != nil {
		t.Fatal(err)
	}
	return steps
}

// policy is the set of decisions that a replay uses.
type policy struct {
	scheduleItems func([]sched.Item, []*sched.Engine, time.Time) []sched.Placement
	scheduleMoves func([]sched.Attempt, []*sched.Engine) []sched.Placement
	// models returns the models that the engine with an index serves; nil for all.
	models func(engine int) []gypsum.EngineModel
}

// Properties of the simulated engines, from the engines' specification.
const (
	idleEventTime      = 28200 * time.Microsecond
	slowdownPerAttempt = 0.035
	resumeTime         = 30 * time.Millisecond
	timeStep           = 5 * time.Millisecond
	dueTime            = 7500 * time.Millisecond
	slots              = 16
)

// replayItem is the state of an item in a replay.
type replayItem struct {
	item        sched.Item
	estimated   int
	remaining   float64
	generated   float64
	engine      int
	arrivedAt   time.Duration
	endedAt     time.Duration
	resumeDelay time.Duration
}

// replaySteps simulates the recorded steps under a policy. From 500 ms on, the first engine
// is slower by slowdownFactor. It returns the sorted times from arrival to end of all items.
func replaySteps(t *testing.T, steps []step, engines int, slowdownFactor float64, p policy) []time.Duration {
	epoch := time.Unix(0, 0)
	var waiting, running, done []*replayItem
	views := make([]*sched.Engine, engines)
	for i := range views {
		views[i] = &sched.Engine{ID: gypsum.BackendID(fmt.Sprint(i)), Slots: slots, IdleEventTime: idleEventTime, Versions: make(map[gypsum.EngineModel]gypsum.WeightVersion)}
		models := []gypsum.EngineModel{"model-0", "model-1", "model-2"}
		if p.models != nil {
			models = p.models(i)
		}
		for _, model := range models {
			views[i].Versions[model] = 1
		}
	}
	next, total := 0, 0
	for _, step := range steps {
		total += len(step.Items)
	}
	for now := time.Duration(0); len(done) < total && now < time.Minute; now += timeStep {
		for ; next < len(steps) && time.Duration(steps[next].AtMS)*time.Millisecond <= now; next++ {
			for i, lengths := range steps[next].Items {
				waiting = append(waiting, &replayItem{
					item: sched.Item{
						Batch: gypsum.BatchID(fmt.Sprint(next)), ID: gypsum.ItemID(fmt.Sprint(next, ".", i)), Model: steps[next].Model,
						DueAt: epoch.Add(now + dueTime), RemainingEvents: lengths[0],
					},
					estimated: lengths[0], remaining: float64(lengths[1]), arrivedAt: now,
				})
			}
		}
		if now >= 500*time.Millisecond && slowdownFactor > 1 {
			views[0].IdleEventTime = time.Duration(slowdownFactor * float64(idleEventTime))
		}
		for _, item := range running {
			if item.resumeDelay > 0 {
				item.resumeDelay -= timeStep
				continue
			}
			engine := views[item.engine]
			events := float64(timeStep) / (float64(engine.IdleEventTime) * (1 + slowdownPerAttempt*float64(engine.Running)))
			item.remaining, item.generated = item.remaining-events, item.generated+events
		}
		running = slices.DeleteFunc(running, func(item *replayItem) bool {
			if item.remaining > 0 {
				return false
			}
			views[item.engine].Running--
			item.endedAt = now
			done = append(done, item)
			return true
		})
		byID := make(map[gypsum.ItemID]*replayItem)
		items := make([]sched.Item, 0, len(waiting))
		for _, item := range waiting {
			byID[item.item.ID] = item
			items = append(items, item.item)
		}
		for _, placement := range p.scheduleItems(items, views, epoch.Add(now)) {
			item := byID[placement.Item.ID]
			_, _ = fmt.Sscan(string(placement.Engine), &item.engine)
			running = append(running, item)
			waiting = slices.DeleteFunc(waiting, func(other *replayItem) bool { return other == item })
		}
		if p.scheduleMoves != nil && now%(50*time.Millisecond) == 0 {
			var attempts []sched.Attempt
			for _, item := range running {
				byID[item.item.ID] = item
				remaining := max(item.estimated-int(item.generated), int(item.generated)/2, 1)
				attempts = append(attempts, sched.Attempt{Item: &item.item, Engine: views[item.engine].ID, RemainingEvents: remaining})
			}
			for _, move := range p.scheduleMoves(attempts, views) {
				item := byID[move.Item.ID]
				_, _ = fmt.Sscan(string(move.Engine), &item.engine)
				item.resumeDelay = resumeTime
			}
		}
	}
	if len(done) < total {
		t.Fatalf("%d of %d items completed", len(done), total)
	}
	times := make([]time.Duration, 0, total)
	for _, item := range done {
		times = append(times, item.endedAt-item.arrivedAt)
	}
	slices.Sort(times)
	return times
}

// slowestTenthMean returns the mean of the slowest tenth of sorted times: those of the
// items that determine when steps are complete.
func slowestTenthMean(times []time.Duration) time.Duration {
	tail := times[len(times)*9/10:]
	sum := time.Duration(0)
	for _, took := range tail {
		sum += took
	}
	return sum / time.Duration(len(tail))
}

// scheduleFIFO starts items in order of arrival, each on the engine with the fewest attempts.
func scheduleFIFO(items []sched.Item, engines []*sched.Engine, _ time.Time) []sched.Placement {
	var placements []sched.Placement
	for i := range items {
		var best *sched.Engine
		for _, engine := range engines {
			if _, ok := engine.Versions[items[i].Model]; ok && engine.Running < engine.Slots && (best == nil || engine.Running < best.Running) {
				best = engine
			}
		}
		if best != nil {
			best.Running++
			placements = append(placements, sched.Placement{Item: &items[i], Engine: best.ID})
		}
	}
	return placements
}

// scheduleFirstFit starts each item on the first engine that has a free slot.
func scheduleFirstFit(items []sched.Item, engines []*sched.Engine, _ time.Time) []sched.Placement {
	var placements []sched.Placement
	for i := range items {
		for _, engine := range engines {
			if _, ok := engine.Versions[items[i].Model]; ok && engine.Running < engine.Slots {
				engine.Running++
				placements = append(placements, sched.Placement{Item: &items[i], Engine: engine.ID})
				break
			}
		}
	}
	return placements
}

// When a step's items outnumber the slots, starting them by least slack completes the
// steps sooner than starting them in order of arrival.
func TestLeastSlackFirst(t *testing.T) {
	is := is.New(t)
	steps := readSteps(t)
	const engines = 3
	before := slowestTenthMean(replaySteps(t, steps, engines, 1, policy{scheduleItems: scheduleFIFO}))
	after := slowestTenthMean(replaySteps(t, steps, engines, 1, policy{scheduleItems: sched.ScheduleItems}))
	t.Logf("mean of slowest tenth: %s in order of arrival, %s by least slack", before, after)
	is.True(float64(after) < 0.95*float64(before))
}

// Each concurrent attempt slows an engine down, so items that are spread over all
// engines end sooner than items that are packed onto the first ones.
func TestSpreadItems(t *testing.T) {
	is := is.New(t)
	steps := readSteps(t)
	const engines = 20
	before := slowestTenthMean(replaySteps(t, steps, engines, 1, policy{scheduleItems: scheduleFirstFit}))
	after := slowestTenthMean(replaySteps(t, steps, engines, 1, policy{scheduleItems: sched.ScheduleItems}))
	t.Logf("mean of slowest tenth: %s packed, %s spread", before, after)
	is.True(float64(after) < 0.95*float64(before))
}

// scheduleMoves is sched.ScheduleMoves with the start time of attempts in the replay.
func scheduleMoves(attempts []sched.Attempt, engines []*sched.Engine) []sched.Placement {
	return sched.ScheduleMoves(attempts, engines, resumeTime, nil)
}

// When an engine becomes slow while it runs part of each step, moving its attempts to
// other engines completes the steps sooner.
func TestScheduleMoves(t *testing.T) {
	is := is.New(t)
	steps := readSteps(t)
	const slow = 3.5
	before := slowestTenthMean(replaySteps(t, steps, 8, slow, policy{scheduleItems: sched.ScheduleItems}))
	after := slowestTenthMean(replaySteps(t, steps, 8, slow, policy{scheduleItems: sched.ScheduleItems, scheduleMoves: scheduleMoves}))
	healthy := slowestTenthMean(replaySteps(t, steps, 8, 1, policy{scheduleItems: sched.ScheduleItems}))
	t.Logf("mean of slowest tenth: %s without moves, %s with moves, %s without the slow engine", before, after, healthy)
	is.True(before-after > (before-healthy)*3/4) // moves recover most of the time lost to the slow engine
}

// When an engine is slower than the others by less than a half, as engines differ in practice,
// moves recover part of the time that the steps lose there.
func TestMovesFromSlowerEngine(t *testing.T) {
	is := is.New(t)
	steps := readSteps(t)
	const slow = 1.4
	before := slowestTenthMean(replaySteps(t, steps, 8, slow, policy{scheduleItems: sched.ScheduleItems}))
	after := slowestTenthMean(replaySteps(t, steps, 8, slow, policy{scheduleItems: sched.ScheduleItems, scheduleMoves: scheduleMoves}))
	healthy := slowestTenthMean(replaySteps(t, steps, 8, 1, policy{scheduleItems: sched.ScheduleItems}))
	t.Logf("mean of slowest tenth: %s without moves, %s with moves, %s with equal engines", before, after, healthy)
	is.True(before-after > (before-healthy)/2)
}

// With engines of equal speed, attempts do not move back and forth.
func TestNoUnnecessaryMoves(t *testing.T) {
	is := is.New(t)
	moves := 0
	countMoves := func(attempts []sched.Attempt, engines []*sched.Engine) []sched.Placement {
		placements := scheduleMoves(attempts, engines)
		moves += len(placements)
		return placements
	}
	replaySteps(t, readSteps(t), 8, 1, policy{scheduleItems: sched.ScheduleItems, scheduleMoves: countMoves})
	is.True(moves <= 5)
}

// One of four engines fails half of its attempts in their first event and therefore
// always has free slots, while the items fill half of the engines' slots. If items are
// placed by event time and concurrent attempts alone, that engine attracts them; if the
// failure rate counts too, it gets few.
func TestPartiallyFailingEngine(t *testing.T) {
	is := is.New(t)
	const (
		items       = 400
		concurrency = 32
		events      = 20
	)
	simulate := func(useFailureRate bool) (failed int) {
		random := rand.New(rand.NewPCG(1, 2))
		estimators := make([]health.FailureEstimator, 4)
		views := make([]*sched.Engine, 4)
		for i := range views {
			views[i] = &sched.Engine{ID: gypsum.BackendID(fmt.Sprint(i)), Slots: slots, IdleEventTime: idleEventTime, Versions: map[gypsum.EngineModel]gypsum.WeightVersion{"a": 1}}
		}
		type attempt struct {
			engine    int
			remaining int
			willFail  bool
		}
		var running []attempt
		for now, done := time.Unix(0, 0), 0; done < items; now = now.Add(idleEventTime) {
			running = slices.DeleteFunc(running, func(r attempt) bool {
				switch {
				case r.willFail:
					failed++
					estimators[r.engine].RecordFailure(now)
				case r.remaining == 0:
					done++
					estimators[r.engine].RecordSuccess(now)
				default:
					return false
				}
				views[r.engine].Running--
				return true
			})
			for i := range running {
				running[i].remaining--
			}
			waiting := make([]sched.Item, min(concurrency-len(running), items-done-len(running)))
			for i := range waiting {
				waiting[i] = sched.Item{ID: gypsum.ItemID(fmt.Sprint(i)), Model: "a", DueAt: now.Add(dueTime), RemainingEvents: events}
			}
			for i := range views {
				if useFailureRate {
					views[i].FailureRate = estimators[i].FailureRate(now)
				}
			}
			for _, placement := range sched.ScheduleItems(waiting, views, now) {
				started := attempt{remaining: events}
				_, _ = fmt.Sscan(string(placement.Engine), &started.engine)
				started.willFail = started.engine == 0 && random.IntN(2) == 0
				running = append(running, started)
			}
		}
		return failed
	}
	before, after := simulate(false), simulate(true)
	t.Logf("failed attempts: %d ignoring the failure rate, %d using it", before, after)
	is.True(after*3 < before)
}

// Each item is placed on the engine with the shortest expected event time of all
// engines that may start it, for random engines and items.
func TestLeastExpectedEventTime(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(7, 7))
	for range 50 {
		engines := make([]*sched.Engine, 12)
		running := make(map[gypsum.BackendID]int)
		for i := range engines {
			engines[i] = &sched.Engine{
				ID: gypsum.BackendID(fmt.Sprint(i)), Slots: 1 + random.IntN(4), Running: random.IntN(3), IdleEventTime: idleEventTime + time.Duration(random.IntN(5))*time.Millisecond,
				Versions:    map[gypsum.EngineModel]gypsum.WeightVersion{"a": gypsum.WeightVersion(random.IntN(3)), "b": gypsum.WeightVersion(random.IntN(3))},
				FailureRate: float64(random.IntN(3)) / 4, Unusable: random.IntN(6) == 0,
			}
			if random.IntN(4) == 0 {
				engines[i].Loading = "b"
			}
			if random.IntN(3) == 0 {
				engines[i].PendingLoad = "a"
			}
			running[engines[i].ID] = engines[i].Running
		}
		items := make([]sched.Item, 30)
		for i := range items {
			items[i] = sched.Item{
				ID: gypsum.ItemID(fmt.Sprint(i)), Model: []gypsum.EngineModel{"a", "b"}[i%2], MinVersion: gypsum.WeightVersion(random.IntN(3)), RemainingEvents: 30 - i,
				DueAt: time.Unix(9, 0), AvoidedEngine: gypsum.BackendID(fmt.Sprint(random.IntN(20))), Failures: random.IntN(2), SingleVersion: i%3 == 0,
			}
		}
		expectedEventTime := func(item *sched.Item, engine *sched.Engine) float64 {
			t := float64(engine.IdleEventTime) * (1 + slowdownPerAttempt*float64(running[engine.ID]+1)) / (1 - engine.FailureRate)
			if item.SingleVersion && engine.PendingLoad == item.Model {
				t += 1e18 // chosen only if no other engine may start it, since the item would delay a load
			}
			return t
		}
		for _, placement := range sched.ScheduleItems(items, engines, time.Unix(0, 0)) {
			var chosen *sched.Engine
			least := math.Inf(1)
			for _, engine := range engines {
				version, ok := engine.Versions[placement.Item.Model]
				avoided := engine.ID == placement.Item.AvoidedEngine || (placement.Item.Failures > 0 && engine.FailureRate >= 0.25)
				if ok && version >= placement.Item.MinVersion && !engine.Unusable && engine.Loading != placement.Item.Model && !avoided && running[engine.ID] < engine.Slots {
					least = min(least, expectedEventTime(placement.Item, engine))
				}
				if engine.ID == placement.Engine {
					chosen = engine
				}
			}
			is.True(expectedEventTime(placement.Item, chosen) <= least*1.000001)
			running[placement.Engine]++
			is.True(running[placement.Engine] <= chosen.Slots)
		}
	}
}

// An item that failed on an engine waits for another one that serves it, even if that
// one is full, but starts on the same engine again if no other serves it.
func TestAvoidedEngine(t *testing.T) {
	is := is.New(t)
	engine := func(id gypsum.BackendID, version gypsum.WeightVersion) *sched.Engine {
		return &sched.Engine{ID: id, Slots: 1, IdleEventTime: idleEventTime, Versions: map[gypsum.EngineModel]gypsum.WeightVersion{"a": version}}
	}
	item := sched.Item{ID: "i", Model: "a", MinVersion: 2, RemainingEvents: 9, AvoidedEngine: "1"}
	starts := sched.ScheduleItems([]sched.Item{item}, []*sched.Engine{engine("1", 2), engine("2", 1)}, time.Unix(0, 0))
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Engine, gypsum.BackendID("1"))
	full := engine("2", 2)
	full.Running = 1
	is.Equal(len(sched.ScheduleItems([]sched.Item{item}, []*sched.Engine{engine("1", 2), full}, time.Unix(0, 0))), 0) // waits for the full engine
	item.AvoidedEngine, item.Failures = "", 1
	failing := engine("1", 2)
	failing.FailureRate = 0.3
	is.Equal(len(sched.ScheduleItems([]sched.Item{item}, []*sched.Engine{failing, full}, time.Unix(0, 0))), 0) // waits, since it has few attempts left
	item.Failures = 0
	is.Equal(len(sched.ScheduleItems([]sched.Item{item}, []*sched.Engine{failing, full}, time.Unix(0, 0))), 1)
}

// Engines are assigned in proportion to demand, each model gets at least one, and
// current assignments are kept.
func TestAssignModels(t *testing.T) {
	is := is.New(t)
	engines := make([]*sched.Engine, 8)
	for i := range engines {
		engines[i] = &sched.Engine{ID: gypsum.BackendID(fmt.Sprint(i)), Versions: map[gypsum.EngineModel]gypsum.WeightVersion{"a": 1, "b": 1, "c": 1}}
	}
	models := []sched.ModelDemand{{Model: "a", Latest: 2, Demand: 700}, {Model: "b", Latest: 1, Demand: 1600}, {Model: "c", Latest: 1, Demand: 1400}}
	assigned := sched.AssignModels(models, engines, nil)
	is.Equal(enginesPerModel(assigned), map[gypsum.EngineModel]int{"a": 2, "b": 3, "c": 3})
	is.Equal(sched.AssignModels(models, engines, assigned), assigned)
	fewer := sched.AssignModels(models, engines[:5], assigned)
	for id, model := range fewer {
		if assigned[id] != model {
			t.Logf("engine %s reassigned from %s to %s", id, assigned[id], model)
		}
	}
	is.Equal(enginesPerModel(fewer)["a"], 1)
	is.Equal(len(sched.AssignModels(models, engines[:2], nil)), 2)
	// An engine that fails most of its attempts is assigned no model.
	engines[0].FailureRate = 0.6
	healthy := sched.AssignModels(models, engines, assigned)
	is.Equal(len(healthy), 7)
	is.Equal(healthy[engines[0].ID], gypsum.EngineModel(""))
	is.True(enginesPerModel(healthy)["a"] >= 1)
	for _, engine := range engines {
		engine.FailureRate = 0.9
	}
	is.Equal(len(sched.AssignModels(models, engines, assigned)), 8) // if all engines fail, all stay assigned
	for _, engine := range engines {
		engine.FailureRate = 0
	}
	// After a takeover, the new holder recovers the assignments from the engines' versions.
	for i, engine := range engines {
		engine.Versions[assigned[engine.ID]] = gypsum.WeightVersion(7 + i%2)
	}
	trained := []sched.ModelDemand{{Model: "a", Latest: 8, Demand: 700}, {Model: "b", Latest: 8, Demand: 1600}, {Model: "c", Latest: 8, Demand: 1400}}
	is.Equal(sched.AssignModels(trained, engines, nil), assigned)
}

// enginesPerModel counts the engines assigned to each model.
func enginesPerModel(assigned map[gypsum.BackendID]gypsum.EngineModel) map[gypsum.EngineModel]int {
	counts := make(map[gypsum.EngineModel]int)
	for _, model := range assigned {
		counts[model]++
	}
	return counts
}

// Engines that are the most versions behind load first, a few at a time. An engine that
// is busy starting items of the model does not load.
func TestScheduleLoads(t *testing.T) {
	is := is.New(t)
	version := func(v gypsum.WeightVersion) map[gypsum.EngineModel]gypsum.WeightVersion {
		return map[gypsum.EngineModel]gypsum.WeightVersion{"a": v}
	}
	engines := []*sched.Engine{
		{ID: "0", Versions: version(4)},
		{ID: "1", Versions: version(5)},
		{ID: "2", Versions: version(4)},
		{ID: "3", Versions: version(3)},
		{ID: "4", Versions: version(4), Loading: "b"},
		{ID: "5", Versions: version(3), Unusable: true},
		{ID: "6", Versions: version(3)},
	}
	models := []sched.ModelDemand{{Model: "a", Latest: 5, Demand: 1}}
	assigned := sched.AssignModels(models, engines, nil)
	starting := func(id gypsum.BackendID, _ gypsum.EngineModel) bool { return id == "3" }
	is.Equal(sched.ScheduleLoads(models, engines, assigned, starting), []sched.LoadOrder{{Engine: "6", Model: "a", Version: 5}})
	is.Equal([]int{sched.MaxConcurrentLoads(8), sched.MaxConcurrentLoads(9), sched.MaxConcurrentLoads(45)}, []int{2, 2, 9})
}

// Assigning one model to each engine takes a third of the loads of assigning all three
// to all engines, and the steps complete nearly as soon.
func TestOneModelPerEngine(t *testing.T) {
	is := is.New(t)
	steps := readSteps(t)
	assigned := []gypsum.EngineModel{"model-0", "model-1", "model-1", "model-1", "model-2", "model-2", "model-1", "model-0"}
	allModels := slowestTenthMean(replaySteps(t, steps, 8, 1, policy{scheduleItems: sched.ScheduleItems}))
	oneModel := slowestTenthMean(replaySteps(t, steps, 8, 1, policy{scheduleItems: sched.ScheduleItems, models: func(i int) []gypsum.EngineModel { return assigned[i : i+1] }}))
	t.Logf("mean of slowest tenth: %s with all models on each engine, %s with one model per engine", allModels, oneModel)
	is.True(float64(oneModel) < 1.25*float64(allModels))
}

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

// step is one step of testdata/steps.json: what three trainers asked for in the
// first seconds of a busy day, with each item's estimated and true number of events.
type step struct {
	AtMS  int                `json:"at_ms"`
	Model gypsum.EngineModel `json:"model"`
	Step  int                `json:"step"`
	Items [][2]int           `json:"items"`
}

// readSteps reads the recorded steps.
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

// policy is a pair of decisions under replay.
type policy struct {
	starts func([]sched.Item, []*sched.Engine, time.Time) []sched.Start
	moves  func([]sched.Run, []*sched.Engine) []sched.Start
	// models are the models that an engine serves, by its number; all if nil.
	models func(engine int) []gypsum.EngineModel
}

// Figures of the replayed engines, as the users' sheets give them.
const (
	pace       = 28200 * time.Microsecond
	perRun     = 0.035
	resumeTime = 30 * time.Millisecond
	tick       = 5 * time.Millisecond
	dueTime    = 7500 * time.Millisecond
	slots      = 16
)

// replayed is an item on its way through a replay.
type replayed struct {
	item   sched.Item
	hint   int
	left   float64
	given  float64
	engine int
	arrive time.Duration
	end    time.Duration
	hold   time.Duration
}

// replay runs the recorded steps under a policy on engines, one of which is slow from
// 500 ms on by a factor. It returns the time that each item took.
func replay(t *testing.T, steps []step, engines int, slow float64, p policy) []time.Duration {
	start := time.Unix(0, 0)
	var waiting, running, done []*replayed
	views := make([]*sched.Engine, engines)
	for i := range views {
		views[i] = &sched.Engine{ID: gypsum.BackendID(fmt.Sprint(i)), Slots: slots, Pace: pace, Versions: make(map[gypsum.EngineModel]gypsum.WeightVersion)}
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
	for now := time.Duration(0); len(done) < total && now < time.Minute; now += tick {
		for ; next < len(steps) && time.Duration(steps[next].AtMS)*time.Millisecond <= now; next++ {
			for i, lengths := range steps[next].Items {
				waiting = append(waiting, &replayed{
					item: sched.Item{
						Batch: gypsum.BatchID(fmt.Sprint(next)), ID: gypsum.ItemID(fmt.Sprint(next, ".", i)), Model: steps[next].Model,
						Due: start.Add(now + dueTime), Left: lengths[0],
					},
					hint: lengths[0], left: float64(lengths[1]), arrive: now,
				})
			}
		}
		if now >= 500*time.Millisecond && slow > 1 {
			views[0].Pace = time.Duration(slow * float64(pace))
		}
		for _, run := range running {
			if run.hold > 0 {
				run.hold -= tick
				continue
			}
			engine := views[run.engine]
			events := float64(tick) / (float64(engine.Pace) * (1 + perRun*float64(engine.Running)))
			run.left, run.given = run.left-events, run.given+events
		}
		running = slices.DeleteFunc(running, func(run *replayed) bool {
			if run.left > 0 {
				return false
			}
			views[run.engine].Running--
			run.end = now
			done = append(done, run)
			return true
		})
		byID := make(map[gypsum.ItemID]*replayed)
		items := make([]sched.Item, 0, len(waiting))
		for _, item := range waiting {
			byID[item.item.ID] = item
			items = append(items, item.item)
		}
		for _, begun := range p.starts(items, views, start.Add(now)) {
			item := byID[begun.Item.ID]
			_, _ = fmt.Sscan(string(begun.Engine), &item.engine)
			running = append(running, item)
			waiting = slices.DeleteFunc(waiting, func(other *replayed) bool { return other == item })
		}
		if p.moves != nil && now%(50*time.Millisecond) == 0 {
			var runs []sched.Run
			for _, run := range running {
				byID[run.item.ID] = run
				left := max(run.hint-int(run.given), int(run.given)/2, 1)
				runs = append(runs, sched.Run{Item: &run.item, Engine: views[run.engine].ID, Left: left})
			}
			for _, move := range p.moves(runs, views) {
				run := byID[move.Item.ID]
				_, _ = fmt.Sscan(string(move.Engine), &run.engine)
				run.hold = resumeTime
			}
		}
	}
	if len(done) < total {
		t.Fatalf("%d of %d items done", len(done), total)
	}
	times := make([]time.Duration, 0, total)
	for _, item := range done {
		times = append(times, item.end-item.arrive)
	}
	slices.Sort(times)
	return times
}

// worst returns the mean of the slowest tenth: the items that decide when steps are whole.
func worst(times []time.Duration) time.Duration {
	tail := times[len(times)*9/10:]
	sum := time.Duration(0)
	for _, took := range tail {
		sum += took
	}
	return sum / time.Duration(len(tail))
}

// inOrder starts items as they came, each on the engine with the fewest runs.
func inOrder(items []sched.Item, engines []*sched.Engine, _ time.Time) []sched.Start {
	var starts []sched.Start
	for i := range items {
		var best *sched.Engine
		for _, engine := range engines {
			if _, ok := engine.Versions[items[i].Model]; ok && engine.Running < engine.Slots && (best == nil || engine.Running < best.Running) {
				best = engine
			}
		}
		if best != nil {
			best.Running++
			starts = append(starts, sched.Start{Item: &items[i], Engine: best.ID})
		}
	}
	return starts
}

// packed starts items on the first engine that has a slot.
func packed(items []sched.Item, engines []*sched.Engine, _ time.Time) []sched.Start {
	var starts []sched.Start
	for i := range items {
		for _, engine := range engines {
			if _, ok := engine.Versions[items[i].Model]; ok && engine.Running < engine.Slots {
				engine.Running++
				starts = append(starts, sched.Start{Item: &items[i], Engine: engine.ID})
				break
			}
		}
	}
	return starts
}

// A step's items arrive together and are more than the slots: the item with the least
// slack first makes steps whole sooner than the order of arrival.
func TestLeastSlackFirst(t *testing.T) {
	is := is.New(t)
	steps := readSteps(t)
	const scarce = 3
	before := worst(replay(t, steps, scarce, 1, policy{starts: inOrder}))
	after := worst(replay(t, steps, scarce, 1, policy{starts: sched.Starts}))
	t.Logf("slowest tenth: %s in order of arrival, %s by slack", before, after)
	is.True(float64(after) < 0.95*float64(before))
}

// A step's cost grows with the runs on an engine: spread items end sooner than packed ones.
func TestSpread(t *testing.T) {
	is := is.New(t)
	steps := readSteps(t)
	const plenty = 20
	before := worst(replay(t, steps, plenty, 1, policy{starts: packed}))
	after := worst(replay(t, steps, plenty, 1, policy{starts: sched.Starts}))
	t.Logf("slowest tenth: %s packed, %s spread", before, after)
	is.True(float64(after) < 0.95*float64(before))
}

// An engine turns slow while it holds a share of each step: moving its runs ends the
// steps sooner than leaving them.
func TestMoves(t *testing.T) {
	is := is.New(t)
	steps := readSteps(t)
	const slow = 3.5
	before := worst(replay(t, steps, 8, slow, policy{starts: sched.Starts}))
	after := worst(replay(t, steps, 8, slow, policy{starts: sched.Starts, moves: sched.Moves}))
	without := worst(replay(t, steps, 8, 1, policy{starts: sched.Starts}))
	t.Logf("slowest tenth: %s left there, %s moved, %s without the slow engine", before, after, without)
	is.True(before-after > (before-without)*3/4) // most of what the slow engine costs is won back
}

// With engines of equal speed nothing moves back and forth.
func TestNoNeedlessMoves(t *testing.T) {
	is := is.New(t)
	moves := 0
	counted := func(runs []sched.Run, engines []*sched.Engine) []sched.Start {
		made := sched.Moves(runs, engines)
		moves += len(made)
		return made
	}
	replay(t, readSteps(t), 8, 1, policy{starts: sched.Starts, moves: counted})
	is.True(moves <= 5)
}

// Load pattern: one of four engines fails half of its runs in their first event, and so
// has free slots all the time, while steps fill half of the engines' slots. Items that
// are started by pace and runs alone flow there; counted with what it fails, it gets few.
func TestGreyEngine(t *testing.T) {
	is := is.New(t)
	const (
		items  = 400
		open   = 32
		events = 20
	)
	play := func(weigh bool) (failed int) {
		random := rand.New(rand.NewPCG(1, 2))
		outcomes := make([]health.Outcomes, 4)
		views := make([]*sched.Engine, 4)
		for i := range views {
			views[i] = &sched.Engine{ID: gypsum.BackendID(fmt.Sprint(i)), Slots: slots, Pace: pace, Versions: map[gypsum.EngineModel]gypsum.WeightVersion{"a": 1}}
		}
		type run struct {
			engine int
			left   int
			fails  bool
		}
		var running []run
		for now, done := time.Unix(0, 0), 0; done < items; now = now.Add(pace) {
			running = slices.DeleteFunc(running, func(r run) bool {
				switch {
				case r.fails:
					failed++
					outcomes[r.engine].Failed(now)
				case r.left == 0:
					done++
					outcomes[r.engine].Succeeded(now)
				default:
					return false
				}
				views[r.engine].Running--
				return true
			})
			for i := range running {
				running[i].left--
			}
			waiting := make([]sched.Item, min(open-len(running), items-done-len(running)))
			for i := range waiting {
				waiting[i] = sched.Item{ID: gypsum.ItemID(fmt.Sprint(i)), Model: "a", Due: now.Add(dueTime), Left: events}
			}
			for i := range views {
				if weigh {
					views[i].Failing = outcomes[i].Failing(now)
				}
			}
			for _, begun := range sched.Starts(waiting, views, now) {
				started := run{left: events}
				_, _ = fmt.Sscan(string(begun.Engine), &started.engine)
				started.fails = started.engine == 0 && random.IntN(2) == 0
				running = append(running, started)
			}
		}
		return failed
	}
	before, after := play(false), play(true)
	t.Logf("failed runs: %d by pace and runs, %d with what it fails", before, after)
	is.True(after*3 < before)
}

// Each item goes to the engine with the least expected time of an event among all that
// may start it, whatever the number of both.
func TestStartsAtTheLeastCost(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(7, 7))
	for range 50 {
		engines := make([]*sched.Engine, 12)
		running := make(map[gypsum.BackendID]int)
		for i := range engines {
			engines[i] = &sched.Engine{
				ID: gypsum.BackendID(fmt.Sprint(i)), Slots: 1 + random.IntN(4), Running: random.IntN(3), Pace: pace + time.Duration(random.IntN(5))*time.Millisecond,
				Versions: map[gypsum.EngineModel]gypsum.WeightVersion{"a": gypsum.WeightVersion(random.IntN(3)), "b": gypsum.WeightVersion(random.IntN(3))},
				Failing:  float64(random.IntN(3)) / 4, Closed: random.IntN(6) == 0,
			}
			if random.IntN(4) == 0 {
				engines[i].Loading = "b"
			}
			if random.IntN(3) == 0 {
				engines[i].Behind = "a"
			}
			running[engines[i].ID] = engines[i].Running
		}
		items := make([]sched.Item, 30)
		for i := range items {
			items[i] = sched.Item{
				ID: gypsum.ItemID(fmt.Sprint(i)), Model: []gypsum.EngineModel{"a", "b"}[i%2], MinVersion: gypsum.WeightVersion(random.IntN(3)), Left: 30 - i,
				Due: time.Unix(9, 0), Avoid: gypsum.BackendID(fmt.Sprint(random.IntN(20))), Failed: random.IntN(2), Single: i%3 == 0,
			}
		}
		cost := func(item *sched.Item, engine *sched.Engine) float64 {
			cost := float64(engine.Pace) * (1 + perRun*float64(running[engine.ID]+1)) / (1 - engine.Failing)
			if item.Single && engine.Behind == item.Model {
				cost += 1e18 // only if no other may start it: it would hold up a load
			}
			return cost
		}
		for _, start := range sched.Starts(items, engines, time.Unix(0, 0)) {
			var chosen *sched.Engine
			least := math.Inf(1)
			for _, engine := range engines {
				version, ok := engine.Versions[start.Item.Model]
				shunned := engine.ID == start.Item.Avoid || (start.Item.Failed > 0 && engine.Failing >= 0.25)
				if ok && version >= start.Item.MinVersion && !engine.Closed && engine.Loading != start.Item.Model && !shunned && running[engine.ID] < engine.Slots {
					least = min(least, cost(start.Item, engine))
				}
				if engine.ID == start.Engine {
					chosen = engine
				}
			}
			is.True(cost(start.Item, chosen) <= least*1.000001)
			running[start.Engine]++
			is.True(running[start.Engine] <= chosen.Slots)
		}
	}
}

// An item that failed on the only engine that serves it starts there again.
func TestAvoidedEngine(t *testing.T) {
	is := is.New(t)
	engine := func(id gypsum.BackendID, version gypsum.WeightVersion) *sched.Engine {
		return &sched.Engine{ID: id, Slots: 1, Pace: pace, Versions: map[gypsum.EngineModel]gypsum.WeightVersion{"a": version}}
	}
	item := sched.Item{ID: "i", Model: "a", MinVersion: 2, Left: 9, Avoid: "1"}
	starts := sched.Starts([]sched.Item{item}, []*sched.Engine{engine("1", 2), engine("2", 1)}, time.Unix(0, 0))
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Engine, gypsum.BackendID("1"))
	full := engine("2", 2)
	full.Running = 1
	is.Equal(len(sched.Starts([]sched.Item{item}, []*sched.Engine{engine("1", 2), full}, time.Unix(0, 0))), 0) // it waits for the other
	item.Avoid, item.Failed = "", 1
	grey := engine("1", 2)
	grey.Failing = 0.3
	is.Equal(len(sched.Starts([]sched.Item{item}, []*sched.Engine{grey, full}, time.Unix(0, 0))), 0) // it has few attempts left
	item.Failed = 0
	is.Equal(len(sched.Starts([]sched.Item{item}, []*sched.Engine{grey, full}, time.Unix(0, 0))), 1)
}

// Engines are shared by demand, each model has one, and present shares are kept.
func TestShares(t *testing.T) {
	is := is.New(t)
	engines := make([]*sched.Engine, 8)
	for i := range engines {
		engines[i] = &sched.Engine{ID: gypsum.BackendID(fmt.Sprint(i)), Versions: map[gypsum.EngineModel]gypsum.WeightVersion{"a": 1, "b": 1, "c": 1}}
	}
	models := []sched.ModelNeed{{Model: "a", Named: 2, Demand: 700}, {Model: "b", Named: 1, Demand: 1600}, {Model: "c", Named: 1, Demand: 1400}}
	shares := sched.Shares(models, engines, nil)
	is.Equal(countOf(shares), map[gypsum.EngineModel]int{"a": 2, "b": 3, "c": 3})
	is.Equal(sched.Shares(models, engines, shares), shares)
	fewer := sched.Shares(models, engines[:5], shares)
	for id, model := range fewer {
		if shares[id] != model {
			t.Logf("engine %s goes from %s to %s", id, shares[id], model)
		}
	}
	is.Equal(countOf(fewer)["a"], 1)
	is.Equal(len(sched.Shares(models, engines[:2], nil)), 2)
	// An engine that fails most of its runs is no use to its model.
	engines[0].Failing = 0.6
	sound := sched.Shares(models, engines, shares)
	is.Equal(len(sound), 7)
	is.Equal(sound[engines[0].ID], gypsum.EngineModel(""))
	is.True(countOf(sound)["a"] >= 1)
	for _, engine := range engines {
		engine.Failing = 0.9
	}
	is.Equal(len(sched.Shares(models, engines, shares)), 8) // all fail: none is better
	for _, engine := range engines {
		engine.Failing = 0
	}
	// A holder that has just taken over finds the shares in the engines' versions.
	for i, engine := range engines {
		engine.Versions[shares[engine.ID]] = gypsum.WeightVersion(7 + i%2)
	}
	named := []sched.ModelNeed{{Model: "a", Named: 8, Demand: 700}, {Model: "b", Named: 8, Demand: 1600}, {Model: "c", Named: 8, Demand: 1400}}
	is.Equal(sched.Shares(named, engines, nil), shares)
}

// countOf counts the engines of each model.
func countOf(shares map[gypsum.BackendID]gypsum.EngineModel) map[gypsum.EngineModel]int {
	counts := make(map[gypsum.EngineModel]int)
	for _, model := range shares {
		counts[model]++
	}
	return counts
}

// Loads go to the engines that are the furthest behind, a few at a time, and not to
// one whose new items have not begun.
func TestLoads(t *testing.T) {
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
		{ID: "5", Versions: version(3), Closed: true},
		{ID: "6", Versions: version(3)},
	}
	models := []sched.ModelNeed{{Model: "a", Named: 5, Demand: 1}}
	shares := sched.Shares(models, engines, nil)
	starting := func(id gypsum.BackendID, _ gypsum.EngineModel) bool { return id == "3" }
	is.Equal(sched.Loads(models, engines, shares, starting), []sched.Load{{Engine: "6", Model: "a", Version: 5}})
	is.Equal([]int{sched.LoadsAtOnce(8), sched.LoadsAtOnce(9), sched.LoadsAtOnce(45)}, []int{2, 2, 9})
}

// Following one model each costs a third of the loads of following all three, and the
// steps are whole nearly as soon.
func TestOneModelForEachEngine(t *testing.T) {
	is := is.New(t)
	steps := readSteps(t)
	share := []gypsum.EngineModel{"model-0", "model-1", "model-1", "model-1", "model-2", "model-2", "model-1", "model-0"}
	all := worst(replay(t, steps, 8, 1, policy{starts: sched.Starts}))
	one := worst(replay(t, steps, 8, 1, policy{starts: sched.Starts, models: func(i int) []gypsum.EngineModel { return share[i : i+1] }}))
	t.Logf("slowest tenth: %s with all models on all engines, %s with one each", all, one)
	is.True(float64(one) < 1.25*float64(all))
}

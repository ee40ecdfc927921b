package emul_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum/emul"
)

// readScenario reads a shipped scenario.
func readScenario(t testing.TB, name string) *emul.Scenario {
	t.Helper()
	scenario, err := emul.ReadScenario(filepath.Join("scenarios", name+".ini"))
	if err != nil {
		t.Fatal(err)
	}
	return scenario
}

// shippedScenarios are the names of the shipped scenarios.
func shippedScenarios(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob("scenarios/*.ini")
	if err != nil || len(paths) == 0 {
		t.Fatal("no scenarios", err)
	}
	var names []string
	for _, path := range paths {
		names = append(names, filepath.Base(path[:len(path)-len(".ini")]))
	}
	return names
}

// TestGuarantees checks in all shipped scenarios under all policies that no item has two
// results, that none starts under an old version or in an occupied slot, and that steps complete.
func TestGuarantees(t *testing.T) {
	for _, name := range shippedScenarios(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			scenario := readScenario(t, name)
			scenario.Duration = min(scenario.Duration, 30*time.Second)
			for _, policy := range emul.Policies() {
				result := emul.Run(scenario, policy, 7)
				is.Equal(result.Violations, nil)
				is.True(len(result.Steps) > 0)
				is.True(result.GroupsMet > 0 && result.GroupsMet <= result.GroupsOwed)
			}
		})
	}
}

// TestRepeatable checks that equal seeds give equal results and different seeds do not.
func TestRepeatable(t *testing.T) {
	is := is.New(t)
	scenario := readScenario(t, "quito_grown_faults")
	scenario.Duration = 20 * time.Second
	first := emul.Run(scenario, emul.FindPolicy(emul.CurrentPolicy), 3)
	is.Equal(first, emul.Run(scenario, emul.FindPolicy(emul.CurrentPolicy), 3))
	is.True(first.Attempts != emul.Run(scenario, emul.FindPolicy(emul.CurrentPolicy), 4).Attempts)
}

// TestPhases checks the phases of a step that can be computed by hand: one text of 10 events of
// 20 ms on one engine.
func TestPhases(t *testing.T) {
	is := is.New(t)
	scenario := &emul.Scenario{
		Name: "one", Duration: 3 * time.Second,
		Engines: emul.EngineSpec{Count: 1, Slots: 1, EventTime: 20 * time.Millisecond, Slowdown: 0.1, StartTime: 30 * time.Millisecond},
		Store:   emul.StoreSpec{AppendTime: 10 * time.Millisecond}, Holder: emul.HolderSpec{CheckpointInterval: time.Second},
		Trainers: []emul.TrainerSpec{{
			Groups: 1, GroupSize: 1, WaitShare: 1, Interval: time.Minute, Due: time.Second, MedianEvents: 10, TailFactor: 1, ReadInterval: 100 * time.Millisecond,
		}},
	}
	result := emul.Run(scenario, emul.FindPolicy(emul.CurrentPolicy), 1)
	is.Equal(len(result.Steps), 1)
	step := result.Steps[0]
	is.Equal(step.Length, 10)
	is.Equal(step.Generation, 30*time.Millisecond+10*22*time.Millisecond) // one attempt slows itself down by a tenth
	is.Equal(step.Storing, 10*time.Millisecond)
	is.Equal(step.Total, step.Waiting+step.Generation+step.Storing+step.Reading+step.Ending)
}

// TestFaults checks that each fault has the effect that it stands for.
func TestFaults(t *testing.T) {
	run := func(fault emul.Fault) *emul.Result {
		scenario := readScenario(t, "quito")
		if fault.Kind != "" {
			scenario.Faults = []emul.Fault{fault}
		}
		return emul.Run(scenario, emul.FindPolicy(emul.CurrentPolicy), 5)
	}
	calm := run(emul.Fault{})
	for _, fault := range []emul.Fault{
		{Kind: emul.FaultEngineSlow, At: time.Second, Duration: 20 * time.Second, Share: 1, Factor: 3},
		{Kind: emul.FaultEngineSilent, At: 500 * time.Millisecond, Duration: 5 * time.Second, Share: 0.5, Factor: 1},
		{Kind: emul.FaultStoreDown, At: 500 * time.Millisecond, Duration: 6 * time.Second, Factor: 1},
		{Kind: emul.FaultHolderLost, At: 500 * time.Millisecond, Factor: 1},
		{Kind: emul.FaultHostsLost, At: 500 * time.Millisecond, Duration: 2 * time.Second, Factor: 1},
		{Kind: emul.FaultSlowPeriods, Duration: 20 * time.Second, Share: 0.6, Factor: 6, Period: 600 * time.Millisecond},
	} {
		t.Run(string(fault.Kind), func(t *testing.T) {
			is := is.New(t)
			result := run(fault)
			is.True(result.StepTime(1) > calm.StepTime(1)+500*time.Millisecond)
			is.Equal(result.Violations, nil)
		})
	}
}

// TestSlowPeriods checks that slow periods cost the share of the events that they should: a text on
// an engine that is slow by 2.5 for a seventh of the time takes 1/(1 - 0.143*0.6) of its time.
func TestSlowPeriods(t *testing.T) {
	is := is.New(t)
	scenario := &emul.Scenario{
		Name: "one", Duration: 300 * time.Second,
		Engines: emul.EngineSpec{Count: 1, Slots: 1, EventTime: 20 * time.Millisecond}, Holder: emul.HolderSpec{CheckpointInterval: time.Second},
		Trainers: []emul.TrainerSpec{{Groups: 1, GroupSize: 1, WaitShare: 1, Interval: time.Hour, Due: time.Second, MedianEvents: 10_000, TailFactor: 1, ReadInterval: time.Second}},
		Faults:   []emul.Fault{{Kind: emul.FaultSlowPeriods, Duration: 300 * time.Second, Share: 0.143, Factor: 2.5, Period: 600 * time.Millisecond}},
	}
	var total time.Duration
	for seed := range 10 {
		result := emul.Run(scenario, emul.FindPolicy("no_moves"), uint64(seed))
		is.Equal(len(result.Steps), 1)
		total += result.Steps[0].Generation
	}
	want := 10 * 200 * time.Second.Seconds() / (1 - 0.143*0.6)
	is.True(total.Seconds() > 0.98*want && total.Seconds() < 1.02*want)
}

// TestHostsLost replays the loss of all hosts near the end: no guarantee is broken, steps complete
// again, and starting the late step's items first completes at least as many steps as starting them
// last would, since their trainer's next steps wait for that one.
func TestHostsLost(t *testing.T) {
	is := is.New(t)
	scenario := readScenario(t, "accounts")
	policies := []*emul.Policy{emul.FindPolicy(emul.CurrentPolicy), emul.FindPolicy("late_last")}
	results, err := emul.RunAll(t.Context(), []*emul.Scenario{scenario}, policies, 8, func(int, int) {})
	is.NoErr(err)
	steps, met := make(map[string]int), make(map[string]int)
	for _, result := range results {
		is.Equal(result.Violations, nil)
		steps[result.Policy] += len(result.Steps)
		met[result.Policy] += result.GroupsMet
	}
	t.Logf("steps %v, groups in time %v", steps, met)
	is.True(steps[emul.CurrentPolicy] >= steps["late_last"])
	is.True(met[emul.CurrentPolicy] > met["late_last"])
}

// TestInvalidScenarios checks that the errors of scenario files name the section and key.
func TestInvalidScenarios(t *testing.T) {
	const valid = "[engines]\ncount = 2\nslots = 2\nevent_time = 20ms\n[trainer.a]\ngroups = 2\ngroup_size = 2\nmedian_events = 5\n"
	rows := []struct{ content, want string }{
		{"x = 1\n" + valid, "key x stands before the first section"},
		{valid + "[machines]\ncount = 2\n", "section machines"},
		{valid + "[store]\nappend_tim = 2s\n", "unknown key append_tim"},
		{valid + "[store]\nappend_time = soon\n", "section store"},
		{valid + "[fault.x]\nkind = fire\n", `unknown kind "fire"`},
		{valid + "[fault.x]\nkind = store_down\nshare = 2\n", "share must be from 0 to 1"},
		{valid + "[fault.x]\nkind = slow_periods\nshare = 0.1\n", "slow_periods needs a positive period"},
		{valid + "[engines]\nevent_jitter = 2\n", "event_jitter must be from 0 to 1"},
		{"[engines]\ncount = 2\nslots = 2\nevent_time = 20ms\n", "at least one trainer section"},
		{"[engines]\ncount = 0\n", "engines.count must be positive"},
		{valid + "[trainer.b]\ngroups = 1\n", "group_size must be positive"},
	}
	for _, row := range rows {
		t.Run(row.want, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "s.ini")
			is.NoErr(os.WriteFile(path, []byte(row.content), 0o600))
			_, err := emul.ReadScenario(path)
			is.True(errors.Is(err, emul.ErrScenario))
			is.True(bytes.Contains([]byte(err.Error()), []byte(row.want)))
		})
	}
}

// TestCompare checks a comparison of policies whose difference is known: reads that are kept open
// shorten each step.
func TestCompare(t *testing.T) {
	is := is.New(t)
	scenario := readScenario(t, "quito")
	scenario.Duration = 20 * time.Second
	policies := []*emul.Policy{emul.FindPolicy(emul.CurrentPolicy), emul.FindPolicy("reads_held")}
	results, err := emul.RunAll(t.Context(), []*emul.Scenario{scenario}, policies, 10, func(int, int) {})
	is.NoErr(err)
	is.Equal(len(results), 20)
	for _, difference := range emul.Compare(results, emul.CurrentPolicy) {
		if difference.Measure == "step_p50_s" {
			is.True(difference.Mean < 0)
			is.True(difference.IsSignificant())
		}
	}
	var out bytes.Buffer
	is.NoErr(emul.WriteCSV(&out, results))
	is.Equal(bytes.Count(out.Bytes(), []byte("\n")), 21)
	is.NoErr(emul.WriteHTML(&out, results))
}

// FuzzReadScenario checks that no scenario file makes the reader panic.
func FuzzReadScenario(f *testing.F) {
	paths, err := filepath.Glob("scenarios/*.ini")
	if err != nil {
		f.Fatal(err)
	}
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		path := filepath.Join(t.TempDir(), "s.ini")
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := emul.ReadScenario(path); err != nil && !errors.Is(err, emul.ErrScenario) {
			t.Errorf("error %v is not ErrScenario", err)
		}
	})
}

// BenchmarkRun measures runs of a day of a small and of a large deployment.
func BenchmarkRun(b *testing.B) {
	for _, name := range []string{"quito", "approdo_large"} {
		b.Run(name, func(b *testing.B) {
			scenario := readScenario(b, name)
			for i := range b.N {
				emul.Run(scenario, emul.FindPolicy(emul.CurrentPolicy), uint64(i))
			}
		})
	}
}

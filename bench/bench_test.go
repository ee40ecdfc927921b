package bench_test

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum/bench"
)

// docsDir makes TestAll write the page of results to this directory.
var docsDir = flag.String("write", "", "directory of the docs to write the results to")

// runInVirtualTime runs a scenario under a policy in virtual time.
func runInVirtualTime(t *testing.T, scenario *bench.Scenario, policy *bench.Policy) *bench.Result {
	t.Helper()
	var result *bench.Result
	synctest.Test(t, func(t *testing.T) {
		var err error
		result, err = bench.RunScenario(t.Context(), scenario, policy)
		if err != nil {
			t.Error(err)
		}
	})
	return result
}

// currentPolicy returns the policy that daemons use by default.
func currentPolicy() *bench.Policy {
	for _, policy := range bench.Policies() {
		if policy.Name == bench.CurrentPolicy {
			return &policy
		}
	}
	return nil
}

// Targets stated by the users: the share of admitted live calls that complete in time,
// the 99th percentile of the time to a refusal, the goodput under overload relative to
// that at capacity, and the trainer's idle share relative to its lower bound.
const (
	minInTimeShare  = 0.999
	maxRefusalP99   = 50 * time.Millisecond
	minGoodputShare = 0.95
	maxIdleFactor   = 1.15
)

// TestTargets checks that the current policy meets the targets, violates no guarantee
// and delivers no sample over the staleness bound.
func TestTargets(t *testing.T) {
	rows := []struct {
		scenario string
		check    func(is *is.I, result, capacity *bench.Result)
	}{
		{"approdo_rush_3", checkOverloadResult},
		{"authority_rush_3", checkOverloadResult},
		{"approdo_rush_1_5", checkOverloadResult},
		{"approdo_calm", checkTrainerIdleTime},
		{"authority_calm", checkTrainerIdleTime},
	}
	var capacity *bench.Result
	for _, row := range rows {
		t.Run(row.scenario, func(t *testing.T) {
			is := is.New(t)
			if capacity == nil {
				capacity = runScenario(t, "approdo_capacity")
			}
			result := runScenario(t, row.scenario)
			t.Logf("%+v", *result)
			is.Equal(len(result.Violations), 0)
			is.Equal(result.StaleSamples, 0)
			row.check(is, result, capacity)
		})
	}
}

// runScenario runs the named scenario under the current policy.
func runScenario(t *testing.T, name string) *bench.Result {
	t.Helper()
	scenario, err := bench.ReadScenario("scenarios/" + name + ".ini")
	if err != nil {
		t.Fatal(err)
	}
	return runInVirtualTime(t, scenario, currentPolicy())
}

// checkOverloadResult checks the targets of live calls under overload.
func checkOverloadResult(is *is.I, result, capacity *bench.Result) {
	is.True(result.InTimeShare() >= minInTimeShare)                                               // admitted calls meet their deadlines
	is.True(result.RefusalP99 <= maxRefusalP99)                                                   // refusals are fast
	is.True(result.Goodput/result.Capacity >= minGoodputShare*capacity.Goodput/capacity.Capacity) // goodput does not drop under overload
}

// checkTrainerIdleTime checks the trainer's idle share, and that live calls still complete
// in time.
func checkTrainerIdleTime(is *is.I, result, _ *bench.Result) {
	is.True(result.InTimeShare() >= minInTimeShare)
	is.True(result.IdleShare <= maxIdleFactor*result.IdleLowerBound) // idle near the lower bound
}

// TestAll runs all scenarios under all policies and writes the page of results.
func TestAll(t *testing.T) {
	if *docsDir == "" {
		t.Skip("needs a directory for the page; run with make policies")
	}
	scenarios, err := bench.ReadScenarios("scenarios")
	if err != nil {
		t.Fatal(err)
	}
	table := make([][]*bench.Result, len(scenarios))
	t.Run("scenarios", func(t *testing.T) {
		for i, scenario := range scenarios {
			t.Run(scenario.Name, func(t *testing.T) {
				t.Parallel()
				for _, policy := range bench.Policies() {
					table[i] = append(table[i], runInVirtualTime(t, scenario, &policy))
				}
			})
		}
	})
	if err := bench.WriteReport(*docsDir, table); err != nil {
		t.Fatal(err)
	}
}

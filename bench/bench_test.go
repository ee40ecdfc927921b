package bench_test

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum/bench"
)

// write makes TestAll write the page of results.
var write = flag.String("write", "", "directory of the docs to write the results to")

// drive runs a policy through a scenario in virtual time.
func drive(t *testing.T, scenario *bench.Scenario, policy *bench.Policy) *bench.Result {
	t.Helper()
	var result *bench.Result
	synctest.Test(t, func(t *testing.T) {
		var err error
		result, err = bench.Run(t.Context(), scenario, policy)
		if err != nil {
			t.Error(err)
		}
	})
	return result
}

// current returns the policy that daemons run with.
func current() *bench.Policy {
	for _, policy := range bench.Policies() {
		if policy.Name == bench.Current {
			return &policy
		}
	}
	return nil
}

// Targets, as stated by the users.
const (
	metTarget     = 0.999
	refusalTarget = 50 * time.Millisecond
	goodputTarget = 0.95
	idleTarget    = 1.15
)

// TestTargets checks the current policy against the targets.
func TestTargets(t *testing.T) {
	rows := []struct {
		scenario string
		check    func(is *is.I, result, capacity *bench.Result)
	}{
		{"approdo_rush_3", rush},
		{"authority_rush_3", rush},
		{"approdo_rush_1_5", rush},
		{"approdo_calm", calm},
		{"authority_calm", calm},
	}
	var capacity *bench.Result
	for _, row := range rows {
		t.Run(row.scenario, func(t *testing.T) {
			is := is.New(t)
			if capacity == nil {
				capacity = load(t, "approdo_capacity")
			}
			result := load(t, row.scenario)
			t.Logf("%+v", *result)
			is.Equal(len(result.Broken), 0)
			is.Equal(result.StaleOver, 0)
			row.check(is, result, capacity)
		})
	}
}

// load runs the current policy through a scenario.
func load(t *testing.T, name string) *bench.Result {
	t.Helper()
	scenario, err := bench.Read("scenarios/" + name + ".ini")
	if err != nil {
		t.Fatal(err)
	}
	return drive(t, scenario, current())
}

// rush checks the targets under overload.
func rush(is *is.I, result, capacity *bench.Result) {
	is.True(result.Met() >= metTarget)                                                          // admitted calls meet their deadlines
	is.True(result.RefusalP99 <= refusalTarget)                                                 // refusals are said at once
	is.True(result.Goodput/result.Capacity >= goodputTarget*capacity.Goodput/capacity.Capacity) // goodput stays
}

// calm checks the targets of trainers.
func calm(is *is.I, result, _ *bench.Result) {
	is.True(result.Met() >= metTarget)
	is.True(result.IdleShare <= idleTarget*result.IdleBound) // idle near the lower bound
}

// TestAll runs all policies through all scenarios and writes the page.
func TestAll(t *testing.T) {
	if *write == "" {
		t.Skip("run by make policies")
	}
	scenarios, err := bench.ReadAll("scenarios")
	if err != nil {
		t.Fatal(err)
	}
	table := make([][]*bench.Result, len(scenarios))
	t.Run("scenarios", func(t *testing.T) {
		for i, scenario := range scenarios {
			t.Run(scenario.Name, func(t *testing.T) {
				t.Parallel()
				for _, policy := range bench.Policies() {
					table[i] = append(table[i], drive(t, scenario, &policy))
				}
			})
		}
	})
	if err := bench.Write(*write, table); err != nil {
		t.Fatal(err)
	}
}

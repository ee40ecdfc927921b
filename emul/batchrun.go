package emul

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// RunAll runs each scenario under each policy with the seeds from 1 to seeds, on all cores. It
// calls progress after each run, not concurrently. The results are sorted by scenario, policy and
// seed.
func RunAll(ctx context.Context, scenarios []*Scenario, policies []*Policy, seeds int, progress func(done, total int)) ([]*Result, error) {
	type job struct {
		scenario *Scenario
		policy   string
		seed     uint64
	}
	jobs := make(chan job)
	results := make(chan *Result)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for next := range jobs {
				// A policy may have state, so that each run gets its own.
				results <- Run(next.scenario, FindPolicy(next.policy), next.seed)
			}
		})
	}
	go func() {
		defer close(jobs)
		for _, scenario := range scenarios {
			for _, policy := range policies {
				for seed := range seeds {
					select {
					case jobs <- job{scenario, policy.Name, uint64(seed + 1)}:
					case <-ctx.Done():
						return
					}
				}
			}
		}
	}()
	go func() {
		workers.Wait()
		close(results)
	}()
	total := len(scenarios) * len(policies) * seeds
	var all []*Result
	for result := range results {
		all = append(all, result)
		progress(len(all), total)
	}
	slices.SortFunc(all, func(a, b *Result) int {
		return cmp.Or(cmp.Compare(a.Scenario, b.Scenario), cmp.Compare(a.Policy, b.Policy), cmp.Compare(a.Seed, b.Seed))
	})
	if ctx.Err() != nil {
		return all, fmt.Errorf("run scenarios: %w", ctx.Err())
	}
	return all, nil
}

// measures are the figures that are compared, with their names.
var measures = []struct {
	name  string
	value func(*Result) float64
}{
	{"met_share", (*Result).MetShare},
	{"step_p50_s", func(r *Result) float64 { return r.StepTime(0.5).Seconds() }},
	{"step_p90_s", func(r *Result) float64 { return r.StepTime(0.9).Seconds() }},
	{"steps", func(r *Result) float64 { return float64(len(r.Steps)) }},
	{"aborted", func(r *Result) float64 { return float64(r.Aborted) }},
	{"slot_s", func(r *Result) float64 { return r.SlotTime.Seconds() }},
}

// Difference is the paired difference of a measure between two policies over the seeds of a
// scenario.
type Difference struct {
	Scenario string
	Policy   string
	Measure  string
	Base     float64 // mean under the base policy
	Mean     float64 // mean difference to the base policy
	// Interval is half the width of the 95% confidence interval of Mean.
	Interval float64
}

// IsSignificant reports whether the interval excludes 0.
func (d *Difference) IsSignificant() bool { return math.Abs(d.Mean) > d.Interval }

// confidence is the level of the intervals.
const confidence = 0.95

// Compare returns the differences of all policies to the base policy.
func Compare(results []*Result, base string) []Difference {
	byRun := make(map[string]map[uint64]*Result)
	var names [][2]string
	for _, r := range results {
		key := r.Scenario + "/" + r.Policy
		if byRun[key] == nil {
			byRun[key] = make(map[uint64]*Result)
			names = append(names, [2]string{r.Scenario, r.Policy})
		}
		byRun[key][r.Seed] = r
	}
	var differences []Difference
	for _, name := range names {
		if name[1] == base {
			continue
		}
		for _, measure := range measures {
			var values, deltas []float64
			for seed, r := range byRun[name[0]+"/"+name[1]] {
				if reference, ok := byRun[name[0]+"/"+base][seed]; ok {
					values = append(values, measure.value(reference))
					deltas = append(deltas, measure.value(r)-measure.value(reference))
				}
			}
			if len(deltas) < 2 {
				continue
			}
			mean, deviation := stat.MeanStdDev(deltas, nil)
			quantile := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(deltas) - 1)}.Quantile((1 + confidence) / 2)
			differences = append(differences, Difference{
				Scenario: name[0], Policy: name[1], Measure: measure.name, Base: stat.Mean(values, nil),
				Mean: mean, Interval: quantile * stat.StdErr(deviation, float64(len(deltas))),
			})
		}
	}
	return differences
}

// WriteComparison writes differences as a table.
func WriteComparison(w io.Writer, differences []Difference, base string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "scenario\tpolicy\tmeasure\t%s\tdifference\t95%% interval\t\n", base)
	for i := range differences {
		d := &differences[i]
		verdict := "not told from noise"
		if d.IsSignificant() {
			verdict = ""
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%.4f\t%+.4f\t±%.4f\t%s\n", d.Scenario, d.Policy, d.Measure, d.Base, d.Mean, d.Interval, verdict)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write comparison: %w", err)
	}
	return nil
}

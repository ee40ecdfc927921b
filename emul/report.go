package emul

import (
	"fmt"
	"io"
	"slices"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
)

// WriteHTML writes a page with plots: for each scenario the mean phases of a step by policy, and
// the distribution of the durations of steps.
func WriteHTML(w io.Writer, results []*Result) error {
	page := components.NewPage()
	page.SetPageTitle("Emulated batches")
	var scenarios []string
	for _, r := range results {
		if !slices.Contains(scenarios, r.Scenario) {
			scenarios = append(scenarios, r.Scenario)
		}
	}
	for _, scenario := range scenarios {
		page.AddCharts(newPhaseChart(results, scenario), newDurationChart(results, scenario))
	}
	if err := page.Render(w); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// policiesOf returns the results of a scenario by policy, and the policies' names in order.
func policiesOf(results []*Result, scenario string) (names []string, byPolicy map[string][]*Result) {
	byPolicy = make(map[string][]*Result)
	for _, r := range results {
		if r.Scenario != scenario {
			continue
		}
		if byPolicy[r.Policy] == nil {
			names = append(names, r.Policy)
		}
		byPolicy[r.Policy] = append(byPolicy[r.Policy], r)
	}
	return names, byPolicy
}

// newPhaseChart returns stacked bars of the mean phases of the steps.
func newPhaseChart(results []*Result, scenario string) *charts.Bar {
	names, byPolicy := policiesOf(results, scenario)
	chart := charts.NewBar()
	chart.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: scenario, Subtitle: "mean phases of a step in ms"}),
		charts.WithLegendOpts(opts.Legend{Right: "5%"}),
	)
	chart.SetXAxis(names)
	for _, phase := range phases {
		var data []opts.BarData
		for _, name := range names {
			total := 0.0
			for _, r := range byPolicy[name] {
				total += float64(r.meanPhase(phase.value).Milliseconds())
			}
			data = append(data, opts.BarData{Value: int(total / float64(len(byPolicy[name])))})
		}
		chart.AddSeries(phase.name, data, charts.WithBarChartOpts(opts.BarChart{Stack: "phases"}))
	}
	return chart
}

// newDurationChart returns lines of the quantiles of the durations of steps.
func newDurationChart(results []*Result, scenario string) *charts.Line {
	names, byPolicy := policiesOf(results, scenario)
	quantiles := []float64{0.05, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99}
	chart := charts.NewLine()
	chart.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: scenario, Subtitle: "duration of a step in ms by quantile"}),
		charts.WithLegendOpts(opts.Legend{Right: "5%"}),
	)
	chart.SetXAxis(quantiles)
	for _, name := range names {
		merged := &Result{}
		for _, r := range byPolicy[name] {
			merged.Steps = append(merged.Steps, r.Steps...)
		}
		var data []opts.LineData
		for _, quantile := range quantiles {
			data = append(data, opts.LineData{Value: merged.StepTime(quantile).Milliseconds()})
		}
		chart.AddSeries(name, data)
	}
	return chart
}

package emul

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // format svg
)

// Sizes of the plots.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 0.8 * vg.Centimeter
)

// reportPage is the page with the plots. It needs no other file.
var reportPage = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html><head><meta charset="utf-8"><title>Emulated batches</title></head><body>
{{range .}}<h1>{{.Scenario}}</h1>{{.Phases}}{{.Durations}}
{{end}}</body></html>
`))

// scenarioPlots are the plots of a scenario as SVG.
type scenarioPlots struct {
	Scenario          string
	Phases, Durations template.HTML
}

// WriteHTML writes a page with plots: for each scenario the mean phases of a step by policy, and
// the quantiles of the durations of steps.
func WriteHTML(w io.Writer, results []*Result) error {
	var scenarios []string
	for _, r := range results {
		if !slices.Contains(scenarios, r.Scenario) {
			scenarios = append(scenarios, r.Scenario)
		}
	}
	var plots []scenarioPlots
	for _, scenario := range scenarios {
		phases, err := plotPhases(results, scenario)
		if err != nil {
			return fmt.Errorf("plot phases of %s: %w", scenario, err)
		}
		durations, err := plotDurations(results, scenario)
		if err != nil {
			return fmt.Errorf("plot durations of %s: %w", scenario, err)
		}
		plots = append(plots, scenarioPlots{Scenario: scenario, Phases: phases, Durations: durations})
	}
	if err := reportPage.Execute(w, plots); err != nil {
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

// plotPhases returns stacked bars of the mean phases of the steps.
func plotPhases(results []*Result, scenario string) (template.HTML, error) {
	names, byPolicy := policiesOf(results, scenario)
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "mean phases of a step", "s"
	p.Legend.Top = true
	var below *plotter.BarChart
	for i, phase := range phases {
		var means plotter.Values
		for _, name := range names {
			total := 0.0
			for _, r := range byPolicy[name] {
				total += r.meanPhase(phase.value).Seconds()
			}
			means = append(means, total/float64(len(byPolicy[name])))
		}
		bars, err := plotter.NewBarChart(means, barWidth)
		if err != nil {
			return "", fmt.Errorf("create bars: %w", err)
		}
		bars.Color = plotutil.Color(i)
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(phase.name, bars)
	}
	p.NominalX(names...)
	return renderSVG(p)
}

// plotDurations returns a line a policy of the durations of steps by quantile.
func plotDurations(results []*Result, scenario string) (template.HTML, error) {
	names, byPolicy := policiesOf(results, scenario)
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "duration of a step by quantile", "quantile", "s"
	p.Legend.Top, p.Legend.Left = true, true
	for i, name := range names {
		merged := &Result{}
		for _, r := range byPolicy[name] {
			merged.Steps = append(merged.Steps, r.Steps...)
		}
		var points plotter.XYs
		for percent := range 100 {
			quantile := float64(percent) / 100
			points = append(points, plotter.XY{X: quantile, Y: merged.StepTime(quantile).Seconds()})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", fmt.Errorf("create line: %w", err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	return renderSVG(p)
}

// renderSVG returns a plot as an SVG element.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", fmt.Errorf("create canvas: %w", err)
	}
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", fmt.Errorf("render plot: %w", err)
	}
	content := svg.Bytes()
	// The XML declaration has no place within a page.
	if start := bytes.Index(content, []byte("<svg")); start > 0 {
		content = content[start:]
	}
	return template.HTML(content), nil //nolint:gosec // The plot library made it.
}

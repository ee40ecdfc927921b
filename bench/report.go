package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// WriteReport writes the page of results and its plots to dir. Each row of the table has
// the results of one scenario, in the order of Policies.
func WriteReport(dir string, table [][]*Result) error {
	var page strings.Builder
	page.WriteString(pageHeader)
	for _, results := range table {
		writeScenario(&page, results)
	}
	if err := os.WriteFile(filepath.Join(dir, "POLICIES.md"), []byte(page.String()), 0o644); err != nil { //nolint:gosec // The page is public.
		return fmt.Errorf("write report page: %w", err)
	}
	for _, plot := range plots {
		if err := os.WriteFile(filepath.Join(dir, plot.file), []byte(plot.renderSVG(table)), 0o644); err != nil { //nolint:gosec // The plot is public.
			return fmt.Errorf("write plot: %w", err)
		}
	}
	return nil
}

const pageHeader = `# The decisions under load, measured

Made by ` + "`make policies`" + `: each policy drives the real daemons of a deployment, over
in-memory stand-ins in virtual time, through the scenarios in bench/scenarios. The
sizes are those of today's deployments; tenfold has ten times Approdo's engines.
What was concluded from these figures stands in DECISIONS.md.

- in time: part of the admitted live calls that were answered within their deadline of 1 s
- goodput: live calls answered in time a second, in parts of the engines' capacity
- refusal p99: how long refusals took to be said
- idle: the trainer's idle time in parts of all its time; bound: the least that the capacity allows
- stale: mean staleness in versions, its 99th percentile, samples over the bound
- wasted: part of all generated tokens that reached nobody
- link: kilobytes sent between regions for calls

![live calls answered in time](policies_met.svg)
![goodput](policies_goodput.svg)
![trainer idle share](policies_idle.svg)
`

// writeScenario writes the results of one scenario as a table, and the violations below it.
func writeScenario(page *strings.Builder, results []*Result) {
	if len(results) == 0 || results[0] == nil {
		return
	}
	fmt.Fprintf(page, "\n## %s\n\n", results[0].Scenario)
	page.WriteString("| policy | offered | refused | in time | live p50 | live p99 | goodput | refusal p99 | idle (bound) | steps | stale | wasted | link |\n")
	page.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range results {
		fmt.Fprintf(page, "| %s | %d | %d | %.2f%% | %s | %s | %.2f | %s | %.2f (%.2f) | %d | %.2f / %d / %d | %.1f%% | %d |\n",
			r.Policy, r.Offered, r.Refused, 100*r.InTimeShare(), r.LiveP50.Round(time.Millisecond), r.LiveP99.Round(time.Millisecond),
			r.Goodput/r.Capacity, r.RefusalP99.Round(time.Millisecond/10), r.IdleShare, r.IdleLowerBound, r.Steps,
			r.MeanStaleness, r.StalenessP99, r.StaleSamples, 100*r.WastedShare, r.CrossRegionBytes>>10)
	}
	for _, r := range results {
		for _, violation := range r.Violations {
			fmt.Fprintf(page, "\nBROKEN by %s: %s\n", r.Policy, violation)
		}
	}
}

// plot is a bar chart of one measure over all scenarios and policies.
type plot struct {
	file, title string
	value       func(*Result) float64
}

var plots = []plot{
	{"policies_met.svg", "live calls answered in time, of those admitted", func(r *Result) float64 { return r.InTimeShare() }},
	{"policies_goodput.svg", "goodput in parts of capacity", func(r *Result) float64 { return r.Goodput / r.Capacity }},
	{"policies_idle.svg", "trainer idle share", func(r *Result) float64 { return r.IdleShare }},
}

// Sizes of a plot, in pixels.
const (
	barHeight  = 7
	labelWidth = 170
	plotWidth  = 420
	rowGap     = 10
)

// colours has one bar colour for each policy.
var colours = []string{"#bbbbbb", "#888888", "#c9a227", "#7aa6c2", "#9b6bb3", "#2e7d32"}

// renderSVG renders the plot as an SVG document.
func (p *plot) renderSVG(table [][]*Result) string {
	var svg strings.Builder
	y := 40
	for _, results := range table {
		fmt.Fprintf(&svg, `<text x="4" y="%d" font-size="11">%s</text>`+"\n", y+barHeight*len(results)/2+4, results[0].Scenario)
		for i, r := range results {
			width := int(min(1, p.value(r)) * plotWidth)
			fmt.Fprintf(&svg, `<rect x="%d" y="%d" width="%d" height="%d" fill="%s"><title>%s %.3f</title></rect>`+"\n",
				labelWidth, y, width, barHeight-1, colours[i%len(colours)], r.Policy, p.value(r))
			y += barHeight
		}
		y += rowGap
	}
	var legend strings.Builder
	for i, r := range table[0] {
		fmt.Fprintf(&legend, `<rect x="%d" y="22" width="8" height="8" fill="%s"/><text x="%d" y="30" font-size="10">%s</text>`+"\n",
			4+i*100, colours[i%len(colours)], 15+i*100, r.Policy)
	}
	return fmt.Sprintf(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif">`+"\n"+
		`<text x="4" y="14" font-size="13">%s</text>`+"\n%s%s</svg>\n", labelWidth+plotWidth+20, y, p.title, legend.String(), svg.String())
}

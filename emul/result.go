package emul

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"
)

// Step is a completed step of a trainer. Its phases are those of the item that completed it.
type Step struct {
	Trainer    int
	Step       int
	Total      time.Duration
	Waiting    time.Duration
	Generation time.Duration
	Storing    time.Duration // including the score
	Reading    time.Duration
	Ending     time.Duration
	// Length is the length of the item's text in events.
	Length int
}

// Result is the result of one run.
type Result struct {
	Scenario string
	Policy   string
	Seed     uint64
	Steps    []Step
	// GroupsOwed is the number of groups that trainers wait for in the steps that the run has
	// time for, and GroupsMet how many of them were whole in time.
	GroupsOwed int
	GroupsMet  int
	Attempts   int
	Moves      int
	// Aborted is the number of attempts that ended before their text was complete, SlotTime the
	// total duration of all attempts that have ended.
	Aborted  int
	SlotTime time.Duration
	// Copies is the number of second copies of texts, CopiesFirst how many of them ended first.
	Copies      int
	CopiesFirst int
	Loads       int
	Rounds      int
	// Violations are broken guarantees, such as an item with two results.
	Violations []string
}

// MetShare returns the share of the owed groups that were whole in time.
func (r *Result) MetShare() float64 { return float64(r.GroupsMet) / float64(max(1, r.GroupsOwed)) }

// StepTime returns a quantile of the durations of steps, 0 without steps.
func (r *Result) StepTime(quantile float64) time.Duration {
	if len(r.Steps) == 0 {
		return 0
	}
	times := make([]time.Duration, 0, len(r.Steps))
	for i := range r.Steps {
		times = append(times, r.Steps[i].Total)
	}
	slices.Sort(times)
	return times[min(len(times)-1, int(quantile*float64(len(times))))]
}

// meanPhase returns the mean of a phase over all steps.
func (r *Result) meanPhase(phase func(*Step) time.Duration) time.Duration {
	var total time.Duration
	for i := range r.Steps {
		total += phase(&r.Steps[i])
	}
	return total / time.Duration(max(1, len(r.Steps)))
}

// phases are the phases of a step with their names.
var phases = []struct {
	name  string
	value func(*Step) time.Duration
}{
	{"waiting", func(s *Step) time.Duration { return s.Waiting }},
	{"generation", func(s *Step) time.Duration { return s.Generation }},
	{"storing", func(s *Step) time.Duration { return s.Storing }},
	{"reading", func(s *Step) time.Duration { return s.Reading }},
	{"ending", func(s *Step) time.Duration { return s.Ending }},
}

// WriteCSV writes one row for each run.
func WriteCSV(w io.Writer, results []*Result) error {
	writer := csv.NewWriter(w)
	header := []string{"scenario", "policy", "seed", "met_share", "steps", "step_p50_ms", "step_p90_ms", "step_p99_ms", "attempts", "moves", "copies", "copies_first", "aborted", "slot_ms", "loads", "rounds", "violations"}
	for _, phase := range phases {
		header = append(header, phase.name+"_ms")
	}
	if err := writer.Write(header); err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	for _, r := range results {
		row := []string{
			r.Scenario, r.Policy, strconv.FormatUint(r.Seed, 10), strconv.FormatFloat(r.MetShare(), 'f', 4, 64), strconv.Itoa(len(r.Steps)),
			milliseconds(r.StepTime(0.5)), milliseconds(r.StepTime(0.9)), milliseconds(r.StepTime(0.99)),
			strconv.Itoa(r.Attempts), strconv.Itoa(r.Moves), strconv.Itoa(r.Copies), strconv.Itoa(r.CopiesFirst), strconv.Itoa(r.Aborted), milliseconds(r.SlotTime), strconv.Itoa(r.Loads), strconv.Itoa(r.Rounds), strconv.Itoa(len(r.Violations)),
		}
		for _, phase := range phases {
			row = append(row, milliseconds(r.meanPhase(phase.value)))
		}
		if err := writer.Write(row); err != nil {
			return fmt.Errorf("write results: %w", err)
		}
	}
	writer.Flush()
	if err := writer.Error(); err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	return nil
}

// WriteSummary writes the means of each scenario and policy as a table.
func WriteSummary(w io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "scenario\tpolicy\truns\tmet_share\tstep_p50_s\tstep_p90_s\tsteps\taborted\tslot_s\tmoves\tloads\tviolations\t")
	for start := 0; start < len(results); {
		end, violations, moves, loads := start, 0, 0, 0
		for end < len(results) && results[end].Scenario == results[start].Scenario && results[end].Policy == results[start].Policy {
			violations, moves, loads = violations+len(results[end].Violations), moves+results[end].Moves, loads+results[end].Loads
			end++
		}
		runs := float64(end - start)
		fmt.Fprintf(table, "%s\t%s\t%d\t", results[start].Scenario, results[start].Policy, end-start)
		for _, measure := range measures {
			total := 0.0
			for _, r := range results[start:end] {
				total += measure.value(r)
			}
			fmt.Fprintf(table, "%.3f\t", total/runs)
		}
		fmt.Fprintf(table, "%.1f\t%.1f\t%d\t\n", float64(moves)/runs, float64(loads)/runs, violations)
		start = end
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	return nil
}

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

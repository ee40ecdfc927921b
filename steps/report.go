package steps

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// WriteReport writes a table with a row for each batch, times relative to the first
// submission and durations in milliseconds, and the counts of refused and failed requests.
func (a *Analysis) WriteReport(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "at_s\tmodel\tstep\titems\tresults\ttotal\twaiting\tgeneration\tscoring\tstoring\treading\tending\tlongest\tlast_item\tengine\tevent_ms\tneighbours\tmoves\tbroken\tloads\t")
	for _, b := range a.Batches {
		a.writeBatch(table, b)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	keys := slices.SortedFunc(maps.Keys(a.Refusals), func(x, y RefusalKey) int {
		return cmp.Or(cmp.Compare(a.Refusals[y], a.Refusals[x]), cmp.Compare(fmt.Sprint(x), fmt.Sprint(y)))
	})
	for _, key := range keys {
		if _, err := fmt.Fprintf(w, "%d requests of %s: %s, outcome %s, status %d\n", a.Refusals[key], key.Service, key.Reason, key.Outcome, key.Status); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	_, err := fmt.Fprintf(w, "%d starts of daemons, %d acquisitions of services, %d lines skipped\n", a.Restarts, a.Holders, a.Skipped)
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// writeBatch writes the row of a batch. Errors are reported by Flush.
func (a *Analysis) writeBatch(table io.Writer, b *Batch) {
	phases := b.Phases()
	longest, _ := phases.Longest()
	at := b.SubmittedAt.Sub(a.Batches[0].SubmittedAt).Seconds()
	fmt.Fprintf(table, "%.2f\t%s\t%d\t%d\t%d\t%d\t", at, b.Model, b.Step, b.Items, b.Results, between(b.SubmittedAt, b.EndedAt).Milliseconds())
	for _, phase := range []time.Duration{phases.Waiting, phases.Generation, phases.Scoring, phases.Storing, phases.Reading, phases.Ending} {
		fmt.Fprintf(table, "%d\t", phase.Milliseconds())
	}
	if b.Last == nil {
		fmt.Fprintln(table, "-\t-\t-\t-\t-\t-\t-\t-\t")
		return
	}
	fmt.Fprintf(table, "%s\t%s\t%s\t%.1f\t%d\t%d\t%d\t%d\t\n", longest, b.Last.ID, b.Last.Engine, float64(b.Last.EventTime.Microseconds())/1000,
		b.Last.Neighbours, b.Last.Moves, b.Last.Broken, b.Last.Loads)
}

package usage

import (
	"log/slog"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/store"
)

// Ledger is the content of the topic, built by applying its records in order.
type Ledger struct {
	Logger *slog.Logger

	windows map[gypsum.UsageWindow]*windowState
	lost    int64
}

// windowState is the state of one window.
type windowState struct {
	// counts are the counts of each process, by the keys of their records.
	counts map[string]map[gypsum.AccountName]int64
	closed *Closed
	// closedAt is the offset of the record that closed the window.
	closedAt gypsum.Offset
	keys     map[string]bool
}

// NewLedger returns an empty ledger.
func NewLedger(logger *slog.Logger) *Ledger {
	return &Ledger{Logger: logger, windows: make(map[gypsum.UsageWindow]*windowState)}
}

// Apply applies records in the order of their offsets.
func (l *Ledger) Apply(update store.Update) {
	if update.Complete {
		l.windows = make(map[gypsum.UsageWindow]*windowState)
	}
	for i := range update.Records {
		record := &update.Records[i]
		counts, closed, err := Decode(record)
		switch {
		case err != nil:
			l.Logger.Warn("skipped malformed usage record", "key", record.Key, "offset", record.Offset, "error", err)
		case counts != nil:
			l.applyCounts(record, counts, update.Complete)
		case closed != nil:
			l.applyClosed(record, closed)
		case len(record.Value) == 0:
			l.applyRemoval(record.Key)
		}
	}
}

// window returns the state of a window and creates it if it does not exist.
func (l *Ledger) window(window gypsum.UsageWindow) *windowState {
	state := l.windows[window]
	if state == nil {
		state = &windowState{counts: make(map[string]map[gypsum.AccountName]int64), keys: make(map[string]bool)}
		l.windows[window] = state
	}
	return state
}

// applyCounts applies the counts of a process. Those that arrive after the window was closed are
// not reported.
func (l *Ledger) applyCounts(record *gypsum.KeyedRecord, counts *Counts, initial bool) {
	state := l.window(counts.Window)
	state.keys[record.Key] = true
	if state.closed != nil && !initial {
		lost := int64(0)
		for account, count := range counts.Counts {
			lost += max(0, count-state.counts[record.Key][account])
		}
		l.lost += lost
		l.Logger.Warn("usage counts lost: they arrived after their window was closed", "window", counts.Window, "host", counts.Host, "requests", lost)
	}
	merged := make(map[gypsum.AccountName]int64, len(counts.Counts))
	for account, count := range counts.Counts {
		merged[account] = max(count, state.counts[record.Key][account])
	}
	state.counts[record.Key] = merged
}

// applyClosed applies the record that closes a window. The first one in the log is the report.
func (l *Ledger) applyClosed(record *gypsum.KeyedRecord, closed *Closed) {
	state := l.window(closed.Window)
	state.keys[record.Key] = true
	if state.closed == nil || record.Offset < state.closedAt {
		state.closed, state.closedAt = closed, record.Offset
	}
}

// applyRemoval applies the removal of a key. Windows are removed with all their keys.
func (l *Ledger) applyRemoval(key string) {
	for window, state := range l.windows {
		if state.keys[key] {
			delete(state.keys, key)
			if len(state.keys) == 0 {
				delete(l.windows, window)
			}
			return
		}
	}
}

// Sums returns the counts of a window, without those that are zero.
func (l *Ledger) Sums(window gypsum.UsageWindow) map[gypsum.AccountName]int64 {
	sums := make(map[gypsum.AccountName]int64)
	state := l.windows[window]
	if state == nil {
		return sums
	}
	for _, counts := range state.counts {
		for account, count := range counts {
			if count > 0 {
				sums[account] += count
			}
		}
	}
	return sums
}

// Report returns the report of a window, false if the window is not closed.
func (l *Ledger) Report(window gypsum.UsageWindow) (gypsum.UsageReport, bool) {
	state := l.windows[window]
	if state == nil || state.closed == nil {
		return gypsum.UsageReport{}, false
	}
	return gypsum.UsageReport{Window: window, Counts: state.closed.Counts}, true
}

// Lost returns the number of requests whose counts arrived after their windows were closed.
func (l *Ledger) Lost() int64 { return l.lost }

// ExpiredKeys returns the keys of the windows that are no longer kept, in order.
func (l *Ledger) ExpiredKeys(timing Timing, now time.Time) []string {
	var keys []string
	for window, state := range l.windows {
		if timing.IsExpired(window, now) {
			for key := range state.keys {
				keys = append(keys, key)
			}
		}
	}
	slices.Sort(keys)
	return keys
}

package usage

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/duty"
	"github.com/gypsumhook/gypsum/store"
)

// Delays of a Reporter.
const (
	// idleInterval is the time between two checks of a daemon that does not hold the duty, and
	// the longest between two of one that does.
	idleInterval = 200 * time.Millisecond
	// retryDelay is the time before a failed call is repeated, storeRetryDelay that before a failed
	// access to the store is: a window that waits for the end of an outage may have little time
	// left then.
	retryDelay      = 250 * time.Millisecond
	storeRetryDelay = 100 * time.Millisecond
	// closeTimeout bounds the append of closed windows.
	closeTimeout = 2 * time.Second
	// maxRemovals bounds the expired keys that are removed at one time.
	maxRemovals = 500
)

// Reporter closes windows and reports them while this daemon holds the duty. Create it with
// NewReporter and set the exported fields before Run.
type Reporter struct {
	Host        gypsum.HostID
	Incarnation gypsum.Incarnation
	Timing      Timing
	Clock       *TimeOfDay
	Keeper      *duty.Keeper
	Client      gypsum.DutyClient
	Store       gypsum.KeyedStore
	Topic       gypsum.Topic
	Writer      *store.Writer
	// StoreBack returns when the store responded again after an outage, zero if it was not away.
	StoreBack func() time.Time
	Logger    *slog.Logger
	Stats     ReporterStats

	ledger *Ledger
	reader *store.Reader
	// accepted are the windows whose reports were accepted, missed those that were not reported
	// in time.
	accepted map[gypsum.UsageWindow]bool
	missed   map[gypsum.UsageWindow]bool
	serial   int64
	// failingSince is when the first of the accesses to the store failed that have failed since the
	// last success, zero if there is none. storeBack is when the store responded again.
	failingSince time.Time
	storeBack    time.Time
	// storeLatency is how long the last read or append took.
	storeLatency time.Duration
	held         bool
	// heldFrom is when this daemon became the holder: windows that were too late by then are not
	// its own to report.
	heldFrom time.Time
}

// ReporterStats counts the windows of a Reporter since its start.
type ReporterStats struct {
	Closed   atomic.Int64
	Reported atomic.Int64
	Missed   atomic.Int64
	// LostCounts counts the requests whose counts arrived after their windows were closed.
	LostCounts atomic.Int64
}

// NewReporter returns a Reporter. Its exported fields must be set before Run.
func NewReporter() *Reporter {
	return &Reporter{accepted: make(map[gypsum.UsageWindow]bool), missed: make(map[gypsum.UsageWindow]bool)}
}

// Run closes and reports windows until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	r.ledger = NewLedger(r.Logger)
	r.reader = &store.Reader{Store: r.Store, Topic: r.Topic, Handle: r.ledger.Apply}
	for {
		wait := idleInterval
		if r.Keeper.Holding(gypsum.DutyUsage) {
			if !r.held {
				r.held, r.heldFrom = true, r.Clock.Now()
			}
			wait = r.round(ctx)
		} else if r.held {
			r.held = false
			r.reader.Reset()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

// round closes and reports what is due, and returns how long to wait until the next round.
func (r *Reporter) round(ctx context.Context) time.Duration {
	now, storeState := r.Clock.Now(), StoreState{Back: r.lastOutage(), Latency: r.storeLatency}
	// Windows that are closed are reported first: this needs no access to the store.
	windows := r.Timing.Reportable(now, storeState)
	sent := r.sendReports(ctx, windows)
	if err := r.closeWindows(ctx, windows); err != nil {
		r.logFailure(err)
		return storeRetryDelay
	}
	sent = r.sendReports(ctx, windows) && sent
	r.noteMissed(r.Clock.Now())
	if !sent {
		return retryDelay + rand.N(retryDelay/2)
	}
	return r.untilNextClose(storeState)
}

// lastOutage returns when the store responded again after its last outage, zero if there was none.
func (r *Reporter) lastOutage() time.Time {
	if back := r.StoreBack(); !back.IsZero() && r.Clock.At(back).After(r.storeBack) {
		return r.Clock.At(back)
	}
	return r.storeBack
}

// logFailure logs that windows could not be closed: the first failure of a series.
func (r *Reporter) logFailure(err error) {
	if r.failingSince.IsZero() {
		r.failingSince = r.Clock.Now()
		r.Logger.Warn("failed to close usage windows", "error", err)
	}
}

// poll reads the topic. ok is false if the store has just responded again after an outage: the
// counts of other hosts are still to come.
func (r *Reporter) poll(ctx context.Context) (ok bool, err error) {
	startedAt := time.Now()
	if err := r.reader.Poll(ctx); err != nil {
		return false, err
	}
	r.storeLatency = time.Since(startedAt)
	r.Stats.LostCounts.Store(r.ledger.Lost())
	if r.failingSince.IsZero() {
		return true, nil
	}
	if back := r.lastOutage(); back.After(r.failingSince) {
		r.storeBack = back // another reader noticed it before
	} else {
		r.storeBack = r.Clock.Now()
	}
	r.failingSince = time.Time{}
	return false, nil
}

// untilNextClose returns the time until the next window is closed, at most idleInterval.
func (r *Reporter) untilNextClose(storeState StoreState) time.Duration {
	now, next := r.Clock.Now(), idleInterval
	for window := r.Timing.WindowAt(now.Add(-r.Timing.Lateness)); window <= r.Timing.WindowAt(now); window++ {
		if until := r.Timing.CloseAt(window, storeState).Sub(now); until > 0 {
			next = min(next, until)
		}
	}
	return next
}

// closeWindows closes those of the windows that are not closed. The topic is read only then, and
// when this daemon has become the holder.
func (r *Reporter) closeWindows(ctx context.Context, windows []gypsum.UsageWindow) error {
	if r.reader.Loaded() && len(r.openWindows(windows)) == 0 {
		return nil
	}
	if ok, err := r.poll(ctx); !ok || err != nil {
		return err
	}
	open := r.openWindows(windows)
	if len(open) == 0 {
		return nil
	}
	var records []gypsum.KeyedRecord
	for _, window := range open {
		r.serial++
		unique := string(r.Host) + "." + strconv.FormatInt(int64(r.Incarnation), 36) + "." + strconv.FormatInt(r.serial, 36)
		record, err := EncodeClosed(&Closed{Window: window, Counts: r.ledger.Sums(window), Host: r.Host}, unique)
		if err != nil {
			return err
		}
		records = append(records, record)
	}
	expired := r.ledger.ExpiredKeys(r.Timing, r.Clock.Now())
	for _, key := range expired[:min(len(expired), maxRemovals)] {
		records = append(records, gypsum.KeyedRecord{Key: key})
	}
	appendCtx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	startedAt := time.Now()
	if _, err := r.Writer.Append(appendCtx, records...); err != nil {
		return fmt.Errorf("close windows: %w", err)
	}
	r.storeLatency = max(r.storeLatency, time.Since(startedAt))
	// Another daemon's record may be the first one.
	if err := r.reader.Poll(ctx); err != nil {
		return err
	}
	for _, window := range open {
		report, _ := r.ledger.Report(window)
		r.Stats.Closed.Add(1)
		r.Logger.Info("usage window closed", "window", window, "accounts", len(report.Counts), "requests", total(report.Counts),
			"after_end_ms", r.Clock.Now().Sub(r.Timing.End(window)).Milliseconds())
	}
	return nil
}

// openWindows returns those of the windows that are not closed.
func (r *Reporter) openWindows(windows []gypsum.UsageWindow) []gypsum.UsageWindow {
	var open []gypsum.UsageWindow
	for _, window := range windows {
		if _, closed := r.ledger.Report(window); !closed {
			open = append(open, window)
		}
	}
	return open
}

// total returns the sum of counts.
func total(counts map[gypsum.AccountName]int64) int64 {
	sum := int64(0)
	for _, count := range counts {
		sum += count
	}
	return sum
}

// sendReports sends the reports of the closed windows that were not accepted yet, and returns
// whether all were accepted.
func (r *Reporter) sendReports(ctx context.Context, windows []gypsum.UsageWindow) bool {
	complete := true
	for _, window := range windows {
		report, closed := r.ledger.Report(window)
		if !closed || r.accepted[window] {
			continue
		}
		err := r.Keeper.Do(ctx, gypsum.DutyUsage, func(ctx context.Context, authority gypsum.DutyAuthority) error {
			return r.Client.ReportUsage(ctx, authority, report)
		})
		afterEnd := r.Clock.Now().Sub(r.Timing.End(window))
		switch {
		case err == nil:
			r.accepted[window] = true
			r.Stats.Reported.Add(1)
			r.Logger.Info("usage window reported", "window", window, "accounts", len(report.Counts), "requests", total(report.Counts), "after_end_ms", afterEnd.Milliseconds())
			continue
		case !errors.Is(err, duty.ErrNotHolder):
			r.Logger.Warn("failed to report usage window", "window", window, "after_end_ms", afterEnd.Milliseconds(), "error", err)
		}
		complete = false
	}
	return complete
}

// noteMissed logs the windows that became too late while this daemon was the holder, and forgets
// those that are no longer kept.
func (r *Reporter) noteMissed(now time.Time) {
	for window := r.Timing.WindowAt(now.Add(-r.Timing.Lateness - 2*r.Timing.Window)); r.Timing.IsLate(window, now); window++ {
		lateAt := r.Timing.End(window).Add(r.Timing.Lateness)
		if r.accepted[window] || r.missed[window] || !lateAt.After(r.heldFrom) {
			continue
		}
		r.missed[window] = true
		r.Stats.Missed.Add(1)
		_, closed := r.ledger.Report(window)
		r.Logger.Error("usage window not reported in time", "window", window, "closed", closed)
	}
	for _, windows := range []map[gypsum.UsageWindow]bool{r.accepted, r.missed} {
		for window := range windows {
			if r.Timing.IsExpired(window, now) {
				delete(windows, window)
			}
		}
	}
}

// Package usage counts the live requests of accounts that replicas began to run, and reports them
// to the platform in windows. Each host writes its counts to a topic of their own. The holder of the
// duty closes each window with a record of the sums, of which the first in the log is the report.
package usage

import (
	"time"

	"github.com/gypsumhook/gypsum"
)

// Timing describes the windows of a deployment and until when they are reported.
type Timing struct {
	// Window is the length of a window, Lateness how long after its end its report is accepted.
	Window   time.Duration
	Lateness time.Duration
}

// retention is how long windows are kept after they can no longer be reported, in memory and in
// the store, so that counts that come too late are recognised.
const retention = 30 * time.Second

// Times of the closing of a window.
const (
	// closeShare is the share of the lateness after which a window is closed. Counts are known
	// 1.5 s after the send of a request at the latest, and written within 0.3 s; what is closed
	// before an outage of the store can be reported during it.
	closeShare = 0.3
	// settleTime is how long after the end of the outage the counts of all hosts take to arrive.
	// minSettleTime suffices for most of them: a writer repeats its call every 250 ms.
	settleTime    = time.Second
	minSettleTime = 300 * time.Millisecond
	// pendingAppends is the number of appends that counts wait for: the one in flight and their
	// own.
	pendingAppends = 2
	// closeMargin is what an append and some calls to the platform's API take.
	closeMargin = 1500 * time.Millisecond
)

// WindowAt returns the window that contains a moment.
func (t Timing) WindowAt(at time.Time) gypsum.UsageWindow {
	nanos, length := at.UnixNano(), int64(t.Window)
	window := nanos / length
	if nanos%length < 0 {
		window--
	}
	return gypsum.UsageWindow(window)
}

// End returns the end of a window.
func (t Timing) End(window gypsum.UsageWindow) time.Time {
	return time.Unix(0, (int64(window)+1)*int64(t.Window))
}

// StoreState is what the holder knows of its access to the store.
type StoreState struct {
	// Back is when the store responded again after its last outage, zero if there was none.
	Back time.Time
	// Latency is how long the holder's last calls took.
	Latency time.Duration
}

// CloseAt returns when a window is closed: after a share of its lateness, which leaves time for
// slow responses before, and for a change of the holder after it. While the store is slow, and
// after an outage of it, a window is closed later, since the counts of the hosts come later.
func (t Timing) CloseAt(window gypsum.UsageWindow, storeState StoreState) time.Time {
	end := t.End(window)
	latest := end.Add(t.Lateness - closeMargin)
	closeAt := end.Add(time.Duration(closeShare*float64(t.Lateness)) + pendingAppends*storeState.Latency)
	if closeAt.After(latest) {
		closeAt = latest
	}
	if storeState.Back.IsZero() {
		return closeAt
	}
	settled := storeState.Back.Add(settleTime)
	if settled.After(latest) {
		settled = latest
	}
	if least := storeState.Back.Add(minSettleTime); settled.Before(least) {
		settled = least
	}
	if settled.After(closeAt) {
		return settled
	}
	return closeAt
}

// IsLate reports whether a window can no longer be reported.
func (t Timing) IsLate(window gypsum.UsageWindow, now time.Time) bool {
	return !now.Before(t.End(window).Add(t.Lateness))
}

// IsExpired reports whether a window is no longer kept.
func (t Timing) IsExpired(window gypsum.UsageWindow, now time.Time) bool {
	return now.After(t.End(window).Add(t.Lateness + retention))
}

// Reportable returns the windows whose time to be closed has come and that can still be reported,
// the oldest first.
func (t Timing) Reportable(now time.Time, storeState StoreState) []gypsum.UsageWindow {
	var windows []gypsum.UsageWindow
	for window := t.WindowAt(now.Add(-t.Lateness - t.Window)); !t.End(window).After(now); window++ {
		if !t.IsLate(window, now) && !now.Before(t.CloseAt(window, storeState)) {
			windows = append(windows, window)
		}
	}
	return windows
}

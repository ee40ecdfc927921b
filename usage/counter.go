package usage

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/store"
)

const (
	// writeInterval is the least time between two writes of counts. What was counted since the
	// last write is lost if the host is killed.
	writeInterval = 300 * time.Millisecond
	// writeTimeout bounds one write. It is longer than an outage of the store usually takes, as
	// the writer repeats a call by itself.
	writeTimeout = 10 * time.Second
	// retryInterval is the time before counts that could not be written are written again.
	retryInterval = 200 * time.Millisecond
)

// Counter counts the requests of this host by window and account, and writes the counts to the
// store. It implements gypsum.RunObserver. Create it with NewCounter and set the exported fields
// before Run.
type Counter struct {
	Host        gypsum.HostID
	Incarnation gypsum.Incarnation
	Timing      Timing
	Clock       *TimeOfDay
	Writer      *store.Writer
	Logger      *slog.Logger
	Stats       CounterStats

	mu      sync.Mutex
	windows map[gypsum.UsageWindow]map[gypsum.AccountName]int64
	// unwritten are the windows whose counts have changed since they were written.
	unwritten map[gypsum.UsageWindow]bool
	changed   chan struct{}
	// writing has a value while counts are being written.
	writing chan struct{}
}

// CounterStats counts the requests and writes of a Counter since its start.
type CounterStats struct {
	Requests atomic.Int64
	Writes   atomic.Int64
	// Lost counts the requests whose counts could not be written in time.
	Lost atomic.Int64
}

// NewCounter returns a Counter. Its exported fields must be set before use.
func NewCounter() *Counter {
	return &Counter{
		windows:   make(map[gypsum.UsageWindow]map[gypsum.AccountName]int64),
		unwritten: make(map[gypsum.UsageWindow]bool), changed: make(chan struct{}, 1), writing: make(chan struct{}, 1),
	}
}

// ObserveRun implements gypsum.RunObserver.
func (c *Counter) ObserveRun(account gypsum.AccountName, began time.Time) {
	window := c.Timing.WindowAt(c.Clock.At(began))
	c.Stats.Requests.Add(1)
	c.mu.Lock()
	if c.windows[window] == nil {
		c.windows[window] = make(map[gypsum.AccountName]int64)
	}
	c.windows[window][account]++
	c.unwritten[window] = true
	c.mu.Unlock()
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Run writes the counts soon after they change, until ctx ends.
func (c *Counter) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.changed:
		}
		startedAt := time.Now()
		pause := writeInterval
		if err := c.Flush(ctx); err != nil {
			c.Logger.Warn("failed to write usage counts", "error", err)
			pause = retryInterval
			select {
			case c.changed <- struct{}{}:
			default:
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause - time.Since(startedAt)):
		}
	}
}

// Flush writes all counts that are not written yet.
func (c *Counter) Flush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	select {
	case c.writing <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-c.writing }()
	records, windows := c.takeUnwritten(c.Clock.Now())
	if len(records) == 0 {
		return nil
	}
	_, err := c.Writer.Append(ctx, records...)
	if err != nil {
		c.mu.Lock()
		for _, window := range windows {
			c.unwritten[window] = true
		}
		c.mu.Unlock()
		return err
	}
	c.Stats.Writes.Add(1)
	return nil
}

// takeUnwritten returns the records of the windows that are not written and drops windows that
// are no longer kept.
func (c *Counter) takeUnwritten(now time.Time) (records []gypsum.KeyedRecord, windows []gypsum.UsageWindow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for window, counts := range c.windows {
		if !c.Timing.IsExpired(window, now) {
			continue
		}
		if c.unwritten[window] {
			c.logLost(window, counts)
		}
		delete(c.windows, window)
		delete(c.unwritten, window)
	}
	for window := range c.unwritten {
		record, err := EncodeCounts(&Counts{Host: c.Host, Incarnation: c.Incarnation, Window: window, Counts: maps.Clone(c.windows[window])})
		delete(c.unwritten, window)
		if err != nil {
			c.Logger.Error("usage counts lost: they cannot be encoded", "window", window, "error", err)
			continue
		}
		records, windows = append(records, record), append(windows, window)
	}
	return records, windows
}

// logLost logs counts that could not be written in time. The caller holds mu.
func (c *Counter) logLost(window gypsum.UsageWindow, counts map[gypsum.AccountName]int64) {
	lost := int64(0)
	for _, count := range counts {
		lost += count
	}
	c.Stats.Lost.Add(lost)
	c.Logger.Warn("usage counts lost: they could not be written in time", "window", window, "requests", lost)
}

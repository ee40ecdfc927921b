package core

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/queue"
)

// defaultPlainSlots is the concurrency of a plain service's replica that does not
// report its slots.
const defaultPlainSlots = 16

// backendWorker serves one backend server: it runs its queue and polls its load.
type backendWorker struct {
	core   *Core
	host   gypsum.Host
	queue  *queue.Queue
	cancel context.CancelFunc
	engine gypsum.Engine
	plain  gypsum.PlainService

	mu        sync.Mutex
	report    gypsum.LoadReport
	hasReport bool
	down      bool
	failures  int
	lastCall  time.Time
}

// recordCallTime records that a call arrived now, so that the queue does not count as idle.
func (w *backendWorker) recordCallTime() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastCall = time.Now()
}

// isIdle reports whether the queue is empty and has had no call for unownedQueueIdleTimeout.
func (w *backendWorker) isIdle() bool {
	state := w.queue.State()
	w.mu.Lock()
	defer w.mu.Unlock()
	return state.Running+state.Queued == 0 && time.Since(w.lastCall) > unownedQueueIdleTimeout
}

// status returns the status of the backend server, and false before the first load
// report.
func (w *backendWorker) status() (gypsum.BackendStatus, bool) {
	state := w.queue.State()
	w.mu.Lock()
	defer w.mu.Unlock()
	return gypsum.BackendStatus{
		ID: gypsum.BackendID(w.host.ID), Running: max(state.Running, w.report.Running), Queued: state.Queued, Live: state.Live,
		Slots: state.Slots, Version: w.report.Version, Leaving: w.report.Leaving, Down: w.down,
		LoadingWeights: w.report.LoadingWeights, LatencyMS: state.Latency.Milliseconds(),
	}, w.hasReport || w.down
}

// pollLoadReports polls the backend server's load until ctx is done.
func (w *backendWorker) pollLoadReports(ctx context.Context) {
	for {
		w.pollLoadReport(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(w.core.Tuning.LoadPollInterval):
		}
	}
}

// pollLoadReport fetches one load report and updates the queue from it.
func (w *backendWorker) pollLoadReport(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, gypsum.LoadReportTimeout)
	report, err := w.fetchLoadReport(callCtx)
	cancel()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		w.recordPollFailure(err)
		return
	}
	w.mu.Lock()
	w.report, w.hasReport, w.failures, w.down = *report, true, 0, false
	w.mu.Unlock()
	slots := report.Slots
	if slots == 0 {
		slots = defaultPlainSlots
	}
	w.queue.SetSlots(slots)
	reason := gypsum.Reason("")
	if report.Leaving || report.LoadingWeights {
		reason = gypsum.ReasonNoBackend
	}
	w.queue.Close(reason)
}

// recordPollFailure counts a failed poll. After Tuning.LoadPollFailures in a row, or at once
// if nothing was sent, the backend server is considered down: its queue is closed and
// its running calls are aborted.
func (w *backendWorker) recordPollFailure(err error) {
	w.mu.Lock()
	w.failures++
	wentDown := !w.down && (w.failures >= w.core.Tuning.LoadPollFailures || errors.Is(err, gypsum.ErrNotSent))
	w.down = w.down || wentDown
	w.mu.Unlock()
	if !wentDown {
		return
	}
	w.core.Logger.Warn("backend server down", "backend", w.host.ID, "error", err)
	w.queue.Close(gypsum.ReasonNoBackend)
	w.queue.AbortCalls()
}

// fetchLoadReport requests a load report from the backend server.
func (w *backendWorker) fetchLoadReport(ctx context.Context) (*gypsum.LoadReport, error) {
	if w.engine != nil {
		return w.engine.FetchLoadReport(ctx)
	}
	return w.plain.FetchLoadReport(ctx)
}

// Run implements queue.BackendRunner: it runs a call on the backend server.
func (w *backendWorker) Run(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	if w.engine != nil && call.Generation != nil {
		return w.engine.Generate(ctx, call.Generation, func(chunk *gypsum.Chunk) error {
			return sink(&gypsum.Event{Chunk: chunk})
		})
	}
	if w.plain == nil || call.Plain == nil {
		return gypsum.NotRunRefusal(gypsum.ReasonBadRequest, statusMisdirected, 0, "the service is of another kind")
	}
	response, err := w.plain.Do(ctx, call.Plain)
	if err != nil {
		return err
	}
	return sink(&gypsum.Event{Response: response})
}

// crashProbeInterval is the delay before a backend server that broke off a response is
// probed again.
const crashProbeInterval = 100 * time.Millisecond

// Crashed implements queue.BackendRunner. It reports whether the backend server has crashed
// since the given time: nothing listens at its address, or it reports a new
// incarnation. One that does not respond before ctx is done may be frozen, which is
// not a crash.
func (w *backendWorker) Crashed(ctx context.Context, since time.Time) bool {
	w.mu.Lock()
	previous := w.report.Incarnation
	w.mu.Unlock()
	for {
		report, err := w.fetchLoadReport(ctx)
		if err == nil {
			return report.Incarnation != previous || int64(report.Incarnation) > since.UnixMilli()
		}
		if errors.Is(err, gypsum.ErrNotSent) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-w.core.stopped:
			return false
		case <-time.After(crashProbeInterval):
		}
	}
}

package queue

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// suspectCrashWindow is how long after the end of a suspect call a crash is still
// attributed to that call alone.
const suspectCrashWindow = time.Second

// crashCountedRetention is how long it is remembered that a crash was counted. It is far above the
// time in which all calls that a crash has ended are counted.
const crashCountedRetention = time.Minute

// acquireSuspect admits one call at a time that is suspected of crashing backend
// servers, so that a further crash can be attributed to it alone.
func (q *Queue) acquireSuspect(ctx context.Context) (release func(), err error) {
	select {
	case q.suspectSlot <- struct{}{}:
	case <-ctx.Done():
		return nil, gypsum.NotRunRefusal(gypsum.ReasonTimeout, http.StatusGatewayTimeout, time.Second, "the deadline passed while the call waited")
	}
	return func() {
		q.mu.Lock()
		q.lastSuspectEnd = time.Now()
		q.mu.Unlock()
		<-q.suspectSlot
	}, nil
}

// refusalForError converts the error of a run into a refusal that states the reason and
// whether the call may have run.
func (q *Queue) refusalForError(ctx context.Context, call *gypsum.Call, err error, startedAt time.Time) *gypsum.Refusal {
	var refusal *gypsum.Refusal
	switch {
	case errors.As(err, &refusal):
	case errors.Is(err, gypsum.ErrNotSent):
		refusal = gypsum.NotRunRefusal(gypsum.ReasonBackendFailed, http.StatusBadGateway, time.Second, fmt.Sprintf("the backend server was not reached: %v", err))
	case errors.Is(context.Cause(ctx), errCallPreempted):
		refusal = gypsum.UnknownRefusal(gypsum.ReasonPreempted, http.StatusServiceUnavailable, time.Second, errCallPreempted.Error())
	case errors.Is(context.Cause(ctx), errCallAborted):
		refusal = gypsum.UnknownRefusal(gypsum.ReasonBackendFailed, http.StatusBadGateway, time.Second, errCallAborted.Error())
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal = gypsum.UnknownRefusal(gypsum.ReasonTimeout, http.StatusGatewayTimeout, time.Second, "the deadline passed while the call ran")
	case ctx.Err() != nil:
		refusal = gypsum.UnknownRefusal(gypsum.ReasonCancelled, http.StatusGatewayTimeout, 0, "the caller gave up while the call ran")
	default:
		refusal = gypsum.UnknownRefusal(gypsum.ReasonBackendFailed, http.StatusBadGateway, time.Second, fmt.Sprintf("the backend server failed: %v", err))
		q.attributeCrash(ctx, call, refusal, startedAt)
	}
	refusal.Backend = q.Backend
	return refusal
}

// attributeCrash counts a crash against a call that ran when its backend server crashed.
// The refusal waits for the counts no longer than the call's deadline.
func (q *Queue) attributeCrash(ctx context.Context, call *gypsum.Call, refusal *gypsum.Refusal, startedAt time.Time) {
	counts := make(chan []gypsum.CrashCount, 1)
	q.Background(func() { counts <- q.crashCounts(context.WithoutCancel(ctx), call, startedAt) })
	select {
	case refusal.CrashCounts = <-counts:
	case <-ctx.Done():
	}
}

// crashCounts returns the crash counts of a call if its backend server crashed. A call
// without earlier crashes is not counted if a suspect call ran next to it.
func (q *Queue) crashCounts(ctx context.Context, call *gypsum.Call, startedAt time.Time) []gypsum.CrashCount {
	ctx, cancel := context.WithTimeout(ctx, gypsum.LoadReportTimeout)
	defer cancel()
	if !q.Runner.Crashed(ctx, startedAt) {
		return nil
	}
	q.mu.Lock()
	suspectRan := len(q.suspectSlot) > 0 || time.Since(q.lastSuspectEnd) < suspectCrashWindow
	q.mu.Unlock()
	if (len(call.CrashCounts) == 0 && suspectRan) || !q.isNewCrash(call.Fingerprint, startedAt) {
		return nil
	}
	return q.OnCrash(call.Fingerprint)
}

// isNewCrash reports whether the crash that ended a call was not counted yet for an equal call that
// ran at the same time.
func (q *Queue) isNewCrash(fingerprint gypsum.Fingerprint, startedAt time.Time) bool {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if counted, ok := q.crashesCounted[fingerprint]; ok && startedAt.Before(counted) {
		return false
	}
	maps.DeleteFunc(q.crashesCounted, func(_ gypsum.Fingerprint, counted time.Time) bool { return now.Sub(counted) > crashCountedRetention })
	q.crashesCounted[fingerprint] = now
	return true
}

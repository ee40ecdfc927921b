package core

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
)

// activeCall is a call that this daemon runs, over one or more attempts.
type activeCall struct {
	core      *Core
	call      gypsum.Call
	deadline  time.Time
	sink      gypsum.Sink
	assembler gypsum.ResponseAssembler
	// mayHaveRun means that an earlier attempt may have reached a backend server.
	mayHaveRun       bool
	attempts         int
	overloadRefusals int
	// busyBackends are the backend servers that redirected the call because they were
	// busy.
	busyBackends []gypsum.BackendID
	spec         gypsum.ServiceSpec
}

// runAttempt makes one attempt to run the call.
func (a *activeCall) runAttempt(ctx context.Context) *gypsum.Refusal {
	a.attempts++
	view := a.core.View()
	a.call.CrashCounts = a.core.crashTracker.countsOf(a.call.Fingerprint)
	// A plan's sample is owed whatever crashed while it ran; its plan delays the next attempt.
	if count := totalCrashes(a.call.CrashCounts); count >= a.spec.CrashLimit && a.call.Class != gypsum.ClassTrainer {
		return a.poisonRefusal(count)
	}
	a.call.Budget = gypsum.RemainingTime(a.deadline)
	if a.call.Budget == 0 {
		return gypsum.NotRunRefusal(gypsum.ReasonTimeout, http.StatusGatewayTimeout, time.Second, "the deadline passed")
	}
	target, forwarded, refusal := a.core.chooseTarget(view, &a.call)
	if refusal != nil {
		return refusal
	}
	err := a.core.submitToMember(ctx, view, target, forwarded, a.forwardEvent)
	return a.recordResult(forwarded, err)
}

// poisonRefusal refuses a request that has crashed too many backend servers.
func (a *activeCall) poisonRefusal(count int) *gypsum.Refusal {
	refusal := gypsum.NotRunRefusal(gypsum.ReasonPoison, http.StatusUnprocessableEntity, 0,
		fmt.Sprintf("%d backend servers died while running this request", count))
	refusal.Permanent = true
	a.core.Logger.Warn("request refused permanently", "request", a.call.ID, "service", a.call.Service, "crashes", count)
	return refusal
}

// forwardEvent passes an event to the caller's sink and adds its tokens to the assembled
// response. Tokens that were already forwarded are skipped.
func (a *activeCall) forwardEvent(event *gypsum.Event) error {
	if event.Chunk != nil {
		isNew, err := a.assembler.Append(event.Chunk)
		if err != nil {
			return fmt.Errorf("assemble response: %w", err)
		}
		if !isNew {
			return nil
		}
	}
	if event.Restart {
		a.assembler = gypsum.ResponseAssembler{}
	}
	if event.End != nil && a.call.Generation != nil && !a.assembler.IsComplete() {
		return fmt.Errorf("response ended without a finish reason: %w", gypsum.ErrIncompleteResponse)
	}
	return a.sink(event)
}

// recordResult updates the trackers and crash counts from the result of an attempt. It
// returns the refusal of a failed attempt, and nil if the response is complete. The
// backend server of a failed attempt is excluded from further attempts, unless the call
// was preempted.
func (a *activeCall) recordResult(forwarded *gypsum.Call, err error) *gypsum.Refusal {
	if err == nil {
		if forwarded.Target != "" {
			a.core.trackers.tracker(forwarded.Target).RecordSuccess()
		}
		return nil
	}
	refusal := gypsum.AsRefusal(err)
	a.core.crashTracker.mergeCounts(refusal.CrashCounts, time.Now())
	if refusal.Reason == gypsum.ReasonBackendFailed && refusal.Backend != "" {
		a.core.trackers.tracker(refusal.Backend).RecordFailure(time.Now())
	}
	if refusal.Backend != "" && refusal.Reason != gypsum.ReasonPreempted {
		a.call.ExcludedBackends = append(a.call.ExcludedBackends, refusal.Backend)
	}
	return refusal
}

// retryDelay returns how long to wait before another attempt, and whether one is safe and
// useful.
func (a *activeCall) retryDelay(ctx context.Context, refusal *gypsum.Refusal) (time.Duration, bool) {
	if ctx.Err() != nil || refusal.Permanent || a.attempts-a.call.Redirects >= a.core.Tuning.MaxAttempts {
		return 0, false
	}
	if a.call.NonIdempotent() && a.mayHaveRun {
		return 0, false
	}
	switch {
	case refusal.Reason == gypsum.ReasonBusy:
		a.busyBackends = append(a.busyBackends, refusal.Backend)
		a.call.Redirects++
		return 0, true
	case refusal.Reason == gypsum.ReasonNoBackend && len(a.busyBackends) > 0:
		// All candidates are busy: let the call wait in the queue of one of them.
		a.call.Redirects = gypsum.MaxRedirects
		a.call.ExcludedBackends = slices.DeleteFunc(a.call.ExcludedBackends, func(id gypsum.BackendID) bool { return slices.Contains(a.busyBackends, id) })
		a.busyBackends = nil
		return 0, true
	case refusal.Reason == gypsum.ReasonNoBackend:
		return 0, a.excludeDataCentre(refusal)
	case refusal.Misrouted:
		return misroutedBackoff, true
	}
	switch refusal.Reason {
	case gypsum.ReasonOverloaded:
		a.overloadRefusals++
		return 0, a.overloadRefusals < maxOverloadRefusals && !a.core.View().isSaturated(&a.call)
	case gypsum.ReasonPreempted:
		// A preemption is not a failure: the call resumes after its last token.
		a.attempts--
		return 0, a.prepareRecovery()
	case gypsum.ReasonBackendFailed, gypsum.ReasonPeerFailed:
		return 0, a.core.retryBudget.AllowRetry() && a.prepareRecovery()
	}
	return 0, false
}

// excludeDataCentre excludes a data centre that has no backend server left for the call.
// It reports whether another attempt may find a backend server: in the same data centre
// if the refusal names a backend server, otherwise in another data centre.
func (a *activeCall) excludeDataCentre(refusal *gypsum.Refusal) bool {
	if refusal.Backend != "" {
		return true
	}
	if refusal.DataCentre == "" || slices.Contains(a.call.ExcludedDataCentres, refusal.DataCentre) {
		return false
	}
	a.call.ExcludedDataCentres = append(a.call.ExcludedDataCentres, refusal.DataCentre)
	return true
}

// prepareRecovery prepares the call for another attempt after an incomplete response.
// It reports whether the call's recovery mode allows one.
func (a *activeCall) prepareRecovery() bool {
	a.core.Stats.Retries.Add(1)
	if a.assembler.Tokens() == 0 || a.call.Generation == nil {
		return true
	}
	switch a.call.Recovery {
	case gypsum.RecoveryResume:
		a.core.Stats.Resumes.Add(1)
		generation := *a.call.Generation
		generation.ResumeText, generation.ResumeTokens = a.assembler.Text(), a.assembler.Tokens()
		a.call.Generation = &generation
		return true
	case gypsum.RecoveryRestart:
		a.assembler = gypsum.ResponseAssembler{}
		return a.sink(&gypsum.Event{Restart: true}) == nil
	}
	return false
}

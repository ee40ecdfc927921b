package core

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
)

// execution is the state of a call that this daemon runs, over one or more attempts.
type execution struct {
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
func (e *execution) runAttempt(ctx context.Context) *gypsum.Refusal {
	e.attempts++
	view := e.core.View()
	e.call.Crashes = e.core.crashes.countsOf(e.call.Fingerprint)
	if count := totalCrashes(e.call.Crashes); count >= e.spec.CrashLimit {
		return e.poisonRefusal(count)
	}
	e.call.Budget = gypsum.Remaining(e.deadline)
	if e.call.Budget == 0 {
		return gypsum.NotRun(gypsum.ReasonTimeout, http.StatusGatewayTimeout, time.Second, "the deadline passed")
	}
	target, forwarded, refusal := e.core.chooseTarget(view, &e.call)
	if refusal != nil {
		return refusal
	}
	err := e.core.submit(ctx, view, target, forwarded, e.forward)
	return e.recordResult(forwarded, err)
}

// poisonRefusal refuses a request that has crashed too many backend servers.
func (e *execution) poisonRefusal(count int) *gypsum.Refusal {
	refusal := gypsum.NotRun(gypsum.ReasonPoison, http.StatusUnprocessableEntity, 0,
		fmt.Sprintf("%d backend servers died while running this request", count))
	refusal.Permanent = true
	e.core.Logger.Warn("request refused for good", "request", e.call.ID, "service", e.call.Service, "crashes", count)
	return refusal
}

// forward passes an event to the caller's sink and adds its tokens to the assembled
// response. Tokens that were already forwarded are skipped.
func (e *execution) forward(event *gypsum.Event) error {
	if event.Chunk != nil {
		isNew, err := e.assembler.Append(event.Chunk)
		if err != nil {
			return fmt.Errorf("assemble response: %w", err)
		}
		if !isNew {
			return nil
		}
	}
	if event.Restart {
		e.assembler = gypsum.ResponseAssembler{}
	}
	if event.End != nil && e.call.Generation != nil && !e.assembler.Complete() {
		return fmt.Errorf("end of response: %w", gypsum.ErrIncompleteResponse)
	}
	return e.sink(event)
}

// recordResult updates the trackers and crash counts from the result of an attempt. It
// returns the refusal of a failed attempt, and nil if the response is complete. Further
// attempts avoid the backend server of a failed one, unless it preempted the call.
func (e *execution) recordResult(forwarded *gypsum.Call, err error) *gypsum.Refusal {
	if err == nil {
		if forwarded.Target != "" {
			e.core.trackers.get(forwarded.Target).RecordSuccess()
		}
		return nil
	}
	refusal := gypsum.AsRefusal(err)
	e.core.crashes.merge(refusal.Crashes, time.Now())
	if refusal.Reason == gypsum.ReasonBackendFailed && refusal.Backend != "" {
		e.core.trackers.get(refusal.Backend).RecordFailure(time.Now())
	}
	if refusal.Backend != "" && refusal.Reason != gypsum.ReasonPreempted {
		e.call.ExcludedBackends = append(e.call.ExcludedBackends, refusal.Backend)
	}
	return refusal
}

// shouldRetry reports whether another attempt is safe and useful, and how long to wait
// before it.
func (e *execution) shouldRetry(ctx context.Context, refusal *gypsum.Refusal) (time.Duration, bool) {
	if ctx.Err() != nil || refusal.Permanent || e.attempts-e.call.Redirects >= e.core.Tuning.MaxAttempts {
		return 0, false
	}
	if e.call.NonIdempotent() && e.mayHaveRun {
		return 0, false
	}
	switch {
	case refusal.Reason == gypsum.ReasonBusy:
		e.busyBackends = append(e.busyBackends, refusal.Backend)
		e.call.Redirects++
		return 0, true
	case refusal.Reason == gypsum.ReasonNoBackend && len(e.busyBackends) > 0:
		// All candidates are busy: let the call wait in the queue of one of them.
		e.call.Redirects = gypsum.MaxRedirects
		e.call.ExcludedBackends = slices.DeleteFunc(e.call.ExcludedBackends, func(id gypsum.BackendID) bool { return slices.Contains(e.busyBackends, id) })
		e.busyBackends = nil
		return 0, true
	case refusal.Reason == gypsum.ReasonNoBackend:
		return 0, e.avoidDataCentre(refusal)
	case refusal.Misrouted:
		return misroutedBackoff, true
	}
	switch refusal.Reason {
	case gypsum.ReasonOverloaded:
		e.overloadRefusals++
		return 0, e.overloadRefusals < maxOverloadRefusals && !e.core.View().saturated(&e.call)
	case gypsum.ReasonPreempted:
		// A preemption is not a failure: the call resumes after its last token.
		e.attempts--
		return 0, e.prepareRecovery()
	case gypsum.ReasonBackendFailed, gypsum.ReasonPeerFailed:
		return 0, e.core.retryBudget.Allow() && e.prepareRecovery()
	}
	return 0, false
}

// avoidDataCentre prepares the call for another backend server or, if the data centre
// has none left, for another data centre. It reports whether there is one to try.
func (e *execution) avoidDataCentre(refusal *gypsum.Refusal) bool {
	if refusal.Backend != "" {
		return true
	}
	if refusal.DataCentre == "" || slices.Contains(e.call.AvoidedDataCentres, refusal.DataCentre) {
		return false
	}
	e.call.AvoidedDataCentres = append(e.call.AvoidedDataCentres, refusal.DataCentre)
	return true
}

// prepareRecovery prepares the call for another attempt after an incomplete response.
// It reports whether the call's recovery mode allows one.
func (e *execution) prepareRecovery() bool {
	e.core.Stats.Retries.Add(1)
	if e.assembler.Tokens() == 0 || e.call.Generation == nil {
		return true
	}
	switch e.call.Recovery {
	case gypsum.RecoveryResume:
		e.core.Stats.Resumes.Add(1)
		generation := *e.call.Generation
		generation.ResumeText, generation.ResumeTokens = e.assembler.Text(), e.assembler.Tokens()
		e.call.Generation = &generation
		return true
	case gypsum.RecoveryRestart:
		e.assembler = gypsum.ResponseAssembler{}
		return e.sink(&gypsum.Event{Restart: true}) == nil
	}
	return false
}

package core

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
)

// journey is a call on its way over one or more attempts.
type journey struct {
	node     *Node
	call     gypsum.Call
	deadline time.Time
	sink     gypsum.Sink
	joiner   gypsum.ResponseAssembler
	// Handed means that an earlier attempt may have reached a backend server.
	handed    bool
	attempts  int
	overloads int
	// Busy are the backend servers that sent the call back.
	busy []gypsum.BackendID
	spec gypsum.ServiceSpec
}

// attempt makes one attempt at the call.
func (t *journey) attempt(ctx context.Context) *gypsum.Refusal {
	t.attempts++
	view := t.node.View()
	t.call.Crashes = t.node.crashes.of(t.call.Fingerprint)
	if count := total(t.call.Crashes); count >= t.spec.CrashLimit {
		return t.poison(count)
	}
	t.call.Budget = gypsum.Remaining(t.deadline)
	if t.call.Budget == 0 {
		return gypsum.NotRun(gypsum.ReasonTimeout, http.StatusGatewayTimeout, time.Second, "the deadline passed")
	}
	target, onward, refusal := t.node.choose(view, &t.call)
	if refusal != nil {
		return refusal
	}
	err := t.node.submit(ctx, view, target, onward, t.take)
	return t.judge(onward, err)
}

// poison refuses a request that has crashed too many backend servers.
func (t *journey) poison(count int) *gypsum.Refusal {
	refusal := gypsum.NotRun(gypsum.ReasonPoison, http.StatusUnprocessableEntity, 0,
		fmt.Sprintf("%d backend servers died while running this request", count))
	refusal.Permanent = true
	t.node.Logger.Warn("request refused for good", "request", t.call.ID, "service", t.call.Service, "crashes", count)
	return refusal
}

// take passes on an event and keeps track of the tokens.
func (t *journey) take(event *gypsum.Event) error {
	if event.Chunk != nil {
		fresh, err := t.joiner.Append(event.Chunk)
		if err != nil {
			return fmt.Errorf("join answer: %w", err)
		}
		if !fresh {
			return nil
		}
	}
	if event.Restart {
		t.joiner = gypsum.ResponseAssembler{}
	}
	if event.End != nil && t.call.Generation != nil && !t.joiner.Complete() {
		return fmt.Errorf("end of answer: %w", gypsum.ErrIncompleteResponse)
	}
	return t.sink(event)
}

// judge learns from an attempt's result and returns its refusal, nil if the
// answer is whole.
func (t *journey) judge(onward *gypsum.Call, err error) *gypsum.Refusal {
	if err == nil {
		if onward.Target != "" {
			t.node.tracked.get(onward.Target).RecordSuccess()
		}
		return nil
	}
	refusal := gypsum.AsRefusal(err)
	t.node.crashes.merge(refusal.Crashes, time.Now())
	if refusal.Reason == gypsum.ReasonBackendFailed && refusal.Backend != "" {
		t.node.tracked.get(refusal.Backend).RecordFailure(time.Now())
	}
	if refusal.Backend != "" && refusal.Reason != gypsum.ReasonPreempted {
		t.call.ExcludedBackends = append(t.call.ExcludedBackends, refusal.Backend)
	}
	return refusal
}

// again decides whether a further attempt is safe and of use, and after which wait.
func (t *journey) again(ctx context.Context, refusal *gypsum.Refusal) (time.Duration, bool) {
	if ctx.Err() != nil || refusal.Permanent || t.attempts-t.call.Redirects >= t.node.Tuning.MaxAttempts {
		return 0, false
	}
	if t.call.NonIdempotent() && t.handed {
		return 0, false
	}
	switch {
	case refusal.Reason == gypsum.ReasonBusy:
		t.busy = append(t.busy, refusal.Backend)
		t.call.Redirects++
		return 0, true
	case refusal.Reason == gypsum.ReasonNoBackend && len(t.busy) > 0:
		// All candidates are busy: the call waits at one of them.
		t.call.Redirects = gypsum.MaxRedirects
		t.call.ExcludedBackends = slices.DeleteFunc(t.call.ExcludedBackends, func(id gypsum.BackendID) bool { return slices.Contains(t.busy, id) })
		t.busy = nil
		return 0, true
	case refusal.Reason == gypsum.ReasonNoBackend:
		return 0, t.avoid(refusal)
	case refusal.Misrouted:
		return misroutedWait, true
	}
	switch refusal.Reason {
	case gypsum.ReasonOverloaded:
		t.overloads++
		return 0, t.overloads < maxOverloads && !t.node.View().saturated(&t.call)
	case gypsum.ReasonPreempted:
		// The call goes on behind its last token; nothing has failed.
		t.attempts--
		return 0, t.recover()
	case gypsum.ReasonBackendFailed, gypsum.ReasonPeerFailed:
		return 0, t.node.retries.Allow() && t.recover()
	}
	return 0, false
}

// avoid prepares a call for another backend server, or another data centre if
// the one tried has none left; false if there is nowhere else to go.
func (t *journey) avoid(refusal *gypsum.Refusal) bool {
	if refusal.Backend != "" {
		return true
	}
	if refusal.DataCentre == "" || slices.Contains(t.call.AvoidedDataCentres, refusal.DataCentre) {
		return false
	}
	t.call.AvoidedDataCentres = append(t.call.AvoidedDataCentres, refusal.DataCentre)
	return true
}

// recover prepares the call for an attempt after its answer broke off.
func (t *journey) recover() bool {
	t.node.Stats.Retries.Add(1)
	if t.joiner.Tokens() == 0 || t.call.Generation == nil {
		return true
	}
	switch t.call.Recovery {
	case gypsum.RecoveryResume:
		t.node.Stats.Resumes.Add(1)
		generation := *t.call.Generation
		generation.ResumeText, generation.ResumeTokens = t.joiner.Text(), t.joiner.Tokens()
		t.call.Generation = &generation
		return true
	case gypsum.RecoveryRestart:
		t.joiner = gypsum.ResponseAssembler{}
		return t.sink(&gypsum.Event{Restart: true}) == nil
	}
	return false
}

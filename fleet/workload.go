package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/check"
	"github.com/gypsumhook/gypsum/config"
)

// Times and limits of a workload.
const (
	callInterval       = 40 * time.Millisecond
	changeInterval     = 3 * time.Second
	watchInterval      = 100 * time.Millisecond
	maxActivationDelay = 5 * time.Second
	leavingGracePeriod = 3 * time.Second
	callTimeout        = 4 * time.Second
	maxOrderAttempts   = 3
	// balancerDetectionTime is how long the load balancer still sends calls to a frozen
	// daemon.
	balancerDetectionTime = 2 * time.Second
)

// Workload puts a fleet under load, with callers, a trainer and an operator, while faults
// are injected. It records the results and checks the service's guarantees.
type Workload struct {
	Fleet    *Fleet
	Recorder *check.Recorder
	Caller   *check.Caller
	// CallersPerKind is the number of callers that send orders, and also the number of
	// those that request completions.
	CallersPerKind int

	mu sync.Mutex
	// isolated is the set of daemons that can reach neither the log nor a peer that can.
	isolated        map[gypsum.HostID]bool
	acceptedChanges []acceptedChange
	leavingSince    map[string]time.Time
	workers         sync.WaitGroup
	stop            context.CancelFunc
}

// acceptedChange is a configuration change that was reported as accepted to its operator.
type acceptedChange struct {
	revision   gypsum.Revision
	acceptedAt time.Time
}

// NewWorkload returns a workload for a started fleet.
func NewWorkload(f *Fleet) *Workload {
	recorder := &check.Recorder{}
	return &Workload{
		Fleet: f, Recorder: recorder, Caller: f.NewCaller(recorder, callTimeout),
		CallersPerKind: 2,
		isolated:       make(map[gypsum.HostID]bool), leavingSince: make(map[string]time.Time),
	}
}

// Start starts the callers, the trainer, the operator and the check of revisions.
func (w *Workload) Start(ctx context.Context) {
	ctx, w.stop = context.WithCancel(ctx)
	for callerNumber := range w.CallersPerKind {
		w.workers.Go(func() { w.sendOrders(ctx, callerNumber) })
		w.workers.Go(func() { w.sendCompletions(ctx, callerNumber) })
	}
	w.workers.Go(func() {
		w.Fleet.NewTrainer(w.Recorder, 2*time.Second).Run(ctx)
	})
	w.workers.Go(func() { w.changeConfiguration(ctx) })
	w.workers.Go(func() { w.watchRevisions(ctx) })
}

// Stop stops the workload, waits for its end and returns the violations of guarantees.
func (w *Workload) Stop() []string {
	w.stop()
	w.workers.Wait()
	w.checkNoCallsToLeavingBackends()
	return w.Caller.CheckExecutions(w.Fleet.Executions.Counts())
}

// nextEntryHost returns the daemon that the load balancer sends a call to, false if there
// is none. The load balancer detects only after balancerDetectionTime that a daemon fails
// its health checks.
func (w *Workload) nextEntryHost(turn int) (gypsum.HostID, bool) {
	available := slices.DeleteFunc(w.Fleet.ReadyDaemons(), func(id gypsum.HostID) bool {
		since, frozen := w.Fleet.Network.FrozenSince(id)
		return frozen && time.Since(since) > balancerDetectionTime
	})
	if len(available) == 0 {
		return "", false
	}
	return available[turn%len(available)], true
}

// sendOrders sends orders one after another, each up to maxOrderAttempts times until it
// gets a response.
func (w *Workload) sendOrders(ctx context.Context, callerNumber int) {
	for call := callerNumber; ctx.Err() == nil; call++ {
		key := check.NewKey()
		for attempt := range maxOrderAttempts {
			entryHost, ok := w.nextEntryHost(call + attempt)
			if !ok {
				break
			}
			result := w.Caller.PostOrder(context.WithoutCancel(ctx), entryHost, key, "crew of three")
			if result.Response != "" {
				break
			}
			check.Sleep(ctx, 2*callInterval)
		}
		check.Sleep(ctx, callInterval)
	}
}

// sendCompletions requests completions one after another.
func (w *Workload) sendCompletions(ctx context.Context, callerNumber int) {
	recoveries := []gypsum.Recovery{gypsum.RecoveryResume, gypsum.RecoveryRestart}
	for call := callerNumber; ctx.Err() == nil; call++ {
		if entryHost, ok := w.nextEntryHost(call); ok {
			prompt := fmt.Sprintf("caller %d call %d", callerNumber, call)
			w.Caller.RequestCompletion(context.WithoutCancel(ctx), entryHost, prompt, recoveries[call%len(recoveries)])
		}
		check.Sleep(ctx, callInterval)
	}
}

// changeConfiguration changes the plain service at intervals of changeInterval.
func (w *Workload) changeConfiguration(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		check.Sleep(ctx, changeInterval)
		if entryHost, ok := w.nextEntryHost(turn); ok {
			w.applyChange(ctx, entryHost, turn, "operator")
		}
	}
}

// applyChange changes the plain service and records the change if it is accepted.
func (w *Workload) applyChange(ctx context.Context, entryHost gypsum.HostID, turn int, operator string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := w.Fleet.ApplyChange(ctx, entryHost, &gypsum.Change{
		ID: fmt.Sprintf("%s-%d", operator, turn), Operator: operator, Kind: gypsum.ChangePutService, Name: string(check.PlainService),
		Service: &gypsum.ServiceSpec{
			Name: check.PlainService, Kind: gypsum.HostKindPlain, DefaultTimeout: 10 * time.Second, MaxQueue: 200 + turn, CrashLimit: 3,
		},
	})
	var conflict *config.ConflictError
	switch {
	case err == nil:
		w.mu.Lock()
		defer w.mu.Unlock()
		w.acceptedChanges = append(w.acceptedChanges, acceptedChange{revision: revision, acceptedAt: time.Now()})
	case errors.As(err, &conflict) && conflict.ChangedBy == "":
		w.Recorder.ReportViolation("operator %s lost a race and was not told to whom", operator)
	}
}

// RaceChanges makes two operators change the same service concurrently, four times.
func (w *Workload) RaceChanges(ctx context.Context) {
	live := w.Fleet.LiveDaemons()
	for turn := range 4 {
		var race sync.WaitGroup
		race.Go(func() { w.applyChange(ctx, live[0], turn, "ama") })
		race.Go(func() { w.applyChange(ctx, live[len(live)-1], turn, "kofi") })
		race.Wait()
	}
}

// SetIsolated records that a daemon is isolated from the log and its peers, or no longer
// is. No configuration change is expected to reach an isolated daemon.
func (w *Workload) SetIsolated(id gypsum.HostID, isolated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isolated[id] = isolated
	if !isolated {
		// The delay allowed for changes accepted during the isolation starts now.
		for i := range w.acceptedChanges {
			w.acceptedChanges[i].acceptedAt = laterTime(w.acceptedChanges[i].acceptedAt, time.Now())
		}
	}
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// MarkLeaving makes a backend server report that it is leaving, and records the time.
func (w *Workload) MarkLeaving(backend string) {
	w.mu.Lock()
	w.leavingSince[backend] = time.Now()
	w.mu.Unlock()
	if engine, ok := w.Fleet.Engines[backend]; ok {
		engine.SetLeaving(true)
	}
	if plain, ok := w.Fleet.PlainServices[backend]; ok {
		plain.SetLeaving(true)
	}
}

// checkNoCallsToLeavingBackends checks that leaving backend servers got no new requests after
// leavingGracePeriod.
func (w *Workload) checkNoCallsToLeavingBackends() {
	for backend, leavingSince := range w.leavingSince {
		var arrivalTimes []time.Time
		if engine, ok := w.Fleet.Engines[backend]; ok {
			arrivalTimes = engine.ArrivalTimes()
		} else {
			arrivalTimes = w.Fleet.PlainServices[backend].ArrivalTimes()
		}
		late := slices.DeleteFunc(arrivalTimes, func(arrival time.Time) bool { return arrival.Before(leavingSince.Add(leavingGracePeriod)) })
		if len(late) > 0 {
			w.Recorder.ReportViolation("%s got %d calls more than %s after it began to leave", backend, len(late), leavingGracePeriod)
		}
	}
}

// watchRevisions checks that the revision of no daemon decreases, and that accepted changes
// are in force on all daemons within maxActivationDelay.
func (w *Workload) watchRevisions(ctx context.Context) {
	lastRevisions := make(map[gypsum.HostID]gypsum.Revision)
	firstObserved := make(map[gypsum.HostID]time.Time)
	for ctx.Err() == nil {
		check.Sleep(ctx, watchInterval)
		for _, id := range w.Fleet.LiveDaemons() {
			c := w.Fleet.Core(id)
			if c == nil || c.View().Config == nil {
				continue
			}
			if _, ok := firstObserved[id]; !ok {
				firstObserved[id] = time.Now()
			}
			revision := c.View().Config.Revision
			if revision < lastRevisions[id] {
				w.Recorder.ReportViolation("revision of %s went down from %d to %d", id, lastRevisions[id], revision)
			}
			lastRevisions[id] = revision
			w.checkRevisionInForce(id, revision, firstObserved[id])
		}
	}
}

// checkRevisionInForce checks that a daemon's revision includes all changes accepted more
// than maxActivationDelay ago. observedSince is when the daemon first had a configuration.
func (w *Workload) checkRevisionInForce(id gypsum.HostID, revision gypsum.Revision, observedSince time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isolated[id] {
		return
	}
	for _, change := range w.acceptedChanges {
		if change.revision > revision && time.Since(laterTime(change.acceptedAt, observedSince)) > maxActivationDelay {
			w.Recorder.ReportViolation("revision %d is not in force on %s after %s", change.revision, id, maxActivationDelay)
		}
	}
}

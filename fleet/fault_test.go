package fleet_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/core"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/fleet"
)

// Durations of the phases of a test: before, during and after the fault.
const (
	warmupTime   = 6 * time.Second
	faultTime    = 8 * time.Second
	recoveryTime = 14 * time.Second
)

// fault is a case of TestFaults. inject starts the fault, clear ends it.
type fault struct {
	name   string
	inject func(t *testing.T, w *fleet.Workload)
	clear  func(t *testing.T, w *fleet.Workload)
	// combinable means that the fault can be injected together with any other.
	combinable bool
	// setTuning, if set, changes the times and limits of the daemons.
	setTuning func(*core.Tuning)
}

// The daemons of the small layout. remote is in another region than the others and the log.
const (
	firstDaemon  gypsum.HostID = "genova-entry-1"
	secondDaemon gypsum.HostID = "genova-entry-2"
	thirdDaemon  gypsum.HostID = "la-spezia-entry-1"
	remoteDaemon gypsum.HostID = "chioggia-entry-1"
)

// killFault returns a fault that kills daemons and replaces them when it is cleared.
func killFault(ids ...gypsum.HostID) fault {
	return fault{
		name:   fmt.Sprintf("kill %v", ids),
		inject: func(_ *testing.T, w *fleet.Workload) { forEachDaemon(ids, w.Fleet.KillDaemon) },
		clear: func(t *testing.T, w *fleet.Workload) {
			forEachDaemon(ids, func(id gypsum.HostID) { w.Fleet.ReplaceDaemon(t.Context(), id) })
		},
	}
}

// freezeFault returns a fault that freezes daemons and resumes them when it is cleared.
func freezeFault(ids ...gypsum.HostID) fault {
	return fault{
		name: fmt.Sprintf("freeze %v", ids),
		inject: func(_ *testing.T, w *fleet.Workload) {
			forEachDaemon(ids, func(id gypsum.HostID) {
				w.SetIsolated(id, true)
				w.Fleet.Network.Freeze(id)
			})
		},
		clear: func(_ *testing.T, w *fleet.Workload) {
			forEachDaemon(ids, func(id gypsum.HostID) {
				w.Fleet.Network.Unfreeze(id)
				w.SetIsolated(id, false)
			})
		},
	}
}

func forEachDaemon(ids []gypsum.HostID, apply func(gypsum.HostID)) {
	for _, id := range ids {
		apply(id)
	}
}

// logFault returns a fault of the platform's log.
func logFault(name string, kind fake.LogFault) fault {
	return fault{
		name: name, combinable: true,
		inject: func(_ *testing.T, w *fleet.Workload) { w.Fleet.Log.SetFault(kind) },
		clear:  func(_ *testing.T, w *fleet.Workload) { w.Fleet.Log.SetFault(0) },
	}
}

// responseFault returns a fault of all responses of an engine.
func responseFault(name string, kind fake.ResponseFault) fault {
	return fault{
		name: name, combinable: true,
		inject: func(_ *testing.T, w *fleet.Workload) { w.Fleet.Engines["genova-engine-1"].SetResponseFault(kind) },
		clear:  func(_ *testing.T, w *fleet.Workload) { w.Fleet.Engines["genova-engine-1"].SetResponseFault(0) },
	}
}

// disconnectRemoteRegion disconnects the regions from each other and the remote daemon
// from the log, or connects them again.
func disconnectRemoteRegion(w *fleet.Workload, disconnected bool) {
	w.Fleet.Network.SetRegionsDisconnected("liguria", "adriatico", disconnected)
	w.Fleet.SetLogDisconnected(remoteDaemon, disconnected)
	w.SetIsolated(remoteDaemon, disconnected)
}

// allFaults returns the cases of TestFaults.
func allFaults() []fault {
	noop := func(*testing.T, *fleet.Workload) {}
	both := func(a, b fault) fault {
		return fault{
			name:   a.name + " and " + b.name,
			inject: func(t *testing.T, w *fleet.Workload) { a.inject(t, w); b.inject(t, w) },
			clear:  func(t *testing.T, w *fleet.Workload) { a.clear(t, w); b.clear(t, w) },
		}
	}
	logUnavailable := logFault("log out", fake.LogUnavailable)
	engineCrash := fault{
		name: "engines crash",
		inject: func(_ *testing.T, w *fleet.Workload) {
			w.Fleet.Engines["genova-engine-1"].Crash()
			w.Fleet.Engines["chioggia-engine-1"].Crash()
		},
		clear: func(_ *testing.T, w *fleet.Workload) {
			w.Fleet.Engines["genova-engine-1"].Restart()
			w.Fleet.Engines["chioggia-engine-1"].Restart()
		},
	}
	return []fault{
		killFault(firstDaemon), killFault(secondDaemon), killFault(thirdDaemon), killFault(remoteDaemon), killFault(firstDaemon, remoteDaemon),
		freezeFault(firstDaemon), freezeFault(secondDaemon), freezeFault(thirdDaemon), freezeFault(firstDaemon, thirdDaemon),
		{
			name: "cut between two hosts",
			inject: func(_ *testing.T, w *fleet.Workload) {
				w.Fleet.Network.SetDisconnected(firstDaemon, secondDaemon, true)
			},
			clear: func(_ *testing.T, w *fleet.Workload) {
				w.Fleet.Network.SetDisconnected(firstDaemon, secondDaemon, false)
			},
		},
		{
			name:   "cut between regions",
			inject: func(_ *testing.T, w *fleet.Workload) { disconnectRemoteRegion(w, true) },
			clear:  func(_ *testing.T, w *fleet.Workload) { disconnectRemoteRegion(w, false) },
		},
		{
			name:   "host cut from the log",
			inject: func(_ *testing.T, w *fleet.Workload) { w.Fleet.SetLogDisconnected(firstDaemon, true) },
			clear:  func(_ *testing.T, w *fleet.Workload) { w.Fleet.SetLogDisconnected(firstDaemon, false) },
		},
		logUnavailable, logFault("log hangs", fake.LogHang), logFault("log loses answers", fake.LogResponseLost), logFault("log late", fake.LogDelayed),
		{
			name: "log slow", combinable: true,
			inject: func(_ *testing.T, w *fleet.Workload) { w.Fleet.Log.SetLatency(400 * time.Millisecond) },
			clear:  func(_ *testing.T, w *fleet.Workload) { w.Fleet.Log.SetLatency(w.Fleet.Layout.LogLatency) },
		},
		{
			name:   "log retention",
			inject: func(_ *testing.T, w *fleet.Workload) { w.Fleet.Log.SetRetention(40) },
			clear: func(t *testing.T, w *fleet.Workload) {
				w.Fleet.KillDaemon(firstDaemon)
				w.Fleet.ReplaceDaemon(t.Context(), firstDaemon)
			},
			setTuning: func(tuning *core.Tuning) { tuning.SnapshotRecords, tuning.SnapshotInterval = 10, 2*time.Second },
		},
		{name: "racing operators", combinable: true, inject: func(t *testing.T, w *fleet.Workload) { w.RaceChanges(t.Context()) }, clear: noop},
		{
			name: "leaving backend servers",
			inject: func(_ *testing.T, w *fleet.Workload) {
				w.MarkLeaving("genova-engine-1")
				w.MarkLeaving("genova-plain-1")
			},
			clear: noop,
		},
		engineCrash,
		{
			name: "engine freezes", combinable: true,
			inject: func(_ *testing.T, w *fleet.Workload) { w.Fleet.Engines["genova-engine-1"].Freeze() },
			clear:  func(_ *testing.T, w *fleet.Workload) { w.Fleet.Engines["genova-engine-1"].Unfreeze() },
		},
		{
			name: "plain services crash", combinable: true,
			inject: func(_ *testing.T, w *fleet.Workload) { w.Fleet.PlainServices["genova-plain-1"].Crash() },
			clear:  func(_ *testing.T, w *fleet.Workload) { w.Fleet.PlainServices["genova-plain-1"].Restart() },
		},
		{
			name: "plain service freezes", combinable: true,
			inject: func(_ *testing.T, w *fleet.Workload) { w.Fleet.PlainServices["genova-plain-1"].Freeze() },
			clear:  func(_ *testing.T, w *fleet.Workload) { w.Fleet.PlainServices["genova-plain-1"].Unfreeze() },
		},
		{
			name: "plain service loses answers", combinable: true,
			inject: func(_ *testing.T, w *fleet.Workload) { w.Fleet.PlainServices["genova-plain-1"].SetDropResponses(true) },
			clear:  func(_ *testing.T, w *fleet.Workload) { w.Fleet.PlainServices["genova-plain-1"].SetDropResponses(false) },
		},
		responseFault("answers with gaps", fake.ResponseGap), responseFault("answers doubled", fake.ResponseDuplicated),
		responseFault("answers cut", fake.ResponseTruncated), responseFault("answers crossed", fake.ResponseMismatched),
		responseFault("answers without version", fake.ResponseUnversioned),
		{
			name: "failed swaps",
			inject: func(_ *testing.T, w *fleet.Workload) {
				for _, engine := range w.Fleet.Engines {
					engine.FailLoads(2)
				}
			},
			clear: noop,
		},
		{
			name: "weight store out", combinable: true,
			inject: func(_ *testing.T, w *fleet.Workload) { w.Fleet.WeightStore.SetUnavailable(true) },
			clear:  func(_ *testing.T, w *fleet.Workload) { w.Fleet.WeightStore.SetUnavailable(false) },
		},
		{
			name: "host list out", combinable: true,
			inject: func(_ *testing.T, w *fleet.Workload) { w.Fleet.HostList.SetUnavailable(true) },
			clear:  func(_ *testing.T, w *fleet.Workload) { w.Fleet.HostList.SetUnavailable(false) },
		},
		{
			name: "graceful leave",
			inject: func(_ *testing.T, w *fleet.Workload) {
				w.Fleet.Core(secondDaemon).Leave()
			},
			clear: func(t *testing.T, w *fleet.Workload) {
				w.Fleet.KillDaemon(secondDaemon)
				w.Fleet.ReplaceDaemon(t.Context(), secondDaemon)
			},
		},
		both(killFault(firstDaemon), logUnavailable), both(freezeFault(thirdDaemon), logUnavailable), both(freezeFault(firstDaemon), engineCrash), both(killFault(secondDaemon), engineCrash),
	}
}

// TestFaults injects each fault into a fleet under load. It checks that no guarantee is
// violated and that calls and rollout steps succeed afterwards.
func TestFaults(t *testing.T) {
	for _, tc := range allFaults() {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFault(t, &tc) })
		})
	}
}

// runFault runs one case of TestFaults.
func runFault(t *testing.T, tc *fault) {
	is := is.New(t)
	f := fleet.New(fleet.SmallLayout())
	f.SetTuning = tc.setTuning
	defer f.Close()
	is.NoErr(f.Start(t.Context()))
	workload := fleet.NewWorkload(f)
	workload.Start(t.Context())
	time.Sleep(warmupTime)
	injectedAt := time.Now()
	tc.inject(t, workload)
	time.Sleep(faultTime)
	clearedAt := time.Now()
	tc.clear(t, workload)
	time.Sleep(recoveryTime)
	violations := workload.Stop()
	samples, steps := workload.Recorder.DeliveredCounts()
	t.Logf("during fault: orders %d completions %d; recovery after fault: orders %s completions %s; samples %d, steps %d, trainer idle time %s",
		countResponses(workload, "order", injectedAt, clearedAt), countResponses(workload, "completion", injectedAt, clearedAt),
		timeToRecovery(workload, "order", clearedAt), timeToRecovery(workload, "completion", clearedAt), samples, steps, workload.Recorder.TrainerIdleTime())
	t.Logf("refusals during fault: %v, after fault: %v", countRefusals(workload, injectedAt, clearedAt), countRefusals(workload, clearedAt, time.Now()))
	for _, violation := range violations {
		t.Error(violation)
	}
	is.True(workload.Recorder.CountResponses("order", clearedAt.Add(5*time.Second)) > 20)      // orders succeed after the fault
	is.True(workload.Recorder.CountResponses("completion", clearedAt.Add(5*time.Second)) > 20) // completions succeed after the fault
	is.True(steps >= 3)                                                                        // the trainer makes progress
}

// countResponses returns the number of calls of a kind that started between two times and
// got a complete response.
func countResponses(w *fleet.Workload, kind string, from, to time.Time) int {
	return w.Recorder.CountResponses(kind, from) - w.Recorder.CountResponses(kind, to)
}

// timeToRecovery returns the time from the end of a fault to the end of the last call
// that started afterwards and failed nevertheless, zero if there is none.
func timeToRecovery(w *fleet.Workload, kind string, clearedAt time.Time) time.Duration {
	last := time.Duration(0)
	for _, result := range w.Recorder.Results() {
		if result.Kind == kind && result.Start.After(clearedAt) && result.Response == "" {
			last = max(last, result.Start.Add(result.Duration).Sub(clearedAt))
		}
	}
	return last
}

// countRefusals counts the refusals of calls that started between two times, by kind,
// reason and outcome.
func countRefusals(w *fleet.Workload, from, to time.Time) map[string]int {
	counts := make(map[string]int)
	for _, result := range w.Recorder.Results() {
		if result.Refusal != nil && result.Start.After(from) && result.Start.Before(to) {
			counts[fmt.Sprintf("%s %s/%s", result.Kind, result.Refusal.Reason, result.Refusal.Outcome)]++
		}
	}
	return counts
}

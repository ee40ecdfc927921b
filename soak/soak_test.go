package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/platform/mimic"
)

var (
	seedCount     = flag.Int("seeds", 1, "number of seeds")
	firstSeed     = flag.Uint64("seed", 7, "first seed, 0 for a fresh one")
	faultDuration = flag.Duration("for", 12*time.Second, "time of faults for each seed")
	daemonCount   = flag.Int("hosts", 4, "number of daemons")
	readRate      = flag.Float64("reads", 0, "reads per second that the store allows, 0 for no limit")
	writeRate     = flag.Float64("writes", 0, "writes per second that the store allows, 0 for no limit")
)

// recoveryTimeout is the time after the last fault within which all accepted batches must
// have all results.
const recoveryTimeout = 20 * time.Second

// minBrokenStreams is the number of tries to take up streams from which their success is
// checked: half of them must bring another event.
const minBrokenStreams = 12

// TestSoak injects successive and overlapping faults, and checks the guarantees during the
// run and at its end.
func TestSoak(t *testing.T) {
	base := *firstSeed
	if base == 0 {
		base = uint64(time.Now().UnixNano())
	}
	for i := range *seedCount {
		seed := base + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			env := newTestEnv(t, *daemonCount)
			runSeed(env, newWorkload(env), seed)
		})
	}
}

// runSeed runs a workload and the faults of one seed.
func runSeed(env *testEnv, load *workload, seed uint64) {
	t := env.t
	stop := load.start(t.Context(), seed)
	limitRates(env, rand.New(rand.NewPCG(seed, 30)))
	injectFaults(env, rand.New(rand.NewPCG(seed, 20)))
	time.Sleep(2 * time.Second)
	stop()
	checkOutcomes(env, load)
	t.Logf("streams %d, taken up again %d of %d; calls %d, served %d, non-idempotent calls refused %d; batches %d, attempts of items %d, load orders %d",
		load.streams, load.resumedStreams, load.brokenStreams, load.calls, load.served, len(load.refusedIDs), len(load.batches), len(env.engines.Attempts()), len(env.engines.LoadOrders()))
}

// start starts the clients and the trainer of a seed. The returned function stops them and waits
// for their end.
func (load *workload) start(ctx context.Context, seed uint64) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range 3 {
		name, rng := fmt.Sprint("live", i), rand.New(rand.NewPCG(seed, uint64(i)))
		wg.Go(func() { load.sendLiveRequests(ctx, name, rng) })
	}
	for i := range 2 {
		name, rng := fmt.Sprint("stream", i), rand.New(rand.NewPCG(seed, uint64(40+i)))
		wg.Go(func() { load.runStreams(ctx, name, rng) })
	}
	wg.Go(func() { load.runTrainer(ctx, "train", rand.New(rand.NewPCG(seed, 10))) })
	return func() {
		cancel()
		wg.Wait()
	}
}

// limitRates makes an engine and a replica of the plain service limit their request rates for
// the rest of the run.
func limitRates(env *testEnv, rng *rand.Rand) {
	for _, replica := range []*registeredReplica{env.replicas[rng.IntN(engineCount)], env.replicas[engineCount+rng.IntN(plainReplicaCount)]} {
		replica.limitedAt, replica.rateLimit = time.Now(), gypsum.RequestRate(2+rng.IntN(20))
		replica.SetRateLimit(fmt.Sprint(replica.rateLimit))
	}
}

// injectFaults injects random faults for faultDuration, clears all of them and waits
// until the daemons are ready.
func injectFaults(env *testEnv, rng *rand.Rand) {
	var wg sync.WaitGroup
	for end := time.Now().Add(*faultDuration); time.Now().Before(end); {
		inject, clearFault := randomFault(env, rng)
		faultTime := time.Duration(300+rng.IntN(2700)) * time.Millisecond
		inject()
		wg.Go(func() {
			time.Sleep(faultTime)
			clearFault()
		})
		time.Sleep(time.Duration(100+rng.IntN(900)) * time.Millisecond)
	}
	wg.Wait()
	env.store.SetFault(0)
	for _, daemon := range env.daemons {
		daemon.storeProxy.setFault(proxyForward)
		daemon.cutOff(linkUp)
		daemon.signal(syscall.SIGCONT)
		env.waitReady(daemon)
	}
}

// randomFault returns functions that inject a random fault and clear it.
func randomFault(env *testEnv, rng *rand.Rand) (inject, clearFault func()) {
	daemon, replica := env.daemons[rng.IntN(len(env.daemons))], env.replicas[rng.IntN(len(env.replicas))]
	linkFault := []proxyFault{proxyHoldAll, proxyHoldResponses, proxyDelay, proxyClose}[rng.IntN(4)]
	storeFault := []fake.KeyedFault{fake.KeyedRefused, fake.KeyedHang, fake.KeyedResponseLost, fake.KeyedDelayed}[rng.IntN(4)]
	responseFault := []mimic.Fault{
		mimic.FaultMismatch, mimic.FaultTruncated, mimic.FaultReset, mimic.FaultUnsigned, mimic.FaultFull, mimic.FaultError, mimic.FaultSilent, mimic.FaultWrongReplica,
	}[rng.IntN(8)]
	cut := linkFaults[rng.IntN(len(linkFaults))]
	kind := rng.IntN(12)
	if kind <= 2 && !daemon.faultActive.CompareAndSwap(false, true) {
		kind = 3 // a process has one fault at a time
	}
	restart := func() {
		daemon.wait()
		env.startDaemon(daemon)
		daemon.faultActive.Store(false)
	}
	switch kind {
	case 0:
		return daemon.kill, restart
	case 1:
		return func() { daemon.signal(syscall.SIGSTOP) }, func() {
			daemon.signal(syscall.SIGCONT)
			daemon.faultActive.Store(false)
		}
	case 2:
		return func() { daemon.signal(syscall.SIGTERM) }, restart
	case 10, 11:
		return func() { daemon.cutOff(cut) }, func() { daemon.cutOff(linkUp) }
	case 3, 4:
		return func() { daemon.storeProxy.setFault(linkFault) }, func() { daemon.storeProxy.setFault(proxyForward) }
	case 5:
		return func() { env.store.SetFault(storeFault) }, func() { env.store.SetFault(0) }
	case 6:
		return env.store.ExpireHistory, func() {}
	case 7:
		if replica.Engines == nil {
			return func() { replica.SetFault(responseFault) }, func() { replica.SetFault("") }
		}
		return func() { env.engines.SetEventTime(replica.ID, 5*eventInterval) }, func() { env.engines.SetEventTime(replica.ID, eventInterval) }
	case 8:
		if replica.Engines == nil {
			return func() { replica.down.Store(true) }, func() { replica.down.Store(false) }
		}
		return func() { env.engines.SetHung(replica.ID, true) }, func() { env.engines.SetHung(replica.ID, false) }
	}
	return func() { replica.down.Store(true) }, func() {
		replica.startedAt.Store(time.Now().UnixMilli())
		replica.down.Store(false)
	}
}

// checkOutcomes waits until all accepted batches have all results and checks that each
// daemon returns the same ones. It checks that non-idempotent requests ran at most once,
// that refused requests and batches did not run, and that at least 30 % of the calls
// were served.
func checkOutcomes(env *testEnv, load *workload) {
	deadline := time.Now().Add(recoveryTimeout)
	for _, observed := range load.batches {
		for observed.accepted && !observed.endedEarly && len(observed.results) < len(observed.items) && time.Now().Before(deadline) {
			load.readResults(env.t.Context(), observed, env.daemons[0])
			time.Sleep(readPause)
		}
		for _, violation := range missingResults(observed) {
			env.t.Errorf("%s after the last fault: %s", recoveryTimeout, violation)
		}
		for _, daemon := range env.daemons {
			checkResultsAt(env, load, observed, daemon)
		}
	}
	for _, violation := range load.executionViolations() {
		env.t.Error(violation)
	}
	for _, replica := range env.replicas {
		for _, violation := range rateViolations(replica, replica.ReceivedAt()) {
			env.t.Error(violation)
		}
	}
	if load.brokenStreams >= minBrokenStreams && load.resumedStreams*2 < load.brokenStreams {
		env.t.Errorf("%d of %d streams were taken up again", load.resumedStreams, load.brokenStreams)
	}
	if load.served*10 < load.calls*3 {
		env.t.Errorf("%d of %d calls served", load.served, load.calls)
	}
}

// checkResultsAt reads all results of a batch from a daemon and checks that they equal
// those that the trainer has read.
func checkResultsAt(env *testEnv, load *workload, observed *observedBatch, daemon *daemonProcess) {
	if !observed.accepted {
		return
	}
	reread := &observedBatch{id: observed.id, items: observed.items, minVersion: observed.minVersion, endedEarly: observed.endedEarly, scored: observed.scored}
	for deadline := time.Now().Add(5 * time.Second); len(reread.results) < len(observed.results) && time.Now().Before(deadline); {
		load.readResults(env.t.Context(), reread, daemon)
	}
	if len(reread.results) < len(observed.results) {
		env.t.Errorf("batch %s: %s returns %d of %d results", observed.id, daemon.name, len(reread.results), len(observed.results))
		return
	}
	for _, violation := range pageViolations(observed, 0, len(observed.items), reread.results) {
		env.t.Errorf("%s: %s", daemon.name, violation)
	}
}

// TestWorkloadWithoutFaults checks that without faults a live request and all items of a
// batch get their results, so that requests and results missing in TestSoak are due to
// its faults.
func TestWorkloadWithoutFaults(t *testing.T) {
	env := newTestEnv(t, 1)
	load := newWorkload(env)
	rng := rand.New(rand.NewPCG(1, 1))
	status, body := load.sendRequest(t.Context(), env.daemons[0], http.MethodPost, "/i/x", "q1", []byte("x"))
	if status != http.StatusOK || string(body) != mimic.PlainResponseBody("q1", "/i/x", []byte("x")) {
		t.Fatalf("live request: status %d, body %q", status, body)
	}
	observed := &observedBatch{id: "b", minVersion: 1, scored: true}
	load.submitBatch(t.Context(), observed, rng)
	for deadline := time.Now().Add(10 * time.Second); len(observed.results) < len(observed.items) && time.Now().Before(deadline); time.Sleep(readPause) {
		load.readResults(t.Context(), observed, env.daemons[0])
	}
	for _, result := range observed.results {
		if result.State != gypsum.ItemCompleted {
			t.Errorf("item %s is %s", result.Item, result.State)
		}
	}
	if !observed.accepted || len(observed.results) != len(observed.items) {
		t.Fatalf("batch: accepted %t, %d of %d results", observed.accepted, len(observed.results), len(observed.items))
	}
}

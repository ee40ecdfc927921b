package fleet_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/core"
	"github.com/gypsumhook/gypsum/fleet"
)

// Flags of TestSoak.
var (
	soakTime = flag.Duration("soak", 0, "how long to run random faults beyond the fixed seeds")
	soakSeed = flag.Uint64("seed", 0, "the only seed to run, 0 for the fixed ones")
)

// fixedSeeds are the seeds that TestSoak always runs with.
var fixedSeeds = []uint64{1, 2, 3, 4}

// The number of fault injections of a seed, and the maximum durations of a fault and of the
// pause before it in virtual time.
const (
	soakRounds   = 6
	soakMaxFault = 6 * time.Second
	soakMaxPause = 6 * time.Second
)

// TestSoak injects random pairs of faults and checks that no guarantee is violated.
func TestSoak(t *testing.T) {
	seeds := fixedSeeds
	if *soakSeed != 0 {
		seeds = []uint64{*soakSeed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) { runSoakSeed(t, seed) })
	}
	for until := time.Now().Add(*soakTime); time.Now().Before(until) && !t.Failed(); {
		seed := rand.Uint64() >> 32
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) { runSoakSeed(t, seed) })
	}
}

// runSoakSeed runs TestSoak with one seed.
func runSoakSeed(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := fleet.New(fleet.SmallLayout())
		f.SetTuning = func(tuning *core.Tuning) { tuning.SnapshotRecords, tuning.SnapshotInterval = 20, 5*time.Second }
		defer f.Close()
		is.NoErr(f.Start(t.Context()))
		workload := fleet.NewWorkload(f)
		random := rand.New(rand.NewPCG(seed, 7))
		workload.Start(t.Context())
		for range soakRounds {
			time.Sleep(time.Duration(random.Int64N(int64(soakMaxPause))))
			firstFault, secondFault := randomCombinableFault(f, random), randomCombinableFault(f, random)
			t.Logf("%s: injecting %s and %s", time.Now().Format("05.000"), firstFault.name, secondFault.name)
			firstFault.inject(t, workload)
			secondFault.inject(t, workload)
			time.Sleep(time.Duration(random.Int64N(int64(soakMaxFault))))
			secondFault.clear(t, workload)
			firstFault.clear(t, workload)
		}
		time.Sleep(recoveryTime)
		for _, violation := range workload.Stop() {
			t.Errorf("seed %d: %s", seed, violation)
		}
		is.True(workload.Recorder.CountResponses("order", time.Now().Add(-5*time.Second)) > 10) // orders succeed after the faults
	})
}

// randomCombinableFault returns a random fault that can be injected together with any
// other.
func randomCombinableFault(f *fleet.Fleet, random *rand.Rand) fault {
	var candidates []fault
	for _, candidate := range allFaults() {
		if candidate.combinable {
			candidates = append(candidates, candidate)
		}
	}
	live := f.LiveDaemons()
	target := live[random.IntN(len(live))]
	candidates = append(candidates, killAndReplaceFault(target), freezeFault(target))
	return candidates[random.IntN(len(candidates))]
}

// killAndReplaceFault returns a fault that kills a daemon, if it runs, and replaces it
// immediately.
func killAndReplaceFault(id gypsum.HostID) fault {
	return fault{
		name: fmt.Sprintf("kill %s", id),
		inject: func(t *testing.T, w *fleet.Workload) {
			if w.Fleet.Core(id) != nil {
				w.Fleet.KillDaemon(id)
				w.Fleet.ReplaceDaemon(t.Context(), id)
			}
		},
		clear: func(*testing.T, *fleet.Workload) {},
	}
}

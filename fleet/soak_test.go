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

// Flags of the random run.
var (
	soakTime = flag.Duration("soak", 0, "how long to run random faults beyond the fixed seeds")
	soakSeed = flag.Uint64("seed", 0, "the only seed to run, 0 for the fixed ones")
)

// fixedSeeds are the seeds that each run of the tests tries.
var fixedSeeds = []uint64{1, 2, 3, 4}

// Times of a random run, in virtual time.
const (
	soakRounds   = 6
	soakMaxFault = 6 * time.Second
	soakMaxCalm  = 6 * time.Second
)

// TestSoak mixes faults at random, two at once, and checks the promises.
func TestSoak(t *testing.T) {
	seeds := fixedSeeds
	if *soakSeed != 0 {
		seeds = []uint64{*soakSeed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) { soak(t, seed) })
	}
	for until := time.Now().Add(*soakTime); time.Now().Before(until) && !t.Failed(); {
		seed := rand.Uint64() >> 32
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) { soak(t, seed) })
	}
}

// soak runs one seed.
func soak(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := fleet.New(fleet.Small())
		f.Tune = func(tuning *core.Tuning) { tuning.SnapshotRecords, tuning.SnapshotInterval = 20, 5*time.Second }
		defer f.Close()
		is.NoErr(f.Start(t.Context()))
		scene := fleet.NewScene(f, seed)
		random := rand.New(rand.NewPCG(seed, 7))
		scene.Begin(t.Context())
		for range soakRounds {
			time.Sleep(time.Duration(random.Int64N(int64(soakMaxCalm))))
			first, second := mixable(f, random), mixable(f, random)
			t.Logf("%s: %s and %s", time.Now().Format("05.000"), first.name, second.name)
			first.strike(t, scene)
			second.strike(t, scene)
			time.Sleep(time.Duration(random.Int64N(int64(soakMaxFault))))
			second.heal(t, scene)
			first.heal(t, scene)
		}
		time.Sleep(afterTime)
		for _, breach := range scene.End() {
			t.Errorf("seed %d: %s", seed, breach)
		}
		is.True(scene.Record.Answered("order", time.Now().Add(-5*time.Second)) > 10) // orders go on afterwards
	})
}

// mixable returns a random fault that can strike beside any other.
func mixable(f *fleet.Fleet, random *rand.Rand) fault {
	var rows []fault
	for _, row := range faults() {
		if row.mixes {
			rows = append(rows, row)
		}
	}
	live := f.Live()
	victim := live[random.IntN(len(live))]
	rows = append(rows, replaceOne(victim), freeze(victim))
	return rows[random.IntN(len(rows))]
}

// replaceOne kills a daemon that still runs and replaces it.
func replaceOne(id gypsum.HostID) fault {
	return fault{
		name: fmt.Sprintf("kill %s", id),
		strike: func(t *testing.T, s *fleet.Scene) {
			if s.Fleet.Node(id) != nil {
				s.Fleet.Kill(id)
				s.Fleet.Replace(t.Context(), id)
			}
		},
		heal: func(*testing.T, *fleet.Scene) {},
	}
}

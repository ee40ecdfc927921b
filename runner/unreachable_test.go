package runner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
)

// TestHolderWithoutEngines guards against a holder that keeps its service while it reaches the store
// but no engine: the texts are continued by a host that reaches them, although another one that
// reaches none would claim the service first.
func TestHolderWithoutEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := newEngines(6)
		d := newDeployment(t, engines, 0.8, 0.8, 0.8)
		first, second := newBatch("first", 1, itemLengths(30, 4)...), newBatch("second", 1, itemLengths(30, 0)...)
		d.submitBatch(0, first)
		d.submitBatch(1, second) // its origin claims without a delay
		time.Sleep(400 * time.Millisecond)
		holder := 0
		if d.holderKnownTo(2) == "host-2" {
			holder = 1
		}
		is.True(d.holderKnownTo(2) != "host-3")
		d.daemons[0].link.SetCut(true)
		d.daemons[1].link.SetCut(true)
		for begin := time.Now(); d.holderKnownTo(2) != "host-3"; time.Sleep(10 * time.Millisecond) {
			if time.Since(begin) > 2*time.Second {
				t.Fatal("the service was not taken over")
			}
		}
		is.Equal(d.daemons[holder].runner.Stats.UnreachableReleases.Load(), int64(1))
		_, took := d.awaitResults(2, first, 20*time.Second)
		is.True(took < 7500*time.Millisecond) // results are due
		d.awaitResults(2, second, 20*time.Second)
		is.Equal(d.holderKnownTo(2), gypsum.HostID("host-3"))
	})
}

// TestAllHostsWithoutEngines checks that a holder keeps its service while no host reaches the
// engines, and continues once it does.
func TestAllHostsWithoutEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, newEngines(6), 0.8, 0.8, 0.8)
		submitted := newBatch("bat", 1, itemLengths(30, 0)...)
		d.submitBatch(0, submitted)
		time.Sleep(50 * time.Millisecond)
		for _, daemon := range d.daemons {
			daemon.link.SetCut(true)
		}
		time.Sleep(4 * time.Second)
		is.Equal(d.holderKnownTo(2), gypsum.HostID("host-1"))
		for _, daemon := range d.daemons {
			daemon.link.SetCut(false)
		}
		_, took := d.awaitResults(2, submitted, 20*time.Second)
		is.True(took < 10*time.Second)
		is.Equal(d.holderKnownTo(2), gypsum.HostID("host-1"))
	})
}

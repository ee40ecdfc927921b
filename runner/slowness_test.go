package runner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
)

// The holder measures how long engines are slow at a time while texts remain on them, here because no
// other engine has a free slot, and texts leave an engine that stays slow once there are free slots.
func TestSlowPeriodsAreMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const engineCount = 16
		engines := newEngines(engineCount)
		d := newDeployment(t, engines, 0.8)
		var lengths []int64
		for range engineCount {
			lengths = append(lengths, 400)
			for range 15 {
				lengths = append(lengths, 150)
			}
		}
		submitted := newBatch("bat", 1, lengths...)
		d.submitBatch(0, submitted)
		rng := rand.New(rand.NewPCG(1, 2))
		time.Sleep(500 * time.Millisecond)
		for i := range 5 {
			engine := gypsum.BackendID(fmt.Sprintf("engine-%d", i+1))
			engines.SetEventTime(engine, 5*idleEventTime/2)
			time.Sleep(time.Duration(300+rng.IntN(600)) * time.Millisecond)
			engines.SetEventTime(engine, idleEventTime)
		}
		time.Sleep(300 * time.Millisecond)
		stats := &d.daemons[0].runner.Stats
		periods, total := stats.SlowPeriods.Load(), time.Duration(stats.SlowTime.Load())
		t.Logf("%d periods, %s in all, %d moves", periods, total, stats.ItemsMoved.Load())
		is.True(periods >= 2 && periods <= 5)
		mean := total / time.Duration(periods)
		is.True(mean > 300*time.Millisecond && mean < 1100*time.Millisecond)
		time.Sleep(5 * time.Second)
		moved := stats.ItemsMoved.Load()
		engines.SetEventTime("engine-16", 3*idleEventTime)
		time.Sleep(1500 * time.Millisecond)
		is.True(stats.ItemsMoved.Load() > moved)
		results, _ := d.awaitResults(0, submitted, 30*time.Second)
		is.Equal(len(results), len(lengths))
	})
}

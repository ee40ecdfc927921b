package runner_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
)

// TestItemOfCrashedEnginesIsPlacedAgain guards against an item that is never placed again after
// several engines crashed while they ran it, also under a new holder.
func TestItemOfCrashedEnginesIsPlacedAgain(t *testing.T) {
	for _, changeHolder := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			engines := newEngines(6)
			d := newDeployment(t, engines, 0.8, 0.8)
			submitted := newBatch("bat", 1, itemLengths(20, 1)...)
			var crashes atomic.Int64
			engines.AttemptError = func(engine gypsum.BackendID, item gypsum.ItemID) error {
				if item != submitted.Items[0].ID || crashes.Add(1) > 5 {
					return nil
				}
				engines.SetDown(engine, true)
				time.AfterFunc(400*time.Millisecond, func() { engines.SetDown(engine, false) })
				return errors.New("connection reset")
			}
			d.submitBatch(0, submitted)
			if changeHolder {
				time.Sleep(1500 * time.Millisecond)
				d.daemons[0].killAndWait()
			}
			results, took := d.awaitResults(1, submitted, 30*time.Second)
			is.Equal(len(results), 21)
			is.True(took < 10*time.Second)
		})
	}
}

// TestRewardCallOfCrashedReplicasIsSentAgain guards against a reward call that is never sent again
// after several replicas crashed while they answered it.
func TestRewardCallOfCrashedReplicasIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := startDeployment(&deployment{
			t: t, store: fake.NewKeyedStore(), engines: newEngines(4), rewards: fake.NewRewardService(rewardService, 3, 6, 50*time.Millisecond),
		}, []float64{0.8, 0.8})
		submitted := newScoredBatch("bat", itemLengths(4, 0)...)
		d.rewards.SetCrashing(submitted.Items[0].Scorer.ID, 5)
		// A live request with the same target and body may have crashed replicas before.
		scorer := submitted.Items[1].Scorer
		for _, replica := range d.rewards.Replicas() {
			is.NoErr(d.daemons[0].batches.RecordCrash(t.Context(), gypsum.FingerprintOf(scorer.HostName, scorer.Path, scorer.Body), replica))
		}
		d.submitBatch(0, submitted)
		results, took := d.awaitResults(1, submitted, 30*time.Second)
		is.Equal(len(results), 4)
		is.True(took < 10*time.Second)
	})
}

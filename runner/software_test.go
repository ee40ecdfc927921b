package runner_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
)

// TestTextsMixSoftwareVersions guards against texts with events of two versions of the engines'
// software: by a move from a slow engine, after a broken attempt, from the checkpoint of a
// holder before, or from the text of an ended batch. All results come in time, also of texts
// whose version has no engine left.
func TestTextsMixSoftwareVersions(t *testing.T) {
	for name, disturb := range map[string]func(d *deployment){
		"slow engines": func(d *deployment) {
			for i := range 2 {
				d.engines.SetEventTime(engineID(i), 5*idleEventTime)
			}
		},
		"crashed engine": func(d *deployment) {
			d.engines.SetDown(engineID(0), true)
			time.Sleep(300 * time.Millisecond)
			d.engines.SetDown(engineID(0), false)
		},
		"all engines of a version crashed": func(d *deployment) {
			for i := range 4 {
				d.engines.SetDown(engineID(i), true)
			}
		},
		"engines of a version removed": func(d *deployment) {
			for i := range 4 {
				for _, daemon := range d.daemons {
					daemon.registry.RemoveReplica(engineID(i))
				}
				d.engines.SetDown(engineID(i), true)
			}
		},
		"holder killed":  func(d *deployment) { time.Sleep(time.Second); d.daemons[0].killAndWait() },
		"holder stopped": func(d *deployment) { d.daemons[0].runner.Stop(d.t.Context()) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				engines := newEngines(8)
				for i := range 8 {
					engines.SetSoftware(engineID(i), gypsum.SoftwareVersion(fmt.Sprint("v", 1+i/4)))
				}
				d := newDeployment(t, engines, 0.8, 0.8, 0.8)
				for _, daemon := range d.daemons {
					daemon.registry.ExpireRegistrations(false, time.Now())
				}
				submitted := newBatch("bat", 1, itemLengths(60, 12)...)
				d.submitBatch(0, submitted)
				time.Sleep(1500 * time.Millisecond)
				disturb(d)
				before := len(d.engines.Attempts())
				_, took := d.awaitResults(1, submitted, 20*time.Second)
				is.True(took < 11*time.Second)
				if strings.HasPrefix(name, "holder") {
					resumed := 0
					for _, attempt := range d.engines.Attempts()[before:] {
						if attempt.AfterEvent > 0 {
							resumed++
						}
					}
					is.True(resumed >= 10) // the long texts continue from their checkpoints
				}
			})
		})
	}
	t.Run("text of an ended batch", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			engines := newEngines(2)
			engines.SetSoftware("engine-1", "v1")
			engines.SetSoftware("engine-2", "v2")
			d := newDeployment(t, engines, 0.8)
			submitted := newBatch("bat", 1, itemLengths(0, 6)...)
			d.submitBatch(0, submitted)
			time.Sleep(2 * time.Second)
			is.NoErr(d.daemons[0].batches.EndBatch(t.Context(), submitted.ID))
			time.Sleep(100 * time.Millisecond)
			d.engines.SetHung("engine-1", true) // its texts cannot continue there
			again := newBatch("nex", 1, itemLengths(0, 6)...)
			for i := range again.Items {
				again.Items[i].ID = submitted.Items[i].ID
			}
			d.submitBatch(0, again)
			d.awaitResults(0, again, 30*time.Second)
		})
	})
}

// TestTextOfUnknownSoftwareVersion guards against a checkpoint that does not name the software version
// of its text and is continued at engines of the only version there is now: those of the version that
// generated it may have just left.
func TestTextOfUnknownSoftwareVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := newEngines(2)
		engines.SetSoftware("engine-1", "v2")
		engines.SetSoftware("engine-2", "v2")
		d := newDeployment(t, engines, 0.8, 0.8)
		submitted := newBatch("bat", 1, itemLengths(0, 1)...)
		d.submitBatch(0, submitted)
		time.Sleep(100 * time.Millisecond)
		d.daemons[0].killAndWait()
		checkpoint := &batch.Checkpoint{Batch: submitted.ID, Item: submitted.Items[0].ID, LastEvent: 20, Versions: []gypsum.WeightVersion{1}}
		is.NoErr(d.daemons[1].batches.StoreCheckpoint(t.Context(), checkpoint, "by v1"))
		d.awaitResults(1, submitted, 30*time.Second) // checks the text
		for _, attempt := range d.engines.Attempts() {
			is.Equal(attempt.AfterEvent, int64(0))
		}
	})
}

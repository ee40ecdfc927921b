package runner_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/fake"
)

// idleEventTime is the time per event on an otherwise idle engine.
const idleEventTime = 28 * time.Millisecond

// newEngines returns engines that generate as many events as an item's id encodes.
func newEngines(count int) *fake.BatchEngines {
	engines := fake.NewBatchEngines(count, 16, idleEventTime, testModel)
	engines.EventCount = eventCountOf
	return engines
}

// itemLengths returns the lengths of a number of short and long items.
func itemLengths(short, long int) []int64 {
	var all []int64
	for range short {
		all = append(all, 12)
	}
	for range long {
		all = append(all, 110)
	}
	return all
}

// The daemon that accepts a batch runs it, and all daemons read the same results.
// Submitting the batch again starts nothing.
func TestBatchRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, newEngines(8), 0.8, 0.8, 0.8)
		submitted := newBatch("bat", 1, itemLengths(60, 4)...)
		d.submitBatch(0, submitted)
		results, took := d.awaitResults(0, submitted, 10*time.Second)
		is.True(took < 5*time.Second)
		is.Equal(d.holderKnownTo(1), gypsum.HostID("host-1"))
		otherResults, _ := d.awaitResults(2, submitted, 10*time.Second)
		is.Equal(results, otherResults)
		is.Equal(len(d.engines.Attempts()), 64) // no item ran twice
		is.NoErr(d.daemons[1].batches.AcceptBatch(t.Context(), submitted))
		is.Equal(len(d.engines.Attempts()), 64) // the repeated submission started nothing
	})
}

// When the holder is killed, another daemon resumes the long items from their last
// checkpoints, in time for the step.
func TestHolderKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, newEngines(8), 0.8, 0.8, 0.8)
		submitted := newBatch("bat", 1, itemLengths(60, 4)...)
		d.submitBatch(0, submitted)
		time.Sleep(2500 * time.Millisecond)
		d.daemons[0].killAndWait()
		_, took := d.awaitResults(1, submitted, 15*time.Second)
		is.True(took < 7500*time.Millisecond) // in time despite the takeover
		resumed := 0
		for _, attempt := range d.engines.Attempts() {
			if attempt.AfterEvent > 0 {
				resumed++
			}
		}
		is.Equal(resumed, 4)
	})
}

// A holder that stops checkpoints its attempts and releases the service, so that the
// next holder restarts no long item from the beginning.
func TestHolderStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, newEngines(8), 0.8, 0.8, 0.8)
		submitted := newBatch("bat", 1, itemLengths(60, 4)...)
		d.submitBatch(0, submitted)
		time.Sleep(time.Second)
		d.daemons[0].runner.Stop(t.Context())
		_, took := d.awaitResults(1, submitted, 15*time.Second)
		is.True(took < 5500*time.Millisecond)
		is.True(d.holderKnownTo(1) != "host-1")
		resumed := 0
		for _, attempt := range d.engines.Attempts() {
			if attempt.AfterEvent > 20 {
				resumed++
			}
		}
		is.Equal(resumed, 4) // all long items were resumed
	})
}

// A daemon on a strong host claims a service before one on a weak host, even if the
// latter accepted the batch.
func TestStrongHostClaimsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, newEngines(4), 0.19, 0.19, 0.8, 0.19)
		submitted := newBatch("bat", 1, itemLengths(20, 0)...)
		d.submitBatch(0, submitted)
		d.awaitResults(0, submitted, 10*time.Second)
		is.Equal(d.holderKnownTo(0), gypsum.HostID("host-3"))
	})
}

// A daemon on a weak host releases its service once one on a strong host has joined,
// which then holds it. After the latter is gone, batches still complete.
func TestWeakHostReleasesService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, newEngines(4), 0.19, 0.19)
		is.NoErr(d.daemons[0].batches.RecordDaemon(t.Context(), "a", gypsum.Location{}, 0.19))
		submitted := newBatch("bat", 1, itemLengths(20, 4)...)
		d.submitBatch(0, submitted)
		time.Sleep(time.Second)
		weakHolder := d.holderKnownTo(0)
		is.True(weakHolder != "")
		strong := d.startDaemon("host-3", 0.8)
		d.daemons = append(d.daemons, strong)
		time.Sleep(100 * time.Millisecond)
		is.NoErr(strong.batches.RecordDaemon(t.Context(), "c", gypsum.Location{}, 0.8))
		second := newBatch("nex", 1, itemLengths(20, 4)...)
		time.Sleep(3 * time.Second)
		second.SubmittedAt = time.Now()
		d.submitBatch(0, second)
		d.awaitResults(0, submitted, 20*time.Second)
		_, took := d.awaitResults(1, second, 20*time.Second)
		is.True(took < 6*time.Second)
		is.Equal(d.holderKnownTo(0), gypsum.HostID("host-3"))
		strong.killAndWait()
		last := newBatch("las", 1, itemLengths(20, 4)...)
		d.submitBatch(0, last)
		_, took = d.awaitResults(0, last, 20*time.Second)
		is.True(took < 12*time.Second)
	})
}

// A holder that cannot reach the store is replaced. Once it reaches the store again, it
// stops holding the service, and each item has one result although both daemons ran it.
func TestHolderCutFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, newEngines(8), 0.8, 0.8)
		submitted := newBatch("bat", 1, itemLengths(30, 4)...)
		d.submitBatch(0, submitted)
		time.Sleep(300 * time.Millisecond)
		d.daemons[0].direct.SetDisconnected(true)
		results, took := d.awaitResults(1, submitted, 15*time.Second)
		is.True(took < 7500*time.Millisecond)
		d.daemons[0].direct.SetDisconnected(false)
		time.Sleep(5 * time.Second)
		again, _ := d.awaitResults(0, submitted, 30*time.Second)
		is.Equal(results, again)
		is.Equal(d.holderKnownTo(0), gypsum.HostID("host-2"))
	})
}

// A holder that reaches the store only through another daemon keeps the service, and no
// item runs twice.
func TestHolderReachesStoreThroughPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := startDeployment(&deployment{t: t, store: fake.NewKeyedStore(), engines: newEngines(8), useProxies: true}, []float64{0.8, 0.8, 0.8})
		submitted := newBatch("bat", 1, itemLengths(30, 4)...)
		d.submitBatch(0, submitted)
		time.Sleep(300 * time.Millisecond)
		d.daemons[0].direct.SetDisconnected(true)
		_, took := d.awaitResults(1, submitted, 15*time.Second)
		is.True(took < 5*time.Second)
		is.Equal(d.holderKnownTo(1), gypsum.HostID("host-1"))
		is.Equal(len(d.engines.Attempts()), 34)
	})
}

// During a store outage and right after it, the holder keeps running its batches and no
// other daemon claims the service. Results from during the outage are stored after it.
// The outage begins at ten points between heartbeats.
func TestStoreAway(t *testing.T) {
	for name, fault := range map[string]fake.KeyedFault{"silent": fake.KeyedHang, "refuses": fake.KeyedRefused} {
		for i := range 10 {
			t.Run(fmt.Sprint(name, i), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					d := newDeployment(t, newEngines(8), 0.8, 0.8, 0.8, 0.8, 0.8, 0.8)
					submitted := newBatch("bat", 1, itemLengths(30, 4)...)
					d.submitBatch(0, submitted)
					other := newBatch("oth", 1, 110)
					time.Sleep(300*time.Millisecond + time.Duration(i)*37*time.Millisecond)
					d.submitBatch(1, other) // the daemon that accepted an open batch claims without delay
					d.store.SetFault(fault)
					time.Sleep(6 * time.Second)
					d.store.SetFault(0)
					_, took := d.awaitResults(1, submitted, 15*time.Second)
					is.True(took < 7500*time.Millisecond) // the outage delays the batch by no more than itself
					is.Equal(d.holderKnownTo(1), gypsum.HostID("host-1"))
					d.awaitResults(1, other, 15*time.Second)
					is.Equal(len(d.engines.Attempts()), 35) // no item ran twice
				})
			})
		}
	}
}

// After the loss of all daemons, new ones recover every batch from the store.
func TestAllHostsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, newEngines(8), 0.8, 0.8)
		submitted := newBatch("bat", 1, itemLengths(30, 4)...)
		d.submitBatch(0, submitted)
		time.Sleep(1500 * time.Millisecond)
		for _, daemon := range d.daemons {
			daemon.killAndWait()
		}
		d.store.ExpireHistory()
		time.Sleep(time.Second)
		d.daemons = append(d.daemons, d.startDaemon("host-1", 0.8), d.startDaemon("host-3", 0.8))
		_, took := d.awaitResults(3, submitted, 30*time.Second)
		is.True(took < 10*time.Second)
	})
}

// An engine that becomes slow, stops responding or crashes does not stall a step.
func TestEngineFaults(t *testing.T) {
	faults := map[string]func(*fake.BatchEngines){
		"slow":    func(e *fake.BatchEngines) { e.SetEventTime("engine-1", 4*idleEventTime) },
		"silent":  func(e *fake.BatchEngines) { e.SetHung("engine-1", true) },
		"crashed": func(e *fake.BatchEngines) { e.SetDown("engine-1", true) },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newDeployment(t, newEngines(4), 0.8, 0.8)
				submitted := newBatch("bat", 1, itemLengths(20, 8)...)
				d.submitBatch(0, submitted)
				time.Sleep(700 * time.Millisecond)
				inject(d.engines)
				_, took := d.awaitResults(0, submitted, 15*time.Second)
				is.True(took < 7*time.Second) // 110 events take 3.1 to 4.2 s without the fault
			})
		})
	}
}

// A published version of the service's only model is loaded on all engines, a few at a
// time, and no result comes from a version below the batch's minimum.
func TestPublishedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, newEngines(8), 0.8, 0.8)
		first := newBatch("ba1", 1, itemLengths(30, 2)...)
		d.submitBatch(0, first)
		d.awaitResults(0, first, 10*time.Second)
		for _, daemon := range d.daemons {
			daemon.registry.ApplyVersion(testModel, 2)
		}
		second := newBatch("ba2", 2, itemLengths(30, 2)...)
		d.submitBatch(0, second)
		_, took := d.awaitResults(0, second, 20*time.Second)
		is.True(took < 6*time.Second)
		time.Sleep(6 * time.Second)
		orders := d.engines.LoadOrders()
		is.Equal(len(orders), 8) // one load per engine
		for i := range orders {
			concurrent := 0
			for j := range orders {
				if gap := orders[i].AcceptedAt.Sub(orders[j].AcceptedAt); gap >= 0 && gap < d.engines.LoadTime {
					concurrent++
				}
			}
			is.True(concurrent <= 2) // at most two loads at the same time
		}
	})
}

// Events of a version below the batch's minimum are rejected, even if the engines'
// registrations state a newer version.
func TestOldVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, newEngines(2), 0.8, 0.8)
		for _, replica := range d.engines.Replicas(testService) {
			replica.Models[testModel], replica.Incarnation = 2, 1
			d.daemons[0].registry.ApplyReplica(replica)
		}
		submitted := newBatch("bat", 2, itemLengths(6, 0)...)
		d.submitBatch(0, submitted)
		time.Sleep(2 * time.Second)
		_, results, err := d.daemons[0].batches.ReadResults(t.Context(), submitted.ID, 0, 0)
		is.NoErr(err)
		is.Equal(len(results), 0)
		for _, replica := range d.engines.Replicas(testService) {
			status, err := d.engines.SendLoadOrder(t.Context(), &gypsum.ReplicaLoadOrder{Replica: replica, Model: testModel, Version: 2, FencingToken: 1})
			is.NoErr(err)
			is.Equal(status, gypsum.LoadOrderAccepted)
		}
		d.awaitResults(0, submitted, 10*time.Second)
	})
}

// After a takeover, the new holder's load orders carry a higher fencing token, and none
// is sent before the lease of the previous holder has expired.
func TestOrdersAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, newEngines(4), 0.8, 0.8)
		d.daemons[0].registry.ApplyVersion(testModel, 2)
		d.daemons[1].registry.ApplyVersion(testModel, 2)
		submitted := newBatch("bat", 1, itemLengths(10, 8)...)
		d.submitBatch(0, submitted)
		time.Sleep(1200 * time.Millisecond)
		beforeTakeover := d.engines.LoadOrders()
		is.True(len(beforeTakeover) > 0)
		d.daemons[0].killAndWait()
		killed := time.Now()
		time.Sleep(12 * time.Second)
		afterTakeover := d.engines.LoadOrders()[len(beforeTakeover):]
		is.True(len(afterTakeover) > 0)
		for _, order := range afterTakeover {
			is.True(order.Holder == "host-2" && order.FencingToken > beforeTakeover[0].FencingToken)
			is.True(order.AcceptedAt.Sub(killed) >= testLease)
		}
	})
}

// An item that fails on every engine gets an errored result after the number of attempts
// that its batch allows, an invalid item after the first attempt.
func TestFailingItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := newEngines(4)
		d := newDeployment(t, engines, 0.8, 0.8)
		submitted := newBatch("bat", 1, 12, 13, 14)
		failing, invalid := submitted.Items[1].ID, submitted.Items[2].ID
		engines.AttemptError = func(_ gypsum.BackendID, item gypsum.ItemID) error {
			switch item {
			case failing:
				return gypsum.ErrItemFailed
			case invalid:
				return gypsum.ErrItemInvalid
			}
			return nil
		}
		d.submitBatch(0, submitted)
		results, _ := d.awaitResults(0, submitted, 10*time.Second)
		attempts := make(map[gypsum.ItemID]int)
		for _, attempt := range engines.Attempts() {
			attempts[attempt.Item]++
		}
		is.Equal(attempts[failing], submitted.MaxAttempts)
		is.Equal(attempts[invalid], 1)
		for _, result := range results {
			is.Equal(result.State == gypsum.ItemErrored, result.Item == failing || result.Item == invalid)
		}
	})
}

// An engine that fails every attempt immediately has free slots all the time. It must
// not use up the attempts of any item: all batches complete, and after the first one
// the engine gets few attempts.
func TestAlwaysFailingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := newEngines(3)
		d := newDeployment(t, engines, 0.8, 0.8)
		failed := 0
		engines.AttemptError = func(engine gypsum.BackendID, _ gypsum.ItemID) error {
			if engine == "engine-1" {
				failed++
				return gypsum.ErrItemFailed
			}
			return nil
		}
		lengths := make([]int64, 24)
		for i := range lengths {
			lengths[i] = int64(10 + i%7)
		}
		for number := range 4 {
			submitted := newBatch(fmt.Sprint("grey", number), 1, lengths...)
			d.submitBatch(0, submitted)
			results, _ := d.awaitResults(0, submitted, 10*time.Second)
			for _, result := range results {
				is.Equal(result.State, gypsum.ItemCompleted)
			}
		}
		t.Logf("failed attempts: %d", failed)
		is.True(failed <= len(lengths)/2)
	})
}

// Attempts on engines that stop responding are cancelled and started on others early
// enough for the batch to complete in time.
func TestSilentEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := newEngines(3)
		d := newDeployment(t, engines, 0.8, 0.8)
		submitted := newBatch("silent", 1, 10, 11, 12, 13)
		engines.SetHung("engine-1", true)
		engines.SetHung("engine-2", true)
		d.submitBatch(0, submitted)
		_, took := d.awaitResults(0, submitted, 10*time.Second)
		t.Logf("batch completed after %s", took)
		is.True(took <= 2*time.Second)
	})
}

// Ending a batch cancels its attempts. Items that are submitted again in the next step
// resume from their saved texts.
func TestEndedBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, newEngines(4), 0.8, 0.8)
		submitted := newBatch("bat", 1, itemLengths(4, 2)...)
		d.submitBatch(0, submitted)
		time.Sleep(1500 * time.Millisecond)
		is.NoErr(d.daemons[1].batches.EndBatch(t.Context(), submitted.ID))
		time.Sleep(time.Second)
		next := newBatch("nex", 1)
		next.Items = submitted.Items[4:]
		d.submitBatch(0, next)
		d.awaitResults(0, next, 10*time.Second)
		for _, attempt := range d.engines.Attempts()[6:] {
			is.True(attempt.AfterEvent > 30) // resumed after the events of the ended batch
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.NoErr(d.daemons[0].batches.EndBatch(ctx, submitted.ID)) // ending a batch is idempotent
	})
}

// If each text must come from one version, loads wait for the attempts on their engine
// and new items start on engines without a pending load, so that no item is restarted
// for a new version.
func TestSingleVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, newEngines(6), 0.8, 0.8)
		total := 0
		version := gypsum.WeightVersion(1)
		for step := range 4 {
			submitted := newBatch(fmt.Sprint("st", step), max(1, version-1), itemLengths(40, 4)...)
			submitted.SingleVersion = true
			d.submitBatch(0, submitted)
			time.Sleep(300 * time.Millisecond)
			version++
			for _, daemon := range d.daemons {
				daemon.registry.ApplyVersion(testModel, version)
			}
			results, took := d.awaitResults(0, submitted, 20*time.Second)
			is.True(took < 7500*time.Millisecond)
			for _, result := range results {
				is.Equal(len(result.Versions), 1)
			}
			total += len(results)
		}
		is.Equal(len(d.engines.Attempts()), total) // no item was restarted
		time.Sleep(10 * time.Second)
		for _, replica := range d.engines.Replicas(testService) {
			is.Equal(replica.Models[testModel], version)
		}
	})
}

// An item that moves from engine to engine is checkpointed like any other, so that it does
// not start from the beginning when its holder is lost.
func TestMovedItemIsCheckpointed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, newEngines(4), 0.8, 0.8)
		submitted := newBatch("bat", 1, 200)
		d.submitBatch(0, submitted)
		for range 5 {
			time.Sleep(600 * time.Millisecond)
			attempts := d.engines.Attempts()
			for _, replica := range d.engines.Replicas(testService) {
				d.engines.SetEventTime(replica.ID, idleEventTime)
			}
			d.engines.SetEventTime(attempts[len(attempts)-1].Engine, 8*idleEventTime)
		}
		moves := d.daemons[0].runner.Stats.ItemsMoved.Load()
		is.True(moves >= 3)
		before := len(d.engines.Attempts())
		d.daemons[0].killAndWait()
		d.awaitResults(1, submitted, 30*time.Second)
		is.True(d.engines.Attempts()[before].AfterEvent > 10)
	})
}

// The failed attempts of an item count over a change of the holder: an item that has failed
// twice fails at its next failure under the new holder.
func TestFailedAttemptsCountOverHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := newEngines(4)
		d := newDeployment(t, engines, 0.8, 0.8)
		submitted := newBatch("bat", 1, 12)
		var attempts atomic.Int64
		engines.AttemptError = func(gypsum.BackendID, gypsum.ItemID) error {
			if attempts.Add(1) > 2 {
				time.Sleep(time.Second) // the holder is killed during the third attempt
			}
			return gypsum.ErrItemFailed
		}
		d.submitBatch(0, submitted)
		time.Sleep(500 * time.Millisecond)
		is.Equal(attempts.Load(), int64(3))
		d.daemons[0].killAndWait()
		results, _ := d.awaitResults(1, submitted, 15*time.Second)
		is.Equal(results[0].State, gypsum.ItemErrored)
		is.Equal(attempts.Load(), int64(4)) // the killed attempt was not counted
	})
}

// The newest record of an item's failure counts is the one with the highest counts, although
// failures at the same moment are stored in the background.
func TestNewestFailureCounts(t *testing.T) {
	for range 100 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			engines := newEngines(4)
			d := newDeployment(t, engines, 0.8)
			engines.AttemptError = func(gypsum.BackendID, gypsum.ItemID) error { return gypsum.ErrItemFailed }
			submitted := newBatch("bat", 1, 12)
			d.submitBatch(0, submitted)
			d.awaitResults(0, submitted, 5*time.Second)
			time.Sleep(100 * time.Millisecond)
			page, err := d.store.LatestRecords(t.Context(), "keyed.state", 0, "")
			is.NoErr(err)
			for _, record := range page.Records {
				if strings.HasPrefix(record.Key, "f/") {
					var failures batch.Failures
					is.NoErr(cbor.Unmarshal(record.Value, &failures))
					is.Equal(failures.Failed, 3)
				}
			}
		})
	}
}

// An engine whose texts do not end does not fail the items: they are generated elsewhere.
func TestEndlessTexts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := newEngines(3)
		engines.AttemptError = func(engine gypsum.BackendID, _ gypsum.ItemID) error {
			if engine == "engine-1" {
				time.Sleep(100 * time.Millisecond)
				return gypsum.ErrTextTooLong
			}
			return nil
		}
		d := newDeployment(t, engines, 0.8)
		submitted := newBatch("bat", 1, itemLengths(40, 2)...)
		d.submitBatch(0, submitted)
		results, took := d.awaitResults(0, submitted, 20*time.Second)
		for _, result := range results {
			is.Equal(result.State, gypsum.ItemCompleted)
		}
		is.True(took < 7500*time.Millisecond)
	})
}

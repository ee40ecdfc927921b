package runner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
)

// errored returns how many results are not completed.
func errored(results []gypsum.BatchResult) (count int) {
	for _, result := range results {
		if result.State != gypsum.ItemCompleted {
			count++
		}
	}
	return count
}

// A holder whose configuration is older than the one by which another daemon accepted a batch does
// not know the batch's route yet. It must not fail the items for that.
func TestBatchOnRouteUnknownToHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, newEngines(4), 0.8, 0.8)
		first := newBatch("first", 1, itemLengths(12, 0)...)
		d.submitBatch(0, first)
		d.awaitResults(0, first, 10*time.Second)
		is.Equal(d.holderKnownTo(1), gypsum.HostID("host-1"))
		d.daemons[1].registry.ApplyConfig(newConfig(2, "rank"))
		second := newBatch("second", 1, itemLengths(12, 0)...)
		second.Route = "rank"
		d.submitBatch(1, second)
		results, _ := d.awaitResults(1, second, 10*time.Second)
		is.Equal(errored(results), 0)
	})
}

// The items of a batch fail once its route is known to be removed, also if the daemon has held the
// service with an older configuration before.
func TestBatchOnRemovedRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, newEngines(4), 0.8)
		registry := d.daemons[0].registry
		registry.ConfirmConfig(d.clock())
		submitted := newBatch("bat", 1, itemLengths(0, 4)...)
		submitted.Route = "rank"
		d.submitBatch(0, submitted)
		time.Sleep(time.Second)
		registry.ApplyConfig(newConfig(2, "rank"))
		registry.ConfirmConfig(d.clock())
		time.Sleep(time.Second)
		removedAt := d.clock()
		registry.ApplyConfig(newConfig(3))
		registry.ConfirmConfig(removedAt)
		results, _ := d.awaitResults(0, submitted, 10*time.Second)
		is.Equal(errored(results), 4)
		is.True(d.clock()-removedAt < 200*time.Millisecond)
	})
}

// TestBatchOnSplitRoute guards against a batch that runs at a service to which its route gives no share.
func TestBatchOnSplitRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, newEngines(4), 0.8)
		config := newConfig(2, "rank")
		for i := range config.Routes {
			if config.Routes[i].Name == "rank" {
				config.Routes[i].Services = []gypsum.WeightedService{{Service: "former", Weight: 0}, {Service: testService, Weight: 100}}
			}
		}
		d.daemons[0].registry.ApplyConfig(config)
		submitted := newBatch("bat", 1, itemLengths(4, 0)...)
		submitted.Route = "rank"
		d.submitBatch(0, submitted)
		results, _ := d.awaitResults(0, submitted, 10*time.Second)
		is.Equal(len(results), 4)
		is.Equal(errored(results), 0)
	})
}

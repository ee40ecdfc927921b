package runner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
)

// A store that stops responding between two heartbeats makes no daemon claim the service, in
// spite of the silence: the reads in flight only show later that the store is at fault. The
// outage begins at ten points between heartbeats.
func TestNoClaimsDuringOutage(t *testing.T) {
	for i := range 10 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, newEngines(8), 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8)
			submitted := newBatch("bat", 1, itemLengths(30, 4)...)
			d.submitBatch(0, submitted)
			time.Sleep(600*time.Millisecond + time.Duration(i)*37*time.Millisecond)
			d.store.SetFault(fake.KeyedHang)
			time.Sleep(5 * time.Second)
			claims := int64(0)
			for _, daemon := range d.daemons[1:] {
				claims += daemon.runner.Stats.Claims.Load()
			}
			is.Equal(claims, int64(0))
			d.store.SetFault(0)
			d.awaitResults(1, submitted, 15*time.Second)
			is.Equal(d.holderKnownTo(1), gypsum.HostID("host-1"))
		})
	}
}

// A daemon whose claim got no response claims again once the store responds.
func TestClaimIsRepeated(t *testing.T) {
	for i := range 10 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, newEngines(4), 0.8, 0.8)
			first := newBatch("bat", 1, itemLengths(10, 2)...)
			d.submitBatch(0, first)
			time.Sleep(300 * time.Millisecond)
			d.daemons[0].killAndWait()
			// Appends hang from the moment of the claim on, while reads are still served.
			for d.daemons[1].runner.Stats.Claims.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			d.daemons[1].direct.SetAppendsHang(true)
			time.Sleep(4*time.Second + time.Duration(i)*10*time.Millisecond)
			d.daemons[1].direct.SetAppendsHang(false)
			_, took := d.awaitResults(1, first, 30*time.Second)
			is.True(took < 14*time.Second)
		})
	}
}

// TestNoLoadOrdersBeforeHeartbeatIsRead guards against a holder that was cut off from the store and
// whose appends succeed again before its reads: it does not know yet that another daemon has claimed
// the service, and must not send load orders on the strength of its heartbeat alone.
func TestNoLoadOrdersBeforeHeartbeatIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, newEngines(4), 0.8, 0.8)
		submitted := newBatch("bat", 1, itemLengths(40, 2)...)
		d.submitBatch(0, submitted)
		time.Sleep(500 * time.Millisecond)
		is.Equal(d.holderKnownTo(0), gypsum.HostID("host-1"))
		d.daemons[0].direct.SetReadsHang(true)
		time.Sleep(1100 * time.Millisecond) // reads go through the other daemon 0.35 s later
		d.daemons[0].registry.ApplyVersion(testModel, 2)
		time.Sleep(250 * time.Millisecond)
		is.Equal(len(d.engines.LoadOrders()), 0)
		d.daemons[0].direct.SetReadsHang(false)
		d.awaitResults(0, submitted, 20*time.Second)
		is.True(len(d.engines.LoadOrders()) > 0)
	})
}

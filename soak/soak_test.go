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
	seeds    = flag.Int("seeds", 1, "number of seeds")
	first    = flag.Uint64("seed", 7, "first seed, 0 for a fresh one")
	duration = flag.Duration("for", 12*time.Second, "time of faults for each seed")
	hosts    = flag.Int("hosts", 4, "number of daemons")
)

// settleTime is how long after the last fault all that was accepted must be whole.
const settleTime = 20 * time.Second

// TestSoak plays faults in series and overlapping, and checks the promises meanwhile
// and at the end.
func TestSoak(t *testing.T) {
	begin := *first
	if begin == 0 {
		begin = uint64(time.Now().UnixNano())
	}
	for i := range *seeds {
		seed := begin + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { play(t, seed) })
	}
}

// play plays one seed.
func play(t *testing.T, seed uint64) {
	w := newWorld(t, *hosts)
	c := newClients(w)
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range 3 {
		name, random := fmt.Sprint("live", i), rand.New(rand.NewPCG(seed, uint64(i)))
		running.Go(func() { c.live(ctx, name, random) })
	}
	running.Go(func() { c.train(ctx, "train", rand.New(rand.NewPCG(seed, 10))) })
	faults(w, rand.New(rand.NewPCG(seed, 20)))
	time.Sleep(2 * time.Second)
	stop()
	running.Wait()
	settle(w, c)
	t.Logf("calls %d, served %d, refused %d of those that run once; batches %d, runs of items %d, orders %d",
		c.calls, c.served, len(c.refused), len(c.batches), len(w.engines.Runs()), len(w.engines.Orders()))
}

// faults plays faults for a time and mends them all.
func faults(w *world, random *rand.Rand) {
	var open sync.WaitGroup
	for end := time.Now().Add(*duration); time.Now().Before(end); {
		begin, mend := pick(w, random)
		lasts := time.Duration(300+random.IntN(2700)) * time.Millisecond
		begin()
		open.Go(func() {
			time.Sleep(lasts)
			mend()
		})
		time.Sleep(time.Duration(100+random.IntN(900)) * time.Millisecond)
	}
	open.Wait()
	w.store.SetFault(0)
	for _, host := range w.hosts {
		host.path.setFault(proxyPasses)
		host.signal(syscall.SIGCONT)
		w.awaitReady(host)
	}
}

// pick returns a fault and what mends it.
func pick(w *world, random *rand.Rand) (begin, mend func()) {
	host, replica := w.hosts[random.IntN(len(w.hosts))], w.replicas[random.IntN(len(w.replicas))]
	path := []proxyFault{proxySilent, proxyDeaf, proxySlow, proxyRefuses}[random.IntN(4)]
	fault := []fake.KeyedFault{fake.KeyedRefuse, fake.KeyedSilent, fake.KeyedLost, fake.KeyedLate}[random.IntN(4)]
	answers := []mimic.Fault{
		mimic.FaultMismatch, mimic.FaultTruncated, mimic.FaultReset, mimic.FaultUnsigned, mimic.FaultBusy, mimic.FaultError, mimic.FaultSilent, mimic.FaultWrongReplica,
	}[random.IntN(8)]
	kind := random.IntN(10)
	if kind <= 2 && !host.busy.CompareAndSwap(false, true) {
		kind = 3 // one fault of a process at a time
	}
	restart := func() {
		host.wait()
		w.start(host)
		host.busy.Store(false)
	}
	switch kind {
	case 0:
		return host.kill, restart
	case 1:
		return func() { host.signal(syscall.SIGSTOP) }, func() {
			host.signal(syscall.SIGCONT)
			host.busy.Store(false)
		}
	case 2:
		return func() { host.signal(syscall.SIGTERM) }, restart
	case 3, 4:
		return func() { host.path.setFault(path) }, func() { host.path.setFault(proxyPasses) }
	case 5:
		return func() { w.store.SetFault(fault) }, func() { w.store.SetFault(0) }
	case 6:
		return w.store.Forget, func() {}
	case 7:
		if replica.Engines == nil {
			return func() { replica.SetFault(answers) }, func() { replica.SetFault("") }
		}
		return func() { w.engines.Slow(replica.ID, 5*eventPace) }, func() { w.engines.Slow(replica.ID, eventPace) }
	case 8:
		if replica.Engines == nil {
			return func() { replica.dead.Store(true) }, func() { replica.dead.Store(false) }
		}
		return func() { w.engines.Silence(replica.ID, true) }, func() { w.engines.Silence(replica.ID, false) }
	}
	return func() { replica.dead.Store(true) }, func() {
		replica.born.Store(time.Now().UnixMilli())
		replica.dead.Store(false)
	}
}

// settle waits until all that was accepted is whole, and checks it at each daemon.
func settle(w *world, c *clients) {
	deadline := time.Now().Add(settleTime)
	for _, seen := range c.batches {
		for seen.accepted && !seen.ended && len(seen.results) < len(seen.items) && time.Now().Before(deadline) {
			c.read(w.t.Context(), seen, w.hosts[0])
			time.Sleep(readPause)
		}
		if seen.accepted && !seen.ended && len(seen.results) < len(seen.items) {
			w.t.Errorf("batch %s has %d of %d results %s after the last fault", seen.id, len(seen.results), len(seen.items), settleTime)
		}
		for _, host := range w.hosts {
			reread(w, c, seen, host)
		}
	}
	ran := make(map[string]int)
	for _, replica := range w.replicas {
		for _, id := range replica.ExecutedRequests() {
			ran[id]++
		}
	}
	for _, id := range c.once {
		if ran[id] > 1 {
			w.t.Errorf("request %s may run once and ran %d times", id, ran[id])
		}
	}
	for _, id := range c.refused {
		if ran[id] > 0 {
			w.t.Errorf("request %s was refused as not run, and ran", id)
		}
	}
	for _, seen := range c.batches {
		if seen.accepted || seen.unsure {
			continue
		}
		for _, run := range w.engines.Runs() {
			for _, item := range seen.items {
				if run.Item == gypsum.ItemID(item) {
					w.t.Errorf("batch %s was refused, and its item %s ran", seen.id, item)
				}
			}
		}
	}
	if c.served*10 < c.calls*3 {
		w.t.Errorf("%d of %d calls served", c.served, c.calls)
	}
}

// reread reads a batch from its beginning at a daemon and compares.
func reread(w *world, c *clients, seen *batchSeen, host *hostProcess) {
	if !seen.accepted {
		return
	}
	again := &batchSeen{id: seen.id, items: seen.items, least: seen.least, ended: seen.ended}
	for deadline := time.Now().Add(5 * time.Second); len(again.results) < len(seen.results) && time.Now().Before(deadline); {
		c.read(w.t.Context(), again, host)
	}
	if len(again.results) < len(seen.results) {
		w.t.Errorf("batch %s: %s lists %d of %d results", seen.id, host.name, len(again.results), len(seen.results))
		return
	}
	for i, known := range seen.results {
		if got := again.results[i]; got.Item != known.Item || got.Text != known.Text {
			w.t.Errorf("batch %s: position %d is %s at %s, and was %s", seen.id, i, got.Item, host.name, known.Item)
		}
	}
}

// TestClientsSeeFaults shows that the checks see what they are for: a batch that
// nobody runs is missed.
func TestClientsSeeFaults(t *testing.T) {
	w := newWorld(t, 1)
	c := newClients(w)
	random := rand.New(rand.NewPCG(1, 1))
	status, body := c.call(t.Context(), w.hosts[0], http.MethodPost, "/i/x", "q1", []byte("x"))
	if status != http.StatusOK || string(body) != mimic.PlainBody("q1", "/i/x", []byte("x")) {
		t.Fatalf("status %d, body %q", status, body)
	}
	seen := &batchSeen{id: "b", least: 1}
	c.submit(t.Context(), seen, random)
	for deadline := time.Now().Add(10 * time.Second); len(seen.results) < len(seen.items) && time.Now().Before(deadline); time.Sleep(readPause) {
		c.read(t.Context(), seen, w.hosts[0])
	}
	if !seen.accepted || len(seen.results) != len(seen.items) {
		t.Fatalf("accepted %t, %d of %d results", seen.accepted, len(seen.results), len(seen.items))
	}
}

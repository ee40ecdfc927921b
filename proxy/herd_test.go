package proxy_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/pace"
	"github.com/gypsumhook/gypsum/proxy"
	"github.com/gypsumhook/gypsum/store"
)

// The topics that each daemon of a herd follows.
const (
	configTopic  = gypsum.Topic("keyed.config")
	replicaTopic = gypsum.Topic("keyed.replicas")
	stateTopic   = gypsum.Topic("keyed.state")
)

// herdDaemon is one daemon of a herd: its calls to the store and the topics that it follows.
type herdDaemon struct {
	store     *proxy.Store
	followers []*store.Follower

	mu      sync.Mutex
	daemons map[string]bool
}

// herd is a set of daemons that start at nearly the same time.
type herd struct {
	limited *fake.LimitedStore
	backing *fake.KeyedStore
	daemons []*herdDaemon
	stop    context.CancelFunc
	ended   chan error
	count   atomic.Int64
}

// classOf returns the class of a call of a herd's daemon.
func classOf(topic gypsum.Topic, write bool) pace.Class {
	switch {
	case write:
		return pace.ClassClaims
	case topic == configTopic:
		return pace.ClassConfig
	case topic == replicaTopic:
		return pace.ClassRegistrations
	}
	return pace.ClassBatches
}

// newHerd returns count daemons, which start within spread, of a deployment whose store allows a
// number of reads per second, of which the daemons know, and contains the records of all of them,
// of 300 replicas and of pages of batches.
func newHerd(t *testing.T, count int, known, allowed float64, window, spread time.Duration) *herd {
	h := &herd{backing: fake.NewKeyedStore(), ended: make(chan error, 8*count)}
	h.backing.Latency = 4 * time.Millisecond
	h.limited = &fake.LimitedStore{KeyedStore: h.backing, ReadsPerSecond: allowed, WritesPerSecond: 0.4 * allowed, Window: window}
	h.backing.AppendDirectly(configTopic, gypsum.KeyedRecord{Key: "config", Value: []byte("v")})
	for i := range 300 {
		h.backing.AppendDirectly(replicaTopic, gypsum.KeyedRecord{Key: fmt.Sprint("replica", i), Value: []byte("v")})
	}
	for i := range 1200 {
		h.backing.AppendDirectly(stateTopic, gypsum.KeyedRecord{Key: fmt.Sprint("b/", i), Value: []byte("v")})
	}
	for i := range count {
		h.backing.AppendDirectly(stateTopic, gypsum.KeyedRecord{Key: fmt.Sprint("n/", i), Value: []byte("v")})
	}
	var ctx context.Context
	ctx, h.stop = context.WithCancel(t.Context())
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	for i := range count {
		d := &herdDaemon{daemons: make(map[string]bool)}
		d.store = &proxy.Store{
			DirectStore: h.limited, ListPeers: func() []gypsum.Peer { return nil }, Self: gypsum.HostID(fmt.Sprint(i)),
			ProbeRead: gypsum.KeyedRead{Topic: stateTopic, Max: 1}, Logger: logger, Class: classOf,
		}
		intervals := map[gypsum.Topic]time.Duration{configTopic: 0, replicaTopic: 250 * time.Millisecond, stateTopic: 40 * time.Millisecond}
		for _, topic := range []gypsum.Topic{configTopic, replicaTopic, stateTopic} {
			d.followers = append(d.followers, &store.Follower{
				Store: d.store, Topic: topic, MinReadInterval: intervals[topic], Logger: logger, Handle: d.handle, Patience: 3 * time.Second,
			})
		}
		h.daemons = append(h.daemons, d)
		delay := rand.N(spread)
		h.start(func() error {
			time.Sleep(delay)
			d.store.Reads, d.store.Writes = pace.NewGate(pace.Use{Allowance: known, Need: 45}), pace.NewGate(pace.Use{Allowance: 0.4 * known, Need: 10, Users: 16})
			for _, follower := range d.followers {
				h.start(func() error { return follower.Run(ctx) })
			}
			h.start(func() error { return d.store.Run(ctx) })
			h.start(func() error { return d.count(ctx) })
			return nil
		})
	}
	return h
}

// start runs a function in a goroutine of the herd.
func (h *herd) start(run func() error) {
	h.count.Add(1)
	go func() { h.ended <- run() }()
}

// handle collects the names of the daemons in the state topic.
func (d *herdDaemon) handle(update store.Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range update.Records {
		if strings.HasPrefix(update.Records[i].Key, "n/") {
			d.daemons[update.Records[i].Key] = true
		}
	}
}

// count tells the gates the number of known daemons until ctx ends.
func (d *herdDaemon) count(ctx context.Context) error {
	page, err := d.store.LatestRecords(ctx, stateTopic, 0, "n/")
	if err == nil {
		d.store.Reads.ExpectDaemons(len(page.Records))
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(200 * time.Millisecond):
		}
		d.mu.Lock()
		known := len(d.daemons)
		d.mu.Unlock()
		d.store.Reads.SetDaemons(known)
		d.store.Writes.SetDaemons(known)
	}
}

// end ends the herd.
func (h *herd) end() {
	h.stop()
	for range h.count.Load() {
		<-h.ended
	}
}

// readSince returns how many daemons have had a response to a read of each topic since a time.
func (h *herd) readSince(at time.Time) int {
	count := 0
	for _, d := range h.daemons {
		all := true
		for _, follower := range d.followers {
			response, unavailable := follower.LastResponse()
			all = all && !unavailable && response.After(at)
		}
		if all {
			count++
		}
	}
	return count
}

// loaded returns how many daemons have read all topics.
func (h *herd) loaded() int {
	count := 0
	for _, d := range h.daemons {
		all := true
		for _, follower := range d.followers {
			all = all && follower.Loaded()
		}
		if all {
			count++
		}
	}
	return count
}

// appendRecords appends records to the topics until ctx ends, as replicas and holders do.
func (h *herd) appendRecords(ctx context.Context) error {
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
		h.backing.AppendDirectly(stateTopic, gypsum.KeyedRecord{Key: fmt.Sprint("r/", i%1000), Value: []byte("v")})
		h.backing.AppendDirectly(replicaTopic, gypsum.KeyedRecord{Key: fmt.Sprint("replica", i%300), Value: []byte("v")})
	}
}

// TestHerdStarts guards against a storm of calls after the loss of all hosts: 300 daemons that
// start within 0.3 s must all know the configuration, the registrations and the batches within 3 s.
func TestHerdStarts(t *testing.T) {
	for _, scenario := range []struct {
		daemons int
		rate    float64
		window  time.Duration
		within  time.Duration
		refused float64
	}{
		{300, 2000, time.Second, 3 * time.Second, 0.3},
		{300, 2000, 100 * time.Millisecond, 3 * time.Second, 0.5},
		{300, 6000, time.Second, 2 * time.Second, 0.2},
		{12, 2000, time.Second, 200 * time.Millisecond, 0.01},
	} {
		t.Run(fmt.Sprint(scenario.daemons, "/", scenario.rate, "/", scenario.window), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				start := time.Now()
				h := newHerd(t, scenario.daemons, scenario.rate, scenario.rate, scenario.window, 300*time.Millisecond)
				defer h.end()
				loaded := 0
				for loaded < scenario.daemons && time.Since(start) < 20*time.Second {
					time.Sleep(20 * time.Millisecond)
					loaded = h.loaded()
				}
				calls, refused := h.limited.ReadCounts()
				t.Logf("%d of %d daemons have read all topics after %s with %d reads, %d of them refused", loaded, scenario.daemons, time.Since(start), calls, refused)
				is.Equal(loaded, scenario.daemons)
				is.True(time.Since(start) <= scenario.within+300*time.Millisecond)
				is.True(float64(refused) <= scenario.refused*float64(calls))
			})
		})
	}
}

// TestHerdAfterOutage guards against a storm of calls when the store returns after 7 s: all daemons
// must read again within 2 s, and few of their calls may be refused.
func TestHerdAfterOutage(t *testing.T) {
	for name, fault := range map[string]fake.KeyedFault{"refused": fake.KeyedRefused, "silent": fake.KeyedHang} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const daemons = 300
				h := newHerd(t, daemons, 2000, 2000, 200*time.Millisecond, 300*time.Millisecond)
				defer h.end()
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				h.start(func() error { return h.appendRecords(ctx) })
				time.Sleep(8 * time.Second)
				h.backing.SetFault(fault)
				callsBefore, _ := h.limited.ReadCounts()
				time.Sleep(7 * time.Second)
				h.backing.SetFault(0)
				back := time.Now()
				calls, refusedBefore := h.limited.ReadCounts()
				t.Logf("%d reads in the outage of 7 s", calls-callsBefore)
				is.True(calls-callsBefore <= 7*2000)
				for h.readSince(back) < daemons && time.Since(back) < 20*time.Second {
					time.Sleep(20 * time.Millisecond)
				}
				recovered := time.Since(back)
				time.Sleep(2 * time.Second)
				after, refused := h.limited.ReadCounts()
				t.Logf("all daemons have read all topics %s after the return; %d reads until 2 s later, %d of them refused", recovered, after-calls, refused-refusedBefore)
				is.True(recovered <= 2*time.Second)
				is.True(float64(refused-refusedBefore) <= 0.15*float64(after-calls))
				stop()
			})
		})
	}
}

// TestHerdWithHalfTheAllowance guards against a steady overload when the store allows only half of
// what the settings say: the daemons learn their shares, use most of what there is, and few calls
// are refused.
func TestHerdWithHalfTheAllowance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const daemons, seconds = 300, 20
		h := newHerd(t, daemons, 2000, 1000, 200*time.Millisecond, 300*time.Millisecond)
		defer h.end()
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		h.start(func() error { return h.appendRecords(ctx) })
		time.Sleep(10 * time.Second)
		before, refusedBefore := h.limited.ReadCounts()
		time.Sleep(seconds * time.Second)
		calls, refused := h.limited.ReadCounts()
		calls, refused = calls-before, refused-refusedBefore
		var ages []time.Duration
		for _, d := range h.daemons {
			for _, follower := range d.followers {
				at, unavailable := follower.LastResponse()
				is.True(!unavailable)
				ages = append(ages, time.Since(at))
			}
		}
		slices.Sort(ages)
		usual, oldest := ages[len(ages)*99/100], ages[len(ages)-1]
		var rates []float64
		for _, d := range h.daemons {
			rates = append(rates, d.store.Reads.Stats().Rate)
		}
		slices.Sort(rates)
		t.Logf("rates from %.2f to %.2f, median %.2f", rates[0], rates[daemons-1], rates[daemons/2])
		t.Logf("%d reads in %d s, %d of them refused; 0.99 of the responses within %s, the oldest %s ago", calls, seconds, refused, usual, oldest)
		is.True(float64(refused) <= 0.15*float64(calls))
		is.True(calls-refused >= 850*seconds)
		is.True(usual <= maxUsualAge)
		is.True(oldest <= maxOldestAge)
		stop()
	})
}

// Ages of responses that are allowed with half of the store's calls: hosts accept keys for 4.5 s
// after a response, and changes of the configuration are in force within 8 s.
const (
	maxUsualAge  = 4500 * time.Millisecond
	maxOldestAge = 8 * time.Second
)

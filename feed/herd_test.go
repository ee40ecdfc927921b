package feed_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/feed"
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

// herd is a deployment of many daemons in six data centres, which share their reads of three topics.
// It implements gypsum.PeerFeeds.
type herd struct {
	backing *fake.KeyedStore
	limited *fake.LimitedStore
	members []*member
	byName  map[string]*member
	start   time.Time
	stop    context.CancelFunc
	ended   chan error
	tasks   atomic.Int64
}

// member is a daemon of a herd.
type member struct {
	record    feed.Daemon
	proxy     *proxy.Store
	feed      *feed.Feed
	followers []*store.Follower

	mu    sync.Mutex
	known map[string]feed.Daemon
}

// FeedFrom implements gypsum.PeerFeeds.
func (h *herd) FeedFrom(address string) gypsum.FeedSource { return h.byName[address].feed }

// goRun runs a function in a goroutine of the herd.
func (h *herd) goRun(run func() error) {
	h.tasks.Add(1)
	go func() { h.ended <- run() }()
}

// end ends the herd.
func (h *herd) end() {
	h.stop()
	for range h.tasks.Load() {
		<-h.ended
	}
}

// newHerd returns count daemons that start within 0.3 s. The store allows a number of reads per second
// and has the records of all daemons, of 300 replicas and of 1,200 results.
func newHerd(t *testing.T, count int, rate float64) *herd {
	h := &herd{backing: fake.NewKeyedStore(), byName: make(map[string]*member), ended: make(chan error, 8*count), start: time.Now()}
	h.backing.Latency = 4 * time.Millisecond
	h.limited = &fake.LimitedStore{KeyedStore: h.backing, ReadsPerSecond: rate, WritesPerSecond: 0.4 * rate, Window: 200 * time.Millisecond}
	h.backing.AppendDirectly(configTopic, gypsum.KeyedRecord{Key: "config", Value: []byte("v")})
	for i := range 1200 {
		h.backing.AppendDirectly(replicaTopic, gypsum.KeyedRecord{Key: fmt.Sprint("replica", i%300), Value: []byte("v")})
		h.backing.AppendDirectly(stateTopic, gypsum.KeyedRecord{Key: fmt.Sprint("b/", i), Value: []byte("v")})
	}
	var ctx context.Context
	ctx, h.stop = context.WithCancel(t.Context())
	for i := range count {
		m := &member{known: make(map[string]feed.Daemon)}
		m.record = feed.Daemon{
			Host: gypsum.HostID(fmt.Sprintf("h%03d", i)), Address: fmt.Sprintf("h%03d", i), SharesReads: true, CPUShare: []float64{0.2, 0.8}[i%2],
			Location: gypsum.Location{DataCentre: gypsum.DataCentre(fmt.Sprint("dc", i%6))},
		}
		h.members, h.byName[m.record.Address] = append(h.members, m), m
		h.backing.AppendDirectly(stateTopic, gypsum.KeyedRecord{Key: "n/" + m.record.Address, Value: []byte("v")})
		h.prepare(m, rate)
		delay := rand.N(300 * time.Millisecond)
		h.goRun(func() error {
			time.Sleep(delay)
			for _, follower := range m.followers {
				h.goRun(func() error { return follower.Run(ctx) })
			}
			h.goRun(func() error { return m.proxy.Run(ctx) })
			return m.watch(ctx)
		})
	}
	return h
}

// prepare creates the components of a daemon as the process does.
func (h *herd) prepare(m *member, rate float64) {
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	clock := func() time.Duration { return time.Since(h.start) }
	m.proxy = &proxy.Store{
		DirectStore: h.limited, ListPeers: func() []gypsum.Peer { return nil }, Self: m.record.Host, Clock: clock, Logger: logger,
		ProbeRead: gypsum.KeyedRead{Topic: stateTopic, Max: 1}, Reads: pace.NewGate(pace.Use{Allowance: rate, Need: 45}),
		Class: func(topic gypsum.Topic, _ bool) pace.Class {
			return map[gypsum.Topic]pace.Class{configTopic: pace.ClassConfig, replicaTopic: pace.ClassRegistrations, stateTopic: pace.ClassBatches}[topic]
		},
	}
	m.feed = &feed.Feed{
		Self: m.record.Host, Location: m.record.Location, Store: m.proxy, Peers: h, ListDaemons: m.daemons, Ample: m.proxy.Reads.Ample,
		Clock: clock, Memory: 1 << 20, Logger: logger,
	}
	for topic, interval := range map[gypsum.Topic]time.Duration{configTopic: 0, replicaTopic: 250 * time.Millisecond, stateTopic: 40 * time.Millisecond} {
		m.followers = append(m.followers, &store.Follower{
			Store: m.proxy, Pages: m.feed, Topic: topic, MinReadInterval: interval, Patience: 3 * time.Second, Clock: clock, Logger: logger,
			Handle: func(update store.Update) { h.handle(m, update) },
		})
	}
}

// handle collects the daemons in the state topic.
func (h *herd) handle(m *member, update store.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range update.Records {
		if name, ok := strings.CutPrefix(update.Records[i].Key, "n/"); ok {
			m.known[name] = h.byName[name].record
		}
	}
}

// daemons returns the daemons that the member knows.
func (m *member) daemons() []feed.Daemon {
	m.mu.Lock()
	defer m.mu.Unlock()
	daemons := make([]feed.Daemon, 0, len(m.known))
	for _, daemon := range m.known {
		daemons = append(daemons, daemon)
	}
	return daemons
}

// watch tells the gate the numbers of daemons and readers until ctx ends.
func (m *member) watch(ctx context.Context) error {
	page, err := m.proxy.LatestRecords(ctx, stateTopic, 0, "n/")
	if err == nil {
		m.proxy.Reads.ExpectDaemons(len(page.Records))
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(200 * time.Millisecond):
		}
		m.proxy.Reads.SetDaemons(len(m.daemons()))
		m.proxy.Reads.SetUsers(m.feed.ReaderCount([]gypsum.Topic{configTopic, replicaTopic, stateTopic}))
	}
}

// appendRecords appends records to the topics for a time, as replicas and holders do.
func (h *herd) appendRecords(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		i := rand.IntN(1000)
		h.backing.AppendDirectly(stateTopic, gypsum.KeyedRecord{Key: fmt.Sprint("r/", i), Value: []byte("v")})
		h.backing.AppendDirectly(replicaTopic, gypsum.KeyedRecord{Key: fmt.Sprint("replica", i%300), Value: []byte("v")})
	}
}

// oldest returns the largest age of what any daemon knows of a topic, of all of them if it is empty,
// and the number of daemons that have not read all topics.
func (h *herd) oldest(topic gypsum.Topic) (age time.Duration, missing int) {
	for _, m := range h.members {
		loaded := true
		for _, follower := range m.followers {
			loaded = loaded && follower.Loaded()
			if follower.Loaded() && (topic == "" || follower.Topic == topic) {
				age = max(age, follower.ReadAge())
			}
		}
		if !loaded {
			missing++
		}
	}
	return age, missing
}

// TestHerdSharesReads guards against more reads than the store allows, after which the daemons know
// nothing new: 300 daemons with 2,000 reads a second start within 0.3 s, know all
// topics within 3 s, and what they know stays fresh with a part of the allowance. After an outage of
// 7 s they know all topics again within 2 s.
func TestHerdSharesReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const daemons, rate = 300, 2000
		h := newHerd(t, daemons, rate)
		defer h.end()
		started := time.Now()
		for missing := daemons; missing > 0 && time.Since(started) < 20*time.Second; _, missing = h.oldest("") {
			h.appendRecords(20 * time.Millisecond)
		}
		calls, refused := h.limited.ReadCounts()
		t.Logf("all daemons have read all topics after %s with %d reads, %d of them refused", time.Since(started), calls, refused)
		is.True(time.Since(started) <= 3*time.Second)
		h.appendRecords(2 * time.Second)
		before, refusedBefore := h.limited.ReadCounts()
		var state, all time.Duration
		for range 40 {
			h.appendRecords(100 * time.Millisecond)
			age, _ := h.oldest(stateTopic)
			state = max(state, age)
			age, _ = h.oldest("")
			all = max(all, age)
		}
		calls, refused = h.limited.ReadCounts()
		t.Logf("%d reads in 4 s, %d of them refused; oldest knowledge of batches %s, of all topics %s", calls-before, refused-refusedBefore, state, all)
		is.True(calls-before <= 4*rate/2)
		is.Equal(refused-refusedBefore, int64(0))
		is.True(state <= 300*time.Millisecond)
		is.True(all <= 2*time.Second)

		h.backing.SetFault(fake.KeyedHang)
		h.appendRecords(7 * time.Second)
		h.backing.SetFault(0)
		back := time.Now()
		before, refusedBefore = h.limited.ReadCounts()
		for time.Since(back) < 20*time.Second {
			h.appendRecords(20 * time.Millisecond)
			if age, _ := h.oldest(""); age < time.Since(back) {
				break
			}
		}
		recovered := time.Since(back)
		h.appendRecords(2 * time.Second)
		calls, refused = h.limited.ReadCounts()
		t.Logf("all topics are known again after %s; %d reads until 2 s later, %d of them refused", recovered, calls-before, refused-refusedBefore)
		is.True(recovered <= 2*time.Second)
	})
}

// TestHerdWithHalfTheAllowance guards against old knowledge when the store allows half of what the
// settings say.
func TestHerdWithHalfTheAllowance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHerd(t, 300, 2000)
		defer h.end()
		h.limited.SetReadsPerSecond(1000)
		h.appendRecords(9 * time.Second)
		before, refusedBefore := h.limited.ReadCounts()
		oldest := time.Duration(0)
		for range 40 {
			h.appendRecords(100 * time.Millisecond)
			age, missing := h.oldest("")
			is.Equal(missing, 0)
			oldest = max(oldest, age)
		}
		calls, refused := h.limited.ReadCounts()
		t.Logf("%d reads in 4 s, %d of them refused; oldest knowledge %s", calls-before, refused-refusedBefore, oldest)
		is.True(float64(refused-refusedBefore) <= 0.1*float64(calls-before))
		is.True(oldest <= 2*time.Second)
	})
}

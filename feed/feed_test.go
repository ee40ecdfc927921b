package feed_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/feed"
	"github.com/gypsumhook/gypsum/store"
)

const topic = gypsum.Topic("keyed.test")

// peerFault is a fault of a daemon as seen by those that read from it.
type peerFault int

// The faults.
const (
	// faultKilled means that connections are refused.
	faultKilled peerFault = iota + 1
	// faultSilent means that the daemon gets requests, and its responses are lost.
	faultSilent
	// faultDuplicate, faultOmit and faultOld change responses: a record twice, one left out, and the
	// records and age of a response that was sent before.
	faultDuplicate
	faultOmit
	// faultOlderBuild means that the daemon does not have the procedure.
	faultOlderBuild
)

// cluster is a set of daemons of one data centre that follow a topic. It implements
// gypsum.PeerFeeds: the addresses are the names of the daemons.
type cluster struct {
	store   *fake.KeyedStore
	limited *fake.LimitedStore
	daemons map[string]*daemon
	start   time.Time
	// ample means that the store's allowance covers the reads of all daemons.
	ample atomic.Bool

	mu     sync.Mutex
	list   []feed.Daemon
	faults map[string]peerFault
}

// daemon is one daemon of a cluster.
type daemon struct {
	path     *fake.StoreClient
	feed     *feed.Feed
	follower *store.Follower

	mu      sync.Mutex
	offsets []gypsum.Offset
	// suspended is how long the daemon's clock was suspended apart from the runtime's.
	clockOffset time.Duration
}

// newCluster returns a cluster of daemons that follow the topic until the test ends.
func newCluster(t *testing.T, count int) *cluster {
	backing := fake.NewKeyedStore()
	backing.Latency = 2 * time.Millisecond
	c := &cluster{
		store: backing, limited: &fake.LimitedStore{KeyedStore: backing}, daemons: make(map[string]*daemon), start: time.Now(), faults: make(map[string]peerFault),
	}
	for i := range count {
		c.list = append(c.list, feed.Daemon{
			Host: gypsum.HostID(fmt.Sprintf("h%02d", i)), Address: fmt.Sprintf("h%02d", i), CPUShare: 0.8, SharesReads: true,
			Location: gypsum.Location{DataCentre: "genova"},
		})
	}
	for _, record := range c.list {
		c.addDaemon(t, record)
	}
	return c
}

// addDaemon starts a daemon.
func (c *cluster) addDaemon(t *testing.T, record feed.Daemon) {
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	d := &daemon{path: &fake.StoreClient{KeyedStore: c.limited}}
	d.feed = &feed.Feed{
		Self: record.Host, Location: record.Location, Store: d.path, Peers: c, ListDaemons: c.listDaemons, Ample: c.ample.Load,
		Clock: func() time.Duration { return time.Since(c.start) }, Memory: 1 << 20, Logger: logger,
	}
	d.follower = &store.Follower{
		Store: d.path, Pages: d.feed, Topic: topic, MinReadInterval: 40 * time.Millisecond, Logger: logger, Clock: d.feed.Clock,
		Handle: func(update store.Update) {
			d.mu.Lock()
			defer d.mu.Unlock()
			for i := range update.Records {
				d.offsets = append(d.offsets, update.Records[i].Offset)
			}
		},
	}
	c.daemons[record.Address] = d
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- d.follower.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
}

func (c *cluster) listDaemons() []feed.Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list
}

// setFault sets the fault of a daemon.
func (c *cluster) setFault(name string, fault peerFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults[name] = fault
}

// FeedFrom implements gypsum.PeerFeeds.
func (c *cluster) FeedFrom(address string) gypsum.FeedSource { return &link{cluster: c, name: address} }

// link is the connection to a daemon. It implements gypsum.FeedSource.
type link struct {
	cluster *cluster
	name    string
}

// ReadFeed implements gypsum.FeedSource.
func (l *link) ReadFeed(ctx context.Context, req gypsum.FeedRead) (*gypsum.FeedPage, error) {
	l.cluster.mu.Lock()
	fault := l.cluster.faults[l.name]
	l.cluster.mu.Unlock()
	switch fault {
	case faultKilled:
		return nil, gypsum.ErrNotSent
	case faultOlderBuild:
		return nil, gypsum.ErrFeedUnavailable
	}
	time.Sleep(time.Millisecond)
	page, err := l.cluster.daemons[l.name].feed.ReadFeed(ctx, req)
	time.Sleep(time.Millisecond)
	if err != nil {
		return nil, err
	}
	copied := *page
	switch {
	case fault == faultSilent:
		<-ctx.Done()
		return nil, ctx.Err()
	case fault == faultDuplicate && len(page.Records) > 0:
		copied.Records = append([]gypsum.KeyedRecord{page.Records[0]}, page.Records...)
	case fault == faultOmit && len(page.Records) > 0:
		copied.Records = page.Records[1:]
	}
	return &copied, nil
}

// readers returns the names of the daemons that read the topic, and one that does not.
func (c *cluster) readers() (readers []string, other string) {
	isReader := make(map[string]bool)
	for _, reader := range feed.Readers(topic, "genova", c.listDaemons(), func(gypsum.HostID) bool { return false }) {
		readers = append(readers, reader.Address)
		isReader[reader.Address] = true
	}
	for _, daemon := range c.listDaemons() {
		if !isReader[daemon.Address] {
			other = daemon.Address
		}
	}
	return readers, other
}

// appendFor appends records, one each interval, for a time.
func (c *cluster) appendFor(d, interval time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		c.store.AppendDirectly(topic, gypsum.KeyedRecord{Key: "k", Value: []byte("v")})
	}
}

// checkLogs checks that each daemon in names has handled every record once, in order.
func (c *cluster) checkLogs(t *testing.T, names ...string) {
	t.Helper()
	is := is.New(t)
	page, err := c.store.Read(t.Context(), gypsum.KeyedRead{Topic: topic})
	is.NoErr(err)
	for _, name := range names {
		d := c.daemons[name]
		d.mu.Lock()
		for i, offset := range d.offsets {
			if offset != d.offsets[0]+gypsum.Offset(i) {
				t.Errorf("daemon %s handled offset %d after %d", name, offset, d.offsets[i-1])
			}
		}
		is.Equal(d.offsets[len(d.offsets)-1], page.Next-1) // all records
		d.mu.Unlock()
	}
}

// names returns the names of all daemons.
func (c *cluster) names() []string {
	var names []string
	for _, daemon := range c.listDaemons() {
		names = append(names, daemon.Address)
	}
	return names
}

// TestFewDaemonsRead guards against as many reads of the store as there are daemons: three of 30
// read, all handle every record in order, and what they know is fresh.
func TestFewDaemonsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 30)
		time.Sleep(time.Second)
		before, _ := c.limited.ReadCounts()
		c.appendFor(10*time.Second, 20*time.Millisecond)
		after, _ := c.limited.ReadCounts()
		oldest := time.Duration(0)
		for _, d := range c.daemons {
			oldest = max(oldest, d.follower.ReadAge())
		}
		t.Logf("%d reads in 10 s, oldest knowledge %s", after-before, oldest)
		is.True(after-before <= 3*27*10)
		is.True(oldest <= 300*time.Millisecond)
		time.Sleep(2 * time.Second)
		c.checkLogs(t, c.names()...)
		for _, d := range c.daemons {
			is.True(d.follower.ReadAge() <= 1500*time.Millisecond) // while there is nothing new
			_, unavailable := d.follower.LastResponse()
			is.True(!unavailable)
		}
	})
}

// TestReaderFaults guards against lost, repeated or old records when readers fail: the gap or the age
// shows it, and the daemon reads elsewhere.
func TestReaderFaults(t *testing.T) {
	for name, scenario := range map[string]struct {
		fault peerFault
		// maxAge bounds the age of what any daemon knows during the fault.
		maxAge time.Duration
		count  func(*feed.Stats) int64
	}{
		"killed":      {faultKilled, 300 * time.Millisecond, func(s *feed.Stats) int64 { return s.Broken.Load() }},
		"silent":      {faultSilent, 1500 * time.Millisecond, func(s *feed.Stats) int64 { return s.Broken.Load() }},
		"duplicate":   {faultDuplicate, 300 * time.Millisecond, func(s *feed.Stats) int64 { return s.Gaps.Load() }},
		"omit":        {faultOmit, 300 * time.Millisecond, func(s *feed.Stats) int64 { return s.Gaps.Load() }},
		"older build": {faultOlderBuild, 300 * time.Millisecond, func(s *feed.Stats) int64 { return s.Unserved.Load() }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 30)
				readers, _ := c.readers()
				is.Equal(len(readers), 3)
				c.appendFor(2*time.Second, 20*time.Millisecond)
				c.setFault(readers[0], scenario.fault)
				oldest := time.Duration(0)
				for range 50 {
					c.appendFor(100*time.Millisecond, 20*time.Millisecond)
					for _, d := range c.daemons {
						oldest = max(oldest, d.follower.ReadAge())
					}
				}
				noticed := int64(0)
				for _, d := range c.daemons {
					noticed += scenario.count(&d.feed.Stats)
				}
				t.Logf("oldest knowledge %s, %d requests failed", oldest, noticed)
				is.True(noticed > 0)
				is.True(oldest <= scenario.maxAge)
				time.Sleep(time.Second)
				c.checkLogs(t, c.names()...)
			})
		})
	}
}

// TestReaderCutFromStore guards against a reader that keeps serving what it read before it lost the
// store: the others read elsewhere, and never take its records for new.
func TestReaderCutFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 30)
		readers, _ := c.readers()
		c.appendFor(2*time.Second, 20*time.Millisecond)
		c.daemons[readers[1]].path.SetDisconnected(true)
		oldest := time.Duration(0)
		for range 60 {
			c.appendFor(100*time.Millisecond, 20*time.Millisecond)
			for name, d := range c.daemons {
				if name != readers[1] {
					oldest = max(oldest, d.follower.ReadAge())
				}
			}
		}
		t.Logf("oldest knowledge %s", oldest)
		is.True(oldest <= 2300*time.Millisecond)
		is.True(c.daemons[readers[1]].follower.ReadAge() > 5*time.Second) // it knows that it is cut off
	})
}

// TestAllReadersLost guards against daemons that know nothing new once all readers of their data
// centre are lost, until other daemons read.
func TestAllReadersLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 30)
		readers, _ := c.readers()
		c.appendFor(2*time.Second, 20*time.Millisecond)
		for _, name := range readers {
			c.setFault(name, faultSilent)
		}
		oldest := time.Duration(0)
		for range 50 {
			c.appendFor(100*time.Millisecond, 20*time.Millisecond)
			for _, d := range c.daemons {
				oldest = max(oldest, d.follower.ReadAge())
			}
		}
		t.Logf("oldest knowledge %s", oldest)
		is.True(oldest <= time.Second)
		before, _ := c.limited.ReadCounts()
		old, samples := 0, 0
		for range 50 {
			c.appendFor(100*time.Millisecond, 20*time.Millisecond)
			for _, d := range c.daemons {
				samples++
				if d.follower.ReadAge() > 300*time.Millisecond {
					old++
				}
			}
		}
		after, _ := c.limited.ReadCounts()
		t.Logf("%d reads in 5 s, %d of %d samples of the knowledge are old", after-before, old, samples)
		is.True(10*old <= samples)       // the lost readers are rarely asked again
		is.True(after-before <= 5*25*10) // the lost readers still read, and few others in their place
	})
}

// frozenFeed returns pages whose transit takes long because the reader or the daemon was frozen.
type frozenFeed struct {
	page gypsum.FeedPage
	wait func()
}

// FeedFrom implements gypsum.PeerFeeds.
func (f *frozenFeed) FeedFrom(string) gypsum.FeedSource { return f }

// ReadFeed implements gypsum.FeedSource.
func (f *frozenFeed) ReadFeed(context.Context, gypsum.FeedRead) (*gypsum.FeedPage, error) {
	f.wait()
	page := f.page
	return &page, nil
}

// TestAgeOfFrozenHosts guards against old state that looks new after a chain of hosts that were
// frozen: the clock of each counts the time, and what the reader does not account for counts as
// transit.
func TestAgeOfFrozenHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := time.Duration(0)
		peers := &frozenFeed{page: gypsum.FeedPage{Age: 700 * time.Millisecond, ResponseAge: 200 * time.Millisecond, Held: 300 * time.Millisecond}, wait: func() { now += 400 * time.Millisecond }}
		backing := fake.NewKeyedStore()
		reader := feed.Daemon{Host: "r", Address: "r", SharesReads: true}
		f := &feed.Feed{
			Self: "self", Store: backing, Peers: peers, ListDaemons: func() []feed.Daemon { return []feed.Daemon{reader} }, Ample: func() bool { return false },
			Clock: func() time.Duration { return now }, Memory: 1 << 20, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		}
		page, err := f.Read(t.Context(), gypsum.KeyedRead{Topic: topic})
		is.NoErr(err)
		is.Equal(now-page.SentAt, 800*time.Millisecond) // 0.7 s, and 0.1 s of transit
		is.Equal(page.ResponseAge, 300*time.Millisecond)
		// This host or the reader is suspended for a minute after the reader took the age.
		peers.wait = func() { now += time.Minute }
		page, err = f.Read(t.Context(), gypsum.KeyedRead{Topic: topic})
		is.NoErr(err)
		is.Equal(page.SentAt, now) // read from the store
		is.Equal(f.Stats.Stale.Load(), int64(1))
		// A reader that was suspended serves nothing that it read before.
		_, err = f.ReadFeed(t.Context(), gypsum.FeedRead{Topic: topic})
		is.NoErr(err)
		now += 5 * time.Second
		_, err = f.ReadFeed(t.Context(), gypsum.FeedRead{Topic: topic})
		is.True(errors.Is(err, gypsum.ErrFeedUnavailable))
	})
}

// TestReaders guards against readers on hosts with a small CPU share while others are there, on
// daemons of older builds, and against a single reader.
func TestReaders(t *testing.T) {
	is := is.New(t)
	none := func(gypsum.HostID) bool { return false }
	var daemons []feed.Daemon
	for i := range 60 {
		daemons = append(daemons, feed.Daemon{
			Host: gypsum.HostID(fmt.Sprint("h", i)), Location: gypsum.Location{DataCentre: gypsum.DataCentre([]string{"a", "b"}[i%2])},
			CPUShare: []float64{0.2, 0.2, 0.2, 0.2, 0.8}[i%5], SharesReads: i%3 != 0,
		})
	}
	chosen := make(map[gypsum.HostID]bool)
	for _, topic := range []gypsum.Topic{"x", "y", "z"} {
		readers := feed.Readers(topic, "a", daemons, none)
		is.Equal(len(readers), 3)
		for _, reader := range readers {
			is.Equal(reader.CPUShare, 0.8)
			is.True(reader.SharesReads)
			is.Equal(reader.Location.DataCentre, gypsum.DataCentre("a"))
			chosen[reader.Host] = true
		}
		lost := readers[0].Host
		next := feed.Readers(topic, "a", daemons, func(host gypsum.HostID) bool { return host == lost })
		is.Equal(next[:2], readers[1:]) // the others stay
	}
	is.True(len(chosen) > 3) // topics have different readers
	is.Equal(len(feed.Readers("x", "a", daemons[:2], none)), 0)
	is.Equal(len(feed.Readers("x", "b", daemons[:2], none)), 1)
}

// TestDaemonsReadForThemselves guards against shared reads while the allowance is ample for all.
func TestDaemonsReadForThemselves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 9)
		c.ample.Store(true)
		time.Sleep(2 * time.Second)
		received := int64(0)
		for _, d := range c.daemons {
			received += d.feed.Stats.Received.Load()
		}
		c.appendFor(5*time.Second, 20*time.Millisecond)
		for _, d := range c.daemons {
			received -= d.feed.Stats.Received.Load()
		}
		is.Equal(received, int64(0))
	})
}

// TestUnusualAges guards against a page whose ages overflow or are negative: the store would seem to
// have responded in the future.
func TestUnusualAges(t *testing.T) {
	for _, age := range []time.Duration{math.MaxInt64, math.MaxInt64 - time.Second, math.MinInt64, -time.Hour} {
		for _, held := range []time.Duration{0, math.MaxInt64, math.MinInt64} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				now := time.Minute
				peers := &frozenFeed{page: gypsum.FeedPage{Age: age, ResponseAge: age, Held: held}, wait: func() { now += 10 * time.Millisecond }}
				f := &feed.Feed{
					Self: "self", Store: fake.NewKeyedStore(), Peers: peers, Ample: func() bool { return false },
					ListDaemons: func() []feed.Daemon { return []feed.Daemon{{Host: "r", Address: "r", SharesReads: true}} },
					Clock:       func() time.Duration { return now }, Memory: 1 << 20, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
				}
				page, err := f.Read(t.Context(), gypsum.KeyedRead{Topic: topic})
				is.NoErr(err)
				is.True(page.SentAt <= now)
				is.True(page.ResponseAge >= 0)
			})
		}
	}
}

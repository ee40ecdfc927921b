package usage_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/duty"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/platform/mimic"
	"github.com/gypsumhook/gypsum/store"
	"github.com/gypsumhook/gypsum/usage"
)

const (
	testLease = 3 * time.Second
	testTopic = gypsum.Topic("keyed.usage")
)

// deployment is a store, the platform's API and hosts in memory, with the true counts.
type deployment struct {
	t     *testing.T
	store *fake.KeyedStore
	calls *countingStore
	api   *mimic.DutyAPI
	epoch time.Time
	hosts map[gypsum.HostID]*host

	mu    sync.Mutex
	true  map[gypsum.UsageWindow]map[gypsum.AccountName]int64
	began time.Time
}

// host is a daemon's usage components.
type host struct {
	deployment *deployment
	direct     *fake.StoreClient
	keeper     *duty.Keeper
	counter    *usage.Counter
	reporter   *usage.Reporter
	stop       context.CancelFunc
	ended      sync.WaitGroup
	cut        bool
}

// newDeployment starts a deployment whose hosts have the given shares of a CPU core.
func newDeployment(t *testing.T, checked bool, shares ...float64) *deployment {
	d := &deployment{
		t: t, store: fake.NewKeyedStore(), api: &mimic.DutyAPI{ChecksFencing: checked, LateDelay: 4 * time.Second}, epoch: time.Now(),
		hosts: make(map[gypsum.HostID]*host), true: make(map[gypsum.UsageWindow]map[gypsum.AccountName]int64), began: time.Now(),
	}
	d.store.Latency = 30 * time.Millisecond
	d.calls = &countingStore{KeyedStore: d.store}
	for i, share := range shares {
		d.startHost(gypsum.HostID(fmt.Sprint("host-", i+1)), share)
	}
	return d
}

// logOutput returns where hosts log to.
func logOutput() io.Writer {
	if os.Getenv("USAGE_TEST_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}

// startHost starts a host.
func (d *deployment) startHost(name gypsum.HostID, share float64) *host {
	logger := slog.New(slog.NewTextHandler(logOutput(), nil)).With("host", name)
	ctx, stop := context.WithCancel(d.t.Context())
	h := &host{deployment: d, direct: &fake.StoreClient{KeyedStore: d.calls}, stop: stop}
	steady := func() time.Duration { return time.Since(d.epoch) + time.Hour }
	incarnation := gypsum.Incarnation(time.Now().UnixMilli())
	producer := fmt.Sprint(name, incarnation)
	stateWriter := &store.Writer{Store: h.direct, Topic: "keyed.state", Producer: producer, MaxCallBytes: 1 << 20, Logger: logger}
	usageWriter := &store.Writer{Store: h.direct, Topic: testTopic, Producer: producer, MaxCallBytes: 1 << 20, Logger: logger}
	state := batch.NewState(logger)
	follower := &store.Follower{Store: h.direct, Topic: "keyed.state", MinReadInterval: 40 * time.Millisecond, Handle: state.Apply, Logger: logger}
	batches := &batch.Manager{
		Host: name, Incarnation: incarnation, State: state, Follower: follower, Store: h.direct, Topics: batch.Topics{State: "keyed.state"}, Partitions: 1,
		RecordSize: 64 << 10, StateWriter: stateWriter, Logger: logger, Clock: steady,
	}
	h.keeper = duty.NewKeeper(gypsum.DutyUsage)
	h.keeper.Host, h.keeper.Incarnation, h.keeper.Batches, h.keeper.Clock = name, incarnation, batches, steady
	h.keeper.Lease, h.keeper.Slack, h.keeper.ChecksFencing, h.keeper.CPUShare, h.keeper.Logger = testLease, 300*time.Millisecond, d.api.ChecksFencing, share, logger
	h.keeper.StoreUnavailable = func() bool { _, unavailable := follower.LastResponse(); return unavailable }
	clock := &usage.TimeOfDay{Steady: steady, Wall: time.Now}
	h.counter = usage.NewCounter()
	h.counter.Host, h.counter.Incarnation, h.counter.Timing, h.counter.Clock, h.counter.Writer, h.counter.Logger = name, incarnation, testTiming, clock, usageWriter, logger
	h.reporter = usage.NewReporter()
	h.reporter.Host, h.reporter.Incarnation, h.reporter.Timing, h.reporter.Clock = name, incarnation, testTiming, clock
	h.reporter.Keeper, h.reporter.Client, h.reporter.Store, h.reporter.Topic = h.keeper, h, h.direct, testTopic
	h.reporter.Writer, h.reporter.StoreBack, h.reporter.Logger = usageWriter, follower.RecoveredAt, logger
	for _, run := range []func(context.Context) error{stateWriter.Run, usageWriter.Run, follower.Run, h.keeper.Run, h.counter.Run, h.reporter.Run} {
		h.ended.Go(func() { _ = run(ctx) })
	}
	h.ended.Go(func() { _ = batches.RecordDaemon(ctx, string(name), gypsum.Location{}, share) })
	d.hosts[name] = h
	d.t.Cleanup(func() { stop(); h.ended.Wait() })
	return h
}

// kill ends a host at once.
func (h *host) kill() {
	h.stop()
	h.ended.Wait()
}

// ReportUsage implements gypsum.DutyClient over the host's link to the API.
func (h *host) ReportUsage(ctx context.Context, authority gypsum.DutyAuthority, report gypsum.UsageReport) error {
	h.deployment.mu.Lock()
	cut := h.cut
	h.deployment.mu.Unlock()
	if cut {
		time.Sleep(400 * time.Millisecond)
		return gypsum.ErrDutyUnavailable
	}
	return h.deployment.api.ReportUsage(ctx, authority, report)
}

// OrderCapacity implements gypsum.DutyClient.
func (h *host) OrderCapacity(context.Context, gypsum.DutyAuthority, gypsum.CapacityOrder) error {
	return errors.New("not used")
}

// setCut cuts a host off from the API, or ends that.
func (h *host) setCut(cut bool) {
	h.deployment.mu.Lock()
	defer h.deployment.mu.Unlock()
	h.cut = cut
}

// holder returns the host that holds the duty.
func (d *deployment) holder() *host {
	d.t.Helper()
	for _, h := range d.hosts {
		if h.keeper.Holding(gypsum.DutyUsage) {
			return h
		}
	}
	d.t.Fatal("no host holds the duty")
	return nil
}

// serve lets hosts count requests of 20 accounts for a time, twelve a second. Hosts in without
// get none.
func (d *deployment) serve(duration time.Duration, without ...gypsum.HostID) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(min(time.Until(end), time.Duration(rand.ExpFloat64()*float64(time.Second/12))))
		names := slices.DeleteFunc(slices.Sorted(maps.Keys(d.hosts)), func(name gypsum.HostID) bool { return slices.Contains(without, name) })
		h, account := d.hosts[names[rand.IntN(len(names))]], gypsum.AccountName(fmt.Sprint("account-", rand.IntN(20)))
		now := time.Now()
		h.counter.ObserveRun(account, now)
		window := testTiming.WindowAt(now)
		if d.true[window] == nil {
			d.true[window] = make(map[gypsum.AccountName]int64)
		}
		d.true[window][account]++
	}
}

// checkReports checks that each window since the start was reported in time, with the true
// counts. tolerated is the number of requests that may be missing in all.
func (d *deployment) checkReports(tolerated int64) {
	d.t.Helper()
	time.Sleep(12 * time.Second) // until the last window was reported
	for _, violation := range d.api.Violations() {
		d.t.Error(violation)
	}
	accepted := make(map[gypsum.UsageWindow]mimic.AcceptedCall)
	for _, call := range d.api.Accepted() {
		if _, ok := accepted[call.Report.Window]; !ok {
			accepted[call.Report.Window] = call
		}
	}
	missing := int64(0)
	for window := testTiming.WindowAt(d.began); testTiming.End(window).Add(testTiming.Lateness).Before(time.Now()); window++ {
		call, ok := accepted[window]
		if !ok {
			d.t.Errorf("window %d, which began %s after the start, was not reported", window, testTiming.End(window).Add(-testTiming.Window).Sub(d.began))
			continue
		}
		if late := call.At.Sub(testTiming.End(window)); late > testTiming.Lateness {
			d.t.Errorf("window %d was reported %s after its end", window, late)
		}
		for account, count := range call.Report.Counts {
			if count > d.true[window][account] || count <= 0 {
				d.t.Errorf("window %d: %d requests of %s reported instead of %d", window, count, account, d.true[window][account])
			}
		}
		for account, count := range d.true[window] {
			missing += count - call.Report.Counts[account]
		}
	}
	if missing > tolerated {
		d.t.Errorf("%d requests are missing in the reports", missing)
	}
}

// TestReports checks that all windows are reported in time with the true counts, whatever fails.
func TestReports(t *testing.T) {
	for _, row := range []struct {
		name      string
		fault     func(d *deployment)
		tolerated int64
	}{
		{name: "no fault", fault: func(d *deployment) { d.serve(20 * time.Second) }},
		{name: "no requests", fault: func(*deployment) { time.Sleep(20 * time.Second) }},
		{name: "holder killed", tolerated: 8, fault: func(d *deployment) {
			killed := d.holder()
			killed.kill()
			delete(d.hosts, killed.keeper.Host)
			d.serve(10 * time.Second)
		}},
		{name: "holder leaves", fault: func(d *deployment) {
			leaving := d.holder()
			leaving.keeper.Stop(context.Background())
			if err := leaving.counter.Flush(context.Background()); err != nil {
				d.t.Error(err)
			}
			leaving.kill()
			delete(d.hosts, leaving.keeper.Host)
			d.serve(10 * time.Second)
		}},
		{name: "all hosts lost", tolerated: 24, fault: func(d *deployment) {
			for _, h := range d.hosts {
				h.kill()
			}
			time.Sleep(time.Second)
			for i, share := range []float64{0.8, 0.8, 0.192, 0.134} {
				d.startHost(gypsum.HostID(fmt.Sprint("host-", i+1)), share)
			}
			d.serve(10 * time.Second)
		}},
		{name: "store away", fault: func(d *deployment) {
			d.store.SetFault(fake.KeyedHang)
			d.serve(6500 * time.Millisecond)
			d.store.SetFault(0)
			d.serve(10 * time.Second)
		}},
		{name: "store refuses", fault: func(d *deployment) {
			d.store.SetFault(fake.KeyedRefused)
			d.serve(6500 * time.Millisecond)
			d.store.SetFault(0)
			d.serve(10 * time.Second)
		}},
		{name: "store slow", tolerated: 4, fault: func(d *deployment) {
			d.store.SetLatency(400 * time.Millisecond)
			d.serve(20 * time.Second)
			d.store.SetLatency(30 * time.Millisecond)
		}},
		{name: "holder cut off from the store", tolerated: 6, fault: func(d *deployment) {
			// What it has counted just before cannot be written until the end of the cut.
			holder := d.holder()
			holder.direct.SetDisconnected(true)
			d.serve(12*time.Second, holder.keeper.Host)
			holder.direct.SetDisconnected(false)
			d.serve(10 * time.Second)
		}},
		{name: "holder cut off from the API", fault: func(d *deployment) {
			d.holder().setCut(true)
			d.serve(15 * time.Second)
		}},
		{name: "API down", fault: func(d *deployment) {
			d.api.SetFault(mimic.DutyDown)
			d.serve(3 * time.Second)
			d.api.SetFault("")
			d.serve(10 * time.Second)
		}},
		{name: "API silent", fault: func(d *deployment) {
			d.api.SetFault(mimic.DutySilent)
			d.serve(3 * time.Second)
			d.api.SetFault("")
			d.serve(10 * time.Second)
		}},
		{name: "API slow", fault: func(d *deployment) {
			d.api.SetLatency(1500 * time.Millisecond)
			d.serve(20 * time.Second)
		}},
		{name: "API limits the rate", fault: func(d *deployment) {
			d.api.SetFault(mimic.DutyRateLimited)
			d.serve(3 * time.Second)
			d.api.SetFault("")
			d.serve(10 * time.Second)
		}},
		{name: "responses of the API lost", fault: func(d *deployment) {
			d.api.SetFault(mimic.DutyResponseLost)
			d.serve(15 * time.Second)
		}},
		{name: "calls executed late", fault: func(d *deployment) {
			d.api.SetFault(mimic.DutyLate)
			d.serve(3 * time.Second)
			d.api.SetFault("")
			d.serve(10 * time.Second)
		}},
	} {
		// The fault begins at several moments of a window.
		for i, phase := range []time.Duration{0, 0, 1700 * time.Millisecond, 1700 * time.Millisecond, 3300 * time.Millisecond, 3300 * time.Millisecond, 4900 * time.Millisecond, 4900 * time.Millisecond} {
			checked := i%2 == 0
			t.Run(fmt.Sprint(row.name, " after ", phase, ", tokens checked ", checked), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newDeployment(t, checked, 0.8, 0.8, 0.192, 0.134)
					d.serve(12*time.Second + phase)
					row.fault(d)
					d.serve(10 * time.Second)
					d.checkReports(row.tolerated)
				})
			})
		}
	}
}

// TestCalls bounds the calls to the store: nothing is written without requests, and only the
// holder reads the topic, once for a window.
func TestCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, true, 0.8, 0.8, 0.192)
		time.Sleep(15 * time.Second)
		d.calls.reset()
		time.Sleep(time.Minute)
		reads, appends := d.calls.usageCalls()
		is.True(appends <= 13) // twelve windows are closed
		is.True(reads <= 26)   // before and after each closing
		d.calls.reset()
		for range 20 {
			for range 5 {
				d.hosts["host-1"].counter.ObserveRun("a", time.Now())
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(2950 * time.Millisecond)
		}
		_, appends = d.calls.usageCalls()
		is.True(appends <= 20*2+13) // the first request of each group, then the others together
	})
}

// countingStore counts the calls about the topic of usage counts.
type countingStore struct {
	gypsum.KeyedStore
	mu             sync.Mutex
	reads, appends int
}

// Append implements gypsum.KeyedStore.
func (s *countingStore) Append(ctx context.Context, req gypsum.KeyedAppend) (gypsum.Offset, error) {
	s.count(req.Topic, &s.appends)
	return s.KeyedStore.Append(ctx, req)
}

// Read implements gypsum.KeyedStore.
func (s *countingStore) Read(ctx context.Context, req gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	s.count(req.Topic, &s.reads)
	return s.KeyedStore.Read(ctx, req)
}

// LatestRecords implements gypsum.KeyedStore.
func (s *countingStore) LatestRecords(ctx context.Context, topic gypsum.Topic, partition gypsum.Partition, after string) (*gypsum.LatestPage, error) {
	s.count(topic, &s.reads)
	return s.KeyedStore.LatestRecords(ctx, topic, partition, after)
}

func (s *countingStore) count(topic gypsum.Topic, counter *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if topic == testTopic {
		*counter++
	}
}

func (s *countingStore) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads, s.appends = 0, 0
}

func (s *countingStore) usageCalls() (reads, appends int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.appends
}

package duty_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
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
)

// deployment is a store, the platform's API and daemons in memory.
type deployment struct {
	t       *testing.T
	store   *fake.KeyedStore
	api     *mimic.DutyAPI
	checked bool
	epoch   time.Time
	daemons map[gypsum.HostID]*testDaemon

	mu   sync.Mutex
	sent []sentCall
}

// sentCall is a call that a daemon has sent.
type sentCall struct {
	at        time.Time
	authority gypsum.DutyAuthority
	rejected  bool
}

// testDaemon is a daemon that calls the API every 200 ms while it may.
type testDaemon struct {
	deployment *deployment
	direct     *fake.StoreClient
	keeper     *duty.Keeper
	batches    *batch.Manager
	kill       context.CancelFunc
	ended      sync.WaitGroup

	mu sync.Mutex
	// cut means that the API is out of reach, thawed is not nil while the daemon is frozen.
	cut    bool
	thawed chan struct{}
}

// newDeployment starts a deployment with the given daemons.
func newDeployment(t *testing.T, checked bool, shares map[gypsum.HostID]float64) *deployment {
	d := &deployment{
		t: t, store: fake.NewKeyedStore(), api: &mimic.DutyAPI{ChecksFencing: checked, LateDelay: 4 * time.Second}, checked: checked,
		epoch: time.Now(), daemons: make(map[gypsum.HostID]*testDaemon),
	}
	d.store.Latency = 20 * time.Millisecond
	for host, share := range shares {
		d.startDaemon(host, share)
	}
	return d
}

// startDaemon starts a daemon that runs until it is killed or the test ends.
func (d *deployment) startDaemon(host gypsum.HostID, share float64) *testDaemon {
	logger := slog.New(slog.NewTextHandler(io.Discard, nil)).With("host", host)
	ctx, kill := context.WithCancel(d.t.Context())
	daemon := &testDaemon{deployment: d, direct: &fake.StoreClient{KeyedStore: d.store}, kill: kill}
	clock := func() time.Duration { return time.Since(d.epoch) + time.Hour }
	incarnation := gypsum.Incarnation(time.Now().UnixNano())
	topics := batch.Topics{State: "keyed.state", Bodies: "keyed.body", Texts: "keyed.text"}
	writer := &store.Writer{Store: daemon.direct, Topic: topics.State, Producer: fmt.Sprint(host, incarnation), MaxCallBytes: 1 << 20, Logger: logger}
	state := batch.NewState(logger)
	follower := &store.Follower{Store: daemon.direct, Topic: topics.State, MinReadInterval: 40 * time.Millisecond, Handle: state.Apply, Logger: logger}
	daemon.batches = &batch.Manager{
		Host: host, Incarnation: incarnation, State: state, Follower: follower, Store: daemon.direct, Topics: topics, Partitions: 1, RecordSize: 64 << 10,
		StateWriter: writer, Logger: logger, Clock: clock,
	}
	daemon.keeper = duty.NewKeeper(gypsum.DutyUsage)
	daemon.keeper.Host, daemon.keeper.Incarnation, daemon.keeper.Batches, daemon.keeper.Clock = host, incarnation, daemon.batches, clock
	daemon.keeper.Lease, daemon.keeper.Slack, daemon.keeper.ChecksFencing = testLease, testSlack, d.checked
	daemon.keeper.CPUShare, daemon.keeper.Logger = share, logger
	daemon.keeper.StoreUnavailable = func() bool { _, unavailable := follower.LastResponse(); return unavailable }
	for _, run := range []func(context.Context) error{writer.Run, follower.Run, daemon.keeper.Run, daemon.makeCalls} {
		daemon.ended.Go(func() { _ = run(ctx) })
	}
	daemon.ended.Go(func() { _ = daemon.batches.RecordDaemon(ctx, string(host), gypsum.Location{}, share) })
	d.daemons[host] = daemon
	d.t.Cleanup(func() { daemon.resume(); kill(); daemon.ended.Wait() })
	return daemon
}

// makeCalls makes a call every 200 ms while the daemon may.
func (d *testDaemon) makeCalls(ctx context.Context) error {
	for {
		time.Sleep(200 * time.Millisecond)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		_ = d.keeper.Do(ctx, gypsum.DutyUsage, func(ctx context.Context, authority gypsum.DutyAuthority) error {
			return d.call(ctx, authority)
		})
	}
}

// call makes a call over the daemon's link to the API.
func (d *testDaemon) call(ctx context.Context, authority gypsum.DutyAuthority) error {
	d.mu.Lock()
	cut, thawed := d.cut, d.thawed
	d.mu.Unlock()
	if thawed != nil {
		<-thawed
		if ctx.Err() != nil {
			return gypsum.ErrDutyUnavailable // the timer of the call expires when the host resumes
		}
	}
	if cut {
		time.Sleep(300 * time.Millisecond)
		return gypsum.ErrDutyUnavailable
	}
	sent := sentCall{at: time.Now(), authority: authority}
	err := d.deployment.api.ReportUsage(ctx, authority, gypsum.UsageReport{Window: 1})
	sent.rejected = errors.Is(err, gypsum.ErrDutyConflict)
	d.deployment.mu.Lock()
	defer d.deployment.mu.Unlock()
	d.deployment.sent = append(d.deployment.sent, sent)
	return err
}

// freeze suspends what a daemon sends: its calls, and its access to the store.
func (d *testDaemon) freeze() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.thawed = make(chan struct{})
	d.direct.SetDisconnected(true)
}

// resume ends freeze.
func (d *testDaemon) resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.direct.SetDisconnected(false)
	if d.thawed != nil {
		close(d.thawed)
		d.thawed = nil
	}
}

// setCut cuts the daemon off from the API, or ends that.
func (d *testDaemon) setCut(cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = cut
}

// holder returns the daemon that made the newest accepted call.
func (d *deployment) holder() *testDaemon {
	d.t.Helper()
	accepted := d.api.Accepted()
	if len(accepted) == 0 {
		d.t.Fatal("no call was accepted")
	}
	return d.daemons[accepted[len(accepted)-1].Authority.Holder]
}

// checkCalls checks the order of the calls.
func (d *deployment) checkCalls(late bool) {
	d.t.Helper()
	accepted := d.api.Accepted()
	token := gypsum.Offset(-1)
	holders := make(map[gypsum.Offset]gypsum.HostID)
	for i, call := range accepted {
		if call.Authority.FencingToken < token && !late {
			d.t.Errorf("token %d was used after %d", call.Authority.FencingToken, token)
		}
		token = max(token, call.Authority.FencingToken)
		if known, ok := holders[call.Authority.FencingToken]; ok && known != call.Authority.Holder {
			d.t.Errorf("token %d was used by %s and %s", call.Authority.FencingToken, known, call.Authority.Holder)
		}
		holders[call.Authority.FencingToken] = call.Authority.Holder
		d.checkAlternation(accepted[:i], call)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	rejected := make(map[gypsum.Offset]bool)
	for _, call := range d.sent {
		if rejected[call.authority.FencingToken] {
			d.t.Errorf("a call was made under token %d after its rejection", call.authority.FencingToken)
		}
		rejected[call.authority.FencingToken] = call.rejected
	}
}

// checkAlternation checks that the holder of a call did not act before another one within a
// lease.
func (d *deployment) checkAlternation(earlier []mimic.AcceptedCall, call mimic.AcceptedCall) {
	d.t.Helper()
	other := false
	for i := len(earlier) - 1; i >= 0 && call.At.Sub(earlier[i].At) < testLease; i-- {
		same := earlier[i].Authority.Holder == call.Authority.Holder
		if same && other {
			d.t.Errorf("%s acted again within a lease, with another holder between", call.Authority.Holder)
			return
		}
		other = other || !same
	}
}

// acceptedSince returns the time from a moment to the next accepted call.
func (d *deployment) acceptedSince(from time.Time) (time.Duration, gypsum.HostID, bool) {
	for _, call := range d.api.Accepted() {
		if call.At.After(from) {
			return call.At.Sub(from), call.Authority.Holder, true
		}
	}
	return 0, "", false
}

// TestDuties checks what happens to a duty in each fault: the calls keep their order, no two
// holders act in turns, and calls continue within a bound.
func TestDuties(t *testing.T) {
	strong := map[gypsum.HostID]float64{"host-1": 0.8, "host-2": 0.8, "host-3": 0.192}
	for _, row := range []struct {
		name string
		// fault injects a fault and returns the moment from which the bound counts.
		fault func(d *deployment, holder *testDaemon) time.Time
		bound time.Duration
		// changes means that another daemon must be the holder afterwards.
		changes bool
		// late means that calls are executed after newer ones.
		late bool
	}{
		{name: "holder killed during a call", bound: testLease + time.Second, changes: true, fault: func(d *deployment, holder *testDaemon) time.Time {
			d.api.SetLatency(300 * time.Millisecond)
			time.Sleep(500 * time.Millisecond)
			holder.kill()
			time.Sleep(400 * time.Millisecond) // the call in flight is executed
			d.api.SetLatency(0)
			return time.Now()
		}},
		{name: "holder frozen past its lease", bound: testLease + time.Second, changes: true, fault: func(_ *deployment, holder *testDaemon) time.Time {
			from := time.Now()
			holder.freeze()
			time.Sleep(6 * time.Second)
			holder.resume()
			return from
		}},
		{name: "holder frozen briefly", bound: 2 * time.Second, fault: func(_ *deployment, holder *testDaemon) time.Time {
			from := time.Now()
			holder.freeze()
			time.Sleep(time.Second)
			holder.resume()
			return from
		}},
		{name: "cut off from the store", bound: testLease + time.Second, changes: true, fault: func(_ *deployment, holder *testDaemon) time.Time {
			holder.direct.SetDisconnected(true)
			time.Sleep(testLease - 200*time.Millisecond) // the holder still acts until its lease ends
			from := time.Now()
			time.Sleep(8 * time.Second)
			holder.direct.SetDisconnected(false)
			return from
		}},
		{name: "appends of the holder hang", bound: testLease + time.Second, changes: true, fault: func(_ *deployment, holder *testDaemon) time.Time {
			holder.direct.SetAppendsHang(true)
			time.Sleep(testLease - 200*time.Millisecond)
			from := time.Now()
			time.Sleep(8 * time.Second)
			holder.direct.SetAppendsHang(false)
			return from
		}},
		{name: "reads of the holder hang", bound: 4500 * time.Millisecond, changes: true, fault: func(_ *deployment, holder *testDaemon) time.Time {
			holder.direct.SetReadsHang(true)
			time.Sleep(testLease)
			from := time.Now()
			time.Sleep(8 * time.Second)
			holder.direct.SetReadsHang(false)
			return from
		}},
		{name: "cut off from the API", bound: 3500 * time.Millisecond, changes: true, fault: func(_ *deployment, holder *testDaemon) time.Time {
			from := time.Now()
			holder.setCut(true)
			time.Sleep(8 * time.Second)
			holder.setCut(false)
			return from
		}},
		{name: "response lost and the call executed later", late: true, bound: 5 * time.Second, fault: func(d *deployment, _ *testDaemon) time.Time {
			d.api.SetFault(mimic.DutyLate)
			time.Sleep(5 * time.Second)
			d.api.SetFault("")
			return time.Now()
		}},
		{name: "response lost", bound: 5 * time.Second, fault: func(d *deployment, _ *testDaemon) time.Time {
			d.api.SetFault(mimic.DutyResponseLost)
			time.Sleep(5 * time.Second)
			d.api.SetFault("")
			return time.Now()
		}},
		{name: "API slow", bound: 4 * time.Second, fault: func(d *deployment, _ *testDaemon) time.Time {
			d.api.SetLatency(1500 * time.Millisecond)
			return time.Now()
		}},
		{name: "API down", bound: 6 * time.Second, fault: func(d *deployment, _ *testDaemon) time.Time {
			d.api.SetFault(mimic.DutyDown)
			time.Sleep(7 * time.Second)
			d.api.SetFault("")
			return time.Now()
		}},
		{name: "429", bound: time.Second, fault: func(d *deployment, _ *testDaemon) time.Time {
			d.api.SetFault(mimic.DutyRateLimited)
			time.Sleep(5 * time.Second)
			d.api.SetFault("")
			return time.Now()
		}},
		{name: "all hosts lost", bound: time.Second, fault: func(d *deployment, _ *testDaemon) time.Time {
			for _, daemon := range d.daemons {
				daemon.kill()
				daemon.ended.Wait()
			}
			time.Sleep(time.Second)
			for host, share := range strong {
				d.startDaemon(host, share)
			}
			return time.Now()
		}},
		{name: "holder's host leaves", bound: 1500 * time.Millisecond, changes: true, fault: func(_ *deployment, holder *testDaemon) time.Time {
			from := time.Now()
			holder.keeper.Stop(context.Background())
			holder.kill()
			return from
		}},
		{name: "store unavailable", bound: time.Second, fault: func(d *deployment, _ *testDaemon) time.Time {
			d.store.SetFault(fake.KeyedHang)
			time.Sleep(6 * time.Second)
			d.store.SetFault(0)
			return time.Now()
		}},
	} {
		for _, checked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, tokens checked %v", row.name, checked), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					d := newDeployment(t, checked, strong)
					time.Sleep(5 * time.Second)
					holder := d.holder()
					is.True(holder.keeper.CPUShare > 0.5) // hosts with a large CPU share are preferred
					from := row.fault(d, holder)
					time.Sleep(15 * time.Second)
					took, next, ok := d.acceptedSince(from)
					is.True(ok)
					if took > row.bound {
						t.Errorf("calls continued after %s, more than %s", took, row.bound)
					}
					if row.changes && next == holder.keeper.Host {
						t.Errorf("%s is still the holder", next)
					}
					d.checkCalls(row.late)
				})
			})
		}
	}
}

// TestIdleHolderSendsHeartbeats guards against a duty that changes its holder because a holder
// without open batches sends no heartbeats, and bounds the appends of an idle deployment.
func TestIdleHolderSendsHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, true, map[gypsum.HostID]float64{"host-1": 0.8, "host-2": 0.8})
		time.Sleep(2 * time.Minute)
		claims, heartbeats := int64(0), int64(0)
		for _, daemon := range d.daemons {
			claims += daemon.keeper.Stats.Claims.Load()
			heartbeats += daemon.keeper.Stats.Heartbeats.Load()
		}
		is.True(claims <= 2) // both daemons may claim at the start
		for _, call := range d.api.Accepted() {
			is.Equal(call.Authority, d.api.Accepted()[0].Authority)
		}
		is.True(heartbeats >= 120 && heartbeats <= 160) // four in a lease
	})
}

// TestHeartbeatsOfTheRunner checks that heartbeats that the runner stores renew the lease, so
// that a host does not store two kinds of them.
func TestHeartbeatsOfTheRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, true, map[gypsum.HostID]float64{"host-1": 0.8})
		daemon := d.daemons["host-1"]
		for number := range int64(100) {
			_, err := daemon.batches.RecordHeartbeat(t.Context(), number)
			is.NoErr(err)
			time.Sleep(380 * time.Millisecond)
		}
		is.Equal(daemon.keeper.Stats.Heartbeats.Load(), int64(0))
		is.True(len(d.api.Accepted()) > 150) // five calls a second for 40 s
		d.checkCalls(false)
	})
}

package procs

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/admin/operatorv1"
	"github.com/gypsumhook/gypsum/check"
	"github.com/gypsumhook/gypsum/client"
	"github.com/gypsumhook/gypsum/fake"
)

// Times of a test with a fault.
const (
	calmTime    = 2 * time.Second
	faultTime   = 5 * time.Second
	afterTime   = 5 * time.Second
	callTimeout = 3 * time.Second
)

// fault is a row of the table of faults of processes.
type fault struct {
	name   string
	strike func(w *world)
	heal   func(w *world)
	// Down are the daemons that the balancer stops using while the fault lasts.
	down []gypsum.HostID
}

// faults is the table of faults.
func faults() []fault {
	nothing := func(*world) {}
	return []fault{
		{
			name: "kill", down: []gypsum.HostID{"la-spezia-1"},
			strike: func(w *world) { w.signal("la-spezia-1", syscall.SIGKILL) }, heal: nothing,
		},
		{
			name: "freeze", down: []gypsum.HostID{"genova-1"},
			strike: func(w *world) { w.signal("genova-1", syscall.SIGSTOP) },
			heal:   func(w *world) { w.signal("genova-1", syscall.SIGCONT) },
		},
		{
			name:   "cut",
			strike: func(w *world) { w.daemons["genova-2"].relay.setCut(true) },
			heal:   func(w *world) { w.daemons["genova-2"].relay.setCut(false) },
		},
		{
			name:   "log out",
			strike: func(w *world) { w.log.SetFault(fake.LogOut) },
			heal:   func(w *world) { w.log.SetFault(0) },
		},
		{
			name:   "log loses answers",
			strike: func(w *world) { w.log.SetFault(fake.LogLost) },
			heal:   func(w *world) { w.log.SetFault(0) },
		},
		{
			name:   "engine crash",
			strike: func(w *world) { w.engines["genova-engine"].Crash() },
			heal:   func(w *world) { w.engines["genova-engine"].Restart() },
		},
		{
			name: "graceful stop", down: []gypsum.HostID{"genova-2"},
			strike: func(w *world) { w.signal("genova-2", syscall.SIGTERM) }, heal: nothing,
		},
	}
}

// TestFaults lets each fault strike running processes, and checks the promises
// from what callers, the trainer and the backend servers saw.
func TestFaults(t *testing.T) {
	for _, row := range faults() {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			runFault(t, &row)
		})
	}
}

// load is callers and a trainer at work.
type load struct {
	world   *world
	caller  *check.Caller
	trainer *check.Trainer
	work    sync.WaitGroup

	mu   sync.Mutex
	down []gypsum.HostID
}

// newLoad returns callers and a trainer that are not at work yet.
func newLoad(w *world) *load {
	l := &load{world: w, caller: &check.Caller{Dial: w.dial, Record: &check.Record{}, Timeout: callTimeout}}
	turn := 0
	l.trainer = &check.Trainer{
		Record: l.caller.Record, Plan: check.PlanName, TrainTime: 500 * time.Millisecond, MaxStaleness: 1,
		Publish: func(_ context.Context, version gypsum.WeightVersion) { w.store.Publish(check.Model, version) },
		Pull: func(ctx context.Context, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
			turn++
			entry := &client.Entry{Address: "http://" + w.daemons[l.via(turn)].callers, HTTP: w.http}
			return entry.Pull(ctx, pull)
		},
	}
	return l
}

// via returns the daemon that the balancer sends a call to.
func (l *load) via(turn int) gypsum.HostID {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := []gypsum.HostID{"chioggia-1", "genova-1", "genova-2", "la-spezia-1"}
	hosts = slices.DeleteFunc(hosts, func(id gypsum.HostID) bool { return slices.Contains(l.down, id) })
	return hosts[turn%len(hosts)]
}

// setDown makes the balancer leave out daemons.
func (l *load) setDown(ids []gypsum.HostID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = ids
}

// begin puts the callers and the trainer to work until ctx ends.
func (l *load) begin(ctx context.Context) {
	for number := range 2 {
		l.work.Go(func() {
			for call := number; ctx.Err() == nil; call++ {
				key := check.NewKey()
				for repeat := range 2 {
					l.caller.Order(context.WithoutCancel(ctx), l.via(call+repeat), key, "crew of three")
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
		l.work.Go(func() {
			for call := number; ctx.Err() == nil; call++ {
				l.caller.Complete(context.WithoutCancel(ctx), l.via(call), fmt.Sprintf("caller %d call %d", number, call), gypsum.RecoveryResume)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	l.work.Go(func() { l.trainer.Run(ctx) })
}

// runFault runs one row.
func runFault(t *testing.T, row *fault) {
	is := is.New(t)
	w := newWorld(t)
	w.begin()
	l := newLoad(w)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l.begin(ctx)
	time.Sleep(calmTime)
	struck := time.Now()
	row.strike(w)
	// The balancer's checks need a second to notice.
	time.AfterFunc(time.Second, func() { l.setDown(row.down) })
	time.Sleep(faultTime)
	row.heal(w)
	healed := time.Now()
	time.Sleep(afterTime)
	cancel()
	l.work.Wait()
	_, steps := l.caller.Record.Samples()
	t.Logf("orders answered in fault %d, after it %d; completions in fault %d, after it %d; steps %d; last failure %s after the strike; %v",
		l.caller.Record.Answered("order", struck)-l.caller.Record.Answered("order", healed), l.caller.Record.Answered("order", healed),
		l.caller.Record.Answered("completion", struck)-l.caller.Record.Answered("completion", healed), l.caller.Record.Answered("completion", healed),
		steps, lastFailure(l.caller.Record, struck), refusals(l.caller.Record))
	for _, breach := range l.caller.Check(w.ledger.Runs()) {
		t.Error(breach)
	}
	is.True(l.caller.Record.Answered("order", healed.Add(time.Second)) > 20)      // orders go on
	is.True(l.caller.Record.Answered("completion", healed.Add(time.Second)) > 20) // completions go on
	is.True(steps >= 2)                                                           // the trainer goes on
}

// lastFailure returns the time from a moment to the end of the last call that
// was not answered.
func lastFailure(record *check.Record, from time.Time) time.Duration {
	last := time.Duration(0)
	for _, result := range record.Results() {
		if result.Refusal != nil {
			last = max(last, result.At.Add(result.Took).Sub(from))
		}
	}
	return last.Round(time.Millisecond)
}

// refusals counts the refusals by kind, reason and outcome.
func refusals(record *check.Record) map[string]int {
	counts := make(map[string]int)
	for _, result := range record.Results() {
		if result.Refusal != nil {
			counts[fmt.Sprintf("%s %s/%s", result.Kind, result.Refusal.Reason, result.Refusal.Outcome)]++
		}
	}
	return counts
}

// TestGracefulStop checks that a planned stop cuts off no request, also those
// that other hosts have handed over, and ends cleanly.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.begin()
	for _, engine := range w.engines {
		engine.TokenTime = 30 * time.Millisecond
	}
	caller := &check.Caller{Dial: w.dial, Record: &check.Record{}, Timeout: 10 * time.Second}
	var calls sync.WaitGroup
	for number := range 24 {
		calls.Go(func() {
			via := []gypsum.HostID{"genova-1", "genova-2"}[number%2]
			caller.Complete(t.Context(), via, fmt.Sprintf("long %d", number), gypsum.RecoveryNone)
		})
	}
	time.Sleep(500 * time.Millisecond)
	w.signal("genova-2", syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	is.True(!w.ready("genova-2")) // readiness goes first
	calls.Wait()
	is.NoErr(w.daemons["genova-2"].command.Wait()) // ends with exit code 0
	for _, result := range caller.Record.Results() {
		is.True(result.Refusal == nil) // every call was answered whole
	}
	is.Equal(caller.Check(w.ledger.Runs()), []string{})
}

// TestRacingOperators checks over the operators' RPC that of changes with the
// same base one wins, that the others are told so, and that the winner is in
// force on all hosts within 5 s.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.begin()
	base := int64(2)
	var race sync.WaitGroup
	errs := make([]error, 4)
	for number, id := range []gypsum.HostID{"genova-1", "genova-2", "la-spezia-1", "chioggia-1"} {
		race.Go(func() {
			service := &operatorv1.Service{Name: string(check.PlainService), Kind: "plain", MaxQueue: int32(100 + number), CrashLimit: 3}
			list, err := w.operator(id).ListServices(t.Context(), connect.NewRequest(&operatorv1.ListRequest{}))
			if err != nil {
				errs[number] = err
				return
			}
			service.DefaultTimeout = list.Msg.GetServices()[0].GetDefaultTimeout()
			change := &operatorv1.Change{ChangeId: uuid.NewString(), Operator: string(id), BaseRevision: base}
			_, errs[number] = w.operator(id).PutService(t.Context(), connect.NewRequest(&operatorv1.PutServiceRequest{Change: change, Service: service}))
		})
	}
	race.Wait()
	begin := time.Now()
	won := 0
	for _, err := range errs {
		if err == nil {
			won++
		} else {
			is.Equal(connect.CodeOf(err), connect.CodeAborted) // told what won
		}
	}
	is.Equal(won, 1)
	w.await("winner in force", func() bool { return w.inForce(4) })
	t.Logf("in force on all hosts after %s", time.Since(begin))
	is.True(time.Since(begin) < 5*time.Second)
}

// TestStartDuringLogOutage checks that a daemon started while the log is out
// learns the configuration from its peers and serves.
func TestStartDuringLogOutage(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.begin()
	w.log.SetFault(fake.LogOut)
	begin := time.Now()
	w.start("genova-3", place("genova", "liguria"))
	w.await("new host is ready", func() bool { return w.ready("genova-3") })
	t.Logf("ready after %s", time.Since(begin))
	caller := &check.Caller{Dial: w.dial, Record: &check.Record{}, Timeout: callTimeout}
	is.True(caller.Complete(t.Context(), "genova-3", "a prompt", gypsum.RecoveryNone).Refusal == nil) // idempotent calls go on
	order := caller.Order(t.Context(), "genova-3", check.NewKey(), "crew")
	is.Equal(order.Refusal.Outcome, gypsum.OutcomeNotRun)
	is.True(order.Refusal.RetryAfter > 0)
	is.Equal(len(w.ledger.Runs()), 0)
}

// TestPoison checks that a request that crashes backend servers is refused for
// good after the limit, on every entry host, while others go on.
func TestPoison(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.begin()
	crashes := func() int {
		sum := 0
		for _, engine := range w.engines {
			sum += engine.Crashes()
		}
		return sum
	}
	for _, engine := range w.engines {
		engine.Poison = "scuttle"
		engine.OnCrash = func() { time.AfterFunc(300*time.Millisecond, engine.Restart) }
	}
	caller := &check.Caller{Dial: w.dial, Record: &check.Record{}, Timeout: callTimeout}
	for turn := range 12 {
		via := []gypsum.HostID{"chioggia-1", "genova-1", "genova-2", "la-spezia-1"}[turn%4]
		caller.Complete(t.Context(), via, "scuttle the ship", gypsum.RecoveryRestart)
		time.Sleep(400 * time.Millisecond)
	}
	final := caller.Complete(t.Context(), "chioggia-1", "scuttle the ship", gypsum.RecoveryRestart)
	is.Equal(final.Refusal.Reason, gypsum.ReasonPoison)
	is.Equal(final.Refusal.Outcome, gypsum.OutcomeNotRun)
	is.Equal(final.Refusal.Status, http.StatusUnprocessableEntity)
	is.True(crashes() <= 4) // the limit is 3; one more may be on its way
	is.True(caller.Complete(t.Context(), "genova-1", "launch the ship", gypsum.RecoveryRestart).Refusal == nil)
	t.Logf("crashes %d", crashes())
}

package procs

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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

// Durations of the phases of a test with a fault, and timeout of its calls.
const (
	warmupTime   = 2 * time.Second
	faultTime    = 5 * time.Second
	recoveryTime = 5 * time.Second
	callTimeout  = 3 * time.Second
)

// fault is a test case of TestFaults.
type fault struct {
	name   string
	inject func(env *testEnv)
	clear  func(env *testEnv)
	// outOfRotation lists the daemons that the load balancer stops using during the fault.
	outOfRotation []gypsum.HostID
}

// allFaults returns the test cases of TestFaults.
func allFaults() []fault {
	noop := func(*testEnv) {}
	return []fault{
		{
			name: "kill", outOfRotation: []gypsum.HostID{"la-spezia-1"},
			inject: func(env *testEnv) { env.signalDaemon("la-spezia-1", syscall.SIGKILL) }, clear: noop,
		},
		{
			name: "freeze", outOfRotation: []gypsum.HostID{"genova-1"},
			inject: func(env *testEnv) { env.signalDaemon("genova-1", syscall.SIGSTOP) },
			clear:  func(env *testEnv) { env.signalDaemon("genova-1", syscall.SIGCONT) },
		},
		{
			name:   "cut",
			inject: func(env *testEnv) { env.daemons["genova-2"].peerProxy.setBlocked(true) },
			clear:  func(env *testEnv) { env.daemons["genova-2"].peerProxy.setBlocked(false) },
		},
		{
			name:   "log out",
			inject: func(env *testEnv) { env.log.SetFault(fake.LogUnavailable) },
			clear:  func(env *testEnv) { env.log.SetFault(0) },
		},
		{
			name:   "log loses answers",
			inject: func(env *testEnv) { env.log.SetFault(fake.LogResponseLost) },
			clear:  func(env *testEnv) { env.log.SetFault(0) },
		},
		{
			name:   "engine crash",
			inject: func(env *testEnv) { env.engines["genova-engine"].Crash() },
			clear:  func(env *testEnv) { env.engines["genova-engine"].Restart() },
		},
		{
			name: "graceful stop", outOfRotation: []gypsum.HostID{"genova-2"},
			inject: func(env *testEnv) { env.signalDaemon("genova-2", syscall.SIGTERM) }, clear: noop,
		},
	}
}

// TestFaults injects each fault into running processes and checks the guarantees against
// what callers, the trainer and the backend servers observed.
func TestFaults(t *testing.T) {
	for _, f := range allFaults() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			runFault(t, &f)
		})
	}
}

// workload is the load of callers and a trainer, behind a simulated load balancer.
type workload struct {
	env     *testEnv
	caller  *check.Caller
	trainer *check.Trainer
	wg      sync.WaitGroup

	mu            sync.Mutex
	outOfRotation []gypsum.HostID
}

// newWorkload returns a workload that is not started yet.
func newWorkload(env *testEnv) *workload {
	w := &workload{env: env, caller: &check.Caller{Dial: env.newCallRunner, Recorder: &check.Recorder{}, Timeout: callTimeout}}
	pulls := 0
	w.trainer = &check.Trainer{
		Recorder: w.caller.Recorder, Plan: check.PlanName, TrainTime: 500 * time.Millisecond, MaxStaleness: 1,
		Publish: func(_ context.Context, version gypsum.WeightVersion) {
			env.weightStore.Publish(check.ModelName, version)
		},
		Pull: func(ctx context.Context, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
			pulls++
			c := &client.Client{BaseURL: "http://" + env.daemons[w.selectDaemon(pulls)].callerAddress, HTTPClient: env.httpClient}
			return c.Pull(ctx, pull)
		},
	}
	return w
}

// selectDaemon returns the daemon to which the load balancer sends the n-th call, in
// round-robin order.
func (w *workload) selectDaemon(n int) gypsum.HostID {
	w.mu.Lock()
	defer w.mu.Unlock()
	hosts := []gypsum.HostID{"chioggia-1", "genova-1", "genova-2", "la-spezia-1"}
	hosts = slices.DeleteFunc(hosts, func(id gypsum.HostID) bool { return slices.Contains(w.outOfRotation, id) })
	return hosts[n%len(hosts)]
}

// setOutOfRotation sets the daemons that the load balancer does not use.
func (w *workload) setOutOfRotation(ids []gypsum.HostID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outOfRotation = ids
}

// startCallers starts the callers and the trainer, which run until ctx ends. Each order is sent
// twice with the same idempotency key.
func (w *workload) startCallers(ctx context.Context) {
	for callerNumber := range 2 {
		w.wg.Go(func() {
			for n := callerNumber; ctx.Err() == nil; n++ {
				key := check.NewKey()
				for repeat := range 2 {
					w.caller.PostOrder(context.WithoutCancel(ctx), w.selectDaemon(n+repeat), key, "crew of three")
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
		w.wg.Go(func() {
			for n := callerNumber; ctx.Err() == nil; n++ {
				w.caller.RequestCompletion(context.WithoutCancel(ctx), w.selectDaemon(n), fmt.Sprintf("caller %d call %d", callerNumber, n), gypsum.RecoveryResume)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	w.wg.Go(func() { w.trainer.Run(ctx) })
}

// runFault runs one test case of TestFaults.
func runFault(t *testing.T, f *fault) {
	is := is.New(t)
	env := newTestEnv(t)
	env.startCluster()
	load := newWorkload(env)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	load.startCallers(ctx)
	time.Sleep(warmupTime)
	injectedAt := time.Now()
	f.inject(env)
	// The load balancer's health checks detect the fault after a second.
	time.AfterFunc(time.Second, func() { load.setOutOfRotation(f.outOfRotation) })
	time.Sleep(faultTime)
	f.clear(env)
	clearedAt := time.Now()
	time.Sleep(recoveryTime)
	cancel()
	load.wg.Wait()
	_, steps := load.caller.Recorder.DeliveredCounts()
	t.Logf("orders completed during the fault %d, after it %d; completions during the fault %d, after it %d; steps %d; last failure %s after the injection; %v",
		load.caller.Recorder.CountResponses("order", injectedAt)-load.caller.Recorder.CountResponses("order", clearedAt), load.caller.Recorder.CountResponses("order", clearedAt),
		load.caller.Recorder.CountResponses("completion", injectedAt)-load.caller.Recorder.CountResponses("completion", clearedAt), load.caller.Recorder.CountResponses("completion", clearedAt),
		steps, lastFailure(load.caller.Recorder, injectedAt), countRefusals(load.caller.Recorder))
	if failures := describeFailures(load.caller.Recorder, clearedAt.Add(time.Second)); failures != "" {
		t.Log("failures from a second after the fault on:", failures)
	}
	for _, violation := range load.caller.CheckExecutions(env.executions.Counts()) {
		t.Error(violation)
	}
	is.True(load.caller.Recorder.CountResponses("order", clearedAt.Add(time.Second)) > 20)      // orders succeed again
	is.True(load.caller.Recorder.CountResponses("completion", clearedAt.Add(time.Second)) > 20) // completions succeed again
	is.True(steps >= 2)                                                                         // the trainer makes progress
}

// lastFailure returns the time from start to the end of the last call that failed.
func lastFailure(recorder *check.Recorder, start time.Time) time.Duration {
	last := time.Duration(0)
	for _, result := range recorder.Results() {
		if result.Refusal != nil {
			last = max(last, result.Start.Add(result.Duration).Sub(start))
		}
	}
	return last.Round(time.Millisecond)
}

// describeFailures returns when, where and why calls failed after start.
func describeFailures(recorder *check.Recorder, start time.Time) string {
	var lines strings.Builder
	for _, result := range recorder.Results() {
		if result.Refusal != nil && result.Start.Add(result.Duration).After(start) {
			fmt.Fprintf(&lines, "\n%s at %s: started at %s, took %s: %v, backend %q", result.Kind, result.EntryHost,
				result.Start.Sub(start).Round(time.Millisecond), result.Duration.Round(time.Millisecond), result.Refusal, result.Refusal.Backend)
		}
	}
	return lines.String()
}

// countRefusals counts the refusals by kind, reason and outcome.
func countRefusals(recorder *check.Recorder) map[string]int {
	counts := make(map[string]int)
	for _, result := range recorder.Results() {
		if result.Refusal != nil {
			counts[fmt.Sprintf("%s %s/%s", result.Kind, result.Refusal.Reason, result.Refusal.Outcome)]++
		}
	}
	return counts
}

// TestGracefulStop checks that a graceful shutdown interrupts no request, including
// requests that other daemons have forwarded, and ends with exit code 0.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.startCluster()
	for _, engine := range env.engines {
		engine.TokenTime = 30 * time.Millisecond
	}
	caller := &check.Caller{Dial: env.newCallRunner, Recorder: &check.Recorder{}, Timeout: 10 * time.Second}
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			host := []gypsum.HostID{"genova-1", "genova-2"}[i%2]
			caller.RequestCompletion(t.Context(), host, fmt.Sprintf("long %d", i), gypsum.RecoveryNone)
		})
	}
	time.Sleep(500 * time.Millisecond)
	env.signalDaemon("genova-2", syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	is.True(!env.isReady("genova-2")) // readiness ends before the requests do
	wg.Wait()
	is.NoErr(env.daemons["genova-2"].cmd.Wait()) // exit code 0
	for _, result := range caller.Recorder.Results() {
		is.True(result.Refusal == nil) // every call completed
	}
	is.Equal(caller.CheckExecutions(env.executions.Counts()), []string{})
}

// TestRacingOperators checks over the operators' API that, of concurrent changes
// based on the same revision, one is accepted, the others are rejected as aborted, and
// the accepted one is in force on all hosts within 5 s.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.startCluster()
	baseRevision := int64(2)
	var wg sync.WaitGroup
	errs := make([]error, 4)
	for i, id := range []gypsum.HostID{"genova-1", "genova-2", "la-spezia-1", "chioggia-1"} {
		wg.Go(func() {
			service := &operatorv1.Service{Name: string(check.PlainService), Kind: "plain", MaxQueue: int32(100 + i), CrashLimit: 3}
			resp, err := env.operatorClient(id).ListServices(t.Context(), connect.NewRequest(&operatorv1.ListRequest{}))
			if err != nil {
				errs[i] = err
				return
			}
			service.DefaultTimeout = resp.Msg.GetServices()[0].GetDefaultTimeout()
			change := &operatorv1.Change{ChangeId: uuid.NewString(), Operator: string(id), BaseRevision: baseRevision}
			_, errs[i] = env.operatorClient(id).PutService(t.Context(), connect.NewRequest(&operatorv1.PutServiceRequest{Change: change, Service: service}))
		})
	}
	wg.Wait()
	start := time.Now()
	accepted := 0
	for _, err := range errs {
		if err == nil {
			accepted++
		} else {
			is.Equal(connect.CodeOf(err), connect.CodeAborted) // rejected as a conflict
		}
	}
	is.Equal(accepted, 1)
	env.waitFor("winner in force", func() bool { return env.isInForce(4) })
	t.Logf("change in force on all hosts after %s", time.Since(start))
	is.True(time.Since(start) < 5*time.Second)
}

// TestStartDuringLogOutage checks that a daemon started during an outage of the log
// obtains the configuration from its peers and serves idempotent calls. Non-idempotent
// calls need the log: they are refused as not run, with a delay for the retry.
func TestStartDuringLogOutage(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.startCluster()
	env.log.SetFault(fake.LogUnavailable)
	start := time.Now()
	env.startDaemon("genova-3", newLocation("genova", "liguria"))
	env.waitFor("new host is ready", func() bool { return env.isReady("genova-3") })
	t.Logf("new daemon ready after %s", time.Since(start))
	caller := &check.Caller{Dial: env.newCallRunner, Recorder: &check.Recorder{}, Timeout: callTimeout}
	is.True(caller.RequestCompletion(t.Context(), "genova-3", "a prompt", gypsum.RecoveryNone).Refusal == nil) // idempotent calls succeed
	order := caller.PostOrder(t.Context(), "genova-3", check.NewKey(), "crew")
	is.Equal(order.Refusal.Outcome, gypsum.OutcomeNotRun)
	is.True(order.Refusal.RetryAfter > 0)
	is.Equal(len(env.executions.Counts()), 0)
}

// TestPoison checks that a request that crashes backend servers is refused permanently
// on every entry host once it has reached the crash limit, while others succeed.
func TestPoison(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.startCluster()
	crashes := func() int {
		total := 0
		for _, engine := range env.engines {
			total += engine.CrashCount()
		}
		return total
	}
	for _, engine := range env.engines {
		engine.PoisonText = "scuttle"
		engine.OnCrash = func() { time.AfterFunc(300*time.Millisecond, engine.Restart) }
	}
	caller := &check.Caller{Dial: env.newCallRunner, Recorder: &check.Recorder{}, Timeout: callTimeout}
	for i := range 12 {
		host := []gypsum.HostID{"chioggia-1", "genova-1", "genova-2", "la-spezia-1"}[i%4]
		caller.RequestCompletion(t.Context(), host, "scuttle the ship", gypsum.RecoveryRestart)
		time.Sleep(400 * time.Millisecond)
	}
	last := caller.RequestCompletion(t.Context(), "chioggia-1", "scuttle the ship", gypsum.RecoveryRestart)
	is.Equal(last.Refusal.Reason, gypsum.ReasonPoison)
	is.Equal(last.Refusal.Outcome, gypsum.OutcomeNotRun)
	is.Equal(last.Refusal.Status, http.StatusUnprocessableEntity)
	is.True(crashes() <= 4) // the limit is 3; one more attempt may be in flight
	is.True(caller.RequestCompletion(t.Context(), "genova-1", "launch the ship", gypsum.RecoveryRestart).Refusal == nil)
	t.Logf("backend server crashes: %d", crashes())
}

// A daemon that gets SIGTERM before its servers run must exit like any other. It would otherwise
// take calls until SIGKILL cuts them off.
func TestTermDuringStart(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	p, settings := env.addDaemon("genova-1", newLocation("genova", "liguria"))
	writeSettings, err := check.StartBeforeRead(p.settingsPath, settings, p.cmd.Start)
	is.NoErr(err)
	env.signalDaemon(p.id, syscall.SIGTERM)
	time.Sleep(50 * time.Millisecond)
	is.NoErr(writeSettings())
	kill := time.AfterFunc(20*time.Second, func() { _ = p.cmd.Process.Kill() })
	defer kill.Stop()
	is.NoErr(p.cmd.Wait())
}

// TestEndOfStop guards against requests that are cut off without a response since they last longer than a planned stop.
func TestEndOfStop(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.limits = "[times]\ndrain_timeout = 2s\n"
	env.startCluster()
	for _, replica := range env.plainReplicas {
		replica.ServiceTime = 6 * time.Second
	}
	const requests = 8
	errs := make(chan error, requests)
	for i := range requests {
		go func() {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+env.daemons["genova-1"].callerAddress+"/services/"+string(check.PlainService)+"/x", strings.NewReader("x"))
			if err == nil {
				request.Header.Set(client.IdempotencyKeyHeader, fmt.Sprint("key-", i))
				request.Header.Set(client.TimeoutHeader, "20000")
				var response *http.Response
				if response, err = env.httpClient.Do(request); err == nil {
					t.Logf("status %d", response.StatusCode)
					_, err = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			}
			errs <- err
		}()
	}
	time.Sleep(200 * time.Millisecond)
	env.signalDaemon("genova-1", syscall.SIGTERM)
	signalled := time.Now()
	for range requests {
		is.NoErr(<-errs)
	}
	is.True(time.Since(signalled) < 3*time.Second) // drain_wait and drain_timeout are 2.5 s
}

// TestCutHeads guards against a response of a backend server whose head stops in the middle, and that callers get as one
// with a short body, from each kind of service.
func TestCutHeads(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.startCluster()
	var cuts []string
	for _, kind := range []string{"length", "chunks", "end of connection", "HTTP/1.0", "interim responses"} {
		cuts = append(cuts, fake.EveryCut(fake.CutHeads(fake.SoundHeads[kind], "Content-Type: text/event-stream\r\n"), 9)...)
	}
	var sent atomic.Int64
	intercept := func(w http.ResponseWriter, r *http.Request) bool {
		if r.Method != http.MethodPost || strings.HasSuffix(r.URL.Path, "/order") {
			return false
		}
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return true
		}
		_, _ = io.WriteString(conn, cuts[int(sent.Add(1)-1)%len(cuts)])
		_ = conn.Close()
		return true
	}
	env.intercept.Store(&intercept)
	base := "http://" + env.daemons["genova-1"].callerAddress
	for i := range cuts {
		for kind, row := range map[string]struct{ target, key, body string }{
			"plain":      {"/services/" + string(check.PlainService) + "/x", "", fmt.Sprint(i)},
			"plain, key": {"/services/" + string(check.PlainService) + "/x", fmt.Sprint("key-", i), fmt.Sprint(i)},
			"completion": {"/v1/completions", "", fmt.Sprintf(`{"model":%q,"prompt":"%d","max_tokens":4,"stream":true}`, check.ModelService, i)},
		} {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, base+row.target, strings.NewReader(row.body))
			is.NoErr(err)
			request.Header.Set(client.TimeoutHeader, "1000")
			if row.key != "" {
				request.Header.Set(client.IdempotencyKeyHeader, row.key)
			}
			response, err := env.httpClient.Do(request)
			is.NoErr(err)
			content, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK && err == nil && !strings.Contains(string(content), "event: error") {
				t.Errorf("%s: status 200 with %q", kind, content)
			}
		}
	}
	is.True(sent.Load() > int64(len(cuts)))
	t.Logf("%d cut heads were sent", sent.Load())
}

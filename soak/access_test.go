package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/platform/mimic"
)

// The accounts of the tests and their keys. keyMark is a part of all keys.
const (
	keyMark        = "secret-"
	keptAccount    = gypsum.AccountName("hule930")
	keptKey        = keyMark + "kept"
	revokedKey     = keyMark + "revoked"
	trainerAccount = gypsum.AccountName("fida11")
	trainerKey     = keyMark + "trainer"
	// testRevokeTime is the time within which keys are revoked, that of the deployments. Hosts serve
	// requests for three fifths of it without a path to the store.
	testRevokeTime = 5 * time.Second
	// registrationTime is how long after a daemon is ready it knows the replicas at the latest.
	registrationTime = 300 * time.Millisecond
)

// newKeyedEnv starts a deployment with accounts.
func newKeyedEnv(t *testing.T, daemons int) *testEnv {
	return startTestEnv(&testEnv{t: t, revokeTime: testRevokeTime, accounts: map[gypsum.AccountName][]string{
		keptAccount: {keptKey, revokedKey}, trainerAccount: {trainerKey},
	}}, daemons)
}

// TestSoakWithKeys injects the faults of TestSoak into a deployment with accounts, and checks
// that all that reached replicas named its account and no key.
func TestSoakWithKeys(t *testing.T) {
	env := newKeyedEnv(t, *daemonCount)
	load := newWorkload(env)
	load.apiKey = trainerKey
	runSeed(env, load, *firstSeed)
	for _, violation := range callerViolations(env, func(string) gypsum.AccountName { return trainerAccount }) {
		t.Error(violation)
	}
	for _, violation := range keyTraces(env) {
		t.Error(violation)
	}
}

// callerViolations checks that requests that arrived at replicas carried no key and the name of the
// account that is expected of the request with an ID, empty for none.
func callerViolations(env *testEnv, expected func(id string) gypsum.AccountName) []string {
	var violations []string
	for _, replica := range env.replicas {
		for _, id := range replica.CallerIDs() {
			if id == "" {
				continue // a report or a load order
			}
			for _, caller := range replica.Callers(id) {
				account := []string{string(expected(id))}
				if account[0] == "" {
					account = nil
				}
				if len(caller.Keys) > 0 || !slices.Equal(caller.Accounts, account) {
					violations = append(violations, fmt.Sprintf("request %s reached %s with %d keys and accounts %q, want %q", id, replica.ID, len(caller.Keys), caller.Accounts, account))
				}
			}
		}
	}
	return violations
}

// keyTraces checks that no key was logged, nor stored other than in the configuration.
func keyTraces(env *testEnv) []string {
	var violations []string
	for _, daemon := range env.daemons {
		content, err := os.ReadFile(env.logPath(daemon))
		if err != nil {
			violations = append(violations, err.Error())
		}
		if bytes.Contains(content, []byte(keyMark)) {
			violations = append(violations, daemon.name+" logged a key")
		}
	}
	for _, topic := range []gypsum.Topic{"keyed.state", "keyed.body", "keyed.text"} {
		for partition := range gypsum.Partition(4) {
			page, err := env.store.LatestRecords(context.Background(), topic, partition, "")
			if err != nil {
				violations = append(violations, err.Error())
				continue
			}
			for _, record := range page.Records {
				if strings.Contains(record.Key, keyMark) || bytes.Contains(record.Value, []byte(keyMark)) {
					violations = append(violations, fmt.Sprintf("record %s of %s contains a key", record.Key, topic))
				}
			}
		}
	}
	return violations
}

// keyedCall is a request with a key and its outcome.
type keyedCall struct {
	id, key string
	daemon  int
	sentAt  time.Time
	status  int
	reason  string
	took    time.Duration
}

// callers sends requests with both keys, and without one on an open route, to each daemon until ctx
// ends, and returns what came of them.
func sendKeyedCalls(ctx context.Context, env *testEnv) []keyedCall {
	var mu sync.Mutex
	var calls []keyedCall
	var wg sync.WaitGroup
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for i, daemon := range env.daemons {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				key := []string{keptKey, revokedKey, ""}[n%3]
				call := keyedCall{id: fmt.Sprintf("%s-%d", daemon.name, n), key: key, daemon: i, sentAt: time.Now()}
				target := map[bool]string{true: "/open/x", false: "/i/x"}[key == ""]
				wg.Go(func() {
					call.status, call.reason = sendKeyedCall(env.t, client, daemon, target, call.id, key)
					call.took = time.Since(call.sentAt)
					mu.Lock()
					defer mu.Unlock()
					calls = append(calls, call)
				})
				time.Sleep(tryPause)
			}
		})
	}
	wg.Wait()
	return calls
}

// sendKeyedCall sends a request and returns the status of the response, 0 for none, and why the
// request was not served.
func sendKeyedCall(t *testing.T, client *http.Client, daemon *daemonProcess, target, id, key string) (status int, reason string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+daemon.address()+target, strings.NewReader(id))
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	req.Host = routeHost
	mimic.SetRequestHeaders(req.Header, id, 3*time.Second, 0)
	mimic.SetAPIKey(req.Header, key, "pretended")
	if key == "" {
		req.Header = http.Header{}
		mimic.SetRequestHeaders(req.Header, id, 3*time.Second, 0)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	if resp.StatusCode == http.StatusOK {
		return resp.StatusCode, ""
	}
	return resp.StatusCode, string(content)
}

// ran reports whether a request arrived at a replica.
func (env *testEnv) ran(id string) bool {
	return slices.ContainsFunc(env.replicas, func(replica *registeredReplica) bool { return len(replica.Callers(id)) > 0 })
}

// TestRevokedKey guards against hosts that run requests of a revoked key too late: with a path to
// the store, cut off from it, frozen while it is revoked, and while no host has a path. It also
// guards against hosts that refuse a valid key, or take too long to serve it again.
func TestRevokedKey(t *testing.T) {
	const frozenTime = testRevokeTime + 2*time.Second
	for _, row := range []struct {
		name  string
		fault func(env *testEnv, set bool)
		// refuses is set if hosts without a path to the store refuse valid keys.
		refuses bool
	}{
		{"no fault", func(*testEnv, bool) {}, false},
		{"one host cut off", func(env *testEnv, set bool) {
			env.daemons[1].storeProxy.setFault(map[bool]proxyFault{true: proxyHoldAll, false: proxyForward}[set])
		}, false},
		{"one host frozen", func(env *testEnv, set bool) {
			env.daemons[1].signal(map[bool]syscall.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[set])
		}, false},
		{"all hosts cut off, one frozen", func(env *testEnv, set bool) {
			for _, daemon := range env.daemons {
				daemon.storeProxy.setFault(map[bool]proxyFault{true: proxyHoldAll, false: proxyForward}[set])
			}
			env.daemons[1].signal(map[bool]syscall.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[set])
		}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			env := newKeyedEnv(t, 3)
			time.Sleep(registrationTime)
			ctx, cancel := context.WithCancel(t.Context())
			var calls []keyedCall
			done := make(chan struct{})
			go func() {
				defer close(done)
				calls = sendKeyedCalls(ctx, env)
			}()
			time.Sleep(1500 * time.Millisecond)
			row.fault(env, true)
			faultAt := time.Now()
			time.Sleep(200 * time.Millisecond)
			env.accounts = map[gypsum.AccountName][]string{keptAccount: {keptKey}, trainerAccount: {trainerKey}}
			env.putRecord("keyed.op", "config", env.newConfiguration(2))
			revokedAt := time.Now()
			time.Sleep(frozenTime)
			row.fault(env, false)
			healedAt := time.Now()
			time.Sleep(2500 * time.Millisecond)
			cancel()
			<-done

			served, refused, early := 0, 0, 0
			for _, call := range calls {
				age := call.sentAt.Sub(revokedAt)
				switch {
				case call.key == revokedKey && age > testRevokeTime:
					if env.ran(call.id) {
						t.Errorf("request %s of the revoked key ran; it was sent %v after the revocation", call.id, age)
					}
					if call.status != http.StatusUnauthorized && call.status != http.StatusServiceUnavailable && call.status != 0 {
						t.Errorf("request %s of the revoked key got status %d", call.id, call.status)
					}
					refused++
				case call.key == revokedKey && call.sentAt.Before(faultAt) && call.status == http.StatusOK:
					early++
				case call.key == keptKey && call.status == http.StatusUnauthorized:
					t.Errorf("request %s of a valid key got status 401 %v after the revocation", call.id, age)
				case call.key == keptKey:
					frozen := strings.Contains(row.name, "frozen") && call.daemon == 1
					// Part of the time in which a host must serve valid keys without a path to the store.
					within := call.sentAt.Sub(faultAt) < testRevokeTime*6/10
					healed := call.sentAt.Sub(healedAt) > time.Second
					mustServe := healed || (!frozen && (within || !row.refuses))
					if mustServe && call.status != http.StatusOK {
						t.Errorf("request %s of a valid key got status %d after %v; it was sent %v after the fault: %s", call.id, call.status, call.took, call.sentAt.Sub(faultAt), call.reason)
					}
					if row.refuses && !frozen && call.sentAt.Sub(faultAt) > testRevokeTime && call.sentAt.Before(healedAt) {
						if call.status != http.StatusServiceUnavailable || call.took > 500*time.Millisecond {
							t.Errorf("request %s got status %d after %v while its key cannot be checked", call.id, call.status, call.took)
						}
					}
					served++
				}
			}
			if served == 0 || refused == 0 || early == 0 {
				t.Errorf("%d calls with a valid key, %d with a revoked one, %d with it before", served, refused, early)
			}
			keys := make(map[string]string)
			for _, call := range calls {
				keys[call.id] = call.key
			}
			for _, violation := range callerViolations(env, func(id string) gypsum.AccountName {
				if keys[id] == "" {
					return ""
				}
				return keptAccount
			}) {
				t.Error(violation)
			}
			for _, violation := range keyTraces(env) {
				t.Error(violation)
			}
		})
	}
}

// TestBatchSurvivesRevocation checks that a batch continues after the key with which it was
// submitted is revoked, and that another key of its account reads the results.
func TestBatchSurvivesRevocation(t *testing.T) {
	is := is.New(t)
	env := newKeyedEnv(t, 3)
	load := newWorkload(env)
	load.apiKey = revokedKey
	observed := &observedBatch{id: "lasting", minVersion: 1, scored: true}
	load.batches = append(load.batches, observed)
	load.submitBatch(t.Context(), observed, rand.New(rand.NewPCG(1, 1)))
	is.True(observed.accepted)
	env.accounts = map[gypsum.AccountName][]string{keptAccount: {keptKey}, trainerAccount: {trainerKey}}
	env.putRecord("keyed.op", "config", env.newConfiguration(2))
	time.Sleep(500 * time.Millisecond)
	for _, daemon := range env.daemons {
		for key, expected := range map[string]int{revokedKey: http.StatusUnauthorized, trainerKey: http.StatusNotFound, keptKey: http.StatusOK} {
			load.apiKey = key
			status, _ := load.sendRequest(t.Context(), daemon, http.MethodGet, mimic.ResultsTarget(observed.id, 0), "read", nil)
			is.Equal(status, expected)
		}
	}
	load.apiKey = keptKey
	for deadline := time.Now().Add(stepDue); len(observed.results) < len(observed.items) && time.Now().Before(deadline); {
		load.readResults(t.Context(), observed, env.daemons[1])
	}
	is.Equal(len(observed.results), len(observed.items))
	for _, violation := range callerViolations(env, func(string) gypsum.AccountName { return keptAccount }) {
		t.Error(violation)
	}
}

// TestReadyHostAcceptsKeys guards against a host that the load balancer uses before it can accept
// keys, since it does not know yet whether its configuration is current.
func TestReadyHostAcceptsKeys(t *testing.T) {
	env := newKeyedEnv(t, 1)
	client := &http.Client{Timeout: callTimeout}
	for start := range 12 {
		if start > 0 {
			env.daemons[0].kill()
			env.startDaemon(env.daemons[0])
			for !env.daemons[0].isReady() {
				time.Sleep(time.Millisecond)
			}
		}
		// The host may not know the replicas yet.
		_, reason := sendKeyedCall(t, client, env.daemons[0], "/i/x", fmt.Sprint("ready-", start), keptKey)
		if strings.Contains(reason, string(gypsum.ReasonKeysOutdated)) {
			t.Errorf("start %d: %s", start, reason)
		}
	}
}

// TestFirstAccounts guards against a host that passes keys on, or omits the name of the account, while it does not know
// yet that the deployment has accounts: it is cut off from the store when the first configuration with accounts is
// stored.
func TestFirstAccounts(t *testing.T) {
	const (
		cutTime = 5100 * time.Millisecond
		// servedWithin is the time within which a configuration takes effect.
		servedWithin = 3 * time.Second
	)
	env := startTestEnv(&testEnv{t: t}, 3)
	time.Sleep(registrationTime)
	cutOff := env.daemons[1]
	cutOff.storeProxy.setFault(proxyHoldAll)
	time.Sleep(100 * time.Millisecond)
	env.accounts = map[gypsum.AccountName][]string{keptAccount: {keptKey}}
	env.putRecord("keyed.op", "config", env.newConfiguration(2))
	storedAt := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), cutTime)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	served := 0
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for _, daemon := range env.daemons {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id, sentAt := fmt.Sprintf("%s-%d", daemon.name, n), time.Now()
				target := []string{"/i/x", "/n/x", streamPrefix + "x"}[n%3]
				wg.Go(func() {
					status, reason := sendKeyedCall(t, client, daemon, target, id, keptKey)
					mu.Lock()
					defer mu.Unlock()
					switch {
					case status == http.StatusOK:
						served++
					case status != http.StatusServiceUnavailable:
						t.Errorf("request %s got status %d: %s", id, status, reason)
					case sentAt.Sub(storedAt) > servedWithin:
						t.Errorf("request %s, sent %v after the configuration was stored, was refused: %s", id, sentAt.Sub(storedAt), reason)
					}
				})
				time.Sleep(tryPause)
			}
		})
	}
	wg.Wait()
	if served == 0 {
		t.Error("no request was served")
	}
	for _, violation := range callerViolations(env, func(string) gypsum.AccountName { return keptAccount }) {
		t.Error(violation)
	}
	for _, violation := range keyTraces(env) {
		t.Error(violation)
	}
}

package front_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/access"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/platform/mimic"
)

// Keys of the accounts of a test. No key may be found anywhere but in the requests of clients.
const (
	keyMark   = "secret-"
	huleKey   = keyMark + "hule-1"
	otherKey  = keyMark + "hule-2"
	fidaKey   = keyMark + "fida-1"
	wrongKey  = keyMark + "wrong"
	openRoute = "/open/"
)

// logBuffer keeps what is logged.
type logBuffer struct {
	mu      sync.Mutex
	content bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(content []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.Write(content)
}

// String returns what was logged.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.String()
}

// watchForKeys fails the test if a request of another daemon contains a key.
func (s *testServer) watchForKeys(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, err := io.ReadAll(r.Body)
		if err == nil && bytes.Contains(content, []byte(keyMark)) {
			s.t.Errorf("request %s of another daemon contains a key", r.URL.Path)
		}
		r.Body = io.NopCloser(bytes.NewReader(content))
		next.ServeHTTP(w, r)
	})
}

// applyAccounts applies a configuration with accounts, their keys and routes that need no key, and
// confirms it.
func (s *testServer) applyAccounts(revision gypsum.Revision, keys map[gypsum.AccountName][]string) {
	s.t.Helper()
	config := newConfig(revision)
	config.Accounts = gypsum.NewAccounts()
	for name, accountKeys := range keys {
		config.Accounts.Add(gypsum.Account{Name: name}, accountKeys)
	}
	for i, prefix := range []string{openRoute, openRoute + "t/"} {
		open := config.Routes[0]
		open.Name, open.PathPrefix, open.NoAuth = prefix, prefix, true
		open.Kind = []gypsum.RouteKind{gypsum.RouteIdempotent, gypsum.RouteRollout}[i]
		config.Routes = append(config.Routes, open)
	}
	s.registry.ApplyConfig(config)
	s.registry.ConfirmConfig(time.Duration(s.clock.Load()))
}

// allKeys are the accounts and keys of most tests.
func allKeys() map[gypsum.AccountName][]string {
	return map[gypsum.AccountName][]string{"hule930": {huleKey, otherKey}, "fida11": {fidaKey}}
}

// sendWithKey sends a request with a key, empty for none, whose client claims to be of another
// account.
func (s *testServer) sendWithKey(method, target, id, body, key string) (int, http.Header, string) {
	s.t.Helper()
	request, err := http.NewRequestWithContext(s.t.Context(), method, s.url+target, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = "a.example"
	mimic.SetRequestHeaders(request.Header, id, 1500*time.Millisecond, time.Second)
	if key != "" {
		mimic.SetAPIKey(request.Header, key, "pretended")
	}
	return exchange(request)
}

// callers returns what all replicas learned of the clients of the requests with an ID.
func (s *testServer) callers(id string) []mimic.Caller {
	var callers []mimic.Caller
	for _, replica := range s.replicas {
		callers = append(callers, replica.Callers(id)...)
	}
	return callers
}

// checkNoKeyLeft fails the test if a key was logged or stored.
func (s *testServer) checkNoKeyLeft() {
	s.t.Helper()
	if strings.Contains(s.logs.String(), keyMark) {
		s.t.Error("a key was logged")
	}
	for _, topic := range []gypsum.Topic{"keyed.state", "keyed.body", "keyed.text"} {
		page, err := s.recordStore.Read(s.t.Context(), gypsum.KeyedRead{Topic: topic})
		if err != nil {
			s.t.Fatal(err)
		}
		for _, record := range page.Records {
			if strings.Contains(record.Key, keyMark) || bytes.Contains(record.Value, []byte(keyMark)) {
				s.t.Errorf("record %s of %s contains a key", record.Key, topic)
			}
		}
	}
}

// TestAccountReachesReplica guards against a request that reaches a replica with the key, without
// the name of its account or with the one that the client states: on each kind of route, with
// retries and resumed streams, directly and through another host.
func TestAccountReachesReplica(t *testing.T) {
	for name, start := range map[string]func(*testing.T, int) *testServer{"directly": newTestServer, "through another host": newCutOffServer} {
		for _, fault := range []mimic.Fault{"", mimic.FaultError, mimic.FaultTruncated, mimic.FaultFull} {
			t.Run(name+" "+string(fault), func(t *testing.T) {
				is := is.New(t)
				s := start(t, 3)
				s.applyAccounts(2, allKeys())
				s.preferFirstReplica()
				s.replicas[0].SetFault(fault)
				for i, target := range []string{"/i/a", "/n/a", "/i/stream/a", resumableTarget} {
					for key, account := range map[string]string{huleKey: "hule930", fidaKey: "fida11", otherKey: "hule930"} {
						id := fmt.Sprint("q-", i, account, len(key))
						s.sendWithKey("POST", target, id, "x", key)
						callers := s.callers(id)
						is.True(len(callers) > 0)
						for _, caller := range callers {
							is.Equal(caller, mimic.Caller{Accounts: []string{account}})
						}
					}
				}
				status, _, _ := s.sendWithKey("POST", openRoute+"a", "open", "x", huleKey)
				is.True(status == http.StatusOK || fault == mimic.FaultTruncated)
				for _, caller := range s.callers("open") {
					is.Equal(caller, mimic.Caller{}) // a route that needs no key
				}
				is.True(len(s.callers("open")) > 0)
				s.checkNoKeyLeft()
			})
		}
	}
}

// TestDeploymentWithoutAccounts guards against headers of clients that are changed although the
// deployment has no accounts, in which they mean nothing. The host asks the store whether it has any.
func TestDeploymentWithoutAccounts(t *testing.T) {
	for name, start := range map[string]func(*testing.T, int) *testServer{"directly": newTestServer, "through another host": newCutOffServer} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := start(t, 1)
			s.applyConfig()
			s.clock.Store(int64(time.Hour)) // no configuration was confirmed before the request
			s.access.Policy = access.Policy{StrictRevocation: true, RevocationDelay: 5 * time.Second}
			request, err := http.NewRequestWithContext(t.Context(), "POST", s.url+"/i/a", strings.NewReader("x"))
			is.NoErr(err)
			request.Host = "a.example"
			mimic.SetRequestHeaders(request.Header, "q1", time.Second, 0)
			mimic.SetAPIKey(request.Header, "own", "pretended")
			status, _, _ := exchange(request)
			is.Equal(status, http.StatusOK)
			is.Equal(s.callers("q1"), []mimic.Caller{{Accounts: []string{"pretended"}, Keys: []string{"own"}}})
		})
	}
}

// setCatchUp sets what the host does to learn the newest configuration.
func (s *testServer) setCatchUp(catchUp func(context.Context) error) { s.catchUp.Store(&catchUp) }

// TestKeyAtHostBehind guards against a request that reaches a replica with the key, or without the name of its
// account, at a host that has not read the first configuration with accounts.
func TestKeyAtHostBehind(t *testing.T) {
	const atOnce = 200 * time.Millisecond
	for name, start := range map[string]func(*testing.T, int) *testServer{"directly": newTestServer, "through another host": newCutOffServer} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := start(t, 1)
			s.applyConfig()
			s.registry.ConfirmConfig(0)
			s.clock.Store(int64(time.Millisecond))
			s.setCatchUp(func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
			targets := []string{"/i/a", "/n/a", "/i/stream/a", resumableTarget, openRoute + "a", "/t/b", "/none", mimic.ResultsTarget("b", 0), mimic.ItemTarget("b", "e")}
			for i, target := range targets {
				id := fmt.Sprint("q-", i)
				startedAt := time.Now()
				status, header, _ := s.sendWithKey(map[bool]string{true: "GET", false: "POST"}[i > 6], target, id, encodeTestBatch(t), huleKey)
				is.Equal(status, http.StatusServiceUnavailable)
				is.True(header.Get("Retry-After") != "")
				is.True(time.Since(startedAt) < time.Second)
				is.True(i == 0 || i > 3 || time.Since(startedAt) < atOnce) // the next after a read that failed
				is.Equal(len(s.callers(id)), 0)
			}
			status, _, _ := s.sendRequest("POST", "/i/a", "without", "x")
			is.Equal(status, http.StatusOK) // states no key
			time.Sleep(300 * time.Millisecond)
			s.setCatchUp(func(context.Context) error { s.applyAccounts(2, allKeys()); return nil })
			status, _, _ = s.sendWithKey("POST", "/i/a", "learned", "x", huleKey)
			is.Equal(status, http.StatusOK)
			is.Equal(s.callers("learned"), []mimic.Caller{{Accounts: []string{"hule930"}}})
			s.checkNoKeyLeft()
		})
	}
}

// TestBatchAtHostBehind guards against a batch of an account that can be read and ended without a key at a host that
// has not read the first configuration with accounts.
func TestBatchAtHostBehind(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 1)
	s.applyAccounts(2, allKeys())
	behind := s.startPeer("host-2")
	behind.clock.Store(int64(time.Millisecond))
	behind.setCatchUp(func(context.Context) error { return gypsum.ErrStoreRefused })
	status, _, _ := s.sendWithKey("POST", "/t/b1", "b1", encodeTestBatch(t), huleKey)
	is.Equal(status, http.StatusAccepted)
	calls := []struct{ method, target string }{{"GET", mimic.ResultsTarget("b1", 0)}, {"GET", mimic.ItemTarget("b1", "e1")}, {"DELETE", mimic.BatchTarget("b1")}}
	for _, call := range calls {
		status, header, _ := behind.sendRequest(call.method, call.target, "c1", "")
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(header.Get("Retry-After") != "")
	}
	status, _, _ = behind.sendRequest("GET", mimic.ResultsTarget("b0", 0), "c2", "")
	is.Equal(status, http.StatusNotFound)
	status, _, _ = s.sendWithKey("GET", mimic.ItemTarget("b1", "e1"), "c3", "", huleKey)
	is.Equal(status, http.StatusOK) // the batch was not ended
	behind.checkNoKeyLeft()
	// The configuration dropped all accounts: batches need no key.
	time.Sleep(300 * time.Millisecond)
	behind.setCatchUp(func(context.Context) error { return nil })
	for _, call := range calls {
		status, _, _ := behind.sendRequest(call.method, call.target, "c4", "")
		is.Equal(status, http.StatusOK)
	}
}

// TestItemKeysAtHostBehind guards against items that are stored with a key in their headers, with which they would
// reach replicas, at a host that has not read the first configuration with accounts.
func TestItemKeysAtHostBehind(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 1)
	s.applyConfig()
	s.registry.ConfirmConfig(0)
	s.clock.Store(int64(time.Millisecond))
	for i, catchUp := range []func(context.Context) error{
		func(context.Context) error { return gypsum.ErrStoreRefused },
		func(context.Context) error { s.applyAccounts(2, allKeys()); return nil },
	} {
		time.Sleep(300 * time.Millisecond) // longer than the pause after a read that failed
		s.setCatchUp(catchUp)
		status, header, _ := s.sendRequest("POST", "/t/b", fmt.Sprint("b", i), encodeTestBatch(t))
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(header.Get("Retry-After") != "")
	}
	s.checkNoKeyLeft()
}

// TestRouteHidesNoBatch guards against a route whose prefix takes the calls about batches, which then can't be read or
// ended, and checks that it takes the requests under the same paths.
func TestRouteHidesNoBatch(t *testing.T) {
	for _, prefix := range []string{"/", "/lots/", "/items/"} {
		t.Run(prefix, func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t, 1)
			s.applyConfig()
			status, _, _ := s.sendRequest("POST", "/t/b1", "b1", encodeTestBatch(t))
			is.Equal(status, http.StatusAccepted)
			config := newConfig(2)
			added := config.Routes[0]
			added.Name, added.PathPrefix = "added", prefix
			config.Routes = append(config.Routes, added)
			s.registry.ApplyConfig(config)
			call := func(method, target, id string) (int, string) {
				request, err := http.NewRequestWithContext(t.Context(), method, s.url+target, nil)
				is.NoErr(err)
				request.Host = "a.example"
				if id != "" {
					mimic.SetRequestHeaders(request.Header, id, time.Second, 0)
				}
				status, _, body := exchange(request)
				return status, body
			}
			for _, id := range []string{"", "c1"} { // clients may name their calls
				status, body := call("GET", mimic.ItemTarget("b1", "e1"), id)
				is.Equal(status, http.StatusOK)
				is.Equal(body, "\xab\xcd\xef")
				status, body = call("GET", mimic.ResultsTarget("b1", 0), id)
				is.Equal(status, http.StatusOK)
				is.True(strings.Contains(body, `"total":1`))
				status, _ = call("DELETE", mimic.BatchTarget("b1"), id)
				is.Equal(status, http.StatusOK)
			}
			status, _ = call("GET", mimic.ResultsTarget("b0", 0), "")
			is.Equal(status, http.StatusNotFound)
			is.Equal(len(s.callers("")), 0)
			status, body := call("GET", prefix+"x", "q1")
			is.Equal(status, http.StatusOK)
			is.Equal(body, mimic.PlainResponseBody("q1", prefix+"x", nil))
			status, _ = call("POST", prefix+"x", "q2")
			is.Equal(status, http.StatusOK)
		})
	}
}

// TestRequestWithoutValidKey checks that a request without a valid key gets status 401 and reaches
// no replica, whether or not its route exists.
func TestRequestWithoutValidKey(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 1)
	s.applyAccounts(2, allKeys())
	for i, target := range []string{"/i/a", "/n/a", "/i/stream/a", "/t/b", "/none", mimic.BatchTarget("b"), mimic.ItemTarget("b", "e")} {
		for _, key := range []string{"", wrongKey, huleKey + " x", strings.Repeat(keyMark, 50)} {
			id := fmt.Sprint("q-", i)
			status, header, _ := s.sendWithKey(map[bool]string{true: "GET", false: "POST"}[i > 4], target, id, "{", key)
			is.Equal(status, http.StatusUnauthorized)
			is.Equal(header.Get("Retry-After"), "")
			is.Equal(len(s.callers(id)), 0)
		}
	}
	request, err := http.NewRequestWithContext(t.Context(), "POST", s.url+"/i/a", strings.NewReader("x"))
	is.NoErr(err)
	request.Host = "a.example"
	mimic.SetRequestHeaders(request.Header, "two", time.Second, 0)
	mimic.SetAPIKey(request.Header, huleKey, "")
	for name := range request.Header {
		if request.Header.Get(name) == huleKey {
			request.Header.Add(name, huleKey)
		}
	}
	status, _, _ := exchange(request)
	is.Equal(status, http.StatusUnauthorized) // several keys
	status, _, _ = s.sendWithKey("POST", "/none", "none", "x", huleKey)
	is.Equal(status, http.StatusNotFound)
	s.applyAccounts(3, nil)
	status, _, _ = s.sendWithKey("POST", "/i/a", "empty", "x", huleKey)
	is.Equal(status, http.StatusUnauthorized) // the configuration drops all accounts
	s.checkNoKeyLeft()
}

// TestOutdatedConfiguration checks that an unknown key gets status 401 only while the configuration
// is known to be current, and that a known one is accepted until it may have been revoked.
func TestOutdatedConfiguration(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 1)
	status, header, _ := s.sendWithKey("POST", "/i/a", "q0", "x", huleKey)
	is.Equal(status, http.StatusServiceUnavailable) // no configuration
	is.True(header.Get("Retry-After") != "")
	s.access.Policy = access.Policy{StrictRevocation: true, RevocationDelay: 5 * time.Second}
	s.applyAccounts(2, allKeys())
	for _, row := range []struct {
		age            time.Duration
		known, unknown int
	}{
		{0, http.StatusOK, http.StatusUnauthorized},
		{time.Second, http.StatusOK, http.StatusUnauthorized},
		{1001 * time.Millisecond, http.StatusOK, http.StatusServiceUnavailable},
		{4 * time.Second, http.StatusOK, http.StatusServiceUnavailable},
		{4600 * time.Millisecond, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
		{time.Hour, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
	} {
		s.clock.Store(int64(row.age))
		for key, expected := range map[string]int{huleKey: row.known, wrongKey: row.unknown} {
			startedAt := time.Now()
			status, header, _ := s.sendWithKey("POST", "/i/a", fmt.Sprint("q-", row.age, len(key)), "x", key)
			is.Equal(status, expected)
			is.Equal(header.Get("Retry-After") != "", expected == http.StatusServiceUnavailable)
			is.True(expected == http.StatusOK || time.Since(startedAt) < 500*time.Millisecond) // at once
		}
		status, _, _ := s.sendWithKey("POST", openRoute+"a", fmt.Sprint("open-", row.age), "x", "")
		is.Equal(status, http.StatusOK)
	}
	s.access.Policy.StrictRevocation = false
	status, _, _ = s.sendWithKey("POST", "/i/a", "late", "x", huleKey)
	is.Equal(status, http.StatusOK)
}

// TestKeyRevokedBetweenAttempts guards against a request that is sent to another replica after its
// key was revoked, after the key can no longer be known to be valid, or after its key was given to
// another account.
func TestKeyRevokedBetweenAttempts(t *testing.T) {
	for name, change := range map[string]func(*testServer){
		"revoked": func(s *testServer) {
			s.applyAccounts(3, map[gypsum.AccountName][]string{"fida11": {fidaKey}})
		},
		"may be revoked": func(s *testServer) { s.clock.Store(int64(4600 * time.Millisecond)) },
		"moved":          func(s *testServer) { s.applyAccounts(3, map[gypsum.AccountName][]string{"fida11": {huleKey}}) },
	} {
		for _, target := range []string{"/i/a", resumableTarget} {
			t.Run(name+target, func(t *testing.T) {
				is := is.New(t)
				s := newTestServer(t, 2)
				s.access.Policy = access.Policy{StrictRevocation: true, RevocationDelay: 5 * time.Second}
				s.applyAccounts(2, allKeys())
				var once sync.Once
				for i, replica := range s.replicas {
					backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						replica.Handler().ServeHTTP(w, r)
						once.Do(func() { change(s) })
						panic(http.ErrAbortHandler)
					}))
					t.Cleanup(backend.Close)
					s.addresses[i] = strings.TrimPrefix(backend.URL, "http://")
					replica.SetFault(mimic.FaultError)
				}
				s.registerReplicas()
				status, _, _ := s.sendWithKey("POST", target, "q1", "x", huleKey)
				is.Equal(status, http.StatusBadGateway)
				is.Equal(len(s.callers("q1")), 1)
				is.Equal(s.access.Stats.RefusedSends.Load(), int64(1))
			})
		}
	}
}

// TestKeysRequiredBetweenAttempts guards against a request that arrived before keys were required
// and reaches a replica afterwards, with a key or the name of an account in its header.
func TestKeysRequiredBetweenAttempts(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 2)
	s.applyConfig()
	for _, replica := range s.replicas {
		replica.ServiceTime = 300 * time.Millisecond
		replica.SetFault(mimic.FaultSilent)
	}
	done := make(chan int)
	go func() {
		status, _, _ := s.sendWithKey("POST", "/i/a", "q1", "x", huleKey)
		done <- status
	}()
	time.Sleep(20 * time.Millisecond)
	is.Equal(len(s.callers("q1")), 1)
	s.applyAccounts(2, allKeys())
	is.Equal(<-done, http.StatusBadGateway)
	is.Equal(len(s.callers("q1")), 1)
}

// encodeTestBatch returns the body of a batch whose item states a key and an account.
func encodeTestBatch(t *testing.T) string {
	t.Helper()
	return fmt.Sprintf(`{"step":1,"model":"m","items":[{"id":"e1","path":"/t/1","headers":{"Model":"m","api-key":%q,"tenant":"pretended","Api-Key":%q},"body":"q83v","group":"g"}]}`,
		wrongKey, huleKey)
}

// TestBatchesOfAccounts checks that only callers of a batch's account can access it, with any key
// of the account and at any host, and that others get the same responses as for no batch.
func TestBatchesOfAccounts(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 1)
	s.applyAccounts(2, allKeys())
	peer := s.startPeer("host-2")
	peer.applyAccounts(2, allKeys())
	submitted := encodeTestBatch(t)
	status, _, _ := s.sendWithKey("POST", "/t/b1", "b1", submitted, huleKey)
	is.Equal(status, http.StatusAccepted)
	status, _, _ = peer.sendWithKey("POST", "/t/b1", "b1", submitted, otherKey)
	is.Equal(status, http.StatusAccepted) // a repeated submission
	status, _, _ = peer.sendWithKey("POST", "/t/b1", "b1", submitted, fidaKey)
	is.Equal(status, http.StatusConflict)
	results, item, unknown := mimic.ResultsTarget("b1", 0), mimic.ItemTarget("b1", "e1"), mimic.ResultsTarget("b0", 0)
	is.NoErr(s.frontend.Batches.StoreResult(t.Context(), "b1", &gypsum.BatchResult{Item: "e1", State: gypsum.ItemCompleted, Text: "t"}))
	for _, host := range []*testServer{s, peer} {
		for _, key := range []string{huleKey, otherKey} {
			status, _, body := host.sendWithKey("GET", results, "c1", "", key)
			is.Equal(status, http.StatusOK)
			is.True(strings.Contains(body, `"e1"`))
			status, _, body = host.sendWithKey("GET", item, "c2", "", key)
			is.Equal(status, http.StatusOK)
			is.Equal(body, "\xab\xcd\xef")
		}
		_, _, expected := host.sendWithKey("GET", unknown, "c3", "", fidaKey)
		for _, call := range []struct{ method, target string }{{"GET", results}, {"GET", item}, {"DELETE", mimic.BatchTarget("b1")}} {
			status, _, body := host.sendWithKey(call.method, call.target, "c4", "", fidaKey)
			is.Equal(status, http.StatusNotFound)
			is.Equal(body, strings.ReplaceAll(expected, "b0", "b1"))
			for _, key := range []string{"", wrongKey} {
				status, _, _ = host.sendWithKey(call.method, call.target, "c5", "", key)
				is.Equal(status, http.StatusUnauthorized)
			}
		}
	}
	// A key that is revoked does not end the batch.
	s.applyAccounts(3, map[gypsum.AccountName][]string{"hule930": {otherKey}, "fida11": {fidaKey}})
	status, _, _ = s.sendWithKey("GET", results, "c6", "", huleKey)
	is.Equal(status, http.StatusUnauthorized)
	status, _, _ = s.sendWithKey("GET", results, "c7", "", otherKey)
	is.Equal(status, http.StatusOK)
	s.recordStore.SetFault(fake.KeyedRefused)
	for _, target := range []string{results, unknown} {
		status, header, _ := s.sendWithKey("GET", target, "c8", "", fidaKey)
		is.Equal(status, http.StatusServiceUnavailable) // not certain that there is no batch
		is.True(header.Get("Retry-After") != "")
		status, _, _ = s.sendWithKey("DELETE", mimic.BatchTarget("b1"), "c9", "", fidaKey)
		is.Equal(status, http.StatusServiceUnavailable)
	}
	s.recordStore.SetFault(0)
	status, _, _ = s.sendWithKey("DELETE", mimic.BatchTarget("b1"), "c10", "", otherKey)
	is.Equal(status, http.StatusOK)
	s.checkNoKeyLeft()
	peer.checkNoKeyLeft()
}

// TestBatchesWithoutAccount checks that a batch of a route that needs no key can be accessed without
// a key and with that of any account, and that it makes no other batch accessible.
func TestBatchesWithoutAccount(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 1)
	s.applyAccounts(2, allKeys())
	status, _, _ := s.sendWithKey("POST", openRoute+"t/b1", "b1", encodeTestBatch(t), "")
	is.Equal(status, http.StatusAccepted)
	status, _, _ = s.sendWithKey("POST", "/t/b2", "b2", encodeTestBatch(t), huleKey)
	is.Equal(status, http.StatusAccepted)
	for _, key := range []string{"", huleKey, fidaKey} {
		status, _, _ = s.sendWithKey("GET", mimic.ItemTarget("b1", "e1"), "c1", "", key)
		is.Equal(status, http.StatusOK)
	}
	for _, id := range []string{"b2", "b0"} {
		status, _, _ = s.sendWithKey("GET", mimic.ItemTarget(id, "e1"), "c2", "", "")
		is.Equal(status, http.StatusUnauthorized) // whether or not there is such a batch
	}
	account, ok := s.frontend.Batches.State.AccountOf("b1")
	is.True(ok)
	is.Equal(account, gypsum.AccountName(""))
	s.checkNoKeyLeft()
}

// TestAccountPriority checks that the priority of an account takes precedence over the route's.
func TestAccountPriority(t *testing.T) {
	is := is.New(t)
	highest := 0
	route := &gypsum.Route{Priority: 2}
	is.Equal((&access.Grant{}).Priority(route), 2)
	is.Equal((&access.Grant{Account: &gypsum.Account{Name: "a"}}).Priority(route), 2)
	is.Equal((&access.Grant{Account: &gypsum.Account{Name: "a", Priority: &highest}}).Priority(route), 0)
}

// TestKeyIsIdentifiedInLogs checks that a refused request can be found by the hash of its key.
func TestKeyIsIdentifiedInLogs(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 1)
	s.applyAccounts(2, allKeys())
	status, _, _ := s.sendWithKey("POST", "/i/a", "q1", "x", wrongKey)
	is.Equal(status, http.StatusUnauthorized)
	hash, ok := gypsum.HashAPIKey(wrongKey)
	is.True(ok)
	is.True(strings.Contains(s.logs.String(), "key="+hash.String()))
	is.Equal(len(hash.String()), 8)
	s.checkNoKeyLeft()
}

// TestBodiesOfOneAccount guards against the bodies of one account that take all memory, so that the
// requests of other accounts are refused.
func TestBodiesOfOneAccount(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 2)
	s.applyAccounts(2, allKeys())
	for _, replica := range s.replicas {
		replica.ServiceTime = 500 * time.Millisecond
	}
	body := strings.Repeat("x", 60<<10)
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	for i := range 30 {
		wg.Go(func() {
			status, _, _ := s.sendWithKey("POST", "/n/a", fmt.Sprint("burst-", i), body, huleKey)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	time.Sleep(150 * time.Millisecond)
	for i := range 4 {
		wg.Go(func() {
			status, _, _ := s.sendWithKey("POST", "/n/a", fmt.Sprint("other-", i), body, fidaKey)
			mu.Lock()
			defer mu.Unlock()
			if status != http.StatusOK {
				s.t.Errorf("request of the other account got status %d", status)
			}
		})
	}
	wg.Wait()
	is.True(statuses[http.StatusOK] >= 8 && statuses[http.StatusServiceUnavailable] >= 16)
	is.Equal(s.frontend.Stats.Bodies.Refused.Load(), int64(statuses[http.StatusServiceUnavailable]))
}

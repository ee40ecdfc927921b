package front_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/platform/mimic"
)

// TestCrashWithEqualRequestsInFlight guards against one crash of one replica that counts once for each
// request that it ran: callers of a page that many ask for would be refused at all hosts, though the
// page crashes nothing.
func TestCrashWithEqualRequestsInFlight(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 3)
	s.applyConfig()
	const inFlight = 4
	var waiting atomic.Int64
	crashed := make(chan struct{})
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if waiting.Add(1) == inFlight {
			_ = server.Listener.Close()
			close(crashed)
		}
		<-crashed
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	s.registry.ApplyReplica(&gypsum.Replica{ID: "r-crashing", Service: "desk", Address: address, State: gypsum.ReplicaReady, Slots: inFlight, Incarnation: 5})
	s.moveFar(func(id gypsum.BackendID) bool { return id != "r-crashing" })
	var requests sync.WaitGroup
	for i := range inFlight {
		requests.Go(func() { s.sendRequest(http.MethodGet, "/i/page", fmt.Sprint("first", i), "") })
	}
	requests.Wait()
	is.Equal(waiting.Load(), int64(inFlight))
	fingerprint := gypsum.FingerprintOf("a.example", "/i/page", nil)
	for began := time.Now(); time.Since(began) < time.Second; time.Sleep(5 * time.Millisecond) {
		is.True(s.frontend.Batches.CrashCount(fingerprint) <= 1)
	}
	for i := range 5 {
		status, _, _ := s.sendRequest(http.MethodGet, "/i/page", fmt.Sprint("again", i), "")
		is.Equal(status, http.StatusOK)
	}
}

// TestServedRequestCrashesNothing guards against a request that is refused after unrelated crashes of
// replicas that ran it, although replicas have served it in between, also by a daemon that starts
// afterwards.
func TestServedRequestCrashesNothing(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 2)
	s.applyConfig()
	other := s.startPeer("host-2")
	fingerprint := gypsum.FingerprintOf("a.example", "/i/page", nil)
	for i := range 5 {
		crashed := &gypsum.Replica{ID: gypsum.BackendID(fmt.Sprint("gone-", i)), Incarnation: 1}
		is.NoErr(s.frontend.Batches.RecordCrash(t.Context(), fingerprint, crashed))
		time.Sleep(50 * time.Millisecond)
		status, _, _ := s.sendRequest(http.MethodGet, "/i/page", fmt.Sprint("p", i), "")
		is.Equal(status, http.StatusOK)
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(other.frontend.Batches.CrashCount(fingerprint), 0)
	// A response that is no success proves nothing.
	for i := range 3 {
		crashed := &gypsum.Replica{ID: gypsum.BackendID(fmt.Sprint("gone-", i)), Incarnation: 1}
		is.NoErr(s.frontend.Batches.RecordCrash(t.Context(), fingerprint, crashed))
		time.Sleep(50 * time.Millisecond)
		for _, replica := range s.replicas {
			replica.SetFault(mimic.FaultError)
		}
		s.sendRequest(http.MethodGet, "/i/page", fmt.Sprint("e", i), "")
	}
	time.Sleep(50 * time.Millisecond)
	is.Equal(other.frontend.Batches.CrashCount(fingerprint), 3)
	status, _, _ := other.sendRequest(http.MethodGet, "/i/page", "last", "")
	is.Equal(status, http.StatusServiceUnavailable)
}

// TestRequestCrashesOneSoftwareVersion guards against a request that crashes replicas of a new software
// version without end, since those of the older one serve it.
func TestRequestCrashesOneSoftwareVersion(t *testing.T) {
	is := is.New(t)
	s := newMixedServer(t, "v1")
	fingerprint := gypsum.FingerprintOf("a.example", "/i/page", nil)
	for i := range 3 {
		crashed := &gypsum.Replica{ID: gypsum.BackendID(fmt.Sprint("gone-", i)), Incarnation: 1, Software: "v2"}
		status, _, _ := s.sendRequest(http.MethodGet, "/i/page", fmt.Sprint("p", i), "")
		is.Equal(status, http.StatusOK)
		is.NoErr(s.frontend.Batches.RecordCrash(t.Context(), fingerprint, crashed))
		time.Sleep(50 * time.Millisecond)
	}
	status, _, _ := s.sendRequest(http.MethodGet, "/i/page", "last", "")
	is.Equal(status, http.StatusServiceUnavailable)
}

// TestThreeCrashesAtOnce guards against a page that many ask for and that is refused at all hosts, since all replicas of
// its service fell together while they ran it: it was served until then, and crashes nothing.
func TestThreeCrashesAtOnce(t *testing.T) {
	const replicas = 3
	for _, wasServed := range []bool{true, false} {
		t.Run(fmt.Sprint("served before ", wasServed), func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t, 0)
			s.applyConfig()
			other := httptest.NewServer(http.NotFoundHandler()) // shows that the host is not cut off
			t.Cleanup(other.Close)
			s.registry.ApplyReplica(&gypsum.Replica{ID: "other", Service: "other", Address: strings.TrimPrefix(other.URL, "http://"), State: gypsum.ReplicaReady, Slots: 1})
			var isFalling atomic.Bool
			var running sync.WaitGroup
			running.Add(replicas)
			for i := range replicas {
				replica := &mimic.Replica{ID: gypsum.BackendID(fmt.Sprint("old-", i)), Software: "v1"}
				var once sync.Once
				var server *httptest.Server
				server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if !isFalling.Load() {
						replica.Handler().ServeHTTP(w, r)
						return
					}
					once.Do(running.Done)
					running.Wait()
					_ = server.Listener.Close()
					panic(http.ErrAbortHandler)
				}))
				t.Cleanup(server.Close)
				s.registry.ApplyReplica(&gypsum.Replica{ID: replica.ID, Service: "desk", Address: strings.TrimPrefix(server.URL, "http://"), State: gypsum.ReplicaReady, Slots: 8, Software: "v1", Incarnation: 1})
			}
			if wasServed {
				for i := range 5 {
					status, _, _ := s.sendRequest(http.MethodGet, "/i/page", fmt.Sprint("before", i), "")
					is.Equal(status, http.StatusOK)
				}
			}
			isFalling.Store(true)
			var requests sync.WaitGroup
			for i := range 4 * replicas {
				requests.Go(func() { s.sendRequest(http.MethodGet, "/i/page", fmt.Sprint("falling", i), "") })
			}
			requests.Wait()
			time.Sleep(300 * time.Millisecond) // until the replicas have been probed
			for i := range replicas {
				replica := &mimic.Replica{ID: gypsum.BackendID(fmt.Sprint("new-", i)), Software: "v1"}
				server := httptest.NewServer(replica.Handler())
				t.Cleanup(server.Close)
				s.registry.RemoveReplica(gypsum.BackendID(fmt.Sprint("old-", i)))
				s.registry.ApplyReplica(&gypsum.Replica{ID: replica.ID, Service: "desk", Address: strings.TrimPrefix(server.URL, "http://"), State: gypsum.ReplicaReady, Slots: 8, Software: "v1", Incarnation: 2})
			}
			status, _, _ := s.sendRequest(http.MethodGet, "/i/page", "after", "")
			is.Equal(status == http.StatusOK, wasServed) // a request that was never served may have crashed them
			status, _, _ = s.sendRequest(http.MethodGet, "/i/other", "other", "")
			is.Equal(status, http.StatusOK)
		})
	}
}

// TestSilentCrash guards against a request that takes its replicas down silently, without an end of their connections, and
// that is passed on without end, as its crashes are not counted. A replica that is only slow has not crashed.
func TestSilentCrash(t *testing.T) {
	for name, row := range map[string]struct {
		end     func(server *httptest.Server, s *testServer, registration *gypsum.Replica)
		crashes int
	}{
		"takes no connections": {func(server *httptest.Server, _ *testServer, _ *gypsum.Replica) { _ = server.Listener.Close() }, 1},
		"has started again": {func(_ *httptest.Server, s *testServer, registration *gypsum.Replica) {
			restarted := *registration
			restarted.Incarnation++
			s.registry.ApplyReplica(&restarted)
		}, 1},
		"is slow": {func(*httptest.Server, *testServer, *gypsum.Replica) {}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t, 1)
			s.applyConfig()
			ended := make(chan struct{})
			var server *httptest.Server
			registration := &gypsum.Replica{ID: "r-silent", Service: "desk", State: gypsum.ReplicaReady, Slots: 4, Incarnation: 5, Software: "v2"}
			server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				row.end(server, s, registration)
				<-ended
				panic(http.ErrAbortHandler)
			}))
			t.Cleanup(server.Close)
			t.Cleanup(func() { close(ended) })
			registration.Address = strings.TrimPrefix(server.URL, "http://")
			s.registry.ApplyReplica(registration)
			s.moveFar(func(id gypsum.BackendID) bool { return id != "r-silent" })
			status, _, _ := s.sendRequest(http.MethodGet, "/i/page", "q1", "")
			is.Equal(status, http.StatusOK) // by the other replica
			fingerprint := gypsum.FingerprintOf("a.example", "/i/page", nil)
			for began := time.Now(); time.Since(began) < 2*time.Second && s.frontend.Batches.CrashCount(fingerprint) == 0; {
				time.Sleep(20 * time.Millisecond)
			}
			is.Equal(s.frontend.Batches.CrashCount(fingerprint), row.crashes)
		})
	}
}

// TestCrashesAfterMove guards against a request that crashes replicas, is refused, and crashes those of each service to
// which its route moves.
func TestCrashesAfterMove(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 2)
	s.applyConfig()
	for _, replica := range s.registry.Current().Services["desk"] {
		moved := *replica
		moved.Service = "moved"
		s.registry.ApplyReplica(&moved)
	}
	crashes := 0
	for i := range 3 {
		var server *httptest.Server
		server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			crashes++
			_ = server.Listener.Close()
			panic(http.ErrAbortHandler)
		}))
		t.Cleanup(server.Close)
		id := gypsum.BackendID(fmt.Sprint("crashing-", i))
		s.registry.ApplyReplica(&gypsum.Replica{ID: id, Service: "desk", Address: strings.TrimPrefix(server.URL, "http://"), State: gypsum.ReplicaReady, Slots: 4, Software: "v1", Incarnation: 1})
		s.sendRequest(http.MethodGet, "/i/page", fmt.Sprint("crash", i), "")
		time.Sleep(300 * time.Millisecond) // until the replica has been probed
		s.registry.RemoveReplica(id)
	}
	is.Equal(crashes, 3)
	config := newConfig(2)
	for i := range config.Routes {
		config.Routes[i].Services = []gypsum.WeightedService{{Service: "moved", Weight: 1}}
	}
	config.Services["moved"] = gypsum.ServiceConfig{Name: "moved"}
	s.registry.ApplyConfig(config)
	status, _, _ := s.sendRequest(http.MethodGet, "/i/page", "after", "")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(s.executionCount("after"), 0)
	status, _, _ = s.sendRequest(http.MethodGet, "/i/other", "other", "")
	is.Equal(status, http.StatusOK)
}

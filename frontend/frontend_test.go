package frontend_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/frontend"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/platform/mimic"
	"github.com/gypsumhook/gypsum/relay"
	"github.com/gypsumhook/gypsum/state"
	"github.com/gypsumhook/gypsum/store"
)

// testHost is a host in front of plain replicas, reached over loopback.
type testHost struct {
	t           *testing.T
	url         string
	front       *frontend.Server
	state       *state.Registry
	recordStore *fake.KeyedStore
	replicas    []*mimic.Replica
}

// newTestHost returns a host in front of a number of replicas.
func newTestHost(t *testing.T, replicaCount int) *testHost {
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	host := &testHost{t: t, recordStore: fake.NewKeyedStore(), state: state.NewRegistry(logger)}
	backends, closeBackends := platform.NewReplicaClient()
	t.Cleanup(closeBackends)
	topics := batch.Topics{State: "keyed.state", Bodies: "keyed.body", Texts: "keyed.text"}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	start := func(run func(context.Context) error) {
		running.Go(func() { _ = run(ctx) })
	}
	t.Cleanup(func() { stop(); running.Wait() })
	writers := make(map[gypsum.Topic]*store.Writer)
	for _, topic := range []gypsum.Topic{topics.State, topics.Bodies, topics.Texts} {
		writers[topic] = &store.Writer{Store: host.recordStore, Topic: topic, Producer: "p", MaxCallBytes: 1 << 20, Logger: logger}
		start(writers[topic].Run)
	}
	batchState := batch.NewState(logger)
	follower := &store.Follower{Store: host.recordStore, Topic: topics.State, Handle: batchState.Apply, Logger: logger}
	start(follower.Run)
	manager := &batch.Manager{
		Host: "host-1", Incarnation: 1, State: batchState, Follower: follower, Store: host.recordStore, Topics: topics, Partitions: 1, RecordSize: 64 << 10,
		StateWriter: writers[topics.State], Logger: logger, WriterFor: func(topic gypsum.Topic, _ gypsum.Partition) *store.Writer { return writers[topic] },
	}
	if err := manager.Start(); err != nil {
		t.Fatal(err)
	}
	liveRelay := relay.New()
	liveRelay.Transport, liveRelay.Crashes, liveRelay.State, liveRelay.Logger = backends, manager, host.state, logger
	start(liveRelay.Run)
	host.front = &frontend.Server{
		State: host.state, Relay: liveRelay, Batches: manager, BodyMemory: 1 << 20, Logger: logger,
		StoreDowntime: func() time.Duration {
			if at, down := follower.LastResponse(); down {
				return time.Since(at)
			}
			return 0
		},
	}
	server := httptest.NewServer(host.front.Handler())
	t.Cleanup(server.Close)
	host.url = server.URL
	for i := range replicaCount {
		replica := &mimic.Replica{ID: gypsum.BackendID(fmt.Sprint("r-", i+1)), ServiceTime: time.Millisecond}
		backend := httptest.NewServer(replica.Handler())
		t.Cleanup(backend.Close)
		host.replicas = append(host.replicas, replica)
		host.state.ApplyReplica(&gypsum.Replica{
			ID: replica.ID, Service: "desk", Address: strings.TrimPrefix(backend.URL, "http://"), State: gypsum.ReplicaReady, Slots: 4,
		})
	}
	return host
}

// applyConfig puts the usual configuration in force.
func (s *testHost) applyConfig() {
	desk := []gypsum.WeightedService{{Service: "desk", Weight: 1}}
	route := func(prefix string, kind gypsum.RouteKind) gypsum.Route {
		return gypsum.Route{
			Name: prefix, HostName: "a.example", PathPrefix: prefix, Kind: kind, Timeout: 2 * time.Second, LatencyTarget: 100 * time.Millisecond,
			MaxAttempts: 2, Services: desk, Retention: time.Minute, ResultDue: 5 * time.Second,
		}
	}
	resumable := route("/i/resumed/stream/", gypsum.RouteStreaming)
	resumable.Resumable = true
	s.state.ApplyConfig(&gypsum.RoutingConfig{
		Revision: 1, Limits: gypsum.ClientLimits{MaxBody: 64 << 10}, Services: map[gypsum.ServiceName]gypsum.ServiceConfig{"desk": {Name: "desk"}},
		Routes: []gypsum.Route{
			route("/i/", gypsum.RouteIdempotent), route("/n/", gypsum.RouteNonIdempotent), route("/i/stream/", gypsum.RouteStreaming),
			route("/t/", gypsum.RouteRollout), resumable,
		},
	})
}

// send sends a request to the host.
func (s *testHost) send(method, target, id, body string) (int, http.Header, string) {
	s.t.Helper()
	request, err := http.NewRequestWithContext(s.t.Context(), method, s.url+target, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = "a.example:81"
	mimic.SetRequestHeaders(request.Header, id, 1500*time.Millisecond, time.Second)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, err.Error()
	}
	return response.StatusCode, response.Header, string(content)
}

// executions returns how often a request has run on all replicas.
func (s *testHost) executions(id string) int {
	count := 0
	for _, replica := range s.replicas {
		for _, executed := range replica.ExecutedRequests() {
			if executed == id {
				count++
			}
		}
	}
	return count
}

func TestRoutes(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t, 2)
	status, header, _ := s.send("POST", "/i/a", "q0", "x")
	is.Equal(status, http.StatusServiceUnavailable) // no configuration: never 404
	is.True(header.Get("Retry-After") != "")
	s.applyConfig()
	status, header, body := s.send("POST", "/i/a%2Fb//c/?q=%20", "q1", "x")
	is.Equal(status, http.StatusOK)
	is.Equal(body, mimic.PlainBody("q1", "/i/a%2Fb//c/?q=%20", []byte("x"))) // the target as it was sent
	is.True(header.Get(mimic.HeaderSignature) != "")
	is.Equal(header.Get(platform.HeaderRequestID), "q1")
	status, _, _ = s.send("GET", "/else", "q2", "")
	is.Equal(status, http.StatusNotFound)
	status, _, _ = s.send("POST", "/i/large", "q3", strings.Repeat("x", 65<<10))
	is.Equal(status, http.StatusRequestEntityTooLarge)
}

// Each fault of a replica, for requests that may run again and for those that may not.
func TestReplicaFaults(t *testing.T) {
	for _, row := range []struct {
		fault mimic.Fault
		// allReplicas means that all replicas have the fault.
		allReplicas   bool
		idempotent    int
		nonIdempotent int
	}{
		{mimic.FaultReset, false, 200, 502},
		{mimic.FaultReset, true, 502, 502},
		{mimic.FaultTruncated, false, 200, 502},
		{mimic.FaultMismatch, false, 200, 502},
		{mimic.FaultUnsigned, false, 200, 502},
		{mimic.FaultError, false, 200, 500},
		{mimic.FaultError, true, 500, 500},
		{mimic.FaultBusy, false, 200, 200},
		{mimic.FaultBusy, true, 503, 503},
		{mimic.FaultWrongReplica, false, 200, 200},
		{mimic.FaultSilent, false, 200, 504},
	} {
		t.Run(fmt.Sprint(row.fault, row.allReplicas), func(t *testing.T) {
			is := is.New(t)
			s := newTestHost(t, 2)
			s.applyConfig()
			s.replicas[0].SetFault(row.fault)
			if row.allReplicas {
				s.replicas[1].SetFault(row.fault)
			} else {
				s.preferFirst()
			}
			status, header, _ := s.send("POST", "/i/a", "i1", "x")
			is.Equal(status, row.idempotent)
			is.True(status != http.StatusServiceUnavailable || (header.Get("Retry-After") != "" && s.executions("i1") == 0))
			if !row.allReplicas {
				s = newTestHost(t, 2)
				s.applyConfig()
				s.replicas[0].SetFault(row.fault)
				s.preferFirst()
			}
			status, _, _ = s.send("POST", "/n/a", "n1", "x")
			is.Equal(status, row.nonIdempotent)
			is.True(s.executions("n1") <= 1) // never twice
			is.True(status != http.StatusServiceUnavailable || s.executions("n1") == 0)
		})
	}
}

// preferFirst makes the second replica look far, so that the first is asked first.
func (s *testHost) preferFirst() {
	for _, replica := range s.state.Current().Services["desk"] {
		if replica.ID == s.replicas[1].ID {
			far := *replica
			far.Location = gypsum.Location{DataCentre: "far", Region: "far"}
			s.state.ApplyReplica(&far)
		}
	}
}

// A request whose client has left ends at its replica, which is not taken for one that
// failed.
func TestClientCancels(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t, 2)
	s.applyConfig()
	s.preferFirst()
	s.replicas[0].SetFault(mimic.FaultSilent)
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, "POST", s.url+"/i/a", strings.NewReader("x"))
	is.NoErr(err)
	request.Host = "a.example"
	request.Header.Set(platform.HeaderRequestID, "q1")
	ended := make(chan error, 1)
	go func() {
		_, err := http.DefaultTransport.RoundTrip(request)
		ended <- err
	}()
	time.Sleep(50 * time.Millisecond)
	cancel()
	is.True(<-ended != nil)
	deadline := time.Now().Add(time.Second)
	for s.front.Relay.InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	is.Equal(s.front.Relay.InFlight(), 0)
	s.replicas[0].SetFault("")
	executedBefore := len(s.replicas[0].ExecutedRequests())
	status, _, _ := s.send("POST", "/i/b", "q2", "x")
	is.Equal(status, http.StatusOK)
	is.Equal(len(s.replicas[0].ExecutedRequests())-executedBefore, 1) // not ejected
}

func TestStream(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t, 2)
	s.applyConfig()
	status, header, body := s.send("POST", "/i/stream/a", "q1", "x")
	is.Equal(status, http.StatusOK)
	is.Equal(header.Get("Content-Type"), "text/event-stream")
	is.True(strings.HasSuffix(body, "id: 10\ndata: q1:10\n\n"))
	for _, replica := range s.replicas {
		replica.SetFault(mimic.FaultTruncated)
	}
	status, _, body = s.send("POST", "/i/stream/a", "q2", "x")
	is.Equal(status, 0) // it may not be resumed, and must not look complete
	is.True(strings.Contains(body, "EOF"))
}

// A replica that gives nothing, or nothing more, is left for another in time, where
// the stream may be resumed; errors in place of a stream are tried elsewhere.
func TestSilentStream(t *testing.T) {
	for _, fault := range []mimic.Fault{mimic.FaultSilent, mimic.FaultStall, mimic.FaultError} {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			s := newTestHost(t, 2)
			s.applyConfig()
			s.preferFirst()
			s.replicas[0].SetFault(fault)
			status, _, body := s.send("POST", "/i/resumed/stream/a", "q1", "x")
			is.Equal(status, http.StatusOK)
			for event := 1; event <= 10; event++ {
				is.Equal(strings.Count(body, fmt.Sprintf("id: %d\n", event)), 1)
			}
			is.True(strings.HasSuffix(body, "id: 10\ndata: q1:10\n\n"))
		})
	}
}

// A replica that answers with errors at once, faster than the others answer, gets few
// requests.
func TestFastErrors(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t, 2)
	s.applyConfig()
	s.preferFirst()
	s.replicas[0].SetFault(mimic.FaultError)
	executedBefore := len(s.replicas[0].ExecutedRequests())
	for i := range 10 {
		status, _, _ := s.send("POST", "/i/a", fmt.Sprint("q", i), "x")
		is.Equal(status, http.StatusOK)
	}
	is.True(len(s.replicas[0].ExecutedRequests())-executedBefore <= 2)
}

func TestBatchCalls(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t, 1)
	s.applyConfig()
	encoded, err := mimic.EncodeBatch(&gypsum.Batch{
		Step: 1, Model: "m", Items: []gypsum.BatchItem{{ID: "e1", Path: "/t/1", Body: []byte("\xab\xcd\xef"), Group: "g"}},
	})
	is.NoErr(err)
	submitted := string(encoded)
	status, _, _ := s.send("POST", "/t/b1", "b1", submitted)
	is.Equal(status, http.StatusAccepted)
	status, _, _ = s.send("POST", "/t/b1", "b1", submitted)
	is.Equal(status, http.StatusAccepted) // a repeat
	status, _, _ = s.send("POST", "/t/b2", "b2", "{")
	is.Equal(status, http.StatusBadRequest)
	status, _, body := s.send("GET", mimic.ItemTarget("b1", "e1"), "c1", "")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "\xab\xcd\xef")
	status, _, _ = s.send("GET", mimic.ItemTarget("b1", "e2"), "c1", "")
	is.Equal(status, http.StatusNotFound)
	is.NoErr(s.front.Batches.StoreResult(t.Context(), "b1", &gypsum.BatchResult{Item: "e1", State: gypsum.ItemCompleted, Text: "t", Versions: []gypsum.WeightVersion{1}}))
	status, _, body = s.send("GET", mimic.ResultsTarget("b1", 0), "c2", "")
	is.Equal(status, http.StatusOK)
	total, results, err := mimic.DecodeResults([]byte(body))
	is.NoErr(err)
	is.Equal(total, 1)
	is.Equal(len(results), 1)
	for range 2 {
		status, _, _ = s.send("DELETE", mimic.BatchTarget("b1"), "c3", "")
		is.Equal(status, http.StatusOK)
	}
	status, _, _ = s.send("GET", mimic.BatchTarget("none"), "c4", "")
	is.Equal(status, http.StatusNotFound)
	s.recordStore.SetFault(fake.KeyedRefused)
	startedAt := time.Now()
	status, header, _ := s.send("GET", mimic.BatchTarget("none"), "c5", "")
	is.Equal(status, http.StatusServiceUnavailable) // nobody can be sure now
	is.True(header.Get("Retry-After") != "")
	status, header, _ = s.send("POST", "/t/b3", "b3", submitted)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
	is.True(time.Since(startedAt) < 3*time.Second)
	status, _, _ = s.send("GET", mimic.ResultsTarget("b1", 0), "c6", "") // known before
	is.Equal(status, http.StatusOK)
}

// A connection that is closed in the middle of a request's body reaches no replica.
func TestIncompleteRequestBody(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t, 1)
	s.applyConfig()
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	is.NoErr(err)
	_, err = io.WriteString(conn, "POST /i/a HTTP/1.1\r\nHost: a.example\r\n"+platform.HeaderRequestID+": q1\r\nContent-Length: 100\r\n\r\nhalf")
	is.NoErr(err)
	is.NoErr(conn.Close())
	time.Sleep(50 * time.Millisecond)
	is.Equal(s.executions("q1"), 0)
}

// A request that crashes each replica that runs it reaches no more than three, however
// often it comes again; others are still served.
func TestCrashingRequest(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t, 0)
	s.applyConfig()
	const count = 5
	var crashed atomic.Int64
	for i := range count {
		replica := &mimic.Replica{ID: gypsum.BackendID(fmt.Sprint("r-", i+1))}
		var server *httptest.Server
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, "/i/poison") {
				replica.Handler().ServeHTTP(w, r)
				return
			}
			crashed.Add(1)
			_ = server.Listener.Close()
			panic(http.ErrAbortHandler)
		}))
		t.Cleanup(server.Close)
		s.state.ApplyReplica(&gypsum.Replica{
			ID: replica.ID, Service: "desk", Address: strings.TrimPrefix(server.URL, "http://"), State: gypsum.ReplicaReady, Slots: 4,
		})
	}
	lastStatus := 0
	for i := range 6 {
		lastStatus, _, _ = s.send("POST", "/i/poison", fmt.Sprint("p", i), "same")
		time.Sleep(100 * time.Millisecond) // a client comes again after a while
	}
	is.Equal(lastStatus, http.StatusServiceUnavailable)
	is.True(crashed.Load() >= 3 && crashed.Load() <= 4) // two may run at once before both are known
	status, _, _ := s.send("POST", "/i/other", "q1", "x")
	is.Equal(status, http.StatusOK)
}

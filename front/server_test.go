package front_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/access"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/front"
	"github.com/gypsumhook/gypsum/limit"
	"github.com/gypsumhook/gypsum/origin"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/platform/mimic"
	"github.com/gypsumhook/gypsum/reach"
	"github.com/gypsumhook/gypsum/relay"
	"github.com/gypsumhook/gypsum/state"
	"github.com/gypsumhook/gypsum/store"
)

// testServer is a frontend with plain replicas behind it, all reached over loopback.
type testServer struct {
	t      *testing.T
	access *access.Checker
	logs   *logBuffer
	// clock is the steady clock of the host. catchUp, unless it is nil, is what the host does to learn the newest
	// configuration.
	clock       atomic.Int64
	catchUp     atomic.Pointer[func(context.Context) error]
	url         string
	stop        func()
	frontend    *front.Server
	registry    *state.Registry
	recordStore *fake.KeyedStore
	origins     *origin.Tracker
	peerOrigins *fake.PeerOrigins
	hosts       *hostList
	reach       *reach.Tracker
	// closeInternal ends the connections of other hosts.
	closeInternal func()
	// internalConns is the number of connections that other hosts have opened.
	internalConns atomic.Int64
	replicas      []*mimic.Replica
	addresses     []string // of the replicas
}

// newTestServer starts a frontend with replicaCount replicas. It has no configuration yet.
func newTestServer(t *testing.T, replicaCount int) *testServer {
	return newTestServerOf(t, make([]gypsum.SoftwareVersion, replicaCount)...)
}

// newTestServerOf starts a frontend with a replica of each software version. It has no configuration
// yet.
func newTestServerOf(t *testing.T, versions ...gypsum.SoftwareVersion) *testServer {
	s := startHost(t, "host-1", fake.NewKeyedStore(), &fake.PeerOrigins{}, &hostList{})
	for i, version := range versions {
		replica := &mimic.Replica{ID: gypsum.BackendID(fmt.Sprint("r-", i+1)), ServiceTime: time.Millisecond, Software: version}
		backend := httptest.NewServer(replica.Handler())
		t.Cleanup(backend.Close)
		s.replicas, s.addresses = append(s.replicas, replica), append(s.addresses, strings.TrimPrefix(backend.URL, "http://"))
	}
	s.registerReplicas()
	return s
}

// startPeer starts another host with the same replicas.
func (s *testServer) startPeer(name gypsum.HostID) *testServer {
	peer := startHost(s.t, name, s.recordStore, s.peerOrigins, s.hosts)
	peer.replicas, peer.addresses = s.replicas, s.addresses
	peer.registerReplicas()
	peer.applyConfig()
	return peer
}

// registerReplicas registers the replicas with the versions of their software.
func (s *testServer) registerReplicas() {
	for i, replica := range s.replicas {
		s.registry.ApplyReplica(&gypsum.Replica{
			ID: replica.ID, Service: "desk", Address: s.addresses[i], State: gypsum.ReplicaReady, Slots: 4, Software: replica.Software,
		})
	}
}

// startHost starts a frontend without replicas and configuration.
func startHost(t *testing.T, name gypsum.HostID, recordStore *fake.KeyedStore, peerOrigins *fake.PeerOrigins, hosts *hostList) *testServer {
	logs := &logBuffer{}
	logger := slog.New(slog.NewTextHandler(logs, nil)).With("host", name)
	s := &testServer{t: t, logs: logs, recordStore: recordStore, peerOrigins: peerOrigins, hosts: hosts, registry: state.NewRegistry(logger)}
	rateLimits := limit.NewTable(logger)
	backends, closeBackends := platform.NewReplicaClient(s.registry, rateLimits, buffer.NewPool(8<<20))
	t.Cleanup(closeBackends)
	topics := batch.Topics{State: "keyed.state", Bodies: "keyed.body", Texts: "keyed.text"}
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	start := func(run func(context.Context) error) {
		wg.Go(func() { _ = run(ctx) })
	}
	t.Cleanup(func() { stop(); wg.Wait() })
	writers := make(map[gypsum.Topic]*store.Writer)
	for _, topic := range []gypsum.Topic{topics.State, topics.Bodies, topics.Texts} {
		writers[topic] = &store.Writer{Store: s.recordStore, Topic: topic, Producer: string(name), MaxCallBytes: 1 << 20, Logger: logger}
		start(writers[topic].Run)
	}
	batchState := batch.NewState(logger)
	follower := &store.Follower{Store: s.recordStore, Topic: topics.State, Handle: batchState.Apply, Logger: logger}
	start(follower.Run)
	manager := &batch.Manager{
		Host: name, Incarnation: 1, State: batchState, Follower: follower, Store: s.recordStore, Topics: topics, Partitions: 1, RecordSize: 64 << 10,
		StateWriter: writers[topics.State], Logger: logger, WriterFor: func(topic gypsum.Topic, _ gypsum.Partition) *store.Writer { return writers[topic] },
	}
	if err := manager.Init(); err != nil {
		t.Fatal(err)
	}
	rateLimits.Store = manager
	limiter := limit.NewLimiter()
	limiter.Self, limiter.Table, limiter.Budgets, limiter.Logger = name, rateLimits, limit.NewBudgets(), logger
	limiter.ListPeers, limiter.HolderOf = func() []gypsum.Peer { return nil }, func(gypsum.ServiceName) gypsum.HostID { return "" }
	start(rateLimits.Run)
	var err error
	if s.origins, err = origin.NewTracker(); err != nil {
		t.Fatal(err)
	}
	s.origins.Self, s.origins.Registry, s.origins.Peers, s.origins.Logger = name, s.registry, peerOrigins, logger
	s.origins.ListPeers, s.origins.Records, s.origins.CatchUp = peerOrigins.List, manager, follower.CatchUp
	peerOrigins.Add(name, s.origins)
	start(s.origins.Run)
	liveRelay := relay.New()
	liveRelay.Limiter, liveRelay.Origins = limiter, s.origins
	liveRelay.Transport, liveRelay.Crashes, liveRelay.Registry, liveRelay.Logger = backends, manager, s.registry, logger
	s.startReach(name, backends, logger)
	start(s.reach.Run)
	liveRelay.Reach = s.reach
	liveRelay.TransportVia = func(address string) gypsum.ReplicaTransport { return backends.Via(s.reach.Peers.ReplicasVia(address)) }
	start(liveRelay.Run)
	storeDowntime := func() time.Duration {
		if at, unavailable := follower.LastResponse(); unavailable {
			return time.Since(at)
		}
		return 0
	}
	s.access = &access.Checker{Registry: s.registry, Clock: func() time.Duration { return time.Duration(s.clock.Load()) }, StoreDowntime: storeDowntime}
	s.access.Confirmer = &access.Confirmer{Registry: s.registry, CatchUp: func(ctx context.Context) (time.Duration, error) {
		at := time.Duration(s.clock.Load())
		if catchUp := s.catchUp.Load(); catchUp != nil {
			return at, (*catchUp)(ctx)
		}
		return at, nil
	}}
	start(s.access.Confirmer.Run)
	s.frontend = &front.Server{
		Registry: s.registry, Relay: liveRelay, Batches: manager, BodyMemory: buffer.NewPool(1 << 20), Buffers: liveRelay.Buffers, Logger: logger, Access: s.access, StoreDowntime: storeDowntime,
	}
	s.frontend.ConfigAge = s.frontend.StoreDowntime
	server := httptest.NewServer(s.frontend.Handler())
	t.Cleanup(server.Close)
	s.url, s.stop = server.URL, func() {
		peerOrigins.Kill(name)
		server.CloseClientConnections()
		server.Close()
	}
	return s
}

// applyConfig applies a configuration with a route of each kind.
func (s *testServer) applyConfig() { s.registry.ApplyConfig(newConfig(1)) }

// newConfig returns a configuration with a route of each kind.
func newConfig(revision gypsum.Revision) *gypsum.RoutingConfig {
	desk := []gypsum.WeightedService{{Service: "desk", Weight: 1}}
	route := func(prefix string, kind gypsum.RouteKind) gypsum.Route {
		return gypsum.Route{
			Name: prefix, HostName: "a.example", PathPrefix: prefix, Kind: kind, Timeout: 2 * time.Second, LatencyTarget: 100 * time.Millisecond,
			MaxAttempts: 2, Services: desk, Retention: time.Minute, ResultDue: 5 * time.Second,
		}
	}
	resumable := route("/i/resumed/stream/", gypsum.RouteStreaming)
	resumable.Resumable = true
	return &gypsum.RoutingConfig{
		Revision: revision, Limits: gypsum.ClientLimits{MaxBody: 64 << 10}, Services: map[gypsum.ServiceName]gypsum.ServiceConfig{"desk": {Name: "desk"}},
		Routes: []gypsum.Route{
			route("/i/", gypsum.RouteIdempotent), route("/n/", gypsum.RouteNonIdempotent), route("/i/stream/", gypsum.RouteStreaming),
			route("/t/", gypsum.RouteRollout), resumable,
		},
	}
}

// sendRequest sends a request to the frontend and returns the status, the header and the
// body of the response. If there is no complete response, the status is 0 and the body is
// the error.
func (s *testServer) sendRequest(method, target, id, body string) (int, http.Header, string) {
	s.t.Helper()
	request, err := http.NewRequestWithContext(s.t.Context(), method, s.url+target, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = "a.example:81"
	mimic.SetRequestHeaders(request.Header, id, 1500*time.Millisecond, time.Second)
	return exchange(request)
}

// exchange sends a request and returns the status, the header and the body of the response. If
// there is no complete response, the status is 0 and the body is the error.
func exchange(request *http.Request) (int, http.Header, string) {
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

// executionCount returns how many times the replicas have run a request.
func (s *testServer) executionCount(id string) int {
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

// TestRoutes checks that a request is forwarded with its target unchanged, although HTTP
// routers clean paths and decode escapes, and the status of requests without a configuration,
// without a route and with a body that is too large.
func TestRoutes(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 2)
	status, header, _ := s.sendRequest("POST", "/i/a", "q0", "x")
	is.Equal(status, http.StatusServiceUnavailable) // not 404 while there is no configuration
	is.True(header.Get("Retry-After") != "")
	s.applyConfig()
	status, header, body := s.sendRequest("POST", "/i/a%2Fb//c/?q=%20", "q1", "x")
	is.Equal(status, http.StatusOK)
	is.Equal(body, mimic.PlainResponseBody("q1", "/i/a%2Fb//c/?q=%20", []byte("x"))) // the target is forwarded unchanged
	is.True(header.Get(mimic.HeaderSignature) != "")
	is.Equal(header.Get(platform.HeaderRequestID), "q1")
	status, _, _ = s.sendRequest("GET", "/else", "q2", "")
	is.Equal(status, http.StatusNotFound)
	status, _, _ = s.sendRequest("POST", "/i/large", "q3", strings.Repeat("x", 65<<10))
	is.Equal(status, http.StatusRequestEntityTooLarge)
}

// TestReplicaFaults checks the response to an idempotent and to a non-idempotent request
// for each fault of a replica, and that a non-idempotent request never runs twice.
func TestReplicaFaults(t *testing.T) { testReplicaFaults(t, newTestServer) }

// testReplicaFaults checks the responses to requests at a server with a number of replicas.
func testReplicaFaults(t *testing.T, newServer func(*testing.T, int) *testServer) {
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
		{mimic.FaultFull, false, 200, 200},
		{mimic.FaultFull, true, 503, 503},
		{mimic.FaultWrongReplica, false, 200, 200},
		{mimic.FaultSilent, false, 200, 504},
	} {
		t.Run(fmt.Sprint(row.fault, row.allReplicas), func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, 2)
			s.applyConfig()
			s.replicas[0].SetFault(row.fault)
			if row.allReplicas {
				s.replicas[1].SetFault(row.fault)
			} else {
				s.preferFirstReplica()
			}
			status, header, _ := s.sendRequest("POST", "/i/a", "i1", "x")
			is.Equal(status, row.idempotent)
			is.True(status != http.StatusServiceUnavailable || (header.Get("Retry-After") != "" && s.executionCount("i1") == 0))
			if !row.allReplicas {
				s = newServer(t, 2)
				s.applyConfig()
				s.replicas[0].SetFault(row.fault)
				s.preferFirstReplica()
			}
			status, _, _ = s.sendRequest("POST", "/n/a", "n1", "x")
			is.Equal(status, row.nonIdempotent)
			is.True(s.executionCount("n1") <= 1) // at most once
			is.True(status != http.StatusServiceUnavailable || s.executionCount("n1") == 0)
		})
	}
}

// preferFirstReplica moves the second replica to another data centre, so that requests are sent
// to the first one first.
func (s *testServer) preferFirstReplica() {
	s.moveFar(func(id gypsum.BackendID) bool { return id == s.replicas[1].ID })
}

// moveFar moves replicas to another data centre, so that requests are sent to others first.
func (s *testServer) moveFar(isFar func(gypsum.BackendID) bool) {
	for _, replica := range s.registry.Current().Services["desk"] {
		if isFar(replica.ID) {
			far := *replica
			far.Location = gypsum.Location{DataCentre: "far", Region: "far"}
			s.registry.ApplyReplica(&far)
		}
	}
}

// TestClientCancels checks that the attempt at the replica ends when the client disconnects,
// that the request counts as failed and that this does not count as a failure of the
// replica. The response of a stream has not begun yet.
func TestClientCancels(t *testing.T) {
	for _, target := range []string{"/i/a", "/i/stream/a"} {
		t.Run(target, func(t *testing.T) { testClientCancels(t, target, newTestServer) })
	}
}

func testClientCancels(t *testing.T, target string, newServer func(*testing.T, int) *testServer) {
	is := is.New(t)
	s := newServer(t, 2)
	s.applyConfig()
	s.preferFirstReplica()
	s.replicas[0].SetFault(mimic.FaultSilent)
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, "POST", s.url+target, strings.NewReader("x"))
	is.NoErr(err)
	request.Host = "a.example"
	request.Header.Set(platform.HeaderRequestID, "q1")
	done := make(chan error, 1)
	go func() {
		_, err := http.DefaultTransport.RoundTrip(request)
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	cancel()
	is.True(<-done != nil)
	deadline := time.Now().Add(time.Second)
	for s.frontend.Relay.InFlightCount() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	is.Equal(s.frontend.Relay.InFlightCount(), 0)
	for s.frontend.Relay.Stats.Failed.Load() == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	is.Equal(s.frontend.Relay.Stats.Failed.Load(), int64(1))
	s.replicas[0].SetFault("")
	executedBefore := len(s.replicas[0].ExecutedRequests())
	status, _, _ := s.sendRequest("POST", "/i/b", "q2", "x")
	is.Equal(status, http.StatusOK)
	is.Equal(len(s.replicas[0].ExecutedRequests())-executedBefore, 1) // not ejected
}

// TestStream checks that a stream is passed on, and that an interrupted stream that is not
// resumable ends the connection instead of looking complete.
func TestStream(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 2)
	s.applyConfig()
	status, header, body := s.sendRequest("POST", "/i/stream/a", "q1", "x")
	is.Equal(status, http.StatusOK)
	is.Equal(header.Get("Content-Type"), "text/event-stream")
	is.True(strings.HasSuffix(body, "id: 10\ndata: q1:10\n\n"))
	for _, replica := range s.replicas {
		replica.SetFault(mimic.FaultTruncated)
	}
	status, _, body = s.sendRequest("POST", "/i/stream/a", "q2", "x")
	is.Equal(status, 0) // not resumable, and must not look complete
	is.True(strings.Contains(body, "EOF"))
}

// TestSilentStream checks that a resumable stream is completed by another replica in time
// when the first one sends nothing, sends nothing more or responds with an error.
func TestSilentStream(t *testing.T) {
	for _, fault := range []mimic.Fault{mimic.FaultSilent, mimic.FaultStall, mimic.FaultError} {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t, 2)
			s.applyConfig()
			s.preferFirstReplica()
			s.replicas[0].SetFault(fault)
			status, _, body := s.sendRequest("POST", "/i/resumed/stream/a", "q1", "x")
			is.Equal(status, http.StatusOK)
			for event := 1; event <= 10; event++ {
				is.Equal(strings.Count(body, fmt.Sprintf("id: %d\n", event)), 1)
			}
			is.True(strings.HasSuffix(body, "id: 10\ndata: q1:10\n\n"))
		})
	}
}

// TestFastErrors checks that a replica that responds with errors, faster than the others
// respond, gets few requests. The relay prefers the replica with the lowest expected time to a
// response, so that errors counted as responses would attract requests.
func TestFastErrors(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 2)
	s.applyConfig()
	s.preferFirstReplica()
	s.replicas[0].SetFault(mimic.FaultError)
	executedBefore := len(s.replicas[0].ExecutedRequests())
	for i := range 10 {
		status, _, _ := s.sendRequest("POST", "/i/a", fmt.Sprint("q", i), "x")
		is.Equal(status, http.StatusOK)
	}
	is.True(len(s.replicas[0].ExecutedRequests())-executedBefore <= 2)
}

// TestBatchRequests checks the submission, the reads and the end of a batch, and that a
// batch is never reported as unknown while the store is unavailable.
func TestBatchRequests(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 1)
	s.applyConfig()
	encoded, err := mimic.EncodeBatch(&gypsum.Batch{
		Step: 1, Model: "m", Items: []gypsum.BatchItem{{ID: "e1", Path: "/t/1", Body: []byte("\xab\xcd\xef"), Group: "g"}},
	})
	is.NoErr(err)
	submitted := string(encoded)
	status, _, _ := s.sendRequest("POST", "/t/b1", "b1", submitted)
	is.Equal(status, http.StatusAccepted)
	status, _, _ = s.sendRequest("POST", "/t/b1", "b1", submitted)
	is.Equal(status, http.StatusAccepted) // a repeated submission
	status, _, _ = s.sendRequest("POST", "/t/b2", "b2", "{")
	is.Equal(status, http.StatusBadRequest)
	status, _, body := s.sendRequest("GET", mimic.ItemTarget("b1", "e1"), "c1", "")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "\xab\xcd\xef")
	status, _, _ = s.sendRequest("GET", mimic.ItemTarget("b1", "e2"), "c1", "")
	is.Equal(status, http.StatusNotFound)
	is.NoErr(s.frontend.Batches.StoreResult(t.Context(), "b1", &gypsum.BatchResult{Item: "e1", State: gypsum.ItemCompleted, Text: "t", Versions: []gypsum.WeightVersion{1}}))
	status, _, body = s.sendRequest("GET", mimic.ResultsTarget("b1", 0), "c2", "")
	is.Equal(status, http.StatusOK)
	total, results, err := mimic.DecodeResults([]byte(body))
	is.NoErr(err)
	is.Equal(total, 1)
	is.Equal(len(results), 1)
	for range 2 {
		status, _, _ = s.sendRequest("DELETE", mimic.BatchTarget("b1"), "c3", "")
		is.Equal(status, http.StatusOK)
	}
	status, _, _ = s.sendRequest("GET", mimic.BatchTarget("none"), "c4", "")
	is.Equal(status, http.StatusNotFound)
	s.recordStore.SetFault(fake.KeyedRefused)
	startedAt := time.Now()
	status, header, _ := s.sendRequest("GET", mimic.BatchTarget("none"), "c5", "")
	is.Equal(status, http.StatusServiceUnavailable) // not 404: the store may contain the batch
	is.True(header.Get("Retry-After") != "")
	status, header, _ = s.sendRequest("POST", "/t/b3", "b3", submitted)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
	is.True(time.Since(startedAt) < 3*time.Second)
	status, _, _ = s.sendRequest("GET", mimic.ResultsTarget("b1", 0), "c6", "") // known before the outage
	is.Equal(status, http.StatusOK)
}

// TestEndWithUnknownOutcome checks that the end of a batch is answered with 503, not run, only
// if it will not take effect: an append without a response may, one that the store refused
// will not.
func TestEndWithUnknownOutcome(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 1)
	s.applyConfig()
	encoded, err := mimic.EncodeBatch(&gypsum.Batch{Step: 1, Model: "m", Items: []gypsum.BatchItem{{ID: "e1", Path: "/t/1", Group: "g"}}})
	is.NoErr(err)
	status, _, _ := s.sendRequest("POST", "/t/b1", "b1", string(encoded))
	is.Equal(status, http.StatusAccepted)
	s.recordStore.SetFault(fake.KeyedRefused)
	status, _, _ = s.sendRequest("DELETE", mimic.BatchTarget("b1"), "c1", "")
	is.Equal(status, http.StatusServiceUnavailable)
	s.recordStore.SetFault(fake.KeyedHang)
	status, _, _ = s.sendRequest("DELETE", mimic.BatchTarget("b1"), "c2", "")
	is.Equal(status, http.StatusGatewayTimeout)
	status, _, _ = s.sendRequest("DELETE", mimic.BatchTarget("unknown"), "c3", "")
	is.Equal(status, http.StatusServiceUnavailable) // nothing was appended
}

// TestIncompleteRequestBody checks that a request whose connection is closed before the
// body is complete reaches no replica.
func TestIncompleteRequestBody(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 1)
	s.applyConfig()
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	is.NoErr(err)
	_, err = io.WriteString(conn, "POST /i/a HTTP/1.1\r\nHost: a.example\r\n"+platform.HeaderRequestID+": q1\r\nContent-Length: 100\r\n\r\nhalf")
	is.NoErr(err)
	is.NoErr(conn.Close())
	time.Sleep(50 * time.Millisecond)
	is.Equal(s.executionCount("q1"), 0)
}

// TestCrashingRequest checks that a request that crashes each replica that runs it reaches
// three replicas, or four if two attempts run at the same time, however often it is
// repeated, and that other requests are still served.
func TestCrashingRequest(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 0)
	s.applyConfig()
	const replicaCount = 5
	var crashed atomic.Int64
	for i := range replicaCount {
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
		s.registry.ApplyReplica(&gypsum.Replica{
			ID: replica.ID, Service: "desk", Address: strings.TrimPrefix(server.URL, "http://"), State: gypsum.ReplicaReady, Slots: 4,
		})
	}
	lastStatus := 0
	for i := range 6 {
		lastStatus, _, _ = s.sendRequest("POST", "/i/poison", fmt.Sprint("p", i), "same")
		time.Sleep(100 * time.Millisecond) // clients retry after a delay
	}
	is.Equal(lastStatus, http.StatusServiceUnavailable)
	is.True(crashed.Load() >= 3 && crashed.Load() <= 4) // two attempts may run at once before their crashes are known
	status, _, _ := s.sendRequest("POST", "/i/other", "q1", "x")
	is.Equal(status, http.StatusOK)
}

// TestLeavingReplicas checks that a replica that announces in a response that it is leaving
// gets no further request, although it is still registered as ready, and that requests are
// refused as not run, with a retry delay, once all replicas are leaving.
func TestLeavingReplicas(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 2)
	s.applyConfig()
	s.preferFirstReplica()
	s.replicas[0].SetLeaving(true)
	status, _, _ := s.sendRequest(http.MethodGet, "/i/x", "first", "")
	is.Equal(status, http.StatusOK) // the response with the announcement is delivered
	for i := range 10 {
		id := fmt.Sprintf("later-%d", i)
		status, _, _ = s.sendRequest(http.MethodGet, "/i/x", id, "")
		is.Equal(status, http.StatusOK)
		is.True(!slices.Contains(s.replicas[0].ExecutedRequests(), id))
	}
	s.replicas[1].SetLeaving(true)
	status, _, _ = s.sendRequest(http.MethodGet, "/i/x", "last", "")
	is.Equal(status, http.StatusOK)
	status, header, _ := s.sendRequest(http.MethodGet, "/i/x", "refused", "")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
	is.Equal(s.executionCount("refused"), 0)
}

// TestLargeDeadline guards against a request that fails at once since its deadline does not fit into a
// duration: the timeout of the route applies.
func TestLargeDeadline(t *testing.T) {
	s := newTestServer(t, 1)
	s.applyConfig()
	for _, deadline := range []string{"9223372036855", "9223372036854775807", "1000000000000000"} {
		is := is.New(t)
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.url+"/i/x", strings.NewReader("x"))
		is.NoErr(err)
		request.Host = "a.example"
		mimic.SetRequestHeaders(request.Header, "r"+deadline, time.Second, 0)
		request.Header.Set(platform.HeaderDeadline, deadline)
		status, _, _ := exchange(request)
		is.Equal(status, http.StatusOK)
	}
}

// TestTargetIsNotChanged guards against a path that reaches replicas with other bytes than the client has sent: browsers
// send some that a URL may not contain, and a fragment is one by its reader alone.
func TestTargetIsNotChanged(t *testing.T) {
	for name, start := range map[string]func(*testing.T, int) *testServer{"directly": newTestServer, "through another host": newCutOffServer} {
		for _, target := range []string{"/i/a|b", "/i/{a}", "/i/a^b", "/i/\xc3\xa9", "/i/a#b", "/i/a#b?c=|", "/i/a?q={x}|y", "/i//a", "/i/%7Ca%2f", "/i/a\"b", "/i/a\\b", "/i/./a/../b", "/i/a?", "/i/a??b"} {
			t.Run(name+target, func(t *testing.T) {
				is := is.New(t)
				s := start(t, 1)
				s.applyConfig()
				conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a.example\r\n%s: q\r\nConnection: close\r\n\r\n", target, platform.HeaderRequestID)
				is.NoErr(err)
				content, err := io.ReadAll(conn)
				is.NoErr(err)
				if !strings.HasSuffix(string(content), mimic.PlainResponseBody("q", target, nil)) {
					t.Errorf("the response to %s is %q", target, content)
				}
			})
		}
	}
}

package front_test

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
	"github.com/gypsumhook/gypsum/front"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/platform/mimic"
	"github.com/gypsumhook/gypsum/relay"
	"github.com/gypsumhook/gypsum/state"
	"github.com/gypsumhook/gypsum/store"
)

// site is a host in front of plain replicas, reached over loopback.
type site struct {
	t        *testing.T
	url      string
	front    *front.Front
	state    *state.Registry
	backing  *fake.KeyedStore
	replicas []*mimic.Replica
}

// newSite returns a host in front of a number of replicas.
func newSite(t *testing.T, count int) *site {
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	made := &site{t: t, backing: fake.NewKeyedStore(), state: state.NewRegistry(logger)}
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
		writers[topic] = &store.Writer{Store: made.backing, Topic: topic, Producer: "p", MaxCallBytes: 1 << 20, Logger: logger}
		start(writers[topic].Run)
	}
	book := batch.NewState(logger)
	follow := &store.Follower{Store: made.backing, Topic: topics.State, Handle: book.Apply, Logger: logger}
	start(follow.Run)
	manager := &batch.Manager{
		Host: "host-1", Incarnation: 1, State: book, Follower: follow, Store: made.backing, Topics: topics, Partitions: 1, RecordSize: 64 << 10,
		StateWriter: writers[topics.State], Logger: logger, WriterFor: func(topic gypsum.Topic, _ gypsum.Partition) *store.Writer { return writers[topic] },
	}
	if err := manager.Start(); err != nil {
		t.Fatal(err)
	}
	routed := relay.New()
	routed.Transport, routed.Crashes, routed.State, routed.Logger = backends, manager, made.state, logger
	start(routed.Run)
	made.front = &front.Front{
		State: made.state, Relay: routed, Batches: manager, BodyMemory: 1 << 20, Logger: logger,
		StoreAway: func() time.Duration {
			if at, down := follow.LastResponse(); down {
				return time.Since(at)
			}
			return 0
		},
	}
	server := httptest.NewServer(made.front.Handler())
	t.Cleanup(server.Close)
	made.url = server.URL
	for i := range count {
		replica := &mimic.Replica{ID: gypsum.BackendID(fmt.Sprint("r-", i+1)), ServiceTime: time.Millisecond}
		backend := httptest.NewServer(replica.Handler())
		t.Cleanup(backend.Close)
		made.replicas = append(made.replicas, replica)
		made.state.ApplyReplica(&gypsum.Replica{
			ID: replica.ID, Service: "desk", Address: strings.TrimPrefix(backend.URL, "http://"), State: gypsum.ReplicaReady, Slots: 4,
		})
	}
	return made
}

// configure puts the usual configuration in force.
func (s *site) configure() {
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

// call sends a request to the host.
func (s *site) call(method, target, id, body string) (int, http.Header, string) {
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

// ran returns how often a request has run on all replicas.
func (s *site) ran(id string) int {
	count := 0
	for _, replica := range s.replicas {
		for _, ran := range replica.ExecutedRequests() {
			if ran == id {
				count++
			}
		}
	}
	return count
}

func TestRoutes(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2)
	status, header, _ := s.call("POST", "/i/a", "q0", "x")
	is.Equal(status, http.StatusServiceUnavailable) // no configuration: never 404
	is.True(header.Get("Retry-After") != "")
	s.configure()
	status, header, body := s.call("POST", "/i/a%2Fb//c/?q=%20", "q1", "x")
	is.Equal(status, http.StatusOK)
	is.Equal(body, mimic.PlainBody("q1", "/i/a%2Fb//c/?q=%20", []byte("x"))) // the target as it was sent
	is.True(header.Get(mimic.HeaderSignature) != "")
	is.Equal(header.Get(platform.HeaderRequestID), "q1")
	status, _, _ = s.call("GET", "/else", "q2", "")
	is.Equal(status, http.StatusNotFound)
	status, _, _ = s.call("POST", "/i/large", "q3", strings.Repeat("x", 65<<10))
	is.Equal(status, http.StatusRequestEntityTooLarge)
}

// Each fault of a replica, for requests that may run again and for those that may not.
func TestReplicaFaults(t *testing.T) {
	for _, row := range []struct {
		fault mimic.Fault
		// all means that all replicas have the fault.
		all        bool
		idempotent int
		once       int
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
		t.Run(fmt.Sprint(row.fault, row.all), func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 2)
			s.configure()
			s.replicas[0].SetFault(row.fault)
			if row.all {
				s.replicas[1].SetFault(row.fault)
			} else {
				s.preferFirst()
			}
			status, header, _ := s.call("POST", "/i/a", "i1", "x")
			is.Equal(status, row.idempotent)
			is.True(status != http.StatusServiceUnavailable || (header.Get("Retry-After") != "" && s.ran("i1") == 0))
			if !row.all {
				s = newSite(t, 2)
				s.configure()
				s.replicas[0].SetFault(row.fault)
				s.preferFirst()
			}
			status, _, _ = s.call("POST", "/n/a", "n1", "x")
			is.Equal(status, row.once)
			is.True(s.ran("n1") <= 1) // never twice
			is.True(status != http.StatusServiceUnavailable || s.ran("n1") == 0)
		})
	}
}

// preferFirst makes the second replica look far, so that the first is asked first.
func (s *site) preferFirst() {
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
func TestClientLeaves(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2)
	s.configure()
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
	before := len(s.replicas[0].ExecutedRequests())
	status, _, _ := s.call("POST", "/i/b", "q2", "x")
	is.Equal(status, http.StatusOK)
	is.Equal(len(s.replicas[0].ExecutedRequests())-before, 1) // not ejected
}

func TestStream(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2)
	s.configure()
	status, header, body := s.call("POST", "/i/stream/a", "q1", "x")
	is.Equal(status, http.StatusOK)
	is.Equal(header.Get("Content-Type"), "text/event-stream")
	is.True(strings.HasSuffix(body, "id: 10\ndata: q1:10\n\n"))
	for _, replica := range s.replicas {
		replica.SetFault(mimic.FaultTruncated)
	}
	status, _, body = s.call("POST", "/i/stream/a", "q2", "x")
	is.Equal(status, 0) // it may not be resumed, and must not look complete
	is.True(strings.Contains(body, "EOF"))
}

// A replica that gives nothing, or nothing more, is left for another in time, where
// the stream may be resumed; errors in place of a stream are tried elsewhere.
func TestSilentStream(t *testing.T) {
	for _, fault := range []mimic.Fault{mimic.FaultSilent, mimic.FaultStall, mimic.FaultError} {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 2)
			s.configure()
			s.preferFirst()
			s.replicas[0].SetFault(fault)
			status, _, body := s.call("POST", "/i/resumed/stream/a", "q1", "x")
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
func TestQuickErrors(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2)
	s.configure()
	s.preferFirst()
	s.replicas[0].SetFault(mimic.FaultError)
	before := len(s.replicas[0].ExecutedRequests())
	for i := range 10 {
		status, _, _ := s.call("POST", "/i/a", fmt.Sprint("q", i), "x")
		is.Equal(status, http.StatusOK)
	}
	is.True(len(s.replicas[0].ExecutedRequests())-before <= 2)
}

func TestBatchCalls(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	s.configure()
	encoded, err := mimic.EncodeBatch(&gypsum.Batch{
		Step: 1, Model: "m", Items: []gypsum.BatchItem{{ID: "e1", Path: "/t/1", Body: []byte("\xab\xcd\xef"), Group: "g"}},
	})
	is.NoErr(err)
	submitted := string(encoded)
	status, _, _ := s.call("POST", "/t/b1", "b1", submitted)
	is.Equal(status, http.StatusAccepted)
	status, _, _ = s.call("POST", "/t/b1", "b1", submitted)
	is.Equal(status, http.StatusAccepted) // a repeat
	status, _, _ = s.call("POST", "/t/b2", "b2", "{")
	is.Equal(status, http.StatusBadRequest)
	status, _, body := s.call("GET", mimic.ItemTarget("b1", "e1"), "c1", "")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "\xab\xcd\xef")
	status, _, _ = s.call("GET", mimic.ItemTarget("b1", "e2"), "c1", "")
	is.Equal(status, http.StatusNotFound)
	is.NoErr(s.front.Batches.StoreResult(t.Context(), "b1", &gypsum.BatchResult{Item: "e1", State: gypsum.ItemCompleted, Text: "t", Versions: []gypsum.WeightVersion{1}}))
	status, _, body = s.call("GET", mimic.ResultsTarget("b1", 0), "c2", "")
	is.Equal(status, http.StatusOK)
	total, results, err := mimic.DecodeResults([]byte(body))
	is.NoErr(err)
	is.Equal(total, 1)
	is.Equal(len(results), 1)
	for range 2 {
		status, _, _ = s.call("DELETE", mimic.BatchTarget("b1"), "c3", "")
		is.Equal(status, http.StatusOK)
	}
	status, _, _ = s.call("GET", mimic.BatchTarget("none"), "c4", "")
	is.Equal(status, http.StatusNotFound)
	s.backing.SetFault(fake.KeyedRefuse)
	begun := time.Now()
	status, header, _ := s.call("GET", mimic.BatchTarget("none"), "c5", "")
	is.Equal(status, http.StatusServiceUnavailable) // nobody can be sure now
	is.True(header.Get("Retry-After") != "")
	status, header, _ = s.call("POST", "/t/b3", "b3", submitted)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
	is.True(time.Since(begun) < 3*time.Second)
	status, _, _ = s.call("GET", mimic.ResultsTarget("b1", 0), "c6", "") // known before
	is.Equal(status, http.StatusOK)
}

// A connection that is closed in the middle of a request's body reaches no replica.
func TestHalfRequest(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	s.configure()
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	is.NoErr(err)
	_, err = io.WriteString(conn, "POST /i/a HTTP/1.1\r\nHost: a.example\r\n"+platform.HeaderRequestID+": q1\r\nContent-Length: 100\r\n\r\nhalf")
	is.NoErr(err)
	is.NoErr(conn.Close())
	time.Sleep(50 * time.Millisecond)
	is.Equal(s.ran("q1"), 0)
}

// A request that crashes each replica that runs it reaches no more than three, however
// often it comes again; others are still served.
func TestPoison(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	s.configure()
	const count = 5
	var died atomic.Int64
	for i := range count {
		replica := &mimic.Replica{ID: gypsum.BackendID(fmt.Sprint("r-", i+1))}
		var server *httptest.Server
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, "/i/poison") {
				replica.Handler().ServeHTTP(w, r)
				return
			}
			died.Add(1)
			_ = server.Listener.Close()
			panic(http.ErrAbortHandler)
		}))
		t.Cleanup(server.Close)
		s.state.ApplyReplica(&gypsum.Replica{
			ID: replica.ID, Service: "desk", Address: strings.TrimPrefix(server.URL, "http://"), State: gypsum.ReplicaReady, Slots: 4,
		})
	}
	last := 0
	for i := range 6 {
		last, _, _ = s.call("POST", "/i/poison", fmt.Sprint("p", i), "same")
		time.Sleep(100 * time.Millisecond) // a client comes again after a while
	}
	is.Equal(last, http.StatusServiceUnavailable)
	is.True(died.Load() >= 3 && died.Load() <= 4) // two may run at once before both are known
	status, _, _ := s.call("POST", "/i/other", "q1", "x")
	is.Equal(status, http.StatusOK)
}

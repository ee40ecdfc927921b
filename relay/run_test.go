package relay_test

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/limit"
	"github.com/gypsumhook/gypsum/origin"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/platform/mimic"
	"github.com/gypsumhook/gypsum/reach"
	"github.com/gypsumhook/gypsum/relay"
	"github.com/gypsumhook/gypsum/state"
)

// runRecorder records the observed runs.
type runRecorder struct {
	mu       sync.Mutex
	accounts []gypsum.AccountName
	began    []time.Time
}

// ObserveRun implements gypsum.RunObserver.
func (r *runRecorder) ObserveRun(account gypsum.AccountName, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accounts, r.began = append(r.accounts, account), append(r.began, began)
}

// observed returns the accounts and the starts of the observed runs.
func (r *runRecorder) observed() ([]gypsum.AccountName, []time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.accounts), slices.Clone(r.began)
}

// runService is a relay with replicas of a plain service over loopback.
type runService struct {
	relay    *relay.Relay
	runs     *runRecorder
	replicas []*mimic.Replica
	route    *gypsum.Route
}

// newRunService starts a relay with replicas.
func newRunService(t *testing.T, replicaCount int) *runService {
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	registry := state.NewRegistry(logger)
	rateLimits := limit.NewTable(logger)
	backends, closeBackends := platform.NewReplicaClient(registry, rateLimits, buffer.NewPool(8<<20))
	t.Cleanup(closeBackends)
	s := &runService{relay: relay.New(), runs: &runRecorder{}, route: &gypsum.Route{
		Name: "desk", Kind: gypsum.RouteIdempotent, MaxAttempts: 4, LatencyTarget: 250 * time.Millisecond,
		Services: []gypsum.WeightedService{{Service: "desk", Weight: 1}},
	}}
	for i := range replicaCount {
		replica := &mimic.Replica{ID: gypsum.BackendID([]string{"r-1", "r-2"}[i]), ServiceTime: 40 * time.Millisecond}
		server := httptest.NewServer(replica.Handler())
		t.Cleanup(server.Close)
		s.replicas = append(s.replicas, replica)
		registry.ApplyReplica(&gypsum.Replica{
			ID: replica.ID, Service: "desk", Address: strings.TrimPrefix(server.URL, "http://"), State: gypsum.ReplicaReady, Slots: 4,
		})
	}
	rateLimits.Store = &fake.RateLimitStore{}
	limiter := limit.NewLimiter()
	limiter.Self, limiter.Table, limiter.Budgets, limiter.Logger = "host-1", rateLimits, limit.NewBudgets(), logger
	limiter.ListPeers, limiter.HolderOf = func() []gypsum.Peer { return nil }, func(gypsum.ServiceName) gypsum.HostID { return "" }
	origins, err := origin.NewTracker()
	if err != nil {
		t.Fatal(err)
	}
	origins.Registry, origins.Records, origins.Logger = registry, &fake.SoftwareRecords{}, logger
	tracker := reach.NewTracker()
	tracker.Self, tracker.Registry, tracker.Prober, tracker.Logger = "host-1", registry, backends, logger
	tracker.ListPeers, tracker.Stopping = func() []gypsum.Peer { return nil }, func() bool { return false }
	s.relay.Transport, s.relay.Crashes, s.relay.Registry, s.relay.Limiter = backends, noCrashes{}, registry, limiter
	s.relay.Origins, s.relay.Reach, s.relay.Logger, s.relay.Runs = origins, tracker, logger, s.runs
	return s
}

// serve serves a request and returns its status, 0 for a refusal.
func (s *runService) serve(t *testing.T, account gypsum.AccountName, target string) int {
	request := &relay.Request{
		LiveRequest: gypsum.LiveRequest{ID: "q", Method: http.MethodPost, Target: target, HostName: "a", Header: http.Header{}, Body: []byte("x"), Account: account},
		Route:       s.route, Service: "desk", Arrived: time.Now(), Deadline: time.Now().Add(3 * time.Second),
	}
	if s.route.Kind == gypsum.RouteStreaming {
		if s.relay.ServeStream(t.Context(), request, discardSink{}) != nil {
			return 0
		}
		return http.StatusOK
	}
	response, refusal := s.relay.Serve(t.Context(), request)
	if refusal != nil {
		return 0
	}
	return response.Status
}

// discardSink discards a stream.
type discardSink struct{}

// BeginResponse implements relay.Sink.
func (discardSink) BeginResponse(*gypsum.LiveResponse) error { return nil }

// WriteEvent implements relay.Sink.
func (discardSink) WriteEvent([]byte) error { return nil }

// Abort implements relay.Sink.
func (discardSink) Abort() {}

// TestRunIsObserved guards against requests that are counted twice, not at all, or although the
// replica has confirmed that it did not run them.
func TestRunIsObserved(t *testing.T) {
	for _, row := range []struct {
		name   string
		faults []mimic.Fault // by replica
		target string
		want   int
	}{
		{"success", []mimic.Fault{""}, "/x", 1},
		{"rejected", []mimic.Fault{mimic.FaultFull}, "/x", 0},
		{"misdirected", []mimic.Fault{mimic.FaultWrongReplica}, "/x", 0},
		{"server error", []mimic.Fault{mimic.FaultError}, "/x", 1},
		{"response lost", []mimic.Fault{mimic.FaultReset}, "/x", 1},
		{"response broken off", []mimic.Fault{mimic.FaultTruncated}, "/x", 1},
		{"no response", []mimic.Fault{mimic.FaultSilent}, "/x", 1},
		{"failed at two replicas", []mimic.Fault{mimic.FaultError, mimic.FaultError}, "/x", 1},
		{"rejected by two replicas", []mimic.Fault{mimic.FaultFull, mimic.FaultFull}, "/x", 0},
		{"stream", []mimic.Fault{""}, "/stream/x", 1},
		{"stream broken off twice", []mimic.Fault{mimic.FaultTruncated, mimic.FaultTruncated}, "/stream/x", 1},
		{"stream rejected", []mimic.Fault{mimic.FaultFull}, "/stream/x", 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := newRunService(t, len(row.faults))
			if strings.HasPrefix(row.target, "/stream") {
				s.route.Kind, s.route.Resumable = gypsum.RouteStreaming, true
			}
			for i, fault := range row.faults {
				s.replicas[i].SetFault(fault)
			}
			_ = s.serve(t, "hule930", row.target)
			_ = s.serve(t, "", row.target) // without an account
			accounts, _ := s.runs.observed()
			is.Equal(len(accounts), row.want)
			for _, account := range accounts {
				is.Equal(account, gypsum.AccountName("hule930"))
			}
		})
	}
}

// TestSilentRunIsObservedSoon guards against a request that is counted after its window was
// closed, since its replica does not respond.
func TestSilentRunIsObservedSoon(t *testing.T) {
	is := is.New(t)
	s := newRunService(t, 1)
	s.replicas[0].SetFault(mimic.FaultSilent)
	startedAt := time.Now()
	done := make(chan int, 1)
	go func() { done <- s.serve(t, "hule930", "/x") }()
	time.Sleep(2 * time.Second)
	_, began := s.runs.observed()
	is.Equal(len(began), 1)
	is.True(began[0].Sub(startedAt) < time.Second) // the start, not the time of the decision
	<-done
	_, began = s.runs.observed()
	is.Equal(len(began), 1)
}

// TestStartOfRun guards against counts in the wrong window: the observed start is that of the work
// at the replica and not that of the attempt or of the response.
func TestStartOfRun(t *testing.T) {
	is := is.New(t)
	s := newRunService(t, 1)
	is.Equal(s.serve(t, "hule930", "/x?n=0"), http.StatusOK)
	received := s.replicas[0].ReceivedAt()
	_, began := s.runs.observed()
	is.True(began[0].Sub(received[0]).Abs() < 15*time.Millisecond) // 40 ms of work follow

	sentAt := time.Unix(100, 0)
	is.Equal(relay.EstimateStart(sentAt, sentAt.Add(85*time.Millisecond), 30*time.Millisecond), sentAt.Add(30*time.Millisecond))
	is.Equal(relay.EstimateStart(sentAt, sentAt.Add(20*time.Millisecond), 30*time.Millisecond), sentAt.Add(10*time.Millisecond)) // nearer than assumed
	is.Equal(relay.EstimateStart(sentAt, sentAt, 30*time.Millisecond), sentAt)
}

// TestTransit guards against starts that are wrong by the way to a data centre that is not as far
// as its distance lets expect, and by differences of the work.
func TestTransit(t *testing.T) {
	is := is.New(t)
	here := gypsum.Location{DataCentre: "a", Region: "r"}
	near := &gypsum.Replica{Service: "desk", Location: gypsum.Location{DataCentre: "b", Region: "r"}}
	far := &gypsum.Replica{Service: "desk", Location: gypsum.Location{DataCentre: "c", Region: "s"}}
	usual := &gypsum.Replica{Service: "desk", Location: gypsum.Location{DataCentre: "d", Region: "s"}}
	other := &gypsum.Replica{Service: "other", Location: far.Location}
	estimator := &relay.TransitEstimator{}
	for i := range 12 {
		is.Equal(estimator.Transit(here, far), 30*time.Millisecond) // too few responses
		work := time.Duration(5+i*7%12) * time.Millisecond
		estimator.Record(far, 180*time.Millisecond+work)
		estimator.Record(near, 2*time.Millisecond+work)
		estimator.Record(usual, 72*time.Millisecond+work)
	}
	is.Equal(estimator.Transit(here, far), 89*time.Millisecond)   // 90 ms without the way to the nearest
	is.Equal(estimator.Transit(here, usual), 30*time.Millisecond) // the measurement is not better
	is.Equal(estimator.Transit(here, near), 800*time.Microsecond) // the nearest one by its distance
	is.Equal(estimator.Transit(here, other), 30*time.Millisecond) // another service
	estimator.Record(other, 26*time.Millisecond)
	is.Equal(estimator.Transit(here, other), 800*time.Microsecond) // the way there and back takes less
}

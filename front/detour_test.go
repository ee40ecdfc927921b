package front_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/platform/mimic"
	"github.com/gypsumhook/gypsum/reach"
	"github.com/gypsumhook/gypsum/wire"
)

// hostList is the list of the hosts of a test.
type hostList struct {
	mu    sync.Mutex
	peers []gypsum.Peer
}

// add adds a host.
func (l *hostList) add(peer gypsum.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = append(l.peers, peer)
}

// list returns the hosts.
func (l *hostList) list() []gypsum.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.peers)
}

// forwardMemory is the memory for requests that a host forwards.
const forwardMemory = 256 << 10

// startReach creates the tracker of a host and serves it to other hosts.
func (s *testServer) startReach(name gypsum.HostID, backends *platform.ReplicaClient, logger *slog.Logger) {
	peers, closePeers := wire.NewPeerClients()
	peers.ForwardMemory = buffer.NewPool(forwardMemory)
	s.t.Cleanup(closePeers)
	s.reach = reach.NewTracker()
	s.reach.Self, s.reach.Registry, s.reach.Prober, s.reach.Forwarder, s.reach.Logger = name, s.registry, backends, backends, logger
	s.reach.ListPeers, s.reach.Peers, s.reach.Stopping = s.hosts.list, peers, func() bool { return s.frontend.Stopping.Load() }
	internal := http.NewServeMux()
	for path, handler := range wire.ReplicaHandler(s.reach, buffer.NewPool(forwardMemory)) {
		internal.Handle(path, handler)
	}
	server := httptest.NewUnstartedServer(s.watchForKeys(internal))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.internalConns.Add(1)
		}
	}
	server.Start()
	s.closeInternal = server.CloseClientConnections
	s.t.Cleanup(server.Close)
	s.hosts.add(gypsum.Peer{Host: name, Address: strings.TrimPrefix(server.URL, "http://")})
}

// refusedAddress returns an address at which nothing listens. A socket that does not listen holds the port until the end
// of the test: the system would give a free one to a server of another test, or to the connection to it itself.
func refusedAddress(t *testing.T) string {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(socket) })
	if err := unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint("127.0.0.1:", bound.(*unix.SockaddrInet4).Port)
}

// newCutOffServer starts a frontend that reaches its replicas only through another host.
func newCutOffServer(t *testing.T, replicaCount int) *testServer {
	s, _ := newCutOffPair(t, replicaCount)
	return s
}

// newCutOffPair starts a frontend that reaches its replicas only through another host, and that
// host.
func newCutOffPair(t *testing.T, replicaCount int) (s, peer *testServer) {
	s = newTestServer(t, replicaCount)
	peer = s.startPeer("host-2")
	s.addresses = slices.Clone(s.addresses)
	for i := range s.addresses {
		s.addresses[i] = refusedAddress(t)
	}
	s.registerReplicas()
	s.applyConfig()
	if replicaCount == 0 {
		return s, peer
	}
	s.awaitDetour()
	return s, peer
}

// awaitDetour waits until a host without a path to its replicas has found another one.
func (s *testServer) awaitDetour() {
	s.t.Helper()
	// The first failure starts the check that finds the other host.
	s.reach.RecordFailure("desk", time.Now())
	s.reach.AwaitCheck(s.t.Context(), "desk")
	if s.reach.Detour("desk") == nil {
		s.t.Fatal("the other host was not found")
	}
}

// TestReplicaFaultsOnDetour checks that requests through another host get the same responses as
// those that go to the replicas directly.
func TestReplicaFaultsOnDetour(t *testing.T) { testReplicaFaults(t, newCutOffServer) }

// TestClientCancelsOnDetour checks that the attempt at the replica ends when the client of the
// first host disconnects.
func TestClientCancelsOnDetour(t *testing.T) {
	for _, target := range []string{"/i/a", "/i/stream/a"} {
		t.Run(target, func(t *testing.T) { testClientCancels(t, target, newCutOffServer) })
	}
}

// TestCutWhileRequestsArrive checks that a request is served although no check has found out yet
// that the host reaches no replica.
func TestCutWhileRequestsArrive(t *testing.T) {
	is := is.New(t)
	s, peer := newCutOffPair(t, 0)
	backend := &mimic.Replica{ID: "r-1"}
	server := httptest.NewServer(backend.Handler())
	defer server.Close()
	for _, host := range []*testServer{s, peer} {
		address := strings.TrimPrefix(server.URL, "http://")
		if host == s {
			address = refusedAddress(t)
		}
		host.registry.ApplyReplica(&gypsum.Replica{ID: "r-1", Service: "desk", Address: address, State: gypsum.ReplicaReady, Slots: 4})
	}
	status, _, _ := s.sendRequest("POST", "/n/a", "q1", "x")
	is.Equal(status, http.StatusOK)
	is.Equal(backend.ExecutedRequests(), []string{"q1"})
}

// TestNoHostReachesService checks that a request is refused as not run, with a retry delay, if no
// host reaches the service.
func TestNoHostReachesService(t *testing.T) {
	is := is.New(t)
	s, peer := newCutOffPair(t, 2)
	peer.addresses = s.addresses
	peer.registerReplicas()
	for i := range 3 {
		begin := time.Now()
		status, header, _ := s.sendRequest("POST", "/n/a", fmt.Sprint("q", i), "x")
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(header.Get("Retry-After") != "")
		is.True(time.Since(begin) < time.Second)
	}
	is.Equal(s.executionCount("q0"), 0)
}

// TestOtherHostDies checks that a request is repeated only if it is idempotent when the host that
// forwards it dies, and that a non-idempotent one is not said to be not run.
func TestOtherHostDies(t *testing.T) {
	for _, row := range []struct {
		target string
		status int
	}{{"/i/a", http.StatusOK}, {"/n/a", http.StatusBadGateway}} {
		t.Run(row.target, func(t *testing.T) {
			is := is.New(t)
			s, peer := newCutOffPair(t, 2)
			third := s.startPeer("host-3")
			third.addresses = peer.addresses
			third.registerReplicas()
			for _, replica := range s.replicas {
				replica.ServiceTime = 150 * time.Millisecond
			}
			via := s.reach.Detour("desk").Host
			is.Equal(via, gypsum.HostID("host-2"))
			go func() {
				time.Sleep(60 * time.Millisecond)
				peer.frontend.Stopping.Store(true) // accepts no further requests
				peer.closeInternal()
			}()
			status, _, _ := s.sendRequest("POST", row.target, "q1", "x")
			is.Equal(status, row.status)
			is.True(row.status == http.StatusOK || s.executionCount("q1") == 1)
		})
	}
}

// TestAnnouncementsOnDetour checks that what replicas announce in responses through another host is
// observed: a leaving replica gets no further request from either host, and the limit of a
// request rate is in force at once.
func TestAnnouncementsOnDetour(t *testing.T) {
	is := is.New(t)
	s, peer := newCutOffPair(t, 2)
	s.preferFirstReplica()
	s.replicas[0].SetLeaving(true)
	status, _, _ := s.sendRequest("POST", "/i/a", "first", "x")
	is.Equal(status, http.StatusOK)
	for _, server := range []*testServer{s, peer} {
		is.Equal(server.registry.Current().Replicas["r-1"].State, gypsum.ReplicaDraining)
	}
	for i, server := range []*testServer{s, peer, s, peer} {
		id := fmt.Sprint("later-", i)
		status, _, _ = server.sendRequest("POST", "/i/a", id, "x")
		is.Equal(status, http.StatusOK)
		is.True(!slices.Contains(s.replicas[0].ExecutedRequests(), id))
	}
	s.replicas[1].SetRateLimit("0")
	status, _, _ = s.sendRequest("POST", "/i/a", "limit", "x")
	is.Equal(status, http.StatusOK)
	status, header, _ := s.sendRequest("POST", "/i/a", "beyond", "x")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
	is.Equal(s.executionCount("beyond"), 0)
}

// TestLeavingReplicaKnownToOtherHost checks that a host does not forward requests to a replica that
// has announced to it that it is leaving.
func TestLeavingReplicaKnownToOtherHost(t *testing.T) {
	is := is.New(t)
	s, peer := newCutOffPair(t, 2)
	s.preferFirstReplica()
	peer.registry.MarkLeaving(peer.registry.Current().Replicas["r-1"])
	for i := range 3 {
		id := fmt.Sprint("q", i)
		status, _, _ := s.sendRequest("POST", "/n/a", id, "x")
		is.True(status == http.StatusOK || status == http.StatusServiceUnavailable)
		is.True(!slices.Contains(s.replicas[0].ExecutedRequests(), id))
	}
}

// TestDeadlineOnDetour checks that a replica gets no more time than the client has left.
func TestDeadlineOnDetour(t *testing.T) {
	is := is.New(t)
	budgets := make(chan string, 1)
	s, peer := newCutOffPair(t, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		budgets <- r.Header.Get(platform.HeaderDeadline)
		s.replicas[0].Handler().ServeHTTP(w, r)
	}))
	defer server.Close()
	peer.addresses = []string{strings.TrimPrefix(server.URL, "http://")}
	peer.registerReplicas()
	status, _, _ := s.sendRequest("POST", "/i/a", "q1", "x")
	is.Equal(status, http.StatusOK)
	budget, err := strconv.Atoi(<-budgets)
	is.NoErr(err)
	is.True(budget > 0 && budget <= 1500)
}

// TestConnectionsOnDetour checks that requests one after the other use one connection between the hosts.
func TestConnectionsOnDetour(t *testing.T) {
	is := is.New(t)
	s, peer := newCutOffPair(t, 2)
	before := peer.internalConns.Load() // that of the question whether the service is in reach
	for i := range 10 {
		status, _, _ := s.sendRequest("POST", "/i/a", fmt.Sprint("q", i), "x")
		is.Equal(status, http.StatusOK)
	}
	is.True(peer.internalConns.Load()-before <= 1)
}

// TestMemoryOnDetour checks that requests beyond the memory for forwarding are refused as not run,
// at the first host and at the other one.
func TestMemoryOnDetour(t *testing.T) {
	is := is.New(t)
	s, _ := newCutOffPair(t, 1)
	peers, closePeers := wire.NewPeerClients()
	defer closePeers()
	peers.ForwardMemory = buffer.NewPool(2 * forwardMemory)
	for _, size := range []int{forwardMemory + 1, 2*forwardMemory + 1} {
		request := &gypsum.ForwardedRequest{Replica: "r-1", Method: "POST", Target: "/i/a", Header: http.Header{}, Body: make([]byte, size)}
		_, err := peers.ReplicasVia(s.hosts.list()[1].Address).Forward(t.Context(), request)
		is.True(err != nil)
		is.Equal(len(s.replicas[0].ExecutedRequests()), 0)
	}
	s.replicas[0].ServiceTime = 300 * time.Millisecond
	results := make(chan error, 4)
	for i := range 4 {
		go func() {
			request := &gypsum.ForwardedRequest{
				Replica: "r-1", Method: "POST", Target: "/i/a", Header: http.Header{platform.HeaderRequestID: {fmt.Sprint("q", i)}}, Body: make([]byte, forwardMemory/3),
			}
			response, err := peers.ReplicasVia(s.hosts.list()[1].Address).Forward(t.Context(), request)
			if err == nil {
				err = response.Body.Close()
			}
			results <- err
		}()
	}
	refused := 0
	for range 4 {
		if err := <-results; err != nil {
			is.True(errors.Is(err, gypsum.ErrNotSent) || errors.Is(err, gypsum.ErrPeerFailed))
			refused++
		}
	}
	is.True(refused >= 2) // together they exceed the memory
	is.True(len(s.replicas[0].ExecutedRequests()) <= 2)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	request := &gypsum.ForwardedRequest{ID: "small", Replica: "r-1", Method: "POST", Target: "/i/a", Header: http.Header{}, Body: []byte("x")}
	response, err := peers.ReplicasVia(s.hosts.list()[1].Address).Forward(ctx, request)
	is.NoErr(err) // the memory was returned
	is.NoErr(response.Body.Close())
}

// TestStreamOnDetour checks that a stream that a replica breaks off is continued by one of the same
// software version through another host.
func TestStreamOnDetour(t *testing.T) {
	is := is.New(t)
	s := newCutOffServer(t, 4)
	for i, version := range []gypsum.SoftwareVersion{"v1", "v2", "v2", "v1"} {
		s.replicas[i].Software = version
	}
	s.registerReplicas()
	s.replicas[0].SetFault(mimic.FaultTruncated)
	s.preferFirstReplica()
	for number := range 5 {
		id := fmt.Sprint("q", number)
		status, _, body := s.sendRequest("POST", resumableTarget, id, "x")
		is.Equal(status, http.StatusOK)
		is.True(body == streamText(id, "v1", 1) || body == streamText(id, "v2", 1))
	}
}

// TestCutIsNotACrash guards against requests that are refused everywhere because the connections of
// their replicas broke while the path to them was cut, which looks like a crash from one host.
func TestCutIsNotACrash(t *testing.T) {
	is := is.New(t)
	s, peer := newCutOffPair(t, 2)
	for i := range 6 {
		// The connection breaks after the request was sent, and new ones are refused.
		s.replicas[i%2].SetFault(mimic.FaultReset)
		status, _, _ := s.sendRequest("POST", "/i/a", fmt.Sprint("q", i), "same")
		is.Equal(status, http.StatusOK) // the other replica answers
		s.replicas[i%2].SetFault("")
		time.Sleep(50 * time.Millisecond) // the probe of the replica ends
	}
	status, _, _ := peer.sendRequest("POST", "/i/a", "last", "same")
	is.Equal(status, http.StatusOK)
}

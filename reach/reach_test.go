package reach_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/reach"
	"github.com/gypsumhook/gypsum/state"
)

// TestDecide checks the verdicts on the results of checks.
func TestDecide(t *testing.T) {
	for _, row := range []struct {
		name     string
		evidence reach.Evidence
		verdict  reach.Verdict
	}{
		{"a replica accepts a connection", reach.Evidence{Connected: true, PeerReaches: true}, reach.VerdictReachable},
		{"no result yet", reach.Evidence{ProbesPending: 3, PeersPending: 2}, reach.VerdictUndecided},
		{"connections refused here, another host connects", reach.Evidence{PeerReaches: true}, reach.VerdictDetour},
		{"connections refused here, answers missing", reach.Evidence{PeersPending: 1}, reach.VerdictUndecided},
		{"refused everywhere", reach.Evidence{}, reach.VerdictNoPath},
		{"silent for a moment, another host connects", reach.Evidence{ProbesPending: 3, PeerReaches: true, Elapsed: 70 * time.Millisecond}, reach.VerdictUndecided},
		{"silent for long, another host connects", reach.Evidence{ProbesPending: 3, PeerReaches: true, Elapsed: 250 * time.Millisecond}, reach.VerdictDetour},
		{"back for all hosts at the same moment", reach.Evidence{ProbesPending: 3, PeerReaches: true, OutOfReach: true, Elapsed: 5 * time.Millisecond}, reach.VerdictUndecided},
		{"silent for a moment, but out of reach before", reach.Evidence{ProbesPending: 3, PeerReaches: true, OutOfReach: true, Elapsed: 90 * time.Millisecond}, reach.VerdictDetour},
		{"silent here and for others", reach.Evidence{ProbesPending: 3, Elapsed: 250 * time.Millisecond}, reach.VerdictUndecided},
	} {
		t.Run(row.name, func(t *testing.T) { is.New(t).Equal(reach.Decide(row.evidence), row.verdict) })
	}
}

// testPeers returns three hosts in each of three data centres, two of them in one region.
func testPeers() []gypsum.Peer {
	var peers []gypsum.Peer
	for _, location := range []gypsum.Location{{DataCentre: "a", Region: "r"}, {DataCentre: "b", Region: "r"}, {DataCentre: "c", Region: "s"}} {
		for n := range 3 {
			name := fmt.Sprintf("%s%d", location.DataCentre, n)
			peers = append(peers, gypsum.Peer{Host: gypsum.HostID(name), Address: name, Location: location})
		}
	}
	return peers
}

// TestPeersToAsk guards against a host that asks only hosts of its own data centre, all of which
// may be cut off, and against hosts that all ask the same ones.
func TestPeersToAsk(t *testing.T) {
	is := is.New(t)
	asked := make(map[gypsum.HostID]int)
	for check := range int64(40) {
		peers := reach.PeersToAsk(testPeers(), "a0", gypsum.Location{DataCentre: "a", Region: "r"}, check, 0)
		is.Equal(len(peers), 6)
		var centres []gypsum.DataCentre
		for _, peer := range peers {
			is.True(peer.Host != "a0")
			centres = append(centres, peer.Location.DataCentre)
			asked[peer.Host]++
		}
		is.Equal(centres, []gypsum.DataCentre{"a", "a", "b", "b", "c", "c"}) // near ones first
	}
	is.Equal(len(asked), 8)
	for _, count := range asked {
		is.True(count >= 10) // 27 if spread evenly, 40 for both of the own data centre
	}
}

// TestMorePeersAreAsked replays a cut of nine of ten hosts of 60: a host that finds no path asks more
// hosts with each check and has found one within four.
func TestMorePeersAreAsked(t *testing.T) {
	is := is.New(t)
	var peers []gypsum.Peer
	for i := range 60 {
		location := gypsum.Location{DataCentre: gypsum.DataCentre([]string{"a", "b", "c"}[i%3]), Region: "r"}
		peers = append(peers, gypsum.Peer{Host: gypsum.HostID(fmt.Sprint("host-", i)), Location: location})
	}
	for self := range 54 { // the last six are not cut off
		found := false
		for check := range 4 {
			asked := reach.PeersToAsk(peers, peers[self].Host, peers[self].Location, int64(check), check)
			is.True(len(asked) <= 32)
			found = found || slices.ContainsFunc(asked, func(peer gypsum.Peer) bool { return slices.Contains(peers[54:], peer) })
		}
		is.True(found)
	}
}

// testNetwork is the network between hosts and replicas.
type testNetwork struct {
	mu sync.Mutex
	// silent and refused are the hosts whose connections to replicas get no response or are
	// refused, down the replicas that accept none.
	silent, refused map[gypsum.HostID]bool
	down            map[gypsum.BackendID]bool
	probes          map[gypsum.HostID]int
	questions       int
	trackers        map[string]*reach.Tracker
}

// prober probes replicas from a host.
type prober struct {
	network *testNetwork
	host    gypsum.HostID
}

// AcceptsConnections implements gypsum.Prober.
func (p *prober) AcceptsConnections(ctx context.Context, replica *gypsum.Replica) bool {
	n := p.network
	n.mu.Lock()
	n.probes[p.host]++
	silent, accepts := n.silent[p.host], !n.refused[p.host] && !n.down[replica.ID]
	n.mu.Unlock()
	if silent {
		<-ctx.Done()
		return false
	}
	time.Sleep(time.Millisecond)
	return accepts && ctx.Err() == nil
}

// ForwardTo implements gypsum.ReplicaForwarder.
func (p *prober) ForwardTo(ctx context.Context, replica *gypsum.Replica, _ *gypsum.ForwardedRequest) (*gypsum.ForwardedResponse, error) {
	if !p.AcceptsConnections(ctx, replica) {
		return nil, gypsum.ErrNotSent
	}
	return &gypsum.ForwardedResponse{Status: http.StatusOK, Body: http.NoBody}, nil
}

// ReplicasVia implements gypsum.PeerReplicas.
func (n *testNetwork) ReplicasVia(address string) gypsum.RemoteReplicas {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.questions++
	return n.trackers[address]
}

// newNetwork starts the trackers of all hosts, which know replicas of one service.
func newNetwork(t *testing.T, replicas int) *testNetwork {
	n := &testNetwork{
		silent: make(map[gypsum.HostID]bool), refused: make(map[gypsum.HostID]bool), down: make(map[gypsum.BackendID]bool),
		probes: make(map[gypsum.HostID]int), trackers: make(map[string]*reach.Tracker),
	}
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	for _, peer := range testPeers() {
		tracker := reach.NewTracker()
		tracker.Self, tracker.Location, tracker.Registry, tracker.Logger = peer.Host, peer.Location, state.NewRegistry(logger), logger
		tracker.ListPeers, tracker.Peers, tracker.Stopping = testPeers, n, func() bool { return false }
		tracker.Prober, tracker.Forwarder = &prober{n, peer.Host}, &prober{n, peer.Host}
		for i := range replicas {
			tracker.Registry.ApplyReplica(&gypsum.Replica{ID: gypsum.BackendID(fmt.Sprint("r-", i+1)), Service: "desk", State: gypsum.ReplicaReady})
		}
		n.trackers[peer.Address] = tracker
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- tracker.Run(ctx) }()
		t.Cleanup(func() { stop(); <-ended })
	}
	return n
}

// set changes the network.
func (n *testNetwork) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// counts returns the number of probes of a host and of questions to all hosts.
func (n *testNetwork) counts(host gypsum.HostID) (probes, questions int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.probes[host], n.questions
}

// fail records a failed attempt at a host and waits for the check that it starts.
func (n *testNetwork) fail(t *testing.T, host string) *gypsum.Peer {
	n.trackers[host].RecordFailure("desk", time.Now())
	n.trackers[host].AwaitCheck(t.Context(), "desk")
	return n.trackers[host].Detour("desk")
}

// TestFailedReplicaCostsOneProbe replays a crash of one replica of ten under load: each failed attempt costs
// one probe at most and no question to another host, and none while responses arrive.
func TestFailedReplicaCostsOneProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 10)
		for range 20 {
			is.Equal(n.fail(t, "a0"), nil)
			time.Sleep(150 * time.Millisecond)
		}
		probes, questions := n.counts("a0")
		is.Equal(probes, 20)
		is.Equal(questions, 0)
		for range 20 {
			startedAt := time.Now()
			time.Sleep(50 * time.Millisecond)
			n.trackers["a0"].RecordResponse("desk", time.Now())
			n.trackers["a0"].RecordFailure("desk", startedAt)
		}
		probes, _ = n.counts("a0")
		is.Equal(probes, 20)
	})
}

// TestDataCentreCutOff replays a cut of all hosts of a data centre from all replicas: each finds a host
// elsewhere, within 0.3 s if connections are refused or silent, and the replicas again once the cut is over.
func TestDataCentreCutOff(t *testing.T) {
	for name, refused := range map[string]bool{"refused": true, "silent": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(t, 3)
				cut := n.silent
				if refused {
					cut = n.refused
				}
				setCut := func(isCut bool) {
					n.set(func() {
						for _, host := range []gypsum.HostID{"a0", "a1", "a2"} {
							cut[host] = isCut
						}
					})
				}
				setCut(true)
				for _, host := range []string{"a0", "a1", "a2"} {
					begin := time.Now()
					detour := n.fail(t, host)
					is.True(detour != nil && detour.Location.DataCentre != "a")
					is.True(time.Since(begin) <= 300*time.Millisecond)
					is.True(!n.trackers[host].CanConnect(t.Context(), "desk")) // claims nothing
					reaches, err := n.trackers[host].Reaches(t.Context(), gypsum.ReachQuery{Service: "desk"})
					is.NoErr(err)
					is.True(!reaches) // is no detour for others
					_, err = n.trackers[host].Forward(t.Context(), &gypsum.ForwardedRequest{Replica: "r-1"})
					is.True(errors.Is(err, gypsum.ErrNotSent) && errors.Is(err, gypsum.ErrPeerFailed))
				}
				setCut(false)
				time.Sleep(1100 * time.Millisecond)
				for _, host := range []string{"a0", "a1", "a2"} {
					is.Equal(n.trackers[host].Detour("desk"), nil)
					is.True(n.trackers[host].CanConnect(t.Context(), "desk"))
				}
			})
		})
	}
}

// TestServiceDownEverywhere checks that no detour is used while no host reaches the service, and that
// checks stay rare.
func TestServiceDownEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 3)
		for _, replica := range []gypsum.BackendID{"r-1", "r-2", "r-3"} {
			n.set(func() { n.down[replica] = true })
		}
		for range 100 {
			is.Equal(n.fail(t, "a0"), nil)
			time.Sleep(50 * time.Millisecond)
		}
		probes, questions := n.counts("a0")
		is.True(probes <= 3*12) // a check each 0.5 s at most
		is.True(questions <= 6*12)
		// Without a replica that accepts a connection, all hosts may be cut off as well.
		replica := &gypsum.Replica{ID: "r-1", Service: "desk"}
		is.True(!n.trackers["a0"].ConfirmDown(t.Context(), replica))
		for _, tracker := range n.trackers {
			tracker.Registry.ApplyReplica(&gypsum.Replica{ID: "other", Service: "models", State: gypsum.ReplicaReady})
		}
		is.True(n.trackers["a0"].ConfirmDown(t.Context(), replica))
	})
}

// TestDetourFails checks that a host that fails is replaced at once, and that one that only did not
// respond in time is kept if it still reaches the service.
func TestDetourFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 3)
		n.set(func() { n.refused["a0"] = true })
		first := n.fail(t, "a0")
		is.True(first != nil)
		tracker := n.trackers["a0"]
		time.Sleep(time.Second)
		tracker.RecheckDetour("desk", first.Host)
		tracker.AwaitCheck(t.Context(), "desk")
		is.True(tracker.Detour("desk") != nil)
		first = tracker.Detour("desk")
		tracker.RecordDetourFailure("desk", first.Host)
		tracker.AwaitCheck(t.Context(), "desk")
		second := tracker.Detour("desk")
		is.True(second != nil && second.Host != first.Host)
		// Silent connections do not delay the choice of the next host.
		time.Sleep(time.Second)
		n.set(func() { n.silent["a0"] = true })
		failedAt := time.Now()
		tracker.RecordDetourFailure("desk", second.Host)
		for tracker.Detour("desk") == nil {
			time.Sleep(time.Millisecond)
		}
		is.True(time.Since(failedAt) < 120*time.Millisecond) // a round trip between regions, in which the path may be back
		second = tracker.Detour("desk")
		time.Sleep(time.Second)
		n.set(func() { n.refused[second.Host] = true })
		tracker.RecheckDetour("desk", second.Host)
		time.Sleep(time.Second) // at the next check
		third := tracker.Detour("desk")
		is.True(third != nil && third.Host != second.Host)
	})
}

// TestCutIsNoCrash guards against replicas that count as crashed because the path to them is cut: a crash
// is confirmed only if another host does not connect either.
func TestCutIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 3)
		replica := &gypsum.Replica{ID: "r-1", Service: "desk"}
		n.set(func() { n.refused["a0"] = true })
		is.True(!n.trackers["a0"].ConfirmDown(t.Context(), replica)) // others connect
		n.set(func() { n.down["r-1"] = true })
		is.True(n.trackers["a0"].ConfirmDown(t.Context(), replica))
		n.set(func() { n.down["r-1"] = false })
		n.set(func() { n.down["r-1"] = false })
		n.set(func() {
			for _, peer := range testPeers() {
				n.refused[peer.Host] = true
			}
		})
		is.True(!n.trackers["a0"].ConfirmDown(t.Context(), replica)) // the hosts that are asked are cut off too
		n.set(func() {
			for _, peer := range testPeers() {
				n.refused[peer.Host] = peer.Host == "a0"
			}
		})
		n.trackers["a0"].ListPeers = func() []gypsum.Peer { return nil }
		is.True(!n.trackers["a0"].ConfirmDown(t.Context(), replica)) // alone, and nothing is in reach
		n.set(func() { n.refused["a0"] = false })
		is.True(n.trackers["a0"].ConfirmDown(t.Context(), replica)) // alone, and others of the service are in reach
	})
}

// TestForwardLimits checks which requests of other daemons are not accepted.
func TestForwardLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 3)
		tracker := n.trackers["a0"]
		forward := func(request gypsum.ForwardedRequest) (*gypsum.ForwardedResponse, error) {
			return tracker.Forward(t.Context(), &request)
		}
		_, err := forward(gypsum.ForwardedRequest{Replica: "unknown"})
		is.True(errors.Is(err, gypsum.ErrNotSent) && !errors.Is(err, gypsum.ErrPeerFailed))
		_, err = forward(gypsum.ForwardedRequest{Replica: "r-1", Incarnation: 7}) // another start
		is.True(errors.Is(err, gypsum.ErrNotSent) && !errors.Is(err, gypsum.ErrPeerFailed))
		var open []*gypsum.ForwardedResponse
		for {
			response, err := forward(gypsum.ForwardedRequest{Replica: "r-1"})
			if err != nil {
				is.True(errors.Is(err, gypsum.ErrNotSent) && errors.Is(err, gypsum.ErrPeerFailed))
				break
			}
			open = append(open, response)
		}
		is.Equal(len(open), 256)
		for _, response := range slices.Concat(open, open) { // closed twice
			is.NoErr(response.Body.Close())
		}
		for range 256 {
			response, err := forward(gypsum.ForwardedRequest{Replica: "r-1"})
			is.NoErr(err)
			is.NoErr(response.Body.Close())
		}
		tracker.Stopping = func() bool { return true }
		_, err = forward(gypsum.ForwardedRequest{Replica: "r-1"})
		is.True(errors.Is(err, gypsum.ErrNotSent) && errors.Is(err, gypsum.ErrPeerFailed))
	})
}

// TestNilTracker checks that a daemon without a tracker reaches all services.
func TestNilTracker(t *testing.T) {
	is := is.New(t)
	var tracker *reach.Tracker
	tracker.RecordResponse("desk", time.Now())
	tracker.RecordFailure("desk", time.Now())
	tracker.AwaitCheck(t.Context(), "desk")
	is.Equal(tracker.Detour("desk"), nil)
	is.True(tracker.CanConnect(t.Context(), "desk"))
	is.True(tracker.ConfirmDown(t.Context(), &gypsum.Replica{}))
}

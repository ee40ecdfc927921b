package origin_test

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/origin"
	"github.com/gypsumhook/gypsum/state"
)

const chatService = gypsum.ServiceName("chat")

// TestSoleVersion checks when all streams that may still be taken up are of one version.
func TestSoleVersion(t *testing.T) {
	now := time.Now()
	replica := func(software gypsum.SoftwareVersion, age time.Duration) *gypsum.Replica {
		return &gypsum.Replica{Software: software, Incarnation: gypsum.Incarnation(now.Add(-age).UnixMilli())}
	}
	hour, second := time.Hour, time.Second
	for name, row := range map[string]struct {
		replicas      []*gypsum.Replica
		observedSince time.Time
		want          bool
	}{
		"old replicas of one version, daemon just started": {[]*gypsum.Replica{replica("1", hour), replica("1", hour)}, time.Time{}, true},
		"one has started since":                            {[]*gypsum.Replica{replica("1", hour), replica("1", second)}, time.Time{}, false},
		"observed for a minute":                            {[]*gypsum.Replica{replica("1", second)}, now.Add(-time.Minute), true},
		"observed for a second":                            {[]*gypsum.Replica{replica("1", second)}, now.Add(-second), false},
		"two versions":                                     {[]*gypsum.Replica{replica("1", hour), replica("2", hour)}, now.Add(-hour), false},
		"no replica":                                       {nil, now.Add(-hour), false},
	} {
		summary := origin.Summarize(row.replicas)
		if _, ok := summary.SoleVersion(row.observedSince, now); ok != row.want {
			t.Errorf("%s: %t", name, ok)
		}
	}
}

// deployment is a number of daemons that know the same replicas.
type deployment struct {
	peers    fake.PeerOrigins
	trackers []*origin.Tracker
}

func newDeployment(t *testing.T, daemons int) *deployment {
	d := &deployment{}
	logger := slog.New(slog.DiscardHandler)
	for i := range daemons {
		tracker, err := origin.NewTracker()
		if err != nil {
			t.Fatal(err)
		}
		tracker.Self, tracker.Registry, tracker.Logger = gypsum.HostID(fmt.Sprint("host-", i+1)), state.NewRegistry(logger), logger
		tracker.ListPeers, tracker.Peers = d.peers.List, &d.peers
		d.peers.Add(tracker.Self, tracker)
		done := make(chan error)
		go func() { done <- tracker.Run(t.Context()) }()
		t.Cleanup(func() { <-done })
		d.trackers = append(d.trackers, tracker)
	}
	return d
}

// register registers a replica at all daemons.
func (d *deployment) register(id gypsum.BackendID, software gypsum.SoftwareVersion) {
	for _, tracker := range d.trackers {
		tracker.Registry.ApplyReplica(&gypsum.Replica{ID: id, Service: chatService, State: gypsum.ReplicaReady, Software: software})
		tracker.Update(time.Now())
	}
}

// find returns the software version of a stream according to a daemon, empty if it is unknown.
func (d *deployment) find(t *testing.T, daemon int, first gypsum.RequestID) gypsum.SoftwareVersion {
	found, _ := d.trackers[daemon].Find(t.Context(), first, []gypsum.WeightedService{{Service: chatService, Weight: 1}})
	return found.Software
}

// TestStreamsBegunBeforeSecondVersion guards against streams that were begun while the service
// had one version, and whose origins are unknown once it has two and their daemon is gone.
func TestStreamsBegunBeforeSecondVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, 6)
		d.register("r-1", "1")
		for i := range 20 {
			d.trackers[0].Record(gypsum.StreamOrigin{Request: gypsum.RequestID(fmt.Sprint("q", i)), Service: chatService, Software: "1"})
		}
		time.Sleep(100 * time.Millisecond)
		is.Equal(d.trackers[0].Stats.Shared.Load(), int64(0)) // nothing is shared with one version
		is.Equal(d.find(t, 3, "q1"), gypsum.SoftwareVersion("1"))
		d.register("r-2", "2")
		time.Sleep(100 * time.Millisecond)
		is.Equal(d.trackers[0].Stats.Shared.Load(), int64(40))
		d.peers.Kill("host-1")
		for i := range 20 {
			is.Equal(d.find(t, 1+i%5, gypsum.RequestID(fmt.Sprint("q", i))), gypsum.SoftwareVersion("1"))
		}
	})
}

// TestOriginsSurviveDaemons checks that the origin of a stream is found after the daemon that
// began it and another one are gone, and that it is unknown where nobody knows it.
func TestOriginsSurviveDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, 6)
		d.register("r-1", "1")
		d.register("r-2", "2")
		for i := range 20 {
			software := gypsum.SoftwareVersion(fmt.Sprint(1 + i%2))
			d.trackers[0].Record(gypsum.StreamOrigin{Request: gypsum.RequestID(fmt.Sprint("q", i)), Service: chatService, Software: software})
		}
		time.Sleep(100 * time.Millisecond)
		d.peers.Kill("host-1")
		d.peers.Kill("host-2")
		for i := range 20 {
			is.Equal(d.find(t, 2+i%4, gypsum.RequestID(fmt.Sprint("q", i))), gypsum.SoftwareVersion(fmt.Sprint(1+i%2)))
		}
		is.Equal(d.find(t, 2, "other"), gypsum.SoftwareVersion(""))
		is.Equal(d.find(t, 2, ""), gypsum.SoftwareVersion(""))
		is.Equal(d.trackers[2].Stats.Unknown.Load(), int64(2))
		time.Sleep(time.Minute)
		is.Equal(d.find(t, 2, "q1"), gypsum.SoftwareVersion("")) // no client takes up so old a stream
	})
}

// TestOriginOfOtherService checks that the origin names the service, where a route leads to
// several.
func TestOriginOfOtherService(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	d.register("r-1", "1")
	d.trackers[0].Record(gypsum.StreamOrigin{Request: "q", Service: "other", Software: "7"})
	services := []gypsum.WeightedService{{Service: chatService, Weight: 1}, {Service: "other", Weight: 1}}
	found, ok := d.trackers[0].Find(t.Context(), "q", services)
	is.True(ok)
	is.Equal(found.Service, gypsum.ServiceName("other"))
	_, ok = d.trackers[0].Find(t.Context(), "unknown", services)
	is.True(!ok)
}

// BenchmarkRecord measures the record of a stream's origin in a service with as many replicas as
// the target.
func BenchmarkRecord(b *testing.B) {
	tracker, err := origin.NewTracker()
	if err != nil {
		b.Fatal(err)
	}
	tracker.Registry = state.NewRegistry(slog.New(slog.DiscardHandler))
	var replicas []*gypsum.Replica
	for i := range 10000 {
		replicas = append(replicas, &gypsum.Replica{ID: gypsum.BackendID(fmt.Sprint("r-", i)), Service: chatService, State: gypsum.ReplicaReady, Software: "1"})
	}
	tracker.Registry.ApplyReplicas(replicas)
	for b.Loop() {
		tracker.Record(gypsum.StreamOrigin{Request: "q", Service: chatService, Software: "1"})
	}
}

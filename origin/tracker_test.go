package origin_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/origin"
	"github.com/gypsumhook/gypsum/state"
)

const chatService = gypsum.ServiceName("chat")

// TestSoleVersion checks when all streams that may still be taken up are known to be of one version.
func TestSoleVersion(t *testing.T) {
	v1, v2 := gypsum.SoftwareVersion("1"), gypsum.SoftwareVersion("2")
	for name, row := range map[string]struct {
		play func(d *deployment)
		want gypsum.SoftwareVersion
	}{
		"daemon just started": {func(d *deployment) { d.register("r-1", v1) }, ""},
		"observed for a minute": {func(d *deployment) {
			d.register("r-1", v1)
			time.Sleep(time.Minute)
		}, v1},
		"observed for a second": {func(d *deployment) {
			d.register("r-1", v1)
			time.Sleep(time.Second)
		}, ""},
		"records lost in between": {func(d *deployment) {
			d.register("r-1", v1)
			time.Sleep(time.Minute)
			d.reload("r-1")
		}, ""},
		"settled before the start": {func(d *deployment) {
			d.records.Settle(chatService, v1)
			d.register("r-1", v1)
		}, v1},
		"recorded and not settled": {func(d *deployment) {
			_ = d.records.RecordSoftware(context.Background(), chatService, []gypsum.SoftwareVersion{v1})
			d.register("r-1", v1)
		}, ""},
		"another version settled": {func(d *deployment) {
			d.records.Settle(chatService, v2)
			d.register("r-1", v1)
		}, ""},
		"two versions settled": {func(d *deployment) {
			d.records.Settle(chatService, v1, v2)
			d.register("r-1", v1)
		}, ""},
		"two versions": {func(d *deployment) {
			d.register("r-1", v1)
			d.register("r-2", v2)
			time.Sleep(time.Minute)
		}, ""},
		"another version has just left": {func(d *deployment) {
			d.records.Settle(chatService, v1)
			d.register("r-1", v1)
			d.register("r-2", v2)
			time.Sleep(time.Minute)
			d.remove("r-2")
			time.Sleep(time.Second)
		}, ""},
		"another version was replaced": {func(d *deployment) {
			d.register("r-1", v2)
			time.Sleep(time.Minute)
			d.register("r-1", v1)
			time.Sleep(time.Second)
		}, ""},
		"another version came and left at once": {func(d *deployment) {
			d.register("r-1", v1)
			time.Sleep(time.Minute)
			d.apply(newReplica("r-1", v2), newReplica("r-1", v1))
		}, ""},
		"another version has left a minute ago": {func(d *deployment) {
			d.register("r-1", v1)
			d.register("r-2", v2)
			d.remove("r-2")
			time.Sleep(time.Minute)
		}, v1},
		"no replica": {func(d *deployment) {
			d.reload()
			time.Sleep(time.Minute)
		}, ""},
	} {
		synctest.Test(t, func(t *testing.T) {
			d := newDeployment(t, 2)
			row.play(d)
			if found := d.find(t, 1, "q"); found != row.want {
				t.Errorf("%s: %q", name, found)
			}
		})
	}
}

// TestDaemonBehind guards against a daemon that has not read the registrations of a new version, by
// which other daemons have begun streams already, and continues them at the old version.
func TestDaemonBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, 3)
		d.register("r-1", "1")
		time.Sleep(time.Minute)
		behind := d.trackers[2]
		is.Equal(d.find(t, 2, "q"), gypsum.SoftwareVersion("1"))
		for _, tracker := range d.trackers[:2] {
			tracker.Registry.ApplyReplica(newReplica("r-2", "2"))
			tracker.Update(time.Now())
		}
		// Cut off from the other daemons and the store.
		d.peers.Kill("host-3")
		d.trackers[0].Record(gypsum.StreamOrigin{Request: "q", Service: chatService, Software: "2"})
		behind.CatchUp = func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}
		d.peers.Kill("host-1")
		d.peers.Kill("host-2")
		is.Equal(d.find(t, 2, "q"), gypsum.SoftwareVersion(""))
		// In touch with the store.
		behind.CatchUp = func(context.Context) error {
			behind.Registry.ApplyReplica(newReplica("r-2", "2"))
			return nil
		}
		is.Equal(d.find(t, 2, "q"), gypsum.SoftwareVersion(""))
	})
}

// TestStreamsBegunBeforeStoreIsLost checks that streams of a service with one version can be taken up
// at other daemons while the store does not respond.
func TestStreamsBegunBeforeStoreIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, 4)
		d.register("r-1", "1")
		time.Sleep(time.Minute)
		first := d.trackers[0]
		first.Record(gypsum.StreamOrigin{Request: "before", Service: chatService, Software: "1"})
		for _, tracker := range d.trackers {
			tracker.CatchUp = func(context.Context) error { return errors.New("no store") }
			tracker.StoreUnavailable = func() bool { return true }
			tracker.Update(time.Now())
		}
		first.Record(gypsum.StreamOrigin{Request: "since", Service: chatService, Software: "1"})
		time.Sleep(100 * time.Millisecond)
		d.peers.Kill("host-1")
		for _, request := range []gypsum.RequestID{"before", "since"} {
			is.Equal(d.find(t, 2, request), gypsum.SoftwareVersion("1"))
		}
		is.Equal(d.find(t, 2, "other"), gypsum.SoftwareVersion(""))
	})
}

// deployment is a number of daemons that know the same replicas.
type deployment struct {
	peers    fake.PeerOrigins
	records  fake.SoftwareRecords
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
		tracker.ListPeers, tracker.Peers, tracker.Records = d.peers.List, &d.peers, &d.records
		tracker.CatchUp, tracker.StoreUnavailable = func(context.Context) error { return nil }, func() bool { return false }
		d.peers.Add(tracker.Self, tracker)
		done := make(chan error)
		go func() { done <- tracker.Run(t.Context()) }()
		t.Cleanup(func() { <-done })
		d.trackers = append(d.trackers, tracker)
	}
	return d
}

func newReplica(id gypsum.BackendID, software gypsum.SoftwareVersion) *gypsum.Replica {
	return &gypsum.Replica{ID: id, Service: chatService, State: gypsum.ReplicaReady, Software: software}
}

// register registers a replica at all daemons. The first one is part of what they read at their start.
func (d *deployment) register(id gypsum.BackendID, software gypsum.SoftwareVersion) {
	isFirst := len(d.trackers[0].Registry.Current().Replicas) == 0
	d.apply(newReplica(id, software))
	if isFirst {
		d.reload(id)
	}
}

// apply applies registrations at all daemons as one change.
func (d *deployment) apply(replicas ...*gypsum.Replica) {
	for _, tracker := range d.trackers {
		tracker.Registry.ApplyReplicas(replicas)
		tracker.Update(time.Now())
	}
}

// reload makes all daemons read all registrations again.
func (d *deployment) reload(ids ...gypsum.BackendID) {
	keep := make(map[gypsum.BackendID]bool)
	for _, id := range ids {
		keep[id] = true
	}
	for _, tracker := range d.trackers {
		tracker.Registry.RetainReplicas(keep)
	}
}

// remove removes the registration of a replica at all daemons.
func (d *deployment) remove(id gypsum.BackendID) {
	for _, tracker := range d.trackers {
		tracker.Registry.RemoveReplica(id)
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
		time.Sleep(time.Minute)
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
	tracker.Registry, tracker.Records = state.NewRegistry(slog.New(slog.DiscardHandler)), &fake.SoftwareRecords{}
	var replicas []*gypsum.Replica
	for i := range 10000 {
		replicas = append(replicas, &gypsum.Replica{ID: gypsum.BackendID(fmt.Sprint("r-", i)), Service: chatService, State: gypsum.ReplicaReady, Software: "1"})
	}
	tracker.Registry.ApplyReplicas(replicas)
	tracker.Records.(*fake.SoftwareRecords).Settle(chatService, "1")
	for b.Loop() {
		tracker.Record(gypsum.StreamOrigin{Request: "q", Service: chatService, Software: "1"})
	}
}

// TestOriginsHaveABoundOfMemory checks that origins of requests with long IDs do not need more memory than those of
// ordinary ones, that the latest are known, and that one that is recorded again counts once.
func TestOriginsHaveABoundOfMemory(t *testing.T) {
	is := is.New(t)
	tracker, err := origin.NewTracker()
	is.NoErr(err)
	const idBytes, ordinary = 15000, 1 << 14
	add := func(id string) {
		is.NoErr(tracker.RecordOrigins(t.Context(), []gypsum.StreamOrigin{{Request: gypsum.RequestID(id), Service: "desk", Software: "2026.12.6"}}))
	}
	isKnown := func(id string) bool {
		found, err := tracker.FindOrigin(t.Context(), gypsum.RequestID(id))
		return err == nil && found != nil
	}
	long := func(i int) string { return fmt.Sprintf("%0*d", idBytes, i) }
	for i := range 2000 { // 30 MB
		add(long(i))
	}
	known := 0
	for i := range 2000 {
		if isKnown(long(i)) {
			known++
		}
	}
	is.True(known*idBytes > 2<<20 && known*idBytes <= 4<<20)
	is.True(isKnown(long(1999)))
	for range 1000 {
		add(long(1999))
	}
	is.True(isKnown(long(1998)))
	uuid := func(i int) string { return fmt.Sprintf("00000000-0000-0000-0000-%012d", i) }
	for i := range ordinary {
		add(uuid(i))
	}
	is.True(isKnown(uuid(0))) // ordinary ones are all known
}

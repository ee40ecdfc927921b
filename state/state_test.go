package state_test

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/state"
)

// newRegistry returns a registry with replicas of one service.
func newRegistry(ids ...gypsum.BackendID) *state.Registry {
	registry := state.NewRegistry(slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, id := range ids {
		registry.ApplyReplica(newReplica(id, 1))
	}
	return registry
}

// newReplica returns a registration of a replica that started at the given time.
func newReplica(id gypsum.BackendID, startedAt gypsum.Incarnation) *gypsum.Replica {
	return &gypsum.Replica{ID: id, Service: "desk", Address: "a", State: gypsum.ReplicaReady, Incarnation: startedAt}
}

// TestStaleUpdatesAreIgnored checks that an older configuration, announced version or
// registration does not replace a newer one.
func TestStaleUpdatesAreIgnored(t *testing.T) {
	is := is.New(t)
	registry := newRegistry()
	for _, revision := range []gypsum.Revision{3, 7, 5} {
		registry.ApplyConfig(&gypsum.RoutingConfig{Revision: revision})
	}
	is.Equal(registry.Current().Config.Revision, gypsum.Revision(7))
	for _, version := range []gypsum.WeightVersion{2, 4, 3} {
		registry.ApplyVersion("m", version)
	}
	is.Equal(registry.Current().Versions["m"], gypsum.WeightVersion(4))
	registry.ApplyReplica(newReplica("r", 5))
	registry.ApplyReplica(newReplica("r", 4)) // an earlier start under the same id
	is.Equal(registry.Current().Replicas["r"].Incarnation, gypsum.Incarnation(5))
}

// TestLapsedRegistrations checks that the end of a registration takes effect at once,
// unless it lapsed during an outage of the store: it is then kept until the replica has
// had time to register again.
func TestLapsedRegistrations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		registry := newRegistry("left", "lapsed", "dead")
		time.Sleep(time.Minute)
		registry.ExpireRegistrations(false, time.Now())
		registry.RemoveReplica("left")
		is.Equal(len(registry.Current().Replicas), 2)
		registry.ExpireRegistrations(true, time.Now())
		time.Sleep(5 * time.Second)
		registry.ExpireRegistrations(false, time.Now())
		registry.RetainReplicas(nil) // a new full read of the store finds none
		is.Equal(len(registry.Current().Services["desk"]), 2)
		time.Sleep(time.Second)
		registry.ApplyReplica(newReplica("lapsed", 1))
		for range 10 {
			time.Sleep(200 * time.Millisecond)
			registry.ExpireRegistrations(false, time.Now())
		}
		is.Equal(len(registry.Current().Replicas), 1)
		is.True(registry.Current().Replicas["lapsed"] != nil)
		registry.RemoveReplica("lapsed")
		is.Equal(len(registry.Current().Replicas), 0)
	})
}

// TestManyReplicas checks that the first full read of a large service is applied as one
// change: its cost must grow with the number of replicas, not with its square.
func TestManyReplicas(t *testing.T) {
	is := is.New(t)
	registry := state.NewRegistry(slog.New(slog.DiscardHandler))
	changes := 0
	registry.OnChange = func() { changes++ }
	replicas := make([]*gypsum.Replica, 3000)
	for i := range replicas {
		replicas[i] = &gypsum.Replica{ID: gypsum.BackendID(fmt.Sprintf("r-%04d", i)), Service: gypsum.ServiceName(fmt.Sprint("s-", i%2)), State: gypsum.ReplicaReady}
	}
	registry.ApplyReplicas(replicas)
	is.Equal(changes, 1)
	snapshot := registry.Current()
	is.Equal(len(snapshot.Replicas), 3000)
	is.Equal(len(snapshot.Services["s-1"]), 1500)
	is.Equal(snapshot.Services["s-1"][0].ID, gypsum.BackendID("r-0001"))
	registry.ApplyReplicas(replicas) // no registration has changed
	is.Equal(changes, 1)
	moved := *replicas[0]
	moved.Service = "s-1"
	newer, older := moved, moved
	newer.Incarnation, older.Incarnation = 2, 1
	registry.ApplyReplicas([]*gypsum.Replica{&newer, &older})
	is.Equal(changes, 2)
	is.Equal(registry.Current().Replicas["r-0000"].Incarnation, gypsum.Incarnation(2)) // an older start changes nothing
	is.Equal([]int{len(registry.Current().Services["s-0"]), len(registry.Current().Services["s-1"])}, []int{1499, 1501})
	is.Equal(len(snapshot.Services["s-0"]), 1500) // earlier snapshots are unchanged
	registry.ExpireRegistrations(false, time.Now())
	registry.RetainReplicas(map[gypsum.BackendID]bool{"r-0000": true})
	is.Equal(changes, 3)
	is.Equal(len(registry.Current().Services["s-1"]), 1)
}

// BenchmarkInitialLoad measures the first full read of a large service.
func BenchmarkInitialLoad(b *testing.B) {
	replicas := make([]*gypsum.Replica, 3000)
	for i := range replicas {
		replicas[i] = &gypsum.Replica{ID: gypsum.BackendID(fmt.Sprintf("r-%04d", i)), Service: "s", State: gypsum.ReplicaReady}
	}
	for b.Loop() {
		state.NewRegistry(slog.New(slog.DiscardHandler)).ApplyReplicas(replicas)
	}
}

// TestAnnouncedLeave checks that a replica that announced in a response that it is leaving
// stays draining whatever its registration says, also after a lapse, until it restarts.
func TestAnnouncedLeave(t *testing.T) {
	is := is.New(t)
	registry := newRegistry("r", "other")
	stateOf := func(id gypsum.BackendID) gypsum.ReplicaState { return registry.Current().Replicas[id].State }
	registry.MarkLeaving(newReplica("r", 1))
	registry.MarkLeaving(newReplica("r", 1))
	is.Equal(stateOf("r"), gypsum.ReplicaDraining)
	is.Equal(registry.Current().Services["desk"][1].State, gypsum.ReplicaDraining)
	is.Equal(stateOf("other"), gypsum.ReplicaReady)
	is.Equal(registry.LeavingCount(), int64(1))
	unchanged := registry.Current()
	registry.ApplyReplica(newReplica("r", 1)) // registers as ready again
	is.Equal(registry.Current(), unchanged)
	registry.RemoveReplica("r")
	registry.ApplyReplica(newReplica("r", 1))
	is.Equal(stateOf("r"), gypsum.ReplicaDraining)
	registry.ApplyReplica(newReplica("r", 2)) // a new start under the same id
	is.Equal(stateOf("r"), gypsum.ReplicaReady)
	registry.MarkLeaving(newReplica("r", 1)) // a late response of the start before
	is.Equal(stateOf("r"), gypsum.ReplicaReady)
}

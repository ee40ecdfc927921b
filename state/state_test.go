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

// newKeeper returns a keeper that knows the replicas of one service.
func newKeeper(ids ...gypsum.BackendID) *state.Keeper {
	keeper := state.NewKeeper(slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, id := range ids {
		keeper.TakeReplica(replica(id, 1))
	}
	return keeper
}

// replica returns a registration of a replica that started at a time.
func replica(id gypsum.BackendID, born gypsum.Incarnation) *gypsum.Replica {
	return &gypsum.Replica{ID: id, Service: "desk", Address: "a", State: gypsum.ReplicaReady, Incarnation: born}
}

// A configuration and a named version never go back.
func TestNeverBack(t *testing.T) {
	is := is.New(t)
	keeper := newKeeper()
	for _, revision := range []gypsum.Revision{3, 7, 5} {
		keeper.TakeConfig(&gypsum.RoutingConfig{Revision: revision})
	}
	is.Equal(keeper.Now().Config.Revision, gypsum.Revision(7))
	for _, version := range []gypsum.WeightVersion{2, 4, 3} {
		keeper.TakeVersion("m", version)
	}
	is.Equal(keeper.Now().Versions["m"], gypsum.WeightVersion(4))
	keeper.TakeReplica(replica("r", 5))
	keeper.TakeReplica(replica("r", 4)) // an earlier start under the same id
	is.Equal(keeper.Now().Replicas["r"].Incarnation, gypsum.Incarnation(5))
}

// A registration that ends is gone at once; one that lapsed while the store was away
// is kept until it had the time to come back.
func TestLapsedRegistrations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		keeper := newKeeper("left", "lapsed", "dead")
		time.Sleep(time.Minute)
		keeper.Tick(false, time.Now())
		keeper.DropReplica("left")
		is.Equal(len(keeper.Now().Replicas), 2)
		keeper.Tick(true, time.Now())
		time.Sleep(5 * time.Second)
		keeper.Tick(false, time.Now())
		keeper.KeepOnly(nil) // a new look at the store finds none
		is.Equal(len(keeper.Now().Services["desk"]), 2)
		time.Sleep(time.Second)
		keeper.TakeReplica(replica("lapsed", 1))
		for range 10 {
			time.Sleep(200 * time.Millisecond)
			keeper.Tick(false, time.Now())
		}
		is.Equal(len(keeper.Now().Replicas), 1)
		is.True(keeper.Now().Replicas["lapsed"] != nil)
		keeper.DropReplica("lapsed")
		is.Equal(len(keeper.Now().Replicas), 0)
	})
}

// A large service's first look is one change: its cost grows with the replicas, not
// with their square.
func TestManyReplicas(t *testing.T) {
	is := is.New(t)
	keeper := state.NewKeeper(slog.New(slog.DiscardHandler))
	changes := 0
	keeper.Changed = func() { changes++ }
	many := make([]*gypsum.Replica, 3000)
	for i := range many {
		many[i] = &gypsum.Replica{ID: gypsum.BackendID(fmt.Sprintf("r-%04d", i)), Service: gypsum.ServiceName(fmt.Sprint("s-", i%2)), State: gypsum.ReplicaReady}
	}
	keeper.TakeReplicas(many)
	is.Equal(changes, 1)
	snapshot := keeper.Now()
	is.Equal(len(snapshot.Replicas), 3000)
	is.Equal(len(snapshot.Services["s-1"]), 1500)
	is.Equal(snapshot.Services["s-1"][0].ID, gypsum.BackendID("r-0001"))
	keeper.TakeReplicas(many) // nothing new
	is.Equal(changes, 1)
	moved := *many[0]
	moved.Service = "s-1"
	newer, older := moved, moved
	newer.Incarnation, older.Incarnation = 2, 1
	keeper.TakeReplicas([]*gypsum.Replica{&newer, &older})
	is.Equal(changes, 2)
	is.Equal(keeper.Now().Replicas["r-0000"].Incarnation, gypsum.Incarnation(2)) // an older start changes nothing
	is.Equal([]int{len(keeper.Now().Services["s-0"]), len(keeper.Now().Services["s-1"])}, []int{1499, 1501})
	is.Equal(len(snapshot.Services["s-0"]), 1500) // a snapshot that was made stays as it is
	keeper.Tick(false, time.Now())
	keeper.KeepOnly(map[gypsum.BackendID]bool{"r-0000": true})
	is.Equal(changes, 3)
	is.Equal(len(keeper.Now().Services["s-1"]), 1)
}

// BenchmarkFirstLook measures the first look at a large service.
func BenchmarkFirstLook(b *testing.B) {
	many := make([]*gypsum.Replica, 3000)
	for i := range many {
		many[i] = &gypsum.Replica{ID: gypsum.BackendID(fmt.Sprintf("r-%04d", i)), Service: "s", State: gypsum.ReplicaReady}
	}
	for b.Loop() {
		state.NewKeeper(slog.New(slog.DiscardHandler)).TakeReplicas(many)
	}
}

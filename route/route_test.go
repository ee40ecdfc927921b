package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/route"
)

// newPool returns a pool of backend servers with 8 slots each.
func newPool(count int, change func(i int, backend *route.Backend)) *route.Pool {
	backends := make([]route.Backend, count)
	for i := range backends {
		id := fmt.Sprintf("engine-%05d", i)
		backends[i] = route.Backend{
			Host: gypsum.Host{ID: id}, Status: gypsum.BackendStatus{ID: gypsum.BackendID(id), Slots: 8, Running: i % 8, Live: i % 4},
			Tracker: &route.Tracker{},
		}
		if change != nil {
			change(i, &backends[i])
		}
	}
	return route.NewPool(backends, nil, time.Now())
}

// TestAffinity checks that a prompt's prefix goes to the same backend server while that
// has capacity, and elsewhere otherwise.
func TestAffinity(t *testing.T) {
	is := is.New(t)
	pool := newPool(50, func(_ int, b *route.Backend) { b.Status.Running, b.Status.Live = 0, 0 })
	placer := route.NewAffinityPlacer()
	call := &gypsum.Call{Class: gypsum.ClassLive, PrefixHash: 12345}
	first, ok := placer.Place(call, pool)
	is.True(ok)
	for range 20 {
		repeated, _ := placer.Place(call, pool)
		is.Equal(repeated.Backend, first.Backend)
	}
	full := newPool(50, func(_ int, b *route.Backend) {
		b.Status.Running, b.Status.Live = 0, 0
		if gypsum.BackendID(b.Host.ID) == first.Backend {
			b.Status.Running, b.Status.Live = 20, 20
		}
	})
	elsewhere, ok := placer.Place(call, full)
	is.True(ok)
	is.True(elsewhere.Backend != first.Backend)
}

// TestAffinityUnderOverload checks that no call waits at the backend server that has its
// prompt's prefix while others have free slots, whatever the mean load.
func TestAffinityUnderOverload(t *testing.T) {
	is := is.New(t)
	call := &gypsum.Call{Class: gypsum.ClassTrainer, PrefixHash: 12345}
	placer := route.NewAffinityPlacer()
	first, _ := placer.Place(call, newPool(50, func(_ int, b *route.Backend) { b.Status.Running = 0 }))
	overloaded := newPool(50, func(_ int, b *route.Backend) {
		b.Status.Running = b.Status.Slots + 2
		if gypsum.BackendID(b.Host.ID) == first.Backend {
			b.Status.Running++
		}
	})
	for range 20 {
		placement, ok := placer.Place(call, overloaded)
		is.True(ok)
		is.True(placement.Reason != "prefix_affinity")
	}
}

// TestUnusableBackends checks that no placer chooses closed or excluded backend servers,
// or those with outdated weights.
func TestUnusableBackends(t *testing.T) {
	is := is.New(t)
	pool := newPool(30, func(i int, b *route.Backend) {
		b.Closed = i%3 == 0
		b.Status.Version = gypsum.WeightVersion(1 + i%2)
	})
	for _, placer := range []gypsum.Placer{route.NewAffinityPlacer(), route.NewLeastLoadedPlacer(), route.NewRoundRobinPlacer()} {
		call := &gypsum.Call{Class: gypsum.ClassTrainer, MinVersion: 2, ExcludedBackends: []gypsum.BackendID{"engine-00001"}}
		for n := range 200 {
			call.PrefixHash = uint64(n) * 7919
			placement, ok := placer.Place(call, pool)
			is.True(ok)
			backend, _ := pool.FindBackend(placement.Backend)
			is.True(!backend.Closed && backend.Status.Version >= 2 && placement.Backend != "engine-00001")
		}
	}
}

// TestEjection checks that consecutive failures eject a backend server for a time, and
// that ejections are ignored if too many backend servers are ejected.
func TestEjection(t *testing.T) {
	is := is.New(t)
	trackers := make([]*route.Tracker, 6)
	pool := func(now time.Time) *route.Pool {
		backends := make([]route.Backend, 6)
		for i := range backends {
			if trackers[i] == nil {
				trackers[i] = &route.Tracker{}
			}
			backends[i] = route.Backend{Host: gypsum.Host{ID: fmt.Sprint(i)}, Tracker: trackers[i]}
		}
		return route.NewPool(backends, nil, now)
	}
	now := time.Now()
	pool(now)
	for range 3 {
		trackers[0].RecordFailure(now)
	}
	is.True(!pool(now).IsUsable(0, &gypsum.Call{}))
	is.True(pool(now.Add(2*time.Second)).IsUsable(0, &gypsum.Call{})) // ejection has ended
	for i := range 3 {
		for range 3 {
			trackers[i].RecordFailure(now)
		}
	}
	is.True(pool(now).IsUsable(0, &gypsum.Call{}))
}

// TestChooseDataCentre checks the order of preference among data centres.
func TestChooseDataCentre(t *testing.T) {
	location := func(dataCentre, region string) gypsum.Location {
		return gypsum.Location{DataCentre: gypsum.DataCentre(dataCentre), Region: gypsum.Region(region)}
	}
	rows := []struct {
		name           string
		own, near, far int // live calls on 10 slots, negative for no backend server
		cross          bool
		trainer        bool
		want           string
	}{
		{"own has room", 5, 0, 0, true, false, "own"},
		{"own is full", 10, 5, 0, true, false, "near"},
		{"region is full", 10, 10, 3, true, false, "far"},
		{"far is half full", 10, 10, 5, true, false, "own"},
		{"all full", 12, 10, 10, true, false, "own"},
		{"no budget to cross", 10, 10, 0, false, false, "own"},
		{"only far has any", -1, -1, 20, true, false, "far"},
		{"only far has any, no budget", -1, -1, 0, false, false, ""},
		// A sample takes seconds: an additional round trip does not matter, an idle
		// engine does.
		{"far is half full, for a trainer", 10, 10, 5, true, true, "far"},
		{"all full, for a trainer", 10, 10, 10, true, true, "own"},
		// Where all are full, a trainer's call waits where the fewest calls wait.
		{"own has the longest queue, for a trainer", 20, 13, 12, true, true, "far"},
		{"own has the longest queue, no budget, for a trainer", 20, 13, 12, false, true, "near"},
		{"own has the longest queue", 20, 13, 12, true, false, "own"},
		{"no budget to cross, for a trainer", 10, 10, 0, false, true, "own"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var dataCentres []route.DataCentre
			add := func(name, region string, own bool, live int) {
				dataCentre := route.DataCentre{Location: location(name, region), Local: own, Slots: 10, Live: live, Busy: live}
				if live < 0 {
					dataCentre.Slots = 0
				}
				dataCentres = append(dataCentres, dataCentre)
			}
			add("own", "here", true, row.own)
			add("near", "here", false, row.near)
			add("far", "there", false, row.far)
			class := gypsum.ClassLive
			if row.trainer {
				class = gypsum.ClassTrainer
			}
			chosen, _ := route.ChooseDataCentre(dataCentres, class, "here", row.cross)
			if row.want == "" {
				is.True(chosen == nil)
				return
			}
			is.Equal(string(chosen.Location.DataCentre), row.want)
		})
	}
}

// TestCrossRegionBudget checks that an overdrawn budget allows no calls until it is
// refilled.
func TestCrossRegionBudget(t *testing.T) {
	is := is.New(t)
	budget := &route.CrossRegionBudget{Rate: 1000}
	now := time.Unix(1000, 0)
	is.True(budget.Allows(now))
	budget.Spend(5000, now)
	is.True(!budget.Allows(now))
	is.True(budget.Allows(now.Add(4 * time.Second)))
	is.Equal(budget.Spent(), gypsum.Bytes(5000))
}

// TestRetryBudget checks that retries are limited to a fraction of the calls.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	var retryBudget route.RetryBudget
	allowed := 0
	for range 1000 {
		retryBudget.RecordCall()
		if retryBudget.AllowRetry() {
			allowed++
		}
	}
	is.True(allowed >= 100 && allowed <= 125)
}

// TestLocalLoadLimit checks how many replicas of a data centre may load weights at
// once.
func TestLocalLoadLimit(t *testing.T) {
	is := is.New(t)
	dataCentres := []route.DataCentre{
		{Location: gypsum.Location{DataCentre: "a"}, OldestVersion: 1},
		{Location: gypsum.Location{DataCentre: "b"}, OldestVersion: 1, Local: true},
		{Location: gypsum.Location{DataCentre: "c"}, OldestVersion: 1},
	}
	is.Equal(route.LocalLoadLimit(dataCentres, 9, 2), 3)
	is.Equal(route.LocalLoadLimit(dataCentres, 1, 2), 0) // the only load is for data centre a, the first by name
	is.Equal(route.LocalLoadLimit(dataCentres, 2, 2), 1)
	dataCentres[0].OldestVersion = 2
	is.Equal(route.LocalLoadLimit(dataCentres, 1, 2), 1) // a has reached the target, so b is next
}

// BenchmarkPlace measures a routing decision, whose cost must not grow with the pool.
func BenchmarkPlace(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			pool, placer := newPool(count, nil), route.NewAffinityPlacer()
			call := &gypsum.Call{Class: gypsum.ClassLive}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				call.PrefixHash = uint64(n) * 0x9e3779b97f4a7c15
				placer.Place(call, pool)
			}
		})
	}
}

// BenchmarkPool measures the creation of a pool after a status update.
func BenchmarkPool(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			previous := newPool(count, nil)
			backends := make([]route.Backend, count)
			b.ReportAllocs()
			for b.Loop() {
				for i := range backends {
					backend, _ := previous.FindBackend(gypsum.BackendID(fmt.Sprintf("engine-%05d", i)))
					backends[i] = *backend
				}
				route.NewPool(backends, previous, time.Now())
			}
		})
	}
}

package scale_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/duty"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/platform/mimic"
	"github.com/gypsumhook/gypsum/scale"
	"github.com/gypsumhook/gypsum/state"
	"github.com/gypsumhook/gypsum/store"
)

// deployment is a store, the platform with its replicas, and hosts in memory.
type deployment struct {
	t     *testing.T
	store *fake.KeyedStore
	api   *mimic.DutyAPI
	epoch time.Time
	hosts map[gypsum.HostID]*host

	mu sync.Mutex
	// open is the number of items without a result, replicas those that are registered.
	open     int
	replicas map[gypsum.BackendID]*gypsum.Replica
}

// host is a daemon that may order replicas.
type host struct {
	keeper   *duty.Keeper
	registry *state.Registry
	stop     context.CancelFunc
	ended    sync.WaitGroup
}

// testCentres are the data centres of a deployment.
var testCentres = map[gypsum.DataCentre]gypsum.Region{"a": "north", "b": "north", "c": "south"}

// newDeployment starts a deployment of two hosts with eight engines in each data centre.
func newDeployment(t *testing.T, capacity *gypsum.CapacityConfig) *deployment {
	d := &deployment{
		t: t, store: fake.NewKeyedStore(), api: &mimic.DutyAPI{ChecksFencing: true, LateDelay: 4 * time.Second}, epoch: time.Now(),
		hosts: make(map[gypsum.HostID]*host), replicas: make(map[gypsum.BackendID]*gypsum.Replica),
	}
	d.store.Latency = 20 * time.Millisecond
	for centre := range testCentres {
		d.setReplicas(centre, 8)
	}
	for _, name := range []gypsum.HostID{"host-1", "host-2"} {
		d.startHost(name, capacity)
	}
	d.publish()
	return d
}

// setReplicas makes a data centre have a number of engines.
func (d *deployment) setReplicas(centre gypsum.DataCentre, count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range 20 {
		id := gypsum.BackendID(fmt.Sprint(centre, "-", i))
		delete(d.replicas, id)
		if i < count {
			d.replicas[id] = &gypsum.Replica{
				ID: id, Service: "motif", Location: gypsum.Location{DataCentre: centre, Region: testCentres[centre]}, State: gypsum.ReplicaReady, Slots: 8,
			}
		}
	}
}

// publish makes the registered replicas known to all hosts.
func (d *deployment) publish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	keep := make(map[gypsum.BackendID]bool)
	for id := range d.replicas {
		keep[id] = true
	}
	for _, h := range d.hosts {
		for _, replica := range d.replicas {
			h.registry.ApplyReplica(replica)
		}
		h.registry.RetainReplicas(keep)
	}
}

// startHost starts a host.
func (d *deployment) startHost(name gypsum.HostID, capacity *gypsum.CapacityConfig) {
	logger := slog.New(slog.DiscardHandler).With("host", name)
	ctx, stop := context.WithCancel(d.t.Context())
	h := &host{registry: state.NewRegistry(logger), stop: stop}
	h.registry.ApplyConfig(&gypsum.RoutingConfig{Revision: 1, Services: map[gypsum.ServiceName]gypsum.ServiceConfig{
		"motif": {Name: "motif", Slots: 8, Capacity: capacity}, "desk": {Name: "desk"},
	}})
	steady := func() time.Duration { return time.Since(d.epoch) + time.Hour }
	incarnation := gypsum.Incarnation(time.Now().UnixMilli())
	newWriter := func(topic gypsum.Topic) *store.Writer {
		return &store.Writer{Store: d.store, Topic: topic, Producer: fmt.Sprint(name, incarnation), MaxCallBytes: 1 << 20, Logger: logger}
	}
	stateWriter, capacityWriter := newWriter("keyed.state"), newWriter("keyed.capacity")
	batchState := batch.NewState(logger)
	follower := &store.Follower{Store: d.store, Topic: "keyed.state", Handle: batchState.Apply, Logger: logger}
	batches := &batch.Manager{
		Host: name, Incarnation: incarnation, State: batchState, Follower: follower, Store: d.store, Topics: batch.Topics{State: "keyed.state"}, Partitions: 1,
		RecordSize: 64 << 10, StateWriter: stateWriter, Logger: logger, Clock: steady,
	}
	h.keeper = duty.NewKeeper(gypsum.DutyCapacity)
	h.keeper.Host, h.keeper.Incarnation, h.keeper.Batches, h.keeper.Clock = name, incarnation, batches, steady
	h.keeper.Lease, h.keeper.Slack, h.keeper.ChecksFencing, h.keeper.CPUShare, h.keeper.Logger = 3*time.Second, 300*time.Millisecond, true, 0.8, logger
	h.keeper.StoreUnavailable = func() bool { _, unavailable := follower.LastResponse(); return unavailable }
	planner := scale.NewPlanner()
	planner.Keeper, planner.Client, planner.Store, planner.Topic, planner.Writer = h.keeper, d.api, d.store, "keyed.capacity", capacityWriter
	planner.Registry, planner.DataCentres, planner.Clock, planner.Logger = h.registry, testCentres, steady, logger
	planner.StoreUnavailable = h.keeper.StoreUnavailable
	planner.OpenTexts = func() map[gypsum.ServiceName]int {
		d.mu.Lock()
		defer d.mu.Unlock()
		return map[gypsum.ServiceName]int{"motif": d.open}
	}
	for _, run := range []func(context.Context) error{stateWriter.Run, capacityWriter.Run, follower.Run, h.keeper.Run, planner.Run} {
		h.ended.Go(func() { _ = run(ctx) })
	}
	h.ended.Go(func() { _ = batches.RecordDaemon(ctx, string(name), gypsum.Location{}, 0.8) })
	d.hosts[name] = h
	d.t.Cleanup(func() { stop(); h.ended.Wait() })
}

// killHolder ends the host that holds the duty.
func (d *deployment) killHolder() {
	for name, h := range d.hosts {
		if h.keeper.Holding(gypsum.DutyCapacity) {
			h.stop()
			h.ended.Wait()
			delete(d.hosts, name)
			return
		}
	}
	d.t.Fatal("no host holds the duty")
}

// deliver starts the replicas that were ordered.
func (d *deployment) deliver() {
	for _, call := range d.api.Accepted() {
		d.setReplicas(call.Order.DataCentre, call.Order.Replicas)
	}
	d.publish()
}

// setLoad sets the number of items without a result.
func (d *deployment) setLoad(open int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open = open
}

// ordered returns the replicas of the newest accepted order of each data centre.
func (d *deployment) ordered() map[gypsum.DataCentre]int {
	ordered := make(map[gypsum.DataCentre]int)
	for _, call := range d.api.Accepted() {
		if call.Order.Replicas < ordered[call.Order.DataCentre] {
			d.t.Errorf("%s: %d replicas ordered after %d", call.Order.DataCentre, call.Order.Replicas, ordered[call.Order.DataCentre])
		}
		ordered[call.Order.DataCentre] = call.Order.Replicas
	}
	return ordered
}

// newCapacity returns the capacity of the engine service.
func newCapacity() *gypsum.CapacityConfig {
	return &gypsum.CapacityConfig{Min: 2, Max: 12, StartTime: 4 * time.Second, Prices: map[gypsum.DataCentre]float64{"a": 1, "b": 1, "c": 1, "unknown": 0.1}}
}

// faultTime is how long the faults of TestOrders last. The average of the load takes a quarter of a minute to
// reach the number from which replicas are ordered.
const faultTime = time.Minute

// TestOrders checks that replicas are ordered once for a growing load, also when the holder is
// lost, a data centre has no replicas or the response is lost.
func TestOrders(t *testing.T) {
	for _, row := range []struct {
		name  string
		fault func(d *deployment)
		want  map[gypsum.DataCentre]int
	}{
		{"no fault", func(*deployment) {}, map[gypsum.DataCentre]int{"a": 10, "b": 10, "c": 10}},
		{"holder lost", func(d *deployment) { d.killHolder() }, map[gypsum.DataCentre]int{"a": 10, "b": 10, "c": 10}},
		{"response lost", func(d *deployment) {
			d.api.SetFault(mimic.DutyResponseLost)
			time.AfterFunc(faultTime, func() { d.api.SetFault("") })
		}, map[gypsum.DataCentre]int{"a": 10, "b": 10, "c": 10}},
		{"API down", func(d *deployment) {
			d.api.SetFault(mimic.DutyDown)
			time.AfterFunc(faultTime, func() { d.api.SetFault("") })
		}, map[gypsum.DataCentre]int{"a": 10, "b": 10, "c": 10}},
		{"calls limited", func(d *deployment) {
			d.api.SetFault(mimic.DutyRateLimited)
			time.AfterFunc(faultTime, func() { d.api.SetFault("") })
		}, map[gypsum.DataCentre]int{"a": 10, "b": 10, "c": 10}},
		{"no replicas in a data centre", func(d *deployment) {
			d.api.Available = func(order gypsum.CapacityOrder) int {
				if order.DataCentre == "a" {
					return 8
				}
				return 12
			}
		}, map[gypsum.DataCentre]int{"b": 11, "c": 11}},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newDeployment(t, newCapacity())
				time.Sleep(10 * time.Second)
				is.Equal(len(d.api.Accepted()), 0) // the capacity of the start suffices
				row.fault(d)
				d.setLoad(90)
				for range 30 {
					time.Sleep(5 * time.Second)
					d.deliver()
				}
				is.Equal(d.ordered(), row.want)
				// A new holder orders nothing again.
				calls := d.api.CallCount()
				if len(d.hosts) > 1 {
					d.killHolder()
				}
				time.Sleep(time.Minute)
				is.Equal(d.ordered(), row.want)
				is.True(d.api.CallCount()-calls <= 6)
			})
		})
	}
}

// TestLostCentre checks that the replicas of a lost data centre are replaced in others.
func TestLostCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, newCapacity())
		time.Sleep(10 * time.Second)
		lost := time.Now()
		d.setReplicas("a", 0)
		d.publish()
		d.api.Available = func(order gypsum.CapacityOrder) int {
			if order.DataCentre == "a" {
				return 0
			}
			return 12
		}
		for range 12 {
			time.Sleep(5 * time.Second)
			d.deliver()
		}
		is.Equal(d.ordered(), map[gypsum.DataCentre]int{"b": 12, "c": 12})
		is.True(d.api.Accepted()[1].At.Sub(lost) < 12*time.Second) // at once after the rejection
	})
}

// TestWithoutCapacity guards against calls to the store or the platform for a deployment whose
// services have no capacity.
func TestWithoutCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, nil)
		d.setLoad(1000)
		time.Sleep(time.Minute)
		is.Equal(d.api.CallCount(), 0)
		page, err := d.store.Read(t.Context(), gypsum.KeyedRead{Topic: "keyed.capacity"})
		is.NoErr(err)
		is.Equal(len(page.Records), 0)
	})
}

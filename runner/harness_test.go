package runner_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/proxy"
	"github.com/gypsumhook/gypsum/runner"
	"github.com/gypsumhook/gypsum/state"
	"github.com/gypsumhook/gypsum/store"
)

// Names and times that all tests use.
const (
	service = gypsum.ServiceName("motif")
	model   = gypsum.EngineModel("crew")
	lease   = 3 * time.Second
)

// logOutput receives the logs of all hosts of a test.
var logOutput = io.Discard

// deployment is a store, engines and hosts in memory.
type deployment struct {
	t       *testing.T
	store   *fake.KeyedStore
	engines *fake.BatchEngines
	hosts   []*testHost
	// useProxies lets hosts that cannot reach the store use it through other hosts.
	useProxies bool
	// proxies are the stores that hosts serve to others, by address.
	proxies map[string]gypsum.KeyedStore
}

// StoreVia implements gypsum.PeerStores.
func (d *deployment) StoreVia(address string) gypsum.KeyedStore { return d.proxies[address] }

// peers returns all hosts of the deployment.
func (d *deployment) peers() []proxy.Peer {
	var peers []proxy.Peer
	for name := range d.proxies {
		peers = append(peers, proxy.Peer{Host: gypsum.HostID(name), Address: name})
	}
	return peers
}

// testHost is a host of a deployment.
type testHost struct {
	batches       *batch.Manager
	runner        *runner.Runner
	state         *state.Registry
	direct        *fake.StoreClient // the direct connection to the store
	follower      *store.Follower
	kill          context.CancelFunc
	goroutines    int
	goroutineErrs chan error
}

// newDeployment starts a deployment with one host per CPU share.
func newDeployment(t *testing.T, engines *fake.BatchEngines, shares ...float64) *deployment {
	return startDeployment(&deployment{t: t, store: fake.NewKeyedStore(), engines: engines}, shares)
}

// startDeployment starts the hosts of d, one per CPU share.
func startDeployment(d *deployment, shares []float64) *deployment {
	d.proxies = make(map[string]gypsum.KeyedStore)
	d.store.Latency = 5 * time.Millisecond
	for i, share := range shares {
		d.hosts = append(d.hosts, d.start(fmt.Sprintf("host-%d", i+1), share))
	}
	time.Sleep(100 * time.Millisecond)
	return d
}

// start starts a host and kills it at the end of the test.
func (d *deployment) start(name string, share float64) *testHost {
	logger := slog.New(slog.NewTextHandler(logOutput, nil)).With("host", name)
	ctx, kill := context.WithCancel(d.t.Context())
	h := &testHost{direct: &fake.StoreClient{KeyedStore: d.store}, kill: kill, goroutineErrs: make(chan error, 8), state: state.NewRegistry(logger)}
	var keyedStore gypsum.KeyedStore = h.direct
	if d.useProxies {
		proxied := &proxy.Store{
			Direct: h.direct, Peers: d, ListPeers: d.peers, Self: gypsum.HostID(name), ProbeRead: gypsum.KeyedRead{Topic: "keyed.state", Max: 1}, Logger: logger,
		}
		d.proxies[name], keyedStore = proxied.ServeToPeers(), proxied
		h.run(ctx, proxied.Run)
	}
	incarnation := gypsum.Incarnation(time.Now().UnixNano())
	topics := batch.Topics{State: "keyed.state", Bodies: "keyed.body", Texts: "keyed.text"}
	writers := make(map[gypsum.Topic]*store.Writer)
	for _, topic := range []gypsum.Topic{topics.State, topics.Bodies, topics.Texts} {
		writers[topic] = &store.Writer{
			Store: keyedStore, Topic: topic, Producer: fmt.Sprint(name, incarnation), MaxCallBytes: 1 << 20, Logger: logger,
		}
		h.run(ctx, writers[topic].Run)
	}
	batchState := batch.NewState(logger)
	h.follower = &store.Follower{Store: keyedStore, Topic: topics.State, Handle: batchState.Apply, Logger: logger}
	h.run(ctx, h.follower.Run)
	h.batches = &batch.Manager{
		Host: gypsum.HostID(name), Incarnation: incarnation, State: batchState, Follower: h.follower, Store: keyedStore, Topics: topics, Partitions: 1,
		RecordSize: 64 << 10, StateWriter: writers[topics.State], Logger: logger,
		WriterFor: func(topic gypsum.Topic, _ gypsum.Partition) *store.Writer { return writers[topic] },
	}
	if err := h.batches.Init(); err != nil {
		d.t.Fatal(err)
	}
	h.state.ApplyConfig(&gypsum.RoutingConfig{
		Revision: 1, Routes: []gypsum.Route{{
			Name: "train", Kind: gypsum.RouteRollout, Services: []gypsum.WeightedService{{Service: service, Weight: 1}},
		}},
		Services: map[gypsum.ServiceName]gypsum.ServiceConfig{
			service: {Name: service, Slots: 16, TokensPerEvent: 1, Models: []gypsum.EngineModel{model}},
		},
	})
	for _, replica := range d.engines.Replicas(service) {
		h.state.ApplyReplica(replica)
	}
	h.runner = runner.New()
	h.runner.Host, h.runner.Incarnation, h.runner.Batches, h.runner.Engines = gypsum.HostID(name), incarnation, h.batches, d.engines
	h.runner.Registry, h.runner.CPUShare, h.runner.Lease = h.state, share, lease
	h.runner.StoreUnavailable = func() bool { _, unavailable := h.follower.LastResponse(); return unavailable }
	h.runner.Logger = logger
	h.run(ctx, h.runner.Run)
	d.t.Cleanup(h.stop)
	return h
}

// run starts a goroutine of the host.
func (h *testHost) run(ctx context.Context, run func(context.Context) error) {
	h.goroutines++
	go func() { h.goroutineErrs <- run(ctx) }()
}

// stop kills the host and waits for its goroutines.
func (h *testHost) stop() {
	h.kill()
	for ; h.goroutines > 0; h.goroutines-- {
		<-h.goroutineErrs
	}
}

// newBatch returns a batch with one item for each length, its number of events.
func newBatch(id string, minVersion gypsum.WeightVersion, lengths ...int64) *gypsum.Batch {
	now := time.Now()
	b := &gypsum.Batch{
		ID: gypsum.BatchID(id), Route: "train", HostName: "train.example", Service: service, Model: model, MinVersion: minVersion,
		MaxAttempts: 3, SubmittedAt: now, DueAt: now.Add(7500 * time.Millisecond), ExpiresAt: now.Add(40 * time.Second),
	}
	for i, length := range lengths {
		b.Items = append(b.Items, gypsum.BatchItem{
			ID: itemID(id, i, length), Path: "/train/x", Header: map[string]string{"Model": string(model)},
			Body: []byte("prompt"), ExpectedTokens: int(length),
		})
	}
	return b
}

// itemID returns an id that encodes the item's number of events.
func itemID(id string, number int, length int64) gypsum.ItemID {
	return gypsum.ItemID(fmt.Sprintf("%s.%d.%d", id, number, length))
}

// lengthOf returns the number of events encoded in an id, 10 if there is none.
func lengthOf(item gypsum.ItemID) int64 {
	var id string
	var number int
	var length int64
	if _, err := fmt.Sscanf(string(item), "%3s.%d.%d", &id, &number, &length); err != nil {
		return 10
	}
	return length
}

// submit submits a batch to a host, which must accept it.
func (d *deployment) submit(host int, b *gypsum.Batch) {
	d.t.Helper()
	if err := d.hosts[host].batches.Accept(d.t.Context(), b); err != nil {
		d.t.Fatal("batch not accepted:", err)
	}
}

// await waits until a host lists all results of a batch, and checks them. It returns
// the results and the time since the submission.
func (d *deployment) await(host int, b *gypsum.Batch, timeout time.Duration) ([]gypsum.BatchResult, time.Duration) {
	d.t.Helper()
	var results []gypsum.BatchResult
	for time.Since(b.SubmittedAt) < timeout {
		ctx, cancel := context.WithTimeout(d.t.Context(), 2*time.Second)
		_, more, err := d.hosts[host].batches.ReadResults(ctx, b.ID, len(results), time.Second)
		cancel()
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		results = append(results, more...)
		if len(results) == len(b.Items) {
			d.check(b, results)
			return results, time.Since(b.SubmittedAt)
		}
	}
	d.t.Fatalf("batch %s has %d of %d results after %s", b.ID, len(results), len(b.Items), timeout)
	return nil, 0
}

// check checks that each item has one result, with the whole text and no version below
// the batch's minimum.
func (d *deployment) check(b *gypsum.Batch, results []gypsum.BatchResult) {
	d.t.Helper()
	listed := make(map[gypsum.ItemID]bool)
	for _, result := range results {
		if listed[result.Item] {
			d.t.Errorf("item %s has two results", result.Item)
		}
		listed[result.Item] = true
		if result.State == gypsum.ItemCompleted && result.Text != d.engines.FullText(result.Item) {
			d.t.Errorf("item %s has the wrong text: %q", result.Item, result.Text)
		}
		for _, version := range result.Versions {
			if version < b.MinVersion {
				d.t.Errorf("item %s was generated by version %d, below the minimum %d", result.Item, version, b.MinVersion)
			}
		}
	}
}

// holder returns the host that holds the service according to an observing host.
func (d *deployment) holder(observer int) gypsum.HostID {
	holder, _, _ := d.hosts[observer].batches.State.Holder(service)
	return holder.Host
}

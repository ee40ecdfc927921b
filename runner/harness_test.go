package runner_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/limit"
	"github.com/gypsumhook/gypsum/proxy"
	"github.com/gypsumhook/gypsum/reach"
	"github.com/gypsumhook/gypsum/relay"
	"github.com/gypsumhook/gypsum/runner"
	"github.com/gypsumhook/gypsum/state"
	"github.com/gypsumhook/gypsum/store"
)

// Names and times that all tests use.
const (
	testService = gypsum.ServiceName("motif")
	testModel   = gypsum.EngineModel("crew")
	testRoute   = "train"
	testLease   = 3 * time.Second
	// The service and the host name of reward calls.
	rewardService  = gypsum.ServiceName("desk")
	rewardHostName = "reward.example"
)

// logOutput receives the logs of all daemons of a test.
var logOutput = io.Discard

// deployment is a store, engines and daemons in memory.
type deployment struct {
	t       *testing.T
	store   *fake.KeyedStore
	engines *fake.BatchEngines
	rewards *fake.RewardService
	// limits are the request rate limits of engines and of replicas that answer reward calls.
	limits  fake.RateLimits
	permits fake.PeerPermits
	daemons []*testDaemon
	// useProxies lets daemons that cannot reach the store use it through others.
	useProxies bool
	// trackers are the trackers of daemons that know which engines they reach, by address.
	trackers map[string]*reach.Tracker
	// proxies are the stores that daemons serve to others, by address.
	proxies map[string]gypsum.KeyedStore
	// startedAt is the origin of the daemons' clock.
	startedAt time.Time
}

// StoreVia implements gypsum.PeerStores.
func (d *deployment) StoreVia(address string) gypsum.KeyedStore { return d.proxies[address] }

// ReplicasVia implements gypsum.PeerReplicas.
func (d *deployment) ReplicasVia(address string) gypsum.RemoteReplicas { return d.trackers[address] }

// peers returns all daemons of the deployment.
func (d *deployment) peers() []gypsum.Peer {
	var peers []gypsum.Peer
	for name := range d.trackers {
		peers = append(peers, gypsum.Peer{Host: gypsum.HostID(name), Address: name})
	}
	return peers
}

// testDaemon holds the components of one daemon of a deployment, and the function that
// kills it.
type testDaemon struct {
	batches       *batch.Manager
	runner        *runner.Runner
	registry      *state.Registry
	direct        *fake.StoreClient // the direct connection to the store
	link          *fake.EngineLink  // the path to the engines
	follower      *store.Follower
	kill          context.CancelFunc
	goroutines    int
	goroutineErrs chan error
}

// newDeployment starts a deployment with one daemon per CPU share.
func newDeployment(t *testing.T, engines *fake.BatchEngines, shares ...float64) *deployment {
	return startDeployment(&deployment{t: t, store: fake.NewKeyedStore(), engines: engines}, shares)
}

// startDeployment starts the daemons of d, one per CPU share.
func startDeployment(d *deployment, shares []float64) *deployment {
	d.proxies, d.trackers = make(map[string]gypsum.KeyedStore), make(map[string]*reach.Tracker)
	d.startedAt = time.Now()
	d.store.Latency = 5 * time.Millisecond
	if d.rewards == nil {
		d.rewards = fake.NewRewardService(rewardService, 3, 6, 200*time.Millisecond)
	}
	for i, share := range shares {
		d.daemons = append(d.daemons, d.startDaemon(fmt.Sprintf("host-%d", i+1), share))
	}
	time.Sleep(100 * time.Millisecond)
	return d
}

// startDaemon starts a daemon and kills it at the end of the test.
func (d *deployment) startDaemon(name string, share float64) *testDaemon {
	logger := slog.New(slog.NewTextHandler(logOutput, nil)).With("host", name)
	ctx, kill := context.WithCancel(d.t.Context())
	daemon := &testDaemon{direct: &fake.StoreClient{KeyedStore: d.store}, kill: kill, goroutineErrs: make(chan error, 8), registry: state.NewRegistry(logger)}
	var keyedStore gypsum.KeyedStore = daemon.direct
	if d.useProxies {
		proxied := &proxy.Store{
			DirectStore: daemon.direct, PeerStores: d, ListPeers: d.peers, Self: gypsum.HostID(name), ProbeRead: gypsum.KeyedRead{Topic: "keyed.state", Max: 1}, Logger: logger,
		}
		d.proxies[name], keyedStore = proxied.StoreForPeers(), proxied
		daemon.startGoroutine(ctx, proxied.Run)
	}
	incarnation := gypsum.Incarnation(time.Now().UnixNano())
	topics := batch.Topics{State: "keyed.state", Bodies: "keyed.body", Texts: "keyed.text"}
	writers := make(map[gypsum.Topic]*store.Writer)
	for _, topic := range []gypsum.Topic{topics.State, topics.Bodies, topics.Texts} {
		writers[topic] = &store.Writer{
			Store: keyedStore, Topic: topic, Producer: fmt.Sprint(name, incarnation), MaxCallBytes: 1 << 20, Logger: logger,
		}
		daemon.startGoroutine(ctx, writers[topic].Run)
	}
	batchState := batch.NewState(logger)
	daemon.follower = &store.Follower{Store: keyedStore, Topic: topics.State, Handle: batchState.Apply, Logger: logger}
	daemon.startGoroutine(ctx, daemon.follower.Run)
	daemon.batches = &batch.Manager{
		Host: gypsum.HostID(name), Incarnation: incarnation, State: batchState, Follower: daemon.follower, Store: keyedStore, Topics: topics, Partitions: 1,
		RecordSize: 64 << 10, StateWriter: writers[topics.State], Logger: logger,
		WriterFor: func(topic gypsum.Topic, _ gypsum.Partition) *store.Writer { return writers[topic] },
	}
	if err := daemon.batches.Init(); err != nil {
		d.t.Fatal(err)
	}
	daemon.registry.ApplyConfig(newConfig(1))
	for _, replica := range d.engines.Replicas(testService) {
		daemon.registry.ApplyReplica(replica)
	}
	for _, replica := range d.rewards.Replicas() {
		daemon.registry.ApplyReplica(replica)
	}
	rateLimits := limit.NewTable(logger)
	rateLimits.Store = daemon.batches
	daemon.startGoroutine(ctx, rateLimits.Run)
	limiter := limit.NewLimiter()
	limiter.Self, limiter.Table, limiter.Budgets, limiter.PeerPermits, limiter.Logger = gypsum.HostID(name), rateLimits, limit.NewBudgets(), &d.permits, logger
	limiter.ListPeers = func() []gypsum.Peer { return []gypsum.Peer{{Host: gypsum.HostID(name), Address: name}} }
	limiter.HolderOf = func(service gypsum.ServiceName) gypsum.HostID {
		holder, _, _ := batchState.Holder(service)
		return holder.Host
	}
	d.permits.Set(name, limiter)
	rewardRelay := relay.New()
	daemon.runner = runner.New()
	rewardRelay.Limiter, daemon.runner.Limiter = limiter, limiter
	rewardRelay.Transport = &fake.LimitedReplicas{ReplicaTransport: d.rewards, Limits: &d.limits, Observer: rateLimits}
	rewardRelay.Crashes, rewardRelay.Registry, rewardRelay.Logger = daemon.batches, daemon.registry, logger
	daemon.startGoroutine(ctx, rewardRelay.Run)
	daemon.runner.Relay = rewardRelay
	daemon.runner.Host, daemon.runner.Incarnation, daemon.runner.Batches = gypsum.HostID(name), incarnation, daemon.batches
	daemon.link = &fake.EngineLink{EngineTransport: &fake.LimitedEngines{EngineTransport: d.engines, Limits: &d.limits, Observer: rateLimits}}
	daemon.runner.Engines = daemon.link
	tracker := reach.NewTracker()
	tracker.Self, tracker.Registry, tracker.Prober, tracker.Peers, tracker.Logger = gypsum.HostID(name), daemon.registry, daemon.link, d, logger
	tracker.ListPeers, tracker.Stopping = d.peers, func() bool { return false }
	d.trackers[name], daemon.runner.Reach = tracker, tracker
	daemon.startGoroutine(ctx, tracker.Run)
	daemon.runner.Registry, daemon.runner.CPUShare, daemon.runner.Lease = daemon.registry, share, testLease

	daemon.runner.Clock = d.clock
	daemon.runner.StoreUnavailable = func() bool { _, unavailable := daemon.follower.LastResponse(); return unavailable }
	daemon.runner.Logger = logger
	daemon.startGoroutine(ctx, daemon.runner.Run)
	d.t.Cleanup(daemon.killAndWait)
	return daemon
}

// clock returns the time since the start of the deployment.
func (d *deployment) clock() time.Duration { return time.Since(d.startedAt) }

// newConfig returns a revision of the configuration with a route of batches, one of reward calls and
// more routes of batches.
func newConfig(revision gypsum.Revision, batchRoutes ...string) *gypsum.RoutingConfig {
	config := &gypsum.RoutingConfig{Revision: revision, Services: map[gypsum.ServiceName]gypsum.ServiceConfig{
		testService: {Name: testService, Slots: 16, TokensPerEvent: 1, Models: []gypsum.EngineModel{testModel}},
	}}
	for _, name := range append([]string{testRoute}, batchRoutes...) {
		config.Routes = append(config.Routes, gypsum.Route{
			Name: name, Kind: gypsum.RouteRollout, Services: []gypsum.WeightedService{{Service: testService, Weight: 1}},
		})
	}
	config.Routes = slices.Insert(config.Routes, 1, gypsum.Route{
		Name: "reward", HostName: rewardHostName, PathPrefix: "/reward/", Kind: gypsum.RouteIdempotent, MaxAttempts: 4,
		LatencyTarget: 250 * time.Millisecond, Services: []gypsum.WeightedService{{Service: rewardService, Weight: 1}},
	})
	return config
}

func (d *testDaemon) startGoroutine(ctx context.Context, run func(context.Context) error) {
	d.goroutines++
	go func() { d.goroutineErrs <- run(ctx) }()
}

// killAndWait kills the daemon and waits for its goroutines.
func (d *testDaemon) killAndWait() {
	d.kill()
	for ; d.goroutines > 0; d.goroutines-- {
		<-d.goroutineErrs
	}
}

// newBatch returns a batch with one item for each length, its number of events.
func newBatch(id string, minVersion gypsum.WeightVersion, lengths ...int64) *gypsum.Batch {
	now := time.Now()
	b := &gypsum.Batch{
		ID: gypsum.BatchID(id), Route: testRoute, HostName: "train.example", Service: testService, Model: testModel, MinVersion: minVersion,
		MaxAttempts: 3, SubmittedAt: now, DueAt: now.Add(7500 * time.Millisecond), ExpiresAt: now.Add(40 * time.Second),
	}
	for i, length := range lengths {
		b.Items = append(b.Items, gypsum.BatchItem{
			ID: itemID(id, i, length), Path: "/train/x", Header: map[string]string{"Model": string(testModel)},
			Body: []byte("prompt"), ExpectedTokens: int(length),
		})
	}
	return b
}

// itemID returns an id that encodes the item's number of events.
func itemID(id string, number int, length int64) gypsum.ItemID {
	return gypsum.ItemID(fmt.Sprintf("%s.%d.%d", id, number, length))
}

// eventCountOf returns the number of events that itemID has encoded in an item's ID, 10 if
// it is not encoded there.
func eventCountOf(item gypsum.ItemID) int64 {
	id := string(item)
	length, err := strconv.ParseInt(id[strings.LastIndex(id, ".")+1:], 10, 64)
	if err != nil {
		return 10
	}
	return length
}

// newScoredBatch returns a batch like newBatch, in groups of four items that have scorers.
func newScoredBatch(id string, lengths ...int64) *gypsum.Batch {
	b := newBatch(id, 1, lengths...)
	for i := range b.Items {
		b.Items[i].Group = gypsum.GroupID(fmt.Sprint(i / 4))
		b.Items[i].Scorer = &gypsum.Scorer{
			ID: gypsum.RequestID("score-" + b.Items[i].ID), HostName: rewardHostName, Path: "/reward/x?item=" + string(b.Items[i].ID), Body: []byte("rubric"),
		}
	}
	return b
}

// submitBatch submits a batch to a daemon, which must accept it.
func (d *deployment) submitBatch(daemon int, b *gypsum.Batch) {
	d.t.Helper()
	if err := d.daemons[daemon].batches.AcceptBatch(d.t.Context(), b); err != nil {
		d.t.Fatal("batch not accepted:", err)
	}
}

// awaitResults waits until a daemon lists all results of a batch, and checks them. It returns
// the results and the time since the submission.
func (d *deployment) awaitResults(daemon int, b *gypsum.Batch, timeout time.Duration) ([]gypsum.BatchResult, time.Duration) {
	d.t.Helper()
	var results []gypsum.BatchResult
	for time.Since(b.SubmittedAt) < timeout {
		ctx, cancel := context.WithTimeout(d.t.Context(), 2*time.Second)
		_, more, err := d.daemons[daemon].batches.ReadResults(ctx, b.ID, len(results), time.Second)
		cancel()
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		results = append(results, more...)
		if len(results) == len(b.Items) {
			d.checkResults(b, results)
			return results, time.Since(b.SubmittedAt)
		}
	}
	d.t.Fatalf("batch %s has %d of %d results after %s", b.ID, len(results), len(b.Items), timeout)
	return nil, 0
}

// checkResults checks that each item has one result, with the whole text and no version below
// the batch's minimum.
func (d *deployment) checkResults(b *gypsum.Batch, results []gypsum.BatchResult) {
	d.t.Helper()
	listed := make(map[gypsum.ItemID]bool)
	for _, result := range results {
		d.checkScore(b, &result)
		if listed[result.Item] {
			d.t.Errorf("item %s has two results", result.Item)
		}
		listed[result.Item] = true
		if result.State == gypsum.ItemCompleted && !d.engines.IsFullText(result.Item, result.Text) {
			d.t.Errorf("item %s has the wrong text: %q", result.Item, result.Text)
		}
		for _, version := range result.Versions {
			if version < b.MinVersion {
				d.t.Errorf("item %s was generated by version %d, below the minimum %d", result.Item, version, b.MinVersion)
			}
		}
	}
}

// checkScore checks that a completed result of a scored item has the signature of a
// successful reward call of its own, received after its text was generated, and that any
// other result has no score.
func (d *deployment) checkScore(b *gypsum.Batch, result *gypsum.BatchResult) {
	d.t.Helper()
	var scorer *gypsum.Scorer
	for i := range b.Items {
		if b.Items[i].ID == result.Item {
			scorer = b.Items[i].Scorer
		}
	}
	if scorer == nil || result.State != gypsum.ItemCompleted {
		if result.Score != "" {
			d.t.Errorf("item %s, %s, has an unexpected score %q", result.Item, result.State, result.Score)
		}
		return
	}
	for _, call := range d.rewards.Calls() {
		if call.ID == scorer.ID && call.ReceivedAt.Before(d.engines.CompletedAt(result.Item)) {
			d.t.Errorf("item %s was scored before its text was complete", result.Item)
		}
		if call.ID == scorer.ID && call.Signature != "" && call.Signature == result.Score {
			return
		}
	}
	d.t.Errorf("score %q of item %s is not the signature of a successful reward call", result.Score, result.Item)
}

// holderKnownTo returns the daemon that holds the service according to an observing one.
func (d *deployment) holderKnownTo(observer int) gypsum.HostID {
	holder, _, _ := d.daemons[observer].batches.State.Holder(testService)
	return holder.Host
}

// Package edge wires a daemon to the users' platform and runs it as a process.
package edge

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/go-kratos/kratos/v2"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/daemon"
	"github.com/gypsumhook/gypsum/front"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/proxy"
	"github.com/gypsumhook/gypsum/relay"
	"github.com/gypsumhook/gypsum/runner"
	"github.com/gypsumhook/gypsum/state"
	"github.com/gypsumhook/gypsum/store"
	"github.com/gypsumhook/gypsum/wire"
)

// Times of the process.
const (
	// readHeaderTimeout is above the header timeout that the users' clients keep to.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is above any idle timeout of the users' configuration, since clients
	// reuse a connection for as long as that allows.
	idleTimeout = 2 * time.Minute
	// balancerNotice is how long the balancer takes to notice that a host is not
	// ready: two checks a second apart, and a connection on its way.
	balancerNotice = 2800 * time.Millisecond
	// stopReserve is the part of the grace time left for the end of the process.
	stopReserve = 800 * time.Millisecond
	// stateGap and replicasGap are the least times between two reads of batches and of
	// registrations: hosts times records would pass the store's limit of reads. The
	// first is a tenth of a trainer's reading interval, the second a twelfth of the time
	// within which a leaving replica must get no more work.
	stateGap    = 40 * time.Millisecond
	replicasGap = 250 * time.Millisecond
	// watchInterval is how often outages of the store are looked at.
	watchInterval = 200 * time.Millisecond
	// maxHeader bounds a client's header, above the limit of the users' configuration.
	maxHeader = 64 << 10
	// bodyShare is the part of the memory that clients' bodies may take.
	bodyShare = 4
)

// Host is one daemon on the platform. Set the exported fields before Run.
type Host struct {
	Settings *platform.Settings
	Logger   *slog.Logger
	// Dropped returns the number of log lines that were dropped.
	Dropped func() int64

	boot  gypsum.Incarnation
	store *proxy.Store
	state *state.Registry
	// Registrations belongs to the goroutine that follows them.
	registrations *platform.RegistrationDecoder
	book          *batch.State
	batches       *batch.Manager
	relay         *relay.Relay
	runner        *runner.Runner
	front         *front.Front
	follows       []*store.Follower
	writers       map[writerKey]*store.Writer
	tasks         tasks
}

// writerKey names the partition that a writer appends to.
type writerKey struct {
	topic gypsum.Topic
	part  gypsum.Partition
}

// tasks are the goroutines of the process; each reports its end.
type tasks struct {
	ended chan error
	count int
}

// start starts a goroutine that runs until ctx ends.
func (t *tasks) start(ctx context.Context, run func(context.Context) error) {
	t.count++
	go func() { t.ended <- run(ctx) }()
}

// wait waits for the end of all goroutines.
func (t *tasks) wait() {
	for range t.count {
		<-t.ended
	}
}

// Run serves until ctx ends or the process gets SIGTERM or SIGINT.
func (h *Host) Run(ctx context.Context) error {
	cleanup, err := h.build()
	if err != nil {
		return err
	}
	defer cleanup()
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	h.startTasks(inner)
	defer func() {
		stop()
		h.tasks.wait()
	}()
	h.publishMetrics()
	h.Logger.Info("started", "host", h.Settings.Host, "data_centre", h.Settings.Location.DataCentre, "region", h.Settings.Location.Region,
		"clients", h.Settings.ClientAddr, "store", h.Settings.StoreAddr, "boot", h.boot)
	app := kratos.New(
		kratos.Name("gypsumhook"), kratos.ID(string(h.Settings.Host)), kratos.Context(context.WithoutCancel(ctx)),
		kratos.Logger(daemon.NewKratosLogger(h.Logger)), kratos.Server(h.servers()...),
		kratos.StopTimeout(h.Settings.ShutdownGrace-balancerNotice-stopReserve), kratos.BeforeStop(h.beforeStop),
	)
	stopOnDone := context.AfterFunc(ctx, func() { _ = app.Stop() })
	defer stopOnDone()
	if err := app.Run(); err != nil {
		return fmt.Errorf("run servers: %w", err)
	}
	h.Logger.Info("stopped", "host", h.Settings.Host)
	return nil
}

// beforeStop takes the host out of use: its services go to others and the balancer
// gets time to notice, while requests are still served.
func (h *Host) beforeStop(ctx context.Context) error {
	h.Logger.Info("stopping", "host", h.Settings.Host, "notice_ms", balancerNotice.Milliseconds())
	h.front.Stopping.Store(true)
	noticed := time.After(balancerNotice)
	ctx, cancel := context.WithTimeout(ctx, balancerNotice)
	defer cancel()
	h.runner.Stop(ctx)
	if err := h.batches.Withdraw(ctx); err != nil {
		h.Logger.Warn("address not removed", "error", err)
	}
	<-noticed
	return nil
}

// build makes the daemon's parts and returns their clean-up.
func (h *Host) build() (cleanup func(), err error) {
	h.boot = gypsum.Incarnation(time.Now().UnixMilli())
	h.tasks.ended = make(chan error, 256)
	client, closeStore := platform.NewStore(h.Settings.StoreAddr)
	backends, closeBackends := platform.NewReplicaClient()
	peers, closePeers := wire.NewPeerStores()
	h.state = state.NewRegistry(h.Logger)
	h.registrations = platform.NewRegistrationDecoder(h.Settings.Regions)
	h.book = batch.NewState(h.Logger)
	topics := batch.Topics{
		State: platform.KeyedTopic("state"), Bodies: platform.KeyedTopic("body"), Texts: platform.KeyedTopic("text"),
	}
	h.store = &proxy.Store{
		Direct: client, Peers: peers, ListPeers: h.others, Location: h.Settings.Location, Self: h.Settings.Host,
		ProbeRead: gypsum.KeyedRead{Topic: topics.State, Max: 1}, Logger: h.Logger,
	}
	h.makeWriters(topics)
	following := h.follow(topics.State, stateGap, h.book.Apply)
	h.follow(platform.TopicOperator, 0, h.takeOperator)
	h.follow(platform.TopicReplicas, replicasGap, h.takeReplicas)
	h.batches = &batch.Manager{
		Host: h.Settings.Host, Incarnation: h.boot, State: h.book, Follower: following, Store: h.store, Topics: topics,
		Partitions: h.Settings.Partitions, RecordSize: h.Settings.MaxRecordSize, StateWriter: h.writers[writerKey{topic: topics.State}],
		WriterFor: func(topic gypsum.Topic, part gypsum.Partition) *store.Writer {
			return h.writers[writerKey{topic, part}]
		}, Logger: h.Logger,
	}
	if err := h.batches.Start(); err != nil {
		return nil, err
	}
	h.relay = relay.New()
	h.relay.Crashes = h.batches
	h.relay.Transport, h.relay.State, h.relay.Location, h.relay.Logger = backends, h.state, h.Settings.Location, h.Logger
	h.runner = runner.New()
	h.runner.Host, h.runner.Incarnation, h.runner.Batches, h.runner.Engines = h.Settings.Host, h.boot, h.batches, backends
	h.runner.State, h.runner.Logger = h.state, h.Logger
	h.runner.Lease, h.runner.ResultRetention = h.Settings.LeaseDuration, h.Settings.StatusRetention
	h.runner.CPUShare = h.Settings.CPUShare
	h.runner.StoreUnavailable = func() bool { return h.storeAway() > 0 }
	h.front = &front.Front{
		State: h.state, Relay: h.relay, Batches: h.batches, StoreAway: h.storeAway,
		BodyMemory: h.Settings.MemoryLimit / bodyShare, Logger: h.Logger,
	}
	return func() {
		closeBackends()
		closePeers()
		closeStore()
	}, nil
}

// makeWriters makes a writer for each partition of the own topics.
func (h *Host) makeWriters(topics batch.Topics) {
	h.writers = make(map[writerKey]*store.Writer)
	add := func(topic gypsum.Topic, part gypsum.Partition) {
		h.writers[writerKey{topic, part}] = &store.Writer{
			Store: h.store, Topic: topic, Partition: part, MaxCallBytes: h.Settings.MaxCallSize / 2, Logger: h.Logger,
			Producer: string(h.Settings.Host) + "." + strconv.FormatInt(int64(h.boot), 36),
		}
	}
	add(topics.State, 0)
	for part := range gypsum.Partition(h.Settings.Partitions) {
		add(topics.Bodies, part)
		add(topics.Texts, part)
	}
}

// startTasks starts the daemon's goroutines.
func (h *Host) startTasks(ctx context.Context) {
	for _, follower := range h.follows {
		h.tasks.start(ctx, follower.Run)
	}
	for _, writer := range h.writers {
		h.tasks.start(ctx, writer.Run)
	}
	h.tasks.start(ctx, h.runner.Run)
	h.tasks.start(ctx, h.relay.Run)
	h.tasks.start(ctx, h.watch)
	h.tasks.start(ctx, h.store.Run)
	h.tasks.start(ctx, h.announce)
}

// publishOnce guards the process-wide registry of metrics.
var publishOnce sync.Once

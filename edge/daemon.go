// Package edge implements the process that the edge command runs: a daemon on the users'
// platform.
package edge

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/access"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/clock"
	"github.com/gypsumhook/gypsum/daemon"
	"github.com/gypsumhook/gypsum/feed"
	"github.com/gypsumhook/gypsum/front"
	"github.com/gypsumhook/gypsum/intake"
	"github.com/gypsumhook/gypsum/limit"
	"github.com/gypsumhook/gypsum/origin"
	"github.com/gypsumhook/gypsum/pace"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/proxy"
	"github.com/gypsumhook/gypsum/reach"
	"github.com/gypsumhook/gypsum/relay"
	"github.com/gypsumhook/gypsum/runner"
	"github.com/gypsumhook/gypsum/state"
	"github.com/gypsumhook/gypsum/store"
	"github.com/gypsumhook/gypsum/wire"
)

// Timeouts, intervals and limits of the process.
const (
	// balancerNoticeTime is how long the load balancer takes to notice that a daemon is
	// not ready: two checks one second apart, and a connection already being made.
	balancerNoticeTime = 2800 * time.Millisecond
	// exitTimeReserve is the part of the shutdown grace period that is reserved for the exit
	// of the process.
	exitTimeReserve = 800 * time.Millisecond
	// stateReadInterval and replicaReadInterval are the minimum times between two reads
	// of the batch state and of registrations. A read for each record by each daemon
	// would exceed the store's read limit. The first is a tenth of the interval at which
	// trainers read results, the second a twelfth of the time after which a leaving
	// replica must get no new work.
	stateReadInterval   = 40 * time.Millisecond
	replicaReadInterval = 250 * time.Millisecond
	// readsPerDaemon and writesPerDaemon are the calls per second of the store that a daemon makes
	// by itself at most: 18 to 29 reads at 9 to 12 hosts, and half as many more as a reserve. Calls
	// are paced only where the store does not allow that many for each daemon.
	readsPerDaemon  = 45
	writesPerDaemon = 10
	// writingDaemons is the number of daemons that write much at the same time: the holders of
	// engine services and those that accept batches.
	writingDaemons = 16
	// readPatience is how long a read of a followed topic may wait for the daemon's share of the
	// store's reads. It is longer than the time between two reads at the smallest share.
	readPatience = 3 * time.Second
	// watchInterval is the time between two checks for outages of the store, and between
	// two attempts to store the daemon's address.
	watchInterval = 200 * time.Millisecond
	// Of allParts parts of what clients may use, the ports get these.
	clientParts    = 9
	internalParts  = 6
	readinessParts = 1
	allParts       = 16
	// internalBodyCopies is how many times the bytes of a message of another daemon count, for what is
	// decoded from it.
	internalBodyCopies = 3
	// The memory for bodies and responses is divided further: each use has a limit, and bodies
	// leave 1/bodyReserveDivisor of the memory limit to the others. bodyMemoryDivisor limits the memory for request bodies to 1/bodyMemoryDivisor of the
	// memory limit.
	bodyMemoryDivisor  = 4
	bodyReserveDivisor = 16
	// responseMemoryDivisor limits the memory for responses of replicas that are being read to
	// 1/responseMemoryDivisor of the memory limit.
	responseMemoryDivisor = 8
	// clientMemoryDivisor limits the memory for responses that clients have not read to
	// 1/clientMemoryDivisor of the memory limit.
	clientMemoryDivisor = 8
	// forwardMemoryDivisor limits the memory for requests that are being forwarded to other
	// daemons, and for those of other daemons, to 1/forwardMemoryDivisor of the memory limit each.
	forwardMemoryDivisor = 16
	// batchMemoryDivisor limits the memory for the known batches to 1/batchMemoryDivisor of the memory
	// limit.
	batchMemoryDivisor = 8
	// readMemoryDivisor limits the memory for reads of items to 1/readMemoryDivisor of the memory limit.
	readMemoryDivisor = 8
	// messageMemoryDivisor limits the memory for messages of other daemons to 1/messageMemoryDivisor
	// of the memory limit.
	messageMemoryDivisor = 8
	// textMemoryDivisor limits the memory for long texts of items to 1/textMemoryDivisor of the memory limit.
	textMemoryDivisor = 16
	// feedMemoryDivisor limits the memory for the records of each topic that other daemons get from
	// this one to 1/feedMemoryDivisor of the memory limit: half a minute of the batch state on the
	// smallest host.
	feedMemoryDivisor = 64
)

// Daemon is the daemon process of a host. Set the exported fields before Run.
type Daemon struct {
	Settings *platform.Settings
	Logger   *slog.Logger
	// DroppedLines returns the number of log lines that were dropped.
	DroppedLines func() int64

	incarnation gypsum.Incarnation
	store       *proxy.Store
	feed        *feed.Feed
	registry    *state.Registry
	limiter     *limit.Limiter
	origins     *origin.Tracker
	recorder    *origin.Recorder
	reach       *reach.Tracker
	// registrations is used only by the goroutine that follows the registrations.
	registrations *platform.RegistrationDecoder
	batchState    *batch.State
	batches       *batch.Manager
	relay         *relay.Relay
	runner        *runner.Runner
	access        *access.Checker
	frontend      *front.Server
	// duties are the duties of the platform's API, nil if there are none.
	duties    *duties
	followers []*store.Follower
	writers   map[writerKey]*store.Writer
	tasks     taskGroup

	// shares is what clients may use of the host, payload the part for bodies and responses, of which
	// forwardedMemory is for forwarded requests of other daemons and internalBodies for their messages.
	shares          intake.Shares
	payload         *buffer.Budget
	forwardedMemory *buffer.Pool
	internalBodies  *buffer.Pool
	ports           *ports
	drain           daemon.Drain
}

// writerKey identifies the partition that a writer appends to.
type writerKey struct {
	topic     gypsum.Topic
	partition gypsum.Partition
}

// taskGroup is the set of the process's goroutines. Each sends its result to done.
type taskGroup struct {
	done  chan error
	count int
}

// start starts a goroutine that runs until ctx is done.
func (t *taskGroup) start(ctx context.Context, run func(context.Context) error) {
	t.count++
	go func() { t.done <- run(ctx) }()
}

// wait waits until all goroutines have ended.
func (t *taskGroup) wait() {
	for range t.count {
		<-t.done
	}
}

// Run serves until ctx is done or the process receives SIGTERM or SIGINT, and then shuts
// down gracefully. ctx must end at a signal that comes before Run is called.
func (d *Daemon) Run(ctx context.Context) error {
	cleanup, err := d.createComponents()
	if err != nil {
		return err
	}
	defer cleanup()
	taskCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	d.startTasks(taskCtx)
	defer func() {
		stopTasks()
		d.tasks.wait()
	}()
	listening, err := d.newServers()
	if err != nil {
		return err
	}
	d.publishMetrics()
	d.Logger.Info("started", "host", d.Settings.Host, "data_centre", d.Settings.Location.DataCentre, "region", d.Settings.Location.Region,
		"clients", d.Settings.ClientAddr, "store", d.Settings.StoreAddr, "boot", d.incarnation)
	servers := &daemon.Servers{
		Host: d.Settings.Host, Servers: listening, Leave: d.startLeaving,
		StopTimeout: d.Settings.ShutdownGrace - balancerNoticeTime - exitTimeReserve, Logger: d.Logger,
	}
	if err := servers.Run(ctx); err != nil {
		return err
	}
	d.duties.flush(taskCtx)
	d.Logger.Info("stopped", "host", d.Settings.Host)
	return nil
}

// startLeaving runs before the servers stop. It makes the daemon not ready, releases the
// daemon's services to other daemons and gives the load balancer time to notice. Requests
// are still served meanwhile.
func (d *Daemon) startLeaving(ctx context.Context) error {
	d.Logger.Info("stopping", "host", d.Settings.Host, "notice_ms", balancerNoticeTime.Milliseconds())
	d.drain.Begin(time.Now().Add(d.Settings.ShutdownGrace - exitTimeReserve))
	d.frontend.Stopping.Store(true)
	balancerNoticed := time.After(balancerNoticeTime)
	ctx, cancel := context.WithTimeout(ctx, balancerNoticeTime)
	defer cancel()
	dutiesReleased := make(chan struct{})
	go func() {
		defer close(dutiesReleased)
		d.duties.stop(ctx)
	}()
	d.runner.Stop(ctx)
	if err := d.batches.RemoveDaemon(ctx); err != nil {
		d.Logger.Warn("failed to remove daemon address from store", "error", err)
	}
	<-dutiesReleased
	<-balancerNoticed
	return nil
}

// createComponents creates the components of the daemon. The returned function closes the idle
// connections of their clients.
func (d *Daemon) createComponents() (cleanup func(), err error) {
	d.incarnation = gypsum.Incarnation(time.Now().UnixMilli())
	host := intake.Resources{Memory: d.Settings.MemoryLimit, Descriptors: d.Settings.MaxOpenFiles}.WithDefaults()
	memory := host.Memory
	d.shares = intake.NewShares(host)
	d.payload = buffer.NewBudget(d.shares.Payload)
	d.forwardedMemory = d.payload.NewPool(memory/forwardMemoryDivisor, 0)
	d.internalBodies = d.payload.NewPool(memory/messageMemoryDivisor, 0)
	d.tasks.done = make(chan error, 256)
	client, closeStore := platform.NewStore(d.Settings.StoreAddr)
	d.registry = state.NewRegistry(d.Logger)
	rateLimits := limit.NewTable(d.Logger)
	backends, closeBackends := platform.NewReplicaClient(d.registry, rateLimits, d.payload.NewPool(memory/responseMemoryDivisor, 0))
	peers, closePeers := wire.NewPeerClients()
	peers.ForwardMemory = d.payload.NewPool(memory/forwardMemoryDivisor, 0)
	d.registrations = platform.NewRegistrationDecoder(d.Settings.Regions)
	d.batchState = batch.NewState(d.Logger)
	topics := batch.Topics{
		State: platform.KeyedTopic("state"), Bodies: platform.KeyedTopic("body"), Texts: platform.KeyedTopic("text"),
	}
	d.store = &proxy.Store{
		DirectStore: client, PeerStores: peers, ListPeers: d.peers, Location: d.Settings.Location, Self: d.Settings.Host,
		ProbeRead: gypsum.KeyedRead{Topic: topics.State, Max: 1}, Logger: d.Logger,
		Reads:  pace.NewGate(pace.Use{Allowance: d.Settings.ReadsPerSecond, Need: readsPerDaemon}),
		Writes: pace.NewGate(pace.Use{Allowance: d.Settings.WritesPerSecond, Need: writesPerDaemon, Users: writingDaemons}),
		Class:  storeCallClass(topics), Clock: clock.Steady,
	}
	d.feed = &feed.Feed{
		Self: d.Settings.Host, Location: d.Settings.Location, Store: d.store, Peers: peers, ListDaemons: d.feedDaemons, Ample: d.store.Reads.Ample,
		Clock: clock.Steady, Memory: memory / feedMemoryDivisor, Logger: d.Logger,
	}
	d.createWriters(topics)
	follower := d.newFollower(topics.State, stateReadInterval, d.batchState.Apply)
	operator := d.newFollower(platform.TopicOperator, 0, d.applyOperatorRecords)
	operator.Confirmed, operator.Clock, operator.ReadWait = d.registry.ConfirmConfig, clock.Steady, d.operatorReadWait
	d.access = &access.Checker{
		Policy:   access.Policy{StrictRevocation: d.Settings.StrictRevocation, RevocationDelay: d.Settings.RevocationDelay},
		Registry: d.registry, Clock: clock.Steady, StoreDowntime: d.storeDowntime,
		Confirmer: &access.Confirmer{Registry: d.registry, CatchUp: operator.CatchUpAt},
	}
	d.newFollower(platform.TopicReplicas, replicaReadInterval, d.applyReplicas)
	d.batches = &batch.Manager{
		Host: d.Settings.Host, Incarnation: d.incarnation, State: d.batchState, Follower: follower, Store: d.store, Topics: topics,
		Memory: memory / batchMemoryDivisor, ReadMemory: d.payload.NewPool(memory/readMemoryDivisor, 0), Partitions: d.Settings.Partitions, RecordSize: d.Settings.MaxRecordSize, StateWriter: d.writers[writerKey{topic: topics.State}],
		WriterFor: func(topic gypsum.Topic, partition gypsum.Partition) *store.Writer {
			return d.writers[writerKey{topic, partition}]
		}, Logger: d.Logger,
	}
	if err := d.batches.Init(); err != nil {
		return nil, err
	}
	rateLimits.Store = d.batches
	d.limiter = limit.NewLimiter()
	d.limiter.Self, d.limiter.Table, d.limiter.Budgets, d.limiter.Logger = d.Settings.Host, rateLimits, limit.NewBudgets(), d.Logger
	d.limiter.ListPeers, d.limiter.HolderOf, d.limiter.PeerPermits = d.peers, d.holderOf, peers
	if d.origins, err = origin.NewTracker(); err != nil {
		return nil, err
	}
	d.origins.Self, d.origins.Registry, d.origins.ListPeers, d.origins.Peers, d.origins.Logger = d.Settings.Host, d.registry, d.peers, peers, d.Logger
	d.origins.Records, d.origins.CatchUp = d.batches, d.catchUp
	d.origins.StoreUnavailable = func() bool { return d.storeDowntime() > 0 }
	d.recorder = &origin.Recorder{
		Self: d.Settings.Host, Registry: d.registry, Records: d.batches, CatchUp: d.catchUp, ListPeers: d.peers, Logger: d.Logger,
	}
	d.reach = reach.NewTracker()
	d.reach.Self, d.reach.Location, d.reach.Registry, d.reach.Logger = d.Settings.Host, d.Settings.Location, d.registry, d.Logger
	d.reach.Prober, d.reach.Forwarder, d.reach.ListPeers, d.reach.Peers = backends, backends, d.peers, peers
	d.reach.Stopping = func() bool { return d.frontend.Stopping.Load() }
	d.relay = relay.New()
	d.relay.Buffers = d.payload.NewPool(memory/clientMemoryDivisor, 0)
	d.relay.Reach = d.reach
	d.relay.HostCount = func() int { return len(d.batchState.DaemonRecords()) }
	d.relay.TransportVia = func(address string) gypsum.ReplicaTransport { return backends.Via(peers.ReplicasVia(address)) }
	d.relay.Crashes, d.relay.Limiter, d.relay.Origins = d.batches, d.limiter, d.origins
	d.relay.Transport, d.relay.Registry, d.relay.Location, d.relay.Logger = backends, d.registry, d.Settings.Location, d.Logger
	d.runner = runner.New()
	d.runner.Host, d.runner.Incarnation, d.runner.Batches, d.runner.Engines = d.Settings.Host, d.incarnation, d.batches, backends
	d.runner.Registry, d.runner.Logger = d.registry, d.Logger
	d.runner.Relay, d.runner.Limiter, d.runner.Reach = d.relay, d.limiter, d.reach
	d.runner.Lease, d.runner.ResultRetention = d.Settings.LeaseDuration, d.Settings.StatusRetention
	d.runner.TextMemory = memory / textMemoryDivisor
	d.runner.CPUShare, d.runner.Clock = d.Settings.CPUShare, clock.Steady
	d.runner.StoreUnavailable = func() bool { return d.storeDowntime() > 0 }
	d.frontend = &front.Server{
		Registry: d.registry, Relay: d.relay, Batches: d.batches, Access: d.access, StoreDowntime: d.storeDowntime, ConfigAge: d.configAge,
		BodyMemory: d.payload.NewPool(memory/bodyMemoryDivisor, memory/bodyReserveDivisor), Buffers: d.relay.Buffers, Logger: d.Logger,
		TimeLeft: d.drain.Left,
	}
	closeDuties := d.createDuties()
	return func() {
		closeBackends()
		closePeers()
		closeStore()
		closeDuties()
	}, nil
}

// createWriters creates a writer for each partition of the daemons' topics.
func (d *Daemon) createWriters(topics batch.Topics) {
	d.writers = make(map[writerKey]*store.Writer)
	addWriter := func(topic gypsum.Topic, partition gypsum.Partition) {
		d.writers[writerKey{topic, partition}] = &store.Writer{
			Store: d.store, Topic: topic, Partition: partition, MaxCallBytes: d.Settings.MaxCallSize / 2, Logger: d.Logger,
			Producer: string(d.Settings.Host) + "." + strconv.FormatInt(int64(d.incarnation), 36),
		}
	}
	addWriter(topics.State, 0)
	for partition := range gypsum.Partition(d.Settings.Partitions) {
		addWriter(topics.Bodies, partition)
		addWriter(topics.Texts, partition)
	}
	if d.Settings.HasDuty(gypsum.DutyUsage) {
		addWriter(usageTopic, 0)
	}
	if d.Settings.HasDuty(gypsum.DutyCapacity) {
		addWriter(capacityTopic, 0)
	}
}

// startTasks starts the background goroutines of the daemon.
func (d *Daemon) startTasks(ctx context.Context) {
	for _, follower := range d.followers {
		d.tasks.start(ctx, follower.Run)
	}
	for _, writer := range d.writers {
		d.tasks.start(ctx, writer.Run)
	}
	d.tasks.start(ctx, d.runner.Run)
	d.tasks.start(ctx, d.relay.Run)
	d.tasks.start(ctx, d.limiter.Table.Run)
	d.tasks.start(ctx, d.origins.Run)
	d.tasks.start(ctx, d.recorder.Run)
	d.tasks.start(ctx, d.reach.Run)
	d.tasks.start(ctx, d.watchStore)
	d.tasks.start(ctx, d.store.Run)
	d.tasks.start(ctx, d.access.Confirmer.Run)
	d.tasks.start(ctx, d.announceAddress)
	d.duties.startTasks(ctx, &d.tasks)
	d.tasks.start(ctx, d.countDaemons)
}

// publishOnce ensures that the metrics are published once per process, as expvar panics
// on a second publication of a name.
var publishOnce sync.Once

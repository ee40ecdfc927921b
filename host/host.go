// Package host wires a daemon to the users' platform and runs it as a process.
package host

import (
	"context"
	"expvar"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/daemon"
	"github.com/gypsumhook/gypsum/detour"
	"github.com/gypsumhook/gypsum/front"
	"github.com/gypsumhook/gypsum/platform"
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

	boot    gypsum.Incarnation
	store   *detour.Store
	state   *state.Keeper
	book    *batch.Book
	desk    *batch.Desk
	relay   *relay.Relay
	runner  *runner.Runner
	front   *front.Front
	follows []*store.Follower
	writers map[writerKey]*store.Writer
	tasks   tasks
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
		"clients", h.Settings.Clients, "store", h.Settings.StoreAddr, "boot", h.boot)
	app := kratos.New(
		kratos.Name("gypsumhook"), kratos.ID(string(h.Settings.Host)), kratos.Context(context.WithoutCancel(ctx)),
		kratos.Logger(daemon.NewKratosLogger(h.Logger)), kratos.Server(h.servers()...),
		kratos.StopTimeout(h.Settings.Grace-balancerNotice-stopReserve), kratos.BeforeStop(h.beforeStop),
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
	if err := h.desk.Withdraw(ctx); err != nil {
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
	backends, closeBackends := platform.NewBackends()
	peers, closePeers := wire.NewStorePeers()
	h.state = state.NewKeeper(h.Logger)
	h.book = batch.NewBook(h.Logger)
	topics := batch.Topics{
		State: platform.KeyedTopic("state"), Bodies: platform.KeyedTopic("body"), Texts: platform.KeyedTopic("text"),
	}
	h.store = &detour.Store{
		Direct: client, Peers: peers, Others: h.others, Home: h.Settings.Location, Self: h.Settings.Host,
		Probe: gypsum.KeyedRead{Topic: topics.State, Max: 1}, Logger: h.Logger,
	}
	h.makeWriters(topics)
	following := h.follow(topics.State, h.book.Apply)
	h.follow(platform.TopicOperator, h.takeOperator)
	h.follow(platform.TopicReplicas, h.takeReplicas)
	h.desk = &batch.Desk{
		Host: h.Settings.Host, Boot: h.boot, Book: h.book, Follow: following, Store: h.store, Topics: topics,
		Parts: h.Settings.Parts, RecordSize: h.Settings.RecordSize, State: h.writers[writerKey{topic: topics.State}],
		Write: func(topic gypsum.Topic, part gypsum.Partition) *store.Writer {
			return h.writers[writerKey{topic, part}]
		}, Logger: h.Logger,
	}
	if err := h.desk.Start(); err != nil {
		return nil, err
	}
	h.relay = relay.New()
	h.relay.Crashes = h.desk
	h.relay.Replicas, h.relay.State, h.relay.Home, h.relay.Logger = backends, h.state, h.Settings.Location, h.Logger
	h.runner = runner.New()
	h.runner.Host, h.runner.Boot, h.runner.Desk, h.runner.Engines = h.Settings.Host, h.boot, h.desk, backends
	h.runner.State, h.runner.Logger = h.state, h.Logger
	h.runner.Lease, h.runner.Status = h.Settings.Lease, h.Settings.Status
	h.runner.Near, h.runner.Share = true, h.Settings.CPUShare
	h.runner.StoreAway = func() bool { return h.storeAway() > 0 }
	h.front = &front.Front{
		State: h.state, Relay: h.relay, Desk: h.desk, StoreAway: h.storeAway,
		BodyMemory: h.Settings.Memory / bodyShare, Logger: h.Logger,
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
			Store: h.store, Topic: topic, Part: part, CallSize: h.Settings.CallSize / 2, Logger: h.Logger,
			Producer: string(h.Settings.Host) + "." + strconv.FormatInt(int64(h.boot), 36),
		}
	}
	add(topics.State, 0)
	for part := range gypsum.Partition(h.Settings.Parts) {
		add(topics.Bodies, part)
		add(topics.Texts, part)
	}
}

// follow makes a follower of a topic.
func (h *Host) follow(topic gypsum.Topic, handle func(store.Update)) *store.Follower {
	follower := &store.Follower{Store: h.store, Topic: topic, Handle: handle, Logger: h.Logger}
	h.follows = append(h.follows, follower)
	return follower
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

// announce tells other daemons where this one is, until that is stored.
func (h *Host) announce(ctx context.Context) error {
	if h.Settings.Internal[0] == 0 {
		return nil
	}
	for {
		err := h.desk.Announce(ctx, h.internalAddress(), h.Settings.Location)
		if err == nil || ctx.Err() != nil {
			return ctx.Err()
		}
		h.Logger.Warn("address not stored", "error", err)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(watchInterval):
		}
	}
}

// internalAddress is where other daemons reach this one.
func (h *Host) internalAddress() string {
	return net.JoinHostPort(h.Settings.IP, strconv.Itoa(h.Settings.Internal[0]))
}

// others returns the other daemons.
func (h *Host) others() []detour.Peer {
	records := h.book.Hosts()
	peers := make([]detour.Peer, 0, len(records))
	for _, record := range records {
		peers = append(peers, detour.Peer{Host: record.Host, Address: record.Address, Location: record.Location})
	}
	return peers
}

// watch follows outages of the store.
func (h *Host) watch(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			h.state.Tick(h.storeAway() > 0, now)
			h.relay.Keep(h.state.Now())
		}
	}
}

// storeAway returns for how long the store has not answered, zero if it does.
func (h *Host) storeAway() time.Duration {
	var longest time.Duration
	for _, follower := range h.follows {
		if at, down := follower.Answered(); down && !at.IsZero() {
			longest = max(longest, time.Since(at))
		}
	}
	return longest
}

// takeOperator takes records of operators and trainers.
func (h *Host) takeOperator(update store.Update) {
	for i := range update.Records {
		record, err := platform.DecodeOperator(&update.Records[i])
		switch {
		case err != nil:
			h.Logger.Warn("operator's record passed over", "key", update.Records[i].Key, "offset", update.Records[i].Offset, "error", err)
		case record.Manifest != nil:
			h.state.TakeManifest(record.Manifest)
		default:
			h.state.TakeVersion(record.Version.Model, record.Version.Version)
		}
	}
}

// takeReplicas takes registrations.
func (h *Host) takeReplicas(update store.Update) {
	named := make(map[gypsum.BackendID]bool)
	for i := range update.Records {
		record := &update.Records[i]
		if len(record.Value) == 0 {
			h.state.DropReplica(gypsum.BackendID(record.Key))
			continue
		}
		replica, err := platform.DecodeReplica(record, h.Settings.Regions)
		if err != nil {
			h.Logger.Warn("registration passed over", "key", record.Key, "offset", record.Offset, "error", err)
			h.state.DropReplica(gypsum.BackendID(record.Key))
			continue
		}
		named[replica.ID] = true
		h.state.TakeReplica(replica)
	}
	if update.Whole {
		h.state.KeepOnly(named)
	}
}

// ready returns nil if the host can serve.
func (h *Host) ready() error {
	switch {
	case h.front.Stopping.Load():
		return errStopping
	case h.state.Now().Manifest == nil:
		return errNoConfiguration
	case !h.desk.Follow.Loaded():
		return errNoState
	}
	return nil
}

// servers returns the servers of the process.
func (h *Host) servers() []serverOf {
	metrics := expvar.Handler()
	check := http.NewServeMux()
	check.Handle("/debug/vars", metrics)
	check.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		if err := h.ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	servers := []serverOf{
		newServer(h.Settings.Clients, h.front.Handler()),
		newServer(h.Settings.Ready, check),
	}
	if h.Settings.Internal[0] > 0 {
		inner := http.NewServeMux()
		inner.Handle("/debug/vars", metrics)
		inner.Handle(wire.StoreHandler(h.store.Served()))
		servers = append(servers, newServer(h.internalAddress(), inner))
	}
	return servers
}

// newServer returns a server for one handler.
func newServer(address string, handler http.Handler) *khttp.Server {
	server := khttp.NewServer(khttp.Network("tcp"), khttp.Address(address), khttp.Timeout(0))
	// Without the router, which would clean paths and redirect.
	server.Handler = handler
	server.ReadHeaderTimeout = readHeaderTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = maxHeader
	return server
}

// publishOnce guards the process-wide registry of metrics.
var publishOnce sync.Once

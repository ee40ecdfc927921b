// Package daemon implements the process that the serve command runs: a daemon's core,
// connected to its transports.
package daemon

import (
	"context"
	"expvar"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/adapt"
	"github.com/gypsumhook/gypsum/admin"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/core"
	"github.com/gypsumhook/gypsum/entry"
	"github.com/gypsumhook/gypsum/intake"
	"github.com/gypsumhook/gypsum/plan"
	"github.com/gypsumhook/gypsum/queue"
	"github.com/gypsumhook/gypsum/route"
	"github.com/gypsumhook/gypsum/setup"
	"github.com/gypsumhook/gypsum/wire"
)

// Timeouts of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Parts of what clients may use of the host.
const (
	// Of allParts parts, the ports get these.
	callerParts   = 10
	peerParts     = 5
	operatorParts = 1
	allParts      = 16
	// keyMemoryDivisor limits the memory of idempotency keys, and of the responses that are kept for retries,
	// to 1/keyMemoryDivisor of that of the host.
	keyMemoryDivisor = 8
	// bodyCopies is how many times the bytes of a body count, for what is decoded from it.
	bodyCopies = 3
)

// Daemon is the daemon process of a host. Set the exported fields before Run.
type Daemon struct {
	Settings *setup.Settings
	Logger   *slog.Logger

	core  *core.Core
	entry *entry.Server
	ports []*intake.Port
	drain Drain
}

// Run serves until ctx is done or the process receives SIGTERM or SIGINT, and then until
// the requests in flight have ended, for at most the drain timeout. Neither ctx nor the signal
// cancels them. ctx must end at a signal that comes before Run is called.
func (d *Daemon) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(intake.RuntimeMemoryShare * float64(d.resources().Memory)))
	cleanup := d.createCore()
	defer cleanup()
	coreCtx, stopCore := context.WithCancel(context.WithoutCancel(ctx))
	waitCore := d.core.Start(coreCtx)
	defer func() {
		stopCore()
		waitCore()
	}()
	d.publishMetrics()
	listening, err := d.newServers()
	if err != nil {
		return err
	}
	servers := &Servers{
		Host: d.Settings.Host, Servers: listening, Leave: d.startLeaving,
		StopTimeout: d.Settings.DrainTimeout, Logger: d.Logger,
	}
	if err := servers.Run(ctx); err != nil {
		return err
	}
	d.Logger.Info("stopped")
	return nil
}

// createCore creates the core with its clients and policies. The returned function closes the
// idle connections of the clients.
func (d *Daemon) createCore() (cleanup func()) {
	settings := d.Settings
	client, closeClient := adapt.NewClient()
	dialer, closeDialer := adapt.NewDialer()
	peers, closePeers := wire.NewPeerClient()
	d.core = &core.Core{
		Self: gypsum.Member{
			ID: settings.Host, Address: settings.AdvertisedAddr, Location: settings.Location,
			Incarnation: gypsum.Incarnation(time.Now().UnixMilli()),
		},
		HomeRegion: settings.HomeRegion, Log: adapt.NewLog(client, settings.LogURL), KeyMemory: d.resources().Memory / keyMemoryDivisor,
		HostList: adapt.NewHostList(client, settings.HostsURL), WeightStore: adapt.NewWeightStore(client, settings.WeightsURL),
		Dialer: dialer, Peers: peers, Placer: route.NewAffinityPlacer(), NewCallQueue: queue.NewPriorityQueue,
		Admission: queue.NewDeadlineAdmission(), Scheduler: plan.NewLookaheadScheduler(), Tuning: settings.Tuning, Logger: d.Logger,
	}
	d.entry = &entry.Server{Core: d.core, MaxBody: settings.MaxBody}
	return func() {
		closePeers()
		closeDialer()
		closeClient()
	}
}

// startLeaving runs before the servers stop. It makes the daemon not ready, marks it as leaving
// for other daemons, and then gives the load balancer time to notice.
func (d *Daemon) startLeaving(ctx context.Context) error {
	d.Logger.Info("leaving", "wait", d.Settings.DrainWait)
	d.drain.Begin(time.Now().Add(d.Settings.DrainWait + d.Settings.DrainTimeout))
	d.core.Leave()
	select {
	case <-ctx.Done():
	case <-time.After(d.Settings.DrainWait):
	}
	return nil
}

// newServers returns the servers for callers, for other daemons, and of the operator API and the metrics.
func (d *Daemon) newServers() ([]transport.Server, error) {
	shares := intake.NewShares(d.resources())
	d.ports = []*intake.Port{
		d.newPort("callers", shares.Part(callerParts, allParts)), d.newPort("peers", shares.Part(peerParts, allParts)),
		d.newPort("operators", shares.Part(operatorParts, allParts)),
	}
	// What callers' bodies are decoded to is counted there.
	d.ports[0].Refuse, d.ports[0].BodyCopies = d.entry.RefuseUnread, 1
	peerPath, peerHandler := wire.PeerHandler(d.core)
	operatorPath, operatorHandler := (&admin.Server{Core: d.core}).Handler()
	operators := http.NewServeMux()
	operators.Handle(operatorPath, operatorHandler)
	operators.Handle("/debug/vars", expvar.Handler())
	d.entry.HandleChecks(operators)
	var servers []transport.Server
	for i, served := range []struct {
		address, path string
		handler       http.Handler
		http2         *http.HTTP2Config
	}{
		{d.Settings.CallerAddr, "/", d.drain.Handler(d.entry.Handler()), nil},
		{d.Settings.PeerAddr, peerPath, wire.WithoutCompression(peerHandler), wire.ServerHTTP2Config()},
		{d.Settings.OperatorAddr, "/", wire.WithoutCompression(operators), nil},
	} {
		listener, err := d.ports[i].Listen(served.address)
		if err != nil {
			return nil, err
		}
		server := khttp.NewServer(khttp.Network("tcp"), khttp.Address(served.address), khttp.Timeout(0), khttp.Listener(listener))
		server.HandlePrefix(served.path, served.handler)
		server.Protocols, server.HTTP2 = wire.ServerProtocols(), served.http2
		d.ports[i].Protect(server.Server)
		servers = append(servers, server)
	}
	return servers, nil
}

// resources returns what the daemon may use of its host.
func (d *Daemon) resources() intake.Resources {
	return intake.Resources{Memory: d.Settings.Memory, Descriptors: d.Settings.Descriptors}.WithDefaults()
}

// newPort returns a port with shares of the host.
func (d *Daemon) newPort(name string, shares intake.Shares) *intake.Port {
	return &intake.Port{
		Name: name, Shares: shares, Logger: d.Logger, Bodies: buffer.NewPool(shares.Payload), BodyCopies: bodyCopies,
		Limits: func() gypsum.ClientLimits {
			return gypsum.ClientLimits{MaxHeader: d.Settings.MaxHeader, HeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
		},
	}
}

// publishOnce ensures that the metrics are published once per process, as expvar panics
// on a second publication of a name.
var publishOnce sync.Once

// publishMetrics publishes the daemon's metrics with expvar.
func (d *Daemon) publishMetrics() {
	publishOnce.Do(func() {
		expvar.Publish("gypsumhook", expvar.Func(func() any { return d.currentMetrics() }))
	})
}

// metrics are the published metrics of a daemon.
type metrics struct {
	Revision                gypsum.Revision         `json:"revision"`
	LogUnavailable          bool                    `json:"log_down"`
	LogAppends              int64                   `json:"log_appends"`
	Members                 map[string]int          `json:"members"`
	Calls                   int64                   `json:"calls"`
	Responses               int64                   `json:"answers"`
	Retries                 int64                   `json:"retries"`
	Resumes                 int64                   `json:"resumes"`
	CrossRegionCalls        int64                   `json:"crossings"`
	LiveCrossRegionBytes    gypsum.Bytes            `json:"live_link_bytes"`
	TrainerCrossRegionBytes gypsum.Bytes            `json:"trainer_link_bytes"`
	ControlBytesIn          int64                   `json:"control_bytes_in"`
	ControlBytesOut         int64                   `json:"control_bytes_out"`
	Refusals                map[string]int64        `json:"refusals"`
	BadInput                map[gypsum.Reason]int64 `json:"bad_input"`
	// Ports is what the clients of each port hold.
	Ports map[string]intake.Usage `json:"ports"`
}

func (d *Daemon) currentMetrics() metrics {
	view, stats := d.core.View(), &d.core.Stats
	in, out := d.core.ControlBytes()
	current := metrics{
		LogUnavailable: d.core.LogUnavailable(), LogAppends: d.core.LogAppendCount(), Members: make(map[string]int),
		Calls: stats.Calls.Load(), Responses: stats.Responses.Load(), Retries: stats.Retries.Load(), Resumes: stats.Resumes.Load(),
		CrossRegionCalls: stats.CrossRegionCalls.Load(), LiveCrossRegionBytes: d.core.CrossRegionBytes(gypsum.ClassLive),
		TrainerCrossRegionBytes: d.core.CrossRegionBytes(gypsum.ClassTrainer), Refusals: stats.Refusals.Snapshot(),
		ControlBytesIn: in, ControlBytesOut: out, BadInput: d.entry.ClientErrors(),
		Ports: intake.UsageOf(d.ports),
	}
	if view.Config != nil {
		current.Revision = view.Config.Revision
	}
	for i := range view.LocalMembers {
		current.Members[string(view.LocalMembers[i].State)]++
	}
	return current
}

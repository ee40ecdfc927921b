// Package daemon wires a node to its transports and runs it as a process.
package daemon

import (
	"context"
	"expvar"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/adapt"
	"github.com/gypsumhook/gypsum/admin"
	"github.com/gypsumhook/gypsum/core"
	"github.com/gypsumhook/gypsum/entry"
	"github.com/gypsumhook/gypsum/plan"
	"github.com/gypsumhook/gypsum/queue"
	"github.com/gypsumhook/gypsum/route"
	"github.com/gypsumhook/gypsum/setup"
	"github.com/gypsumhook/gypsum/wire"
)

// Times of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Daemon is one process of the service. Set the exported fields before Run.
type Daemon struct {
	Settings *setup.Settings
	Logger   *slog.Logger

	node  *core.Core
	entry *entry.Entry
}

// Run serves until ctx ends or the process gets SIGTERM or SIGINT, and then
// until the requests in flight have ended. Neither cancels them.
func (d *Daemon) Run(ctx context.Context) error {
	cleanup := d.build()
	defer cleanup()
	nodeCtx, stopNode := context.WithCancel(context.WithoutCancel(ctx))
	waitNode := d.node.Start(nodeCtx)
	defer func() {
		stopNode()
		waitNode()
	}()
	d.publishMetrics()
	callers := d.server(d.Settings.Callers, "/", d.entry.Handler())
	peersPath, peersHandler := wire.Handler(d.node)
	peers := d.server(d.Settings.Peers, peersPath, peersHandler)
	operators := d.operatorsServer()
	app := kratos.New(
		kratos.Name("gypsumhook"), kratos.ID(string(d.Settings.Host)), kratos.Context(context.WithoutCancel(ctx)),
		kratos.Logger(NewKratosLogger(d.Logger)), kratos.Server(callers, peers, operators),
		kratos.StopTimeout(d.Settings.DrainTimeout), kratos.BeforeStop(d.drain),
	)
	stopOnDone := context.AfterFunc(ctx, func() { _ = app.Stop() })
	defer stopOnDone()
	if err := app.Run(); err != nil {
		return fmt.Errorf("run servers: %w", err)
	}
	d.Logger.Info("stopped")
	return nil
}

// build makes the node with its adapters and returns their clean-up.
func (d *Daemon) build() (cleanup func()) {
	settings := d.Settings
	client, closeClient := adapt.NewClient()
	dialer, closeDialer := adapt.NewDialer()
	peers, closePeers := wire.NewPeerClient()
	d.node = &core.Core{
		Self: gypsum.Member{
			ID: settings.Host, Address: settings.Advertised, Location: settings.Location,
			Incarnation: gypsum.Incarnation(time.Now().UnixMilli()),
		},
		HomeRegion: settings.HomeRegion, Log: adapt.NewLog(client, settings.LogURL),
		Hosts: adapt.NewHostList(client, settings.HostsURL), Store: adapt.NewWeightStore(client, settings.WeightsURL),
		Dialer: dialer, Peers: peers, Placer: route.NewAffinity(), NewCallQueue: queue.NewPriority,
		Admission: queue.NewDeadlineAdmission(), Scheduler: plan.NewLookahead(), Tuning: settings.Tuning, Logger: d.Logger,
	}
	d.entry = &entry.Entry{Node: d.node, MaxBody: settings.MaxBody}
	return func() {
		closePeers()
		closeDialer()
		closeClient()
	}
}

// drain takes the daemon out of use before its servers stop: readiness and its
// part in the fleet go first, then the balancer gets time to notice.
func (d *Daemon) drain(ctx context.Context) error {
	d.Logger.Info("leaving", "wait", d.Settings.DrainWait)
	d.node.Leave()
	select {
	case <-ctx.Done():
	case <-time.After(d.Settings.DrainWait):
	}
	return nil
}

// server returns a server for one handler.
func (d *Daemon) server(address, path string, handler http.Handler) *khttp.Server {
	server := khttp.NewServer(khttp.Network("tcp"), khttp.Address(address), khttp.Timeout(0))
	server.HandlePrefix(path, handler)
	server.Protocols = wire.Protocols()
	server.HTTP2 = wire.ServerHTTP2()
	server.ReadHeaderTimeout = readHeaderTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = int(d.Settings.MaxHeader)
	return server
}

// operatorsServer returns the server of the operators' interface and metrics.
func (d *Daemon) operatorsServer() *khttp.Server {
	path, handler := (&admin.Server{Node: d.node}).Handler()
	server := d.server(d.Settings.Operators, path, handler)
	server.Handle("/debug/vars", expvar.Handler())
	return server
}

// publishOnce guards the process-wide registry of metrics.
var publishOnce sync.Once

// publishMetrics publishes the daemon's metrics.
func (d *Daemon) publishMetrics() {
	publishOnce.Do(func() {
		expvar.Publish("gypsumhook", expvar.Func(func() any { return d.metrics() }))
	})
}

// metrics are a daemon's metrics.
type metrics struct {
	Revision          gypsum.Revision         `json:"revision"`
	LogDown           bool                    `json:"log_down"`
	LogAppends        int64                   `json:"log_appends"`
	Members           map[string]int          `json:"members"`
	Calls             int64                   `json:"calls"`
	Answers           int64                   `json:"answers"`
	Retries           int64                   `json:"retries"`
	Resumes           int64                   `json:"resumes"`
	Crossings         int64                   `json:"crossings"`
	LiveLinkBytes     gypsum.Bytes            `json:"live_link_bytes"`
	TrainerLinkBytes  gypsum.Bytes            `json:"trainer_link_bytes"`
	ControlBytesIn    int64                   `json:"control_bytes_in"`
	ControlBytesOut   int64                   `json:"control_bytes_out"`
	RefusalsByOutcome map[string]int64        `json:"refusals"`
	BadInput          map[gypsum.Reason]int64 `json:"bad_input"`
}

// metrics returns the present metrics.
func (d *Daemon) metrics() metrics {
	view, stats := d.node.View(), &d.node.Stats
	in, out := d.node.ControlBytes()
	current := metrics{
		LogDown: d.node.LogUnreachable(), LogAppends: d.node.LogAppends(), Members: make(map[string]int),
		Calls: stats.Calls.Load(), Answers: stats.Responses.Load(), Retries: stats.Retries.Load(), Resumes: stats.Resumes.Load(),
		Crossings: stats.CrossRegionCalls.Load(), LiveLinkBytes: d.node.CrossRegionBytes(gypsum.ClassLive),
		TrainerLinkBytes: d.node.CrossRegionBytes(gypsum.ClassTrainer), RefusalsByOutcome: stats.Refusals.Snapshot(),
		ControlBytesIn: in, ControlBytesOut: out, BadInput: d.entry.BadInput(),
	}
	if view.Config != nil {
		current.Revision = view.Config.Revision
	}
	for i := range view.LocalMembers {
		current.Members[string(view.LocalMembers[i].State)]++
	}
	return current
}

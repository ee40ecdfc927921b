// Package fleet runs the daemons of a deployment in one process, with the in-memory
// stand-ins of package fake, and checks the service's guarantees against what callers,
// trainers, backend servers and the log observed.
package fleet

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/check"
	"github.com/gypsumhook/gypsum/core"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/plan"
	"github.com/gypsumhook/gypsum/queue"
	"github.com/gypsumhook/gypsum/route"
)

// DataCentre is a data centre of a layout, with the numbers of its hosts.
type DataCentre struct {
	Location      gypsum.Location
	Daemons       int
	Engines       int
	PlainServices int
}

// Layout describes a deployment and its speed.
type Layout struct {
	DataCentres []DataCentre
	// LatencyInRegion and LatencyBetweenRegions are the one-way latencies of messages
	// between daemons.
	LatencyInRegion       time.Duration
	LatencyBetweenRegions time.Duration
	// LogLatency is the time of a call of the log.
	LogLatency time.Duration
	// Slots is the number of slots of each engine.
	Slots int
	// TokenTime is the time in which an engine generates one token.
	TokenTime time.Duration
	// PlainServiceTime is the time in which a plain service processes a request.
	PlainServiceTime time.Duration
	// HostListLag is the delay after which changes of the host list become visible.
	HostListLag time.Duration
}

func newLocation(dataCentre, region string) gypsum.Location {
	return gypsum.Location{DataCentre: gypsum.DataCentre(dataCentre), Region: gypsum.Region(region)}
}

// SmallLayout returns a layout of four daemons in three data centres of two regions.
func SmallLayout() Layout {
	return Layout{
		DataCentres: []DataCentre{
			{newLocation("genova", "liguria"), 2, 2, 1},
			{newLocation("la-spezia", "liguria"), 1, 2, 1},
			{newLocation("chioggia", "adriatico"), 1, 2, 1},
		},
		LatencyInRegion: time.Millisecond, LatencyBetweenRegions: 25 * time.Millisecond, LogLatency: 3 * time.Millisecond,
		Slots: 8, TokenTime: 5 * time.Millisecond, PlainServiceTime: 10 * time.Millisecond, HostListLag: 5 * time.Second,
	}
}

// ApprodoLayout returns the layout of the users' deployment at Approdo Ciurme Digitale.
func ApprodoLayout() Layout {
	layout := SmallLayout()
	layout.DataCentres = []DataCentre{
		{newLocation("genova", "liguria"), 4, 3, 1},
		{newLocation("la-spezia", "liguria"), 4, 3, 1},
		{newLocation("chioggia", "adriatico"), 4, 2, 1},
	}
	return layout
}

// AuthorityLayout returns the layout of the users' deployment at the Accra Metropolitan
// Textile Supply Authority.
func AuthorityLayout() Layout {
	layout := SmallLayout()
	layout.LatencyInRegion = 500 * time.Microsecond
	layout.DataCentres = []DataCentre{
		{newLocation("makola", "greater-accra"), 3, 3, 1},
		{newLocation("tema", "greater-accra"), 3, 3, 1},
		{newLocation("adum", "ashanti"), 3, 3, 1},
	}
	return layout
}

// Fleet is a running deployment. Set SetTuning, SetPolicies and Logger before Start. Its
// methods are safe for concurrent use.
type Fleet struct {
	Layout        Layout
	Log           *fake.Log
	Network       *fake.Network
	HostList      *fake.HostList
	WeightStore   *fake.WeightStore
	Executions    *fake.ExecutionCounter
	Engines       map[string]*fake.Engine
	PlainServices map[string]*fake.PlainService
	// SetTuning, if set, changes the times and limits of each daemon before it starts.
	SetTuning func(*core.Tuning)
	// SetPolicies, if set, changes the policies of each daemon before it starts.
	SetPolicies func(*core.Core)
	Logger      *slog.Logger

	mu          sync.Mutex
	actualHosts []gypsum.Host
	daemons     map[gypsum.HostID]*daemon
	changeCount int
	// replacements is the number of daemons started by ReplaceDaemon.
	replacements int
}

// daemon is a running daemon. done is closed when it is killed.
type daemon struct {
	core *core.Core
	log  *fake.LogClient
	stop context.CancelFunc
	wait func()
	done <-chan struct{}
}

// New returns a fleet whose daemons are not started yet.
func New(layout Layout) *Fleet {
	f := &Fleet{
		Layout: layout, Log: fake.NewLog(), Network: fake.NewNetwork(layout.LatencyInRegion, layout.LatencyBetweenRegions),
		HostList: &fake.HostList{Lag: layout.HostListLag}, WeightStore: fake.NewWeightStore(), Executions: fake.NewExecutionCounter(),
		Engines: make(map[string]*fake.Engine), PlainServices: make(map[string]*fake.PlainService),
		daemons: make(map[gypsum.HostID]*daemon), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	f.Log.Latency = layout.LogLatency
	for _, dataCentre := range layout.DataCentres {
		f.addDataCentre(&dataCentre)
	}
	f.HostList.SetHostsWithoutLag(f.actualHosts)
	f.WeightStore.Publish(check.ModelName, 1)
	return f
}

// addDataCentre adds the hosts of a data centre.
func (f *Fleet) addDataCentre(dataCentre *DataCentre) {
	addHosts := func(kind gypsum.HostKind, service gypsum.ServiceName, count int, role string) {
		for i := range count {
			id := fmt.Sprintf("%s-%s-%d", dataCentre.Location.DataCentre, role, i+1)
			f.actualHosts = append(f.actualHosts, gypsum.Host{ID: id, Kind: kind, Location: dataCentre.Location, Address: id, Service: service})
		}
	}
	addHosts(gypsum.HostKindDaemon, "", dataCentre.Daemons, "entry")
	addHosts(gypsum.HostKindModel, check.ModelService, dataCentre.Engines, "engine")
	addHosts(gypsum.HostKindPlain, check.PlainService, dataCentre.PlainServices, "plain")
	for _, host := range f.actualHosts {
		switch host.Kind {
		case gypsum.HostKindModel:
			if f.Engines[host.ID] == nil {
				f.Engines[host.ID] = fake.NewEngine(f.Layout.Slots, f.Layout.TokenTime)
			}
		case gypsum.HostKindPlain:
			if f.PlainServices[host.ID] == nil {
				f.PlainServices[host.ID] = fake.NewPlainService(f.Executions, f.Layout.PlainServiceTime)
			}
		}
	}
}

// ActualHosts returns the current hosts, without the lag of the host list.
func (f *Fleet) ActualHosts() []gypsum.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.actualHosts)
}

// Start starts all daemons, waits until they are ready, creates the services and the
// plan, and waits until all daemons have them. It fails if a daemon rejects the
// configuration or if either wait exceeds waitTimeout.
func (f *Fleet) Start(ctx context.Context) error {
	for _, host := range f.ActualHosts() {
		if host.Kind == gypsum.HostKindDaemon {
			f.StartDaemon(ctx, gypsum.HostID(host.ID))
		}
	}
	if err := f.waitUntil(func() bool { return len(f.ReadyDaemons()) == len(f.LiveDaemons()) }); err != nil {
		return fmt.Errorf("wait for ready daemons: %w", err)
	}
	for _, change := range initialChanges() {
		if _, err := f.ApplyChange(ctx, f.LiveDaemons()[0], change); err != nil {
			return fmt.Errorf("apply initial configuration: %w", err)
		}
	}
	return f.waitUntil(f.isConverged)
}

// isConverged reports whether each live daemon has the initial configuration and knows the
// slots of at least one engine in each data centre.
func (f *Fleet) isConverged() bool {
	for _, id := range f.LiveDaemons() {
		view := f.Core(id).View()
		if view.Config == nil || int(view.Config.Revision) < len(initialChanges()) || len(view.DataCentres[check.ModelService]) < len(f.Layout.DataCentres) {
			return false
		}
		for _, dataCentre := range view.DataCentres[check.ModelService] {
			if dataCentre.Slots < f.Layout.Slots {
				return false
			}
		}
	}
	return true
}

// initialChanges returns the configuration changes that create the services and the plan.
func initialChanges() []*gypsum.Change {
	return []*gypsum.Change{
		{Kind: gypsum.ChangePutService, Name: string(check.ModelService), Service: &gypsum.ServiceSpec{
			Name: check.ModelService, Kind: gypsum.HostKindModel, Model: check.ModelName, DefaultTimeout: 10 * time.Second,
			MaxQueue: 256, CrashLimit: 3, FollowWeights: true, EnforcesFencing: true, MaxConcurrentLoads: 3,
		}},
		{Kind: gypsum.ChangePutService, Name: string(check.PlainService), Service: &gypsum.ServiceSpec{
			Name: check.PlainService, Kind: gypsum.HostKindPlain, DefaultTimeout: 10 * time.Second, MaxQueue: 256, CrashLimit: 3,
		}},
		{Kind: gypsum.ChangePutPlan, Name: string(check.PlanName), Plan: &gypsum.PlanSpec{
			Name: check.PlanName, Service: check.ModelService, Groups: 8, GroupSize: 4, MaxTokens: 64, MaxStaleness: 1, MaxStepsAhead: 1,
			SampleTimeout: 20 * time.Second, Share: 1, IdleWeight: 1, StalenessWeight: 1,
		}},
	}
}

// waitTimeout is the timeout of waitUntil.
const waitTimeout = 30 * time.Second

// waitUntil waits until a condition is true. It returns an error that wraps
// context.DeadlineExceeded after waitTimeout.
func (f *Fleet) waitUntil(condition func() bool) error {
	for range int(waitTimeout / (50 * time.Millisecond)) {
		if condition() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("condition not met within %s: %w", waitTimeout, context.DeadlineExceeded)
}

// ReplaceDaemon starts a new daemon instead of one that was killed, as the platform does, and
// returns its ID.
func (f *Fleet) ReplaceDaemon(ctx context.Context, id gypsum.HostID) gypsum.HostID {
	host, _ := f.findHost(string(id))
	f.mu.Lock()
	f.replacements++
	host.ID = fmt.Sprintf("%s-r%d", id, f.replacements)
	host.Address = host.ID
	f.actualHosts = append(slices.DeleteFunc(f.actualHosts, func(h gypsum.Host) bool { return h.ID == string(id) }), host)
	f.HostList.SetHosts(f.actualHosts)
	f.mu.Unlock()
	f.StartDaemon(ctx, gypsum.HostID(host.ID))
	return gypsum.HostID(host.ID)
}

// DaemonDone returns a channel that is closed when a daemon is killed, or that is closed
// already if it does not run.
func (f *Fleet) DaemonDone(id gypsum.HostID) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d, ok := f.daemons[id]; ok {
		return d.done
	}
	done := make(chan struct{})
	close(done)
	return done
}

// StartDaemon starts the daemon of a host.
func (f *Fleet) StartDaemon(ctx context.Context, id gypsum.HostID) {
	host, _ := f.findHost(string(id))
	log := &fake.LogClient{Log: f.Log, Network: f.Network, Self: id}
	tuning := core.DefaultTuning()
	if f.SetTuning != nil {
		f.SetTuning(&tuning)
	}
	newCore := &core.Core{
		Self: gypsum.Member{
			ID: id, Address: host.Address, Location: host.Location, Incarnation: gypsum.Incarnation(time.Now().UnixMilli()),
		},
		HomeRegion: f.Layout.DataCentres[0].Location.Region, Log: log, HostList: f.HostList, WeightStore: f.WeightStore,
		Dialer: &fake.Dialer{Network: f.Network, Self: id, Engines: f.Engines, PlainServices: f.PlainServices},
		Placer: route.NewAffinityPlacer(), NewCallQueue: queue.NewPriorityQueue, Admission: queue.NewDeadlineAdmission(),
		Scheduler: plan.NewLookaheadScheduler(), Tuning: tuning, Logger: f.Logger.With("host", id),
	}
	if f.SetPolicies != nil {
		f.SetPolicies(newCore)
	}
	newCore.Peers = f.Network.AddDaemon(id, host.Location, newCore)
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	wait := newCore.Start(runCtx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[id] = &daemon{core: newCore, log: log, stop: stop, wait: wait, done: runCtx.Done()}
}

// findHost returns a current host by its ID.
func (f *Fleet) findHost(id string) (gypsum.Host, bool) {
	for _, host := range f.ActualHosts() {
		if host.ID == id {
			return host, true
		}
	}
	return gypsum.Host{}, false
}

// Core returns the core of a daemon, nil if it does not run.
func (f *Fleet) Core(id gypsum.HostID) *core.Core {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d, ok := f.daemons[id]; ok {
		return d.core
	}
	return nil
}

// LiveDaemons returns the running daemons in the order of their IDs.
func (f *Fleet) LiveDaemons() []gypsum.HostID {
	f.mu.Lock()
	defer f.mu.Unlock()
	live := make([]gypsum.HostID, 0, len(f.daemons))
	for id := range f.daemons {
		live = append(live, id)
	}
	slices.Sort(live)
	return live
}

// ReadyDaemons returns the running daemons that report themselves ready, to which the load
// balancer sends calls.
func (f *Fleet) ReadyDaemons() []gypsum.HostID {
	return slices.DeleteFunc(f.LiveDaemons(), func(id gypsum.HostID) bool {
		c := f.Core(id)
		return c == nil || c.CheckReady() != nil
	})
}

// KillDaemon stops a daemon immediately, without a graceful shutdown.
func (f *Fleet) KillDaemon(id gypsum.HostID) {
	f.mu.Lock()
	d, ok := f.daemons[id]
	delete(f.daemons, id)
	f.mu.Unlock()
	if !ok {
		return
	}
	f.Network.Kill(id)
	d.stop()
	d.wait()
}

// SetLogDisconnected disconnects a daemon from the log, or connects it again.
func (f *Fleet) SetLogDisconnected(id gypsum.HostID, disconnected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d, ok := f.daemons[id]; ok {
		d.log.SetDisconnected(disconnected)
	}
}

// Close kills all daemons.
func (f *Fleet) Close() {
	for _, id := range f.LiveDaemons() {
		f.KillDaemon(id)
	}
}

// ApplyChange applies an operator's change through a daemon and returns the new revision.
// Unless the change has a base revision, it is based on the object's revision in force
// there. It returns ErrNotSent if the daemon does not run.
func (f *Fleet) ApplyChange(ctx context.Context, entryHost gypsum.HostID, change *gypsum.Change) (gypsum.Revision, error) {
	entryCore := f.Core(entryHost)
	if entryCore == nil {
		return 0, fmt.Errorf("apply change through %s: %w", entryHost, gypsum.ErrNotSent)
	}
	f.mu.Lock()
	f.changeCount++
	if change.ID == "" {
		change.ID = fmt.Sprintf("change-%d", f.changeCount)
	}
	f.mu.Unlock()
	if change.Operator == "" {
		change.Operator = "operator"
	}
	if current := entryCore.View().Config; current != nil && change.BaseRevision == 0 {
		change.BaseRevision = current.ObjectRevision(change)
	}
	return entryCore.ConfigEditor().ApplyChange(ctx, change)
}

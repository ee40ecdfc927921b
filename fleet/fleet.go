// Package fleet runs the daemons of a deployment in one process, over the
// in-memory stand-ins of package fake, and checks the promises from what
// callers, trainers, backend servers and the log have seen.
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

// Centre is a data centre of a layout.
type Centre struct {
	Location gypsum.Location
	Daemons  int
	Engines  int
	Plains   int
}

// Layout is the shape of a deployment.
type Layout struct {
	Centres []Centre
	Near    time.Duration
	Far     time.Duration
	// LogDelay is the time of one call of the log.
	LogDelay time.Duration
	Slots    int
	// TokenTime is the engines' time for one token.
	TokenTime time.Duration
	PlainTime time.Duration
	ListLag   time.Duration
}

// place returns a location.
func place(centre, region string) gypsum.Location {
	return gypsum.Location{DataCentre: gypsum.DataCentre(centre), Region: gypsum.Region(region)}
}

// Small returns a layout of four daemons in three data centres.
func Small() Layout {
	return Layout{
		Centres: []Centre{
			{place("genova", "liguria"), 2, 2, 1},
			{place("la-spezia", "liguria"), 1, 2, 1},
			{place("chioggia", "adriatico"), 1, 2, 1},
		},
		Near: time.Millisecond, Far: 25 * time.Millisecond, LogDelay: 3 * time.Millisecond,
		Slots: 8, TokenTime: 5 * time.Millisecond, PlainTime: 10 * time.Millisecond, ListLag: 5 * time.Second,
	}
}

// Approdo returns the layout of Approdo Ciurme Digitale.
func Approdo() Layout {
	layout := Small()
	layout.Centres = []Centre{
		{place("genova", "liguria"), 4, 3, 1},
		{place("la-spezia", "liguria"), 4, 3, 1},
		{place("chioggia", "adriatico"), 4, 2, 1},
	}
	return layout
}

// Authority returns the layout of the Accra Metropolitan Textile Supply Authority.
func Authority() Layout {
	layout := Small()
	layout.Near = 500 * time.Microsecond
	layout.Centres = []Centre{
		{place("makola", "greater-accra"), 3, 3, 1},
		{place("tema", "greater-accra"), 3, 3, 1},
		{place("adum", "ashanti"), 3, 3, 1},
	}
	return layout
}

// Fleet is a running deployment. Its methods are safe for concurrent use.
type Fleet struct {
	Layout  Layout
	Log     *fake.Log
	Network *fake.Network
	Hosts   *fake.Hosts
	Store   *fake.Store
	Ledger  *fake.Ledger
	Engines map[string]*fake.Engine
	Plains  map[string]*fake.Plain
	// Tune changes the times and limits of each daemon before it starts.
	Tune func(*core.Tuning)
	// Policy changes the policies of each daemon before it starts.
	Policy func(*core.Core)
	Logger *slog.Logger

	mu      sync.Mutex
	listed  []gypsum.Host
	daemons map[gypsum.HostID]*daemon
	changes int
	// Replaced counts the daemons that took another's place.
	replaced int
}

// daemon is one running daemon.
type daemon struct {
	node *core.Core
	log  *fake.GatedLog
	stop context.CancelFunc
	wait func()
	died <-chan struct{}
}

// New returns a fleet that is not started yet.
func New(layout Layout) *Fleet {
	f := &Fleet{
		Layout: layout, Log: fake.NewLog(), Network: fake.NewNetwork(layout.Near, layout.Far),
		Hosts: &fake.Hosts{Lag: layout.ListLag}, Store: fake.NewStore(), Ledger: fake.NewLedger(),
		Engines: make(map[string]*fake.Engine), Plains: make(map[string]*fake.Plain),
		daemons: make(map[gypsum.HostID]*daemon), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	f.Log.Delay = layout.LogDelay
	for _, centre := range layout.Centres {
		f.addCentre(&centre)
	}
	f.Hosts.Show(f.listed)
	f.Store.Publish(check.Model, 1)
	return f
}

// addCentre adds the hosts of a data centre.
func (f *Fleet) addCentre(centre *Centre) {
	add := func(kind gypsum.HostKind, service gypsum.ServiceName, count int, word string) {
		for number := range count {
			id := fmt.Sprintf("%s-%s-%d", centre.Location.DataCentre, word, number+1)
			f.listed = append(f.listed, gypsum.Host{ID: id, Kind: kind, Location: centre.Location, Address: id, Service: service})
		}
	}
	add(gypsum.KindDaemon, "", centre.Daemons, "entry")
	add(gypsum.KindModel, check.ModelService, centre.Engines, "engine")
	add(gypsum.KindPlain, check.PlainService, centre.Plains, "plain")
	for _, host := range f.listed {
		switch host.Kind {
		case gypsum.KindModel:
			if f.Engines[host.ID] == nil {
				f.Engines[host.ID] = fake.NewEngine(f.Layout.Slots, f.Layout.TokenTime)
			}
		case gypsum.KindPlain:
			if f.Plains[host.ID] == nil {
				f.Plains[host.ID] = fake.NewPlain(f.Ledger, f.Layout.PlainTime)
			}
		}
	}
}

// Listed returns the hosts as they truly are, without the list's lag.
func (f *Fleet) Listed() []gypsum.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.listed)
}

// Start starts all daemons, waits until they are ready, and makes the services
// and the plan.
func (f *Fleet) Start(ctx context.Context) error {
	for _, host := range f.Listed() {
		if host.Kind == gypsum.KindDaemon {
			f.StartDaemon(ctx, gypsum.HostID(host.ID))
		}
	}
	if err := f.await(func() bool { return len(f.Ready()) == len(f.Live()) }); err != nil {
		return fmt.Errorf("daemons are not ready: %w", err)
	}
	for _, change := range baseChanges() {
		if _, err := f.Change(ctx, f.Live()[0], change); err != nil {
			return fmt.Errorf("configure: %w", err)
		}
	}
	return f.await(f.open)
}

// open tells whether each live daemon has the base configuration and reports
// of its backend servers.
func (f *Fleet) open() bool {
	for _, id := range f.Live() {
		view := f.Node(id).View()
		if view.Config == nil || int(view.Config.Revision) < len(baseChanges()) || len(view.Centres[check.ModelService]) < len(f.Layout.Centres) {
			return false
		}
		for _, centre := range view.Centres[check.ModelService] {
			if centre.Slots < f.Layout.Slots {
				return false
			}
		}
	}
	return true
}

// baseChanges returns the changes that make the services and the plan.
func baseChanges() []*gypsum.Change {
	return []*gypsum.Change{
		{Kind: gypsum.ChangePutService, Name: string(check.ModelService), Service: &gypsum.ServiceSpec{
			Name: check.ModelService, Kind: gypsum.KindModel, Model: check.Model, DefaultTimeout: 10 * time.Second,
			MaxQueue: 256, CrashLimit: 3, FollowWeights: true, EnforcesFencing: true, MaxConcurrentLoads: 3,
		}},
		{Kind: gypsum.ChangePutService, Name: string(check.PlainService), Service: &gypsum.ServiceSpec{
			Name: check.PlainService, Kind: gypsum.KindPlain, DefaultTimeout: 10 * time.Second, MaxQueue: 256, CrashLimit: 3,
		}},
		{Kind: gypsum.ChangePutPlan, Name: string(check.PlanName), Plan: &gypsum.PlanSpec{
			Name: check.PlanName, Service: check.ModelService, Groups: 8, GroupSize: 4, MaxTokens: 64, MaxStaleness: 1, MaxStepsAhead: 1,
			SampleTimeout: 20 * time.Second, Share: 1, IdleWeight: 1, StalenessWeight: 1,
		}},
	}
}

// awaitTimeout bounds the wait for a state of the fleet.
const awaitTimeout = 30 * time.Second

// await waits until a condition holds.
func (f *Fleet) await(holds func() bool) error {
	for range int(awaitTimeout / (50 * time.Millisecond)) {
		if holds() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("not within %s: %w", awaitTimeout, context.DeadlineExceeded)
}

// Replace starts a new daemon in the place of one that was killed, as the
// platform does, and returns its name.
func (f *Fleet) Replace(ctx context.Context, id gypsum.HostID) gypsum.HostID {
	host, _ := f.host(string(id))
	f.mu.Lock()
	f.replaced++
	host.ID = fmt.Sprintf("%s-r%d", id, f.replaced)
	host.Address = host.ID
	f.listed = append(slices.DeleteFunc(f.listed, func(h gypsum.Host) bool { return h.ID == string(id) }), host)
	f.Hosts.Set(f.listed)
	f.mu.Unlock()
	f.StartDaemon(ctx, gypsum.HostID(host.ID))
	return gypsum.HostID(host.ID)
}

// Died is closed when a daemon is killed.
func (f *Fleet) Died(id gypsum.HostID) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if running, ok := f.daemons[id]; ok {
		return running.died
	}
	died := make(chan struct{})
	close(died)
	return died
}

// StartDaemon starts a daemon of the layout.
func (f *Fleet) StartDaemon(ctx context.Context, id gypsum.HostID) {
	host, _ := f.host(string(id))
	log := &fake.GatedLog{Log: f.Log, Network: f.Network, Self: id}
	tuning := core.DefaultTuning()
	if f.Tune != nil {
		f.Tune(&tuning)
	}
	started := &core.Core{
		Self: gypsum.Member{
			ID: id, Address: host.Address, Location: host.Location, Incarnation: gypsum.Incarnation(time.Now().UnixMilli()),
		},
		HomeRegion: f.Layout.Centres[0].Location.Region, Log: log, Hosts: f.Hosts, Store: f.Store,
		Dialer: &fake.Dialer{Network: f.Network, Self: id, Engines: f.Engines, Plains: f.Plains},
		Placer: route.NewAffinity(), NewCallQueue: queue.NewPriority, Admission: queue.NewDeadlineAdmission(),
		Scheduler: plan.NewLookahead(), Tuning: tuning, Logger: f.Logger.With("host", id),
	}
	if f.Policy != nil {
		f.Policy(started)
	}
	started.Peers = f.Network.Join(id, host.Location, started)
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	wait := started.Start(runCtx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[id] = &daemon{node: started, log: log, stop: stop, wait: wait, died: runCtx.Done()}
}

// host returns a host of the layout.
func (f *Fleet) host(id string) (gypsum.Host, bool) {
	for _, host := range f.Listed() {
		if host.ID == id {
			return host, true
		}
	}
	return gypsum.Host{}, false
}

// Node returns a running daemon's node, nil if it does not run.
func (f *Fleet) Node(id gypsum.HostID) *core.Core {
	f.mu.Lock()
	defer f.mu.Unlock()
	if running, ok := f.daemons[id]; ok {
		return running.node
	}
	return nil
}

// Live returns the running daemons, by name.
func (f *Fleet) Live() []gypsum.HostID {
	f.mu.Lock()
	defer f.mu.Unlock()
	live := make([]gypsum.HostID, 0, len(f.daemons))
	for id := range f.daemons {
		live = append(live, id)
	}
	slices.Sort(live)
	return live
}

// Ready returns the running daemons that the balancer would send calls to.
func (f *Fleet) Ready() []gypsum.HostID {
	return slices.DeleteFunc(f.Live(), func(id gypsum.HostID) bool {
		running := f.Node(id)
		return running == nil || running.Ready() != nil
	})
}

// Kill ends a daemon at once.
func (f *Fleet) Kill(id gypsum.HostID) {
	f.mu.Lock()
	running, ok := f.daemons[id]
	delete(f.daemons, id)
	f.mu.Unlock()
	if !ok {
		return
	}
	f.Network.Kill(id)
	running.stop()
	running.wait()
}

// CutLog breaks a daemon's way to the log, or mends it.
func (f *Fleet) CutLog(id gypsum.HostID, broken bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if running, ok := f.daemons[id]; ok {
		running.log.Cut(broken)
	}
}

// Close ends all daemons.
func (f *Fleet) Close() {
	for _, id := range f.Live() {
		f.Kill(id)
	}
}

// Change makes an operator's change through a daemon, based on the revision in
// force there.
func (f *Fleet) Change(ctx context.Context, via gypsum.HostID, change *gypsum.Change) (gypsum.Revision, error) {
	running := f.Node(via)
	if running == nil {
		return 0, fmt.Errorf("change via %s: %w", via, gypsum.ErrNotSent)
	}
	f.mu.Lock()
	f.changes++
	if change.ID == "" {
		change.ID = fmt.Sprintf("change-%d", f.changes)
	}
	f.mu.Unlock()
	if change.Operator == "" {
		change.Operator = "operator"
	}
	if current := running.View().Config; current != nil && change.BaseRevision == 0 {
		change.BaseRevision = current.Base(change)
	}
	return running.ConfigEditor().Apply(ctx, change)
}

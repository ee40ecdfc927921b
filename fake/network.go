package fake

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Network connects daemons of one process, with latency and faults.
type Network struct {
	// Near is the one-way latency within a region, Far between regions.
	Near, Far time.Duration

	mu      sync.Mutex
	servers map[gypsum.HostID]gypsum.PeerServer
	places  map[gypsum.HostID]gypsum.Location
	dead    map[gypsum.HostID]chan struct{}
	since   map[gypsum.HostID]time.Time
	killed  map[gypsum.HostID]bool
	frozen  map[gypsum.HostID]chan struct{}
	cut     map[[2]gypsum.HostID]bool
	calls   map[gypsum.HostID]int64
}

// NewNetwork returns a network without daemons.
func NewNetwork(near, far time.Duration) *Network {
	return &Network{
		Near: near, Far: far,
		servers: make(map[gypsum.HostID]gypsum.PeerServer), places: make(map[gypsum.HostID]gypsum.Location),
		dead: make(map[gypsum.HostID]chan struct{}), killed: make(map[gypsum.HostID]bool), since: make(map[gypsum.HostID]time.Time), frozen: make(map[gypsum.HostID]chan struct{}),
		cut: make(map[[2]gypsum.HostID]bool), calls: make(map[gypsum.HostID]int64),
	}
}

// Join adds a daemon and returns its way to the others.
func (w *Network) Join(id gypsum.HostID, place gypsum.Location, server gypsum.PeerServer) gypsum.PeerClient {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[id], w.places[id], w.dead[id] = server, place, make(chan struct{})
	return &peers{network: w, self: id}
}

// Kill ends a daemon: calls to it fail, calls in progress break off.
func (w *Network) Kill(id gypsum.HostID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.servers, id)
	w.killed[id] = true
	close(w.dead[id])
	if frozen, ok := w.frozen[id]; ok {
		close(frozen)
		delete(w.frozen, id)
	}
}

// Freeze stops a daemon's exchanges until Thaw.
func (w *Network) Freeze(id gypsum.HostID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.frozen[id]; !ok {
		w.frozen[id], w.since[id] = make(chan struct{}), time.Now()
	}
}

// Thaw lets a frozen daemon go on.
func (w *Network) Thaw(id gypsum.HostID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if frozen, ok := w.frozen[id]; ok {
		close(frozen)
		delete(w.frozen, id)
	}
}

// Cut breaks the way between two daemons, or mends it.
func (w *Network) Cut(a, b gypsum.HostID, broken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]gypsum.HostID{a, b}] = broken
	w.cut[[2]gypsum.HostID{b, a}] = broken
}

// CutRegions breaks the way between all daemons of two regions, or mends it.
func (w *Network) CutRegions(a, b gypsum.Region, broken bool) {
	for from, place := range w.places {
		for to, other := range w.places {
			if place.Region == a && other.Region == b {
				w.Cut(from, to, broken)
			}
		}
	}
}

// Calls returns the number of exchanges that a daemon began.
func (w *Network) Calls(id gypsum.HostID) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls[id]
}

// Frozen returns since when a daemon is frozen, false if it is not.
func (w *Network) Frozen(id gypsum.HostID) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, frozen := w.frozen[id]
	return w.since[id], frozen
}

// Gate waits while a daemon is frozen and fails once it was killed.
func (w *Network) Gate(ctx context.Context, id gypsum.HostID) error {
	for {
		w.mu.Lock()
		frozen, killed := w.frozen[id], w.killed[id]
		w.mu.Unlock()
		if killed {
			return fmt.Errorf("%s was killed: %w", id, gypsum.ErrIncompleteResponse)
		}
		if frozen == nil {
			return ctx.Err()
		}
		select {
		case <-frozen:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// latency returns the one-way latency between two daemons.
func (w *Network) latency(from, to gypsum.HostID) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.places[from].Region != w.places[to].Region {
		return w.Far
	}
	return w.Near
}

// broken tells whether the way between two daemons is cut.
func (w *Network) broken(from, to gypsum.HostID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[[2]gypsum.HostID{from, to}]
}

// pass takes a message from one daemon to another.
func (w *Network) pass(ctx context.Context, from, to gypsum.HostID) error {
	wait := w.latency(from, to)
	if w.broken(from, to) {
		<-ctx.Done()
		return ctx.Err()
	}
	if err := w.Gate(ctx, from); err != nil {
		return err
	}
	if err := sleep(ctx, wait); err != nil {
		return err
	}
	return w.Gate(ctx, to)
}

// peers is one daemon's way to the others.
type peers struct {
	network *Network
	self    gypsum.HostID
}

// server returns the other side of a call and a channel that is closed when
// either side dies.
func (p *peers) server(to gypsum.HostID) (gypsum.PeerServer, chan struct{}, error) {
	w := p.network
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[p.self]++
	server, ok := w.servers[to]
	if !ok {
		return nil, nil, fmt.Errorf("connect to %s: %w", to, gypsum.ErrNotSent)
	}
	return server, w.dead[to], nil
}

// call runs an exchange on the other side, which breaks off if that dies.
func (p *peers) call(ctx context.Context, to gypsum.HostID, run func(context.Context, gypsum.PeerServer) error) error {
	server, dead, err := p.server(to)
	if err != nil {
		return err
	}
	if err := p.network.pass(ctx, p.self, to); err != nil {
		return fmt.Errorf("send to %s: %w", to, err)
	}
	runCtx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- run(runCtx, server) }()
	select {
	case err = <-done:
		cancel()
	case <-dead:
		cancel()
		<-done
		return fmt.Errorf("%s died: %w", to, gypsum.ErrIncompleteResponse)
	case <-ctx.Done():
		cancel()
		return ctx.Err()
	}
	if passErr := p.network.pass(ctx, to, p.self); passErr != nil {
		return fmt.Errorf("hear from %s: %w", to, passErr)
	}
	return err
}

// inFlight is an event on its way back, and when it arrives.
type inFlight struct {
	event *gypsum.Event
	due   time.Time
}

// eventsInFlight bounds the events of one call that are on their way.
const eventsInFlight = 256

// Submit hands a call to another daemon. Events travel one behind the other,
// so that the latency does not slow their sender.
func (p *peers) Submit(ctx context.Context, to gypsum.Member, call *gypsum.Call, sink gypsum.Sink) error {
	copied := *call
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := make(chan inFlight, eventsInFlight)
	ended := make(chan error, 1)
	go func() {
		defer close(events)
		ended <- p.call(ctx, to.ID, func(ctx context.Context, server gypsum.PeerServer) error {
			return server.HandleSubmit(ctx, &copied, func(event *gypsum.Event) error {
				if err := p.network.Gate(ctx, to.ID); err != nil {
					return err
				}
				select {
				case events <- inFlight{event, time.Now().Add(p.network.latency(to.ID, p.self))}:
					return nil
				case <-ctx.Done():
					return ctx.Err()
				}
			})
		})
	}()
	err := p.deliver(ctx, to.ID, events, sink)
	cancel()
	for range events {
		continue // The sender is told by ctx.
	}
	if callErr := <-ended; err == nil {
		return callErr
	}
	return err
}

// deliver hands events to the sink when they arrive.
func (p *peers) deliver(ctx context.Context, from gypsum.HostID, events <-chan inFlight, sink gypsum.Sink) error {
	for {
		select {
		case next, ok := <-events:
			if !ok {
				return nil
			}
			if err := sleep(ctx, time.Until(next.due)); err != nil {
				return err
			}
			if p.network.broken(from, p.self) {
				<-ctx.Done()
				return ctx.Err()
			}
			if err := p.network.Gate(ctx, p.self); err != nil {
				return err
			}
			if err := sink(next.event); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Gossip asks another daemon for news.
func (p *peers) Gossip(ctx context.Context, to gypsum.Member, gossip *gypsum.GossipRequest) (*gypsum.GossipResponse, error) {
	var answer *gypsum.GossipResponse
	err := p.call(ctx, to.ID, func(ctx context.Context, server gypsum.PeerServer) error {
		var err error
		answer, err = server.HandleGossip(ctx, gossip)
		return err
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// Pull hands a trainer's pull to another daemon.
func (p *peers) Pull(ctx context.Context, to gypsum.Member, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
	var answer *gypsum.PullResponse
	err := p.call(ctx, to.ID, func(ctx context.Context, server gypsum.PeerServer) error {
		var err error
		answer, err = server.HandlePull(ctx, pull)
		return err
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// Dialer gives one daemon its clients of the backend servers in memory. They
// stand still while the daemon is frozen.
type Dialer struct {
	Network *Network
	Self    gypsum.HostID
	Engines map[string]*Engine
	Plains  map[string]*Plain
}

// Engine returns the client of an engine.
func (d *Dialer) Engine(host gypsum.Host) gypsum.Engine {
	return &gatedEngine{dialer: d, engine: d.Engines[host.ID]}
}

// PlainService returns the client of a plain service's replica.
func (d *Dialer) PlainService(host gypsum.Host) gypsum.PlainService {
	return &gatedPlain{dialer: d, plain: d.Plains[host.ID]}
}

// gatedEngine is an engine as a daemon that can be frozen sees it.
type gatedEngine struct {
	dialer *Dialer
	engine *Engine
}

// Generate is part of gypsum.Engine.
func (g *gatedEngine) Generate(ctx context.Context, generation *gypsum.Generation, sink func(*gypsum.Chunk) error) error {
	if err := g.dialer.Network.Gate(ctx, g.dialer.Self); err != nil {
		return err
	}
	return g.engine.Generate(ctx, generation, func(chunk *gypsum.Chunk) error {
		if err := g.dialer.Network.Gate(ctx, g.dialer.Self); err != nil {
			return err
		}
		return sink(chunk)
	})
}

// FetchLoad is part of gypsum.Engine.
func (g *gatedEngine) FetchLoad(ctx context.Context) (*gypsum.LoadReport, error) {
	if err := g.dialer.Network.Gate(ctx, g.dialer.Self); err != nil {
		return nil, err
	}
	return g.engine.FetchLoad(ctx)
}

// SendLoadOrder is part of gypsum.Engine.
func (g *gatedEngine) SendLoadOrder(ctx context.Context, order gypsum.LoadOrder) error {
	if err := g.dialer.Network.Gate(ctx, g.dialer.Self); err != nil {
		return err
	}
	return g.engine.SendLoadOrder(ctx, order)
}

// gatedPlain is a plain service as a daemon that can be frozen sees it.
type gatedPlain struct {
	dialer *Dialer
	plain  *Plain
}

// Do is part of gypsum.PlainService.
func (g *gatedPlain) Do(ctx context.Context, request *gypsum.PlainRequest) (*gypsum.PlainResponse, error) {
	if err := g.dialer.Network.Gate(ctx, g.dialer.Self); err != nil {
		return nil, err
	}
	response, err := g.plain.Do(ctx, request)
	if gateErr := g.dialer.Network.Gate(ctx, g.dialer.Self); gateErr != nil {
		return nil, gateErr
	}
	return response, err
}

// FetchLoad is part of gypsum.PlainService.
func (g *gatedPlain) FetchLoad(ctx context.Context) (*gypsum.LoadReport, error) {
	if err := g.dialer.Network.Gate(ctx, g.dialer.Self); err != nil {
		return nil, err
	}
	return g.plain.FetchLoad(ctx)
}

// GatedLog is a log as a daemon that can be frozen or cut off sees it.
type GatedLog struct {
	Log     gypsum.Log
	Network *Network
	Self    gypsum.HostID

	mu  sync.Mutex
	cut bool
}

// Cut breaks the daemon's way to the log, or mends it.
func (g *GatedLog) Cut(broken bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = broken
}

// enter waits while the daemon is frozen and fails if it is cut off.
func (g *GatedLog) enter(ctx context.Context) error {
	g.mu.Lock()
	broken := g.cut
	g.mu.Unlock()
	if broken {
		<-ctx.Done()
		return fmt.Errorf("reach log: %w", gypsum.ErrLogUnavailable)
	}
	return g.Network.Gate(ctx, g.Self)
}

// Append is part of gypsum.Log.
func (g *GatedLog) Append(ctx context.Context, stream gypsum.StreamName, records [][]byte) (gypsum.Offset, error) {
	if err := g.enter(ctx); err != nil {
		return 0, err
	}
	offset, err := g.Log.Append(ctx, stream, records)
	if gateErr := g.Network.Gate(context.WithoutCancel(ctx), g.Self); gateErr != nil {
		return 0, gateErr
	}
	return offset, err
}

// Read is part of gypsum.Log.
func (g *GatedLog) Read(ctx context.Context, read gypsum.LogRead) (*gypsum.LogPage, error) {
	if err := g.enter(ctx); err != nil {
		return nil, err
	}
	page, err := g.Log.Read(ctx, read)
	if gateErr := g.Network.Gate(context.WithoutCancel(ctx), g.Self); gateErr != nil {
		return nil, gateErr
	}
	return page, err
}

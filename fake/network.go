package fake

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Network connects the daemons of one process. It simulates latency and faults.
type Network struct {
	// LatencyInRegion is the one-way latency within a region, LatencyBetweenRegions that
	// between regions.
	LatencyInRegion, LatencyBetweenRegions time.Duration

	mu        sync.Mutex
	servers   map[gypsum.HostID]gypsum.PeerServer
	locations map[gypsum.HostID]gypsum.Location
	// done has a channel for each daemon, which Kill closes.
	done        map[gypsum.HostID]chan struct{}
	frozenSince map[gypsum.HostID]time.Time
	killed      map[gypsum.HostID]bool
	// frozen has a channel for each frozen daemon, which Unfreeze or Kill closes.
	frozen map[gypsum.HostID]chan struct{}
	// disconnectedPairs has each pair of disconnected daemons in both orders.
	disconnectedPairs map[[2]gypsum.HostID]bool
	callCounts        map[gypsum.HostID]int64
}

// NewNetwork returns a network without daemons.
func NewNetwork(inRegion, betweenRegions time.Duration) *Network {
	return &Network{
		LatencyInRegion: inRegion, LatencyBetweenRegions: betweenRegions,
		servers: make(map[gypsum.HostID]gypsum.PeerServer), locations: make(map[gypsum.HostID]gypsum.Location),
		done: make(map[gypsum.HostID]chan struct{}), killed: make(map[gypsum.HostID]bool), frozenSince: make(map[gypsum.HostID]time.Time), frozen: make(map[gypsum.HostID]chan struct{}),
		disconnectedPairs: make(map[[2]gypsum.HostID]bool), callCounts: make(map[gypsum.HostID]int64),
	}
}

// AddDaemon adds a daemon and returns its client of the other daemons.
func (n *Network) AddDaemon(id gypsum.HostID, location gypsum.Location, server gypsum.PeerServer) gypsum.PeerClient {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[id], n.locations[id], n.done[id] = server, location, make(chan struct{})
	return &peerClient{network: n, self: id}
}

// Kill removes a daemon as a crash does: new calls to it fail and those in progress are
// aborted.
func (n *Network) Kill(id gypsum.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.servers, id)
	n.killed[id] = true
	close(n.done[id])
	if frozen, ok := n.frozen[id]; ok {
		close(frozen)
		delete(n.frozen, id)
	}
}

// Freeze stops all communication of a daemon until Unfreeze.
func (n *Network) Freeze(id gypsum.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.frozen[id]; !ok {
		n.frozen[id], n.frozenSince[id] = make(chan struct{}), time.Now()
	}
}

// Unfreeze resumes a frozen daemon.
func (n *Network) Unfreeze(id gypsum.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if frozen, ok := n.frozen[id]; ok {
		close(frozen)
		delete(n.frozen, id)
	}
}

// SetDisconnected disconnects two daemons in both directions, or connects them again.
// Messages between disconnected daemons get no response.
func (n *Network) SetDisconnected(a, b gypsum.HostID, disconnected bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnectedPairs[[2]gypsum.HostID{a, b}] = disconnected
	n.disconnectedPairs[[2]gypsum.HostID{b, a}] = disconnected
}

// SetRegionsDisconnected disconnects all daemons of two regions from each other, or
// connects them again.
func (n *Network) SetRegionsDisconnected(a, b gypsum.Region, disconnected bool) {
	for from, location := range n.locations {
		for to, otherLocation := range n.locations {
			if location.Region == a && otherLocation.Region == b {
				n.SetDisconnected(from, to, disconnected)
			}
		}
	}
}

// CallCount returns the number of calls that a daemon has made to others, including those
// that failed.
func (n *Network) CallCount(id gypsum.HostID) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.callCounts[id]
}

// FrozenSince reports whether a daemon is frozen, and since when.
func (n *Network) FrozenSince(id gypsum.HostID) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, frozen := n.frozen[id]
	return n.frozenSince[id], frozen
}

// AwaitRunning waits while a daemon is frozen. It returns ErrIncompleteResponse if the
// daemon was killed, and the error of ctx if that ends first.
func (n *Network) AwaitRunning(ctx context.Context, id gypsum.HostID) error {
	for {
		n.mu.Lock()
		frozen, killed := n.frozen[id], n.killed[id]
		n.mu.Unlock()
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

// oneWayLatency returns the one-way latency between two daemons.
func (n *Network) oneWayLatency(from, to gypsum.HostID) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.locations[from].Region != n.locations[to].Region {
		return n.LatencyBetweenRegions
	}
	return n.LatencyInRegion
}

// isDisconnected reports whether two daemons are disconnected.
func (n *Network) isDisconnected(from, to gypsum.HostID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.disconnectedPairs[[2]gypsum.HostID{from, to}]
}

// simulateTransmission waits for the time that a message from one daemon to another takes.
// It hangs until ctx ends if the daemons are disconnected, and waits while either is
// frozen.
func (n *Network) simulateTransmission(ctx context.Context, from, to gypsum.HostID) error {
	latency := n.oneWayLatency(from, to)
	if n.isDisconnected(from, to) {
		<-ctx.Done()
		return ctx.Err()
	}
	if err := n.AwaitRunning(ctx, from); err != nil {
		return err
	}
	if err := sleep(ctx, latency); err != nil {
		return err
	}
	return n.AwaitRunning(ctx, to)
}

// peerClient is one daemon's client of the others. It implements gypsum.PeerClient.
type peerClient struct {
	network *Network
	self    gypsum.HostID
}

// lookupServer returns the server of a daemon and a channel that is closed when that daemon is
// killed. It counts the call. It returns ErrNotSent if there is no such daemon.
func (p *peerClient) lookupServer(to gypsum.HostID) (gypsum.PeerServer, chan struct{}, error) {
	n := p.network
	n.mu.Lock()
	defer n.mu.Unlock()
	n.callCounts[p.self]++
	server, ok := n.servers[to]
	if !ok {
		return nil, nil, fmt.Errorf("connect to %s: %w", to, gypsum.ErrNotSent)
	}
	return server, n.done[to], nil
}

// callPeer runs handle on another daemon. It returns ErrNotSent if there is no such daemon, and
// ErrIncompleteResponse if that daemon is killed meanwhile.
func (p *peerClient) callPeer(ctx context.Context, to gypsum.HostID, handle func(context.Context, gypsum.PeerServer) error) error {
	server, done, err := p.lookupServer(to)
	if err != nil {
		return err
	}
	if err := p.network.simulateTransmission(ctx, p.self, to); err != nil {
		return fmt.Errorf("send to %s: %w", to, err)
	}
	handleCtx, cancel := context.WithCancel(ctx)
	handled := make(chan error, 1)
	go func() { handled <- handle(handleCtx, server) }()
	select {
	case err = <-handled:
		cancel()
	case <-done:
		cancel()
		<-handled
		return fmt.Errorf("%s was killed: %w", to, gypsum.ErrIncompleteResponse)
	case <-ctx.Done():
		cancel()
		return ctx.Err()
	}
	if transmitErr := p.network.simulateTransmission(ctx, to, p.self); transmitErr != nil {
		return fmt.Errorf("receive from %s: %w", to, transmitErr)
	}
	return err
}

// delayedEvent is an event in transit to the caller and the time of its arrival.
type delayedEvent struct {
	event   *gypsum.Event
	arrival time.Time
}

// maxEventsInFlight is the maximum number of events of one call in transit.
const maxEventsInFlight = 256

// Submit implements gypsum.PeerClient. Events are pipelined, so that the latency does not
// slow their sender.
func (p *peerClient) Submit(ctx context.Context, peer gypsum.Member, call *gypsum.Call, sink gypsum.Sink) error {
	callCopy := *call
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// events is never closed: a cancelled call returns before its handler, which may still send.
	events := make(chan delayedEvent, maxEventsInFlight)
	ended, allSent := make(chan error, 1), make(chan struct{})
	go func() {
		defer close(allSent)
		ended <- p.callPeer(ctx, peer.ID, func(ctx context.Context, server gypsum.PeerServer) error {
			return server.HandleSubmit(ctx, &callCopy, func(event *gypsum.Event) error {
				if err := p.network.AwaitRunning(ctx, peer.ID); err != nil {
					return err
				}
				select {
				case events <- delayedEvent{event, time.Now().Add(p.network.oneWayLatency(peer.ID, p.self))}:
					return nil
				case <-ctx.Done():
					return ctx.Err()
				}
			})
		})
	}()
	err := p.deliverEvents(ctx, peer.ID, events, allSent, sink)
	cancel()
	if callErr := <-ended; err == nil {
		return callErr
	}
	return err
}

// deliverEvents passes events to the sink as they arrive, until all have been sent and passed on.
func (p *peerClient) deliverEvents(ctx context.Context, from gypsum.HostID, events <-chan delayedEvent, allSent <-chan struct{}, sink gypsum.Sink) error {
	for {
		select {
		case next := <-events:
			if err := p.deliverEvent(ctx, from, next, sink); err != nil {
				return err
			}
		case <-allSent:
			for {
				select {
				case next := <-events:
					if err := p.deliverEvent(ctx, from, next, sink); err != nil {
						return err
					}
				default:
					return nil
				}
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// deliverEvent passes an event to the sink once it arrives.
func (p *peerClient) deliverEvent(ctx context.Context, from gypsum.HostID, next delayedEvent, sink gypsum.Sink) error {
	if err := sleep(ctx, time.Until(next.arrival)); err != nil {
		return err
	}
	if p.network.isDisconnected(from, p.self) {
		<-ctx.Done()
		return ctx.Err()
	}
	if err := p.network.AwaitRunning(ctx, p.self); err != nil {
		return err
	}
	return sink(next.event)
}

// Gossip implements gypsum.PeerClient.
func (p *peerClient) Gossip(ctx context.Context, peer gypsum.Member, req *gypsum.GossipRequest) (*gypsum.GossipResponse, error) {
	var resp *gypsum.GossipResponse
	err := p.callPeer(ctx, peer.ID, func(ctx context.Context, server gypsum.PeerServer) error {
		var err error
		resp, err = server.HandleGossip(ctx, req)
		return err
	})
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// Pull implements gypsum.PeerClient.
func (p *peerClient) Pull(ctx context.Context, peer gypsum.Member, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
	var resp *gypsum.PullResponse
	err := p.callPeer(ctx, peer.ID, func(ctx context.Context, server gypsum.PeerServer) error {
		var err error
		resp, err = server.HandlePull(ctx, pull)
		return err
	})
	if err != nil {
		return nil, err
	}
	return resp, nil
}

package intake

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
)

const (
	// connBytes is the memory of a connection: its buffers, its stack and its share of the server.
	connBytes = 20 << 10
	// http2Window is how much of bodies an HTTP/2 connection may send before handlers read it, and
	// http2ConnBytes the memory of such a connection with it.
	http2Window    = 128 << 10
	http2ConnBytes = connBytes + 32<<10 + http2Window
	// http2Streams is the number of requests that an HTTP/2 connection of a client may have at work.
	http2Streams = 250
	// logInterval is the shortest time between two logs of a shortage.
	logInterval = time.Second
	// busyWait is how long a new connection waits for one of those that are all busy to end, and a request for
	// one of those at work.
	busyWait = 100 * time.Millisecond
	// leaveWait is how long a request waits for clients to leave that were chosen to make room for it.
	// They take a few milliseconds in most cases.
	leaveWait = 500 * time.Millisecond
	// recheckTime is how often a client that waits for others looks whether one of these may be ended by now.
	recheckTime = 25 * time.Millisecond
	// newGrace is the time in which a new connection sends its first head in most cases, firstGrace the
	// time in which the server reads one that came with it.
	newGrace   = 100 * time.Millisecond
	firstGrace = 10 * time.Millisecond
	// refusedDivisor and minRefused bound the connections beyond a port's share that are about to end.
	refusedDivisor = 8
	minRefused     = 16
	// endedDivisor is the part of the connections that end with their requests at work for new ones.
	endedDivisor = 8
)

// Limits of servers whose ports have no Limits.
const (
	defaultMaxHead       gypsum.Bytes = 64 << 10
	defaultHeaderTimeout              = 10 * time.Second
	defaultIdleTimeout                = 2 * time.Minute
)

// The timeouts of http.Server, above which Limits have no effect. Each port sets the deadlines in force.
const (
	maxHeaderTimeout = 10 * time.Minute
	maxIdleTimeout   = 24 * time.Hour
	// maxHead is the limit of http.Server.
	maxHead = 16 << 20
)

// Port bounds what the clients of one server hold. Set the exported fields before use.
type Port struct {
	// Name names the port in metrics.
	Name   string
	Shares Shares
	// Limits returns the limits in force for clients: the size of a head, the time in which it must
	// come, and how long a connection may stay idle. Nil means the defaults.
	Limits func() gypsum.ClientLimits
	// Bodies bounds the memory of bodies. Without it, the handler does.
	Bodies *buffer.Pool
	// BodyCopies is how many times the bytes of a body count in Bodies, for what a handler decodes from
	// it, 0 for once.
	BodyCopies int
	// Refuse writes the refusal of a request that there is no room for. Nil means a plain one.
	Refuse func(w http.ResponseWriter, r *http.Request, retryAfter time.Duration)
	// Logger logs once in logInterval that clients were refused or ended, nil for no logs.
	Logger *slog.Logger
	Stats  Stats

	mu sync.Mutex
	// loggedAt is when that was logged last.
	loggedAt time.Time
	// memory is the share of heads that arrive and of requests at work.
	memory   share
	conns    map[*conn]struct{}
	requests map[*request]struct{}
	// connMemory is the memory of the open connections, leavingConns that of those that were chosen
	// to make room.
	connMemory   gypsum.Bytes
	leavingConns int
	lastNumber   int64
	// atWork is the number of requests that were not chosen to make room.
	atWork int
	// left is signalled when a connection is closed, and when a client has left that was chosen to make
	// room.
	left *sync.Cond
	// freed is signalled when a request has ended, for the one of waiting requests that has waited longest.
	freed   *sync.Cond
	waiting int
	// isWakePending means that a timer signals left and freed within recheckTime.
	isWakePending bool
	// places holds an element for each large body that is at work, if the port counts bodies.
	places chan struct{}
}

// Stats counts what a port did.
type Stats struct {
	// Connections is the number of open connections, Requests that of requests at work, and Memory
	// what heads and requests hold.
	Connections atomic.Int64
	Requests    atomic.Int64
	Memory      atomic.Int64
	// Refused is the number of requests that were refused, HeadsTooLarge that of heads above the
	// limit, Evicted that of clients that made room for others, and NotAccepted that of connections
	// that were closed at once.
	Refused       atomic.Int64
	HeadsTooLarge atomic.Int64
	Evicted       atomic.Int64
	NotAccepted   atomic.Int64
}

// Usage is what the clients of a port hold and what was done about it, for metrics.
type Usage struct {
	Connections   int64 `json:"connections"`
	Requests      int64 `json:"requests"`
	MemoryBytes   int64 `json:"memory_bytes"`
	Refused       int64 `json:"refused"`
	HeadsTooLarge int64 `json:"heads_too_large"`
	Evicted       int64 `json:"evicted"`
	NotAccepted   int64 `json:"not_accepted"`
}

// Usage returns what the clients hold now.
func (p *Port) Usage() Usage {
	return Usage{
		Connections: p.Stats.Connections.Load(), Requests: p.Stats.Requests.Load(), MemoryBytes: p.Stats.Memory.Load(), Refused: p.Stats.Refused.Load(),
		HeadsTooLarge: p.Stats.HeadsTooLarge.Load(), Evicted: p.Stats.Evicted.Load(), NotAccepted: p.Stats.NotAccepted.Load(),
	}
}

// UsageOf returns the usages of ports by their names.
func UsageOf(ports []*Port) map[string]Usage {
	usages := make(map[string]Usage, len(ports))
	for _, port := range ports {
		usages[port.Name] = port.Usage()
	}
	return usages
}

// logShortage logs that there is no room for all clients, if that was not logged for logInterval. The
// caller holds mu.
func (p *Port) logShortage(now time.Time) {
	if p.Logger == nil || now.Sub(p.loggedAt) < logInterval {
		return
	}
	p.loggedAt = now
	usage := p.Usage()
	p.Logger.Warn("no room for all clients", "port", p.Name, "connections", usage.Connections, "requests", usage.Requests, "memory_bytes", usage.MemoryBytes,
		"refused", usage.Refused, "evicted", usage.Evicted, "not_accepted", usage.NotAccepted)
}

// Listen listens on an address and returns a listener that counts its connections. The server of the
// listener must have been passed to Protect.
func (p *Port) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", p.Name, err)
	}
	return &portListener{Listener: listener, port: p}, nil
}

// Protect sets what a server needs so that the port bounds its clients. Its handler must be set before.
func (p *Port) Protect(server *http.Server) {
	p.mu.Lock()
	p.memory = share{limit: p.Shares.Requests, maxCount: p.Shares.MaxRequests + p.Shares.MaxConns}
	p.freed = sync.NewCond(&p.mu)
	p.left, p.places = sync.NewCond(&p.mu), make(chan struct{}, largeBodies)
	p.conns, p.requests = make(map[*conn]struct{}), make(map[*request]struct{})
	p.mu.Unlock()
	server.Handler = &handler{port: p, next: server.Handler}
	server.ConnState = setPhase
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = maxHeaderTimeout, maxIdleTimeout, maxHead
	if server.Protocols != nil && server.Protocols.UnencryptedHTTP2() {
		server.IdleTimeout, server.MaxHeaderBytes = p.limits().IdleTimeout, int(p.limits().MaxHeader)
		if server.HTTP2 == nil {
			server.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: http2Streams}
		}
		server.HTTP2.MaxReceiveBufferPerConnection, server.HTTP2.MaxReceiveBufferPerStream = http2Window, http2Window
	}
}

// limits returns the limits in force.
func (p *Port) limits() gypsum.ClientLimits {
	if p.Limits != nil {
		return p.Limits()
	}
	return gypsum.ClientLimits{MaxHeader: defaultMaxHead, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
}

// portListener accepts the connections of a port.
type portListener struct {
	net.Listener
	port *Port
}

// Accept implements net.Listener.
func (l *portListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.port.open(accepted); c != nil {
			return c, nil
		}
		l.port.Stats.NotAccepted.Add(1)
		_ = accepted.Close()
	}
}

// open adds a connection. If there is no room for it, another makes room. It returns nil if none can.
func (p *Port) open(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, port: p, memory: connBytes, openedAt: time.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	hasEnded := false
	for !p.makeRoomForConn(connBytes, nil, time.Now()) {
		waited := time.Since(c.openedAt)
		if p.leavingConns == 0 && waited >= busyWait && (waited >= leaveWait || !p.hasPipelining()) {
			return nil
		}
		if p.leavingConns == 0 && !hasEnded {
			hasEnded = true
			p.endBusiest()
		}
		// Further connections wait in the backlog of the listener.
		p.wait(p.left)
	}
	c.openedAt = time.Now()
	p.lastNumber++
	c.state.number = p.lastNumber
	p.conns[c] = struct{}{}
	p.connMemory += connBytes
	p.Stats.Connections.Store(int64(len(p.conns)))
	return c
}

// endBusiest makes the requests at work the last ones of the connections whose clients send further requests
// instead of waiting and, without any, of those that have sent most requests: a part of all, as one new
// connection after the other waits. The caller holds mu.
func (p *Port) endBusiest() {
	var busy, pipelining []*conn
	for c := range p.conns {
		switch {
		case c.state.phase != phaseBusy || c.isLast:
		case c.state.pipelines:
			pipelining = append(pipelining, c)
		default:
			busy = append(busy, c)
		}
	}
	ending := pipelining
	if len(ending) == 0 {
		slices.SortFunc(busy, func(a, b *conn) int { return b.state.requests - a.state.requests })
		ending = busy[:min(len(busy), max(1, p.Shares.MaxConns/endedDivisor))]
	}
	for _, c := range ending {
		c.isLast = true
	}
}

// hasPipelining reports whether a request at work is one of a client that sends further requests instead of
// waiting. The caller holds mu.
func (p *Port) hasPipelining() bool {
	for r := range p.requests {
		if r.conn != nil && r.conn.state.pipelines && !r.leaving {
			return true
		}
	}
	return false
}

// makeRoomForConn ends connections until there is room for more memory of connections, and for one more
// connection unless grown is set. It reports false if there is none. The caller holds mu.
func (p *Port) makeRoomForConn(more gypsum.Bytes, grown *conn, now time.Time) bool {
	open, maxConns := len(p.conns), p.Shares.MaxConns
	if grown == nil {
		open++
	}
	// What the leaving connections hold is free soon, but not yet.
	memory := p.connMemory + more
	spareConns, spareMemory := max(minRefused, maxConns/refusedDivisor), max(minRefused*connBytes, p.Shares.Connections/refusedDivisor)
	if open > maxConns+spareConns || memory > p.Shares.Connections+spareMemory {
		return false
	}
	for open-p.leavingConns > maxConns || memory-gypsum.Bytes(p.leavingConns)*connBytes > p.Shares.Connections {
		occupants, ends := p.occupants(now, grown)
		index := chooseForConnection(occupants)
		if index < 0 {
			return false
		}
		ends[index]()
		p.logShortage(now)
	}
	return true
}

// occupants returns the connections and requests that may make room, and what ends each of them. The
// caller holds mu.
func (p *Port) occupants(now time.Time, except *conn) (occupants []occupant, ends []func()) {
	occupants, ends = make([]occupant, 0, len(p.conns)), make([]func(), 0, len(p.conns))
	for c := range p.conns {
		if c == except {
			continue
		}
		state := c.state
		switch state.phase {
		case phaseBusy:
			state.stalledFor = c.stalledFor(now)
		case phaseNew:
			state.age = now.Sub(c.openedAt)
			state.isUnread = state.held == 0 && state.age < newGrace && c.hasArrived()
		}
		occupants, ends = append(occupants, state), append(ends, c.evict)
	}
	return occupants, ends
}

// makeRoomForRequest ends requests whose clients keep them waiting until there is room for one more. It
// reports false if there is none. The caller holds mu.
func (p *Port) makeRoomForRequest(now time.Time) bool {
	for p.atWork >= p.Shares.MaxRequests {
		occupants, ends := p.requestOccupants(now)
		index := chooseForConnection(occupants)
		if index < 0 {
			return false
		}
		ends[index]()
		p.logShortage(now)
	}
	return true
}

// requestOccupants is occupants for the requests at work. The caller holds mu.
func (p *Port) requestOccupants(now time.Time) (occupants []occupant, ends []func()) {
	for r := range p.requests {
		occupants = append(occupants, occupant{phase: phaseBusy, held: r.held, stalledFor: r.stalledFor(now), leaving: r.leaving})
		ends = append(ends, r.evict)
	}
	return occupants, ends
}

// wait waits until left or freed is signalled, for recheckTime. The caller holds mu.
func (p *Port) wait(changed *sync.Cond) {
	if !p.isWakePending {
		p.isWakePending = true
		time.AfterFunc(recheckTime, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.isWakePending = false
			p.left.Broadcast()
			p.freed.Broadcast()
		})
	}
	changed.Wait()
}

// awaitRoom tries to make room. While just clients that are leaving stand in the way, it tries again when one
// has left, for leaveWait. It reports false if there is no room. The caller holds mu.
func (p *Port) awaitRoom(try func(now time.Time) verdict) bool {
	start := time.Now()
	room := try(start)
	for room == fitsLater && time.Since(start) < leaveWait {
		p.wait(p.left)
		room = try(time.Now())
	}
	return room == fitsNow
}

// makeRoom ends clients until a holder may grow, and returns whether it may. It ends none if just those that
// are leaving stand in the way. A large holder is made room by large ones alone. asker is the connection
// whose head grows, nil for none. The caller holds mu.
func (p *Port) makeRoom(from, to gypsum.Bytes, asker *conn, now time.Time) verdict {
	for {
		if room := p.memory.fits(from, to); room != fitsNot {
			return room
		}
		occupants, ends := p.occupants(now, nil)
		requests, requestEnds := p.requestOccupants(now)
		occupants, ends = append(occupants, requests...), append(ends, requestEnds...)
		own := -1
		for i := range occupants {
			o := &occupants[i]
			// Nothing is gained from those that hold nothing.
			o.leaving = o.leaving || o.held == 0 || (p.memory.isLarge(to) && !p.memory.isLarge(o.held))
		}
		if asker != nil {
			own = len(occupants)
			occupants, ends = append(occupants, occupant{phase: phaseNew, held: to}), append(ends, nil)
		}
		index := chooseForMemory(occupants)
		p.logShortage(now)
		if index < 0 || index == own {
			return fitsNot
		}
		ends[index]()
	}
}

// changeMemory changes the memory of a holder. The caller holds mu.
func (p *Port) changeMemory(from, to gypsum.Bytes) {
	p.memory.change(from, to)
	p.Stats.Memory.Store(int64(p.memory.used + p.memory.leaving))
}

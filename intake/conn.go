package intake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/gypsumhook/gypsum"
)

// Times and sizes of a connection.
const (
	// headSlack is how much larger than the limit a head may be, as for http.Server.
	headSlack gypsum.Bytes = 4 << 10
	// headerTimeSlack is the time that a head may be on its way.
	headerTimeSlack = time.Second
	// lateReadTime is how long a read after the deadline may take. It gets the bytes that came in time
	// while the process was suspended or busy, so that it does not wait for the client.
	lateReadTime = time.Second
	// writeStallTime is how long a client may read nothing. Bytes in the buffers of the kernel count
	// as read.
	writeStallTime = 10 * time.Second
	// writeChunkBytes is the size of one write, for which writeStallTime applies.
	writeChunkBytes = 64 << 10
	// pipelineGrace is StallGrace for a client that sends further requests instead of reading.
	pipelineGrace = 50 * time.Millisecond
	// discardTime is how long a client may take to send the rest of the body of a request that has
	// its response.
	discardTime = 5 * time.Second
	// refusalWriteTime and lingerTime bound the write of a refusal and the wait for the client to read
	// it, lingerBytes is what is discarded meanwhile.
	refusalWriteTime = 100 * time.Millisecond
	lingerTime       = 500 * time.Millisecond
	lingerBytes      = 256 << 10
)

// past is a deadline that has expired.
var past = time.Unix(1, 0)

var (
	// errHeadTooLarge means that a head is larger than the limit.
	errHeadTooLarge = errors.New("head is too large")
	// errHeadTimeout means that a head did not come in time.
	errHeadTimeout = errors.New("head did not come in time")
	// errNoRoom means that a connection was ended to make room for others.
	errNoRoom = errors.New("no room")
)

// connKey is the context key of the connection of a request.
type connKey struct{}

// conn is an accepted connection. It counts the head of a request while it arrives.
type conn struct {
	net.Conn
	port     *Port
	openedAt time.Time

	// scan is used by the goroutine that reads. usedLateRead means that a read was tried after the
	// deadline of the head.
	scan         headScanner
	usedLateRead bool

	// The port's mutex guards state, memory, isClosed and isLast. memory is the memory of the connection itself.
	state    occupant
	memory   gypsum.Bytes
	isClosed bool
	// isLast means that the request at work is the last one of the connection.
	isLast bool
	// isCounting means that bytes of a head were read that do not count yet.
	isCounting atomic.Bool
	// isRefused means that the connection has got a refusal. The server writes nothing more.
	isRefused atomic.Bool
	// writingSince is when the write in progress began, in nanoseconds, 0 for none.
	writingSince atomic.Int64
	// request is the request at work of an HTTP/1 connection, nil if its handler has returned.
	request atomic.Pointer[request]
	// refusing is the number of requests of an HTTP/2 connection that are being refused.
	refusing atomic.Int64

	writeMu       sync.Mutex
	writeDeadline time.Time
}

// setPhase is the hook of http.Server for changes of the states of connections.
func setPhase(netConn net.Conn, state http.ConnState) {
	c, ok := netConn.(*conn)
	if !ok {
		return
	}
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	switch state {
	case http.StateActive:
		c.state.phase = phaseBusy
		c.state.pipelines = c.state.pipelines || (c.state.requests > 0 && !c.scan.isWhole && !c.scan.isHTTP2)
		c.stay()
	case http.StateIdle:
		c.state.phase = phaseIdle
		c.state.requests++
		c.state.isWhole = false
		c.hold(0)
		if !c.scan.isHTTP2 {
			// The connection waits for a head, so nothing is being read.
			c.scan, c.usedLateRead = headScanner{}, false
		}
	}
}

// hold changes what the head of the connection holds. The caller holds the port's mutex.
func (c *conn) hold(size gypsum.Bytes) {
	if c.state.leaving {
		c.port.memory.leaving += size - c.state.held
		c.port.left.Broadcast()
	} else {
		c.port.changeMemory(c.state.held, size)
	}
	c.state.held = size
}

// isWaiting reports whether the connection waits for a head.
func (c *conn) isWaiting() bool {
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	return c.state.phase != phaseBusy
}

// isLeaving reports whether the connection was chosen to make room.
func (c *conn) isLeaving() bool {
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	return c.state.leaving
}

// endsNow reports whether the request at work is the last one of the connection.
func (c *conn) endsNow() bool {
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	return c.isLast
}

// hasArrived reports whether bytes of the client have arrived that the server has not read or not counted yet.
func (c *conn) hasArrived() bool {
	if c.isCounting.Load() {
		return true
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	arrived := 0
	err = raw.Control(func(fd uintptr) { arrived, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return err == nil && arrived > 0
}

// unreadFor returns how long the client has not read what is being written, 0 if nothing is. One that
// sends requests instead is stalled soon. The caller holds the port's mutex.
func (c *conn) unreadFor(now time.Time) time.Duration {
	since := c.writingSince.Load()
	if since == 0 {
		return 0
	}
	unread := now.Sub(time.Unix(0, since))
	if c.state.pipelines && unread > pipelineGrace {
		unread = max(unread, StallGrace)
	}
	return unread
}

// stalledFor returns how long the client has kept the connection waiting.
func (c *conn) stalledFor(now time.Time) time.Duration {
	if r := c.request.Load(); r != nil {
		return r.stalledFor(now)
	}
	return c.unreadFor(now)
}

// evict ends the connection, to make room. The caller holds the port's mutex.
func (c *conn) evict() {
	held := c.state.held
	c.hold(0)
	c.state.leaving, c.state.held = true, held
	c.port.memory.leaving += held
	c.port.leavingConns++
	c.port.Stats.Evicted.Add(1)
	// Its head may wait for room.
	c.port.left.Broadcast()
	if c.state.phase == phaseBusy {
		_ = c.Conn.SetDeadline(past)
		return
	}
	_ = c.Conn.SetReadDeadline(past)
}

// stay takes back that the connection was chosen to make room, since a whole head had come. It ends after
// this request. The caller holds the port's mutex.
func (c *conn) stay() {
	if !c.state.leaving {
		return
	}
	held := c.state.held
	c.hold(0)
	c.state.leaving, c.isLast = false, true
	c.port.leavingConns--
	c.port.left.Broadcast()
	c.hold(held)
	_ = c.Conn.SetReadDeadline(time.Time{})
}

// Read implements net.Conn.
func (c *conn) Read(content []byte) (int, error) {
	switch {
	case c.isRefused.Load():
		return 0, net.ErrClosed
	case c.scan.isHTTP2:
		// The handlers of requests that were read, which are not counted yet, run before more is read.
		runtime.Gosched()
		return c.Conn.Read(content)
	case !c.isWaiting():
		return c.Conn.Read(content)
	}
	n, err := c.Conn.Read(content)
	c.isCounting.Store(n > 0)
	defer c.isCounting.Store(false)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.usedLateRead && !c.scan.isWhole && c.hasArrived() {
		c.usedLateRead = true
		_ = c.Conn.SetReadDeadline(time.Now().Add(lateReadTime))
		n, err = c.Conn.Read(content)
	}
	if n > 0 && !c.scan.isWhole {
		c.scan.add(content[:n])
		if refusal := c.countHead(); refusal != nil {
			c.refuse(refusal)
			return 0, refusal
		}
	}
	switch {
	case err == nil || c.scan.isWhole:
	case c.isLeaving():
		c.refuse(errNoRoom)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse(errHeadTimeout)
	}
	return n, err
}

// countHead counts what has arrived of a head. The error is errHeadTooLarge or errNoRoom.
func (c *conn) countHead() error {
	p := c.port
	limit := p.limits().MaxHeader + headSlack
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.scan.isHTTP2 {
		if !p.makeRoomForConn(http2ConnBytes-c.memory, c, time.Now()) {
			return net.ErrClosed
		}
		p.connMemory += http2ConnBytes - c.memory
		c.memory = http2ConnBytes
		return nil
	}
	if c.scan.size > limit {
		p.Stats.HeadsTooLarge.Add(1)
		return errHeadTooLarge
	}
	size := c.scan.memory()
	ok := p.awaitRoom(func(now time.Time) verdict {
		// A head that came whole is served, as the last one.
		if c.state.leaving && !c.scan.isWhole && (c.state.phase != phaseIdle || c.state.held > 0) {
			return fitsNot
		}
		return p.makeRoom(c.state.held, size, c, now)
	})
	if !ok {
		p.Stats.Refused.Add(1)
		return errNoRoom
	}
	c.hold(size)
	c.state.isWhole = c.scan.isWhole
	return nil
}

// refusals are the responses to heads that did not come whole. Nothing is done with their requests.
var refusals = map[error]string{
	errHeadTooLarge: "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: 22\r\n\r\nthe head is too large\n",
	errHeadTimeout:  "HTTP/1.1 408 Request Timeout\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: 30\r\n\r\nthe head did not come in time\n",
	errNoRoom:       "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 29\r\n\r\nno memory for the request now\n",
}

// refuse writes the refusal of a head that did not come whole. A client without a request gets none.
func (c *conn) refuse(reason error) {
	c.port.mu.Lock()
	c.state.phase = phaseRefused
	c.hold(0)
	c.port.mu.Unlock()
	response, ok := refusals[reason]
	if !ok || c.scan.size == 0 || !c.isRefused.CompareAndSwap(false, true) {
		return
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	if _, err := io.WriteString(c.Conn, response); err != nil || reason != errHeadTooLarge {
		return
	}
	// A close with unread bytes would reset the connection before the client reads the response.
	if tcp, ok := c.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
}

// Write implements net.Conn. It fails if the client reads nothing for writeStallTime.
func (c *conn) Write(content []byte) (int, error) {
	if c.isRefused.Load() {
		return 0, net.ErrClosed
	}
	defer c.writingSince.Store(0)
	written := 0
	for {
		now := time.Now()
		c.writingSince.Store(now.UnixNano())
		c.extendWriteDeadline(now)
		n, err := c.Conn.Write(content[written:min(len(content), written+writeChunkBytes)])
		written += n
		if err != nil || written == len(content) {
			return written, err
		}
	}
}

// extendWriteDeadline sets the deadline of one write, unless the server has set an earlier one.
func (c *conn) extendWriteDeadline(now time.Time) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	deadline := now.Add(writeStallTime)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
		deadline = c.writeDeadline
	}
	_ = c.Conn.SetWriteDeadline(deadline)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(deadline time.Time) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.writeDeadline = deadline
	return c.Conn.SetWriteDeadline(deadline)
}

// SetReadDeadline implements net.Conn. While a head is awaited, the limits in force set the deadline.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	if c.scan.isHTTP2 || (!deadline.IsZero() && deadline.Before(time.Now())) {
		return c.Conn.SetReadDeadline(deadline)
	}
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	switch {
	case c.state.phase == phaseBusy && deadline.IsZero() && c.request.Load() == nil:
		// The rest of a body is discarded.
		deadline = time.Now().Add(discardTime)
	case c.state.phase == phaseBusy, deadline.IsZero():
	case c.state.leaving:
		deadline = past
	case c.state.phase == phaseIdle && c.scan.size == 0:
		deadline = earlier(deadline, time.Now().Add(c.port.limits().IdleTimeout))
	default:
		deadline = earlier(deadline, time.Now().Add(c.port.limits().HeaderTimeout+headerTimeSlack))
	}
	return c.Conn.SetReadDeadline(deadline)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}
	return c.SetWriteDeadline(deadline)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	p := c.port
	p.mu.Lock()
	if !c.isClosed {
		c.isClosed = true
		c.hold(0)
		if c.state.leaving {
			p.leavingConns--
		}
		delete(p.conns, c)
		p.connMemory -= c.memory
		p.left.Broadcast()
		p.Stats.Connections.Store(int64(len(p.conns)))
	}
	p.mu.Unlock()
	return c.Conn.Close()
}

package intake

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
)

// refusalRetryAfter is the retry delay of a request that there is no room for.
const refusalRetryAfter = time.Second

// maxRefusing is the number of requests of an HTTP/2 connection that may be in refusal at a time. A
// client that does not take the refusals loses the connection.
const maxRefusing = 32

// NotAcceptedHeader is set in the response to a request that was refused before anything was done with
// it.
const NotAcceptedHeader = "Gypsumhook-Not-Accepted"

// ErrNoMemory is the error of a body that there is no memory for.
var ErrNoMemory = errors.New("no memory for the body")

// handler counts the requests at work.
type handler struct {
	port *Port
	next http.Handler
}

// request is a request at work.
type request struct {
	port *Port
	// The port's mutex guards held and leaving.
	held    gypsum.Bytes
	leaving bool
	conn    *conn
	// abort ends the read of the body.
	abort    func()
	pace     Pace
	response *responseWriter
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := h.port
	response := newResponseWriter(w, r)
	admitted := &request{port: p, abort: func() { _ = response.controller.SetReadDeadline(past) }, response: response}
	admitted.conn, _ = r.Context().Value(connKey{}).(*conn)
	if !p.admit(admitted, requestMemory(r), r.ProtoMajor == 1) {
		p.Stats.Refused.Add(1)
		h.refuse(w, r, admitted.conn)
		return
	}
	defer p.release(admitted)
	if r.ProtoMajor == 1 && admitted.conn != nil && admitted.conn.endsNow() {
		w.Header().Set("Connection", "close")
	}
	if p.Bodies != nil {
		response.holder = p.Bodies.Open("", p.Bodies.Usage().Limit, nil, time.Now())
		defer response.holder.Close()
		r = r.WithContext(buffer.NewContext(r.Context(), response.holder))
	}
	if r.Body != nil && r.Body != http.NoBody {
		body := &countedBody{ReadCloser: r.Body, request: admitted, holder: response.holder}
		if body.holder != nil {
			body.holder.Abortable(admitted.abort, time.Now())
		}
		defer body.leavePlace()
		r.Body = body
	}
	if !response.isStream && response.holder == nil {
		// The connection tells what is not read.
		h.next.ServeHTTP(w, r)
		return
	}
	h.next.ServeHTTP(response, r)
	if response.isStream {
		// Without this, the server would write the rest after the request has ended here.
		_ = response.FlushError()
	}
}

// refuse refuses a request that there is no room for.
func (h *handler) refuse(w http.ResponseWriter, r *http.Request, c *conn) {
	if r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
		if h.port.Refuse != nil {
			h.port.Refuse(w, r, refusalRetryAfter)
			return
		}
		w.Header().Set(NotAcceptedHeader, "1")
		w.Header().Set("Retry-After", strconv.Itoa(int(refusalRetryAfter.Seconds())))
		http.Error(w, "no room for the request now", http.StatusServiceUnavailable)
		return
	}
	// A refused request does not count, so it must not wait for the client to take a body, and its
	// header is not needed any more.
	r.Header = nil
	if c != nil {
		defer c.refusing.Add(-1)
		if c.refusing.Add(1) > maxRefusing {
			_ = c.Conn.SetDeadline(past)
		}
	}
	w.Header().Set(NotAcceptedHeader, "1")
	w.Header().Set("Retry-After", strconv.Itoa(int(refusalRetryAfter.Seconds())))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// admit counts a request of a size. If it is the only one of its connection, its head counts as part of
// it. It reports false if there is no room.
func (p *Port) admit(r *request, size gypsum.Bytes, isOnly bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The head of a request that waits counts as that of its connection. On one that is shared it would not.
	if r.conn == nil || !isOnly {
		if now := time.Now(); !p.makeRoomForRequest(now) || p.makeRoom(0, size, nil, now) != fitsNow {
			return false
		}
	} else if !p.awaitTurn(r.conn) || !p.awaitRoom(func(now time.Time) verdict { return p.exchangeHead(r.conn, size, now) }) {
		return false
	}
	r.held = size
	p.changeMemory(0, size)
	p.requests[r] = struct{}{}
	p.atWork++
	p.Stats.Requests.Store(int64(len(p.requests)))
	if r.conn != nil && isOnly {
		r.conn.request.Store(r)
	}
	return true
}

// exchangeHead makes room for a request in place of its head, which does not count any more if it fits. The
// caller holds mu.
func (p *Port) exchangeHead(c *conn, size gypsum.Bytes, now time.Time) verdict {
	head := c.state.held
	c.hold(0)
	room := fitsNot
	if p.makeRoomForRequest(now) {
		room = p.makeRoom(0, size, nil, now)
	}
	if room == fitsLater && head > 0 {
		c.hold(head)
	}
	return room
}

// awaitTurn waits until fewer requests than the port may have are at work, in the order of arrival, for busyWait.
// While some are those of clients that do not read, it waits for leaveWait, as they can be ended soon. A client
// that sends further requests instead of waiting for responses does not wait here. The caller holds mu.
func (p *Port) awaitTurn(c *conn) bool {
	start := time.Now()
	for isFirst := true; (isFirst && p.waiting > 0) || !p.makeRoomForRequest(time.Now()); isFirst = false {
		waited := time.Since(start)
		if c.state.pipelines || waited >= leaveWait || (waited >= busyWait && !p.hasPipelining()) {
			return false
		}
		p.waiting++
		p.wait(p.freed)
		p.waiting--
	}
	return true
}

// release ends a request.
func (p *Port) release(r *request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.leaving {
		p.memory.leaving -= r.held
		p.left.Broadcast()
	} else {
		p.changeMemory(r.held, 0)
		p.atWork--
		p.freed.Signal()
	}
	delete(p.requests, r)
	p.Stats.Requests.Store(int64(len(p.requests)))
	if r.conn != nil {
		r.conn.request.CompareAndSwap(r, nil)
	}
}

// stalledFor returns how long the client has been late with the body or has not read the response.
func (r *request) stalledFor(now time.Time) time.Duration {
	stalled := max(r.pace.behindFor(now), r.response.unreadFor(now))
	if r.conn != nil {
		stalled = max(stalled, r.conn.unreadFor(now))
	}
	return stalled
}

// evict ends the request, to make room: the read of its body or, if its client does not read, its
// connection. The caller holds the port's mutex.
func (r *request) evict() {
	r.port.changeMemory(r.held, 0)
	r.port.atWork--
	r.leaving = true
	r.port.memory.leaving += r.held
	r.port.Stats.Evicted.Add(1)
	now := time.Now()
	switch {
	case r.conn != nil && r.conn.unreadFor(now) > 0:
		_ = r.conn.Conn.SetDeadline(past)
	case r.response.unreadFor(now) > 0:
		r.response.abort()
	default:
		r.abort()
	}
}

// countedBody is the body of a request at work.
type countedBody struct {
	io.ReadCloser
	request *request
	// holder counts the body, nil if the handler does.
	holder *buffer.Holder
	size   gypsum.Bytes
	// counted is the part of the body that counts in holder.
	counted gypsum.Bytes
	// isLarge means that the body has one of the places for large ones.
	isLarge bool
}

// Large bodies of a port whose handlers decode them. They are read into buffers that are used again, whose
// size is that of the largest body so far, so few are read at a time.
const (
	largeBody    = 128 << 10
	largeBodies  = 4
	largeWait    = time.Second
	largeRecheck = 50 * time.Millisecond
)

// awaitPlace waits for one of the places for large bodies. Clients that are late make room.
func (b *countedBody) awaitPlace() error {
	p := b.request.port
	for deadline := time.Now().Add(largeWait); time.Now().Before(deadline); {
		timer := time.NewTimer(largeRecheck)
		select {
		case p.places <- struct{}{}:
			timer.Stop()
			b.isLarge = true
			return nil
		case <-timer.C:
		}
		p.abortLateLarge()
	}
	return fmt.Errorf("%w: %d large bodies at a time", ErrNoMemory, largeBodies)
}

// abortLateLarge ends the read of the large body that is late for the longest time, if one is.
func (p *Port) abortLateLarge() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var latest *request
	now := time.Now()
	for r := range p.requests {
		late := r.pace.behindFor(now)
		if r.pace.size.Load() > largeBody && late > StallGrace && (latest == nil || late > latest.pace.behindFor(now)) {
			latest = r
		}
	}
	if latest != nil {
		p.Stats.Evicted.Add(1)
		latest.abort()
	}
}

// leavePlace gives back the place of a large body.
func (b *countedBody) leavePlace() {
	if b.isLarge {
		b.isLarge = false
		<-b.request.port.places
	}
}

// Read implements io.Reader.
func (b *countedBody) Read(content []byte) (int, error) {
	b.request.pace.Begin(time.Now())
	n, err := b.ReadCloser.Read(content)
	now := time.Now()
	onPace := b.request.pace.End(n, now)
	b.size += gypsum.Bytes(n)
	if b.holder == nil {
		return n, err
	}
	if onPace {
		b.holder.Progress(now)
	}
	if err != nil {
		b.holder.Keep()
		b.leavePlace()
	}
	if b.size > largeBody && !b.isLarge && err == nil && b.request.port.BodyCopies > 1 {
		if placeErr := b.awaitPlace(); placeErr != nil {
			b.request.port.Stats.Refused.Add(1)
			return 0, placeErr
		}
	}
	if more := b.size - SmallBody - b.counted; more > 0 {
		copies := gypsum.Bytes(max(1, b.request.port.BodyCopies))
		if addErr := b.holder.AddEvicting(more*copies, StallGrace, now); addErr != nil {
			b.request.port.Stats.Refused.Add(1)
			return 0, fmt.Errorf("%w: %w", ErrNoMemory, addErr)
		}
		b.counted += more
	}
	return n, err
}

// Reserve counts memory for what is decoded from the body of a request, until its handler returns. The
// error is ErrNoMemory. Requests that no port counts need none.
func Reserve(r *http.Request, size gypsum.Bytes) error {
	if err := buffer.Reserve(r.Context(), size, StallGrace); err != nil {
		if body, ok := r.Body.(*countedBody); ok {
			body.request.port.Stats.Refused.Add(1)
		}
		return fmt.Errorf("%w: %w", ErrNoMemory, err)
	}
	return nil
}

// CountedElsewhere ends the count of a request's body, since its handler counts it.
func CountedElsewhere(r *http.Request) {
	if body, ok := r.Body.(*countedBody); ok && body.holder != nil {
		body.holder.Close()
		body.leavePlace()
		body.holder, body.request.response.holder = nil, nil
	}
}

// Pace tells whether a body comes as fast as it must while others need its memory. The zero value is
// one that is not read yet. It is safe for concurrent use by one reader and others that ask.
type Pace struct {
	// reading is set while the body is awaited. startedAt is when the first read began and onPaceAt
	// when the body was last on pace, in nanoseconds.
	reading   atomic.Bool
	startedAt atomic.Int64
	onPaceAt  atomic.Int64
	size      atomic.Int64
}

const (
	// minBodyRate is the rate in bytes a second below which a body is late.
	minBodyRate = 64 << 10
	// bodyStartTime is the time that the first bytes of a body may take.
	bodyStartTime = time.Second
)

// Begin records that a read begins.
func (p *Pace) Begin(now time.Time) {
	if p.startedAt.CompareAndSwap(0, now.UnixNano()) {
		p.onPaceAt.Store(now.UnixNano())
	}
	p.reading.Store(true)
}

// End records that a read has brought n bytes, and reports whether the body is on pace.
func (p *Pace) End(n int, now time.Time) bool {
	p.reading.Store(false)
	expected := (now.Sub(time.Unix(0, p.startedAt.Load())) - bodyStartTime).Seconds() * minBodyRate
	onPace := n > 0 && float64(p.size.Add(int64(n))) >= expected
	if onPace {
		p.onPaceAt.Store(now.UnixNano())
	}
	return onPace
}

// behindFor returns how long the body has been late, 0 if it is not awaited.
func (p *Pace) behindFor(now time.Time) time.Duration {
	if !p.reading.Load() {
		return 0
	}
	return now.Sub(time.Unix(0, p.onPaceAt.Load()))
}

package front

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/access"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/intake"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/shed"
)

// Parameters of the memory for request bodies.
const (
	// maxWaitingBodies is the number of requests whose bodies may wait for memory.
	maxWaitingBodies = 64
	// bodyWaitDivisor is the part of the latency target, and of the remaining time, that a body
	// may wait. Refused clients are to know early.
	bodyWaitDivisor = 4
	// Bounds of the retry delay of requests without memory for their bodies.
	minBodyRetryAfter = 200 * time.Millisecond
	maxBodyRetryAfter = 2 * time.Second
	// holdTimeGain is the weight of the latest body in the mean time for which bodies are held.
	holdTimeGain = 0.125
)

// BodyStats counts the requests whose bodies waited for memory, and those that were refused.
type BodyStats struct {
	Waited  atomic.Int64
	Refused atomic.Int64
}

// bodyMemory gives the memory for request bodies to requests, in the order of what a delay costs
// while it is short. It is safe for concurrent use.
type bodyMemory struct {
	pool   *buffer.Pool
	policy gypsum.Policy
	shares *shed.Shares

	reader buffer.Reader

	mu      sync.Mutex
	waiters []*bodyWaiter
	// meanHold is the mean time for which bodies are held.
	meanHold time.Duration
}

// bodyWaiter is a request that waits for memory.
type bodyWaiter struct {
	work    gypsum.Work
	body    *heldBody
	size    gypsum.Bytes
	granted chan struct{}
}

// heldBody is the memory of one body.
type heldBody struct {
	memory *bodyMemory
	holder *buffer.Holder
	since  time.Time
}

// newBodyMemory returns the memory of a pool.
func newBodyMemory(pool *buffer.Pool) *bodyMemory {
	return &bodyMemory{pool: pool, policy: shed.NewCostPolicy(), shares: shed.NewShares()}
}

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// errNoBodyMemory means that no memory was free for a body in time.
var errNoBodyMemory = errors.New("no memory for the body")

// acquire reserves memory for a body, and waits for it at most maxWait. abort ends the read of the body
// if its client is slow while others need the memory. The error is errNoBodyMemory or that of ctx.
func (m *bodyMemory) acquire(ctx context.Context, work *gypsum.Work, size gypsum.Bytes, maxWait time.Duration, abort func()) (*heldBody, bool, error) {
	now := time.Now()
	body := &heldBody{memory: m, since: now, holder: m.pool.Open(work.Account, m.pool.Usage().Limit, abort, now)}
	if size <= intake.SmallBody {
		// A small body counts as part of its request.
		return body, false, nil
	}
	waiting := m.enter(work, body, size, now)
	if waiting == nil {
		return body, false, nil
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	var err error
	select {
	case <-waiting.granted:
		return body, true, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = errNoBodyMemory
	}
	if !m.leave(waiting) {
		return body, true, nil // granted meanwhile
	}
	body.holder.Close()
	return nil, true, err
}

// enter reserves the memory, or adds the request to those that wait and returns it.
func (m *bodyMemory) enter(work *gypsum.Work, body *heldBody, size gypsum.Bytes, now time.Time) *bodyWaiter {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.waiters) == 0 && body.holder.AddEvicting(size, intake.StallGrace, now) == nil {
		m.shares.Serve(work, now)
		return nil
	}
	waiting := &bodyWaiter{work: *work, body: body, size: size, granted: make(chan struct{})}
	waiting.work.Expected = m.meanHold
	m.waiters = append(m.waiters, waiting)
	m.dispatch(now)
	return waiting
}

// leave removes a request that got no memory. It reports false if the request does not wait.
func (m *bodyMemory) leave(waiting *bodyWaiter) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	index := slices.Index(m.waiters, waiting)
	if index < 0 {
		return false
	}
	m.waiters = slices.Delete(m.waiters, index, index+1)
	now := time.Now()
	m.shares.Refuse(&waiting.work, now)
	// A large body may have kept others from the memory that is free.
	m.dispatch(now)
	return true
}

// dispatch gives free memory to waiting requests in the order of the policy. A body for which the
// process has too little keeps its turn, so that large ones are not starved; one whose account
// has too much does not hold up others. The caller holds mu.
func (m *bodyMemory) dispatch(now time.Time) {
	if len(m.waiters) == 0 {
		return
	}
	// All that fits starts now, so only the order counts.
	state := &gypsum.ShedState{Now: now, Slots: len(m.waiters), Free: len(m.waiters), Shares: m.shares}
	for _, waiting := range m.waiters {
		state.Waiting = append(state.Waiting, waiting.work)
	}
	var granted []*bodyWaiter
	for _, index := range m.policy.Decide(state).Order {
		waiting := m.waiters[index]
		err := waiting.body.holder.AddEvicting(waiting.size, intake.StallGrace, now)
		if errors.Is(err, buffer.ErrFull) {
			break
		}
		if err == nil {
			granted = append(granted, waiting)
			m.shares.Serve(&waiting.work, now)
			close(waiting.granted)
		}
	}
	m.waiters = slices.DeleteFunc(m.waiters, func(w *bodyWaiter) bool { return slices.Contains(granted, w) })
}

// isCrowded reports whether too many requests wait.
func (m *bodyMemory) isCrowded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.waiters) >= maxWaitingBodies
}

// retryAfter returns the retry delay of a refused request: the mean time for which bodies are
// held.
func (m *bodyMemory) retryAfter() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(maxBodyRetryAfter, max(minBodyRetryAfter, m.meanHold))
}

// release frees the memory of a body.
func (b *heldBody) release() {
	now := time.Now()
	b.holder.Close()
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.memory.meanHold += time.Duration(holdTimeGain * float64(now.Sub(b.since)-b.memory.meanHold))
	b.memory.dispatch(now)
}

// bodies returns the memory for request bodies.
func (s *Server) bodies() *bodyMemory {
	s.initBodies.Do(func() { s.bodyMemory = newBodyMemory(s.BodyMemory) })
	return s.bodyMemory
}

// bodyWork returns a request as the policy sees it.
func bodyWork(r *http.Request, route *gypsum.Route, grant *access.Grant, arrived time.Time) *gypsum.Work {
	work := &gypsum.Work{
		Class: gypsum.WorkLive, Account: grant.AccountName(), Priority: grant.Priority(route), Arrived: arrived, Deadline: arrived.Add(requestTimeout(r, route)),
		RetryElsewhere: true,
	}
	if route.Kind == gypsum.RouteRollout {
		work.Class = gypsum.WorkBatch
	}
	if route.LatencyTarget > 0 {
		work.Target = arrived.Add(route.LatencyTarget)
	}
	return work
}

// bodyWait returns how long a body may wait for memory.
func bodyWait(work *gypsum.Work) time.Duration {
	wait := work.Deadline.Sub(work.Arrived)
	if !work.Target.IsZero() {
		wait = min(wait, work.Target.Sub(work.Arrived))
	}
	return wait / bodyWaitDivisor
}

// readBody reads the body of a request, until the deadline of the request. The caller must release held
// when it no longer needs the body. If ok is false, readBody has written the response.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, limit gypsum.Bytes, work *gypsum.Work) (body []byte, held *heldBody, ok bool) {
	if r.ContentLength > int64(limit) {
		s.Stats.BadInput.Add(1)
		http.Error(w, "body is too large", http.StatusRequestEntityTooLarge)
		return nil, nil, false
	}
	memory, maxWait := s.bodies(), bodyWait(work)
	if r.ContentLength > int64(s.BodyMemory.Usage().Limit) || memory.isCrowded() {
		maxWait = 0
	}
	controller := http.NewResponseController(w)
	held, waited, err := memory.acquire(r.Context(), work, gypsum.Bytes(max(0, r.ContentLength)), maxWait, func() { _ = controller.SetReadDeadline(expired) })
	if waited {
		s.Stats.Bodies.Waited.Add(1)
	}
	if err != nil {
		s.refuseBody(w, r, memory)
		return nil, nil, false
	}
	// Writers that know no deadlines do without.
	_ = controller.SetReadDeadline(work.Deadline)
	body, err = held.read(http.MaxBytesReader(w, r.Body, int64(limit)), r.ContentLength)
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, held, true
	}
	held.release()
	if errors.Is(err, errNoBodyMemory) {
		s.refuseBody(w, r, memory)
		return nil, nil, false
	}
	s.Stats.BadInput.Add(1)
	s.Logger.Info("failed to read request body", "request", r.Header.Get(platform.HeaderRequestID), "bytes", len(body), "error", err)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, "body is too large", http.StatusRequestEntityTooLarge)
	} else {
		s.logAndRefuse(w, r, gypsum.NotRunRefusal(gypsum.ReasonBadRequest, http.StatusRequestTimeout, 0, "the body did not come whole"))
	}
	return nil, nil, false
}

// refuseBody refuses a request for whose body there is no memory.
func (s *Server) refuseBody(w http.ResponseWriter, r *http.Request, memory *bodyMemory) {
	s.Stats.Bodies.Refused.Add(1)
	s.logAndRefuse(w, r, gypsum.NotRunRefusal(gypsum.ReasonOverloaded, http.StatusServiceUnavailable, memory.retryAfter(), "too many large bodies at one time"))
}

// read reads a body. The memory for one of known length is reserved already; otherwise it is
// reserved as the body arrives.
func (b *heldBody) read(body io.Reader, length int64) (content []byte, err error) {
	b.holder.Progress(time.Now())
	reader := &pacedReader{Reader: body, body: b}
	if length >= 0 {
		content, err = buffer.ReadFull(reader, length)
	} else {
		reserved := gypsum.Bytes(0)
		content, err = b.memory.reader.ReadAll(reader, intake.SmallBody, func(size gypsum.Bytes) error { return b.reserve(size, &reserved) })
	}
	if err == nil && !b.holder.Keep() {
		err = errNoBodyMemory
	}
	return content, err
}

// pacedReader is the reader of a body, which may be aborted while it is late.
type pacedReader struct {
	io.Reader
	body *heldBody
	pace intake.Pace
}

// Read implements io.Reader.
func (r *pacedReader) Read(content []byte) (int, error) {
	r.pace.Begin(time.Now())
	n, err := r.Reader.Read(content)
	if now := time.Now(); r.pace.End(n, now) {
		r.body.holder.Progress(now)
	}
	return n, err
}

// reserve reserves memory up to a size, of which reserved is reserved already.
func (b *heldBody) reserve(size gypsum.Bytes, reserved *gypsum.Bytes) error {
	if size <= *reserved {
		return nil
	}
	if err := b.add(size - *reserved); err != nil {
		return err
	}
	*reserved = size
	return nil
}

// add reserves further memory, as for what is decoded from the body.
func (b *heldBody) add(size gypsum.Bytes) error {
	if b.holder.AddEvicting(size, intake.StallGrace, time.Now()) != nil {
		return errNoBodyMemory
	}
	return nil
}

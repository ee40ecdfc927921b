package dedup

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/epoch"
)

// Times to come back after a refusal.
const (
	retryLog      = 2 * time.Second
	retryOwner    = time.Second
	retryProgress = time.Second
)

// outcomePatience bounds the attempts to record an outcome.
const outcomePatience = time.Minute

// outcomeRetryInterval is the time between two attempts to record an outcome.
const outcomeRetryInterval = time.Second

// Times of the wait for the outcome of another daemon's intent.
const (
	outcomeWait         = time.Second
	outcomeReadInterval = 100 * time.Millisecond
)

// answerLimit is the largest body of an answer that is kept for repeats.
const answerLimit = 16 << 10

// clockSlack is how far a caller's clock may be ahead.
const clockSlack = time.Minute

// Guard runs the requests of one shard, each at most once. Several daemons may
// guard the same shard: the first intent of a key in the stream decides. Set the
// exported fields before Start.
type Guard struct {
	Stream  *epoch.Stream
	Machine *Machine
	// Dispatch takes a request to a backend server.
	Dispatch gypsum.Runner
	// AppendTimeout bounds the wait for a record.
	AppendTimeout time.Duration
	Logger        *slog.Logger

	mu      sync.Mutex
	active  map[gypsum.IdempotencyKey]*attempt
	running sync.WaitGroup
	started atomic.Int64
}

// attempt is a request in progress on this daemon.
type attempt struct {
	digest gypsum.Fingerprint
	done   chan struct{}
	// Answer and err are set before done is closed.
	answer *gypsum.PlainResponse
	end    *gypsum.End
	err    error
}

// Start begins to serve the shard and returns the wait for its end.
func (g *Guard) Start(ctx context.Context) (wait func()) {
	g.active = make(map[gypsum.IdempotencyKey]*attempt)
	g.Stream.Start(ctx)
	return func() {
		<-g.Stream.Done()
		g.running.Wait()
	}
}

// Started returns the number of requests that were let run.
func (g *Guard) Started() int64 { return g.started.Load() }

// Run takes a call to its answer. A repeat of a key gets the first answer, or
// a failure with an unknown outcome, but never a second run.
func (g *Guard) Run(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	if refusal := g.checkKey(call); refusal != nil {
		return refusal
	}
	current, first := g.join(call)
	if current.digest != call.Fingerprint {
		return keyReused()
	}
	if first {
		g.running.Add(1)
		go func() {
			defer g.running.Done()
			g.attempt(context.WithoutCancel(ctx), call, current)
		}()
	}
	select {
	case <-current.done:
	case <-ctx.Done():
		return gypsum.Unknown(gypsum.ReasonTimeout, http.StatusGatewayTimeout, retryProgress, "the request has not ended yet")
	}
	if current.err != nil {
		return current.err
	}
	if err := sink(&gypsum.Event{Response: current.answer}); err != nil {
		return fmt.Errorf("hand over answer: %w", err)
	}
	return sink(&gypsum.Event{End: current.end})
}

// checkKey refuses keys whose earlier runs may have been forgotten.
func (g *Guard) checkKey(call *gypsum.Call) *gypsum.Refusal {
	made, ok := keyTime(call.IdempotencyKey)
	if !ok {
		return nil
	}
	age := time.Since(made)
	if age > g.Machine.Window {
		return gypsum.Unknown(gypsum.ReasonKeyExpired, http.StatusUnprocessableEntity, 0,
			"the key is older than the window in which keys are remembered; whether an earlier request ran is not known")
	}
	if age < -clockSlack {
		return gypsum.NotRun(gypsum.ReasonBadRequest, http.StatusBadRequest, 0, "the key's time lies in the future")
	}
	return nil
}

// join returns the attempt in progress for the call's key, or a new one.
func (g *Guard) join(call *gypsum.Call) (current *attempt, first bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if current, ok := g.active[call.ScopedKey()]; ok {
		return current, false
	}
	current = &attempt{digest: call.Fingerprint, done: make(chan struct{})}
	g.active[call.ScopedKey()] = current
	return current, true
}

// attempt decides whether the call may run, runs it and records the outcome.
func (g *Guard) attempt(ctx context.Context, call *gypsum.Call, current *attempt) {
	deadline := time.Now().Add(call.Budget)
	nonce := uuid.NewString()
	answer, err := g.reserve(ctx, call, nonce, deadline)
	if answer != nil || err != nil {
		current.publish(answer, &gypsum.End{}, err)
		g.forget(call.ScopedKey())
		return
	}
	g.started.Add(1)
	runCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	answer, end, err := g.dispatch(runCtx, call, deadline)
	current.publish(answer, end, err)
	g.recordOutcome(ctx, outcomeOf(call.ScopedKey(), nonce, answer, err))
	g.forget(call.ScopedKey())
}

// publish ends an attempt for all who wait for it.
func (a *attempt) publish(answer *gypsum.PlainResponse, end *gypsum.End, err error) {
	a.answer, a.end, a.err = answer, end, err
	close(a.done)
}

// forget takes an attempt out of memory; from now on the stream answers repeats.
func (g *Guard) forget(key gypsum.IdempotencyKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.active, key)
}

// reserve writes the call's intent. It returns neither answer nor error if the
// call may run, and the earlier answer if the key has one.
func (g *Guard) reserve(ctx context.Context, call *gypsum.Call, nonce string, deadline time.Time) (*gypsum.PlainResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, min(call.Budget, g.AppendTimeout))
	defer cancel()
	if state, ok := g.known(ctx, call.ScopedKey()); ok && state.Kind != kindNotRun {
		return settled(state, call)
	}
	if g.Machine.mayBeMissing(call.IdempotencyKey, time.Now()) {
		return nil, gypsum.Unknown(gypsum.ReasonKeyExpired, http.StatusUnprocessableEntity, 0,
			"the record of earlier requests was lost; whether one ran under this key is not known")
	}
	intent := &record{Kind: kindIntent, Key: call.ScopedKey(), Attempt: nonce, Digest: call.Fingerprint, At: time.Now().UnixMilli()}
	if err := g.Stream.Append(ctx, nonce, encode(intent)); err != nil {
		g.release(call.ScopedKey(), nonce)
		return nil, refusalOf(err)
	}
	state, ok := g.Machine.lookup(call.ScopedKey())
	if !ok || state.Attempt != nonce {
		// Another daemon's intent came first.
		state, _ = g.known(ctx, call.ScopedKey())
		return settled(state, call)
	}
	if time.Now().After(deadline) {
		g.release(call.ScopedKey(), nonce)
		return nil, gypsum.NotRun(gypsum.ReasonTimeout, http.StatusGatewayTimeout, retryOwner, "the deadline passed before the request could start")
	}
	return nil, nil
}

// known returns what the stream says of a key. An open intent of another daemon
// may get its outcome soon, so that it is read again for a while.
func (g *Guard) known(ctx context.Context, key gypsum.IdempotencyKey) (keyState, bool) {
	state, ok := g.Machine.lookup(key)
	for until := time.Now().Add(outcomeWait); ok && state.Kind == kindIntent && time.Now().Before(until); {
		if err := g.Stream.Refresh(ctx); err != nil {
			return state, ok
		}
		if state, ok = g.Machine.lookup(key); ok && state.Kind == kindIntent {
			pause(ctx, outcomeReadInterval)
		}
	}
	return state, ok
}

// pause waits for a time or until ctx ends.
func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// release records that an intent which may stand in the stream is not used.
func (g *Guard) release(key gypsum.IdempotencyKey, nonce string) {
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		g.recordOutcome(context.Background(), &record{Kind: kindNotRun, Key: key, Attempt: nonce, At: time.Now().UnixMilli()})
	}()
}

// dispatch runs the call and returns its whole answer.
func (g *Guard) dispatch(ctx context.Context, call *gypsum.Call, deadline time.Time) (*gypsum.PlainResponse, *gypsum.End, error) {
	onward := *call
	onward.Stage = gypsum.StagePlace
	onward.Budget = gypsum.Remaining(deadline)
	var answer *gypsum.PlainResponse
	var end *gypsum.End
	err := g.Dispatch.Run(ctx, &onward, func(event *gypsum.Event) error {
		if event.Response != nil {
			answer = event.Response
		}
		if event.End != nil {
			end = event.End
		}
		return nil
	})
	if err != nil {
		return nil, nil, gypsum.AsRefusal(err)
	}
	if answer == nil || end == nil {
		return nil, nil, gypsum.Unknown(gypsum.ReasonBackendFailed, http.StatusBadGateway, retryProgress, "the answer broke off")
	}
	return answer, end, nil
}

// recordOutcome appends the outcome of an attempt, which only the writer of its
// intent knows. It goes on for a while when the log is out.
func (g *Guard) recordOutcome(ctx context.Context, outcome *record) {
	body := encode(outcome)
	for until := time.Now().Add(outcomePatience); time.Now().Before(until); {
		callCtx, cancel := context.WithTimeout(ctx, g.AppendTimeout)
		err := g.Stream.Append(callCtx, "", body)
		cancel()
		if err == nil {
			return
		}
		select {
		case <-g.Stream.Stopped():
			return
		case <-time.After(outcomeRetryInterval):
		}
	}
	g.Logger.Warn("outcome not recorded", "key", outcome.Key, "outcome", outcome.Kind)
}

// outcomeOf returns the record of how an attempt ended.
func outcomeOf(key gypsum.IdempotencyKey, nonce string, answer *gypsum.PlainResponse, err error) *record {
	outcome := &record{Kind: kindDone, Key: key, Attempt: nonce}
	switch {
	case err != nil && gypsum.AsRefusal(err).Outcome == gypsum.OutcomeNotRun:
		outcome.Kind = kindNotRun
	case err != nil:
		outcome.Kind = kindUnknown
	case len(answer.Body) <= answerLimit:
		outcome.Answer = answer
	}
	return outcome
}

// settled answers a call whose key an earlier attempt holds.
func settled(state keyState, call *gypsum.Call) (*gypsum.PlainResponse, error) {
	if state.Digest != call.Fingerprint {
		return nil, keyReused()
	}
	switch {
	case state.Kind == kindDone && state.Answer != nil:
		return state.Answer, nil
	case state.Kind == kindNotRun:
		return nil, gypsum.NotRun(gypsum.ReasonPeerFailed, http.StatusServiceUnavailable, retryOwner, "an attempt at the same time was given up before it started")
	}
	detail := "an earlier request with this key was started and its answer is not known"
	if state.Kind == kindDone {
		detail = "an earlier request with this key ran and its answer is no longer kept"
	}
	return nil, gypsum.Unknown(gypsum.ReasonAlreadyStarted, http.StatusConflict, 0, detail)
}

// keyReused refuses a key that came with another request.
func keyReused() *gypsum.Refusal {
	return gypsum.NotRun(gypsum.ReasonKeyReused, http.StatusUnprocessableEntity, 0, "the idempotency key belongs to another request")
}

// refusalOf turns a failure to reserve a key into a refusal.
func refusalOf(err error) *gypsum.Refusal {
	if errors.Is(err, gypsum.ErrHistoryLost) {
		return gypsum.Unknown(gypsum.ReasonKeyExpired, http.StatusServiceUnavailable, retryLog, "the record of earlier requests was lost")
	}
	return gypsum.NotRun(gypsum.ReasonLogUnavailable, http.StatusServiceUnavailable, retryLog, "the platform's log does not answer; the request was not started")
}

// encode returns a record's bytes.
func encode(rec *record) []byte {
	body, err := cbor.Marshal(rec)
	if err != nil {
		panic("record cannot be encoded: " + err.Error())
	}
	return body
}

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

// Values of RetryAfter in refusals: while the log is unavailable, for a request that was
// not run, and for one with an unknown outcome.
const (
	logRetryAfter     = 2 * time.Second
	notRunRetryAfter  = time.Second
	unknownRetryAfter = time.Second
	// keysRetryAfter applies if there is no memory for further keys, which expire after a long time.
	keysRetryAfter = 10 * time.Second
)

// recordOutcomeTimeout limits how long recording an outcome is retried.
const recordOutcomeTimeout = time.Minute

// recordOutcomeInterval is the time between two attempts to record an outcome.
const recordOutcomeInterval = time.Second

// Polling of the stream for the outcome of an intent that another daemon wrote.
const (
	openIntentWait         = time.Second
	openIntentReadInterval = 100 * time.Millisecond
)

// maxStoredBody is the largest response body, in bytes, that is stored for retries.
const maxStoredBody = 16 << 10

// maxClockSkew is how far the time in a key may be ahead of the local clock.
const maxClockSkew = time.Minute

// Shard runs the requests of one shard of idempotency keys, each at most once. It
// implements gypsum.CallRunner. Several daemons may serve the same shard at the same time:
// the first intent in the stream for a key decides which of them runs the request. Set
// the exported fields before Start.
type Shard struct {
	Stream       *epoch.Stream
	StateMachine *StateMachine
	// Runner sends a request to a backend server.
	Runner gypsum.CallRunner
	// AppendTimeout limits the wait for one append to the stream.
	AppendTimeout time.Duration
	Logger        *slog.Logger

	mu              sync.Mutex
	pendingRequests map[gypsum.IdempotencyKey]*pendingRequest
	backgroundTasks sync.WaitGroup
	dispatchedCount atomic.Int64
}

// pendingRequest is a request in progress on this daemon.
type pendingRequest struct {
	fingerprint gypsum.Fingerprint
	done        chan struct{}
	// response, end and err are set before done is closed.
	response *gypsum.PlainResponse
	end      *gypsum.End
	err      error
}

// Start begins to read the shard's stream. The returned function waits until the
// stream and all background tasks have ended.
func (s *Shard) Start(ctx context.Context) (wait func()) {
	s.pendingRequests = make(map[gypsum.IdempotencyKey]*pendingRequest)
	s.Stream.Start(ctx)
	return func() {
		<-s.Stream.Done()
		s.backgroundTasks.Wait()
	}
}

// DispatchedCount returns the number of requests that passed deduplication and were
// dispatched.
func (s *Shard) DispatchedCount() int64 { return s.dispatchedCount.Load() }

// Run runs a call and passes its response to sink. If an earlier call with the same key
// ran or may have run, the call is not run: it gets the earlier response, or an error
// with an unknown outcome. Calls with the same key that are in progress on this daemon
// share one execution.
func (s *Shard) Run(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	if refusal := s.checkKey(call); refusal != nil {
		return refusal
	}
	pending, first := s.joinPending(call)
	if pending.fingerprint != call.Fingerprint {
		return keyReusedRefusal()
	}
	switch {
	case first && !s.StateMachine.hasRoom(call.ScopedKey()):
		pending.setResult(nil, nil, gypsum.NotRunRefusal(gypsum.ReasonOverloaded, http.StatusServiceUnavailable, keysRetryAfter, "too many idempotency keys are remembered"))
		s.removePending(call.ScopedKey())
	case first:
		s.backgroundTasks.Add(1)
		go func() {
			defer s.backgroundTasks.Done()
			s.reserveAndRun(context.WithoutCancel(ctx), call, pending)
		}()
	}
	select {
	case <-pending.done:
	case <-ctx.Done():
		if first && errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), gypsum.ErrStopping) {
			// The request goes on without its caller. What it holds counts as long as Run has not returned. The caller
			// of a daemon that stops waits for a response.
			<-pending.done
		}
		return gypsum.UnknownRefusal(gypsum.ReasonTimeout, http.StatusGatewayTimeout, unknownRetryAfter, "the request has not ended yet")
	}
	if pending.err != nil {
		return pending.err
	}
	if err := sink(&gypsum.Event{Response: pending.response}); err != nil {
		return fmt.Errorf("deliver response: %w", err)
	}
	return sink(&gypsum.Event{End: pending.end})
}

// checkKey refuses a key whose records may have expired, and a key whose time is in
// the future.
func (s *Shard) checkKey(call *gypsum.Call) *gypsum.Refusal {
	created, ok := keyTime(call.IdempotencyKey)
	if !ok {
		return nil
	}
	age := time.Since(created)
	if age > s.StateMachine.KeyWindow {
		return gypsum.UnknownRefusal(gypsum.ReasonKeyExpired, http.StatusUnprocessableEntity, 0,
			"the key is older than the window in which keys are remembered; whether an earlier request ran is not known")
	}
	if age < -maxClockSkew {
		return gypsum.NotRunRefusal(gypsum.ReasonBadRequest, http.StatusBadRequest, 0, "the key's time lies in the future")
	}
	return nil
}

// joinPending returns the pending request for the call's key. If there is none, join creates
// one and isFirst is true.
func (s *Shard) joinPending(call *gypsum.Call) (pending *pendingRequest, isFirst bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pending, ok := s.pendingRequests[call.ScopedKey()]; ok {
		return pending, false
	}
	pending = &pendingRequest{fingerprint: call.Fingerprint, done: make(chan struct{})}
	s.pendingRequests[call.ScopedKey()] = pending
	return pending, true
}

// reserveAndRun reserves the call's key, runs the call and records the outcome.
func (s *Shard) reserveAndRun(ctx context.Context, call *gypsum.Call, pending *pendingRequest) {
	deadline := time.Now().Add(call.Budget)
	// The call, with its body, is not held while the outcome is recorded.
	intentID, key := uuid.NewString(), call.ScopedKey()
	response, err := s.reserveKey(ctx, call, intentID, deadline)
	if response != nil || err != nil {
		pending.setResult(response, &gypsum.End{}, err)
		s.removePending(key)
		return
	}
	s.dispatchedCount.Add(1)
	runCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	response, end, err := s.runCall(runCtx, call, deadline)
	pending.setResult(response, end, err)
	outcome := newOutcome(key, intentID, response, err)
	if outcome.Kind == kindDone && outcome.Response == nil {
		// A response that is not stored is not held while its outcome is recorded either.
		s.removePending(key)
		s.recordOutcome(ctx, outcome)
		return
	}
	s.recordOutcome(ctx, outcome)
	s.removePending(key)
}

// setResult sets the result and wakes all callers that wait for it.
func (p *pendingRequest) setResult(response *gypsum.PlainResponse, end *gypsum.End, err error) {
	p.response, p.end, p.err = response, end, err
	close(p.done)
}

// removePending removes a pending request. From then on, retries get the response that the
// stream holds.
func (s *Shard) removePending(key gypsum.IdempotencyKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingRequests, key)
}

// reserveKey appends the call's intent to the stream. It returns nil and nil if the call
// may run, and the earlier response if there is one for the key.
func (s *Shard) reserveKey(ctx context.Context, call *gypsum.Call, intentID string, deadline time.Time) (*gypsum.PlainResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, min(call.Budget, s.AppendTimeout))
	defer cancel()
	if state, ok := s.lookupResolved(ctx, call.ScopedKey()); ok && state.Kind != kindNotRun {
		return earlierResult(state, call)
	}
	if s.StateMachine.recordMayBeLost(call.IdempotencyKey, time.Now()) {
		return nil, gypsum.UnknownRefusal(gypsum.ReasonKeyExpired, http.StatusUnprocessableEntity, 0,
			"the record of earlier requests was lost; whether one ran under this key is not known")
	}
	intent := &record{Kind: kindIntent, Key: call.ScopedKey(), IntentID: intentID, Fingerprint: call.Fingerprint, UnixMilli: time.Now().UnixMilli()}
	if err := s.Stream.Append(ctx, intentID, encodeRecord(intent)); err != nil {
		s.voidIntent(call.ScopedKey(), intentID)
		return nil, reserveRefusal(err)
	}
	state, ok := s.StateMachine.keyState(call.ScopedKey())
	if !ok || state.IntentID != intentID {
		// Another daemon's intent came first.
		state, _ = s.lookupResolved(ctx, call.ScopedKey())
		return earlierResult(state, call)
	}
	if time.Now().After(deadline) {
		s.voidIntent(call.ScopedKey(), intentID)
		return nil, gypsum.NotRunRefusal(gypsum.ReasonTimeout, http.StatusGatewayTimeout, notRunRetryAfter, "the deadline passed before the request could start")
	}
	return nil, nil
}

// lookupResolved returns the state of a key. If the key has an open intent of another
// daemon, lookupResolved reads the stream again for up to openIntentWait, since the
// outcome is often recorded shortly after.
func (s *Shard) lookupResolved(ctx context.Context, key gypsum.IdempotencyKey) (keyState, bool) {
	state, ok := s.StateMachine.keyState(key)
	for retryUntil := time.Now().Add(openIntentWait); ok && state.Kind == kindIntent && time.Now().Before(retryUntil); {
		if err := s.Stream.ReadToEnd(ctx); err != nil {
			return state, ok
		}
		if state, ok = s.StateMachine.keyState(key); ok && state.Kind == kindIntent {
			sleep(ctx, openIntentReadInterval)
		}
	}
	return state, ok
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// voidIntent records in the background that an intent, which may or may not have
// reached the stream, will not be run.
func (s *Shard) voidIntent(key gypsum.IdempotencyKey, intentID string) {
	s.backgroundTasks.Add(1)
	go func() {
		defer s.backgroundTasks.Done()
		s.recordOutcome(context.Background(), &record{Kind: kindNotRun, Key: key, IntentID: intentID, UnixMilli: time.Now().UnixMilli()})
	}()
}

// runCall runs the call and returns its complete response.
func (s *Shard) runCall(ctx context.Context, call *gypsum.Call, deadline time.Time) (*gypsum.PlainResponse, *gypsum.End, error) {
	forwarded := *call
	forwarded.Stage = gypsum.StagePlace
	forwarded.Budget = gypsum.RemainingTime(deadline)
	var response *gypsum.PlainResponse
	var end *gypsum.End
	err := s.Runner.Run(ctx, &forwarded, func(event *gypsum.Event) error {
		if event.Response != nil {
			response = event.Response
		}
		if event.End != nil {
			end = event.End
		}
		return nil
	})
	if err != nil {
		return nil, nil, gypsum.AsRefusal(err)
	}
	if response == nil || end == nil {
		return nil, nil, gypsum.UnknownRefusal(gypsum.ReasonBackendFailed, http.StatusBadGateway, unknownRetryAfter, "the answer broke off")
	}
	return response, end, nil
}

// recordOutcome appends the outcome of a request. Only the daemon that wrote the
// intent knows the outcome, so the append is retried for up to recordOutcomeTimeout
// while the log is unavailable.
func (s *Shard) recordOutcome(ctx context.Context, outcome *record) {
	body := encodeRecord(outcome)
	for retryUntil := time.Now().Add(recordOutcomeTimeout); time.Now().Before(retryUntil); {
		callCtx, cancel := context.WithTimeout(ctx, s.AppendTimeout)
		err := s.Stream.Append(callCtx, "", body)
		cancel()
		if err == nil {
			return
		}
		select {
		case <-s.Stream.Stopped():
			return
		case <-time.After(recordOutcomeInterval):
		}
	}
	s.Logger.Warn("failed to record outcome of request", "key", outcome.Key, "outcome", outcome.Kind)
}

// newOutcome returns the outcome record for a request's response or error.
func newOutcome(key gypsum.IdempotencyKey, intentID string, response *gypsum.PlainResponse, err error) *record {
	outcome := &record{Kind: kindDone, Key: key, IntentID: intentID}
	switch {
	case err != nil && gypsum.AsRefusal(err).Outcome == gypsum.OutcomeNotRun:
		outcome.Kind = kindNotRun
	case err != nil:
		outcome.Kind = kindUnknown
	case len(response.Body) <= maxStoredBody:
		outcome.Response = response
	}
	return outcome
}

// earlierResult returns the response or refusal for a call whose key has an earlier
// intent.
func earlierResult(state keyState, call *gypsum.Call) (*gypsum.PlainResponse, error) {
	if state.Fingerprint != call.Fingerprint {
		return nil, keyReusedRefusal()
	}
	switch {
	case state.Kind == kindDone && state.Response != nil:
		return state.Response, nil
	case state.Kind == kindNotRun:
		return nil, gypsum.NotRunRefusal(gypsum.ReasonPeerFailed, http.StatusServiceUnavailable, notRunRetryAfter, "an attempt at the same time was given up before it started")
	}
	detail := "an earlier request with this key was started and its answer is not known"
	if state.Kind == kindDone {
		detail = "an earlier request with this key ran and its answer is no longer kept"
	}
	return nil, gypsum.UnknownRefusal(gypsum.ReasonAlreadyStarted, http.StatusConflict, 0, detail)
}

// keyReusedRefusal refuses a key that was used for a different request.
func keyReusedRefusal() *gypsum.Refusal {
	return gypsum.NotRunRefusal(gypsum.ReasonKeyReused, http.StatusUnprocessableEntity, 0, "the idempotency key belongs to another request")
}

// reserveRefusal converts an error of reserving a key to a refusal.
func reserveRefusal(err error) *gypsum.Refusal {
	if errors.Is(err, gypsum.ErrHistoryLost) {
		return gypsum.UnknownRefusal(gypsum.ReasonKeyExpired, http.StatusServiceUnavailable, logRetryAfter, "the record of earlier requests was lost")
	}
	return gypsum.NotRunRefusal(gypsum.ReasonLogUnavailable, http.StatusServiceUnavailable, logRetryAfter, "the platform's log does not answer; the request was not started")
}

func encodeRecord(rec *record) []byte {
	body, err := cbor.Marshal(rec)
	if err != nil {
		panic("record cannot be encoded: " + err.Error())
	}
	return body
}

package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
)

// lateGrace is how far behind its deadline a final answer may be.
const lateGrace = 100 * time.Millisecond

// Result is what a caller saw of one call.
type Result struct {
	Kind string
	Key  gypsum.IdempotencyKey
	Via  gypsum.HostID
	At   time.Time
	Took time.Duration
	// Answer is the whole answer, empty if there was none.
	Answer  string
	Refusal *gypsum.Refusal
}

// Record is what all callers and trainers have seen.
type Record struct {
	mu      sync.Mutex
	results []Result
	broken  []string
	samples int
	steps   int
	idle    time.Duration
	stale   int
}

// add keeps a result.
func (r *Record) add(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

// breach keeps a broken promise.
func (r *Record) breach(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, values...))
}

// Results returns all results so far.
func (r *Record) Results() []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Result{}, r.results...)
}

// Answered returns the number of whole answers of a kind after a moment.
func (r *Record) Answered(kind string, after time.Time) int {
	count := 0
	for _, result := range r.Results() {
		if result.Kind == kind && result.Answer != "" && result.At.After(after) {
			count++
		}
	}
	return count
}

// Samples returns the number of samples delivered, and of steps whole.
func (r *Record) Samples() (samples, steps int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.samples, r.steps
}

// Idle returns the time that trainers waited for samples.
func (r *Record) Idle() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.idle
}

// Caller sends calls to one fleet and keeps what it saw.
type Caller struct {
	Fleet  *Fleet
	Record *Record
	// Timeout is the deadline of each call.
	Timeout time.Duration
}

// Order sends a non-idempotent request through a daemon.
func (c *Caller) Order(ctx context.Context, via gypsum.HostID, key gypsum.IdempotencyKey, body string) Result {
	id := gypsum.RequestID(uuid.NewString())
	call := &gypsum.Call{
		ID: id, Service: PlainService, Class: gypsum.ClassLive, Stage: gypsum.StagePlace, Budget: c.Timeout,
		Tenant: "caller", Key: key, Fingerprint: gypsum.FingerprintOf(PlainService, "POST /orders", []byte(body)),
		Plain: &gypsum.PlainRequest{
			ID: id, Method: "POST", Path: "/orders", Body: []byte(body), Once: true,
			Header: map[string][]string{"Idempotency-Key": {string(key)}},
		},
	}
	return c.run(ctx, "order", via, call)
}

// Get sends an idempotent request of the plain service through a daemon.
func (c *Caller) Get(ctx context.Context, via gypsum.HostID) Result {
	id := gypsum.RequestID(uuid.NewString())
	call := &gypsum.Call{
		ID: id, Service: PlainService, Class: gypsum.ClassLive, Stage: gypsum.StagePlace, Budget: c.Timeout, Tenant: "caller",
		Fingerprint: gypsum.FingerprintOf(PlainService, "GET /orders", nil),
		Plain:       &gypsum.PlainRequest{ID: id, Method: "GET", Path: "/orders"},
	}
	return c.run(ctx, "get", via, call)
}

// Complete sends a completion through a daemon and checks its answer.
func (c *Caller) Complete(ctx context.Context, via gypsum.HostID, prompt string, recovery gypsum.Recovery) Result {
	id := gypsum.RequestID(uuid.NewString())
	call := &gypsum.Call{
		ID: id, Service: ModelService, Class: gypsum.ClassLive, Stage: gypsum.StagePlace, Budget: c.Timeout,
		Tenant: "caller", Affinity: gypsum.Hash64(prompt), Recovery: recovery,
		Fingerprint: gypsum.FingerprintOf(ModelService, "completions", []byte(prompt)),
		Generation:  &gypsum.Generation{ID: id, Model: Model, Prompt: prompt, MaxTokens: 64, Seed: 1},
	}
	return c.run(ctx, "completion", via, call)
}

// run sends a call and keeps the result.
func (c *Caller) run(ctx context.Context, kind string, via gypsum.HostID, call *gypsum.Call) Result {
	result := Result{Kind: kind, Key: call.Key, Via: via, At: time.Now()}
	running := c.Fleet.Node(via)
	if running == nil {
		result.Refusal = gypsum.NotRun(gypsum.ReasonPeerFailed, 0, 0, "entry host does not run")
		c.Record.add(result)
		return result
	}
	joiner, answer, ended, err := c.send(ctx, via, running, call)
	result.Took = time.Since(result.At)
	switch {
	case err != nil:
		result.Refusal = gypsum.AsRefusal(err)
	case !ended:
		c.Record.breach("%s ended without mark", kind)
	case call.Generation != nil:
		result.Answer = joiner.Text()
		c.checkText(call, joiner)
	default:
		result.Answer = answer
	}
	c.Record.add(result)
	return result
}

// errEntryDied is what a caller sees when its entry host dies or freezes.
var errEntryDied = errors.New("connection to the entry host lost")

// send runs a call on a daemon as a caller beyond a connection would see it: a
// frozen daemon gives no answer before the caller's own timeout.
func (c *Caller) send(ctx context.Context, via gypsum.HostID, running gypsum.Runner, call *gypsum.Call) (*gypsum.Joiner, string, bool, error) {
	joiner, answer, ended := &gypsum.Joiner{}, "", false
	timeout, cancel := context.WithTimeout(ctx, call.Budget)
	defer cancel()
	if err := c.Fleet.Network.Gate(timeout, via); err != nil {
		return joiner, answer, ended, gypsum.Unknown(gypsum.ReasonPeerFailed, 0, 0, errEntryDied.Error())
	}
	// The connection ends when the entry host dies.
	connection, disconnect := context.WithCancel(ctx)
	defer disconnect()
	died := c.Fleet.Died(via)
	go func() {
		select {
		case <-died:
			disconnect()
		case <-connection.Done():
		}
	}()
	err := running.Run(connection, call, func(event *gypsum.Event) error {
		switch {
		case event.Restart:
			*joiner = gypsum.Joiner{}
		case event.Chunk != nil:
			if _, err := joiner.Add(event.Chunk); err != nil {
				return err
			}
		case event.Response != nil:
			answer = string(event.Response.Body)
		case event.End != nil:
			ended = true
		}
		return nil
	})
	gateErr := c.Fleet.Network.Gate(timeout, via)
	if (gateErr != nil && ctx.Err() == nil) || connection.Err() != nil {
		return joiner, answer, ended, gypsum.Unknown(gypsum.ReasonPeerFailed, 0, 0, errEntryDied.Error())
	}
	return joiner, answer, ended, err
}

// checkText checks that a completion is whole and the call's own. A text whose
// engine reported no version cannot be recomputed.
func (c *Caller) checkText(call *gypsum.Call, joiner *gypsum.Joiner) {
	for _, segment := range joiner.Segments() {
		if segment.Version == 0 {
			return
		}
	}
	want := fake.Text(call.Generation.Prompt, call.Generation.Seed, joiner.Segments())
	if !joiner.Whole() || joiner.Text() != want || joiner.Tokens() != fake.Length(call.Generation.Prompt, call.Generation.Seed, call.Generation.MaxTokens) {
		c.Record.breach("completion for %q is not whole or not its own", call.Generation.Prompt)
	}
}

// Check compares what callers were told with what ran. It returns the broken
// promises.
func (c *Caller) Check() []string {
	runs := c.Fleet.Ledger.Runs()
	type told struct {
		answers []string
		unknown int
	}
	keys := make(map[gypsum.IdempotencyKey]*told)
	for _, result := range c.Record.Results() {
		if result.Took > c.Timeout+lateGrace {
			c.Record.breach("%s via %s ended %s after its start, the deadline was %s", result.Kind, result.Via, result.Took, c.Timeout)
		}
		if result.Kind != "order" {
			continue
		}
		known, ok := keys[result.Key]
		if !ok {
			known = &told{}
			keys[result.Key] = known
		}
		if result.Answer != "" {
			known.answers = append(known.answers, result.Answer)
		} else if result.Refusal != nil && result.Refusal.Outcome == gypsum.OutcomeUnknown {
			known.unknown++
		}
	}
	for key, known := range keys {
		switch count := runs[string(key)]; {
		case count > 1:
			c.Record.breach("order %s ran %d times", key, count)
		case count == 0 && len(known.answers) > 0:
			c.Record.breach("order %s was answered and never ran", key)
		case count > 0 && len(known.answers)+known.unknown == 0:
			c.Record.breach("order %s ran although callers were told it had not", key)
		}
		for _, answer := range known.answers {
			if answer != known.answers[0] {
				c.Record.breach("order %s was answered in two ways", key)
			}
		}
	}
	c.Record.mu.Lock()
	defer c.Record.mu.Unlock()
	return append([]string{}, c.Record.broken...)
}

package check

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
)

// lateGrace is how far behind its deadline a final answer may be.
const lateGrace = 100 * time.Millisecond

// The services and the plan that checks run against.
const (
	ModelService gypsum.ServiceName = "crew-match"
	PlainService gypsum.ServiceName = "roster"
	PlanName     gypsum.PlanName    = "season"
	Model                           = "crew"
)

// Caller sends calls and keeps what it saw. Set the exported fields before use.
type Caller struct {
	// Dial returns the way to an entry host.
	Dial   func(via gypsum.HostID) gypsum.Runner
	Record *Record
	// Timeout is the deadline of each call.
	Timeout time.Duration
}

// Order sends a non-idempotent request through a daemon.
func (c *Caller) Order(ctx context.Context, via gypsum.HostID, key gypsum.IdempotencyKey, body string) Result {
	id := gypsum.RequestID(uuid.NewString())
	call := &gypsum.Call{
		ID: id, Service: PlainService, Class: gypsum.ClassLive, Stage: gypsum.StagePlace, Budget: c.Timeout,
		Tenant: "caller", IdempotencyKey: key, Fingerprint: gypsum.FingerprintOf(PlainService, "POST /orders", []byte(body)),
		Plain: &gypsum.PlainRequest{
			ID: id, Method: "POST", Path: "/orders", Body: []byte(body), NonIdempotent: true,
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
		Tenant: "caller", PrefixHash: gypsum.Hash64(prompt), Recovery: recovery,
		Fingerprint: gypsum.FingerprintOf(ModelService, "completions", []byte(prompt)),
		Generation:  &gypsum.Generation{ID: id, Model: Model, Prompt: prompt, MaxTokens: 64, Seed: 1},
	}
	return c.run(ctx, "completion", via, call)
}

// run sends a call and keeps the result.
func (c *Caller) run(ctx context.Context, kind string, via gypsum.HostID, call *gypsum.Call) Result {
	result := Result{Kind: kind, Key: call.IdempotencyKey, Via: via, At: time.Now()}
	joiner, answer, ended := &gypsum.ResponseAssembler{}, "", false
	err := c.Dial(via).Run(ctx, call, func(event *gypsum.Event) error {
		switch {
		case event.Restart:
			*joiner = gypsum.ResponseAssembler{}
		case event.Chunk != nil:
			if _, err := joiner.Append(event.Chunk); err != nil {
				return fmt.Errorf("join answer: %w", err)
			}
		case event.Response != nil:
			answer = string(event.Response.Body)
		case event.End != nil:
			ended = true
		}
		return nil
	})
	result.Took = time.Since(result.At)
	switch {
	case err != nil:
		result.Refusal = gypsum.AsRefusal(err)
	case !ended:
		c.Record.Breach("%s ended without mark", kind)
	case call.Generation != nil:
		result.Answer = joiner.Text()
		c.Record.addTokens(joiner.Tokens())
		c.checkText(call, joiner)
	default:
		result.Answer = answer
	}
	c.Record.add(result)
	return result
}

// checkText checks that a completion is whole and the call's own. A text whose
// engine reported no version cannot be recomputed.
func (c *Caller) checkText(call *gypsum.Call, joiner *gypsum.ResponseAssembler) {
	for _, segment := range joiner.Segments() {
		if segment.Version == 0 {
			return
		}
	}
	want := fake.Text(call.Generation.Prompt, call.Generation.Seed, joiner.Segments())
	if !joiner.Complete() || joiner.Text() != want || joiner.Tokens() != fake.Length(call.Generation.Prompt, call.Generation.Seed, call.Generation.MaxTokens) {
		c.Record.Breach("completion for %q is not whole or not its own", call.Generation.Prompt)
	}
}

// Check compares what callers were told with how often each key ran. It returns
// the broken promises.
func (c *Caller) Check(runs map[string]int) []string {
	type told struct {
		answers []string
		unknown int
	}
	keys := make(map[gypsum.IdempotencyKey]*told)
	for _, result := range c.Record.Results() {
		if result.Took > c.Timeout+lateGrace {
			c.Record.Breach("%s via %s ended %s after its start, the deadline was %s", result.Kind, result.Via, result.Took, c.Timeout)
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
			c.Record.Breach("order %s ran %d times", key, count)
		case count == 0 && len(known.answers) > 0:
			c.Record.Breach("order %s was answered and never ran", key)
		case count > 0 && len(known.answers)+known.unknown == 0:
			c.Record.Breach("order %s ran although callers were told it had not", key)
		}
		for _, answer := range known.answers {
			if answer != known.answers[0] {
				c.Record.Breach("order %s was answered in two ways", key)
			}
		}
	}
	return c.Record.Broken()
}

// NewKey returns a fresh idempotency key: a UUIDv7 of the present time. The
// library's own generator never goes back in time, as tests in virtual time do.
func NewKey() gypsum.IdempotencyKey {
	id := uuid.New()
	milliseconds := time.Now().UnixMilli()
	for i := range 6 {
		id[i] = byte(milliseconds >> (8 * (5 - i)))
	}
	id[6] = 0x70 | id[6]&0x0f
	return gypsum.IdempotencyKey(id.String())
}

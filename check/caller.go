package check

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
)

// deadlineTolerance is how long after its deadline a call may end without a violation.
const deadlineTolerance = 100 * time.Millisecond

// The services, the plan and the model that calls and pulls are sent to.
const (
	ModelService gypsum.ServiceName = "crew-match"
	PlainService gypsum.ServiceName = "roster"
	PlanName     gypsum.PlanName    = "season"
	ModelName                       = "crew"
)

// Caller sends calls and records their results. Set the exported fields before use.
type Caller struct {
	// Dial returns a client of an entry host.
	Dial     func(entryHost gypsum.HostID) gypsum.CallRunner
	Recorder *Recorder
	// Timeout is the time budget of each call.
	Timeout time.Duration
}

// PostOrder sends a non-idempotent request to the plain service through an entry host.
func (c *Caller) PostOrder(ctx context.Context, entryHost gypsum.HostID, key gypsum.IdempotencyKey, body string) Result {
	id := gypsum.RequestID(uuid.NewString())
	call := &gypsum.Call{
		ID: id, Service: PlainService, Class: gypsum.ClassLive, Stage: gypsum.StagePlace, Budget: c.Timeout,
		Tenant: "caller", IdempotencyKey: key, Fingerprint: gypsum.FingerprintOf(PlainService, "POST /orders", []byte(body)),
		Plain: &gypsum.PlainRequest{
			ID: id, Method: "POST", Path: "/orders", Body: []byte(body), NonIdempotent: true,
			Header: map[string][]string{"Idempotency-Key": {string(key)}},
		},
	}
	return c.runCall(ctx, "order", entryHost, call)
}

// GetOrders sends an idempotent request to the plain service through an entry host.
func (c *Caller) GetOrders(ctx context.Context, entryHost gypsum.HostID) Result {
	id := gypsum.RequestID(uuid.NewString())
	call := &gypsum.Call{
		ID: id, Service: PlainService, Class: gypsum.ClassLive, Stage: gypsum.StagePlace, Budget: c.Timeout, Tenant: "caller",
		Fingerprint: gypsum.FingerprintOf(PlainService, "GET /orders", nil),
		Plain:       &gypsum.PlainRequest{ID: id, Method: "GET", Path: "/orders"},
	}
	return c.runCall(ctx, "get", entryHost, call)
}

// RequestCompletion requests a completion through an entry host and checks the response.
func (c *Caller) RequestCompletion(ctx context.Context, entryHost gypsum.HostID, prompt string, recovery gypsum.Recovery) Result {
	id := gypsum.RequestID(uuid.NewString())
	call := &gypsum.Call{
		ID: id, Service: ModelService, Class: gypsum.ClassLive, Stage: gypsum.StagePlace, Budget: c.Timeout,
		Tenant: "caller", PrefixHash: gypsum.Hash64(prompt), Recovery: recovery,
		Fingerprint: gypsum.FingerprintOf(ModelService, "completions", []byte(prompt)),
		Generation:  &gypsum.Generation{ID: id, Model: ModelName, Prompt: prompt, MaxTokens: 64, Seed: 1},
	}
	return c.runCall(ctx, "completion", entryHost, call)
}

// runCall sends a call and records its result.
func (c *Caller) runCall(ctx context.Context, kind string, entryHost gypsum.HostID, call *gypsum.Call) Result {
	result := Result{Kind: kind, Key: call.IdempotencyKey, EntryHost: entryHost, Start: time.Now()}
	assembler, body, ended := &gypsum.ResponseAssembler{}, "", false
	err := c.Dial(entryHost).Run(ctx, call, func(event *gypsum.Event) error {
		switch {
		case event.Restart:
			*assembler = gypsum.ResponseAssembler{}
		case event.Chunk != nil:
			if _, err := assembler.Append(event.Chunk); err != nil {
				return fmt.Errorf("assemble response: %w", err)
			}
		case event.Response != nil:
			body = string(event.Response.Body)
		case event.End != nil:
			ended = true
		}
		return nil
	})
	result.Duration = time.Since(result.Start)
	switch {
	case err != nil:
		result.Refusal = gypsum.AsRefusal(err)
	case !ended:
		c.Recorder.ReportViolation("%s ended without mark", kind)
	case call.Generation != nil:
		result.Response = assembler.Text()
		c.Recorder.addTokens(assembler.Tokens())
		c.checkCompletion(call, assembler)
	default:
		result.Response = body
	}
	c.Recorder.addResult(result)
	return result
}

// checkCompletion checks that a completion is complete and belongs to the call. It skips
// responses with a segment of unknown version, whose text cannot be recomputed.
func (c *Caller) checkCompletion(call *gypsum.Call, assembler *gypsum.ResponseAssembler) {
	for _, segment := range assembler.Segments() {
		if segment.Version == 0 {
			return
		}
	}
	want := fake.ResponseText(call.Generation.Prompt, call.Generation.Seed, assembler.Segments())
	if !assembler.IsComplete() || assembler.Text() != want || assembler.Tokens() != fake.ResponseLength(call.Generation.Prompt, call.Generation.Seed, call.Generation.MaxTokens) {
		c.Recorder.ReportViolation("completion for %q is not whole or not its own", call.Generation.Prompt)
	}
}

// CheckExecutions compares the recorded results with the number of executions of each
// idempotency key, and checks that each call ended by its deadline. It returns all
// violations recorded so far.
func (c *Caller) CheckExecutions(executions map[string]int) []string {
	type keyOutcome struct {
		responses []string
		unknown   int
	}
	keys := make(map[gypsum.IdempotencyKey]*keyOutcome)
	for _, result := range c.Recorder.Results() {
		if result.Duration > c.Timeout+deadlineTolerance {
			c.Recorder.ReportViolation("%s via %s ended %s after its start, the deadline was %s", result.Kind, result.EntryHost, result.Duration, c.Timeout)
		}
		if result.Kind != "order" {
			continue
		}
		outcome, ok := keys[result.Key]
		if !ok {
			outcome = &keyOutcome{}
			keys[result.Key] = outcome
		}
		if result.Response != "" {
			outcome.responses = append(outcome.responses, result.Response)
		} else if result.Refusal != nil && result.Refusal.Outcome == gypsum.OutcomeUnknown {
			outcome.unknown++
		}
	}
	for key, outcome := range keys {
		switch count := executions[string(key)]; {
		case count > 1:
			c.Recorder.ReportViolation("order %s ran %d times", key, count)
		case count == 0 && len(outcome.responses) > 0:
			c.Recorder.ReportViolation("order %s was answered and never ran", key)
		case count > 0 && len(outcome.responses)+outcome.unknown == 0:
			c.Recorder.ReportViolation("order %s ran although callers were told it had not", key)
		}
		for _, response := range outcome.responses {
			if response != outcome.responses[0] {
				c.Recorder.ReportViolation("order %s was answered in two ways", key)
			}
		}
	}
	return c.Recorder.Violations()
}

// NewKey returns a new idempotency key, a UUIDv7 of the current time. The library's
// generator of UUIDv7 is unsuitable, as its time never goes backwards but the virtual
// time of tests does.
func NewKey() gypsum.IdempotencyKey {
	id := uuid.New()
	milliseconds := time.Now().UnixMilli()
	for i := range 6 {
		id[i] = byte(milliseconds >> (8 * (5 - i)))
	}
	id[6] = 0x70 | id[6]&0x0f
	return gypsum.IdempotencyKey(id.String())
}

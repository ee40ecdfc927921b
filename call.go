package gypsum

import (
	"context"
	"time"
)

// Class is the priority class of a call.
type Class string

// The classes of calls. ClassLive calls are served before ClassTrainer calls.
const (
	ClassLive    Class = "live"
	ClassTrainer Class = "trainer"
)

// Stage is the processing step of a call that the receiving daemon performs.
type Stage string

// The stages of a call.
const (
	// StagePlace asks the receiver to choose a backend server in its data centre.
	StagePlace Stage = "place"
	// StageQueue asks the receiver, the owner of Target's queue, to queue the call.
	StageQueue Stage = "queue"
	// StageDedup asks the receiver to deduplicate the call by its idempotency key
	// and to run it.
	StageDedup Stage = "once"
)

// Recovery is what may be done with a call whose response is incomplete.
type Recovery string

// The kinds of recovery. RecoveryNone fails the call, RecoveryRestart runs it again
// from the start, RecoveryResume lets another engine continue after the last token.
const (
	RecoveryNone    Recovery = ""
	RecoveryRestart Recovery = "restart"
	RecoveryResume  Recovery = "resume"
)

// MaxRedirects is how often queue owners may send a call back to be placed
// elsewhere because it would have to wait.
const MaxRedirects = 2

// Call is a request on its way through the daemons to a backend server.
type Call struct {
	ID      RequestID   `json:"id"`
	Service ServiceName `json:"service"`
	Class   Class       `json:"class"`
	Stage   Stage       `json:"stage"`
	// Budget is the time left when the call was sent. Each receiver derives its
	// own deadline from it, so that clocks of different hosts are never compared.
	Budget time.Duration `json:"budget"`
	// Target is the chosen backend server.
	Target BackendID `json:"target,omitempty"`
	// DataCentre is the data centre that was chosen for the call, if any.
	DataCentre DataCentre `json:"centre,omitempty"`
	// AnyOwner means that the receiver serves a non-idempotent call even if it does not own the
	// shard of its key, since daemons disagree about the owner. The order of the log decides.
	AnyOwner bool `json:"any_owner,omitempty"`
	// Hops is the number of daemons that the call has passed through.
	Hops int `json:"hops,omitempty"`
	// Tenant is the caller or plan whose fair share the call counts against.
	Tenant string `json:"tenant,omitempty"`
	// Weight is the tenant's share relative to others, 0 meaning 1.
	Weight int `json:"weight,omitempty"`
	// TrainerWait is how long the plan's trainer has waited for the step, multiplied
	// by the plan's IdleWeight.
	TrainerWait time.Duration `json:"waited,omitempty"`
	// CrashCounts are the sender's counts of backend servers that crashed while running
	// a call with this body. A call with any is suspected of crashing them.
	CrashCounts []CrashCount `json:"crashes,omitempty"`
	Fingerprint Fingerprint  `json:"fingerprint,omitempty"`
	// PrefixHash is a hash of the prompt's prefix, for cache affinity.
	PrefixHash     uint64         `json:"affinity,omitempty"`
	IdempotencyKey IdempotencyKey `json:"key,omitempty"`
	Generation     *Generation    `json:"generation,omitempty"`
	Plain          *PlainRequest  `json:"plain,omitempty"`
	// Redirects is how often a queue owner has sent the call back to try another
	// backend server because it would have had to wait.
	Redirects int `json:"bounces,omitempty"`
	// Recovery applies only to generations, which are idempotent.
	Recovery Recovery `json:"recovery,omitempty"`
	// MinVersion is the oldest acceptable weight version.
	MinVersion WeightVersion `json:"min_version,omitempty"`
	// ExcludedBackends are the backend servers that have failed the call.
	ExcludedBackends []BackendID `json:"excluded,omitempty"`
	// ExcludedDataCentres are the data centres that could not accept the call.
	ExcludedDataCentres []DataCentre `json:"avoided,omitempty"`
}

// Event is one event of the response to a call. Exactly one field is set.
type Event struct {
	Chunk    *Chunk         `json:"chunk,omitempty"`
	Response *PlainResponse `json:"response,omitempty"`
	Refusal  *Refusal       `json:"refusal,omitempty"`
	// KeepAlive means that the call is in progress and its response is pending. It is
	// sent at intervals, so that a silent daemon is detected.
	KeepAlive bool `json:"alive,omitempty"`
	// Restart means that the response starts over. Earlier chunks are discarded.
	Restart bool `json:"restart,omitempty"`
	// End marks the end of a complete response.
	End *End `json:"end,omitempty"`
}

// End is the last event of a complete response.
type End struct {
	Backend BackendID `json:"backend"`
}

// Sink receives the events of a response in order.
type Sink func(*Event) error

// NonIdempotent reports whether the call must not run twice.
func (c *Call) NonIdempotent() bool { return c.Plain != nil && c.Plain.NonIdempotent }

// ScopedKey returns the idempotency key prefixed with its service, since callers of
// different services may choose the same key.
func (c *Call) ScopedKey() IdempotencyKey {
	return IdempotencyKey(string(c.Service) + "/" + string(c.IdempotencyKey))
}

// CallRunner runs calls and passes the events of the response to a sink. A returned error
// is a *Refusal or means that the outcome is unknown.
type CallRunner interface {
	Run(ctx context.Context, call *Call, sink Sink) error
}

// CallRunnerFunc is an adapter that lets a function be used as a CallRunner.
type CallRunnerFunc func(ctx context.Context, call *Call, sink Sink) error

// Run implements CallRunner by calling f.
func (f CallRunnerFunc) Run(ctx context.Context, call *Call, sink Sink) error {
	return f(ctx, call, sink)
}

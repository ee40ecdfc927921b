package gypsum

import (
	"context"
	"time"
)

// Class is the class of a call.
type Class string

// ClassLive calls are served before ClassTrainer calls.
const (
	ClassLive    Class = "live"
	ClassTrainer Class = "trainer"
)

// Stage is the part of a call's way that the receiving daemon takes over.
type Stage string

// The stages of a call.
const (
	// StagePlace asks the receiver to choose a backend server in its data centre.
	StagePlace Stage = "place"
	// StageQueue asks the receiver to queue the call for Target, which it owns.
	StageQueue Stage = "queue"
	// StageDedup asks the receiver to guard the idempotency key and run the call.
	StageDedup Stage = "once"
)

// Recovery is what may be done with a call whose answer broke off.
type Recovery string

// RecoveryNone ends the call, RecoveryRestart runs it again from the start,
// RecoveryResume lets another engine go on behind the last token.
const (
	RecoveryNone    Recovery = ""
	RecoveryRestart Recovery = "restart"
	RecoveryResume  Recovery = "resume"
)

// MaxRedirects is how often a call may be sent back because of a wait.
const MaxRedirects = 2

// Call is one request on its way to a backend server.
type Call struct {
	ID      RequestID   `json:"id"`
	Service ServiceName `json:"service"`
	Class   Class       `json:"class"`
	Stage   Stage       `json:"stage"`
	// Budget is the time left when the call was sent on; each receiver counts
	// its own deadline from it, so that clocks are never compared.
	Budget time.Duration `json:"budget"`
	// Target is the chosen backend server.
	Target BackendID `json:"target,omitempty"`
	// DataCentre is the data centre that was chosen for the call, if any.
	DataCentre DataCentre `json:"centre,omitempty"`
	// Hops is the number of daemons the call has passed.
	Hops int `json:"hops,omitempty"`
	// Tenant is the caller or plan whose fair share the call uses.
	Tenant string `json:"tenant,omitempty"`
	// Weight is the tenant's share relative to others, 0 meaning 1.
	Weight int `json:"weight,omitempty"`
	// TrainerWait is how long the plan's trainer has waited for the step, weighted by
	// the plan's weight of idle time.
	TrainerWait time.Duration `json:"waited,omitempty"`
	// Crashes are the sender's counts of backend servers that died while they
	// ran the call's body. A call with any is suspect.
	Crashes     []Crash     `json:"crashes,omitempty"`
	Fingerprint Fingerprint `json:"fingerprint,omitempty"`
	// PrefixHash is a hash of the prompt's prefix.
	PrefixHash     uint64         `json:"affinity,omitempty"`
	IdempotencyKey IdempotencyKey `json:"key,omitempty"`
	Generation     *Generation    `json:"generation,omitempty"`
	Plain          *PlainRequest  `json:"plain,omitempty"`
	// Redirects is how often a queue owner has sent the call back to try another
	// backend server, since it would have had to wait.
	Redirects int `json:"bounces,omitempty"`
	// Recovery applies to generations, which are idempotent.
	Recovery Recovery `json:"recovery,omitempty"`
	// MinVersion is the oldest version of the weights that is of use.
	MinVersion WeightVersion `json:"min_version,omitempty"`
	// ExcludedBackends are backend servers that failed the call.
	ExcludedBackends []BackendID `json:"excluded,omitempty"`
	// AvoidedDataCentres are data centres that could not take the call.
	AvoidedDataCentres []DataCentre `json:"avoided,omitempty"`
}

// Event is a piece of the answer to a call. Exactly one field is set.
type Event struct {
	Chunk    *Chunk         `json:"chunk,omitempty"`
	Response *PlainResponse `json:"response,omitempty"`
	Refusal  *Refusal       `json:"refusal,omitempty"`
	// KeepAlive says that the call is in hand and its answer is still to come.
	KeepAlive bool `json:"alive,omitempty"`
	// Restart says that the answer begins anew; what came before is void.
	Restart bool `json:"restart,omitempty"`
	// End marks the end of a whole answer.
	End *End `json:"end,omitempty"`
}

// End is the last event of a whole answer.
type End struct {
	Backend BackendID `json:"backend"`
}

// Sink takes the events of an answer in order.
type Sink func(*Event) error

// NonIdempotent tells whether the call must not run twice.
func (c *Call) NonIdempotent() bool { return c.Plain != nil && c.Plain.NonIdempotent }

// ScopedKey returns the idempotency key together with its service, since
// callers of different services may choose the same key.
func (c *Call) ScopedKey() IdempotencyKey {
	return IdempotencyKey(string(c.Service) + "/" + string(c.IdempotencyKey))
}

// Runner takes a call to its answer. A returned error is a *Refusal or means
// that the outcome is unknown.
type Runner interface {
	Run(ctx context.Context, call *Call, sink Sink) error
}

// RunnerFunc is a function that serves as a Runner.
type RunnerFunc func(ctx context.Context, call *Call, sink Sink) error

// Run calls the function.
func (f RunnerFunc) Run(ctx context.Context, call *Call, sink Sink) error {
	return f(ctx, call, sink)
}

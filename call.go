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
	// StageOnce asks the receiver to guard the idempotency key and run the call.
	StageOnce Stage = "once"
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

// MaxBounces is how often a call may be sent back because of a wait.
const MaxBounces = 2

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
	// Centre is the data centre that was chosen for the call, if any.
	Centre DataCentre `json:"centre,omitempty"`
	// Hops is the number of daemons the call has passed.
	Hops int `json:"hops,omitempty"`
	// Tenant is the caller or plan whose fair share the call uses.
	Tenant string `json:"tenant,omitempty"`
	// Weight is the tenant's share relative to others, 0 meaning 1.
	Weight int `json:"weight,omitempty"`
	// Waited is how long the plan's trainer has waited for the step, weighted by
	// the plan's weight of idle time.
	Waited time.Duration `json:"waited,omitempty"`
	// Crashes are the sender's counts of backend servers that died while they
	// ran the call's body. A call with any is suspect.
	Crashes     []Crash     `json:"crashes,omitempty"`
	Fingerprint Fingerprint `json:"fingerprint,omitempty"`
	// Affinity is a hash of the prompt's prefix.
	Affinity   uint64         `json:"affinity,omitempty"`
	Key        IdempotencyKey `json:"key,omitempty"`
	Generation *Generation    `json:"generation,omitempty"`
	Plain      *PlainRequest  `json:"plain,omitempty"`
	// Bounces is how often a queue owner has sent the call back to try another
	// backend server, since it would have had to wait.
	Bounces int `json:"bounces,omitempty"`
	// Recovery applies to generations, which are idempotent.
	Recovery Recovery `json:"recovery,omitempty"`
	// MinVersion is the oldest version of the weights that is of use.
	MinVersion WeightVersion `json:"min_version,omitempty"`
	// Excluded are backend servers that failed the call.
	Excluded []BackendID `json:"excluded,omitempty"`
	// Avoided are data centres that could not take the call.
	Avoided []DataCentre `json:"avoided,omitempty"`
}

// Event is a piece of the answer to a call. Exactly one field is set.
type Event struct {
	Chunk    *Chunk         `json:"chunk,omitempty"`
	Response *PlainResponse `json:"response,omitempty"`
	Refusal  *Refusal       `json:"refusal,omitempty"`
	// Alive says that the call is in hand and its answer is still to come.
	Alive bool `json:"alive,omitempty"`
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

// Once tells whether the call must not run twice.
func (c *Call) Once() bool { return c.Plain != nil && c.Plain.Once }

// ScopedKey returns the idempotency key together with its service, since
// callers of different services may choose the same key.
func (c *Call) ScopedKey() IdempotencyKey {
	return IdempotencyKey(string(c.Service) + "/" + string(c.Key))
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

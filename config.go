package gypsum

import "time"

// ServiceSpec is the operators' description of a service.
type ServiceSpec struct {
	Name ServiceName `json:"name"`
	Kind HostKind    `json:"kind"`
	// Model is the name of the model in the weight store, for model services.
	Model string `json:"model,omitempty"`
	// DefaultTimeout applies to calls without a deadline.
	DefaultTimeout time.Duration `json:"default_timeout"`
	// MaxQueue is the maximum number of calls that wait for one backend server.
	MaxQueue int `json:"max_queue"`
	// MaxConcurrentLoads is how many replicas may load weights at the same time, 0
	// meaning a quarter of them.
	MaxConcurrentLoads int `json:"max_away,omitempty"`
	// CrashLimit is how many backend servers a request may crash before it is
	// refused permanently.
	CrashLimit int `json:"crash_limit"`
	// FollowWeights makes the engines load each new version of the model.
	FollowWeights bool `json:"follow_weights,omitempty"`
	// EnforcesFencing means that the engines reject a load order with a stale fencing
	// token.
	EnforcesFencing bool `json:"fenced,omitempty"`
}

// PlanSpec is the operators' description of a rollout plan, which defines the samples
// that are generated for each step of a trainer.
type PlanSpec struct {
	Name    PlanName    `json:"name"`
	Service ServiceName `json:"service"`
	// Scorer is the plain service that scores the samples, if any.
	Scorer  ServiceName `json:"scorer,omitempty"`
	Prompts []string    `json:"prompts,omitempty"`
	Groups  int         `json:"groups"`
	// GroupSize is the number of samples in a group.
	GroupSize int `json:"group_size"`
	MaxTokens int `json:"max_tokens"`
	// MaxStaleness is how many weight versions a sample may be behind the trainer.
	MaxStaleness int `json:"max_staleness"`
	// MaxStepsAhead is how many steps after the trainer's current step may be started before
	// the trainer requests them.
	MaxStepsAhead int `json:"ahead"`
	// SampleTimeout is the timeout of one attempt at a slot.
	SampleTimeout time.Duration `json:"sample_timeout"`
	// Share is the plan's fair-share weight among the plans of a service.
	Share int `json:"share"`
	// IdleWeight and StalenessWeight are the weights of the plan's two objectives:
	// the trainer's idle time and the staleness of samples.
	IdleWeight      float64 `json:"idle_weight"`
	StalenessWeight float64 `json:"staleness_weight"`
}

// ChangeKind is the kind of a configuration change.
type ChangeKind string

// The kinds of configuration changes.
const (
	ChangePutService    ChangeKind = "put_service"
	ChangePutPlan       ChangeKind = "put_plan"
	ChangeDeleteService ChangeKind = "delete_service"
	ChangeDeletePlan    ChangeKind = "delete_plan"
	ChangeDrainBackend  ChangeKind = "drain_backend"
	ChangeResumeBackend ChangeKind = "resume_backend"
)

// Change is a change of the configuration that an operator requests.
type Change struct {
	// ID makes a retry of the change idempotent.
	ID   string     `json:"id"`
	Kind ChangeKind `json:"kind"`
	Name string     `json:"name"`
	// BaseRevision is the revision at which the object was last changed, 0 for a new one.
	BaseRevision Revision     `json:"base"`
	Operator     string       `json:"operator"`
	Service      *ServiceSpec `json:"service,omitempty"`
	Plan         *PlanSpec    `json:"plan,omitempty"`
}

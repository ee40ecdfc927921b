package gypsum

import "time"

// ServiceSpec is the operators' description of a service.
type ServiceSpec struct {
	Name ServiceName `json:"name"`
	Kind HostKind    `json:"kind"`
	// Model is the model's name in the weight store, for model services.
	Model string `json:"model,omitempty"`
	// DefaultTimeout is the deadline of calls that state none.
	DefaultTimeout time.Duration `json:"default_timeout"`
	// MaxQueue bounds the calls that wait for one backend server.
	MaxQueue int `json:"max_queue"`
	// MaxConcurrentLoads is how many replicas may change weights at the same time.
	MaxConcurrentLoads int `json:"max_away,omitempty"`
	// CrashLimit is how many backend servers a request may crash before it is
	// refused for good.
	CrashLimit int `json:"crash_limit"`
	// FollowWeights makes the engines load each new version of the model.
	FollowWeights bool `json:"follow_weights,omitempty"`
	// EnforcesFencing says that the engines refuse an order with an old fencing number.
	EnforcesFencing bool `json:"fenced,omitempty"`
}

// PlanSpec is the operators' description of a rollout plan.
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
	// MaxStaleness is how many versions a sample may be behind the trainer.
	MaxStaleness int `json:"max_staleness"`
	// MaxStepsAhead is how many steps may be started before the trainer asks for them.
	MaxStepsAhead int `json:"ahead"`
	// SampleTimeout is the deadline of one attempt at a slot.
	SampleTimeout time.Duration `json:"sample_timeout"`
	// Share is the plan's weight among the plans of a service.
	Share int `json:"share"`
	// IdleWeight and StalenessWeight weigh the two measures of the plan.
	IdleWeight      float64 `json:"idle_weight"`
	StalenessWeight float64 `json:"staleness_weight"`
}

// ChangeKind is what a configuration change does.
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

// Change is an operator's change of the configuration.
type Change struct {
	// ID makes a repeat of the change idempotent.
	ID   string     `json:"id"`
	Kind ChangeKind `json:"kind"`
	Name string     `json:"name"`
	// BaseRevision is the revision at which the object was last changed, 0 for a new one.
	BaseRevision Revision     `json:"base"`
	Operator     string       `json:"operator"`
	Service      *ServiceSpec `json:"service,omitempty"`
	Plan         *PlanSpec    `json:"plan,omitempty"`
}

package config

import (
	"fmt"
	"regexp"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// ErrInvalid means that a change is invalid and cannot be accepted.
var ErrInvalid = errors.New("invalid change")

// ConflictError means that a change is based on a revision of its object that another
// change has replaced.
type ConflictError struct {
	Name            string
	BaseRevision    gypsum.Revision
	CurrentRevision gypsum.Revision
	// ChangedBy is the operator whose change created CurrentRevision, if known.
	ChangedBy string
}

// Error implements error. It names the operator and the revision of the conflicting
// change.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s was changed at revision %d by %q; this change is based on revision %d",
		e.Name, e.CurrentRevision, e.ChangedBy, e.BaseRevision)
}

// Limits of the values in a configuration.
const (
	maxGroups    = 65536
	maxGroupSize = 4096
	maxTokens    = 1 << 20
	// maxQueueLimit limits max_queue and max_away.
	maxQueueLimit = 100000
	maxTimeout    = time.Hour
	maxCrashLimit = 100
	maxStaleness  = 1000
	maxStepsAhead = 16
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

// Validate checks a change without the configuration that it applies to. It returns
// ErrInvalid if the change can never be accepted.
func Validate(change *gypsum.Change) error {
	if change.ID == "" {
		return fmt.Errorf("change has no id: %w", ErrInvalid)
	}
	if !namePattern.MatchString(change.Name) {
		return fmt.Errorf("name %q must be 1 to 64 characters of a-z, 0-9, and inside the name also . _ -: %w", change.Name, ErrInvalid)
	}
	switch change.Kind {
	case gypsum.ChangePutService:
		return validateService(change.Name, change.Service)
	case gypsum.ChangePutPlan:
		return validatePlan(change.Name, change.Plan)
	case gypsum.ChangeDeleteService, gypsum.ChangeDeletePlan, gypsum.ChangeDrainBackend, gypsum.ChangeResumeBackend:
		return nil
	}
	return fmt.Errorf("unknown kind of change %q: %w", change.Kind, ErrInvalid)
}

// rangeCheck describes a field of a spec and its allowed range.
type rangeCheck struct {
	field    string
	value    int64
	min, max int64
}

// checkRanges returns an error for the first field that is out of range.
func checkRanges(name string, ranges []rangeCheck) error {
	for _, r := range ranges {
		if r.value < r.min || r.value > r.max {
			return fmt.Errorf("%s: %s is %d, allowed is %d to %d: %w", name, r.field, r.value, r.min, r.max, ErrInvalid)
		}
	}
	return nil
}

func validateService(name string, spec *gypsum.ServiceSpec) error {
	if spec == nil || string(spec.Name) != name {
		return fmt.Errorf("%s: change does not contain a service of this name: %w", name, ErrInvalid)
	}
	if spec.Kind != gypsum.HostKindModel && spec.Kind != gypsum.HostKindPlain {
		return fmt.Errorf("%s: kind is %q, allowed is model or plain: %w", name, spec.Kind, ErrInvalid)
	}
	if spec.Kind == gypsum.HostKindModel && spec.Model == "" {
		return fmt.Errorf("%s: model is required for a model service: %w", name, ErrInvalid)
	}
	return checkRanges(name, []rangeCheck{
		{"default_timeout in ms", spec.DefaultTimeout.Milliseconds(), 1, maxTimeout.Milliseconds()},
		{"max_queue", int64(spec.MaxQueue), 1, maxQueueLimit},
		{"crash_limit", int64(spec.CrashLimit), 1, maxCrashLimit},
		{"max_away", int64(spec.MaxConcurrentLoads), 0, maxQueueLimit},
	})
}

func validatePlan(name string, spec *gypsum.PlanSpec) error {
	if spec == nil || string(spec.Name) != name {
		return fmt.Errorf("%s: change does not contain a plan of this name: %w", name, ErrInvalid)
	}
	if spec.IdleWeight < 0 || spec.StalenessWeight < 0 {
		return fmt.Errorf("%s: idle_weight and staleness_weight must not be negative: %w", name, ErrInvalid)
	}
	return checkRanges(name, []rangeCheck{
		{"groups", int64(spec.Groups), 1, maxGroups},
		{"group_size", int64(spec.GroupSize), 1, maxGroupSize},
		{"max_tokens", int64(spec.MaxTokens), 1, maxTokens},
		{"max_staleness", int64(spec.MaxStaleness), 0, maxStaleness},
		{"ahead", int64(spec.MaxStepsAhead), 0, maxStepsAhead},
		{"sample_timeout in ms", spec.SampleTimeout.Milliseconds(), 1, maxTimeout.Milliseconds()},
		{"share", int64(spec.Share), 1, 1000},
	})
}

// checkReferences checks a change against the objects that it refers to or removes.
func (c *Config) checkReferences(change *gypsum.Change) error {
	switch change.Kind {
	case gypsum.ChangePutPlan:
		return c.checkPlanReferences(change.Plan)
	case gypsum.ChangeDeleteService:
		for name, plan := range c.Plans {
			if string(plan.Spec.Service) == change.Name || string(plan.Spec.Scorer) == change.Name {
				return fmt.Errorf("service %s is used by plan %s: %w", change.Name, name, ErrInvalid)
			}
		}
	}
	if requiresExistingObject(change.Kind) && change.BaseRevision == 0 {
		return fmt.Errorf("%s does not exist: %w", change.Name, ErrInvalid)
	}
	return nil
}

// checkPlanReferences checks the services that a plan refers to.
func (c *Config) checkPlanReferences(spec *gypsum.PlanSpec) error {
	service, ok := c.Services[spec.Service]
	if !ok || service.Spec.Kind != gypsum.HostKindModel {
		return fmt.Errorf("plan %s: %q is not a model service: %w", spec.Name, spec.Service, ErrInvalid)
	}
	scorer, ok := c.Services[spec.Scorer]
	if spec.Scorer != "" && (!ok || scorer.Spec.Kind != gypsum.HostKindPlain) {
		return fmt.Errorf("plan %s: %q is not a plain service: %w", spec.Name, spec.Scorer, ErrInvalid)
	}
	return nil
}

// requiresExistingObject reports whether changes of a kind remove something that must exist.
func requiresExistingObject(kind gypsum.ChangeKind) bool {
	return kind == gypsum.ChangeDeleteService || kind == gypsum.ChangeDeletePlan || kind == gypsum.ChangeResumeBackend
}

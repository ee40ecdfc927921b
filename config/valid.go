package config

import (
	"fmt"
	"regexp"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// ErrInvalid is a change that can never be accepted.
var ErrInvalid = errors.New("invalid change")

// ConflictError is a change based on a state that another change has replaced.
type ConflictError struct {
	Name    string
	Base    gypsum.Revision
	Current gypsum.Revision
	// Winner is the operator whose change came first, if known.
	Winner string
}

// Error says what won.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s was changed at revision %d by %q; this change is based on revision %d",
		e.Name, e.Current, e.Winner, e.Base)
}

// Limits of what a configuration may hold.
const (
	maxGroups     = 65536
	maxGroupSize  = 4096
	maxTokens     = 1 << 20
	maxQueueLimit = 100000
	maxTimeout    = time.Hour
	maxCrashLimit = 100
	maxStaleness  = 1000
	maxAhead      = 16
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

// Validate checks a change by itself.
func Validate(change *gypsum.Change) error {
	if change.ID == "" {
		return fmt.Errorf("change has no id: %w", ErrInvalid)
	}
	if !namePattern.MatchString(change.Name) {
		return fmt.Errorf("name %q: allowed are a-z, 0-9 and inner . _ -, up to 64: %w", change.Name, ErrInvalid)
	}
	switch change.Kind {
	case gypsum.ChangePutService:
		return validateService(change.Name, change.Service)
	case gypsum.ChangePutPlan:
		return validatePlan(change.Name, change.Plan)
	case gypsum.ChangeDeleteService, gypsum.ChangeDeletePlan, gypsum.ChangeDrainBackend, gypsum.ChangeResumeBackend:
		return nil
	}
	return fmt.Errorf("kind of change %q: %w", change.Kind, ErrInvalid)
}

// inRange is the check of one number of a spec.
type inRange struct {
	field    string
	value    int64
	from, to int64
}

// checkRanges returns an error for the first number out of range.
func checkRanges(name string, ranges []inRange) error {
	for _, r := range ranges {
		if r.value < r.from || r.value > r.to {
			return fmt.Errorf("%s: %s is %d, allowed is %d to %d: %w", name, r.field, r.value, r.from, r.to, ErrInvalid)
		}
	}
	return nil
}

// validateService checks a service.
func validateService(name string, spec *gypsum.ServiceSpec) error {
	if spec == nil || string(spec.Name) != name {
		return fmt.Errorf("%s: change holds no service of this name: %w", name, ErrInvalid)
	}
	if spec.Kind != gypsum.KindModel && spec.Kind != gypsum.KindPlain {
		return fmt.Errorf("%s: kind is %q, allowed is model or plain: %w", name, spec.Kind, ErrInvalid)
	}
	if spec.Kind == gypsum.KindModel && spec.Model == "" {
		return fmt.Errorf("%s: a model service needs model: %w", name, ErrInvalid)
	}
	return checkRanges(name, []inRange{
		{"default_timeout in ms", spec.DefaultTimeout.Milliseconds(), 1, maxTimeout.Milliseconds()},
		{"max_queue", int64(spec.MaxQueue), 1, maxQueueLimit},
		{"crash_limit", int64(spec.CrashLimit), 1, maxCrashLimit},
		{"max_away", int64(spec.MaxConcurrentLoads), 0, maxQueueLimit},
	})
}

// validatePlan checks a plan.
func validatePlan(name string, spec *gypsum.PlanSpec) error {
	if spec == nil || string(spec.Name) != name {
		return fmt.Errorf("%s: change holds no plan of this name: %w", name, ErrInvalid)
	}
	if spec.IdleWeight < 0 || spec.StalenessWeight < 0 {
		return fmt.Errorf("%s: weights of measures must not be below 0: %w", name, ErrInvalid)
	}
	return checkRanges(name, []inRange{
		{"groups", int64(spec.Groups), 1, maxGroups},
		{"group_size", int64(spec.GroupSize), 1, maxGroupSize},
		{"max_tokens", int64(spec.MaxTokens), 1, maxTokens},
		{"max_staleness", int64(spec.MaxStaleness), 0, maxStaleness},
		{"ahead", int64(spec.MaxStepsAhead), 0, maxAhead},
		{"sample_timeout in ms", spec.SampleTimeout.Milliseconds(), 1, maxTimeout.Milliseconds()},
		{"share", int64(spec.Share), 1, 1000},
	})
}

// checkReferences checks a change against the objects it names.
func (c *Config) checkReferences(change *gypsum.Change) error {
	switch change.Kind {
	case gypsum.ChangePutPlan:
		return c.checkPlan(change.Plan)
	case gypsum.ChangeDeleteService:
		for name, plan := range c.Plans {
			if string(plan.Spec.Service) == change.Name || string(plan.Spec.Scorer) == change.Name {
				return fmt.Errorf("service %s is used by plan %s: %w", change.Name, name, ErrInvalid)
			}
		}
	}
	if isDelete(change.Kind) && change.BaseRevision == 0 {
		return fmt.Errorf("%s does not exist: %w", change.Name, ErrInvalid)
	}
	return nil
}

// checkPlan checks the services that a plan names.
func (c *Config) checkPlan(spec *gypsum.PlanSpec) error {
	service, ok := c.Services[spec.Service]
	if !ok || service.Spec.Kind != gypsum.KindModel {
		return fmt.Errorf("plan %s: %q is no model service: %w", spec.Name, spec.Service, ErrInvalid)
	}
	scorer, ok := c.Services[spec.Scorer]
	if spec.Scorer != "" && (!ok || scorer.Spec.Kind != gypsum.KindPlain) {
		return fmt.Errorf("plan %s: %q is no plain service: %w", spec.Name, spec.Scorer, ErrInvalid)
	}
	return nil
}

// isDelete tells whether a change takes something away that must exist.
func isDelete(kind gypsum.ChangeKind) bool {
	return kind == gypsum.ChangeDeleteService || kind == gypsum.ChangeDeletePlan || kind == gypsum.ChangeResumeBackend
}

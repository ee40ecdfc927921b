// Package config implements the operators' configuration as a replicated state machine
// on the config stream. The order of the records in the log decides between concurrent
// changes.
package config

import (
	"maps"

	"github.com/gypsumhook/gypsum"
)

// Service is a service and the revision at which it was last changed.
type Service struct {
	Spec     gypsum.ServiceSpec `json:"spec"`
	Revision gypsum.Revision    `json:"revision"`
}

// Plan is a rollout plan and the revision at which it was last changed.
type Plan struct {
	Spec     gypsum.PlanSpec `json:"spec"`
	Revision gypsum.Revision `json:"revision"`
}

// Config is one version of the configuration. It is immutable. Each accepted change
// creates a new Config whose revision is higher by one.
type Config struct {
	Revision gypsum.Revision                `json:"revision"`
	Services map[gypsum.ServiceName]Service `json:"services"`
	Plans    map[gypsum.PlanName]Plan       `json:"plans"`
	// Drained maps each drained backend server to the revision at which it was drained.
	Drained map[gypsum.BackendID]gypsum.Revision `json:"drained"`
}

// Empty returns the configuration before the first change.
func Empty() *Config {
	return &Config{
		Services: map[gypsum.ServiceName]Service{},
		Plans:    map[gypsum.PlanName]Plan{},
		Drained:  map[gypsum.BackendID]gypsum.Revision{},
	}
}

// ObjectRevision returns the revision of the object that a change refers to, 0 if there
// is no such object.
func (c *Config) ObjectRevision(change *gypsum.Change) gypsum.Revision {
	switch change.Kind {
	case gypsum.ChangePutService, gypsum.ChangeDeleteService:
		return c.Services[gypsum.ServiceName(change.Name)].Revision
	case gypsum.ChangePutPlan, gypsum.ChangeDeletePlan:
		return c.Plans[gypsum.PlanName(change.Name)].Revision
	default:
		return c.Drained[gypsum.BackendID(change.Name)]
	}
}

// Apply returns the configuration after a change. It returns ErrInvalid or a
// *ConflictError if the change is rejected. Every daemon applies the same records in the
// same order and so makes the same decisions.
func (c *Config) Apply(change *gypsum.Change) (*Config, error) {
	if err := Validate(change); err != nil {
		return nil, err
	}
	if current := c.ObjectRevision(change); current != change.BaseRevision {
		return nil, &ConflictError{Name: change.Name, BaseRevision: change.BaseRevision, CurrentRevision: current}
	}
	if err := c.checkReferences(change); err != nil {
		return nil, err
	}
	next := c.clone()
	next.Revision++
	next.applyChange(change)
	return next, nil
}

// clone returns a copy whose maps can be modified.
func (c *Config) clone() *Config {
	return &Config{
		Revision: c.Revision,
		Services: maps.Clone(c.Services),
		Plans:    maps.Clone(c.Plans),
		Drained:  maps.Clone(c.Drained),
	}
}

// applyChange applies a validated change in place. c must be a clone.
func (c *Config) applyChange(change *gypsum.Change) {
	switch change.Kind {
	case gypsum.ChangePutService:
		c.Services[change.Service.Name] = Service{Spec: *change.Service, Revision: c.Revision}
	case gypsum.ChangePutPlan:
		c.Plans[change.Plan.Name] = Plan{Spec: *change.Plan, Revision: c.Revision}
	case gypsum.ChangeDeleteService:
		delete(c.Services, gypsum.ServiceName(change.Name))
	case gypsum.ChangeDeletePlan:
		delete(c.Plans, gypsum.PlanName(change.Name))
	case gypsum.ChangeDrainBackend:
		c.Drained[gypsum.BackendID(change.Name)] = c.Revision
	case gypsum.ChangeResumeBackend:
		delete(c.Drained, gypsum.BackendID(change.Name))
	}
}

// Package config keeps the operators' configuration: the fold of the records
// of the config stream, in which the log's order decides races.
package config

import (
	"maps"
	"sync/atomic"

	"github.com/gypsumhook/gypsum"
)

// Service is a service and the revision of its last change.
type Service struct {
	Spec     gypsum.ServiceSpec `json:"spec"`
	Revision gypsum.Revision    `json:"revision"`
}

// Plan is a rollout plan and the revision of its last change.
type Plan struct {
	Spec     gypsum.PlanSpec `json:"spec"`
	Revision gypsum.Revision `json:"revision"`
}

// Config is an immutable state of the configuration. Each accepted change
// makes a new one, with a revision one higher.
type Config struct {
	Revision gypsum.Revision                      `json:"revision"`
	Services map[gypsum.ServiceName]Service       `json:"services"`
	Plans    map[gypsum.PlanName]Plan             `json:"plans"`
	Drained  map[gypsum.BackendID]gypsum.Revision `json:"drained"`
}

// Empty returns the configuration before the first change.
func Empty() *Config {
	return &Config{
		Services: map[gypsum.ServiceName]Service{},
		Plans:    map[gypsum.PlanName]Plan{},
		Drained:  map[gypsum.BackendID]gypsum.Revision{},
	}
}

// Base returns the revision of the object that a change is about, 0 if there is none.
func (c *Config) Base(change *gypsum.Change) gypsum.Revision {
	switch change.Kind {
	case gypsum.ChangePutService, gypsum.ChangeDeleteService:
		return c.Services[gypsum.ServiceName(change.Name)].Revision
	case gypsum.ChangePutPlan, gypsum.ChangeDeletePlan:
		return c.Plans[gypsum.PlanName(change.Name)].Revision
	default:
		return c.Drained[gypsum.BackendID(change.Name)]
	}
}

// Fold returns the configuration after a change, or an error that says why the
// change is not accepted. Every daemon folds the same records in the same
// order and so decides alike.
func (c *Config) Fold(change *gypsum.Change) (*Config, error) {
	if err := Validate(change); err != nil {
		return nil, err
	}
	if base := c.Base(change); base != change.BaseRevision {
		return nil, &ConflictError{Name: change.Name, Base: change.BaseRevision, Current: base}
	}
	if err := c.checkReferences(change); err != nil {
		return nil, err
	}
	next := c.clone()
	next.Revision++
	next.put(change)
	return next, nil
}

// clone returns a copy whose maps can be changed.
func (c *Config) clone() *Config {
	return &Config{
		Revision: c.Revision,
		Services: maps.Clone(c.Services),
		Plans:    maps.Clone(c.Plans),
		Drained:  maps.Clone(c.Drained),
	}
}

// put carries out a checked change on a fresh copy.
func (c *Config) put(change *gypsum.Change) {
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

// Book holds the newest configuration known to a daemon, from the log or from
// a peer. Its revision never goes down.
type Book struct {
	current atomic.Pointer[Config]
}

// Current returns the newest configuration, nil before the first was learned.
func (b *Book) Current() *Config { return b.current.Load() }

// Revision returns the newest revision, 0 before the first was learned.
func (b *Book) Revision() gypsum.Revision {
	if current := b.Current(); current != nil {
		return current.Revision
	}
	return 0
}

// Offer takes over a configuration if it is newer than the current one.
func (b *Book) Offer(offered *Config) bool {
	for {
		current := b.current.Load()
		if current != nil && offered.Revision <= current.Revision {
			return false
		}
		if b.current.CompareAndSwap(current, offered) {
			return true
		}
	}
}

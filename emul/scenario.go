// Package emul emulates deployments that run batches: engines, trainers, the store and the
// holder of an engine service, in virtual time and one process. It drives the decisions of
// package sched, so that a change of policy can be judged over hundreds of seeds.
package emul

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// ErrScenario is the error of an invalid scenario.
var ErrScenario = errors.New("invalid scenario")

// Scenario is a deployment, a load and faults.
type Scenario struct {
	Name     string
	Duration time.Duration
	Engines  EngineSpec
	Scoring  ScoringSpec
	Store    StoreSpec
	Holder   HolderSpec
	Trainers []TrainerSpec
	Faults   []Fault
}

// EngineSpec describes the engines.
type EngineSpec struct {
	Count int `ini:"count"`
	Slots int `ini:"slots"`
	// EventTime is the time per event on the idle engine of mean speed.
	EventTime time.Duration `ini:"event_time"`
	// SpeedSpread is the largest relative deviation of an engine's event time from the mean.
	SpeedSpread float64 `ini:"speed_spread"`
	// Slowdown is the relative slowdown by one more concurrent attempt.
	Slowdown float64 `ini:"slowdown"`
	// StartTime is the time from the start of an attempt to its first event.
	StartTime time.Duration `ini:"start_time"`
	// EventJitter is the largest delay of an event on its way, relative to the event time.
	EventJitter float64       `ini:"event_jitter"`
	LoadTime    time.Duration `ini:"load_time"`
	// ReportLag is the time from the end of a load until the holder knows of it.
	ReportLag time.Duration `ini:"report_lag"`
}

// ScoringSpec describes the replicas that score texts, none if Replicas is 0.
type ScoringSpec struct {
	Replicas int           `ini:"replicas"`
	Slots    int           `ini:"slots"`
	Time     time.Duration `ini:"time"`
}

// StoreSpec describes the store.
type StoreSpec struct {
	// AppendTime is the time until a result is stored and its readers see it.
	AppendTime time.Duration `ini:"append_time"`
}

// HolderSpec describes the takeover of a lost holder.
type HolderSpec struct {
	// TakeoverTime is the time from the loss of a holder to the first decision of the next.
	TakeoverTime time.Duration `ini:"takeover_time"`
	// CheckpointInterval is the time between two checkpoints of an attempt.
	CheckpointInterval time.Duration `ini:"checkpoint_interval"`
}

// TrainerSpec describes a trainer and the texts of its steps. Lengths are log-normal around
// the median, and a share of the texts is TailFactor times as long.
type TrainerSpec struct {
	Groups    int `ini:"groups"`
	GroupSize int `ini:"group_size"`
	// WaitShare is the share of the groups that the trainer waits for.
	WaitShare    float64       `ini:"wait_share"`
	Interval     time.Duration `ini:"interval"`
	Due          time.Duration `ini:"due"`
	TrainTime    time.Duration `ini:"train_time"`
	MedianEvents float64       `ini:"median_events"`
	Sigma        float64       `ini:"sigma"`
	TailShare    float64       `ini:"tail_share"`
	TailFactor   float64       `ini:"tail_factor"`
	// HintSigma is the spread of the estimate of a text's length. The tail is not in it.
	HintSigma float64 `ini:"hint_sigma"`
	// ReadInterval is the time between two reads of results, ReadWait how long a read may be
	// kept open, and LinkTime the time for the texts to reach the trainer.
	ReadInterval time.Duration `ini:"read_interval"`
	ReadWait     time.Duration `ini:"read_wait"`
	LinkTime     time.Duration `ini:"link_time"`
}

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// FaultEngineSlow multiplies the event time of a share of the engines by Factor.
	FaultEngineSlow FaultKind = "engine_slow"
	// FaultEngineSilent stops a share of the engines without an error.
	FaultEngineSilent FaultKind = "engine_silent"
	// FaultEngineLimited makes a share of the engines accept Factor requests per second.
	FaultEngineLimited FaultKind = "engine_limited"
	// FaultStoreDown stops all appends.
	FaultStoreDown FaultKind = "store_down"
	// FaultHolderLost loses the holder and the attempts in progress.
	FaultHolderLost FaultKind = "holder_lost"
	// FaultHostsLost loses all hosts of daemons with the attempts in progress: nothing is accepted,
	// stored or read until its end, and the next holder decides after the takeover time.
	FaultHostsLost FaultKind = "hosts_lost"
	// FaultSlowPeriods makes each engine slower by Factor for periods of about Period, so that
	// Share of the engines are slow at any moment.
	FaultSlowPeriods FaultKind = "slow_periods"
)

// Fault is a fault with its time.
type Fault struct {
	Kind     FaultKind     `ini:"kind"`
	At       time.Duration `ini:"at"`
	Duration time.Duration `ini:"duration"`
	Share    float64       `ini:"share"`
	Factor   float64       `ini:"factor"`
	// Period is the mean duration of a slow period.
	Period time.Duration `ini:"period"`
}

// scenarioDefaults are the values of keys that a scenario leaves out.
func scenarioDefaults() *Scenario {
	return &Scenario{
		Duration: time.Minute,
		Engines:  EngineSpec{Slowdown: 0.035, StartTime: 30 * time.Millisecond, LoadTime: 900 * time.Millisecond, ReportLag: 200 * time.Millisecond},
		Store:    StoreSpec{AppendTime: 15 * time.Millisecond},
		Holder:   HolderSpec{TakeoverTime: 1500 * time.Millisecond, CheckpointInterval: 1500 * time.Millisecond},
	}
}

// defaultTrainer returns the values of keys that a trainer leaves out.
func defaultTrainer() TrainerSpec {
	return TrainerSpec{
		WaitShare: 0.9, Interval: 4 * time.Second, Due: 7500 * time.Millisecond, TrainTime: time.Second, Sigma: 0.6, TailShare: 0.01, TailFactor: 6,
		HintSigma: 0.4, ReadInterval: 500 * time.Millisecond, ReadWait: time.Second, LinkTime: 20 * time.Millisecond,
	}
}

// ReadScenario reads a scenario from an INI file. Sections are run, engines, scoring, store,
// holder, and any number of trainer.NAME and fault.NAME. Unknown sections and keys and invalid
// values are errors that name them.
func ReadScenario(path string) (*Scenario, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, fmt.Errorf("read scenario: %w: %w", ErrScenario, err)
	}
	scenario := scenarioDefaults()
	scenario.Name = strings.TrimSuffix(filepath.Base(path), ".ini")
	for _, section := range file.Sections() {
		if err := scenario.readSection(section); err != nil {
			return nil, fmt.Errorf("scenario %s, section %s: %w: %w", path, section.Name(), ErrScenario, err)
		}
	}
	if err := scenario.validate(); err != nil {
		return nil, fmt.Errorf("scenario %s: %w: %w", path, ErrScenario, err)
	}
	return scenario, nil
}

// readSection reads one section.
func (s *Scenario) readSection(section *ini.Section) error {
	kind, _, _ := strings.Cut(section.Name(), ".")
	switch kind {
	case ini.DefaultSection:
		if len(section.Keys()) > 0 {
			return errors.Errorf("key %s stands before the first section", section.Keys()[0].Name())
		}
		return nil
	case "run":
		var run struct {
			Duration time.Duration `ini:"duration"`
		}
		run.Duration = s.Duration
		if err := mapSection(section, &run); err != nil {
			return err
		}
		s.Duration = run.Duration
		return nil
	case "engines":
		return mapSection(section, &s.Engines)
	case "scoring":
		return mapSection(section, &s.Scoring)
	case "store":
		return mapSection(section, &s.Store)
	case "holder":
		return mapSection(section, &s.Holder)
	case "trainer":
		trainer := defaultTrainer()
		err := mapSection(section, &trainer)
		s.Trainers = append(s.Trainers, trainer)
		return err
	case "fault":
		fault := Fault{Share: 1, Factor: 1}
		err := mapSection(section, &fault)
		s.Faults = append(s.Faults, fault)
		return err
	}
	return errors.New("unknown section")
}

// mapSection decodes a section and rejects keys that target does not have.
func mapSection(section *ini.Section, target any) error {
	known := ini.Empty()
	if err := known.ReflectFrom(target); err != nil {
		return fmt.Errorf("list keys: %w", err)
	}
	names := known.Section("").KeyStrings()
	for _, key := range section.Keys() {
		if !slices.Contains(names, key.Name()) {
			return errors.Errorf("unknown key %s", key.Name())
		}
	}
	if err := section.StrictMapTo(target); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

// validate returns an error that names the first invalid value.
func (s *Scenario) validate() error {
	checks := []struct {
		name  string
		valid bool
	}{
		{"run.duration must be positive", s.Duration > 0},
		{"engines.count must be positive", s.Engines.Count > 0},
		{"engines.slots must be positive", s.Engines.Slots > 0},
		{"engines.event_time must be positive", s.Engines.EventTime > 0},
		{"engines.speed_spread must be from 0 to below 1", s.Engines.SpeedSpread >= 0 && s.Engines.SpeedSpread < 1},
		{"engines.slowdown must not be negative", s.Engines.Slowdown >= 0},
		{"engines.event_jitter must be from 0 to 1", s.Engines.EventJitter >= 0 && s.Engines.EventJitter <= 1},
		{"engines.load_time must not be negative", s.Engines.LoadTime >= 0},
		{"scoring.slots and scoring.time must be positive with scoring.replicas", s.Scoring.Replicas == 0 || (s.Scoring.Slots > 0 && s.Scoring.Time > 0)},
		{"holder.checkpoint_interval must be positive", s.Holder.CheckpointInterval > 0},
		{"at least one trainer section is required", len(s.Trainers) > 0},
	}
	for i := range s.Trainers {
		trainer := &s.Trainers[i]
		checks = append(checks, []struct {
			name  string
			valid bool
		}{
			{"trainer: groups and group_size must be positive", trainer.Groups > 0 && trainer.GroupSize > 0},
			{"trainer: wait_share must be above 0 and at most 1", trainer.WaitShare > 0 && trainer.WaitShare <= 1},
			{"trainer: interval, read_interval and due must be positive", trainer.Interval > 0 && trainer.ReadInterval > 0 && trainer.Due > 0},
			{"trainer: median_events must be positive", trainer.MedianEvents > 0},
			{"trainer: tail_share must be from 0 to 1", trainer.TailShare >= 0 && trainer.TailShare <= 1},
		}...)
	}
	for i := range s.Faults {
		fault := &s.Faults[i]
		checks = append(checks, []struct {
			name  string
			valid bool
		}{
			{fmt.Sprintf("fault: unknown kind %q", fault.Kind), slices.Contains([]FaultKind{FaultEngineSlow, FaultEngineSilent, FaultEngineLimited, FaultStoreDown, FaultHolderLost, FaultHostsLost, FaultSlowPeriods}, fault.Kind)},
			{"fault: slow_periods needs a positive period and a share above 0", fault.Kind != FaultSlowPeriods || (fault.Period > 0 && fault.Share > 0)},
			{"fault: share must be from 0 to 1", fault.Share >= 0 && fault.Share <= 1},
			{"fault: factor must be positive", fault.Factor > 0},
		}...)
	}
	for _, check := range checks {
		if !check.valid {
			return errors.New(check.name)
		}
	}
	return nil
}

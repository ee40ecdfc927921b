// Package bench measures the policies under load: it drives the real daemons
// of package fleet through scenarios kept in INI files, in virtual time.
package bench

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/gypsumhook/gypsum/fleet"
)

// Scenario is a load on a deployment, and what happens to it.
type Scenario struct {
	Name     string
	Layout   fleet.Layout
	Duration time.Duration
	// LiveRate is the rate of live calls in parts of the engines' capacity.
	LiveRate float64
	Deadline time.Duration
	// RetryAfterRefusal makes refused callers come back once, after the time they are told.
	RetryAfterRefusal bool
	// RetryStorm makes failed callers come back at once, up to three times.
	RetryStorm bool

	Groups    int
	GroupSize int
	TrainTime time.Duration
	// MaxTokens bounds the trainers' samples.
	MaxTokens int
	// GreedyFactor adds a trainer with so many times the samples and the same share.
	GreedyFactor int
	// StragglerInterval makes one answer in so many ten times slower.
	StragglerInterval int
	// Fault is "replica_lost" or "region_cut", from a third to two thirds of the time.
	Fault string
	Seed  uint64
}

// layouts are the deployments that scenarios name.
var layouts = map[string]func() fleet.Layout{"approdo": fleet.ApprodoLayout, "authority": fleet.AuthorityLayout}

// scenarioFile is the form of a scenario's INI file.
type scenarioFile struct {
	Deployment struct {
		Layout string `ini:"layout"`
		Scale  int    `ini:"scale"`
	} `ini:"deployment"`
	Load struct {
		Time     time.Duration `ini:"time"`
		LiveRate float64       `ini:"live_rate"`
		Deadline time.Duration `ini:"deadline"`
		Return   bool          `ini:"return"`
		Storm    bool          `ini:"storm"`
	} `ini:"load"`
	Plan struct {
		Groups    int           `ini:"groups"`
		GroupSize int           `ini:"group_size"`
		TrainTime time.Duration `ini:"train_time"`
		MaxTokens int           `ini:"max_tokens"`
		Greedy    int           `ini:"greedy"`
		Straggle  int           `ini:"straggle"`
	} `ini:"plan"`
	Fault struct {
		Kind string `ini:"kind"`
		Seed uint64 `ini:"seed"`
	} `ini:"fault"`
}

// ReadScenario returns the scenario of an INI file.
func ReadScenario(path string) (*Scenario, error) {
	content, err := ini.Load(path)
	if err != nil {
		return nil, fmt.Errorf("read scenario: %w", err)
	}
	var f scenarioFile
	if err := content.StrictMapTo(&f); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", path, err)
	}
	layout, ok := layouts[f.Deployment.Layout]
	if !ok {
		return nil, fmt.Errorf("scenario %s: unknown layout %q", path, f.Deployment.Layout)
	}
	scenario := &Scenario{
		Name: strings.TrimSuffix(filepath.Base(path), ".ini"), Layout: layout(), Duration: f.Load.Time, LiveRate: f.Load.LiveRate,
		Deadline: f.Load.Deadline, RetryAfterRefusal: f.Load.Return, RetryStorm: f.Load.Storm, Groups: f.Plan.Groups, GroupSize: f.Plan.GroupSize,
		TrainTime: f.Plan.TrainTime, MaxTokens: f.Plan.MaxTokens, GreedyFactor: f.Plan.Greedy, StragglerInterval: f.Plan.Straggle, Fault: f.Fault.Kind, Seed: f.Fault.Seed,
	}
	for i := range scenario.Layout.DataCentres {
		scenario.Layout.DataCentres[i].Engines *= max(1, f.Deployment.Scale)
	}
	return scenario, nil
}

// ReadScenarios returns the scenarios of a directory, by name.
func ReadScenarios(dir string) ([]*Scenario, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.ini"))
	if err != nil {
		return nil, fmt.Errorf("list scenarios: %w", err)
	}
	var scenarios []*Scenario
	for _, path := range paths {
		scenario, err := ReadScenario(path)
		if err != nil {
			return nil, err
		}
		scenarios = append(scenarios, scenario)
	}
	return scenarios, nil
}

// engineCount returns the number of engines.
func (s *Scenario) engineCount() int {
	count := 0
	for _, centre := range s.Layout.DataCentres {
		count += centre.Engines
	}
	return count
}

// Lengths of live calls' answers, and the mean length in parts of the longest.
const (
	liveMaxTokens  = 64
	liveMeanShare  = 0.75
	liveMeanTokens = liveMaxTokens * liveMeanShare
)

// capacity returns the live calls a second that the engines can serve.
func (s *Scenario) capacity() float64 {
	return float64(s.engineCount()*s.Layout.Slots) / (liveMeanTokens * s.Layout.TokenTime.Seconds())
}

// idleLowerBound returns the least idle share that the engines left over by live
// calls allow a lone trainer: a step's samples take their time, less what can
// be made ahead while the trainer trains.
func (s *Scenario) idleLowerBound() float64 {
	idleCapacity := 1 - min(1, s.LiveRate)
	if idleCapacity == 0 {
		return 1
	}
	samples := float64(s.Groups * s.GroupSize)
	stepTime := samples * float64(s.MaxTokens) / liveMaxTokens / (s.capacity() * idleCapacity)
	idleTime := max(0, stepTime-s.TrainTime.Seconds())
	return idleTime / (idleTime + s.TrainTime.Seconds())
}

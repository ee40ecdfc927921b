// Package bench measures the policies under load: it runs scenarios, which are kept in
// INI files, on the real daemons of package fleet in virtual time.
package bench

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/gypsumhook/gypsum/fleet"
)

// Scenario is a load on a deployment, with an optional fault.
type Scenario struct {
	Name     string
	Layout   fleet.Layout
	Duration time.Duration
	// LiveRate is the rate of live calls as a fraction of the engines' capacity.
	LiveRate float64
	// Deadline is the time within which live calls must complete.
	Deadline time.Duration
	// RetryAfterRefusal makes refused callers retry once, after the delay that the
	// refusal names.
	RetryAfterRefusal bool
	// RetryStorm makes callers retry failed calls immediately, up to three times.
	RetryStorm bool

	// Groups and GroupSize are the numbers of groups in a step of the plan and of samples in
	// a group.
	Groups    int
	GroupSize int
	// TrainTime is the time that the trainer spends on training after each step.
	TrainTime time.Duration
	// MaxTokens is the maximum length of the trainers' samples.
	MaxTokens int
	// GreedyFactor, if not 0, adds a trainer with this many times the samples and the
	// same share.
	GreedyFactor int
	// StragglerEvery, if not 0, makes one response in this many ten times slower.
	StragglerEvery int
	// Fault is "replica_lost", which crashes an engine, "region_cut", which disconnects two
	// regions, or empty. It lasts from one third to two thirds of the duration.
	Fault string
	Seed  uint64
}

// layoutsByName maps the names of deployments in scenario files to their layouts.
var layoutsByName = map[string]func() fleet.Layout{"approdo": fleet.ApprodoLayout, "authority": fleet.AuthorityLayout}

// scenarioFile is the structure of a scenario's INI file.
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

// ReadScenario reads a scenario from an INI file. It rejects unknown layouts and invalid
// values. The name of the scenario is that of the file without its extension.
func ReadScenario(path string) (*Scenario, error) {
	content, err := ini.Load(path)
	if err != nil {
		return nil, fmt.Errorf("read scenario: %w", err)
	}
	var f scenarioFile
	if err := content.StrictMapTo(&f); err != nil {
		return nil, fmt.Errorf("parse scenario %s: %w", path, err)
	}
	layout, ok := layoutsByName[f.Deployment.Layout]
	if !ok {
		return nil, fmt.Errorf("parse scenario %s: unknown layout %q", path, f.Deployment.Layout)
	}
	scenario := &Scenario{
		Name: strings.TrimSuffix(filepath.Base(path), ".ini"), Layout: layout(), Duration: f.Load.Time, LiveRate: f.Load.LiveRate,
		Deadline: f.Load.Deadline, RetryAfterRefusal: f.Load.Return, RetryStorm: f.Load.Storm, Groups: f.Plan.Groups, GroupSize: f.Plan.GroupSize,
		TrainTime: f.Plan.TrainTime, MaxTokens: f.Plan.MaxTokens, GreedyFactor: f.Plan.Greedy, StragglerEvery: f.Plan.Straggle, Fault: f.Fault.Kind, Seed: f.Fault.Seed,
	}
	for i := range scenario.Layout.DataCentres {
		scenario.Layout.DataCentres[i].Engines *= max(1, f.Deployment.Scale)
	}
	return scenario, nil
}

// ReadScenarios reads all scenarios of a directory, sorted by name.
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

// engineCount returns the number of engines in all data centres.
func (s *Scenario) engineCount() int {
	count := 0
	for _, dataCentre := range s.Layout.DataCentres {
		count += dataCentre.Engines
	}
	return count
}

// Length of the responses to live calls in tokens. liveMeanFractionOfMax is the mean length
// as a fraction of liveMaxTokens.
const (
	liveMaxTokens         = 64
	liveMeanFractionOfMax = 0.75
	liveMeanTokens        = liveMaxTokens * liveMeanFractionOfMax
)

// liveCapacity returns the number of live calls per second that the engines can serve.
func (s *Scenario) liveCapacity() float64 {
	return float64(s.engineCount()*s.Layout.Slots) / (liveMeanTokens * s.Layout.TokenTime.Seconds())
}

// idleLowerBound returns the least idle share that a single trainer can reach with the
// engine capacity that live calls leave: the time to generate the samples of a step, less
// the part that can be generated ahead while the trainer trains, relative to that idle
// time and the training time together.
func (s *Scenario) idleLowerBound() float64 {
	idleCapacity := 1 - min(1, s.LiveRate)
	if idleCapacity == 0 {
		return 1
	}
	samples := float64(s.Groups * s.GroupSize)
	stepTime := samples * float64(s.MaxTokens) / liveMaxTokens / (s.liveCapacity() * idleCapacity)
	idleTime := max(0, stepTime-s.TrainTime.Seconds())
	return idleTime / (idleTime + s.TrainTime.Seconds())
}

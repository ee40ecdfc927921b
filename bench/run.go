package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/check"
	"github.com/gypsumhook/gypsum/fleet"
)

// Result is what a policy did in a scenario.
type Result struct {
	Scenario string
	Policy   string
	// IdleShare is the trainer's idle time in parts of all its time.
	IdleShare float64
	IdleBound float64
	Steps     int
	Staleness float64
	StaleP99  int
	StaleOver int
	Offered   int
	// Admitted counts live calls that were not refused before they ran.
	Admitted int
	InTime   int
	Refused  int
	LiveP50  time.Duration
	LiveP99  time.Duration
	// RefusalP99 is how long refusals took to be said.
	RefusalP99 time.Duration
	Goodput    float64
	Capacity   float64
	// Wasted is the part of all tokens that reached nobody.
	Wasted    float64
	LinkBytes int64
	Broken    []string
	// Reasons counts refusals and failures by reason and outcome.
	Reasons map[string]int
}

// Met returns the part of the admitted live calls that were answered in time.
func (r *Result) Met() float64 { return float64(r.InTime) / float64(max(1, r.Admitted)) }

// histogram bounds, in microseconds.
const (
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

// run is a scenario in progress.
type run struct {
	scenario *Scenario
	fleet    *fleet.Fleet
	record   *check.Record
	caller   *check.Caller
	random   *rand.Rand
	calls    sync.WaitGroup
}

// Run drives a policy through a scenario. It is to be called in virtual time.
func Run(ctx context.Context, scenario *Scenario, policy *Policy) (*Result, error) {
	f := fleet.New(scenario.Layout)
	f.Policy = policy.Set
	defer f.Close()
	for _, engine := range f.Engines {
		engine.Straggle = scenario.Straggle
	}
	if err := f.Start(ctx); err != nil {
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	r := &run{
		scenario: scenario, fleet: f, record: &check.Record{},
		random: rand.New(rand.NewPCG(scenario.Seed, scenario.Seed)),
	}
	r.caller = f.NewCaller(r.record, scenario.Deadline)
	if err := r.configure(ctx); err != nil {
		return nil, fmt.Errorf("configure: %w", err)
	}
	r.drive(ctx)
	return r.result(policy), nil
}

// configure sets the plans of the scenario.
func (r *run) configure(ctx context.Context) error {
	via := r.fleet.Live()[0]
	spec, _ := r.fleet.Node(via).View().Plan(check.PlanName)
	spec.Groups, spec.GroupSize, spec.MaxTokens = r.scenario.Groups, r.scenario.GroupSize, r.scenario.MaxTokens
	if _, err := r.fleet.Change(ctx, via, &gypsum.Change{Kind: gypsum.ChangePutPlan, Name: string(spec.Name), Plan: &spec}); err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	if r.scenario.Greedy == 0 {
		return nil
	}
	spec.Name = greedyPlan
	spec.Groups *= r.scenario.Greedy
	if _, err := r.fleet.Change(ctx, via, &gypsum.Change{Kind: gypsum.ChangePutPlan, Name: string(spec.Name), Plan: &spec}); err != nil {
		return fmt.Errorf("greedy plan: %w", err)
	}
	return nil
}

// greedyPlan is the plan of the greedy trainer.
const greedyPlan gypsum.PlanName = "greedy"

// drive runs the load for the scenario's time.
func (r *run) drive(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.scenario.Time)
	defer cancel()
	var trainers sync.WaitGroup
	trainers.Go(func() { r.fleet.NewTrainer(r.record, r.scenario.TrainTime).Run(ctx) })
	if r.scenario.Greedy > 0 {
		trainers.Go(func() {
			greedy := r.fleet.NewTrainer(&check.Record{}, r.scenario.TrainTime)
			greedy.Plan = greedyPlan
			greedy.Publish = func(context.Context, gypsum.WeightVersion) {}
			greedy.Run(ctx)
		})
	}
	if r.scenario.Fault != "" {
		trainers.Go(func() { r.strike(ctx) })
	}
	r.arrive(ctx)
	r.calls.Wait()
	trainers.Wait()
}

// arrive lets live calls arrive at random until ctx ends.
func (r *run) arrive(ctx context.Context) {
	rate := r.scenario.LiveRate * r.scenario.capacity()
	for number := 0; ctx.Err() == nil; number++ {
		if rate == 0 {
			<-ctx.Done()
			return
		}
		wait := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		hosts := r.fleet.Ready()
		via := hosts[r.random.IntN(len(hosts))]
		prompt := fmt.Sprintf("prompt %d", number)
		r.calls.Go(func() { r.call(ctx, via, prompt) })
	}
}

// stormRepeats is how often callers come back at once in a storm.
const stormRepeats = 3

// call sends a live call, and again if the scenario's callers come back.
func (r *run) call(ctx context.Context, via gypsum.HostID, prompt string) {
	ctx = context.WithoutCancel(ctx)
	for repeat := 0; ; repeat++ {
		result := r.caller.Complete(ctx, via, prompt, gypsum.RecoveryRestart)
		switch {
		case result.Refusal == nil:
			return
		case r.scenario.Storm && repeat < stormRepeats:
		case r.scenario.Return && repeat == 0 && result.Refusal.RetryAfter > 0:
			time.Sleep(result.Refusal.RetryAfter)
		default:
			return
		}
	}
}

// strike lets the scenario's fault last for the middle third of the time.
func (r *run) strike(ctx context.Context) {
	third := r.scenario.Time / 3
	check.Pause(ctx, third)
	centres := r.scenario.Layout.Centres
	near, far := centres[0].Location, centres[len(centres)-1].Location
	engine := r.fleet.Engines[string(near.DataCentre)+"-engine-1"]
	switch r.scenario.Fault {
	case "replica_lost":
		engine.Crash()
		check.Pause(ctx, third)
		engine.Restart()
	case "region_cut":
		r.fleet.Network.CutRegions(near.Region, far.Region, true)
		check.Pause(ctx, third)
		r.fleet.Network.CutRegions(near.Region, far.Region, false)
	}
}

// result sums up what was seen.
func (r *run) result(policy *Policy) *Result {
	result := &Result{
		Scenario: r.scenario.Name, Policy: policy.Name, IdleBound: r.scenario.idleBound(), Capacity: r.scenario.capacity(),
		Staleness: r.record.Stale(),
		Broken:    r.record.Broken(),
	}
	_, result.Steps = r.record.Samples()
	result.IdleShare = 1
	if idle := r.record.Idle(); result.Steps > 0 {
		result.IdleShare = idle.Seconds() / (idle + time.Duration(result.Steps)*r.scenario.TrainTime).Seconds()
	}
	r.addLive(result)
	result.Goodput = float64(result.InTime) / r.scenario.Time.Seconds()
	ages := r.record.Ages()
	slices.Sort(ages)
	if len(ages) > 0 {
		result.StaleP99 = ages[len(ages)*99/100]
	}
	for _, age := range ages {
		if age > 1 {
			result.StaleOver++
		}
	}
	var tokens int64
	for _, engine := range r.fleet.Engines {
		tokens += engine.Tokens()
	}
	result.Wasted = 1 - float64(r.record.Tokens())/float64(max(1, tokens))
	for _, id := range r.fleet.Live() {
		running := r.fleet.Node(id)
		result.LinkBytes += int64(running.CrossRegionBytes(gypsum.ClassLive) + running.CrossRegionBytes(gypsum.ClassTrainer))
	}
	return result
}

// addLive sums up the live calls.
func (r *run) addLive(result *Result) {
	answers := hdrhistogram.New(1, histogramMax, histogramDigits)
	refusals := hdrhistogram.New(1, histogramMax, histogramDigits)
	result.Reasons = make(map[string]int)
	for _, call := range r.record.Results() {
		result.Offered++
		if call.Refusal != nil {
			result.Reasons[fmt.Sprintf("%s/%s: %s via %.6s", call.Refusal.Reason, call.Refusal.Outcome, call.Refusal.Detail, call.Via)]++
		}
		took := max(1, call.Took.Microseconds())
		refused := call.Refusal != nil && call.Refusal.Outcome == gypsum.OutcomeNotRun && call.Refusal.Reason != gypsum.ReasonTimeout
		switch {
		case refused:
			result.Refused++
			_ = refusals.RecordValue(took)
		case call.Refusal == nil && call.Took <= r.scenario.Deadline:
			result.Admitted++
			result.InTime++
			_ = answers.RecordValue(took)
		default:
			result.Admitted++
		}
	}
	result.LiveP50 = time.Duration(answers.ValueAtQuantile(50)) * time.Microsecond
	result.LiveP99 = time.Duration(answers.ValueAtQuantile(99)) * time.Microsecond
	result.RefusalP99 = time.Duration(refusals.ValueAtQuantile(99)) * time.Microsecond
}

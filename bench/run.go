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

// Result holds what was measured in a scenario under a policy.
type Result struct {
	Scenario string
	Policy   string
	// IdleShare is the trainer's idle time as a fraction of all its time, and
	// IdleLowerBound the least that the capacity allows.
	IdleShare      float64
	IdleLowerBound float64
	Steps          int
	// MeanStaleness and StalenessP99 are in weight versions.
	MeanStaleness float64
	StalenessP99  int
	// StaleSamples counts the samples over the plan's staleness bound of one version.
	StaleSamples int
	// Offered counts all live calls.
	Offered int
	// Admitted counts live calls that were not refused before they ran.
	Admitted int
	// InTime counts live calls that completed within their deadline.
	InTime int
	// Refused counts live calls that were refused before they ran.
	Refused int
	// LiveP50 and LiveP99 are percentiles of the latency of the calls that InTime counts.
	LiveP50 time.Duration
	LiveP99 time.Duration
	// RefusalP99 is the 99th percentile of the time until a call was refused.
	RefusalP99 time.Duration
	// Goodput is the rate of live calls that completed in time, and Capacity the rate
	// that the engines can serve, both per second.
	Goodput  float64
	Capacity float64
	// WastedShare is the fraction of all generated tokens that reached neither a caller
	// nor a trainer.
	WastedShare float64
	// CrossRegionBytes counts the bytes sent between regions for calls.
	CrossRegionBytes int64
	Violations       []string
	// Reasons counts refusals and failures by reason, outcome, detail and entry host.
	Reasons map[string]int
}

// InTimeShare returns the fraction of the admitted live calls that completed within their
// deadline.
func (r *Result) InTimeShare() float64 { return float64(r.InTime) / float64(max(1, r.Admitted)) }

// Largest value of the latency histograms, in microseconds, and their number of
// significant digits.
const (
	histogramMaxMicros = int64(time.Minute / time.Microsecond)
	histogramDigits    = 3
)

// scenarioRunner runs a scenario under a policy.
type scenarioRunner struct {
	scenario  *Scenario
	fleet     *fleet.Fleet
	recorder  *check.Recorder
	caller    *check.Caller
	rng       *rand.Rand
	liveCalls sync.WaitGroup
}

// RunScenario runs a scenario under a policy and returns what was measured. Call it in virtual
// time, as it takes the whole duration of the scenario.
func RunScenario(ctx context.Context, scenario *Scenario, policy *Policy) (*Result, error) {
	f := fleet.New(scenario.Layout)
	f.SetPolicies = policy.Apply
	defer f.Close()
	for _, engine := range f.Engines {
		engine.StragglerEvery = scenario.StragglerEvery
	}
	if err := f.Start(ctx); err != nil {
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	r := &scenarioRunner{
		scenario: scenario, fleet: f, recorder: &check.Recorder{},
		rng: rand.New(rand.NewPCG(scenario.Seed, scenario.Seed)),
	}
	r.caller = f.NewCaller(r.recorder, scenario.Deadline)
	if err := r.configurePlans(ctx); err != nil {
		return nil, fmt.Errorf("configure plans: %w", err)
	}
	r.generateLoad(ctx)
	return r.summarizeResults(policy), nil
}

// configurePlans sets the sizes of the trainer's plan and, if the scenario has a greedy
// trainer, creates that trainer's plan.
func (r *scenarioRunner) configurePlans(ctx context.Context) error {
	entryHost := r.fleet.LiveDaemons()[0]
	spec, _ := r.fleet.Core(entryHost).View().Plan(check.PlanName)
	spec.Groups, spec.GroupSize, spec.MaxTokens = r.scenario.Groups, r.scenario.GroupSize, r.scenario.MaxTokens
	if _, err := r.fleet.ApplyChange(ctx, entryHost, &gypsum.Change{Kind: gypsum.ChangePutPlan, Name: string(spec.Name), Plan: &spec}); err != nil {
		return fmt.Errorf("put trainer plan: %w", err)
	}
	if r.scenario.GreedyFactor == 0 {
		return nil
	}
	spec.Name = greedyPlan
	spec.Groups *= r.scenario.GreedyFactor
	if _, err := r.fleet.ApplyChange(ctx, entryHost, &gypsum.Change{Kind: gypsum.ChangePutPlan, Name: string(spec.Name), Plan: &spec}); err != nil {
		return fmt.Errorf("put greedy plan: %w", err)
	}
	return nil
}

// greedyPlan is the plan of the greedy trainer.
const greedyPlan gypsum.PlanName = "greedy"

// generateLoad runs the trainers, the live calls and the fault for the duration of the
// scenario and waits for their end.
func (r *scenarioRunner) generateLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.scenario.Duration)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { r.fleet.NewTrainer(r.recorder, r.scenario.TrainTime).Run(ctx) })
	if r.scenario.GreedyFactor > 0 {
		background.Go(func() {
			greedy := r.fleet.NewTrainer(&check.Recorder{}, r.scenario.TrainTime)
			greedy.Plan = greedyPlan
			greedy.Publish = func(context.Context, gypsum.WeightVersion) {}
			greedy.Run(ctx)
		})
	}
	if r.scenario.Fault != "" {
		background.Go(func() { r.injectFault(ctx) })
	}
	r.sendLiveCalls(ctx)
	r.liveCalls.Wait()
	background.Wait()
}

// sendLiveCalls sends live calls with Poisson arrivals through random ready
// daemons until ctx ends.
func (r *scenarioRunner) sendLiveCalls(ctx context.Context) {
	rate := r.scenario.LiveRate * r.scenario.liveCapacity()
	for n := 0; ctx.Err() == nil; n++ {
		if rate == 0 {
			<-ctx.Done()
			return
		}
		interval := time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		hosts := r.fleet.ReadyDaemons()
		entryHost := hosts[r.rng.IntN(len(hosts))]
		prompt := fmt.Sprintf("prompt %d", n)
		r.liveCalls.Go(func() { r.sendLiveCall(ctx, entryHost, prompt) })
	}
}

// stormRetries is the number of immediate retries of a failed call in a retry storm.
const stormRetries = 3

// sendLiveCall sends a live call, and retries it if the scenario says so. The end of the load
// does not cancel it.
func (r *scenarioRunner) sendLiveCall(ctx context.Context, entryHost gypsum.HostID, prompt string) {
	ctx = context.WithoutCancel(ctx)
	for retries := 0; ; retries++ {
		result := r.caller.RequestCompletion(ctx, entryHost, prompt, gypsum.RecoveryRestart)
		switch {
		case result.Refusal == nil:
			return
		case r.scenario.RetryStorm && retries < stormRetries:
		case r.scenario.RetryAfterRefusal && retries == 0 && result.Refusal.RetryAfter > 0:
			time.Sleep(result.Refusal.RetryAfter)
		default:
			return
		}
	}
}

// injectFault injects the scenario's fault for the middle third of the duration.
func (r *scenarioRunner) injectFault(ctx context.Context) {
	third := r.scenario.Duration / 3
	check.Sleep(ctx, third)
	dataCentres := r.scenario.Layout.DataCentres
	first, last := dataCentres[0].Location, dataCentres[len(dataCentres)-1].Location
	engine := r.fleet.Engines[string(first.DataCentre)+"-engine-1"]
	switch r.scenario.Fault {
	case "replica_lost":
		engine.Crash()
		check.Sleep(ctx, third)
		engine.Restart()
	case "region_cut":
		r.fleet.Network.SetRegionsDisconnected(first.Region, last.Region, true)
		check.Sleep(ctx, third)
		r.fleet.Network.SetRegionsDisconnected(first.Region, last.Region, false)
	}
}

// summarizeResults computes the result from the recorder and the counters of engines and
// daemons.
func (r *scenarioRunner) summarizeResults(policy *Policy) *Result {
	result := &Result{
		Scenario: r.scenario.Name, Policy: policy.Name, IdleLowerBound: r.scenario.idleLowerBound(), Capacity: r.scenario.liveCapacity(),
		MeanStaleness: r.recorder.MeanStaleness(),
		Violations:    r.recorder.Violations(),
	}
	_, result.Steps = r.recorder.DeliveredCounts()
	result.IdleShare = 1
	if idle := r.recorder.TrainerIdleTime(); result.Steps > 0 {
		result.IdleShare = idle.Seconds() / (idle + time.Duration(result.Steps)*r.scenario.TrainTime).Seconds()
	}
	r.summarizeLiveCalls(result)
	result.Goodput = float64(result.InTime) / r.scenario.Duration.Seconds()
	staleness := r.recorder.StalenessValues()
	slices.Sort(staleness)
	if len(staleness) > 0 {
		result.StalenessP99 = staleness[len(staleness)*99/100]
	}
	for _, versions := range staleness {
		if versions > 1 {
			result.StaleSamples++
		}
	}
	var generatedTokens int64
	for _, engine := range r.fleet.Engines {
		generatedTokens += engine.GeneratedTokens()
	}
	result.WastedShare = 1 - float64(r.recorder.TokenCount())/float64(max(1, generatedTokens))
	for _, id := range r.fleet.LiveDaemons() {
		daemon := r.fleet.Core(id)
		result.CrossRegionBytes += int64(daemon.CrossRegionBytes(gypsum.ClassLive) + daemon.CrossRegionBytes(gypsum.ClassTrainer))
	}
	return result
}

// summarizeLiveCalls adds the counts and latencies of live calls. Only a refusal before
// the call ran counts as refused; timeouts, late responses and failures of calls that
// may have run count as admitted.
func (r *scenarioRunner) summarizeLiveCalls(result *Result) {
	responseLatencies := hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
	refusalLatencies := hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
	result.Reasons = make(map[string]int)
	for _, call := range r.recorder.Results() {
		result.Offered++
		if call.Refusal != nil {
			result.Reasons[fmt.Sprintf("%s/%s: %s via %.6s", call.Refusal.Reason, call.Refusal.Outcome, call.Refusal.Detail, call.EntryHost)]++
		}
		micros := max(1, call.Duration.Microseconds())
		refused := call.Refusal != nil && call.Refusal.Outcome == gypsum.OutcomeNotRun && call.Refusal.Reason != gypsum.ReasonTimeout
		switch {
		case refused:
			result.Refused++
			_ = refusalLatencies.RecordValue(micros)
		case call.Refusal == nil && call.Duration <= r.scenario.Deadline:
			result.Admitted++
			result.InTime++
			_ = responseLatencies.RecordValue(micros)
		default:
			result.Admitted++
		}
	}
	result.LiveP50 = time.Duration(responseLatencies.ValueAtQuantile(50)) * time.Microsecond
	result.LiveP99 = time.Duration(responseLatencies.ValueAtQuantile(99)) * time.Microsecond
	result.RefusalP99 = time.Duration(refusalLatencies.ValueAtQuantile(99)) * time.Microsecond
}

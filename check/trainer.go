package check

import (
	"context"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
)

// The wait of a trainer's pull, and the delay before the retry of a failed one.
const (
	pullWait       = 2 * time.Second
	pullRetryDelay = 200 * time.Millisecond
)

// Trainer pulls the steps of a plan and checks each sample. Set the exported fields
// before Run.
type Trainer struct {
	// Pull sends a pull through any entry host.
	Pull func(ctx context.Context, pull *gypsum.PullRequest) (*gypsum.PullResponse, error)
	// Publish adds a version to the weight store.
	Publish  func(ctx context.Context, version gypsum.WeightVersion)
	Recorder *Recorder
	Plan     gypsum.PlanName
	// TrainTime is the time spent on training after each step.
	TrainTime time.Duration
	// MaxStaleness is the maximum staleness of a sample, in versions.
	MaxStaleness int
	// Steps is the number of steps to run. 0 for no limit.
	Steps int
	// OnStep, if set, is called when all samples of a step have arrived, before the
	// training. wait is how long the trainer has waited for them.
	OnStep func(step int, version gypsum.WeightVersion, samples []*gypsum.Sample, wait time.Duration)

	session    gypsum.Incarnation
	pullNumber int64
	version    gypsum.WeightVersion
}

// Run runs the steps, and publishes a new version after each, until ctx ends or Steps are
// done.
func (t *Trainer) Run(ctx context.Context) {
	t.session, t.version = gypsum.Incarnation(time.Now().UnixMilli()), 1
	for step := 0; ctx.Err() == nil && (t.Steps == 0 || step < t.Steps); step++ {
		begin := time.Now()
		samples, complete := t.pullStep(ctx, step)
		if !complete {
			return
		}
		wait := time.Since(begin)
		t.Recorder.mu.Lock()
		t.Recorder.idleTime += wait
		t.Recorder.stepCount++
		t.Recorder.mu.Unlock()
		if t.OnStep != nil {
			t.OnStep(step, t.version, samples, wait)
		}
		Sleep(ctx, t.TrainTime)
		t.version++
		t.Publish(ctx, t.version)
	}
}

// pullStep pulls until the trainer has a sample for each slot of a step. complete is false
// if ctx ended before.
func (t *Trainer) pullStep(ctx context.Context, step int) (samples []*gypsum.Sample, complete bool) {
	received := make(map[gypsum.Slot]bool)
	for ctx.Err() == nil {
		t.pullNumber++
		pull := &gypsum.PullRequest{
			Plan: t.Plan, Session: t.session, Number: t.pullNumber, Step: step, Version: t.version, Wait: pullWait,
		}
		for slot := range received {
			pull.ReceivedSlots = append(pull.ReceivedSlots, slot)
		}
		resp, err := t.pullOnce(ctx, pull)
		if err != nil {
			Sleep(ctx, pullRetryDelay)
			continue
		}
		if resp.Session != t.session || resp.Number != t.pullNumber {
			t.Recorder.ReportViolation("pull %d got the answer of pull %d", t.pullNumber, resp.Number)
		}
		for _, sample := range resp.Samples {
			t.checkSample(sample, step, received)
			samples = append(samples, sample)
		}
		if resp.Missing == 0 {
			return samples, true
		}
	}
	return samples, false
}

// pullOnce sends one pull with a timeout of 2 seconds beyond its wait.
func (t *Trainer) pullOnce(ctx context.Context, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pullWait+2*time.Second)
	defer cancel()
	return t.Pull(ctx, pull)
}

// checkSample checks a sample of a step and adds its slot to received.
func (t *Trainer) checkSample(sample *gypsum.Sample, step int, received map[gypsum.Slot]bool) {
	if received[sample.Slot] {
		t.Recorder.ReportViolation("sample %s was delivered twice", sample.Slot)
	}
	if sample.Slot.Step != step {
		t.Recorder.ReportViolation("sample %s was delivered in step %d", sample.Slot, step)
	}
	received[sample.Slot] = true
	if sample.Text != fake.ResponseText(sample.Prompt, sample.Seed, sample.Segments) {
		t.Recorder.ReportViolation("sample %s does not name the weights that made it", sample.Slot)
	}
	staleness := int(t.version - sample.OldestVersion())
	if staleness > t.MaxStaleness {
		t.Recorder.ReportViolation("sample %s is %d versions old", sample.Slot, staleness)
	}
	t.Recorder.mu.Lock()
	defer t.Recorder.mu.Unlock()
	for _, segment := range sample.Segments {
		t.Recorder.tokenCount += int64(segment.Tokens)
	}
	t.Recorder.staleness = append(t.Recorder.staleness, max(0, staleness))
	t.Recorder.sampleCount++
	t.Recorder.totalStaleness += max(0, staleness)
}

// Sleep waits for a duration or until ctx ends.
func Sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

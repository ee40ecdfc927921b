package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/adapt"
	"github.com/gypsumhook/gypsum/client"
	"github.com/gypsumhook/gypsum/fake"
)

// trainerReport is what a trainer has seen.
type trainerReport struct {
	Plan  string        `json:"plan"`
	Steps []stepReport  `json:"steps"`
	Idle  time.Duration `json:"idle"`
	Total time.Duration `json:"total"`
	// Broken are the promises that were seen broken.
	Broken []string `json:"broken"`
}

// stepReport is what a trainer has seen of one step.
type stepReport struct {
	Step     int                          `json:"step"`
	Trainer  gypsum.WeightVersion         `json:"trainer_version"`
	Samples  int                          `json:"samples"`
	Wait     time.Duration                `json:"wait"`
	Versions map[gypsum.WeightVersion]int `json:"versions"`
	// Mixed counts samples whose tokens come from more than one version.
	Mixed     int     `json:"mixed"`
	Staleness float64 `json:"staleness_mean"`
	Scored    int     `json:"scored"`
}

// trainerCommand returns the command of the trainer.
func trainerCommand() *cli.Command {
	return &cli.Command{
		Name: "trainer", Usage: "trainer that runs the steps of a plan", Action: runTrainer, Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "callers' `URL` of an entry host", Required: true},
			&cli.StringFlag{Name: "store", Usage: "`URL` of the weight store", Required: true},
			&cli.StringFlag{Name: "model", Usage: "model whose weights are trained", Required: true},
			&cli.StringFlag{Name: "plan", Required: true, Usage: "rollout plan"},
			&cli.IntFlag{Name: "steps", Value: 2, Usage: "steps to run"},
			&cli.IntFlag{Name: "slots", Value: 32, Usage: "samples expected in a step"},
			&cli.IntFlag{Name: "max-staleness", Value: 1, Usage: "staleness bound to check against"},
			&cli.DurationFlag{Name: "train-time", Value: time.Second, Usage: "time of training on a step"},
			&cli.StringFlag{Name: "report", Required: true, Usage: "`FILE` for the report"},
		},
	}
}

// trainer runs the steps of a plan.
type trainer struct {
	command *cli.Command
	pulls   *client.Trainer
	report  trainerReport
	version gypsum.WeightVersion
}

// runTrainer runs the steps and writes the report.
func runTrainer(ctx context.Context, command *cli.Command) error {
	t := &trainer{
		command: command, version: 1,
		pulls: &client.Trainer{
			Addresses: command.StringSlice("entry"), Plan: gypsum.PlanName(command.String("plan")),
			HTTP: &http.Client{}, Session: gypsum.Incarnation(time.Now().UnixMilli()),
		},
		report: trainerReport{Plan: command.String("plan")},
	}
	begin := time.Now()
	for step := range command.Int("steps") {
		if err := t.step(ctx, step); err != nil {
			return fmt.Errorf("step %d: %w", step, err)
		}
	}
	t.report.Total = time.Since(begin)
	body, err := json.MarshalIndent(&t.report, "", "  ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.WriteFile(command.String("report"), body, 0o600); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// step pulls a step's samples, trains and publishes the new weights.
func (t *trainer) step(ctx context.Context, step int) error {
	begin := time.Now()
	samples, err := t.pulls.Step(ctx, step, t.version, nil, nil)
	if err != nil {
		return fmt.Errorf("pull: %w", err)
	}
	wait := time.Since(begin)
	t.report.Idle += wait
	t.check(step, samples, wait)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(t.command.Duration("train-time")):
	}
	t.version++
	return publish(ctx, t.command.String("store"), t.command.String("model"), t.version)
}

// check looks at each sample of a step.
func (t *trainer) check(step int, samples map[gypsum.Slot]*gypsum.Sample, wait time.Duration) {
	report := stepReport{Step: step, Trainer: t.version, Samples: len(samples), Wait: wait, Versions: map[gypsum.WeightVersion]int{}}
	stale := 0.0
	for _, sample := range samples {
		behind := t.version - sample.Oldest()
		stale += float64(max(0, behind))
		if int(behind) > t.command.Int("max-staleness") {
			t.broken("sample %s is %d versions old", sample.Slot, behind)
		}
		if sample.Text != fake.Text(sample.Prompt, sample.Seed, sample.Segments) {
			t.broken("sample %s does not name the weights that made it", sample.Slot)
		}
		if len(sample.Segments) > 1 {
			report.Mixed++
		}
		if sample.Score != nil {
			report.Scored++
		}
		report.Versions[sample.Oldest()]++
	}
	if len(samples) != t.command.Int("slots") {
		t.broken("step %d has %d samples", step, len(samples))
	}
	report.Staleness = stale / float64(max(1, len(samples)))
	t.report.Steps = append(t.report.Steps, report)
}

// broken notes a broken promise.
func (t *trainer) broken(format string, values ...any) {
	t.report.Broken = append(t.report.Broken, fmt.Sprintf(format, values...))
	slices.Sort(t.report.Broken)
}

// publish adds a version of a model's weights to the store.
func publish(ctx context.Context, store, model string, version gypsum.WeightVersion) error {
	body, err := json.Marshal(adapt.LatestAnswer{Version: version})
	if err != nil {
		return fmt.Errorf("encode version: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, store+"/models/"+model+"/latest", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("publish weights: %w", err)
	}
	return response.Body.Close()
}

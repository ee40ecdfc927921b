package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/adapt"
	"github.com/gypsumhook/gypsum/check"
	"github.com/gypsumhook/gypsum/client"
)

// trainerReport is the result of a trainer run.
type trainerReport struct {
	Plan  string       `json:"plan"`
	Steps []stepReport `json:"steps"`
	// Idle is how long the trainer waited for samples, Total the duration of the run.
	Idle  time.Duration `json:"idle"`
	Total time.Duration `json:"total"`
	// Violations describe the guarantees that were violated.
	Violations []string `json:"broken"`
}

// stepReport is the result of one step.
type stepReport struct {
	Step           int                  `json:"step"`
	TrainerVersion gypsum.WeightVersion `json:"trainer_version"`
	Samples        int                  `json:"samples"`
	Wait           time.Duration        `json:"wait"`
	// Versions counts the samples by their oldest weight version.
	Versions map[gypsum.WeightVersion]int `json:"versions"`
	// MixedVersions counts the samples whose tokens come from more than one version.
	MixedVersions int `json:"mixed"`
	// MeanStaleness is how many versions the samples are behind the trainer on average.
	MeanStaleness float64 `json:"staleness_mean"`
	Scored        int     `json:"scored"`
}

func trainerCommand() *cli.Command {
	return &cli.Command{
		Name: "trainer", Usage: "trainer that runs the steps of a plan", Action: runTrainer, Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "callers' `URL` of an entry host", Required: true},
			&cli.StringFlag{Name: "store", Usage: "`URL` of the weight store", Required: true},
			&cli.IntFlag{Name: "steps", Value: 2, Usage: "steps to run"},
			&cli.IntFlag{Name: "slots", Value: 32, Usage: "samples expected in a step"},
			&cli.IntFlag{Name: "max-staleness", Value: 1, Usage: "staleness bound to check against"},
			&cli.DurationFlag{Name: "train-time", Value: time.Second, Usage: "time of training on a step"},
			&cli.StringFlag{Name: "report", Required: true, Usage: "`FILE` for the report"},
		},
	}
}

// runTrainer runs the steps and writes the report.
func runTrainer(ctx context.Context, command *cli.Command) error {
	report := &trainerReport{Plan: string(check.PlanName)}
	recorder := &check.Recorder{}
	clients := newClients(command)
	pulls := 0
	trainer := &check.Trainer{
		Recorder: recorder, Plan: check.PlanName, TrainTime: command.Duration("train-time"),
		MaxStaleness: command.Int("max-staleness"), Steps: command.Int("steps"),
		Pull: func(ctx context.Context, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
			pulls++
			return clients[pulls%len(clients)].Pull(ctx, pull)
		},
		Publish: func(ctx context.Context, version gypsum.WeightVersion) {
			if err := publishVersion(ctx, command.String("store"), check.ModelName, version); err != nil {
				recorder.ReportViolation("weights not published: %v", err)
			}
		},
		OnStep: func(step int, version gypsum.WeightVersion, samples []*gypsum.Sample, wait time.Duration) {
			if len(samples) != command.Int("slots") {
				recorder.ReportViolation("step %d has %d samples", step, len(samples))
			}
			report.Steps = append(report.Steps, newStepReport(step, version, samples, wait))
		},
	}
	start := time.Now()
	trainer.Run(ctx)
	report.Total, report.Idle, report.Violations = time.Since(start), recorder.TrainerIdleTime(), recorder.Violations()
	body, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return fmt.Errorf("encode trainer report: %w", err)
	}
	if err := os.WriteFile(command.String("report"), body, 0o600); err != nil {
		return fmt.Errorf("write trainer report: %w", err)
	}
	return nil
}

// newClients returns clients of the entry hosts that the entry flags name.
func newClients(command *cli.Command) []*client.Client {
	var clients []*client.Client
	httpClient, _ := adapt.NewClient()
	for _, address := range command.StringSlice("entry") {
		clients = append(clients, &client.Client{BaseURL: address, HTTPClient: httpClient})
	}
	return clients
}

func newStepReport(step int, version gypsum.WeightVersion, samples []*gypsum.Sample, wait time.Duration) stepReport {
	report := stepReport{Step: step, TrainerVersion: version, Samples: len(samples), Wait: wait, Versions: map[gypsum.WeightVersion]int{}}
	staleness := 0
	for _, sample := range samples {
		staleness += int(max(0, version-sample.OldestVersion()))
		if len(sample.Segments) > 1 {
			report.MixedVersions++
		}
		if sample.Score != nil {
			report.Scored++
		}
		report.Versions[sample.OldestVersion()]++
	}
	report.MeanStaleness = float64(staleness) / float64(max(1, len(samples)))
	return report
}

// publishVersion publishes a new version of a model's weights in the weight store.
func publishVersion(ctx context.Context, store, model string, version gypsum.WeightVersion) error {
	body, err := json.Marshal(adapt.LatestVersionResponse{Version: version})
	if err != nil {
		return fmt.Errorf("encode weight version: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, store+"/models/"+model+"/latest", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("publish weights: %w", err)
	}
	return response.Body.Close()
}

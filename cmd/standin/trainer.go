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
	record := &check.Record{}
	entries := entriesOf(command)
	turn := 0
	trainer := &check.Trainer{
		Record: record, Plan: check.PlanName, TrainTime: command.Duration("train-time"),
		MaxStaleness: command.Int("max-staleness"), Steps: command.Int("steps"),
		Pull: func(ctx context.Context, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
			turn++
			return entries[turn%len(entries)].Pull(ctx, pull)
		},
		Publish: func(ctx context.Context, version gypsum.WeightVersion) {
			if err := publish(ctx, command.String("store"), check.Model, version); err != nil {
				record.Breach("weights not published: %v", err)
			}
		},
		OnStep: func(step int, version gypsum.WeightVersion, samples []*gypsum.Sample, wait time.Duration) {
			if len(samples) != command.Int("slots") {
				record.Breach("step %d has %d samples", step, len(samples))
			}
			report.Steps = append(report.Steps, reportOf(step, version, samples, wait))
		},
	}
	begin := time.Now()
	trainer.Run(ctx)
	report.Total, report.Idle, report.Broken = time.Since(begin), record.Idle(), record.Broken()
	body, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.WriteFile(command.String("report"), body, 0o600); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// entriesOf returns the entry hosts that the flags name.
func entriesOf(command *cli.Command) []*client.Entry {
	var entries []*client.Entry
	http, _ := adapt.NewClient()
	for _, address := range command.StringSlice("entry") {
		entries = append(entries, &client.Entry{Address: address, HTTP: http})
	}
	return entries
}

// reportOf returns the report of a step.
func reportOf(step int, version gypsum.WeightVersion, samples []*gypsum.Sample, wait time.Duration) stepReport {
	report := stepReport{Step: step, Trainer: version, Samples: len(samples), Wait: wait, Versions: map[gypsum.WeightVersion]int{}}
	stale := 0
	for _, sample := range samples {
		stale += int(max(0, version-sample.OldestVersion()))
		if len(sample.Segments) > 1 {
			report.Mixed++
		}
		if sample.Score != nil {
			report.Scored++
		}
		report.Versions[sample.OldestVersion()]++
	}
	report.Staleness = float64(stale) / float64(max(1, len(samples)))
	return report
}

// publish adds a version of a model's weights to the store.
func publish(ctx context.Context, store, model string, version gypsum.WeightVersion) error {
	body, err := json.Marshal(adapt.LatestVersionResponse{Version: version})
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

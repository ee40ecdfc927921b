package main

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/gypsumhook/gypsum/admin/operatorv1"
)

// planCommands returns the commands on rollout plans.
func planCommands() []*cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "service", Usage: "model service that makes the samples"},
		&cli.StringFlag{Name: "scorer", Usage: "plain service that scores the samples"},
		&cli.StringSliceFlag{Name: "prompt", Usage: "a prompt; may be given again"},
		&cli.Int32Flag{Name: "groups", Value: 8, Usage: "groups of a step"},
		&cli.Int32Flag{Name: "group-size", Value: 4, Usage: "samples of a group"},
		&cli.Int32Flag{Name: "max-tokens", Value: 64, Usage: "longest sample"},
		&cli.Int32Flag{Name: "max-staleness", Value: 1, Usage: "versions a sample may be behind the trainer"},
		&cli.Int32Flag{Name: "ahead", Value: 1, Usage: "steps that may be started early"},
		&cli.DurationFlag{Name: "sample-timeout", Value: 30 * time.Second, Usage: "deadline of one attempt"},
		&cli.Int32Flag{Name: "share", Value: 1, Usage: "weight among the plans of the service"},
		&cli.FloatFlag{Name: "idle-weight", Value: 1, Usage: "weight of trainer idle time"},
		&cli.FloatFlag{Name: "staleness-weight", Value: 1, Usage: "weight of staleness"},
	}
	return []*cli.Command{
		{Name: "create", ArgsUsage: "NAME", Flags: flags, Action: putPlan(true)},
		{Name: "change", ArgsUsage: "NAME", Flags: flags, Action: putPlan(false)},
		{Name: "delete", ArgsUsage: "NAME", Action: deletePlan},
		{Name: "list", Action: listPlans},
		{Name: "show", ArgsUsage: "NAME", Action: listPlans},
	}
}

// findPlan returns the plan in force.
func findPlan(ctx context.Context, command *cli.Command, name string) (*operatorv1.Plan, error) {
	response, err := connectTo(command).ListPlans(ctx, connect.NewRequest(&operatorv1.ListRequest{}))
	if err != nil {
		return nil, fmt.Errorf("list plans: %w", err)
	}
	return pick(response.Msg.GetPlans(), "plan", name)
}

// putPlan returns the action that creates or changes a plan.
func putPlan(create bool) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		named, err := name(command)
		if err != nil {
			return err
		}
		plan := &operatorv1.Plan{Name: named}
		if !create {
			if plan, err = findPlan(ctx, command, named); err != nil {
				return err
			}
		}
		set := func(flag string) bool { return create || command.IsSet(flag) }
		assign(set("service"), command.String("service"), &plan.Service)
		assign(set("scorer"), command.String("scorer"), &plan.Scorer)
		assign(set("prompt"), command.StringSlice("prompt"), &plan.Prompts)
		assign(set("groups"), command.Int32("groups"), &plan.Groups)
		assign(set("group-size"), command.Int32("group-size"), &plan.GroupSize)
		assign(set("max-tokens"), command.Int32("max-tokens"), &plan.MaxTokens)
		assign(set("max-staleness"), command.Int32("max-staleness"), &plan.MaxStaleness)
		assign(set("ahead"), command.Int32("ahead"), &plan.Ahead)
		assign(set("share"), command.Int32("share"), &plan.Share)
		assign(set("idle-weight"), command.Float("idle-weight"), &plan.IdleWeight)
		assign(set("staleness-weight"), command.Float("staleness-weight"), &plan.StalenessWeight)
		assign(set("sample-timeout"), durationpb.New(command.Duration("sample-timeout")), &plan.SampleTimeout)
		request := &operatorv1.PutPlanRequest{Change: changeOf(command, plan.GetRevision()), Plan: plan}
		response, err := connectTo(command).PutPlan(ctx, connect.NewRequest(request))
		return accepted(command, response, err)
	}
}

// deletePlan deletes a plan.
func deletePlan(ctx context.Context, command *cli.Command) error {
	named, err := name(command)
	if err != nil {
		return err
	}
	plan, err := findPlan(ctx, command, named)
	if err != nil {
		return err
	}
	request := &operatorv1.DeleteRequest{Change: changeOf(command, plan.GetRevision()), Name: named}
	response, err := connectTo(command).DeletePlan(ctx, connect.NewRequest(request))
	return accepted(command, response, err)
}

// listPlans prints all plans, or the one named.
func listPlans(ctx context.Context, command *cli.Command) error {
	response, err := connectTo(command).ListPlans(ctx, connect.NewRequest(&operatorv1.ListRequest{}))
	if err != nil {
		return fmt.Errorf("list plans: %w", err)
	}
	if command.Name == "show" {
		named, err := name(command)
		if err != nil {
			return err
		}
		plan, err := pick(response.Msg.GetPlans(), "plan", named)
		if err != nil {
			return err
		}
		response.Msg.Plans = []*operatorv1.Plan{plan}
	}
	var rows [][]string
	for _, p := range response.Msg.GetPlans() {
		rows = append(rows, []string{
			p.GetName(), p.GetService(), fmt.Sprint(p.GetGroups()), fmt.Sprint(p.GetGroupSize()), fmt.Sprint(p.GetMaxTokens()),
			fmt.Sprint(p.GetMaxStaleness()), fmt.Sprint(p.GetAhead()), fmt.Sprint(p.GetShare()), fmt.Sprint(p.GetRevision()),
		})
	}
	return show(command, response.Msg, []string{"NAME", "SERVICE", "GROUPS", "SIZE", "TOKENS", "STALENESS", "AHEAD", "SHARE", "REVISION"}, rows)
}

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

// planCommands returns the commands that manage rollout plans.
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

// findPlan fetches a plan from the configuration in force.
func findPlan(ctx context.Context, command *cli.Command, name string) (*operatorv1.Plan, error) {
	response, err := newOperatorClient(command).ListPlans(ctx, connect.NewRequest(&operatorv1.ListRequest{}))
	if err != nil {
		return nil, fmt.Errorf("list plans: %w", err)
	}
	return findByName(response.Msg.GetPlans(), "plan", name)
}

// putPlan returns the action that creates a plan, or changes those fields of an existing
// one whose flags are set.
func putPlan(create bool) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		name, err := nameArg(command)
		if err != nil {
			return err
		}
		plan := &operatorv1.Plan{Name: name}
		if !create {
			if plan, err = findPlan(ctx, command, name); err != nil {
				return err
			}
		}
		applies := func(flag string) bool { return create || command.IsSet(flag) }
		assignIf(applies("service"), command.String("service"), &plan.Service)
		assignIf(applies("scorer"), command.String("scorer"), &plan.Scorer)
		assignIf(applies("prompt"), command.StringSlice("prompt"), &plan.Prompts)
		assignIf(applies("groups"), command.Int32("groups"), &plan.Groups)
		assignIf(applies("group-size"), command.Int32("group-size"), &plan.GroupSize)
		assignIf(applies("max-tokens"), command.Int32("max-tokens"), &plan.MaxTokens)
		assignIf(applies("max-staleness"), command.Int32("max-staleness"), &plan.MaxStaleness)
		assignIf(applies("ahead"), command.Int32("ahead"), &plan.Ahead)
		assignIf(applies("share"), command.Int32("share"), &plan.Share)
		assignIf(applies("idle-weight"), command.Float("idle-weight"), &plan.IdleWeight)
		assignIf(applies("staleness-weight"), command.Float("staleness-weight"), &plan.StalenessWeight)
		assignIf(applies("sample-timeout"), durationpb.New(command.Duration("sample-timeout")), &plan.SampleTimeout)
		request := &operatorv1.PutPlanRequest{Change: newChange(command, plan.GetRevision()), Plan: plan}
		response, err := newOperatorClient(command).PutPlan(ctx, connect.NewRequest(request))
		return printRevision(command, response, err)
	}
}

func deletePlan(ctx context.Context, command *cli.Command) error {
	name, err := nameArg(command)
	if err != nil {
		return err
	}
	plan, err := findPlan(ctx, command, name)
	if err != nil {
		return err
	}
	request := &operatorv1.DeleteRequest{Change: newChange(command, plan.GetRevision()), Name: name}
	response, err := newOperatorClient(command).DeletePlan(ctx, connect.NewRequest(request))
	return printRevision(command, response, err)
}

// listPlans prints all plans, or the one that the argument of "show" names.
func listPlans(ctx context.Context, command *cli.Command) error {
	response, err := newOperatorClient(command).ListPlans(ctx, connect.NewRequest(&operatorv1.ListRequest{}))
	if err != nil {
		return fmt.Errorf("list plans: %w", err)
	}
	if command.Name == "show" {
		name, err := nameArg(command)
		if err != nil {
			return err
		}
		plan, err := findByName(response.Msg.GetPlans(), "plan", name)
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
	return printResult(command, response.Msg, []string{"NAME", "SERVICE", "GROUPS", "SIZE", "TOKENS", "STALENESS", "AHEAD", "SHARE", "REVISION"}, rows)
}

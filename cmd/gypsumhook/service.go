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

func serviceCommands() []*cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "kind", Value: "model", Usage: "model or plain"},
		&cli.StringFlag{Name: "model", Usage: "name of the model in the weight store"},
		&cli.DurationFlag{Name: "default-timeout", Value: 10 * time.Second, Usage: "deadline of calls that state none"},
		&cli.Int32Flag{Name: "max-queue", Value: 256, Usage: "calls that may wait for one backend server"},
		&cli.Int32Flag{Name: "max-away", Usage: "replicas that may change weights at once, 0 for a quarter"},
		&cli.Int32Flag{Name: "crash-limit", Value: 3, Usage: "backend servers that a request may crash"},
		&cli.BoolFlag{Name: "follow-weights", Usage: "load each new version of the model"},
		&cli.BoolFlag{Name: "fenced", Usage: "engines refuse an order with an old fencing number"},
	}
	return []*cli.Command{
		{Name: "create", ArgsUsage: "NAME", Flags: flags, Action: putService(true)},
		{Name: "change", ArgsUsage: "NAME", Flags: flags, Action: putService(false)},
		{Name: "delete", ArgsUsage: "NAME", Action: deleteService},
		{Name: "list", Action: listServices},
		{Name: "show", ArgsUsage: "NAME", Action: listServices},
	}
}

// findService fetches a service from the configuration in force.
func findService(ctx context.Context, command *cli.Command, name string) (*operatorv1.Service, error) {
	response, err := newOperatorClient(command).ListServices(ctx, connect.NewRequest(&operatorv1.ListRequest{}))
	if err != nil {
		return nil, fmt.Errorf("list services: %w", err)
	}
	return findByName(response.Msg.GetServices(), "service", name)
}

// putService returns the action that creates a service, or changes those fields of an
// existing one whose flags are set.
func putService(create bool) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		name, err := nameArg(command)
		if err != nil {
			return err
		}
		service := &operatorv1.Service{Name: name}
		if !create {
			if service, err = findService(ctx, command, name); err != nil {
				return err
			}
		}
		applies := func(flag string) bool { return create || command.IsSet(flag) }
		assignIf(applies("kind"), command.String("kind"), &service.Kind)
		assignIf(applies("model"), command.String("model"), &service.Model)
		assignIf(applies("max-queue"), command.Int32("max-queue"), &service.MaxQueue)
		assignIf(applies("max-away"), command.Int32("max-away"), &service.MaxAway)
		assignIf(applies("crash-limit"), command.Int32("crash-limit"), &service.CrashLimit)
		assignIf(applies("follow-weights"), command.Bool("follow-weights"), &service.FollowWeights)
		assignIf(applies("fenced"), command.Bool("fenced"), &service.Fenced)
		assignIf(applies("default-timeout"), durationpb.New(command.Duration("default-timeout")), &service.DefaultTimeout)
		request := &operatorv1.PutServiceRequest{Change: newChange(command, service.GetRevision()), Service: service}
		response, err := newOperatorClient(command).PutService(ctx, connect.NewRequest(request))
		return printRevision(command, response, err)
	}
}

func deleteService(ctx context.Context, command *cli.Command) error {
	name, err := nameArg(command)
	if err != nil {
		return err
	}
	service, err := findService(ctx, command, name)
	if err != nil {
		return err
	}
	request := &operatorv1.DeleteRequest{Change: newChange(command, service.GetRevision()), Name: name}
	response, err := newOperatorClient(command).DeleteService(ctx, connect.NewRequest(request))
	return printRevision(command, response, err)
}

// listServices prints all services, or the one that the argument of "show" names.
func listServices(ctx context.Context, command *cli.Command) error {
	response, err := newOperatorClient(command).ListServices(ctx, connect.NewRequest(&operatorv1.ListRequest{}))
	if err != nil {
		return fmt.Errorf("list services: %w", err)
	}
	if command.Name == "show" {
		name, err := nameArg(command)
		if err != nil {
			return err
		}
		service, err := findByName(response.Msg.GetServices(), "service", name)
		if err != nil {
			return err
		}
		response.Msg.Services = []*operatorv1.Service{service}
	}
	var rows [][]string
	for _, s := range response.Msg.GetServices() {
		rows = append(rows, []string{
			s.GetName(), s.GetKind(), s.GetModel(), s.GetDefaultTimeout().AsDuration().String(), fmt.Sprint(s.GetMaxQueue()),
			fmt.Sprint(s.GetCrashLimit()), fmt.Sprint(s.GetFollowWeights()), fmt.Sprint(s.GetRevision()),
		})
	}
	return printResult(command, response.Msg, []string{"NAME", "KIND", "MODEL", "TIMEOUT", "QUEUE", "CRASHES", "FOLLOWS", "REVISION"}, rows)
}

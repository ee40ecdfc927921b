package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/gypsumhook/gypsum/admin/operatorv1"
	"github.com/gypsumhook/gypsum/admin/operatorv1/operatorv1connect"
)

// requestTimeout bounds one operator's command.
const requestTimeout = 10 * time.Second

// inForce as a base revision stands for the revision in force at the server.
const inForce = -1

// operatorCommands returns the commands that talk to a daemon.
func operatorCommands() []*cli.Command {
	commands := []*cli.Command{
		{Name: "service", Usage: "create, change, delete, list and show services", Commands: serviceCommands()},
		{Name: "plan", Usage: "create, change, delete, list and show rollout plans", Commands: planCommands()},
		{Name: "status", Usage: "show hosts, revisions in force and queues", Action: showStatus},
		{Name: "drain", Usage: "take a backend server out of use", ArgsUsage: "BACKEND", Action: drain},
		{Name: "resume", Usage: "bring a drained backend server back", ArgsUsage: "BACKEND", Action: resume},
	}
	for _, command := range commands {
		command.Flags = append(command.Flags, commonFlags()...)
	}
	return commands
}

// commonFlags returns the flags of all operators' commands.
func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "server", Usage: "operators' `ADDRESS` of a daemon", Value: "127.0.0.1:7003", Sources: cli.EnvVars("GYPSUMHOOK_SERVER")},
		&cli.StringFlag{Name: "output", Usage: "json or table", Value: "table", Validator: func(value string) error {
			if value != "json" && value != "table" {
				return fmt.Errorf("output %q, allowed: json, table: %w", value, errUsage)
			}
			return nil
		}},
		&cli.StringFlag{Name: "operator", Usage: "name of the operator", Value: os.Getenv("USER")},
		&cli.StringFlag{Name: "change-id", Usage: "id that makes a repeat of the change idempotent"},
		&cli.Int64Flag{Name: "base", Usage: "revision the change is based on; the one in force if not given", Value: -1},
	}
}

// connectTo returns the client of the daemon that the flags name.
func connectTo(command *cli.Command) operatorv1connect.OperatorServiceClient {
	client := &http.Client{Timeout: requestTimeout}
	return operatorv1connect.NewOperatorServiceClient(client, "http://"+command.String("server"))
}

// changeOf returns the header of a change.
func changeOf(command *cli.Command, base int64) *operatorv1.Change {
	change := &operatorv1.Change{ChangeId: command.String("change-id"), Operator: command.String("operator"), BaseRevision: base}
	if change.ChangeId == "" {
		change.ChangeId = uuid.NewString()
	}
	if given := command.Int64("base"); given >= 0 {
		change.BaseRevision = given
	}
	return change
}

// name returns the command's only argument.
func name(command *cli.Command) (string, error) {
	if command.Args().Len() != 1 {
		return "", fmt.Errorf("%s needs exactly one name: %w", command.Name, errUsage)
	}
	return command.Args().First(), nil
}

// show prints a message as JSON, or its rows as a table.
func show(command *cli.Command, message proto.Message, header []string, rows [][]string) error {
	if command.String("output") == "json" {
		body, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
		if err != nil {
			return fmt.Errorf("encode output: %w", err)
		}
		fmt.Fprintln(command.Root().Writer, string(body))
		return nil
	}
	table := tabwriter.NewWriter(command.Root().Writer, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		for _, cell := range row {
			fmt.Fprint(table, cell, "\t")
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

// accepted prints the revision of an accepted change.
func accepted(command *cli.Command, response *connect.Response[operatorv1.ChangeResponse], err error) error {
	if err != nil {
		return err
	}
	revision := strconv.FormatInt(response.Msg.GetRevision(), 10)
	return show(command, response.Msg, []string{"REVISION"}, [][]string{{revision}})
}

// serviceCommands returns the commands on services.
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

// findService returns the service in force.
func findService(ctx context.Context, command *cli.Command, name string) (*operatorv1.Service, error) {
	response, err := connectTo(command).ListServices(ctx, connect.NewRequest(&operatorv1.ListRequest{}))
	if err != nil {
		return nil, fmt.Errorf("list services: %w", err)
	}
	for _, service := range response.Msg.GetServices() {
		if service.GetName() == name {
			return service, nil
		}
	}
	return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("there is no service %q", name))
}

// putService returns the action that creates or changes a service.
func putService(create bool) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		named, err := name(command)
		if err != nil {
			return err
		}
		service := &operatorv1.Service{Name: named}
		if !create {
			if service, err = findService(ctx, command, named); err != nil {
				return err
			}
		}
		set := func(flag string) bool { return create || command.IsSet(flag) }
		assign(set("kind"), command.String("kind"), &service.Kind)
		assign(set("model"), command.String("model"), &service.Model)
		assign(set("max-queue"), command.Int32("max-queue"), &service.MaxQueue)
		assign(set("max-away"), command.Int32("max-away"), &service.MaxAway)
		assign(set("crash-limit"), command.Int32("crash-limit"), &service.CrashLimit)
		assign(set("follow-weights"), command.Bool("follow-weights"), &service.FollowWeights)
		assign(set("fenced"), command.Bool("fenced"), &service.Fenced)
		assign(set("default-timeout"), durationpb.New(command.Duration("default-timeout")), &service.DefaultTimeout)
		request := &operatorv1.PutServiceRequest{Change: changeOf(command, service.GetRevision()), Service: service}
		response, err := connectTo(command).PutService(ctx, connect.NewRequest(request))
		return accepted(command, response, err)
	}
}

// assign sets a field if its flag applies.
func assign[T any](applies bool, value T, target *T) {
	if applies {
		*target = value
	}
}

// deleteService deletes a service.
func deleteService(ctx context.Context, command *cli.Command) error {
	named, err := name(command)
	if err != nil {
		return err
	}
	service, err := findService(ctx, command, named)
	if err != nil {
		return err
	}
	request := &operatorv1.DeleteRequest{Change: changeOf(command, service.GetRevision()), Name: named}
	response, err := connectTo(command).DeleteService(ctx, connect.NewRequest(request))
	return accepted(command, response, err)
}

// listServices prints all services, or the one named.
func listServices(ctx context.Context, command *cli.Command) error {
	response, err := connectTo(command).ListServices(ctx, connect.NewRequest(&operatorv1.ListRequest{}))
	if err != nil {
		return fmt.Errorf("list services: %w", err)
	}
	if command.Name == "show" {
		named, err := name(command)
		if err != nil {
			return err
		}
		service, err := findService(ctx, command, named)
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
	return show(command, response.Msg, []string{"NAME", "KIND", "MODEL", "TIMEOUT", "QUEUE", "CRASHES", "FOLLOWS", "REVISION"}, rows)
}

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
	for _, plan := range response.Msg.GetPlans() {
		if plan.GetName() == name {
			return plan, nil
		}
	}
	return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("there is no plan %q", name))
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
		plan, err := findPlan(ctx, command, named)
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

// showStatus prints the hosts and the backend servers' queues.
func showStatus(ctx context.Context, command *cli.Command) error {
	response, err := connectTo(command).GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{}))
	if err != nil {
		return fmt.Errorf("get status: %w", err)
	}
	var members, backends [][]string
	for _, m := range response.Msg.GetMembers() {
		members = append(members, []string{m.GetHost(), m.GetDataCentre(), m.GetRegion(), m.GetState(), fmt.Sprint(m.GetRevision())})
	}
	for _, b := range response.Msg.GetBackends() {
		backends = append(backends, []string{
			b.GetBackend(), b.GetOwner(), fmt.Sprintf("%d/%d", b.GetRunning(), b.GetSlots()), fmt.Sprint(b.GetQueued()),
			fmt.Sprint(b.GetWeightVersion()), backendState(b),
		})
	}
	if err := show(command, response.Msg, []string{"HOST", "DATA CENTRE", "REGION", "STATE", "REVISION"}, members); err != nil {
		return err
	}
	if command.String("output") == "json" {
		return nil
	}
	fmt.Fprintln(command.Root().Writer)
	return show(command, response.Msg, []string{"BACKEND", "OWNER", "RUNNING", "QUEUED", "VERSION", "STATE"}, backends)
}

// backendState returns the state of a backend server in one word.
func backendState(b *operatorv1.Backend) string {
	switch {
	case b.GetDown():
		return "down"
	case b.GetDrained():
		return "drained"
	case b.GetLeaving():
		return "leaving"
	case b.GetSwapping():
		return "swapping"
	}
	return "open"
}

// drain takes a backend server out of use.
func drain(ctx context.Context, command *cli.Command) error {
	backend, err := name(command)
	if err != nil {
		return err
	}
	request := &operatorv1.DrainRequest{Change: changeOf(command, inForce), Backend: backend}
	response, err := connectTo(command).Drain(ctx, connect.NewRequest(request))
	return accepted(command, response, err)
}

// resume brings a drained backend server back.
func resume(ctx context.Context, command *cli.Command) error {
	backend, err := name(command)
	if err != nil {
		return err
	}
	request := &operatorv1.DrainRequest{Change: changeOf(command, inForce), Backend: backend}
	response, err := connectTo(command).Resume(ctx, connect.NewRequest(request))
	return accepted(command, response, err)
}

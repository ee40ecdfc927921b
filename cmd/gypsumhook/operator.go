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

	"github.com/gypsumhook/gypsum/admin/operatorv1"
	"github.com/gypsumhook/gypsum/admin/operatorv1/operatorv1connect"
)

// requestTimeout limits one request of a command to the daemon.
const requestTimeout = 10 * time.Second

// currentRevision as a base revision means the revision in force on the daemon.
const currentRevision = -1

// operatorCommands returns the commands that send requests to a daemon.
func operatorCommands() []*cli.Command {
	commands := []*cli.Command{
		{Name: "service", Usage: "create, change, delete, list and show services", Commands: serviceCommands()},
		{Name: "plan", Usage: "create, change, delete, list and show rollout plans", Commands: planCommands()},
		{Name: "status", Usage: "show hosts, revisions in force and queues", Action: showStatus},
		{Name: "drain", Usage: "take a backend server out of use", ArgsUsage: "BACKEND", Action: drainBackend},
		{Name: "resume", Usage: "bring a drained backend server back", ArgsUsage: "BACKEND", Action: resumeBackend},
	}
	for _, command := range commands {
		command.Flags = append(command.Flags, commonFlags()...)
	}
	return commands
}

// commonFlags returns the flags that all operator commands share.
func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "server", Usage: "operators' `ADDRESS` of a daemon", Value: "127.0.0.1:7003", Sources: cli.EnvVars("GYPSUMHOOK_SERVER")},
		&cli.StringFlag{Name: "output", Usage: "json or table", Value: "table", Validator: func(value string) error {
			if value != "json" && value != "table" {
				return fmt.Errorf("invalid output format %q, allowed: json, table: %w", value, errInvalidCommandLine)
			}
			return nil
		}},
		&cli.StringFlag{Name: "operator", Usage: "name of the operator", Value: os.Getenv("USER")},
		&cli.StringFlag{Name: "change-id", Usage: "id that makes a repeat of the change idempotent"},
		&cli.Int64Flag{Name: "base", Usage: "revision the change is based on; the one in force if not given", Value: -1},
	}
}

// newOperatorClient returns a client of the daemon that the server flag names.
func newOperatorClient(command *cli.Command) operatorv1connect.OperatorServiceClient {
	client := &http.Client{Timeout: requestTimeout}
	return operatorv1connect.NewOperatorServiceClient(client, "http://"+command.String("server"))
}

// newChange returns the Change message of a command. The base flag takes precedence over
// base; a change ID is generated if the change-id flag is not set.
func newChange(command *cli.Command, base int64) *operatorv1.Change {
	change := &operatorv1.Change{ChangeId: command.String("change-id"), Operator: command.String("operator"), BaseRevision: base}
	if change.ChangeId == "" {
		change.ChangeId = uuid.NewString()
	}
	if revision := command.Int64("base"); revision >= 0 {
		change.BaseRevision = revision
	}
	return change
}

// nameArg returns the command's only argument, the name of an object.
func nameArg(command *cli.Command) (string, error) {
	if command.Args().Len() != 1 {
		return "", fmt.Errorf("%s needs exactly one name: %w", command.Name, errInvalidCommandLine)
	}
	return command.Args().First(), nil
}

// printResult prints a message as JSON, or rows as a table, depending on the output flag.
func printResult(command *cli.Command, message proto.Message, header []string, rows [][]string) error {
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

// printRevision prints the revision at which a change was accepted. An err that is not nil
// is returned.
func printRevision(command *cli.Command, response *connect.Response[operatorv1.ChangeResponse], err error) error {
	if err != nil {
		return err
	}
	revision := strconv.FormatInt(response.Msg.GetRevision(), 10)
	return printResult(command, response.Msg, []string{"REVISION"}, [][]string{{revision}})
}

// assignIf sets a field of a message if the flag for it applies.
func assignIf[T any](applies bool, value T, target *T) {
	if applies {
		*target = value
	}
}

// showStatus prints the members of the fleet and the queues of the backend servers.
func showStatus(ctx context.Context, command *cli.Command) error {
	response, err := newOperatorClient(command).GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{}))
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
	if err := printResult(command, response.Msg, []string{"HOST", "DATA CENTRE", "REGION", "STATE", "REVISION"}, members); err != nil {
		return err
	}
	if command.String("output") == "json" {
		return nil
	}
	fmt.Fprintln(command.Root().Writer)
	return printResult(command, response.Msg, []string{"BACKEND", "OWNER", "RUNNING", "QUEUED", "VERSION", "STATE"}, backends)
}

// backendState returns the state of a backend server in one word. The first state that
// applies is shown.
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

// drainBackend takes a backend server out of use: it gets no new calls until resume.
func drainBackend(ctx context.Context, command *cli.Command) error {
	backend, err := nameArg(command)
	if err != nil {
		return err
	}
	request := &operatorv1.DrainRequest{Change: newChange(command, currentRevision), Backend: backend}
	response, err := newOperatorClient(command).Drain(ctx, connect.NewRequest(request))
	return printRevision(command, response, err)
}

// resumeBackend puts a drained backend server back into use.
func resumeBackend(ctx context.Context, command *cli.Command) error {
	backend, err := nameArg(command)
	if err != nil {
		return err
	}
	request := &operatorv1.DrainRequest{Change: newChange(command, currentRevision), Backend: backend}
	response, err := newOperatorClient(command).Resume(ctx, connect.NewRequest(request))
	return printRevision(command, response, err)
}

// findByName returns the object with a name, or an error with CodeNotFound. The kind is
// for the error message.
func findByName[T interface{ GetName() string }](objects []T, kind, name string) (T, error) {
	for _, object := range objects {
		if object.GetName() == name {
			return object, nil
		}
	}
	var zero T
	return zero, connect.NewError(connect.CodeNotFound, fmt.Errorf("there is no %s %q", kind, name))
}

// Command gypsumhook runs the daemon of the rollout service. It is also the command line
// of its operators.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/gypsumhook/gypsum/daemon"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/setup"
)

// Exit codes. They are documented in docs/OPERATORS.md.
const (
	exitFailure          = 1
	exitUsage            = 2
	exitInvalidSettings  = 3
	exitRevisionConflict = 4
	exitInvalidInput     = 5
	exitUnavailable      = 6
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := newCommand().Run(ctx, os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "gypsumhook:", err)
	stop()
	os.Exit(exitCode(err)) //nolint:gocritic // stop has been called.
}

// exitCode returns the exit code for an error of the command line.
func exitCode(err error) int {
	var actionErr *actionError
	switch {
	case errors.Is(err, setup.ErrSettings), errors.Is(err, platform.ErrSettings):
		return exitInvalidSettings
	case errors.Is(err, errInvalidCommandLine), !errors.As(err, &actionErr) && connect.CodeOf(err) == connect.CodeUnknown:
		return exitUsage
	}
	switch connect.CodeOf(err) {
	case connect.CodeAborted:
		return exitRevisionConflict
	case connect.CodeInvalidArgument, connect.CodeNotFound:
		return exitInvalidInput
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		return exitUnavailable
	}
	return exitFailure
}

var errInvalidCommandLine = errors.New("invalid command line")

// actionError is an error of a command whose command line was valid. Any other error
// without a Connect code is a usage error.
type actionError struct {
	cause error
}

// Error implements error.
func (e *actionError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *actionError) Unwrap() error { return e.cause }

// wrapActionErrors wraps errors of the actions of a command and its subcommands in
// actionError, which distinguishes them from errors of parsing the command line.
func wrapActionErrors(command *cli.Command) {
	if action := command.Action; action != nil {
		command.Action = func(ctx context.Context, command *cli.Command) error {
			if err := action(ctx, command); err != nil {
				return &actionError{cause: err}
			}
			return nil
		}
	}
	for _, sub := range command.Commands {
		wrapActionErrors(sub)
	}
}

// newCommand returns the root command, with wrapped action errors.
func newCommand() *cli.Command {
	command := newRootCommand()
	wrapActionErrors(command)
	return command
}

// newRootCommand returns the root command with its subcommands.
func newRootCommand() *cli.Command {
	return &cli.Command{
		Name:            "gypsumhook",
		Usage:           "rollout service for reinforcement learning",
		HideHelpCommand: true,
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		Commands: append([]*cli.Command{
			{
				Name: "serve", Usage: "run a daemon", Action: runServe,
				Flags: []cli.Flag{&cli.StringFlag{Name: "config", Usage: "settings `FILE`", Required: true}},
			},
			{
				Name: "check-config", Usage: "check a settings file", Action: checkConfig,
				Flags: []cli.Flag{&cli.StringFlag{Name: "config", Usage: "settings `FILE`", Required: true}},
			},
			{Name: "settings", Usage: "print all settings as a table", Action: printSettings},
			edgeCommand(), explainCommand(), stepsCommand(),
		}, operatorCommands()...),
	}
}

// runServe runs a daemon with the settings of a file.
func runServe(ctx context.Context, command *cli.Command) error {
	settings, err := setup.ReadSettings(command.String("config"))
	if err != nil {
		return err
	}
	logger := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: settings.LogLevel})).With("host", settings.Host)
	d := &daemon.Daemon{Settings: settings, Logger: logger}
	return d.Run(ctx)
}

// checkConfig validates a settings file.
func checkConfig(_ context.Context, command *cli.Command) error {
	if _, err := setup.ReadSettings(command.String("config")); err != nil {
		return err
	}
	fmt.Fprintln(command.Root().Writer, "ok")
	return nil
}

// printSettings prints the table of settings that is part of docs/OPERATORS.md.
func printSettings(_ context.Context, command *cli.Command) error {
	fmt.Fprint(command.Root().Writer, setup.MarkdownTable())
	return nil
}

package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/gypsumhook/gypsum/steps"
)

// stepsCommand returns the command that analyses the logs of daemons.
func stepsCommand() *cli.Command {
	return &cli.Command{
		Name: "steps", Usage: "show from daemons' logs what each batch waited for", ArgsUsage: "LOGFILE... (- for standard input)", Action: runSteps,
	}
}

// runSteps writes the report of the log files.
func runSteps(_ context.Context, command *cli.Command) error {
	if command.NArg() == 0 {
		return fmt.Errorf("name at least one log file: %w", errInvalidCommandLine)
	}
	var readers []io.Reader
	for _, path := range command.Args().Slice() {
		if path == "-" {
			readers = append(readers, os.Stdin)
			continue
		}
		file, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("open log file: %w", err)
		}
		defer func() { _ = file.Close() }()
		readers = append(readers, file)
	}
	analysis, err := steps.Analyze(io.MultiReader(readers...))
	if err != nil {
		return err
	}
	return analysis.WriteReport(command.Root().Writer)
}

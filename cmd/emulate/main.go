// Command emulate runs emulated deployments of batches and compares policies. It is a program of
// its own, since the libraries for plots would cost every daemon memory.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/gypsumhook/gypsum/emul"
)

// Exit codes, as those of gypsumhook.
const (
	exitFailure         = 1
	exitUsage           = 2
	exitInvalidScenario = 3
)

var errInvalidCommandLine = errors.New("invalid command line")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := newCommand().Run(ctx, os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "emulate:", err)
	stop()
	os.Exit(exitCode(err)) //nolint:gocritic // stop has been called.
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	switch {
	case errors.Is(err, errInvalidCommandLine):
		return exitUsage
	case errors.Is(err, emul.ErrScenario):
		return exitInvalidScenario
	}
	return exitFailure
}

// newCommand returns the command.
func newCommand() *cli.Command {
	return &cli.Command{
		Name: "emulate", HideHelpCommand: true, ExitErrHandler: func(context.Context, *cli.Command, error) {}, Usage: "run emulated deployments of batches and compare policies", ArgsUsage: "SCENARIO...", Action: runEmulate,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Usage: "number of `SEEDS` of each scenario and policy", Value: 20},
			&cli.StringFlag{Name: "policies", Usage: "comma-separated `NAMES`, the first is the base of the comparison, or all", Value: emul.CurrentPolicy},
			&cli.StringFlag{Name: "out", Usage: "`DIRECTORY` for results.csv and report.html"},
		},
	}
}

// runEmulate runs the scenarios and writes the comparison.
func runEmulate(ctx context.Context, command *cli.Command) error {
	seeds := command.Int("seeds")
	if command.NArg() == 0 || seeds < 1 {
		return fmt.Errorf("name at least one scenario file, and at least one seed: %w", errInvalidCommandLine)
	}
	policies, err := selectPolicies(command.String("policies"))
	if err != nil {
		return err
	}
	var scenarios []*emul.Scenario
	for _, path := range command.Args().Slice() {
		scenario, err := emul.ReadScenario(path)
		if err != nil {
			return err
		}
		scenarios = append(scenarios, scenario)
	}
	out := command.Root().Writer
	results, err := emul.RunAll(ctx, scenarios, policies, seeds, func(done, total int) {
		fmt.Fprintf(command.Root().ErrWriter, "\r%d of %d runs", done, total)
	})
	fmt.Fprintln(command.Root().ErrWriter)
	if err != nil {
		return err
	}
	if err := emul.WriteSummary(out, results); err != nil {
		return err
	}
	if len(policies) > 1 {
		base := policies[0].Name
		if err := emul.WriteComparison(out, emul.Compare(results, base), base); err != nil {
			return err
		}
	}
	return writeEmulation(command.String("out"), results)
}

// selectPolicies returns the policies with the given names.
func selectPolicies(names string) ([]*emul.Policy, error) {
	if names == "all" {
		return emul.Policies(), nil
	}
	var policies []*emul.Policy
	for _, name := range strings.Split(names, ",") {
		policy := emul.FindPolicy(name)
		if policy == nil {
			return nil, fmt.Errorf("unknown policy %q: %w", name, errInvalidCommandLine)
		}
		policies = append(policies, policy)
	}
	return policies, nil
}

// writeEmulation writes the results to files in a directory, unless it is empty.
func writeEmulation(directory string, results []*emul.Result) error {
	if directory == "" {
		return nil
	}
	writers := map[string]func(io.Writer, []*emul.Result) error{"results.csv": emul.WriteCSV, "report.html": emul.WriteHTML}
	for name, write := range writers {
		file, err := os.Create(filepath.Join(directory, name))
		if err != nil {
			return fmt.Errorf("create %s: %w", name, err)
		}
		err = write(file, results)
		if closeErr := file.Close(); err == nil && closeErr != nil {
			err = fmt.Errorf("write %s: %w", name, closeErr)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

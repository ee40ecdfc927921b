package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestCommand checks the output, the files and the exit codes of the command.
func TestCommand(t *testing.T) {
	const scenario = "../../emul/scenarios/quito.ini"
	out := t.TempDir()
	invalid := filepath.Join(out, "invalid.ini")
	if err := os.WriteFile(invalid, []byte("[engines]\ncount = none\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	rows := []struct {
		name string
		args []string
		code int
	}{
		{"comparison", []string{"--seeds", "2", "--policies", "current,no_moves", "--out", out, scenario}, 0},
		{"no scenario", nil, exitUsage},
		{"no seeds", []string{"--seeds", "0", scenario}, exitUsage},
		{"unknown policy", []string{"--policies", "best", scenario}, exitUsage},
		{"invalid scenario", []string{invalid}, exitInvalidScenario},
		{"no such file", []string{invalid + ".none"}, exitInvalidScenario},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			command := newCommand()
			var buffer, progress bytes.Buffer
			command.Writer, command.ErrWriter = &buffer, &progress
			err := command.Run(context.Background(), append([]string{"emulate"}, row.args...))
			if row.code != 0 {
				is.True(err != nil)
				is.Equal(exitCode(err), row.code)
				return
			}
			is.NoErr(err)
			is.True(strings.Contains(buffer.String(), "no_moves"))
			for _, name := range []string{"results.csv", "report.html"} {
				content, err := os.ReadFile(filepath.Join(out, name))
				is.NoErr(err)
				is.True(len(content) > 0)
			}
		})
	}
}

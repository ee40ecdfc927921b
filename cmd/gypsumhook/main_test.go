package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum/setup"
)

// runCommand runs the command line and returns its output and exit code.
func runCommand(t *testing.T, args ...string) (out string, code int) {
	t.Helper()
	command := newCommand()
	var buffer bytes.Buffer
	command.Writer, command.ErrWriter = &buffer, &buffer
	err := command.Run(context.Background(), append([]string{"gypsumhook"}, args...))
	if err == nil {
		return buffer.String(), 0
	}
	return buffer.String() + err.Error(), exitCode(err)
}

// TestExitCodes checks the exit codes that docs/OPERATORS.md documents.
func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.ini")
	if err := os.WriteFile(bad, []byte("[host]\nname = x\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	rows := []struct {
		name string
		args []string
		code int
	}{
		{"settings", []string{"settings"}, 0},
		{"bad settings file", []string{"check-config", "--config", bad}, exitInvalidSettings},
		{"no such file", []string{"check-config", "--config", bad + ".none"}, exitInvalidSettings},
		{"name missing", []string{"service", "delete"}, exitUsage},
		{"two names", []string{"drain", "a", "b"}, exitUsage},
		{"bad output", []string{"status", "--output", "xml"}, exitUsage},
		{"unknown flag", []string{"status", "--loud"}, exitUsage},
		{"flag missing", []string{"serve"}, exitUsage},
		{"no server there", []string{"status", "--server", "127.0.0.1:1"}, exitUnavailable},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			_, code := runCommand(t, row.args...)
			is.Equal(code, row.code)
		})
	}
}

// TestErrorCodes checks the exit codes for error responses of a daemon and for invalid
// settings.
func TestErrorCodes(t *testing.T) {
	is := is.New(t)
	is.Equal(exitCode(connect.NewError(connect.CodeAborted, errors.New("lost"))), exitRevisionConflict)
	is.Equal(exitCode(connect.NewError(connect.CodeInvalidArgument, errors.New("bad"))), exitInvalidInput)
	is.Equal(exitCode(connect.NewError(connect.CodeUnavailable, errors.New("out"))), exitUnavailable)
	is.Equal(exitCode(setup.ErrSettings), exitInvalidSettings)
}

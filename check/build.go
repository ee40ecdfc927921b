package check

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// BuildDaemon builds the daemon's program from a package of the module's root, and
// returns its path and a function that removes it.
func BuildDaemon() (path string, cleanup func(), err error) {
	dir, err := os.MkdirTemp("", "gypsumhook")
	if err != nil {
		return "", nil, fmt.Errorf("make folder for the program: %w", err)
	}
	cleanup = func() { _ = os.RemoveAll(dir) }
	path = filepath.Join(dir, "gypsumhook")
	build := exec.Command("go", "build", "-o", path, "../cmd/gypsumhook")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		cleanup()
		return "", nil, fmt.Errorf("build the daemon: %w", err)
	}
	return path, cleanup, nil
}

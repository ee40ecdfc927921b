package check

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// BuildDaemon builds the daemon's binary. It returns the path of the binary and a
// function that removes it. The working directory must be the directory of a package
// directly below the module's root, as it is in that package's tests.
func BuildDaemon() (path string, cleanup func(), err error) {
	dir, err := os.MkdirTemp("", "gypsumhook")
	if err != nil {
		return "", nil, fmt.Errorf("create directory for the daemon binary: %w", err)
	}
	cleanup = func() { _ = os.RemoveAll(dir) }
	path = filepath.Join(dir, "gypsumhook")
	build := exec.Command("go", "build", "-o", path, "../cmd/gypsumhook")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		cleanup()
		return "", nil, fmt.Errorf("build daemon binary: %w", err)
	}
	return path, cleanup, nil
}

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

// BuildDaemonAt builds the daemon of an earlier commit of the repository that the test runs in. It
// returns the path of the executable and a function that removes it.
func BuildDaemonAt(commit string) (path string, cleanup func(), err error) {
	dir, err := os.MkdirTemp("", "gypsumhook")
	if err != nil {
		return "", nil, fmt.Errorf("create directory for an earlier build: %w", err)
	}
	cleanup = func() { _ = os.RemoveAll(dir) }
	path = filepath.Join(dir, "bin", "gypsumhook")
	archive := filepath.Join(dir, "source.tar")
	steps := []*exec.Cmd{
		exec.Command("git", "archive", "--output", archive, commit+":"),
		exec.Command("tar", "-x", "-f", archive, "-C", dir),
		exec.Command("go", "build", "-o", path, "./cmd/gypsumhook"),
	}
	// git archive runs at the root of the repository, so that it contains all of the source.
	steps[0].Dir, steps[2].Dir = "..", dir
	for _, step := range steps {
		if output, err := step.CombinedOutput(); err != nil {
			cleanup()
			return "", nil, fmt.Errorf("build daemon of commit %s: %s: %w: %s", commit, step.Args[0], err, output)
		}
	}
	return path, cleanup, nil
}

// Command breaks runs mutation tests: for each entry of breaks.txt it breaks one
// mechanism in a copy of the tree and runs the named test, which must fail. Arguments
// select the entries whose names contain one of them.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// mutation is one entry of breaks.txt: the replacement of old by new in file must make
// test fail.
type mutation struct {
	name, file, old, new, test string
}

func main() {
	if err := testMutations(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "breaks:", err)
		os.Exit(1)
	}
}

// testMutations tests the mutations that match one of the filters, or all if there are none. It
// returns an error if a test passes in spite of its mutation.
func testMutations(filters []string) error {
	content, err := os.ReadFile("scripts/breaks/breaks.txt")
	if err != nil {
		return fmt.Errorf("read mutations: %w", err)
	}
	survived := 0
	for _, m := range parseMutations(string(content)) {
		if !matchesFilters(m.name, filters) {
			continue
		}
		killed, err := testMutation(&m)
		if err != nil {
			return fmt.Errorf("test mutation %s: %w", m.name, err)
		}
		verdict := "red"
		if !killed {
			verdict = "SURVIVED"
			survived++
		}
		fmt.Printf("%-9s %-40s %s\n", verdict, m.name, m.test)
	}
	if survived > 0 {
		return fmt.Errorf("%d mutations were not detected by their tests", survived)
	}
	return nil
}

// matchesFilters reports whether a name contains one of the filters, or there are none.
func matchesFilters(name string, filters []string) bool {
	for _, filter := range filters {
		if strings.Contains(name, filter) {
			return true
		}
	}
	return len(filters) == 0
}

// parseMutations reads mutations from blocks of "key: value" lines separated by empty lines.
func parseMutations(content string) []mutation {
	var mutations []mutation
	for block := range strings.SplitSeq(content, "\n\n") {
		fields := map[string]string{}
		for line := range strings.SplitSeq(block, "\n") {
			if key, value, ok := strings.Cut(line, ": "); ok {
				fields[key] = value
			}
		}
		if fields["name"] != "" {
			mutations = append(mutations, mutation{fields["name"], fields["file"], fields["old"], fields["new"], fields["test"]})
		}
	}
	return mutations
}

// testMutation applies a mutation to a copy of the tree and reports whether the test
// fails. It returns an error if old does not occur exactly once or the mutated code does
// not build.
func testMutation(m *mutation) (killed bool, err error) {
	dir, err := os.MkdirTemp("", "breaks")
	if err != nil {
		return false, fmt.Errorf("create directory for the copy: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := exec.Command("sh", "-c", "git ls-files -co --exclude-standard | tar cf - -T - | tar xf - -C "+dir).Run(); err != nil {
		return false, fmt.Errorf("copy tree: %w", err)
	}
	path := filepath.Join(dir, m.file)
	source, err := os.ReadFile(path)
	if err != nil {
		return false, fmt.Errorf("read file to mutate: %w", err)
	}
	if strings.Count(string(source), m.old) != 1 {
		return false, fmt.Errorf("%q occurs %d times in %s, expected 1", m.old, strings.Count(string(source), m.old), m.file)
	}
	mutated := strings.Replace(string(source), m.old, m.new, 1)
	if err := os.WriteFile(path, []byte(mutated), 0o600); err != nil {
		return false, fmt.Errorf("write mutated file: %w", err)
	}
	if out, err := runIn(dir, "go build ./... && go vet ./"+filepath.Dir(m.file)); err != nil {
		return false, fmt.Errorf("mutated code does not build: %w: %s", err, out)
	}
	out, err := runIn(dir, "go test -count=1 "+m.test)
	if strings.Contains(out, "[build failed]") || strings.Contains(out, "no tests to run") {
		return false, fmt.Errorf("test of the mutation does not run: %s", out)
	}
	return err != nil, nil
}

// runIn runs a shell command in a directory and returns its output.
func runIn(dir, command string) (string, error) {
	cmd := exec.Command("sh", "-c", command)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	return string(out), err
}

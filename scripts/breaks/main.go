// Command breaks shows that the tests fail without the mechanisms they prove:
// it breaks each mechanism listed in breaks.txt in a copy of the tree and runs
// the named test, which must fail.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// mutation is one entry of breaks.txt.
type mutation struct {
	name, file, old, new, test string
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "breaks:", err)
		os.Exit(1)
	}
}

// run tries each mutation whose name holds one of the words, or all.
func run(filters []string) error {
	content, err := os.ReadFile("scripts/breaks/breaks.txt")
	if err != nil {
		return fmt.Errorf("read list: %w", err)
	}
	survived := 0
	for _, m := range parse(string(content)) {
		if !matches(m.name, filters) {
			continue
		}
		killed, err := testMutation(&m)
		if err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
		verdict := "red"
		if !killed {
			verdict = "SURVIVED"
			survived++
		}
		fmt.Printf("%-9s %-40s %s\n", verdict, m.name, m.test)
	}
	if survived > 0 {
		return fmt.Errorf("%d mechanisms can be broken unseen", survived)
	}
	return nil
}

// matches tells whether a name holds one of the words.
func matches(name string, filters []string) bool {
	for _, filter := range filters {
		if strings.Contains(name, filter) {
			return true
		}
	}
	return len(filters) == 0
}

// parse reads the list: blocks of "key: value" lines between empty lines.
func parse(content string) []mutation {
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

// testMutation breaks one mechanism in a copy of the tree and tells whether the test fails.
func testMutation(m *mutation) (killed bool, err error) {
	dir, err := os.MkdirTemp("", "breaks")
	if err != nil {
		return false, fmt.Errorf("make copy: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := exec.Command("sh", "-c", "git ls-files -co --exclude-standard | tar cf - -T - | tar xf - -C "+dir).Run(); err != nil {
		return false, fmt.Errorf("copy tree: %w", err)
	}
	path := filepath.Join(dir, m.file)
	source, err := os.ReadFile(path)
	if err != nil {
		return false, fmt.Errorf("read file: %w", err)
	}
	if strings.Count(string(source), m.old) != 1 {
		return false, fmt.Errorf("%q stands %d times in %s", m.old, strings.Count(string(source), m.old), m.file)
	}
	mutated := strings.Replace(string(source), m.old, m.new, 1)
	if err := os.WriteFile(path, []byte(mutated), 0o600); err != nil {
		return false, fmt.Errorf("write file: %w", err)
	}
	cmd := exec.Command("sh", "-c", "go vet ./"+filepath.Dir(m.file)+" && go test -count=1 "+m.test)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	if strings.Contains(string(out), "vet: ") || strings.Contains(string(out), "[build failed]") {
		return false, fmt.Errorf("the broken code does not build: %s", out)
	}
	return err != nil, nil
}

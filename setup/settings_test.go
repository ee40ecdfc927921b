package setup_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"

	"github.com/gypsumhook/gypsum/setup"
)

// good is a whole settings file.
const good = `[host]
id = genova-1
data_centre = genova
region = liguria
home_region = liguria
[listen]
callers = 127.0.0.1:7001
peers = 127.0.0.1:7002
operators = 127.0.0.1:7003
advertised = 127.0.0.1:7002
[platform]
log = http://127.0.0.1:8001
hosts = http://127.0.0.1:8002
weights = http://127.0.0.1:8003
[times]
drain_wait = 1s
`

// write writes a settings file.
func write(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "daemon.ini")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestGood checks that a whole file is read.
func TestGood(t *testing.T) {
	is := is.New(t)
	settings, err := setup.Read(write(t, good))
	is.NoErr(err)
	is.Equal(string(settings.Host), "genova-1")
	is.Equal(settings.DrainWait.String(), "1s")
	is.Equal(settings.Tuning.KeyShards, 16)
}

// TestErrors checks the messages for bad settings against a golden file.
func TestErrors(t *testing.T) {
	is := is.New(t)
	rows := [][2]string{
		{"unknown key", good + "drain_weight = 3s\n"},
		{"unknown section", good + "[time]\ndrain_wait = 3s\n"},
		{"missing key", strings.Replace(good, "id = genova-1\n", "", 1)},
		{"no IP number", strings.Replace(good, "callers = 127.0.0.1:7001", "callers = localhost:7001", 1)},
		{"no port", strings.Replace(good, "callers = 127.0.0.1:7001", "callers = 127.0.0.1", 1)},
		{"port too high", strings.Replace(good, "callers = 127.0.0.1:7001", "callers = 127.0.0.1:70010", 1)},
		{"no URL", strings.Replace(good, "log = http://127.0.0.1:8001", "log = 127.0.0.1:8001", 1)},
		{"no duration", strings.Replace(good, "drain_wait = 1s", "drain_wait = 1", 1)},
		{"out of range", strings.Replace(good, "drain_wait = 1s", "drain_wait = 2h", 1)},
		{"no number", good + "[limits]\nshards = many\n"},
		{"no level", good + "[log]\nlevel = loud\n"},
		{"no INI", "[host\n"},
	}
	var seen bytes.Buffer
	for _, row := range rows {
		path := write(t, row[1])
		_, err := setup.Read(path)
		is.True(errors.Is(err, setup.ErrSettings))
		fmt.Fprintf(&seen, "%s: %s\n", row[0], strings.ReplaceAll(err.Error(), path, "FILE"))
	}
	goldie.New(t).Assert(t, "errors", seen.Bytes())
}

// TestDocumented checks that docs/OPERATORS.md holds the table of settings.
func TestDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/OPERATORS.md")
	is.NoErr(err)
	is.True(strings.Contains(string(page), setup.Table())) // gypsumhook settings prints the table
}

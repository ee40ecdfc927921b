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

// validSettings is a settings file with all required keys.
const validSettings = `[host]
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

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "daemon.ini")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestReadSettings checks that a valid file is read and that other settings have their
// defaults.
func TestReadSettings(t *testing.T) {
	is := is.New(t)
	settings, err := setup.ReadSettings(writeSettings(t, validSettings))
	is.NoErr(err)
	is.Equal(string(settings.Host), "genova-1")
	is.Equal(settings.DrainWait.String(), "1s")
	is.Equal(settings.Tuning.KeyShards, 16)
}

// TestInvalidSettings checks the messages for invalid settings against a golden file.
func TestInvalidSettings(t *testing.T) {
	is := is.New(t)
	rows := [][2]string{
		{"unknown key", validSettings + "drain_weight = 3s\n"},
		{"unknown section", validSettings + "[time]\ndrain_wait = 3s\n"},
		{"missing key", strings.Replace(validSettings, "id = genova-1\n", "", 1)},
		{"no IP number", strings.Replace(validSettings, "callers = 127.0.0.1:7001", "callers = localhost:7001", 1)},
		{"no port", strings.Replace(validSettings, "callers = 127.0.0.1:7001", "callers = 127.0.0.1", 1)},
		{"port too high", strings.Replace(validSettings, "callers = 127.0.0.1:7001", "callers = 127.0.0.1:70010", 1)},
		{"no URL", strings.Replace(validSettings, "log = http://127.0.0.1:8001", "log = 127.0.0.1:8001", 1)},
		{"no duration", strings.Replace(validSettings, "drain_wait = 1s", "drain_wait = 1", 1)},
		{"out of range", strings.Replace(validSettings, "drain_wait = 1s", "drain_wait = 2h", 1)},
		{"no number", validSettings + "[limits]\nshards = many\n"},
		{"no level", validSettings + "[log]\nlevel = loud\n"},
		{"no INI", "[host\n"},
	}
	var got bytes.Buffer
	for _, row := range rows {
		path := writeSettings(t, row[1])
		_, err := setup.ReadSettings(path)
		is.True(errors.Is(err, setup.ErrSettings))
		fmt.Fprintf(&got, "%s: %s\n", row[0], strings.ReplaceAll(err.Error(), path, "FILE"))
	}
	goldie.New(t).Assert(t, "errors", got.Bytes())
}

// TestSettingsAreDocumented checks that docs/OPERATORS.md contains the table of settings.
func TestSettingsAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/OPERATORS.md")
	is.NoErr(err)
	is.True(strings.Contains(string(page), setup.MarkdownTable())) // printed by gypsumhook settings
}

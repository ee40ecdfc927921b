package steps_test

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/gypsumhook/gypsum/steps"
)

// TestReport checks the report of the logs of two daemons: a batch with scores whose last
// item broke off once, a batch without scores, and one that has no result yet.
func TestReport(t *testing.T) {
	is := is.New(t)
	logs, err := os.Open("testdata/two_daemons.log")
	is.NoErr(err)
	defer func() { _ = logs.Close() }()
	analysis, err := steps.Analyze(logs)
	is.NoErr(err)
	is.Equal(len(analysis.Batches), 3)
	scored := analysis.Batches[0]
	is.Equal(string(scored.Last.ID), "i2")
	is.Equal(scored.Last.Broken, 1)
	is.Equal(scored.Last.Loads, 1)
	is.Equal(scored.Phases(), steps.Phases{
		Waiting: 100 * time.Millisecond, Generation: 3 * time.Second, Scoring: 240 * time.Millisecond,
		Storing: 10 * time.Millisecond, Reading: 150 * time.Millisecond, Ending: 500 * time.Millisecond,
	})
	phases := scored.Phases()
	longest, _ := phases.Longest()
	is.Equal(longest, "generation")
	var report bytes.Buffer
	is.NoErr(analysis.WriteReport(&report))
	goldie.New(t).Assert(t, "report", report.Bytes())
}

// TestOrderOfLines checks that the order of the log lines does not matter, as the files of
// daemons are read one after the other.
func TestOrderOfLines(t *testing.T) {
	is := is.New(t)
	content, err := os.ReadFile("testdata/two_daemons.log")
	is.NoErr(err)
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	var first, reversed bytes.Buffer
	analysis, err := steps.Analyze(bytes.NewReader(content))
	is.NoErr(err)
	is.NoErr(analysis.WriteReport(&first))
	for i := range len(lines) / 2 {
		lines[i], lines[len(lines)-1-i] = lines[len(lines)-1-i], lines[i]
	}
	analysis, err = steps.Analyze(strings.NewReader(strings.Join(lines, "\n")))
	is.NoErr(err)
	is.NoErr(analysis.WriteReport(&reversed))
	is.Equal(first.String(), reversed.String())
}

// FuzzAnalyze checks that no input makes the analysis panic.
func FuzzAnalyze(f *testing.F) {
	content, err := os.ReadFile("testdata/two_daemons.log")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Add([]byte(`{"msg":"result stored","batch":"b"}`))
	f.Add([]byte("no log\n{"))
	f.Fuzz(func(t *testing.T, logs []byte) {
		analysis, err := steps.Analyze(bytes.NewReader(logs))
		if err != nil {
			return
		}
		var report bytes.Buffer
		if err := analysis.WriteReport(&report); err != nil {
			t.Error(err)
		}
	})
}

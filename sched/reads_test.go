package sched_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum/sched"
)

// TestAnswerRead checks when a request for results is answered.
func TestAnswerRead(t *testing.T) {
	const wait, due = time.Second, 5 * time.Second
	rows := []struct {
		name  string
		state sched.ReadState
		want  bool
	}{
		{"no result yet", sched.ReadState{Wait: wait, UntilDue: due}, false},
		{"some results", sched.ReadState{NewResults: 3, Wait: wait, UntilDue: due}, false},
		{"some results, wait is over", sched.ReadState{NewResults: 3, Waited: wait, Wait: wait, UntilDue: due}, true},
		{"no result, wait is over", sched.ReadState{Waited: wait, Wait: wait, UntilDue: due}, true},
		{"reader does not wait", sched.ReadState{NewResults: 3, UntilDue: due}, true},
		{"enough groups", sched.ReadState{NewResults: 3, Sufficient: true, Wait: wait, UntilDue: due}, true},
		{"enough groups were read before", sched.ReadState{Sufficient: true, Wait: wait, UntilDue: due}, false},
		{"no more results", sched.ReadState{Final: true, Wait: wait, UntilDue: due}, true},
		{"results are due soon", sched.ReadState{NewResults: 1, Wait: wait, UntilDue: wait / 2}, false},
		{"results are due", sched.ReadState{NewResults: 1, Wait: wait}, true},
		{"results were due just now", sched.ReadState{NewResults: 1, Wait: wait, UntilDue: -wait / 2}, true},
		{"results have been due for long", sched.ReadState{NewResults: 1, Wait: wait, UntilDue: -wait}, false},
		{"nothing to deliver although due", sched.ReadState{Wait: wait, UntilDue: -wait}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is.New(t).Equal(sched.AnswerRead(&row.state), row.want)
		})
	}
}

// TestAnswerReadReplay replays the results of a recorded step to a trainer that reads every
// half a second and acts on what it has at its next read: it acts on its last group more than
// half an interval after that was stored if every read is answered at once, and less than a
// quarter of an interval after if reads are kept open.
func TestAnswerReadReplay(t *testing.T) {
	is := is.New(t)
	answerAtOnce := func(state *sched.ReadState) bool { return state.NewResults > 0 || state.Waited >= state.Wait }
	meanDelay := func(answer func(*sched.ReadState) bool) time.Duration {
		var total time.Duration
		const runs = 100
		for run := range runs {
			// The first read comes at another moment of the step in each run.
			total += replayReads(t, answer, time.Duration(run)*interval/runs)
		}
		return total / runs
	}
	before, after := meanDelay(answerAtOnce), meanDelay(sched.AnswerRead)
	t.Logf("mean delay from the last needed result to the trainer's reaction: %v before, %v now", before, after)
	is.True(before > interval/2)
	is.True(after < interval/4)
}

// interval is the time between two reads of a trainer.
const interval = 500 * time.Millisecond

// replayReads returns the time from the result that completes the step to the trainer's
// reaction. The trainer starts its next read half a second after the one before, or at once if
// that took longer, and looks at what it has before each read.
func replayReads(t *testing.T, answer func(*sched.ReadState) bool, firstRead time.Duration) time.Duration {
	t.Helper()
	stored := recordedResults(t)
	const wait, due, tick = time.Second, 7500 * time.Millisecond, 5 * time.Millisecond
	last := stored[len(stored)-1]
	countAt := func(at time.Duration) int {
		count := 0
		for _, result := range stored {
			if result <= at {
				count++
			}
		}
		return count
	}
	received, readAt := 0, firstRead
	for {
		if received == len(stored) {
			return readAt - last
		}
		at := readAt
		for ; ; at += tick {
			count := countAt(at)
			state := &sched.ReadState{
				NewResults: count - received, Sufficient: count == len(stored), Waited: at - readAt, Wait: wait, UntilDue: due - at,
			}
			if answer(state) {
				received = count
				break
			}
		}
		readAt = max(at, readAt+interval)
	}
}

// recordedResults returns the times from the submission of a recorded step to its stored
// results: seven groups of 16 items, of which the trainer waits for all.
func recordedResults(t *testing.T) []time.Duration {
	t.Helper()
	content, err := os.ReadFile("testdata/results.json")
	if err != nil {
		t.Fatal(err)
	}
	var storedMS []int64
	if err := json.Unmarshal(content, &storedMS); err != nil {
		t.Fatal(err)
	}
	results := make([]time.Duration, 0, len(storedMS))
	for _, ms := range storedMS {
		results = append(results, time.Duration(ms)*time.Millisecond)
	}
	return results
}

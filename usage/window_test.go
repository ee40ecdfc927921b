package usage_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/store"
	"github.com/gypsumhook/gypsum/usage"
)

// testTiming is the timing of the platform's deployments.
var testTiming = usage.Timing{Window: 5 * time.Second, Lateness: 10 * time.Second}

// TestWindows guards against requests in the wrong window and against windows that are closed too
// early or too late.
func TestWindows(t *testing.T) {
	is := is.New(t)
	start := time.Unix(353445120*5, 0)
	is.Equal(testTiming.WindowAt(start), gypsum.UsageWindow(353445120))
	is.Equal(testTiming.WindowAt(start.Add(-time.Nanosecond)), gypsum.UsageWindow(353445119))
	is.Equal(testTiming.WindowAt(time.Unix(0, -1)), gypsum.UsageWindow(-1))
	end := testTiming.End(353445120)
	is.Equal(end, start.Add(5*time.Second))

	is.Equal(testTiming.CloseAt(353445120, usage.StoreState{}), end.Add(3*time.Second))
	is.Equal(testTiming.CloseAt(353445120, usage.StoreState{Back: end.Add(time.Second)}), end.Add(3*time.Second))
	is.Equal(testTiming.CloseAt(353445120, usage.StoreState{Back: end.Add(5500 * time.Millisecond)}), end.Add(6500*time.Millisecond)) // the counts arrive after an outage
	is.Equal(testTiming.CloseAt(353445120, usage.StoreState{Back: end.Add(8 * time.Second)}), end.Add(8500*time.Millisecond))         // time for the report
	is.Equal(testTiming.CloseAt(353445120, usage.StoreState{Back: end.Add(9 * time.Second)}), end.Add(9300*time.Millisecond))

	is.Equal(testTiming.CloseAt(353445120, usage.StoreState{Latency: time.Second}), end.Add(5*time.Second)) // a slow store
	is.Equal(testTiming.CloseAt(353445120, usage.StoreState{Latency: time.Minute}), end.Add(8500*time.Millisecond))

	is.Equal(testTiming.Reportable(end.Add(2900*time.Millisecond), usage.StoreState{}), []gypsum.UsageWindow{353445119})
	is.Equal(testTiming.Reportable(end.Add(3*time.Second), usage.StoreState{}), []gypsum.UsageWindow{353445119, 353445120})
	is.Equal(testTiming.Reportable(end.Add(5*time.Second), usage.StoreState{}), []gypsum.UsageWindow{353445120})
	is.Equal(testTiming.Reportable(end.Add(9900*time.Millisecond), usage.StoreState{}), []gypsum.UsageWindow{353445120, 353445121})
	is.Equal(testTiming.Reportable(end.Add(10*time.Second), usage.StoreState{}), []gypsum.UsageWindow{353445121})
}

// TestSteppedClock guards against counts in the wrong windows while a host's clock is stepped, and
// against a clock that is never corrected.
func TestSteppedClock(t *testing.T) {
	is := is.New(t)
	steady, wall := time.Hour, time.Unix(1_700_000_000, 0)
	clock := &usage.TimeOfDay{Steady: func() time.Duration { return steady }, Wall: func() time.Time { return wall }}
	advance := func(d, wallDrift time.Duration) time.Time {
		steady += d
		wall = wall.Add(d + wallDrift)
		return clock.Now()
	}
	start := advance(0, 0)
	is.Equal(advance(10*time.Second, time.Millisecond), start.Add(10*time.Second+time.Millisecond)) // an adjustment
	is.Equal(advance(time.Second, 7*time.Second), start.Add(11*time.Second+time.Millisecond))       // a step
	is.Equal(advance(time.Second, 0), start.Add(12*time.Second+time.Millisecond))
	is.Equal(advance(time.Second, -7*time.Second), start.Add(13*time.Second+time.Millisecond)) // the step is taken back
	advance(0, 7*time.Second)
	is.Equal(advance(time.Minute, 0), start.Add(80*time.Second+time.Millisecond)) // the step lasts
}

// countsRecord returns the record of the counts of a host.
func countsRecord(t *testing.T, offset gypsum.Offset, host gypsum.HostID, window gypsum.UsageWindow, counts map[gypsum.AccountName]int64) gypsum.KeyedRecord {
	record, err := usage.EncodeCounts(&usage.Counts{Host: host, Incarnation: 36, Window: window, Counts: counts})
	if err != nil {
		t.Fatal(err)
	}
	record.Offset = offset
	return record
}

// closedRecord returns a record that closes a window.
func closedRecord(t *testing.T, offset gypsum.Offset, unique string, window gypsum.UsageWindow, counts map[gypsum.AccountName]int64) gypsum.KeyedRecord {
	record, err := usage.EncodeClosed(&usage.Closed{Window: window, Counts: counts, Host: "edge-1"}, unique)
	if err != nil {
		t.Fatal(err)
	}
	record.Offset = offset
	return record
}

// TestLedger guards against a second report of a window with other counts: the first record that
// closes it is the report, whatever arrives later.
func TestLedger(t *testing.T) {
	is := is.New(t)
	ledger := usage.NewLedger(slog.New(slog.NewTextHandler(io.Discard, nil)))
	ledger.Apply(store.Update{Complete: true, Records: []gypsum.KeyedRecord{
		countsRecord(t, 1, "edge-1", 7, map[gypsum.AccountName]int64{"hule930": 3}),
		countsRecord(t, 2, "edge-2", 7, map[gypsum.AccountName]int64{"hule930": 2, "fida11": 1}),
	}})
	ledger.Apply(store.Update{Records: []gypsum.KeyedRecord{
		countsRecord(t, 3, "edge-1", 7, map[gypsum.AccountName]int64{"hule930": 5}), // replaces the first record
		{Key: "n/7/broken", Value: []byte{0xff}, Offset: 4},
		{Key: "z/7/later", Value: []byte{1}, Offset: 5}, // a kind of a later version
	}})
	is.Equal(ledger.Sums(7), map[gypsum.AccountName]int64{"hule930": 7, "fida11": 1})
	_, closed := ledger.Report(7)
	is.True(!closed)
	first := map[gypsum.AccountName]int64{"hule930": 7, "fida11": 1}
	ledger.Apply(store.Update{Records: []gypsum.KeyedRecord{
		closedRecord(t, 6, "edge-1.1.1", 7, first),
		countsRecord(t, 7, "edge-2", 7, map[gypsum.AccountName]int64{"hule930": 2, "fida11": 4}),
		closedRecord(t, 8, "edge-2.1.1", 7, map[gypsum.AccountName]int64{"hule930": 7, "fida11": 4}),
		closedRecord(t, 9, "edge-2.1.2", 8, nil), // a window without requests
	}})
	report, closed := ledger.Report(7)
	is.True(closed)
	is.Equal(report, gypsum.UsageReport{Window: 7, Counts: first})
	is.Equal(ledger.Lost(), int64(3))
	empty, closed := ledger.Report(8)
	is.True(closed)
	is.Equal(len(empty.Counts), 0)

	end := testTiming.End(8)
	is.Equal(len(ledger.ExpiredKeys(testTiming, end.Add(10*time.Second))), 0)
	keys := ledger.ExpiredKeys(testTiming, end.Add(time.Minute))
	is.Equal(keys, []string{"n/7/edge-1.10", "n/7/edge-2.10", "w/7/edge-1.1.1", "w/7/edge-2.1.1", "w/8/edge-2.1.2"})
	for _, key := range keys {
		ledger.Apply(store.Update{Records: []gypsum.KeyedRecord{{Key: key}}})
	}
	is.Equal(len(ledger.ExpiredKeys(testTiming, end.Add(time.Minute))), 0)
}

// TestRecordFormat guards against a change of the records that daemons of another build cannot
// read.
func TestRecordFormat(t *testing.T) {
	g := goldie.New(t)
	counts := countsRecord(t, 0, "edge-1", 353445120, map[gypsum.AccountName]int64{"hule930": 412})
	g.Assert(t, "counts", counts.Value)
	closed := closedRecord(t, 0, "edge-1.1.1", 353445120, map[gypsum.AccountName]int64{"hule930": 412})
	g.Assert(t, "closed", closed.Value)
	is := is.New(t)
	is.Equal(counts.Key, "n/353445120/edge-1.10")
	is.Equal(closed.Key, "w/353445120/edge-1.1.1")
}

// FuzzRecords checks that no record makes the decoder panic or yields a negative count.
func FuzzRecords(f *testing.F) {
	f.Add("n/7/a", []byte{0xa1, 0x04, 0xa1, 0x61, 0x61, 0x20})
	f.Add("w/7/a", []byte{0xa1, 0x01, 0x07})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		counts, _, err := usage.Decode(&gypsum.KeyedRecord{Key: key, Value: value})
		if err != nil && !errors.Is(err, usage.ErrMalformed) {
			t.Errorf("error %v is not ErrMalformed", err)
		}
		if counts != nil {
			for _, count := range counts.Counts {
				if count < 0 {
					t.Errorf("negative count %d", count)
				}
			}
		}
	})
}

package epoch_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/epoch"
	"github.com/gypsumhook/gypsum/fake"
)

// recordList is a state machine that keeps the bodies of all records.
type recordList struct {
	mu    sync.Mutex
	items []string
}

// Apply implements epoch.StateMachine.
func (l *recordList) Apply(entry epoch.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = append(l.items, string(entry.Body))
}

// Snapshot implements epoch.StateMachine.
func (l *recordList) Snapshot() ([]byte, error) { return []byte(strings.Join(l.allItems(), ",")), nil }

// Restore implements epoch.StateMachine.
func (l *recordList) Restore(body []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = strings.Split(string(body), ",")
	return nil
}

// allItems returns the bodies of all records.
func (l *recordList) allItems() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.items)
}

func startStream(ctx context.Context, log gypsum.Log, machine epoch.StateMachine, configure func(*epoch.Stream)) *epoch.Stream {
	stream := &epoch.Stream{
		Log: log, Name: "s", StateMachine: machine, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Timeout: time.Second,
	}
	if configure != nil {
		configure(stream)
	}
	stream.Start(ctx)
	return stream
}

// runWithFakeClock runs a test on a fake clock with a context that ends with the
// test.
func runWithFakeClock(t *testing.T, run func(is *is.I, ctx context.Context, log *fake.Log)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		run(is.New(t), ctx, fake.NewLog())
		cancel()
		synctest.Wait()
	})
}

// TestReadersAgree checks that all readers apply the same records in the same order.
func TestReadersAgree(t *testing.T) {
	runWithFakeClock(t, func(is *is.I, ctx context.Context, log *fake.Log) {
		a, b := &recordList{}, &recordList{}
		first, second := startStream(ctx, log, a, nil), startStream(ctx, log, b, nil)
		var writers sync.WaitGroup
		for number := range 20 {
			writers.Go(func() { is.NoErr(first.Append(ctx, "", fmt.Appendf(nil, "a%d", number))) })
			writers.Go(func() { is.NoErr(second.Append(ctx, "", fmt.Appendf(nil, "b%d", number))) })
		}
		writers.Wait()
		is.NoErr(first.ReadToEnd(ctx))
		is.NoErr(second.ReadToEnd(ctx))
		is.Equal(len(a.allItems()), 40)
		is.Equal(a.allItems(), b.allItems())
	})
}

// TestGroupCommit checks that records submitted together need few append calls.
func TestGroupCommit(t *testing.T) {
	runWithFakeClock(t, func(is *is.I, ctx context.Context, log *fake.Log) {
		log.Latency = 10 * time.Millisecond
		stream := startStream(ctx, log, &recordList{}, func(s *epoch.Stream) { s.MinAppendInterval = 50 * time.Millisecond })
		start := time.Now()
		var writers sync.WaitGroup
		for range 1000 {
			writers.Go(func() { is.NoErr(stream.Append(ctx, "", []byte("x"))) })
		}
		writers.Wait()
		is.True(time.Since(start) < 500*time.Millisecond)
		is.True(log.AppendCount() <= 5)
	})
}

// TestAppendWithLostResponse checks that an append whose response was lost
// succeeds because its record is found by reading.
func TestAppendWithLostResponse(t *testing.T) {
	runWithFakeClock(t, func(is *is.I, ctx context.Context, log *fake.Log) {
		machine := &recordList{}
		stream := startStream(ctx, log, machine, nil)
		log.SetFault(fake.LogResponseLost)
		is.NoErr(stream.Append(ctx, "", []byte("x")))
		is.Equal(machine.allItems(), []string{"x"})
	})
}

// TestAppendDuringOutage checks that an append during an outage fails and is not applied.
func TestAppendDuringOutage(t *testing.T) {
	runWithFakeClock(t, func(is *is.I, ctx context.Context, log *fake.Log) {
		machine := &recordList{}
		stream := startStream(ctx, log, machine, nil)
		log.SetFault(fake.LogUnavailable)
		is.True(errors.Is(stream.Append(ctx, "", []byte("x")), gypsum.ErrLogUnavailable))
		is.Equal(len(machine.allItems()), 0)
	})
}

// TestNewerEpochTakesOver checks that the newest epoch record makes its writer the
// holder with a higher epoch, and that the previous holder finds out by reading.
func TestNewerEpochTakesOver(t *testing.T) {
	runWithFakeClock(t, func(is *is.I, ctx context.Context, log *fake.Log) {
		first, second := startStream(ctx, log, &recordList{}, nil), startStream(ctx, log, &recordList{}, nil)
		is.NoErr(first.AcquireEpoch(ctx))
		older, isHolder := first.Epoch()
		is.True(isHolder)
		is.NoErr(second.AcquireEpoch(ctx))
		newer, isHolder := second.Epoch()
		is.True(isHolder)
		is.True(newer > older)
		is.NoErr(first.ReadToEnd(ctx))
		is.True(!first.IsHolder())
	})
}

// TestRestoreFromSnapshot checks that a new reader restores its state from a
// snapshot after retention removed the records before it.
func TestRestoreFromSnapshot(t *testing.T) {
	runWithFakeClock(t, func(is *is.I, ctx context.Context, log *fake.Log) {
		machine := &recordList{}
		stream := startStream(ctx, log, machine, func(s *epoch.Stream) {
			s.SnapshotInterval, s.SnapshotEvery = time.Minute, 5
			s.IsSnapshotWriter = func() bool { return true }
		})
		for number := range 12 {
			is.NoErr(stream.Append(ctx, "", fmt.Appendf(nil, "%d", number)))
			time.Sleep(200 * time.Millisecond)
		}
		log.Truncate(4)
		late := &recordList{}
		reader := startStream(ctx, log, late, nil)
		is.NoErr(reader.ReadToEnd(ctx))
		is.Equal(late.allItems(), machine.allItems())
	})
}

// TestIncompleteSnapshot checks that a snapshot is ignored if another record was
// appended between the last record it covers and the snapshot itself.
func TestIncompleteSnapshot(t *testing.T) {
	runWithFakeClock(t, func(is *is.I, ctx context.Context, log *fake.Log) {
		machine := &recordList{}
		racing := &racingLog{Log: log}
		stream := startStream(ctx, racing, machine, func(s *epoch.Stream) {
			s.SnapshotInterval, s.SnapshotEvery = time.Hour, 1
			s.IsSnapshotWriter = func() bool { return true }
		})
		other := startStream(ctx, log, &recordList{}, nil)
		is.NoErr(stream.Append(ctx, "", []byte("a")))
		// The stream's next append is its snapshot; another record is appended just
		// before it.
		racing.before = func() { is.NoErr(other.Append(ctx, "", []byte("b"))) }
		time.Sleep(200 * time.Millisecond)
		racing.before = nil
		is.NoErr(stream.Append(ctx, "", []byte("c")))
		log.Truncate(3) // removes a; b is now the oldest record
		records := log.Records("s")
		is.True(len(records) == 3)
		late := &recordList{}
		reader := startStream(ctx, log, late, nil)
		err := reader.ReadToEnd(ctx)
		// Either a later complete snapshot was found, or the loss is reported.
		is.True(errors.Is(err, gypsum.ErrHistoryLost) || slices.Equal(late.allItems(), machine.allItems()))
	})
}

// racingLog calls a function right before an append.
type racingLog struct {
	gypsum.Log
	before func()
}

// Append implements gypsum.Log.
func (r *racingLog) Append(ctx context.Context, stream gypsum.StreamName, records [][]byte) (gypsum.Offset, error) {
	if before := r.before; before != nil {
		r.before = nil
		before()
	}
	return r.Log.Append(ctx, stream, records)
}

// TestHistoryLost checks that a reader reports lost history instead of taking the
// remaining records for the complete stream.
func TestHistoryLost(t *testing.T) {
	runWithFakeClock(t, func(is *is.I, ctx context.Context, log *fake.Log) {
		stream := startStream(ctx, log, &recordList{}, nil)
		for range 5 {
			is.NoErr(stream.Append(ctx, "", []byte("x")))
		}
		log.Truncate(2)
		reader := startStream(ctx, log, &recordList{}, nil)
		is.True(errors.Is(reader.ReadToEnd(ctx), gypsum.ErrHistoryLost))
		is.True(errors.Is(reader.Append(ctx, "", []byte("y")), gypsum.ErrHistoryLost))
		is.True(reader.HistoryLost())
	})
}

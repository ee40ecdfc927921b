// Package epoch implements replicated state machines on streams of the
// platform's log.
//
// Any process may write to a stream. The order of the records in the log decides
// conflicts: every reader builds the same state from them, and a writer acts on
// its record only after reading it back. Where an action needs a fencing token,
// an epoch record makes its writer the holder of the stream until the next epoch
// record. The protocol does not depend on clocks.
package epoch

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// StateMachine is the state built from the records of a stream. Its methods are
// called from a single goroutine.
type StateMachine interface {
	Apply(entry Entry)
	Snapshot() ([]byte, error)
	Restore(body []byte) error
}

// Entry is a record of a stream as passed to the state machine.
type Entry struct {
	Offset gypsum.Offset
	Nonce  string
	Body   []byte
}

// NoEpoch is the epoch of a stream that has had no holder yet.
const NoEpoch gypsum.Offset = -1

// maxCallRecords is the maximum number of records requested in one read and appended
// in one group.
const maxCallRecords = 1000

// tickInterval is the time between two checks for due reads and snapshots.
const tickInterval = 50 * time.Millisecond

// Stream reads and writes one stream of the log. Set the exported fields before
// calling Start.
type Stream struct {
	Log          gypsum.Log
	Name         gypsum.StreamName
	StateMachine StateMachine
	Logger       *slog.Logger
	// Stateless marks a stream without state other than its epoch. Its history is
	// not lost when the log removes old records.
	Stateless bool
	// MinAppendInterval is the minimum time between two appends. Operations that
	// arrive in between are committed as one group.
	MinAppendInterval time.Duration
	// Timeout bounds one append or read call.
	Timeout time.Duration
	// PollInterval is the time between two reads while nothing is appended. If it
	// is 0, the stream is read only by operations.
	PollInterval time.Duration
	// SnapshotInterval is the maximum age of the newest snapshot, 0 for no
	// snapshots. It must be well below the log's retention.
	SnapshotInterval time.Duration
	// SnapshotEvery is the number of records after which a snapshot is due.
	SnapshotEvery int
	// IsSnapshotWriter reports whether this process should write due snapshots. It
	// need not be exclusive: a snapshot's offset alone decides whether it is valid.
	IsSnapshotWriter func() bool
	// OnHistoryLost, if set, gives the state machine a state to continue from after the
	// history was lost. It is called only in the process that writes snapshots.
	OnHistoryLost func()

	operations chan *operation
	done       chan error
	stopped    chan struct{}

	mu                sync.Mutex
	nextOffset        gypsum.Offset
	epoch             gypsum.Offset
	isHolder          bool
	loaded            bool
	historyLost       bool
	appendCount       int64
	pendingOperations map[string]*operation
	restoring         bool

	lastAppend           time.Time
	lastRead             time.Time
	lastSnapshot         time.Time
	recordsSinceSnapshot int
}

// operation is a record to append, or a read to perform, and the channel for its
// result.
type operation struct {
	envelope envelope
	result   chan error
}

// Start starts the goroutine that serves the stream until ctx ends. Done reports
// its result.
func (s *Stream) Start(ctx context.Context) {
	s.operations = make(chan *operation, 1024)
	s.done = make(chan error, 1)
	s.pendingOperations = make(map[string]*operation)
	s.epoch = NoEpoch
	s.lastSnapshot = time.Now()
	s.stopped = make(chan struct{})
	go func() {
		defer close(s.stopped)
		s.done <- s.run(ctx)
	}()
}

// Stopped returns a channel that is closed when the stream's goroutine has ended.
func (s *Stream) Stopped() <-chan struct{} { return s.stopped }

// Done returns a channel that receives the result of the stream's goroutine.
func (s *Stream) Done() <-chan error { return s.done }

// IsHolder reports whether this process is the holder as of the newest epoch it
// has read.
func (s *Stream) IsHolder() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isHolder
}

// Epoch returns the newest epoch read and whether this process is its holder.
func (s *Stream) Epoch() (gypsum.Offset, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch, s.isHolder
}

// Loaded reports whether the stream has been read to its end at least once.
func (s *Stream) Loaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

// HistoryLost reports whether retention removed records that no snapshot covers.
func (s *Stream) HistoryLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.historyLost
}

// AppendCount returns the number of append calls made so far.
func (s *Stream) AppendCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendCount
}

// AcquireEpoch makes this process the holder of the stream. When it returns nil,
// every record before the new epoch has been applied.
func (s *Stream) AcquireEpoch(ctx context.Context) error {
	if s.IsHolder() {
		return nil
	}
	return s.submitOperation(ctx, envelope{Kind: kindEpoch})
}

// Append appends a record and returns nil once it has been read back. After any
// error the record may still appear in the stream.
func (s *Stream) Append(ctx context.Context, nonce string, body []byte) error {
	return s.submitOperation(ctx, envelope{Kind: kindRecord, Nonce: nonce, Body: body})
}

// ReadToEnd reads the stream to its current end.
func (s *Stream) ReadToEnd(ctx context.Context) error {
	return s.submitOperation(ctx, envelope{Kind: kindRead})
}

// submitOperation passes an envelope to the stream's goroutine and waits for its result.
func (s *Stream) submitOperation(ctx context.Context, env envelope) error {
	if env.Nonce == "" {
		env.Nonce = uuid.NewString()
	}
	op := &operation{envelope: env, result: make(chan error, 1)}
	select {
	case s.operations <- op:
	default:
		return fmt.Errorf("stream %s: operation queue is full: %w", s.Name, gypsum.ErrLogUnavailable)
	}
	select {
	case err := <-op.result:
		return err
	case <-s.stopped:
		return fmt.Errorf("stream %s has stopped: %w", s.Name, gypsum.ErrLogUnavailable)
	case <-ctx.Done():
		return fmt.Errorf("wait for stream %s: %w", s.Name, gypsum.ErrLogUnavailable)
	}
}

// run serves operations, polls the stream and writes due snapshots until ctx ends.
func (s *Stream) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-s.operations:
			s.commitGroup(ctx, s.collectGroup(ctx, first))
		case <-ticker.C:
			s.pollIfDue(ctx)
			s.commitSnapshotIfDue(ctx)
		}
	}
}

// pollIfDue reads the stream if polling is enabled and a read is due.
func (s *Stream) pollIfDue(ctx context.Context) {
	if s.PollInterval == 0 || time.Since(s.lastRead) < s.PollInterval {
		return
	}
	if err := s.catchUp(ctx); err != nil && ctx.Err() == nil {
		s.Logger.Debug("failed to read stream", "stream", s.Name, "error", err)
	}
}

// catchUp reads and applies all records up to the current end of the stream.
func (s *Stream) catchUp(ctx context.Context) error {
	s.lastRead = time.Now()
	for {
		callCtx, cancel := context.WithTimeout(ctx, s.Timeout)
		page, err := s.Log.Read(callCtx, gypsum.LogRead{Stream: s.Name, From: s.nextOffset, Max: maxCallRecords})
		cancel()
		if errors.Is(err, gypsum.ErrTruncated) && page != nil {
			s.beginRestore(page.First)
			continue
		}
		if err != nil {
			return fmt.Errorf("read stream %s from offset %d: %w", s.Name, s.nextOffset, err)
		}
		for _, record := range page.Records {
			s.applyLogRecord(record)
		}
		if s.nextOffset >= page.Next || len(page.Records) == 0 {
			return s.recordReadEnd()
		}
	}
}

// recordReadEnd updates the stream's status after its end was reached. It returns
// gypsum.ErrHistoryLost if no snapshot to restore from was found on the way.
func (s *Stream) recordReadEnd() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyLost = s.restoring
	if s.restoring {
		return fmt.Errorf("restore stream %s: %w", s.Name, gypsum.ErrHistoryLost)
	}
	s.loaded = true
	return nil
}

// applyLogRecord applies one record and resolves its operation if it is pending here.
func (s *Stream) applyLogRecord(record gypsum.LogRecord) {
	s.mu.Lock()
	s.nextOffset = record.Offset + 1
	env, err := decodeEnvelope(record.Data)
	s.mu.Unlock()
	if err != nil {
		s.Logger.Warn("failed to decode stream record", "stream", s.Name, "offset", record.Offset, "error", err)
		return
	}
	switch env.Kind {
	case kindEpoch:
		s.applyEpoch(record.Offset, env)
	case kindSnapshot:
		s.applySnapshot(record.Offset, env)
	case kindRecord:
		s.applyRecord(record.Offset, env)
	}
}

// applyEpoch makes the writer of an epoch record the holder.
func (s *Stream) applyEpoch(offset gypsum.Offset, env *envelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = offset
	s.isHolder = false
	if s.restoring {
		return
	}
	_, s.isHolder = s.pendingOperations[env.Nonce]
	s.resolveOperation(env.Nonce, nil)
}

// applyRecord passes a record to the state machine.
func (s *Stream) applyRecord(offset gypsum.Offset, env *envelope) {
	if s.restoring {
		return
	}
	s.StateMachine.Apply(Entry{Offset: offset, Nonce: env.Nonce, Body: env.Body})
	s.recordsSinceSnapshot++
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resolveOperation(env.Nonce, nil)
}

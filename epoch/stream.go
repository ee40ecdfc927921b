// Package epoch keeps replicated state in a stream of the platform's log.
//
// Any process may write. The order of the records arbitrates: every reader
// builds the same state from them, and a writer acts on a record only once it
// has read it back. Where an act needs a fencing number, an epoch record makes
// its writer the holder of the stream until the next one. No clock takes part.
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

// StateMachine is the state that the records of a stream build up. Its
// methods are called from one goroutine.
type StateMachine interface {
	Apply(entry Entry)
	Snapshot() ([]byte, error)
	Restore(body []byte) error
}

// Entry is a record of a stream.
type Entry struct {
	Offset gypsum.Offset
	Nonce  string
	Body   []byte
}

// NoEpoch is the epoch of a stream that nobody has held yet.
const NoEpoch gypsum.Offset = -1

// maxReadRecords is the number of records asked for in one read.
const maxReadRecords = 1000

// tickInterval is the time between two looks at what is due.
const tickInterval = 50 * time.Millisecond

// Stream is a reader and writer of one stream. Set the exported fields before Run.
type Stream struct {
	Log          gypsum.Log
	Name         gypsum.StreamName
	StateMachine StateMachine
	Logger       *slog.Logger
	// Stateless streams have no state but their epoch, so that removed records
	// are not missed.
	Stateless bool
	// MinAppendInterval is the least time between two appends; what arrives
	// meanwhile is committed as one group.
	MinAppendInterval time.Duration
	// Timeout bounds one append or read.
	Timeout time.Duration
	// PollInterval is the time between two reads when nothing is appended, 0
	// for a stream that is read only on use.
	PollInterval time.Duration
	// SnapshotInterval is the longest age of the newest snapshot, 0 for none.
	// It must be well below the log's retention.
	SnapshotInterval time.Duration
	// SnapshotEvery is the number of records after which a snapshot is due.
	SnapshotEvery int
	// IsSnapshotWriter tells whether this process is to write due snapshots. Any
	// process may write one: its offset alone decides whether it is valid.
	IsSnapshotWriter func() bool
	// Repair, if set, gives the machine a state to go on from after the history
	// was lost. It is called by the responsible process only.
	Repair func()

	operations chan *operation
	done       chan error
	stopped    chan struct{}

	mu          sync.Mutex
	nextOffset  gypsum.Offset
	epoch       gypsum.Offset
	isHolder    bool
	loaded      bool
	historyLost bool
	appends     int64
	pending     map[string]*operation
	restoring   bool

	lastAppend           time.Time
	lastRead             time.Time
	lastSnapshot         time.Time
	recordsSinceSnapshot int
}

// operation is a record on its way into the stream.
type operation struct {
	envelope envelope
	result   chan error
}

// Start begins to serve the stream. The end of its goroutine is reported on Done.
func (s *Stream) Start(ctx context.Context) {
	s.operations = make(chan *operation, 1024)
	s.done = make(chan error, 1)
	s.pending = make(map[string]*operation)
	s.epoch = NoEpoch
	s.lastSnapshot = time.Now()
	s.stopped = make(chan struct{})
	go func() {
		defer close(s.stopped)
		s.done <- s.run(ctx)
	}()
}

// Stopped is closed when the stream's goroutine has ended.
func (s *Stream) Stopped() <-chan struct{} { return s.stopped }

// Done reports the end of the stream's goroutine.
func (s *Stream) Done() <-chan error { return s.done }

// IsHolder tells whether this process holds the newest epoch it has read.
func (s *Stream) IsHolder() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isHolder
}

// Epoch returns the newest epoch read and whether this process holds it.
func (s *Stream) Epoch() (gypsum.Offset, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch, s.isHolder
}

// Loaded tells whether the stream has once been read to its end.
func (s *Stream) Loaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

// HistoryLost tells whether retention removed records that no snapshot covers.
func (s *Stream) HistoryLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.historyLost
}

// Appends returns the number of append calls made so far.
func (s *Stream) Appends() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Acquire makes this process the holder of the stream. When it returns nil,
// every record before the new epoch has been applied.
func (s *Stream) Acquire(ctx context.Context) error {
	if s.IsHolder() {
		return nil
	}
	return s.submit(ctx, envelope{Kind: kindEpoch})
}

// Append adds a record and returns nil once it was read back. On any error the
// record may yet appear in the stream.
func (s *Stream) Append(ctx context.Context, nonce string, body []byte) error {
	return s.submit(ctx, envelope{Kind: kindRecord, Nonce: nonce, Body: body})
}

// Refresh reads the stream to its present end.
func (s *Stream) Refresh(ctx context.Context) error {
	return s.submit(ctx, envelope{Kind: kindRead})
}

// submit hands an envelope to the stream's goroutine and waits for its result.
func (s *Stream) submit(ctx context.Context, env envelope) error {
	if env.Nonce == "" {
		env.Nonce = uuid.NewString()
	}
	op := &operation{envelope: env, result: make(chan error, 1)}
	select {
	case s.operations <- op:
	default:
		return fmt.Errorf("stream %s: too many records wait: %w", s.Name, gypsum.ErrLogUnavailable)
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

// run serves requests, polls and writes due snapshots until ctx ends.
func (s *Stream) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-s.operations:
			s.commit(ctx, s.collectGroup(ctx, first))
		case <-ticker.C:
			s.pollIfDue(ctx)
			s.snapshotIfDue(ctx)
		}
	}
}

// pollIfDue reads the stream if it is polled and a read is due.
func (s *Stream) pollIfDue(ctx context.Context) {
	if s.PollInterval == 0 || time.Since(s.lastRead) < s.PollInterval {
		return
	}
	if err := s.catchUp(ctx); err != nil && ctx.Err() == nil {
		s.Logger.Debug("stream not read", "stream", s.Name, "error", err)
	}
}

// catchUp reads and applies all records up to the stream's present end.
func (s *Stream) catchUp(ctx context.Context) error {
	s.lastRead = time.Now()
	for {
		callCtx, cancel := context.WithTimeout(ctx, s.Timeout)
		page, err := s.Log.Read(callCtx, gypsum.LogRead{Stream: s.Name, From: s.nextOffset, Max: maxReadRecords})
		cancel()
		if errors.Is(err, gypsum.ErrTruncated) && page != nil {
			s.beginRestore(page.First)
			continue
		}
		if err != nil {
			return fmt.Errorf("read %s from %d: %w", s.Name, s.nextOffset, err)
		}
		for _, record := range page.Records {
			s.apply(record)
		}
		if s.nextOffset >= page.Next || len(page.Records) == 0 {
			return s.finishRead()
		}
	}
}

// finishRead notes that the end of the stream was reached.
func (s *Stream) finishRead() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyLost = s.restoring
	if s.restoring {
		return fmt.Errorf("stream %s: %w", s.Name, gypsum.ErrHistoryLost)
	}
	s.loaded = true
	return nil
}

// apply takes one record into the state and resolves its request, if it is ours.
func (s *Stream) apply(record gypsum.LogRecord) {
	s.mu.Lock()
	s.nextOffset = record.Offset + 1
	env, err := decode(record.Data)
	s.mu.Unlock()
	if err != nil {
		s.Logger.Warn("record not understood", "stream", s.Name, "offset", record.Offset, "error", err)
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

// applyEpoch makes the record's writer the holder.
func (s *Stream) applyEpoch(offset gypsum.Offset, env *envelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = offset
	s.isHolder = false
	if s.restoring {
		return
	}
	_, s.isHolder = s.pending[env.Nonce]
	s.resolve(env.Nonce, nil)
}

// applyRecord hands a record to the machine.
func (s *Stream) applyRecord(offset gypsum.Offset, env *envelope) {
	if s.restoring {
		return
	}
	s.StateMachine.Apply(Entry{Offset: offset, Nonce: env.Nonce, Body: env.Body})
	s.recordsSinceSnapshot++
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resolve(env.Nonce, nil)
}

package epoch

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// beginRestore skips to the oldest retained record and, unless the stream is
// stateless, starts to look for a snapshot to restore from.
func (s *Stream) beginRestore(first gypsum.Offset) {
	s.Logger.Info("stream truncated by retention; skipping to the oldest record", "stream", s.Name, "next", s.nextOffset, "first", first)
	s.nextOffset = first
	s.restoring = !s.Stateless
}

// applySnapshot accepts a snapshot that covers all records before it. Any other
// snapshot is invalid and ignored.
func (s *Stream) applySnapshot(offset gypsum.Offset, env *envelope) {
	var result error
	if env.LastIncluded != offset-1 {
		result = fmt.Errorf("snapshot at offset %d of stream %s covers records up to offset %d only: %w", offset, s.Name, env.LastIncluded, gypsum.ErrEpochSuperseded)
	} else {
		s.acceptSnapshot(offset, env)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resolveOperation(env.Nonce, result)
}

// acceptSnapshot records the time of a valid snapshot and restores the state
// machine from it if a restore is in progress.
func (s *Stream) acceptSnapshot(offset gypsum.Offset, env *envelope) {
	s.lastSnapshot = time.Now()
	s.recordsSinceSnapshot = 0
	if !s.restoring {
		return
	}
	if err := s.StateMachine.Restore(env.Body); err != nil {
		s.Logger.Error("failed to restore state from snapshot", "stream", s.Name, "offset", offset, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restoring = false
	s.isHolder = s.isHolder && s.epoch == env.Epoch
	s.epoch = env.Epoch
}

// commitSnapshotIfDue appends a snapshot if one is due and this process is the one to
// write it.
func (s *Stream) commitSnapshotIfDue(ctx context.Context) {
	if s.SnapshotInterval == 0 || s.IsSnapshotWriter == nil {
		return
	}
	if !s.snapshotDue() || !s.IsSnapshotWriter() {
		return
	}
	err := s.catchUp(ctx)
	if errors.Is(err, gypsum.ErrHistoryLost) && s.OnHistoryLost != nil {
		s.Logger.Error("stream history lost, continuing from a repaired state", "stream", s.Name)
		s.OnHistoryLost()
		err = nil
	}
	if err == nil && s.snapshotDue() {
		s.commitSnapshot(ctx)
	}
	if s.snapshotDue() {
		// Retry a failed snapshot after a quarter of the interval.
		s.lastSnapshot = time.Now().Add(-s.SnapshotInterval * 3 / 4)
		s.recordsSinceSnapshot = 0
	}
}

// snapshotDue reports whether the newest snapshot is too old or too many records
// follow it.
func (s *Stream) snapshotDue() bool {
	return time.Since(s.lastSnapshot) >= s.SnapshotInterval ||
		(s.SnapshotEvery > 0 && s.recordsSinceSnapshot >= s.SnapshotEvery)
}

// commitSnapshot appends a snapshot of all records read so far.
func (s *Stream) commitSnapshot(ctx context.Context) {
	body, err := s.StateMachine.Snapshot()
	if err != nil {
		s.Logger.Error("failed to create snapshot", "stream", s.Name, "error", err)
		return
	}
	s.mu.Lock()
	env := envelope{Kind: kindSnapshot, LastIncluded: s.nextOffset - 1, Epoch: s.epoch, Body: body}
	s.mu.Unlock()
	op := newOperation(env)
	s.commitGroup(ctx, []*operation{op})
	if err := <-op.result; err != nil {
		s.Logger.Info("failed to commit snapshot", "stream", s.Name, "error", err)
	}
}

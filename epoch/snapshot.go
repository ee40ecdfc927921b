package epoch

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// beginRestore skips to the oldest record left and looks for a snapshot there.
func (s *Stream) beginRestore(first gypsum.Offset) {
	s.Logger.Info("stream truncated", "stream", s.Name, "next", s.nextOffset, "first", first)
	s.nextOffset = first
	s.restoring = !s.Stateless
}

// applySnapshot restores from a snapshot that covers all records before it.
// Any other is void.
func (s *Stream) applySnapshot(offset gypsum.Offset, env *envelope) {
	var result error
	if env.LastIncluded != offset-1 {
		result = fmt.Errorf("snapshot %d of %s covers %d only: %w", offset, s.Name, env.LastIncluded, gypsum.ErrEpochSuperseded)
	} else {
		s.acceptSnapshot(offset, env)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resolve(env.Nonce, result)
}

// acceptSnapshot notes a valid snapshot and, while restoring, takes it over.
func (s *Stream) acceptSnapshot(offset gypsum.Offset, env *envelope) {
	s.lastSnapshot = time.Now()
	s.recordsSinceSnapshot = 0
	if !s.restoring {
		return
	}
	if err := s.StateMachine.Restore(env.Body); err != nil {
		s.Logger.Error("snapshot not restored", "stream", s.Name, "offset", offset, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restoring = false
	s.isHolder = s.isHolder && s.epoch == env.Epoch
	s.epoch = env.Epoch
}

// snapshotIfDue appends a snapshot if one is due and this process is responsible.
func (s *Stream) snapshotIfDue(ctx context.Context) {
	if s.SnapshotInterval == 0 || s.IsSnapshotWriter == nil {
		return
	}
	if !s.snapshotDue() || !s.IsSnapshotWriter() {
		return
	}
	err := s.catchUp(ctx)
	if errors.Is(err, gypsum.ErrHistoryLost) && s.Repair != nil {
		s.Logger.Error("stream history lost, going on from a repaired state", "stream", s.Name)
		s.Repair()
		err = nil
	}
	if err == nil && s.snapshotDue() {
		s.commitSnapshot(ctx)
	}
	if s.snapshotDue() {
		// A failed attempt is tried again after a part of the interval.
		s.lastSnapshot = time.Now().Add(-s.SnapshotInterval * 3 / 4)
		s.recordsSinceSnapshot = 0
	}
}

// snapshotDue tells whether the newest snapshot is too old.
func (s *Stream) snapshotDue() bool {
	return time.Since(s.lastSnapshot) >= s.SnapshotInterval ||
		(s.SnapshotEvery > 0 && s.recordsSinceSnapshot >= s.SnapshotEvery)
}

// commitSnapshot appends a snapshot of all that was read.
func (s *Stream) commitSnapshot(ctx context.Context) {
	body, err := s.StateMachine.Snapshot()
	if err != nil {
		s.Logger.Error("snapshot not made", "stream", s.Name, "error", err)
		return
	}
	s.mu.Lock()
	env := envelope{Kind: kindSnapshot, LastIncluded: s.nextOffset - 1, Epoch: s.epoch, Body: body}
	s.mu.Unlock()
	op := newOperation(env)
	s.commit(ctx, []*operation{op})
	if err := <-op.result; err != nil {
		s.Logger.Info("snapshot void", "stream", s.Name, "error", err)
	}
}

package epoch

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// readBackInterval is the time between two reads while an appended record is
// not yet visible to readers.
const readBackInterval = 20 * time.Millisecond

// collectGroup waits until the next append is allowed and returns the
// operations to commit together.
func (s *Stream) collectGroup(ctx context.Context, first *operation) []*operation {
	if wait := s.MinAppendInterval - time.Since(s.lastAppend); wait > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	group := []*operation{first}
	for len(group) < maxCallRecords {
		select {
		case op := <-s.operations:
			group = append(group, op)
		default:
			return group
		}
	}
	return group
}

// commitGroup appends the records of a group and reads the stream until all of its
// operations are resolved.
func (s *Stream) commitGroup(ctx context.Context, group []*operation) {
	group = s.serveReads(ctx, group)
	if len(group) == 0 {
		return
	}
	records := make([][]byte, len(group))
	s.mu.Lock()
	for i, op := range group {
		records[i] = encodeEnvelope(&op.envelope)
		s.pendingOperations[op.envelope.Nonce] = op
	}
	s.appendCount++
	s.mu.Unlock()

	s.lastAppend = time.Now()
	callCtx, cancel := context.WithTimeout(ctx, s.Timeout)
	offset, appendErr := s.Log.Append(callCtx, s.Name, records)
	cancel()
	var end gypsum.Offset
	if appendErr == nil {
		end = offset + gypsum.Offset(len(records))
	}
	s.failPendingOperations(appendErr, s.readBack(ctx, end))
}

// readBack reads the stream at least up to end. Reads may lag behind appends.
func (s *Stream) readBack(ctx context.Context, end gypsum.Offset) error {
	deadline := time.Now().Add(s.Timeout)
	for {
		err := s.catchUp(ctx)
		if err != nil || s.nextOffset >= end || time.Now().After(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readBackInterval):
		}
	}
}

// serveReads resolves the read-only operations of a group and returns the others.
func (s *Stream) serveReads(ctx context.Context, group []*operation) []*operation {
	appends := group[:0]
	var reads []*operation
	for _, op := range group {
		if op.envelope.Kind == kindRead {
			reads = append(reads, op)
		} else {
			appends = append(appends, op)
		}
	}
	if len(reads) == 0 {
		return appends
	}
	err := s.catchUp(ctx)
	for _, op := range reads {
		op.result <- err
	}
	return appends
}

// failPendingOperations fails the operations whose records were not found in the stream.
func (s *Stream) failPendingOperations(appendErr, readErr error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for nonce, op := range s.pendingOperations {
		delete(s.pendingOperations, nonce)
		switch {
		case readErr != nil && errors.Is(readErr, gypsum.ErrHistoryLost):
			op.result <- readErr
		case appendErr != nil:
			op.result <- fmt.Errorf("append to stream %s: %v: %w", s.Name, appendErr, gypsum.ErrLogUnavailable)
		default:
			op.result <- fmt.Errorf("read back stream %s: %v: %w", s.Name, readErr, gypsum.ErrLogUnavailable)
		}
	}
}

// resolveOperation completes the operation with the nonce, if it is pending in this
// process. The caller must hold mu.
func (s *Stream) resolveOperation(nonce string, result error) {
	if op, ok := s.pendingOperations[nonce]; ok {
		delete(s.pendingOperations, nonce)
		op.result <- result
	}
}

// newOperation returns an operation with a fresh nonce.
func newOperation(env envelope) *operation {
	env.Nonce = uuid.NewString()
	return &operation{envelope: env, result: make(chan error, 1)}
}

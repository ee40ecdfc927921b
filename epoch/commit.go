package epoch

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// readBackInterval is the time between two reads for a record that was
// appended but is not yet shown.
const readBackInterval = 20 * time.Millisecond

// gather waits until the next append is allowed and returns the group to commit.
func (s *Stream) gather(ctx context.Context, first *request) []*request {
	if wait := s.MinInterval - time.Since(s.lastAppend); wait > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	group := []*request{first}
	for len(group) < readMax {
		select {
		case req := <-s.requests:
			group = append(group, req)
		default:
			return group
		}
	}
	return group
}

// commit appends a group of records and reads until all are resolved.
func (s *Stream) commit(ctx context.Context, group []*request) {
	group = s.serveReads(ctx, group)
	if len(group) == 0 {
		return
	}
	records := make([][]byte, len(group))
	s.mu.Lock()
	for i, req := range group {
		records[i] = encode(&req.envelope)
		s.waiting[req.envelope.Nonce] = req
	}
	s.appends++
	s.mu.Unlock()

	s.lastAppend = time.Now()
	callCtx, cancel := context.WithTimeout(ctx, s.Timeout)
	offset, appendErr := s.Log.Append(callCtx, s.Name, records)
	cancel()
	var end gypsum.Offset
	if appendErr == nil {
		end = offset + gypsum.Offset(len(records))
	}
	s.failWaiting(appendErr, s.readBack(ctx, end))
}

// readBack reads the stream at least up to end. Reads may lag behind appends.
func (s *Stream) readBack(ctx context.Context, end gypsum.Offset) error {
	deadline := time.Now().Add(s.Timeout)
	for {
		err := s.catchUp(ctx)
		if err != nil || s.next >= end || time.Now().After(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readBackInterval):
		}
	}
}

// serveReads answers the requests that only read.
func (s *Stream) serveReads(ctx context.Context, group []*request) []*request {
	appends := group[:0]
	var reads []*request
	for _, req := range group {
		if req.envelope.Kind == kindRead {
			reads = append(reads, req)
		} else {
			appends = append(appends, req)
		}
	}
	if len(reads) == 0 {
		return appends
	}
	err := s.catchUp(ctx)
	for _, req := range reads {
		req.result <- err
	}
	return appends
}

// failWaiting ends the requests that were not found in the stream.
func (s *Stream) failWaiting(appendErr, readErr error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for nonce, req := range s.waiting {
		delete(s.waiting, nonce)
		switch {
		case readErr != nil && errors.Is(readErr, gypsum.ErrHistoryLost):
			req.result <- readErr
		case appendErr != nil:
			req.result <- fmt.Errorf("append to %s: %v: %w", s.Name, appendErr, gypsum.ErrLogUnavailable)
		default:
			req.result <- fmt.Errorf("read back %s: %v: %w", s.Name, readErr, gypsum.ErrLogUnavailable)
		}
	}
}

// resolve ends the request with the nonce, if it waits here. The caller holds mu.
func (s *Stream) resolve(nonce string, result error) {
	if req, ok := s.waiting[nonce]; ok {
		delete(s.waiting, nonce)
		req.result <- result
	}
}

// newRequest returns a request with a fresh nonce.
func newRequest(env envelope) *request {
	env.Nonce = uuid.NewString()
	return &request{envelope: env, result: make(chan error, 1)}
}

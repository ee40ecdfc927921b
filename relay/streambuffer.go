package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
)

// Bounds of what is held for clients that read slowly.
const (
	// defaultBufferMemory is the bound of all streams of a Relay without a pool of its own.
	defaultBufferMemory = 16 << 20
	// maxStreamBuffer is the bound of one stream: two events of the maximum size.
	maxStreamBuffer = 512 << 10
	// slowReaderGrace is how long a client may read nothing before its stream may be aborted
	// for want of memory.
	slowReaderGrace = 250 * time.Millisecond
)

// ErrClientTooSlow means that a client reads its stream so slowly that more than the bound would
// have to be held for it.
var ErrClientTooSlow = errors.New("client reads too slowly")

// streamBuffer passes a response and its events on to a client in a goroutine of its own, so that a
// client that reads slowly does not delay the reading of the replica's response, and does not occupy
// its slot: replicas abort responses that stay unread for some seconds. It is bounded; a client that
// exceeds the bound loses its stream. It implements Sink.
type streamBuffer struct {
	sink   Sink
	holder *buffer.Holder

	mu sync.Mutex
	// response is the one that has begun, until it is passed on.
	response *gypsum.LiveResponse
	events   [][]byte
	ended    bool
	err      error
	// wake receives a value when there are events or the stream has ended, done the result of
	// the goroutine.
	wake chan struct{}
	done chan error
}

// newStreamBuffer starts the goroutine that writes to sink. The caller must call finish.
func (r *Relay) newStreamBuffer(ctx context.Context, account gypsum.AccountName, sink Sink) *streamBuffer {
	b := &streamBuffer{sink: sink, wake: make(chan struct{}, 1), done: make(chan error, 1)}
	b.holder = r.Buffers.Open(account, maxStreamBuffer, b.Abort, time.Now())
	go func() { b.done <- b.run(ctx) }()
	return b
}

// BeginResponse implements Sink. It does not wait for the client.
func (b *streamBuffer) BeginResponse(response *gypsum.LiveResponse) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return b.err
	}
	b.response = response
	b.notify()
	return nil
}

// WriteEvent implements Sink. It does not wait for the client.
func (b *streamBuffer) WriteEvent(raw []byte) error {
	if err := b.holder.AddEvicting(gypsum.Bytes(len(raw)), slowReaderGrace, time.Now()); err != nil {
		b.Abort()
		return errors.Wrap(ErrClientTooSlow, err.Error())
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return b.err
	}
	b.events = append(b.events, raw)
	b.notify()
	return nil
}

// Abort implements Sink.
func (b *streamBuffer) Abort() {
	b.fail(ErrClientTooSlow)
	b.sink.Abort()
}

// fail records the error of the stream and drops its events.
func (b *streamBuffer) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = err
	}
	b.response, b.events = nil, nil
	b.notify()
}

// notify wakes the goroutine. The caller holds mu.
func (b *streamBuffer) notify() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run writes the events until the stream has ended and all are written, or the client does not
// accept them.
func (b *streamBuffer) run(ctx context.Context) error {
	for {
		response, events, ended, err := b.take()
		if err != nil {
			return err
		}
		if err := b.write(response, events); err != nil {
			b.fail(err)
			_, _, _, err = b.take()
			return err
		}
		if response != nil || len(events) > 0 {
			continue
		}
		if ended {
			return nil
		}
		select {
		case <-ctx.Done():
			b.fail(ctx.Err())
			return ctx.Err()
		case <-b.wake:
		}
	}
}

// write passes a response, nil for none, and events on to the client.
func (b *streamBuffer) write(response *gypsum.LiveResponse, events [][]byte) error {
	if response != nil {
		if err := b.sink.BeginResponse(response); err != nil {
			return err
		}
		b.holder.Progress(time.Now())
	}
	for _, raw := range events {
		if err := b.sink.WriteEvent(raw); err != nil {
			return err
		}
		b.holder.Remove(gypsum.Bytes(len(raw)), time.Now())
	}
	return nil
}

// take returns the response, if it has just begun, and the events that have not been written.
func (b *streamBuffer) take() (response *gypsum.LiveResponse, events [][]byte, ended bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	response, events = b.response, b.events
	b.response, b.events = nil, nil
	return response, events, b.ended, b.err
}

// finish waits until the client has received the response and all events. If the client has left, a write in
// progress is aborted.
func (b *streamBuffer) finish(ctx context.Context) error {
	defer b.holder.Close()
	if ctx.Err() != nil {
		b.sink.Abort()
	}
	b.mu.Lock()
	b.ended = true
	b.notify()
	b.mu.Unlock()
	return <-b.done
}

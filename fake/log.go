// Package fake implements in-memory stand-ins for everything outside the service, with
// faults that tests can inject. Tests use them directly; the command standin serves
// them over HTTP.
package fake

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// LogFault is a fault of the log.
type LogFault int

// The faults of the log.
const (
	// LogUnavailable makes each call fail before it has any effect.
	LogUnavailable LogFault = iota + 1
	// LogResponseLost executes appends and loses their responses.
	LogResponseLost
	// LogHang responds to no call until the caller's context ends. Appends have no effect.
	LogHang
	// LogDelayed makes appends fail and executes them AppendDelay later.
	LogDelayed
)

// Log is an in-memory append-only log. It implements gypsum.Log. Reads do not wait for
// new records.
type Log struct {
	// Latency is how long each append and each read takes.
	Latency time.Duration
	// Retention is the number of records kept in each stream. 0 for all.
	Retention int
	// AppendDelay is the delay of LogDelayed.
	AppendDelay time.Duration

	mu          sync.Mutex
	streams     map[gypsum.StreamName]*logStream
	fault       LogFault
	appendCount int64
}

// logStream is one stream of the log. first is the offset of its oldest record.
type logStream struct {
	firstOffset gypsum.Offset
	records     [][]byte
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{streams: make(map[gypsum.StreamName]*logStream), AppendDelay: 3 * time.Second}
}

// SetFault injects a fault. 0 clears it.
func (l *Log) SetFault(fault LogFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
}

// SetLatency sets how long each append and each read takes.
func (l *Log) SetLatency(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Latency = latency
}

// SetRetention sets the number of records kept in each stream. 0 for all.
func (l *Log) SetRetention(records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Retention = records
}

// AppendCount returns the number of append calls executed.
func (l *Log) AppendCount() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendCount
}

// Records returns all records that a stream has retained, nil if the read fails.
func (l *Log) Records(name gypsum.StreamName) []gypsum.LogRecord {
	page, err := l.Read(context.Background(), gypsum.LogRead{Stream: name, From: l.firstOffset(name), Max: 1 << 30})
	if err != nil {
		return nil
	}
	return page.Records
}

// Truncate removes all but the newest keep records of each stream.
func (l *Log) Truncate(keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, stream := range l.streams {
		stream.truncate(keep)
	}
}

// firstOffset returns the oldest offset that a stream has retained.
func (l *Log) firstOffset(name gypsum.StreamName) gypsum.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).firstOffset
}

// Append implements gypsum.Log.
func (l *Log) Append(ctx context.Context, name gypsum.StreamName, records [][]byte) (gypsum.Offset, error) {
	if err := l.simulateCall(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.fault {
	case LogResponseLost:
		l.appendLocked(name, records)
		return 0, fmt.Errorf("append to log: %w", gypsum.ErrLogUnavailable)
	case LogDelayed:
		time.AfterFunc(l.AppendDelay, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.appendLocked(name, records)
		})
		return 0, fmt.Errorf("append to log: %w", gypsum.ErrLogUnavailable)
	}
	return l.appendLocked(name, records), nil
}

// appendLocked executes an append. The caller holds mu.
func (l *Log) appendLocked(name gypsum.StreamName, records [][]byte) gypsum.Offset {
	l.appendCount++
	stream := l.stream(name)
	offset := stream.firstOffset + gypsum.Offset(len(stream.records))
	stream.records = append(stream.records, records...)
	if l.Retention > 0 {
		stream.truncate(l.Retention)
	}
	return offset
}

// truncate removes the oldest records and keeps at most keep.
func (s *logStream) truncate(keep int) {
	if excess := len(s.records) - keep; excess > 0 {
		s.records = s.records[excess:]
		s.firstOffset += gypsum.Offset(excess)
	}
}

// Read implements gypsum.Log.
func (l *Log) Read(ctx context.Context, req gypsum.LogRead) (*gypsum.LogPage, error) {
	if err := l.simulateCall(ctx); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	stream := l.stream(req.Stream)
	page := &gypsum.LogPage{First: stream.firstOffset, Next: stream.firstOffset + gypsum.Offset(len(stream.records))}
	if req.From < stream.firstOffset {
		return page, fmt.Errorf("read log from offset %d: %w", req.From, gypsum.ErrTruncated)
	}
	for offset := req.From; offset < page.Next && len(page.Records) < req.Max; offset++ {
		page.Records = append(page.Records, gypsum.LogRecord{Offset: offset, Data: stream.records[offset-stream.firstOffset]})
	}
	return page, nil
}

// simulateCall waits for the latency of a call and applies the faults that prevent its
// execution.
func (l *Log) simulateCall(ctx context.Context) error {
	l.mu.Lock()
	fault, latency := l.fault, l.Latency
	l.mu.Unlock()
	if fault == LogHang {
		<-ctx.Done()
		return fmt.Errorf("call log: %v: %w", ctx.Err(), gypsum.ErrLogUnavailable)
	}
	if err := sleep(ctx, latency); err != nil {
		return fmt.Errorf("call log: %v: %w", err, gypsum.ErrLogUnavailable)
	}
	if fault == LogUnavailable {
		return fmt.Errorf("call log: %w", gypsum.ErrLogUnavailable)
	}
	return nil
}

// stream returns a stream and creates it if it does not exist. The caller holds mu.
func (l *Log) stream(name gypsum.StreamName) *logStream {
	stream, ok := l.streams[name]
	if !ok {
		stream = &logStream{}
		l.streams[name] = stream
	}
	return stream
}

// sleep waits for a duration or until ctx ends, and then returns the error of ctx.
func sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

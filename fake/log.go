// Package fake holds in-memory stand-ins for everything outside the service,
// with switches for their faults. Tests use them directly; the program
// standin serves them over HTTP.
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
	// LogUnavailable fails each call before it has any effect.
	LogUnavailable LogFault = iota + 1
	// LogResponseLost carries out appends and loses their answers.
	LogResponseLost
	// LogHang answers nothing until the caller gives up; appends take no effect.
	LogHang
	// LogDelayed answers appends with a failure and carries them out LateBy later.
	LogDelayed
)

// Log is an append-only log in memory.
type Log struct {
	// Latency is the time a call takes.
	Latency time.Duration
	// Retention is the number of records kept in each stream, 0 for all.
	Retention int
	// AppendDelay is the delay of LogLate.
	AppendDelay time.Duration

	mu          sync.Mutex
	streams     map[gypsum.StreamName]*logStream
	fault       LogFault
	appendCount int64
}

// logStream is one stream of the log.
type logStream struct {
	first   gypsum.Offset
	records [][]byte
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{streams: make(map[gypsum.StreamName]*logStream), AppendDelay: 3 * time.Second}
}

// SetFault puts the log into a fault, 0 ends it.
func (l *Log) SetFault(fault LogFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
}

// SetLatency sets the time a call takes.
func (l *Log) SetLatency(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Latency = latency
}

// SetRetention sets the number of records kept in each stream.
func (l *Log) SetRetention(records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Retention = records
}

// AppendCount returns the number of append calls carried out.
func (l *Log) AppendCount() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendCount
}

// Records returns all records that a stream still holds.
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

// firstOffset returns the oldest offset of a stream.
func (l *Log) firstOffset(name gypsum.StreamName) gypsum.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).first
}

// Append adds records to a stream.
func (l *Log) Append(ctx context.Context, name gypsum.StreamName, records [][]byte) (gypsum.Offset, error) {
	if err := l.simulateCall(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.fault {
	case LogResponseLost:
		l.appendLocked(name, records)
		return 0, fmt.Errorf("append: %w", gypsum.ErrLogUnavailable)
	case LogDelayed:
		time.AfterFunc(l.AppendDelay, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.appendLocked(name, records)
		})
		return 0, fmt.Errorf("append: %w", gypsum.ErrLogUnavailable)
	}
	return l.appendLocked(name, records), nil
}

// appendLocked appends records under the lock.
func (l *Log) appendLocked(name gypsum.StreamName, records [][]byte) gypsum.Offset {
	l.appendCount++
	stream := l.stream(name)
	offset := stream.first + gypsum.Offset(len(stream.records))
	stream.records = append(stream.records, records...)
	if l.Retention > 0 {
		stream.truncate(l.Retention)
	}
	return offset
}

// truncate removes the oldest records until keep are left.
func (s *logStream) truncate(keep int) {
	if excess := len(s.records) - keep; excess > 0 {
		s.records = s.records[excess:]
		s.first += gypsum.Offset(excess)
	}
}

// Read returns records of a stream.
func (l *Log) Read(ctx context.Context, req gypsum.LogRead) (*gypsum.LogPage, error) {
	if err := l.simulateCall(ctx); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	stream := l.stream(req.Stream)
	page := &gypsum.LogPage{First: stream.first, Next: stream.first + gypsum.Offset(len(stream.records))}
	if req.From < stream.first {
		return page, fmt.Errorf("read from %d: %w", req.From, gypsum.ErrTruncated)
	}
	for offset := req.From; offset < page.Next && len(page.Records) < req.Max; offset++ {
		page.Records = append(page.Records, gypsum.LogRecord{Offset: offset, Data: stream.records[offset-stream.first]})
	}
	return page, nil
}

// simulateCall spends the delay and applies the faults that strike before any effect.
func (l *Log) simulateCall(ctx context.Context) error {
	l.mu.Lock()
	fault, latency := l.fault, l.Latency
	l.mu.Unlock()
	if fault == LogHang {
		<-ctx.Done()
		return fmt.Errorf("log call: %v: %w", ctx.Err(), gypsum.ErrLogUnavailable)
	}
	if err := sleep(ctx, latency); err != nil {
		return fmt.Errorf("log call: %v: %w", err, gypsum.ErrLogUnavailable)
	}
	if fault == LogUnavailable {
		return fmt.Errorf("log call: %w", gypsum.ErrLogUnavailable)
	}
	return nil
}

// stream returns a stream, made on first use.
func (l *Log) stream(name gypsum.StreamName) *logStream {
	stream, ok := l.streams[name]
	if !ok {
		stream = &logStream{}
		l.streams[name] = stream
	}
	return stream
}

// sleep waits for a time or until ctx ends.
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

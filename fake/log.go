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
	// LogOut fails each call before it has any effect.
	LogOut LogFault = iota + 1
	// LogLost carries out appends and loses their answers.
	LogLost
	// LogHang answers nothing until the caller gives up; appends take no effect.
	LogHang
	// LogLate answers appends with a failure and carries them out LateBy later.
	LogLate
)

// Log is an append-only log in memory.
type Log struct {
	// Delay is the time a call takes.
	Delay time.Duration
	// Retention is the number of records kept in each stream, 0 for all.
	Retention int
	// LateBy is the delay of LogLate.
	LateBy time.Duration

	mu      sync.Mutex
	streams map[gypsum.StreamName]*logStream
	fault   LogFault
	appends int64
}

// logStream is one stream of the log.
type logStream struct {
	first   gypsum.Offset
	records [][]byte
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{streams: make(map[gypsum.StreamName]*logStream), LateBy: 3 * time.Second}
}

// SetFault puts the log into a fault, 0 ends it.
func (l *Log) SetFault(fault LogFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
}

// SetDelay sets the time a call takes.
func (l *Log) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Delay = delay
}

// SetRetention sets the number of records kept in each stream.
func (l *Log) SetRetention(records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Retention = records
}

// Appends returns the number of append calls carried out.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Records returns all records that a stream still holds.
func (l *Log) Records(name gypsum.StreamName) []gypsum.LogRecord {
	page, err := l.Read(context.Background(), gypsum.LogRead{Stream: name, From: l.first(name), Max: 1 << 30})
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

// first returns the oldest offset of a stream.
func (l *Log) first(name gypsum.StreamName) gypsum.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).first
}

// Append adds records to a stream.
func (l *Log) Append(ctx context.Context, name gypsum.StreamName, records [][]byte) (gypsum.Offset, error) {
	if err := l.enter(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.fault {
	case LogLost:
		l.add(name, records)
		return 0, fmt.Errorf("append: %w", gypsum.ErrLogUnavailable)
	case LogLate:
		time.AfterFunc(l.LateBy, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.add(name, records)
		})
		return 0, fmt.Errorf("append: %w", gypsum.ErrLogUnavailable)
	}
	return l.add(name, records), nil
}

// add appends records under the lock.
func (l *Log) add(name gypsum.StreamName, records [][]byte) gypsum.Offset {
	l.appends++
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
	if drop := len(s.records) - keep; drop > 0 {
		s.records = s.records[drop:]
		s.first += gypsum.Offset(drop)
	}
}

// Read returns records of a stream.
func (l *Log) Read(ctx context.Context, read gypsum.LogRead) (*gypsum.LogPage, error) {
	if err := l.enter(ctx); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	stream := l.stream(read.Stream)
	page := &gypsum.LogPage{First: stream.first, Next: stream.first + gypsum.Offset(len(stream.records))}
	if read.From < stream.first {
		return page, fmt.Errorf("read from %d: %w", read.From, gypsum.ErrTruncated)
	}
	for offset := read.From; offset < page.Next && len(page.Records) < read.Max; offset++ {
		page.Records = append(page.Records, gypsum.LogRecord{Offset: offset, Data: stream.records[offset-stream.first]})
	}
	return page, nil
}

// enter spends the delay and applies the faults that strike before any effect.
func (l *Log) enter(ctx context.Context) error {
	l.mu.Lock()
	fault, delay := l.fault, l.Delay
	l.mu.Unlock()
	if fault == LogHang {
		<-ctx.Done()
		return fmt.Errorf("log call: %v: %w", ctx.Err(), gypsum.ErrLogUnavailable)
	}
	if err := sleep(ctx, delay); err != nil {
		return fmt.Errorf("log call: %v: %w", err, gypsum.ErrLogUnavailable)
	}
	if fault == LogOut {
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
func sleep(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

package gypsum

import (
	"context"
	"time"
)

// StreamName is the name of a stream of the platform's log.
type StreamName string

// Offset is the position of a record in a stream, from 0.
type Offset int64

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// LogPage is the result of a read.
type LogPage struct {
	Records []LogRecord `json:"records"`
	// First is the oldest offset that retention has kept.
	First Offset `json:"first"`
	// Next is the offset that the next append will get.
	Next Offset `json:"next"`
}

// LogRead is a request for records of a stream.
type LogRead struct {
	Stream StreamName    `json:"stream"`
	From   Offset        `json:"from"`
	Max    int           `json:"max"`
	Wait   time.Duration `json:"wait"`
}

// Log is a client of the platform's append-only log service.
type Log interface {
	// Append adds records atomically and returns the offset of the first. After
	// ErrLogUnavailable the records may nevertheless be in the stream.
	Append(ctx context.Context, stream StreamName, records [][]byte) (Offset, error)
	// Read returns records from an offset on and waits up to Wait for the first.
	// It returns ErrTruncated, with First set, if From is below First.
	Read(ctx context.Context, req LogRead) (*LogPage, error)
}

package fake

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// LimitedStore limits the rate of the calls of all daemons to a store. Set the exported fields
// before use.
type LimitedStore struct {
	gypsum.KeyedStore
	// ReadsPerSecond and WritesPerSecond are the limits, 0 for none.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Window is the time whose calls may be made at once, a second if it is 0.
	Window time.Duration
	// Refusal is the error of a call beyond the limit, gypsum.ErrStoreRateLimited if it is nil.
	Refusal error

	mu     sync.Mutex
	reads  callMeter
	writes callMeter
}

// callMeter counts calls and limits their rate.
type callMeter struct {
	tokens   float64
	updated  time.Time
	calls    int64
	rejected int64
}

// admit counts a call and reports whether the limit admits it.
func (m *callMeter) admit(rate float64, window time.Duration, now time.Time) bool {
	m.calls++
	if rate == 0 {
		return true
	}
	capacity := rate * window.Seconds()
	if m.updated.IsZero() {
		m.tokens, m.updated = capacity, now
	}
	m.tokens = min(capacity, m.tokens+rate*now.Sub(m.updated).Seconds())
	m.updated = now
	if m.tokens < 1 {
		m.rejected++
		return false
	}
	m.tokens--
	return true
}

// SetReadsPerSecond changes the limit of reads.
func (s *LimitedStore) SetReadsPerSecond(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ReadsPerSecond = rate
}

// ReadCounts returns the numbers of reads and of reads beyond the limit so far.
func (s *LimitedStore) ReadCounts() (calls, rejected int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads.calls, s.reads.rejected
}

// WriteCounts returns the numbers of writes and of writes beyond the limit so far.
func (s *LimitedStore) WriteCounts() (calls, rejected int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes.calls, s.writes.rejected
}

// admit returns the error of a call beyond the limit.
func (s *LimitedStore) admit(write bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	window := s.Window
	if window == 0 {
		window = time.Second
	}
	meter, rate := &s.reads, s.ReadsPerSecond
	if write {
		meter, rate = &s.writes, s.WritesPerSecond
	}
	if meter.admit(rate, window, time.Now()) {
		return nil
	}
	if s.Refusal != nil {
		return s.Refusal
	}
	return fmt.Errorf("limit of %g calls per second: %w", rate, gypsum.ErrStoreRateLimited)
}

// Append implements gypsum.KeyedStore.
func (s *LimitedStore) Append(ctx context.Context, req gypsum.KeyedAppend) (gypsum.Offset, error) {
	if err := s.admit(true); err != nil {
		return 0, err
	}
	return s.KeyedStore.Append(ctx, req)
}

// Read implements gypsum.KeyedStore.
func (s *LimitedStore) Read(ctx context.Context, req gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	if err := s.admit(false); err != nil {
		return nil, err
	}
	return s.KeyedStore.Read(ctx, req)
}

// LatestRecords implements gypsum.KeyedStore.
func (s *LimitedStore) LatestRecords(ctx context.Context, topic gypsum.Topic, partition gypsum.Partition, after string) (*gypsum.LatestPage, error) {
	if err := s.admit(false); err != nil {
		return nil, err
	}
	return s.KeyedStore.LatestRecords(ctx, topic, partition, after)
}

package front

import (
	"strconv"
	"sync/atomic"
	"time"
)

// bucketBounds are the upper bounds of a histogram's buckets.
var bucketBounds = [...]time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second,
}

// Histogram counts durations by bucket. It is safe for concurrent use.
type Histogram struct {
	buckets [len(bucketBounds) + 1]atomic.Int64
	sum     atomic.Int64
}

// RecordDuration adds a duration to the histogram.
func (h *Histogram) RecordDuration(duration time.Duration) {
	bucket := 0
	for bucket < len(bucketBounds) && duration > bucketBounds[bucket] {
		bucket++
	}
	h.buckets[bucket].Add(1)
	h.sum.Add(int64(duration))
}

// Snapshot returns the cumulative count up to each bucket bound, whose key contains the
// bound in milliseconds, the total count and the sum in milliseconds.
func (h *Histogram) Snapshot() map[string]int64 {
	counts := make(map[string]int64, len(bucketBounds)+2)
	total := int64(0)
	for i := range h.buckets {
		total += h.buckets[i].Load()
		if i < len(bucketBounds) {
			counts["le_"+strconv.FormatInt(bucketBounds[i].Milliseconds(), 10)+"_ms"] = total
		}
	}
	counts["count"], counts["sum_ms"] = total, time.Duration(h.sum.Load()).Milliseconds()
	return counts
}

package core

import (
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Bounds of the memory of crashes.
const (
	crashRetention  = 10 * time.Minute
	maxCrashEntries = 1024
)

// crashTracker counts the backend servers that died while running a request. Each
// daemon counts for itself; the counts of all are added up.
type crashTracker struct {
	self gypsum.HostID

	mu     sync.Mutex
	counts map[gypsum.Fingerprint]*crashCounts
}

// crashCounts are the counts of one request's fingerprint.
type crashCounts struct {
	byHost map[gypsum.HostID]int
	last   time.Time
}

// newCrashTracker returns an empty book.
func newCrashTracker(self gypsum.HostID) *crashTracker {
	return &crashTracker{self: self, counts: make(map[gypsum.Fingerprint]*crashCounts)}
}

// entry returns the counts of a fingerprint. The caller holds mu.
func (t *crashTracker) entry(fingerprint gypsum.Fingerprint) *crashCounts {
	counts, ok := t.counts[fingerprint]
	if !ok {
		t.evict()
		counts = &crashCounts{byHost: make(map[gypsum.HostID]int)}
		t.counts[fingerprint] = counts
	}
	return counts
}

// evict removes the oldest entry of a full book. The caller holds mu.
func (t *crashTracker) evict() {
	if len(t.counts) < maxCrashEntries {
		return
	}
	var oldest gypsum.Fingerprint
	var at time.Time
	for fingerprint, counts := range t.counts {
		if at.IsZero() || counts.last.Before(at) {
			oldest, at = fingerprint, counts.last
		}
	}
	delete(t.counts, oldest)
}

// record counts a crash seen by this daemon and returns all counts of the request.
func (t *crashTracker) record(fingerprint gypsum.Fingerprint) []gypsum.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.entry(fingerprint)
	counts.byHost[t.self]++
	counts.last = time.Now()
	return counts.list(fingerprint, counts.last)
}

// list returns the counts of all daemons.
func (c *crashCounts) list(fingerprint gypsum.Fingerprint, now time.Time) []gypsum.Crash {
	crashes := make([]gypsum.Crash, 0, len(c.byHost))
	for host, count := range c.byHost {
		crashes = append(crashes, gypsum.Crash{Fingerprint: fingerprint, Host: host, Count: count, Age: now.Sub(c.last)})
	}
	return crashes
}

// countsOf returns the counts of a request's fingerprint.
func (t *crashTracker) countsOf(fingerprint gypsum.Fingerprint) []gypsum.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts, ok := t.counts[fingerprint]
	if !ok {
		return nil
	}
	return counts.list(fingerprint, time.Now())
}

// merge takes over counts of other daemons.
func (t *crashTracker) merge(crashes []gypsum.Crash, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, crash := range crashes {
		if crash.Host == t.self || crash.Age > crashRetention {
			continue
		}
		counts := t.entry(crash.Fingerprint)
		if crash.Count > counts.byHost[crash.Host] {
			counts.byHost[crash.Host] = crash.Count
			counts.last = now.Add(-crash.Age)
		}
	}
}

// totalCrashes returns how many backend servers died, over the counts of all daemons.
func totalCrashes(crashes []gypsum.Crash) int {
	sum := 0
	for _, crash := range crashes {
		sum += crash.Count
	}
	return sum
}

// list returns all counts and forgets the old ones.
func (t *crashTracker) list(now time.Time) []gypsum.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var crashes []gypsum.Crash
	for fingerprint, counts := range t.counts {
		if now.Sub(counts.last) > crashRetention {
			delete(t.counts, fingerprint)
			continue
		}
		crashes = append(crashes, counts.list(fingerprint, now)...)
	}
	return crashes
}

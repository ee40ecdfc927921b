package core

import (
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Limits of the crash counts that are kept.
const (
	crashRetention  = 10 * time.Minute
	maxCrashEntries = 1024
)

// crashTracker counts, for each request, the crashes of backend servers that ran it. Each
// daemon counts the crashes that it observed and gossips its counts; the total is the sum
// over all daemons.
type crashTracker struct {
	self gypsum.HostID

	mu     sync.Mutex
	counts map[gypsum.Fingerprint]*crashEntry
}

// crashEntry holds the counts for the fingerprint of one request.
type crashEntry struct {
	countByHost map[gypsum.HostID]int
	lastCrash   time.Time
}

func newCrashTracker(self gypsum.HostID) *crashTracker {
	return &crashTracker{self: self, counts: make(map[gypsum.Fingerprint]*crashEntry)}
}

// entryFor returns the counts of a fingerprint and creates them on first use. The caller
// holds mu.
func (t *crashTracker) entryFor(fingerprint gypsum.Fingerprint) *crashEntry {
	counts, ok := t.counts[fingerprint]
	if !ok {
		t.evictOldest()
		counts = &crashEntry{countByHost: make(map[gypsum.HostID]int)}
		t.counts[fingerprint] = counts
	}
	return counts
}

// evictOldest removes the oldest entry if the tracker is full. The caller holds mu.
func (t *crashTracker) evictOldest() {
	if len(t.counts) < maxCrashEntries {
		return
	}
	var oldest gypsum.Fingerprint
	var at time.Time
	for fingerprint, counts := range t.counts {
		if at.IsZero() || counts.lastCrash.Before(at) {
			oldest, at = fingerprint, counts.lastCrash
		}
	}
	delete(t.counts, oldest)
}

// recordCrash counts a crash observed by this daemon and returns the request's counts of
// all daemons.
func (t *crashTracker) recordCrash(fingerprint gypsum.Fingerprint) []gypsum.CrashCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.entryFor(fingerprint)
	counts.countByHost[t.self]++
	counts.lastCrash = time.Now()
	return counts.crashCounts(fingerprint, counts.lastCrash)
}

// crashCounts returns the counts by daemon.
func (c *crashEntry) crashCounts(fingerprint gypsum.Fingerprint, now time.Time) []gypsum.CrashCount {
	crashes := make([]gypsum.CrashCount, 0, len(c.countByHost))
	for host, count := range c.countByHost {
		crashes = append(crashes, gypsum.CrashCount{Fingerprint: fingerprint, Host: host, Count: count, Age: now.Sub(c.lastCrash)})
	}
	return crashes
}

// countsOf returns the counts of a fingerprint, nil if there are none.
func (t *crashTracker) countsOf(fingerprint gypsum.Fingerprint) []gypsum.CrashCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts, ok := t.counts[fingerprint]
	if !ok {
		return nil
	}
	return counts.crashCounts(fingerprint, time.Now())
}

// mergeCounts applies the counts of other daemons.
func (t *crashTracker) mergeCounts(crashes []gypsum.CrashCount, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, crash := range crashes {
		if crash.Host == t.self || crash.Age > crashRetention {
			continue
		}
		counts := t.entryFor(crash.Fingerprint)
		if crash.Count > counts.countByHost[crash.Host] {
			counts.countByHost[crash.Host] = crash.Count
			counts.lastCrash = now.Add(-crash.Age)
		}
	}
}

// totalCrashes returns the sum of the counts of all daemons.
func totalCrashes(crashes []gypsum.CrashCount) int {
	sum := 0
	for _, crash := range crashes {
		sum += crash.Count
	}
	return sum
}

// allCounts removes expired counts and returns all others.
func (t *crashTracker) allCounts(now time.Time) []gypsum.CrashCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	var crashes []gypsum.CrashCount
	for fingerprint, counts := range t.counts {
		if now.Sub(counts.lastCrash) > crashRetention {
			delete(t.counts, fingerprint)
			continue
		}
		crashes = append(crashes, counts.crashCounts(fingerprint, now)...)
	}
	return crashes
}

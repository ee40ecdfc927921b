package core

import (
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Bounds of the memory of crashes.
const (
	crashMemory = 10 * time.Minute
	maxCrashes  = 1024
)

// crashBook counts the backend servers that died while running a request. Each
// daemon counts for itself; the counts of all are added up.
type crashBook struct {
	self gypsum.HostID

	mu     sync.Mutex
	counts map[gypsum.Fingerprint]*crashCounts
}

// crashCounts are the counts of one request's fingerprint.
type crashCounts struct {
	byHost map[gypsum.HostID]int
	last   time.Time
}

// newCrashBook returns an empty book.
func newCrashBook(self gypsum.HostID) *crashBook {
	return &crashBook{self: self, counts: make(map[gypsum.Fingerprint]*crashCounts)}
}

// entry returns the counts of a fingerprint. The caller holds mu.
func (b *crashBook) entry(fingerprint gypsum.Fingerprint) *crashCounts {
	counts, ok := b.counts[fingerprint]
	if !ok {
		b.evict()
		counts = &crashCounts{byHost: make(map[gypsum.HostID]int)}
		b.counts[fingerprint] = counts
	}
	return counts
}

// evict removes the oldest entry of a full book. The caller holds mu.
func (b *crashBook) evict() {
	if len(b.counts) < maxCrashes {
		return
	}
	var oldest gypsum.Fingerprint
	var at time.Time
	for fingerprint, counts := range b.counts {
		if at.IsZero() || counts.last.Before(at) {
			oldest, at = fingerprint, counts.last
		}
	}
	delete(b.counts, oldest)
}

// add counts a crash seen by this daemon and returns all counts of the request.
func (b *crashBook) add(fingerprint gypsum.Fingerprint) []gypsum.Crash {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.entry(fingerprint)
	counts.byHost[b.self]++
	counts.last = time.Now()
	return counts.crashes(fingerprint, counts.last)
}

// crashes returns the counts of all daemons.
func (c *crashCounts) crashes(fingerprint gypsum.Fingerprint, now time.Time) []gypsum.Crash {
	crashes := make([]gypsum.Crash, 0, len(c.byHost))
	for host, count := range c.byHost {
		crashes = append(crashes, gypsum.Crash{Fingerprint: fingerprint, Host: host, Count: count, Age: now.Sub(c.last)})
	}
	return crashes
}

// of returns the counts of a request's fingerprint.
func (b *crashBook) of(fingerprint gypsum.Fingerprint) []gypsum.Crash {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts, ok := b.counts[fingerprint]
	if !ok {
		return nil
	}
	return counts.crashes(fingerprint, time.Now())
}

// merge takes over counts of other daemons.
func (b *crashBook) merge(crashes []gypsum.Crash, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, crash := range crashes {
		if crash.Host == b.self || crash.Age > crashMemory {
			continue
		}
		counts := b.entry(crash.Fingerprint)
		if crash.Count > counts.byHost[crash.Host] {
			counts.byHost[crash.Host] = crash.Count
			counts.last = now.Add(-crash.Age)
		}
	}
}

// total returns how many backend servers died, over the counts of all daemons.
func total(crashes []gypsum.Crash) int {
	sum := 0
	for _, crash := range crashes {
		sum += crash.Count
	}
	return sum
}

// list returns all counts and forgets the old ones.
func (b *crashBook) list(now time.Time) []gypsum.Crash {
	b.mu.Lock()
	defer b.mu.Unlock()
	var crashes []gypsum.Crash
	for fingerprint, counts := range b.counts {
		if now.Sub(counts.last) > crashMemory {
			delete(b.counts, fingerprint)
			continue
		}
		crashes = append(crashes, counts.crashes(fingerprint, now)...)
	}
	return crashes
}

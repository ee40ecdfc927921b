package sched

import (
	"sync"
	"time"
)

// Gaps accumulates the times between events of an engine's attempts. It is safe for
// concurrent use.
type Gaps struct {
	mu    sync.Mutex
	sum   time.Duration
	count int
}

// Add adds the time between two events.
func (g *Gaps) Add(gap time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sum += gap
	g.count++
}

// TakeMean returns the mean of the times added since the last call, false if there were
// none.
func (g *Gaps) TakeMean() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.count == 0 {
		return 0, false
	}
	mean := g.sum / time.Duration(g.count)
	g.sum, g.count = 0, 0
	return mean, true
}

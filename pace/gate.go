package pace

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// Class is the priority of a call to the store. A call of a lower class is made before those of the
// next class that came up to classDelay earlier, so that no class waits without end.
type Class int

// classDelay is the time by which a class comes before the next one.
const classDelay = 300 * time.Millisecond

// The classes of calls.
const (
	// ClassClaims are claims, heartbeats and whatever a caller waits for in between.
	ClassClaims Class = iota
	// ClassConfig are reads of the configuration and the keys of accounts.
	ClassConfig
	// ClassRegistrations are reads of registrations.
	ClassRegistrations
	// ClassBatches are reads and writes of batches.
	ClassBatches
	// ClassRest are all other calls.
	ClassRest
)

// Stats counts the calls of a Gate.
type Stats struct {
	// Calls are those that were made, Waited those of them that had to wait, and Wait their total
	// time.
	Calls  int64
	Waited int64
	Wait   time.Duration
	// Limited are the calls that the store refused for their rate, Expired those that were not made
	// since they would have had to wait too long.
	Limited int64
	Expired int64
	// Rate is the current rate in calls per second.
	Rate float64
}

// Gate makes callers wait for the calls of a Share. A nil Gate lets every call pass.
type Gate struct {
	mu    sync.Mutex
	share *Share
	start time.Time
	// waiting are the callers that wait, in the order in which they may make their calls.
	waiting []*waiter
	timer   *time.Timer
	stats   Stats
	// demand means that a call has had to wait since the last response.
	demand bool
}

// waiter is a caller that waits. granted is closed when it may make its call.
type waiter struct {
	granted chan struct{}
	// rank is the time of its arrival with the delay of its class.
	rank time.Duration
}

// NewGate returns a gate for an allowance. It returns nil if that is 0, so that no call has to wait.
func NewGate(use Use) *Gate {
	if use.Allowance <= 0 {
		return nil
	}
	return &Gate{share: NewShare(use, rand.Float64, 0), start: time.Now()}
}

// SetDaemons sets the number of known daemons, including this one.
func (g *Gate) SetDaemons(count int) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.share.SetDaemons(count, time.Since(g.start))
	g.grant()
}

// ExpectDaemons sets the number of daemons, including this one, if the allowance is ample for them. It
// is called before their records have all been read. A daemon of many starts at the rate of an
// assumed number all the same, since most of the others do not call at that moment.
func (g *Gate) ExpectDaemons(count int) {
	if g == nil {
		return
	}
	g.mu.Lock()
	ample := float64(count)*g.share.use.Need <= g.share.use.Allowance
	g.mu.Unlock()
	if ample {
		g.SetDaemons(count)
	}
}

// SetUsers sets the number of daemons that make calls at the same time, if this daemon is one of
// them. 0 means all daemons.
func (g *Gate) SetUsers(users int) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.share.SetUsers(users, time.Since(g.start))
	g.grant()
}

// Ample reports whether the allowance covers what all known daemons need. It does for a nil Gate.
func (g *Gate) Ample() bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.share.daemons == 0 || g.share.Ample()
}

// Stats returns the counts so far.
func (g *Gate) Stats() Stats {
	if g == nil {
		return Stats{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	stats := g.stats
	stats.Rate = g.share.Rate()
	return stats
}

// Wait waits until a call of a class may be made. If that takes longer than patience, or ctx ends
// first, the call is not made and the error is gypsum.ErrStoreRateLimited.
func (g *Gate) Wait(ctx context.Context, class Class, patience time.Duration) error {
	if g == nil {
		return nil
	}
	began := time.Now()
	w := &waiter{granted: make(chan struct{}), rank: began.Sub(g.start) + time.Duration(class)*classDelay}
	g.mu.Lock()
	i, _ := slices.BinarySearchFunc(g.waiting, w.rank, func(other *waiter, rank time.Duration) int {
		if other.rank <= rank {
			return -1
		}
		return 1
	})
	g.waiting = slices.Insert(g.waiting, i, w)
	g.grant()
	g.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	default:
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-w.granted:
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.Wait += time.Since(began)
	if i := slices.Index(g.waiting, w); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
		g.stats.Expired++
		return fmt.Errorf("wait for the daemon's share of the store's calls: %w", gypsum.ErrStoreRateLimited)
	}
	g.stats.Waited++
	return nil
}

// grant lets the waiting callers pass for which there are calls, and plans the next one. The caller
// holds mu.
func (g *Gate) grant() {
	for len(g.waiting) > 0 {
		now := time.Since(g.start)
		if delay := g.share.Delay(now); delay > 0 {
			g.demand = true
			g.plan(delay)
			return
		}
		g.share.Take(now)
		g.stats.Calls++
		close(g.waiting[0].granted)
		g.waiting = slices.Delete(g.waiting, 0, 1)
	}
}

// plan calls grant after a delay.
func (g *Gate) plan(delay time.Duration) {
	if g.timer != nil {
		g.timer.Reset(delay)
		return
	}
	g.timer = time.AfterFunc(delay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.grant()
	})
}

// Report records the result of a call that Wait let pass.
func (g *Gate) Report(err error) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Since(g.start)
	switch {
	case errors.Is(err, gypsum.ErrStoreRateLimited):
		g.stats.Limited++
		g.share.Limited(now)
	case errors.Is(err, gypsum.ErrStoreUnknown), errors.Is(err, gypsum.ErrStoreRefused):
		g.share.Failed(now)
	default:
		g.share.Succeeded(g.demand, now)
		g.demand = false
	}
	g.grant()
}

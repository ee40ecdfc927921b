package fake

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// process is the life of a backend server's process: it runs, is frozen, or
// has crashed.
type process struct {
	// OnCrash is called by a crash, if set.
	OnCrash func()

	mu          sync.Mutex
	incarnation gypsum.Incarnation
	down        bool
	crashed     chan struct{}
	frozen      chan struct{}
	crashes     int
	// Died clears what a crash loses. It is called under mu.
	died func()
}

// begin starts the process. died clears what a crash loses.
func (p *process) begin(died func()) {
	p.incarnation = gypsum.Incarnation(time.Now().UnixMilli())
	p.crashed = make(chan struct{})
	p.died = died
}

// Crash ends the process: running answers break off, calls find nothing.
func (p *process) Crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crash()
}

// crash ends the process. The caller holds mu.
func (p *process) crash() {
	if p.down {
		return
	}
	if p.OnCrash != nil {
		p.OnCrash()
	}
	p.down = true
	p.crashes++
	close(p.crashed)
	p.died()
}

// Restart starts a crashed process again, as a new incarnation.
func (p *process) Restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.down {
		return
	}
	p.down = false
	p.crashed = make(chan struct{})
	p.incarnation = max(p.incarnation+1, gypsum.Incarnation(time.Now().UnixMilli()))
}

// Freeze stops the process until Thaw.
func (p *process) Freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen == nil {
		p.frozen = make(chan struct{})
	}
}

// Thaw lets a frozen process go on.
func (p *process) Thaw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen != nil {
		close(p.frozen)
		p.frozen = nil
	}
}

// Crashes returns how often the process has crashed.
func (p *process) Crashes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes
}

// reach waits while the process is frozen and fails if it is down.
func (p *process) reach(ctx context.Context) error {
	for {
		p.mu.Lock()
		frozen, down := p.frozen, p.down
		p.mu.Unlock()
		if down {
			return fmt.Errorf("connect to backend server: %w", gypsum.ErrNotSent)
		}
		if frozen == nil {
			return ctx.Err()
		}
		select {
		case <-frozen:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// wait spends a time, unless the process dies.
func (p *process) wait(ctx context.Context, crashed chan struct{}, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-crashed:
		return fmt.Errorf("backend server died: %w", gypsum.ErrIncompleteResponse)
	case <-ctx.Done():
		return ctx.Err()
	}
	return p.reach(ctx)
}

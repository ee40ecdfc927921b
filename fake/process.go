package fake

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// process is the state of a backend server's process: running, frozen or crashed.
type process struct {
	// OnCrash, if set, is called when the process crashes. It must not call the process
	// itself, which is locked.
	OnCrash func()

	mu          sync.Mutex
	incarnation gypsum.Incarnation
	down        bool
	// crashed is closed when the process crashes. Each restart creates a new one.
	crashed chan struct{}
	// frozen is nil unless the process is frozen. Unfreeze closes it.
	frozen     chan struct{}
	crashCount int
	// resetState clears the state that a crash loses. It is called with mu held.
	resetState func()
}

// initProcess starts the process with the current time as its incarnation. resetState clears
// the state that a crash loses.
func (p *process) initProcess(resetState func()) {
	p.incarnation = gypsum.Incarnation(time.Now().UnixMilli())
	p.crashed = make(chan struct{})
	p.resetState = resetState
}

// Crash ends the process: running requests are aborted and new calls fail.
func (p *process) Crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashLocked()
}

// crashLocked ends the process. The caller holds mu.
func (p *process) crashLocked() {
	if p.down {
		return
	}
	if p.OnCrash != nil {
		p.OnCrash()
	}
	p.down = true
	p.crashCount++
	close(p.crashed)
	p.resetState()
}

// Restart starts a crashed process with a new incarnation.
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

// Freeze stops the process until Unfreeze.
func (p *process) Freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen == nil {
		p.frozen = make(chan struct{})
	}
}

// Unfreeze resumes a frozen process.
func (p *process) Unfreeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen != nil {
		close(p.frozen)
		p.frozen = nil
	}
}

// CrashCount returns the number of crashes of the process.
func (p *process) CrashCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashCount
}

// awaitRunning waits while the process is frozen. It returns ErrNotSent if the process is
// down, and the error of ctx if that ends first.
func (p *process) awaitRunning(ctx context.Context) error {
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

// simulateWork waits for a duration and while the process is frozen. It returns
// ErrIncompleteResponse if the process crashes meanwhile or is down afterwards.
func (p *process) simulateWork(ctx context.Context, crashed chan struct{}, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-crashed:
		return fmt.Errorf("backend server crashed: %w", gypsum.ErrIncompleteResponse)
	case <-ctx.Done():
		return ctx.Err()
	}
	err := p.awaitRunning(ctx)
	if errors.Is(err, gypsum.ErrNotSent) {
		return fmt.Errorf("backend server crashed: %w", gypsum.ErrIncompleteResponse)
	}
	return err
}

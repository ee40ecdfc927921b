package access

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum/state"
)

const (
	// confirmTimeout bounds the read of a confirmation: three round trips between regions and a busy
	// host.
	confirmTimeout = 400 * time.Millisecond
	// confirmInterval is the minimum time between the starts of two reads of a host, whatever the
	// number of requests.
	confirmInterval = 200 * time.Millisecond
	// confirmPause is how long requests are refused at once after a read that failed.
	confirmPause = minRetryAfter
)

// errNotConfirmed means that a recent read of the configuration failed.
var errNotConfirmed = errors.New("the configuration cannot be confirmed now")

// Confirmer reads the configuration for requests that the one in force alone does not decide. Requests
// that wait share one read. Set the exported fields before use. A Confirmer is safe for concurrent use.
type Confirmer struct {
	Registry *state.Registry
	// CatchUp returns once all configurations have been applied that the store contained at a time
	// after the call, and that time by the steady clock.
	CatchUp func(ctx context.Context) (at time.Duration, err error)
	Stats   ConfirmerStats

	initOnce sync.Once
	wake     chan struct{}

	mu sync.Mutex
	// next is closed at the end of the next read, nil if no request waits for it.
	next chan struct{}
	// failedAt is the end of the last read that failed.
	failedAt time.Time
}

// ConfirmerStats counts the reads of a Confirmer since its start, and the requests that waited for them.
type ConfirmerStats struct {
	Requests atomic.Int64
	Reads    atomic.Int64
	Failed   atomic.Int64
}

func (c *Confirmer) lazyInit() {
	c.initOnce.Do(func() { c.wake = make(chan struct{}, 1) })
}

// Await waits for the end of a read that begins after the call. The registry is confirmed then if the
// read was successful. Await returns at once if the last read failed a short time ago.
func (c *Confirmer) Await(ctx context.Context) error {
	c.lazyInit()
	c.Stats.Requests.Add(1)
	c.mu.Lock()
	if !c.failedAt.IsZero() && time.Since(c.failedAt) < confirmPause {
		c.mu.Unlock()
		return errNotConfirmed
	}
	if c.next == nil {
		c.next = make(chan struct{})
	}
	next := c.next
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	timer := time.NewTimer(confirmTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fmt.Errorf("wait for the configuration: %w", ctx.Err())
	case <-timer.C:
		return errNotConfirmed
	case <-next:
		return nil
	}
}

// Run makes the reads until ctx ends.
func (c *Confirmer) Run(ctx context.Context) error {
	c.lazyInit()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		}
		startedAt := time.Now()
		if done := c.takeNext(); done != nil {
			c.read(ctx)
			close(done)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(confirmInterval - time.Since(startedAt)):
		}
	}
}

// takeNext returns the channel of the requests that wait for a read, nil for none.
func (c *Confirmer) takeNext() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.next
	c.next = nil
	return next
}

// read makes one read. Requests that began to wait during one that failed are not kept waiting for
// another.
func (c *Confirmer) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	c.Stats.Reads.Add(1)
	at, err := c.CatchUp(ctx)
	if err == nil {
		c.Registry.ConfirmConfig(at)
		return
	}
	c.Stats.Failed.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt = time.Now()
	if c.next != nil {
		close(c.next)
		c.next = nil
	}
}

package usage

import (
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

const (
	// maxSlew is the change of the time of day against the steady clock, between two readings,
	// up to which it counts as an adjustment. Anything above is a step.
	maxSlew = 20 * time.Millisecond
	// stepDelay is how long a step must last before the clock follows it. Steps are faults more
	// often than corrections, and a count in the wrong window makes two reports wrong.
	stepDelay = time.Minute
)

// TimeOfDay tells the time of day and does not follow a step of the host's clock at once. Set the
// fields before use.
type TimeOfDay struct {
	Steady gypsum.SteadyClock
	// Wall returns the host's time of day.
	Wall func() time.Time

	mu     sync.Mutex
	begun  bool
	offset time.Duration // of the time of day since 1970 from the steady clock
	// stepped is the offset after a step, since steppedAt.
	hasStep   bool
	stepped   time.Duration
	steppedAt time.Duration
}

// Now returns the time of day.
func (c *TimeOfDay) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	steady := c.Steady()
	offset := time.Duration(c.Wall().UnixNano()) - steady
	switch {
	case !c.begun, (offset - c.offset).Abs() <= maxSlew:
		c.begun, c.offset, c.hasStep = true, offset, false
	case !c.hasStep || (offset-c.stepped).Abs() > maxSlew:
		c.hasStep, c.stepped, c.steppedAt = true, offset, steady
	case steady-c.steppedAt >= stepDelay:
		c.offset, c.hasStep = offset, false
	}
	return time.Unix(0, int64(steady+c.offset))
}

// At returns the time of day at a moment of the recent past.
func (c *TimeOfDay) At(moment time.Time) time.Time { return c.Now().Add(-time.Since(moment)) }

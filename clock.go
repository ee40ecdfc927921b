package gypsum

import "time"

// SteadyClock returns the time since an arbitrary moment in the past. It never steps, and it
// also advances while the host is suspended, which the monotonic reading of time.Time does not.
type SteadyClock func() time.Duration

package gypsum

import "time"

// QueuedCall is a call that waits for a slot of a backend server.
type QueuedCall struct {
	Call     *Call
	Arrived  time.Time
	Deadline time.Time
	// ExpectedDuration is the estimated time that the call occupies a slot.
	ExpectedDuration time.Duration
	// Ready is closed when the call may start or is refused because the queue closed.
	Ready chan struct{}
	// Position is reserved for the queue that holds the call.
	Position int
}

// QueueState is the input of the decisions of CallQueue and Admission. TenantQueued,
// WorkAhead and ExpectedWait refer to the call that Admission decides on, and are 0 for
// CallQueue.
type QueueState struct {
	Slots        int
	Running      int
	LiveRunning  int
	Queued       int
	MaxQueue     int
	TenantQueued int
	// ReservedSlots is the number of slots that trainers' calls must leave free.
	ReservedSlots int
	// WorkAhead is the total expected duration of the calls that would start before
	// the call, RunningWork that of the running calls.
	WorkAhead   time.Duration
	RunningWork time.Duration
	// ExpectedWait is the expected time until the call may start.
	ExpectedWait time.Duration
	// NextSlotFree is the expected time until the next slot becomes free.
	NextSlotFree time.Duration
	// NoEstimate means that the duration of no call has been measured yet.
	NoEstimate bool
	// Margin is the uncertainty of the expected times.
	Margin time.Duration
}

// CallQueue orders the calls that wait for one backend server.
type CallQueue interface {
	Push(queued *QueuedCall)
	// Pop removes and returns the next call to start, nil if none may start.
	Pop(state QueueState) *QueuedCall
	// Remove removes a call that no longer waits. It returns false if the call was
	// not queued.
	Remove(queued *QueuedCall) bool
	// WorkAhead returns the total expected duration of the calls that would start
	// before the call.
	WorkAhead(queued *QueuedCall) time.Duration
	Len() int
	// TenantLen returns the number of waiting calls of a tenant.
	TenantLen(class Class, tenant string) int
}

// Admission decides whether a call may wait.
type Admission interface {
	// Admit returns nil or the refusal of a call.
	Admit(state QueueState, queued *QueuedCall, now time.Time) *Refusal
}

// Candidate is a backend server that a call may be placed on.
type Candidate struct {
	ID BackendID
	// Slots is how many calls the backend server runs at once.
	Slots int
	// Busy is the number of running and waiting calls, Live that of the live calls among
	// them. Both are as last reported, plus the calls sent since.
	Busy int
	Live int
}

// Load returns the number of calls ahead of a call of a class, relative to the slots.
// Only live calls are ahead of a live call, since live calls precede trainers' calls.
func (c *Candidate) Load(class Class) float64 {
	return RelativeLoad(class, c.Live, c.Busy, c.Slots)
}

// RelativeLoad returns the number of calls ahead of a call of a class, relative to
// the slots.
func RelativeLoad(class Class, live, busy, slots int) float64 {
	if class == ClassLive {
		busy = live
	}
	return float64(busy) / float64(max(1, slots))
}

// CandidatePool is the set of backend servers that a Placer chooses from.
type CandidatePool interface {
	Len() int
	// At returns the candidate with an index.
	At(index int) Candidate
	// Successor returns the index of the candidate that owns the n-th point of the hash
	// ring at or after the given one; n = 0 is the next. A candidate owns several points,
	// so different n may return the same candidate.
	Successor(point uint64, n int) int
	// IsUsable reports whether the call may be placed on the candidate.
	IsUsable(index int, call *Call) bool
}

// Placement is the backend server that a Placer has chosen for a call, and why.
type Placement struct {
	Backend BackendID
	// Reason is the rule that decided, for logging.
	Reason string
	// Considered is the number of candidates examined.
	Considered int
	Load       float64
}

// Placer chooses a backend server for a call.
type Placer interface {
	// Place returns false if no candidate is usable.
	Place(call *Call, pool CandidatePool) (Placement, bool)
}

// PlanState is the input of a Scheduler.
type PlanState struct {
	Spec *PlanSpec
	// Step and Version are the trainer's current step and weight version.
	Step    int
	Version WeightVersion
	// NewestVersion is the newest weight version that engines report, 0 if unknown.
	NewestVersion WeightVersion
	// MedianDuration is the median duration of the step's finished attempts, 0 if none.
	MedianDuration time.Duration
	Pending        []Slot
	Running        []RunningSlot
}

// RunningSlot is a slot with attempts in progress.
type RunningSlot struct {
	Slot     Slot
	Attempts int
	Age      time.Duration
	Tokens   int
}

// Scheduler decides for which slots of a plan to start attempts.
type Scheduler interface {
	// NextSlots returns up to limit slots: pending ones, and running ones for a second attempt.
	NextSlots(state *PlanState, limit int) []Slot
}

package gypsum

import "time"

// QueuedCall is a call that waits for its turn at a backend server.
type QueuedCall struct {
	Call     *Call
	Arrived  time.Time
	Deadline time.Time
	// ExpectedDuration is the time that the call is expected to hold a slot.
	ExpectedDuration time.Duration
	// Ready is closed when the call may start.
	Ready chan struct{}
	// Position is for the use of the CallQueue that holds the call.
	Position int
}

// QueueState is what a queue knows when it decides.
type QueueState struct {
	Slots         int
	Running       int
	LiveRunning   int
	Waiting       int
	MaxQueue      int
	TenantWaiting int
	ReservedSlots int
	WorkAhead     time.Duration
	RunningWork   time.Duration
	ExpectedWait  time.Duration
	// NextSlotFree is the expected time until the next slot gets free.
	NextSlotFree time.Duration
	// NoEstimate means that no call's time has been measured yet.
	NoEstimate bool
	// Margin is the uncertainty of the expected times.
	Margin time.Duration
}

// CallQueue orders the calls that wait for one backend server.
type CallQueue interface {
	Push(waiting *QueuedCall)
	// Pop removes and returns the next call to start, nil if none may start.
	Pop(state QueueState) *QueuedCall
	// Remove takes out a call that no longer waits; false if it was not there.
	Remove(waiting *QueuedCall) bool
	// WorkAhead returns the work that would start before the call.
	WorkAhead(waiting *QueuedCall) time.Duration
	Len() int
	// TenantLen returns the number of waiting calls of a tenant.
	TenantLen(class Class, tenant string) int
}

// Admission decides whether a call may wait.
type Admission interface {
	// Admit returns nil or the refusal of a call.
	Admit(state QueueState, waiting *QueuedCall, now time.Time) *Refusal
}

// Candidate is a backend server that a call can be placed on.
type Candidate struct {
	ID BackendID
	// Slots is how many calls the backend server runs at once.
	Slots int
	// Busy and Live are the numbers of all calls and of live calls running and
	// waiting there: as last reported, and sent there since.
	Busy int
	Live int
}

// Load returns the work before a call of a class, in parts of the slots. Live
// calls go before trainers', so that only live ones are in their way.
func (c *Candidate) Load(class Class) float64 {
	return RelativeLoad(class, c.Live, c.Busy, c.Slots)
}

// RelativeLoad returns the work before a call of a class, in parts of the slots.
func RelativeLoad(class Class, live, busy, slots int) float64 {
	if class == ClassLive {
		busy = live
	}
	return float64(busy) / float64(max(1, slots))
}

// CandidatePool is the set of backend servers that a placer chooses from.
type CandidatePool interface {
	Len() int
	// At returns a candidate by its index.
	At(index int) Candidate
	// Successor returns the index of the n-th candidate on the hash ring after a point.
	Successor(point uint64, n int) int
	// Usable tells whether the candidate may get the call.
	Usable(index int, call *Call) bool
}

// Placement is a placer's decision.
type Placement struct {
	Backend BackendID
	// Reason is the rule that decided, for the log.
	Reason string
	// Considered is the number of candidates looked at.
	Considered int
	Load       float64
}

// Placer chooses a backend server for a call.
type Placer interface {
	// Place returns false if no candidate is usable.
	Place(call *Call, pool CandidatePool) (Placement, bool)
}

// PlanState is what a scheduler decides on.
type PlanState struct {
	Spec *PlanSpec
	// Step and Version are the trainer's.
	Step    int
	Version WeightVersion
	// NewestVersion is the newest version that engines report, 0 if unknown.
	NewestVersion WeightVersion
	// MedianDuration is the median time of the step's finished attempts, 0 if none.
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

// Scheduler decides at which slots of a plan to start attempts.
type Scheduler interface {
	// Next returns up to room slots, pending ones or running ones for a second attempt.
	Next(state *PlanState, limit int) []Slot
}

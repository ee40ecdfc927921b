package gypsum

import "time"

// Waiting is a call that waits for its turn at a backend server.
type Waiting struct {
	Call     *Call
	Arrived  time.Time
	Deadline time.Time
	// Work is the time that the call is expected to hold a slot.
	Work time.Duration
	// Turn is closed when the call may start.
	Turn chan struct{}
	// Position is for the use of the Line that holds the call.
	Position int
}

// QueueState is what a queue knows when it decides.
type QueueState struct {
	Slots        int
	Running      int
	LiveRunning  int
	Waiting      int
	MaxQueue     int
	TenantWaits  int
	Reserve      int
	AheadWork    time.Duration
	RunningWork  time.Duration
	ExpectedWait time.Duration
	// NextFree is the expected time until the next slot gets free.
	NextFree time.Duration
	// Cold means that no call's time has been measured yet.
	Cold bool
	// Margin is the uncertainty of the expected times.
	Margin time.Duration
}

// Line orders the calls that wait for one backend server.
type Line interface {
	Push(waiting *Waiting)
	// Pop removes and returns the next call to start, nil if none may start.
	Pop(state QueueState) *Waiting
	// Remove takes out a call that no longer waits; false if it was not there.
	Remove(waiting *Waiting) bool
	// Ahead returns the work that would start before the call.
	Ahead(waiting *Waiting) time.Duration
	Len() int
	// Tenant returns the number of waiting calls of a tenant.
	Tenant(class Class, tenant string) int
}

// Admission decides whether a call may wait.
type Admission interface {
	// Admit returns nil or the refusal of a call.
	Admit(state QueueState, waiting *Waiting, now time.Time) *Refusal
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
	return LoadOf(class, c.Live, c.Busy, c.Slots)
}

// LoadOf returns the work before a call of a class, in parts of the slots.
func LoadOf(class Class, live, busy, slots int) float64 {
	if class == ClassLive {
		busy = live
	}
	return float64(busy) / float64(max(1, slots))
}

// Pool is the set of backend servers that a placer chooses from.
type Pool interface {
	Len() int
	// At returns a candidate by its index.
	At(index int) Candidate
	// Near returns the index of the n-th candidate on the hash ring after a point.
	Near(point uint64, n int) int
	// Usable tells whether the candidate may get the call.
	Usable(index int, call *Call) bool
}

// Placement is a placer's decision.
type Placement struct {
	Backend BackendID
	// Why is the rule that decided, for the log.
	Why string
	// Weighed is the number of candidates looked at.
	Weighed int
	Load    float64
}

// Placer chooses a backend server for a call.
type Placer interface {
	// Place returns false if no candidate is usable.
	Place(call *Call, pool Pool) (Placement, bool)
}

// PlanState is what a scheduler decides on.
type PlanState struct {
	Spec *PlanSpec
	// Step and Version are the trainer's.
	Step    int
	Version WeightVersion
	// Newest is the newest version that engines report, 0 if unknown.
	Newest WeightVersion
	// Median is the median time of the step's finished attempts, 0 if none.
	Median  time.Duration
	Pending []Slot
	Running []RunningSlot
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
	Next(state *PlanState, room int) []Slot
}

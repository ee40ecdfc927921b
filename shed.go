package gypsum

import "time"

// WorkClass is the kind of a unit of work.
type WorkClass string

// The classes of work. WorkRetry is a live request that was sent to a replica before.
const (
	WorkLive   WorkClass = "live"
	WorkRetry  WorkClass = "retry"
	WorkReward WorkClass = "reward"
	WorkItem   WorkClass = "item"
	WorkBatch  WorkClass = "batch"
)

// Work is a unit of work that needs capacity: a live request, an item, a batch or a body in
// memory.
type Work struct {
	Class WorkClass
	// Account is the client account, or the trainer of an item, empty for none.
	Account AccountName
	// Priority is that of the account or else of the route, 0 being the highest.
	Priority int
	Arrived  time.Time
	// Target is when the response is due for its full value, the zero time if the full value
	// lasts until the deadline. Work that ends after Deadline has no value.
	Target   time.Time
	Deadline time.Time
	// Expected is how long the work is expected to occupy a slot.
	Expected time.Duration
	// Worth is the value relative to other work of the class and priority, 0 meaning 1.
	Worth float64
	// RetryElsewhere means that the caller can retry refused work at another host with some
	// chance of success.
	RetryElsewhere bool
}

// WorkGroup is a set of work that gets a share of the capacity: a class with a priority, or an
// account.
type WorkGroup struct {
	Class    WorkClass
	Priority int
	Account  AccountName
}

// ClassGroup returns the group of the work's class and priority.
func (w *Work) ClassGroup() WorkGroup { return WorkGroup{Class: w.Class, Priority: w.Priority} }

// AccountGroup returns the group of the work's account. ok is false if it has none.
func (w *Work) AccountGroup() (group WorkGroup, ok bool) {
	return WorkGroup{Account: w.Account}, w.Account != ""
}

// ShareCount is how much work was offered, that is served or refused, and how much of it was
// served lately. Older work counts less.
type ShareCount struct {
	Offered float64
	Served  float64
}

// WorkShares says what the groups were served lately.
type WorkShares interface {
	Count(group WorkGroup) ShareCount
	// Total returns the count of all work, and of the work of accounts with their number.
	Total() (all, ofAccounts ShareCount, accounts int)
}

// ShedState is the input of a Policy: the work that waits for one pool of slots.
type ShedState struct {
	Now     time.Time
	Waiting []Work
	// Slots is the number of slots, Free that of free ones.
	Slots int
	Free  int
	// Interval is the expected time between two ends of running work while no slot is free.
	Interval time.Duration
	// MaxWaiting limits the work that waits for a slot, 0 for no limit.
	MaxWaiting int
	// Shares is nil if nothing is known.
	Shares WorkShares
}

// RefusedWork is work that a Policy refuses.
type RefusedWork struct {
	// Index is the index in ShedState.Waiting.
	Index int
	// RetryAfter is the expected time until a slot is free for the work.
	RetryAfter time.Duration
}

// ShedDecision is what a Policy decides. Each waiting work is in either Order or Refused.
type ShedDecision struct {
	// Order contains the indices of the work in the order in which it should start.
	Order   []int
	Refused []RefusedWork
}

// Policy decides in which order waiting work starts and which of it is refused. It has no clock
// and no state: equal inputs give equal decisions.
type Policy interface {
	Decide(state *ShedState) ShedDecision
}

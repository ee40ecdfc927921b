package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
)

// RewardCall is a complete text that waits for its score.
type RewardCall struct {
	Batch gypsum.BatchID
	Item  gypsum.ItemID
	DueAt time.Time
	// CompletedAt is when the text became complete.
	CompletedAt time.Time
	// MissingTexts and MissingScores are the numbers of items of the same group whose text
	// is not complete yet, and of those that only lack the score, this one included.
	MissingTexts  int
	MissingScores int
	// AvoidedReplica is the replica that failed the last call, empty for none.
	AvoidedReplica gypsum.BackendID
}

// RewardReplica is the scheduler's view of a replica of the service that answers reward
// calls. The service also answers live requests.
type RewardReplica struct {
	ID    gypsum.BackendID
	Slots int
	// InFlight is the number of requests that this daemon has in flight there.
	InFlight int
	// ResponseTime is the expected time to the response to a reward call.
	ResponseTime time.Duration
	// FailureRate is the expected fraction of failing calls, from 0 to 1.
	FailureRate float64
	// Full means that the replica has just refused a request because it was full.
	Full bool
}

// RewardPlacement is a decision to send a reward call to a replica now.
type RewardPlacement struct {
	Call    *RewardCall
	Replica gypsum.BackendID
	// InFlight is the number of requests already in flight there.
	InFlight int
}

// liveSlotDivisor determines the slots of a replica that reward calls leave to live
// requests: one of liveSlotDivisor, rounded up.
const liveSlotDivisor = 6

// limit returns how many reward calls the replica may have in flight. A failing replica
// gets fewer, but at least one, whose result shows whether it has recovered.
func (r *RewardReplica) limit() int {
	if r.Full {
		return 0
	}
	available := r.Slots - (r.Slots+liveSlotDivisor-1)/liveSlotDivisor
	return max(1, int(float64(available)*(1-r.FailureRate)))
}

// expectedTime returns the expected time to a response, including the cost of repeating
// failed calls.
func (r *RewardReplica) expectedTime() time.Duration {
	return time.Duration(float64(r.ResponseTime) / (1 - min(r.FailureRate, maxFailureRate)))
}

// rewardQueue is a replica with the times from now at which its slots become free.
type rewardQueue struct {
	replica *RewardReplica
	// freeSlots is the number of slots that are free now; freeAt has the times of the
	// others in increasing order.
	freeSlots int
	freeAt    []time.Duration
}

// newRewardQueue returns the queue of a replica. The calls in flight have been there for
// half of their time on average.
func newRewardQueue(replica *RewardReplica) *rewardQueue {
	limit := replica.limit()
	queue := &rewardQueue{replica: replica, freeSlots: max(0, limit-replica.InFlight)}
	busy := limit - queue.freeSlots
	for i := range busy {
		queue.freeAt = append(queue.freeAt, replica.expectedTime()*time.Duration(i+1)/time.Duration(busy+1))
	}
	return queue
}

// endTime returns when one more call would end.
func (q *rewardQueue) endTime() (time.Duration, bool) {
	switch {
	case q.freeSlots > 0:
		return q.replica.expectedTime(), true
	case len(q.freeAt) > 0:
		return q.freeAt[0] + q.replica.expectedTime(), true
	}
	return 0, false
}

// add adds a call. It reports whether the call can be sent now.
func (q *rewardQueue) add() bool {
	sendNow := q.freeSlots > 0
	end, _ := q.endTime()
	if sendNow {
		q.freeSlots--
	} else {
		q.freeAt = q.freeAt[1:]
	}
	position, _ := slices.BinarySearch(q.freeAt, end)
	q.freeAt = slices.Insert(q.freeAt, position, end)
	return sendNow
}

// ScheduleRewards decides which reward calls are sent now, and to which replicas. The texts
// of a step become complete within a second or two, many more than the service has slots,
// and the same replicas answer live requests that are due in a fraction of a second. The
// daemon that holds the engines sends all reward calls of their items, so that it knows
// what is in flight. Calls therefore wait here and not at the replicas, and a slot of each
// replica stays free for live requests.
//
// A group is worth something only if it is whole. Calls of groups whose texts are all
// complete go first, the batch that is due first and then the group with the fewest missing
// scores. Each goes to the replica where it is expected to end first: a slow replica gets
// no call that would end sooner after a wait for a faster one.
func ScheduleRewards(calls []RewardCall, replicas []*RewardReplica) []RewardPlacement {
	order := make([]*RewardCall, 0, len(calls))
	for i := range calls {
		order = append(order, &calls[i])
	}
	slices.SortStableFunc(order, compareRewardCalls)
	queues := make([]*rewardQueue, 0, len(replicas))
	free := 0
	for _, replica := range replicas {
		queue := newRewardQueue(replica)
		queues, free = append(queues, queue), free+queue.freeSlots
	}
	var placements []RewardPlacement
	for _, call := range order {
		if free == 0 {
			break
		}
		queue := fastestRewardQueue(call, queues)
		if queue == nil {
			break
		}
		if queue.add() {
			free--
			placements = append(placements, RewardPlacement{Call: call, Replica: queue.replica.ID, InFlight: queue.replica.InFlight})
			queue.replica.InFlight++
		}
	}
	return placements
}

// compareRewardCalls orders reward calls by their urgency.
func compareRewardCalls(a, b *RewardCall) int {
	aWaits, bWaits := a.MissingTexts > 0, b.MissingTexts > 0
	if aWaits != bWaits {
		if aWaits {
			return 1
		}
		return -1
	}
	return cmp.Or(a.DueAt.Compare(b.DueAt), cmp.Compare(a.MissingTexts, b.MissingTexts), cmp.Compare(a.MissingScores, b.MissingScores),
		a.CompletedAt.Compare(b.CompletedAt))
}

// fastestRewardQueue returns the queue in which a call is expected to end first, nil if
// there is none. The replica that failed the call before is chosen only without another.
func fastestRewardQueue(call *RewardCall, queues []*rewardQueue) *rewardQueue {
	var best *rewardQueue
	var bestEnd time.Duration
	for _, queue := range queues {
		end, ok := queue.endTime()
		if !ok {
			continue
		}
		avoided := queue.replica.ID == call.AvoidedReplica
		bestAvoided := best != nil && best.replica.ID == call.AvoidedReplica
		if best == nil || (bestAvoided && !avoided) || (bestAvoided == avoided && end < bestEnd) {
			best, bestEnd = queue, end
		}
	}
	return best
}

// Bounds of the timeout of a reward call.
const (
	minRewardTimeout = 600 * time.Millisecond
	maxRewardTimeout = 6 * time.Second
	// rewardTimeoutFactor is the timeout in multiples of the response time. It is above the
	// 99th percentile in the users' documents, which is five times the mean.
	rewardTimeoutFactor = 6
)

// RewardTimeout returns how long a replica may take to answer a reward call. A replica may
// stop responding without a connection reset. The timeout doubles with each timeout of the
// same call, since the call itself may need much longer than others.
func RewardTimeout(responseTime time.Duration, timeouts int) time.Duration {
	timeout := max(minRewardTimeout, rewardTimeoutFactor*responseTime)
	return min(maxRewardTimeout, timeout<<min(timeouts, 4))
}

// Bounds of the delay before a reward call is repeated.
const (
	minRewardRetryDelay = 50 * time.Millisecond
	maxRewardRetryDelay = time.Second
)

// RewardRetryDelay returns the delay before a reward call that has failed a number of times
// is repeated. It doubles with each failure up to a limit and is spread by random, from 0
// to 1, since a service that becomes available again must not get all calls at once.
func RewardRetryDelay(failures int, random float64) time.Duration {
	delay := min(maxRewardRetryDelay, minRewardRetryDelay<<min(failures, 8))
	return time.Duration(float64(delay) * (0.5 + random/2))
}

package sched_test

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/sched"
)

// rewardTrace is testdata/rewards.json: the first seconds of a busy day. Texts are triples
// of the time in milliseconds at which the text was complete, its batch and its group.
type rewardTrace struct {
	BatchesAtMS []int    `json:"batches_at_ms"`
	Texts       [][3]int `json:"texts"`
	LiveAtMS    []int    `json:"live_at_ms"`
}

// readRewards reads testdata/rewards.json.
func readRewards(t *testing.T) *rewardTrace {
	content, err := os.ReadFile("testdata/rewards.json")
	if err != nil {
		t.Fatal(err)
	}
	trace := &rewardTrace{}
	if err := json.Unmarshal(content, trace); err != nil {
		t.Fatal(err)
	}
	return trace
}

// rewardPolicy decides which reward calls are sent now.
type rewardPolicy func([]sched.RewardCall, []*sched.RewardReplica) []sched.RewardPlacement

// spreadAtOnce sends every call as soon as its text is complete, to the replica with the
// fewest calls: the policy that ScheduleRewards replaces.
func spreadAtOnce(calls []sched.RewardCall, replicas []*sched.RewardReplica) []sched.RewardPlacement {
	var placements []sched.RewardPlacement
	for i := range calls {
		least := slices.MinFunc(replicas, func(a, b *sched.RewardReplica) int { return a.InFlight - b.InFlight })
		placements = append(placements, sched.RewardPlacement{Call: &calls[i], Replica: least.ID})
		least.InFlight++
	}
	return placements
}

// Properties of the simulated service, from the users' documents: three replicas of six
// slots, 200 ms for a reward call and 25 ms for a live request on average.
const (
	rewardReplicas = 3
	rewardSlots    = 6
	rewardTime     = 200 * time.Millisecond
	liveTime       = 25 * time.Millisecond
	workSpread     = 0.5
)

// serviceJob is a reward call or a live request at a replica.
type serviceJob struct {
	call      *sched.RewardCall
	arrivedAt time.Duration
	left      time.Duration
}

// rewardOutcome is the outcome of a replay: for each batch the time from its submission
// until nine tenths of its groups were whole, the time until half of its groups were, and
// the sorted latencies of live requests.
type rewardOutcome struct {
	mostWhole, halfWhole []time.Duration
	live                 []time.Duration
}

// replayRewards simulates the recorded texts and live requests under a policy. Replicas serve
// their queues in order of arrival. The first one is slower by slowdown.
func replayRewards(trace *rewardTrace, policy rewardPolicy, slowdown float64, seed uint64) *rewardOutcome {
	epoch := time.Unix(0, 0)
	random := rand.New(rand.NewPCG(seed, 1))
	work := func(mean time.Duration) time.Duration {
		return time.Duration(float64(mean) * math.Exp(workSpread*random.NormFloat64()-workSpread*workSpread/2))
	}
	texts := slices.Clone(trace.Texts)
	slices.SortFunc(texts, func(a, b [3]int) int { return a[0] - b[0] })
	groupSize, groupDone := make(map[int]int), make(map[int]int)
	batchOf := make(map[int]int)
	for _, text := range texts {
		groupSize[text[2]]++
		batchOf[text[2]] = text[1]
	}
	complete := make(map[int]int) // texts of a group so far
	var waiting []sched.RewardCall
	queues := make([][]*serviceJob, rewardReplicas)
	groupOf := make(map[gypsum.ItemID]int)
	wholeAt := make(map[int][]time.Duration)
	outcome := &rewardOutcome{}
	responseTimes := slices.Repeat([]time.Duration{rewardTime}, rewardReplicas)
	nextText, nextLive, scored := 0, 0, 0
	for now := time.Duration(0); scored < len(texts) && now < time.Minute; now += time.Millisecond {
		for ; nextText < len(texts) && time.Duration(texts[nextText][0])*time.Millisecond <= now; nextText++ {
			id := gypsum.ItemID(fmt.Sprint(nextText))
			group := texts[nextText][2]
			groupOf[id] = group
			complete[group]++
			dueAt := epoch.Add(time.Duration(trace.BatchesAtMS[texts[nextText][1]])*time.Millisecond + dueTime)
			waiting = append(waiting, sched.RewardCall{Item: id, DueAt: dueAt, CompletedAt: epoch.Add(now)})
		}
		for ; nextLive < len(trace.LiveAtMS) && time.Duration(trace.LiveAtMS[nextLive])*time.Millisecond <= now; nextLive++ {
			replica := random.IntN(rewardReplicas) // callers know nothing of the reward calls
			queues[replica] = append(queues[replica], &serviceJob{arrivedAt: now, left: work(liveTime)})
		}
		for i := range waiting {
			group := groupOf[waiting[i].Item]
			waiting[i].MissingTexts = groupSize[group] - complete[group]
			waiting[i].MissingScores = complete[group] - groupDone[group]
		}
		views := make([]*sched.RewardReplica, rewardReplicas)
		for i := range views {
			views[i] = &sched.RewardReplica{ID: gypsum.BackendID(fmt.Sprint(i)), Slots: rewardSlots, ResponseTime: responseTimes[i]}
			for _, job := range queues[i] {
				if job.call != nil {
					views[i].InFlight++
				}
			}
		}
		sent := make(map[gypsum.ItemID]bool)
		for _, placement := range policy(waiting, views) {
			call := *placement.Call
			sent[call.Item] = true
			for i := range views {
				if views[i].ID == placement.Replica {
					left := work(rewardTime)
					if i == 0 {
						left = time.Duration(slowdown * float64(left))
					}
					queues[i] = append(queues[i], &serviceJob{call: &call, arrivedAt: now, left: left})
				}
			}
		}
		waiting = slices.DeleteFunc(waiting, func(call sched.RewardCall) bool { return sent[call.Item] })
		for i := range queues {
			for j := range min(rewardSlots, len(queues[i])) {
				queues[i][j].left -= time.Millisecond
			}
			queues[i] = slices.DeleteFunc(queues[i], func(job *serviceJob) bool {
				if job.left > 0 {
					return false
				}
				took := now - job.arrivedAt
				if job.call == nil {
					outcome.live = append(outcome.live, took)
					return true
				}
				responseTimes[i] += (took - responseTimes[i]) / 4
				group := groupOf[job.call.Item]
				scored++
				if groupDone[group]++; groupDone[group] == groupSize[group] {
					batch := batchOf[group]
					wholeAt[batch] = append(wholeAt[batch], now-time.Duration(trace.BatchesAtMS[batch])*time.Millisecond)
				}
				return true
			})
		}
	}
	for batch := range trace.BatchesAtMS {
		times := wholeAt[batch]
		if len(times) == 0 {
			continue
		}
		outcome.mostWhole = append(outcome.mostWhole, times[len(times)*9/10-1])
		outcome.halfWhole = append(outcome.halfWhole, times[len(times)/2])
	}
	slices.Sort(outcome.live)
	return outcome
}

// mean returns the mean of durations.
func mean(times []time.Duration) time.Duration {
	total := time.Duration(0)
	for _, d := range times {
		total += d
	}
	return total / time.Duration(len(times))
}

// Reward calls that wait here rather than at the replicas, nearly whole groups first, make
// groups whole sooner, while live requests wait for no slot. The bounds are the latency
// target of live requests, and that no batch becomes nine tenths whole later than with all
// calls sent at once.
func TestReplayRewards(t *testing.T) {
	is := is.New(t)
	trace := readRewards(t)
	for _, slowdown := range []float64{1, 4} {
		var before, after rewardOutcome
		for seed := range uint64(5) {
			for policyOutcome, policy := range map[*rewardOutcome]rewardPolicy{&before: spreadAtOnce, &after: sched.ScheduleRewards} {
				played := replayRewards(trace, policy, slowdown, seed)
				policyOutcome.mostWhole = append(policyOutcome.mostWhole, played.mostWhole...)
				policyOutcome.halfWhole = append(policyOutcome.halfWhole, played.halfWhole...)
				policyOutcome.live = append(policyOutcome.live, played.live...)
			}
		}
		slices.Sort(before.live)
		slices.Sort(after.live)
		p95 := func(sorted []time.Duration) time.Duration { return sorted[len(sorted)*95/100] }
		t.Logf("slowdown %v: half whole %s before, %s after; 90%% whole %s before, %s after; live p95 %s before, %s after", slowdown,
			mean(before.halfWhole), mean(after.halfWhole), mean(before.mostWhole), mean(after.mostWhole), p95(before.live), p95(after.live))
		is.True(p95(after.live) < 250*time.Millisecond)
		is.True(p95(after.live) < p95(before.live))
		is.True(mean(after.halfWhole) < mean(before.halfWhole))
		is.True(mean(after.mostWhole) <= mean(before.mostWhole)+20*time.Millisecond) // a slot in six is left free
	}
}

// newRewardReplica returns a replica with free slots.
func newRewardReplica(id gypsum.BackendID, responseTime time.Duration) *sched.RewardReplica {
	return &sched.RewardReplica{ID: id, Slots: 6, ResponseTime: responseTime}
}

// Calls of whole groups go first, then batches that are due sooner, then groups with fewer
// missing scores. The number of calls at a replica is limited.
func TestScheduleRewards(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	calls := []sched.RewardCall{
		{Item: "incomplete", DueAt: now, MissingTexts: 1, MissingScores: 1},
		{Item: "later", DueAt: now.Add(time.Second), MissingScores: 1},
		{Item: "fourfold", DueAt: now, MissingScores: 4},
		{Item: "single", DueAt: now, MissingScores: 1},
	}
	order := func(replicas ...*sched.RewardReplica) []gypsum.ItemID {
		var items []gypsum.ItemID
		for _, placement := range sched.ScheduleRewards(calls, replicas) {
			items = append(items, placement.Call.Item)
		}
		return items
	}
	is.Equal(order(newRewardReplica("a", rewardTime)), []gypsum.ItemID{"single", "fourfold", "later", "incomplete"})
	almostFull := newRewardReplica("a", rewardTime)
	almostFull.InFlight = 3
	is.Equal(order(almostFull), []gypsum.ItemID{"single", "fourfold"}) // one of six slots stays free
	full := newRewardReplica("a", rewardTime)
	full.Full = true
	is.Equal(order(full), nil)
	failing := newRewardReplica("a", rewardTime)
	failing.FailureRate = 0.99
	is.Equal(order(failing), []gypsum.ItemID{"single"}) // one call shows whether it has recovered
	is.Equal(order(), nil)
}

// A slow replica gets no call that would end sooner after a wait for a faster one, and a
// call is not repeated at the replica that failed it if there is another.
func TestRewardReplicaChoice(t *testing.T) {
	is := is.New(t)
	replicasOf := func(calls []sched.RewardCall, replicas ...*sched.RewardReplica) map[gypsum.BackendID]int {
		chosen := make(map[gypsum.BackendID]int)
		for _, placement := range sched.ScheduleRewards(calls, replicas) {
			chosen[placement.Replica]++
		}
		return chosen
	}
	burst := func(count int) []sched.RewardCall { return make([]sched.RewardCall, count) }
	is.Equal(replicasOf(burst(8), newRewardReplica("fast", rewardTime), newRewardReplica("slow", 5*rewardTime)), map[gypsum.BackendID]int{"fast": 5})
	is.Equal(replicasOf(burst(40), newRewardReplica("fast", rewardTime), newRewardReplica("slow", 5*rewardTime)), map[gypsum.BackendID]int{"fast": 5, "slow": 5})
	is.Equal(replicasOf([]sched.RewardCall{{AvoidedReplica: "a"}}, newRewardReplica("a", rewardTime), newRewardReplica("b", 2*rewardTime)), map[gypsum.BackendID]int{"b": 1})
	is.Equal(replicasOf([]sched.RewardCall{{AvoidedReplica: "a"}}, newRewardReplica("a", rewardTime)), map[gypsum.BackendID]int{"a": 1})
}

// The timeout of a reward call follows the response time and doubles with each timeout, the
// delay before a repetition grows up to a limit and is spread.
func TestRewardTimes(t *testing.T) {
	is := is.New(t)
	is.Equal(sched.RewardTimeout(200*time.Millisecond, 0), 1200*time.Millisecond)
	is.Equal(sched.RewardTimeout(50*time.Millisecond, 0), 600*time.Millisecond)
	is.Equal(sched.RewardTimeout(200*time.Millisecond, 1), 2400*time.Millisecond)
	is.Equal(sched.RewardTimeout(time.Minute, 9), 6*time.Second)
	is.Equal(sched.RewardRetryDelay(0, 1), 50*time.Millisecond)
	is.Equal(sched.RewardRetryDelay(0, 0), 25*time.Millisecond)
	is.Equal(sched.RewardRetryDelay(100, 1), time.Second)
}

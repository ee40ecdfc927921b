package shed_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/shed"
)

// randomState returns a state with random work, capacity and shares.
func randomState(seed uint64) *gypsum.ShedState {
	random := rand.New(rand.NewPCG(seed, 3))
	shares := shed.NewShares()
	state := &gypsum.ShedState{
		Now: epoch, Slots: 1 + random.IntN(12), Interval: time.Duration(random.Int64N(int64(50 * time.Millisecond))),
		MaxWaiting: random.IntN(20), Shares: shares,
	}
	state.Free = random.IntN(state.Slots + 1)
	for range random.IntN(40) {
		account, priority := accountOf(random)
		class := []gypsum.WorkClass{gypsum.WorkLive, gypsum.WorkRetry, gypsum.WorkItem}[random.IntN(3)]
		if random.IntN(4) == 0 {
			account = ""
		}
		j := liveJob(random, class, account, priority, -time.Duration(random.Int64N(int64(time.Second))), 250*time.Millisecond, 1200*time.Millisecond)
		if random.IntN(3) == 0 {
			j.Target = time.Time{}
		}
		if random.IntN(2) == 0 {
			shares.Serve(&j.Work, epoch)
		} else {
			shares.Refuse(&j.Work, epoch)
		}
		state.Waiting = append(state.Waiting, j.Work)
	}
	return state
}

// TestNothingRefusedWithFreeCapacity guards against the refusal of work that a free slot could
// run: each free slot gets work while any waits. It also guards against work that is in neither
// list or in both.
func TestNothingRefusedWithFreeCapacity(t *testing.T) {
	is := is.New(t)
	for _, row := range policies {
		for seed := range uint64(300) {
			state := randomState(seed)
			decision := row.policy.Decide(state)
			seen := make([]int, len(state.Waiting))
			for _, i := range decision.Order {
				seen[i]++
			}
			for _, refused := range decision.Refused {
				seen[refused.Index]++
				is.True(refused.RetryAfter >= 0)
			}
			for _, count := range seen {
				is.Equal(count, 1)
			}
			is.True(len(decision.Order) >= min(state.Free, len(state.Waiting)))
		}
	}
}

// TestEqualInputsGiveEqualDecisions guards against decisions that depend on the order of a map
// or on hidden state.
func TestEqualInputsGiveEqualDecisions(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(100) {
		policy := shed.NewCostPolicy()
		state := randomState(seed)
		is.Equal(policy.Decide(state), policy.Decide(state))
		is.Equal(policy.Decide(state), shed.NewCostPolicy().Decide(randomState(seed)))
	}
}

// TestRetryTimes guards against retry times at which the slots are still occupied, or that are
// the same for all refused callers.
func TestRetryTimes(t *testing.T) {
	is := is.New(t)
	state := &gypsum.ShedState{Now: epoch, Slots: 1, Interval: 100 * time.Millisecond}
	for range 4 {
		state.Waiting = append(state.Waiting, gypsum.Work{Class: gypsum.WorkLive, Arrived: epoch, Deadline: epoch.Add(320 * time.Millisecond), Expected: 100 * time.Millisecond})
	}
	decision := shed.NewCostPolicy().Decide(state)
	is.Equal(decision.Order, []int{0, 1})
	is.Equal(decision.Refused, []gypsum.RefusedWork{{Index: 2, RetryAfter: 300 * time.Millisecond}, {Index: 3, RetryAfter: 400 * time.Millisecond}})
}

// TestCosts guards against delays and refusals that are rated without regard to the target, the
// deadline, the priority or another host.
func TestCosts(t *testing.T) {
	is := is.New(t)
	work := gypsum.Work{Priority: 1, Arrived: epoch, Target: epoch.Add(250 * time.Millisecond), Deadline: epoch.Add(time.Second), Expected: 50 * time.Millisecond}
	is.Equal(shed.DelayCost(&work, epoch, epoch.Add(100*time.Millisecond)), 0.0)
	is.Equal(shed.DelayCost(&work, epoch, epoch.Add(300*time.Millisecond)), 0.375)
	is.Equal(shed.DelayCost(&work, epoch, epoch.Add(time.Second)), 0.5)
	is.Equal(shed.RefusalCost(&work, epoch), 0.5)
	work.RetryElsewhere = true
	is.Equal(shed.RefusalCost(&work, epoch), 0.25)
}

// TestSharesAreForgotten guards against counts of accounts that are kept for ever, and against
// a past burst that counts against an account for long.
func TestSharesAreForgotten(t *testing.T) {
	is := is.New(t)
	shares := shed.NewShares()
	work := gypsum.Work{Class: gypsum.WorkLive, Account: "large"}
	for range 100 {
		shares.Refuse(&work, epoch)
	}
	_, _, accounts := shares.Total()
	is.Equal(accounts, 1)
	group, _ := work.AccountGroup()
	other := gypsum.Work{Class: gypsum.WorkLive}
	shares.Refuse(&other, epoch.Add(10*time.Second))
	is.Equal(shares.Count(group).Offered, 50.0)
	shares.Refuse(&other, epoch.Add(10*time.Minute))
	_, _, accounts = shares.Total()
	is.Equal(accounts, 0)
	is.Equal(shares.Count(group), gypsum.ShareCount{})
}

// BenchmarkDecide measures a decision about as many requests as a service may have waiting.
func BenchmarkDecide(b *testing.B) {
	state, policy := randomState(1), shed.NewCostPolicy()
	for len(state.Waiting) < 64 {
		state.Waiting = append(state.Waiting, state.Waiting...)
	}
	state.Waiting, state.MaxWaiting = state.Waiting[:64], 64
	b.ReportAllocs()
	for b.Loop() {
		policy.Decide(state)
	}
}

// TestPriorityWithMuchTime guards against the order of arrival among requests that all have much
// more time than the queue takes.
func TestPriorityWithMuchTime(t *testing.T) {
	is := is.New(t)
	state := &gypsum.ShedState{Now: epoch, Slots: 1, Interval: time.Millisecond}
	for i, priority := range []int{2, 1, 0} {
		arrived := epoch.Add(time.Duration(i-3) * 50 * time.Millisecond)
		state.Waiting = append(state.Waiting, gypsum.Work{Class: gypsum.WorkLive, Priority: priority, Arrived: arrived, Target: arrived.Add(8 * time.Second), Deadline: arrived.Add(time.Minute)})
	}
	is.Equal(shed.NewCostPolicy().Decide(state).Order, []int{2, 1, 0})
}

// TestLeastShare guards against a class that is starved by a flow of more valuable work: it
// comes first once it is behind its least share, and only until it has that.
func TestLeastShare(t *testing.T) {
	is := is.New(t)
	shares := shed.NewShares()
	high, low := gypsum.Work{Class: gypsum.WorkLive}, gypsum.Work{Class: gypsum.WorkLive, Priority: 4}
	for range 20 {
		shares.Serve(&high, epoch)
		shares.Refuse(&low, epoch)
	}
	state := &gypsum.ShedState{Now: epoch, Slots: 1, Interval: time.Millisecond, Shares: shares}
	for i := range 12 {
		work := high
		if i >= 6 {
			work = low
		}
		work.Arrived, work.Target, work.Deadline, work.Expected = epoch, epoch.Add(250*time.Millisecond), epoch.Add(time.Second), time.Millisecond
		state.Waiting = append(state.Waiting, work)
	}
	order := shed.NewCostPolicy().Decide(state).Order
	// 20 of 40 were served, so the least share is 0.2 of 20 and grows with what is served next.
	first := 0
	for _, index := range order[:6] {
		if index >= 6 {
			first++
		}
	}
	is.True(first >= 4)
	is.True(slices.Index(order, 0) <= 6)
	is.True(slices.Index(order, 11) > 6)
}

// TestManySlots guards against decisions whose memory and time grow with the number of slots. Only as
// many slots matter as there is work.
func TestManySlots(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(100) {
		state := randomState(seed)
		state.Slots, state.Free = 2*len(state.Waiting)+1, len(state.Waiting)
		expected := shed.NewCostPolicy().Decide(state)
		state.Slots = math.MaxInt
		is.Equal(len(shed.NewCostPolicy().Decide(state).Order), len(expected.Order))
	}
}

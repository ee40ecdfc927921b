package share_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/share"
)

// TestLevel checks the max-min share: small demands are met, and the rest is divided equally.
func TestLevel(t *testing.T) {
	is := is.New(t)
	is.Equal(share.Level([]float64{1, 2, 100, 1000}, 43), 20.0)
	is.Equal(share.Level([]float64{10, 10}, 10), 5.0)
	is.True(math.IsInf(share.Level([]float64{10, 10}, 20), 1))
	is.True(math.IsInf(share.Level(nil, 0), 1))
}

// Sizes of the simulated deployment: those of the deployment with the most hosts for its replicas.
const (
	simHosts       = 30
	simReplicas    = 6
	simSlots       = 6
	simServiceTime = 25 * time.Millisecond
	simAccounts    = 74
	simAttempts    = 2
	simTime        = 16 * time.Second
	simWarmUp      = time.Second
)

// simResult is the fraction of requests that were served, for each account and for all.
type simResult struct {
	byAccount map[gypsum.AccountName]float64
	all       float64
}

// worstTenth returns the mean of the worst-served tenth of the accounts.
func (r *simResult) worstTenth() float64 {
	fractions := make([]float64, 0, len(r.byAccount))
	for _, fraction := range r.byAccount {
		fractions = append(fractions, fraction)
	}
	slices.Sort(fractions)
	worst := fractions[:(len(fractions)+9)/10]
	sum := 0.0
	for _, fraction := range worst {
		sum += fraction
	}
	return sum / float64(len(worst))
}

// simulate simulates hosts with requests of many accounts at a few replicas that refuse requests
// beyond their slots. rates are the requests per second by account. hostsOf returns the number of
// hosts that serve an account's clients.
func simulate(seed uint64, rates map[gypsum.AccountName]float64, hostsOf func(gypsum.AccountName) int, shared bool) *simResult {
	rng := rand.New(rand.NewPCG(seed, 1))
	hosts := make([]share.Sends, simHosts)
	free := make([][]time.Duration, simReplicas)
	sent, served := make(map[gypsum.AccountName]float64), make(map[gypsum.AccountName]float64)
	const capacity = simReplicas * simSlots / 0.025
	names := make([]gypsum.AccountName, 0, len(rates))
	for name := range rates {
		names = append(names, name)
	}
	slices.Sort(names)
	start := time.Now()
	for at := time.Duration(0); at < simTime; at += time.Millisecond {
		for replica := range free {
			free[replica] = slices.DeleteFunc(free[replica], func(end time.Duration) bool { return end <= at })
		}
		for _, name := range names {
			for count := rates[name] / 1000; rng.Float64() < count; count-- {
				counted := at >= simWarmUp
				if counted {
					sent[name]++
				}
				host := &hosts[rng.IntN(hostsOf(name))]
				if shared {
					if ok, _ := host.Admit("desk", name, start.Add(at)); !ok {
						continue
					}
				}
				found := false
				for _, replica := range rng.Perm(simReplicas)[:simAttempts] {
					if len(free[replica]) < simSlots {
						free[replica] = append(free[replica], at+simServiceTime)
						found = true
						break
					}
				}
				if found && counted {
					served[name]++
				}
				if !found && shared {
					host.RecordFull("desk", capacity/simHosts, start.Add(at))
				}
			}
		}
	}
	result := &simResult{byAccount: make(map[gypsum.AccountName]float64)}
	totalSent, totalServed := 0.0, 0.0
	for _, name := range names {
		totalSent, totalServed = totalSent+sent[name], totalServed+served[name]
		if sent[name] > 0 {
			result.byAccount[name] = served[name] / sent[name]
		}
	}
	result.all = totalServed / totalSent
	return result
}

// TestBurstOfOneAccount guards against a burst of one account that takes the slots of the replicas
// from the others, whether its clients use all hosts or one.
func TestBurstOfOneAccount(t *testing.T) {
	for _, burstHosts := range []int{simHosts, 3} {
		t.Run(fmt.Sprint(burstHosts, " hosts"), func(t *testing.T) {
			for seed := range uint64(5) {
				rates := map[gypsum.AccountName]float64{"burst": 8000}
				for i := range simAccounts - 1 {
					rates[gypsum.AccountName(fmt.Sprint("a", i))] = 2 + float64(i%8)
				}
				hostsOf := func(name gypsum.AccountName) int {
					if name == "burst" {
						return burstHosts
					}
					return simHosts
				}
				before, after := simulate(seed, rates, hostsOf, false), simulate(seed, rates, hostsOf, true)
				t.Logf("seed %d: worst tenth %.3f before, %.3f after; all %.3f and %.3f; burst %.3f and %.3f", seed,
					before.worstTenth(), after.worstTenth(), before.all, after.all, before.byAccount["burst"], after.byAccount["burst"])
				if after.worstTenth() < 0.7 {
					t.Errorf("seed %d: the worst-served tenth of the accounts gets %.3f", seed, after.worstTenth())
				}
				for name, fraction := range after.byAccount {
					if name != "burst" && fraction < 0.25*after.all {
						t.Errorf("seed %d: account %s is served %.3f, all %.3f", seed, name, fraction, after.all)
					}
				}
				if after.byAccount["burst"] < 0.25*after.all {
					t.Errorf("seed %d: the account with the burst is served %.3f, all %.3f", seed, after.byAccount["burst"], after.all)
				}
				if after.all < 0.65*before.all {
					t.Errorf("seed %d: %.3f of all requests are served, without shares %.3f", seed, after.all, before.all)
				}
			}
		})
	}
}

// TestNoLimitWithoutRefusals checks that no request is refused while replicas are not full, and that
// a limit ends after the burst.
func TestNoLimitWithoutRefusals(t *testing.T) {
	is := is.New(t)
	var sends share.Sends
	now := time.Now()
	for range 10_000 {
		ok, _ := sends.Admit("desk", "burst", now)
		is.True(ok)
		now = now.Add(time.Millisecond)
	}
	sends.RecordFull("desk", 10, now)
	is.Equal(sends.Limited(now), 1)
	refused := 0
	for number := range 1000 {
		if number%5 == 0 {
			sends.RecordFull("desk", 10, now)
		}
		if ok, retryAfter := sends.Admit("desk", "burst", now); !ok {
			is.True(retryAfter >= 200*time.Millisecond && retryAfter <= 2*time.Second)
			refused++
		}
		ok, _ := sends.Admit("other", "burst", now) // another service
		is.True(ok)
		now = now.Add(time.Millisecond)
	}
	is.True(refused > 100 && refused < 700)
	now = now.Add(10 * time.Second)
	ok, _ := sends.Admit("desk", "burst", now)
	is.True(ok)
	is.Equal(sends.Limited(now), 0)
}

// BenchmarkAdmit measures the decision on a request while replicas are full, with 1,000 accounts.
func BenchmarkAdmit(b *testing.B) {
	var sends share.Sends
	now := time.Now()
	names := make([]gypsum.AccountName, 1000)
	for i := range names {
		names[i] = gypsum.AccountName(fmt.Sprint("account-", i))
		sends.Admit("desk", names[i], now)
	}
	sends.RecordFull("desk", 1, now)
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		now = now.Add(100 * time.Microsecond)
		sends.Admit("desk", names[number%len(names)], now)
		if number%8 == 0 {
			sends.RecordFull("desk", 1, now)
		}
	}
}

// TestPeekChangesNothing guards against explanations that use up the share of an account, or that
// differ from what happens to a request.
func TestPeekChangesNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var sends share.Sends
	ok, _ := sends.Peek("desk", "a", now)
	is.True(ok) // nothing is limited
	for range 200 {
		sends.Admit("desk", "burst", now)
	}
	sends.RecordFull("desk", 10, now)
	refused := 0
	for range 50 {
		expected, expectedWait := sends.Peek("desk", "burst", now)
		for range 10 {
			sends.Peek("desk", "burst", now)
		}
		ok, wait := sends.Admit("desk", "burst", now)
		is.Equal(ok, expected)
		if !ok {
			is.Equal(wait, expectedWait)
			refused++
		}
		now = now.Add(time.Millisecond)
	}
	is.True(refused > 10 && refused < 50)
}

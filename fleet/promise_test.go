package fleet_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/check"
	"github.com/gypsumhook/gypsum/config"
	"github.com/gypsumhook/gypsum/core"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/fleet"
)

// inFleet runs a test against a started small fleet in virtual time.
func inFleet(t *testing.T, tune func(*core.Tuning), run func(t *testing.T, is *is.I, f *fleet.Fleet, caller *check.Caller)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := fleet.New(fleet.Small())
		f.Tune = tune
		defer f.Close()
		is.NoErr(f.Start(t.Context()))
		caller := f.NewCaller(&check.Record{}, callTimeout)
		defer func() {
			if t.Failed() {
				for _, result := range caller.Record.Results() {
					if result.Refusal != nil {
						t.Logf("%s via %s at %s took %s: %v", result.Key, result.Via, result.At.Format("05.000"), result.Took, result.Refusal)
					}
				}
			}
		}()
		run(t, is, f, caller)
		is.Equal(caller.Check(f.Ledger.Runs()), []string{})
	})
}

// callTimeout is the deadline of the calls.
const callTimeout = 4 * time.Second

// TestOnceOverFrozenHosts freezes each host at many moments of an order, sends
// the order again through the others and lets the frozen host go on.
func TestOnceOverFrozenHosts(t *testing.T) {
	inFleet(t, nil, func(t *testing.T, is *is.I, f *fleet.Fleet, caller *check.Caller) {
		hosts := f.Live()
		for moment := range 40 {
			frozen := hosts[moment%len(hosts)]
			key := check.NewKey()
			var calls sync.WaitGroup
			calls.Go(func() { caller.Order(t.Context(), hosts[(moment+1)%len(hosts)], key, "crew") })
			time.Sleep(time.Duration(moment) * 2 * time.Millisecond)
			f.Network.Freeze(frozen)
			time.Sleep(3 * time.Second)
			calls.Go(func() { caller.Order(t.Context(), hosts[(moment+2)%len(hosts)], key, "crew") })
			calls.Go(func() { caller.Order(t.Context(), hosts[(moment+3)%len(hosts)], key, "crew") })
			time.Sleep(500 * time.Millisecond)
			f.Network.Thaw(frozen)
			calls.Wait()
			time.Sleep(3 * time.Second)
		}
		for key, runs := range f.Ledger.Runs() {
			if runs > 1 {
				t.Errorf("order %s ran %d times", key, runs)
			}
		}
		is.True(len(f.Ledger.Runs()) >= 30)
	})
}

// TestOnceOverKilledHosts kills the host that an order was sent through, at
// many moments, and sends the order again.
func TestOnceOverKilledHosts(t *testing.T) {
	inFleet(t, nil, func(t *testing.T, is *is.I, f *fleet.Fleet, caller *check.Caller) {
		for moment := range 20 {
			hosts := f.Live()
			victim := hosts[moment%len(hosts)]
			key := check.NewKey()
			var calls sync.WaitGroup
			calls.Go(func() { caller.Order(t.Context(), hosts[(moment+1)%len(hosts)], key, "crew") })
			time.Sleep(time.Duration(moment) * 4 * time.Millisecond)
			f.Kill(victim)
			calls.Wait()
			caller.Order(t.Context(), f.Live()[0], key, "crew")
			f.Replace(t.Context(), victim)
			time.Sleep(8 * time.Second)
		}
		is.True(len(f.Ledger.Runs()) >= 15)
	})
}

// TestRepeatGetsFirstAnswer checks that repeats, also at the same moment and
// through every host, get the first answer, and another body is refused.
func TestRepeatGetsFirstAnswer(t *testing.T) {
	inFleet(t, nil, func(t *testing.T, is *is.I, f *fleet.Fleet, caller *check.Caller) {
		key := check.NewKey()
		var calls sync.WaitGroup
		for _, via := range f.Live() {
			for range 3 {
				calls.Go(func() { caller.Order(t.Context(), via, key, "crew") })
			}
		}
		calls.Wait()
		for _, result := range caller.Record.Results() {
			is.True(result.Answer != "")
			is.Equal(result.Answer, caller.Record.Results()[0].Answer)
		}
		other := caller.Order(t.Context(), f.Live()[0], key, "another crew")
		is.Equal(other.Refusal.Reason, gypsum.ReasonKeyReused)
	})
}

// TestRepeatAfterKeeperDied checks that a repeat gets the first answer also
// when the host that ran the order is gone.
func TestRepeatAfterKeeperDied(t *testing.T) {
	inFleet(t, nil, func(t *testing.T, is *is.I, f *fleet.Fleet, caller *check.Caller) {
		keys := make(map[gypsum.IdempotencyKey]string)
		for range 20 {
			key := check.NewKey()
			keys[key] = caller.Order(t.Context(), second, key, "crew").Answer
		}
		time.Sleep(time.Second)
		f.Kill(first)
		f.Kill(third)
		time.Sleep(4 * time.Second)
		for key, answer := range keys {
			is.Equal(caller.Order(t.Context(), second, key, "crew").Answer, answer)
		}
	})
}

// TestLateAppend checks that an intent that reaches the log after its order was
// refused as not run neither runs nor blocks the key.
func TestLateAppend(t *testing.T) {
	inFleet(t, nil, func(t *testing.T, is *is.I, f *fleet.Fleet, caller *check.Caller) {
		f.Log.SetFault(fake.LogLate)
		key := check.NewKey()
		refused := caller.Order(t.Context(), first, key, "crew")
		is.Equal(refused.Refusal.Outcome, gypsum.OutcomeNotRun)
		f.Log.SetFault(0)
		time.Sleep(10 * time.Second)
		is.Equal(len(f.Ledger.Runs()), 0)
		is.True(caller.Order(t.Context(), second, key, "crew").Answer != "")
	})
}

// TestHistoryOfKeysLost checks that after the loss of a shard's records no old
// key runs again, and new keys do.
func TestHistoryOfKeysLost(t *testing.T) {
	tune := func(tuning *core.Tuning) { tuning.SnapshotInterval = 10 * time.Second }
	inFleet(t, tune, func(t *testing.T, is *is.I, f *fleet.Fleet, caller *check.Caller) {
		old := check.NewKey()
		is.True(caller.Order(t.Context(), first, old, "crew").Answer != "")
		for _, id := range f.Live() {
			f.Kill(id)
		}
		f.Log.Truncate(0)
		for _, id := range []gypsum.HostID{first, second, third, far} {
			f.Replace(t.Context(), id)
		}
		time.Sleep(40 * time.Second)
		live := f.Live()
		repeat := caller.Order(t.Context(), live[0], old, "crew")
		is.Equal(repeat.Refusal.Outcome, gypsum.OutcomeUnknown)
		is.Equal(f.Ledger.Runs()[string(old)], 1)
	})
}

// TestPoison checks that a request that crashes engines is refused for good
// after the limit, while others that run beside it are answered.
func TestPoison(t *testing.T) {
	inFleet(t, nil, func(t *testing.T, is *is.I, f *fleet.Fleet, caller *check.Caller) {
		crashes := func() int {
			sum := 0
			for _, engine := range f.Engines {
				sum += engine.Crashes()
			}
			return sum
		}
		for _, engine := range f.Engines {
			engine.Poison = "scuttle"
			engine.OnCrash = func() { time.AfterFunc(500*time.Millisecond, engine.Restart) }
		}
		var calls sync.WaitGroup
		for number := range 8 {
			calls.Go(func() {
				for turn := range 40 {
					via := f.Live()[(number+turn)%len(f.Live())]
					caller.Complete(t.Context(), via, fmt.Sprintf("innocent %d %d", number, turn), gypsum.RecoveryRestart)
				}
			})
		}
		for turn := range 10 {
			caller.Complete(t.Context(), f.Live()[turn%len(f.Live())], "scuttle the ship", gypsum.RecoveryRestart)
			time.Sleep(time.Second)
		}
		calls.Wait()
		for _, via := range f.Live() {
			result := caller.Complete(t.Context(), via, "scuttle the ship", gypsum.RecoveryRestart)
			is.Equal(result.Refusal.Reason, gypsum.ReasonPoison)
			is.True(result.Took < 50*time.Millisecond) // at once
		}
		t.Logf("crashes %d, innocent calls answered %d", crashes(), caller.Record.Answered("completion", time.Time{}))
		is.True(crashes() <= 4)
		is.Equal(caller.Record.Answered("completion", time.Time{}), 8*40) // the others are answered
	})
}

// TestRacingChanges checks that of changes with the same base exactly one wins.
func TestRacingChanges(t *testing.T) {
	inFleet(t, nil, func(t *testing.T, is *is.I, f *fleet.Fleet, _ *check.Caller) {
		base := f.Node(first).View().Config.Services[check.PlainService].Revision
		errs := make([]error, 4)
		var race sync.WaitGroup
		for number, via := range f.Live() {
			race.Go(func() {
				_, errs[number] = f.Change(t.Context(), via, &gypsum.Change{
					Kind: gypsum.ChangePutService, Name: string(check.PlainService), BaseRevision: base, Operator: string(via),
					Service: &gypsum.ServiceSpec{Name: check.PlainService, Kind: gypsum.KindPlain, DefaultTimeout: time.Second, MaxQueue: 10 + number, CrashLimit: 3},
				})
			})
		}
		race.Wait()
		won := 0
		for _, err := range errs {
			var conflict *config.ConflictError
			if err == nil {
				won++
			} else {
				is.True(errors.As(err, &conflict))
				is.True(conflict.Winner != "") // told what won
			}
		}
		is.Equal(won, 1)
	})
}

// TestRestartDuringLogOutage checks that a daemon that starts while the log is
// out learns the configuration from its peers, and one alone serves nothing.
func TestRestartDuringLogOutage(t *testing.T) {
	inFleet(t, nil, func(t *testing.T, is *is.I, f *fleet.Fleet, caller *check.Caller) {
		f.Log.SetFault(fake.LogOut)
		f.Kill(second)
		fresh := f.Replace(t.Context(), second)
		time.Sleep(8 * time.Second)
		is.NoErr(f.Node(fresh).Ready())
		is.True(caller.Complete(t.Context(), fresh, "a prompt", gypsum.RecoveryNone).Refusal == nil)
		for _, id := range f.Live() {
			f.Kill(id)
		}
		alone := f.Replace(t.Context(), first)
		time.Sleep(8 * time.Second)
		is.True(f.Node(alone).Ready() != nil)
		refused := caller.Complete(t.Context(), alone, "a prompt", gypsum.RecoveryNone)
		is.Equal(refused.Refusal.Reason, gypsum.ReasonNoConfiguration)
	})
}

// TestWeightsReachAllEngines checks that new weights are on all engines within
// the target's 19 s, although each engine fails a swap, and that an engine that
// ignores fencing numbers is repaired after an old holder's late order.
func TestWeightsReachAllEngines(t *testing.T) {
	inFleet(t, nil, func(t *testing.T, is *is.I, f *fleet.Fleet, _ *check.Caller) {
		for _, engine := range f.Engines {
			engine.FailSwaps(1)
			engine.IgnoreFence = true
		}
		f.Store.Publish(check.Model, 2)
		at := func(version gypsum.WeightVersion) bool {
			for _, engine := range f.Engines {
				if engine.Version() != version {
					return false
				}
			}
			return true
		}
		begin := time.Now()
		for !at(2) && time.Since(begin) < 19*time.Second {
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("weights on all engines after %s", time.Since(begin))
		is.True(at(2))
		for _, engine := range f.Engines {
			is.NoErr(engine.SendLoadOrder(t.Context(), gypsum.LoadOrder{FencingToken: -1, Model: check.Model, Version: 1}))
		}
		time.Sleep(19 * time.Second)
		is.True(at(2)) // repaired
	})
}

// TestFencedOrders freezes the holder of the orders while weights change and
// checks that no engine takes an order with an older number than it has seen.
func TestFencedOrders(t *testing.T) {
	inFleet(t, nil, func(_ *testing.T, is *is.I, f *fleet.Fleet, _ *check.Caller) {
		for version := gypsum.WeightVersion(2); version < 8; version++ {
			frozen := []gypsum.HostID{first, second}[version%2]
			f.Network.Freeze(frozen)
			f.Store.Publish(check.Model, version)
			time.Sleep(12 * time.Second)
			f.Network.Thaw(frozen)
			time.Sleep(12 * time.Second)
		}
		orders, highest := 0, gypsum.Offset(0)
		for _, engine := range f.Engines {
			newest := gypsum.Offset(-1)
			for _, order := range engine.Orders() {
				is.True(order.FencingToken >= newest)
				newest = order.FencingToken
				orders++
			}
			highest = max(highest, newest)
			is.Equal(engine.Version(), gypsum.WeightVersion(7))
		}
		is.True(orders >= 6*6)
		is.True(highest > 0) // the number has grown with the holder
	})
}

// TestTrainerRestarts checks that a restarted trainer, with a part of a step
// from its checkpoint, gets each missing slot exactly once.
func TestTrainerRestarts(t *testing.T) {
	inFleet(t, nil, func(t *testing.T, is *is.I, f *fleet.Fleet, _ *check.Caller) {
		pull := func(session gypsum.Incarnation, number int64, holds []gypsum.Slot) (*gypsum.PullResponse, error) {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			return f.Pull(ctx, f.Live()[int(number)%len(f.Live())], &gypsum.PullRequest{
				Plan: check.PlanName, Session: session, Number: number, Step: 3, Version: 1, Wait: 2 * time.Second, ReceivedSlots: holds,
			})
		}
		held := map[gypsum.Slot]bool{}
		slots := func() []gypsum.Slot {
			var list []gypsum.Slot
			for slot := range held {
				list = append(list, slot)
			}
			return list
		}
		for session := gypsum.Incarnation(1); session <= 3; session++ {
			for number := int64(1); number <= 30 && len(held) < 32; number++ {
				answer, err := pull(session, number, slots())
				if err != nil {
					continue
				}
				for _, sample := range answer.Samples {
					is.True(!held[sample.Slot])
					held[sample.Slot] = true
				}
				if session < 3 && len(held) > 8*int(session) {
					break
				}
			}
		}
		is.Equal(len(held), 32)
		_, err := pull(1, 99, nil) // a pull of the first start that comes late
		is.Equal(gypsum.AsRefusal(err).Reason, gypsum.ReasonStepPast)
	})
}

// TestRefusedAtOnce checks that orders are refused at once, as not run and with
// a time to come back, while the log hangs, once the hosts have noticed.
func TestRefusedAtOnce(t *testing.T) {
	inFleet(t, nil, func(t *testing.T, is *is.I, f *fleet.Fleet, caller *check.Caller) {
		f.Log.SetFault(fake.LogHang)
		time.Sleep(3 * time.Second)
		for turn := range 40 {
			result := caller.Order(t.Context(), f.Live()[turn%len(f.Live())], check.NewKey(), "crew")
			is.Equal(result.Refusal.Outcome, gypsum.OutcomeNotRun)
			is.True(result.Refusal.RetryAfter > 0)
			is.True(result.Took < 150*time.Millisecond) // two crossings of 50 ms
			time.Sleep(90 * time.Millisecond)
		}
	})
}

// TestStale checks that samples made ahead are not delivered once the trainer
// has moved on by more than the bound.
func TestStale(t *testing.T) {
	inFleet(t, nil, func(t *testing.T, is *is.I, f *fleet.Fleet, _ *check.Caller) {
		pull := func(number int64, step int, version gypsum.WeightVersion) *gypsum.PullResponse {
			answer, err := f.Pull(t.Context(), first, &gypsum.PullRequest{
				Plan: check.PlanName, Session: 1, Number: number, Step: step, Version: version, Wait: 2 * time.Second,
			})
			is.NoErr(err)
			return answer
		}
		is.True(len(pull(1, 0, 1).Samples) > 0)
		time.Sleep(2 * time.Second) // step 1 is made ahead, at version 1
		f.Store.Publish(check.Model, 3)
		// The trainer has jumped by two versions: what was made at 1 is too old.
		for number := int64(2); number < 8; number++ {
			for _, sample := range pull(number, 1, 3).Samples {
				is.True(sample.OldestVersion() >= 2)
			}
		}
	})
}

// TestMixedVersions changes weights in the midst of samples and checks that
// each segment names the version that made it.
func TestMixedVersions(t *testing.T) {
	inFleet(t, nil, func(t *testing.T, is *is.I, f *fleet.Fleet, _ *check.Caller) {
		mixed := 0
		for step := range 4 {
			changes := time.AfterFunc(100*time.Millisecond, func() {
				for _, engine := range f.Engines {
					engine.SetVersion(engine.Version() + 1)
				}
			})
			for number := int64(1); number <= 3; number++ {
				answer, err := f.Pull(t.Context(), first, &gypsum.PullRequest{
					Plan: check.PlanName, Session: 1, Number: int64(step)*10 + number, Step: step, Version: 1, Wait: 2 * time.Second,
				})
				is.NoErr(err)
				for _, sample := range answer.Samples {
					is.Equal(sample.Text, fake.Text(sample.Prompt, sample.Seed, sample.Segments))
					if len(sample.Segments) > 1 {
						mixed++
					}
				}
			}
			changes.Stop()
		}
		is.True(mixed > 0)
	})
}

// TestResumedElsewhere checks that a daemon that is handed an answer whose first
// tokens are known, as the next data centre is when engines break off or yield,
// goes on behind them, also when its own first engine breaks off.
func TestResumedElsewhere(t *testing.T) {
	inFleet(t, nil, func(t *testing.T, is *is.I, f *fleet.Fleet, _ *check.Caller) {
		const known = 8
		generation := &gypsum.Generation{ID: "resumed", Prompt: "crew", MaxTokens: 256, Seed: 3, ResumeTokens: known}
		for index := range known {
			generation.ResumeText += fake.Token(generation.Prompt, generation.Seed, 1, index)
		}
		crash := time.AfterFunc(200*time.Millisecond, func() {
			for _, engine := range f.Engines {
				if engine.Tokens() > 0 {
					engine.Crash()
				}
			}
		})
		defer crash.Stop()
		text, next := generation.ResumeText, known
		is.NoErr(f.Node(first).Run(t.Context(), &gypsum.Call{
			ID: "resumed", Service: check.ModelService, Class: gypsum.ClassTrainer, Stage: gypsum.StagePlace,
			Budget: callTimeout, Recovery: gypsum.RecoveryResume, Generation: generation,
		}, func(event *gypsum.Event) error {
			if event.Chunk != nil {
				is.Equal(event.Chunk.Index, next)
				next += event.Chunk.Tokens
				text += event.Chunk.Text
			}
			return nil
		}))
		is.Equal(next, fake.Length(generation.Prompt, generation.Seed, generation.MaxTokens))
		is.Equal(text, fake.Text(generation.Prompt, generation.Seed, []gypsum.Segment{{Version: 1, Tokens: next}}))
	})
}

// TestUnversioned checks that no sample is delivered whose engine reported no version.
func TestUnversioned(t *testing.T) {
	inFleet(t, nil, func(t *testing.T, is *is.I, f *fleet.Fleet, _ *check.Caller) {
		for _, engine := range f.Engines {
			engine.SetAnswer(fake.AnswerUnversioned)
		}
		answer, err := f.Pull(t.Context(), first, &gypsum.PullRequest{
			Plan: check.PlanName, Session: 1, Number: 1, Step: 0, Version: 1, Wait: 3 * time.Second,
		})
		is.NoErr(err)
		is.Equal(len(answer.Samples), 0)
	})
}

// TestRestartInAnotherDataCentre checks that an answer that is run again in
// another data centre keeps nothing of the attempt before, although the engines
// there have different weights.
func TestRestartInAnotherDataCentre(t *testing.T) {
	inFleet(t, nil, func(t *testing.T, is *is.I, f *fleet.Fleet, caller *check.Caller) {
		for id, engine := range f.Engines {
			if id != "chioggia-engine-1" && id != "chioggia-engine-2" {
				engine.SetLeaving(true)
			}
		}
		f.Engines["chioggia-engine-1"].SetAnswer(fake.AnswerCut)
		f.Engines["chioggia-engine-2"].SetVersion(2)
		time.Sleep(3 * time.Second)
		answered := 0
		for turn := range 12 {
			result := caller.Complete(t.Context(), first, fmt.Sprintf("prompt %d", turn), gypsum.RecoveryRestart)
			if result.Answer != "" {
				answered++
			}
			time.Sleep(time.Second)
		}
		is.True(answered >= 6)
		is.Equal(f.Node(first).Stats.Retries.Load(), int64(0)) // the restart is made there, once
	})
}

// TestSilentHost freezes the host that has handed orders to a plain service,
// while they run, and checks that nobody runs them again elsewhere.
func TestSilentHost(t *testing.T) {
	inFleet(t, nil, func(t *testing.T, is *is.I, f *fleet.Fleet, caller *check.Caller) {
		caller.Timeout = 10 * time.Second
		f.Plains["genova-plain-1"].SetLeaving(true)
		for _, plain := range f.Plains {
			plain.Time = 5 * time.Second
		}
		time.Sleep(3 * time.Second)
		var calls sync.WaitGroup
		for range 12 {
			calls.Go(func() { caller.Order(t.Context(), first, check.NewKey(), "crew") })
		}
		time.Sleep(500 * time.Millisecond)
		is.True(len(f.Ledger.Runs()) > 0) // some run already
		f.Network.Freeze(third)
		time.Sleep(6 * time.Second)
		f.Network.Thaw(third)
		calls.Wait()
		for key, runs := range f.Ledger.Runs() {
			if runs > 1 {
				t.Errorf("order %s ran %d times", key, runs)
			}
		}
	})
}

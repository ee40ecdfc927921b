package runner_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
)

// scoredDeployment starts a deployment with two daemons and a reward service with 3
// replicas of 6 slots.
func scoredDeployment(t *testing.T) *deployment {
	return newDeployment(t, newEngines(8), 0.8, 0.8)
}

// attemptsFromStart counts the attempts that generated a text from the beginning.
func (d *deployment) attemptsFromStart() int {
	count := 0
	for _, attempt := range d.engines.Attempts() {
		if attempt.AfterEvent == 0 {
			count++
		}
	}
	return count
}

// Every item is scored once, after its text is complete, and the replicas always keep a
// slot free for live requests.
func TestScoredBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := scoredDeployment(t)
		submitted := newScoredBatch("bat", itemLengths(72, 4)...)
		d.submitBatch(0, submitted)
		_, took := d.awaitResults(1, submitted, 10*time.Second)
		is.True(took < 6*time.Second)
		is.Equal(len(d.rewards.Calls()), 76)
		is.Equal(d.rewards.MaxInFlight(), 5)
		stats := &d.daemons[0].runner.Stats
		is.Equal(stats.RewardCalls.Load(), int64(76))
		is.Equal(stats.RewardResponses.Load(), int64(76))
	})
}

// A reward call that a replica refuses, breaks off, answers with an error or never answers
// is repeated elsewhere. No text is generated again and no item fails.
func TestRewardFaults(t *testing.T) {
	for _, fault := range []fake.RewardFault{fake.RewardFull, fake.RewardError, fake.RewardBroken, fake.RewardSilent} {
		t.Run(string(fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := scoredDeployment(t)
				d.rewards.SetFault("reward-1", fault)
				submitted := newScoredBatch("bat", itemLengths(40, 0)...)
				d.submitBatch(0, submitted)
				results, took := d.awaitResults(1, submitted, 10*time.Second)
				is.True(took < 4*time.Second)
				for _, result := range results {
					is.Equal(result.State, gypsum.ItemCompleted)
				}
				is.Equal(len(d.engines.Attempts()), 40)
			})
		})
	}
}

// While all replicas refuse or none is registered, items wait for their scores. None fails,
// and they are scored once a replica is available again.
func TestRewardServiceUnavailable(t *testing.T) {
	for _, tc := range []struct {
		name          string
		inject, clear func(*deployment)
	}{
		{"all_full", func(d *deployment) { d.setRewardFaults(fake.RewardFull) }, func(d *deployment) { d.setRewardFaults("") }},
		{"all_silent", func(d *deployment) { d.setRewardFaults(fake.RewardSilent) }, func(d *deployment) { d.setRewardFaults("") }},
		{"none_registered", func(d *deployment) { d.setRewardReplicas(gypsum.ReplicaDraining) }, func(d *deployment) { d.setRewardReplicas(gypsum.ReplicaReady) }},
		{"not_routed", func(d *deployment) { d.setRewardRoute(2, "other.example") }, func(d *deployment) { d.setRewardRoute(3, rewardHostName) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := scoredDeployment(t)
				tc.inject(d)
				submitted := newScoredBatch("bat", itemLengths(20, 0)...)
				d.submitBatch(0, submitted)
				time.Sleep(4 * time.Second)
				_, results, err := d.daemons[0].batches.ReadResults(t.Context(), submitted.ID, 0, 0)
				is.NoErr(err)
				is.Equal(len(results), 0)
				tc.clear(d)
				results, took := d.awaitResults(1, submitted, 20*time.Second)
				is.True(took < 7500*time.Millisecond)
				for _, result := range results {
					is.Equal(result.State, gypsum.ItemCompleted)
				}
				is.Equal(len(d.engines.Attempts()), 20)
			})
		})
	}
}

// setRewardFaults sets the fault of all reward replicas.
func (d *deployment) setRewardFaults(fault fake.RewardFault) {
	for _, replica := range d.rewards.Replicas() {
		d.rewards.SetFault(replica.ID, fault)
	}
}

// setRewardReplicas registers all reward replicas with a state.
func (d *deployment) setRewardReplicas(state gypsum.ReplicaState) {
	for _, daemon := range d.daemons {
		for _, replica := range d.rewards.Replicas() {
			registration := *replica
			registration.State = state
			daemon.registry.ApplyReplica(&registration)
		}
	}
}

// setRewardRoute applies a revision in which the route of reward calls has a host name.
func (d *deployment) setRewardRoute(revision gypsum.Revision, hostName string) {
	for _, daemon := range d.daemons {
		config := *daemon.registry.Current().Config
		config.Revision = revision
		config.Routes = append([]gypsum.Route(nil), config.Routes...)
		config.Routes[1].HostName = hostName
		daemon.registry.ApplyConfig(&config)
	}
}

// An item whose reward calls are all answered with server errors fails after the number of
// attempts that the routes allow, also if the holder changes in between. All others are
// completed.
func TestRewardServerErrors(t *testing.T) {
	for _, changeHolder := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := scoredDeployment(t)
			submitted := newScoredBatch("bat", itemLengths(8, 0)...)
			failing := submitted.Items[3].Scorer.ID
			d.rewards.ResponseStatus = func(id gypsum.RequestID) int {
				if id == failing {
					return http.StatusInternalServerError
				}
				return http.StatusOK
			}
			d.submitBatch(0, submitted)
			if changeHolder {
				for d.rewardCallCount(failing) < 2 {
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(250 * time.Millisecond) // the second response and its record
				d.daemons[0].killAndWait()
			}
			results, _ := d.awaitResults(1, submitted, 15*time.Second)
			for _, result := range results {
				is.Equal(result.State == gypsum.ItemErrored, result.Item == submitted.Items[3].ID)
			}
			// The route of the reward calls allows 4. A call in progress at the kill is
			// answered without being counted.
			count := d.rewardCallCount(failing)
			is.True(count == 4 || (changeHolder && count == 5))
		})
	}
}

// rewardCallCount returns how often a reward call was run.
func (d *deployment) rewardCallCount(id gypsum.RequestID) int {
	count := 0
	for _, call := range d.rewards.Calls() {
		if call.ID == id {
			count++
		}
	}
	return count
}

// A complete text that waits for its score survives the holder, whether that stops or is
// killed, and the loss of all daemons: it is scored and not generated again.
func TestCompleteTextSurvives(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(t *testing.T, d *deployment)
	}{
		{"holder_stops", func(t *testing.T, d *deployment) {
			d.daemons[0].runner.Stop(t.Context())
			d.daemons[0].killAndWait()
		}},
		{"holder_killed", func(_ *testing.T, d *deployment) { d.daemons[0].killAndWait() }},
		{"all_killed", func(_ *testing.T, d *deployment) {
			d.daemons[0].killAndWait()
			d.daemons[1].killAndWait()
			d.store.ExpireHistory()
			time.Sleep(500 * time.Millisecond)
			d.daemons[1] = d.startDaemon("host-3", 0.8)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := scoredDeployment(t)
				d.setRewardFaults(fake.RewardSilent)
				submitted := newScoredBatch("bat", itemLengths(20, 0)...)
				d.submitBatch(0, submitted)
				time.Sleep(2 * time.Second)
				is.Equal(d.attemptsFromStart(), 20)
				d.setRewardFaults("")
				tc.end(t, d)
				d.awaitResults(1, submitted, 15*time.Second)
				is.Equal(len(d.engines.Attempts()), 20)
			})
		})
	}
}

// A holder that stops stores its complete texts even right after their last events, before
// their checkpoints are due.
func TestStoppingHolderKeepsCompleteTexts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := scoredDeployment(t)
		d.setRewardFaults(fake.RewardSilent)
		submitted := newScoredBatch("bat", itemLengths(20, 0)...)
		d.submitBatch(0, submitted)
		for i := range submitted.Items {
			for d.engines.CompletedAt(submitted.Items[i].ID).IsZero() {
				time.Sleep(time.Millisecond)
			}
		}
		time.Sleep(10 * time.Millisecond)
		d.daemons[0].runner.Stop(t.Context())
		d.daemons[0].killAndWait()
		d.setRewardFaults("")
		d.awaitResults(1, submitted, 15*time.Second)
		is.Equal(len(d.engines.Attempts()), 20)
	})
}

// Once a batch has ended, no reward call of its items is sent any more, and those in progress
// are cancelled. Its complete texts serve a later batch with the same items.
func TestEndedBatchIsNotScored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := scoredDeployment(t)
		d.setRewardFaults(fake.RewardSilent)
		submitted := newScoredBatch("bat", itemLengths(20, 0)...)
		d.submitBatch(0, submitted)
		time.Sleep(time.Second)
		is.True(d.daemons[0].runner.Relay.InFlightCount() > 0)
		is.NoErr(d.daemons[1].batches.EndBatch(t.Context(), submitted.ID))
		time.Sleep(200 * time.Millisecond)
		is.Equal(d.daemons[0].runner.Relay.InFlightCount(), 0)
		d.setRewardFaults("")
		calls := len(d.rewards.Calls())
		time.Sleep(3 * time.Second)
		is.Equal(len(d.rewards.Calls()), calls)
		next := newScoredBatch("nex")
		for i := range submitted.Items {
			item := submitted.Items[i]
			item.Scorer = &gypsum.Scorer{ID: "again-" + item.Scorer.ID, HostName: rewardHostName, Path: item.Scorer.Path}
			next.Items = append(next.Items, item)
		}
		d.submitBatch(0, next)
		d.awaitResults(0, next, 10*time.Second)
		is.Equal(len(d.engines.Attempts()), 20)
	})
}

// An item whose reward call matches no route fails when its batch expires, not before.
func TestUnroutedRewardCallExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := scoredDeployment(t)
		submitted := newScoredBatch("bat", 10)
		submitted.Items[0].Scorer.HostName = "unknown.example"
		d.submitBatch(0, submitted)
		results, took := d.awaitResults(0, submitted, 50*time.Second)
		is.Equal(results[0].State, gypsum.ItemErrored)
		is.True(took >= submitted.ExpiresAt.Sub(submitted.SubmittedAt))
		is.Equal(len(d.rewards.Calls()), 0)
	})
}

// A holder of an older version, whose claim does not say that it makes reward calls or passes on
// accounts, is replaced as soon as a batch needs that, and not before.
func TestOlderHolderIsReplaced(t *testing.T) {
	withAccount := newBatch("bat", 1, itemLengths(4, 0)...)
	withAccount.Account = "hule930"
	for name, submitted := range map[string]*gypsum.Batch{"reward calls": newScoredBatch("bat", itemLengths(4, 0)...), "account": withAccount} {
		t.Run(name, func(t *testing.T) { testOlderHolderIsReplaced(t, submitted) })
	}
}

func testOlderHolderIsReplaced(t *testing.T, submitted *gypsum.Batch) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := scoredDeployment(t)
		older := d.startDaemon("older", 0.8)
		older.runner.Stop(t.Context())
		claim, err := cbor.Marshal(map[int]any{1: testService, 2: "older", 3: older.batches.Incarnation, 4: 1})
		is.NoErr(err)
		_, err = older.batches.StateWriter.Append(t.Context(), gypsum.KeyedRecord{Key: "c/" + string(testService) + "/older", Value: claim})
		is.NoErr(err)
		heartbeats, stop := context.WithCancel(t.Context())
		defer stop()
		older.startGoroutine(heartbeats, func(ctx context.Context) error {
			for number := int64(1); ctx.Err() == nil; number++ {
				_, _ = older.batches.RecordHeartbeat(ctx, number)
				time.Sleep(200 * time.Millisecond)
			}
			return nil
		})
		unscored := newBatch("old", 1, itemLengths(4, 0)...)
		d.submitBatch(0, unscored)
		time.Sleep(2 * time.Second)
		is.Equal(d.holderKnownTo(0), gypsum.HostID("older"))
		now := time.Now()
		submitted.SubmittedAt, submitted.DueAt, submitted.ExpiresAt = now, now.Add(7500*time.Millisecond), now.Add(40*time.Second)
		d.submitBatch(0, submitted)
		d.awaitResults(0, submitted, 5*time.Second)
		is.Equal(d.holderKnownTo(0), gypsum.HostID("host-1"))
		stop()
	})
}

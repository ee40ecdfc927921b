package fleet_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/check"
	"github.com/gypsumhook/gypsum/fleet"
)

func startFleet(t *testing.T, layout fleet.Layout) *fleet.Fleet {
	t.Helper()
	f := fleet.New(layout)
	if err := f.Start(t.Context()); err != nil {
		f.Close()
		t.Fatalf("start fleet: %v", err)
	}
	return f
}

// TestFleetWithoutFaults checks that in a fleet without faults all calls succeed, a retry
// gets the first response and rollout steps complete.
func TestFleetWithoutFaults(t *testing.T) {
	for name, layout := range map[string]fleet.Layout{"small": fleet.SmallLayout(), "approdo": fleet.ApprodoLayout(), "authority": fleet.AuthorityLayout()} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := startFleet(t, layout)
				defer f.Close()
				recorder := &check.Recorder{}
				caller := f.NewCaller(recorder, 5*time.Second)
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				trainerDone := make(chan struct{})
				go func() {
					defer close(trainerDone)
					f.NewTrainer(recorder, time.Second).Run(ctx)
				}()
				for call := 0; ctx.Err() == nil; call++ {
					entryHost := f.LiveDaemons()[call%len(f.LiveDaemons())]
					key := check.NewKey()
					order := caller.PostOrder(t.Context(), entryHost, key, "crew")
					is.True(order.Refusal == nil) // order succeeded
					retry := caller.PostOrder(t.Context(), f.LiveDaemons()[0], key, "crew")
					is.Equal(retry.Response, order.Response) // retry gets the first response
					completion := caller.RequestCompletion(t.Context(), entryHost, fmt.Sprintf("prompt %d", call), gypsum.RecoveryNone)
					is.True(completion.Refusal == nil) // completion succeeded
				}
				<-trainerDone
				is.Equal(caller.CheckExecutions(f.Executions.Counts()), []string{})
				samples, steps := recorder.DeliveredCounts()
				t.Logf("steps %d, samples %d, trainer idle time %s, calls %d, log appends %d", steps, samples, recorder.TrainerIdleTime(), len(recorder.Results()), f.Log.AppendCount())
				is.True(steps >= 10)
			})
		})
	}
}

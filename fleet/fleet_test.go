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

// start starts a fleet for a test.
func start(t *testing.T, layout fleet.Layout) *fleet.Fleet {
	t.Helper()
	f := fleet.New(layout)
	if err := f.Start(t.Context()); err != nil {
		f.Close()
		t.Fatalf("start fleet: %v", err)
	}
	return f
}

// TestCalm checks that a fleet without faults answers all calls.
func TestCalm(t *testing.T) {
	for name, layout := range map[string]fleet.Layout{"small": fleet.Small(), "approdo": fleet.Approdo(), "authority": fleet.Authority()} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := start(t, layout)
				defer f.Close()
				record := &check.Record{}
				caller := f.NewCaller(record, 5*time.Second)
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				trained := make(chan struct{})
				go func() {
					defer close(trained)
					f.NewTrainer(record, time.Second).Run(ctx)
				}()
				for call := 0; ctx.Err() == nil; call++ {
					via := f.Live()[call%len(f.Live())]
					key := check.NewKey()
					order := caller.Order(t.Context(), via, key, "crew")
					is.True(order.Refusal == nil) // order answered
					again := caller.Order(t.Context(), f.Live()[0], key, "crew")
					is.Equal(again.Answer, order.Answer) // repeat gets the first answer
					completion := caller.Complete(t.Context(), via, fmt.Sprintf("prompt %d", call), gypsum.RecoveryNone)
					is.True(completion.Refusal == nil) // completion answered
				}
				<-trained
				is.Equal(caller.Check(f.Ledger.Runs()), []string{})
				samples, steps := record.Samples()
				t.Logf("steps %d samples %d idle %s calls %d appends %d", steps, samples, record.Idle(), len(record.Results()), f.Log.Appends())
				is.True(steps >= 10)
			})
		})
	}
}

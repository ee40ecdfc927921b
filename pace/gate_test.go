package pace_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/pace"
)

// newGate returns a gate of one call per second whose first calls are used up.
func newGate(t *testing.T) *pace.Gate {
	gate := pace.NewGate(pace.Use{Allowance: 100, Need: 1000})
	gate.SetDaemons(100)
	for range 4 {
		if err := gate.Wait(t.Context(), pace.ClassRest, 0); err != nil {
			t.Fatal(err)
		}
	}
	return gate
}

// TestGatePriorities guards against claims and reads of the configuration that wait behind other
// calls, and against calls that never get their turn.
func TestGatePriorities(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gate := newGate(t)
		var mu sync.Mutex
		var order []pace.Class
		ended := make(chan error, 10)
		for _, class := range []pace.Class{pace.ClassRest, pace.ClassBatches, pace.ClassClaims, pace.ClassConfig, pace.ClassRegistrations} {
			go func() {
				err := gate.Wait(t.Context(), class, time.Minute)
				mu.Lock()
				defer mu.Unlock()
				order = append(order, class)
				ended <- err
			}()
		}
		for range 5 {
			is.NoErr(<-ended)
		}
		is.True(slices.IsSorted(order))
		// A call of the lowest class is made although claims keep coming.
		go func() { ended <- gate.Wait(t.Context(), pace.ClassRest, time.Minute) }()
		ctx, stop := context.WithCancel(t.Context())
		claims := make(chan error, 1)
		go func() {
			for ctx.Err() == nil {
				go func() { _ = gate.Wait(ctx, pace.ClassClaims, time.Minute) }()
				time.Sleep(time.Second)
			}
			claims <- ctx.Err()
		}()
		start := time.Now()
		is.NoErr(<-ended)
		is.True(time.Since(start) < 5*time.Second)
		stop()
		<-claims
	})
}

// TestExpectedDaemons guards against a slow start of a small deployment whose batch state takes many
// calls to read, and against the small rate of an equal share at the start of a large one.
func TestExpectedDaemons(t *testing.T) {
	is := is.New(t)
	use := pace.Use{Allowance: 2000, Need: 45}
	small, large := pace.NewGate(use), pace.NewGate(use)
	small.ExpectDaemons(12)
	large.ExpectDaemons(300)
	is.Equal(small.Stats().Rate, 500.0)
	is.Equal(large.Stats().Rate, 20.0)
	is.True(large.Ample()) // until their records have been read
	large.SetDaemons(300)
	is.True(!large.Ample())
}

// TestGateGivesUp guards against callers that wait longer than they can, and against an error that
// would be taken for a lost path.
func TestGateGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gate := newGate(t)
		start := time.Now()
		err := gate.Wait(t.Context(), pace.ClassClaims, 200*time.Millisecond)
		is.True(errors.Is(err, gypsum.ErrStoreRateLimited))
		is.True(!errors.Is(err, gypsum.ErrStoreRefused))
		is.Equal(time.Since(start), 200*time.Millisecond)
		is.Equal(gate.Stats().Expired, int64(1))
		is.NoErr(gate.Wait(t.Context(), pace.ClassClaims, time.Second)) // the call that was given up took none
		var none *pace.Gate
		is.NoErr(none.Wait(t.Context(), pace.ClassRest, 0))
		none.Report(nil)
		is.True(none.Ample())
	})
}

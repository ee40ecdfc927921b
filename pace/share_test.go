package pace_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum/pace"
)

// fixed returns a source of one number.
func fixed(value float64) func() float64 { return func() float64 { return value } }

// TestStartsFromEqualShare guards against a start above what all daemons can have together, and
// against pacing a small deployment, whose allowance is ample.
func TestStartsFromEqualShare(t *testing.T) {
	is := is.New(t)
	use := pace.Use{Allowance: 2000, Need: 45}
	large := pace.NewShare(use, fixed(0.5), 0)
	is.Equal(large.Rate(), 20.0) // before the number of daemons is known
	large.SetDaemons(300, 0)
	is.True(!large.Ample())
	is.True(math.Abs(large.Rate()-2000.0/300) < 1e-9)
	small := pace.NewShare(use, fixed(0.5), 0)
	small.SetDaemons(12, 0)
	is.True(small.Ample())
	is.Equal(small.Rate(), 500.0)
	writes := pace.NewShare(pace.Use{Allowance: 800, Need: 10, Users: 16}, fixed(0.5), 0)
	writes.SetDaemons(300, 0)
	is.Equal(writes.Rate(), 50.0) // few daemons write at the same time
}

// TestDecreasesOncePerRefusal guards against a collapse of the rate when several calls in progress
// are refused together, and against a rate of almost nothing after many refusals.
func TestDecreasesOncePerRefusal(t *testing.T) {
	is := is.New(t)
	share := pace.NewShare(pace.Use{Allowance: 2000, Need: 45}, fixed(0.5), 0)
	share.SetDaemons(100, 0)
	for range 5 {
		share.Limited(time.Second)
	}
	is.True(math.Abs(share.Rate()-0.6*20) < 1e-9)
	is.True(share.Delay(time.Second) > 50*time.Millisecond) // no call at once
	for i := range 20 {
		share.Limited(time.Duration(2+i) * time.Second)
	}
	is.True(math.Abs(share.Rate()-0.4*20) < 1e-9)
}

// TestIncreasesOnlyWhileCallsWait guards against a rate that grows without demand, and would let a
// storm of calls pass after an outage.
func TestIncreasesOnlyWhileCallsWait(t *testing.T) {
	is := is.New(t)
	share := pace.NewShare(pace.Use{Allowance: 2000, Need: 45}, fixed(0.5), 0)
	share.SetDaemons(200, 0)
	for i := range 200 {
		share.Succeeded(false, time.Duration(i)*50*time.Millisecond)
	}
	is.Equal(share.Rate(), 10.0)
	for i := range 200 {
		share.Succeeded(true, 10*time.Second+time.Duration(i)*50*time.Millisecond)
	}
	is.True(share.Rate() > 20)
	for i := range 100000 {
		share.Succeeded(true, 20*time.Second+time.Duration(i)*50*time.Millisecond)
	}
	is.Equal(share.Rate(), 500.0) // a quarter of the allowance at most
	for i := range 100 {
		share.Failed(6000*time.Second + time.Duration(i)*50*time.Millisecond)
	}
	is.Equal(share.Rate(), 8.0) // in an outage
}

// TestPacesCalls guards against more calls than the rate allows.
func TestPacesCalls(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	share := pace.NewShare(pace.Use{Allowance: 2000, Need: 45}, random.Float64, 0)
	share.SetDaemons(200, 0)
	calls := 0
	for now := time.Duration(0); now < 10*time.Second; {
		if delay := share.Delay(now); delay > 0 {
			now += delay
			continue
		}
		share.Take(now)
		calls++
	}
	is.True(calls >= 100 && calls <= 105) // 10 a second, and the first calls at once
}

package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSteadyAdvances guards against a clock in another unit or one that stands still.
func TestSteadyAdvances(t *testing.T) {
	is := is.New(t)
	before, start := Steady(), time.Now()
	time.Sleep(20 * time.Millisecond)
	elapsed, expected := Steady()-before, time.Since(start)
	is.True(before > 0)
	is.True((elapsed - expected).Abs() < 10*time.Millisecond)
}

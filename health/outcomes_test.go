package health_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum/health"
)

// What is held against a backend server halves with time, and falls with each success.
func TestOutcomes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	var outcomes health.Outcomes
	is.Equal(outcomes.Failing(now), 0.0)
	outcomes.Failed(now)
	first := outcomes.Failing(now)
	outcomes.Failed(now)
	is.True(outcomes.Failing(now) > first)
	is.True(outcomes.Failing(now.Add(5*time.Second)) < 0.51*outcomes.Failing(now))
	is.True(outcomes.Failing(now.Add(time.Minute)) < 0.001)
	before := outcomes.Failing(now)
	outcomes.Succeeded(now)
	is.True(outcomes.Failing(now) < before)
}

package health_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum/health"
)

// The estimated failure rate rises with each failure, falls with each success and halves
// every 5 s without results.
func TestFailureEstimator(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	var estimator health.FailureEstimator
	is.Equal(estimator.FailureRate(now), 0.0)
	estimator.RecordFailure(now)
	first := estimator.FailureRate(now)
	estimator.RecordFailure(now)
	is.True(estimator.FailureRate(now) > first)
	is.True(estimator.FailureRate(now.Add(5*time.Second)) < 0.51*estimator.FailureRate(now))
	is.True(estimator.FailureRate(now.Add(time.Minute)) < 0.001)
	before := estimator.FailureRate(now)
	estimator.RecordSuccess(now)
	is.True(estimator.FailureRate(now) < before)
}

package fake_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
)

// TestCrashAfterExecutionIsNotNotSent guards against a stand-in that reports a request as not sent
// although it has executed it: the process crashes while it is frozen, or at the moment at which
// the request ends.
func TestCrashAfterExecutionIsNotNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		executions := fake.NewExecutionCounter()
		service := fake.NewPlainService(executions, 10*time.Millisecond)
		done := make(chan error, 1)
		go func() {
			_, err := service.Do(t.Context(), &gypsum.PlainRequest{ID: "r"})
			done <- err
		}()
		time.Sleep(5 * time.Millisecond)
		service.Freeze()
		time.Sleep(10 * time.Millisecond)
		service.Crash()
		service.Unfreeze()
		err := <-done
		is.True(err != nil && !errors.Is(err, gypsum.ErrNotSent))
		is.Equal(executions.Counts()["r"], 1)
	})
}

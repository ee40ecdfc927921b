package queue_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// crashingBackend is a BackendRunner that crashes a while after the start of each call.
type crashingBackend struct{}

// Run implements queue.BackendRunner.
func (crashingBackend) Run(context.Context, *gypsum.Call, gypsum.Sink) error {
	time.Sleep(10 * time.Millisecond)
	return errors.New("connection reset")
}

// Crashed implements queue.BackendRunner.
func (crashingBackend) Crashed(context.Context, time.Time) bool { return true }

// TestCrashWithEqualCallsInFlight guards against one crash of a backend server that counts once for
// each equal call that it ran.
func TestCrashWithEqualCallsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q, _ := newQueue(8, 100)
		var crashes atomic.Int64
		q.Runner, q.OnCrash = crashingBackend{}, func(gypsum.Fingerprint) []gypsum.CrashCount {
			crashes.Add(1)
			return nil
		}
		run := func(count int, fingerprint gypsum.Fingerprint) {
			var calls sync.WaitGroup
			for range count {
				calls.Go(func() {
					call := newCall(gypsum.ClassLive, "tenant", 1, time.Second)
					call.Fingerprint = fingerprint
					runCall(t, q, call)
				})
			}
			calls.Wait()
		}
		run(4, 7)
		is.Equal(crashes.Load(), int64(1))
		time.Sleep(time.Second)
		run(4, 7) // the next crash
		is.Equal(crashes.Load(), int64(2))
		time.Sleep(time.Second)
		run(1, 8) // another request
		is.Equal(crashes.Load(), int64(3))
	})
}

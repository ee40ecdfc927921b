package queue_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/queue"
)

// slowBackend is a BackendRunner that takes 1 ms for each requested token.
type slowBackend struct {
	mu    sync.Mutex
	order []string
}

// Run implements queue.BackendRunner.
func (s *slowBackend) Run(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	s.mu.Lock()
	s.order = append(s.order, call.Tenant)
	s.mu.Unlock()
	generation := call.Generation
	for index := generation.ResumeTokens; index < generation.MaxTokens; index++ {
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := sink(&gypsum.Event{Chunk: &gypsum.Chunk{Index: index, Tokens: 1}}); err != nil {
			return err
		}
	}
	return nil
}

// Crashed implements queue.BackendRunner.
func (s *slowBackend) Crashed(context.Context, time.Time) bool { return false }

// startedCalls returns the tenants of the calls in the order in which they started.
func (s *slowBackend) startedCalls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.order...)
}

// newQueue returns a queue and its backend runner.
func newQueue(slots, limit int) (*queue.Queue, *slowBackend) {
	backend := &slowBackend{}
	q := &queue.Queue{
		Backend: "engine", Calls: queue.NewPriorityQueue(), Admission: queue.NewDeadlineAdmission(), Runner: backend, MaxQueue: limit,
		Logger:     slog.New(slog.NewTextHandler(io.Discard, nil)),
		Background: func(task func()) { go task() },
		OnCrash:    func(gypsum.Fingerprint) []gypsum.CrashCount { return nil },
	}
	q.SetSlots(slots)
	return q, backend
}

// newCall returns a call that has used up its redirects.
func newCall(class gypsum.Class, tenant string, tokens int, budget time.Duration) *gypsum.Call {
	return &gypsum.Call{
		ID: gypsum.RequestID(tenant), Class: class, Tenant: tenant, Budget: budget, Redirects: gypsum.MaxRedirects,
		Generation: &gypsum.Generation{MaxTokens: tokens}, Recovery: gypsum.RecoveryResume,
	}
}

// runCall runs a call and returns its refusal, or nil on success.
func runCall(t *testing.T, q *queue.Queue, c *gypsum.Call) *gypsum.Refusal {
	t.Helper()
	err := q.Run(t.Context(), c, func(*gypsum.Event) error { return nil })
	if err == nil {
		return nil
	}
	return gypsum.AsRefusal(err)
}

// TestShares checks that trainers' plans get slots in proportion to their weights.
func TestShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q, backend := newQueue(1, 1000)
		is.True(runCall(t, q, newCall(gypsum.ClassTrainer, "warm", 10, time.Hour)) == nil)
		var calls sync.WaitGroup
		calls.Go(func() { runCall(t, q, newCall(gypsum.ClassTrainer, "first", 10, time.Hour)) })
		synctest.Wait()
		for range 40 {
			for tenant, weight := range map[string]int{"one": 1, "three": 3} {
				c := newCall(gypsum.ClassTrainer, tenant, 10, time.Hour)
				c.Weight = weight
				calls.Go(func() { runCall(t, q, c) })
			}
		}
		calls.Wait()
		counts := map[string]int{}
		for _, tenant := range backend.startedCalls()[2:42] {
			counts[tenant]++
		}
		is.True(counts["three"] >= 28 && counts["three"] <= 32) // about three of four slots
	})
}

// TestLiveFirst checks that live calls are served before trainers' calls, and by
// earliest deadline.
func TestLiveFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q, backend := newQueue(1, 1000)
		is.True(runCall(t, q, newCall(gypsum.ClassLive, "warm", 10, time.Minute)) == nil)
		var calls sync.WaitGroup
		start := func(c *gypsum.Call) {
			calls.Go(func() { runCall(t, q, c) })
			synctest.Wait()
		}
		start(newCall(gypsum.ClassLive, "first", 10, time.Minute))
		start(newCall(gypsum.ClassTrainer, "trainer", 10, time.Minute))
		start(newCall(gypsum.ClassLive, "late", 10, 50*time.Second))
		start(newCall(gypsum.ClassLive, "near", 10, 20*time.Second))
		calls.Wait()
		is.Equal(backend.startedCalls(), []string{"warm", "first", "near", "late", "trainer"})
	})
}

// TestRefusedAtArrival checks that a call whose deadline cannot be met is refused
// immediately, with outcome not_run and a retry delay.
func TestRefusedAtArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q, _ := newQueue(1, 1000)
		for range 20 {
			is.True(runCall(t, q, newCall(gypsum.ClassLive, "warm", 100, time.Second)) == nil)
		}
		var calls sync.WaitGroup
		for n := range 5 {
			calls.Go(func() { runCall(t, q, newCall(gypsum.ClassLive, fmt.Sprint(n), 100, 10*time.Second)) })
		}
		synctest.Wait()
		startedAt := time.Now()
		refusal := runCall(t, q, newCall(gypsum.ClassLive, "hurried", 100, 150*time.Millisecond))
		is.True(refusal != nil)
		is.Equal(refusal.Outcome, gypsum.OutcomeNotRun)
		is.Equal(refusal.Reason, gypsum.ReasonOverloaded)
		is.True(refusal.RetryAfter > 0)
		is.Equal(time.Since(startedAt), time.Duration(0)) // immediately
		calls.Wait()
	})
}

// TestTenantBound checks that one caller cannot fill the queue.
func TestTenantBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q, _ := newQueue(1, 20)
		is.True(runCall(t, q, newCall(gypsum.ClassLive, "warm", 10, time.Minute)) == nil)
		var calls sync.WaitGroup
		for range 30 {
			calls.Go(func() { runCall(t, q, newCall(gypsum.ClassLive, "greedy", 10, time.Minute)) })
		}
		synctest.Wait()
		is.True(runCall(t, q, newCall(gypsum.ClassLive, "greedy", 10, time.Minute)) != nil)
		is.True(runCall(t, q, newCall(gypsum.ClassLive, "modest", 10, time.Minute)) == nil)
		calls.Wait()
	})
}

// TestPreempt checks that a live call preempts a long call of a trainer, which is
// refused with the reason preempted.
func TestPreempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q, _ := newQueue(1, 20)
		is.True(runCall(t, q, newCall(gypsum.ClassTrainer, "warm", 10000, time.Hour)) == nil)
		preempted := make(chan *gypsum.Refusal, 1)
		go func() { preempted <- runCall(t, q, newCall(gypsum.ClassTrainer, "trainer", 10000, time.Hour)) }()
		synctest.Wait()
		startedAt := time.Now()
		is.True(runCall(t, q, newCall(gypsum.ClassLive, "live", 10, time.Second)) == nil)
		is.True(time.Since(startedAt) < 20*time.Millisecond)
		is.Equal((<-preempted).Reason, gypsum.ReasonPreempted)
	})
}

// TestClosedQueue checks that a closed queue redirects waiting calls and lets running calls
// finish.
func TestClosedQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q, _ := newQueue(1, 20)
		results := make(chan *gypsum.Refusal, 2)
		for _, tenant := range []string{"runs", "waits"} {
			go func() { results <- runCall(t, q, newCall(gypsum.ClassLive, tenant, 100, time.Minute)) }()
			synctest.Wait()
		}
		q.Close(gypsum.ReasonNoBackend)
		moved := <-results
		is.True(moved.Misrouted && moved.Outcome == gypsum.OutcomeNotRun)
		is.True(<-results == nil)
	})
}

// TestCancelledCall checks that a call cancelled while it waits is not run.
func TestCancelledCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q, backend := newQueue(1, 20)
		done := make(chan struct{})
		go func() {
			defer close(done)
			runCall(t, q, newCall(gypsum.ClassLive, "runs", 100, time.Minute))
		}()
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(10*time.Millisecond, cancel)
		err := q.Run(ctx, newCall(gypsum.ClassLive, "gives up", 10, time.Minute), func(*gypsum.Event) error { return nil })
		var refusal *gypsum.Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Outcome, gypsum.OutcomeNotRun)
		<-done
		is.Equal(backend.startedCalls(), []string{"runs"})
	})
}

package access_test

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/access"
	"github.com/gypsumhook/gypsum/state"
)

// TestConfirmer checks that requests share reads, that none is decided by a read that began before it arrived, and
// that none waits while reads fail. The load is 2,000 requests/s for 3 s, with a store that responds after 60 ms and
// does not respond in the second second.
func TestConfirmer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			requestPause = 500 * time.Microsecond
			readTime     = 60 * time.Millisecond
			maxWait      = 420 * time.Millisecond
			// maxReads is the number of reads in 3 s with 200 ms between two, and one more.
			maxReads = 16
			// recovery is the time of a read that began before the store responded again, and the pause after it.
			recovery = 650 * time.Millisecond
		)
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		registry := state.NewRegistry(slog.New(slog.DiscardHandler))
		registry.ApplyConfig(&gypsum.RoutingConfig{Revision: 1})
		startedAt := time.Now()
		confirmer := &access.Confirmer{Registry: registry, CatchUp: func(ctx context.Context) (time.Duration, error) {
			at := time.Since(startedAt)
			if at > time.Second && at < 2*time.Second {
				<-ctx.Done()
				return 0, ctx.Err()
			}
			time.Sleep(readTime)
			return at, nil
		}}
		var wg sync.WaitGroup
		wg.Go(func() { _ = confirmer.Run(ctx) })
		var confirmed, unconfirmed, atOnce atomic.Int64
		var requests sync.WaitGroup
		for time.Since(startedAt) < 3*time.Second {
			requests.Go(func() {
				arrivedAt := time.Since(startedAt)
				err := confirmer.Await(t.Context())
				waited := time.Since(startedAt) - arrivedAt
				if waited > maxWait {
					t.Errorf("a request waited for %v", waited)
				}
				_, at, known := registry.ConfirmedConfig()
				isConfirmed := known && at >= arrivedAt
				switch {
				case isConfirmed:
					confirmed.Add(1)
				case waited == 0:
					atOnce.Add(1)
					fallthrough
				default:
					unconfirmed.Add(1)
				}
				if !isConfirmed && arrivedAt > 2*time.Second+recovery {
					t.Errorf("a request was not confirmed %v after the start: %v", arrivedAt, err)
				}
			})
			time.Sleep(requestPause)
		}
		requests.Wait()
		stop()
		wg.Wait()
		t.Logf("%d requests confirmed, %d not, %d of them at once, with %d reads", confirmed.Load(), unconfirmed.Load(), atOnce.Load(), confirmer.Stats.Reads.Load())
		is.True(confirmed.Load() > 3000)
		is.True(atOnce.Load() > 500)
		is.True(confirmer.Stats.Reads.Load() <= maxReads)
		is.True(confirmer.Stats.Failed.Load() > 0)
	})
}

// TestConfirmNoAccounts checks what a request gets that may run only without accounts.
func TestConfirmNoAccounts(t *testing.T) {
	for name, row := range map[string]struct {
		learned *gypsum.RoutingConfig
		err     error
		isValid bool
	}{
		"none":          {nil, nil, true},
		"new ones":      {newConfig(2, "a", key), nil, false},
		"not confirmed": {nil, errors.New("no response"), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			registry := state.NewRegistry(slog.New(slog.DiscardHandler))
			registry.ApplyConfig(&gypsum.RoutingConfig{Revision: 1})
			checker := &access.Checker{
				Registry: registry, Clock: func() time.Duration { return time.Hour }, StoreDowntime: func() time.Duration { return 0 },
				Confirmer: &access.Confirmer{Registry: registry, CatchUp: func(context.Context) (time.Duration, error) {
					if row.learned != nil {
						registry.ApplyConfig(row.learned)
					}
					return time.Hour, row.err
				}},
			}
			done := make(chan error)
			go func() { done <- checker.Confirmer.Run(ctx) }()
			refusal := checker.ConfirmNoAccounts(ctx)
			is.Equal(refusal == nil, row.isValid)
			if refusal != nil {
				is.Equal(refusal.Status, 503)
				is.Equal(refusal.Reason, gypsum.ReasonKeysOutdated)
			}
			stop()
			<-done
		})
	}
}

package proxy_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/store"
)

// TestRateLimitIsNoOutage guards against a storm of calls when all daemons together exceed the
// rate of the store: a refused call was made again through other daemons, with probes of the
// path, which multiplied the calls.
func TestRateLimitIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const daemons, allowance = 40, 200
		names := make([]string, daemons)
		for i := range names {
			names[i] = fmt.Sprintf("%c%02d", 'a'+i%4, i)
		}
		n := newNetwork(t, names...)
		n.store.Latency = 4 * time.Millisecond
		limited := &fake.LimitedStore{KeyedStore: n.store, ReadsPerSecond: allowance}
		var followers []*store.Follower
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, daemons)
		for _, name := range names {
			n.paths[name].KeyedStore = limited
			follower := &store.Follower{
				Store: n.daemons[name], Topic: topic, MinReadInterval: 40 * time.Millisecond, Handle: func(store.Update) {},
				Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
			}
			followers = append(followers, follower)
			go func() { ended <- follower.Run(ctx) }()
		}
		const seconds = 5
		for range seconds * 50 {
			n.store.AppendDirectly(topic, gypsum.KeyedRecord{Key: "k", Value: []byte("v")})
			time.Sleep(20 * time.Millisecond)
		}
		var proxied int64
		unavailable, lost := 0, 0
		for i, name := range names {
			proxied += n.daemons[name].ProxiedCalls()
			if n.daemons[name].DirectUnavailable() {
				lost++
			}
			if _, failed := followers[i].LastResponse(); failed {
				unavailable++
			}
		}
		stop()
		for range daemons {
			<-ended
		}
		calls, rejected := limited.ReadCounts()
		t.Logf("%d reads in %d s, %d of them beyond the limit, %d through other daemons; %d of %d daemons without a direct path, %d see an outage",
			calls, seconds, rejected, proxied, lost, daemons, unavailable)
		is.Equal(proxied, int64(0))
		is.Equal(lost, 0)
		is.Equal(unavailable, 0)
		is.True(rejected < daemons*seconds*7) // no more than one attempt of each daemon in each readBackoff
	})
}

package proxy_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/pace"
	"github.com/gypsumhook/gypsum/proxy"
)

// TestStoreRefusesOneHost guards against a host that stays without the store because the store
// refuses all of its calls for their rate while it serves the other hosts.
func TestStoreRefusesOneHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		refusing := &fake.LimitedStore{KeyedStore: backing, ReadsPerSecond: 1e-9, Window: time.Nanosecond}
		logger := slog.New(slog.NewTextHandler(io.Discard, nil))
		peers := peerStores{"b": backing}
		store := &proxy.Store{
			DirectStore: refusing, Reads: pace.NewGate(pace.Use{Allowance: 2000, Need: 45}), PeerStores: peers, Self: "a", Logger: logger, ProbeRead: gypsum.KeyedRead{Topic: topic, Max: 1},
			ListPeers: func() []gypsum.Peer { return []gypsum.Peer{{Host: "b", Address: "b"}} },
		}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- store.Run(ctx) }()
		served := func() int {
			count := 0
			for range 20 {
				if _, err := store.Read(ctx, gypsum.KeyedRead{Topic: topic}); err == nil {
					count++
				}
				time.Sleep(100 * time.Millisecond)
			}
			return count
		}
		is.True(served() >= 8) // through the other host after a second
		is.Equal(served(), 20) // the probes of the direct path are refused, too
		refusing.SetReadsPerSecond(0)
		time.Sleep(time.Second)
		is.True(!store.DirectUnavailable())
		is.Equal(served(), 20)
		stop()
		<-ended
	})
}

// peerStores are the stores that other daemons give access to, by their addresses.
type peerStores map[string]gypsum.KeyedStore

// StoreVia implements gypsum.PeerStores.
func (p peerStores) StoreVia(address string) gypsum.KeyedStore { return p[address] }

package proxy_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/proxy"
)

const topic = gypsum.Topic("keyed.test")

// testNetwork is a set of daemons that reach a store and each other.
type testNetwork struct {
	store   *fake.KeyedStore
	paths   map[string]*fake.StoreClient
	daemons map[string]*proxy.Store
}

// StoreVia implements gypsum.PeerStores.
func (n *testNetwork) StoreVia(address string) gypsum.KeyedStore {
	return n.daemons[address].StoreForPeers()
}

// newNetwork returns daemons with the given names, each in the data centre named by the
// first letter of its name.
func newNetwork(t *testing.T, names ...string) *testNetwork {
	n := &testNetwork{store: fake.NewKeyedStore(), paths: make(map[string]*fake.StoreClient), daemons: make(map[string]*proxy.Store)}
	var peers []gypsum.Peer
	for _, name := range names {
		location := gypsum.Location{DataCentre: gypsum.DataCentre(name[:1]), Region: "r"}
		peers = append(peers, gypsum.Peer{Host: gypsum.HostID(name), Address: name, Location: location})
	}
	for i, name := range names {
		location := peers[i].Location
		n.paths[name] = &fake.StoreClient{KeyedStore: n.store}
		n.daemons[name] = &proxy.Store{
			DirectStore: n.paths[name], PeerStores: n, ListPeers: func() []gypsum.Peer { return peers }, Location: location,
			Self: gypsum.HostID(name), ProbeRead: gypsum.KeyedRead{Topic: topic, Max: 1}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		}
	}
	for _, daemon := range n.daemons {
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- daemon.Run(ctx) }()
		t.Cleanup(func() { stop(); <-ended })
	}
	return n
}

// appendRecord appends one record from a daemon within a timeout.
func (n *testNetwork) appendRecord(t *testing.T, host, key string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	_, err := n.daemons[host].Append(ctx, gypsum.KeyedAppend{Topic: topic, Records: []gypsum.KeyedRecord{{Key: key, Value: []byte("v")}}})
	return err
}

// TestFailoverToPeer checks that a daemon that is cut off from the store reaches it
// through a peer, and uses its own path again once that works.
func TestFailoverToPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, "a1", "a2", "b1")
		is.NoErr(n.appendRecord(t, "a1", "first", time.Second))
		is.Equal(n.daemons["a1"].ProxiedCalls(), int64(0))
		n.paths["a1"].SetDisconnected(true)
		is.True(errors.Is(n.appendRecord(t, "a1", "lost", 500*time.Millisecond), gypsum.ErrStoreUnknown)) // the timeout marks the path as unavailable
		is.NoErr(n.appendRecord(t, "a1", "second", 100*time.Millisecond))
		page, err := n.daemons["a1"].Read(t.Context(), gypsum.KeyedRead{Topic: topic})
		is.NoErr(err)
		is.Equal(len(page.Records), 2)
		is.True(n.daemons["a1"].ProxiedCalls() >= 2)
		is.Equal(n.daemons["a2"].ProxiedCalls(), int64(0))
		n.paths["a1"].SetDisconnected(false)
		time.Sleep(time.Second)
		is.True(!n.daemons["a1"].DirectUnavailable())
	})
}

// TestStoreOutage checks that calls are refused at once during an outage of the store for
// all daemons: none forwards another one's call.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, "a1", "a2", "b1")
		n.store.SetFault(fake.KeyedRefused)
		for _, host := range []string{"a1", "a2", "b1"} {
			is.True(errors.Is(n.appendRecord(t, host, "x", time.Second), gypsum.ErrStoreRefused))
		}
		callsBefore := n.store.CallCount()
		start := time.Now()
		is.True(errors.Is(n.appendRecord(t, "a1", "x", time.Second), gypsum.ErrStoreRefused))
		is.True(time.Since(start) < 50*time.Millisecond)
		is.Equal(n.store.CallCount()-callsBefore, int64(1)) // one call on the direct path, none through another daemon
		n.store.SetFault(0)
		time.Sleep(time.Second)
		is.NoErr(n.appendRecord(t, "a1", "y", time.Second))
	})
}

// TestCallErrorIsNotProxied checks that an error of the call itself does not mark the
// direct path as unavailable.
func TestCallErrorIsNotProxied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, "a1", "a2")
		is.NoErr(n.appendRecord(t, "a1", "x", time.Second))
		n.store.ExpireHistory()
		_, err := n.daemons["a1"].Read(t.Context(), gypsum.KeyedRead{Topic: topic})
		is.True(errors.Is(err, gypsum.ErrTruncated))
		is.True(!n.daemons["a1"].DirectUnavailable())
	})
}

// TestPeerLoadIsSpread guards against overload of single peers when a third of the
// daemons loses the store at once: peers of the local data centre are used, and evenly.
func TestPeerLoadIsSpread(t *testing.T) {
	is := is.New(t)
	var peers []gypsum.Peer
	for i := range 12 {
		dataCentre := gypsum.DataCentre([]string{"a", "b", "c"}[i%3])
		region := gypsum.Region([]string{"r", "r", "s"}[i%3])
		peers = append(peers, gypsum.Peer{Host: gypsum.HostID(string(dataCentre) + string(rune('0'+i/3))), Location: gypsum.Location{DataCentre: dataCentre, Region: region}})
	}
	local := gypsum.Location{DataCentre: "a", Region: "r"}
	selected := make(map[gypsum.HostID]int)
	for seed := range 40 {
		for _, peer := range proxy.NearestPeers(peers, local, string(rune('0'+seed)), 2) {
			is.Equal(peer.Location, local)
			selected[peer.Host]++
		}
	}
	for _, count := range selected {
		is.True(count <= 30) // 20 each if spread evenly
	}
	is.Equal(len(selected), 4)
	far := proxy.NearestPeers(peers[1:3], local, "x", 2)
	is.Equal(far[0].Location.DataCentre, gypsum.DataCentre("b")) // the same region comes before another
}

package wire

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/fake"
)

// wholePeer answers all calls of other daemons.
type wholePeer struct {
	respondingPeer
	gypsum.KeyedStore
}

// HandleGossip implements gypsum.PeerServer.
func (p *wholePeer) HandleGossip(context.Context, *gypsum.GossipRequest) (*gypsum.GossipResponse, error) {
	return &gypsum.GossipResponse{Revision: 7, Members: []gypsum.Member{{ID: "m-1"}, {ID: "m-2"}}}, nil
}

// HandlePull implements gypsum.PeerServer.
func (p *wholePeer) HandlePull(context.Context, *gypsum.PullRequest) (*gypsum.PullResponse, error) {
	return &gypsum.PullResponse{}, nil
}

// Read implements gypsum.KeyedStore.
func (p *wholePeer) Read(context.Context, gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	return &gypsum.KeyedPage{Records: []gypsum.KeyedRecord{{Key: "k", Value: []byte("v"), Offset: 7}}, Next: 8}, nil
}

// Append implements gypsum.KeyedStore.
func (p *wholePeer) Append(context.Context, gypsum.KeyedAppend) (gypsum.Offset, error) { return 7, nil }

// LatestRecords implements gypsum.KeyedStore.
func (p *wholePeer) LatestRecords(context.Context, gypsum.Topic, gypsum.Partition, string) (*gypsum.LatestPage, error) {
	return &gypsum.LatestPage{Records: []gypsum.KeyedRecord{{Key: "k", Value: []byte("v"), Offset: 7}}, Next: 8}, nil
}

// Reaches implements gypsum.RemoteReplicas.
func (p *wholePeer) Reaches(context.Context, gypsum.ReachQuery) (bool, error) { return true, nil }

// Forward implements gypsum.RemoteReplicas.
func (p *wholePeer) Forward(context.Context, *gypsum.ForwardedRequest) (*gypsum.ForwardedResponse, error) {
	return &gypsum.ForwardedResponse{Status: http.StatusOK, Header: http.Header{"X-Header": {"1"}}, Body: io.NopCloser(strings.NewReader("the whole body"))}, nil
}

// serveWholePeer serves all procedures until the test ends and returns the addresses of those of serve, which need
// HTTP/2, and of edge.
func serveWholePeer(t *testing.T) (serveAddress, edgeAddress string) {
	peer := &wholePeer{respondingPeer: respondingPeer{response: &gypsum.PlainResponse{Status: http.StatusOK, Header: http.Header{"X-Header": {"1"}}, Body: []byte("the whole body")}}}
	peers, mux := http.NewServeMux(), http.NewServeMux()
	peers.Handle(PeerHandler(peer))
	mux.Handle(StoreHandler(peer))
	mux.Handle(FeedHandler(&fixedFeed{page: &gypsum.FeedPage{Records: []gypsum.KeyedRecord{{Key: "k", Value: []byte("v"), Offset: 7}}, Next: 9}}))
	for path, handler := range ReplicaHandler(peer, buffer.NewPool(1<<20)) {
		mux.Handle(path, handler)
	}
	server := httptest.NewUnstartedServer(peers)
	server.Config.Protocols = ServerProtocols()
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), serve(t, mux)
}

// wholeCalls are the calls of another daemon at an address. They return what the response says.
func wholeCalls() map[string]func(ctx context.Context, address string) (any, error) {
	submitted := func(call func(client *PeerClient, ctx context.Context, peer gypsum.Member) (any, error)) func(context.Context, string) (any, error) {
		return func(ctx context.Context, address string) (any, error) {
			client, cleanup := NewPeerClient()
			defer cleanup()
			return call(client, ctx, gypsum.Member{ID: "peer", Address: address})
		}
	}
	forwarded := func(call func(peers *PeerClients, ctx context.Context, address string) (any, error)) func(context.Context, string) (any, error) {
		return func(ctx context.Context, address string) (any, error) {
			peers, cleanup := NewPeerClients()
			defer cleanup()
			peers.ForwardMemory = buffer.NewPool(1 << 20)
			return call(peers, ctx, address)
		}
	}
	return map[string]func(ctx context.Context, address string) (any, error){
		"submit": submitted(func(client *PeerClient, ctx context.Context, peer gypsum.Member) (any, error) {
			var events []gypsum.Event
			err := client.Submit(ctx, peer, &gypsum.Call{ID: "c"}, func(event *gypsum.Event) error { events = append(events, *event); return nil })
			return events, err
		}),
		"gossip": submitted(func(client *PeerClient, ctx context.Context, peer gypsum.Member) (any, error) {
			return client.Gossip(ctx, peer, &gypsum.GossipRequest{})
		}),
		"pull": submitted(func(client *PeerClient, ctx context.Context, peer gypsum.Member) (any, error) {
			return client.Pull(ctx, peer, &gypsum.PullRequest{})
		}),
		"read of the store": forwarded(func(peers *PeerClients, ctx context.Context, address string) (any, error) {
			return peers.StoreVia(address).Read(ctx, gypsum.KeyedRead{})
		}),
		"append to the store": forwarded(func(peers *PeerClients, ctx context.Context, address string) (any, error) {
			return peers.StoreVia(address).Append(ctx, gypsum.KeyedAppend{})
		}),
		"latest records": forwarded(func(peers *PeerClients, ctx context.Context, address string) (any, error) {
			return peers.StoreVia(address).LatestRecords(ctx, "t", 0, "")
		}),
		"feed": forwarded(func(peers *PeerClients, ctx context.Context, address string) (any, error) {
			return peers.FeedFrom(address).ReadFeed(ctx, gypsum.FeedRead{})
		}),
		"reach": forwarded(func(peers *PeerClients, ctx context.Context, address string) (any, error) {
			return peers.ReplicasVia(address).Reaches(ctx, gypsum.ReachQuery{})
		}),
		"forward": forwarded(func(peers *PeerClients, ctx context.Context, address string) (any, error) {
			response, err := peers.ReplicasVia(address).Forward(ctx, &gypsum.ForwardedRequest{})
			if err != nil {
				return nil, err
			}
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			return fmt.Sprint(response.Status, response.Header, string(body)), err
		}),
	}
}

// TestCutResponseOfPeer guards against a response of another daemon that stops in the middle, at any byte of its head or
// its messages, and that is taken for a whole one.
func TestCutResponseOfPeer(t *testing.T) {
	const (
		callTimeout = 5 * time.Second
		// cutStep is the number of bytes between two cuts. Heads and messages have some hundred bytes.
		cutStep = 3
		// trailingFrames is more than what a server sends behind the response on a connection with HTTP/2.
		trailingFrames = 256
	)
	serveAddress, edgeAddress := serveWholePeer(t)
	for name, call := range wholeCalls() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := edgeAddress
			if name == "submit" || name == "gossip" || name == "pull" {
				address = serveAddress
			}
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			whole, err := call(ctx, address)
			is.NoErr(err)
			relay := &fake.CutRelay{To: address}
			stop, err := relay.Start()
			is.NoErr(err)
			defer stop()
			accepted := int64(0)
			for limit := int64(0); accepted < trailingFrames/cutStep; limit += cutStep {
				if limit > 16<<10 {
					t.Fatal("no response was whole")
				}
				relay.SetLimit(limit)
				ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
				received, err := call(ctx, relay.Address())
				cancel()
				switch {
				case err != nil && accepted > 0:
					t.Errorf("a response of %d bytes was rejected, a shorter one was not: %v", limit, err)
				case err != nil:
				case !bytes.Equal(encode(t, received), encode(t, whole)):
					t.Errorf("%d bytes were taken for the response %v", limit, received)
				default:
					accepted++
				}
			}
		})
	}
}

// encode returns the message of a value.
func encode(t *testing.T, value any) []byte {
	content, err := cborCodec{}.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

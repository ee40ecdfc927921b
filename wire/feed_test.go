package wire

import (
	"context"
	"encoding/hex"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// fixedFeed serves one page or an error.
type fixedFeed struct {
	page *gypsum.FeedPage
	err  error
}

// ReadFeed implements gypsum.FeedSource.
func (f *fixedFeed) ReadFeed(context.Context, gypsum.FeedRead) (*gypsum.FeedPage, error) {
	return f.page, f.err
}

// serve serves a handler until the test ends and returns its address.
func serve(t *testing.T, handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
	return listener.Addr().String()
}

// TestFeedContract checks that pages arrive as they were served, and that a daemon without the
// procedure, as those of older builds, is one that does not serve the topic.
func TestFeedContract(t *testing.T) {
	is := is.New(t)
	peers, cleanup := NewPeerClients()
	defer cleanup()
	page := &gypsum.FeedPage{
		Records: []gypsum.KeyedRecord{{Key: "k", Value: []byte("v"), Offset: 7}}, Next: 9, Age: time.Second, ResponseAge: time.Millisecond, Held: 3,
	}
	mux := http.NewServeMux()
	mux.Handle(FeedHandler(&fixedFeed{page: page}))
	received, err := peers.FeedFrom(serve(t, mux)).ReadFeed(t.Context(), gypsum.FeedRead{Topic: "t"})
	is.NoErr(err)
	is.Equal(received, page)
	for name, feed := range map[string]gypsum.FeedSource{"unserved": &fixedFeed{err: gypsum.ErrFeedUnavailable}, "older build": nil} {
		mux := http.NewServeMux()
		mux.Handle(StoreHandler(&failingStore{err: gypsum.ErrStoreRefused}))
		if feed != nil {
			mux.Handle(FeedHandler(feed))
		}
		_, err = peers.FeedFrom(serve(t, mux)).ReadFeed(t.Context(), gypsum.FeedRead{Topic: "t"})
		t.Log(name, err)
		is.True(errors.Is(err, gypsum.ErrFeedUnavailable))
	}
	_, err = peers.FeedFrom("127.0.0.1:1").ReadFeed(t.Context(), gypsum.FeedRead{Topic: "t"})
	is.True(err != nil && !errors.Is(err, gypsum.ErrFeedUnavailable)) // a lost daemon
}

// TestFeedMessages guards against a change of the messages, which builds side by side exchange.
func TestFeedMessages(t *testing.T) {
	is := is.New(t)
	for expected, message := range map[string]any{
		"a3016174020503191388": &gypsum.FeedRead{Topic: "t", From: 5, Wait: 5 * time.Microsecond},
		"a101a50181a3634b6579616b6556616c7565417666" + "4f66667365740702080303040205" + "01": &feedResponse{Page: &gypsum.FeedPage{
			Records: []gypsum.KeyedRecord{{Key: "k", Value: []byte("v"), Offset: 7}}, Next: 8, Age: 3, ResponseAge: 2, Held: 1,
		}},
		"a0": &feedResponse{},
	} {
		content, err := cbor.Marshal(message)
		is.NoErr(err)
		is.Equal(hex.EncodeToString(content), expected)
	}
}

// FuzzFeedMessages checks that no message makes the decoders panic.
func FuzzFeedMessages(f *testing.F) {
	content, err := cbor.Marshal(&feedResponse{Page: &gypsum.FeedPage{Records: []gypsum.KeyedRecord{{Key: "k"}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Fuzz(func(_ *testing.T, content []byte) {
		var response feedResponse
		_ = cborCodec{}.Unmarshal(content, &response)
		var read gypsum.FeedRead
		_ = cborCodec{}.Unmarshal(content, &read)
	})
}

// BenchmarkFeed measures a request for 20 records of 200 bytes over the loopback, both sides together.
func BenchmarkFeed(b *testing.B) {
	peers, cleanup := NewPeerClients()
	defer cleanup()
	page := &gypsum.FeedPage{Next: 20}
	for i := range 20 {
		page.Records = append(page.Records, gypsum.KeyedRecord{Key: "r/batch/item", Value: make([]byte, 200), Offset: gypsum.Offset(i)})
	}
	mux := http.NewServeMux()
	mux.Handle(FeedHandler(&fixedFeed{page: page}))
	server := &http.Server{Handler: mux}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	client := peers.FeedFrom(listener.Addr().String())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.ReadFeed(b.Context(), gypsum.FeedRead{Topic: "t"}); err != nil {
			b.Fatal(err)
		}
	}
	_ = server.Close()
	<-ended
}

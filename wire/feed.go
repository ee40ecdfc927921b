package wire

import (
	"context"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// feedProcedure is the procedure with which a daemon gets records that another one has read from the
// store. Daemons of older builds do not have it.
const feedProcedure = procedurePrefix + "feed"

// feedResponse is the response of the feed procedure. Without a page, the daemon does not serve the
// topic.
type feedResponse struct {
	Page *gypsum.FeedPage `cbor:"1,keyasint,omitempty"`
}

// FeedHandler returns the HTTP handler that serves the records of a source to other daemons, and the
// path to serve it under.
func FeedHandler(source gypsum.FeedSource) (path string, handler http.Handler) {
	return feedProcedure, countParts(connect.NewUnaryHandler(feedProcedure,
		func(ctx context.Context, request *connect.Request[gypsum.FeedRead]) (*connect.Response[feedResponse], error) {
			page, err := source.ReadFeed(ctx, *request.Msg)
			if errors.Is(err, gypsum.ErrFeedUnavailable) {
				return connect.NewResponse(&feedResponse{}), nil
			}
			return newResponse(&feedResponse{Page: page}, err)
		}, connect.WithCodec(cborCodec{}), connect.WithReadMaxBytes(maxMessageBytes)))
}

// FeedFrom implements gypsum.PeerFeeds.
func (p *PeerClients) FeedFrom(address string) gypsum.FeedSource {
	p.mu.Lock()
	defer p.mu.Unlock()
	if client, ok := p.feeds[address]; ok {
		return client
	}
	client := &peerFeed{client: connect.NewClient[gypsum.FeedRead, feedResponse](p.httpClient, "http://"+address+feedProcedure, clientOption())}
	p.feeds[address] = client
	return client
}

// peerFeed is a client of another daemon's feed. It implements gypsum.FeedSource.
type peerFeed struct {
	client *connect.Client[gypsum.FeedRead, feedResponse]
}

// ReadFeed implements gypsum.FeedSource.
func (p *peerFeed) ReadFeed(ctx context.Context, req gypsum.FeedRead) (*gypsum.FeedPage, error) {
	response, err := p.client.CallUnary(ctx, connect.NewRequest(&req))
	switch {
	case connect.CodeOf(err) == connect.CodeUnimplemented:
		return nil, fmt.Errorf("daemon of an older build: %w", gypsum.ErrFeedUnavailable)
	case err != nil:
		return nil, fmt.Errorf("read feed of a peer daemon: %w", err)
	case response.Msg.Page == nil:
		return nil, fmt.Errorf("read feed of a peer daemon: %w", gypsum.ErrFeedUnavailable)
	}
	return response.Msg.Page, nil
}

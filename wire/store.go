package wire

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
)

// The procedures with which a daemon forwards store calls of another daemon.
const (
	appendProcedure = procedurePrefix + "store_append"
	readProcedure   = procedurePrefix + "store_read"
	latestProcedure = procedurePrefix + "store_newest"
)

// storeErrorCode is the kind of error of a failed store call, as transmitted.
type storeErrorCode string

// storeErrors are the errors of store calls by their codes. Any other error means that
// the outcome is unknown.
var storeErrors = map[storeErrorCode]error{
	"refused": gypsum.ErrStoreRefused, "fenced": gypsum.ErrStoreFenced, "sequence": gypsum.ErrStoreSequence,
	"truncated": gypsum.ErrTruncated, "unknown": gypsum.ErrStoreUnknown,
}

// newStoreResponse returns the response to a call that ended with err. Daemons of older builds take
// an unknown code for an unknown outcome, so that a call beyond the rate has the code of a
// refusal, which it got before.
func newStoreResponse(err error) *storeResponse {
	if errors.Is(err, gypsum.ErrStoreRateLimited) {
		return &storeResponse{ErrorCode: storeErrorCodeOf(gypsum.ErrStoreRefused), RateLimited: true}
	}
	return &storeResponse{ErrorCode: storeErrorCodeOf(err)}
}

// storeErrorCodeOf returns the code of an error, empty for nil.
func storeErrorCodeOf(err error) storeErrorCode {
	if err == nil {
		return ""
	}
	for code, sentinel := range storeErrors {
		if errors.Is(err, sentinel) {
			return code
		}
	}
	return "unknown"
}

// latestRequest is the request of the store_newest procedure.
type latestRequest struct {
	Topic     gypsum.Topic     `cbor:"1,keyasint"`
	Partition gypsum.Partition `cbor:"2,keyasint"`
	After     string           `cbor:"3,keyasint"`
}

// storeResponse is the response to any store call, with its error code.
type storeResponse struct {
	ErrorCode storeErrorCode     `cbor:"1,keyasint,omitempty"`
	Offset    gypsum.Offset      `cbor:"2,keyasint,omitempty"`
	Page      *gypsum.KeyedPage  `cbor:"3,keyasint,omitempty"`
	Latest    *gypsum.LatestPage `cbor:"4,keyasint,omitempty"`
	// RateLimited means that the call was refused since all daemons together made too many.
	RateLimited bool `cbor:"5,keyasint,omitempty"`
}

// StoreHandler returns the HTTP handler that forwards store calls of other daemons to
// store, and the path prefix to serve it under.
func StoreHandler(store gypsum.KeyedStore) (path string, handler http.Handler) {
	mux := http.NewServeMux()
	options := []connect.HandlerOption{connect.WithCodec(cborCodec{}), connect.WithReadMaxBytes(maxMessageBytes)}
	mux.Handle(appendProcedure, connect.NewUnaryHandler(appendProcedure,
		func(ctx context.Context, request *connect.Request[gypsum.KeyedAppend]) (*connect.Response[storeResponse], error) {
			offset, err := store.Append(ctx, *request.Msg)
			response := newStoreResponse(err)
			response.Offset = offset
			return connect.NewResponse(response), nil
		}, options...))
	mux.Handle(readProcedure, connect.NewUnaryHandler(readProcedure,
		func(ctx context.Context, request *connect.Request[gypsum.KeyedRead]) (*connect.Response[storeResponse], error) {
			page, err := store.Read(ctx, *request.Msg)
			response := newStoreResponse(err)
			response.Page = page
			return connect.NewResponse(response), nil
		}, options...))
	mux.Handle(latestProcedure, connect.NewUnaryHandler(latestProcedure,
		func(ctx context.Context, request *connect.Request[latestRequest]) (*connect.Response[storeResponse], error) {
			message := request.Msg
			page, err := store.LatestRecords(ctx, message.Topic, message.Partition, message.After)
			response := newStoreResponse(err)
			response.Latest = page
			return connect.NewResponse(response), nil
		}, options...))
	return procedurePrefix, countParts(mux)
}

// PeerClients holds the clients of other daemons. It implements gypsum.PeerStores,
// gypsum.PeerPermits, gypsum.PeerOrigins, gypsum.PeerFeeds and gypsum.PeerReplicas.
type PeerClients struct {
	// ForwardMemory limits the total size of the requests that are being forwarded to other
	// daemons. It must be set before ReplicasVia is used.
	ForwardMemory *buffer.Pool

	transport  *ResponseTransport
	httpClient *http.Client

	mu       sync.Mutex
	stores   map[string]*peerStore
	permits  map[string]*peerPermits
	origins  map[string]*peerOrigins
	feeds    map[string]*peerFeed
	replicas map[string]*peerReplicas
}

// peerIdleConnTimeout is how long an idle connection to another daemon is kept. Calls to
// other daemons are rare and come in bursts of seconds.
const peerIdleConnTimeout = 10 * time.Second

// peerIdleConns is the number of idle connections to another daemon. All live requests of a host
// may be forwarded to one.
const peerIdleConns = 16

// NewPeerClients returns an empty set of clients, and a function that closes their idle
// connections.
func NewPeerClients() (peers *PeerClients, cleanup func()) {
	transport := NewResponseTransport(&http.Transport{IdleConnTimeout: peerIdleConnTimeout, MaxIdleConnsPerHost: peerIdleConns})
	return &PeerClients{
		transport: transport, httpClient: &http.Client{Transport: acceptedTransport{RoundTripper: transport, maxBody: maxPeerResponseBytes}}, stores: make(map[string]*peerStore), permits: make(map[string]*peerPermits),
		origins: make(map[string]*peerOrigins), feeds: make(map[string]*peerFeed), replicas: make(map[string]*peerReplicas),
	}, transport.CloseIdleConnections
}

// maxPeerResponseBytes limits a message of another daemon: several pages of records. Another server may listen at the
// address of a daemon that has gone.
const maxPeerResponseBytes = 16 << 20

// clientOption returns the options of clients of other daemons.
func clientOption() connect.ClientOption {
	return connect.WithClientOptions(connect.WithCodec(cborCodec{}), connect.WithReadMaxBytes(maxPeerResponseBytes))
}

// StoreVia implements gypsum.PeerStores.
func (p *PeerClients) StoreVia(address string) gypsum.KeyedStore {
	p.mu.Lock()
	defer p.mu.Unlock()
	if client, ok := p.stores[address]; ok {
		return client
	}
	base := "http://" + address
	option := clientOption()
	client := &peerStore{
		append: connect.NewClient[gypsum.KeyedAppend, storeResponse](p.httpClient, base+appendProcedure, option),
		read:   connect.NewClient[gypsum.KeyedRead, storeResponse](p.httpClient, base+readProcedure, option),
		latest: connect.NewClient[latestRequest, storeResponse](p.httpClient, base+latestProcedure, option),
	}
	p.stores[address] = client
	return client
}

// peerStore is a client of the store that connects through another daemon. It
// implements gypsum.KeyedStore.
type peerStore struct {
	append *connect.Client[gypsum.KeyedAppend, storeResponse]
	read   *connect.Client[gypsum.KeyedRead, storeResponse]
	latest *connect.Client[latestRequest, storeResponse]
}

// callStore calls a procedure and maps a failure to the error that the store itself
// would return.
func callStore[T any](ctx context.Context, client *connect.Client[T, storeResponse], message *T) (*storeResponse, error) {
	response, err := client.CallUnary(ctx, connect.NewRequest(message))
	switch {
	case errors.Is(err, gypsum.ErrNotSent):
		return nil, fmt.Errorf("call store through a peer daemon: %w: %w", gypsum.ErrStoreRefused, err)
	case err != nil:
		return nil, fmt.Errorf("call store through a peer daemon: %w: %w", gypsum.ErrStoreUnknown, err)
	case response.Msg.RateLimited:
		return nil, fmt.Errorf("call store through a peer daemon: %w", gypsum.ErrStoreRateLimited)
	case response.Msg.ErrorCode != "":
		sentinel, ok := storeErrors[response.Msg.ErrorCode]
		if !ok {
			sentinel = gypsum.ErrStoreUnknown
		}
		return nil, fmt.Errorf("call store through a peer daemon: %w", sentinel)
	}
	return response.Msg, nil
}

// Append implements gypsum.KeyedStore.
func (p *peerStore) Append(ctx context.Context, req gypsum.KeyedAppend) (gypsum.Offset, error) {
	response, err := callStore(ctx, p.append, &req)
	if err != nil {
		return 0, err
	}
	return response.Offset, nil
}

// Read implements gypsum.KeyedStore.
func (p *peerStore) Read(ctx context.Context, req gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	response, err := callStore(ctx, p.read, &req)
	if err != nil {
		return nil, err
	}
	if response.Page == nil {
		return nil, fmt.Errorf("store response has no page: %w", gypsum.ErrStoreUnknown)
	}
	return response.Page, nil
}

// LatestRecords implements gypsum.KeyedStore.
func (p *peerStore) LatestRecords(ctx context.Context, topic gypsum.Topic, partition gypsum.Partition, after string) (*gypsum.LatestPage, error) {
	response, err := callStore(ctx, p.latest, &latestRequest{Topic: topic, Partition: partition, After: after})
	if err != nil {
		return nil, err
	}
	if response.Latest == nil {
		return nil, fmt.Errorf("store response has no page: %w", gypsum.ErrStoreUnknown)
	}
	return response.Latest, nil
}

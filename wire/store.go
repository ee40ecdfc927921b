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
)

// The procedures by which a daemon makes calls of the store for another.
const (
	appendProcedure = procedurePrefix + "store_append"
	readProcedure   = procedurePrefix + "store_read"
	latestProcedure = procedurePrefix + "store_newest"
)

// storeErrorCode is the kind of a failed call of the store.
type storeErrorCode string

// storeErrors are the errors that a call of the store may give, by their names. An
// error that is none of them is an unknown outcome.
var storeErrors = map[storeErrorCode]error{
	"refused": gypsum.ErrStoreRefused, "fenced": gypsum.ErrStoreFenced, "sequence": gypsum.ErrStoreSequence,
	"truncated": gypsum.ErrTruncated, "unknown": gypsum.ErrStoreUnknown,
}

// storeErrorCodeOf returns the kind of an error, empty for none.
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

// latestRequest is a request for the newest records of a partition.
type latestRequest struct {
	Topic     gypsum.Topic     `cbor:"1,keyasint"`
	Partition gypsum.Partition `cbor:"2,keyasint"`
	After     string           `cbor:"3,keyasint"`
}

// storeResponse is the answer to a call of the store, with the kind of its error.
type storeResponse struct {
	ErrorCode storeErrorCode     `cbor:"1,keyasint,omitempty"`
	Offset    gypsum.Offset      `cbor:"2,keyasint,omitempty"`
	Page      *gypsum.KeyedPage  `cbor:"3,keyasint,omitempty"`
	Latest    *gypsum.NewestPage `cbor:"4,keyasint,omitempty"`
}

// StoreHandler returns the handler of the calls that a daemon makes for others.
func StoreHandler(store gypsum.RecordStore) (path string, handler http.Handler) {
	mux := http.NewServeMux()
	options := []connect.HandlerOption{connect.WithCodec(cborCodec{}), connect.WithReadMaxBytes(maxMessageBytes)}
	mux.Handle(appendProcedure, connect.NewUnaryHandler(appendProcedure,
		func(ctx context.Context, request *connect.Request[gypsum.KeyedAppend]) (*connect.Response[storeResponse], error) {
			offset, err := store.Append(ctx, *request.Msg)
			return connect.NewResponse(&storeResponse{Offset: offset, ErrorCode: storeErrorCodeOf(err)}), nil
		}, options...))
	mux.Handle(readProcedure, connect.NewUnaryHandler(readProcedure,
		func(ctx context.Context, request *connect.Request[gypsum.KeyedRead]) (*connect.Response[storeResponse], error) {
			page, err := store.Read(ctx, *request.Msg)
			return connect.NewResponse(&storeResponse{Page: page, ErrorCode: storeErrorCodeOf(err)}), nil
		}, options...))
	mux.Handle(latestProcedure, connect.NewUnaryHandler(latestProcedure,
		func(ctx context.Context, request *connect.Request[latestRequest]) (*connect.Response[storeResponse], error) {
			message := request.Msg
			page, err := store.LatestRecords(ctx, message.Topic, message.Partition, message.After)
			return connect.NewResponse(&storeResponse{Latest: page, ErrorCode: storeErrorCodeOf(err)}), nil
		}, options...))
	return procedurePrefix, mux
}

// PeerStores are the clients of the calls that other daemons make for this one. They
// are a gypsum.PeerStores.
type PeerStores struct {
	httpClient *http.Client

	mu      sync.Mutex
	clients map[string]*peerStore
}

// idlePeerTimeout is how long an idle connection to another daemon is kept: detours
// come seldom, and last for seconds.
const idlePeerTimeout = 10 * time.Second

// NewPeerStores returns the clients, and a function that closes their idle connections.
func NewPeerStores() (peers *PeerStores, cleanup func()) {
	transport := &http.Transport{DialContext: Dial, IdleConnTimeout: idlePeerTimeout, MaxIdleConnsPerHost: 4}
	return &PeerStores{httpClient: &http.Client{Transport: transport}, clients: make(map[string]*peerStore)}, transport.CloseIdleConnections
}

// StoreVia is part of gypsum.PeerStores.
func (p *PeerStores) StoreVia(address string) gypsum.RecordStore {
	p.mu.Lock()
	defer p.mu.Unlock()
	if client, ok := p.clients[address]; ok {
		return client
	}
	base := "http://" + address
	option := connect.WithClientOptions(connect.WithCodec(cborCodec{}), connect.WithReadMaxBytes(maxMessageBytes))
	client := &peerStore{
		append: connect.NewClient[gypsum.KeyedAppend, storeResponse](p.httpClient, base+appendProcedure, option),
		read:   connect.NewClient[gypsum.KeyedRead, storeResponse](p.httpClient, base+readProcedure, option),
		latest: connect.NewClient[latestRequest, storeResponse](p.httpClient, base+latestProcedure, option),
	}
	p.clients[address] = client
	return client
}

// peerStore is the store as another daemon reaches it.
type peerStore struct {
	append *connect.Client[gypsum.KeyedAppend, storeResponse]
	read   *connect.Client[gypsum.KeyedRead, storeResponse]
	latest *connect.Client[latestRequest, storeResponse]
}

// callStore makes a call and returns its answer or its error as the store would.
func callStore[T any](ctx context.Context, client *connect.Client[T, storeResponse], message *T) (*storeResponse, error) {
	response, err := client.CallUnary(ctx, connect.NewRequest(message))
	switch {
	case errors.Is(err, gypsum.ErrNotSent):
		return nil, fmt.Errorf("call by way of another host: %w: %w", gypsum.ErrStoreRefused, err)
	case err != nil:
		return nil, fmt.Errorf("call by way of another host: %w: %w", gypsum.ErrStoreUnknown, err)
	case response.Msg.ErrorCode != "":
		sentinel, ok := storeErrors[response.Msg.ErrorCode]
		if !ok {
			sentinel = gypsum.ErrStoreUnknown
		}
		return nil, fmt.Errorf("call by way of another host: %w", sentinel)
	}
	return response.Msg, nil
}

// Append is part of gypsum.RecordStore.
func (p *peerStore) Append(ctx context.Context, req gypsum.KeyedAppend) (gypsum.Offset, error) {
	response, err := callStore(ctx, p.append, &req)
	if err != nil {
		return 0, err
	}
	return response.Offset, nil
}

// Read is part of gypsum.RecordStore.
func (p *peerStore) Read(ctx context.Context, req gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	response, err := callStore(ctx, p.read, &req)
	if err != nil {
		return nil, err
	}
	if response.Page == nil {
		return nil, fmt.Errorf("answer without a page: %w", gypsum.ErrStoreUnknown)
	}
	return response.Page, nil
}

// LatestRecords is part of gypsum.RecordStore.
func (p *peerStore) LatestRecords(ctx context.Context, topic gypsum.Topic, partition gypsum.Partition, after string) (*gypsum.NewestPage, error) {
	response, err := callStore(ctx, p.latest, &latestRequest{Topic: topic, Partition: partition, After: after})
	if err != nil {
		return nil, err
	}
	if response.Latest == nil {
		return nil, fmt.Errorf("answer without a page: %w", gypsum.ErrStoreUnknown)
	}
	return response.Latest, nil
}

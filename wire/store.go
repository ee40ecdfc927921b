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
	appendProcedure = prefix + "store_append"
	readProcedure   = prefix + "store_read"
	newestProcedure = prefix + "store_newest"
)

// storeFault is the kind of a failed call of the store.
type storeFault string

// storeFaults are the errors that a call of the store may give, by their names. An
// error that is none of them is an unknown outcome.
var storeFaults = map[storeFault]error{
	"refused": gypsum.ErrStoreRefused, "fenced": gypsum.ErrStoreFenced, "sequence": gypsum.ErrStoreSequence,
	"truncated": gypsum.ErrTruncated, "unknown": gypsum.ErrStoreUnknown,
}

// faultOf returns the kind of an error, empty for none.
func faultOf(err error) storeFault {
	if err == nil {
		return ""
	}
	for name, known := range storeFaults {
		if errors.Is(err, known) {
			return name
		}
	}
	return "unknown"
}

// newestCall is a request for the newest records of a partition.
type newestCall struct {
	Topic gypsum.Topic     `cbor:"1,keyasint"`
	Part  gypsum.Partition `cbor:"2,keyasint"`
	After string           `cbor:"3,keyasint"`
}

// storeAnswer is the answer to a call of the store, with the kind of its error.
type storeAnswer struct {
	Fault  storeFault         `cbor:"1,keyasint,omitempty"`
	Offset gypsum.Offset      `cbor:"2,keyasint,omitempty"`
	Page   *gypsum.KeyedPage  `cbor:"3,keyasint,omitempty"`
	Newest *gypsum.NewestPage `cbor:"4,keyasint,omitempty"`
}

// StoreHandler returns the handler of the calls that a daemon makes for others.
func StoreHandler(store gypsum.RecordStore) (path string, handler http.Handler) {
	mux := http.NewServeMux()
	options := []connect.HandlerOption{connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessage)}
	mux.Handle(appendProcedure, connect.NewUnaryHandler(appendProcedure,
		func(ctx context.Context, request *connect.Request[gypsum.KeyedAppend]) (*connect.Response[storeAnswer], error) {
			offset, err := store.Append(ctx, *request.Msg)
			return connect.NewResponse(&storeAnswer{Offset: offset, Fault: faultOf(err)}), nil
		}, options...))
	mux.Handle(readProcedure, connect.NewUnaryHandler(readProcedure,
		func(ctx context.Context, request *connect.Request[gypsum.KeyedRead]) (*connect.Response[storeAnswer], error) {
			page, err := store.Read(ctx, *request.Msg)
			return connect.NewResponse(&storeAnswer{Page: page, Fault: faultOf(err)}), nil
		}, options...))
	mux.Handle(newestProcedure, connect.NewUnaryHandler(newestProcedure,
		func(ctx context.Context, request *connect.Request[newestCall]) (*connect.Response[storeAnswer], error) {
			call := request.Msg
			page, err := store.LatestRecords(ctx, call.Topic, call.Part, call.After)
			return connect.NewResponse(&storeAnswer{Newest: page, Fault: faultOf(err)}), nil
		}, options...))
	return prefix, mux
}

// StorePeers are the clients of the calls that other daemons make for this one. They
// are a gypsum.PeerStores.
type StorePeers struct {
	client *http.Client

	mu    sync.Mutex
	known map[string]*storePeer
}

// idlePeerTimeout is how long an idle connection to another daemon is kept: detours
// come seldom, and last for seconds.
const idlePeerTimeout = 10 * time.Second

// NewStorePeers returns the clients, and a function that closes their idle connections.
func NewStorePeers() (peers *StorePeers, cleanup func()) {
	transport := &http.Transport{DialContext: Dial, IdleConnTimeout: idlePeerTimeout, MaxIdleConnsPerHost: 4}
	return &StorePeers{client: &http.Client{Transport: transport}, known: make(map[string]*storePeer)}, transport.CloseIdleConnections
}

// StoreVia is part of gypsum.PeerStores.
func (p *StorePeers) StoreVia(address string) gypsum.RecordStore {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.known[address]; ok {
		return known
	}
	base := "http://" + address
	option := connect.WithClientOptions(connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessage))
	made := &storePeer{
		add:    connect.NewClient[gypsum.KeyedAppend, storeAnswer](p.client, base+appendProcedure, option),
		read:   connect.NewClient[gypsum.KeyedRead, storeAnswer](p.client, base+readProcedure, option),
		newest: connect.NewClient[newestCall, storeAnswer](p.client, base+newestProcedure, option),
	}
	p.known[address] = made
	return made
}

// storePeer is the store as another daemon reaches it.
type storePeer struct {
	add    *connect.Client[gypsum.KeyedAppend, storeAnswer]
	read   *connect.Client[gypsum.KeyedRead, storeAnswer]
	newest *connect.Client[newestCall, storeAnswer]
}

// ask makes a call and returns its answer or its error as the store would.
func ask[T any](ctx context.Context, client *connect.Client[T, storeAnswer], call *T) (*storeAnswer, error) {
	response, err := client.CallUnary(ctx, connect.NewRequest(call))
	switch {
	case errors.Is(err, gypsum.ErrNotSent):
		return nil, fmt.Errorf("call by way of another host: %w: %w", gypsum.ErrStoreRefused, err)
	case err != nil:
		return nil, fmt.Errorf("call by way of another host: %w: %w", gypsum.ErrStoreUnknown, err)
	case response.Msg.Fault != "":
		known, ok := storeFaults[response.Msg.Fault]
		if !ok {
			known = gypsum.ErrStoreUnknown
		}
		return nil, fmt.Errorf("call by way of another host: %w", known)
	}
	return response.Msg, nil
}

// Append is part of gypsum.RecordStore.
func (p *storePeer) Append(ctx context.Context, add gypsum.KeyedAppend) (gypsum.Offset, error) {
	answer, err := ask(ctx, p.add, &add)
	if err != nil {
		return 0, err
	}
	return answer.Offset, nil
}

// Read is part of gypsum.RecordStore.
func (p *storePeer) Read(ctx context.Context, read gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	answer, err := ask(ctx, p.read, &read)
	if err != nil {
		return nil, err
	}
	if answer.Page == nil {
		return nil, fmt.Errorf("answer without a page: %w", gypsum.ErrStoreUnknown)
	}
	return answer.Page, nil
}

// LatestRecords is part of gypsum.RecordStore.
func (p *storePeer) LatestRecords(ctx context.Context, topic gypsum.Topic, part gypsum.Partition, after string) (*gypsum.NewestPage, error) {
	answer, err := ask(ctx, p.newest, &newestCall{Topic: topic, Part: part, After: after})
	if err != nil {
		return nil, err
	}
	if answer.Newest == nil {
		return nil, fmt.Errorf("answer without a page: %w", gypsum.ErrStoreUnknown)
	}
	return answer.Newest, nil
}

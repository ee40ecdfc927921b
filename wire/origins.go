package wire

import (
	"context"
	"fmt"
	"net/http"

	"connectrpc.com/connect"

	"github.com/gypsumhook/gypsum"
)

// The procedures with which daemons share the origins of streams.
const (
	originPrefix          = procedurePrefix + "stream_origin_"
	recordOriginProcedure = originPrefix + "record"
	findOriginProcedure   = originPrefix + "find"
)

// originsMessage is the request of the procedure that records origins.
type originsMessage struct {
	Origins []gypsum.StreamOrigin `cbor:"1,keyasint"`
}

// findOriginMessage is the request of the procedure that finds an origin.
type findOriginMessage struct {
	First gypsum.RequestID `cbor:"1,keyasint"`
}

// originMessage is the response of either procedure, without an origin if it is not known.
type originMessage struct {
	Origin *gypsum.StreamOrigin `cbor:"1,keyasint,omitempty"`
}

// OriginHandler returns the HTTP handlers that share the origins of a daemon with others, by
// their paths.
func OriginHandler(origins gypsum.OriginStore) map[string]http.Handler {
	options := []connect.HandlerOption{connect.WithCodec(cborCodec{}), connect.WithReadMaxBytes(maxMessageBytes)}
	return map[string]http.Handler{
		recordOriginProcedure: countParts(connect.NewUnaryHandler(recordOriginProcedure,
			func(ctx context.Context, request *connect.Request[originsMessage]) (*connect.Response[originMessage], error) {
				return newResponse(&originMessage{}, origins.RecordOrigins(ctx, request.Msg.Origins))
			}, options...)),
		findOriginProcedure: countParts(connect.NewUnaryHandler(findOriginProcedure,
			func(ctx context.Context, request *connect.Request[findOriginMessage]) (*connect.Response[originMessage], error) {
				found, err := origins.FindOrigin(ctx, request.Msg.First)
				return newResponse(&originMessage{Origin: found}, err)
			}, options...)),
	}
}

// OriginsAt implements gypsum.PeerOrigins.
func (p *PeerClients) OriginsAt(address string) gypsum.OriginStore {
	p.mu.Lock()
	defer p.mu.Unlock()
	if client, ok := p.origins[address]; ok {
		return client
	}
	client := &peerOrigins{
		record: connect.NewClient[originsMessage, originMessage](p.httpClient, "http://"+address+recordOriginProcedure, clientOption()),
		find:   connect.NewClient[findOriginMessage, originMessage](p.httpClient, "http://"+address+findOriginProcedure, clientOption()),
	}
	p.origins[address] = client
	return client
}

// peerOrigins is a client of the origins that another daemon knows. It implements
// gypsum.OriginStore.
type peerOrigins struct {
	record *connect.Client[originsMessage, originMessage]
	find   *connect.Client[findOriginMessage, originMessage]
}

// RecordOrigins implements gypsum.OriginStore.
func (p *peerOrigins) RecordOrigins(ctx context.Context, origins []gypsum.StreamOrigin) error {
	if _, err := p.record.CallUnary(ctx, connect.NewRequest(&originsMessage{Origins: origins})); err != nil {
		return fmt.Errorf("record origins at a peer daemon: %w", err)
	}
	return nil
}

// FindOrigin implements gypsum.OriginStore.
func (p *peerOrigins) FindOrigin(ctx context.Context, first gypsum.RequestID) (*gypsum.StreamOrigin, error) {
	response, err := p.find.CallUnary(ctx, connect.NewRequest(&findOriginMessage{First: first}))
	if err != nil {
		return nil, fmt.Errorf("find origin at a peer daemon: %w", err)
	}
	return response.Msg.Origin, nil
}

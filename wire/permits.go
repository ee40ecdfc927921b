package wire

import (
	"context"
	"fmt"
	"net/http"

	"connectrpc.com/connect"

	"github.com/gypsumhook/gypsum"
)

// permitProcedure is the procedure with which a daemon asks another for a permit to send a
// request to a replica that limits its rate.
const permitProcedure = procedurePrefix + "permit"

// PermitHandler returns the HTTP handler that gives permits of a source to other daemons, and
// the path to serve it under.
func PermitHandler(permits gypsum.PermitSource) (path string, handler http.Handler) {
	return permitProcedure, countParts(connect.NewUnaryHandler(permitProcedure,
		func(ctx context.Context, request *connect.Request[gypsum.PermitRequest]) (*connect.Response[gypsum.PermitResponse], error) {
			response, err := permits.RequestPermit(ctx, *request.Msg)
			return newResponse(&response, err)
		}, connect.WithCodec(cborCodec{}), connect.WithReadMaxBytes(maxMessageBytes)))
}

// PermitsFrom implements gypsum.PeerPermits.
func (p *PeerClients) PermitsFrom(address string) gypsum.PermitSource {
	p.mu.Lock()
	defer p.mu.Unlock()
	if client, ok := p.permits[address]; ok {
		return client
	}
	client := &peerPermits{client: connect.NewClient[gypsum.PermitRequest, gypsum.PermitResponse](p.httpClient, "http://"+address+permitProcedure, clientOption())}
	p.permits[address] = client
	return client
}

// peerPermits is a client of another daemon's permits. It implements gypsum.PermitSource.
type peerPermits struct {
	client *connect.Client[gypsum.PermitRequest, gypsum.PermitResponse]
}

// RequestPermit implements gypsum.PermitSource.
func (p *peerPermits) RequestPermit(ctx context.Context, request gypsum.PermitRequest) (gypsum.PermitResponse, error) {
	response, err := p.client.CallUnary(ctx, connect.NewRequest(&request))
	if err != nil {
		return gypsum.PermitResponse{}, fmt.Errorf("request permit of a peer daemon: %w", err)
	}
	return *response.Msg, nil
}

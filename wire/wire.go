// Package wire implements the protocol between daemons: connect-go procedures whose
// messages are types of the root package encoded as CBOR.
package wire

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/intake"
)

// The procedures of the protocol.
const (
	procedurePrefix = "/gypsumhook.inner.v1/"
	submitProcedure = procedurePrefix + "submit"
	gossipProcedure = procedurePrefix + "gossip"
	pullProcedure   = procedurePrefix + "pull"
)

// Timeouts and limits of connections between daemons.
const (
	dialTimeout          = 500 * time.Millisecond
	pingInterval         = time.Second
	pingTimeout          = time.Second
	maxConcurrentStreams = 10000
	maxMessageBytes      = 64 << 20
)

// cborCodec implements connect.Codec with CBOR.
type cborCodec struct{}

// Name implements connect.Codec.
func (cborCodec) Name() string { return "cbor" }

// Marshal implements connect.Codec.
func (cborCodec) Marshal(message any) ([]byte, error) { return cbor.Marshal(message) }

// Unmarshal implements connect.Codec.
func (cborCodec) Unmarshal(data []byte, message any) error { return cbor.Unmarshal(data, message) }

// PeerHandler returns the HTTP handler that serves the protocol with server, and the path
// prefix to serve it under.
func PeerHandler(server gypsum.PeerServer) (path string, handler http.Handler) {
	mux := http.NewServeMux()
	options := []connect.HandlerOption{connect.WithCodec(cborCodec{}), connect.WithReadMaxBytes(maxMessageBytes)}
	mux.Handle(submitProcedure, connect.NewServerStreamHandler(submitProcedure,
		func(ctx context.Context, request *connect.Request[gypsum.Call], stream *connect.ServerStream[gypsum.Event]) error {
			return server.HandleSubmit(ctx, request.Msg, stream.Send)
		}, options...))
	mux.Handle(gossipProcedure, connect.NewUnaryHandler(gossipProcedure,
		func(ctx context.Context, request *connect.Request[gypsum.GossipRequest]) (*connect.Response[gypsum.GossipResponse], error) {
			return newResponse(server.HandleGossip(ctx, request.Msg))
		}, options...))
	mux.Handle(pullProcedure, connect.NewUnaryHandler(pullProcedure,
		func(ctx context.Context, request *connect.Request[gypsum.PullRequest]) (*connect.Response[pullResult], error) {
			response, err := server.HandlePull(ctx, request.Msg)
			var refusal *gypsum.Refusal
			if errors.As(err, &refusal) {
				return connect.NewResponse(&pullResult{Refusal: refusal}), nil
			}
			return newResponse(&pullResult{Response: response}, err)
		}, options...))
	return procedurePrefix, countParts(mux)
}

// pullResult is the response to a pull or its refusal.
type pullResult struct {
	Response *gypsum.PullResponse `json:"answer,omitempty"`
	Refusal  *gypsum.Refusal      `json:"refusal,omitempty"`
}

// newResponse wraps a message in a response, or err in an error with CodeUnavailable.
func newResponse[T any](message *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(message), nil
}

// ServerProtocols returns the HTTP versions that a daemon's server accepts.
func ServerProtocols() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// ServerHTTP2Config returns the HTTP/2 settings of a daemon's server for other daemons.
func ServerHTTP2Config() *http.HTTP2Config {
	return &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams}
}

// PeerClient sends requests to other daemons over HTTP/2. It implements
// gypsum.PeerClient.
type PeerClient struct {
	httpClient *http.Client

	mu      sync.Mutex
	clients map[string]*procedureClients
}

// procedureClients holds the clients of the procedures at one address.
type procedureClients struct {
	submit *connect.Client[gypsum.Call, gypsum.Event]
	gossip *connect.Client[gypsum.GossipRequest, gypsum.GossipResponse]
	pull   *connect.Client[gypsum.PullRequest, pullResult]
}

// NewPeerClient returns a client of other daemons, and a function that closes its idle
// connections.
func NewPeerClient() (peers *PeerClient, cleanup func()) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols: protocols, DialContext: Dial, TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13},
		MaxResponseHeaderBytes: MaxResponseHeaderBytes, HTTP2: &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
	return &PeerClient{httpClient: &http.Client{Transport: acceptedTransport{RoundTripper: transport}}, clients: make(map[string]*procedureClients)}, transport.CloseIdleConnections
}

// acceptedTransport reports requests that another daemon refused before it did anything with them, and limits
// responses.
type acceptedTransport struct {
	http.RoundTripper
	// maxBody is the size of a response at which it is broken off, 0 for any: connect-go reads a message that is too
	// large to its end.
	maxBody int64
}

// RoundTrip implements http.RoundTripper. The error of a refused request wraps gypsum.ErrNotSent.
func (t acceptedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	if err == nil && response.Header.Get(intake.NotAcceptedHeader) != "" {
		_ = response.Body.Close()
		return nil, fmt.Errorf("refused by the peer daemon: %w", gypsum.ErrNotSent)
	}
	if err == nil && t.maxBody > 0 {
		response.Body = http.MaxBytesReader(nil, response.Body, t.maxBody)
	}
	return response, err
}

// Dial connects to an address. Its errors wrap gypsum.ErrNotSent.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}

// dialError is a failure to connect, after which certainly no byte of the request was
// sent.
type dialError struct {
	cause error
}

// Error implements error.
func (e *dialError) Error() string { return "dial: " + e.cause.Error() }

// Unwrap returns the cause and gypsum.ErrNotSent.
func (e *dialError) Unwrap() []error { return []error{e.cause, gypsum.ErrNotSent} }

// clientsFor returns the clients of a daemon's procedures, creating them on first use.
func (p *PeerClient) clientsFor(member gypsum.Member) *procedureClients {
	p.mu.Lock()
	defer p.mu.Unlock()
	if clients, ok := p.clients[member.Address]; ok {
		return clients
	}
	base := "http://" + member.Address
	option := connect.WithClientOptions(connect.WithCodec(cborCodec{}), connect.WithReadMaxBytes(maxMessageBytes))
	clients := &procedureClients{
		submit: connect.NewClient[gypsum.Call, gypsum.Event](p.httpClient, base+submitProcedure, option),
		gossip: connect.NewClient[gypsum.GossipRequest, gypsum.GossipResponse](p.httpClient, base+gossipProcedure, option),
		pull:   connect.NewClient[gypsum.PullRequest, pullResult](p.httpClient, base+pullProcedure, option),
	}
	p.clients[member.Address] = clients
	return clients
}

// Submit implements gypsum.PeerClient.
func (p *PeerClient) Submit(ctx context.Context, peer gypsum.Member, call *gypsum.Call, sink gypsum.Sink) error {
	stream, err := p.clientsFor(peer).submit.CallServerStream(ctx, connect.NewRequest(call))
	if err != nil {
		return fmt.Errorf("submit call to %s: %w", peer.ID, err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		event := *stream.Msg()
		if event.Response != nil {
			if err := CheckHead(event.Response.Status, event.Response.Header); err != nil {
				return fmt.Errorf("check response passed on by %s: %w", peer.ID, err)
			}
			if err := buffer.Reserve(ctx, gypsum.Bytes(len(event.Response.Body)), intake.StallGrace); err != nil {
				return fmt.Errorf("count response of %s: %w", peer.ID, err)
			}
		}
		if err := sink(&event); err != nil {
			return err
		}
	}
	if err := stream.Err(); err != nil {
		return fmt.Errorf("receive response from %s: %w", peer.ID, err)
	}
	return nil
}

// Gossip implements gypsum.PeerClient.
func (p *PeerClient) Gossip(ctx context.Context, peer gypsum.Member, req *gypsum.GossipRequest) (*gypsum.GossipResponse, error) {
	response, err := p.clientsFor(peer).gossip.CallUnary(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fmt.Errorf("gossip with %s: %w", peer.ID, err)
	}
	return response.Msg, nil
}

// Pull implements gypsum.PeerClient. The error is a *gypsum.Refusal if the daemon refused
// the pull.
func (p *PeerClient) Pull(ctx context.Context, peer gypsum.Member, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
	response, err := p.clientsFor(peer).pull.CallUnary(ctx, connect.NewRequest(pull))
	if err != nil {
		return nil, fmt.Errorf("pull from %s: %w", peer.ID, err)
	}
	if response.Msg.Refusal != nil {
		return nil, response.Msg.Refusal
	}
	return response.Msg.Response, nil
}

// Package wire is the protocol between daemons: connect-go procedures whose
// messages are the root package's types in CBOR.
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
)

// The procedures of the protocol.
const (
	prefix          = "/gypsumhook.inner.v1/"
	submitProcedure = prefix + "submit"
	gossipProcedure = prefix + "gossip"
	pullProcedure   = prefix + "pull"
)

// Times and limits of connections between daemons.
const (
	dialTimeout  = 500 * time.Millisecond
	pingInterval = time.Second
	pingTimeout  = time.Second
	maxStreams   = 10000
	maxMessage   = 64 << 20
)

// codec is the CBOR codec of the protocol.
type codec struct{}

// Name is part of connect.Codec.
func (codec) Name() string { return "cbor" }

// Marshal is part of connect.Codec.
func (codec) Marshal(message any) ([]byte, error) { return cbor.Marshal(message) }

// Unmarshal is part of connect.Codec.
func (codec) Unmarshal(data []byte, message any) error { return cbor.Unmarshal(data, message) }

// Handler returns the HTTP handler of a daemon's side of the protocol.
func Handler(server gypsum.PeerServer) (path string, handler http.Handler) {
	mux := http.NewServeMux()
	options := []connect.HandlerOption{connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessage)}
	mux.Handle(submitProcedure, connect.NewServerStreamHandler(submitProcedure,
		func(ctx context.Context, request *connect.Request[gypsum.Call], stream *connect.ServerStream[gypsum.Event]) error {
			return server.HandleSubmit(ctx, request.Msg, stream.Send)
		}, options...))
	mux.Handle(gossipProcedure, connect.NewUnaryHandler(gossipProcedure,
		func(ctx context.Context, request *connect.Request[gypsum.GossipRequest]) (*connect.Response[gypsum.GossipResponse], error) {
			return respond(server.HandleGossip(ctx, request.Msg))
		}, options...))
	mux.Handle(pullProcedure, connect.NewUnaryHandler(pullProcedure,
		func(ctx context.Context, request *connect.Request[gypsum.PullRequest]) (*connect.Response[pullResult], error) {
			answer, err := server.HandlePull(ctx, request.Msg)
			var refusal *gypsum.Refusal
			if errors.As(err, &refusal) {
				return connect.NewResponse(&pullResult{Refusal: refusal}), nil
			}
			return respond(&pullResult{Answer: answer}, err)
		}, options...))
	return prefix, mux
}

// pullResult is the answer to a pull or its refusal.
type pullResult struct {
	Answer  *gypsum.PullResponse `json:"answer,omitempty"`
	Refusal *gypsum.Refusal      `json:"refusal,omitempty"`
}

// respond wraps an answer.
func respond[T any](answer *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(answer), nil
}

// Protocols returns the HTTP versions that daemons speak with each other.
func Protocols() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// ServerHTTP2 returns the HTTP/2 settings of a daemon's server.
func ServerHTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{MaxConcurrentStreams: maxStreams}
}

// Peers is the way to the other daemons over HTTP/2. It is a gypsum.PeerClient.
type Peers struct {
	client *http.Client

	mu    sync.Mutex
	known map[string]*peer
}

// peer is the clients for one address.
type peer struct {
	submit *connect.Client[gypsum.Call, gypsum.Event]
	gossip *connect.Client[gypsum.GossipRequest, gypsum.GossipResponse]
	pull   *connect.Client[gypsum.PullRequest, pullResult]
}

// NewPeers returns the way to the other daemons, and a function that closes
// its idle connections.
func NewPeers() (peers *Peers, cleanup func()) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols: protocols, DialContext: Dial, TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13},
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
	return &Peers{client: &http.Client{Transport: transport}, known: make(map[string]*peer)}, transport.CloseIdleConnections
}

// Dial connects to an address. Its error is gypsum.ErrNotSent.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}

// dialError is a connection that was never made.
type dialError struct {
	cause error
}

// Error says what failed.
func (e *dialError) Error() string { return "dial: " + e.cause.Error() }

// Unwrap returns the cause and gypsum.ErrNotSent.
func (e *dialError) Unwrap() []error { return []error{e.cause, gypsum.ErrNotSent} }

// to returns the clients for a daemon.
func (p *Peers) to(member gypsum.Member) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.known[member.Address]; ok {
		return known
	}
	base := "http://" + member.Address
	option := connect.WithClientOptions(connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessage))
	made := &peer{
		submit: connect.NewClient[gypsum.Call, gypsum.Event](p.client, base+submitProcedure, option),
		gossip: connect.NewClient[gypsum.GossipRequest, gypsum.GossipResponse](p.client, base+gossipProcedure, option),
		pull:   connect.NewClient[gypsum.PullRequest, pullResult](p.client, base+pullProcedure, option),
	}
	p.known[member.Address] = made
	return made
}

// Submit hands a call to a daemon.
func (p *Peers) Submit(ctx context.Context, to gypsum.Member, call *gypsum.Call, sink gypsum.Sink) error {
	stream, err := p.to(to).submit.CallServerStream(ctx, connect.NewRequest(call))
	if err != nil {
		return fmt.Errorf("submit to %s: %w", to.ID, err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		event := *stream.Msg()
		if err := sink(&event); err != nil {
			return err
		}
	}
	if err := stream.Err(); err != nil {
		return fmt.Errorf("answer from %s: %w", to.ID, err)
	}
	return nil
}

// Gossip asks a daemon for news.
func (p *Peers) Gossip(ctx context.Context, to gypsum.Member, gossip *gypsum.GossipRequest) (*gypsum.GossipResponse, error) {
	response, err := p.to(to).gossip.CallUnary(ctx, connect.NewRequest(gossip))
	if err != nil {
		return nil, fmt.Errorf("gossip with %s: %w", to.ID, err)
	}
	return response.Msg, nil
}

// Pull hands a trainer's pull to a daemon.
func (p *Peers) Pull(ctx context.Context, to gypsum.Member, pull *gypsum.PullRequest) (*gypsum.PullResponse, error) {
	response, err := p.to(to).pull.CallUnary(ctx, connect.NewRequest(pull))
	if err != nil {
		return nil, fmt.Errorf("pull from %s: %w", to.ID, err)
	}
	if response.Msg.Refusal != nil {
		return nil, response.Msg.Refusal
	}
	return response.Msg.Answer, nil
}

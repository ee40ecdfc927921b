package wire

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/intake"
)

// The procedures with which a daemon reaches replicas through another one.
const (
	replicaPrefix    = procedurePrefix + "replica_"
	reachesProcedure = replicaPrefix + "reaches"
	forwardProcedure = replicaPrefix + "forward"
)

const (
	// forwardChunkBytes is the size of one read of a forwarded response.
	forwardChunkBytes = 16 << 10
)

// reachesMessage is the response of the procedure that asks whether replicas are in reach.
type reachesMessage struct {
	Reaches bool `cbor:"1,keyasint"`
}

// forwardErrorCode is the kind of error of a forwarded request, as transmitted.
type forwardErrorCode string

// The codes of errors.
const (
	forwardNotSent     forwardErrorCode = "not_sent"
	forwardNotAccepted forwardErrorCode = "not_accepted"
	forwardMismatch    forwardErrorCode = "mismatch"
	forwardBroken      forwardErrorCode = "broken"
)

var (
	// errForwardBroken is the error of a response that broke off at the other daemon.
	errForwardBroken = errors.New("response broke off")
	// errNotAccepted is the error of a request that the other daemon did not accept.
	errNotAccepted = fmt.Errorf("%w: %w", gypsum.ErrPeerFailed, gypsum.ErrNotSent)
)

// forwardErrors are the errors of forwarded requests by their codes.
var forwardErrors = map[forwardErrorCode]error{
	forwardNotSent: gypsum.ErrNotSent, forwardNotAccepted: errNotAccepted, forwardMismatch: gypsum.ErrResponseMismatch, forwardBroken: errForwardBroken,
}

// forwardErrorCodeOf returns the code of an error.
func forwardErrorCodeOf(err error) forwardErrorCode {
	switch {
	case errors.Is(err, gypsum.ErrPeerFailed):
		return forwardNotAccepted
	case errors.Is(err, gypsum.ErrNotSent):
		return forwardNotSent
	case errors.Is(err, gypsum.ErrResponseMismatch):
		return forwardMismatch
	}
	return forwardBroken
}

// forwardMessage is a part of the response to a forwarded request. The first one has the status
// and the header, the last one is marked as the end or has an error.
type forwardMessage struct {
	Status int              `cbor:"1,keyasint,omitempty"`
	Header http.Header      `cbor:"2,keyasint,omitempty"`
	Data   []byte           `cbor:"3,keyasint,omitempty"`
	End    bool             `cbor:"4,keyasint,omitempty"`
	Error  forwardErrorCode `cbor:"5,keyasint,omitempty"`
	Detail string           `cbor:"6,keyasint,omitempty"`
}

// ReplicaHandler returns the HTTP handlers that give other daemons access to the replicas that
// this one reaches, by their paths. memory limits the total size of the forwarded requests.
func ReplicaHandler(replicas gypsum.RemoteReplicas, memory *buffer.Pool) map[string]http.Handler {
	options := []connect.HandlerOption{connect.WithCodec(cborCodec{}), connect.WithReadMaxBytes(int(memory.Usage().Limit))}
	forward := connect.NewServerStreamHandler(forwardProcedure,
		func(ctx context.Context, request *connect.Request[gypsum.ForwardedRequest], stream *connect.ServerStream[forwardMessage]) error {
			return sendForwarded(ctx, replicas, request.Msg, stream)
		}, options...)
	return map[string]http.Handler{
		reachesProcedure: countParts(connect.NewUnaryHandler(reachesProcedure,
			func(ctx context.Context, request *connect.Request[gypsum.ReachQuery]) (*connect.Response[reachesMessage], error) {
				reaches, err := replicas.Reaches(ctx, *request.Msg)
				return newResponse(&reachesMessage{Reaches: reaches}, err)
			}, options...)),
		forwardProcedure: &requestMemory{next: forward, memory: memory},
	}
}

// requestMemory limits the total size of the requests that a handler reads, decoded as well. It does not
// read those beyond the limit.
type requestMemory struct {
	next   http.Handler
	memory *buffer.Pool
}

// ServeHTTP implements http.Handler.
func (m *requestMemory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	intake.CountedElsewhere(r)
	size := gypsum.Bytes(r.ContentLength)
	holder := m.memory.Open("", m.memory.Usage().Limit, nil, time.Now())
	defer holder.Close()
	if size < 0 || holder.Add(size) != nil {
		refuseMessage(w)
		return
	}
	body, err := buffer.ReadFull(r.Body, r.ContentLength)
	if err != nil {
		http.Error(w, fmt.Sprintf("the request did not come whole: %v", err), http.StatusBadRequest)
		return
	}
	if holder.Add(messageMemory(r.Header, body)) != nil {
		refuseMessage(w)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	m.next.ServeHTTP(w, r)
}

// sendForwarded forwards a request to a replica and sends the parts of the response as they
// arrive.
func sendForwarded(ctx context.Context, replicas gypsum.RemoteReplicas, request *gypsum.ForwardedRequest, stream *connect.ServerStream[forwardMessage]) error {
	response, err := replicas.Forward(ctx, request)
	if err != nil {
		return stream.Send(&forwardMessage{Error: forwardErrorCodeOf(err), Detail: err.Error()})
	}
	defer func() { _ = response.Body.Close() }()
	if err := stream.Send(&forwardMessage{Status: response.Status, Header: response.Header}); err != nil {
		return err
	}
	buffer := make([]byte, forwardChunkBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if err := stream.Send(&forwardMessage{Data: buffer[:n]}); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			return stream.Send(&forwardMessage{End: true})
		case err != nil:
			return stream.Send(&forwardMessage{Error: forwardBroken, Detail: err.Error()})
		}
	}
}

// forwardTransport sends each request at most once: a request without GetBody is never repeated
// by http.Transport.
type forwardTransport struct {
	http.RoundTripper
}

// RoundTrip implements http.RoundTripper. The error wraps gypsum.ErrNotSent if no connection was
// obtained or the other daemon did not read the request.
func (t forwardTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	single := request.Clone(httptrace.WithClientTrace(request.Context(), trace))
	single.GetBody = nil
	response, err := t.RoundTripper.RoundTrip(single)
	switch {
	case err != nil && !connected:
		return nil, fmt.Errorf("connect to peer daemon: %w: %w", errNotAccepted, err)
	case err == nil && response.Header.Get(intake.NotAcceptedHeader) != "":
		_ = response.Body.Close()
		return nil, fmt.Errorf("no memory left there: %w", errNotAccepted)
	}
	return response, err
}

// ReplicasVia implements gypsum.PeerReplicas.
func (p *PeerClients) ReplicasVia(address string) gypsum.RemoteReplicas {
	p.mu.Lock()
	defer p.mu.Unlock()
	if client, ok := p.replicas[address]; ok {
		return client
	}
	forwardClient := &http.Client{Transport: forwardTransport{p.transport}}
	client := &peerReplicas{
		peers:   p,
		reaches: connect.NewClient[gypsum.ReachQuery, reachesMessage](p.httpClient, "http://"+address+reachesProcedure, clientOption()),
		forward: connect.NewClient[gypsum.ForwardedRequest, forwardMessage](forwardClient, "http://"+address+forwardProcedure, clientOption()),
	}
	p.replicas[address] = client
	return client
}

// peerReplicas is a client of the replicas that another daemon reaches. It implements
// gypsum.RemoteReplicas.
type peerReplicas struct {
	peers   *PeerClients
	reaches *connect.Client[gypsum.ReachQuery, reachesMessage]
	forward *connect.Client[gypsum.ForwardedRequest, forwardMessage]
}

// Reaches implements gypsum.RemoteReplicas.
func (p *peerReplicas) Reaches(ctx context.Context, query gypsum.ReachQuery) (bool, error) {
	response, err := p.reaches.CallUnary(ctx, connect.NewRequest(&query))
	if err != nil {
		return false, fmt.Errorf("ask a peer daemon for replicas: %w", err)
	}
	return response.Msg.Reaches, nil
}

// Forward implements gypsum.RemoteReplicas.
func (p *peerReplicas) Forward(ctx context.Context, request *gypsum.ForwardedRequest) (*gypsum.ForwardedResponse, error) {
	size := gypsum.Bytes(len(request.Body))
	holder := p.peers.ForwardMemory.Open("", size, nil, time.Now())
	defer holder.Close()
	if holder.Add(size) != nil {
		return nil, fmt.Errorf("no memory left to forward a request of %d bytes: %w", size, gypsum.ErrNotSent)
	}
	callCtx, cancel := withLaterDeadline(ctx)
	stream, err := p.forward.CallServerStream(callCtx, connect.NewRequest(request))
	if err != nil {
		cancel()
		return nil, forwardError(ctx, fmt.Errorf("%w: %w", gypsum.ErrPeerFailed, err))
	}
	body := &forwardedBody{ctx: ctx, stream: stream, cancel: cancel}
	first, err := body.receive()
	if err != nil {
		_ = body.Close()
		return nil, forwardError(ctx, err)
	}
	return &gypsum.ForwardedResponse{Status: first.Status, Header: first.Header, Body: body}, nil
}

// forwardDeadlineSlack is how much later than this daemon another one gives a request up, which
// otherwise ends with the connection. A request that both give up at once would look as if the
// replica had broken off its response.
const forwardDeadlineSlack = 250 * time.Millisecond

// withLaterDeadline returns a context that ends with ctx and whose deadline, which is transmitted,
// is later by forwardDeadlineSlack.
func withLaterDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	later, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	cancelAll := func() {
		stop()
		cancel()
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return later, cancelAll
	}
	later, cancelDeadline := context.WithDeadline(later, deadline.Add(forwardDeadlineSlack))
	return later, func() {
		cancelDeadline()
		cancelAll()
	}
}

// forwardError adds the cause to the error of a request whose context has ended.
func forwardError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("forward request through a peer daemon: %w: %w", ctx.Err(), err)
	}
	return fmt.Errorf("forward request through a peer daemon: %w", err)
}

// forwardedBody is the body of a forwarded response.
type forwardedBody struct {
	// ctx is that of the caller.
	ctx    context.Context
	stream *connect.ServerStreamForClient[forwardMessage]
	cancel context.CancelFunc
	unread []byte
	ended  bool
}

// receive returns the next part of the response, or the error of the other daemon.
func (b *forwardedBody) receive() (*forwardMessage, error) {
	if !b.stream.Receive() {
		return nil, fmt.Errorf("%w: response ended early: %w", gypsum.ErrPeerFailed, b.stream.Err())
	}
	message := b.stream.Msg()
	if message.Error == "" {
		return message, nil
	}
	sentinel, ok := forwardErrors[message.Error]
	if !ok {
		sentinel = errForwardBroken
	}
	return nil, fmt.Errorf("peer daemon: %s: %w", message.Detail, sentinel)
}

// Read implements io.Reader.
func (b *forwardedBody) Read(buffer []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		message, err := b.receive()
		if err != nil {
			return 0, forwardError(b.ctx, err)
		}
		b.unread, b.ended = message.Data, message.End
		if b.ended {
			// The connection can be used again once the end of the stream has been read.
			_ = b.stream.Receive()
		}
	}
	n := copy(buffer, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close implements io.Closer. It ends the request if the response is not complete.
func (b *forwardedBody) Close() error {
	b.cancel()
	// The error is that of the cancellation.
	_ = b.stream.Close()
	return nil
}

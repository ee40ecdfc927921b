package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/relay"
)

// eventTransport streams events of one kilobyte without a pause.
type eventTransport struct {
	gypsum.ReplicaTransport
	events int

	mu         sync.Mutex
	read       int
	lastRead   time.Time
	longestGap time.Duration
	closedAt   time.Time
}

// Stream implements gypsum.ReplicaTransport.
func (t *eventTransport) Stream(context.Context, *gypsum.Replica, *gypsum.LiveRequest, time.Duration, int64) (gypsum.LiveStream, error) {
	t.lastRead = time.Now()
	return &eventStream{t}, nil
}

// eventStream is the response of an eventTransport.
type eventStream struct{ t *eventTransport }

func (s *eventStream) Response() *gypsum.LiveResponse {
	return &gypsum.LiveResponse{Status: http.StatusOK, Header: make(http.Header)}
}
func (s *eventStream) IsEventStream() bool { return true }

func (s *eventStream) Next() (int64, []byte, error) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.t.longestGap, s.t.lastRead = max(s.t.longestGap, time.Since(s.t.lastRead)), time.Now()
	if s.t.read == s.t.events {
		return 0, nil, io.EOF
	}
	s.t.read++
	return int64(s.t.read), make([]byte, 1024), nil
}

func (s *eventStream) Close() error {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.t.closedAt = time.Now()
	return nil
}

// slowSink is a client that needs some time for each event.
type slowSink struct {
	perEvent time.Duration
	once     sync.Once
	aborted  chan struct{}

	mu       sync.Mutex
	received int
}

func newSlowSink(perEvent time.Duration) *slowSink {
	return &slowSink{perEvent: perEvent, aborted: make(chan struct{})}
}

func (s *slowSink) BeginResponse(*gypsum.LiveResponse) error { return nil }

func (s *slowSink) WriteEvent([]byte) error {
	select {
	case <-s.aborted:
		return io.ErrClosedPipe
	case <-time.After(s.perEvent):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received++
	return nil
}

func (s *slowSink) Abort() { s.once.Do(func() { close(s.aborted) }) }

// TestSlowClientOfStream guards against a client that reads slowly and thereby holds up the
// reading of the replica's response, which the replica aborts after some seconds. Up to the bound
// the events are held for the client, beyond it the client loses its stream.
func TestSlowClientOfStream(t *testing.T) {
	for name, row := range map[string]struct {
		events   int
		perEvent time.Duration
		complete bool
	}{
		"within the bound": {events: 400, perEvent: 100 * time.Millisecond, complete: true},
		"beyond the bound": {events: 5000, perEvent: 3 * time.Second},
		"fast":             {events: 300, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newFullDeployment(t, 1)
				transport := &eventTransport{events: row.events}
				d.relays[0].Transport = transport
				sink, now := newSlowSink(row.perEvent), time.Now()
				err := d.relays[0].ServeStream(t.Context(), streamRequest("stream", 60*time.Second), sink)
				is.True(transport.longestGap < time.Second) // the replica's response is read in time
				if row.complete {
					is.NoErr(err)
					is.Equal(sink.received, row.events)
				} else {
					is.True(errors.Is(err, relay.ErrStreamInterrupted))
					is.True(time.Since(now) < 10*time.Second)
					is.True(transport.read <= 520) // kilobytes
					is.Equal(d.relays[0].Stats.SlowClients.Load(), int64(1))
				}
				is.Equal(d.relays[0].Buffers.Usage().Used, gypsum.Bytes(0))
				is.Equal(d.relays[0].Buffers.Usage().Holders, 0)
				is.Equal(d.relays[0].InFlightCount(), 0)
			})
		})
	}
}

// streamRequest returns a request for a stream that cannot be resumed.
func streamRequest(id gypsum.RequestID, timeout time.Duration) *relay.Request {
	now := time.Now()
	return &relay.Request{
		LiveRequest: gypsum.LiveRequest{ID: id, Method: http.MethodPost, Target: "/x", Header: make(http.Header)},
		Route:       &gypsum.Route{Name: "desk", Kind: gypsum.RouteStreaming, MaxAttempts: 3, LatencyTarget: 250 * time.Millisecond},
		Service:     deskService, Arrived: now, Deadline: now.Add(timeout),
	}
}

// bodyCounter measures the bytes of request bodies in flight to each replica.
type bodyCounter struct {
	gypsum.ReplicaTransport
	mu       sync.Mutex
	inFlight map[gypsum.BackendID]int
	most     int
}

// RoundTrip implements gypsum.ReplicaTransport.
func (c *bodyCounter) RoundTrip(ctx context.Context, replica *gypsum.Replica, request *gypsum.LiveRequest, budget time.Duration) (*gypsum.LiveResponse, error) {
	c.mu.Lock()
	c.inFlight[replica.ID] += len(request.Body)
	c.most = max(c.most, c.inFlight[replica.ID])
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.inFlight[replica.ID] -= len(request.Body)
	}()
	return c.ReplicaTransport.RoundTrip(ctx, replica, request, budget)
}

// TestBodiesInFlight guards against bodies that exceed the memory of a replica that reads or
// works slowly: it gets at most two megabytes for each of its two slots, or a single larger body.
// No request is refused for it.
func TestBodiesInFlight(t *testing.T) {
	for _, row := range []struct{ size, most int }{{1 << 20, 2 << 20}, {3 << 20, 3 << 20}, {9 << 20, 9 << 20}} {
		t.Run(fmt.Sprint(row.size>>20, " MB"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newFullDeployment(t, 1)
				counter := &bodyCounter{ReplicaTransport: d.replicas, inFlight: make(map[gypsum.BackendID]int)}
				d.relays[0].Transport = counter
				body := make([]byte, row.size)
				var wg sync.WaitGroup
				for i := range 12 {
					wg.Go(func() {
						request := streamRequest(gypsum.RequestID(fmt.Sprint("r", i)), 2*time.Second)
						request.Route.Kind, request.Body = gypsum.RouteNonIdempotent, body
						_, refusal := d.relays[0].Serve(t.Context(), request)
						is.True(refusal == nil)
					})
				}
				wg.Wait()
				is.Equal(counter.most, row.most)
			})
		})
	}
}

// bodyTransport responds to streams with a complete response.
type bodyTransport struct{ eventTransport }

// Stream implements gypsum.ReplicaTransport.
func (t *bodyTransport) Stream(context.Context, *gypsum.Replica, *gypsum.LiveRequest, time.Duration, int64) (gypsum.LiveStream, error) {
	return &bodyStream{eventStream{&t.eventTransport}}, nil
}

// bodyStream is the response of a bodyTransport.
type bodyStream struct{ eventStream }

func (s *bodyStream) Response() *gypsum.LiveResponse {
	return &gypsum.LiveResponse{Status: http.StatusBadRequest, Header: make(http.Header), Body: []byte("body")}
}
func (s *bodyStream) IsEventStream() bool { return false }

// slowHeadSink is a client that reads the head and the body of a response slowly.
type slowHeadSink struct{ *slowSink }

func (s *slowHeadSink) BeginResponse(*gypsum.LiveResponse) error { return s.WriteEvent(nil) }

// TestSlowClientHoldsNoSlot guards against a client that reads the head of a stream, or a complete
// response, slowly and thereby occupies a slot of a replica that has ended its response: others
// would be refused while the replicas are idle, and the replica would count as slow.
func TestSlowClientHoldsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newFullDeployment(t, 1)
		d.relays[0].Transport = &bodyTransport{}
		var wg sync.WaitGroup
		for i := range 6 { // as many as there are slots
			wg.Go(func() {
				sink := &slowHeadSink{newSlowSink(5 * time.Second)}
				is.NoErr(d.relays[0].ServeStream(t.Context(), streamRequest(gypsum.RequestID(fmt.Sprint("s", i)), 60*time.Second), sink))
				is.Equal(sink.received, 1)
			})
		}
		time.Sleep(time.Second)
		is.Equal(d.relays[0].InFlightCount(), 0)
		is.Equal(d.relays[0].WaitingCount(), 0)
		wg.Wait()
	})
}

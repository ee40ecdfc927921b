package intake_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/intake"
)

// testServer is a server behind a port.
type testServer struct {
	t       *testing.T
	port    *intake.Port
	address string
	limits  atomic.Pointer[gypsum.ClientLimits]
	// block holds requests to /block until it is closed.
	block chan struct{}
	// countedElsewhere means that the handler counts bodies.
	countedElsewhere atomic.Bool
}

// newTestServer starts a server with shares. change may change its port.
func newTestServer(t *testing.T, shares intake.Shares, change func(*intake.Port)) *testServer {
	s := &testServer{t: t, port: &intake.Port{Name: "test", Shares: shares}, block: make(chan struct{})}
	s.limits.Store(&gypsum.ClientLimits{MaxHeader: 8 << 10, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 600 * time.Millisecond})
	s.port.Limits = func() gypsum.ClientLimits { return *s.limits.Load() }
	if change != nil {
		change(s.port)
	}
	listener, err := s.port.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/block" {
			<-s.block
		}
		if s.countedElsewhere.Load() {
			intake.CountedElsewhere(r)
		}
		content, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInsufficientStorage)
			return
		}
		_, _ = fmt.Fprintf(w, "%d", len(content))
	})}
	s.port.Protect(server)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	s.address = listener.Addr().String()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
	})
	return s
}

// ample are shares that no test uses up.
func ample() intake.Shares {
	return intake.NewShares(intake.Resources{Memory: 256 << 20, Descriptors: 4096})
}

// dial opens a connection, which ends with the test.
func (s *testServer) dial() net.Conn {
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// send sends text on a connection and returns the status of the next response, 0 if there is none.
func send(conn net.Conn, text string) (int, http.Header) {
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, nil
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode, response.Header
}

const get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// TestLimitsInForce checks that heads above the limit, heads that come slowly and idle connections get
// their documented ends, that a connection may be used until then, and that changed limits are in force.
func TestLimitsInForce(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, ample(), nil)
	head := func(size int) string {
		return "GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", size) + "\r\n\r\n"
	}
	status, _ := send(s.dial(), head(8<<10))
	is.Equal(status, http.StatusOK)
	for _, large := range []string{head(13 << 10), head(1 << 20), "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 1<<18)} {
		status, _ := send(s.dial(), large)
		is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
	}
	is.Equal(s.port.Stats.HeadsTooLarge.Load(), int64(3))
	s.limits.Store(&gypsum.ClientLimits{MaxHeader: 64 << 10, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 600 * time.Millisecond})
	status, _ = send(s.dial(), head(60<<10))
	is.Equal(status, http.StatusOK)

	conn := s.dial()
	status, _ = send(conn, get)
	is.Equal(status, http.StatusOK)
	time.Sleep(480 * time.Millisecond) // four fifths of the limit
	status, _ = send(conn, get)
	is.Equal(status, http.StatusOK)
	start := time.Now()
	_, err := conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(time.Since(start) >= 600*time.Millisecond)

	conn = s.dial()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost")
	is.NoErr(err)
	start = time.Now()
	content, err := io.ReadAll(conn)
	is.NoErr(err)
	is.True(time.Since(start) >= 300*time.Millisecond)
	is.True(strings.HasPrefix(string(content), "HTTP/1.1 408 "))
	is.Equal(strings.Count(string(content), "HTTP/1.1"), 1) // nothing follows the refusal
}

// TestRequestsBeyondShare checks that requests beyond the share are refused at once, that a small one gets
// in beside large ones, and that room is free again when requests end.
func TestRequestsBeyondShare(t *testing.T) {
	is := is.New(t)
	shares := ample()
	shares.Requests = 4 << 20
	s := newTestServer(t, shares, nil)
	var lines bytes.Buffer
	for i := range 1400 {
		fmt.Fprintf(&lines, "a%x:\r\n", i)
	}
	large := "GET /block HTTP/1.1\r\nHost: x\r\n" + lines.String() + "\r\n"
	first := s.dial()
	_, err := io.WriteString(first, large)
	is.NoErr(err)
	for s.port.Stats.Requests.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	var refused, others int
	for range 6 {
		conn := s.dial()
		_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		switch status, header := send(conn, large); {
		case status == http.StatusServiceUnavailable:
			refused++
			is.True(header.Get("Retry-After") != "")
		default:
			others++
		}
	}
	is.True(refused >= 4)
	status, _ := send(s.dial(), get)
	is.Equal(status, http.StatusOK)
	close(s.block)
	response, err := http.ReadResponse(bufio.NewReader(first), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	status, _ = send(s.dial(), large)
	is.Equal(status, http.StatusOK)
	for s.port.Stats.Memory.Load() != 0 || s.port.Stats.Requests.Load() != 0 {
		time.Sleep(time.Millisecond) // all is given back, or the test times out
	}
}

// TestHeadsMakeRoom checks that heads that do not come whole make room for requests, the largest first, and
// that their clients are told.
func TestHeadsMakeRoom(t *testing.T) {
	is := is.New(t)
	shares := ample()
	shares.Requests = 1 << 20
	s := newTestServer(t, shares, nil)
	s.limits.Store(&gypsum.ClientLimits{MaxHeader: 64 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second})
	var conns []net.Conn
	for range 40 {
		conn := s.dial()
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 500))
		is.NoErr(err)
		conns = append(conns, conn)
	}
	for range 50 { // also before requests make room
		is.True(s.port.Stats.Memory.Load() <= 1<<20)
		time.Sleep(time.Millisecond)
	}
	for range 20 {
		status, _ := send(s.dial(), get)
		is.Equal(status, http.StatusOK)
	}
	is.True(s.port.Stats.Memory.Load() <= 1<<20)
	refused := 0
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			refused++
		}
	}
	is.True(refused > 20)
}

// TestStalledBodyMakesRoom checks that bodies that stop lose their memory to others, and that one without
// room fails.
func TestStalledBodyMakesRoom(t *testing.T) {
	is := is.New(t)
	bodies := buffer.NewPool(1 << 20)
	s := newTestServer(t, ample(), func(p *intake.Port) { p.Bodies = bodies })
	post := func(size int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
	}
	stalled := s.dial()
	_, err := io.WriteString(stalled, post(1<<20)+strings.Repeat("x", 900<<10))
	is.NoErr(err)
	for bodies.Usage().Used < 800<<10 {
		time.Sleep(time.Millisecond)
	}
	status, _ := send(s.dial(), post(1000)+strings.Repeat("x", 1000))
	is.Equal(status, http.StatusOK) // a small body needs no memory of its own
	status, _ = send(s.dial(), post(500<<10)+strings.Repeat("x", 500<<10))
	is.Equal(status, http.StatusInsufficientStorage)
	time.Sleep(intake.StallGrace + 50*time.Millisecond)
	status, _ = send(s.dial(), post(500<<10)+strings.Repeat("x", 500<<10))
	is.Equal(status, http.StatusOK)
	status, _ = send(s.dial(), post(2<<20)+strings.Repeat("x", 2<<20))
	is.Equal(status, http.StatusInsufficientStorage)
	for bodies.Usage().Used != 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestBodyCountedElsewhere checks that a body that its handler counts does not need the memory of the port.
func TestBodyCountedElsewhere(t *testing.T) {
	is := is.New(t)
	bodies := buffer.NewPool(100 << 10)
	for _, elsewhere := range []bool{false, true} {
		s := newTestServer(t, ample(), func(p *intake.Port) { p.Bodies, p.BodyCopies = bodies, 3 })
		s.countedElsewhere.Store(elsewhere)
		status, _ := send(s.dial(), fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", 400<<10, strings.Repeat("x", 400<<10)))
		want := http.StatusInsufficientStorage
		if elsewhere {
			want = http.StatusOK
		}
		is.Equal(status, want)
	}
	is.Equal(int(bodies.Usage().Used), 0)
}

// TestIdleConnectionsMakeRoom checks that new connections are served while others are idle, and that one
// in use stays.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	shares := ample()
	shares.MaxConns = 20
	s := newTestServer(t, shares, nil)
	s.limits.Store(&gypsum.ClientLimits{MaxHeader: 8 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second})
	used := s.dial()
	for range 3 {
		status, _ := send(used, get)
		is.Equal(status, http.StatusOK)
	}
	for range 100 {
		status, _ := send(s.dial(), get)
		is.Equal(status, http.StatusOK)
	}
	for range 100 {
		s.dial()
	}
	status, _ := send(s.dial(), get)
	is.Equal(status, http.StatusOK)
	status, _ = send(used, get)
	is.Equal(status, http.StatusOK)
	is.True(s.port.Stats.Connections.Load() <= 20+16)
	is.True(s.port.Stats.Evicted.Load() > 0)
}

// TestHeadThatCameInTime checks that a head whose deadline passed while the process was suspended is read.
func TestHeadThatCameInTime(t *testing.T) {
	is := is.New(t)
	port := &intake.Port{Name: "test", Shares: ample()}
	port.Protect(&http.Server{})
	listener, err := port.Listen("127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	_, err = io.WriteString(client, get)
	is.NoErr(err)
	accepted, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = accepted.Close() }()
	time.Sleep(10 * time.Millisecond)
	is.NoErr(accepted.SetReadDeadline(time.Now().Add(-time.Second)))
	content := make([]byte, 100)
	n, err := accepted.Read(content)
	is.NoErr(err)
	is.Equal(string(content[:n]), get)
}

// TestRefusedStreams checks that requests of an HTTP/2 connection beyond the share are refused, and that the
// others are served.
func TestRefusedStreams(t *testing.T) {
	is := is.New(t)
	shares := ample()
	shares.MaxRequests = 4
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	s := &testServer{t: t, port: &intake.Port{Name: "test", Shares: shares}, block: make(chan struct{})}
	listener, err := s.port.Listen("127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/block" {
			<-s.block
		}
	})}
	s.port.Protect(server)
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{Protocols: protocols}}
	defer client.CloseIdleConnections()
	results := make(chan int, 12)
	for range 12 {
		go func() {
			response, err := client.Get("http://" + listener.Addr().String() + "/block")
			if err != nil {
				results <- 0
				return
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(intake.NotAcceptedHeader) == "" {
				results <- -1
				return
			}
			results <- response.StatusCode
		}()
	}
	counts := make(map[int]int)
	for range 8 {
		counts[<-results]++
	}
	close(s.block)
	for range 4 {
		counts[<-results]++
	}
	is.Equal(counts, map[int]int{http.StatusServiceUnavailable: 8, http.StatusOK: 4})
}

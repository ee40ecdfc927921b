package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// proxyFault is what a proxy does to its connections.
type proxyFault int

// The faults of a proxy.
const (
	proxyPasses proxyFault = iota
	// proxySilent passes nothing and closes nothing.
	proxySilent
	// proxyDeaf passes what the caller sends and none of the answers.
	proxyDeaf
	// proxySlow passes everything late.
	proxySlow
	// proxyRefuses resets open connections and closes new ones.
	proxyRefuses
)

// slowBy is the delay of proxySlow.
const slowBy = 120 * time.Millisecond

// proxy passes connections on to an address on loopback.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault proxyFault
	conns map[net.Conn]bool
}

// newProxy returns a proxy that ends with the test.
func newProxy(t *testing.T, target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	made := &proxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		made.accept(ctx)
	}()
	t.Cleanup(func() {
		stop()
		_ = listener.Close()
		made.setFault(proxyRefuses)
		<-ended
	})
	return made
}

// address is where the proxy listens.
func (p *proxy) address() string { return p.listener.Addr().String() }

// setFault puts the proxy into a fault.
func (p *proxy) setFault(fault proxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	if fault != proxyRefuses {
		return
	}
	for conn := range p.conns {
		_ = conn.Close()
	}
	clear(p.conns)
}

// now returns the present fault.
func (p *proxy) now() proxyFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// keep notes an open connection, false if the proxy refuses.
func (p *proxy) keep(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == proxyRefuses {
		return false
	}
	p.conns[conn] = true
	return true
}

// accept passes connections on until the listener is closed.
func (p *proxy) accept(ctx context.Context) {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		if !p.keep(from) {
			_ = from.Close()
			continue
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil || !p.keep(to) {
			_ = from.Close()
			continue
		}
		go p.pass(ctx, from, to, false)
		go p.pass(ctx, to, from, true)
	}
}

// pass copies one direction; answers tells which.
func (p *proxy) pass(ctx context.Context, from, to net.Conn, answers bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		for fault := p.now(); fault == proxySilent || (fault == proxyDeaf && answers); fault = p.now() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
		if p.now() == proxySlow {
			time.Sleep(slowBy)
		}
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

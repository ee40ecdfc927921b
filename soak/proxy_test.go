package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// proxyFault is a network fault that a proxy simulates.
type proxyFault int

// The faults of a proxy. proxyForward is none.
const (
	proxyForward proxyFault = iota
	// proxyHoldAll keeps connections open and forwards nothing.
	proxyHoldAll
	// proxyHoldResponses forwards requests and holds responses back.
	proxyHoldResponses
	// proxyDelay forwards all data after proxyDelayTime.
	proxyDelay
	// proxyClose closes open and new connections.
	proxyClose
)

// proxyDelayTime is the delay of each chunk of data under proxyDelay.
const proxyDelayTime = 120 * time.Millisecond

// proxy is a TCP proxy for an address on loopback.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault proxyFault
	conns map[net.Conn]bool
}

// newProxy starts a proxy that runs until the test ends.
func newProxy(t *testing.T, target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.acceptLoop(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		p.setFault(proxyClose)
		<-done
	})
	return p
}

// address returns the address on which the proxy listens.
func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setFault(fault proxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	if fault != proxyClose {
		return
	}
	for conn := range p.conns {
		_ = conn.Close()
	}
	clear(p.conns)
}

func (p *proxy) currentFault() proxyFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// trackConn records an open connection. It returns false if the proxy refuses connections.
func (p *proxy) trackConn(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == proxyClose {
		return false
	}
	p.conns[conn] = true
	return true
}

// acceptLoop accepts and forwards connections until the listener is closed.
func (p *proxy) acceptLoop(ctx context.Context) {
	for {
		src, err := p.listener.Accept()
		if err != nil {
			return
		}
		if !p.trackConn(src) {
			_ = src.Close()
			continue
		}
		dst, err := net.Dial("tcp", p.target)
		if err != nil || !p.trackConn(dst) {
			_ = src.Close()
			continue
		}
		go p.forwardConn(ctx, src, dst, false)
		go p.forwardConn(ctx, dst, src, true)
	}
}

// forwardConn copies one direction of a connection. responses is true for the direction from
// the target.
func (p *proxy) forwardConn(ctx context.Context, src, dst net.Conn, responses bool) {
	defer func() { _ = dst.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		for fault := p.currentFault(); fault == proxyHoldAll || (fault == proxyHoldResponses && responses); fault = p.currentFault() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
		if p.currentFault() == proxyDelay {
			time.Sleep(proxyDelayTime)
		}
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

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
	proxyForward proxyFault = iota
	// proxyHoldAll passes nothing and closes nothing.
	proxyHoldAll
	// proxyHoldResponses passes what the caller sends and none of the answers.
	proxyHoldResponses
	// proxyDelay passes everything late.
	proxyDelay
	// proxyReset resets open connections and closes new ones.
	proxyReset
)

// proxyDelayTime is the delay of proxySlow.
const proxyDelayTime = 120 * time.Millisecond

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
		p.setFault(proxyReset)
		<-done
	})
	return p
}

// address is where the proxy listens.
func (p *proxy) address() string { return p.listener.Addr().String() }

// setFault puts the proxy into a fault.
func (p *proxy) setFault(fault proxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	if fault != proxyReset {
		return
	}
	for conn := range p.conns {
		_ = conn.Close()
	}
	clear(p.conns)
}

// currentFault returns the present fault.
func (p *proxy) currentFault() proxyFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// track notes an open connection, false if the proxy refuses.
func (p *proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == proxyReset {
		return false
	}
	p.conns[conn] = true
	return true
}

// acceptLoop passes connections on until the listener is closed.
func (p *proxy) acceptLoop(ctx context.Context) {
	for {
		src, err := p.listener.Accept()
		if err != nil {
			return
		}
		if !p.track(src) {
			_ = src.Close()
			continue
		}
		dst, err := net.Dial("tcp", p.target)
		if err != nil || !p.track(dst) {
			_ = src.Close()
			continue
		}
		go p.forward(ctx, src, dst, false)
		go p.forward(ctx, dst, src, true)
	}
}

// forward copies one direction; answers tells which.
func (p *proxy) forward(ctx context.Context, src, dst net.Conn, responses bool) {
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

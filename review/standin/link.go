package main

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"
)

// link is the path of one machine to the store. It can make open channels silent for good, without a
// reset, while new ones work.
type link struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	channels map[*channel]bool
}

// channel is one TCP connection through a link.
type channel struct {
	mu     sync.Mutex
	last   string
	silent atomic.Bool
}

func newLink(target string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	l := &link{listener: listener, target: target, channels: make(map[*channel]bool)}
	go l.accept()
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *link) serve(client net.Conn) {
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &channel{}
	l.mu.Lock()
	l.channels[c] = true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	closeBoth := func() { _, _ = client.Close(), server.Close() }
	go func() { defer both.Done(); c.copy(server, client, true); closeBoth() }()
	go func() { defer both.Done(); c.copy(client, server, false); closeBoth() }()
	both.Wait()
	l.mu.Lock()
	delete(l.channels, c)
	l.mu.Unlock()
}

// copy passes bytes on, and drops them once the channel is silent.
func (c *channel) copy(dst, src net.Conn, requests bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := src.Read(buffer)
		if err != nil {
			return
		}
		if c.silent.Load() {
			continue
		}
		if requests {
			if line, _, found := strings.Cut(string(buffer[:n]), " HTTP/1.1\r\n"); found {
				c.mu.Lock()
				c.last = line
				c.mu.Unlock()
			}
		}
		if _, err := dst.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// silence makes the open channels silent whose newest request matches, and returns how many these
// are and how many channels are open.
func (l *link) silence(matches func(request string) bool) (silenced, open int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.channels {
		c.mu.Lock()
		last := c.last
		c.mu.Unlock()
		if matches(last) {
			c.silent.Store(true)
			silenced++
		}
	}
	return silenced, len(l.channels)
}

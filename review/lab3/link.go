package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// link is a daemon's way to the store. While it is cut, channels stay open and nothing passes.
type link struct {
	address string
	cut     atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// newLink starts a link to an address.
func (l *lab) newLink(to string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannot("listen: %v", err)
	}
	k := &link{address: listener.Addr().String(), conns: make(map[net.Conn]bool)}
	l.cleanups = append(l.cleanups, func() {
		_ = listener.Close()
		k.mu.Lock()
		defer k.mu.Unlock()
		for conn := range k.conns {
			_ = conn.Close()
		}
	})
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				continue
			}
			k.mu.Lock()
			k.conns[near], k.conns[far] = true, true
			k.mu.Unlock()
			go k.pass(near, far)
			go k.pass(far, near)
		}
	}()
	return k
}

// pass passes bytes on in one direction. What comes while the link is cut is lost, with the channel.
func (k *link) pass(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if k.cut.Load() {
			_, _ = io.Copy(io.Discard, from)
			err = io.EOF
		} else if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_, _ = from.Close(), to.Close()
			k.mu.Lock()
			delete(k.conns, from)
			delete(k.conns, to)
			k.mu.Unlock()
			return
		}
	}
}

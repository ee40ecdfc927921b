package fake

import (
	"fmt"
	"net"
	"sync"
)

// loopbackServer accepts connections on loopback and serves each in a goroutine of its own.
type loopbackServer struct {
	listener    net.Listener
	done        chan struct{}
	connections sync.WaitGroup
}

// start starts the server and returns a function that stops it and waits for its connections.
func (s *loopbackServer) start(serve func(net.Conn)) (cleanup func(), err error) {
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	s.done = make(chan struct{})
	go func() {
		defer close(s.done)
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			s.connections.Go(func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			})
		}
	}()
	return func() {
		_ = s.listener.Close()
		<-s.done
		s.connections.Wait()
	}, nil
}

// Address returns the address of the server.
func (s *loopbackServer) Address() string { return s.listener.Addr().String() }

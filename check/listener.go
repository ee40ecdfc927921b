package check

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// fillTimeout is how long a connection may take while the queue of a listener is filled.
const fillTimeout = 50 * time.Millisecond

// DropConnections makes the kernel drop new connections to a listener from which nothing
// accepts, as a network path without a route does: the queue of the listener is filled. The
// function that it returns closes the connections in the queue.
func DropConnections(listener *net.TCPListener) (release func(), err error) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("access listener: %w", err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil {
		return nil, fmt.Errorf("access listener: %w", err)
	}
	if listenErr != nil {
		return nil, fmt.Errorf("shorten queue of listener: %w", listenErr)
	}
	var queued []net.Conn
	for {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), fillTimeout)
		if err != nil {
			break
		}
		queued = append(queued, conn)
	}
	return func() {
		for _, conn := range queued {
			_ = conn.Close()
		}
	}, nil
}

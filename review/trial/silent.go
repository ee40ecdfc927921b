package main

import (
	"net"
	"syscall"
	"time"
)

// fillers is the number of channels that fill the queue of a listener that accepts none.
const fillers = 4

// holdSilent closes a listener and listens on its address without accepting: once its queue is full, opening
// packets get no answer, as from a machine without power. The returned function ends that.
func holdSilent(listener net.Listener, address string) func() {
	_ = listener.Close()
	parsed, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		panic(err)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		panic(err)
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	socket := &syscall.SockaddrInet4{Port: parsed.Port, Addr: [4]byte(parsed.IP.To4())}
	if err := syscall.Bind(fd, socket); err != nil {
		panic(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		panic(err)
	}
	conns := make([]net.Conn, 0, fillers)
	for range fillers {
		if conn, err := net.DialTimeout("tcp", address, 20*time.Millisecond); err == nil {
			conns = append(conns, conn)
		}
	}
	return func() {
		_ = syscall.Close(fd)
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// rawReplica is a stand-in for a replica of a plain service that serves its channels itself, so that it can send
// more than the answers. While it is full, it rejects requests as the example of the pages shows.
type rawReplica struct {
	id, service, address string
	born                 int64
	slots                int
	work                 time.Duration
	record               *record
	listener             net.Listener

	mu      sync.Mutex
	running int
	ran     map[string]int
	// spoil is the share of the answers of which a second copy is sent late: in place of the next answer.
	spoil   float64
	spoiled int
}

// serve serves channels until the listener is closed.
func (p *rawReplica) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serveConn(conn)
	}
}

// serveConn serves the requests of one channel, one after the other.
func (p *rawReplica) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader, late := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if late != "" {
			p.record.add("replica %s sends the second copy of its answer before, as the answer to %s is due", p.id, request.Header.Get("Attempt-Id"))
			_, _ = io.WriteString(conn, late)
			late = ""
		}
		answer := p.answer(request)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		p.mu.Lock()
		if rand.Float64() < p.spoil {
			late = answer
			p.spoiled++
		}
		p.mu.Unlock()
	}
}

// answer runs a request, or rejects it, and returns the answer.
func (p *rawReplica) answer(request *http.Request) string {
	id := request.Header.Get("Attempt-Id")
	p.mu.Lock()
	expected := request.Header.Get("Expect-Instance")
	switch {
	case expected != "" && expected != p.id:
		p.mu.Unlock()
		return "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + p.id + "\r\nContent-Length: 0\r\n\r\n"
	case id == "":
		p.mu.Unlock()
		return "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	case p.running >= p.slots:
		p.mu.Unlock()
		p.record.add("replica %s is full and rejects %s", p.id, id)
		return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	p.running++
	p.ran[id]++
	p.mu.Unlock()
	p.record.add("replica %s runs %s %s, id %s", p.id, request.Method, request.RequestURI, id)
	time.Sleep(p.work)
	p.mu.Lock()
	p.running--
	p.mu.Unlock()
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: %s.%s\r\nContent-Length: 4\r\n\r\ndone", id, p.id, id)
}

// setSpoil sets the share of the answers that are spoiled.
func (p *rawReplica) setSpoil(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spoil = share
}

// runs returns how often the replica has run each request.
func (p *rawReplica) runs() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := make(map[string]int, len(p.ran))
	for id, count := range p.ran {
		runs[id] = count
	}
	return runs
}

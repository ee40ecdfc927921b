package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a replica of a service: an engine if model is set, otherwise a plain one.
type replica struct {
	id, service, model string
	slots              int
	// work is the time of a plain request, and of each event of an item.
	work time.Duration
	// events returns the number of events of an item.
	events func(id string) int
	// started is told of each request that begins to run, ended of its end with its status.
	started func(r *replica, id string, header http.Header, target string)

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	address  string
	born     int64
	state    string
	seq      int64
	orders   int64
	version  int
	busy     bool
	running  int
	fence    int64
}

// start serves the replica, at the address that it had if there was one.
func (p *replica) start() {
	address := p.address
	if address == "" {
		address = fmt.Sprintf("127.0.0.1:%d", freePort())
	}
	var err error
	for range 50 {
		if p.listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		fail("listen for replica: %v", err)
	}
	p.mu.Lock()
	p.address, p.born, p.state, p.running = p.listener.Addr().String(), time.Now().UnixMilli(), "ready", 0
	p.orders, p.fence = 0, 0
	p.version = max(p.version, 1)
	p.mu.Unlock()
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve)}
	server, listener := p.server, p.listener
	go func() { _ = server.Serve(listener) }()
}

// crash ends the replica as a process that is killed: its channels are closed, and its port has no
// listener.
func (p *replica) crash() {
	p.mu.Lock()
	p.state = ""
	p.mu.Unlock()
	_ = p.server.Close()
}

// register returns the replica's registration, nil while it is down.
func (p *replica) registration() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == "" {
		return nil
	}
	p.seq++
	body := map[string]any{
		"service": p.service, "addr": p.address, "zone": "genova", "version": "r1", "slots": p.slots, "state": p.state, "cold_left_ms": 0,
		"seq": p.seq, "born": p.born,
	}
	if p.model != "" {
		body["stage"], body["models"] = "both", []any{map[string]any{"name": p.model, "version": p.version, "adapters": []any{}}}
	}
	return body
}

func (p *replica) serve(w http.ResponseWriter, r *http.Request) {
	header, id := w.Header(), r.Header.Get("Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if id != "" {
		header.Set("Attempt-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.id {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		p.serveReport(w)
		return
	case "/order":
		p.serveOrder(w, body)
		return
	}
	p.mu.Lock()
	full := p.running >= p.slots || p.busy
	if !full {
		p.running++
	}
	p.mu.Unlock()
	if full {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { p.mu.Lock(); p.running--; p.mu.Unlock() }()
	if p.started != nil {
		p.started(p, id, r.Header, r.Method+" "+r.RequestURI)
	}
	header.Set("Server-Stamp", p.id+"."+id)
	if p.model != "" {
		p.serveItem(w, r, id)
		return
	}
	select {
	case <-time.After(p.work):
	case <-r.Context().Done():
		return
	}
	content := "answer of " + p.id + " to " + r.RequestURI
	header.Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = io.WriteString(w, content)
}

// eventText returns the data of an event of an item.
func eventText(id string, n int) string { return fmt.Sprintf("%s event %d", id, n) }

// fullText returns the whole output of an item.
func fullText(id string, events int) string {
	lines := make([]string, 0, events)
	for n := 1; n <= events; n++ {
		lines = append(lines, eventText(id, n))
	}
	return strings.Join(lines, "\n")
}

func (p *replica) serveItem(w http.ResponseWriter, r *http.Request, id string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	p.mu.Lock()
	version := p.version
	p.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.Itoa(version))
	controller := http.NewResponseController(w)
	for n := after + 1; n <= p.events(id); n++ {
		select {
		case <-time.After(p.work):
		case <-r.Context().Done():
			return
		}
		line := ""
		p.mu.Lock()
		if p.version != version {
			version = p.version
			line = fmt.Sprintf("weight-versions: %d\n", version)
		}
		p.mu.Unlock()
		if _, err := fmt.Fprintf(w, "%sid: %d\ndata: %s\n\n", line, n, eventText(id, n)); err != nil {
			return
		}
		_ = controller.Flush()
	}
}

func (p *replica) serveReport(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.model == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": p.model, "version": p.version, "adapters": []any{}}}, "busy": p.busy, "seq": p.orders,
		"num_waiting": 0, "num_running": p.running, "kv_used": 0, "kv_total": 90000, "handles": 0, "born": p.born,
	})
}

func (p *replica) serveOrder(w http.ResponseWriter, body []byte) {
	var order struct {
		Op, Model, Mode, Holder string
		Version                 int
		Fence                   int64
		Expect                  *int64
	}
	err := json.Unmarshal(body, &order)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil || order.Holder == "" || order.Fence == 0 || order.Op != "version" || order.Model != p.model:
		w.WriteHeader(http.StatusBadRequest)
	case order.Fence < p.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case p.busy || (order.Expect != nil && *order.Expect != p.orders):
		w.WriteHeader(http.StatusConflict)
	case order.Version == p.version:
		p.fence = order.Fence
		w.WriteHeader(http.StatusOK)
	default:
		p.fence = order.Fence
		p.orders++
		p.busy = true
		time.AfterFunc(900*time.Millisecond, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.busy, p.version = false, order.Version
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

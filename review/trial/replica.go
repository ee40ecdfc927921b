package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// replica is a stand-in for a model engine or, without a model, for a replica of a plain service. It
// keeps to the page: a request without an id or for another replica is not run.
type replica struct {
	id, service, address string
	model                string
	born                 int64
	eventTime            time.Duration
	record               *record
	// poison is called for a request that crashes the replica, nil for none.
	poison func(*replica)

	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
	// dark ends the silence of a replica that went dark.
	dark    func()
	starts  int
	silent  int
	down    bool
	version int64
	orders  int64
	ran     []string
}

// itemEvents is the number of events of each item.
const itemEvents = 8

// ServeHTTP implements http.Handler.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/report" && p.model != "":
		p.mu.Lock()
		report := map[string]any{
			"stage": "both", "models": []any{map[string]any{"name": p.model, "version": p.version}}, "busy": false, "seq": p.orders,
			"num_waiting": 0, "num_running": 0, "kv_used": 0, "kv_total": 90000, "handles": 0, "born": p.born,
		}
		p.mu.Unlock()
		writeJSON(w, http.StatusOK, report)
	case r.URL.Path == "/order" && p.model != "":
		p.serveOrder(w, r)
	default:
		p.serveRequest(w, r)
	}
}

// serveOrder accepts an order of weights, which it carries out at once.
func (p *replica) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version int64 `json:"version"`
		Expect  int64 `json:"expect"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case order.Version == p.version:
		w.WriteHeader(http.StatusOK)
	case order.Expect != p.orders:
		w.WriteHeader(http.StatusConflict)
	default:
		p.version = order.Version
		p.orders++
		w.WriteHeader(http.StatusAccepted)
	}
}

// serveRequest runs a request: an item on an engine, any other on a plain replica.
func (p *replica) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	self := p.current()
	id := r.Header.Get("Attempt-Id")
	expected := r.Header.Get("Expect-Instance")
	switch {
	case expected != "" && expected != self:
		w.Header().Set("Instance-Id", self)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		p.record.add("replica %s of %s rejects %s %s: it has no id", self, p.service, r.Method, r.RequestURI)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.record.add("replica %s of %s runs %s %s, id %s", self, p.service, r.Method, r.RequestURI, id)
	p.mu.Lock()
	p.ran = append(p.ran, id)
	version := p.version
	p.mu.Unlock()
	if p.poison != nil && string(body) == "poison" {
		p.poison(p)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Stamp", self+"."+id)
	if p.model == "" {
		time.Sleep(workTime)
		_, _ = fmt.Fprintf(w, "%s %s %d bytes", r.Method, r.RequestURI, len(body))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	controller := http.NewResponseController(w)
	for event := after + 1; event <= itemEvents; event++ {
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(p.eventTime):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, eventData(id, event))
		if controller.Flush() != nil {
			return
		}
	}
}

// current returns the id of the replica, which changes with each start.
func (p *replica) current() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id
}

// eventData returns the data of an event of an item.
func eventData(item string, event int) string { return fmt.Sprintf("%s-%d", item, event) }

// ranIDs returns the ids of the requests that the replica has run.
func (p *replica) ranIDs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.ran...)
}

// registration returns the replica's entry in the list of replicas. The caller holds mu.
func (p *replica) registration(seq int64) map[string]any {
	entry := map[string]any{
		"service": p.service, "addr": p.address, "zone": "genova", "version": "v1", "slots": 16, "state": "ready", "cold_left_ms": 0, "seq": seq, "born": p.born,
	}
	if p.model != "" {
		entry["stage"], entry["models"] = "both", []any{map[string]any{"name": p.model, "version": p.version}}
	}
	return entry
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// crash ends the replica: its channels are closed, and it answers no more.
func (p *replica) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down, p.silent = true, 0
	_ = p.server.Close()
}

// renew returns the entry of the replica, or that its entry has to be removed, as after three intervals of silence.
func (p *replica) renew(seq int64) (id string, entry map[string]any, remove bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.down {
		return p.id, p.registration(seq), false
	}
	p.silent++
	return p.id, nil, p.silent == missedRenewals
}

// missedRenewals is after how many intervals of silence an entry is removed.
const missedRenewals = 3

// goDark ends the replica as a loss of power does: its channels stay silent, and new ones get no answer.
func (p *replica) goDark() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down, p.silent = true, 0
	p.dark = holdSilent(p.listener, p.address)
}

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Times of the stand-ins of replicas.
const (
	workTime  = 25 * time.Millisecond
	eventTime = 20 * time.Millisecond
)

// replica is a stand-in of a replica: of a model service if it has models, otherwise of a plain one.
type replica struct {
	lab         *lab
	id, service string
	zone        string
	address     string
	slots       int
	models      []string
	// answer, if it is set, answers a request that has begun to run. It returns false to go on as
	// usual.
	answer func(w http.ResponseWriter, r *http.Request, id string) bool

	mu   sync.Mutex
	runs []string
	seq  int64
	// versions are those of the models.
	versions map[string]int64
}

// newReplica starts a replica and registers it until the end of the case.
func (l *lab) newReplica(id, service, zone string, models ...string) *replica {
	p := &replica{lab: l, id: id, service: service, zone: zone, models: models, versions: make(map[string]int64)}
	for _, model := range models {
		p.versions[model] = 1
	}
	p.address, p.slots = l.serve(p), 16
	l.keepRegistered(p)
	return p
}

// keepRegistered registers a replica until the end of the case.
func (l *lab) keepRegistered(p *replica) {
	born := time.Now().UnixMilli()
	stop := make(chan struct{})
	l.cleanups = append(l.cleanups, func() { close(stop) })
	p.register(born, 1)
	go func() {
		for seq := 2; ; seq++ {
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
				p.register(born, seq)
			}
		}
	}()
}

// register writes the entry of the replica.
func (p *replica) register(born int64, seq int) {
	entry := map[string]any{
		"service": p.service, "addr": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": "ready", "cold_left_ms": 0, "seq": seq, "born": born,
	}
	if len(p.models) > 0 {
		entry["stage"], entry["models"] = "both", p.modelList()
	}
	p.lab.put("keyed.servers", p.id, entry)
}

// modelList returns the models with their versions.
func (p *replica) modelList() []any {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]any, 0, len(p.models))
	for _, model := range p.models {
		list = append(list, map[string]any{"name": model, "version": p.versions[model], "adapters": []any{}})
	}
	return list
}

// began records that a request began to run.
func (p *replica) began(id string, r *http.Request) {
	p.mu.Lock()
	p.runs = append(p.runs, id)
	p.mu.Unlock()
	p.lab.log("run", "replica", p.id, "id", id, "method", r.Method, "target", r.RequestURI, "after", r.Header.Get("Last-Event-Id"))
}

// ran returns how often a request has run.
func (p *replica) ran(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, run := range p.runs {
		if run == id {
			count++
		}
	}
	return count
}

// ServeHTTP implements http.Handler.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	w.Header().Set("Server-Stamp", p.id+"."+id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/report":
		p.mu.Lock()
		seq := p.seq
		p.mu.Unlock()
		writeJSON(w, map[string]any{"stage": "both", "models": p.modelList(), "busy": false, "seq": seq, "num_waiting": 0, "num_running": 0, "kv_used": 0, "kv_total": 90000, "handles": 0})
		return
	case r.Method == http.MethodPost && r.URL.Path == "/order":
		p.serveOrder(w, body)
		return
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.began(id, r)
	if p.answer != nil && p.answer(w, r, id) {
		return
	}
	if len(p.models) > 0 {
		p.serveStream(w, r, id)
		return
	}
	time.Sleep(workTime)
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"done":%q}`, id)
}

// serveOrder carries out an order to load weights at once.
func (p *replica) serveOrder(w http.ResponseWriter, body []byte) {
	var order struct {
		Model   string `json:"model"`
		Version int64  `json:"version"`
		Expect  *int64 `json:"expect"`
	}
	if json.Unmarshal(body, &order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.versions[order.Model] >= order.Version:
		w.WriteHeader(http.StatusOK)
	case order.Expect != nil && *order.Expect != p.seq:
		w.WriteHeader(http.StatusConflict)
	default:
		p.seq++
		p.versions[order.Model] = order.Version
		w.WriteHeader(http.StatusAccepted)
	}
}

// eventCount is the number of events of an item's text.
const eventCount = 10

// bigBody is added to the bodies of items.
var bigBody string

// The oldest version that may generate a batch, and the retention of routes.
var (
	minVersion = 1
	retentionS = 40
)

// serveStream sends the events of an item.
func (p *replica) serveStream(w http.ResponseWriter, r *http.Request, id string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	p.mu.Lock()
	version := p.versions[r.Header.Get("Model")]
	p.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	for n := after + 1; n <= eventCount; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventTime):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// writeJSON writes a body.
func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// route returns a route of the manifest.
func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 10000, "target_latency_ms": 400, "priority": 1,
		"service": service, "max_attempts": 3, "retention_s": retentionS, "result_due_ms": 7500,
	}
}

// services returns the services of the manifest.
func services() []any {
	return []any{
		map[string]any{"name": "desk", "health_path": "/healthz", "max_conns": 110},
		map[string]any{"name": "models", "health_path": "/healthz", "max_conns": 180, "engine": map[string]any{
			"slots": 16, "stride": 39, "models": []any{map[string]any{"name": "m0"}},
		}},
	}
}

// batch returns the body of a batch submission.
func batch(items []string) []byte {
	list := make([]any, 0, len(items))
	for _, id := range items {
		list = append(list, map[string]any{
			"id": id, "path": "/train/x", "headers": map[string]string{"Model": "m0", "Token-Counts": "271,390"}, "body": []byte("prompt " + id + bigBody), "token_count": 661, "group": "g1",
		})
	}
	content, err := json.Marshal(map[string]any{"step": 0, "model": "m0", "min_version": minVersion, "group_count": 1, "items": list})
	if err != nil {
		cannot("encode a batch: %v", err)
	}
	return content
}

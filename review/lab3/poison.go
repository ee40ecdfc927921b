package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// fragile is a stand-in of a replica that crashes when it begins to run a request for a path, and is back after
// some seconds.
type fragile struct {
	lab     *lab
	id      string
	address string
	deadly  string
	down    time.Duration

	mu     sync.Mutex
	server *http.Server
}

// newFragile starts such a replica of a service.
func (l *lab) newFragile(id, service, zone, deadly string, crashed func(replica string)) {
	f := &fragile{lab: l, id: id, deadly: deadly, down: 3 * time.Second}
	entry := &replica{lab: l, id: id, service: service, zone: zone, slots: 6}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		attempt := r.Header.Get("Attempt-Id")
		w.Header().Set("Attempt-Id", attempt)
		w.Header().Set("Server-Stamp", id+"."+attempt)
		if r.URL.Path == deadly {
			l.log("a replica crashes as it begins to run the request", "replica", id, "service", service, "id", attempt)
			crashed(id)
			go f.crash()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(workTime)
		_, _ = fmt.Fprintf(w, `{"done":%q}`, attempt)
	})
	f.start(handler, "127.0.0.1:0")
	entry.address = f.address
	l.cleanups = append(l.cleanups, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		_ = f.server.Close()
	})
	l.keepRegistered(entry)
}

// start listens on an address.
func (f *fragile) start(handler http.Handler, address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		f.lab.log("replica cannot come back", "replica", f.id, "error", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.address, f.server = listener.Addr().String(), &http.Server{Handler: handler}
	server := f.server
	go func() { _ = server.Serve(listener) }()
}

// crash ends all channels and comes back later.
func (f *fragile) crash() {
	f.mu.Lock()
	server := f.server
	f.mu.Unlock()
	_ = server.Close()
	time.Sleep(f.down)
	f.start(server.Handler, f.address)
}

// casePoison: a request crashes the replicas that run it and comes again. Meanwhile two manifests move its route
// to other services.
func casePoison(l *lab) bool {
	const deadly = "/order-desk/poison"
	var mu sync.Mutex
	var crashes []time.Time
	crashed := func(string) {
		mu.Lock()
		defer mu.Unlock()
		crashes = append(crashes, time.Now())
	}
	for _, service := range []string{"desk", "desk-b", "desk-c"} {
		for i := range 4 {
			l.newFragile(fmt.Sprint(service, "-", i+1), service, zoneOf(i), deadly, crashed)
		}
	}
	all := append(services(), map[string]any{"name": "desk-b", "health_path": "/healthz"}, map[string]any{"name": "desk-c", "health_path": "/healthz"})
	put := func(version int, service string) {
		order := route("order", "/order-desk/", "idempotent", service)
		order["max_attempts"] = 1
		l.putConfig(version, []any{order}, all)
	}
	put(1, "desk")
	l.startDaemons(3)
	begin := time.Now()
	moved := 1
	for n := 0; time.Since(begin) < 60*time.Second; n++ {
		if l.trouble && moved < 3 && time.Since(begin) > time.Duration(moved)*20*time.Second {
			moved++
			put(moved, []string{"", "", "desk-b", "desk-c"}[moved])
		}
		d := l.daemons[n%len(l.daemons)]
		id := fmt.Sprintf("p%04x", n)
		a := l.call(d, http.MethodPost, deadly, map[string]string{"Attempt-Id": id, "Deadline-Ms": "2500"}, []byte("the same body"), 4*time.Second)
		l.log("answer", "id", id, "daemon", d.name, "status", a.status, "error", a.err)
		time.Sleep(2 * time.Second)
	}
	late := 0
	mu.Lock()
	defer mu.Unlock()
	for _, at := range crashes {
		if len(crashes) > 3 && at.After(crashes[2].Add(contact)) {
			late++
		}
	}
	l.log("sum", "crashes", len(crashes), "later_than_contact_ms_after_the_third", late)
	return late > 3
}

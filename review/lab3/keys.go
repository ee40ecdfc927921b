package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// caseKeys: the first manifest with tenants is written while one of nine machines is partitioned from the store.
func caseKeys(l *lab) bool {
	l.bounds = "strict_revoke = true\nrevoke_ms = 5000\n"
	const key = "k-5e1f7a9c20d4"
	var passedOn, named atomic.Int64
	for i := range 3 {
		p := l.newReplica(fmt.Sprint("i-", i+1), "desk", zoneOf(i))
		p.answer = func(_ http.ResponseWriter, r *http.Request, id string) bool {
			switch {
			case len(r.Header.Values("Api-Key")) > 0:
				passedOn.Add(1)
				l.log("BROKEN: the key was passed on", "replica", p.id, "id", id, "tenant", r.Header.Get("Tenant"))
			case r.Header.Get("Tenant") == "huka270":
				named.Add(1)
			}
			return false
		}
	}
	routes := []any{route("order", "/order-desk/", "idempotent", "desk")}
	l.putConfig(1, routes, services())
	l.startDaemons(9)
	time.Sleep(2 * time.Second)
	if l.trouble {
		l.log("machine partitioned from the store", "daemon", l.daemons[8].name)
		l.links[8].cut.Store(true)
		time.Sleep(100 * time.Millisecond)
	}
	l.put("keyed.op", "config", map[string]any{
		"version": 2, "routes": routes, "services": services(),
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "api_keys": []any{key}}},
	})
	acked := time.Now()
	l.log("manifest with tenants acknowledged")
	time.Sleep(300 * time.Millisecond)
	var wg sync.WaitGroup
	for i, d := range l.daemons {
		wg.Go(func() {
			for n := 0; time.Since(acked) < 5*time.Second; n++ {
				id := fmt.Sprintf("q%d-%d", i, n)
				a := l.call(d, http.MethodPost, "/order-desk/"+id, map[string]string{"Attempt-Id": id, "Deadline-Ms": "2500", "Api-Key": key}, []byte(id), 4*time.Second)
				l.log("answer", "id", id, "daemon", d.name, "since_ack_ms", time.Since(acked).Milliseconds(), "status", a.status, "error", a.err)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	l.log("sum", "key_passed_on", passedOn.Load(), "tenant_named", named.Load())
	fmt.Println("key passed on", passedOn.Load(), "tenant named", named.Load())
	return passedOn.Load() > 0
}

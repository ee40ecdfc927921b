package main

import (
	"fmt"
	"net/http"
	"time"
)

// caseRoot: a manifest adds a route for the whole host while a batch is open.
func caseRoot(l *lab) bool {
	for i := range 3 {
		l.newReplica(fmt.Sprint("m-", i+1), "models", zoneOf(i), "m0")
		l.newReplica(fmt.Sprint("i-", i+1), "desk", zoneOf(i))
	}
	routes := []any{route("train", "/train/", "rollout", "models"), route("desk", "/desk/", "idempotent", "desk")}
	l.putConfig(1, routes, services())
	l.startDaemons(3)
	id, items := "7c41e09b52d6a3f8", itemIDs("e5b2907c14da", 8)
	l.submit(id, items)
	if !l.awaitWhole(l.daemons[0], id, items, 20*time.Second) {
		cannot("the batch is not done in time")
	}
	if l.trouble {
		l.putConfig(2, append(routes, route("site", "/", "idempotent", "desk")), services())
	}
	time.Sleep(configApply + contact)
	lost := 0
	for _, d := range l.daemons {
		if !l.awaitWhole(d, id, items, 10*time.Second) {
			lost++
			l.log("BROKEN: an accepted batch cannot be read", "daemon", d.name)
		}
		a := l.call(d, http.MethodGet, "/items/"+id+"?id="+items[0], nil, nil, 3*time.Second)
		l.log("item", "daemon", d.name, "status", a.status, "body", fmt.Sprintf("%.60q", a.body), "error", a.err)
	}
	return lost > 0
}

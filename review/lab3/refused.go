package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// caseRefused: one of seven replicas fails part of its requests: it begins to run them, fails, and
// answers 503 without Not-Executed.
func caseRefused(l *lab) bool {
	const (
		replicas = 7
		clients  = 8
		duration = 60 * time.Second
		share    = 0.4
	)
	all := make([]*replica, 0, replicas)
	for i := range replicas {
		all = append(all, l.newReplica(fmt.Sprint("i-", i+1), "desk", zoneOf(i)))
	}
	var ill atomic.Bool
	all[0].answer = func(w http.ResponseWriter, _ *http.Request, id string) bool {
		if !ill.Load() || rand.Float64() >= share {
			return false
		}
		time.Sleep(workTime / 2)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprintf(w, `{"failed":%q}`, id)
		l.log("replica failed the request that it ran", "replica", all[0].id, "id", id, "status", http.StatusServiceUnavailable)
		return true
	}
	l.putConfig(1, []any{route("order", "/order-desk/", "non_idempotent", "desk")}, services())
	l.startDaemons(3)
	go func() {
		for l.trouble {
			ill.Store(true)
			l.log("a replica fails part of its requests", "replica", all[0].id, "for_s", 5)
			time.Sleep(5 * time.Second)
			ill.Store(false)
			time.Sleep(3 * time.Second)
		}
	}()
	var refusedAndRan, twice atomic.Int64
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			for n := 0; time.Since(l.start) < duration; n++ {
				order, runs := fmt.Sprintf("o%d-%d", c, n), 0
				for try := range 2 {
					id := fmt.Sprintf("%s-t%d", order, try)
					d := l.daemons[(c+n+try)%len(l.daemons)]
					a := l.call(d, http.MethodPost, "/order-desk/"+order, map[string]string{"Attempt-Id": id, "Deadline-Ms": "4000"}, []byte(order), 5*time.Second)
					ran := 0
					for _, p := range all {
						ran += p.ran(id)
					}
					runs += ran
					isPromise := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests ||
						a.status == http.StatusRequestTimeout || a.status == http.StatusMisdirectedRequest
					l.log("answer", "id", id, "daemon", d.name, "status", strconv.Itoa(a.status), "stamp", a.header.Get("Server-Stamp"), "ran", ran, "error", a.err)
					if isPromise && ran > 0 {
						refusedAndRan.Add(1)
						l.log("BROKEN: refused as not run, and has run", "id", id, "status", a.status)
					}
					if !isPromise {
						break // only a promise allows another try
					}
				}
				if runs > 1 {
					twice.Add(1)
					l.log("the order ran more than once, since the client believed the promise", "order", order, "runs", runs)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	l.log("sum", "refused_and_ran", refusedAndRan.Load(), "orders_run_twice", twice.Load())
	return refusedAndRan.Load() > 0
}

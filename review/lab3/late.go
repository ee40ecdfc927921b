package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// desk is a stand-in of a replica of a plain service that works on a few requests at a time and rejects the others.
// While it is ill, a share of its answers is sent once more: late, on the same channel, where the next answer is
// expected.
type desk struct {
	lab   *lab
	id    string
	slots int32
	work  time.Duration
	ill   *atomic.Bool
	share float64

	busy atomic.Int32
	mu   sync.Mutex
	runs map[string]int
	late atomic.Int64
}

// newDesk starts such a replica and registers it.
func (l *lab) newDesk(id, zone string, slots int, work time.Duration, share float64, ill *atomic.Bool) *desk {
	d := &desk{lab: l, id: id, slots: int32(slots), work: work, ill: ill, share: share, runs: make(map[string]int)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannot("listen: %v", err)
	}
	l.cleanups = append(l.cleanups, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	entry := &replica{lab: l, id: id, service: "desk", zone: zone, address: listener.Addr().String(), slots: slots}
	l.keepRegistered(entry)
	return d
}

// ran returns how often a request has run.
func (d *desk) ran(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[id]
}

// serve serves one channel.
func (d *desk) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	again := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("Attempt-Id")
		if again != "" {
			d.late.Add(1)
			if _, err := io.WriteString(conn, again); err != nil {
				return
			}
			again = ""
		}
		answer := d.answer(request, id, body)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if id != "" && d.ill.Load() && rand.Float64() < d.share {
			again = answer
		}
	}
}

// answer runs or rejects a request and returns the answer.
func (d *desk) answer(request *http.Request, id string, body []byte) string {
	head := func(status string, more string, content string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nAttempt-Id: %s\r\nServer-Stamp: %s.%s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, d.id, id, more, len(content), content)
	}
	switch {
	case request.Header.Get("Expect-Instance") != "" && request.Header.Get("Expect-Instance") != d.id:
		return head("421 Misdirected Request", "Not-Executed: 1\r\n", "")
	case id == "":
		return head("400 Bad Request", "Not-Executed: 1\r\n", "")
	}
	if d.busy.Add(1) > d.slots {
		d.busy.Add(-1)
		d.lab.log("rejected as full", "replica", d.id, "id", id)
		return head("503 Service Unavailable", "Not-Executed: 1\r\n", "")
	}
	defer d.busy.Add(-1)
	d.mu.Lock()
	d.runs[id]++
	count := d.runs[id]
	d.mu.Unlock()
	d.lab.log("run", "replica", d.id, "id", id, "nth_here", count)
	time.Sleep(time.Duration(float64(d.work) * (0.5 + rand.Float64())))
	return head("200 OK", "", string(body))
}

// caseLate: replicas that are full reject requests, and send some answers a second time, late.
func caseLate(l *lab) bool {
	var ill atomic.Bool
	slots, work := 6, 25*time.Millisecond
	var all []*desk
	for i := range 3 {
		share := 0.03
		if i >= 1 {
			share = 0
		}
		all = append(all, l.newDesk(fmt.Sprint("i-", i+1), zoneOf(i), slots, work, share, &ill))
	}
	order := route("order", "/order-desk/", "non_idempotent", "desk")
	order["target_latency_ms"], order["max_attempts"] = 250, 3
	l.putConfig(1, []any{order}, services())
	l.startDaemons(9)
	stop := time.Now().Add(70 * time.Second)
	go func() {
		for l.trouble && time.Now().Before(stop) {
			ill.Store(true)
			l.log("replica hands out wrong bytes", "for_s", 5)
			time.Sleep(5 * time.Second)
			ill.Store(false)
			time.Sleep(time.Second)
		}
	}()
	var twice, refused, answered, orders atomic.Int64
	var wg sync.WaitGroup
	for c := range 180 {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
			for n := 0; time.Now().Before(stop); n++ {
				id := fmt.Sprintf("o%d-%d", c, n)
				d := l.daemons[c%len(l.daemons)]
				a := l.callOn(client, d, http.MethodPost, "/order-desk/"+id, map[string]string{"Attempt-Id": id, "Deadline-Ms": "2500"}, []byte(id))
				orders.Add(1)
				if a.status == http.StatusOK {
					answered.Add(1)
				}
				runs := 0
				for _, p := range all {
					runs += p.ran(id)
				}
				if a.status != http.StatusOK || runs != 1 {
					l.log("answer", "id", id, "daemon", d.name, "status", a.status, "runs", runs, "error", a.err)
				}
				if runs > 1 {
					twice.Add(1)
					l.log("BROKEN: a request that may run once has run more than once", "id", id, "runs", runs, "status", a.status)
				}
				if runs > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
					refused.Add(1)
					l.log("BROKEN: refused as not run, and has run", "id", id, "runs", runs, "status", a.status)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	lates := int64(0)
	for _, p := range all {
		lates += p.late.Load()
	}
	l.log("sum", "orders", orders.Load(), "answered", answered.Load(), "late_copies", lates, "ran_twice", twice.Load(), "refused_and_ran", refused.Load())
	fmt.Println("orders", orders.Load(), "answered", answered.Load(), "late copies", lates, "twice", twice.Load(), "refused and ran", refused.Load())
	return twice.Load()+refused.Load() > 0
}

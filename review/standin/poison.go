package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// busiest returns the replica that runs the most requests once that are enough.
func (d *deployment) busiest(enough int) *replica {
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		for _, p := range d.replicas {
			p.mu.Lock()
			running := p.running
			p.mu.Unlock()
			if running >= enough {
				return p
			}
		}
	}
	return nil
}

// playPoison plays callers that refresh the same page, one crash of a replica of the page's service,
// and a final fault.
func playPoison(d *deployment, trouble bool) {
	const callers = 24
	const page = "/page/results"
	for i := range 7 {
		d.replicas = append(d.replicas, &replica{id: fmt.Sprintf("i-web%d", i+1), service: "roster", slots: 6, work: 150 * time.Millisecond})
	}
	d.manifest(3, model, route("page", "/page/", "idempotent", "roster"))
	d.start(4)
	var served, asked [120]atomic.Int64
	var calls sync.WaitGroup
	stop := make(chan struct{})
	for i := range callers {
		calls.Go(func() {
			time.Sleep(time.Duration(i) * 300 * time.Millisecond / callers)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				second := int(time.Since(d.began).Seconds())
				asked[second].Add(1)
				for try := range 2 {
					id := fmt.Sprintf("%02d%04d%d", i, n, try)
					m := d.machines[(i+n+try)%len(d.machines)]
					a := d.call(m, http.MethodGet, page, map[string]string{"Attempt-Id": id, "Deadline-Ms": "2500"}, nil, 2500*time.Millisecond)
					d.note("caller %d: GET %s, attempt %s, at %s: %s", i, page, id, m.name, a)
					if a.err == nil && a.status == http.StatusOK {
						served[second].Add(1)
						break
					}
				}
			}
		})
	}
	time.Sleep(20 * time.Second)
	if trouble {
		crashed := d.busiest(3)
		if crashed == nil {
			fail("no replica runs three requests")
		}
		d.note("disruption: replica %s crashes and is back after 4 s", crashed.id)
		crashed.crash()
		time.Sleep(4 * time.Second)
		crashed.start()
		d.note("replica %s is back", crashed.id)
		time.Sleep(2 * time.Second)
		d.note("final fault: all processes are killed")
		for _, m := range d.machines {
			m.kill()
		}
		time.Sleep(800 * time.Millisecond)
		for _, m := range d.machines {
			d.launch(m)
		}
		for _, m := range d.machines {
			d.awaitReady(m)
		}
		d.note("the machines are back")
	}
	back := time.Now()
	time.Sleep((12 + 20) * time.Second)
	close(stop)
	calls.Wait()
	from := int(back.Sub(d.began).Seconds()) + 13
	sum := func(counts *[120]atomic.Int64, first, last int) (total int64) {
		for second := first; second < last; second++ {
			total += counts[second].Load()
		}
		return total
	}
	before, servedBefore := sum(&asked, 0, 20), sum(&served, 0, 20)
	after, servedAfter := sum(&asked, from, 120), sum(&served, from, 120)
	for second := range 120 {
		if asked[second].Load() > 0 {
			d.note("second %d: served %d of %d", second, served[second].Load(), asked[second].Load())
		}
	}
	if servedBefore*4 < before || after == 0 {
		fail("%d of %d served before", servedBefore, before)
	}
	d.end(servedAfter*4 < after, "RECOVER: %d of %d requests were served before, %d of %d of those sent later than 12 s after the machines were back",
		servedBefore, before, servedAfter, after)
}

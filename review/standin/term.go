package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// balancer asks each machine once per second whether it is ready, and takes it out after two misses.
type balancer struct {
	mu     sync.Mutex
	misses map[*machine]int
}

func (b *balancer) run(d *deployment) {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, m := range d.machines {
			go func() {
				response, err := client.Get(fmt.Sprintf("http://127.0.0.1:%d/readyz", m.ready))
				ready := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				b.mu.Lock()
				defer b.mu.Unlock()
				if b.misses[m]++; ready {
					b.misses[m] = 0
				}
			}()
		}
		select {
		case <-d.stopped:
			return
		case <-time.After(time.Second):
		}
	}
}

// choose returns a machine in rotation.
func (b *balancer) choose(d *deployment, n int) *machine {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range d.machines {
		if m := d.machines[(n+i)%len(d.machines)]; b.misses[m] < 2 {
			return m
		}
	}
	return d.machines[0]
}

// sent is a request that a client sent to a machine.
type sent struct {
	m        *machine
	id       string
	at, till time.Time
	answer   *answer
}

// ended waits until a daemon has ended, for a time at most, and reports whether it has, and whether the
// signal itself ended it.
func (m *machine) ended(limit time.Duration) (ended, bySignal bool) {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); close(done) }()
	select {
	case <-done:
		status, _ := cmd.ProcessState.Sys().(syscall.WaitStatus)
		return true, status.Signaled()
	case <-time.After(limit):
		return false, false
	}
}

// playTerm plays machines that are stopped and started in turn, and that get the next SIGTERM while
// their daemon starts. The platform sends SIGKILL grace_s after each SIGTERM to a process that runs on.
func playTerm(d *deployment, trouble bool) {
	const grace = 8 * time.Second
	for i := range 3 {
		d.replicas = append(d.replicas, &replica{id: fmt.Sprintf("i-roster%d", i+1), service: "roster", slots: 6, work: 200 * time.Millisecond})
	}
	var mu sync.Mutex
	run := make(map[string]bool)
	for _, p := range d.replicas {
		p.started = func(_ *replica, id string, _ http.Header, _ string) {
			mu.Lock()
			defer mu.Unlock()
			run[id] = true
		}
	}
	d.manifest(3, model, route("order", "/order/", "non_idempotent", "roster"))
	d.start(5)
	rotation := &balancer{misses: make(map[*machine]int)}
	go rotation.run(d)
	var requests []sent
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				m, id, at := rotation.choose(d, i+n), fmt.Sprintf("%02d%05d", i, n), time.Now()
				a := d.call(m, http.MethodPost, "/order/"+id, map[string]string{"Attempt-Id": id, "Deadline-Ms": "4000"}, []byte(id), 4*time.Second)
				mu.Lock()
				requests = append(requests, sent{m, id, at, time.Now(), a})
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	// term is a SIGTERM that a daemon outlived, and when it was killed.
	type term struct {
		m              *machine
		signal, killed time.Time
	}
	var terms []term
	var restarts sync.WaitGroup
	for i, m := range d.machines[2:] {
		restarts.Go(func() {
			time.Sleep(time.Duration(i) * 1500 * time.Millisecond)
			d.note("plan: SIGTERM to %s", m.name)
			m.signal(syscall.SIGTERM)
			if ended, _ := m.ended(grace); !ended {
				fail("%s did not end", m.name)
			}
			shortest, longest := time.Duration(0), 40*time.Millisecond
			for try := 0; ; try++ {
				d.launch(m)
				if !trouble || try == 9 {
					return
				}
				delay := (shortest + longest) / 2
				time.Sleep(delay)
				signalled := time.Now()
				m.signal(syscall.SIGTERM)
				ended, bySignal := m.ended(grace)
				d.note("disruption: SIGTERM to %s %.1f ms after its start: ended %v after %.1f s", m.name, float64(delay.Microseconds())/1000, ended, time.Since(signalled).Seconds())
				switch {
				case !ended:
					m.signal(syscall.SIGKILL)
					mu.Lock()
					terms = append(terms, term{m, signalled, time.Now()})
					mu.Unlock()
					d.note("platform: SIGKILL to %s, grace_s is over", m.name)
					time.Sleep(300 * time.Millisecond)
					d.launch(m)
					return
				case bySignal:
					// Starts differ in how long they take.
					if shortest = delay; longest-shortest < 2*time.Millisecond {
						longest *= 2
					}
				default:
					longest = delay
				}
			}
		})
	}
	restarts.Wait()
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	taken, lost := 0, 0
	for _, r := range requests {
		if r.answer.err != nil || r.answer.status != http.StatusOK {
			d.note("client: %s to %s at %.3f: %s after %.3f s", r.id, r.m.name, r.at.Sub(d.began).Seconds(), r.answer, r.till.Sub(r.at).Seconds())
		}
		for _, t := range terms {
			if r.m != t.m || r.at.Before(t.signal.Add(3*time.Second)) || r.at.After(t.killed) {
				continue
			}
			taken++
			if r.answer.err != nil && run[r.id] && r.till.Before(r.at.Add(3*time.Second)) {
				lost++
				d.note("lost: %s at %s, sent %.1f s after the SIGTERM, run by a replica, no answer: %v", r.id, r.m.name, r.at.Sub(t.signal).Seconds(), r.answer.err)
			}
		}
	}
	d.note("%d requests in all", len(requests))
	d.end(lost > 0, "LOST: %d daemons ran on and were ready for grace_s after a SIGTERM; of %d requests that they took later than 3 s after it, %d were passed on to a replica and ended without an answer",
		len(terms), taken, lost)
}

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/gypsumhook/gypsum/platform/mimic"
)

const (
	// contactTime is the time after the begin of a cut from which callers of the hosts that
	// are cut off must be served like others, by the users' documents. cutTime is the length
	// of the cut.
	contactTime = 4 * time.Second
	cutTime     = 12 * time.Second
	// tryPause is the time between two requests at one host.
	tryPause = 25 * time.Millisecond
	// stepDue is the time within which a step must be complete, as the route states it.
	stepDue = 7500 * time.Millisecond
)

// tryCount counts the first tries of callers at hosts.
type tryCount struct{ sent, served int }

// servedTooRarely reports whether the users' rule on hosts without replicas is broken: callers of
// the hosts that are cut off are served less than two thirds as often as those of the others,
// and more than 10 + 1 in 50 of all tries fail there.
func servedTooRarely(cut, others tryCount) bool {
	failed := cut.sent - cut.served
	return 3*cut.served*others.sent < 2*others.served*cut.sent && failed > 10+(cut.sent+others.sent)/50
}

// TestHostWithoutReplicasServesCallers guards against hosts that fail their callers' requests and
// hold an engine service while they reach no replica and other hosts do.
func TestHostWithoutReplicasServesCallers(t *testing.T) {
	for _, fault := range linkFaults {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 4)
			load := newWorkload(env)
			// The host that accepts the first batch holds the engine service.
			first := runStep(load, "first", env.daemons[0])
			if len(first.results) < len(first.items) {
				t.Fatalf("first batch has %d of %d results", len(first.results), len(first.items))
			}
			cutOff := env.daemons[:3]
			for _, daemon := range cutOff {
				daemon.cutOff(fault)
			}
			began := time.Now()
			var mu sync.Mutex
			counts := make(map[bool]tryCount)
			var wg sync.WaitGroup
			for i, daemon := range env.daemons {
				wg.Go(func() {
					for n := 0; time.Since(began) < cutTime; n++ {
						sentAt := time.Since(began)
						wg.Go(func() {
							ok := load.tryRequest(t.Context(), daemon, fmt.Sprintf("%s-%d", daemon.name, n), n%2 == 1)
							if sentAt < contactTime {
								return
							}
							mu.Lock()
							defer mu.Unlock()
							count := counts[i < len(cutOff)]
							count.sent++
							if ok {
								count.served++
							}
							counts[i < len(cutOff)] = count
						})
						time.Sleep(tryPause)
					}
				})
			}
			wg.Go(func() {
				time.Sleep(contactTime)
				observed := runStep(load, "cut", env.daemons[3])
				if len(observed.results) < len(observed.items) {
					t.Errorf("batch has %d of %d results %s after its submission", len(observed.results), len(observed.items), stepDue)
				}
			})
			wg.Wait()
			t.Logf("%s: cut off %d of %d, others %d of %d", fault, counts[true].served, counts[true].sent, counts[false].served, counts[false].sent)
			if servedTooRarely(counts[true], counts[false]) {
				t.Errorf("hosts without replicas served %d of %d first tries, the others %d of %d", counts[true].served, counts[true].sent, counts[false].served, counts[false].sent)
			}
			for _, daemon := range cutOff {
				daemon.cutOff(linkUp)
			}
			for _, violation := range load.executionViolations() {
				t.Error(violation)
			}
		})
	}
}

// runStep submits a batch at a daemon and reads its results for the time in which they are due.
func runStep(load *workload, name string, daemon *daemonProcess) *observedBatch {
	observed := &observedBatch{id: name, minVersion: 1}
	load.mu.Lock()
	load.batches = append(load.batches, observed)
	load.mu.Unlock()
	submittedAt := time.Now()
	alone := *load.env
	alone.daemons = []*daemonProcess{daemon}
	submitter := &workload{env: &alone, httpClient: load.httpClient}
	submitter.submitBatch(load.env.t.Context(), observed, rand.New(rand.NewPCG(1, 1)))
	for len(observed.results) < len(observed.items) && time.Since(submittedAt) < stepDue {
		load.readResults(load.env.t.Context(), observed, daemon)
		time.Sleep(readPause)
	}
	return observed
}

// tryRequest sends a request once and reports whether it was served.
func (w *workload) tryRequest(ctx context.Context, daemon *daemonProcess, id string, nonIdempotent bool) bool {
	target := "/i/x?n=" + id
	if nonIdempotent {
		target = "/n/x?n=" + id
	}
	status, body := w.sendRequest(ctx, daemon, http.MethodPost, target, id, []byte(id))
	w.mu.Lock()
	defer w.mu.Unlock()
	if nonIdempotent {
		w.nonIdempotentIDs = append(w.nonIdempotentIDs, id)
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			w.refusedIDs = append(w.refusedIDs, id)
		}
	}
	if status == http.StatusOK && string(body) != mimic.PlainResponseBody(id, target, []byte(id)) {
		w.env.t.Errorf("request %s got an unexpected response body: %q", id, body)
	}
	return status == http.StatusOK
}

// TestServedTooRarely checks the rule on examples.
func TestServedTooRarely(t *testing.T) {
	for _, example := range []struct {
		cut, others tryCount
		broken      bool
	}{
		{tryCount{18, 0}, tryCount{23, 23}, true},
		{tryCount{10, 0}, tryCount{23, 23}, false},
		{tryCount{100, 67}, tryCount{100, 100}, false},
		{tryCount{100, 66}, tryCount{100, 100}, true},
		{tryCount{100, 0}, tryCount{100, 0}, false},
	} {
		if servedTooRarely(example.cut, example.others) != example.broken {
			t.Errorf("%+v, %+v: broken is %t, want %t", example.cut, example.others, !example.broken, example.broken)
		}
	}
}

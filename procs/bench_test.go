package procs

import (
	"io"
	"net/http"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/gypsumhook/gypsum/check"
)

// BenchmarkLoopback measures a daemon, with entry and queue owner in one
// process, against calling the stand-in directly.
func BenchmarkLoopback(b *testing.B) {
	w := newWorld(b)
	w.begin()
	for _, plain := range w.plains {
		plain.ServiceTime, plain.Slots = 0, 4096
	}
	time.Sleep(time.Second)
	direct := ""
	for _, host := range w.listed {
		if host.ID == "chioggia-plain" {
			direct = "http://" + host.Address
		}
	}
	for name, url := range map[string]string{
		"direct": direct + "/orders", "daemon": "http://" + w.daemons["chioggia-1"].callers + "/services/" + string(check.PlainService) + "/orders",
	} {
		b.Run(name, func(b *testing.B) { measure(b, w.http, url) })
	}
}

// callers is the number of callers of the benchmark.
const callers = 32

// measure sends requests from a few callers and reports latencies and rate.
func measure(b *testing.B, client *http.Client, url string) {
	var mu sync.Mutex
	var took []time.Duration
	begin := time.Now()
	b.SetParallelism(callers / 6)
	b.RunParallel(func(pb *testing.PB) {
		var own []time.Duration
		for pb.Next() {
			at := time.Now()
			response, err := client.Get(url)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				own = append(own, time.Since(at))
			}
		}
		mu.Lock()
		defer mu.Unlock()
		took = append(took, own...)
	})
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	if len(took) == 0 {
		b.Fatal("nothing was answered")
	}
	b.ReportMetric(float64(len(took))/time.Since(begin).Seconds(), "answers/s")
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
}

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
	env := newTestEnv(b)
	env.startCluster()
	for _, plain := range env.plainReplicas {
		plain.ServiceTime, plain.Slots = 0, 4096
	}
	time.Sleep(time.Second)
	directAddress := ""
	for _, host := range env.listedHosts {
		if host.ID == "chioggia-plain" {
			directAddress = "http://" + host.Address
		}
	}
	for name, url := range map[string]string{
		"direct": directAddress + "/orders", "daemon": "http://" + env.daemons["chioggia-1"].callerAddress + "/services/" + string(check.PlainService) + "/orders",
	} {
		b.Run(name, func(b *testing.B) { measureRequests(b, env.httpClient, url) })
	}
}

// concurrentCallers is the number of callers of the benchmark.
const concurrentCallers = 32

// measureRequests sends requests from a few callers and reports latencies and rate.
func measureRequests(b *testing.B, client *http.Client, url string) {
	var mu sync.Mutex
	var latencies []time.Duration
	benchStart := time.Now()
	b.SetParallelism(concurrentCallers / 6)
	b.RunParallel(func(pb *testing.PB) {
		var local []time.Duration
		for pb.Next() {
			start := time.Now()
			resp, err := client.Get(url)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				local = append(local, time.Since(start))
			}
		}
		mu.Lock()
		defer mu.Unlock()
		latencies = append(latencies, local...)
	})
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	if len(latencies) == 0 {
		b.Fatal("nothing was answered")
	}
	b.ReportMetric(float64(len(latencies))/time.Since(benchStart).Seconds(), "answers/s")
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
}

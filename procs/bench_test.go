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

// BenchmarkLoopback compares calls through a daemon that is both entry host and owner of
// the queue with calls sent directly to the backend server's stand-in.
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

// concurrentCallers is the approximate number of concurrent callers. SetParallelism
// multiplies its argument by GOMAXPROCS, which is taken to be about 6.
const concurrentCallers = 32

// measureRequests sends requests from concurrent callers and reports the rate of
// successful responses and their latencies.
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
		b.Fatal("no request succeeded")
	}
	b.ReportMetric(float64(len(latencies))/time.Since(benchStart).Seconds(), "answers/s")
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
}

package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/platform/mimic"
)

// TestReadersOfResults guards against readers of results that make a host hold all of them at one time: what does not fit
// into the memory for responses is refused at once, and can be read later.
func TestReadersOfResults(t *testing.T) {
	const (
		results  = 6
		textSize = 100 << 10
		readers  = 16
	)
	is := is.New(t)
	recordStore := fake.NewKeyedStore()
	recordStore.Latency = 100 * time.Millisecond
	accepting := startHost(t, "host-1", recordStore, &fake.PeerOrigins{}, &hostList{})
	accepting.applyConfig()
	var items []string
	for i := range results {
		items = append(items, fmt.Sprintf(`{"id":"e%d","path":"/t/1","headers":{"Model":"m"},"body":"q83v","group":"g"}`, i))
	}
	status, _, _ := accepting.sendRequest("POST", "/t/b1", "b1", `{"step":1,"model":"m","items":[`+strings.Join(items, ",")+`]}`)
	is.Equal(status, http.StatusAccepted)
	for i := range results {
		is.NoErr(accepting.frontend.Batches.StoreResult(t.Context(), "b1", &gypsum.BatchResult{Item: gypsum.ItemID(fmt.Sprint("e", i)), State: gypsum.ItemCompleted, Text: strings.Repeat("x", textSize)}))
	}
	s := accepting.startPeer("host-2")
	s.frontend.Buffers = buffer.NewPool(4 * results * textSize)
	status, _, _ = s.sendRequest("GET", mimic.ResultsTarget("b1", results), "c", "")
	is.Equal(status, http.StatusOK) // the host knows the batch
	var refused, served atomic.Int64
	var wg sync.WaitGroup
	for i := range readers {
		wg.Go(func() {
			startedAt := time.Now()
			status, header, body := s.sendRequest("GET", mimic.ResultsTarget("b1", 0), fmt.Sprint("c", i), "")
			switch {
			case status == http.StatusServiceUnavailable && header.Get("Retry-After") != "" && time.Since(startedAt) < 90*time.Millisecond:
				refused.Add(1)
			case status == http.StatusOK && len(body) > textSize:
				served.Add(1)
			default:
				t.Errorf("status %d with %d bytes after %v", status, len(body), time.Since(startedAt))
			}
		})
	}
	wg.Wait()
	t.Logf("%d readers served, %d refused", served.Load(), refused.Load())
	is.True(served.Load() >= 1 && served.Load() <= 4)
	is.Equal(s.frontend.Buffers.Usage().Used, gypsum.Bytes(0))
	status, _, body := s.sendRequest("GET", mimic.ResultsTarget("b1", 0), "c", "")
	is.Equal(status, http.StatusOK)
	is.True(len(body) > results*textSize)
}

package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// storeVars are the metrics of a daemon's calls to the store.
type storeVars struct {
	StoreReads struct {
		Calls   int64 `json:"calls"`
		Refused int64 `json:"refused_for_rate"`
	} `json:"store_reads"`
	Feed struct {
		OwnReads int64 `json:"own_reads"`
		Received int64 `json:"received"`
		Served   int64 `json:"served"`
		Broken   int64 `json:"broken"`
	} `json:"feed"`
}

// storeMetrics returns the metrics of a daemon.
func storeMetrics(t *testing.T, daemon *daemonProcess) storeVars {
	t.Helper()
	response, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/debug/vars", daemon.readyPort))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var vars struct {
		Metrics storeVars `json:"gypsumhook"`
	}
	if err := json.NewDecoder(response.Body).Decode(&vars); err != nil {
		t.Fatal(err)
	}
	return vars.Metrics
}

// TestSharedReads guards against more reads than the store allows for the number of hosts: processes
// share their reads, serve batches all the same, and go on when a reader is killed.
func TestSharedReads(t *testing.T) {
	const hosts, reads, writes = 8, 200, 400
	env := startTestEnv(&testEnv{t: t, reads: reads, writes: writes}, hosts)
	load := newWorkload(env)
	time.Sleep(4 * time.Second) // until the daemons know each other
	before, _ := env.limited.ReadCounts()
	for step := range 3 {
		batch := runStep(load, fmt.Sprint("step", step), env.daemons[step])
		if len(batch.results) < len(batch.items) {
			t.Errorf("batch %d has %d of %d results", step, len(batch.results), len(batch.items))
		}
	}
	time.Sleep(4 * time.Second)
	after, _ := env.limited.ReadCounts()
	readers, received := 0, int64(0)
	var reader *daemonProcess
	for _, daemon := range env.daemons {
		metrics := storeMetrics(t, daemon)
		t.Logf("%s %s: %+v", daemon.name, daemon.dataCentre, metrics)
		received += metrics.Feed.Received
		if metrics.Feed.Served > 0 {
			readers, reader = readers+1, daemon
		}
	}
	_, refused := env.limited.ReadCounts()
	t.Logf("%d reads while batches ran, %d of all refused; %d daemons serve others", after-before, refused, readers)
	if received == 0 || readers == 0 {
		t.Fatal("daemons do not share their reads")
	}
	killed := reader
	killed.kill()
	killed.wait()
	for i, daemon := range env.daemons {
		if daemon == killed {
			continue
		}
		batch := runStep(load, fmt.Sprint("after", i), daemon)
		if len(batch.results) < len(batch.items) {
			t.Errorf("batch of %s after the loss of a reader has %d of %d results", daemon.name, len(batch.results), len(batch.items))
		}
		break
	}
}

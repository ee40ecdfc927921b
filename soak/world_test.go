// Package soak runs daemons as real processes in front of stand-ins of the platform,
// with faults from outside, and checks what callers, trainers and replicas see.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/check"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/platform/mimic"
)

// binary is the daemon's program, built once.
var binary string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		built, cleanup, err := check.BuildDaemon()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer cleanup()
		binary = built
		return m.Run()
	}())
}

// Sizes and times of the stand-ins.
const (
	enginesCount = 4
	plainCount   = 3
	engineSlots  = 16
	eventPace    = 5 * time.Millisecond
	plainWork    = 3 * time.Millisecond
	beatInterval = 400 * time.Millisecond
	missedBeats  = 3
	hostName     = "a.example"
	model        = "crew"
	modelService = "motif"
	plainService = "desk"
	readyTimeout = 10 * time.Second
	// Ports below those that the system itself gives to connections.
	firstPort     = 11000
	portRange     = 9000
	settingsLines = `node = "%s"
ip = "127.0.0.1"
zone = "%s"
region = "%s"
internal_ports = [%d,%d]
[zones]
genova = "liguria"
chioggia = "adriatico"
[listen]
front = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[limits]
cpu_share = 0.8
memory_mb = 300
[bounds]
grace_s = 8
lease_ms = 1000
status_s = 120
[platform]
addr = "%s"
parts = 4
record_bytes = 262144
call_bytes = 2097152
`
)

// world is the stand-ins and the daemons.
type world struct {
	t        *testing.T
	store    *fake.KeyedStore
	engines  *fake.BatchEngines
	replicas []*standin
	hosts    []*hostProcess
	settings string
}

// standin is a replica that registers itself.
type standin struct {
	*mimic.Replica
	service string
	address string
	dead    atomic.Bool
	born    atomic.Int64
	missed  int
}

// hostProcess is one daemon.
type hostProcess struct {
	name, centre, region string
	front, ready, inner  int
	path                 *proxy

	// busy is set while a fault of the process is being played.
	busy atomic.Bool

	mu      sync.Mutex
	command *exec.Cmd
}

// newWorld starts the stand-ins and a number of daemons.
func newWorld(t *testing.T, hosts int) *world {
	w := &world{t: t, store: fake.NewKeyedStore(), settings: t.TempDir()}
	w.store.Delay = 2 * time.Millisecond
	w.engines = fake.NewBatchEngines(enginesCount, engineSlots, eventPace, model)
	w.engines.Events = lengthOf
	w.engines.LoadTime = 200 * time.Millisecond
	for i := range enginesCount {
		w.addReplica(&mimic.Replica{ID: gypsum.BackendID(fmt.Sprint("engine-", i+1)), Engines: w.engines}, modelService)
	}
	for i := range plainCount {
		w.addReplica(&mimic.Replica{ID: gypsum.BackendID(fmt.Sprint("desk-", i+1)), ServiceTime: plainWork}, plainService)
	}
	w.put("keyed.op", "config", configuration(1))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.register(ctx)
	}()
	t.Cleanup(func() { stop(); <-ended })
	address := serve(t, mimic.Store(w.store))
	for i := range hosts {
		made := &hostProcess{
			name: fmt.Sprint("host-", i+1), centre: "genova", region: "liguria", front: freePort(t), ready: freePort(t), inner: freePort(t),
			path: newProxy(t, address),
		}
		if i%3 == 2 {
			made.centre, made.region = "chioggia", "adriatico"
		}
		w.hosts = append(w.hosts, made)
		w.start(made)
		t.Cleanup(func() { made.kill() })
	}
	for _, host := range w.hosts {
		w.awaitReady(host)
	}
	return w
}

// lastPort is the last port that was given to a daemon.
var lastPort atomic.Int64

// freePort returns a port that nothing listens on.
func freePort(t *testing.T) int {
	for range portRange {
		port := firstPort + (os.Getpid()*50+int(lastPort.Add(1)))%portRange
		if listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			_ = listener.Close()
			return port
		}
	}
	t.Fatal("no port is free")
	return 0
}

// serve serves a handler on loopback and returns its address.
func serve(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// addReplica serves a replica.
func (w *world) addReplica(replica *mimic.Replica, service string) {
	made := &standin{Replica: replica, service: service}
	made.born.Store(time.Now().UnixMilli())
	made.address = serve(w.t, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if made.dead.Load() {
			panic(http.ErrAbortHandler)
		}
		replica.Handler().ServeHTTP(rw, r)
	}))
	w.replicas = append(w.replicas, made)
}

// put writes a record as the platform does, past all faults of the store.
func (w *world) put(topic gypsum.Topic, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		w.t.Error(err)
		return
	}
	w.store.Put(topic, gypsum.KeyedRecord{Key: key, Value: content})
}

// register writes the replicas' registrations until ctx ends.
func (w *world) register(ctx context.Context) {
	for {
		reports := w.engines.Replicas(modelService)
		for _, replica := range w.replicas {
			if replica.dead.Load() {
				if replica.missed++; replica.missed == missedBeats {
					w.store.Put("keyed.servers", gypsum.KeyedRecord{Key: string(replica.ID)})
				}
				continue
			}
			replica.missed = 0
			body := map[string]any{
				"service": replica.service, "addr": replica.address, "zone": "genova", "slots": engineSlots, "state": "ready", "seq": 1,
				"born": replica.born.Load(),
			}
			for _, report := range reports {
				if report.ID == replica.ID {
					body["models"] = []any{map[string]any{"name": model, "version": report.Models[model]}}
				}
			}
			w.put("keyed.servers", string(replica.ID), body)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(beatInterval):
		}
	}
}

// configuration returns a configuration with a revision.
func configuration(revision int) map[string]any {
	route := func(prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": prefix, "host": hostName, "path_prefix": prefix, "kind": kind, "timeout_ms": 4000, "target_latency_ms": 250,
			"service": service, "max_attempts": 3, "retention_s": 60, "result_due_ms": 7500,
		}
	}
	return map[string]any{
		"version": revision, "limits": map[string]any{"max_body_bytes": 1 << 20},
		"routes": []any{
			route("/i/", "idempotent", plainService), route("/n/", "non_idempotent", plainService), route("/t/", "rollout", modelService),
		},
		"services": []any{
			map[string]any{"name": plainService}, map[string]any{
				"name": modelService, "engine": map[string]any{"slots": engineSlots, "stride": 1, "models": []any{map[string]any{"name": model}}},
			},
		},
	}
}

// start starts a daemon's process.
func (w *world) start(host *hostProcess) {
	path := filepath.Join(w.settings, host.name+".toml")
	content := fmt.Sprintf(settingsLines, host.name, host.centre, host.region, host.inner, host.inner, host.front, host.ready, host.path.address())
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		w.t.Error(err)
		return
	}
	command := exec.Command(binary, "edge")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	file, err := os.OpenFile(w.logOf(host), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.t.Error(err)
		return
	}
	defer func() { _ = file.Close() }()
	command.Stdout, command.Stderr = file, file
	host.mu.Lock()
	defer host.mu.Unlock()
	if err := command.Start(); err != nil {
		w.t.Error(err)
		return
	}
	host.command = command
}

// logOf is where a daemon logs to.
func (w *world) logOf(host *hostProcess) string {
	dir := os.Getenv("SOAK_LOGS")
	if dir == "" {
		dir = w.settings
	}
	return filepath.Join(dir, host.name+".log")
}

// logTail returns the last lines of a daemon's log.
func (w *world) logTail(host *hostProcess) string {
	const size = 4 << 10
	content, err := os.ReadFile(w.logOf(host))
	if err != nil {
		return err.Error()
	}
	return string(content[max(0, len(content)-size):])
}

// signal sends a signal to a daemon's process.
func (h *hostProcess) signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command != nil {
		_ = h.command.Process.Signal(signal)
	}
}

// kill ends a daemon's process at once.
func (h *hostProcess) kill() {
	h.signal(syscall.SIGKILL)
	h.wait()
}

// wait waits for the end of a daemon's process.
func (h *hostProcess) wait() {
	h.mu.Lock()
	command := h.command
	h.command = nil
	h.mu.Unlock()
	if command != nil {
		_ = command.Wait()
	}
}

// isReady tells whether a daemon says that it can serve.
func (h *hostProcess) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://127.0.0.1:%d/readyz", h.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until a daemon can serve.
func (w *world) awaitReady(host *hostProcess) {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if host.isReady() {
			return
		}
	}
	w.t.Fatalf("%s is not ready after %s; its log ends with:\n%s", host.name, readyTimeout, w.logTail(host))
}

// address is where clients reach a daemon.
func (h *hostProcess) address() string { return net.JoinHostPort("127.0.0.1", fmt.Sprint(h.front)) }

// lengthOf returns the number of events that an item's id tells behind its last dot.
func lengthOf(item gypsum.ItemID) int64 {
	var length int64
	id := string(item)
	if _, err := fmt.Sscan(id[strings.LastIndex(id, ".")+1:], &length); err != nil {
		return 1
	}
	return length
}

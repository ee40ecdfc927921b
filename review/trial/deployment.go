package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/platform/mimic"
)

// Bounds of the small deployment, as the settings state them.
const (
	configApply = 3 * time.Second
	settle      = time.Second
	heartbeat   = 1200 * time.Millisecond
	host        = "ficu95.example"
	model       = "daka510000"
)

// record is what was sent, answered and run, in order.
type record struct {
	mu      sync.Mutex
	started time.Time
	lines   []string
}

// add adds a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.started).Seconds())+fmt.Sprintf(format, args...))
}

// write writes the record to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600); err != nil {
		return fmt.Errorf("write the record: %w", err)
	}
	return nil
}

// deployment is a store, replicas and daemons. The store and the replicas run in this process, each
// daemon in one of its own.
type deployment struct {
	record   *record
	dir      string
	statusS  int
	store    *fake.KeyedStore
	replicas []*replica
	raw      []*rawReplica
	daemons  []*daemon

	nextID atomic.Int64

	mu        sync.Mutex
	listeners []net.Listener
}

// daemon is a process of the deployment.
type daemon struct {
	name, zone          string
	front, ready, inner string
	cmd                 *exec.Cmd
	log                 *os.File
}

// newDeployment returns a deployment that is not started yet.
func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "trial")
	if err != nil {
		return nil, fmt.Errorf("create a temporary folder: %w", err)
	}
	d := &deployment{record: r, dir: dir, statusS: 120, store: fake.NewKeyedStore()}
	d.store.Latency = 4 * time.Millisecond
	return d, nil
}

// serve serves a handler on a free port of loopback and returns the address.
func (d *deployment) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	d.mu.Lock()
	d.listeners = append(d.listeners, listener)
	d.mu.Unlock()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// addReplicas starts replicas of a service, engines if a model is named.
func (d *deployment) addReplicas(service, engineModel string, count int) error {
	for i := range count {
		p := &replica{id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, model: engineModel, version: 1, eventTime: 20 * time.Millisecond, record: d.record}
		if err := d.restart(p); err != nil {
			return err
		}
		d.replicas = append(d.replicas, p)
	}
	return nil
}

// restart starts a replica. After a crash it has the address that it had, and another id.
func (d *deployment) restart(p *replica) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	address := p.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	if p.dark != nil {
		p.dark()
		p.dark = nil
		_ = p.server.Close()
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	p.listener = listener
	if p.starts++; p.starts > 1 {
		p.id += "b"
	}
	p.address, p.born, p.down = listener.Addr().String(), time.Now().UnixMilli(), false
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: 10 * time.Second}
	server := p.server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// addRaw starts replicas of a plain service that serve their channels themselves.
func (d *deployment) addRaw(service string, count, slots int, work time.Duration) error {
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		p := &rawReplica{
			id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, address: listener.Addr().String(), born: time.Now().UnixMilli(), slots: slots, work: work,
			record: d.record, listener: listener, ran: make(map[string]int),
		}
		go p.serve()
		d.raw = append(d.raw, p)
	}
	return nil
}

// put writes a record as the operator or a replica does.
func (d *deployment) put(topic gypsum.Topic, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	d.store.AppendDirectly(topic, gypsum.KeyedRecord{Key: key, Value: content})
}

// putManifest writes a manifest.
func (d *deployment) putManifest(version int, routes []any, services []any) {
	d.put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	d.record.add("operator: manifest %d is acknowledged by the store", version)
}

// start starts the daemons and waits until they are ready.
func (d *deployment) start(ctx context.Context, daemons int) error {
	go d.register(ctx)
	address, err := d.serve(mimic.StoreHandler(d.store))
	if err != nil {
		return err
	}
	for i := range daemons {
		// A port may have been taken since it was found free.
		for try := 1; ; try++ {
			started, err := d.startDaemon(i, address)
			if err != nil {
				return err
			}
			if err = started.waitReady(ctx); err == nil {
				d.daemons = append(d.daemons, started)
				break
			}
			started.end()
			if try == startTries {
				return err
			}
		}
	}
	d.record.add("%d daemons are ready", len(d.daemons))
	return nil
}

// register renews the entries of the replicas until ctx ends.
func (d *deployment) register(ctx context.Context) {
	for seq := int64(0); ; seq++ {
		for _, p := range d.replicas {
			switch id, entry, remove := p.renew(seq); {
			case remove:
				d.store.AppendDirectly("keyed.servers", gypsum.KeyedRecord{Key: id})
			case entry != nil:
				d.put("keyed.servers", id, entry)
			}
		}
		for _, p := range d.raw {
			d.put("keyed.servers", p.id, map[string]any{
				"service": p.service, "addr": p.address, "zone": "genova", "version": "v1", "slots": p.slots, "state": "ready", "cold_left_ms": 0, "seq": seq, "born": p.born,
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

// The range of the daemons' ports is below the ephemeral ports, which the operating system gives to others.
const (
	firstPort = 11000
	portRange = 9000
)

// freeAddresses returns addresses on which nothing listens.
func freeAddresses(count int) []string {
	addresses := make([]string, 0, count)
	for len(addresses) < count {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.N(portRange))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, address)
	}
	return addresses
}

// settingsFormat is the settings file of a daemon.
const settingsFormat = `node = "%s"
role = "gypsumhook"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "%s"
region = "liguria"
internal_ports = [%s,%s]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","recover","samples","stream","engine","batch","platform"]
[zones]
genova = "liguria"
la-spezia = "liguria"
[listen]
front = "%s"
ready = "%s"
[limits]
cpu_share = 0.8
cores = 1
memory_mb = 324
max_fds = 8200
link_mbps = 1000.0
[bounds]
contact_ms = 4000
ack_ms = 5000
drain_ms = 3000
grace_s = 8
config_apply_ms = 3000
status_s = %d
cancel_ms = 3000
settle_ms = 1000
require_fence = true
lease_ms = 3000
thaw_slack_ms = 300
[platform]
addr = "%s"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 12
record_bytes = 262144
call_bytes = 2097152
`

// startTries is how often the start of a daemon is tried.
const startTries = 3

// startDaemon starts one daemon with the command of the deploy file.
func (d *deployment) startDaemon(index int, store string) (*daemon, error) {
	addresses := freeAddresses(3)
	started := &daemon{
		name: fmt.Sprintf("edge-%d", index+1), zone: []string{"genova", "la-spezia"}[index%2], front: addresses[0], ready: addresses[1], inner: addresses[2],
	}
	_, port, err := net.SplitHostPort(started.inner)
	if err != nil {
		return nil, fmt.Errorf("split address: %w", err)
	}
	settings := fmt.Sprintf(settingsFormat, started.name, started.zone, port, port, started.front, started.ready, d.statusS, store)
	path := filepath.Join(d.dir, started.name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	if started.log, err = os.Create(filepath.Join(d.dir, started.name+".log")); err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	started.cmd = exec.Command("target/gypsumhook", "edge")
	started.cmd.Env = append(os.Environ(), "GYPSUMHOOK_SETTINGS="+path)
	// The daemons end with this process, however it ends.
	started.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started.cmd.Stdout, started.cmd.Stderr = started.log, started.log
	if err := started.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start daemon: %w", err)
	}
	return started, nil
}

// end ends the process of the daemon.
func (s *daemon) end() {
	_ = s.cmd.Process.Signal(syscall.SIGKILL)
	_ = s.cmd.Wait()
	_ = s.log.Close()
}

// readyTimeout is how long a daemon may take until it is ready.
const readyTimeout = 5 * time.Second

// waitReady waits until the daemon is ready.
func (s *daemon) waitReady(ctx context.Context) error {
	client := http.Client{Timeout: time.Second}
	var lastErr error
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + s.ready + "/readyz")
		if lastErr = err; err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
		lastErr = fmt.Errorf("%s is not ready: %w", s.name, errStatus(response.StatusCode))
	}
	return fmt.Errorf("wait for %s: %w", s.name, lastErr)
}

// errStatus is an unexpected status.
type errStatus int

// Error implements error.
func (s errStatus) Error() string { return fmt.Sprintf("status %d", int(s)) }

// stop ends all processes of the deployment.
func (d *deployment) stop() {
	for _, started := range d.daemons {
		started.end()
	}
	for _, p := range d.replicas {
		p.crash()
	}
	for _, p := range d.raw {
		_ = p.listener.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, listener := range d.listeners {
		_ = listener.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

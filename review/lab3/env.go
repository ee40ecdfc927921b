// Command lab3 runs the scripted cases 11 to 15 of the review: it starts daemons as processes, and
// stand-ins of the platform, of replicas and of clients, and checks one rule.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
)

// Settings of a small deployment: amtsa-swatch on the pages.
const (
	host        = "ficu95.example"
	configApply = 3 * time.Second
	contact     = 4 * time.Second
	heartbeat   = 1200 * time.Millisecond
	firstPort   = 10000
	portRange   = 20000
	settings    = `node = "%s"
role = "gypsumhook"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "%s"
region = "greater-accra"
internal_ports = [%d,%d]
heartbeat_ms = 1200
[zones]
makola = "greater-accra"
tema = "greater-accra"
[listen]
front = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[limits]
cpu_share = 0.8
cores = 1
memory_mb = %d
max_fds = 8200
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 4000
ack_ms = 5000
drain_ms = 3000
grace_s = 8
config_apply_ms = 3000
recovery_s = 12
status_s = %d
%scancel_ms = 3000
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
ttl_min_ms = 1000
`
)

// lab is one run of a case.
type lab struct {
	trouble           bool
	start             time.Time
	dir               string
	statusS, memoryMB int
	store             *fake.KeyedStore
	daemons           []*daemon
	// links are the ways of the daemons to the store, bounds further lines of their settings.
	links  []*link
	bounds string

	mu       sync.Mutex
	record   *os.File
	config   map[string]any
	cleanups []func()
}

// daemon is a daemon that runs as a process of its own.
type daemon struct {
	name, zone          string
	front, ready, inner int
	cmd                 *exec.Cmd
}

// unable ends a case that cannot run.
type unable struct{ reason string }

// cannot ends the case with exit status 2.
func cannot(format string, args ...any) { panic(unable{fmt.Sprintf(format, args...)}) }

// newLab opens the record of a case in its folder.
func newLab(folder string) *lab {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		cannot("create the record: %v", err)
	}
	dir, err := os.MkdirTemp("", "lab3")
	if err != nil {
		cannot("create a folder: %v", err)
	}
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), dir: dir, statusS: 120, memoryMB: 154, store: fake.NewKeyedStore(), record: record}
	l.store.Latency = 2 * time.Millisecond
	l.log("case", "trouble", l.trouble)
	return l
}

// log writes a line to the record.
func (l *lab) log(what string, fields ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s", time.Since(l.start).Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(l.record, " %v=%v", fields[i], fields[i+1])
	}
	fmt.Fprintln(l.record)
}

// close ends all processes and servers.
func (l *lab) close() {
	for _, d := range l.daemons {
		d.kill()
	}
	for i := len(l.cleanups) - 1; i >= 0; i-- {
		l.cleanups[i]()
	}
	_ = os.RemoveAll(l.dir)
	_ = l.record.Close()
}

// serve serves a handler on loopback and returns its address.
func (l *lab) serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannot("listen: %v", err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	l.cleanups = append(l.cleanups, func() { _ = server.Close() })
	return listener.Addr().String()
}

// takenPorts are the ports that daemons of this run got.
var takenPorts = make(map[int]bool)

// freePort returns a port that nothing listens on.
func freePort() int {
	for range 1000 {
		// Below the range from which the operating system takes ports for connections.
		port := firstPort + rand.IntN(portRange)
		if takenPorts[port] {
			continue
		}
		if listener, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port)); err == nil {
			_ = listener.Close()
			takenPorts[port] = true
			return port
		}
	}
	cannot("no port is free")
	return 0
}

// put writes a record as the platform does.
func (l *lab) put(topic gypsum.Topic, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		cannot("encode a record: %v", err)
	}
	l.store.AppendDirectly(topic, gypsum.KeyedRecord{Key: key, Value: content})
}

// putConfig writes a manifest with its next version.
func (l *lab) putConfig(version int, routes []any, services []any) {
	l.put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	l.log("manifest acknowledged", "version", version)
}

// startDaemons starts daemons, each once the one before is ready.
func (l *lab) startDaemons(count int) {
	binary, err := filepath.Abs("target/gypsumhook")
	if err != nil {
		cannot("find the program: %v", err)
	}
	store := l.serve(l.storeHandler())
	for i := range count {
		l.links = append(l.links, l.newLink(store))
		l.startDaemon(binary, i)
	}
}

// startTries is how often a daemon is started. Another process may take a port before it does.
const startTries = 3

// startDaemon starts a daemon and waits until it is ready.
func (l *lab) startDaemon(binary string, i int) {
	d := &daemon{name: fmt.Sprint("edge-", i+1), zone: zoneOf(i)}
	l.daemons = append(l.daemons, d)
	path := filepath.Join(l.dir, d.name+".toml")
	for range startTries {
		d.front, d.ready, d.inner = freePort(), freePort(), freePort()
		content := fmt.Sprintf(settings, d.name, d.zone, d.inner, d.inner, d.front, d.ready, l.memoryMB, l.statusS, l.bounds, l.links[i].address)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			cannot("write settings: %v", err)
		}
		output, err := os.Create(filepath.Join(l.dir, d.name+".log"))
		if err != nil {
			cannot("create a log: %v", err)
		}
		d.cmd = exec.Command(binary, "edge")
		d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + l.dir, "GYPSUMHOOK_SETTINGS=" + path}
		d.cmd.Stdout, d.cmd.Stderr = output, output
		d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := d.cmd.Start(); err != nil {
			cannot("start a daemon: %v", err)
		}
		_ = output.Close()
		if l.awaitReady(d) {
			return
		}
		d.kill()
	}
	cannot("daemon %s is not ready", d.name)
}

// awaitReady waits until a daemon is ready, and reports whether it is.
func (l *lab) awaitReady(d *daemon) bool {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/readyz", d.ready))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			l.log("daemon ready", "daemon", d.name)
			return true
		}
	}
	return false
}

// kill ends a daemon at once.
func (d *daemon) kill() {
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Kill()
		_ = d.cmd.Wait()
		d.cmd = nil
	}
}

// answer is what a client got.
type answer struct {
	status int // 0 for no answer
	header http.Header
	body   []byte
	err    error
}

// call sends one client attempt on a new channel.
func (l *lab) call(d *daemon, method, target string, header map[string]string, body []byte, timeout time.Duration) answer {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: timeout}
	return l.callOn(client, d, method, target, header, body)
}

// callOn sends one client attempt on a channel of a client.
func (l *lab) callOn(client *http.Client, d *daemon, method, target string, header map[string]string, body []byte) answer {
	request, err := http.NewRequest(method, fmt.Sprintf("http://127.0.0.1:%d%s", d.front, target), bytes.NewReader(body))
	if err != nil {
		cannot("create a request: %v", err)
	}
	request.Host = host
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: content, err: err}
}

// zoneOf returns the zone of the machine or replica with a number.
func zoneOf(i int) string { return []string{"makola", "tema"}[i%2] }

package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const settings = `node = %q
role = "gypsumhook"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = %q
region = "liguria"
internal_ports = [%d,%d]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","recover","samples","stream","engine","batch","platform"]
[zones]
genova = "liguria"
la-spezia = "liguria"
chioggia = "adriatico"
[listen]
front = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[limits]
cpu_share = 0.8
cores = 1
memory_mb = 324
max_fds = 8200
link_mbps = 1000.0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
addr_reuse_s = 2
contact_ms = 4000
ack_ms = 5000
drain_ms = 3000
grace_s = 8
config_apply_ms = 3000
rollback_slack_ms = 250
recovery_s = 12
finish_s = 10
status_s = 120
cancel_ms = 3000
settle_ms = 1000
require_fence = true
lease_ms = 3000
thaw_slack_ms = 300
[platform]
addr = %q
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 12
append_ms = 2.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
retention_s = 300
part_mb = 200
ttl_min_ms = 1000
`

// host is the Host header of all routes.
const host = "ficu95.example"

// machine is an entry host with its daemon.
type machine struct {
	name, zone          string
	front, ready, inner int
	link                *link
	settings, log       string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// deployment is a small deployment: the store, the replicas and the daemons.
type deployment struct {
	store    *store
	replicas []*replica
	machines []*machine
	record   *os.File
	began    time.Time
	program  string
	dir      string
	mu       sync.Mutex
	stopped  chan struct{}
}

// fail ends a run that could not be carried out.
func fail(format string, values ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", values...)
	if current != nil {
		current.note("could not run: "+format, values...)
		current.stop()
	}
	os.Exit(2)
}

// current is the deployment of this run.
var current *deployment

func newDeployment(program, recordPath string) *deployment {
	record, err := os.Create(recordPath)
	if err != nil {
		fail("create record: %v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("create folder: %v", err)
	}
	d := &deployment{store: newStore(), record: record, began: time.Now(), program: program, dir: dir, stopped: make(chan struct{})}
	current = d
	return d
}

// note writes a line to record.txt.
func (d *deployment) note(format string, values ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, values...))
}

// firstPort and portRange are outside of the ports that systems usually give to outgoing channels.
const (
	firstPort = 20000
	portRange = 10000
)

// lastPort is the number of ports that this run has tried.
var lastPort int

// freePort returns a port that nothing listens on.
func freePort() int {
	for range portRange {
		lastPort++
		port := firstPort + (os.Getpid()*64+lastPort)%portRange
		if listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			_ = listener.Close()
			return port
		}
	}
	fail("no port is free")
	return 0
}

// start starts the store, the replicas and the daemons, and waits until these are ready.
func (d *deployment) start(machines int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen for store: %v", err)
	}
	go func() { _ = http.Serve(listener, d.store.handler()) }()
	for _, p := range d.replicas {
		p.start()
	}
	go d.renew()
	for i := range machines {
		zone := []string{"genova", "la-spezia", "chioggia"}[i%3]
		m := &machine{
			name: fmt.Sprintf("edge-%s-%d", zone, i/3+1), zone: zone, front: freePort(), ready: freePort(), inner: freePort(),
			link: newLink(listener.Addr().String()),
		}
		m.settings, m.log = filepath.Join(d.dir, m.name+".toml"), filepath.Join(d.dir, m.name+".log")
		content := fmt.Sprintf(settings, m.name, m.zone, m.inner, m.inner, m.front, m.ready, m.link.address())
		if err := os.WriteFile(m.settings, []byte(content), 0o600); err != nil {
			fail("write settings: %v", err)
		}
		d.machines = append(d.machines, m)
		d.launch(m)
	}
	for _, m := range d.machines {
		d.awaitReady(m)
	}
}

// renew renews the registrations every heartbeat_ms.
func (d *deployment) renew() {
	missed := make(map[*replica]int)
	for {
		for _, p := range d.replicas {
			body := p.registration()
			switch {
			case body != nil:
				missed[p] = 0
				d.store.put("keyed.servers", p.id, body)
			default:
				if missed[p]++; missed[p] == 3 {
					d.store.put("keyed.servers", p.id, nil)
				}
			}
		}
		select {
		case <-d.stopped:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// launch starts a machine's daemon with the command of the deploy file.
func (d *deployment) launch(m *machine) {
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("open log: %v", err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(d.program, "edge")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GYPSUMHOOK_SETTINGS=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail("start daemon: %v", err)
	}
	m.mu.Lock()
	m.cmd = cmd
	m.mu.Unlock()
}

// kill ends a machine's daemon with SIGKILL.
func (m *machine) kill() {
	m.mu.Lock()
	cmd := m.cmd
	m.cmd = nil
	m.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// signal sends a signal to a machine's daemon.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

func (d *deployment) awaitReady(m *machine) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 200 {
		response, err := client.Get(fmt.Sprintf("http://127.0.0.1:%d/readyz", m.ready))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	fail("%s is not ready", m.name)
}

// stop ends all that was started.
func (d *deployment) stop() {
	select {
	case <-d.stopped:
		return
	default:
	}
	close(d.stopped)
	for _, m := range d.machines {
		m.kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.MkdirAll(keep, 0o755)
		for _, m := range d.machines {
			content, _ := os.ReadFile(m.log)
			_ = os.WriteFile(filepath.Join(keep, m.name+".log"), content, 0o644)
		}
	}
	_ = os.RemoveAll(d.dir)
}

// end ends the run with its verdict.
func (d *deployment) end(broken bool, format string, values ...any) {
	verdict := "rule held: "
	code := 0
	if broken {
		verdict, code = "rule broken: ", 1
	}
	line := verdict + fmt.Sprintf(format, values...)
	d.note("%s", line)
	fmt.Println(line)
	d.stop()
	os.Exit(code)
}

// answer is the answer to a client's request.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

func (a *answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprint(a.status)
}

// call sends a client's request to a machine, on a channel of its own.
func (d *deployment) call(m *machine, method, target string, header map[string]string, body []byte, timeout time.Duration) *answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://127.0.0.1:%d%s", m.front, target), bytes.NewReader(body))
	if err != nil {
		fail("create request: %v", err)
	}
	request.Host = host
	for name, value := range header {
		request.Header.Set(name, value)
	}
	began := time.Now()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return &answer{err: err, took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return &answer{status: response.StatusCode, header: response.Header, body: content, err: err, took: time.Since(began)}
}

// item is an item of a batch submission.
type item struct {
	id, path, model string
	body            []byte
	group           string
}

// submission returns the body of a batch submission.
func submission(step, groups int, model string, minVersion int, items []item) []byte {
	list := make([]any, 0, len(items))
	for _, it := range items {
		list = append(list, map[string]any{
			"id": it.id, "path": it.path, "headers": map[string]string{"Model": model, "Token-Counts": "16,400", "Prompt-Prefix": "9c2e41:16"},
			"body": base64.StdEncoding.EncodeToString(it.body), "token_count": 416, "group": it.group,
		})
	}
	content, err := json.Marshal(map[string]any{"step": step, "model": model, "min_version": minVersion, "group_count": groups, "items": list})
	if err != nil {
		fail("encode submission: %v", err)
	}
	return content
}

// result is a result of an item.
type result struct {
	ID, State, Text string
	Versions        []int
}

// results reads the results of a batch submission from a position.
func (d *deployment) results(m *machine, id string, after int) (total int, list []result, a *answer) {
	a = d.call(m, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", id, after), map[string]string{"Wait-Ms": "1000"}, nil, 2500*time.Millisecond)
	var body struct {
		Total   int
		Results []result
	}
	if a.err == nil && a.status == http.StatusOK {
		if err := json.Unmarshal(a.body, &body); err != nil {
			a.err = err
		}
	}
	return body.Total, body.Results, a
}

// route returns a route of a manifest.
func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 4000, "target_latency_ms": 400, "priority": 1,
		"service": service, "max_attempts": 3, "retention_s": 40, "result_due_ms": 7500,
	}
}

// manifest writes a manifest to the store.
func (d *deployment) manifest(version int, model string, routes ...any) {
	d.store.put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "roster", "health_path": "/healthz", "max_conns": 110},
			map[string]any{"name": "matcher", "health_path": "/healthz", "max_conns": 180, "engine": map[string]any{
				"slots": 16, "stride": 8, "models": []any{map[string]any{"name": model}},
			}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	d.note("operator: manifest %d acknowledged, %d routes", version, len(routes))
}

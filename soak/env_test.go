// Package soak runs daemons as real processes against stand-ins of the platform, injects
// faults from outside, and checks what callers, trainers and replicas observe.
package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
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

// daemonBinary is the path of the daemon's executable, built once for all tests.
var daemonBinary string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		built, cleanup, err := check.BuildDaemon()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer cleanup()
		daemonBinary = built
		return m.Run()
	}())
}

// Sizes and timing of the stand-ins, and the settings of daemons.
const (
	engineCount          = 4
	plainReplicaCount    = 4
	engineSlots          = 16
	eventInterval        = 5 * time.Millisecond
	plainServiceTime     = 3 * time.Millisecond
	registrationInterval = 400 * time.Millisecond
	missedRenewalLimit   = 3
	routeHost            = "a.example"
	model                = "crew"
	modelService         = "motif"
	plainService         = "desk"
	readyTimeout         = 10 * time.Second
	defaultMemoryMB      = 300
	defaultMaxFiles      = 8200
	// The range of the daemons' ports is below the ephemeral ports, which the operating
	// system assigns to connections.
	firstPort        = 11000
	portRange        = 9000
	settingsTemplate = `node = "%s"
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
memory_mb = %d
max_fds = %d
[bounds]
grace_s = 8
lease_ms = 1000
status_s = 120
%s[platform]
addr = "%s"
reads_per_s = %g
writes_per_s = %g
parts = 4
record_bytes = 262144
call_bytes = 2097152
`
)

// testEnv is a deployment: stand-ins of the platform, replicas, and daemons as processes.
type testEnv struct {
	t           *testing.T
	store       *fake.KeyedStore
	limited     *fake.LimitedStore
	engines     *fake.BatchEngines
	replicas    []*registeredReplica
	daemons     []*daemonProcess
	settingsDir string
	// binary is the path of the daemons' executable, that of the current build if it is empty.
	binary string
	// accounts are the client accounts with their keys, nil for none. Keys of accounts are revoked
	// strictly, within revokeTime.
	accounts   map[gypsum.AccountName][]string
	revokeTime time.Duration
	// reads and writes are the limits of the store's calls per second, 0 for none.
	reads, writes float64
	// dutySettings are the settings of the platform's API, empty for a deployment without duties.
	dutySettings string
	// memoryMB and maxFiles are the memory and the descriptors of a daemon's host, 0 for the defaults.
	memoryMB, maxFiles int
}

// registeredReplica is a replica that renews its registration.
type registeredReplica struct {
	*mimic.Replica
	service string
	address string
	down    atomic.Bool
	// startedAt is the time of the last start, in Unix milliseconds.
	startedAt      atomic.Int64
	missedRenewals int
	// unregistered means that the replica does not register any more, although it serves.
	unregistered atomic.Bool
	// rateLimit is the limit of the request rate that the replica states from limitedAt on,
	// zero for none.
	rateLimit gypsum.RequestRate
	limitedAt time.Time
}

// daemonProcess is a daemon that runs as a process of its own. It reaches the store and the
// replicas through proxies.
type daemonProcess struct {
	name, dataCentre, region        string
	frontPort, readyPort, innerPort int
	storeProxy                      *proxy
	store                           *linkedStore
	// links are the paths to the replicas, by their IDs.
	links map[string]*replicaLink
	// binary is the path of the executable of the next start.
	binary string

	// faultActive is set while the process has a fault.
	faultActive atomic.Bool

	mu  sync.Mutex
	cmd *exec.Cmd
}

// newTestEnv starts the stand-ins, the replicas and the given number of daemons of the current
// build, and waits until the daemons are ready.
func newTestEnv(t *testing.T, daemons int) *testEnv {
	return startTestEnv(&testEnv{t: t, reads: *readRate, writes: *writeRate}, daemons)
}

// startTestEnv does what newTestEnv does for an environment whose accounts, build, duties and rates of the store may be set.
func startTestEnv(env *testEnv, daemons int) *testEnv {
	t := env.t
	if env.binary == "" {
		env.binary = daemonBinary
	}
	env.store, env.settingsDir = fake.NewKeyedStore(), t.TempDir()
	env.store.Latency = 2 * time.Millisecond
	env.limited = &fake.LimitedStore{KeyedStore: env.store, ReadsPerSecond: env.reads, WritesPerSecond: env.writes}
	env.engines = fake.NewBatchEngines(engineCount, engineSlots, eventInterval, model)
	env.engines.EventCount = eventCount
	env.engines.LoadTime = 200 * time.Millisecond
	for i := range engineCount {
		id := gypsum.BackendID(fmt.Sprint("engine-", i+1))
		env.engines.SetSoftware(id, softwareOf(i))
		env.addReplica(&mimic.Replica{ID: id, Engines: env.engines, Software: softwareOf(i)}, modelService)
	}
	for i := range plainReplicaCount {
		env.addReplica(&mimic.Replica{ID: gypsum.BackendID(fmt.Sprint("desk-", i+1)), ServiceTime: plainServiceTime, Software: softwareOf(i)}, plainService)
	}
	env.putRecord("keyed.op", "config", env.newConfiguration(1))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		env.registerReplicas(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	for range daemons {
		daemon := env.addDaemon()
		env.startDaemon(daemon)
	}
	for _, daemon := range env.daemons {
		env.waitReady(daemon)
	}
	return env
}

// addDaemon adds a daemon, which is not started yet. It is killed at the end of the test.
func (env *testEnv) addDaemon() *daemonProcess {
	i := len(env.daemons)
	daemon := &daemonProcess{
		name: fmt.Sprint("host-", i+1), dataCentre: "genova", region: "liguria", frontPort: freePort(env.t), readyPort: freePort(env.t), innerPort: freePort(env.t),
		links: make(map[string]*replicaLink), binary: env.binary,
	}
	for _, replica := range env.replicas {
		daemon.links[string(replica.ID)] = newReplicaLink(env.t, replica.address)
	}
	daemon.store = &linkedStore{KeyedStore: env.limited, links: daemon.links}
	daemon.storeProxy = newProxy(env.t, startServer(env.t, mimic.StoreHandler(daemon.store)))
	if i%3 == 2 {
		daemon.dataCentre, daemon.region = "chioggia", "adriatico"
	}
	env.daemons = append(env.daemons, daemon)
	env.t.Cleanup(daemon.kill)
	return daemon
}

// unregister removes the registration of a replica, which goes on to serve.
func (env *testEnv) unregister(replica *registeredReplica) {
	replica.unregistered.Store(true)
	// A registration on its way may follow the first removal.
	for range 2 {
		env.store.AppendDirectly("keyed.servers", gypsum.KeyedRecord{Key: string(replica.ID)})
		time.Sleep(50 * time.Millisecond)
	}
}

// softwareOf returns the software version of the replica with an index in its service.
func softwareOf(i int) gypsum.SoftwareVersion { return gypsum.SoftwareVersion(fmt.Sprint("v", 1+i%2)) }

// portCounter counts the ports that tests of this process have tried.
var portCounter atomic.Int64

// freePort returns a port that nothing listens on.
func freePort(t *testing.T) int {
	for range portRange {
		port := firstPort + (os.Getpid()*50+int(portCounter.Add(1)))%portRange
		if listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			_ = listener.Close()
			return port
		}
	}
	t.Fatal("no port is free")
	return 0
}

// startServer serves a handler on loopback until the test ends and returns its address.
func startServer(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// addReplica serves a replica of a service. While the replica is down it aborts all
// requests.
func (env *testEnv) addReplica(replica *mimic.Replica, service string) {
	registered := &registeredReplica{Replica: replica, service: service}
	registered.startedAt.Store(time.Now().UnixMilli())
	registered.address = startServer(env.t, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if registered.down.Load() {
			panic(http.ErrAbortHandler)
		}
		replica.Handler().ServeHTTP(rw, r)
	}))
	env.replicas = append(env.replicas, registered)
}

// putRecord writes a record as the platform does, regardless of the store's fault.
func (env *testEnv) putRecord(topic gypsum.Topic, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		env.t.Error(err)
		return
	}
	env.store.AppendDirectly(topic, gypsum.KeyedRecord{Key: key, Value: content})
}

// registerReplicas renews the registrations of the replicas until ctx ends, and deletes
// that of a replica that has missed too many renewals.
func (env *testEnv) registerReplicas(ctx context.Context) {
	for {
		reports := env.engines.Replicas(modelService)
		for _, replica := range env.replicas {
			if replica.down.Load() {
				if replica.missedRenewals++; replica.missedRenewals == missedRenewalLimit {
					env.store.AppendDirectly("keyed.servers", gypsum.KeyedRecord{Key: string(replica.ID)})
				}
				continue
			}
			replica.missedRenewals = 0
			if replica.unregistered.Load() {
				continue
			}
			body := map[string]any{
				"service": replica.service, "addr": replica.address, "zone": "genova", "slots": engineSlots, "state": "ready", "seq": 1, "version": replica.Software,
				"born": replica.startedAt.Load(),
			}
			for _, report := range reports {
				if report.ID == replica.ID {
					body["models"] = []any{map[string]any{"name": model, "version": report.Models[model]}}
				}
			}
			env.putRecord("keyed.servers", string(replica.ID), body)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(registrationInterval):
		}
	}
}

// newConfiguration returns a configuration of the given revision, with a route for each
// kind of request, and the accounts.
func (env *testEnv) newConfiguration(revision int) map[string]any {
	route := func(prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": prefix, "host": routeHost, "path_prefix": prefix, "kind": kind, "timeout_ms": 4000, "target_latency_ms": 250,
			"service": service, "max_attempts": maxAttempts, "retention_s": 60, "result_due_ms": 7500,
		}
	}
	streams := route(streamPrefix, "streaming", plainService)
	streams["resumable"] = true
	open := route("/open/", "idempotent", plainService)
	open["no_auth"] = true
	config := map[string]any{
		"version": revision, "limits": map[string]any{"max_body_bytes": 1 << 20},
		"routes": []any{
			route("/i/", "idempotent", plainService), streams, route("/n/", "non_idempotent", plainService), route(rewardPrefix, "idempotent", plainService), route("/t/", "rollout", modelService), open,
		},
		"services": []any{
			map[string]any{"name": plainService}, map[string]any{
				"name": modelService, "engine": map[string]any{"slots": engineSlots, "stride": 1, "models": []any{map[string]any{"name": model}}},
			},
		},
	}
	if env.accounts != nil {
		tenants := make([]any, 0, len(env.accounts))
		for name, keys := range env.accounts {
			tenants = append(tenants, map[string]any{"name": name, "api_keys": keys})
		}
		config["tenants"] = tenants
	}
	return config
}

// settings returns the content of a daemon's settings file.
func (env *testEnv) settings(daemon *daemonProcess) []byte {
	bounds := ""
	if env.accounts != nil {
		bounds = fmt.Sprintf("strict_revoke = true\nrevoke_ms = %d\n", env.revokeTime.Milliseconds())
	}
	content := fmt.Sprintf(settingsTemplate, daemon.name, daemon.dataCentre, daemon.region, daemon.innerPort, daemon.innerPort, daemon.frontPort, daemon.readyPort,
		cmp.Or(env.memoryMB, defaultMemoryMB), cmp.Or(env.maxFiles, defaultMaxFiles), bounds, daemon.storeProxy.address(), env.limited.ReadsPerSecond, env.limited.WritesPerSecond) + env.dutySettings
	return []byte(content)
}

// settingsPath returns the path of a daemon's settings file.
func (env *testEnv) settingsPath(daemon *daemonProcess) string {
	return filepath.Join(env.settingsDir, daemon.name+".toml")
}

// startDaemon writes a daemon's settings file and starts its process.
func (env *testEnv) startDaemon(daemon *daemonProcess) {
	if err := os.WriteFile(env.settingsPath(daemon), env.settings(daemon), 0o600); err != nil {
		env.t.Error(err)
		return
	}
	env.startProcess(daemon)
}

// startProcess starts a daemon's process, whose settings file must exist.
func (env *testEnv) startProcess(daemon *daemonProcess) {
	cmd := exec.Command(daemon.binary, "edge")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+env.settingsPath(daemon))
	logFile, err := os.OpenFile(env.logPath(daemon), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		env.t.Error(err)
		return
	}
	defer func() { _ = logFile.Close() }()
	cmd.Stdout, cmd.Stderr = logFile, logFile
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	if err := cmd.Start(); err != nil {
		env.t.Error(err)
		return
	}
	daemon.cmd = cmd
}

// logPath returns the path of a daemon's log, in SOAK_LOGS if that is set.
func (env *testEnv) logPath(daemon *daemonProcess) string {
	dir := os.Getenv("SOAK_LOGS")
	if dir == "" {
		dir = env.settingsDir
	}
	return filepath.Join(dir, daemon.name+".log")
}

// logTail returns the end of a daemon's log.
func (env *testEnv) logTail(daemon *daemonProcess) string {
	const tailSize = 4 << 10
	content, err := os.ReadFile(env.logPath(daemon))
	if err != nil {
		return err.Error()
	}
	return string(content[max(0, len(content)-tailSize):])
}

// signal sends a signal to a daemon's process.
func (d *daemonProcess) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(sig)
	}
}

// pid returns the ID of a daemon's process, 0 for none.
func (d *daemonProcess) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return 0
	}
	return d.cmd.Process.Pid
}

// kill sends SIGKILL to a daemon's process and waits for its end.
func (d *daemonProcess) kill() {
	d.signal(syscall.SIGKILL)
	d.wait()
}

// wait waits for the end of a daemon's process, if it has one.
func (d *daemonProcess) wait() {
	d.mu.Lock()
	cmd := d.cmd
	d.cmd = nil
	d.mu.Unlock()
	if cmd != nil {
		_ = cmd.Wait()
	}
}

// isReady reports whether a daemon passes the load balancer's readiness check.
func (d *daemonProcess) isReady() bool { return d.checkReady() == nil }

// checkReady returns the reason why the daemon is not ready, nil if it is.
func (d *daemonProcess) checkReady() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://127.0.0.1:%d/readyz", d.readyPort))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	content, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", resp.Status, content)
	}
	return nil
}

// cutOff sets the fault of a daemon's links to all replicas.
func (d *daemonProcess) cutOff(fault linkFault) {
	var wg sync.WaitGroup
	for _, link := range d.links {
		wg.Go(func() { link.setFault(fault) })
	}
	wg.Wait()
}

// waitReady waits until a daemon is ready and fails the test after readyTimeout.
func (env *testEnv) waitReady(daemon *daemonProcess) {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if daemon.isReady() {
			return
		}
	}
	env.t.Fatalf("%s is not ready after %s; its log ends with:\n%s", daemon.name, readyTimeout, env.logTail(daemon))
}

// address returns the address on which a daemon serves clients.
func (d *daemonProcess) address() string {
	return net.JoinHostPort("127.0.0.1", fmt.Sprint(d.frontPort))
}

// eventCount returns the number of events of an item, which its ID states after the last
// dot, or 1 if it states none.
func eventCount(item gypsum.ItemID) int64 {
	var count int64
	id := string(item)
	if _, err := fmt.Sscan(id[strings.LastIndex(id, ".")+1:], &count); err != nil {
		return 1
	}
	return count
}

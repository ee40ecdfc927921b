// Package procs tests daemons as real processes over TCP that are killed, frozen and cut
// off from the network.
package procs

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/adapt"
	"github.com/gypsumhook/gypsum/admin/operatorv1"
	"github.com/gypsumhook/gypsum/admin/operatorv1/operatorv1connect"
	"github.com/gypsumhook/gypsum/check"
	"github.com/gypsumhook/gypsum/client"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/stubs"
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

// testEnv is a deployment: stand-ins of the platform and of backend servers, served over
// TCP by the test process, and daemons as separate processes.
type testEnv struct {
	// intercept, unless it is nil, may respond in place of a backend server. It reports whether it has.
	intercept atomic.Pointer[func(w http.ResponseWriter, r *http.Request) bool]

	t             testing.TB
	log           *fake.Log
	hostList      *fake.HostList
	weightStore   *fake.WeightStore
	executions    *fake.ExecutionCounter
	engines       map[string]*fake.Engine
	plainReplicas map[string]*fake.PlainService
	listedHosts   []gypsum.Host
	urls          struct{ log, hosts, store string }
	// limits is a section that is added to the settings of the daemons.
	limits string

	mu         sync.Mutex
	daemons    map[gypsum.HostID]*daemonProcess
	httpClient *http.Client
}

// daemonProcess is a daemon that runs as a process of its own.
type daemonProcess struct {
	id              gypsum.HostID
	location        gypsum.Location
	cmd             *exec.Cmd
	callerAddress   string
	operatorAddress string
	peerAddress     string
	peerProxy       *proxy
	settingsPath    string
}

func newLocation(dataCentre, region string) gypsum.Location {
	return gypsum.Location{DataCentre: gypsum.DataCentre(dataCentre), Region: gypsum.Region(region)}
}

// newTestEnv starts the stand-ins, without daemons.
func newTestEnv(t testing.TB) *testEnv {
	t.Helper()
	httpClient, _ := adapt.NewClient()
	env := &testEnv{
		t: t, log: fake.NewLog(), hostList: &fake.HostList{}, weightStore: fake.NewWeightStore(), executions: fake.NewExecutionCounter(),
		engines: map[string]*fake.Engine{}, plainReplicas: map[string]*fake.PlainService{}, daemons: map[gypsum.HostID]*daemonProcess{}, httpClient: httpClient,
	}
	env.log.Latency = time.Millisecond
	env.weightStore.Publish(check.ModelName, 1)
	env.urls.log, env.urls.hosts, env.urls.store = env.startServer(stubs.LogHandler(env.log)), env.startServer(stubs.HostListHandler(env.hostList)), env.startServer(stubs.WeightStoreHandler(env.weightStore))
	for _, location := range []gypsum.Location{newLocation("genova", "liguria"), newLocation("la-spezia", "liguria"), newLocation("chioggia", "adriatico")} {
		id := string(location.DataCentre) + "-engine"
		env.engines[id] = fake.NewEngine(8, 2*time.Millisecond)
		env.addBackend(gypsum.Host{ID: id, Kind: gypsum.HostKindModel, Service: check.ModelService, Location: location}, stubs.EngineHandler(env.engines[id]))
		id = string(location.DataCentre) + "-plain"
		env.plainReplicas[id] = fake.NewPlainService(env.executions, 5*time.Millisecond)
		env.plainReplicas[id].SizeParameter = sizeParameter
		env.addBackend(gypsum.Host{ID: id, Kind: gypsum.HostKindPlain, Service: check.PlainService, Location: location}, stubs.PlainServiceHandler(env.plainReplicas[id]))
	}
	return env
}

// startServer serves a handler until the test ends and returns its URL.
func (env *testEnv) startServer(handler http.Handler) string {
	server := httptest.NewServer(handler)
	env.t.Cleanup(server.Close)
	return server.URL
}

// addBackend serves a backend server's stand-in and adds it to the host list.
func (env *testEnv) addBackend(host gypsum.Host, handler http.Handler) {
	host.Address = env.startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if intercept := env.intercept.Load(); intercept == nil || !(*intercept)(w, r) {
			handler.ServeHTTP(w, r)
		}
	}))[len("http://"):]
	env.listedHosts = append(env.listedHosts, host)
}

// portCounter counts the ports that tests of this process have tried.
var portCounter atomic.Int64

// Range of the daemons' ports. It is below the ephemeral ports, which the operating
// system assigns to connections.
const (
	firstPort = 21000
	portRange = 10000
)

// freeAddress returns a loopback address that nothing listens on.
func (env *testEnv) freeAddress() string {
	for {
		port := firstPort + (int64(os.Getpid())*100+portCounter.Add(1))%portRange
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
}

// settingsTemplate is the format of a daemon's settings file.
const settingsTemplate = `[host]
id = %s
data_centre = %s
region = %s
home_region = liguria

[listen]
callers = %s
peers = %s
operators = %s
advertised = %s

[platform]
log = %s
hosts = %s
weights = %s

[times]
drain_wait = 500ms

[log]
level = WARN
`

// startDaemon starts a daemon and adds it to the host list under the address of its peer
// proxy. The process is killed when the test ends.
func (env *testEnv) startDaemon(id gypsum.HostID, location gypsum.Location) {
	env.t.Helper()
	p, settings := env.addDaemon(id, location)
	if err := os.WriteFile(p.settingsPath, settings, 0o600); err != nil {
		env.t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		env.t.Fatal(err)
	}
}

// addDaemon adds a daemon to the host list, under the address of its peer proxy, and returns it with
// its settings. Its process is not started yet.
func (env *testEnv) addDaemon(id gypsum.HostID, location gypsum.Location) (p *daemonProcess, settings []byte) {
	env.t.Helper()
	p = &daemonProcess{id: id, location: location, callerAddress: env.freeAddress(), operatorAddress: env.freeAddress()}
	p.peerAddress = env.freeAddress()
	p.peerProxy = newProxy(env.t, p.peerAddress)
	p.settingsPath = filepath.Join(env.t.TempDir(), "daemon.ini")
	env.listedHosts = append(env.listedHosts, gypsum.Host{ID: string(id), Kind: gypsum.HostKindDaemon, Location: location, Address: p.peerProxy.address})
	env.hostList.SetHostsWithoutLag(env.listedHosts)
	p.cmd = exec.Command(daemonBinary, "serve", "--config", p.settingsPath)
	p.cmd.Stderr = &logWriter{t: env.t, id: id}
	env.t.Cleanup(func() {
		if p.cmd.Process == nil {
			return
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
	env.mu.Lock()
	defer env.mu.Unlock()
	env.daemons[id] = p
	content := fmt.Sprintf(settingsTemplate, id, location.DataCentre, location.Region, p.callerAddress, p.peerAddress, p.operatorAddress, p.peerProxy.address, env.urls.log, env.urls.hosts, env.urls.store)
	return p, []byte(content + env.limits)
}

// logWriter copies a daemon's log to that of the test if DAEMON_LOGS is set.
type logWriter struct {
	t  testing.TB
	id gypsum.HostID
}

// Write implements io.Writer.
func (l *logWriter) Write(line []byte) (int, error) {
	if os.Getenv("DAEMON_LOGS") != "" {
		l.t.Logf("%s: %s", l.id, line)
	}
	return len(line), nil
}

// signalDaemon sends a signal to a daemon's process.
func (env *testEnv) signalDaemon(id gypsum.HostID, sig syscall.Signal) {
	env.t.Helper()
	if err := env.daemons[id].cmd.Process.Signal(sig); err != nil {
		env.t.Fatal(err)
	}
}

// startCluster starts four daemons, creates the services and the plan, and waits until
// they are in force and backend servers have reported their load.
func (env *testEnv) startCluster() {
	env.t.Helper()
	env.startDaemon("genova-1", newLocation("genova", "liguria"))
	env.startDaemon("genova-2", newLocation("genova", "liguria"))
	env.startDaemon("la-spezia-1", newLocation("la-spezia", "liguria"))
	env.startDaemon("chioggia-1", newLocation("chioggia", "adriatico"))
	for id := range env.daemons {
		env.waitFor("ready "+string(id), func() bool { return env.isReady(id) })
	}
	env.createServices()
	env.waitFor("configuration in force", func() bool { return env.isInForce(3) })
	// Load reports of the backend servers reach all daemons a little later.
	time.Sleep(time.Second)
}

// waitFor waits until a condition holds and fails the test after 20 s.
func (env *testEnv) waitFor(description string, condition func() bool) {
	env.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	env.t.Fatalf("condition not met within 20 s: %s", description)
}

// isReady reports whether a daemon passes the load balancer's readiness check.
func (env *testEnv) isReady(id gypsum.HostID) bool { return env.checkReady(id) == nil }

// checkReady returns the reason why a daemon does not pass the load balancer's readiness check, nil if it does.
func (env *testEnv) checkReady(id gypsum.HostID) error {
	return env.checkReadyAt(env.daemons[id].callerAddress)
}

// checkReadyAt is checkReady at a port of a daemon.
func (env *testEnv) checkReadyAt(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return err
	}
	resp, err := env.httpClient.Do(req)
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

// operatorClient returns a client for the operators' API of a daemon.
func (env *testEnv) operatorClient(id gypsum.HostID) operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(&http.Client{Timeout: 5 * time.Second}, "http://"+env.daemons[id].operatorAddress)
}

// createServices creates the services and the plan.
func (env *testEnv) createServices() {
	env.t.Helper()
	ctx, operator := env.t.Context(), env.operatorClient("genova-1")
	timeout := durationpb.New(5 * time.Second)
	services := []*operatorv1.Service{
		{Name: string(check.ModelService), Kind: "model", Model: check.ModelName, DefaultTimeout: timeout, MaxQueue: 256, CrashLimit: 3, FollowWeights: true, Fenced: true},
		{Name: string(check.PlainService), Kind: "plain", DefaultTimeout: timeout, MaxQueue: 256, CrashLimit: 3},
	}
	for _, service := range services {
		change := &operatorv1.Change{ChangeId: service.GetName(), Operator: "test"}
		if _, err := operator.PutService(ctx, connect.NewRequest(&operatorv1.PutServiceRequest{Change: change, Service: service})); err != nil {
			env.t.Fatal(err)
		}
	}
	plan := &operatorv1.Plan{
		Name: string(check.PlanName), Service: string(check.ModelService), Groups: 4, GroupSize: 4, MaxTokens: 48, MaxStaleness: 1,
		Ahead: 1, SampleTimeout: durationpb.New(10 * time.Second), Share: 1,
	}
	change := &operatorv1.Change{ChangeId: "plan", Operator: "test"}
	if _, err := operator.PutPlan(ctx, connect.NewRequest(&operatorv1.PutPlanRequest{Change: change, Plan: plan})); err != nil {
		env.t.Fatal(err)
	}
}

// isInForce reports whether a revision, or a later one, is in force on all daemons,
// according to the status that genova-1 returns.
func (env *testEnv) isInForce(revision int64) bool {
	resp, err := env.operatorClient("genova-1").GetStatus(env.t.Context(), connect.NewRequest(&operatorv1.GetStatusRequest{}))
	if err != nil {
		return false
	}
	count := 0
	for _, member := range resp.Msg.GetMembers() {
		if member.GetRevision() >= revision {
			count++
		}
	}
	return count >= len(env.daemons)
}

// newCallRunner returns a caller's client for a daemon.
func (env *testEnv) newCallRunner(id gypsum.HostID) gypsum.CallRunner {
	env.mu.Lock()
	defer env.mu.Unlock()
	return &client.Client{BaseURL: "http://" + env.daemons[id].callerAddress, HTTPClient: env.httpClient}
}

// proxy is a TCP proxy between the other daemons and one daemon's peer address. While
// blocked it keeps connections open and forwards nothing.
type proxy struct {
	address string
	target  string

	mu sync.Mutex
	// unblock is nil while the proxy forwards, and closed at the end of a block.
	unblock chan struct{}
}

// newProxy starts a proxy for an address.
func newProxy(t testing.TB, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	p := &proxy{address: listener.Addr().String(), target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forwardConn(conn)
		}
	}()
	return p
}

// forwardConn copies a connection in both directions until one of them ends.
func (p *proxy) forwardConn(src net.Conn) {
	defer func() { _ = src.Close() }()
	dst, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = dst.Close() }()
	done := make(chan struct{}, 2)
	for _, direction := range [][2]net.Conn{{src, dst}, {dst, src}} {
		go func() {
			defer func() { done <- struct{}{} }()
			_, _ = io.Copy(&proxyWriter{proxy: p, dst: direction[1]}, direction[0])
		}()
	}
	<-done
}

// proxyWriter writes one direction of a proxied connection.
type proxyWriter struct {
	proxy *proxy
	dst   net.Conn
}

// Write implements io.Writer. It waits while the proxy is blocked.
func (w *proxyWriter) Write(data []byte) (int, error) {
	w.proxy.mu.Lock()
	unblock := w.proxy.unblock
	w.proxy.mu.Unlock()
	if unblock != nil {
		<-unblock
	}
	return w.dst.Write(data)
}

// setBlocked blocks the proxy, or lets it forward again.
func (p *proxy) setBlocked(blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case blocked && p.unblock == nil:
		p.unblock = make(chan struct{})
	case !blocked && p.unblock != nil:
		close(p.unblock)
		p.unblock = nil
	}
}

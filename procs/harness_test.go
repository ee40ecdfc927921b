// Package procs runs daemons as real processes over TCP and kills, freezes and
// cuts them.
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

// binary is the daemon's program, built once for all tests.
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

// world is the stand-ins, served over TCP from the test, and the daemons, each
// a process of its own.
type world struct {
	t       testing.TB
	log     *fake.Log
	hosts   *fake.Hosts
	store   *fake.Store
	ledger  *fake.Ledger
	engines map[string]*fake.Engine
	plains  map[string]*fake.Plain
	listed  []gypsum.Host
	urls    struct{ log, hosts, store string }

	mu      sync.Mutex
	daemons map[gypsum.HostID]*process
	http    *http.Client
}

// process is one daemon.
type process struct {
	id        gypsum.HostID
	place     gypsum.Location
	command   *exec.Cmd
	callers   string
	operators string
	relay     *relay
	config    string
}

// place returns a location.
func place(centre, region string) gypsum.Location {
	return gypsum.Location{DataCentre: gypsum.DataCentre(centre), Region: gypsum.Region(region)}
}

// newWorld starts the stand-ins.
func newWorld(t testing.TB) *world {
	t.Helper()
	client, _ := adapt.NewClient()
	w := &world{
		t: t, log: fake.NewLog(), hosts: &fake.Hosts{}, store: fake.NewStore(), ledger: fake.NewLedger(),
		engines: map[string]*fake.Engine{}, plains: map[string]*fake.Plain{}, daemons: map[gypsum.HostID]*process{}, http: client,
	}
	w.log.Delay = time.Millisecond
	w.store.Publish(check.Model, 1)
	w.urls.log, w.urls.hosts, w.urls.store = w.serve(stubs.Log(w.log)), w.serve(stubs.Hosts(w.hosts)), w.serve(stubs.Store(w.store))
	for _, at := range []gypsum.Location{place("genova", "liguria"), place("la-spezia", "liguria"), place("chioggia", "adriatico")} {
		id := string(at.DataCentre) + "-engine"
		w.engines[id] = fake.NewEngine(8, 2*time.Millisecond)
		w.list(gypsum.Host{ID: id, Kind: gypsum.KindModel, Service: check.ModelService, Location: at}, stubs.Engine(w.engines[id]))
		id = string(at.DataCentre) + "-plain"
		w.plains[id] = fake.NewPlain(w.ledger, 5*time.Millisecond)
		w.list(gypsum.Host{ID: id, Kind: gypsum.KindPlain, Service: check.PlainService, Location: at}, stubs.Plain(w.plains[id]))
	}
	return w
}

// serve serves a handler until the test ends and returns its URL.
func (w *world) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	w.t.Cleanup(server.Close)
	return server.URL
}

// list serves a backend server and adds it to the host list.
func (w *world) list(host gypsum.Host, handler http.Handler) {
	host.Address = w.serve(handler)[len("http://"):]
	w.listed = append(w.listed, host)
}

// lastPort is the last port that a test has used. The range is below that of
// the ports that the system itself gives out.
var lastPort atomic.Int64

// Range of the ports for daemons.
const (
	firstPort = 21000
	portRange = 10000
)

// freeAddress returns an address that nothing listens on.
func (w *world) freeAddress() string {
	for {
		port := firstPort + (int64(os.Getpid())*100+lastPort.Add(1))%portRange
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
}

// settings is the settings file of a daemon.
const settings = `[host]
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

// start starts a daemon.
func (w *world) start(id gypsum.HostID, at gypsum.Location) *process {
	w.t.Helper()
	p := &process{id: id, place: at, callers: w.freeAddress(), operators: w.freeAddress()}
	peers := w.freeAddress()
	p.relay = newRelay(w.t, peers)
	p.config = filepath.Join(w.t.TempDir(), "daemon.ini")
	content := fmt.Sprintf(settings, id, at.DataCentre, at.Region, p.callers, peers, p.operators, p.relay.address, w.urls.log, w.urls.hosts, w.urls.store)
	if err := os.WriteFile(p.config, []byte(content), 0o600); err != nil {
		w.t.Fatal(err)
	}
	w.listed = append(w.listed, gypsum.Host{ID: string(id), Kind: gypsum.KindDaemon, Location: at, Address: p.relay.address})
	w.hosts.Show(w.listed)
	p.command = exec.Command(binary, "serve", "--config", p.config)
	p.command.Stderr = &logWriter{t: w.t, id: id}
	if err := p.command.Start(); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.daemons[id] = p
	return p
}

// logWriter keeps a daemon's log for a failed test.
type logWriter struct {
	t  testing.TB
	id gypsum.HostID
}

// Write is part of io.Writer.
func (l *logWriter) Write(line []byte) (int, error) {
	if os.Getenv("DAEMON_LOGS") != "" {
		l.t.Logf("%s: %s", l.id, line)
	}
	return len(line), nil
}

// signal sends a signal to a daemon.
func (w *world) signal(id gypsum.HostID, signal syscall.Signal) {
	w.t.Helper()
	if err := w.daemons[id].command.Process.Signal(signal); err != nil {
		w.t.Fatal(err)
	}
}

// begin starts four daemons and makes the services and the plan.
func (w *world) begin() {
	w.t.Helper()
	w.start("genova-1", place("genova", "liguria"))
	w.start("genova-2", place("genova", "liguria"))
	w.start("la-spezia-1", place("la-spezia", "liguria"))
	w.start("chioggia-1", place("chioggia", "adriatico"))
	for id := range w.daemons {
		w.await("ready "+string(id), func() bool { return w.ready(id) })
	}
	w.configure()
	w.await("configuration in force", func() bool { return w.inForce(3) })
	// The daemons' news of their backend servers needs a moment more.
	time.Sleep(time.Second)
}

// await waits until a condition holds.
func (w *world) await(what string, holds func() bool) {
	w.t.Helper()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	w.t.Fatalf("not within 20 s: %s", what)
}

// ready tells whether the balancer would send calls to a daemon.
func (w *world) ready(id gypsum.HostID) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.daemons[id].callers+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := w.http.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// operator returns the operators' client of a daemon.
func (w *world) operator(id gypsum.HostID) operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(&http.Client{Timeout: 5 * time.Second}, "http://"+w.daemons[id].operators)
}

// configure makes the services and the plan.
func (w *world) configure() {
	w.t.Helper()
	ctx, operator := w.t.Context(), w.operator("genova-1")
	timeout := durationpb.New(5 * time.Second)
	services := []*operatorv1.Service{
		{Name: string(check.ModelService), Kind: "model", Model: check.Model, DefaultTimeout: timeout, MaxQueue: 256, CrashLimit: 3, FollowWeights: true, Fenced: true},
		{Name: string(check.PlainService), Kind: "plain", DefaultTimeout: timeout, MaxQueue: 256, CrashLimit: 3},
	}
	for _, service := range services {
		change := &operatorv1.Change{ChangeId: service.GetName(), Operator: "test"}
		if _, err := operator.PutService(ctx, connect.NewRequest(&operatorv1.PutServiceRequest{Change: change, Service: service})); err != nil {
			w.t.Fatal(err)
		}
	}
	plan := &operatorv1.Plan{
		Name: string(check.PlanName), Service: string(check.ModelService), Groups: 4, GroupSize: 4, MaxTokens: 48, MaxStaleness: 1,
		Ahead: 1, SampleTimeout: durationpb.New(10 * time.Second), Share: 1,
	}
	change := &operatorv1.Change{ChangeId: "plan", Operator: "test"}
	if _, err := operator.PutPlan(ctx, connect.NewRequest(&operatorv1.PutPlanRequest{Change: change, Plan: plan})); err != nil {
		w.t.Fatal(err)
	}
}

// inForce tells whether a revision is in force on all daemons, by status.
func (w *world) inForce(revision int64) bool {
	status, err := w.operator("genova-1").GetStatus(w.t.Context(), connect.NewRequest(&operatorv1.GetStatusRequest{}))
	if err != nil {
		return false
	}
	count := 0
	for _, member := range status.Msg.GetMembers() {
		if member.GetRevision() >= revision {
			count++
		}
	}
	return count >= len(w.daemons)
}

// dial returns a caller's way to a daemon.
func (w *world) dial(id gypsum.HostID) gypsum.Runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	return &client.Entry{Address: "http://" + w.daemons[id].callers, HTTP: w.http}
}

// relay stands between the daemons and one daemon's address. A cut relay keeps
// connections open and passes nothing.
type relay struct {
	address string
	target  string

	mu  sync.Mutex
	cut chan struct{}
}

// newRelay starts a relay to an address.
func newRelay(t testing.TB, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	r := &relay{address: listener.Addr().String(), target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.pass(conn)
		}
	}()
	return r
}

// pass passes one connection on.
func (r *relay) pass(from net.Conn) {
	defer func() { _ = from.Close() }()
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	done := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{from, to}, {to, from}} {
		go func() {
			defer func() { done <- struct{}{} }()
			_, _ = io.Copy(&gate{relay: r, to: way[1]}, way[0])
		}()
	}
	<-done
}

// gate is one direction of a connection.
type gate struct {
	relay *relay
	to    net.Conn
}

// Write waits while the relay is cut.
func (g *gate) Write(data []byte) (int, error) {
	g.relay.mu.Lock()
	cut := g.relay.cut
	g.relay.mu.Unlock()
	if cut != nil {
		<-cut
	}
	return g.to.Write(data)
}

// setCut cuts the relay or mends it.
func (r *relay) setCut(broken bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case broken && r.cut == nil:
		r.cut = make(chan struct{})
	case !broken && r.cut != nil:
		close(r.cut)
		r.cut = nil
	}
}

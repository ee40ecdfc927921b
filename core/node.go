// Package core is one daemon's part in the service, without its transports:
// membership, ownership, placement, queues, keys, plans and orders.
package core

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/config"
	"github.com/gypsumhook/gypsum/epoch"
	"github.com/gypsumhook/gypsum/member"
	"github.com/gypsumhook/gypsum/route"
)

// Node is one daemon. Set the exported fields before Start.
type Node struct {
	Self gypsum.Member
	// Home is the region of the platform's log, whose daemons hold what needs it.
	Home gypsum.Region

	Log    gypsum.Log
	Hosts  gypsum.HostList
	Store  gypsum.WeightStore
	Dialer gypsum.Dialer
	Peers  gypsum.PeerClient

	Placer    gypsum.Placer
	NewLine   func() gypsum.CallQueue
	Admission gypsum.Admission
	Scheduler gypsum.Scheduler
	Tuning    Tuning
	Logger    *slog.Logger

	view    atomic.Pointer[View]
	events  chan func(*control)
	stopped chan struct{}
	health  *epoch.Health
	book    *config.Book
	machine *config.Machine
	editor  *config.Editor
	crashes *crashBook
	owned   *ownedQueues
	shards  *shards
	plans   *plans
	keepers *keepers
	retries route.RetryBudget
	budgets map[gypsum.Class]*route.CrossRegionBudget
	tracked trackers
	gossip  gossipCounts
	trips   roundTrips
	Stats   Stats
	tasks   taskGroup
}

// Tuning holds the times and limits of a daemon.
type Tuning struct {
	GossipInterval time.Duration
	// GossipFanout is how many members of the data centre are asked in an interval.
	GossipFanout     int
	SuspectAfter     time.Duration
	GoneAfter        time.Duration
	ListInterval     time.Duration
	PollInterval     time.Duration
	PollFailures     int
	AcceptTimeout    time.Duration
	HeartbeatTimeout time.Duration
	LogTimeout       time.Duration
	LogPoll          time.Duration
	GroupInterval    time.Duration
	SnapshotInterval time.Duration
	SnapshotEvery    int
	Shards           int
	KeyWindow        time.Duration
	AnswerWindow     time.Duration
	MaxAttempts      int
	LoadsPerSecond   float64
	LinkBudget       map[gypsum.Class]gypsum.Bytes
}

// DefaultTuning returns the times and limits for daemons whose regions are a
// few tens of milliseconds apart.
func DefaultTuning() Tuning {
	return Tuning{
		GossipInterval:   300 * time.Millisecond,
		GossipFanout:     2,
		SuspectAfter:     1500 * time.Millisecond,
		GoneAfter:        10 * time.Second,
		ListInterval:     time.Second,
		PollInterval:     300 * time.Millisecond,
		PollFailures:     2,
		AcceptTimeout:    700 * time.Millisecond,
		HeartbeatTimeout: 1500 * time.Millisecond,
		LogTimeout:       time.Second,
		LogPoll:          250 * time.Millisecond,
		GroupInterval:    50 * time.Millisecond,
		SnapshotInterval: 5 * time.Minute,
		SnapshotEvery:    2000,
		Shards:           16,
		KeyWindow:        time.Hour,
		AnswerWindow:     10 * time.Minute,
		MaxAttempts:      6,
		LoadsPerSecond:   0,
	}
}

// Stats counts what a daemon did since its start.
type Stats struct {
	Calls      atomic.Int64
	Answers    atomic.Int64
	Retries    atomic.Int64
	Resumes    atomic.Int64
	Crossings  atomic.Int64
	GossipSent atomic.Int64
	Refusals   reasonCounts
}

// reasonCounts counts refusals by reason and outcome.
type reasonCounts struct {
	mu     sync.Mutex
	counts map[string]int64
}

// add counts a refusal.
func (r *reasonCounts) add(refusal *gypsum.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[string]int64)
	}
	r.counts[string(refusal.Reason)+"/"+string(refusal.Outcome)]++
}

// Snapshot returns the counts.
func (r *reasonCounts) Snapshot() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int64, len(r.counts))
	for reason, count := range r.counts {
		counts[reason] = count
	}
	return counts
}

// Start runs the daemon until ctx ends. The returned clean-up function waits
// for the end of all its goroutines.
func (n *Node) Start(ctx context.Context) (cleanup func()) {
	n.health = &epoch.Health{Log: n.Log, Refusals: 2*n.Tuning.LogTimeout + n.Tuning.LogPoll}
	n.book = &config.Book{}
	n.machine = config.NewMachine(n.book)
	n.events = make(chan func(*control), 1024)
	n.stopped = make(chan struct{})
	n.crashes = newCrashBook(n.Self.ID)
	n.tracked.byID = make(map[gypsum.BackendID]*route.Tracker)
	n.budgets = map[gypsum.Class]*route.CrossRegionBudget{
		gypsum.ClassLive:    {Rate: n.Tuning.LinkBudget[gypsum.ClassLive]},
		gypsum.ClassTrainer: {Rate: n.Tuning.LinkBudget[gypsum.ClassTrainer]},
	}
	n.owned = newOwnedQueues(ctx, n)
	n.shards = newShards(ctx, n)
	n.plans = newPlans(ctx, n)
	n.keepers = newKeepers(ctx, n)
	n.startConfig(ctx)

	state := newControl(n)
	n.view.Store(state.makeView(time.Now()))
	control := make(chan error, 1)
	go func() { control <- state.run(ctx) }()
	return func() {
		<-control
		close(n.stopped)
		<-n.editor.Stream.Done()
		n.tasks.end()
	}
}

// startConfig begins to read the config stream.
func (n *Node) startConfig(ctx context.Context) {
	stream := &epoch.Stream{
		Log: n.health, Name: config.Stream, Machine: n.machine, Logger: n.Logger,
		Timeout: n.Tuning.LogTimeout, PollInterval: n.Tuning.LogPoll,
		SnapshotInterval: n.Tuning.SnapshotInterval, SnapshotEvery: n.Tuning.SnapshotEvery,
		Responsible: func() bool { return n.View().owns("snapshot/config", n.Home) },
		Repair:      n.machine.Adopt,
	}
	n.editor = &config.Editor{Stream: stream, Machine: n.machine}
	stream.Start(ctx)
}

// View returns what the daemon knows now. It must not be changed.
func (n *Node) View() *View { return n.view.Load() }

// Editor returns the way to change the configuration.
func (n *Node) Editor() *config.Editor { return n.editor }

// Appends returns the number of appends made to the platform's log.
func (n *Node) Appends() int64 { return n.health.Appends() }

// LogDown tells whether the platform's log is known to be out.
func (n *Node) LogDown() bool { return n.health.Down() }

// LinkBytes returns the bytes sent to other regions in calls of a class.
func (n *Node) LinkBytes(class gypsum.Class) gypsum.Bytes { return n.budgets[class].Spent() }

// Leave makes the daemon give up its part: peers place nothing new with it.
func (n *Node) Leave() {
	n.post(func(c *control) { c.leave() })
}

// post runs an update on the control goroutine. It is dropped after the end.
func (n *Node) post(update func(*control)) {
	select {
	case n.events <- update:
	case <-n.stopped:
	}
}

// taskGroup is the background tasks of a daemon.
type taskGroup struct {
	mu      sync.Mutex
	ended   bool
	running sync.WaitGroup
}

// start runs a task; it is dropped once the group has ended.
func (g *taskGroup) start(task func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return
	}
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		task()
	}()
}

// end waits for the running tasks and takes no more.
func (g *taskGroup) end() {
	g.mu.Lock()
	g.ended = true
	g.mu.Unlock()
	g.running.Wait()
}

// Ready returns nil if the daemon can serve calls.
func (n *Node) Ready() error {
	view := n.View()
	switch {
	case view.Config == nil:
		return fmt.Errorf("no configuration was learned yet: %w", gypsum.ErrLogUnavailable)
	case view.Self.Leaving:
		return errLeaving
	case !view.Settled:
		return errSettling
	}
	return nil
}

// trackers holds the trackers of all backend servers.
type trackers struct {
	mu   sync.Mutex
	byID map[gypsum.BackendID]*route.Tracker
}

// get returns a backend server's tracker, made on first use.
func (t *trackers) get(id gypsum.BackendID) *route.Tracker {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracker, ok := t.byID[id]
	if !ok {
		tracker = &route.Tracker{}
		t.byID[id] = tracker
	}
	return tracker
}

// keep removes the trackers of backend servers that are no longer listed.
func (t *trackers) keep(listed map[gypsum.BackendID]gypsum.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.byID {
		if _, ok := listed[id]; !ok {
			delete(t.byID, id)
		}
	}
}

// newTable returns the table of members for the node.
func (n *Node) newTable() *member.Table {
	table := member.NewTable(n.Self)
	table.SuspectAfter, table.GoneAfter = n.Tuning.SuspectAfter, n.Tuning.GoneAfter
	return table
}

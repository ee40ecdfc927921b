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

// Core is one daemon. Set the exported fields before Start.
type Core struct {
	Self gypsum.Member
	// HomeRegion is the region of the platform's log, whose daemons hold what needs it.
	HomeRegion gypsum.Region

	Log    gypsum.Log
	Hosts  gypsum.HostList
	Store  gypsum.WeightStore
	Dialer gypsum.Dialer
	Peers  gypsum.PeerClient

	Placer       gypsum.Placer
	NewCallQueue func() gypsum.CallQueue
	Admission    gypsum.Admission
	Scheduler    gypsum.Scheduler
	Tuning       Tuning
	Logger       *slog.Logger

	view               atomic.Pointer[View]
	updates            chan func(*controlLoop)
	stopped            chan struct{}
	logHealth          *epoch.CircuitBreaker
	config             *config.Book
	configMachine      *config.Machine
	configEditor       *config.Editor
	crashes            *crashTracker
	queues             *ownedQueues
	shards             *keyShards
	plans              *ownedPlans
	weightUpdaters     *weightUpdaters
	retryBudget        route.Retries
	crossRegionBudgets map[gypsum.Class]*route.Budget
	trackers           trackerSet
	gossipBytes        byteCounts
	roundTrips         roundTripTimes
	Stats              Stats
	tasks              taskGroup
}

// Tuning holds the times and limits of a daemon.
type Tuning struct {
	GossipInterval time.Duration
	// GossipFanout is how many members of the data centre are asked in an interval.
	GossipFanout      int
	SuspectAfter      time.Duration
	FailedAfter       time.Duration
	HostListInterval  time.Duration
	LoadPollInterval  time.Duration
	LoadPollFailures  int
	AcceptTimeout     time.Duration
	HeartbeatTimeout  time.Duration
	LogTimeout        time.Duration
	LogPollInterval   time.Duration
	AppendInterval    time.Duration
	SnapshotInterval  time.Duration
	SnapshotRecords   int
	KeyShards         int
	KeyWindow         time.Duration
	ResponseWindow    time.Duration
	MaxAttempts       int
	LoadsPerSecond    float64
	CrossRegionBudget map[gypsum.Class]gypsum.Bytes
}

// DefaultTuning returns the times and limits for daemons whose regions are a
// few tens of milliseconds apart.
func DefaultTuning() Tuning {
	return Tuning{
		GossipInterval:   300 * time.Millisecond,
		GossipFanout:     2,
		SuspectAfter:     1500 * time.Millisecond,
		FailedAfter:      10 * time.Second,
		HostListInterval: time.Second,
		LoadPollInterval: 300 * time.Millisecond,
		LoadPollFailures: 2,
		AcceptTimeout:    700 * time.Millisecond,
		HeartbeatTimeout: 1500 * time.Millisecond,
		LogTimeout:       time.Second,
		LogPollInterval:  250 * time.Millisecond,
		AppendInterval:   50 * time.Millisecond,
		SnapshotInterval: 5 * time.Minute,
		SnapshotRecords:  2000,
		KeyShards:        16,
		KeyWindow:        time.Hour,
		ResponseWindow:   10 * time.Minute,
		MaxAttempts:      6,
		LoadsPerSecond:   0,
	}
}

// Stats counts what a daemon did since its start.
type Stats struct {
	Calls            atomic.Int64
	Responses        atomic.Int64
	Retries          atomic.Int64
	Resumes          atomic.Int64
	CrossRegionCalls atomic.Int64
	GossipSent       atomic.Int64
	Refusals         reasonCounts
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
func (c *Core) Start(ctx context.Context) (cleanup func()) {
	c.logHealth = &epoch.CircuitBreaker{Log: c.Log, Cooldown: 2*c.Tuning.LogTimeout + c.Tuning.LogPollInterval}
	c.config = &config.Book{}
	c.configMachine = config.NewMachine(c.config)
	c.updates = make(chan func(*controlLoop), 1024)
	c.stopped = make(chan struct{})
	c.crashes = newCrashTracker(c.Self.ID)
	c.trackers.byID = make(map[gypsum.BackendID]*route.Tracker)
	c.crossRegionBudgets = map[gypsum.Class]*route.Budget{
		gypsum.ClassLive:    {Rate: c.Tuning.CrossRegionBudget[gypsum.ClassLive]},
		gypsum.ClassTrainer: {Rate: c.Tuning.CrossRegionBudget[gypsum.ClassTrainer]},
	}
	c.queues = newOwnedQueues(ctx, c)
	c.shards = newKeyShards(ctx, c)
	c.plans = newPlans(ctx, c)
	c.weightUpdaters = newWeightUpdaters(ctx, c)
	c.startConfigStream(ctx)

	loop := newControlLoop(c)
	c.view.Store(loop.buildView(time.Now()))
	loopDone := make(chan error, 1)
	go func() { loopDone <- loop.run(ctx) }()
	return func() {
		<-loopDone
		close(c.stopped)
		<-c.configEditor.Stream.Done()
		c.tasks.closeAndWait()
	}
}

// startConfigStream begins to read the config stream.
func (c *Core) startConfigStream(ctx context.Context) {
	stream := &epoch.Stream{
		Log: c.logHealth, Name: config.Stream, StateMachine: c.configMachine, Logger: c.Logger,
		Timeout: c.Tuning.LogTimeout, PollInterval: c.Tuning.LogPollInterval,
		SnapshotInterval: c.Tuning.SnapshotInterval, SnapshotEvery: c.Tuning.SnapshotRecords,
		IsSnapshotWriter: func() bool { return c.View().ownsInRegion("snapshot/config", c.HomeRegion) },
		Repair:           c.configMachine.Adopt,
	}
	c.configEditor = &config.Editor{Stream: stream, Machine: c.configMachine}
	stream.Start(ctx)
}

// View returns what the daemon knows now. It must not be changed.
func (c *Core) View() *View { return c.view.Load() }

// ConfigEditor returns the way to change the configuration.
func (c *Core) ConfigEditor() *config.Editor { return c.configEditor }

// LogAppends returns the number of appends made to the platform's log.
func (c *Core) LogAppends() int64 { return c.logHealth.Appends() }

// LogUnreachable tells whether the platform's log is known to be out.
func (c *Core) LogUnreachable() bool { return c.logHealth.Down() }

// CrossRegionBytes returns the bytes sent to other regions in calls of a class.
func (c *Core) CrossRegionBytes(class gypsum.Class) gypsum.Bytes {
	return c.crossRegionBudgets[class].Spent()
}

// Leave makes the daemon give up its part: peers place nothing new with it.
func (c *Core) Leave() {
	c.post(func(l *controlLoop) { l.markLeaving() })
}

// post runs an update on the control goroutine. It is dropped after the end.
func (c *Core) post(update func(*controlLoop)) {
	select {
	case c.updates <- update:
	case <-c.stopped:
	}
}

// taskGroup is the background tasks of a daemon.
type taskGroup struct {
	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// start runs a task; it is dropped once the group has ended.
func (g *taskGroup) start(task func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		task()
	}()
}

// closeAndWait waits for the running tasks and takes no more.
func (g *taskGroup) closeAndWait() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.running.Wait()
}

// Ready returns nil if the daemon can serve calls.
func (c *Core) Ready() error {
	view := c.View()
	switch {
	case view.Config == nil:
		return fmt.Errorf("no configuration was learned yet: %w", gypsum.ErrLogUnavailable)
	case view.Self.Leaving:
		return errLeaving
	case !view.Converged:
		return errNotConverged
	}
	return nil
}

// trackerSet holds the trackers of all backend servers.
type trackerSet struct {
	mu   sync.Mutex
	byID map[gypsum.BackendID]*route.Tracker
}

// get returns a backend server's tracker, made on first use.
func (t *trackerSet) get(id gypsum.BackendID) *route.Tracker {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracker, ok := t.byID[id]
	if !ok {
		tracker = &route.Tracker{}
		t.byID[id] = tracker
	}
	return tracker
}

// removeUnlisted removes the trackers of backend servers that are no longer listed.
func (t *trackerSet) removeUnlisted(listed map[gypsum.BackendID]gypsum.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.byID {
		if _, ok := listed[id]; !ok {
			delete(t.byID, id)
		}
	}
}

// newMemberTable returns the table of members for the node.
func (c *Core) newMemberTable() *member.Table {
	table := member.NewTable(c.Self)
	table.SuspectAfter, table.FailedAfter = c.Tuning.SuspectAfter, c.Tuning.FailedAfter
	return table
}

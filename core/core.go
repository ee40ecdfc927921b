// Package core implements a daemon without its transports: membership, ownership,
// placement, queues, idempotency keys, rollout plans and load orders.
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

// Core is one daemon without its transports. It implements gypsum.CallRunner and
// gypsum.PeerServer. Set the exported fields before Start.
type Core struct {
	Self gypsum.Member
	// HomeRegion is the region of the platform's log. Its daemons own everything that
	// needs the log.
	HomeRegion gypsum.Region

	Log         gypsum.Log
	HostList    gypsum.HostList
	WeightStore gypsum.WeightStore
	Dialer      gypsum.Dialer
	Peers       gypsum.PeerClient

	Placer gypsum.Placer
	// NewCallQueue returns an empty queue for the calls to one backend server.
	NewCallQueue func() gypsum.CallQueue
	Admission    gypsum.Admission
	Scheduler    gypsum.Scheduler
	Tuning       Tuning
	// KeyMemory bounds the memory of idempotency keys and of the responses that are kept for retries, 0 for
	// no bound. A call with a further key is refused.
	KeyMemory gypsum.Bytes
	Logger    *slog.Logger

	view               atomic.Pointer[View]
	updates            chan func(*controlLoop)
	stopped            chan struct{}
	logBreaker         *epoch.CircuitBreaker
	configRegistry     *config.Registry
	configStateMachine *config.StateMachine
	configEditor       *config.Editor
	crashTracker       *crashTracker
	queues             *ownedQueues
	shards             *keyShards
	plans              *ownedPlans
	weightUpdaters     *weightUpdaters
	retryBudget        route.RetryBudget
	crossRegionBudgets map[gypsum.Class]*route.CrossRegionBudget
	trackers           trackerSet
	gossipBytes        byteCounts
	roundTrips         roundTripTimes
	Stats              Stats
	tasks              taskGroup
}

// Tuning holds the intervals, timeouts and limits of a daemon.
type Tuning struct {
	// GossipInterval is the time between two heartbeats of a daemon, and the base
	// interval of gossip exchanges.
	GossipInterval time.Duration
	// GossipFanout is the number of local members to exchange gossip with per interval
	// while there are status changes to spread.
	GossipFanout int
	// SuspectAfter is the time without a heartbeat after which a member gets no new
	// calls; FailedAfter is the time after which it is removed.
	SuspectAfter time.Duration
	FailedAfter  time.Duration
	// HostListInterval is the time between two reads of the platform's host list.
	HostListInterval time.Duration
	// LoadPollInterval is the time between two load reports of a backend server. After
	// LoadPollFailures failures in a row it is considered down.
	LoadPollInterval time.Duration
	LoadPollFailures int
	// AcceptTimeout is how long a peer may take to accept a call. KeepAliveTimeout is the
	// time without an event of the call after which the peer is considered failed.
	AcceptTimeout    time.Duration
	KeepAliveTimeout time.Duration
	// LogTimeout limits one append to or read from the platform's log, and one read of
	// the host list. LogPollInterval is the time between two reads of the config stream.
	LogTimeout      time.Duration
	LogPollInterval time.Duration
	// AppendInterval is the minimum time between two appends to the stream of a key
	// shard.
	AppendInterval time.Duration
	// SnapshotInterval is the maximum age of a stream's newest snapshot,
	// SnapshotRecords the number of records after which a new one is due.
	SnapshotInterval time.Duration
	SnapshotRecords  int
	// KeyShards is the number of shards of idempotency keys. It must be the same on
	// all daemons and must never change.
	KeyShards int
	// KeyWindow is how long idempotency keys are kept, ResponseWindow how long the
	// responses to them are kept.
	KeyWindow      time.Duration
	ResponseWindow time.Duration
	// MaxAttempts limits the attempts to run a call.
	MaxAttempts int
	// LoadsPerSecond is the rate limit of the weight store, 0 for none.
	LoadsPerSecond float64
	// CrossRegionBudget is the number of bytes that calls of a class may send to other
	// regions per second, 0 for no limit.
	CrossRegionBudget map[gypsum.Class]gypsum.Bytes
}

// DefaultTuning returns the tuning for regions that are a few tens of milliseconds
// apart.
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
		KeepAliveTimeout: 1500 * time.Millisecond,
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

// Stats holds counters since the daemon's start.
type Stats struct {
	Calls            atomic.Int64
	Responses        atomic.Int64
	Retries          atomic.Int64
	Resumes          atomic.Int64
	CrossRegionCalls atomic.Int64
	Refusals         reasonCounts
}

// reasonCounts counts refusals by reason and outcome.
type reasonCounts struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (r *reasonCounts) recordRefusal(refusal *gypsum.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[string]int64)
	}
	r.counts[string(refusal.Reason)+"/"+string(refusal.Outcome)]++
}

// Snapshot returns a copy of the counts, by "reason/outcome".
func (r *reasonCounts) Snapshot() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int64, len(r.counts))
	for reason, count := range r.counts {
		counts[reason] = count
	}
	return counts
}

// Start runs the daemon until ctx is done. The returned function waits until all its
// goroutines have ended.
func (c *Core) Start(ctx context.Context) (wait func()) {
	c.logBreaker = &epoch.CircuitBreaker{Log: c.Log, Cooldown: 2*c.Tuning.LogTimeout + c.Tuning.LogPollInterval}
	c.configRegistry = &config.Registry{}
	c.configStateMachine = config.NewStateMachine(c.configRegistry)
	c.updates = make(chan func(*controlLoop), 1024)
	c.stopped = make(chan struct{})
	c.crashTracker = newCrashTracker(c.Self.ID)
	c.trackers.byID = make(map[gypsum.BackendID]*route.Tracker)
	c.crossRegionBudgets = map[gypsum.Class]*route.CrossRegionBudget{
		gypsum.ClassLive:    {Rate: c.Tuning.CrossRegionBudget[gypsum.ClassLive]},
		gypsum.ClassTrainer: {Rate: c.Tuning.CrossRegionBudget[gypsum.ClassTrainer]},
	}
	c.queues = newOwnedQueues(ctx, c)
	c.shards = newKeyShards(ctx, c)
	c.plans = newOwnedPlans(ctx, c)
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

func (c *Core) startConfigStream(ctx context.Context) {
	stream := &epoch.Stream{
		Log: c.logBreaker, Name: config.StreamName, StateMachine: c.configStateMachine, Logger: c.Logger,
		Timeout: c.Tuning.LogTimeout, PollInterval: c.Tuning.LogPollInterval,
		SnapshotInterval: c.Tuning.SnapshotInterval, SnapshotEvery: c.Tuning.SnapshotRecords,
		IsSnapshotWriter: func() bool { return c.View().ownsInRegion("snapshot/config", c.HomeRegion) },
		OnHistoryLost:    c.configStateMachine.RestoreFromRegistry,
	}
	c.configEditor = &config.Editor{Stream: stream, StateMachine: c.configStateMachine}
	stream.Start(ctx)
}

// View returns the current view. It must not be modified.
func (c *Core) View() *View { return c.view.Load() }

// ConfigEditor returns the editor that applies changes to the configuration.
func (c *Core) ConfigEditor() *config.Editor { return c.configEditor }

// LogAppendCount returns the number of appends made to the platform's log.
func (c *Core) LogAppendCount() int64 { return c.logBreaker.AppendCount() }

// LogUnavailable reports whether the platform's log is known not to respond.
func (c *Core) LogUnavailable() bool { return c.logBreaker.Unavailable() }

// CrossRegionBytes returns the number of bytes sent to other regions in calls of a
// class.
func (c *Core) CrossRegionBytes(class gypsum.Class) gypsum.Bytes {
	return c.crossRegionBudgets[class].Spent()
}

// Leave marks the daemon as leaving, so that peers send it no new calls.
func (c *Core) Leave() {
	c.postUpdate(func(l *controlLoop) { l.markLeaving() })
}

// postUpdate runs update on the control goroutine. An update that is posted after the daemon
// has stopped is dropped.
func (c *Core) postUpdate(update func(*controlLoop)) {
	select {
	case c.updates <- update:
	case <-c.stopped:
	}
}

// taskGroup runs the background tasks of a daemon.
type taskGroup struct {
	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// start runs a task in a goroutine, or drops it if the group is closed.
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

// closeAndWait closes the group and waits for the running tasks.
func (g *taskGroup) closeAndWait() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.running.Wait()
}

// CheckReady returns nil if the daemon can serve calls, and otherwise an error that says
// why not.
func (c *Core) CheckReady() error {
	view := c.View()
	switch {
	case view.Config == nil:
		return fmt.Errorf("no configuration received yet: %w", gypsum.ErrLogUnavailable)
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

// tracker returns the tracker of a backend server and creates it on first use.
func (t *trackerSet) tracker(id gypsum.BackendID) *route.Tracker {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracker, ok := t.byID[id]
	if !ok {
		tracker = &route.Tracker{}
		t.byID[id] = tracker
	}
	return tracker
}

// removeUnlisted removes the trackers of backend servers that are no longer in the
// host list.
func (t *trackerSet) removeUnlisted(listed map[gypsum.BackendID]gypsum.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.byID {
		if _, ok := listed[id]; !ok {
			delete(t.byID, id)
		}
	}
}

func (c *Core) newMemberTable() *member.Table {
	table := member.NewTable(c.Self)
	table.SuspectAfter, table.FailedAfter = c.Tuning.SuspectAfter, c.Tuning.FailedAfter
	return table
}

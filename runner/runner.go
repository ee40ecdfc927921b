// Package runner runs the items of durable batches on engines, and gives engines
// their orders. One host at a time holds a service and does both for it.
package runner

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/state"
)

// Times of a holder.
const (
	// tickInterval is how often decisions are looked at without a change.
	tickInterval = 50 * time.Millisecond
	// beatInterval is the time between two heartbeats of a holder.
	beatInterval = 400 * time.Millisecond
	// silenceLimit is three heartbeats missed.
	silenceLimit = 3 * beatInterval
	// claimTimeout bounds a claim: an append and a read between regions.
	claimTimeout = 3 * time.Second
	// claimSpread is the time over which hosts that saw the same silence claim, so
	// that most see another's claim before they write their own.
	claimSpread = 300 * time.Millisecond
	// ordersLimit is how old a holder's own heartbeat may be before it stops to
	// give orders: another host may have taken over.
	ordersLimit = silenceLimit - beatInterval
	// cleanInterval is how often a holder removes from the store what is no longer needed.
	cleanInterval = 10 * time.Second
	// idleHold is how long a holder without open batches stays one: some steps.
	idleHold = 30 * time.Second
	// weakDelay lets strong hosts claim first, strongShare is the part of a core from
	// which a host is one: a holder of 45 engines took 0.12 of a core in the mean, and
	// several times that while a step begins.
	weakDelay   = 500 * time.Millisecond
	strongShare = 0.5
	// firstYield is how long a weak host holds a service before it offers it to strong
	// ones; the time doubles while none takes it.
	firstYield = 5 * time.Second
	// checkpointTimeout bounds what a stopping holder stores.
	checkpointTimeout = 2 * time.Second
)

// Runner is a daemon's part in running batches. Set the exported fields before Run.
type Runner struct {
	Host    gypsum.HostID
	Boot    gypsum.Incarnation
	Batches *batch.Manager
	Engines gypsum.EngineTransport
	State   *state.Keeper
	// StoreAway tells whether the store does not answer.
	StoreAway func() bool
	// Share is the part of a core that the host has.
	Share float64
	Lease time.Duration
	// Status is how long the results of a batch stay readable after its submission.
	Status time.Duration
	Logger *slog.Logger
	Stats  Stats

	events   chan func()
	held     map[gypsum.ServiceName]*hold
	claims   map[gypsum.ServiceName]*claiming
	beating  bool
	beat     int64
	beaten   time.Time
	yields   map[gypsum.ServiceName]time.Duration
	cleaning bool
	cleaned  time.Time
	stopping bool
	stop     chan chan struct{}
	done     chan struct{}
}

// Stats counts what a runner did.
type Stats struct {
	Started   atomic.Int64
	Resumed   atomic.Int64
	Moved     atomic.Int64
	Finished  atomic.Int64
	Errored   atomic.Int64
	Broken    atomic.Int64
	Rejected  atomic.Int64
	Orders    atomic.Int64
	Claims    atomic.Int64
	Takeovers atomic.Int64
	// Rounds counts rounds of decisions, DecideTime is the time that they took, in ns.
	Rounds     atomic.Int64
	DecideTime atomic.Int64
}

// eventsQueued is the room for news of runs: all items of some steps.
const eventsQueued = 4096

// New returns a runner; its exported fields are set before Run.
func New() *Runner {
	return &Runner{
		events: make(chan func(), eventsQueued), held: make(map[gypsum.ServiceName]*hold),
		claims: make(map[gypsum.ServiceName]*claiming), yields: make(map[gypsum.ServiceName]time.Duration),
		stop: make(chan chan struct{}), done: make(chan struct{}),
	}
}

// Bounds of the rest after decisions.
const (
	// restTimes is how many times as long as decisions take the runner rests after
	// them: they take a quarter of its processor at the most, however large a service is.
	restTimes = 3
	// longestRest keeps starts prompt on a host that was held up: a few events of an item.
	longestRest = 100 * time.Millisecond
)

// Run makes decisions until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	defer close(r.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var rested time.Time
	var awake <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case stopped := <-r.stop:
			r.release(ctx)
			close(stopped)
			continue
		case event := <-r.events:
			event()
		case <-r.Batches.State.Changed():
		case <-awake:
			awake = nil
		case <-ticker.C:
		}
		for pending := true; pending; {
			select {
			case event := <-r.events:
				event()
			default:
				pending = false
			}
		}
		if r.stopping {
			continue
		}
		begun := time.Now()
		if rest := rested.Sub(begun); rest > 0 {
			if awake == nil {
				awake = time.After(rest)
			}
			continue
		}
		r.decide(ctx, begun)
		now := time.Now()
		r.Stats.Rounds.Add(1)
		r.Stats.DecideTime.Add(int64(now.Sub(begun)))
		rested = now.Add(min(longestRest, restTimes*now.Sub(begun)))
	}
}

// post runs an update on the runner's goroutine.
func (r *Runner) post(ctx context.Context, update func()) {
	select {
	case r.events <- update:
	case <-ctx.Done():
	}
}

// Stop gives up all services: runs end, what they gave is stored, and others may
// go on from there. It returns when that is done or ctx ends.
func (r *Runner) Stop(ctx context.Context) {
	stopped := make(chan struct{})
	select {
	case r.stop <- stopped:
	case <-ctx.Done():
		return
	case <-r.done:
		return
	}
	select {
	case <-stopped:
	case <-ctx.Done():
	}
}

// release gives up all services.
func (r *Runner) release(ctx context.Context) {
	r.stopping = true
	for service, held := range r.held {
		r.handOver(ctx, service, held)
	}
}

// handOver stores what the runs of a service have given, and releases it.
func (r *Runner) handOver(ctx context.Context, service gypsum.ServiceName, held *hold) {
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	held.checkpointAll(ctx)
	if err := r.Batches.Claim(ctx, service, held.term+1, true); err != nil {
		r.Logger.Warn("service not released", "service", service, "error", err)
	}
	held.end()
	delete(r.held, service)
}

// jobsOf returns the open batches, by the service that their route now names.
// Batches of a removed route belong to the service that they were accepted for.
func (r *Runner) jobsOf(snapshot *state.Snapshot) map[gypsum.ServiceName][]batch.Header {
	jobs := make(map[gypsum.ServiceName][]batch.Header)
	for _, header := range r.Batches.State.OpenBatches() {
		service := header.Service
		if route := routeOf(snapshot.Config, header.Route); route != nil && len(route.Services) > 0 {
			service = route.Services[0].Service
		}
		jobs[service] = append(jobs[service], header)
	}
	return jobs
}

// routeOf returns the route with a name, nil if there is none.
func routeOf(config *gypsum.RoutingConfig, name string) *gypsum.Route {
	for i := range config.Routes {
		if config.Routes[i].Name == name {
			return &config.Routes[i]
		}
	}
	return nil
}

// decide looks at all that may have to be done.
func (r *Runner) decide(ctx context.Context, now time.Time) {
	snapshot := r.State.Now()
	if snapshot.Config == nil || !r.Batches.Follower.Loaded() {
		return
	}
	jobs := r.jobsOf(snapshot)
	r.followClaims(ctx, jobs, now)
	for service, held := range r.held {
		if len(jobs[service]) > 0 {
			held.active = now
		}
		held.decide(snapshot, jobs[service], now)
	}
	r.yield(ctx, now)
	r.keepBeating(ctx, now)
	r.keepClean(ctx, now)
}

// keepClean removes from the store what is no longer needed while the host holds a service.
func (r *Runner) keepClean(ctx context.Context, now time.Time) {
	if len(r.held) == 0 || r.cleaning || now.Sub(r.cleaned) < cleanInterval {
		return
	}
	r.cleaning, r.cleaned = true, now
	go func() {
		cleanCtx, cancel := context.WithTimeout(ctx, cleanInterval)
		defer cancel()
		if err := r.Batches.Clean(cleanCtx, r.Status); err != nil {
			r.Logger.Warn("store not cleaned", "error", err)
		}
		r.post(ctx, func() { r.cleaning = false })
	}()
}

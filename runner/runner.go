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
	// heartbeatInterval is the time between two heartbeats of a holder.
	heartbeatInterval = 400 * time.Millisecond
	// holderTimeout is three heartbeats missed.
	holderTimeout = 3 * heartbeatInterval
	// claimTimeout bounds a claim: an append and a read between regions.
	claimTimeout = 3 * time.Second
	// claimJitter is the time over which hosts that saw the same silence claim, so
	// that most see another's claim before they write their own.
	claimJitter = 300 * time.Millisecond
	// maxHeartbeatAge is how old a holder's own heartbeat may be before it stops to
	// give orders: another host may have taken over.
	maxHeartbeatAge = holderTimeout - heartbeatInterval
	// cleanupInterval is how often a holder removes from the store what is no longer needed.
	cleanupInterval = 10 * time.Second
	// idleHolderTimeout is how long a holder without open batches stays one: some steps.
	idleHolderTimeout = 30 * time.Second
	// weakHostClaimDelay lets strong hosts claim first, strongShare is the part of a core from
	// which a host is one: a holder of 45 engines took 0.12 of a core in the mean, and
	// several times that while a step begins.
	weakHostClaimDelay = 500 * time.Millisecond
	strongHostShare    = 0.5
	// firstOfferDelay is how long a weak host holds a service before it offers it to strong
	// ones; the time doubles while none takes it.
	firstOfferDelay = 5 * time.Second
	// checkpointTimeout bounds what a stopping holder stores.
	checkpointTimeout = 2 * time.Second
)

// Runner is a daemon's part in running batches. Set the exported fields before Run.
type Runner struct {
	Host    gypsum.HostID
	Boot    gypsum.Incarnation
	Batches *batch.Manager
	Engines gypsum.EngineTransport
	State   *state.Registry
	// StoreUnavailable tells whether the store does not answer.
	StoreUnavailable func() bool
	// CPUShare is the part of a core that the host has.
	CPUShare float64
	Lease    time.Duration
	// ResultRetention is how long the results of a batch stay readable after its submission.
	ResultRetention time.Duration
	Logger          *slog.Logger
	Stats           Stats

	updates           chan func()
	held              map[gypsum.ServiceName]*heldService
	claims            map[gypsum.ServiceName]*pendingClaim
	heartbeatInFlight bool
	heartbeatNumber   int64
	lastHeartbeat     time.Time
	offerDelays       map[gypsum.ServiceName]time.Duration
	cleanupRunning    bool
	lastCleanup       time.Time
	stopping          bool
	stopRequests      chan chan struct{}
	done              chan struct{}
}

// Stats counts what a runner did.
type Stats struct {
	ItemsStarted     atomic.Int64
	ItemsResumed     atomic.Int64
	ItemsMoved       atomic.Int64
	ItemsCompleted   atomic.Int64
	ItemsErrored     atomic.Int64
	AttemptsBroken   atomic.Int64
	AttemptsRejected atomic.Int64
	Orders           atomic.Int64
	Claims           atomic.Int64
	Takeovers        atomic.Int64
	// Rounds counts rounds of decisions, DecideTime is the time that they took, in ns.
	Rounds    atomic.Int64
	RoundTime atomic.Int64
}

// updateQueueSize is the room for news of runs: all items of some steps.
const updateQueueSize = 4096

// New returns a runner; its exported fields are set before Run.
func New() *Runner {
	return &Runner{
		updates: make(chan func(), updateQueueSize), held: make(map[gypsum.ServiceName]*heldService),
		claims: make(map[gypsum.ServiceName]*pendingClaim), offerDelays: make(map[gypsum.ServiceName]time.Duration),
		stopRequests: make(chan chan struct{}), done: make(chan struct{}),
	}
}

// Bounds of the rest after decisions.
const (
	// pauseFactor is how many times as long as decisions take the runner rests after
	// them: they take a quarter of its processor at the most, however large a service is.
	pauseFactor = 3
	// maxPause keeps starts prompt on a host that was held up: a few events of an item.
	maxPause = 100 * time.Millisecond
)

// Run makes decisions until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	defer close(r.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var pauseEnd time.Time
	var resume <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case stopped := <-r.stopRequests:
			r.releaseAll(ctx)
			close(stopped)
			continue
		case update := <-r.updates:
			update()
		case <-r.Batches.State.Changed():
		case <-resume:
			resume = nil
		case <-ticker.C:
		}
		for pending := true; pending; {
			select {
			case update := <-r.updates:
				update()
			default:
				pending = false
			}
		}
		if r.stopping {
			continue
		}
		start := time.Now()
		if pause := pauseEnd.Sub(start); pause > 0 {
			if resume == nil {
				resume = time.After(pause)
			}
			continue
		}
		r.runRound(ctx, start)
		now := time.Now()
		r.Stats.Rounds.Add(1)
		r.Stats.RoundTime.Add(int64(now.Sub(start)))
		pauseEnd = now.Add(min(maxPause, pauseFactor*now.Sub(start)))
	}
}

// post runs an update on the runner's goroutine.
func (r *Runner) post(ctx context.Context, update func()) {
	select {
	case r.updates <- update:
	case <-ctx.Done():
	}
}

// Stop gives up all services: runs end, what they gave is stored, and others may
// go on from there. It returns when that is done or ctx ends.
func (r *Runner) Stop(ctx context.Context) {
	stopped := make(chan struct{})
	select {
	case r.stopRequests <- stopped:
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

// releaseAll gives up all services.
func (r *Runner) releaseAll(ctx context.Context) {
	r.stopping = true
	for service, held := range r.held {
		r.releaseService(ctx, service, held)
	}
}

// releaseService stores what the runs of a service have given, and releases it.
func (r *Runner) releaseService(ctx context.Context, service gypsum.ServiceName, held *heldService) {
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	held.checkpointAttempts(ctx)
	if err := r.Batches.Claim(ctx, service, held.term+1, true); err != nil {
		r.Logger.Warn("service not released", "service", service, "error", err)
	}
	held.close()
	delete(r.held, service)
}

// openBatches returns the open batches, by the service that their route now names.
// Batches of a removed route belong to the service that they were accepted for.
func (r *Runner) openBatches(snapshot *state.Snapshot) map[gypsum.ServiceName][]batch.Header {
	batches := make(map[gypsum.ServiceName][]batch.Header)
	for _, header := range r.Batches.State.OpenBatches() {
		service := header.Service
		if route := findRoute(snapshot.Config, header.Route); route != nil && len(route.Services) > 0 {
			service = route.Services[0].Service
		}
		batches[service] = append(batches[service], header)
	}
	return batches
}

// findRoute returns the route with a name, nil if there is none.
func findRoute(config *gypsum.RoutingConfig, name string) *gypsum.Route {
	for i := range config.Routes {
		if config.Routes[i].Name == name {
			return &config.Routes[i]
		}
	}
	return nil
}

// runRound looks at all that may have to be done.
func (r *Runner) runRound(ctx context.Context, now time.Time) {
	snapshot := r.State.Current()
	if snapshot.Config == nil || !r.Batches.Follower.Loaded() {
		return
	}
	batches := r.openBatches(snapshot)
	r.syncHeldServices(ctx, batches, now)
	for service, held := range r.held {
		if len(batches[service]) > 0 {
			held.lastActive = now
		}
		held.runRound(snapshot, batches[service], now)
	}
	r.offerServices(ctx, now)
	r.sendHeartbeat(ctx, now)
	r.cleanStore(ctx, now)
}

// cleanStore removes from the store what is no longer needed while the host holds a service.
func (r *Runner) cleanStore(ctx context.Context, now time.Time) {
	if len(r.held) == 0 || r.cleanupRunning || now.Sub(r.lastCleanup) < cleanupInterval {
		return
	}
	r.cleanupRunning, r.lastCleanup = true, now
	go func() {
		cleanCtx, cancel := context.WithTimeout(ctx, cleanupInterval)
		defer cancel()
		if err := r.Batches.Clean(cleanCtx, r.ResultRetention); err != nil {
			r.Logger.Warn("store not cleaned", "error", err)
		}
		r.post(ctx, func() { r.cleanupRunning = false })
	}()
}

// Package runner runs the items of durable batches on engines and orders engines to load
// weights. One daemon at a time holds a service and does both for it. Holders are
// determined by claim records in the store; other daemons take over when the heartbeats
// of a holder stop.
package runner

import (
	"cmp"
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/limit"
	"github.com/gypsumhook/gypsum/reach"
	"github.com/gypsumhook/gypsum/relay"
	"github.com/gypsumhook/gypsum/state"
)

// Timing of holders.
const (
	// tickInterval is the time between two rounds without a change.
	tickInterval      = 50 * time.Millisecond
	heartbeatInterval = 400 * time.Millisecond
	// holderTimeout is the silence after which a holder is replaced: three missed
	// heartbeats.
	holderTimeout = 3 * heartbeatInterval
	// claimTimeout bounds a claim, which takes an append and a read between regions.
	claimTimeout = 3 * time.Second
	// claimJitter spreads the claims of daemons that detect a silent holder at the same
	// time, so that most of them see another daemon's claim before they write their own.
	claimJitter = 300 * time.Millisecond
	// maxHeartbeatAge is the age of a holder's own last heartbeat from which it sends no
	// load orders, since another daemon may be about to take over.
	maxHeartbeatAge = holderTimeout - heartbeatInterval
	// cleanupInterval is the time between two cleanups of the store by a holder.
	cleanupInterval = 10 * time.Second
	// idleHolderTimeout is how long a holder without open batches keeps sending
	// heartbeats. After that, other daemons regard it as silent once holderTimeout has
	// passed, and may claim its services when new batches arrive. It spans several steps,
	// so that a service keeps its holder from one step to the next.
	idleHolderTimeout = 30 * time.Second
	// strongHostShare is the share of a CPU core from which a host counts as strong: a
	// holder of 45 engines used 0.12 of a core on average, and several times that at
	// the start of a step.
	strongHostShare = 0.5
	// weakHostClaimDelay is the extra delay of daemons on weak hosts, so that those on
	// strong hosts claim first.
	weakHostClaimDelay = 500 * time.Millisecond
	// firstReleaseDelay is how long a daemon on a weak host holds a service before it
	// releases it for one on a strong host. The delay doubles while no such daemon claims
	// the service.
	firstReleaseDelay = 5 * time.Second
	// checkpointTimeout bounds the checkpoints written on release of a service.
	checkpointTimeout = 2 * time.Second
)

// Runner claims services and runs their batches on behalf of one daemon. The exported
// fields must be set before Run is called.
type Runner struct {
	Host        gypsum.HostID
	Incarnation gypsum.Incarnation
	Batches     *batch.Manager
	Engines     gypsum.EngineTransport
	Registry    *state.Registry
	// Relay sends the reward calls.
	Relay *relay.Relay
	// Limiter keeps the requests to each engine within the rate that it accepts. The holder
	// of a service is the keeper of its engines.
	Limiter *limit.Limiter
	// Reach knows whether this host reaches the engines.
	Reach *reach.Tracker
	// StoreUnavailable reports whether the store does not respond.
	StoreUnavailable func() bool
	// Clock dates batches. It is the clock by which Registry confirms the configuration.
	Clock gypsum.SteadyClock
	// CPUShare is the host's share of a CPU core.
	CPUShare float64
	// Lease is how long the holder waits after a takeover before it sends load orders.
	Lease time.Duration
	// ResultRetention is how long a batch's results stay readable after its submission.
	ResultRetention time.Duration
	// TextMemory limits the total size of long texts.
	TextMemory gypsum.Bytes
	Logger     *slog.Logger
	Stats      Stats

	// updates are called on the goroutine of Run, which alone uses the maps, counters and
	// flags below.
	updates           chan func()
	heldServices      map[gypsum.ServiceName]*heldService
	pendingClaims     map[gypsum.ServiceName]*pendingClaim
	heartbeatInFlight bool
	heartbeatNumber   int64
	lastHeartbeat     time.Time
	releaseDelays     map[gypsum.ServiceName]time.Duration
	cleanupRunning    bool
	lastCleanup       time.Time
	stopping          bool
	texts             textMemory
	stopRequests      chan chan struct{}
	done              chan struct{}
}

// Stats counts the items, attempts, load orders, claims and rounds of a Runner since its
// start.
type Stats struct {
	ItemsStarted atomic.Int64
	ItemsResumed atomic.Int64
	ItemsMoved   atomic.Int64
	// SlowPeriods counts the slow periods of engines that have ended, SlowTime is their total
	// duration in nanoseconds.
	SlowPeriods atomic.Int64
	SlowTime    atomic.Int64
	// TextsDiscarded counts the texts that no engine of their software version continued.
	TextsDiscarded   atomic.Int64
	ItemsCompleted   atomic.Int64
	ItemsErrored     atomic.Int64
	AttemptsBroken   atomic.Int64
	AttemptsRejected atomic.Int64
	LoadOrders       atomic.Int64
	Claims           atomic.Int64
	Takeovers        atomic.Int64
	// UnreachableReleases counts the services released because their engines were out of reach.
	UnreachableReleases atomic.Int64
	// RewardCalls counts the reward calls sent, RewardResponses those that gave a score. The
	// others were rejected, answered with a server error, not answered in time, or broken
	// off or answered otherwise.
	RewardCalls        atomic.Int64
	RewardResponses    atomic.Int64
	RewardsRejected    atomic.Int64
	RewardServerErrors atomic.Int64
	RewardTimeouts     atomic.Int64
	RewardsBroken      atomic.Int64
	// RewardWait is the total time from complete texts to their scores in nanoseconds.
	RewardWait atomic.Int64
	// Rounds counts the scheduling rounds.
	Rounds atomic.Int64
	// RoundTime is the total duration of all rounds in nanoseconds.
	RoundTime atomic.Int64
}

// updateQueueSize is the capacity of the update queue: all items of several steps.
const updateQueueSize = 4096

// New returns a Runner. Its exported fields must be set before Run is called.
func New() *Runner {
	return &Runner{
		updates: make(chan func(), updateQueueSize), heldServices: make(map[gypsum.ServiceName]*heldService),
		pendingClaims: make(map[gypsum.ServiceName]*pendingClaim), releaseDelays: make(map[gypsum.ServiceName]time.Duration),
		stopRequests: make(chan chan struct{}), done: make(chan struct{}),
	}
}

// Limits of the pause after each round.
const (
	// roundPauseFactor is the length of the pause relative to the round before it. It limits
	// rounds to a quarter of the CPU time, however large a service is.
	roundPauseFactor = 3
	// maxRoundPause bounds the pause to the time of a few events, so that items still start
	// promptly on a host that was slowed down.
	maxRoundPause = 100 * time.Millisecond
)

// Run runs scheduling rounds until ctx ends and returns the error of ctx.
func (r *Runner) Run(ctx context.Context) error {
	defer close(r.done)
	r.texts.limit = cmp.Or(r.TextMemory, defaultTextMemory)
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
		pauseEnd = now.Add(min(maxRoundPause, roundPauseFactor*now.Sub(start)))
	}
}

// postUpdate queues an update for the goroutine of Run, unless ctx ends first.
func (r *Runner) postUpdate(ctx context.Context, update func()) {
	select {
	case r.updates <- update:
	case <-ctx.Done():
	}
}

// Stop releases all services: attempts are cancelled and checkpointed, so that the
// next holders can resume them. It returns when that is done or ctx ends.
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

// releaseAll releases all services and ends the scheduling rounds.
func (r *Runner) releaseAll(ctx context.Context) {
	r.stopping = true
	for service, held := range r.heldServices {
		r.releaseService(ctx, service, held)
	}
}

// releaseService checkpoints the attempts of a service and releases it.
func (r *Runner) releaseService(ctx context.Context, service gypsum.ServiceName, held *heldService) {
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	held.checkpointAttempts(ctx)
	if err := r.Batches.RecordClaim(ctx, service, held.term+1, true); err != nil {
		r.Logger.Warn("failed to release service", "service", service, "error", err)
	}
	held.cancelAttempts()
	delete(r.heldServices, service)
}

// openBatches returns the open batches by the service that their route currently names.
// Batches of a removed route stay with the service that they were accepted for.
func (r *Runner) openBatches(snapshot *state.Snapshot) map[gypsum.ServiceName][]batch.Header {
	batches := make(map[gypsum.ServiceName][]batch.Header)
	for _, header := range r.Batches.State.OpenBatches() {
		service := header.Service
		if route := snapshot.Config.FindRoute(header.Route); route != nil {
			service = route.ServiceFor(string(header.ID), header.Service)
		}
		batches[service] = append(batches[service], header)
	}
	return batches
}

// runRound runs one round for all services: it updates claims, schedules attempts and
// load orders of held services, and starts due heartbeats and cleanups.
func (r *Runner) runRound(ctx context.Context, now time.Time) {
	snapshot := r.Registry.Current()
	if snapshot.Config == nil || !r.Batches.Follower.Loaded() {
		return
	}
	batches := r.openBatches(snapshot)
	r.syncHeldServices(ctx, batches, now)
	for service, held := range r.heldServices {
		if len(batches[service]) > 0 {
			held.lastActive = now
		}
		held.runRound(snapshot, batches[service], now)
	}
	r.releaseUnreachable(ctx, now)
	r.releaseToStrongHosts(ctx, now)
	r.sendHeartbeat(ctx, now)
	r.cleanStore(ctx, now)
	r.updateTextMemory()
}

// cleanStore removes expired records from the store if a cleanup is due while the daemon
// holds a service.
func (r *Runner) cleanStore(ctx context.Context, now time.Time) {
	if len(r.heldServices) == 0 || r.cleanupRunning || now.Sub(r.lastCleanup) < cleanupInterval {
		return
	}
	r.cleanupRunning, r.lastCleanup = true, now
	go func() {
		cleanCtx, cancel := context.WithTimeout(ctx, cleanupInterval)
		defer cancel()
		if err := r.Batches.RemoveObsolete(cleanCtx, r.ResultRetention); err != nil {
			r.Logger.Warn("failed to remove obsolete records from store", "error", err)
		}
		r.postUpdate(ctx, func() { r.cleanupRunning = false })
	}()
}

// accountsInForce reports whether the configuration has accounts.
func (r *Runner) accountsInForce() bool {
	config := r.Registry.Current().Config
	return config != nil && config.Accounts != nil
}

package duty

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
)

// Timing of a Keeper.
const (
	// tickInterval is the time between two observations.
	tickInterval = 100 * time.Millisecond
	// recordTimeout bounds a claim or a release: an append and a read between regions.
	recordTimeout = 3 * time.Second
	// claimJitter spreads the claims of daemons that find a duty without a holder at the same
	// time, so that most of them see another daemon's claim before they write their own.
	claimJitter = 300 * time.Millisecond
	// strongHostShare is the share of a CPU core from which a host counts as strong, and
	// weakHostDelay the extra delay of claims of other hosts. Package runner has the same rule
	// for engine services.
	strongHostShare = 0.5
	weakHostDelay   = 500 * time.Millisecond
)

// ErrNotHolder is returned for a call that this daemon must not make now.
var ErrNotHolder = errors.New("daemon may not perform the duty now")

// serviceOf returns the name under which a duty is claimed. Service names of the platform
// consist of letters, digits and hyphens.
func serviceOf(duty gypsum.Duty) gypsum.ServiceName { return gypsum.ServiceName("~" + duty) }

// Keeper claims, renews and releases the duties of a daemon. Create it with NewKeeper and set the
// exported fields before Run.
type Keeper struct {
	Host        gypsum.HostID
	Incarnation gypsum.Incarnation
	Batches     *batch.Manager
	// Clock is that of Batches.
	Clock gypsum.SteadyClock
	// Lease and Slack are described at Tenure.
	Lease time.Duration
	Slack time.Duration
	// ChecksFencing means that the platform rejects a lower token after a higher one.
	ChecksFencing bool
	// CPUShare is the host's share of a CPU core.
	CPUShare float64
	// StoreUnavailable reports whether the store does not respond.
	StoreUnavailable func() bool
	Logger           *slog.Logger
	Stats            Stats

	mu      sync.Mutex
	duties  []gypsum.Duty
	tenures map[gypsum.Duty]*Tenure
	// recording are the duties whose claim or release is being written.
	recording map[gypsum.Duty]bool
	holding   map[gypsum.Duty]bool
	leaving   bool
	// released is closed when nothing is held while the daemon is leaving.
	released chan struct{}
	// newest is the heartbeat that was stored last, unread those that are not read back yet.
	unread          []batch.OwnHeartbeat
	newest          batch.OwnHeartbeat
	lastHeartbeat   time.Duration
	heartbeatNumber int64
	heartbeatActive bool
}

// Stats counts the claims, releases, calls and heartbeats of a Keeper since its start.
type Stats struct {
	Claims     atomic.Int64
	Releases   atomic.Int64
	Heartbeats atomic.Int64
	// Calls counts the calls made, CallsFailed those that failed, CallsRejected those that were
	// rejected with a conflict, CallsLimited those above the rate.
	Calls         atomic.Int64
	CallsFailed   atomic.Int64
	CallsRejected atomic.Int64
	CallsLimited  atomic.Int64
}

// NewKeeper returns a Keeper of duties. Its exported fields must be set before Run.
func NewKeeper(duties ...gypsum.Duty) *Keeper {
	k := &Keeper{
		duties: slices.Clone(duties), tenures: make(map[gypsum.Duty]*Tenure), recording: make(map[gypsum.Duty]bool),
		holding: make(map[gypsum.Duty]bool), released: make(chan struct{}),
	}
	for _, duty := range duties {
		k.tenures[duty] = &Tenure{}
	}
	return k
}

// Run claims, renews and releases the duties until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.mu.Lock()
	for _, tenure := range k.tenures {
		tenure.Lease, tenure.Slack, tenure.StartedAt = k.Lease, k.Slack, k.Clock()
		tenure.ChecksFencing = k.ChecksFencing
	}
	k.mu.Unlock()
	var records sync.WaitGroup
	defer records.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if k.Batches.Follower.Loaded() {
			k.tick(ctx, &records)
		}
	}
}

// tick makes one observation of each duty and starts what follows from it.
func (k *Keeper) tick(ctx context.Context, records *sync.WaitGroup) {
	k.mu.Lock()
	defer k.mu.Unlock()
	renewals := k.readBack()
	held := 0
	for _, duty := range k.duties {
		tenure := k.tenures[duty]
		observation, holder := k.observe(duty, renewals)
		action := tenure.Observe(observation)
		k.logChange(duty, holder, tenure.holding)
		if tenure.holding {
			held++
		}
		if k.recording[duty] {
			if action == Claim {
				tenure.ClaimEnded()
			}
			continue
		}
		if action == Wait {
			continue
		}
		k.recording[duty] = true
		records.Go(func() { k.record(ctx, duty, holder, action) })
	}
	if held > 0 {
		k.sendHeartbeat(ctx, records)
	}
	if k.leaving && held == 0 && len(k.recording) == 0 {
		select {
		case <-k.released:
		default:
			close(k.released)
		}
	}
}

// readBack returns the times at which those heartbeats were sent that have been read back since
// the last call.
func (k *Keeper) readBack() []time.Duration {
	if last := k.Batches.LastHeartbeat(); last != nil && *last != k.newest {
		k.newest, k.unread = *last, append(k.unread, *last)
		k.lastHeartbeat = max(k.lastHeartbeat, last.SentAt)
	}
	applied := k.Batches.State.AppliedOffset()
	var renewals []time.Duration
	k.unread = slices.DeleteFunc(k.unread, func(heartbeat batch.OwnHeartbeat) bool {
		if heartbeat.Offset <= applied {
			renewals = append(renewals, heartbeat.SentAt)
			return true
		}
		return false
	})
	return renewals
}

// observe returns what is known of a duty now. The caller holds mu.
func (k *Keeper) observe(duty gypsum.Duty, renewals []time.Duration) (*Observation, *batch.Holder) {
	holder, lastHeartbeat, known := k.Batches.State.Holder(serviceOf(duty))
	now, nowTime := k.Clock(), time.Now()
	// The reading of time.Time does not advance while the host is suspended. Times in the past
	// then seem later than they were, so that this daemon waits too long and never too short.
	steadyTime := func(t time.Time) time.Duration { return now - nowTime.Sub(t) }
	storeHeard, unavailable := k.Batches.Follower.LastResponse()
	observation := &Observation{
		Now: now, Known: known, SameHost: known && holder.Host == k.Host, Released: holder.Released, Token: holder.FencingToken,
		PreviousOther: holder.PreviousHost != "" && holder.PreviousHost != k.Host, EarlierHeard: -1, Renewals: renewals,
		StoreHeard: steadyTime(storeHeard), StoreAvailable: !unavailable && !k.StoreUnavailable(), Leaving: k.leaving,
	}
	observation.Own = observation.SameHost && holder.Incarnation == k.Incarnation && !holder.Released
	if known {
		observation.Heard = steadyTime(lastHeartbeat)
	}
	if recovered := k.Batches.Follower.RecoveredAt(); known && recovered.After(lastHeartbeat) {
		observation.Heard = steadyTime(recovered)
	}
	if !holder.EarlierHeartbeat.IsZero() {
		observation.EarlierHeard = steadyTime(holder.EarlierHeartbeat)
	}
	if observation.Own {
		// Only a holder on a weak host asks for stronger ones.
		observation.StrongerKnown = k.CPUShare < strongHostShare && slices.ContainsFunc(k.Batches.State.DaemonRecords(), func(other batch.DaemonRecord) bool {
			return other.Host != k.Host && other.CPUShare >= strongHostShare
		})
	}
	observation.ClaimDelay = k.claimDelay(&holder, observation.SameHost, now)
	return observation, &holder
}

// claimDelay returns how long this daemon lets others claim a duty first. The order of daemons
// depends on the previous holder only, so that one daemon claims all duties that it held and stores
// one series of heartbeats for them.
func (k *Keeper) claimDelay(holder *batch.Holder, sameHost bool, now time.Duration) time.Duration {
	if sameHost && !holder.Released {
		return 0 // the duty of this host before a restart
	}
	delay := time.Duration(0)
	if k.CPUShare < strongHostShare {
		delay = weakHostDelay
	}
	if last := k.Batches.LastHeartbeat(); last != nil && now-last.SentAt < k.Lease {
		return delay // its heartbeats renew the duty too
	}
	rank := gypsum.RendezvousScore("duty/"+string(holder.Host), string(k.Host))
	return delay + tickInterval + time.Duration(rank%uint64(claimJitter))
}

// logChange logs that the duty was acquired or lost. The caller holds mu.
func (k *Keeper) logChange(duty gypsum.Duty, holder *batch.Holder, holding bool) {
	if k.holding[duty] == holding {
		return
	}
	k.holding[duty] = holding
	k.Logger.Info("duty acquired or lost", "duty", duty, "held", holding, "fence", holder.FencingToken, "holder", holder.Host, "prior", holder.PreviousHost)
}

// sendHeartbeat stores a heartbeat if none was stored for the interval, by this Keeper or by the
// runner of engine services. The caller holds mu.
func (k *Keeper) sendHeartbeat(ctx context.Context, records *sync.WaitGroup) {
	now := k.Clock()
	if k.heartbeatActive || now-k.lastHeartbeat < HeartbeatInterval(k.Lease) || k.StoreUnavailable() {
		// A holder that cannot read its heartbeats back must not seem alive to others.
		return
	}
	k.heartbeatActive, k.lastHeartbeat = true, now
	k.heartbeatNumber++
	number := k.heartbeatNumber
	records.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, k.Lease)
		defer cancel()
		_, err := k.Batches.RecordHeartbeat(ctx, number)
		if err != nil {
			k.Logger.Warn("failed to store heartbeat of a duty's holder", "error", err)
		} else {
			k.Stats.Heartbeats.Add(1)
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		k.heartbeatActive = false
	})
}

// record makes a claim or a release.
func (k *Keeper) record(ctx context.Context, duty gypsum.Duty, observed *batch.Holder, action Action) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	appended, err := k.appendClaim(ctx, duty, observed, action == Release)
	switch {
	case err != nil:
		k.Logger.Warn("failed to claim or release duty", "duty", duty, "term", observed.Term+1, "release", action == Release, "error", err)
	case appended && action == Release:
		k.Stats.Releases.Add(1)
		k.Logger.Info("duty released", "duty", duty, "term", observed.Term+1)
	case appended:
		k.Stats.Claims.Add(1)
		k.Logger.Info("duty claimed", "duty", duty, "term", observed.Term+1, "holder", observed.Host, "released", observed.Released)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.recording, duty)
	if !appended && action == Claim {
		k.tenures[duty].ClaimEnded()
	}
}

// appendClaim appends a claim or a release if the log has no newer one than the observed claim.
// appended is false if certainly no record was appended.
func (k *Keeper) appendClaim(ctx context.Context, duty gypsum.Duty, observed *batch.Holder, release bool) (appended bool, err error) {
	if err := k.Batches.Follower.CatchUp(ctx); err != nil {
		return false, err
	}
	holder, lastHeartbeat, known := k.Batches.State.Holder(serviceOf(duty))
	own := holder.Host == k.Host
	vacant := !known || holder.Released || own
	if (known && holder.Term != observed.Term) || (!vacant && time.Since(lastHeartbeat) < 2*HeartbeatInterval(k.Lease)) {
		return false, nil
	}
	err = k.Batches.RecordClaim(ctx, serviceOf(duty), observed.Term+1, release)
	return !errors.Is(err, gypsum.ErrStoreRefused), err
}

// Holding reports whether this daemon is the holder of a duty. Its calls may still be refused
// with ErrNotHolder.
func (k *Keeper) Holding(duty gypsum.Duty) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	tenure := k.tenures[duty]
	return tenure != nil && tenure.Holding()
}

// Do makes a call of a duty. The context of the call ends before the lease does. Do returns
// ErrNotHolder without making the call while this daemon must not make it.
func (k *Keeper) Do(ctx context.Context, duty gypsum.Duty, call func(context.Context, gypsum.DutyAuthority) error) error {
	k.mu.Lock()
	startedAt := k.Clock()
	token, until, ok := k.tenures[duty].Begin(startedAt)
	k.mu.Unlock()
	if !ok {
		return fmt.Errorf("call of duty %s: %w", duty, ErrNotHolder)
	}
	k.Stats.Calls.Add(1)
	callCtx, cancel := context.WithTimeout(ctx, until-startedAt)
	defer cancel()
	err := call(callCtx, gypsum.DutyAuthority{Holder: k.Host, FencingToken: token})
	switch {
	case errors.Is(err, gypsum.ErrDutyRateLimited):
		k.Stats.CallsLimited.Add(1)
	case errors.Is(err, gypsum.ErrDutyConflict):
		k.Stats.CallsRejected.Add(1)
	case err != nil:
		k.Stats.CallsFailed.Add(1)
	}
	othersKnown := slices.ContainsFunc(k.Batches.State.DaemonRecords(), func(other batch.DaemonRecord) bool { return other.Host != k.Host })
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tenures[duty].End(k.Clock(), token, startedAt, othersKnown, err)
	return err
}

// Stop releases all duties and claims none any more. It returns when that is done or ctx ends.
func (k *Keeper) Stop(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	select {
	case <-k.released:
	case <-ctx.Done():
	}
}

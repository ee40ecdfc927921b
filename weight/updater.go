// Package weight sends load orders to the engines of a service in a data centre, so that
// they load the latest weights. Only the holder of a stream of the log sends them. The
// offset of its epoch record is their fencing token.
package weight

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/epoch"
)

// Intervals and timeouts of load orders.
const (
	// activeInterval is the time between two calls of reconcile while engines are
	// outdated, idleInterval otherwise.
	activeInterval = 200 * time.Millisecond
	idleInterval   = 500 * time.Millisecond
	// statusPropagationTime is how long it takes until all daemons know that an engine
	// accepts calls again.
	statusPropagationTime = time.Second
	// checkInterval is the time between two reads of the engines' load reports while all
	// engines have the latest weights.
	checkInterval = 2 * time.Second
	// loadOrderTimeout limits one load order, one read of the weight store and the
	// acquisition of the epoch.
	loadOrderTimeout = 3 * time.Second
	// maxLoadOrderDelay is how long a load order of an earlier holder may still be in
	// flight to an engine that ignores fencing tokens.
	maxLoadOrderDelay = loadOrderTimeout + time.Second
	// loadOrderReportTimeout is the time after a load order within which the engine's
	// load report must show it. Otherwise the load order is sent again.
	loadOrderReportTimeout = 1500 * time.Millisecond
)

// defaultLimitDivisor sets the limit of engines that may load weights at the same time
// for a service that configures none: the number of replicas divided by it.
const defaultLimitDivisor = 4

// Updater sends the load orders for one service in one data centre. Set the exported
// fields before Start.
type Updater struct {
	Stream *epoch.Stream
	Store  gypsum.WeightStore
	Dialer gypsum.Dialer
	// Spec returns the current configuration of the service, or false if the service
	// was deleted.
	Spec func() (gypsum.ServiceSpec, bool)
	// Engines returns the engines of the service in the data centre.
	Engines func() []gypsum.Host
	// LocalLoadLimit returns how many engines of this data centre may be unavailable during
	// the update to the target version. limit is the number for all data centres
	// together.
	LocalLoadLimit func(limit int, target gypsum.WeightVersion) int
	// ReplicaCount returns the number of engines in all data centres.
	ReplicaCount func() int
	// IsOwner reports whether this daemon should send the load orders.
	IsOwner func() bool
	// LoadsPerSecond limits the rate of load orders to what the weight store can serve;
	// 0 means no limit.
	LoadsPerSecond float64
	Logger         *slog.Logger

	targetVersion gypsum.WeightVersion
	// lastUpToDate is the time of the last check if it found no outdated engine, and
	// zero otherwise.
	lastUpToDate time.Time
	// lastLoadOrders is keyed by the engine's id.
	lastLoadOrders map[string]sentLoadOrder
	// nextLoadOrderAt is the time before which LoadsPerSecond allows no load order.
	nextLoadOrderAt time.Time
	// loadOrdersAllowedAt is the time from which this daemon may send load orders: those
	// of an earlier holder have then arrived, or are rejected by their fencing token.
	loadOrdersAllowedAt time.Time
	done                chan error
}

// sentLoadOrder is the last load order sent to an engine.
type sentLoadOrder struct {
	version gypsum.WeightVersion
	sentAt  time.Time
	// reachedAt is when the engine was first found to have reached the version.
	reachedAt time.Time
}

// Start starts the goroutine that sends load orders while this daemon is the owner, until
// ctx is done.
func (u *Updater) Start(ctx context.Context) {
	u.lastLoadOrders = make(map[string]sentLoadOrder)
	u.done = make(chan error, 1)
	u.Stream.Start(ctx)
	go func() { u.done <- u.run(ctx) }()
}

// Wait waits until the updater's goroutines have ended.
func (u *Updater) Wait() {
	<-u.done
	<-u.Stream.Done()
}

// run calls reconcile until ctx is done.
func (u *Updater) run(ctx context.Context) error {
	for {
		wait := activeInterval
		if !u.IsOwner() || u.sendDueLoadOrders(ctx) {
			wait = idleInterval
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

// sendDueLoadOrders sends the load orders that are due. It returns true if no engine is known
// to need one.
func (u *Updater) sendDueLoadOrders(ctx context.Context) bool {
	spec, ok := u.Spec()
	if !ok || !spec.FollowWeights {
		return true
	}
	latest, err := u.latestVersion(ctx, spec.Model)
	if err != nil {
		u.Logger.Debug("failed to read latest weight version", "model", spec.Model, "error", err)
	}
	if latest <= u.targetVersion && time.Since(u.lastUpToDate) < checkInterval {
		return true
	}
	u.targetVersion = max(u.targetVersion, latest)
	states := u.fetchEngineStates(ctx)
	outdated := slices.DeleteFunc(slices.Clone(states), func(s engineState) bool {
		return s.failed || s.report.Version >= u.targetVersion
	})
	if len(outdated) == 0 {
		u.lastUpToDate = time.Now()
		return true
	}
	u.lastUpToDate = time.Time{}
	fencingToken, err := u.acquireFencingToken(ctx, &spec)
	if err != nil {
		u.Logger.Warn("cannot send load orders", "service", spec.Name, "error", err)
		return false
	}
	u.sendLoadOrders(ctx, &spec, states, outdated, fencingToken)
	return false
}

// latestVersion returns the latest version of a model in the weight store.
func (u *Updater) latestVersion(ctx context.Context, model string) (gypsum.WeightVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, loadOrderTimeout)
	defer cancel()
	version, err := u.Store.LatestVersion(ctx, model)
	if err != nil {
		return 0, fmt.Errorf("read latest version from weight store: %w", err)
	}
	return version, nil
}

// engineState is an engine and its load report. failed means that the report could not
// be fetched.
type engineState struct {
	host   gypsum.Host
	report gypsum.LoadReport
	failed bool
}

// fetchEngineStates fetches the load reports of all engines.
func (u *Updater) fetchEngineStates(ctx context.Context) []engineState {
	engines := u.Engines()
	states := make([]engineState, len(engines))
	var wg sync.WaitGroup
	for i, engine := range engines {
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, gypsum.LoadReportTimeout)
			defer cancel()
			states[i] = engineState{host: engine}
			report, err := u.Dialer.Engine(engine).FetchLoadReport(callCtx)
			if err != nil {
				states[i].failed = true
				return
			}
			states[i].report = *report
		})
	}
	wg.Wait()
	return states
}

// acquireFencingToken makes this daemon the holder of the stream and returns the fencing
// token. It returns an error while load orders of the earlier holder may still arrive.
func (u *Updater) acquireFencingToken(ctx context.Context, spec *gypsum.ServiceSpec) (gypsum.Offset, error) {
	callCtx, cancel := context.WithTimeout(ctx, loadOrderTimeout)
	defer cancel()
	if !u.Stream.IsHolder() {
		if err := u.Stream.AcquireEpoch(callCtx); err != nil {
			return 0, fmt.Errorf("acquire epoch of load orders: %w", err)
		}
		u.loadOrdersAllowedAt = time.Now()
		if !spec.EnforcesFencing {
			u.loadOrdersAllowedAt = u.loadOrdersAllowedAt.Add(maxLoadOrderDelay)
		}
	}
	if time.Now().Before(u.loadOrdersAllowedAt) {
		return 0, fmt.Errorf("load orders of the earlier holder may still arrive: %w", gypsum.ErrEpochSuperseded)
	}
	fencingToken, isHolder := u.Stream.Epoch()
	if !isHolder {
		return 0, fmt.Errorf("not the holder of load orders: %w", gypsum.ErrEpochSuperseded)
	}
	return fencingToken, nil
}

// sendLoadOrders sends load orders to outdated engines, oldest version first, as long as
// the limit of engines that load at the same time and the rate limit of the weight store
// allow it.
func (u *Updater) sendLoadOrders(ctx context.Context, spec *gypsum.ServiceSpec, states, outdated []engineState, fencingToken gypsum.Offset) {
	notServing := 0
	for _, state := range states {
		if state.failed || state.report.LoadingWeights || u.isLoadOrderPending(&state) || u.isRecentlyUpdated(&state) {
			notServing++
		}
	}
	limit := spec.MaxConcurrentLoads
	if limit == 0 {
		limit = max(1, u.ReplicaCount()/defaultLimitDivisor)
	}
	limit = u.LocalLoadLimit(limit, u.targetVersion)
	slices.SortFunc(outdated, func(a, b engineState) int {
		return cmp.Or(cmp.Compare(a.report.Version, b.report.Version), cmp.Compare(a.host.ID, b.host.ID))
	})
	for _, state := range outdated {
		if notServing >= limit || time.Now().Before(u.nextLoadOrderAt) {
			return
		}
		if state.report.LoadingWeights || u.isLoadOrderPending(&state) {
			continue
		}
		notServing++
		u.delayNextLoadOrder()
		u.sendLoadOrder(ctx, &state, gypsum.LoadOrder{FencingToken: fencingToken, Model: spec.Model, Version: u.targetVersion})
	}
}

// isLoadOrderPending reports whether an engine was sent a load order a short time ago and has
// not reached the version yet.
func (u *Updater) isLoadOrderPending(state *engineState) bool {
	last, ok := u.lastLoadOrders[state.host.ID]
	return ok && last.version == u.targetVersion && state.report.Version < u.targetVersion && time.Since(last.sentAt) < loadOrderReportTimeout
}

// isRecentlyUpdated reports whether an engine has reached its ordered version so recently
// that other daemons may not know yet that it accepts calls again.
func (u *Updater) isRecentlyUpdated(state *engineState) bool {
	last, ok := u.lastLoadOrders[state.host.ID]
	if !ok || state.report.Version < last.version {
		return false
	}
	if last.reachedAt.IsZero() {
		last.reachedAt = time.Now()
		u.lastLoadOrders[state.host.ID] = last
	}
	return time.Since(last.reachedAt) < statusPropagationTime
}

// delayNextLoadOrder sets the time of the next load order by the weight store's limit.
func (u *Updater) delayNextLoadOrder() {
	if u.LoadsPerSecond > 0 {
		u.nextLoadOrderAt = time.Now().Add(time.Duration(float64(time.Second) / u.LoadsPerSecond))
	}
}

// sendLoadOrder sends a load order to an engine. If the engine rejects its fencing token,
// sendLoadOrder reads the stream, which has a newer holder.
func (u *Updater) sendLoadOrder(ctx context.Context, state *engineState, order gypsum.LoadOrder) {
	ctx, cancel := context.WithTimeout(ctx, loadOrderTimeout)
	defer cancel()
	u.lastLoadOrders[state.host.ID] = sentLoadOrder{version: order.Version, sentAt: time.Now()}
	err := u.Dialer.Engine(state.host).SendLoadOrder(ctx, order)
	u.Logger.Info("load order sent", "backend", state.host.ID, "from", state.report.Version,
		"to", order.Version, "fence", order.FencingToken, "error", err)
	if errors.Is(err, gypsum.ErrStaleFencingToken) {
		if err := u.Stream.ReadToEnd(ctx); err != nil {
			u.Logger.Warn("failed to refresh stream of load orders", "error", err)
		}
	}
}

// StateMachine is the state machine of a stream of load orders. It has no state: the
// stream is used for its epoch only, since the weight store has the target version and
// the engines report their own.
type StateMachine struct{}

// Apply implements epoch.StateMachine.
func (StateMachine) Apply(epoch.Entry) {}

// Snapshot implements epoch.StateMachine.
func (StateMachine) Snapshot() ([]byte, error) { return []byte{}, nil }

// Restore implements epoch.StateMachine.
func (StateMachine) Restore([]byte) error { return nil }

// Package weights brings the engines of a service in a data centre to the newest
// weights. The holder of the orders' stream gives the orders; the offset of its
// epoch record is their fencing number.
package weights

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

// Times of the orders.
const (
	activeInterval = 200 * time.Millisecond
	idleInterval   = 500 * time.Millisecond
	// ReopenTime is how long the news that an engine is back takes to reach all.
	statusPropagationTime = time.Second
	// LookInterval is the time between two looks at engines that need no order.
	checkInterval = 2 * time.Second
	orderTimeout  = 3 * time.Second
	// SettleTime is how long an order of an earlier holder can still be on its
	// way to an engine that ignores fencing numbers.
	maxOrderDelay = orderTimeout + time.Second
	// OrderSeen is the time after which an order must show in the report.
	orderReportTimeout = 1500 * time.Millisecond
)

// defaultLimitDivisor is the part of the replicas that may change weights at once if the
// service sets no number: 1/awayParts.
const defaultLimitDivisor = 4

// Updater gives the orders of one service in one data centre. Set the exported
// fields before Start.
type Updater struct {
	Stream *epoch.Stream
	Store  gypsum.WeightStore
	Dialer gypsum.Dialer
	// Spec returns the service in force, false if it was deleted.
	Spec func() (gypsum.ServiceSpec, bool)
	// Engines returns the engines of the service in the data centre.
	Engines func() []gypsum.Host
	// LocalLimit returns how many engines may be away here, if limit may in all data
	// centres while they go to the target.
	LocalLimit func(limit int, target gypsum.WeightVersion) int
	// ReplicaCount returns the number of engines in all data centres.
	ReplicaCount func() int
	// IsOwner tells whether this daemon is to give the orders.
	IsOwner func() bool
	// LoadsPerSecond is the limit of the weight store, 0 for none.
	LoadsPerSecond float64
	Logger         *slog.Logger

	targetVersion   gypsum.WeightVersion
	lastUpToDate    time.Time
	lastOrders      map[string]sentOrder
	nextOrderAt     time.Time
	ordersAllowedAt time.Time
	done            chan error
}

// sentOrder is the last order given to an engine.
type sentOrder struct {
	version gypsum.WeightVersion
	sentAt  time.Time
	// Reached is when the engine was first seen at the version.
	reachedAt time.Time
}

// Start begins to give orders whenever this daemon is the owner.
func (u *Updater) Start(ctx context.Context) {
	u.lastOrders = make(map[string]sentOrder)
	u.done = make(chan error, 1)
	u.Stream.Start(ctx)
	go func() { u.done <- u.run(ctx) }()
}

// Wait returns when the keeper's goroutines have ended.
func (u *Updater) Wait() {
	<-u.done
	<-u.Stream.Done()
}

// run looks at the engines until ctx ends.
func (u *Updater) run(ctx context.Context) error {
	for {
		wait := activeInterval
		if !u.IsOwner() || u.reconcile(ctx) {
			wait = idleInterval
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

// reconcile gives the orders that are due; it returns true if none is left.
func (u *Updater) reconcile(ctx context.Context) bool {
	spec, ok := u.Spec()
	if !ok || !spec.FollowWeights {
		return true
	}
	latest, err := u.latestVersion(ctx, spec.Model)
	if err != nil {
		u.Logger.Debug("newest weights not known", "model", spec.Model, "error", err)
	}
	if latest <= u.targetVersion && time.Since(u.lastUpToDate) < checkInterval {
		return true
	}
	u.targetVersion = max(u.targetVersion, latest)
	states := u.fetchStates(ctx)
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
		u.Logger.Warn("orders not possible", "service", spec.Name, "error", err)
		return false
	}
	u.sendOrders(ctx, &spec, states, outdated, fencingToken)
	return false
}

// latestVersion returns the newest version in the weight store.
func (u *Updater) latestVersion(ctx context.Context, model string) (gypsum.WeightVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	version, err := u.Store.Latest(ctx, model)
	if err != nil {
		return 0, fmt.Errorf("ask weight store: %w", err)
	}
	return version, nil
}

// engineState is an engine and its own word on itself.
type engineState struct {
	host   gypsum.Host
	report gypsum.LoadReport
	failed bool
}

// fetchStates asks all engines for their reports.
func (u *Updater) fetchStates(ctx context.Context) []engineState {
	engines := u.Engines()
	states := make([]engineState, len(engines))
	var wg sync.WaitGroup
	for i, engine := range engines {
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, gypsum.LoadReportTimeout)
			defer cancel()
			states[i] = engineState{host: engine}
			report, err := u.Dialer.Engine(engine).FetchLoad(callCtx)
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

// acquireFencingToken returns the fencing number, once this daemon holds the epoch.
func (u *Updater) acquireFencingToken(ctx context.Context, spec *gypsum.ServiceSpec) (gypsum.Offset, error) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !u.Stream.IsHolder() {
		if err := u.Stream.Acquire(callCtx); err != nil {
			return 0, fmt.Errorf("acquire epoch of orders: %w", err)
		}
		u.ordersAllowedAt = time.Now()
		if !spec.EnforcesFencing {
			u.ordersAllowedAt = u.ordersAllowedAt.Add(maxOrderDelay)
		}
	}
	if time.Now().Before(u.ordersAllowedAt) {
		return 0, fmt.Errorf("orders of the earlier holder may still arrive: %w", gypsum.ErrEpochSuperseded)
	}
	fencingToken, isHolder := u.Stream.Epoch()
	if !isHolder {
		return 0, fmt.Errorf("hold epoch of orders: %w", gypsum.ErrEpochSuperseded)
	}
	return fencingToken, nil
}

// sendOrders orders engines that are behind, the oldest version first, as
// long as few enough are away and the weight store's limit allows.
func (u *Updater) sendOrders(ctx context.Context, spec *gypsum.ServiceSpec, states, outdated []engineState, fencingToken gypsum.Offset) {
	unavailable := 0
	for _, state := range states {
		if state.failed || state.report.SwappingWeights || u.orderPending(&state) || u.recentlyUpdated(&state) {
			unavailable++
		}
	}
	limit := spec.MaxConcurrentLoads
	if limit == 0 {
		limit = max(1, u.ReplicaCount()/defaultLimitDivisor)
	}
	limit = u.LocalLimit(limit, u.targetVersion)
	slices.SortFunc(outdated, func(a, b engineState) int {
		return cmp.Or(cmp.Compare(a.report.Version, b.report.Version), cmp.Compare(a.host.ID, b.host.ID))
	})
	for _, state := range outdated {
		if unavailable >= limit || time.Now().Before(u.nextOrderAt) {
			return
		}
		if state.report.SwappingWeights || u.orderPending(&state) {
			continue
		}
		unavailable++
		u.delayNextOrder()
		u.sendOrder(ctx, &state, gypsum.LoadOrder{FencingToken: fencingToken, Model: spec.Model, Version: u.targetVersion})
	}
}

// orderPending tells whether an engine was ordered a short time ago and is not there yet.
func (u *Updater) orderPending(state *engineState) bool {
	last, ok := u.lastOrders[state.host.ID]
	return ok && last.version == u.targetVersion && state.report.Version < u.targetVersion && time.Since(last.sentAt) < orderReportTimeout
}

// recentlyUpdated tells whether an engine has changed its weights so recently that the
// daemons may not know yet that it takes calls again.
func (u *Updater) recentlyUpdated(state *engineState) bool {
	last, ok := u.lastOrders[state.host.ID]
	if !ok || state.report.Version < last.version {
		return false
	}
	if last.reachedAt.IsZero() {
		last.reachedAt = time.Now()
		u.lastOrders[state.host.ID] = last
	}
	return time.Since(last.reachedAt) < statusPropagationTime
}

// delayNextOrder sets the time of the next order to the weight store's limit.
func (u *Updater) delayNextOrder() {
	if u.LoadsPerSecond > 0 {
		u.nextOrderAt = time.Now().Add(time.Duration(float64(time.Second) / u.LoadsPerSecond))
	}
}

// sendOrder sends one order.
func (u *Updater) sendOrder(ctx context.Context, state *engineState, order gypsum.LoadOrder) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	u.lastOrders[state.host.ID] = sentOrder{version: order.Version, sentAt: time.Now()}
	err := u.Dialer.Engine(state.host).SendLoadOrder(ctx, order)
	u.Logger.Info("weights ordered", "backend", state.host.ID, "from", state.report.Version,
		"to", order.Version, "fence", order.FencingToken, "error", err)
	if errors.Is(err, gypsum.ErrStaleFencingToken) {
		if err := u.Stream.Refresh(ctx); err != nil {
			u.Logger.Warn("newer holder not read", "error", err)
		}
	}
}

// StateMachine is the state of a stream of orders: nothing but its epoch, since the
// target is in the weight store and the engines tell their own state.
type StateMachine struct{}

// Apply is part of epoch.Machine.
func (StateMachine) Apply(epoch.Entry) {}

// Snapshot is part of epoch.Machine.
func (StateMachine) Snapshot() ([]byte, error) { return []byte{}, nil }

// Restore is part of epoch.Machine.
func (StateMachine) Restore([]byte) error { return nil }

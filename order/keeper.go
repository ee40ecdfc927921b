// Package order brings the engines of a service in a data centre to the newest
// weights. The holder of the orders' stream gives the orders; the offset of its
// epoch record is their fencing number.
package order

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
	workInterval = 200 * time.Millisecond
	restInterval = 500 * time.Millisecond
	// ReopenTime is how long the news that an engine is back takes to reach all.
	reopenTime = time.Second
	// LookInterval is the time between two looks at engines that need no order.
	lookInterval = 2 * time.Second
	orderTimeout = 3 * time.Second
	// SettleTime is how long an order of an earlier holder can still be on its
	// way to an engine that ignores fencing numbers.
	settleTime = orderTimeout + time.Second
	// OrderSeen is the time after which an order must show in the report.
	orderSeen = 1500 * time.Millisecond
)

// awayParts is the part of the replicas that may change weights at once if the
// service sets no number: 1/awayParts.
const awayParts = 4

// Keeper gives the orders of one service in one data centre. Set the exported
// fields before Start.
type Keeper struct {
	Stream *epoch.Stream
	Store  gypsum.WeightStore
	Dialer gypsum.Dialer
	// Spec returns the service in force, false if it was deleted.
	Spec func() (gypsum.ServiceSpec, bool)
	// Engines returns the engines of the service in the data centre.
	Engines func() []gypsum.Host
	// Share returns how many engines may be away here, if limit may in all data
	// centres while they go to the target.
	Share func(limit int, target gypsum.WeightVersion) int
	// Replicas returns the number of engines in all data centres.
	Replicas func() int
	// Owner tells whether this daemon is to give the orders.
	Owner func() bool
	// LoadsPerSecond is the limit of the weight store, 0 for none.
	LoadsPerSecond float64
	Logger         *slog.Logger

	target   gypsum.WeightVersion
	looked   time.Time
	ordered  map[string]given
	nextLoad time.Time
	settled  time.Time
	done     chan error
}

// given is the last order given to an engine.
type given struct {
	version gypsum.WeightVersion
	at      time.Time
	// Reached is when the engine was first seen at the version.
	reached time.Time
}

// Start begins to give orders whenever this daemon is the owner.
func (k *Keeper) Start(ctx context.Context) {
	k.ordered = make(map[string]given)
	k.done = make(chan error, 1)
	k.Stream.Start(ctx)
	go func() { k.done <- k.run(ctx) }()
}

// Wait returns when the keeper's goroutines have ended.
func (k *Keeper) Wait() {
	<-k.done
	<-k.Stream.Done()
}

// run looks at the engines until ctx ends.
func (k *Keeper) run(ctx context.Context) error {
	for {
		wait := workInterval
		if !k.Owner() || k.round(ctx) {
			wait = restInterval
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

// round gives the orders that are due; it returns true if none is left.
func (k *Keeper) round(ctx context.Context) bool {
	spec, ok := k.Spec()
	if !ok || !spec.FollowWeights {
		return true
	}
	latest, err := k.latest(ctx, spec.Model)
	if err != nil {
		k.Logger.Debug("newest weights not known", "model", spec.Model, "error", err)
	}
	if latest <= k.target && time.Since(k.looked) < lookInterval {
		return true
	}
	k.target = max(k.target, latest)
	states := k.states(ctx)
	behind := slices.DeleteFunc(slices.Clone(states), func(s engineState) bool {
		return s.failed || s.report.Version >= k.target
	})
	if len(behind) == 0 {
		k.looked = time.Now()
		return true
	}
	k.looked = time.Time{}
	fence, err := k.hold(ctx, &spec)
	if err != nil {
		k.Logger.Warn("orders not possible", "service", spec.Name, "error", err)
		return false
	}
	k.orderBehind(ctx, &spec, states, behind, fence)
	return false
}

// latest returns the newest version in the weight store.
func (k *Keeper) latest(ctx context.Context, model string) (gypsum.WeightVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	version, err := k.Store.Latest(ctx, model)
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

// states asks all engines for their reports.
func (k *Keeper) states(ctx context.Context) []engineState {
	hosts := k.Engines()
	states := make([]engineState, len(hosts))
	var asked sync.WaitGroup
	for i, host := range hosts {
		asked.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, gypsum.LoadReportTimeout)
			defer cancel()
			states[i] = engineState{host: host}
			report, err := k.Dialer.Engine(host).FetchLoad(callCtx)
			if err != nil {
				states[i].failed = true
				return
			}
			states[i].report = *report
		})
	}
	asked.Wait()
	return states
}

// hold returns the fencing number, once this daemon holds the epoch.
func (k *Keeper) hold(ctx context.Context, spec *gypsum.ServiceSpec) (gypsum.Offset, error) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !k.Stream.IsHolder() {
		if err := k.Stream.Acquire(callCtx); err != nil {
			return 0, fmt.Errorf("acquire epoch of orders: %w", err)
		}
		k.settled = time.Now()
		if !spec.EnforcesFencing {
			k.settled = k.settled.Add(settleTime)
		}
	}
	if time.Now().Before(k.settled) {
		return 0, fmt.Errorf("orders of the earlier holder may still arrive: %w", gypsum.ErrEpochSuperseded)
	}
	fence, mine := k.Stream.Epoch()
	if !mine {
		return 0, fmt.Errorf("hold epoch of orders: %w", gypsum.ErrEpochSuperseded)
	}
	return fence, nil
}

// orderBehind orders engines that are behind, the oldest version first, as
// long as few enough are away and the weight store's limit allows.
func (k *Keeper) orderBehind(ctx context.Context, spec *gypsum.ServiceSpec, states, behind []engineState, fence gypsum.Offset) {
	away := 0
	for _, state := range states {
		if state.failed || state.report.SwappingWeights || k.waits(&state) || k.reopens(&state) {
			away++
		}
	}
	limit := spec.MaxConcurrentLoads
	if limit == 0 {
		limit = max(1, k.Replicas()/awayParts)
	}
	limit = k.Share(limit, k.target)
	slices.SortFunc(behind, func(a, b engineState) int {
		return cmp.Or(cmp.Compare(a.report.Version, b.report.Version), cmp.Compare(a.host.ID, b.host.ID))
	})
	for _, state := range behind {
		if away >= limit || time.Now().Before(k.nextLoad) {
			return
		}
		if state.report.SwappingWeights || k.waits(&state) {
			continue
		}
		away++
		k.pace()
		k.give(ctx, &state, gypsum.LoadOrder{FencingToken: fence, Model: spec.Model, Version: k.target})
	}
}

// waits tells whether an engine was ordered a short time ago and is not there yet.
func (k *Keeper) waits(state *engineState) bool {
	last, ok := k.ordered[state.host.ID]
	return ok && last.version == k.target && state.report.Version < k.target && time.Since(last.at) < orderSeen
}

// reopens tells whether an engine has changed its weights so recently that the
// daemons may not know yet that it takes calls again.
func (k *Keeper) reopens(state *engineState) bool {
	last, ok := k.ordered[state.host.ID]
	if !ok || state.report.Version < last.version {
		return false
	}
	if last.reached.IsZero() {
		last.reached = time.Now()
		k.ordered[state.host.ID] = last
	}
	return time.Since(last.reached) < reopenTime
}

// pace sets the time of the next order to the weight store's limit.
func (k *Keeper) pace() {
	if k.LoadsPerSecond > 0 {
		k.nextLoad = time.Now().Add(time.Duration(float64(time.Second) / k.LoadsPerSecond))
	}
}

// give sends one order.
func (k *Keeper) give(ctx context.Context, state *engineState, order gypsum.LoadOrder) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	k.ordered[state.host.ID] = given{version: order.Version, at: time.Now()}
	err := k.Dialer.Engine(state.host).SendLoadOrder(ctx, order)
	k.Logger.Info("weights ordered", "backend", state.host.ID, "from", state.report.Version,
		"to", order.Version, "fence", order.FencingToken, "error", err)
	if errors.Is(err, gypsum.ErrStaleFencingToken) {
		if err := k.Stream.Refresh(ctx); err != nil {
			k.Logger.Warn("newer holder not read", "error", err)
		}
	}
}

// Machine is the state of a stream of orders: nothing but its epoch, since the
// target is in the weight store and the engines tell their own state.
type Machine struct{}

// Apply is part of epoch.Machine.
func (Machine) Apply(epoch.Entry) {}

// Snapshot is part of epoch.Machine.
func (Machine) Snapshot() ([]byte, error) { return []byte{}, nil }

// Restore is part of epoch.Machine.
func (Machine) Restore([]byte) error { return nil }

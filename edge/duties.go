package edge

import (
	"context"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/clock"
	"github.com/gypsumhook/gypsum/duty"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/scale"
	"github.com/gypsumhook/gypsum/usage"
)

// usageTopic is the topic of the usage counts of all hosts, capacityTopic that of the orders of
// replicas. Only the holders of the duties read them.
var (
	usageTopic    = platform.KeyedTopic("usage")
	capacityTopic = platform.KeyedTopic("capacity")
)

// flushTimeout bounds the last write of counts at the end of the process, after the servers have
// stopped.
const flushTimeout = 500 * time.Millisecond

// slackDivisor limits the slack to 1/slackDivisor of the lease: what is left of a lease after
// the slack and the age of the newest heartbeat must suffice for a call.
const slackDivisor = 3

// duties are the components for the platform's API. Its methods may be called on nil, which
// stands for a deployment without duties.
type duties struct {
	keeper *duty.Keeper
	// counter and reporter are nil without the duty of usage reports.
	counter  *usage.Counter
	reporter *usage.Reporter
	// planner is nil without the duty of ordering replicas.
	planner *scale.Planner
}

// createDuties creates the components for the duties that the settings name. The returned function
// closes the idle connections of their client.
func (d *Daemon) createDuties() (cleanup func()) {
	settings := d.Settings.CloudAPI
	if settings == nil || len(settings.Duties) == 0 {
		return func() {}
	}
	client, cleanup := platform.NewDutyClient(settings.Address)
	d.batches.Clock = clock.Steady
	keeper := duty.NewKeeper(settings.Duties...)
	keeper.Host, keeper.Incarnation, keeper.Batches, keeper.Clock = d.Settings.Host, d.incarnation, d.batches, clock.Steady
	keeper.Lease, keeper.Slack, keeper.ChecksFencing = d.Settings.LeaseDuration, settings.ThawSlack, settings.ChecksFencing
	if longest := keeper.Lease / slackDivisor; keeper.Slack > longest {
		d.Logger.Warn("lease is too short for the slack of suspensions", "lease_ms", keeper.Lease.Milliseconds(), "thaw_slack_ms", keeper.Slack.Milliseconds())
		keeper.Slack = longest
	}
	keeper.CPUShare, keeper.Logger = d.Settings.CPUShare, d.Logger
	keeper.StoreUnavailable = func() bool { return d.storeDowntime() > 0 }
	d.duties = &duties{keeper: keeper}
	if d.Settings.HasDuty(gypsum.DutyUsage) {
		d.createUsage(client)
	}
	if d.Settings.HasDuty(gypsum.DutyCapacity) {
		planner := scale.NewPlanner()
		planner.Keeper, planner.Client, planner.Store, planner.Topic = keeper, client, d.store, capacityTopic
		planner.Writer, planner.Registry, planner.OpenTexts = d.writers[writerKey{topic: capacityTopic}], d.registry, d.openTexts
		planner.DataCentres, planner.StoreUnavailable = d.Settings.Regions, keeper.StoreUnavailable
		planner.Clock, planner.Logger = clock.Steady, d.Logger
		d.duties.planner = planner
	}
	return cleanup
}

// openTexts returns the number of items without a result by service. Batches of a removed route
// stay with the service that they were accepted for.
func (d *Daemon) openTexts() map[gypsum.ServiceName]int {
	config, open := d.registry.Current().Config, make(map[gypsum.ServiceName]int)
	for _, header := range d.batchState.OpenBatches() {
		service := header.Service
		if config != nil {
			if route := config.FindRoute(header.Route); route != nil {
				service = route.ServiceFor(string(header.ID), header.Service)
			}
		}
		d.batchState.VisitProgress(header.ID, func(hasResult map[gypsum.ItemID]bool, _ bool) {
			open[service] += header.ItemCount - len(hasResult)
		})
	}
	return open
}

// createUsage creates the components for usage reports.
func (d *Daemon) createUsage(client gypsum.DutyClient) {
	timing := usage.Timing{Window: d.Settings.CloudAPI.UsageWindow, Lateness: d.Settings.CloudAPI.UsageLateness}
	timeOfDay, writer := &usage.TimeOfDay{Steady: clock.Steady, Wall: time.Now}, d.writers[writerKey{topic: usageTopic}]
	counter := usage.NewCounter()
	counter.Host, counter.Incarnation, counter.Timing, counter.Clock = d.Settings.Host, d.incarnation, timing, timeOfDay
	counter.Writer, counter.Logger = writer, d.Logger
	reporter := usage.NewReporter()
	reporter.Host, reporter.Incarnation, reporter.Timing, reporter.Clock = d.Settings.Host, d.incarnation, timing, timeOfDay
	reporter.Keeper, reporter.Client, reporter.Store, reporter.Topic = d.duties.keeper, client, d.store, usageTopic
	reporter.Writer, reporter.Logger = writer, d.Logger
	reporter.StoreBack = d.batches.Follower.RecoveredAt
	d.duties.counter, d.duties.reporter, d.relay.Runs = counter, reporter, counter
}

// startTasks starts the goroutines of the duties.
func (d *duties) startTasks(ctx context.Context, tasks *taskGroup) {
	if d == nil {
		return
	}
	tasks.start(ctx, d.keeper.Run)
	if d.counter != nil {
		tasks.start(ctx, d.counter.Run)
		tasks.start(ctx, d.reporter.Run)
	}
	if d.planner != nil {
		tasks.start(ctx, d.planner.Run)
	}
}

// stop releases the duties of a daemon that leaves.
func (d *duties) stop(ctx context.Context) {
	if d != nil {
		d.keeper.Stop(ctx)
	}
}

// flush writes the counts of the last requests.
func (d *duties) flush(ctx context.Context) {
	if d == nil || d.counter == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := d.counter.Flush(ctx); err != nil {
		d.counter.Logger.Warn("failed to write the last usage counts", "error", err)
	}
}

// dutyMetrics are the published metrics of the duties.
type dutyMetrics struct {
	Claims        int64 `json:"claims"`
	Releases      int64 `json:"releases"`
	Heartbeats    int64 `json:"heartbeats"`
	Calls         int64 `json:"calls"`
	CallsFailed   int64 `json:"calls_failed"`
	CallsRejected int64 `json:"calls_rejected"`
	CallsLimited  int64 `json:"calls_rate_limited"`
	// The requests that this host counted, the writes of its counts, and those that were lost
	// since they could not be written in time.
	Requests   int64 `json:"usage_requests"`
	Writes     int64 `json:"usage_writes"`
	LostCounts int64 `json:"usage_requests_lost"`
	// The windows that this host closed, reported and missed as the holder, and the requests
	// whose counts came after their windows were closed.
	WindowsClosed   int64 `json:"usage_windows_closed"`
	WindowsReported int64 `json:"usage_windows_reported"`
	WindowsMissed   int64 `json:"usage_windows_missed"`
	LateCounts      int64 `json:"usage_requests_late"`
	// The orders of replicas that this host sent, and those that were rejected.
	Orders         int64 `json:"capacity_orders"`
	OrdersRejected int64 `json:"capacity_orders_rejected"`
}

// metrics returns the metrics of the duties, nil if there are none.
func (d *duties) metrics() *dutyMetrics {
	if d == nil {
		return nil
	}
	stats := &d.keeper.Stats
	current := &dutyMetrics{
		Claims: stats.Claims.Load(), Releases: stats.Releases.Load(), Heartbeats: stats.Heartbeats.Load(), Calls: stats.Calls.Load(),
		CallsFailed: stats.CallsFailed.Load(), CallsRejected: stats.CallsRejected.Load(), CallsLimited: stats.CallsLimited.Load(),
	}
	if d.counter != nil {
		current.Requests, current.Writes, current.LostCounts = d.counter.Stats.Requests.Load(), d.counter.Stats.Writes.Load(), d.counter.Stats.Lost.Load()
		current.WindowsClosed, current.WindowsReported = d.reporter.Stats.Closed.Load(), d.reporter.Stats.Reported.Load()
		current.WindowsMissed, current.LateCounts = d.reporter.Stats.Missed.Load(), d.reporter.Stats.LostCounts.Load()
	}
	if d.planner != nil {
		current.Orders, current.OrdersRejected = d.planner.Stats.Orders.Load(), d.planner.Stats.Rejected.Load()
	}
	return current
}

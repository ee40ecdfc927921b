package edge

import (
	"expvar"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/clock"
	"github.com/gypsumhook/gypsum/feed"
	"github.com/gypsumhook/gypsum/intake"
	"github.com/gypsumhook/gypsum/pace"
)

// appServer is a server that the kratos app starts and stops.
type appServer = transport.Server

// Reasons why a daemon is not ready.
var (
	errStopping         = errors.New("daemon is stopping")
	errNoConfiguration  = errors.New("no configuration received yet")
	errTopicNotLoaded   = errors.New("not read from the store yet")
	errKeysNotConfirmed = errors.New("configuration with API keys is not known to be current yet")
)

// metrics are the published metrics of a daemon.
type metrics struct {
	Revision         gypsum.Revision  `json:"revision"`
	StoreDowntimeMS  int64            `json:"store_away_ms"`
	ProxiedCalls     int64            `json:"store_detours"`
	StoreReads       storeMetrics     `json:"store_reads"`
	StoreWrites      storeMetrics     `json:"store_writes"`
	Feed             feedMetrics      `json:"feed"`
	Replicas         int              `json:"replicas"`
	ReplicasLeaving  int64            `json:"replicas_leaving"`
	ReplicasLimited  int              `json:"replicas_rate_limited"`
	LimitsStated     int64            `json:"rate_limits_stated"`
	LimitsLifted     int64            `json:"rate_limits_lifted"`
	PermitsGranted   int64            `json:"request_permits_granted"`
	PermitsDenied    int64            `json:"request_permits_denied"`
	DroppedLogLines  int64            `json:"log_lines_dropped"`
	LiveRequests     map[string]int64 `json:"live_requests"`
	BatchSubmissions map[string]int64 `json:"batch_submissions"`
	BatchReads       map[string]int64 `json:"batch_reads"`
	Accounts         int              `json:"accounts"`
	ConfigAgeMS      int64            `json:"config_age_ms"`
	Authenticated    int64            `json:"requests_authenticated"`
	Unauthenticated  int64            `json:"requests_unauthenticated"`
	KeysOutdated     int64            `json:"requests_refused_keys_outdated"`
	RefusedSends     int64            `json:"sends_refused_keys"`
	ConfigAwaited    int64            `json:"requests_config_awaited"`
	ConfigReads      int64            `json:"config_reads_for_requests"`
	ConfigReadErrors int64            `json:"config_reads_for_requests_failed"`
	BeyondShare      int64            `json:"requests_refused_share"`
	SendsLimited     int              `json:"services_divided"`
	BodiesRefused    int64            `json:"bodies_refused"`
	UnknownRoute     int64            `json:"unknown_route"`
	BadInput         int64            `json:"bad_input"`
	RelayRequests    int64            `json:"relay_requests"`
	RelayResponses   int64            `json:"relay_answers"`
	RelayAttempts    int64            `json:"relay_attempts"`
	RelayResumes     int64            `json:"relay_resumes"`
	ClientResumes    int64            `json:"relay_client_resumes"`
	OriginsShared    int64            `json:"stream_origins_shared"`
	OriginsFound     int64            `json:"stream_origins_found"`
	OriginsUnknown   int64            `json:"stream_origins_unknown"`
	ReachChecks      int64            `json:"reach_checks"`
	ServicesCutOff   int64            `json:"services_out_of_reach"`
	RelayDetours     int64            `json:"relay_detours"`
	Forwarded        int64            `json:"requests_forwarded"`
	ForwardRejected  int64            `json:"requests_not_forwarded"`
	RelayRefused     int64            `json:"relay_refused"`
	RelayFailed      int64            `json:"relay_failed"`
	LiveWaits        waitMetrics      `json:"live_waits"`
	Unread           unreadMetrics    `json:"unread_responses"`
	BodiesWaited     int64            `json:"bodies_waited"`
	ItemsStarted     int64            `json:"items_started"`
	ItemsResumed     int64            `json:"items_resumed"`
	ItemsMoved       int64            `json:"items_moved"`
	SlowPeriods      int64            `json:"engine_slow_periods"`
	SlowMS           int64            `json:"engine_slow_ms"`
	TextsDiscarded   int64            `json:"item_texts_discarded"`
	ItemsCompleted   int64            `json:"items_finished"`
	ItemsErrored     int64            `json:"items_errored"`
	AttemptsBroken   int64            `json:"item_runs_broken"`
	AttemptsRejected int64            `json:"item_runs_rejected"`
	RewardCalls      rewardMetrics    `json:"reward_calls"`
	LoadOrders       int64            `json:"orders"`
	Claims           int64            `json:"claims"`
	Takeovers        int64            `json:"takeovers"`
	Releases         int64            `json:"releases_out_of_reach"`
	DecisionRounds   int64            `json:"decision_rounds"`
	DecisionMS       int64            `json:"decision_ms"`
	Duties           *dutyMetrics     `json:"duties,omitempty"`
	// Ports is what the clients of each port hold.
	Ports map[string]intake.Usage `json:"ports"`
}

// storeMetrics count the calls of the store that the daemon has made, paced and not made, and give
// the rate that it may use now.
type storeMetrics struct {
	Calls   int64   `json:"calls"`
	Waited  int64   `json:"waited"`
	WaitMS  int64   `json:"wait_ms"`
	Limited int64   `json:"refused_for_rate"`
	Expired int64   `json:"not_made"`
	Rate    float64 `json:"rate_per_s"`
}

// newStoreMetrics returns the metrics of a gate.
func newStoreMetrics(gate *pace.Gate) storeMetrics {
	stats := gate.Stats()
	return storeMetrics{
		Calls: stats.Calls, Waited: stats.Waited, WaitMS: stats.Wait.Milliseconds(), Limited: stats.Limited, Expired: stats.Expired, Rate: stats.Rate,
	}
}

// waitMetrics count the live requests that found all replicas full. Waiting is the number of
// those that wait now, WaitMS the total time of waiting.
type waitMetrics struct {
	Waiting int   `json:"waiting"`
	Waited  int64 `json:"waited"`
	Granted int64 `json:"granted"`
	Refused int64 `json:"refused"`
	WaitMS  int64 `json:"wait_ms"`
}

// unreadMetrics are about responses that clients read slowly: the bytes that are held and their
// limit, the clients that lost their responses and streams, those of them that made room for
// others, and the times at which the memory did not suffice.
type unreadMetrics struct {
	Bytes         int64 `json:"bytes"`
	Limit         int64 `json:"limit"`
	Clients       int   `json:"clients"`
	ResponsesLost int64 `json:"responses_lost"`
	StreamsLost   int64 `json:"streams_lost"`
	Evicted       int64 `json:"evicted"`
	Rejected      int64 `json:"rejected"`
}

// feedMetrics count the pages that the daemon has read from the store, received from other daemons
// and served to them, and the requests to readers that failed, by cause.
type feedMetrics struct {
	OwnReads int64 `json:"own_reads"`
	Received int64 `json:"received"`
	Served   int64 `json:"served"`
	Broken   int64 `json:"broken"`
	Unserved int64 `json:"unserved"`
	Stale    int64 `json:"stale"`
	Gaps     int64 `json:"gaps"`
}

// newFeedMetrics returns the metrics of a feed.
func newFeedMetrics(stats *feed.Stats) feedMetrics {
	return feedMetrics{
		OwnReads: stats.OwnReads.Load(), Received: stats.Received.Load(), Served: stats.Served.Load(),
		Broken: stats.Broken.Load(), Unserved: stats.Unserved.Load(), Stale: stats.Stale.Load(), Gaps: stats.Gaps.Load(),
	}
}

// rewardMetrics count the reward calls by their ends. WaitMS is the total time from complete
// texts to their scores.
type rewardMetrics struct {
	Sent         int64 `json:"sent"`
	Answered     int64 `json:"answered"`
	Rejected     int64 `json:"rejected"`
	ServerErrors int64 `json:"server_errors"`
	TimedOut     int64 `json:"timed_out"`
	Broken       int64 `json:"broken"`
	WaitMS       int64 `json:"wait_ms"`
}

// publishMetrics publishes the daemon's metrics with expvar.
func (d *Daemon) publishMetrics() {
	publishOnce.Do(func() {
		expvar.Publish("gypsumhook", expvar.Func(func() any { return d.currentMetrics() }))
	})
}

func (d *Daemon) currentMetrics() metrics {
	snapshot, relayStats, runnerStats := d.registry.Current(), &d.relay.Stats, &d.runner.Stats
	current := metrics{
		StoreDowntimeMS: d.storeDowntime().Milliseconds(), ProxiedCalls: d.store.ProxiedCalls(), StoreReads: newStoreMetrics(d.store.Reads), StoreWrites: newStoreMetrics(d.store.Writes), Feed: newFeedMetrics(&d.feed.Stats), Replicas: len(snapshot.Replicas), ReplicasLeaving: d.registry.LeavingCount(), DroppedLogLines: d.DroppedLines(),
		LiveRequests: d.frontend.Stats.LiveRequests.Snapshot(), BatchSubmissions: d.frontend.Stats.BatchSubmissions.Snapshot(), BatchReads: d.frontend.Stats.ResultReads.Snapshot(),
		ReplicasLimited: d.limiter.Table.Count(), LimitsStated: d.limiter.Table.Stats.Stated.Load(), LimitsLifted: d.limiter.Table.Stats.Lifted.Load(),
		PermitsGranted: d.limiter.Stats.Granted.Load(), PermitsDenied: d.limiter.Stats.Denied.Load(),
		Authenticated: d.access.Stats.Authenticated.Load(), Unauthenticated: d.access.Stats.Unauthenticated.Load(),
		KeysOutdated: d.access.Stats.Outdated.Load(), RefusedSends: d.access.Stats.RefusedSends.Load(),
		ConfigAwaited: d.access.Confirmer.Stats.Requests.Load(), ConfigReads: d.access.Confirmer.Stats.Reads.Load(), ConfigReadErrors: d.access.Confirmer.Stats.Failed.Load(),
		BeyondShare: relayStats.BeyondShare.Load(), SendsLimited: d.relay.Sends.Limited(time.Now()),
		UnknownRoute: d.frontend.Stats.UnknownRoute.Load(), BadInput: d.frontend.Stats.BadInput.Load(),
		RelayRequests: relayStats.Requests.Load(), RelayResponses: relayStats.Responses.Load(), RelayAttempts: relayStats.Attempts.Load(),
		RelayResumes: relayStats.Resumes.Load(), ClientResumes: relayStats.ClientResumes.Load(),
		OriginsShared: d.origins.Stats.Shared.Load(), OriginsFound: d.origins.Stats.Found.Load(), OriginsUnknown: d.origins.Stats.Unknown.Load(),
		ReachChecks: d.reach.Stats.Checks.Load(), ServicesCutOff: d.reach.Stats.OutOfReach.Load(), RelayDetours: relayStats.Detours.Load(),
		Forwarded: d.reach.Stats.Forwarded.Load(), ForwardRejected: d.reach.Stats.Rejected.Load(),
		RelayRefused: relayStats.Refused.Load(), RelayFailed: relayStats.Failed.Load(),
		LiveWaits: waitMetrics{
			Waiting: d.relay.WaitingCount(), Waited: relayStats.Waits.Waited.Load(), Granted: relayStats.Waits.Granted.Load(),
			Refused: relayStats.Waits.Refused.Load(), WaitMS: time.Duration(relayStats.Waits.Time.Load()).Milliseconds(),
		},
		BodiesWaited: d.frontend.Stats.Bodies.Waited.Load(), BodiesRefused: d.frontend.Stats.Bodies.Refused.Load(),
		Unread:       d.unreadMetrics(),
		ItemsStarted: runnerStats.ItemsStarted.Load(), ItemsResumed: runnerStats.ItemsResumed.Load(), ItemsMoved: runnerStats.ItemsMoved.Load(),
		SlowPeriods: runnerStats.SlowPeriods.Load(), SlowMS: time.Duration(runnerStats.SlowTime.Load()).Milliseconds(), TextsDiscarded: runnerStats.TextsDiscarded.Load(), ItemsCompleted: runnerStats.ItemsCompleted.Load(),
		ItemsErrored: runnerStats.ItemsErrored.Load(), AttemptsBroken: runnerStats.AttemptsBroken.Load(), AttemptsRejected: runnerStats.AttemptsRejected.Load(),
		RewardCalls: rewardMetrics{
			Sent: runnerStats.RewardCalls.Load(), Answered: runnerStats.RewardResponses.Load(), Rejected: runnerStats.RewardsRejected.Load(),
			ServerErrors: runnerStats.RewardServerErrors.Load(), TimedOut: runnerStats.RewardTimeouts.Load(), Broken: runnerStats.RewardsBroken.Load(),
			WaitMS: time.Duration(runnerStats.RewardWait.Load()).Milliseconds(),
		},
		LoadOrders: runnerStats.LoadOrders.Load(), Claims: runnerStats.Claims.Load(), Takeovers: runnerStats.Takeovers.Load(), Releases: runnerStats.UnreachableReleases.Load(),
		DecisionRounds: runnerStats.Rounds.Load(), DecisionMS: time.Duration(runnerStats.RoundTime.Load()).Milliseconds(),
		Duties: d.duties.metrics(), Ports: intake.UsageOf(d.ports.all()),
	}
	if snapshot.Config != nil {
		current.Revision = snapshot.Config.Revision
		if snapshot.Config.Accounts != nil {
			current.Accounts = snapshot.Config.Accounts.Len()
		}
	}
	if _, at, confirmed := d.registry.ConfirmedConfig(); confirmed {
		current.ConfigAgeMS = (clock.Steady() - at).Milliseconds()
	}
	return current
}

func (d *Daemon) unreadMetrics() unreadMetrics {
	usage := d.relay.Buffers.Usage()
	return unreadMetrics{
		Bytes: int64(usage.Used), Limit: int64(usage.Limit), Clients: usage.Holders, Evicted: usage.Evicted, Rejected: usage.Rejected,
		ResponsesLost: d.frontend.Stats.WritesFailed.Load(), StreamsLost: d.relay.Stats.SlowClients.Load(),
	}
}

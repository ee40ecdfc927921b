package core

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/member"
	"github.com/gypsumhook/gypsum/route"
)

// errLeaving means that the daemon has begun to shut down.
var errLeaving = errors.New("daemon is leaving")

// errNotConverged means that the daemon does not know the other members yet.
var errNotConverged = errors.New("membership has not converged yet")

// tickInterval is the time between two ticks of the control goroutine.
const tickInterval = 100 * time.Millisecond

// controlLoop holds the control state of a daemon. Only the control goroutine accesses
// it; other goroutines read the immutable views that it publishes.
type controlLoop struct {
	core      *Core
	table     *member.Table
	summaries *member.Summaries
	hostList  []gypsum.Host
	backends  map[gypsum.BackendID]gypsum.Host
	// sentCounters counts the calls sent to other data centres. Its keys are "data
	// centre/service".
	sentCounters  map[string]sentCounter
	lastTick      time.Time
	lastHeartbeat time.Time
	lastGossip    time.Time
	// lastStatusChange is the time of the last status change in the data centre, other than
	// heartbeats.
	lastStatusChange time.Time
	lastRemoteGossip time.Time
	// acknowledgedVersions is the version of this daemon's status that each member of the data
	// centre has acknowledged.
	acknowledgedVersions map[gypsum.HostID]statusVersion
	// localExchangeCount counts the gossip exchanges that this daemon started within the
	// data centre.
	localExchangeCount int
	lastHostList       time.Time
	fetchingHosts      bool
	hostsFetched       bool
	startedAt          time.Time
	// viewOutdated means that the published view is out of date.
	viewOutdated bool
}

// gossipIntervalsPerSummary is the number of gossip intervals between two exchanges with other
// data centres. Within a data centre, one in gossipIntervalsPerSummary exchanges includes the
// summaries of the other data centres.
const gossipIntervalsPerSummary = 2

// remoteSuspectFactor times SuspectAfter is how long a data centre may be silent
// before it is suspect: its status travels over several hops.
const remoteSuspectFactor = 3

// recordCallFailure records that a call to a member failed.
func (l *controlLoop) recordCallFailure(id gypsum.HostID) {
	l.table.RecordCallFailure(id)
	l.summaries.RecordCallFailure(id, time.Now())
}

// mergeMembers applies members and heartbeats received from a peer. A newer status of
// a backend server includes the calls sent before it, so their count is reset.
func (l *controlLoop) mergeMembers(members []gypsum.Member, heartbeats []gypsum.MemberDigest, now time.Time) {
	updated := l.table.Merge(members, now)
	if len(updated) > 0 {
		l.lastStatusChange = now
	}
	for _, m := range append(updated, l.table.MergeHeartbeats(heartbeats, now)...) {
		for i := range m.Backends {
			l.core.trackers.tracker(m.Backends[i].ID).RecordReport()
		}
	}
}

// newControlLoop returns the state of a daemon that knows no other member.
func newControlLoop(c *Core) *controlLoop {
	summaries := member.NewSummaries(c.Self.Location.DataCentre)
	summaries.FailedAfter, summaries.SuspectAfter = c.Tuning.FailedAfter, remoteSuspectFactor*c.Tuning.SuspectAfter
	summaries.RefreshInterval = gossipIntervalsPerSummary * c.Tuning.GossipInterval
	return &controlLoop{
		core: c, table: c.newMemberTable(), summaries: summaries,
		backends: make(map[gypsum.BackendID]gypsum.Host), sentCounters: make(map[string]sentCounter), acknowledgedVersions: make(map[gypsum.HostID]statusVersion),
	}
}

// run handles updates and ticks until ctx is done.
func (l *controlLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	l.lastTick = time.Now()
	l.startedAt = l.lastTick
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case update := <-l.core.updates:
			update(l)
			l.viewOutdated = true
		case <-ticker.C:
			l.tick(ctx, time.Now())
		}
		if l.viewOutdated && len(l.core.updates) == 0 {
			l.publishView(time.Now())
		}
	}
}

// tick starts the periodic tasks that are due.
func (l *controlLoop) tick(ctx context.Context, now time.Time) {
	if now.Sub(l.lastTick) > l.core.Tuning.SuspectAfter {
		l.renewIncarnation(now)
	}
	l.lastTick = now
	l.table.RemoveExpired(now)
	l.summaries.RemoveExpired(now)
	if now.Sub(l.lastHostList) >= l.core.Tuning.HostListInterval && !l.fetchingHosts {
		l.lastHostList, l.fetchingHosts = now, true
		l.core.tasks.start(func() { l.core.fetchHosts(ctx) })
	}
	if now.Sub(l.lastHeartbeat) >= l.core.Tuning.GossipInterval {
		l.lastHeartbeat = now
		l.advanceHeartbeat(now)
	}
	if now.Sub(l.lastRemoteGossip) >= gossipIntervalsPerSummary*l.core.Tuning.GossipInterval {
		l.lastRemoteGossip = now
		l.gossipRemote(ctx)
	}
	// Peers are contacted one after another rather than at the same time, so that a
	// later one does not send what an earlier one already sent.
	if now.Sub(l.lastGossip) >= l.core.Tuning.GossipInterval/time.Duration(l.gossipFanout(now)) {
		l.lastGossip = now
		l.gossipLocal(ctx)
	}
	if l.core.configEditor.Stream.Loaded() {
		l.core.configStateMachine.PublishConfig()
	}
	l.viewOutdated = true
}

// renewIncarnation gives the daemon a new incarnation after its process was frozen:
// other daemons may have taken over its work, and its state is outdated.
func (l *controlLoop) renewIncarnation(now time.Time) {
	l.core.Logger.Warn("daemon resumed after a freeze", "for", now.Sub(l.lastTick))
	l.table.Self.Incarnation = max(l.table.Self.Incarnation+1, gypsum.Incarnation(now.UnixMilli()))
}

// markLeaving marks the daemon's own entry as leaving.
func (l *controlLoop) markLeaving() {
	l.table.Self.Leaving = true
	l.table.Self.Heartbeat++
	l.table.Self.StatusHeartbeat = l.table.Self.Heartbeat
}

// advanceHeartbeat increments the daemon's own heartbeat and updates its status.
func (l *controlLoop) advanceHeartbeat(now time.Time) {
	self := &l.table.Self
	self.Heartbeat++
	previous := *self
	self.LogUnavailable, self.Revision, self.Backends = l.core.LogUnavailable(), l.core.configRegistry.Revision(), l.core.queues.backendStatuses()
	if self.LogUnavailable != previous.LogUnavailable || self.Revision != previous.Revision || !slices.Equal(self.Backends, previous.Backends) {
		self.StatusHeartbeat = self.Heartbeat
		l.lastStatusChange = now
	}
	l.updateSummary()
}

// fetchHosts reads the platform's host list.
func (c *Core) fetchHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.Tuning.LogTimeout)
	defer cancel()
	hosts, err := c.HostList.Hosts(ctx)
	c.postUpdate(func(l *controlLoop) {
		l.fetchingHosts = false
		if err != nil {
			c.Logger.Debug("failed to read host list", "error", err)
			return
		}
		l.applyHosts(hosts)
	})
}

// applyHosts updates the state from the platform's host list.
func (l *controlLoop) applyHosts(hosts []gypsum.Host) {
	l.hostList, l.hostsFetched = hosts, true
	l.table.AddListedHosts(hosts, time.Now())
	l.backends = make(map[gypsum.BackendID]gypsum.Host, len(hosts))
	for _, host := range hosts {
		if host.Kind != gypsum.HostKindDaemon {
			l.backends[gypsum.BackendID(host.ID)] = host
		}
	}
	l.core.trackers.removeUnlisted(l.backends)
	maps.DeleteFunc(l.acknowledgedVersions, func(id gypsum.HostID, _ statusVersion) bool {
		return !slices.ContainsFunc(hosts, func(host gypsum.Host) bool { return host.ID == string(id) })
	})
}

// publishView publishes a new view and reconciles the owned queues, plans, key shards and
// weight updaters with it.
func (l *controlLoop) publishView(now time.Time) {
	l.viewOutdated = false
	view := l.buildView(now)
	l.core.view.Store(view)
	l.core.queues.reconcile(view)
	l.core.plans.reconcile(view)
	l.core.shards.reconcile(view)
	l.core.weightUpdaters.reconcile(view)
}

func (l *controlLoop) buildView(now time.Time) *View {
	view := &View{
		CreatedAt: now, Self: l.table.Self, LocalMembers: l.table.Statuses(now), RemoteSummaries: l.summaries.ReachableSummaries(now),
		Config: l.core.configRegistry.Current(), Backends: l.backends,
	}
	for i := range view.LocalMembers {
		if view.LocalMembers[i].State == gypsum.MemberAlive {
			view.LocalAlive = append(view.LocalAlive, view.LocalMembers[i].Member)
		}
	}
	view.AllAlive = append(view.AllAlive, view.LocalAlive...)
	for i := range view.RemoteSummaries {
		for _, peer := range view.RemoteSummaries[i].Members {
			view.AllAlive = append(view.AllAlive, gypsum.Member{
				ID: peer.ID, Address: peer.Address, Location: view.RemoteSummaries[i].Location, LogUnavailable: peer.LogUnavailable,
			})
		}
	}
	for _, host := range l.hostList {
		if host.Kind == gypsum.HostKindDaemon {
			view.ListedDaemons = append(view.ListedDaemons, host)
		}
	}
	view.Converged = l.isConverged(view, now)
	l.buildPools(view, now)
	return view
}

// convergenceTimeout is how long a new daemon waits to hear from the members in the
// host list.
const convergenceTimeout = 3 * time.Second

// isConverged reports whether the daemon knows the other members. Before that it could
// choose other owners than they do.
func (l *controlLoop) isConverged(view *View, now time.Time) bool {
	if !l.hostsFetched {
		return false
	}
	heardFrom := map[gypsum.DataCentre]bool{}
	for _, m := range view.AllAlive {
		heardFrom[m.Location.DataCentre] = true
	}
	unheard := 0
	for _, host := range view.ListedDaemons {
		local := host.Location.DataCentre == view.Self.Location.DataCentre
		if (local && l.table.IsUnconfirmed(gypsum.HostID(host.ID))) || !heardFrom[host.Location.DataCentre] {
			unheard++
		}
	}
	return unheard == 0 || (!l.startedAt.IsZero() && now.Sub(l.startedAt) > convergenceTimeout)
}

// buildPools sets the view's pools of backend servers whose queues are owned in the
// local data centre, and the load of each service by data centre.
func (l *controlLoop) buildPools(view *View, now time.Time) {
	view.Pools = make(map[gypsum.ServiceName]*route.Pool)
	view.DataCentres = make(map[gypsum.ServiceName][]route.DataCentre)
	if view.Config == nil {
		return
	}
	for service, backends := range l.poolBackendsByService(view) {
		var previous *route.Pool
		if published := l.core.view.Load(); published != nil {
			previous = published.Pools[service]
		}
		pool := route.NewPool(backends, previous, now)
		view.Pools[service] = pool
		slots, busy, live := pool.SlotUsage()
		newest, oldest := pool.Versions()
		view.DataCentres[service] = append(view.DataCentres[service], route.DataCentre{
			Location: view.Self.Location, Local: true, Slots: slots, Busy: busy, Live: live, NewestVersion: newest, OldestVersion: oldest,
			Sent: pool.SentCounter(),
		})
	}
	for i := range view.RemoteSummaries {
		summary := &view.RemoteSummaries[i]
		for _, load := range summary.Loads {
			view.DataCentres[load.Service] = append(view.DataCentres[load.Service], route.DataCentre{
				Location: summary.Location, Slots: load.Slots, Busy: load.Busy, Live: load.Live, NewestVersion: load.NewestVersion, OldestVersion: load.OldestVersion, Members: summary.Members,
				Sent: l.sentCounterFor(summary, load.Service),
			})
		}
	}
}

// sentCounter counts the calls for a service that were sent to a data centre after one
// of its summaries.
type sentCounter struct {
	delegate  gypsum.HostID
	heartbeat int64
	sent      *route.SentCounter
}

// sentCounterFor returns the counter for a service in the data centre of a summary. A
// new summary starts a new counter, since it includes the earlier calls.
func (l *controlLoop) sentCounterFor(summary *gypsum.DataCentreSummary, service gypsum.ServiceName) *route.SentCounter {
	key := string(summary.Location.DataCentre) + "/" + string(service)
	counter, ok := l.sentCounters[key]
	if !ok || counter.delegate != summary.Delegate || counter.heartbeat != summary.Heartbeat {
		counter = sentCounter{delegate: summary.Delegate, heartbeat: summary.Heartbeat, sent: &route.SentCounter{}}
		l.sentCounters[key] = counter
	}
	return counter.sent
}

// poolBackendsByService returns the backend servers of the local pools, by service.
func (l *controlLoop) poolBackendsByService(view *View) map[gypsum.ServiceName][]route.Backend {
	statuses := make(map[gypsum.BackendID]gypsum.BackendStatus)
	for i := range view.LocalMembers {
		for _, status := range view.LocalMembers[i].Member.Backends {
			if view.LocalMembers[i].State == gypsum.MemberAlive || statuses[status.ID].ID == "" {
				statuses[status.ID] = status
			}
		}
	}
	members := make(map[gypsum.ServiceName][]route.Backend)
	for id, host := range l.backends {
		service, ok := view.Config.Services[host.Service]
		if !ok || service.Spec.Kind != host.Kind {
			continue
		}
		owner, ok := view.queueOwner(&host)
		if !ok || owner.Location.DataCentre != view.Self.Location.DataCentre {
			continue
		}
		status := statuses[id]
		_, drained := view.Config.Drained[id]
		members[host.Service] = append(members[host.Service], route.Backend{
			Host: host, Owner: owner, Status: status, Tracker: l.core.trackers.tracker(id),
			Closed: drained || host.Leaving || status.Leaving || status.Down || status.LoadingWeights,
		})
	}
	return members
}

// updateSummary creates a new summary of the data centre if this daemon is one of its
// delegates.
func (l *controlLoop) updateSummary() {
	view := l.core.View()
	if view == nil || !isDelegate(view) {
		return
	}
	summary := gypsum.DataCentreSummary{
		Location: l.table.Self.Location, Delegate: l.table.Self.ID,
		Incarnation: l.table.Self.Incarnation, Heartbeat: l.table.Self.Heartbeat,
	}
	for i := range view.LocalAlive {
		summary.Members = append(summary.Members, gypsum.RemoteMember{
			ID: view.LocalAlive[i].ID, Address: view.LocalAlive[i].Address, LogUnavailable: view.LocalAlive[i].LogUnavailable,
		})
	}
	summary.MembersHash = member.MembersHash(summary.Members)
	for service, pool := range view.Pools {
		slots, busy, live := pool.SlotUsage()
		newest, oldest := pool.Versions()
		summary.Loads = append(summary.Loads, gypsum.ServiceLoad{
			Service: service, Replicas: pool.OpenCount(), Slots: slots, Busy: busy, Live: live, NewestVersion: newest, OldestVersion: oldest,
		})
	}
	l.summaries.Merge([]gypsum.DataCentreSummary{summary}, time.Now())
}

// delegateCount is the number of delegates of a data centre.
const delegateCount = 2

// isDelegate reports whether this daemon is a delegate: one that exchanges gossip with
// other data centres and summarizes its own. Delegates are chosen by rendezvous
// hashing.
func isDelegate(view *View) bool {
	ownScore := gypsum.RendezvousScore("delegate", string(view.Self.ID))
	higher := 0
	alive := false
	for i := range view.LocalAlive {
		if view.LocalAlive[i].ID == view.Self.ID {
			alive = true
		} else if gypsum.RendezvousScore("delegate", string(view.LocalAlive[i].ID)) > ownScore {
			higher++
		}
	}
	return alive && higher < delegateCount
}

// shuffled shuffles items in place and returns them.
func shuffled[T any](items []T) []T {
	rand.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
	return items
}

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

// errLeaving is the state of a daemon that has begun to shut down.
var errLeaving = errors.New("daemon is leaving")

// errSettling is the state of a daemon that has not heard of the fleet yet.
var errSettling = errors.New("daemon has not heard of the fleet yet")

// tickInterval is the time between two rounds of the control goroutine.
const tickInterval = 100 * time.Millisecond

// control is the control state of a daemon. One goroutine owns it and
// publishes immutable views.
type control struct {
	node       *Node
	table      *member.Table
	summaries  *member.Summaries
	listed     []gypsum.Host
	backends   map[gypsum.BackendID]gypsum.Host
	sent       map[string]sentCount
	lastTick   time.Time
	lastBeat   time.Time
	lastGossip time.Time
	// LastNews is when more than a beat last changed in the data centre.
	lastNews time.Time
	lastFar  time.Time
	told     map[gypsum.HostID]telling
	// Asked counts the members of the own data centre that were asked for news.
	asked    int
	lastList time.Time
	listing  bool
	listRead bool
	begun    time.Time
	dirty    bool
}

// summaryRounds is how many intervals pass between two exchanges with another data
// centre, and one in how many exchanges within a data centre the summaries of
// the others are part of.
const summaryRounds = 2

// centreSilence is how many times longer than a member a data centre may be
// silent: its news takes several hops.
const centreSilence = 3

// failed notes that a call to a member failed.
func (c *control) failed(id gypsum.HostID) {
	c.table.Failed(id)
	c.summaries.Failed(id, time.Now())
}

// merge takes over news of members. What was sent to a backend server before its
// news is a part of it.
func (c *control) merge(members []gypsum.Member, alive []gypsum.MemberDigest, now time.Time) {
	taken := c.table.Merge(members, now)
	if len(taken) > 0 {
		c.lastNews = now
	}
	for _, member := range append(taken, c.table.Heard(alive, now)...) {
		for i := range member.Backends {
			c.node.tracked.get(member.Backends[i].ID).RecordReport()
		}
	}
}

// newControl returns the state of a daemon that knows only itself.
func newControl(n *Node) *control {
	summaries := member.NewSummaries(n.Self.Location.DataCentre)
	summaries.GoneAfter, summaries.SuspectAfter = n.Tuning.GoneAfter, centreSilence*n.Tuning.SuspectAfter
	summaries.Renewal = summaryRounds * n.Tuning.GossipInterval
	return &control{
		node: n, table: n.newTable(), summaries: summaries,
		backends: make(map[gypsum.BackendID]gypsum.Host), sent: make(map[string]sentCount), told: make(map[gypsum.HostID]telling),
	}
}

// run serves events and ticks until ctx ends.
func (c *control) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.lastTick = time.Now()
	c.begun = c.lastTick
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case update := <-c.node.events:
			update(c)
			c.dirty = true
		case <-ticker.C:
			c.tick(ctx, time.Now())
		}
		if c.dirty && len(c.node.events) == 0 {
			c.publish(time.Now())
		}
	}
}

// tick does what is due.
func (c *control) tick(ctx context.Context, now time.Time) {
	if now.Sub(c.lastTick) > c.node.Tuning.SuspectAfter {
		c.thaw(now)
	}
	c.lastTick = now
	c.table.Expire(now)
	c.summaries.Expire(now)
	if now.Sub(c.lastList) >= c.node.Tuning.ListInterval && !c.listing {
		c.lastList, c.listing = now, true
		c.node.tasks.start(func() { c.node.fetchList(ctx) })
	}
	if now.Sub(c.lastBeat) >= c.node.Tuning.GossipInterval {
		c.lastBeat = now
		c.beat(now)
	}
	if now.Sub(c.lastFar) >= summaryRounds*c.node.Tuning.GossipInterval {
		c.lastFar = now
		c.spreadFar(ctx)
	}
	// Peers are asked one after another, so that none repeats another's news.
	if now.Sub(c.lastGossip) >= c.node.Tuning.GossipInterval/time.Duration(c.fanout(now)) {
		c.lastGossip = now
		c.spreadNear(ctx)
	}
	if c.node.editor.Stream.Loaded() {
		c.node.machine.Loaded()
	}
	c.dirty = true
}

// thaw makes the daemon a new incarnation after its process was frozen: others
// may have taken over its part, and its knowledge is old.
func (c *control) thaw(now time.Time) {
	c.node.Logger.Warn("daemon was frozen", "for", now.Sub(c.lastTick))
	c.table.Self.Incarnation = max(c.table.Self.Incarnation+1, gypsum.Incarnation(now.UnixMilli()))
}

// leave makes the daemon's own entry say that it leaves.
func (c *control) leave() {
	c.table.Self.Leaving = true
	c.table.Self.Heartbeat++
	c.table.Self.StatusHeartbeat = c.table.Self.Heartbeat
}

// beat renews the daemon's own entry.
func (c *control) beat(now time.Time) {
	self := &c.table.Self
	self.Heartbeat++
	known := *self
	self.LogUnreachable, self.Revision, self.Backends = c.node.LogDown(), c.node.book.Revision(), c.node.owned.news()
	if self.LogUnreachable != known.LogUnreachable || self.Revision != known.Revision || !slices.Equal(self.Backends, known.Backends) {
		self.StatusHeartbeat = self.Heartbeat
		c.lastNews = now
	}
	c.makeSummary()
}

// fetchList asks the platform for its list of hosts.
func (n *Node) fetchList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.Tuning.LogTimeout)
	defer cancel()
	hosts, err := n.Hosts.Hosts(ctx)
	n.post(func(c *control) {
		c.listing = false
		if err != nil {
			n.Logger.Debug("host list not read", "error", err)
			return
		}
		c.takeList(hosts)
	})
}

// takeList takes over the platform's list.
func (c *control) takeList(hosts []gypsum.Host) {
	c.listed, c.listRead = hosts, true
	c.table.Seed(hosts, time.Now())
	c.backends = make(map[gypsum.BackendID]gypsum.Host, len(hosts))
	for _, host := range hosts {
		if host.Kind != gypsum.KindDaemon {
			c.backends[gypsum.BackendID(host.ID)] = host
		}
	}
	c.node.tracked.keep(c.backends)
	maps.DeleteFunc(c.told, func(id gypsum.HostID, _ telling) bool {
		return !slices.ContainsFunc(hosts, func(host gypsum.Host) bool { return host.ID == string(id) })
	})
}

// publish makes a new view and lets the daemon's parts follow it.
func (c *control) publish(now time.Time) {
	c.dirty = false
	view := c.makeView(now)
	c.node.view.Store(view)
	c.node.owned.follow(view)
	c.node.plans.follow(view)
	c.node.shards.follow(view)
	c.node.keepers.follow(view)
}

// makeView returns the present view.
func (c *control) makeView(now time.Time) *View {
	view := &View{
		Made: now, Self: c.table.Self, Members: c.table.List(now), Others: c.summaries.Others(now),
		Config: c.node.book.Current(), Backends: c.backends,
	}
	for i := range view.Members {
		if view.Members[i].State == gypsum.StateAlive {
			view.Alive = append(view.Alive, view.Members[i].Member)
		}
	}
	view.Known = append(view.Known, view.Alive...)
	for i := range view.Others {
		for _, brief := range view.Others[i].Members {
			view.Known = append(view.Known, gypsum.Member{
				ID: brief.ID, Address: brief.Address, Location: view.Others[i].Location, LogUnreachable: brief.LogUnreachable,
			})
		}
	}
	for _, host := range c.listed {
		if host.Kind == gypsum.KindDaemon {
			view.Listed = append(view.Listed, host)
		}
	}
	view.Settled = c.settled(view, now)
	c.addPools(view, now)
	return view
}

// settleTime is how long a new daemon waits for news of others that the list names.
const settleTime = 3 * time.Second

// settled tells whether the daemon has heard of the fleet, so that it gives
// the same items to the same owners as the others do.
func (c *control) settled(view *View, now time.Time) bool {
	if !c.listRead {
		return false
	}
	heard := map[gypsum.DataCentre]bool{}
	for _, known := range view.Known {
		heard[known.Location.DataCentre] = true
	}
	missing := 0
	for _, host := range view.Listed {
		near := host.Location.DataCentre == view.Self.Location.DataCentre
		if (near && c.table.Silent(gypsum.HostID(host.ID))) || !heard[host.Location.DataCentre] {
			missing++
		}
	}
	return missing == 0 || (!c.begun.IsZero() && now.Sub(c.begun) > settleTime)
}

// addPools adds the backend servers whose queues are owned in the own data
// centre, by service, and the other data centres' summaries of them.
func (c *control) addPools(view *View, now time.Time) {
	view.Pools = make(map[gypsum.ServiceName]*route.Pool)
	view.Centres = make(map[gypsum.ServiceName][]route.DataCentre)
	if view.Config == nil {
		return
	}
	for service, backends := range c.poolMembers(view) {
		var previous *route.Pool
		if old := c.node.view.Load(); old != nil {
			previous = old.Pools[service]
		}
		pool := route.NewPool(backends, previous, now)
		view.Pools[service] = pool
		slots, busy, live := pool.Load()
		newest, oldest := pool.Versions()
		view.Centres[service] = append(view.Centres[service], route.DataCentre{
			Location: view.Self.Location, Local: true, Slots: slots, Busy: busy, Live: live, NewestVersion: newest, OldestVersion: oldest,
			Sent: pool.Sent(),
		})
	}
	for i := range view.Others {
		other := &view.Others[i]
		for _, load := range other.Loads {
			view.Centres[load.Service] = append(view.Centres[load.Service], route.DataCentre{
				Location: other.Location, Slots: load.Slots, Busy: load.Busy, Live: load.Live, NewestVersion: load.NewestVersion, OldestVersion: load.OldestVersion, Members: other.Members,
				Sent: c.sentTo(other, load.Service),
			})
		}
	}
}

// sentCount counts the calls for a service sent to a data centre since a summary.
type sentCount struct {
	maker gypsum.HostID
	beat  int64
	count *route.SentCounter
}

// sentTo returns the count for a service and a data centre, which starts anew
// with each summary.
func (c *control) sentTo(other *gypsum.DataCentreSummary, service gypsum.ServiceName) *route.SentCounter {
	key := string(other.Location.DataCentre) + "/" + string(service)
	known, ok := c.sent[key]
	if !ok || known.maker != other.Delegate || known.beat != other.Heartbeat {
		known = sentCount{maker: other.Delegate, beat: other.Heartbeat, count: &route.SentCounter{}}
		c.sent[key] = known
	}
	return known.count
}

// poolMembers returns the backend servers of the own data centre's pools.
func (c *control) poolMembers(view *View) map[gypsum.ServiceName][]route.Backend {
	news := make(map[gypsum.BackendID]gypsum.BackendStatus)
	for i := range view.Members {
		for _, item := range view.Members[i].Member.Backends {
			if view.Members[i].State == gypsum.StateAlive || news[item.ID].ID == "" {
				news[item.ID] = item
			}
		}
	}
	members := make(map[gypsum.ServiceName][]route.Backend)
	for id, host := range c.backends {
		service, ok := view.Config.Services[host.Service]
		if !ok || service.Spec.Kind != host.Kind {
			continue
		}
		owner, ok := view.backendOwner(&host)
		if !ok || owner.Location.DataCentre != view.Self.Location.DataCentre {
			continue
		}
		known := news[id]
		_, drained := view.Config.Drained[id]
		members[host.Service] = append(members[host.Service], route.Backend{
			Host: host, Owner: owner, Status: known, Tracker: c.node.tracked.get(id),
			Closed: drained || host.Leaving || known.Leaving || known.Down || known.SwappingWeights,
		})
	}
	return members
}

// makeSummary makes the data centre's summary if this daemon is a delegate.
func (c *control) makeSummary() {
	view := c.node.View()
	if view == nil || !isDelegate(view) {
		return
	}
	summary := gypsum.DataCentreSummary{
		Location: c.table.Self.Location, Delegate: c.table.Self.ID,
		Incarnation: c.table.Self.Incarnation, Heartbeat: c.table.Self.Heartbeat,
	}
	for i := range view.Alive {
		summary.Members = append(summary.Members, gypsum.RemoteMember{
			ID: view.Alive[i].ID, Address: view.Alive[i].Address, LogUnreachable: view.Alive[i].LogUnreachable,
		})
	}
	summary.MembersHash = member.RosterOf(summary.Members)
	for service, pool := range view.Pools {
		slots, busy, live := pool.Load()
		newest, oldest := pool.Versions()
		summary.Loads = append(summary.Loads, gypsum.ServiceLoad{
			Service: service, Replicas: pool.OpenCount(), Slots: slots, Busy: busy, Live: live, NewestVersion: newest, OldestVersion: oldest,
		})
	}
	c.summaries.Merge([]gypsum.DataCentreSummary{summary}, time.Now())
}

// delegates is the number of daemons that speak for a data centre.
const delegates = 2

// isDelegate tells whether this daemon speaks for its data centre.
func isDelegate(view *View) bool {
	own := gypsum.RendezvousScore("delegate", string(view.Self.ID))
	higher := 0
	alive := false
	for i := range view.Alive {
		if view.Alive[i].ID == view.Self.ID {
			alive = true
		} else if gypsum.RendezvousScore("delegate", string(view.Alive[i].ID)) > own {
			higher++
		}
	}
	return alive && higher < delegates
}

// shuffled returns the items in random order.
func shuffled[T any](items []T) []T {
	rand.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
	return items
}

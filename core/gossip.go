package core

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/config"
	"github.com/gypsumhook/gypsum/member"
)

// centresPerRound bounds the data centres that a delegate asks in one round.
const centresPerRound = 3

// byteCounts counts the bytes of a daemon's exchanges.
type byteCounts struct {
	in  atomic.Int64
	out atomic.Int64
}

// ControlBytes returns the bytes of control messages received and sent.
func (c *Core) ControlBytes() (in, out int64) {
	return c.gossipBytes.in.Load(), c.gossipBytes.out.Load()
}

// addSize adds the size of a control message to a counter.
func addSize(counter *atomic.Int64, msg any) {
	body, err := cbor.Marshal(msg)
	if err == nil {
		counter.Add(int64(len(body)) + messageOverheadBytes)
	}
}

// messageOverheadBytes is about what a control message takes beside its body.
const messageOverheadBytes = 100

// roundTripGain is the weight of a new measurement in the mean of round trips.
const roundTripGain = 0.25

// roundTripTimes are the mean round trips to the data centres.
type roundTripTimes struct {
	mu    sync.Mutex
	means map[gypsum.DataCentre]time.Duration
}

// observe takes in a measured round trip.
func (r *roundTripTimes) observe(centre gypsum.DataCentre, rtt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.means == nil {
		r.means = make(map[gypsum.DataCentre]time.Duration)
	}
	mean, ok := r.means[centre]
	if !ok {
		mean = rtt
	}
	r.means[centre] = mean + time.Duration(roundTripGain*float64(rtt-mean))
}

// estimate returns the mean round trip to a data centre, 0 if it is not known.
func (r *roundTripTimes) estimate(centre gypsum.DataCentre) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.means[centre]
}

// gossipLocal asks a member of the own data centre for news.
func (l *controlLoop) gossipLocal(ctx context.Context) {
	l.gossipWith(ctx, l.localTarget(l.core.View()))
}

// gossipRemote asks other data centres for news if this daemon is a delegate, or
// has heard of none.
func (l *controlLoop) gossipRemote(ctx context.Context) {
	view := l.core.View()
	if isDelegate(view) || len(view.RemoteSummaries) == 0 {
		l.gossipWith(ctx, l.remoteTargets(view))
	}
}

// gossipWith asks members for news.
func (l *controlLoop) gossipWith(ctx context.Context, targets []gypsum.Member) {
	for _, target := range targets {
		gossip, sent := l.newGossip(&target), l.statusVersionFor(&target)
		l.core.tasks.start(func() { l.core.exchangeGossip(ctx, target, gossip, sent) })
	}
}

// fanout returns how many members of the data centre are asked in an interval:
// one if there is nothing to tell but signs of life, which go both ways.
func (l *controlLoop) fanout(now time.Time) int {
	peers := len(l.core.View().LocalMembers) - 1
	if now.Sub(l.lastChange) > l.core.Tuning.GossipInterval {
		return 1
	}
	return max(1, min(l.core.Tuning.GossipFanout, peers))
}

// localTarget returns a member of the own data centre, at random.
func (l *controlLoop) localTarget(view *View) []gypsum.Member {
	var targets []gypsum.Member
	for i := range view.LocalMembers {
		if status := &view.LocalMembers[i]; status.Member.ID != view.Self.ID && status.State != gypsum.StateFailed {
			targets = append(targets, status.Member)
		}
	}
	targets = shuffled(targets)
	return targets[:min(len(targets), 1)]
}

// remoteTargets returns one member each of some other data centres.
func (l *controlLoop) remoteTargets(view *View) []gypsum.Member {
	byCentre := make(map[gypsum.DataCentre][]gypsum.Member)
	for _, m := range view.AllAlive {
		byCentre[m.Location.DataCentre] = append(byCentre[m.Location.DataCentre], m)
	}
	for _, host := range view.ListedDaemons {
		if centre := host.Location.DataCentre; len(byCentre[centre]) == 0 && !host.Leaving {
			// Known only from the list: try any, one at a time.
			byCentre[centre] = append(byCentre[centre], l.listedDaemons(view, centre)...)
		}
	}
	delete(byCentre, view.Self.Location.DataCentre)
	var targets []gypsum.Member
	for _, members := range byCentre {
		targets = append(targets, shuffled(members)[0])
	}
	targets = shuffled(targets)
	return targets[:min(len(targets), centresPerRound)]
}

// listedDaemons returns the daemons of a data centre in the platform's list.
func (l *controlLoop) listedDaemons(view *View, centre gypsum.DataCentre) []gypsum.Member {
	var members []gypsum.Member
	for _, host := range view.ListedDaemons {
		if host.Location.DataCentre == centre && !host.Leaving {
			members = append(members, gypsum.Member{ID: gypsum.HostID(host.ID), Address: host.Address, Location: host.Location})
		}
	}
	return members
}

// statusVersion is the newest own news that a member has, as this daemon knows.
type statusVersion struct {
	target, self    gypsum.Incarnation
	statusHeartbeat int64
}

// statusVersionFor returns the present news as told to a member.
func (l *controlLoop) statusVersionFor(target *gypsum.Member) statusVersion {
	return statusVersion{target: target.Incarnation, self: l.table.Self.Incarnation, statusHeartbeat: l.table.Self.StatusHeartbeat}
}

// newGossip returns the request for news to a member.
func (l *controlLoop) newGossip(target *gypsum.Member) *gypsum.GossipRequest {
	now := time.Now()
	gossip := &gypsum.GossipRequest{Revision: l.core.config.Revision(), Crashes: l.core.crashes.list(now)}
	if centre := l.table.Self.Location.DataCentre; target.Location.DataCentre != centre {
		gossip.SenderDataCentre = centre
		gossip.Summaries = l.summaries.Digests(centre, now)
		return gossip
	}
	if l.acknowledged[target.ID] != l.statusVersionFor(target) {
		self := l.table.Self
		gossip.Self = &self
	}
	gossip.Digests = l.table.Digests(now)
	l.localExchanges++
	gossip.MembersOnly = l.localExchanges%summaryIntervals != 0
	if !gossip.MembersOnly {
		gossip.Summaries = l.summaries.Digests("", now)
	}
	return gossip
}

// exchangeGossip exchanges news with a member. The control goroutine makes the gossip and
// says what it tells.
func (c *Core) exchangeGossip(ctx context.Context, target gypsum.Member, gossip *gypsum.GossipRequest, sent statusVersion) {
	ctx, cancel := context.WithTimeout(ctx, c.Tuning.SuspectAfter)
	defer cancel()
	addSize(&c.gossipBytes.out, gossip)
	begin := time.Now()
	resp, err := c.Peers.Gossip(ctx, target, gossip)
	if err != nil {
		return
	}
	c.roundTrips.observe(target.Location.DataCentre, time.Since(begin))
	addSize(&c.gossipBytes.in, resp)
	c.adoptConfig(resp.Config)
	c.crashes.merge(resp.Crashes, time.Now())
	c.post(func(l *controlLoop) {
		if gossip.Self != nil {
			l.acknowledged[target.ID] = sent
		}
		l.mergeMembers(resp.Members, resp.Heartbeats, time.Now())
		l.summaries.Merge(resp.Summaries, time.Now())
	})
}

// adoptConfig takes over a configuration learned from a peer if it is newer.
func (c *Core) adoptConfig(body []byte) {
	if len(body) == 0 {
		return
	}
	received, err := config.Decode(body)
	if err != nil {
		c.Logger.Warn("configuration of a peer not understood", "error", err)
		return
	}
	if c.config.Offer(received) {
		c.Logger.Info("configuration learned from a peer", "revision", received.Revision)
	}
}

// HandleGossip answers a peer's request for news, and takes in the peer's own.
func (c *Core) HandleGossip(ctx context.Context, gossip *gypsum.GossipRequest) (*gypsum.GossipResponse, error) {
	addSize(&c.gossipBytes.in, gossip)
	c.crashes.merge(gossip.Crashes, time.Now())
	responses := make(chan *gypsum.GossipResponse, 1)
	c.post(func(l *controlLoop) {
		now := time.Now()
		resp := &gypsum.GossipResponse{Revision: c.config.Revision()}
		if !gossip.MembersOnly {
			resp.Summaries = l.summaries.Updates(gossip.Summaries, gossip.SenderDataCentre, now)
		}
		if gossip.Self != nil {
			l.mergeMembers([]gypsum.Member{*gossip.Self}, nil, now)
		}
		l.mergeMembers(nil, gossip.Digests, now)
		if gossip.IncludeMembers || len(gossip.Digests) > 0 {
			resp.Members, resp.Heartbeats = l.table.Updates(gossip.Digests, now)
		}
		responses <- resp
	})
	select {
	case resp := <-responses:
		resp.Crashes = c.crashes.list(time.Now())
		c.attachConfig(resp, gossip.Revision)
		addSize(&c.gossipBytes.out, resp)
		return resp, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.stopped:
		return nil, errLeaving
	}
}

// attachConfig adds the configuration to an answer if the asker's is older.
func (c *Core) attachConfig(resp *gypsum.GossipResponse, peerRevision gypsum.Revision) {
	current := c.config.Current()
	if current == nil || current.Revision <= peerRevision {
		return
	}
	body, err := config.Encode(current)
	if err != nil {
		c.Logger.Error("configuration not encoded", "error", err)
		return
	}
	resp.Config = body
}

// AllMembers returns the members of all data centres with their revisions. Data
// centres that do not answer are left out.
func (c *Core) AllMembers(ctx context.Context) []member.Status {
	view := c.View()
	fleet := append([]member.Status{}, view.LocalMembers...)
	for i := range view.RemoteSummaries {
		for _, peer := range view.RemoteSummaries[i].Members {
			target := gypsum.Member{ID: peer.ID, Address: peer.Address, Location: view.RemoteSummaries[i].Location}
			callCtx, cancel := context.WithTimeout(ctx, c.Tuning.SuspectAfter)
			resp, err := c.Peers.Gossip(callCtx, target, &gypsum.GossipRequest{Revision: view.Config.Revision, IncludeMembers: true})
			cancel()
			if err != nil {
				continue
			}
			for _, m := range resp.Members {
				fleet = append(fleet, member.Status{Member: m, State: reportedState(&m)})
			}
			break
		}
	}
	return fleet
}

// reportedState returns the state that a member's own word gives it.
func reportedState(m *gypsum.Member) gypsum.MemberState {
	if m.Leaving {
		return gypsum.StateLeaving
	}
	return gypsum.StateAlive
}

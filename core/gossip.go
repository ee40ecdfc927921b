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

// maxRemoteTargets limits the data centres that a delegate exchanges gossip with at a
// time.
const maxRemoteTargets = 3

// byteCounts counts the bytes of gossip messages received and sent.
type byteCounts struct {
	received atomic.Int64
	sent     atomic.Int64
}

// ControlBytes returns the number of bytes of gossip messages received and sent.
func (c *Core) ControlBytes() (in, out int64) {
	return c.gossipBytes.received.Load(), c.gossipBytes.sent.Load()
}

// addEncodedSize adds the size of a message to a counter.
func addEncodedSize(counter *atomic.Int64, msg any) {
	body, err := cbor.Marshal(msg)
	if err == nil {
		counter.Add(int64(len(body)) + messageOverheadBytes)
	}
}

// messageOverheadBytes is the approximate size of a message beyond its body.
const messageOverheadBytes = 100

// roundTripGain is the weight of a new measurement in the moving average of round trip
// times.
const roundTripGain = 0.25

// roundTripTimes holds the moving average of the round trip time to each data centre.
type roundTripTimes struct {
	mu               sync.Mutex
	meanByDataCentre map[gypsum.DataCentre]time.Duration
}

// recordRoundTrip adds a measured round trip time.
func (r *roundTripTimes) recordRoundTrip(dataCentre gypsum.DataCentre, rtt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.meanByDataCentre == nil {
		r.meanByDataCentre = make(map[gypsum.DataCentre]time.Duration)
	}
	mean, ok := r.meanByDataCentre[dataCentre]
	if !ok {
		mean = rtt
	}
	r.meanByDataCentre[dataCentre] = mean + time.Duration(roundTripGain*float64(rtt-mean))
}

// estimateRoundTrip returns the average round trip time to a data centre, 0 if it is unknown.
func (r *roundTripTimes) estimateRoundTrip(dataCentre gypsum.DataCentre) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.meanByDataCentre[dataCentre]
}

// gossipLocal starts a gossip exchange with a member of the local data centre.
func (l *controlLoop) gossipLocal(ctx context.Context) {
	l.gossipWith(ctx, l.randomLocalTarget(l.core.View()))
}

// gossipRemote starts gossip exchanges with other data centres if this daemon is a
// delegate or knows no other data centre.
func (l *controlLoop) gossipRemote(ctx context.Context) {
	view := l.core.View()
	if isDelegate(view) || len(view.RemoteSummaries) == 0 {
		l.gossipWith(ctx, l.remoteTargets(view))
	}
}

// gossipWith starts gossip exchanges with the targets.
func (l *controlLoop) gossipWith(ctx context.Context, targets []gypsum.Member) {
	for _, target := range targets {
		req, sent := l.newGossipRequest(&target), l.statusVersionFor(&target)
		l.core.tasks.start(func() { l.core.exchangeGossip(ctx, target, req, sent) })
	}
}

// gossipFanout returns the number of local members to exchange gossip with per interval.
// Without status changes one is enough, since heartbeats travel in both directions.
func (l *controlLoop) gossipFanout(now time.Time) int {
	peers := len(l.core.View().LocalMembers) - 1
	if now.Sub(l.lastStatusChange) > l.core.Tuning.GossipInterval {
		return 1
	}
	return max(1, min(l.core.Tuning.GossipFanout, peers))
}

// randomLocalTarget returns a random other member of the local data centre, if there is one.
func (l *controlLoop) randomLocalTarget(view *View) []gypsum.Member {
	var targets []gypsum.Member
	for i := range view.LocalMembers {
		if peer := &view.LocalMembers[i]; peer.Member.ID != view.Self.ID && peer.State != gypsum.MemberFailed {
			targets = append(targets, peer.Member)
		}
	}
	targets = shuffled(targets)
	return targets[:min(len(targets), 1)]
}

// remoteTargets returns a random member of each of up to maxRemoteTargets random other
// data centres.
func (l *controlLoop) remoteTargets(view *View) []gypsum.Member {
	byCentre := make(map[gypsum.DataCentre][]gypsum.Member)
	for _, m := range view.AllAlive {
		byCentre[m.Location.DataCentre] = append(byCentre[m.Location.DataCentre], m)
	}
	for _, host := range view.ListedDaemons {
		if dataCentre := host.Location.DataCentre; len(byCentre[dataCentre]) == 0 && !host.Leaving {
			// No member of this data centre is known, only its entries in the host
			// list.
			byCentre[dataCentre] = append(byCentre[dataCentre], l.listedDaemons(view, dataCentre)...)
		}
	}
	delete(byCentre, view.Self.Location.DataCentre)
	var targets []gypsum.Member
	for _, members := range byCentre {
		targets = append(targets, shuffled(members)[0])
	}
	targets = shuffled(targets)
	return targets[:min(len(targets), maxRemoteTargets)]
}

// listedDaemons returns the daemons of a data centre in the platform's host list.
func (l *controlLoop) listedDaemons(view *View, dataCentre gypsum.DataCentre) []gypsum.Member {
	var members []gypsum.Member
	for _, host := range view.ListedDaemons {
		if host.Location.DataCentre == dataCentre && !host.Leaving {
			members = append(members, gypsum.Member{ID: gypsum.HostID(host.ID), Address: host.Address, Location: host.Location})
		}
	}
	return members
}

// statusVersion identifies the status of this daemon that was sent to a member, by the
// incarnations of both and the heartbeat of the last status change.
type statusVersion struct {
	targetIncarnation, ownIncarnation gypsum.Incarnation
	statusHeartbeat                   int64
}

// statusVersionFor returns the version of this daemon's current status as sent to a
// member.
func (l *controlLoop) statusVersionFor(target *gypsum.Member) statusVersion {
	return statusVersion{targetIncarnation: target.Incarnation, ownIncarnation: l.table.Self.Incarnation, statusHeartbeat: l.table.Self.StatusHeartbeat}
}

// newGossipRequest returns the gossip request for a member. It includes this daemon's
// status only if the member is in the same data centre and has not acknowledged it yet.
func (l *controlLoop) newGossipRequest(target *gypsum.Member) *gypsum.GossipRequest {
	now := time.Now()
	req := &gypsum.GossipRequest{Revision: l.core.configRegistry.Revision(), CrashCounts: l.core.crashTracker.allCounts(now)}
	if dataCentre := l.table.Self.Location.DataCentre; target.Location.DataCentre != dataCentre {
		req.SenderDataCentre = dataCentre
		req.Summaries = l.summaries.Digests(dataCentre, now)
		return req
	}
	if l.acknowledgedVersions[target.ID] != l.statusVersionFor(target) {
		self := l.table.Self
		req.Self = &self
	}
	req.Digests = l.table.Digests(now)
	l.localExchangeCount++
	req.MembersOnly = l.localExchangeCount%gossipIntervalsPerSummary != 0
	if !req.MembersOnly {
		req.Summaries = l.summaries.Digests("", now)
	}
	return req
}

// exchangeGossip sends a gossip request and applies the response. The request and the
// status version sent with it come from the control goroutine.
func (c *Core) exchangeGossip(ctx context.Context, target gypsum.Member, req *gypsum.GossipRequest, sent statusVersion) {
	ctx, cancel := context.WithTimeout(ctx, c.Tuning.SuspectAfter)
	defer cancel()
	addEncodedSize(&c.gossipBytes.sent, req)
	begin := time.Now()
	resp, err := c.Peers.Gossip(ctx, target, req)
	if err != nil {
		return
	}
	c.roundTrips.recordRoundTrip(target.Location.DataCentre, time.Since(begin))
	addEncodedSize(&c.gossipBytes.received, resp)
	c.adoptConfig(resp.Config)
	c.crashTracker.mergeCounts(resp.CrashCounts, time.Now())
	c.postUpdate(func(l *controlLoop) {
		if req.Self != nil {
			l.acknowledgedVersions[target.ID] = sent
		}
		l.mergeMembers(resp.Members, resp.Heartbeats, time.Now())
		l.summaries.Merge(resp.Summaries, time.Now())
	})
}

// adoptConfig adopts a configuration received from a peer if it is newer.
func (c *Core) adoptConfig(body []byte) {
	if len(body) == 0 {
		return
	}
	received, err := config.Decode(body)
	if err != nil {
		c.Logger.Warn("failed to decode configuration received from peer", "error", err)
		return
	}
	if c.configRegistry.StoreIfNewer(received) {
		c.Logger.Info("configuration received from peer", "revision", received.Revision)
	}
}

// HandleGossip implements gypsum.PeerServer: it applies the peer's status and returns
// what the peer lacks.
func (c *Core) HandleGossip(ctx context.Context, req *gypsum.GossipRequest) (*gypsum.GossipResponse, error) {
	addEncodedSize(&c.gossipBytes.received, req)
	c.crashTracker.mergeCounts(req.CrashCounts, time.Now())
	responses := make(chan *gypsum.GossipResponse, 1)
	c.postUpdate(func(l *controlLoop) {
		now := time.Now()
		resp := &gypsum.GossipResponse{Revision: c.configRegistry.Revision()}
		if !req.MembersOnly {
			resp.Summaries = l.summaries.Updates(req.Summaries, req.SenderDataCentre, now)
		}
		if req.Self != nil {
			l.mergeMembers([]gypsum.Member{*req.Self}, nil, now)
		}
		l.mergeMembers(nil, req.Digests, now)
		if req.IncludeMembers || len(req.Digests) > 0 {
			resp.Members, resp.Heartbeats = l.table.Updates(req.Digests, now)
		}
		responses <- resp
	})
	select {
	case resp := <-responses:
		resp.CrashCounts = c.crashTracker.allCounts(time.Now())
		c.attachConfig(resp, req.Revision)
		addEncodedSize(&c.gossipBytes.sent, resp)
		return resp, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.stopped:
		return nil, errLeaving
	}
}

// attachConfig adds the configuration to a response if the peer's revision is older.
func (c *Core) attachConfig(resp *gypsum.GossipResponse, peerRevision gypsum.Revision) {
	current := c.configRegistry.Current()
	if current == nil || current.Revision <= peerRevision {
		return
	}
	body, err := config.Encode(current)
	if err != nil {
		c.Logger.Error("failed to encode configuration for peer", "error", err)
		return
	}
	resp.Config = body
}

// AllMembers returns the members of all data centres with their config revisions. It
// asks the members of each other data centre until one responds, and omits data centres
// of which none does. It must not be called before the first configuration is received.
func (c *Core) AllMembers(ctx context.Context) []member.Status {
	view := c.View()
	members := append([]member.Status{}, view.LocalMembers...)
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
				members = append(members, member.Status{Member: m, State: reportedState(&m)})
			}
			break
		}
	}
	return members
}

// reportedState returns the state that a member reports of itself.
func reportedState(m *gypsum.Member) gypsum.MemberState {
	if m.Leaving {
		return gypsum.MemberLeaving
	}
	return gypsum.MemberAlive
}

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

// gossipCounts counts the bytes of a daemon's exchanges.
type gossipCounts struct {
	in  atomic.Int64
	out atomic.Int64
}

// ControlBytes returns the bytes of control messages received and sent.
func (n *Node) ControlBytes() (in, out int64) {
	return n.gossip.in.Load(), n.gossip.out.Load()
}

// count adds the size of a control message to a counter.
func count(counter *atomic.Int64, message any) {
	body, err := cbor.Marshal(message)
	if err == nil {
		counter.Add(int64(len(body)) + messageOverhead)
	}
}

// messageOverhead is about what a control message takes beside its body.
const messageOverhead = 100

// tripGain is the weight of a new measurement in the mean of round trips.
const tripGain = 0.25

// roundTrips are the mean round trips to the data centres.
type roundTrips struct {
	mu   sync.Mutex
	mean map[gypsum.DataCentre]time.Duration
}

// learn takes in a measured round trip.
func (r *roundTrips) learn(centre gypsum.DataCentre, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mean == nil {
		r.mean = make(map[gypsum.DataCentre]time.Duration)
	}
	mean, ok := r.mean[centre]
	if !ok {
		mean = took
	}
	r.mean[centre] = mean + time.Duration(tripGain*float64(took-mean))
}

// to returns the mean round trip to a data centre, 0 if it is not known.
func (r *roundTrips) to(centre gypsum.DataCentre) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mean[centre]
}

// spreadNear asks a member of the own data centre for news.
func (c *control) spreadNear(ctx context.Context) {
	c.askAll(ctx, c.near(c.node.View()))
}

// spreadFar asks other data centres for news if this daemon is a delegate, or
// has heard of none.
func (c *control) spreadFar(ctx context.Context) {
	view := c.node.View()
	if isDelegate(view) || len(view.Others) == 0 {
		c.askAll(ctx, c.far(view))
	}
}

// askAll asks members for news.
func (c *control) askAll(ctx context.Context, targets []gypsum.Member) {
	for _, target := range targets {
		gossip, tells := c.gossipFor(&target), c.tellingTo(&target)
		c.node.tasks.start(func() { c.node.ask(ctx, target, gossip, tells) })
	}
}

// fanout returns how many members of the data centre are asked in an interval:
// one if there is nothing to tell but signs of life, which go both ways.
func (c *control) fanout(now time.Time) int {
	others := len(c.node.View().Members) - 1
	if now.Sub(c.lastNews) > c.node.Tuning.GossipInterval {
		return 1
	}
	return max(1, min(c.node.Tuning.GossipFanout, others))
}

// near returns a member of the own data centre, at random.
func (c *control) near(view *View) []gypsum.Member {
	var targets []gypsum.Member
	for i := range view.Members {
		if status := &view.Members[i]; status.Member.ID != view.Self.ID && status.State != gypsum.StateFailed {
			targets = append(targets, status.Member)
		}
	}
	targets = shuffled(targets)
	return targets[:min(len(targets), 1)]
}

// far returns one member each of some other data centres.
func (c *control) far(view *View) []gypsum.Member {
	byCentre := make(map[gypsum.DataCentre][]gypsum.Member)
	for _, known := range view.Known {
		byCentre[known.Location.DataCentre] = append(byCentre[known.Location.DataCentre], known)
	}
	for _, host := range view.Listed {
		if centre := host.Location.DataCentre; len(byCentre[centre]) == 0 && !host.Leaving {
			// Known only from the list: try any, one at a time.
			byCentre[centre] = append(byCentre[centre], c.listedIn(view, centre)...)
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

// listedIn returns the daemons of a data centre in the platform's list.
func (c *control) listedIn(view *View, centre gypsum.DataCentre) []gypsum.Member {
	var members []gypsum.Member
	for _, host := range view.Listed {
		if host.Location.DataCentre == centre && !host.Leaving {
			members = append(members, gypsum.Member{ID: gypsum.HostID(host.ID), Address: host.Address, Location: host.Location})
		}
	}
	return members
}

// telling is the newest own news that a member has, as this daemon knows.
type telling struct {
	to, own  gypsum.Incarnation
	newsBeat int64
}

// tellingTo returns the present news as told to a member.
func (c *control) tellingTo(target *gypsum.Member) telling {
	return telling{to: target.Incarnation, own: c.table.Self.Incarnation, newsBeat: c.table.Self.StatusHeartbeat}
}

// gossipFor returns the request for news to a member.
func (c *control) gossipFor(target *gypsum.Member) *gypsum.GossipRequest {
	now := time.Now()
	gossip := &gypsum.GossipRequest{Revision: c.node.book.Revision(), Crashes: c.node.crashes.list(now)}
	if centre := c.table.Self.Location.DataCentre; target.Location.DataCentre != centre {
		gossip.SenderDataCentre = centre
		gossip.Summaries = c.summaries.Digests(centre, now)
		return gossip
	}
	if c.told[target.ID] != c.tellingTo(target) {
		self := c.table.Self
		gossip.Self = &self
	}
	gossip.Digests = c.table.Digests(now)
	c.asked++
	gossip.MembersOnly = c.asked%summaryRounds != 0
	if !gossip.MembersOnly {
		gossip.Summaries = c.summaries.Digests("", now)
	}
	return gossip
}

// ask exchanges news with a member. The control goroutine makes the gossip and
// says what it tells.
func (n *Node) ask(ctx context.Context, target gypsum.Member, gossip *gypsum.GossipRequest, tells telling) {
	ctx, cancel := context.WithTimeout(ctx, n.Tuning.SuspectAfter)
	defer cancel()
	count(&n.gossip.out, gossip)
	begin := time.Now()
	answer, err := n.Peers.Gossip(ctx, target, gossip)
	if err != nil {
		return
	}
	n.trips.learn(target.Location.DataCentre, time.Since(begin))
	count(&n.gossip.in, answer)
	n.takeConfig(answer.Config)
	n.crashes.merge(answer.Crashes, time.Now())
	n.post(func(c *control) {
		if gossip.Self != nil {
			c.told[target.ID] = tells
		}
		c.merge(answer.Members, answer.Heartbeats, time.Now())
		c.summaries.Merge(answer.Summaries, time.Now())
	})
}

// takeConfig takes over a configuration learned from a peer if it is newer.
func (n *Node) takeConfig(body []byte) {
	if len(body) == 0 {
		return
	}
	learned, err := config.Decode(body)
	if err != nil {
		n.Logger.Warn("configuration of a peer not understood", "error", err)
		return
	}
	if n.book.Offer(learned) {
		n.Logger.Info("configuration learned from a peer", "revision", learned.Revision)
	}
}

// HandleGossip answers a peer's request for news, and takes in the peer's own.
func (n *Node) HandleGossip(ctx context.Context, gossip *gypsum.GossipRequest) (*gypsum.GossipResponse, error) {
	count(&n.gossip.in, gossip)
	n.crashes.merge(gossip.Crashes, time.Now())
	answers := make(chan *gypsum.GossipResponse, 1)
	n.post(func(c *control) {
		now := time.Now()
		answer := &gypsum.GossipResponse{Revision: n.book.Revision()}
		if !gossip.MembersOnly {
			answer.Summaries = c.summaries.Updates(gossip.Summaries, gossip.SenderDataCentre, now)
		}
		if gossip.Self != nil {
			c.merge([]gypsum.Member{*gossip.Self}, nil, now)
		}
		c.merge(nil, gossip.Digests, now)
		if gossip.IncludeMembers || len(gossip.Digests) > 0 {
			answer.Members, answer.Heartbeats = c.table.Updates(gossip.Digests, now)
		}
		answers <- answer
	})
	select {
	case answer := <-answers:
		answer.Crashes = n.crashes.list(time.Now())
		n.addConfig(answer, gossip.Revision)
		count(&n.gossip.out, answer)
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.stopped:
		return nil, errLeaving
	}
}

// addConfig adds the configuration to an answer if the asker's is older.
func (n *Node) addConfig(answer *gypsum.GossipResponse, has gypsum.Revision) {
	current := n.book.Current()
	if current == nil || current.Revision <= has {
		return
	}
	body, err := config.Encode(current)
	if err != nil {
		n.Logger.Error("configuration not encoded", "error", err)
		return
	}
	answer.Config = body
}

// Fleet returns the members of all data centres with their revisions. Data
// centres that do not answer are left out.
func (n *Node) Fleet(ctx context.Context) []member.Status {
	view := n.View()
	fleet := append([]member.Status{}, view.Members...)
	for i := range view.Others {
		for _, brief := range view.Others[i].Members {
			peer := gypsum.Member{ID: brief.ID, Address: brief.Address, Location: view.Others[i].Location}
			callCtx, cancel := context.WithTimeout(ctx, n.Tuning.SuspectAfter)
			answer, err := n.Peers.Gossip(callCtx, peer, &gypsum.GossipRequest{Revision: view.Config.Revision, IncludeMembers: true})
			cancel()
			if err != nil {
				continue
			}
			for _, found := range answer.Members {
				fleet = append(fleet, member.Status{Member: found, State: stateOf(&found)})
			}
			break
		}
	}
	return fleet
}

// stateOf returns the state that a member's own word gives it.
func stateOf(found *gypsum.Member) gypsum.MemberState {
	if found.Leaving {
		return gypsum.StateLeaving
	}
	return gypsum.StateAlive
}

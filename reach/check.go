package reach

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
)

// check checks a service and records the verdict.
func (t *Tracker) check(ctx context.Context, service gypsum.ServiceName) {
	t.Stats.Checks.Add(1)
	t.mu.Lock()
	s := t.service(service)
	number, misses, inUse, outOfReach := s.checks, s.misses, s.detour, !s.unreachableSince.IsZero()
	confirmed, unconfirmed := s.detour, (*gypsum.Peer)(nil)
	if s.unconfirmed {
		confirmed, unconfirmed, s.unconfirmed = nil, s.detour, false
	}
	t.mu.Unlock()
	verdict, detour := t.findPath(ctx, service, func() []gypsum.Peer { return t.peersToAsk(number, misses, unconfirmed) }, confirmed, outOfReach)
	unreachableSince := t.recordVerdict(ctx, service, verdict, inUse, detour)
	if ctx.Err() == nil {
		t.logVerdict(service, verdict, unreachableSince, inUse, detour)
	}
}

// recordVerdict ends a check that began while inUse was the daemon in use. It returns since when the
// service was out of reach before.
func (t *Tracker) recordVerdict(ctx context.Context, service gypsum.ServiceName, verdict Verdict, inUse, detour *gypsum.Peer) (unreachableSince time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(service)
	close(s.checked)
	s.checked = nil
	unreachableSince = s.unreachableSince
	if ctx.Err() != nil {
		return unreachableSince
	}
	s.misses++
	if verdict != VerdictNoPath {
		s.misses = 0
	}
	switch {
	case verdict == VerdictReachable:
		s.unreachableSince, s.detour = time.Time{}, nil
	case s.unreachableSince.IsZero():
		s.unreachableSince = time.Now()
	}
	// A request through the daemon in use may have failed meanwhile.
	if verdict != VerdictReachable && s.detour == inUse {
		s.detour = detour
	}
	if s.checkAgain {
		s.checkAgain, s.lastCheck = false, time.Time{}
		t.queueCheck(service, s, time.Now())
	}
	return unreachableSince
}

// logVerdict logs a change that a check has found. unreachableSince and inUse are from before the
// check.
func (t *Tracker) logVerdict(service gypsum.ServiceName, verdict Verdict, unreachableSince time.Time, inUse, detour *gypsum.Peer) {
	wasReachable := unreachableSince.IsZero()
	switch {
	case verdict == VerdictReachable && !wasReachable:
		t.Logger.Info("service is in reach again", "service", service, "unreachable_ms", time.Since(unreachableSince).Milliseconds())
	case verdict == VerdictDetour && (inUse == nil || inUse.Host != detour.Host):
		if wasReachable {
			t.Stats.OutOfReach.Add(1)
		}
		t.Logger.Warn("service is out of reach, requests go through another host", "service", service, "via", detour.Host)
	case verdict == VerdictNoPath && (wasReachable || inUse != nil):
		t.Logger.Warn("no replica of service accepts connections", "service", service)
	}
}

// findPath probes a replica of a service and, unless that succeeds at once, other replicas, and asks
// other daemons if none is known. It returns the daemon to use for VerdictDetour: the known one
// if there is one. outOfReach means that the service was out of reach before.
func (t *Tracker) findPath(ctx context.Context, service gypsum.ServiceName, choosePeers func() []gypsum.Peer, known *gypsum.Peer, outOfReach bool) (Verdict, *gypsum.Peer) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	start := time.Now()
	replicas := t.sample(service)
	if len(replicas) == 0 {
		return VerdictReachable, nil
	}
	probes := make(chan bool, len(replicas))
	t.probe(ctx, replicas[:1], probes)
	widen, silent := time.NewTimer(widenDelay), time.NewTimer(silentTime)
	defer widen.Stop()
	defer silent.Stop()
	// The questions count as one pending one until they are sent.
	evidence := Evidence{ProbesPending: len(replicas), PeersPending: 1, PeerReaches: known != nil, OutOfReach: outOfReach && known == nil}
	detour, widened := known, false
	var answers <-chan *gypsum.Peer
	for {
		firstFailed := evidence.ProbesPending < len(replicas) && !evidence.Connected
		if !widened && (firstFailed || evidence.OutOfReach || time.Since(start) >= widenDelay) {
			widened = true
			t.probe(ctx, replicas[1:], probes)
			var peers []gypsum.Peer
			if known == nil {
				peers = choosePeers()
			}
			answers, evidence.PeersPending = t.askPeers(ctx, peers, gypsum.ReachQuery{Service: service}), len(peers)
		}
		evidence.Elapsed = time.Since(start)
		if verdict := Decide(evidence); verdict != VerdictUndecided {
			return verdict, detour
		}
		select {
		case connected := <-probes:
			evidence.ProbesPending--
			evidence.Connected = evidence.Connected || connected
		case answer := <-answers:
			evidence.PeersPending--
			if answer != nil && detour == nil {
				evidence.PeerReaches, detour = true, answer
			}
		case <-widen.C:
		case <-silent.C:
		}
	}
}

// sample returns random replicas of a service.
func (t *Tracker) sample(service gypsum.ServiceName) []*gypsum.Replica {
	var ready []*gypsum.Replica
	for _, replica := range t.Registry.Current().Services[service] {
		if replica.State == gypsum.ReplicaReady {
			ready = append(ready, replica)
		}
	}
	rand.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	return ready[:min(maxProbes, len(ready))]
}

// probe connects to replicas and sends a result for each to a channel with room for all.
func (t *Tracker) probe(ctx context.Context, replicas []*gypsum.Replica, results chan<- bool) {
	for _, replica := range replicas {
		go func() {
			probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			results <- t.Prober.AcceptsConnections(probeCtx, replica)
		}()
	}
}

// peersToAsk returns the daemons that a check asks, among them the unconfirmed one unless it is nil.
func (t *Tracker) peersToAsk(number int64, misses int, unconfirmed *gypsum.Peer) []gypsum.Peer {
	now := time.Now()
	peers := slices.Clone(t.ListPeers())
	t.mu.Lock()
	peers = slices.DeleteFunc(peers, func(peer gypsum.Peer) bool { return now.Before(t.cooldowns[peer.Host]) })
	t.mu.Unlock()
	peers = PeersToAsk(peers, t.Self, t.Location, number, misses)
	if unconfirmed != nil && !slices.ContainsFunc(peers, func(peer gypsum.Peer) bool { return peer.Host == unconfirmed.Host }) {
		peers = append(peers, *unconfirmed)
	}
	return peers
}

// askPeers asks daemons whether they reach replicas. Each sends itself to the channel if it does,
// otherwise nil.
func (t *Tracker) askPeers(ctx context.Context, peers []gypsum.Peer, query gypsum.ReachQuery) <-chan *gypsum.Peer {
	answers := make(chan *gypsum.Peer, len(peers))
	for _, peer := range peers {
		go func() {
			reaches, err := t.Peers.ReplicasVia(peer.Address).Reaches(ctx, query)
			switch {
			case err != nil && ctx.Err() == nil:
				t.startCooldown(peer.Host)
				answers <- nil
			case err != nil || !reaches:
				answers <- nil
			default:
				answers <- &peer
			}
		}()
	}
	return answers
}

// startCooldown excludes a daemon that did not answer from checks for a while.
func (t *Tracker) startCooldown(host gypsum.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cooldowns[host] = time.Now().Add(peerCooldown)
}

// Package reach finds out whether this host can connect to the replicas of a service, and which
// other host can while it cannot.
package reach

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Times and limits of checks.
const (
	// probeTimeout bounds a probe of a replica, and peerTimeout a question to another daemon,
	// which may probe a replica first.
	probeTimeout = 500 * time.Millisecond
	peerTimeout  = 700 * time.Millisecond
	// silentTime is how long all probes may stay unanswered before replicas that another host
	// reaches count as out of reach here. It allows for a round trip between regions and a
	// busy host.
	silentTime = 200 * time.Millisecond
	// widenDelay is how long a check waits for its first probe before it probes further replicas
	// and asks other daemons.
	widenDelay = 80 * time.Millisecond
	// maxProbes is the number of replicas that one check probes.
	maxProbes = 3
	// minCheckInterval is the least time between two checks of a service that is in reach,
	// checkInterval the time between those of one that is not.
	minCheckInterval = 100 * time.Millisecond
	checkInterval    = 500 * time.Millisecond
	// maxOtherProbes is the number of other replicas that are probed when one may have crashed.
	// Several may have crashed at the same time.
	maxOtherProbes = 12
	// evidenceTime is how long a response shows that a service is in reach.
	evidenceTime = time.Second
	// peersPerDistance is the number of daemons at each distance that a check asks. It doubles
	// with each check that finds no path, maxWidenings times. Then the service is taken to be down:
	// few daemons are asked again, and downCheckInterval is the time between checks.
	peersPerDistance  = 2
	maxWidenings      = 3
	downCheckInterval = time.Second
	// peerCooldown is how long a daemon through which a request failed is not used.
	peerCooldown = 2 * time.Second
)

// Verdict is what a check has found out so far.
type Verdict int

// The verdicts. VerdictUndecided means that results are missing, VerdictDetour that only other
// hosts reach the service, VerdictNoPath that none that were asked does.
const (
	VerdictUndecided Verdict = iota
	VerdictReachable
	VerdictDetour
	VerdictNoPath
)

// Evidence is the results of a check so far.
type Evidence struct {
	// Connected means that a probe of a replica succeeded. ProbesPending and PeersPending are
	// the numbers of probes and questions without a result.
	Connected     bool
	ProbesPending int
	PeersPending  int
	// PeerReaches means that another host reaches the service.
	PeerReaches bool
	// OutOfReach means that the service was out of reach before, and that no other host is in use.
	// The path may have come back for all hosts at the same moment.
	OutOfReach bool
	Elapsed    time.Duration
}

// Decide returns the verdict on a check. Replicas that are down refuse or ignore connections just
// as a cut network path does, so that only another host's connection shows that the path is at
// fault. A path that is cut without a reset ignores connections for as long as a probe lasts;
// requests that arrive meanwhile are served earlier if the check does not wait for its end.
func Decide(e Evidence) Verdict {
	switch {
	case e.Connected:
		return VerdictReachable
	case e.PeerReaches && (e.ProbesPending == 0 || e.Elapsed >= silentTime || (e.OutOfReach && e.Elapsed >= widenDelay)):
		return VerdictDetour
	case e.ProbesPending == 0 && e.PeersPending == 0:
		return VerdictNoPath
	}
	return VerdictUndecided
}

// PeersToAsk returns the daemons that one check asks: some at each distance, since all hosts of a
// data centre may be cut off together. Hosts that are cut off at the same moment, and later
// checks of the same host, ask different ones. misses is the number of checks before that found
// no path: hosts ask more daemons if most hosts are cut off, and few while a service is down.
func PeersToAsk(peers []gypsum.Peer, self gypsum.HostID, local gypsum.Location, check int64, misses int) []gypsum.Peer {
	perDistance := peersPerDistance
	if misses <= maxWidenings {
		perDistance <<= misses
	}
	seed := string(self) + "/" + strconv.FormatInt(check, 10)
	byDistance := make(map[gypsum.Distance][]gypsum.Peer)
	for _, peer := range peers {
		if peer.Host != self {
			distance := peer.Location.DistanceTo(local)
			byDistance[distance] = append(byDistance[distance], peer)
		}
	}
	var chosen []gypsum.Peer
	for _, distance := range slices.Sorted(maps.Keys(byDistance)) {
		chosen = append(chosen, gypsum.RendezvousPeers(seed, byDistance[distance], perDistance)...)
	}
	return chosen
}

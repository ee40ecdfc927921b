package proxy

import (
	"cmp"
	"slices"

	"github.com/gypsumhook/gypsum"
)

// NearestPeers returns up to count of the peers, nearest first. Peers of the local data centre
// come first, since traffic between regions is limited and billed. Peers at the same
// distance are ordered pseudo-randomly by the seed: when some of the daemons lose the
// store at the same moment and send all their calls through peers, this spreads the load.
func NearestPeers(peers []gypsum.Peer, local gypsum.Location, seed string, count int) []gypsum.Peer {
	sorted := slices.Clone(peers)
	slices.SortFunc(sorted, func(a, b gypsum.Peer) int {
		return cmp.Or(
			cmp.Compare(a.Location.DistanceTo(local), b.Location.DistanceTo(local)),
			cmp.Compare(gypsum.RendezvousScore(seed, string(a.Host)), gypsum.RendezvousScore(seed, string(b.Host))),
		)
	})
	return sorted[:min(count, len(sorted))]
}

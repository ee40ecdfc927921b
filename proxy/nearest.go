package proxy

import (
	"cmp"
	"slices"

	"github.com/gypsumhook/gypsum"
)

// Nearest returns up to count of the peers to ask for help. Load: a part of the hosts
// loses the store at the same moment, and each asks others for all its calls. Those of
// the own data centre come first, since the bytes between regions are few and billed;
// among equals the order is random for each seed, so that the help is spread.
func Nearest(peers []Peer, local gypsum.Location, seed string, count int) []Peer {
	sorted := slices.Clone(peers)
	slices.SortFunc(sorted, func(a, b Peer) int {
		return cmp.Or(
			cmp.Compare(a.Location.DistanceTo(local), b.Location.DistanceTo(local)),
			cmp.Compare(gypsum.RendezvousScore(seed, string(a.Host)), gypsum.RendezvousScore(seed, string(b.Host))),
		)
	})
	return sorted[:min(count, len(sorted))]
}

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
func Nearest(peers []Peer, home gypsum.Location, seed string, count int) []Peer {
	order := slices.Clone(peers)
	slices.SortFunc(order, func(a, b Peer) int {
		return cmp.Or(
			cmp.Compare(a.Location.DistanceTo(home), b.Location.DistanceTo(home)),
			cmp.Compare(gypsum.RendezvousScore(seed, string(a.Host)), gypsum.RendezvousScore(seed, string(b.Host))),
		)
	})
	return order[:min(count, len(order))]
}

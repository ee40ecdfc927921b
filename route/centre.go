package route

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Loads from which calls are better placed elsewhere. Another region's news is
// older, and a live call refused there has lost a round trip.
const (
	fullLoad          = 1.0
	crossFullLiveLoad = 0.35
)

// Centre is a data centre that serves a service.
type Centre struct {
	Location gypsum.Location
	Own      bool
	Slots    int
	Busy     int
	Live     int
	// Newest and Oldest are the versions of the weights on the replicas.
	Newest  gypsum.WeightVersion
	Oldest  gypsum.WeightVersion
	Members []gypsum.RemoteMember
	// Sent counts the calls sent there since its news, if not nil.
	Sent *Sent
}

// Load returns the work before a call of a class, in parts of the slots.
func (c *Centre) Load(class gypsum.Class) float64 {
	live, busy := c.Live, c.Busy
	if c.Sent != nil {
		live += int(c.Sent.live.Load())
		busy += int(c.Sent.all.Load())
	}
	return gypsum.RelativeLoad(class, live, busy, c.Slots)
}

// ChooseCentre returns the centre for a call from a region: the own one while
// it has room, then one of the region, then one of another region if the
// budget allows; if none has room, the least loaded near one.
func ChooseCentre(centres []Centre, class gypsum.Class, region gypsum.Region, mayCross bool) (*Centre, string) {
	var best *Centre
	why := ""
	bestRank := 0
	for i := range centres {
		centre := &centres[i]
		if centre.Slots == 0 {
			continue
		}
		rank, rule := centreRank(centre, class, region)
		if !mayCross && (rank == rankCross || rank == rankCrossFull) {
			continue
		}
		if best == nil || rank < bestRank || (rank == bestRank && centre.Load(class) < best.Load(class)) {
			best, bestRank, why = centre, rank, rule
		}
	}
	return best, why
}

// AwayShare returns how many replicas may change their weights now in the own
// data centre, if limit may in all. With fewer than one for each data centre,
// they take turns by name; those that have reached the target are past theirs.
func AwayShare(centres []Centre, limit int, target gypsum.WeightVersion) int {
	if limit >= len(centres) {
		return limit / max(1, len(centres))
	}
	sorted := slices.SortedFunc(slices.Values(centres), func(a, b Centre) int {
		return cmp.Compare(a.Location.DataCentre, b.Location.DataCentre)
	})
	turns := 0
	for i := range sorted {
		switch {
		case sorted[i].Own:
			return 1
		case sorted[i].Oldest < target:
			turns++
		}
		if turns >= limit {
			return 0
		}
	}
	return 0
}

// Ranks of centres, the best first.
const (
	rankOwn = iota
	rankRegion
	rankCross
	rankOwnFull
	rankRegionFull
	rankCrossFull
)

// centreRank returns the rank of a centre and the rule that gives it.
func centreRank(centre *Centre, class gypsum.Class, region gypsum.Region) (int, string) {
	near := centre.Location.Region == region
	full := centre.Load(class) >= fullLoad
	if class == gypsum.ClassLive && !near {
		full = centre.Load(class) >= crossFullLiveLoad
	}
	switch {
	case centre.Own && !full:
		return rankOwn, "own_data_centre"
	case near && !full:
		return rankRegion, "own_region"
	case !full:
		return rankCross, "other_region"
	case centre.Own:
		return rankOwnFull, "own_data_centre_full"
	case near:
		return rankRegionFull, "own_region_full"
	}
	return rankCrossFull, "other_region_full"
}

// Budget bounds the bytes that a class of calls may send between regions.
type Budget struct {
	// Rate is the bytes allowed in a second, 0 for no bound.
	Rate gypsum.Bytes

	mu    sync.Mutex
	left  float64
	last  time.Time
	spent gypsum.Bytes
}

// burst is the time whose bytes may be spent at once.
const burst = 2 * time.Second

// Allows tells whether a call may cross now.
func (b *Budget) Allows(now time.Time) bool {
	if b.Rate == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.left > 0
}

// Spend counts bytes that crossed.
func (b *Budget) Spend(bytes gypsum.Bytes, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.left -= float64(bytes)
	b.spent += bytes
}

// Spent returns all bytes that have crossed.
func (b *Budget) Spent() gypsum.Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent
}

// refill adds what was earned since the last look. The caller holds mu.
func (b *Budget) refill(now time.Time) {
	full := float64(b.Rate) * burst.Seconds()
	if b.last.IsZero() {
		b.left = full
	} else {
		b.left = min(full, b.left+now.Sub(b.last).Seconds()*float64(b.Rate))
	}
	b.last = now
}

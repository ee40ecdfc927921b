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
	fullLoad           = 1.0
	remoteFullLiveLoad = 0.35
)

// DataCentre is a data centre that serves a service.
type DataCentre struct {
	Location gypsum.Location
	Local    bool
	Slots    int
	Busy     int
	Live     int
	// NewestVersion and Oldest are the versions of the weights on the replicas.
	NewestVersion gypsum.WeightVersion
	OldestVersion gypsum.WeightVersion
	Members       []gypsum.RemoteMember
	// Sent counts the calls sent there since its news, if not nil.
	Sent *SentCounter
}

// Load returns the work before a call of a class, in parts of the slots.
func (d *DataCentre) Load(class gypsum.Class) float64 {
	live, busy := d.Live, d.Busy
	if d.Sent != nil {
		live += int(d.Sent.live.Load())
		busy += int(d.Sent.total.Load())
	}
	return gypsum.RelativeLoad(class, live, busy, d.Slots)
}

// ChooseDataCentre returns the centre for a call from a region: the own one while
// it has room, then one of the region, then one of another region if the
// budget allows; if none has room, the least loaded near one.
func ChooseDataCentre(dataCentres []DataCentre, class gypsum.Class, region gypsum.Region, allowCrossRegion bool) (*DataCentre, string) {
	var best *DataCentre
	bestRule := ""
	bestRank := 0
	for i := range dataCentres {
		dataCentre := &dataCentres[i]
		if dataCentre.Slots == 0 {
			continue
		}
		rank, rule := rankOf(dataCentre, class, region)
		if !allowCrossRegion && (rank == rankRemote || rank == rankRemoteFull) {
			continue
		}
		if best == nil || rank < bestRank || (rank == bestRank && dataCentre.Load(class) < best.Load(class)) {
			best, bestRank, bestRule = dataCentre, rank, rule
		}
	}
	return best, bestRule
}

// LocalReloadLimit returns how many replicas may change their weights now in the own
// data centre, if limit may in all. With fewer than one for each data centre,
// they take turns by name; those that have reached the target are past theirs.
func LocalReloadLimit(dataCentres []DataCentre, limit int, target gypsum.WeightVersion) int {
	if limit >= len(dataCentres) {
		return limit / max(1, len(dataCentres))
	}
	sorted := slices.SortedFunc(slices.Values(dataCentres), func(a, b DataCentre) int {
		return cmp.Compare(a.Location.DataCentre, b.Location.DataCentre)
	})
	turns := 0
	for i := range sorted {
		switch {
		case sorted[i].Local:
			return 1
		case sorted[i].OldestVersion < target:
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
	rankLocal = iota
	rankRegion
	rankRemote
	rankLocalFull
	rankRegionFull
	rankRemoteFull
)

// rankOf returns the rank of a centre and the rule that gives it.
func rankOf(dataCentre *DataCentre, class gypsum.Class, region gypsum.Region) (int, string) {
	near := dataCentre.Location.Region == region
	full := dataCentre.Load(class) >= fullLoad
	if class == gypsum.ClassLive && !near {
		full = dataCentre.Load(class) >= remoteFullLiveLoad
	}
	switch {
	case dataCentre.Local && !full:
		return rankLocal, "own_data_centre"
	case near && !full:
		return rankRegion, "own_region"
	case !full:
		return rankRemote, "other_region"
	case dataCentre.Local:
		return rankLocalFull, "own_data_centre_full"
	case near:
		return rankRegionFull, "own_region_full"
	}
	return rankRemoteFull, "other_region_full"
}

// CrossRegionBudget bounds the bytes that a class of calls may send between regions.
type CrossRegionBudget struct {
	// Rate is the bytes allowed in a second, 0 for no bound.
	Rate gypsum.Bytes

	mu        sync.Mutex
	tokens    float64
	updatedAt time.Time
	spent     gypsum.Bytes
}

// burstTime is the time whose bytes may be spent at once.
const burstTime = 2 * time.Second

// Allows tells whether a call may cross now.
func (b *CrossRegionBudget) Allows(now time.Time) bool {
	if b.Rate == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens > 0
}

// Spend counts bytes that crossed.
func (b *CrossRegionBudget) Spend(bytes gypsum.Bytes, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens -= float64(bytes)
	b.spent += bytes
}

// Spent returns all bytes that have crossed.
func (b *CrossRegionBudget) Spent() gypsum.Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent
}

// refill adds what was earned since the last look. The caller holds mu.
func (b *CrossRegionBudget) refill(now time.Time) {
	full := float64(b.Rate) * burstTime.Seconds()
	if b.updatedAt.IsZero() {
		b.tokens = full
	} else {
		b.tokens = min(full, b.tokens+now.Sub(b.updatedAt).Seconds()*float64(b.Rate))
	}
	b.updatedAt = now
}

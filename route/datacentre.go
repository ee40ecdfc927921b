package route

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Loads above which calls are better placed elsewhere. The threshold for live calls to
// another region is lower: load reports from there are older, and a live call that is
// refused there has lost a round trip.
const (
	fullLoad                = 1.0
	otherRegionFullLiveLoad = 0.35
)

// DataCentre is a data centre that serves a service, with the load that is known of it.
type DataCentre struct {
	Location gypsum.Location
	Local    bool
	Slots    int
	Busy     int
	Live     int
	// NewestVersion and OldestVersion are the weight versions on the replicas, 0 if
	// unknown.
	NewestVersion gypsum.WeightVersion
	OldestVersion gypsum.WeightVersion
	Members       []gypsum.RemoteMember
	// Sent counts the calls sent there since the last load report. It may be nil.
	Sent *SentCounter
}

// Load returns the work ahead of a call of the class, relative to the number of slots.
func (d *DataCentre) Load(class gypsum.Class) float64 {
	live, busy := d.Live, d.Busy
	if d.Sent != nil {
		live += int(d.Sent.live.Load())
		busy += int(d.Sent.total.Load())
	}
	return gypsum.RelativeLoad(class, live, busy, d.Slots)
}

// ChooseDataCentre returns the data centre for a call from a region, and the rule that
// decided. It prefers the local data centre while it has capacity, then others of the
// region, then those of other regions if allowCrossRegion is set. If none has capacity,
// it prefers them in the same order for live calls; trainers' calls wait where the load is
// lowest, since otherwise all of them would wait in the local data centre while slots of
// the others are free. Of equally preferred data centres, it returns the least loaded. It
// returns nil if no data centre can serve the call.
func ChooseDataCentre(dataCentres []DataCentre, class gypsum.Class, region gypsum.Region, allowCrossRegion bool) (*DataCentre, string) {
	var best *DataCentre
	bestRule := ""
	bestRank := 0
	for i := range dataCentres {
		dataCentre := &dataCentres[i]
		if dataCentre.Slots == 0 {
			continue
		}
		rank, rule := dataCentreRank(dataCentre, class, region)
		if !allowCrossRegion && dataCentre.Location.Region != region {
			continue
		}
		if best == nil || rank < bestRank || (rank == bestRank && dataCentre.Load(class) < best.Load(class)) {
			best, bestRank, bestRule = dataCentre, rank, rule
		}
	}
	return best, bestRule
}

// LocalLoadLimit returns how many replicas of the local data centre may load weights now,
// if limit may do so in total. If limit is lower than the number of data centres, they
// take turns in the order of their names; a data centre whose replicas have all reached
// the target has had its turn.
func LocalLoadLimit(dataCentres []DataCentre, limit int, target gypsum.WeightVersion) int {
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

// Ranks of data centres, best first.
const (
	rankLocal = iota
	rankRegion
	rankRemote
	rankTrainerFull
	rankLocalFull
	rankRegionFull
	rankRemoteFull
)

// dataCentreRank returns the rank of a data centre and the rule that applies.
func dataCentreRank(dataCentre *DataCentre, class gypsum.Class, region gypsum.Region) (int, string) {
	near := dataCentre.Location.Region == region
	full := dataCentre.Load(class) >= fullLoad
	if class == gypsum.ClassLive && !near {
		full = dataCentre.Load(class) >= otherRegionFullLiveLoad
	}
	switch {
	case dataCentre.Local && !full:
		return rankLocal, "own_data_centre"
	case near && !full:
		return rankRegion, "own_region"
	case !full:
		return rankRemote, "other_region"
	case class != gypsum.ClassLive:
		return rankTrainerFull, "least_loaded"
	case dataCentre.Local:
		return rankLocalFull, "own_data_centre_full"
	case near:
		return rankRegionFull, "own_region_full"
	}
	return rankRemoteFull, "other_region_full"
}

// CrossRegionBudget limits the bytes per second that calls of a class send between
// regions. It is a token bucket that may be overdrawn.
type CrossRegionBudget struct {
	// Rate is the number of bytes allowed per second, 0 for no limit.
	Rate gypsum.Bytes

	mu        sync.Mutex
	tokens    float64
	updatedAt time.Time
	spent     gypsum.Bytes
}

// budgetBurstTime is the time whose bytes may be spent at once.
const budgetBurstTime = 2 * time.Second

// Allows reports whether a call may be sent to another region now.
func (b *CrossRegionBudget) Allows(now time.Time) bool {
	if b.Rate == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens > 0
}

// Spend counts bytes that were sent between regions.
func (b *CrossRegionBudget) Spend(bytes gypsum.Bytes, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens -= float64(bytes)
	b.spent += bytes
}

// Spent returns the total number of bytes counted by Spend.
func (b *CrossRegionBudget) Spent() gypsum.Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent
}

// refill adds the tokens earned since the last update. The caller holds mu.
func (b *CrossRegionBudget) refill(now time.Time) {
	full := float64(b.Rate) * budgetBurstTime.Seconds()
	if b.updatedAt.IsZero() {
		b.tokens = full
	} else {
		b.tokens = min(full, b.tokens+now.Sub(b.updatedAt).Seconds()*float64(b.Rate))
	}
	b.updatedAt = now
}

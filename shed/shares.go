package shed

import (
	"maps"
	"math"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Parameters of shares.
const (
	// shareHalfLife is the time in which the weight of past work halves. It covers a burst of
	// some seconds, and forgets it soon after.
	shareHalfLife = 10 * time.Second
	// leastShare is the part of the mean served fraction below which a group comes first. It is
	// above the promised quarter, since a group that comes first still waits for a slot.
	leastShare = 0.4
	// leastDeficit is the number of requests by which a group must be behind its least share, so
	// that a single waiting request does not count as a group that is served nothing.
	leastDeficit = 0.75
	// negligible is the count below which a group is forgotten.
	negligible = 0.01
)

// Shares counts what the groups were offered and served. It implements gypsum.WorkShares. It is
// not safe for concurrent use.
type Shares struct {
	counts          map[gypsum.WorkGroup]gypsum.ShareCount
	all, ofAccounts gypsum.ShareCount
	decayedAt       time.Time
	accounts        int
}

// NewShares returns empty counts.
func NewShares() *Shares { return &Shares{counts: make(map[gypsum.WorkGroup]gypsum.ShareCount)} }

// Serve counts work that was given a slot.
func (s *Shares) Serve(work *gypsum.Work, now time.Time) {
	s.add(work, gypsum.ShareCount{Offered: 1, Served: 1}, now)
}

// Refuse counts work that was refused. Work that still waits is not counted: it may be served
// in time.
func (s *Shares) Refuse(work *gypsum.Work, now time.Time) {
	s.add(work, gypsum.ShareCount{Offered: 1}, now)
}

// Count implements gypsum.WorkShares.
func (s *Shares) Count(group gypsum.WorkGroup) gypsum.ShareCount { return s.counts[group] }

// Total implements gypsum.WorkShares.
func (s *Shares) Total() (all, ofAccounts gypsum.ShareCount, accounts int) {
	return s.all, s.ofAccounts, s.accounts
}

// decayInterval is the least time between two decays, so that a burst does not decay the counts
// of all accounts for each request.
const decayInterval = 250 * time.Millisecond

func (s *Shares) add(work *gypsum.Work, count gypsum.ShareCount, now time.Time) {
	s.decay(now)
	s.all = sum(s.all, count)
	s.counts[work.ClassGroup()] = sum(s.counts[work.ClassGroup()], count)
	group, ok := work.AccountGroup()
	if !ok {
		return
	}
	if _, known := s.counts[group]; !known {
		s.accounts++
	}
	s.ofAccounts = sum(s.ofAccounts, count)
	s.counts[group] = sum(s.counts[group], count)
}

// decay reduces the weight of past work.
func (s *Shares) decay(now time.Time) {
	if s.decayedAt.IsZero() {
		s.decayedAt = now
	}
	elapsed := now.Sub(s.decayedAt)
	if elapsed < decayInterval {
		return
	}
	s.decayedAt = now
	factor := math.Exp2(-elapsed.Seconds() / shareHalfLife.Seconds())
	s.all, s.ofAccounts = scale(s.all, factor), scale(s.ofAccounts, factor)
	for group, count := range s.counts {
		s.counts[group] = scale(count, factor)
	}
	maps.DeleteFunc(s.counts, func(group gypsum.WorkGroup, count gypsum.ShareCount) bool {
		if count.Offered >= negligible || count.Served >= negligible {
			return false
		}
		if group.Account != "" {
			s.accounts--
		}
		return true
	})
}

func sum(a, b gypsum.ShareCount) gypsum.ShareCount {
	return gypsum.ShareCount{Offered: a.Offered + b.Offered, Served: a.Served + b.Served}
}

func scale(count gypsum.ShareCount, factor float64) gypsum.ShareCount {
	return gypsum.ShareCount{Offered: count.Offered * factor, Served: count.Served * factor}
}

// shareView is what the groups of the waiting work were served, with the work that a decision
// has placed so far. Its methods take the index of the work.
type shareView struct {
	groups []groupShare
	// classOf and accountOf are the indices of the groups of each work, -1 for none.
	classOf, accountOf []int
	all, ofAccounts    gypsum.ShareCount
	accounts           int
}

// groupShare is a group and its count.
type groupShare struct {
	group gypsum.WorkGroup
	gypsum.ShareCount
}

// newShareView returns the shares of the waiting work. It is empty if the decision does not use
// them.
func newShareView(state *gypsum.ShedState, fair bool) *shareView {
	if !fair || state.Shares == nil {
		return &shareView{}
	}
	v := &shareView{classOf: make([]int, len(state.Waiting)), accountOf: make([]int, len(state.Waiting))}
	v.all, v.ofAccounts, v.accounts = state.Shares.Total()
	indices := make(map[gypsum.WorkGroup]int, 8)
	indexOf := func(group gypsum.WorkGroup) int {
		index, ok := indices[group]
		if !ok {
			index = len(v.groups)
			indices[group] = index
			v.groups = append(v.groups, groupShare{group, state.Shares.Count(group)})
		}
		return index
	}
	for i := range state.Waiting {
		v.classOf[i], v.accountOf[i] = indexOf(state.Waiting[i].ClassGroup()), -1
		if group, ok := state.Waiting[i].AccountGroup(); ok {
			v.accountOf[i] = indexOf(group)
		}
	}
	return v
}

// deficit returns by how many requests a group of the work is behind its least share, 0 if by
// less than leastDeficit.
func (v *shareView) deficit(i int) float64 {
	if v.classOf == nil {
		return 0
	}
	deficit := v.groupDeficit(v.classOf[i])
	if v.accountOf[i] >= 0 {
		deficit = max(deficit, v.groupDeficit(v.accountOf[i]))
	}
	return deficit
}

func (v *shareView) groupDeficit(index int) float64 {
	if v.all.Offered <= 0 {
		return 0
	}
	count := v.groups[index].ShareCount
	deficit := leastShare*count.Offered*v.all.Served/v.all.Offered - count.Served
	if deficit < leastDeficit {
		return 0
	}
	return deficit
}

// accountFactor returns the factor of the rank of work whose account was served more than an
// equal share: less than 1, so that a burst of one account takes no other account's share.
func (v *shareView) accountFactor(i int) float64 {
	if v.accountOf == nil || v.accountOf[i] < 0 || v.accounts < 2 {
		return 1
	}
	equal := v.ofAccounts.Served / float64(v.accounts)
	excess := v.groups[v.accountOf[i]].Served / max(1, equal)
	if excess <= 1 {
		return 1
	}
	return 1 / (excess * excess)
}

// credit counts work that the decision has placed.
func (v *shareView) credit(i int) {
	if v.classOf == nil {
		return
	}
	one := gypsum.ShareCount{Offered: 1, Served: 1}
	v.all = sum(v.all, one)
	v.groups[v.classOf[i]].ShareCount = sum(v.groups[v.classOf[i]].ShareCount, one)
	if v.accountOf[i] >= 0 {
		v.ofAccounts = sum(v.ofAccounts, one)
		v.groups[v.accountOf[i]].ShareCount = sum(v.groups[v.accountOf[i]].ShareCount, one)
	}
}

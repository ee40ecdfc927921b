// Package scale decides how many replicas of a service are ordered from the platform in each data
// centre, and sends the orders while this daemon holds the duty.
package scale

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Centre is the state of a service in a data centre.
type Centre struct {
	// OnDemand and Reclaimable are the ready replicas of each kind, without those that leave.
	OnDemand    int
	Reclaimable int
	// Leaving are the replicas that the platform is taking away.
	Leaving int
	// Initial is the number of replicas that were not reclaimable before the first order, Ordered
	// the number that was ordered last, 0 for none, and OrderAge how long ago.
	Initial  int
	Ordered  int
	OrderAge time.Duration
	// Rejections is the number of orders rejected in a row, RejectedAge how long ago the last one
	// was.
	Rejections  int
	RejectedAge time.Duration
}

// Service is the state of a service and of its load.
type Service struct {
	Name   gypsum.ServiceName
	Config *gypsum.CapacityConfig
	// Engines means that the service runs items of batches, OpenTexts how many have no result, as
	// a moving average.
	Engines   bool
	OpenTexts float64
	// Idle means that no batch is open.
	Idle bool
	// Floor is the number of replicas before the first order, of both kinds.
	Floor   int
	Centres map[gypsum.DataCentre]Centre
}

// Figures of the decision.
const (
	// textsPerEngine is the load to which engines are added. With three texts an engine, the
	// median step of four trainers takes 5.0 s; with four 5.3 s, with seven 7.6 s (emulated).
	textsPerEngine = 3.0
	// minGrowth is the relative growth below which nothing is added, and maxGrowth the largest
	// one. All engines of a deployment cost 0.005 of a day's value.
	minGrowth = 0.1
	maxGrowth = 0.5
	// reclaimShare is the largest share of a service that a reclaim of a data centre may take.
	// Reclaimable replicas beyond it do not count as capacity.
	reclaimShare = 0.25
	// shortDelay is how long capacity must be short before more is ordered, in addition to the
	// time in which a crashed replica starts again.
	shortDelay = 4 * time.Second
	// startSlack is how much longer than stated an ordered replica may take to start, until it is
	// ordered elsewhere.
	startSlack = 6 * time.Second
	// rejectedPause is how long no replicas are ordered where there were none available. It doubles
	// with each further rejection, maxDoublings times at most: each one costs a claim for a new
	// token.
	rejectedPause = 15 * time.Second
	maxDoublings  = 4
	// idleDelay is how long a service must be idle before what was added is returned. An engine is
	// never returned while a batch is open: the platform chooses which one.
	idleDelay = 5 * time.Minute
)

// Plan decides about one service. It remembers since when capacity has been short.
type Plan struct {
	short      bool
	shortSince time.Duration
	idle       bool
	idleSince  time.Duration
}

// starting returns the number of ordered replicas of a data centre that may still be starting.
func (s *Service) starting(centre *Centre) int {
	if centre.Ordered <= centre.OnDemand || centre.OrderAge > s.Config.StartTime+startSlack {
		return 0
	}
	return centre.Ordered - centre.OnDemand
}

// Wanted returns the number of replicas that the service needs: at least those of the start, and
// more if engines have more texts than textsPerEngine.
func (s *Service) Wanted() int {
	wanted := s.Floor
	if s.Engines {
		needed := int(math.Ceil(min(s.OpenTexts/textsPerEngine, float64(s.Floor)*(1+maxGrowth))))
		if float64(needed) >= float64(s.Floor)*(1+minGrowth) {
			wanted = needed
		}
	}
	return max(wanted, len(s.Centres)*s.Config.Min)
}

// available returns the capacity that is there or starting. Of the replicas that a reclaim may take
// together only a share counts.
func (s *Service) available(wanted int) int {
	share, total := int(reclaimShare*float64(wanted)), 0
	for _, centre := range s.Centres {
		total += centre.OnDemand + s.starting(&centre) + min(centre.Reclaimable, share)
	}
	return total
}

// ordered returns the number of replicas of a data centre that the platform provides or was asked
// to provide. An order below it would return replicas.
func (s *Service) ordered(centre *Centre) int {
	return max(centre.Initial, centre.Ordered, centre.OnDemand)
}

// Decide returns the orders to send now, in a fixed order. Each of them states the total of its
// data centre, so that it may be repeated.
func (p *Plan) Decide(s *Service, now time.Duration) []gypsum.CapacityOrder {
	if s.Config.Max < 1 || len(s.Centres) == 0 || s.Floor == 0 {
		return nil
	}
	if s.Idle != p.idle {
		p.idle, p.idleSince = s.Idle, now
	}
	if p.idle && now-p.idleSince >= idleDelay {
		return s.returnAdded()
	}
	added := make(map[gypsum.DataCentre]int)
	missing, leaving := 0, false
	for name, centre := range s.Centres {
		// The minimum applies to each data centre.
		if below := s.Config.Min - centre.OnDemand - s.starting(&centre) - centre.Reclaimable; below > 0 && s.mayOrder(&centre, 0) {
			added[name] = min(below, s.Config.Max-s.ordered(&centre)-centre.Reclaimable)
			missing += added[name]
		}
		leaving = leaving || centre.Leaving > 0
	}
	wanted := s.Wanted()
	missing = max(missing, wanted-s.available(wanted))
	if missing <= 0 {
		p.short = false
		return nil
	}
	if !p.short {
		p.short, p.shortSince = true, now
	}
	if !leaving && now-p.shortSince < s.Config.StartTime+shortDelay {
		return nil
	}
	// The capacity counts as short until the orders are accepted, so that what one data centre
	// does not have is ordered in another one at once.
	for range missing - sum(added) {
		name, ok := s.nextCentre(added)
		if !ok {
			break
		}
		added[name]++
	}
	return s.orders(added)
}

// mayOrder reports whether one more replica may be ordered in a data centre, beyond those added.
func (s *Service) mayOrder(centre *Centre, added int) bool {
	paused := centre.Rejections > 0 && centre.RejectedAge < rejectedPause<<min(centre.Rejections-1, maxDoublings)
	return !paused && s.ordered(centre)+centre.Reclaimable+added < s.Config.Max
}

// nextCentre returns the data centre in which one more replica is ordered: the one with the fewest
// replicas, so that the loss of a data centre takes as little as possible, then the cheapest.
func (s *Service) nextCentre(added map[gypsum.DataCentre]int) (gypsum.DataCentre, bool) {
	best, found := gypsum.DataCentre(""), false
	for name, centre := range s.Centres {
		if s.mayOrder(&centre, added[name]) && (!found || s.comparePlaces(name, best, added) < 0) {
			best, found = name, true
		}
	}
	return best, found
}

// comparePlaces compares two data centres as places of one more replica. Without a price, a data
// centre is as cheap as the cheapest.
func (s *Service) comparePlaces(a, b gypsum.DataCentre, added map[gypsum.DataCentre]int) int {
	left, right := s.Centres[a], s.Centres[b]
	return cmp.Or(
		cmp.Compare(s.ordered(&left)+left.Reclaimable+added[a], s.ordered(&right)+right.Reclaimable+added[b]),
		cmp.Compare(s.Config.Prices[a], s.Config.Prices[b]),
		cmp.Compare(a, b),
	)
}

// sum returns the sum of the added replicas.
func sum(added map[gypsum.DataCentre]int) int {
	total := 0
	for _, count := range added {
		total += count
	}
	return total
}

// orders returns the orders for added replicas.
func (s *Service) orders(added map[gypsum.DataCentre]int) []gypsum.CapacityOrder {
	var orders []gypsum.CapacityOrder
	for name, count := range added {
		if centre := s.Centres[name]; count > 0 {
			orders = append(orders, gypsum.CapacityOrder{Service: s.Name, DataCentre: name, Replicas: s.ordered(&centre) + count})
		}
	}
	slices.SortFunc(orders, func(a, b gypsum.CapacityOrder) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return orders
}

// returnAdded returns the orders that return what was added.
func (s *Service) returnAdded() []gypsum.CapacityOrder {
	var orders []gypsum.CapacityOrder
	for name, centre := range s.Centres {
		if least := max(centre.Initial, s.Config.Min); centre.Ordered > least {
			orders = append(orders, gypsum.CapacityOrder{Service: s.Name, DataCentre: name, Replicas: least})
		}
	}
	slices.SortFunc(orders, func(a, b gypsum.CapacityOrder) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return orders
}

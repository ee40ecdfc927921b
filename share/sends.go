// Package share divides the sends to replicas that are full among client accounts, so that a burst
// of one account takes no other account's share.
package share

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

const (
	// rateWindow is the time constant of the measured request rates.
	rateWindow = time.Second
	// adjustInterval is the time between two changes of the rate of sends.
	adjustInterval = 100 * time.Millisecond
	// maxFullFraction is the fraction of requests that may find all replicas full without a decrease
	// of the rate of sends. Requests arrive irregularly, so that some do while slots are free on
	// average.
	maxFullFraction = 0.1
	// decreaseFactor and growthFactor change the rate of sends.
	decreaseFactor = 0.9
	growthFactor   = 1.05
	// floorFactor is the part of a host's share in the capacity of a service that the host may
	// always use.
	floorFactor = 0.7
	// maxGrowthIntervals bounds the growth after a pause without requests.
	maxGrowthIntervals = 10
	// endFactor is how far the rate of sends must exceed the demand for the limit to end.
	endFactor = 1.2
	// burstTime is how long an account that was idle may exceed its rate, minBurst the least number
	// of requests for that.
	burstTime = 250 * time.Millisecond
	minBurst  = 2.0
	// levelInterval is the time between two computations of the share of an account.
	levelInterval = 20 * time.Millisecond
	// minDemand is the rate in requests per second below which an account is forgotten.
	minDemand = 0.01
	// Bounds of the retry delay of a request beyond its account's share.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Sends divides the requests to services whose replicas are full. While requests are refused since
// all replicas are full, the host limits the rate of its requests to a service: less after each
// refusal, more without. The rate is divided among accounts so that all that want less than an
// equal share get what they want. The zero value is ready for use.
type Sends struct {
	mu       sync.Mutex
	services map[gypsum.ServiceName]*serviceSends
}

// serviceSends is the state of a service.
type serviceSends struct {
	accounts map[gypsum.AccountName]*accountSends
	admitted decayingRate
	// limited means that the rate of sends is limited to rate, which is at least floor.
	limited bool
	rate    float64
	floor   float64
	// sentCount and fullCount are the requests that were sent, and those that found all replicas
	// full, since adjustedAt.
	sentCount, fullCount float64
	adjustedAt           time.Time
	// level is the share of an account, in requests per second, as computed at levelAt.
	level   float64
	levelAt time.Time
}

// accountSends is the demand of an account, and the requests that it may send now.
type accountSends struct {
	demand    decayingRate
	tokens    float64
	updatedAt time.Time
}

// decayingRate is a rate of events over about rateWindow.
type decayingRate struct {
	perSecond float64
	at        time.Time
}

// value returns the rate at a time.
func (r *decayingRate) value(now time.Time) float64 {
	return r.perSecond * math.Exp(-max(0, now.Sub(r.at).Seconds())/rateWindow.Seconds())
}

// record records an event.
func (r *decayingRate) record(now time.Time) {
	r.perSecond, r.at = r.value(now)+1/rateWindow.Seconds(), now
}

// service returns the state of a service. The caller holds mu.
func (s *Sends) service(name gypsum.ServiceName) *serviceSends {
	if s.services == nil {
		s.services = make(map[gypsum.ServiceName]*serviceSends)
	}
	found := s.services[name]
	if found == nil {
		found = &serviceSends{accounts: make(map[gypsum.AccountName]*accountSends)}
		s.services[name] = found
	}
	return found
}

// Admit reports whether a request of an account may be sent to a service, and otherwise when the
// client may retry.
func (s *Sends) Admit(service gypsum.ServiceName, account gypsum.AccountName, now time.Time) (ok bool, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sends := s.service(service)
	sends.update(now)
	sender := sends.accounts[account]
	if sender == nil {
		sender = &accountSends{tokens: minBurst, updatedAt: now}
		sends.accounts[account] = sender
	}
	sender.demand.record(now)
	level := math.Inf(1)
	if sends.limited {
		level = sends.currentLevel(now)
	}
	if math.IsInf(level, 1) {
		sends.recordSent(now)
		return true, 0
	}
	sender.refill(level, now)
	if sender.tokens < 1 {
		return false, sender.wait(level)
	}
	sender.tokens--
	sends.recordSent(now)
	return true, 0
}

// Peek returns what Admit would return, and changes nothing.
func (s *Sends) Peek(service gypsum.ServiceName, account gypsum.AccountName, now time.Time) (ok bool, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sends := s.services[service]
	if sends == nil || !sends.limited || sends.accounts[account] == nil {
		return true, 0
	}
	demands := make([]float64, 0, len(sends.accounts))
	for _, sender := range sends.accounts {
		demands = append(demands, sender.demand.value(now))
	}
	level := Level(demands, sends.rate)
	if math.IsInf(level, 1) {
		return true, 0
	}
	sender := *sends.accounts[account]
	sender.refill(level, now)
	return sender.tokens >= 1, sender.wait(level)
}

// refill adds the tokens since the last time.
func (a *accountSends) refill(level float64, now time.Time) {
	a.tokens = min(max(minBurst, level*burstTime.Seconds()), a.tokens+level*max(0, now.Sub(a.updatedAt).Seconds()))
	a.updatedAt = now
}

// wait returns the retry delay of a request for which there is no token.
func (a *accountSends) wait(level float64) time.Duration {
	if a.tokens >= 1 {
		return 0
	}
	wait := time.Duration((1 - a.tokens) / max(level, minDemand) * float64(time.Second))
	return min(maxRetryAfter, max(minRetryAfter, wait))
}

// recordSent records that a request is sent.
func (s *serviceSends) recordSent(now time.Time) {
	s.admitted.record(now)
	s.sentCount++
}

// RecordFull records that a request was refused since all replicas were full. hostShare is the share
// of this host in the capacity of the service, in requests per second: a host that sends less is
// not the cause.
func (s *Sends) RecordFull(service gypsum.ServiceName, hostShare float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sends := s.service(service)
	sends.update(now)
	sends.fullCount++
	sends.floor = floorFactor * hostShare
	if sends.limited {
		return
	}
	sends.limited, sends.rate, sends.levelAt = true, max(sends.floor, sends.admitted.value(now)), time.Time{}
	for _, sender := range sends.accounts {
		sender.tokens, sender.updatedAt = minBurst, now
	}
}

// Limited returns the number of services whose sends are limited.
func (s *Sends) Limited(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	limited := 0
	for name, sends := range s.services {
		sends.update(now)
		switch {
		case sends.limited:
			limited++
		case len(sends.accounts) == 0:
			delete(s.services, name)
		}
	}
	return limited
}

// update adjusts the rate, ends the limit once the rate exceeds the demand, and forgets idle
// accounts.
func (s *serviceSends) update(now time.Time) {
	intervals := float64(now.Sub(s.adjustedAt)) / float64(adjustInterval)
	if intervals < 1 {
		return
	}
	isFull := s.fullCount > maxFullFraction*s.sentCount
	s.sentCount, s.fullCount, s.adjustedAt = 0, 0, now
	demand := 0.0
	for name, sender := range s.accounts {
		rate := sender.demand.value(now)
		if rate < minDemand {
			delete(s.accounts, name)
		}
		demand += rate
	}
	if !s.limited {
		return
	}
	if isFull {
		s.rate = max(s.floor, min(s.rate, s.admitted.value(now))*decreaseFactor)
	} else {
		s.rate *= math.Pow(growthFactor, min(intervals, maxGrowthIntervals))
	}
	s.limited = s.rate < endFactor*demand
}

// currentLevel returns the share of an account.
func (s *serviceSends) currentLevel(now time.Time) float64 {
	if now.Sub(s.levelAt) >= levelInterval {
		demands := make([]float64, 0, len(s.accounts))
		for _, sender := range s.accounts {
			demands = append(demands, sender.demand.value(now))
		}
		s.level, s.levelAt = Level(demands, s.rate), now
	}
	return s.level
}

// Level returns the max-min share of a capacity: the demands up to the level are met, all others get
// the level. It is infinite if the capacity meets all demands.
func Level(demands []float64, capacity float64) float64 {
	sorted := slices.Sorted(slices.Values(demands))
	for i, demand := range sorted {
		share := capacity / float64(len(sorted)-i)
		if demand > share {
			return share
		}
		capacity -= demand
	}
	return math.Inf(1)
}

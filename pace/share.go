// Package pace keeps the calls of a daemon to the platform's store within the daemon's share of
// an allowance that all daemons use together.
package pace

import "time"

// Parameters of a Share.
const (
	// assumedDaemons is the number of daemons that is assumed until their records have been read:
	// few enough that a small deployment starts without delay, while 300 daemons exceed the
	// allowance for a few hundred milliseconds only.
	assumedDaemons = 100
	// ampleFraction is the part of the allowance that one daemon may use while the allowance is
	// ample: the calls of small deployments are not paced.
	ampleFraction = 0.25
	// decrease is the factor of the rate after a refused call, and decreaseInterval the minimum time
	// between two decreases, since the calls in progress are refused for the same reason.
	decrease         = 0.6
	decreaseInterval = 200 * time.Millisecond
	// minFraction is the smallest rate relative to an equal share.
	minFraction = 0.4
	// firstIncrease is the increase of the rate per second right after a refusal, relative to an
	// equal share. The increase grows with the square of the time since then in units of calmUnit,
	// since daemons need very different rates: a few read for others.
	firstIncrease = 0.05
	calmUnit      = 10.0
	// maxIncreaseStep bounds the time for which one response increases the rate.
	maxIncreaseStep = 100 * time.Millisecond
	// maxCalmTime bounds the time since the last refusal in the increase.
	maxCalmTime = 30 * time.Second
	// burstTime is the time whose calls may be made at once, and minBurst the number of calls that
	// always may.
	burstTime = 250 * time.Millisecond
	minBurst  = 1.5
	// firstCalls is the number of calls that a daemon makes without delay after its start: the first
	// reads of its topics and of the records of the daemons.
	firstCalls = 4
	// outageTime is the time without a response after which the store counts as unavailable. Single
	// calls are lost without that.
	outageTime = time.Second
	// outageFraction is the rate during an outage relative to the rate at the start. At its end, all
	// daemons have calls to make.
	outageFraction = 0.8
	// usersChangeTime is the time without a refusal after which a daemon that begins to make calls
	// for others starts at their share.
	usersChangeTime = 5 * time.Second
	// maxPause bounds the time without calls after a refused one.
	maxPause = 400 * time.Millisecond
)

// Share is a daemon's share of an allowance of calls per second, as far as the daemon knows. Its
// rate starts from the allowance divided by the known daemons, increases while calls have to wait
// and none is refused, and decreases by a factor when the store refuses a call for its rate. The
// times are those of any clock that never steps back. Share is not safe for concurrent use.
type Share struct {
	use    Use
	random func() float64

	daemons     int
	firstCalls  int
	rate        float64
	tokens      float64
	updatedAt   time.Duration
	pausedUntil time.Duration
	increasedAt time.Duration
	decreasedAt time.Duration
	respondedAt time.Duration
	// limitedAt is the time of the last refusal or, before the first, of the start.
	limitedAt time.Duration
	limited   bool
}

// Use describes the calls that an allowance is for.
type Use struct {
	// Allowance is the number of calls per second that all daemons together may make.
	Allowance float64
	// Need is the number of calls per second that one daemon makes by itself at most.
	Need float64
	// Users is the number of daemons that make such calls at the same time, at most. 0 means all.
	Users int
}

// NewShare returns the share of an allowance. random returns numbers from 0 to 1.
func NewShare(use Use, random func() float64, now time.Duration) *Share {
	s := &Share{use: use, random: random, firstCalls: firstCalls, updatedAt: now, limitedAt: now, increasedAt: now, respondedAt: now}
	s.rate = s.startRate()
	return s
}

// equalShare returns the allowance divided by the known daemons.
func (s *Share) equalShare() float64 {
	if s.daemons == 0 {
		return s.use.Allowance / assumedDaemons
	}
	return s.use.Allowance / float64(s.daemons)
}

// usualShare returns the allowance divided by the daemons that make calls at the same time.
func (s *Share) usualShare() float64 {
	if s.use.Users == 0 {
		return s.equalShare()
	}
	return max(s.equalShare(), s.use.Allowance/float64(s.use.Users))
}

// Ample reports whether the allowance covers what all known daemons need.
func (s *Share) Ample() bool { return s.daemons > 0 && s.equalShare() >= s.use.Need }

// startRate returns the rate of a daemon that has not been refused a call.
func (s *Share) startRate() float64 {
	if s.Ample() {
		return max(s.usualShare(), s.use.Allowance*ampleFraction)
	}
	return s.usualShare()
}

// SetDaemons sets the number of known daemons, including this one.
func (s *Share) SetDaemons(count int, now time.Duration) {
	if count == s.daemons || count <= 0 {
		return
	}
	s.refill(now)
	first, wasAmple := s.daemons == 0, s.Ample()
	s.daemons = count
	if !s.limited && (first || s.Ample() != wasAmple) {
		s.rate = s.startRate()
	}
}

// SetUsers sets the number of daemons that make calls at the same time, if this daemon is one of
// them. 0 means all daemons.
func (s *Share) SetUsers(users int, now time.Duration) {
	if users == s.use.Users {
		return
	}
	s.refill(now)
	s.use.Users = users
	if !s.limited || now-s.limitedAt >= usersChangeTime {
		s.rate = max(s.rate, s.startRate())
	}
}

// Rate returns the calls per second that the daemon may make now.
func (s *Share) Rate() float64 { return s.rate }

// refill adds the calls that have become possible.
func (s *Share) refill(now time.Duration) {
	if elapsed := now - max(s.updatedAt, s.pausedUntil); elapsed > 0 {
		s.tokens += s.rate * elapsed.Seconds()
	}
	s.tokens = min(s.tokens, max(minBurst, s.rate*burstTime.Seconds()))
	s.updatedAt = now
}

// Delay returns how long the next call has to wait.
func (s *Share) Delay(now time.Duration) time.Duration {
	s.refill(now)
	if (s.tokens >= 1 || s.firstCalls > 0) && now >= s.pausedUntil {
		return 0
	}
	missing := max(0, 1-s.tokens)
	return max(0, s.pausedUntil-now) + time.Duration(missing/s.rate*float64(time.Second)) + time.Microsecond
}

// Take counts a call that is made now.
func (s *Share) Take(now time.Duration) {
	s.refill(now)
	if s.firstCalls > 0 {
		s.firstCalls--
		return
	}
	s.tokens--
}

// Succeeded records a response to a call. The rate increases if calls have been waiting for it.
func (s *Share) Succeeded(waiting bool, now time.Duration) {
	step := min(now-s.increasedAt, maxIncreaseStep).Seconds()
	s.increasedAt, s.respondedAt = now, now
	if !waiting || step <= 0 {
		return
	}
	s.refill(now)
	calm := min(now-s.limitedAt, maxCalmTime).Seconds() / calmUnit
	s.rate = min(max(s.rate, s.use.Allowance*ampleFraction), s.rate+s.usualShare()*(firstIncrease+calm*calm)*step)
}

// Limited records a call that the store refused for its rate. The next call waits for a random time,
// since all daemons are refused at the same moment.
func (s *Share) Limited(now time.Duration) {
	s.refill(now)
	if !s.limited || now-s.decreasedAt >= decreaseInterval {
		// A rate far above an equal share was none that all daemons can have.
		s.rate = max(s.equalShare()*minFraction, decrease*min(s.rate, 2*s.usualShare()))
		s.decreasedAt = now
	}
	s.limited, s.limitedAt, s.increasedAt, s.respondedAt = true, now, now, now
	s.tokens, s.firstCalls = min(s.tokens, 0.5), 0
	s.pausedUntil = max(s.pausedUntil, now+min(maxPause, time.Duration((0.5+s.random())/s.rate*float64(time.Second))))
}

// Failed records a call without a response. While the store is unavailable, a daemon retries at
// nearly the rate at which it started, so that the return of the store finds no storm of calls, and
// no daemon with much less than its share.
func (s *Share) Failed(now time.Duration) {
	s.refill(now)
	s.increasedAt = now
	if now-s.respondedAt >= outageTime {
		s.rate = outageFraction * s.startRate()
	}
}

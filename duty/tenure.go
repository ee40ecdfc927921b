// Package duty decides which daemon performs a duty towards the platform's API, and lets it make
// calls only while no other daemon may make them. A duty is claimed, renewed and released by the
// records that holders of engine services use, under a name that no service has.
package duty

import (
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// Action is what a daemon does next about a duty.
type Action int

// The actions.
const (
	// Wait means that there is nothing to do.
	Wait Action = iota
	// Claim means that the daemon appends a claim, also to get a new fencing token.
	Claim
	// Release means that the daemon appends a release.
	Release
)

// Observation is what a daemon knows of a duty at a moment. All times are those of its steady
// clock.
type Observation struct {
	Now time.Duration
	// Known means that the log has a claim of the duty. Own means that the newest one is of this
	// process and no release, SameHost that it is of this host, now or before a restart.
	Known    bool
	Own      bool
	SameHost bool
	Released bool
	Token    gypsum.Offset
	// PreviousOther means that another host held the duty before the holder.
	PreviousOther bool
	// Heard is when the newest heartbeat of the holder arrived. EarlierHeard is when that of an
	// earlier holder arrived that has not released the duty, negative if there is none.
	Heard        time.Duration
	EarlierHeard time.Duration
	// Renewals are the times at which this daemon sent those of its heartbeats that it has read
	// back since the last observation.
	Renewals []time.Duration
	// StoreHeard is when the store last responded, StoreAvailable that it responds now.
	StoreHeard     time.Duration
	StoreAvailable bool
	// ClaimDelay is how long this daemon lets others claim first.
	ClaimDelay time.Duration
	// StrongerKnown means that daemons with a large CPU share could hold the duty while this one
	// has a small one.
	StrongerKnown bool
	Leaving       bool
}

// Shares of the lease and delays of a Tenure.
const (
	// heartbeatsPerLease and silentHeartbeats determine the interval of heartbeats and the
	// silence after which a holder is replaced. A new holder makes no calls before the lease of
	// the silent one is over, so that it may claim before that.
	heartbeatsPerLease = 4
	silentHeartbeats   = 2.5
	// transitTime is how long before the end of its lease a holder stops, in addition to the
	// slack for suspensions: a call between regions on a busy host. It is at most the lease
	// divided by transitDivisor.
	transitTime    = 200 * time.Millisecond
	transitDivisor = 10
	// minCallTime is the least time that a call gets: several round trips between regions. It is
	// at most the lease divided by minCallDivisor.
	minCallTime    = 500 * time.Millisecond
	minCallDivisor = 6
	// handOverAfter is how long a holder's calls fail before it hands its duty over, and
	// claimPause how long it does not claim then. Both double with each hand-over without a
	// successful call, since all daemons may be without access.
	handOverAfter = 1500 * time.Millisecond
	claimPause    = 5 * time.Second
	maxDoublings  = 5
	// renewTokenAfter is the delay of a claim for a new token after a rejected call, and of
	// further ones.
	renewTokenAfter = 300 * time.Millisecond
	// firstStrongRelease is how long a daemon with a small CPU share holds a duty before it
	// releases it for one with a large share. The delay doubles each time.
	firstStrongRelease = 5 * time.Second
)

// Tenure decides for one daemon about one duty: when to claim and to release it, and when calls
// may be made. A holder's lease begins when it sent the newest of its heartbeats that it has read
// back while it was still the holder: whatever claim followed it in the log, another daemon waits
// for a lease after it has received that heartbeat. Set the exported fields before use.
type Tenure struct {
	// Lease is the duration of a lease. Slack is how long after the end of a suspension a host
	// may still send what it began before.
	Lease time.Duration
	Slack time.Duration
	// StartedAt is when the process started.
	StartedAt time.Duration
	// ChecksFencing means that the platform rejects a lower token after a higher one. Otherwise
	// the duty is released only when calls without a response are not executed any more.
	ChecksFencing bool

	holding   bool
	token     gypsum.Offset
	heldSince time.Duration
	renewedAt time.Duration
	// notBefore is when calls of earlier holders can no longer arrive.
	notBefore time.Duration
	// acted means that the process has made calls, lastActed when the last of them ended.
	acted     bool
	lastActed time.Duration
	calls     int
	// unknownAt is when the last call without a known outcome ended, if hasUnknown is set.
	hasUnknown bool
	unknownAt  time.Duration
	releasing  bool
	// rejected is the token that a call was rejected with, if hasRejected is set.
	rejected    gypsum.Offset
	hasRejected bool

	claimPending bool
	claimDue     time.Duration
	// unknownClaims is the number of claims that were made whose effect is not known, the first of
	// them at claimedAt.
	unknownClaims int
	claimedAt     time.Duration

	failing       bool
	failingSince  time.Duration
	handOvers     int
	claimNotEarly time.Duration
	strongDelay   time.Duration
}

// HeartbeatInterval returns the time between two heartbeats of a holder.
func HeartbeatInterval(lease time.Duration) time.Duration { return lease / heartbeatsPerLease }

// silence returns the silence after which a holder is replaced.
func (t *Tenure) silence() time.Duration {
	return time.Duration(silentHeartbeats * float64(HeartbeatInterval(t.Lease)))
}

// Observe takes note of an observation and returns what to do next. A returned Claim or Release
// must be made. ClaimEnded must be called if a claim was not made or appended no record.
func (t *Tenure) Observe(o *Observation) Action {
	if o.Known && o.Own {
		t.hold(o)
	} else {
		t.lose()
	}
	if t.holding {
		for _, sentAt := range o.Renewals {
			t.renewedAt = max(t.renewedAt, sentAt)
		}
		return t.nextOfHolder(o)
	}
	return t.nextOfOther(o)
}

// hold takes note that this daemon is the holder.
func (t *Tenure) hold(o *Observation) {
	if t.holding && t.token == o.Token {
		return
	}
	if !t.holding {
		t.notBefore, t.renewedAt, t.heldSince = 0, t.claimedAt, o.Now
		if o.EarlierHeard >= 0 {
			t.notBefore = o.EarlierHeard + t.Lease
		}
		if o.PreviousOther {
			// Records of earlier holders may have been removed from the log before this process
			// read it.
			t.notBefore = max(t.notBefore, t.StartedAt+t.Lease)
		}
		if o.PreviousOther && t.acted {
			// Otherwise this daemon, the previous holder and this daemon would act within a lease.
			t.notBefore = max(t.notBefore, t.lastActed+t.Lease)
		}
	}
	t.holding, t.token, t.releasing, t.unknownClaims, t.claimPending, t.failing = true, o.Token, false, 0, false, false
}

// lose takes note that this daemon is not the holder.
func (t *Tenure) lose() {
	t.holding, t.releasing, t.failing = false, false, false
}

// nextOfHolder returns what the holder does next.
func (t *Tenure) nextOfHolder(o *Observation) Action {
	if o.StrongerKnown && t.strongDelay == 0 {
		t.strongDelay = firstStrongRelease
	}
	if !t.releasing && o.StrongerKnown && o.StoreAvailable && o.Now-t.heldSince >= t.strongDelay {
		t.strongDelay *= 2
		t.releasing, t.claimNotEarly = true, o.Now+claimPause
	}
	switch {
	case t.releasing || o.Leaving:
		// A release ends the lease at once, so that no call may be in flight.
		t.releasing = true
		lateCalls := t.hasUnknown && !t.ChecksFencing && o.Now < t.unknownAt+t.Lease
		if t.calls == 0 && !lateCalls {
			return Release
		}
	case t.hasRejected && t.rejected == t.token:
		return t.claimAfter(o, renewTokenAfter)
	}
	return Wait
}

// nextOfOther returns what a daemon does next that is not the holder.
func (t *Tenure) nextOfOther(o *Observation) Action {
	vacant := !o.Known || o.Released || o.SameHost
	silent := o.Now-o.Heard >= t.silence() && o.StoreHeard-o.Heard >= 2*HeartbeatInterval(t.Lease)
	if o.Leaving || !o.StoreAvailable || o.Now < t.claimNotEarly || (!vacant && !silent) {
		t.claimPending = false
		return Wait
	}
	return t.claimAfter(o, o.ClaimDelay)
}

// claimAfter returns Claim once a delay is over, and again once that claim has ended.
func (t *Tenure) claimAfter(o *Observation, delay time.Duration) Action {
	if !t.claimPending {
		t.claimPending, t.claimDue = true, o.Now+delay
	}
	if o.Now < t.claimDue {
		return Wait
	}
	t.claimPending = false
	if t.unknownClaims == 0 {
		// The lease begins with the first claim whose effect is not known.
		t.claimedAt = o.Now
	}
	t.unknownClaims++
	return Claim
}

// ClaimEnded takes note that the latest claim certainly appended no record. Earlier ones may still
// take effect.
func (t *Tenure) ClaimEnded() { t.unknownClaims = max(0, t.unknownClaims-1) }

// Holding reports whether this daemon is the holder and does not give the duty up. Only its lease
// says whether it may make calls.
func (t *Tenure) Holding() bool { return t.holding && !t.releasing }

// Begin reports whether a call may be made now and, if so, until when it must have ended and its
// fencing token. The caller must call End when the call has ended.
func (t *Tenure) Begin(now time.Duration) (token gypsum.Offset, until time.Duration, ok bool) {
	until = t.renewedAt + t.Lease - t.Slack - min(transitTime, t.Lease/transitDivisor)
	if !t.Holding() || now < t.notBefore || now+min(minCallTime, t.Lease/minCallDivisor) > until || (t.hasRejected && t.rejected == t.token) {
		return 0, 0, false
	}
	t.calls++
	t.acted, t.lastActed = true, now
	return t.token, until, true
}

// End takes note of the end of a call and its error. othersKnown means that other daemons could
// hold the duty.
func (t *Tenure) End(now time.Duration, token gypsum.Offset, startedAt time.Duration, othersKnown bool, err error) {
	t.calls--
	t.lastActed = now
	if err != nil && !isRefused(err) {
		t.hasUnknown, t.unknownAt = true, now
	}
	switch {
	case err == nil:
		t.failing, t.handOvers = false, 0
	case errors.Is(err, gypsum.ErrDutyConflict):
		t.failing, t.rejected, t.hasRejected = false, token, true
	case errors.Is(err, gypsum.ErrDutyRateLimited):
		t.failing = false
	case !t.failing:
		t.failing, t.failingSince = true, startedAt
		fallthrough
	default:
		t.considerHandOver(now, othersKnown)
	}
}

// isRefused reports whether an error means that the call is not executed.
func isRefused(err error) bool {
	return errors.Is(err, gypsum.ErrDutyConflict) || errors.Is(err, gypsum.ErrDutyRateLimited) || errors.Is(err, gypsum.ErrDutyUnavailable)
}

// considerHandOver gives the duty up if calls have failed for long enough.
func (t *Tenure) considerHandOver(now time.Duration, othersKnown bool) {
	factor := time.Duration(1) << min(t.handOvers, maxDoublings)
	if !t.Holding() || !othersKnown || now-t.failingSince < handOverAfter*factor {
		return
	}
	t.handOvers++
	t.releasing, t.claimNotEarly = true, now+claimPause*factor
}

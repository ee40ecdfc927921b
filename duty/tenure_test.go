package duty_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/duty"
)

const (
	testLease = 3 * time.Second
	testSlack = 300 * time.Millisecond
)

// newTenure returns the tenure of a process that started long ago.
func newTenure() *duty.Tenure { return &duty.Tenure{Lease: testLease, Slack: testSlack} }

// observedHolder returns the observation of a daemon that holds the duty.
func observedHolder(now time.Duration, token gypsum.Offset, renewals ...time.Duration) *duty.Observation {
	return &duty.Observation{
		Now: now, Known: true, Own: true, SameHost: true, Token: token, Heard: now, EarlierHeard: -1, Renewals: renewals,
		StoreHeard: now, StoreAvailable: true,
	}
}

// observedOther returns the observation of a daemon while another one holds the duty.
func observedOther(now, heard time.Duration) *duty.Observation {
	return &duty.Observation{Now: now, Known: true, Token: 5, Heard: heard, EarlierHeard: -1, StoreHeard: now, StoreAvailable: true}
}

// claimAt makes a tenure claim a duty without a holder.
func claimAt(t *testing.T, tenure *duty.Tenure, now time.Duration) {
	t.Helper()
	if action := tenure.Observe(&duty.Observation{Now: now, EarlierHeard: -1, StoreHeard: now, StoreAvailable: true}); action != duty.Claim {
		t.Fatalf("action %d at %s instead of a claim", action, now)
	}
}

// mayCall reports whether a call may begin, and ends it.
func mayCall(tenure *duty.Tenure, now time.Duration) bool {
	token, _, ok := tenure.Begin(now)
	if ok {
		tenure.End(now, token, now, true, nil)
	}
	return ok
}

// TestLeaseEnds guards against calls after the lease: whatever happens, a holder makes no call
// that could arrive a lease after it sent the newest heartbeat that it has read back.
func TestLeaseEnds(t *testing.T) {
	is := is.New(t)
	tenure := newTenure()
	claimAt(t, tenure, 10*time.Second)
	is.True(!mayCall(tenure, 10*time.Second)) // the claim is not read back
	tenure.Observe(observedHolder(10100*time.Millisecond, 7))
	token, until, ok := tenure.Begin(10200 * time.Millisecond)
	is.True(ok)
	is.Equal(token, gypsum.Offset(7))
	is.Equal(until, 12500*time.Millisecond) // the lease without the slack and the transit time
	tenure.End(10300*time.Millisecond, token, 10200*time.Millisecond, true, nil)
	is.True(!mayCall(tenure, 12100*time.Millisecond)) // too little time is left
	tenure.Observe(observedHolder(12200*time.Millisecond, 7, 12*time.Second))
	is.True(mayCall(tenure, 12300*time.Millisecond))
	is.True(!mayCall(tenure, 20*time.Second)) // resumed after a suspension
	tenure.Observe(observedHolder(20*time.Second, 7))
	is.True(!mayCall(tenure, 20*time.Second)) // nothing was renewed since
	tenure.Observe(observedOther(20100*time.Millisecond, 20*time.Second))
	is.True(!mayCall(tenure, 20200*time.Millisecond))
}

// TestTakeover guards against a new holder that acts while calls of the silent one may arrive,
// and against one that waits longer than a lease.
func TestTakeover(t *testing.T) {
	is := is.New(t)
	tenure := newTenure()
	heard := 100 * time.Second
	is.Equal(tenure.Observe(observedOther(heard+time.Second, heard)), duty.Wait)
	claimed := heard + 2*time.Second
	is.Equal(tenure.Observe(observedOther(claimed, heard)), duty.Claim)
	observation := observedHolder(claimed+100*time.Millisecond, 9)
	observation.PreviousOther, observation.EarlierHeard = true, heard
	tenure.Observe(observation)
	is.True(!mayCall(tenure, heard+testLease-time.Millisecond))
	is.True(mayCall(tenure, heard+testLease))
}

// TestStoreOutage guards against claims by all daemons when the store responds again: the holder
// could not send heartbeats, and nobody could read them.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	tenure := newTenure()
	heard := 100 * time.Second
	observation := observedOther(heard+10*time.Second, heard)
	observation.StoreAvailable = false
	is.Equal(tenure.Observe(observation), duty.Wait)
	observation = observedOther(heard+10*time.Second, heard)
	observation.StoreHeard = heard + 500*time.Millisecond
	is.Equal(tenure.Observe(observation), duty.Wait) // the store has not responded since
	is.Equal(tenure.Observe(observedOther(heard+10*time.Second, heard)), duty.Claim)
}

// TestAlternatingHolders guards against holders that act in the order A, B, A within a lease.
func TestAlternatingHolders(t *testing.T) {
	is := is.New(t)
	tenure := newTenure()
	claimAt(t, tenure, 10*time.Second)
	tenure.Observe(observedHolder(10100*time.Millisecond, 7))
	is.True(mayCall(tenure, 10200*time.Millisecond))
	// B takes the duty that this daemon has released, acts, and releases it.
	released := observedOther(11*time.Second, 11*time.Second)
	released.Released = true
	is.Equal(tenure.Observe(released), duty.Claim)
	observation := observedHolder(11100*time.Millisecond, 12)
	observation.PreviousOther = true
	tenure.Observe(observation)
	is.True(!mayCall(tenure, 11200*time.Millisecond))
	tenure.Observe(observedHolder(13100*time.Millisecond, 12, 13*time.Second))
	is.True(!mayCall(tenure, 13199*time.Millisecond))
	is.True(mayCall(tenure, 13200*time.Millisecond))
}

// TestRestartedProcess guards against a process that takes a released duty over just after its
// start: it does not know who acted before.
func TestRestartedProcess(t *testing.T) {
	is := is.New(t)
	tenure := &duty.Tenure{Lease: testLease, Slack: testSlack, StartedAt: 50 * time.Second}
	released := observedOther(50100*time.Millisecond, 50*time.Second)
	released.Released = true
	is.Equal(tenure.Observe(released), duty.Claim)
	observation := observedHolder(50200*time.Millisecond, 12)
	observation.PreviousOther = true
	tenure.Observe(observation)
	is.True(!mayCall(tenure, 50300*time.Millisecond))
	tenure.Observe(observedHolder(53*time.Second, 12, 52900*time.Millisecond))
	is.True(mayCall(tenure, 53*time.Second))

	// The holder itself that was restarted does not wait.
	tenure = &duty.Tenure{Lease: testLease, Slack: testSlack, StartedAt: 50 * time.Second}
	earlier := observedOther(50100*time.Millisecond, 50*time.Second)
	earlier.SameHost = true
	is.Equal(tenure.Observe(earlier), duty.Claim)
	tenure.Observe(observedHolder(50200*time.Millisecond, 12))
	is.True(mayCall(tenure, 50300*time.Millisecond))
}

// TestRejectedToken guards against a second call under a token that a call was rejected with. The
// holder claims again for a new one.
func TestRejectedToken(t *testing.T) {
	is := is.New(t)
	tenure := newTenure()
	claimAt(t, tenure, 10*time.Second)
	tenure.Observe(observedHolder(10100*time.Millisecond, 7))
	token, _, ok := tenure.Begin(10200 * time.Millisecond)
	is.True(ok)
	tenure.End(10300*time.Millisecond, token, 10200*time.Millisecond, true, gypsum.ErrDutyConflict)
	is.True(!mayCall(tenure, 10400*time.Millisecond))
	is.Equal(tenure.Observe(observedHolder(10400*time.Millisecond, 7)), duty.Wait)
	is.Equal(tenure.Observe(observedHolder(10800*time.Millisecond, 7)), duty.Claim)
	is.True(!mayCall(tenure, 10850*time.Millisecond))
	tenure.Observe(observedHolder(10900*time.Millisecond, 8))
	is.True(mayCall(tenure, 10950*time.Millisecond))
}

// TestHandOver checks that a holder without access to the API gives the duty up, once no call of
// it can be executed any more, and does not claim it at once.
func TestHandOver(t *testing.T) {
	unknown := errors.New("no response")
	for _, row := range []struct {
		name          string
		err           error
		checksFencing bool
		released      time.Duration // after the last call
	}{
		{"not reached", gypsum.ErrDutyUnavailable, false, 0},
		{"no response", unknown, false, testLease},
		{"no response, tokens are checked", unknown, true, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			tenure := newTenure()
			tenure.ChecksFencing = row.checksFencing
			now := 10 * time.Second
			claimAt(t, tenure, now)
			tenure.Observe(observedHolder(now, 7))
			for range 4 {
				is.True(tenure.Holding())
				tenure.Observe(observedHolder(now, 7, now))
				token, _, ok := tenure.Begin(now)
				is.True(ok)
				tenure.End(now+400*time.Millisecond, token, now, true, row.err)
				now += 500 * time.Millisecond
			}
			is.True(!tenure.Holding())
			last := now - 100*time.Millisecond
			if row.released > 0 {
				is.Equal(tenure.Observe(observedHolder(last+row.released-time.Millisecond, 7)), duty.Wait)
			}
			is.Equal(tenure.Observe(observedHolder(last+row.released, 7)), duty.Release)
			released := observedOther(last+row.released+time.Second, now)
			released.Released = true
			is.Equal(tenure.Observe(released), duty.Wait) // others claim first
			released.Now += 5 * time.Second
			is.Equal(tenure.Observe(released), duty.Claim) // nobody did
		})
	}
}

// TestReleaseWaitsForCalls guards against a release, which lets the next holder act at once, while
// a call is in flight.
func TestReleaseWaitsForCalls(t *testing.T) {
	is := is.New(t)
	tenure := newTenure()
	claimAt(t, tenure, 10*time.Second)
	tenure.Observe(observedHolder(10100*time.Millisecond, 7))
	token, _, ok := tenure.Begin(10200 * time.Millisecond)
	is.True(ok)
	leaving := observedHolder(10300*time.Millisecond, 7)
	leaving.Leaving = true
	is.Equal(tenure.Observe(leaving), duty.Wait)
	is.True(!mayCall(tenure, 10400*time.Millisecond)) // no call begins while it leaves
	tenure.End(10500*time.Millisecond, token, 10200*time.Millisecond, true, nil)
	is.Equal(tenure.Observe(leaving), duty.Release)
}

// TestWeakHolder checks that a holder with a small CPU share releases the duty for stronger hosts,
// less often each time.
func TestWeakHolder(t *testing.T) {
	is := is.New(t)
	tenure := newTenure()
	claimAt(t, tenure, 10*time.Second)
	weak := observedHolder(10100*time.Millisecond, 7)
	weak.StrongerKnown = true
	is.Equal(tenure.Observe(weak), duty.Wait)
	weak.Now += 5 * time.Second
	is.Equal(tenure.Observe(weak), duty.Release)
	released := observedOther(25*time.Second, 15*time.Second)
	released.Released, released.SameHost = true, true
	is.Equal(tenure.Observe(released), duty.Claim)
	weak = observedHolder(25100*time.Millisecond, 9)
	weak.StrongerKnown = true
	tenure.Observe(weak)
	weak.Now += 6 * time.Second
	is.Equal(tenure.Observe(weak), duty.Wait)
	weak.Now += 5 * time.Second
	is.Equal(tenure.Observe(weak), duty.Release)
}

// TestEarlierClaimWithUnknownOutcome guards against a lease that begins with a later claim than the
// one in the log: other daemons count it from the claim that they read. A later claim that was
// certainly not appended says nothing about an earlier one.
func TestEarlierClaimWithUnknownOutcome(t *testing.T) {
	is := is.New(t)
	tenure := newTenure()
	released := func(now time.Duration) *duty.Observation {
		observation := observedOther(now, now)
		observation.Released = true
		return observation
	}
	is.Equal(tenure.Observe(released(10*time.Second)), duty.Claim) // its outcome is unknown
	is.Equal(tenure.Observe(released(11*time.Second)), duty.Claim)
	tenure.ClaimEnded()
	is.Equal(tenure.Observe(released(20*time.Second)), duty.Claim)
	tenure.Observe(observedHolder(20100*time.Millisecond, 7))
	is.True(!mayCall(tenure, 20200*time.Millisecond))
	tenure.Observe(observedHolder(20300*time.Millisecond, 7, 20200*time.Millisecond))
	is.True(mayCall(tenure, 20300*time.Millisecond))
}

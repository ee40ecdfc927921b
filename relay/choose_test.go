package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/relay"
)

// local is the location of the choosing daemon.
var local = gypsum.Location{DataCentre: "genova", Region: "liguria"}

// newCandidate returns a replica at a location.
func newCandidate(id gypsum.BackendID, dataCentre gypsum.DataCentre, region gypsum.Region) relay.Candidate {
	return relay.Candidate{Replica: &gypsum.Replica{ID: id, Slots: 6, Location: gypsum.Location{DataCentre: dataCentre, Region: region}}}
}

// The closest replica is chosen unless it is slow, busy, full or failing, and one that
// was tried only if no other is left.
func TestChooseReplica(t *testing.T) {
	is := is.New(t)
	near, next, far := newCandidate("near", "genova", "liguria"), newCandidate("next", "la-spezia", "liguria"), newCandidate("far", "chioggia", "adriatico")
	choose := func(candidates ...relay.Candidate) gypsum.BackendID {
		return relay.ChooseReplica(candidates, local, time.Second).Replica.ID
	}
	is.Equal(choose(far, next, near), gypsum.BackendID("near"))
	slow := near
	slow.Latency = 200 * time.Millisecond
	is.Equal(choose(far, next, slow), gypsum.BackendID("next")) // several times slower than one further away
	full := near
	full.InFlight, full.Latency = 6, 30*time.Millisecond
	is.Equal(choose(far, next, full), gypsum.BackendID("next")) // its next free slot is a full response time away
	failing := near
	failing.FailureRate = 0.3
	is.Equal(choose(failing, far), gypsum.BackendID("far")) // a failure costs more than the round trip
	is.Equal(choose(failing), gypsum.BackendID("near"))
	refused := near
	refused.Full = true
	is.Equal(choose(refused, far), gypsum.BackendID("far"))
	tried := near
	tried.Tried = true
	alsoFailing := far
	alsoFailing.FailureRate = 0.9
	is.Equal(choose(tried, alsoFailing), gypsum.BackendID("far")) // a failing replica is preferred to one already tried
	is.True(relay.ChooseReplica(nil, local, 0) == nil)
}

// One of three replicas becomes four times slower. Choosing by measured latency gives a
// lower mean response time than round robin.
func TestSlowReplica(t *testing.T) {
	is := is.New(t)
	const requests = 60
	simulate := func(pick func(i int, candidates []relay.Candidate) int) time.Duration {
		candidates := []relay.Candidate{newCandidate("a", "genova", "liguria"), newCandidate("b", "genova", "liguria"), newCandidate("c", "genova", "liguria")}
		total := time.Duration(0)
		for i := range requests {
			chosen := pick(i, candidates)
			latency := 25 * time.Millisecond
			if chosen == 0 {
				latency *= 4
			}
			total += latency
			if observed := &candidates[chosen]; observed.Latency == 0 {
				observed.Latency = latency
			} else {
				observed.Latency += (latency - observed.Latency) / 4
			}
		}
		return total / requests
	}
	roundRobin := simulate(func(i int, candidates []relay.Candidate) int { return i % len(candidates) })
	chosen := simulate(func(_ int, candidates []relay.Candidate) int {
		best := relay.ChooseReplica(candidates, local, 0)
		for i := range candidates {
			if candidates[i].Replica == best.Replica {
				return i
			}
		}
		return -1
	})
	t.Logf("mean latency: %s round robin, %s by latency", roundRobin, chosen)
	is.True(chosen < roundRobin*6/10)
}

// Another replica is tried early enough to respond within the latency target.
func TestAttemptTimeout(t *testing.T) {
	is := is.New(t)
	is.Equal(relay.AttemptTimeout(30*time.Millisecond, 250*time.Millisecond, 4*time.Second, true), 4*time.Second)
	is.Equal(relay.AttemptTimeout(10*time.Millisecond, 250*time.Millisecond, 4*time.Second, false), 125*time.Millisecond)
	is.Equal(relay.AttemptTimeout(30*time.Millisecond, 250*time.Millisecond, 4*time.Second, false), 180*time.Millisecond)
	is.Equal(relay.AttemptTimeout(200*time.Millisecond, 250*time.Millisecond, 4*time.Second, false), 1200*time.Millisecond)
	is.Equal(relay.AttemptTimeout(10*time.Millisecond, 5*time.Second, 9*time.Second, false), 300*time.Millisecond)
	is.Equal(relay.AttemptTimeout(0, time.Second, 200*time.Millisecond, false), 200*time.Millisecond)
}

// The retry delay grows with the duration of the cause, within bounds.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	is.Equal(relay.RetryAfter(0), 200*time.Millisecond)
	is.Equal(relay.RetryAfter(800*time.Millisecond), 800*time.Millisecond)
	is.Equal(relay.RetryAfter(time.Minute), 2*time.Second)
}

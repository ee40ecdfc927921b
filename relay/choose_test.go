package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/relay"
)

// home is the place of the choosing host.
var home = gypsum.Location{DataCentre: "genova", Region: "liguria"}

// target returns a replica at a place.
func target(id gypsum.BackendID, centre gypsum.DataCentre, region gypsum.Region) relay.Target {
	return relay.Target{Replica: &gypsum.Replica{ID: id, Slots: 6, Location: gypsum.Location{DataCentre: centre, Region: region}}}
}

func TestChoose(t *testing.T) {
	is := is.New(t)
	near, next, far := target("near", "genova", "liguria"), target("next", "la-spezia", "liguria"), target("far", "chioggia", "adriatico")
	choose := func(targets ...relay.Target) gypsum.BackendID {
		return relay.Choose(targets, home, time.Second).Replica.ID
	}
	is.Equal(choose(far, next, near), gypsum.BackendID("near"))
	slow := near
	slow.Latency = 200 * time.Millisecond
	is.Equal(choose(far, next, slow), gypsum.BackendID("next")) // several times slower than one further off
	full := near
	full.Open, full.Latency = 6, 30*time.Millisecond
	is.Equal(choose(far, next, full), gypsum.BackendID("next")) // its next free slot is a wave away
	failing := near
	failing.Failing = 0.3
	is.Equal(choose(failing, far), gypsum.BackendID("far")) // a failure costs more than the way
	is.Equal(choose(failing), gypsum.BackendID("near"))
	refused := near
	refused.Full = true
	is.Equal(choose(refused, far), gypsum.BackendID("far"))
	tried := near
	tried.Tried = true
	alsoFailing := far
	alsoFailing.Failing = 0.9
	is.Equal(choose(tried, alsoFailing), gypsum.BackendID("far")) // one that fails before the same again
	is.True(relay.Choose(nil, home, 0) == nil)
}

// Load pattern: one of three replicas turns four times slower for a while. Requests
// that choose by answer time end sooner than those dealt in turn.
func TestSlowReplica(t *testing.T) {
	is := is.New(t)
	const requests = 60
	play := func(pick func(i int, targets []relay.Target) int) time.Duration {
		targets := []relay.Target{target("a", "genova", "liguria"), target("b", "genova", "liguria"), target("c", "genova", "liguria")}
		total := time.Duration(0)
		for i := range requests {
			chosen := pick(i, targets)
			took := 25 * time.Millisecond
			if chosen == 0 {
				took *= 4
			}
			total += took
			if seen := &targets[chosen]; seen.Latency == 0 {
				seen.Latency = took
			} else {
				seen.Latency += (took - seen.Latency) / 4
			}
		}
		return total / requests
	}
	inTurn := play(func(i int, targets []relay.Target) int { return i % len(targets) })
	chosen := play(func(_ int, targets []relay.Target) int {
		best := relay.Choose(targets, home, 0)
		for i := range targets {
			if targets[i].Replica == best.Replica {
				return i
			}
		}
		return -1
	})
	t.Logf("mean answer: %s in turn, %s chosen", inTurn, chosen)
	is.True(chosen < inTurn*6/10)
}

// Another replica is asked early enough for its answer to be within the aim.
func TestPatience(t *testing.T) {
	is := is.New(t)
	is.Equal(relay.Patience(30*time.Millisecond, 250*time.Millisecond, 4*time.Second, true), 4*time.Second)
	is.Equal(relay.Patience(10*time.Millisecond, 250*time.Millisecond, 4*time.Second, false), 125*time.Millisecond)
	is.Equal(relay.Patience(30*time.Millisecond, 250*time.Millisecond, 4*time.Second, false), 180*time.Millisecond)
	is.Equal(relay.Patience(200*time.Millisecond, 250*time.Millisecond, 4*time.Second, false), 1200*time.Millisecond)
	is.Equal(relay.Patience(10*time.Millisecond, 5*time.Second, 9*time.Second, false), 300*time.Millisecond)
	is.Equal(relay.Patience(0, time.Second, 200*time.Millisecond, false), 200*time.Millisecond)
}

// The time to come back grows with the time that the cause has lasted, within bounds.
func TestReturnAfter(t *testing.T) {
	is := is.New(t)
	is.Equal(relay.ReturnAfter(0), 200*time.Millisecond)
	is.Equal(relay.ReturnAfter(800*time.Millisecond), 800*time.Millisecond)
	is.Equal(relay.ReturnAfter(time.Minute), 2*time.Second)
}

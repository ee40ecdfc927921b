package relay_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum/relay"
)

// TestBlame replays loads of one request at a number of hosts, and the crashes of all replicas of its service at one
// moment, and checks how many of the crashes count against the request: none of one that is often asked for and
// innocent, all of one that was never served, or not for long. The tolerance is for requests that come at random.
func TestBlame(t *testing.T) {
	const (
		replicas = 3
		seeds    = 20
	)
	for _, row := range []struct {
		name      string
		perSecond float64 // at all hosts
		hosts     int
		// servedUntil is how long before the crash the request was served last.
		servedUntil time.Duration
		served      bool
		minBlamed   float64 // of the crashes
		maxBlamed   float64
	}{
		{"a page of 50 requests a second", 50, 3, 0, true, 0, 0},
		{"a page of 50 requests a second at 30 hosts", 50, 30, 0, true, 0, 0.01},
		{"a page of one request a second at 3 hosts", 1, 3, 0, true, 0, 0.15},
		{"a page of one request a second at 30 hosts", 1, 30, 0, true, 0.5, 1},
		{"never served", 50, 3, 0, false, 1, 1},
		{"not served any more for 11 s, as its data changed", 50, 3, 11 * time.Second, true, 1, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			blamed := 0
			for seed := range uint64(seeds) {
				random := rand.New(rand.NewPCG(seed, 1))
				for range replicas {
					// The host whose attempt is at the replica has served the request itself some time ago.
					perHost := row.perSecond / float64(row.hosts)
					ago := row.servedUntil + time.Duration(random.ExpFloat64()/perHost*float64(time.Second))
					if (relay.CrashEvidence{WasServed: row.served, ServedAgo: ago}).BlamesRequest() {
						blamed++
					}
				}
			}
			share := float64(blamed) / (replicas * seeds)
			t.Log(fmt.Sprintf("%.2f of the crashes counted", share))
			is.True(share >= row.minBlamed && share <= row.maxBlamed)
		})
	}
}

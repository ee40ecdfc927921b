package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/reach"
)

// BenchmarkRequest measures what the tracker adds to a request to a service in reach.
func BenchmarkRequest(b *testing.B) {
	tracker := reach.NewTracker()
	for b.Loop() {
		if tracker.Detour("desk") != nil {
			b.Fatal("the service is in reach")
		}
		tracker.RecordResponse("desk", time.Now())
	}
}

// BenchmarkPeersToAsk measures the choice of the daemons that a check asks among those of the target.
func BenchmarkPeersToAsk(b *testing.B) {
	var peers []gypsum.Peer
	for i := range 780 {
		location := gypsum.Location{DataCentre: gypsum.DataCentre(fmt.Sprint("dc-", i%18)), Region: gypsum.Region(fmt.Sprint("region-", i%5))}
		peers = append(peers, gypsum.Peer{Host: gypsum.HostID(fmt.Sprint("host-", i)), Location: location})
	}
	check := int64(0)
	for b.Loop() {
		check++
		reach.PeersToAsk(peers, peers[0].Host, peers[0].Location, check, 0)
	}
}

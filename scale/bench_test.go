package scale_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/scale"
)

// BenchmarkDecide measures a decision about 10,000 replicas in 18 data centres that are a tenth
// short.
func BenchmarkDecide(b *testing.B) {
	service := &scale.Service{Name: "motif", Engines: true, Floor: 9990, Config: &gypsum.CapacityConfig{Max: 800, StartTime: 4 * time.Second}, Centres: make(map[gypsum.DataCentre]scale.Centre)}
	for i := range 18 {
		service.Centres[gypsum.DataCentre(fmt.Sprint("centre-", i))] = scale.Centre{OnDemand: 500, Initial: 555}
	}
	b.ReportAllocs()
	for b.Loop() {
		plan := &scale.Plan{}
		plan.Decide(service, 0)
		if len(plan.Decide(service, time.Minute)) == 0 {
			b.Fatal("nothing was ordered")
		}
	}
}

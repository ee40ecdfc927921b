package runner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
)

// TestItemsExceedRateLimit guards against items, moves, load orders and reports that together
// exceed the request rate to which engines limit themselves, also around a planned stop of the
// holder and after its loss.
func TestItemsExceedRateLimit(t *testing.T) {
	for _, limit := range []gypsum.RequestRate{0, 0.5, 3, 12} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newDeployment(t, newEngines(9), 0.8, 0.8, 0.8)
				for i := range 6 {
					d.limits.SetLimit(engineID(i), limit)
				}
				limitedAt := time.Now()
				for step := range 6 {
					switch step {
					case 2:
						d.daemons[0].runner.Stop(t.Context())
					case 4:
						d.daemons[1].killAndWait()
					}
					b := newBatch(fmt.Sprint("bat", step), gypsum.WeightVersion(step), itemLengths(150, 6)...)
					for _, daemon := range d.daemons {
						daemon.registry.ApplyVersion(testModel, gypsum.WeightVersion(step))
					}
					d.submitBatch(2, b)
					time.Sleep(4 * time.Second)
				}
				for i := range 6 {
					id := engineID(i)
					most := d.limits.MostWithin(id, fake.LimitWindow, limitedAt.Add(fake.LimitNoticeTime))
					if allowed := fake.MaxWithinLimit(limit); most > allowed {
						t.Errorf("%s received %d requests within %s, %d are allowed", id, most, fake.LimitWindow, allowed)
					}
					is.True(len(d.limits.RequestsTo(id)) > 0)
				}
			})
		})
	}
}

// engineID returns the ID of an engine by its index.
func engineID(i int) gypsum.BackendID { return gypsum.BackendID(fmt.Sprintf("engine-%d", i+1)) }

package runner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
)

// The users' bounds of the request rate of a replica that states a limit.
const (
	// limitNoticeTime is the time after the first statement from which the bound holds.
	limitNoticeTime = 4 * time.Second
	// limitWindow is the time over which requests are counted.
	limitWindow = 4 * time.Second
)

// maxRequestsWithinLimit returns how many requests a replica may receive in limitWindow: one
// and a half times what its limit allows and 5 more.
func maxRequestsWithinLimit(limit gypsum.RequestRate) int {
	return int(1.5*float64(limit)*limitWindow.Seconds()) + 5
}

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
					most := d.limits.MostWithin(id, limitWindow, limitedAt.Add(limitNoticeTime))
					if allowed := maxRequestsWithinLimit(limit); most > allowed {
						t.Errorf("%s received %d requests within %s, %d are allowed", id, most, limitWindow, allowed)
					}
					is.True(len(d.limits.RequestsTo(id)) > 0)
				}
			})
		})
	}
}

// engineID returns the ID of an engine by its index.
func engineID(i int) gypsum.BackendID { return gypsum.BackendID(fmt.Sprintf("engine-%d", i+1)) }

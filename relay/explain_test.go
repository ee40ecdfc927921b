package relay_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
)

// TestExplain guards against explanations that differ from what then happens, and against ones
// that send, count or change anything.
func TestExplain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newFullDeployment(t, 1)
		explain := func(timeout time.Duration) gypsum.ServiceExplanation {
			before, calls := d.relays[0].Stats.Waits.Waited.Load(), len(d.replicas.Calls())
			explained := d.relays[0].Explain(streamRequest("explained", timeout))
			is.Equal(d.relays[0].Stats.Waits.Waited.Load(), before)
			is.Equal(len(d.replicas.Calls()), calls)
			return explained
		}
		var wg sync.WaitGroup
		send := func(id string, timeout time.Duration) *gypsum.Refusal {
			var refusal *gypsum.Refusal
			wg.Go(func() { refusal = d.send(t.Context(), 0, gypsum.RequestID(id), 0, timeout).refusal })
			synctest.Wait()
			return refusal
		}
		for i := range 6 {
			explained := explain(time.Second)
			is.Equal(explained.Verdict, "sent")
			is.Equal(len(explained.Candidates), 3)
			send(fmt.Sprint("r", i), time.Second)
			calls := d.replicas.Calls()
			is.Equal(calls[len(calls)-1].Replica, explained.Replica)
		}
		is.Equal(explain(time.Second).Verdict, "waits for a slot, 1 of 1 in the queue")
		is.Equal(explain(time.Second).Candidates[0].Against, []string{"requests of this daemon occupy all its slots", "no response time was measured"})
		short := explain(30 * time.Millisecond)
		is.True(strings.HasPrefix(short.Verdict, "refused: all replicas are full"))
		is.True(short.RetryAfterMS > 0)
		is.True(send("short", 30*time.Millisecond) != nil)
		is.True(send("long", time.Second) == nil)
		is.Equal(explain(time.Second).Waiting, 1)
		wg.Wait()
		is.True(strings.HasPrefix(explain(0).Verdict, "refused with status 503: no time is left"))
	})
}

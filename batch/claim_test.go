package batch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
)

// TestEarlierHolder guards against a holder that acts while the lease of an earlier one may go on:
// the newest heartbeat of each earlier holder counts that has not released the service, whatever
// releases and claims followed it.
func TestEarlierHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		a, b, c := startManager(t, backing, "a"), startManager(t, backing, "b"), startManager(t, backing, "c")
		earlier := func() time.Time {
			holder, _, ok := c.State.Holder("~usage_report")
			is.True(ok)
			return holder.EarlierHeartbeat
		}
		is.NoErr(a.RecordClaim(t.Context(), "~usage_report", 1, false))
		time.Sleep(time.Second)
		is.True(earlier().IsZero()) // there was no earlier holder
		_, err := a.RecordHeartbeat(t.Context(), 1)
		is.NoErr(err)
		time.Sleep(time.Second)
		heartbeat := time.Now().Add(-time.Second)
		is.NoErr(b.RecordClaim(t.Context(), "~usage_report", 2, false))
		time.Sleep(time.Second)
		is.True(earlier().Sub(heartbeat).Abs() < 100*time.Millisecond)
		_, err = b.RecordHeartbeat(t.Context(), 1)
		is.NoErr(err)
		is.NoErr(b.RecordClaim(t.Context(), "~usage_report", 3, true)) // b has released it, a has not
		is.NoErr(c.RecordClaim(t.Context(), "~usage_report", 4, false))
		time.Sleep(time.Second)
		is.True(earlier().Sub(heartbeat).Abs() < 100*time.Millisecond)
		is.NoErr(c.RecordClaim(t.Context(), "~usage_report", 5, false)) // a new token
		time.Sleep(time.Second)
		is.True(earlier().Sub(heartbeat).Abs() < 100*time.Millisecond)
		// Claims of duties are no claims of services.
		is.Equal(len(c.State.OpenBatches()), 0)
		_, _, ok := c.State.Holder("usage_report")
		is.True(!ok)
	})
}

// TestOwnHeartbeats checks that a Manager with a clock states when it sent its newest heartbeat,
// and where its record is.
func TestOwnHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		backing.Latency = 50 * time.Millisecond
		a, start := startManager(t, backing, "a"), time.Now()
		_, err := a.RecordHeartbeat(t.Context(), 1)
		is.NoErr(err)
		is.True(a.LastHeartbeat() == nil) // there is no clock
		a.Clock = func() time.Duration { return time.Since(start) }
		time.Sleep(time.Second)
		sentAt := a.Clock()
		_, err = a.RecordHeartbeat(t.Context(), 2)
		is.NoErr(err)
		is.Equal(a.LastHeartbeat().SentAt, sentAt) // not when it was stored
		is.Equal(a.LastHeartbeat().Offset, gypsum.Offset(1))
		is.True(a.State.AppliedOffset() <= 1)
		time.Sleep(time.Second)
		is.Equal(a.State.AppliedOffset(), gypsum.Offset(1))
	})
}

package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum/relay"
)

// TestIsSilent replays attempts that get no response for 450 ms, at replicas that respond to other requests at different
// rates, and at those that have gone down after a response to another one.
func TestIsSilent(t *testing.T) {
	is := is.New(t)
	const attempt = 450 * time.Millisecond
	sentAt := time.Now()
	now := sentAt.Add(attempt)
	for _, pause := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		is.True(!relay.IsSilent(sentAt, now.Add(-pause), now)) // slow or overloaded
	}
	for _, after := range []time.Duration{-time.Second, 0, time.Millisecond, 200 * time.Millisecond} {
		is.True(relay.IsSilent(sentAt, sentAt.Add(after), now)) // down since then
	}
	is.True(relay.IsSilent(sentAt, time.Time{}, now)) // nothing at all
}

package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
)

// TestNoDuties guards against calls to the store for duties by a deployment whose settings have no
// API for them.
func TestNoDuties(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	env := newTestEnv(t, 2)
	time.Sleep(4 * time.Second)
	for _, topic := range []gypsum.Topic{"keyed.usage", "keyed.capacity"} {
		page, err := env.store.Read(t.Context(), gypsum.KeyedRead{Topic: topic})
		is.NoErr(err)
		is.Equal(len(page.Records), 0)
	}
	page, err := env.store.Read(t.Context(), gypsum.KeyedRead{Topic: "keyed.state"})
	is.NoErr(err)
	for _, record := range page.Records {
		is.True(!strings.HasPrefix(record.Key, "c/") && !strings.HasPrefix(record.Key, "h/")) // a claim or a heartbeat
	}
}

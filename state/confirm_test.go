package state_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/state"
)

// TestConfirmedConfig checks that the time at which the configuration was known to be current never
// decreases, and stands still while the newest configuration cannot be decoded.
func TestConfirmedConfig(t *testing.T) {
	is := is.New(t)
	registry := state.NewRegistry(slog.New(slog.DiscardHandler))
	confirmedAt := func() time.Duration {
		_, at, confirmed := registry.ConfirmedConfig()
		is.True(confirmed)
		return at
	}
	_, _, confirmed := registry.ConfirmedConfig()
	is.True(!confirmed)
	registry.ApplyConfig(&gypsum.RoutingConfig{Revision: 1})
	registry.ConfirmConfig(-time.Second) // a read whose age is greater than the time since the start
	is.Equal(confirmedAt(), -time.Second)
	registry.ConfirmConfig(5 * time.Second)
	registry.ConfirmConfig(4 * time.Second)
	is.Equal(confirmedAt(), 5*time.Second)
	registry.MarkConfigUnreadable()
	registry.ConfirmConfig(6 * time.Second)
	is.Equal(confirmedAt(), 5*time.Second)
	registry.ApplyConfig(&gypsum.RoutingConfig{Revision: 1}) // the previous configuration is stored again
	registry.ConfirmConfig(7 * time.Second)
	is.Equal(confirmedAt(), 7*time.Second)
	config, _, _ := registry.ConfirmedConfig()
	is.Equal(config.Revision, gypsum.Revision(1))
}

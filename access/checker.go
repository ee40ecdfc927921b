package access

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/state"
)

// Checker applies a Policy to the configuration in force. Set the exported fields before use. A
// Checker is safe for concurrent use.
type Checker struct {
	Policy   Policy
	Registry *state.Registry
	Clock    gypsum.SteadyClock
	// StoreDowntime returns how long the store has not responded, zero if it does.
	StoreDowntime func() time.Duration
	Stats         Stats
}

// Stats counts the decisions of a Checker since its start.
type Stats struct {
	// Authenticated and Unauthenticated are the requests with a valid key and those with status
	// 401. Outdated are those that were refused since the configuration may have changed.
	Authenticated   atomic.Int64
	Unauthenticated atomic.Int64
	Outdated        atomic.Int64
	// RefusedSends are the requests that were admitted and not sent to a replica later.
	RefusedSends atomic.Int64
}

// View returns what the host knows of the configuration now.
func (c *Checker) View() *View {
	view := &View{}
	view.Config, view.ConfirmedAt, view.Confirmed = c.Registry.ConfirmedConfig()
	if view.Config == nil || view.Config.Accounts == nil {
		return view
	}
	view.StoreDowntime = c.StoreDowntime()
	view.Now = c.Clock()
	return view
}

// Admit decides on a request when it arrives, as Policy.Admit does.
func (c *Checker) Admit(view *View, noAuth bool, credential Credential) (Grant, *gypsum.Refusal) {
	grant, refusal := c.Policy.Admit(view, noAuth, credential)
	switch {
	case refusal != nil && refusal.Status == http.StatusUnauthorized:
		c.Stats.Unauthenticated.Add(1)
	case refusal != nil:
		c.Stats.Outdated.Add(1)
	case grant.Account != nil:
		c.Stats.Authenticated.Add(1)
	}
	return grant, refusal
}

// Recheck decides whether an admitted request may be sent to a replica now, as Policy.Recheck does.
func (c *Checker) Recheck(grant *Grant) *gypsum.Refusal {
	refusal := c.Policy.Recheck(c.View(), grant)
	if refusal != nil {
		c.Stats.RefusedSends.Add(1)
	}
	return refusal
}

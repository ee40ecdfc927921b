package access

import (
	"context"
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
	// Confirmer reads the configuration for requests that state a key while there are no accounts.
	Confirmer *Confirmer
	Stats     Stats
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

// ViewFor returns what the host knows of the configuration, for a request that may state a key or an
// account and arrived at a time by the steady clock. Unless there are accounts, the store is asked whether
// there have been any until then.
func (c *Checker) ViewFor(ctx context.Context, arrivedAt time.Duration) *View {
	view := c.View()
	if view.Config != nil && view.Config.Accounts == nil && !view.isConfirmedSince(arrivedAt) {
		// Without a confirmation the request is refused by the age of the configuration.
		_ = c.Confirmer.Await(ctx)
		view = c.View()
		view.StoreDowntime = c.StoreDowntime()
	}
	return view
}

// ConfirmNoAccounts returns the refusal of a request that may run only without accounts, nil if there were
// none at a time after the call.
func (c *Checker) ConfirmNoAccounts(ctx context.Context) *gypsum.Refusal {
	credential := Credential{Unread: true, ArrivedAt: c.Clock()}
	view := c.ViewFor(ctx, credential.ArrivedAt)
	if refusal := c.Policy.Recheck(view, &Grant{}); refusal != nil {
		c.Stats.Outdated.Add(1)
		return refusal
	}
	_, refusal := c.Admit(view, false, credential)
	return refusal
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

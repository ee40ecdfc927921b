// Package access decides whether a client's request may run with the API key that it carries: by
// the configuration in force, and by when that was last known to be the current one.
package access

import (
	"net/http"
	"time"

	"github.com/gypsumhook/gypsum"
)

const (
	// maxUnknownKeyAge is the greatest age of a configuration by which a key counts as unknown. A
	// newer configuration may contain the key.
	maxUnknownKeyAge = time.Second
	// clockRateDivisor bounds by how much the steady clocks of this host and of the store may
	// differ: by 1/clockRateDivisor of the time.
	clockRateDivisor = 50
	// transitTime is the time from the check of a key until the replica has received the request:
	// two links between regions and two busy hosts, if another daemon forwards the request.
	transitTime = 400 * time.Millisecond
	// transitDivisor bounds the reserve for the transit to 1/transitDivisor of a short delay.
	transitDivisor = 10
	// minRetryAfter is how soon a client may retry while the store responds. The next read of the
	// configuration has returned by then.
	minRetryAfter = 250 * time.Millisecond
	// maxRetryAfter is the retry delay of a client in a long outage of the store.
	maxRetryAfter = 2 * time.Second
)

// Policy is what a deployment requires of keys.
type Policy struct {
	// StrictRevocation means that no request that a client sends later than RevocationDelay after
	// the store accepted a configuration without its key may run.
	StrictRevocation bool
	RevocationDelay  time.Duration
}

// Validity returns how long keys stay valid after the configuration was last known to be current.
func (p Policy) Validity() time.Duration {
	return p.RevocationDelay - p.RevocationDelay/clockRateDivisor - min(transitTime, p.RevocationDelay/transitDivisor)
}

// View is what a host knows of the configuration at one moment.
type View struct {
	// Config is the configuration in force, nil for none.
	Config *gypsum.RoutingConfig
	// ConfirmedAt is the latest time, by the steady clock, at which the configuration was known to
	// be the current one. It is valid if Confirmed is set.
	ConfirmedAt time.Duration
	Confirmed   bool
	// Now is the time by the steady clock. It must be read after the other fields.
	Now time.Duration
	// StoreDowntime is how long the store has not responded, zero if it does.
	StoreDowntime time.Duration
}

// isYounger reports whether the configuration was known to be current less than an age ago.
func (v *View) isYounger(age time.Duration) bool { return v.Confirmed && v.Now-v.ConfirmedAt <= age }

// isConfirmedSince reports whether the configuration was known to be current at a time or later.
func (v *View) isConfirmedSince(at time.Duration) bool { return v.Confirmed && v.ConfirmedAt >= at }

// Credential is the key of a request, without the key itself.
type Credential struct {
	// Hash is that of the key. It is valid if Valid is set: the request has one key of an allowed
	// length.
	Hash  gypsum.KeyHash
	Valid bool
	// Missing means that the request has no key.
	Missing bool
	// Unread means that the request states a key or an account, which was not read since the
	// configuration had no accounts. It arrived at ArrivedAt, by the steady clock, or later.
	Unread    bool
	ArrivedAt time.Duration
}

// NewCredential returns the credential of a request with a key, empty for none. single means that
// it has not several keys.
func NewCredential(key string, single bool) Credential {
	if !single {
		return Credential{}
	}
	hash, ok := gypsum.HashAPIKey(key)
	return Credential{Hash: hash, Valid: ok, Missing: key == ""}
}

// String identifies the key in logs.
func (c Credential) String() string {
	switch {
	case c.Unread:
		return "unread"
	case c.Valid:
		return c.Hash.String()
	case c.Missing:
		return "none"
	}
	return "invalid"
}

// Grant is the permission for a request to run.
type Grant struct {
	// Account is the account of the request, nil for none.
	Account *gypsum.Account
	// AccountsInForce means that the configuration had accounts.
	AccountsInForce bool

	credential Credential
}

// AccountName returns the name of the account, empty for none.
func (g *Grant) AccountName() gypsum.AccountName {
	if g.Account == nil {
		return ""
	}
	return g.Account.Name
}

// Priority returns the priority of the request on a route.
func (g *Grant) Priority(route *gypsum.Route) int {
	if g.Account == nil || g.Account.Priority == nil {
		return route.Priority
	}
	return *g.Account.Priority
}

// Admit decides on a request when it arrives. noAuth means that its route needs no key: such a
// request belongs to no account, whatever it carries. The request must not run if the refusal is
// not nil.
func (p Policy) Admit(view *View, noAuth bool, credential Credential) (Grant, *gypsum.Refusal) {
	switch {
	case view.Config == nil:
		return Grant{}, view.refusal("no configuration was learned yet")
	case view.Config.Accounts == nil && credential.Unread && !view.isConfirmedSince(credential.ArrivedAt):
		// A newer configuration may have accounts, whose keys no replica may get.
		return Grant{}, view.refusal("the request states a key or an account, and the configuration may have changed")
	case view.Config.Accounts == nil:
		return Grant{}, nil
	case noAuth:
		return Grant{AccountsInForce: true}, nil
	}
	account, refusal := p.authenticate(view, credential)
	if refusal != nil {
		return Grant{}, refusal
	}
	return Grant{Account: account, AccountsInForce: true, credential: credential}, nil
}

// AdmitAccount decides as Admit does on a request with a valid key of an account, or with an unknown
// key if the configuration has no such account.
func (p Policy) AdmitAccount(view *View, noAuth bool, name gypsum.AccountName) (Grant, *gypsum.Refusal) {
	if view.Config == nil || view.Config.Accounts == nil || noAuth {
		return p.Admit(view, noAuth, Credential{})
	}
	named, _ := view.Config.Accounts.Named(name)
	account, refusal := p.accept(view, named)
	if refusal != nil {
		return Grant{}, refusal
	}
	return Grant{Account: account, AccountsInForce: true}, nil
}

// Recheck decides whether a request that was admitted earlier may be sent to a replica now.
func (p Policy) Recheck(view *View, grant *Grant) *gypsum.Refusal {
	switch {
	case view.Config == nil || view.Config.Accounts == nil:
		return nil
	case !grant.AccountsInForce:
		// The header of the request may contain a key, and the name of any account.
		return view.refusal("keys are required since the request arrived")
	case grant.Account == nil:
		return nil
	}
	account, refusal := p.authenticate(view, grant.credential)
	if refusal == nil && account.Name != grant.Account.Name {
		return view.refusal("the key was given to another account since the request arrived")
	}
	return refusal
}

// authenticate returns the account of a key, or the refusal of the request.
func (p Policy) authenticate(view *View, credential Credential) (*gypsum.Account, *gypsum.Refusal) {
	var account *gypsum.Account
	if credential.Valid {
		account, _ = view.Config.Accounts.Find(credential.Hash)
	}
	return p.accept(view, account)
}

// accept returns the account that a key belongs to, nil for an unknown key, or the refusal of the
// request.
func (p Policy) accept(view *View, account *gypsum.Account) (*gypsum.Account, *gypsum.Refusal) {
	switch {
	case account == nil && view.isYounger(maxUnknownKeyAge):
		return nil, gypsum.NotRunRefusal(gypsum.ReasonUnauthenticated, http.StatusUnauthorized, 0, "the request has no valid API key")
	case account == nil:
		return nil, view.refusal("the API key is not known, and the configuration may have changed")
	case p.StrictRevocation && !view.isYounger(p.Validity()):
		return nil, view.refusal("the API key may have been revoked")
	}
	return account, nil
}

// refusal returns the refusal of a request about which a newer configuration may decide
// differently.
func (v *View) refusal(detail string) *gypsum.Refusal {
	retryAfter := min(maxRetryAfter, max(minRetryAfter, v.StoreDowntime))
	return gypsum.NotRunRefusal(gypsum.ReasonKeysOutdated, http.StatusServiceUnavailable, retryAfter, detail)
}

package access_test

import (
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/access"
	"github.com/gypsumhook/gypsum/clock"
	"github.com/gypsumhook/gypsum/state"
)

const (
	key   = "key-1"
	delay = 5 * time.Second
)

// newConfig returns a configuration in which an account has keys.
func newConfig(revision gypsum.Revision, account gypsum.AccountName, keys ...string) *gypsum.RoutingConfig {
	config := &gypsum.RoutingConfig{Revision: revision, Accounts: gypsum.NewAccounts()}
	config.Accounts.Add(gypsum.Account{Name: account}, keys)
	return config
}

// credentialOf returns the credential of a request with one key.
func credentialOf(key string) access.Credential { return access.NewCredential(key, true) }

// unread returns the credential of a request that states a key while there are no accounts, and arrived at a time.
func unread(arrivedAt time.Duration) access.Credential {
	return access.Credential{Unread: true, ArrivedAt: arrivedAt}
}

// TestAdmit checks the decision on arrival for each kind of request and age of the configuration.
func TestAdmit(t *testing.T) {
	with, without := newConfig(1, "a", key), &gypsum.RoutingConfig{Revision: 1}
	strict, lax := access.Policy{StrictRevocation: true, RevocationDelay: delay}, access.Policy{RevocationDelay: delay}
	severalKeys := access.NewCredential("", false)
	for name, row := range map[string]struct {
		policy     access.Policy
		config     *gypsum.RoutingConfig
		age        time.Duration // negative: never confirmed
		noAuth     bool
		credential access.Credential
		status     int // 0 for an admitted request
		account    gypsum.AccountName
		inForce    bool
	}{
		"no configuration":                  {strict, nil, 0, false, credentialOf(key), 503, "", false},
		"no accounts":                       {strict, without, -1, false, credentialOf(""), 0, "", false},
		"no accounts, a key":                {strict, without, 0, false, unread(time.Hour), 0, "", false},
		"no accounts, a key, behind":        {strict, without, 0, false, unread(time.Hour + 1), 503, "", false},
		"no accounts, a key, unconfirmed":   {lax, without, -1, false, unread(0), 503, "", false},
		"open route, a key, behind":         {strict, without, 0, true, unread(time.Hour + 1), 503, "", false},
		"valid":                             {strict, with, 0, false, credentialOf(key), 0, "a", true},
		"valid, last moment":                {strict, with, strict.Validity(), false, credentialOf(key), 0, "a", true},
		"valid, too old":                    {strict, with, strict.Validity() + 1, false, credentialOf(key), 503, "", false},
		"valid, never confirmed":            {strict, with, -1, false, credentialOf(key), 503, "", false},
		"valid, old, not strict":            {lax, with, time.Hour, false, credentialOf(key), 0, "a", true},
		"valid, unconfirmed, not strict":    {lax, with, -1, false, credentialOf(key), 0, "a", true},
		"unknown":                           {strict, with, 0, false, credentialOf("x"), 401, "", false},
		"unknown, last moment":              {strict, with, time.Second, false, credentialOf("x"), 401, "", false},
		"unknown, too old":                  {strict, with, time.Second + 1, false, credentialOf("x"), 503, "", false},
		"unknown, unconfirmed":              {lax, with, -1, false, credentialOf("x"), 503, "", false},
		"none":                              {strict, with, 0, false, credentialOf(""), 401, "", false},
		"none, too old":                     {strict, with, 2 * time.Second, false, credentialOf(""), 503, "", false},
		"several":                           {strict, with, 0, false, severalKeys, 401, "", false},
		"several, too old":                  {strict, with, 2 * time.Second, false, severalKeys, 503, "", false},
		"open route, no key":                {strict, with, time.Hour, true, credentialOf(""), 0, "", true},
		"open route, valid key":             {strict, with, time.Hour, true, credentialOf(key), 0, "", true},
		"open route, unknown key":           {strict, with, 0, true, credentialOf("x"), 0, "", true},
		"all accounts dropped":              {strict, &gypsum.RoutingConfig{Accounts: gypsum.NewAccounts()}, 0, false, credentialOf(key), 401, "", false},
		"all accounts dropped, no key":      {strict, &gypsum.RoutingConfig{Accounts: gypsum.NewAccounts()}, 0, false, credentialOf(""), 401, "", false},
		"all accounts dropped, too old":     {strict, &gypsum.RoutingConfig{Accounts: gypsum.NewAccounts()}, delay, false, credentialOf(key), 503, "", false},
		"confirmed later than now was read": {strict, with, 0, false, credentialOf(key), 0, "a", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			view := &access.View{Config: row.config, Confirmed: row.age >= 0, ConfirmedAt: time.Hour, Now: time.Hour + row.age}
			grant, refusal := row.policy.Admit(view, row.noAuth, row.credential)
			is.Equal(refusal != nil, row.status != 0)
			is.Equal(grant.AccountName(), row.account)
			is.Equal(grant.AccountsInForce, row.inForce)
			if refusal == nil {
				is.Equal(row.policy.Recheck(view, &grant), nil)
				return
			}
			is.Equal(refusal.Status, row.status)
			is.Equal(refusal.Outcome, gypsum.OutcomeNotRun)
			is.Equal(refusal.RetryAfter > 0, row.status == http.StatusServiceUnavailable)
		})
	}
}

// TestRecheck checks the decision before a send, after the configuration has changed.
func TestRecheck(t *testing.T) {
	policy := access.Policy{StrictRevocation: true, RevocationDelay: delay}
	before := newConfig(1, "a", key)
	for name, row := range map[string]struct {
		config *gypsum.RoutingConfig
		age    time.Duration
		status int
	}{
		"same":                  {before, 0, 0},
		"too old":               {before, policy.Validity() + 1, 503},
		"revoked":               {newConfig(2, "a", "key-2"), 0, 401},
		"revoked, old":          {newConfig(2, "a", "key-2"), 2 * time.Second, 503},
		"moved":                 {newConfig(2, "b", key), 0, 503},
		"accounts dropped":      {newConfig(2, "b"), 0, 401},
		"no keys are required":  {&gypsum.RoutingConfig{Revision: 2}, time.Hour, 0},
		"another key was added": {newConfig(2, "a", "key-0", key), 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			grant, refusal := policy.Admit(&access.View{Config: before, Confirmed: true}, false, credentialOf(key))
			is.True(refusal == nil)
			refusal = policy.Recheck(&access.View{Config: row.config, Confirmed: true, Now: row.age}, &grant)
			is.Equal(refusal != nil, row.status != 0)
			if refusal != nil {
				is.Equal(refusal.Status, row.status)
			}
		})
	}
	is := is.New(t)
	early, refusal := policy.Admit(&access.View{Config: &gypsum.RoutingConfig{}}, false, credentialOf(key))
	is.True(refusal == nil)
	is.Equal(policy.Recheck(&access.View{Config: before, Confirmed: true}, &early).Status, 503) // keys are required now
	open, refusal := policy.Admit(&access.View{Config: before}, true, credentialOf(""))
	is.True(refusal == nil)
	is.True(policy.Recheck(&access.View{Config: before, Now: time.Hour}, &open) == nil)
}

// TestValidity checks that a key stays valid for long enough that a host serves requests until it
// has had no path to the store for 0.6 of the delay: its last confirmation is up to two reads old.
func TestValidity(t *testing.T) {
	is := is.New(t)
	const twoReads = 2 * (300*time.Millisecond + 100*time.Millisecond)
	for _, revocation := range []time.Duration{5 * time.Second, 10 * time.Second, 30 * time.Second} {
		validity := access.Policy{RevocationDelay: revocation}.Validity()
		is.True(validity >= revocation*6/10+twoReads)
		is.True(validity <= revocation*98/100-400*time.Millisecond)
	}
	for _, short := range []time.Duration{500 * time.Millisecond, time.Second} {
		validity := access.Policy{RevocationDelay: short}.Validity()
		is.True(validity > short*8/10 && validity < short*9/10)
	}
}

// TestRetryAfter checks that a client is told to retry soon if only the next read is missing, and
// later in a long outage.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	policy := access.Policy{StrictRevocation: true, RevocationDelay: delay}
	for downtime, expected := range map[time.Duration]time.Duration{
		0: 250 * time.Millisecond, time.Second: time.Second, time.Minute: 2 * time.Second,
	} {
		view := &access.View{Config: newConfig(1, "a", key), Confirmed: true, Now: time.Hour, StoreDowntime: downtime}
		_, refusal := policy.Admit(view, false, credentialOf(key))
		is.Equal(refusal.RetryAfter, expected)
	}
}

// host is a model of a daemon that reads the configuration of a store.
type host struct {
	policy access.Policy
	view   access.View
	grant  access.Grant
	// admitted means that a request waits to be sent, arrivedAt is when its client sent it.
	admitted  bool
	arrivedAt time.Duration
	// reading means that a read was sent at readAt, seen is the configuration that it returns.
	reading bool
	readAt  time.Duration
	seen    *gypsum.RoutingConfig
	cut     bool
}

// world is a host, a store and the time.
type world struct {
	host
	now       time.Duration
	stored    *gypsum.RoutingConfig
	revoked   bool
	revokedAt time.Duration
}

// The events of a world, in which each takes some time.
const (
	eventRevoke = iota
	eventSendRead
	eventReceiveRead
	eventFreeze
	eventCut
	eventHeal
	eventArrive
	eventSend
	eventCount
)

// freezeTime is how long a host is frozen: longer than keys stay valid.
const freezeTime = 7 * time.Second

// apply applies an event and returns an error if a guarantee is violated.
func (w *world) apply(event int) error {
	w.view.Now = w.now
	switch event {
	case eventRevoke:
		if !w.revoked {
			w.revoked, w.revokedAt, w.stored = true, w.now, newConfig(2, "a", "key-2")
		}
	case eventSendRead:
		// The store may execute the read at any time until the response; as early as possible is
		// the worst case.
		if !w.cut && !w.reading {
			w.reading, w.readAt, w.seen = true, w.now, w.stored
		}
	case eventReceiveRead:
		if w.reading && !w.cut {
			w.view.Config, w.view.ConfirmedAt, w.view.Confirmed = w.seen, w.readAt, true
		}
		w.reading = false
	case eventFreeze:
		// Clocks that are not suspended continue; so does the store, and clients send requests.
		w.now += freezeTime
	case eventCut, eventHeal:
		w.cut = event == eventCut
	case eventArrive:
		grant, refusal := w.policy.Admit(&w.view, false, credentialOf(key))
		w.grant, w.admitted, w.arrivedAt = grant, refusal == nil, w.now
		recent := w.view.Confirmed && w.now-w.view.ConfirmedAt <= delay*6/10
		if refusal != nil && recent && w.view.Config.Revision == 1 {
			return fmt.Errorf("valid key refused %v after the last read: %w", w.now-w.view.ConfirmedAt, refusal)
		}
		if refusal != nil && refusal.Status == http.StatusUnauthorized && !w.revoked {
			return fmt.Errorf("valid key is said to be unknown: %w", refusal)
		}
	case eventSend:
		if !w.admitted || w.policy.Recheck(&w.view, &w.grant) != nil {
			return nil
		}
		// Not only must the client have sent the request in time: it must run in time as well.
		if w.revoked && w.now > w.revokedAt+delay {
			return fmt.Errorf("request runs %v after its key was revoked", w.now-w.revokedAt)
		}
	}
	return nil
}

// TestEventOrders checks for every order of events (a step of the time of day is not among them, since
// no decision reads it) that no request runs later than the bound after
// the store accepted the revocation of its key, and that valid keys are accepted while the
// configuration was read recently.
func TestEventOrders(t *testing.T) {
	const length = 6
	orders := 1
	for range length {
		orders *= eventCount
	}
	for _, step := range []time.Duration{10 * time.Millisecond, 900 * time.Millisecond, 2400 * time.Millisecond} {
		for order := range orders {
			w := &world{stored: newConfig(1, "a", key)}
			w.policy = access.Policy{StrictRevocation: true, RevocationDelay: delay}
			w.view.Config = w.stored
			var events []int
			for rest := order; len(events) < length; rest /= eventCount {
				events = append(events, rest%eventCount)
			}
			// A request arrives and is sent at the end of each order.
			for _, event := range append(events, eventArrive, eventSend) {
				if err := w.apply(event); err != nil {
					t.Fatalf("events %v with steps of %v: %v", events, step, err)
				}
				w.now += step
			}
		}
	}
}

// TestCheckerSeesConfirmation checks that a Checker decides by the registry and the steady clock,
// and what it counts.
func TestCheckerSeesConfirmation(t *testing.T) {
	is := is.New(t)
	registry := state.NewRegistry(slog.New(slog.DiscardHandler))
	now := time.Minute
	checker := &access.Checker{
		Policy: access.Policy{StrictRevocation: true, RevocationDelay: delay}, Registry: registry,
		Clock: func() time.Duration { return now }, StoreDowntime: func() time.Duration { return 0 },
	}
	is.True(checker.View().Config == nil)
	registry.ApplyConfig(newConfig(1, "a", key))
	_, refusal := checker.Admit(checker.View(), false, credentialOf(key))
	is.Equal(refusal.Status, 503)
	registry.ConfirmConfig(now)
	grant, refusal := checker.Admit(checker.View(), false, credentialOf(key))
	is.True(refusal == nil)
	is.True(checker.Recheck(&grant) == nil)
	now += delay
	is.Equal(checker.Recheck(&grant).Status, 503)
	registry.ApplyConfig(newConfig(2, "a", "key-2"))
	registry.ConfirmConfig(now)
	is.Equal(checker.Recheck(&grant).Status, 401)
	_, refusal = checker.Admit(checker.View(), false, credentialOf(key))
	is.Equal(refusal.Status, 401)
	is.Equal(checker.Stats.Authenticated.Load(), int64(1))
	is.Equal(checker.Stats.Unauthenticated.Load(), int64(1))
	is.Equal(checker.Stats.Outdated.Load(), int64(1))
	is.Equal(checker.Stats.RefusedSends.Load(), int64(2))
}

// BenchmarkChecker measures the decision on a request: on arrival, and before one send.
func BenchmarkChecker(b *testing.B) {
	registry := state.NewRegistry(slog.New(slog.DiscardHandler))
	config := &gypsum.RoutingConfig{Revision: 1, Accounts: gypsum.NewAccounts()}
	for i := range 10_000 {
		config.Accounts.Add(gypsum.Account{Name: gypsum.AccountName(fmt.Sprint("account-", i))}, []string{fmt.Sprint("key-", i)})
	}
	registry.ApplyConfig(config)
	registry.ConfirmConfig(clock.Steady())
	checker := &access.Checker{
		Policy: access.Policy{StrictRevocation: true, RevocationDelay: time.Hour}, Registry: registry, Clock: clock.Steady, StoreDowntime: func() time.Duration { return 0 },
	}
	b.ReportAllocs()
	for b.Loop() {
		grant, refusal := checker.Admit(checker.View(), false, credentialOf("key-7"))
		if refusal != nil || checker.Recheck(&grant) != nil {
			b.Fatal("refused")
		}
	}
}

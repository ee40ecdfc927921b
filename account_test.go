package gypsum_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// newAccounts returns accounts of which each has two keys of the length of a UUID.
func newAccounts(count int) *gypsum.Accounts {
	accounts := gypsum.NewAccounts()
	for i := range count {
		accounts.Add(gypsum.Account{Name: gypsum.AccountName(fmt.Sprint("account-", i))}, []string{testKey(i, 0), testKey(i, 1)})
	}
	return accounts
}

// testKey returns a key of the account with an index.
func testKey(account, number int) string { return fmt.Sprintf("%035d%d", account, number) }

// TestAuthenticate guards against a key that is taken for another account's or for none.
func TestAuthenticate(t *testing.T) {
	is := is.New(t)
	accounts := newAccounts(100)
	is.Equal(accounts.Len(), 100)
	for i := range 100 {
		for number := range 2 {
			account, ok := accounts.Authenticate(testKey(i, number))
			is.True(ok)
			is.Equal(account.Name, gypsum.AccountName(fmt.Sprint("account-", i)))
		}
	}
	for _, unknown := range []string{"", "x", testKey(100, 0), testKey(1, 0) + " ", strings.Repeat("k", gypsum.MaxAPIKeyBytes+1)} {
		_, ok := accounts.Authenticate(unknown)
		is.True(!ok)
	}
}

// TestInvalidAccounts checks the outcome of invalid lists: the valid part of it stays in force, a
// key stays with its first account, and no error shows a key.
func TestInvalidAccounts(t *testing.T) {
	is := is.New(t)
	accounts := gypsum.NewAccounts()
	longest, tooLong := strings.Repeat("k", gypsum.MaxAPIKeyBytes), strings.Repeat("l", gypsum.MaxAPIKeyBytes+1)
	is.Equal(len(accounts.Add(gypsum.Account{Name: "first"}, []string{"secret-1", longest})), 0)
	problems := accounts.Add(gypsum.Account{Name: "second"}, []string{"secret-1", "secret-2", "", tooLong})
	is.Equal(len(problems), 3)
	is.True(errors.Is(problems[0], gypsum.ErrDuplicateAPIKey))
	is.True(errors.Is(problems[1], gypsum.ErrInvalidAPIKey) && errors.Is(problems[2], gypsum.ErrInvalidAPIKey))
	for _, problem := range append(problems, accounts.Add(gypsum.Account{Name: "third"}, []string{"secret-2"})...) {
		is.True(!strings.Contains(problem.Error(), "secret") && !strings.Contains(problem.Error(), tooLong))
	}
	none := accounts.Add(gypsum.Account{Name: "none"}, nil)
	is.Equal(len(none), 1)
	is.True(errors.Is(none[0], gypsum.ErrNoAPIKey))
	is.Equal(len(accounts.Add(gypsum.Account{Name: "first"}, []string{"secret-3", "secret-1"})), 0) // the same account again
	for key, name := range map[string]gypsum.AccountName{"secret-1": "first", longest: "first", "secret-2": "second", "secret-3": "first"} {
		account, ok := accounts.Authenticate(key)
		is.True(ok)
		is.Equal(account.Name, name)
	}
	_, ok := accounts.Authenticate(tooLong)
	is.True(!ok)
}

// TestAuthenticateAllocates guards against memory that each request would cost before it is known
// whether it has a valid key.
func TestAuthenticateAllocates(t *testing.T) {
	is := is.New(t)
	accounts := newAccounts(10_000)
	for _, key := range []string{testKey(17, 1), "unknown", strings.Repeat("k", gypsum.MaxAPIKeyBytes)} {
		is.Equal(testing.AllocsPerRun(100, func() { accounts.Authenticate(key) }), 0.0)
	}
}

// BenchmarkAuthenticate measures the look-up of a key among those of 10,000 accounts.
func BenchmarkAuthenticate(b *testing.B) {
	accounts := newAccounts(10_000)
	for name, key := range map[string]string{"known": testKey(17, 1), "unknown": testKey(10_000, 0)} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				accounts.Authenticate(key)
			}
		})
	}
}

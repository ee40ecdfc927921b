package batch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/fake"
)

// TestItemsOfRefusedBatch guards against a daemon that keeps the items of a refused submission for
// those of the accepted batch with the same id: the account of the accepted batch would read the
// bodies of another account, and they would run in its name.
func TestItemsOfRefusedBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		backing.Latency = 4 * time.Millisecond
		a, b := startManager(t, backing, "a"), startManager(t, backing, "b")
		time.Sleep(100 * time.Millisecond)
		submit := func(manager *batch.Manager, account gypsum.AccountName) error {
			submitted := newBatch("one", 1, 0)
			submitted.Account, submitted.Items[0].Body = account, []byte(account)
			return manager.AcceptBatch(t.Context(), submitted)
		}
		accepted := make(chan error)
		go func() { accepted <- submit(a, "hule") }()
		time.Sleep(time.Millisecond)
		is.True(errors.Is(submit(b, "fida"), batch.ErrBatchTaken)) // the daemon had not read the other header
		is.NoErr(<-accepted)
		for _, manager := range []*batch.Manager{a, b} {
			body, err := manager.ItemBody(t.Context(), "one", "item-0")
			is.NoErr(err)
			is.Equal(string(body), "hule")
		}
	})
}

// TestBatchWithoutAccountIsRefused guards against an accepted batch that nobody can read: a route
// without keys accepts it under an id that the batch of an account has.
func TestBatchWithoutAccountIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		backing.Latency = 4 * time.Millisecond
		a, b := startManager(t, backing, "a"), startManager(t, backing, "b")
		time.Sleep(100 * time.Millisecond)
		owned, anonymous := newBatch("one", 1, 0), newBatch("one", 1, 0)
		owned.Account, owned.AccountsInForce, anonymous.AccountsInForce = "hule", true, true
		accepted := make(chan error)
		go func() { accepted <- a.AcceptBatch(t.Context(), owned) }()
		time.Sleep(time.Millisecond)
		is.True(errors.Is(b.AcceptBatch(t.Context(), anonymous), batch.ErrBatchTaken))
		is.NoErr(<-accepted)
	})
}

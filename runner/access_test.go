package runner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
)

// TestItemsNameTheirAccount guards against attempts at items and reward calls that lack the account
// of their batch, also after a change of the holder, and against batches of different accounts
// that are mixed up.
func TestItemsNameTheirAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, newEngines(8), 0.8, 0.8, 0.8)
		accounts := map[gypsum.BatchID]gypsum.AccountName{"one": "hule930", "two": "fida11", "none": ""}
		itemAccounts := make(map[gypsum.ItemID]gypsum.AccountName)
		var submitted []*gypsum.Batch
		for id, account := range accounts {
			b := newScoredBatch(string(id), itemLengths(20, 2)...)
			b.Account = account
			for i := range b.Items {
				itemAccounts[b.Items[i].ID] = account
			}
			submitted = append(submitted, b)
			d.submitBatch(0, b)
		}
		time.Sleep(1500 * time.Millisecond)
		d.daemons[0].killAndWait()
		for _, b := range submitted {
			d.awaitResults(1, b, 20*time.Second)
		}
		resumed := 0
		for _, attempt := range d.engines.Attempts() {
			is.Equal(attempt.Account, itemAccounts[attempt.Item])
			if attempt.AfterEvent > 0 {
				resumed++
			}
		}
		is.True(resumed > 0) // by another holder
		scored := 0
		for _, call := range d.rewards.Calls() {
			account, ok := itemAccounts[gypsum.ItemID(call.ID[len("score-"):])]
			is.True(ok)
			is.Equal(call.Account, account)
			scored++
		}
		is.True(scored >= 60)
	})
}

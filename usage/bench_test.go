package usage_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/clock"
	"github.com/gypsumhook/gypsum/store"
	"github.com/gypsumhook/gypsum/usage"
)

// BenchmarkObserveRun measures what a request of one of 10,000 accounts costs its host.
func BenchmarkObserveRun(b *testing.B) {
	counter := usage.NewCounter()
	counter.Timing, counter.Clock = testTiming, &usage.TimeOfDay{Steady: clock.Steady, Wall: time.Now}
	accounts := make([]gypsum.AccountName, 10_000)
	for i := range accounts {
		accounts[i] = gypsum.AccountName(fmt.Sprint("account-", i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		counter.ObserveRun(accounts[i%len(accounts)], time.Now())
	}
}

// BenchmarkCloseWindow measures the closing of a window with counts of 780 hosts for 475 accounts
// each: 95 requests a second for 5 s.
func BenchmarkCloseWindow(b *testing.B) {
	var records []gypsum.KeyedRecord
	for host := range 780 {
		counts := make(map[gypsum.AccountName]int64)
		for account := range 475 {
			counts[gypsum.AccountName(fmt.Sprint("account-", (host*7+account)%10_000))] = 1
		}
		record, err := usage.EncodeCounts(&usage.Counts{Host: gypsum.HostID(fmt.Sprint("host-", host)), Window: 1, Counts: counts})
		if err != nil {
			b.Fatal(err)
		}
		record.Offset = gypsum.Offset(host)
		records = append(records, record)
	}
	b.ReportAllocs()
	for b.Loop() {
		ledger := usage.NewLedger(slog.New(slog.DiscardHandler))
		ledger.Apply(store.Update{Records: records})
		if _, err := usage.EncodeClosed(&usage.Closed{Window: 1, Counts: ledger.Sums(1)}, "edge-1.1.1"); err != nil {
			b.Fatal(err)
		}
	}
}

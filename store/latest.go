package store

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
)

// readLatestRecords reads the latest records of all keys of a topic's first partition, each page
// within a timeout. The records are in the order of their offsets; all later ones are at next or
// after it.
func readLatestRecords(ctx context.Context, store gypsum.KeyedStore, topic gypsum.Topic, timeout time.Duration) (records []gypsum.KeyedRecord, next gypsum.Offset, err error) {
	after, next := "", gypsum.Offset(-1)
	for more := true; more; {
		pageCtx, cancel := context.WithTimeout(ctx, timeout)
		page, err := store.LatestRecords(pageCtx, topic, 0, after)
		cancel()
		if err != nil {
			return nil, 0, fmt.Errorf("load latest records of topic %s: %w", topic, err)
		}
		if next < 0 {
			next = page.Next
		}
		records = append(records, page.Records...)
		more = page.More && len(page.Records) > 0
		if more {
			after = page.Records[len(page.Records)-1].Key
		}
	}
	// The pages are not a consistent snapshot: records appended since the first page
	// are dropped here and read afterwards in their order.
	records = slices.DeleteFunc(records, func(r gypsum.KeyedRecord) bool { return r.Offset >= next })
	slices.SortFunc(records, func(a, b gypsum.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	return records, next, nil
}

package batch

import (
	"context"
	"fmt"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/store"
)

// Bounds of a clean-up.
const (
	// removalsAtOnce bounds the records of one append.
	removalsAtOnce = 2000
	// crashesFor is how long crashes are remembered: a request that crashes replicas
	// comes again within seconds.
	crashesFor = 5 * time.Minute
	// clockSlack is how far the clocks of hosts may differ.
	clockSlack = 10 * time.Second
)

// doneWith is what can be removed of a batch.
type doneWith struct {
	id     gypsum.BatchID
	bodies Stored
	texts  []Stored
	keys   []string
}

// expired returns the batches that nobody may ask for any more: submitted longer ago
// than keep, and ended, or past the time at which items may be given up with all of
// them listed.
func (b *Book) expired(keep time.Duration, now time.Time) []doneWith {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var done []doneWith
	for id, known := range b.batches {
		header := &known.header
		closed := known.ended || len(known.listed) == header.Total
		if closed && now.After(header.SubmittedAt().Add(keep+clockSlack)) && now.After(header.GiveUpAt().Add(clockSlack)) {
			done = append(done, doneWith{id: id, bodies: header.Bodies, texts: known.texts, keys: known.keys})
		}
	}
	return done
}

// replaced returns the keys of the claims before the present holder's, and of crashes
// that are long past.
func (b *Book) replaced(now time.Time) []string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var keys []string
	for _, crashes := range b.crashes {
		for _, crash := range crashes {
			if now.After(crash.at.Add(crashesFor)) {
				keys = append(keys, crash.key)
			}
		}
	}
	for service, claims := range b.claims {
		for _, claim := range claims {
			if holder := b.holders[service]; holder != nil && claim.offset < holder.Fence {
				keys = append(keys, claim.key)
			}
		}
	}
	return keys
}

// Clean removes from the store what is no longer needed: batches submitted longer ago
// than keep that are closed, claims that others have replaced, and old crashes. Values go before
// the records that name them, so that a clean-up that is cut short is done again.
func (m *Manager) Clean(ctx context.Context, keep time.Duration) error {
	now := time.Now()
	batches := m.Book.expired(keep, now)
	for i := range batches {
		if err := m.remove(ctx, &batches[i]); err != nil {
			return fmt.Errorf("remove batch %s: %w", batches[i].id, err)
		}
	}
	old := m.Book.replaced(now)
	if err := removeKeys(ctx, m.State, old); err != nil {
		return fmt.Errorf("remove old claims and crashes: %w", err)
	}
	if len(batches)+len(old) > 0 {
		m.Logger.Info("store cleaned", "batches", len(batches), "claims_and_crashes", len(old))
	}
	return nil
}

// remove removes a batch.
func (m *Manager) remove(ctx context.Context, done *doneWith) error {
	var texts []string
	for _, stored := range done.texts {
		texts = append(texts, store.RecordKeys(stored.Key, stored.Count)...)
	}
	if err := removeKeys(ctx, m.Write(m.Topics.Texts, m.part(done.id)), texts); err != nil {
		return err
	}
	bodies := store.RecordKeys(done.bodies.Key, done.bodies.Count)
	if err := removeKeys(ctx, m.Write(m.Topics.Bodies, m.part(done.id)), bodies); err != nil {
		return err
	}
	return removeKeys(ctx, m.State, done.keys)
}

// removeKeys removes keys of a partition.
func removeKeys(ctx context.Context, writer *store.Writer, keys []string) error {
	for len(keys) > 0 {
		count := min(len(keys), removalsAtOnce)
		records := make([]gypsum.KeyedRecord, 0, count)
		for _, key := range keys[:count] {
			records = append(records, gypsum.KeyedRecord{Key: key})
		}
		if _, err := writer.Append(ctx, records...); err != nil {
			return fmt.Errorf("append removals to %s: %w", writer.Topic, err)
		}
		keys = keys[count:]
	}
	return nil
}

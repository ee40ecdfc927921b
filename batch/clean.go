package batch

import (
	"context"
	"fmt"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/store"
)

// Bounds of a cleanup.
const (
	// maxRemovals bounds the records of one append.
	maxRemovals = 2000
	// crashRetention is how long crashes are counted. A request that crashes replicas
	// returns within seconds.
	crashRetention = 5 * time.Minute
	// rateLimitRetention is how long the limit of a replica's request rate is kept. A limit
	// in force is recorded again each minute.
	rateLimitRetention = 5 * time.Minute
	// maxClockSkew is the largest expected difference between the clocks of hosts.
	maxClockSkew = 10 * time.Second
)

// expiredBatch lists what can be removed of a batch.
type expiredBatch struct {
	id     gypsum.BatchID
	bodies ValueRef
	texts  []ValueRef
	keys   []string
}

// expiredBatches returns the batches that no client may read any more. A batch expires
// when it has ended, the retention since its submission is over, and its items can no
// longer be attempted. One that has a result for every item may still be read until it
// is ended.
func (s *State) expiredBatches(retention time.Duration, now time.Time) []expiredBatch {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var expired []expiredBatch
	for id, entry := range s.batches {
		header := &entry.header
		if entry.ended && now.After(header.SubmittedAt().Add(retention+maxClockSkew)) && now.After(header.ExpiresAt().Add(maxClockSkew)) {
			expired = append(expired, expiredBatch{id: id, bodies: header.Bodies, texts: entry.texts, keys: entry.keys})
		}
	}
	return expired
}

// obsoleteKeys returns the keys of the claims before that of the current holder, of crashes
// older than crashRetention and of rate limits that were not renewed for rateLimitRetention.
func (s *State) obsoleteKeys(now time.Time) []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var keys []string
	for _, crashes := range s.crashes {
		for _, crash := range crashes {
			if now.After(crash.at.Add(crashRetention)) {
				keys = append(keys, crash.key)
			}
		}
	}
	for _, limit := range s.rateLimits {
		if now.Sub(limit.appliedAt) > rateLimitRetention {
			keys = append(keys, limit.key)
		}
	}
	for service, claims := range s.claims {
		for _, claim := range claims {
			if holder := s.holders[service]; holder != nil && claim.offset < holder.FencingToken {
				keys = append(keys, claim.key)
			}
		}
	}
	return keys
}

// RemoveObsolete removes obsolete records from the store: ended batches submitted longer ago
// than the retention, superseded claims, and old crashes and rate limits. Values are removed before the
// records that refer to them, so that an interrupted cleanup is repeated.
func (m *Manager) RemoveObsolete(ctx context.Context, retention time.Duration) error {
	now := time.Now()
	batches := m.State.expiredBatches(retention, now)
	for i := range batches {
		if err := m.removeBatch(ctx, &batches[i]); err != nil {
			return fmt.Errorf("remove batch %s: %w", batches[i].id, err)
		}
	}
	obsolete := m.State.obsoleteKeys(now)
	if err := removeKeys(ctx, m.StateWriter, obsolete); err != nil {
		return fmt.Errorf("remove obsolete claims, crashes and rate limits: %w", err)
	}
	if len(batches)+len(obsolete) > 0 {
		m.Logger.Info("removed obsolete records", "batches", len(batches), "claims_and_crashes", len(obsolete))
	}
	return nil
}

func (m *Manager) removeBatch(ctx context.Context, expired *expiredBatch) error {
	var texts []string
	for _, ref := range expired.texts {
		texts = append(texts, store.ValueRecordKeys(ref.Key, ref.Count)...)
	}
	if err := removeKeys(ctx, m.WriterFor(m.Topics.Texts, m.partitionOf(expired.id)), texts); err != nil {
		return err
	}
	bodies := store.ValueRecordKeys(expired.bodies.Key, expired.bodies.Count)
	if err := removeKeys(ctx, m.WriterFor(m.Topics.Bodies, m.partitionOf(expired.id)), bodies); err != nil {
		return err
	}
	return removeKeys(ctx, m.StateWriter, expired.keys)
}

// removeKeys appends removals of the keys to a partition.
func removeKeys(ctx context.Context, writer *store.Writer, keys []string) error {
	for len(keys) > 0 {
		count := min(len(keys), maxRemovals)
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

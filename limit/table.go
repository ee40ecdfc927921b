// Package limit keeps the requests of all daemons to a replica within the rate that the
// replica accepts. A Table holds the rates that replicas state, Budgets the permits that one
// daemon gives on behalf of all, and a Limiter obtains a permit for each request.
package limit

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum"
)

// Times of statements.
const (
	// recordInterval is the least time between two records of a replica's limit. A replica
	// may state another limit in each response.
	recordInterval = time.Second
	// refreshInterval is the age from which the record of a limit still in force is renewed,
	// since old records are removed.
	refreshInterval = time.Minute
	// recordTimeout bounds the storing of one record.
	recordTimeout = 2 * time.Second
	// statementRetention is how long the limit of a replica that is not registered is kept.
	// Its registration may return.
	statementRetention = time.Minute
	// maxQueuedRecords is the number of records that may wait to be stored: one for each
	// replica of a large service.
	maxQueuedRecords = 256
)

// statement is what a replica stated last about its limit.
type statement struct {
	gypsum.RateLimit
	statedAt time.Time
	// queuedAt is when a record of a limit of the replica was last queued.
	queuedAt time.Time
}

// isNewerThan reports whether the statement is newer than that of a record, which may be of
// another start of the replica.
func (s *statement) isNewerThan(record *gypsum.RateLimit, receivedAt time.Time) bool {
	if s.Incarnation != record.Incarnation {
		return s.Incarnation > record.Incarnation
	}
	return !s.statedAt.Before(receivedAt)
}

// Table holds the limits that replicas have stated in their responses, to this daemon or
// according to the records of others. It is safe for concurrent use.
type Table struct {
	Logger *slog.Logger
	// Store shares the limits with other daemons. It must be set before use.
	Store gypsum.RateLimitStore
	// Stats counts since the start of the daemon.
	Stats TableStats

	mu         sync.Mutex
	statements map[gypsum.BackendID]*statement
	records    chan gypsum.RateLimit
}

// TableStats counts the limits that replicas stated and lifted in responses to this daemon.
type TableStats struct {
	Stated atomic.Int64
	Lifted atomic.Int64
}

// NewTable returns an empty table without a store.
func NewTable(logger *slog.Logger) *Table {
	return &Table{Logger: logger, statements: make(map[gypsum.BackendID]*statement), records: make(chan gypsum.RateLimit, maxQueuedRecords)}
}

// current returns the newest statement of a replica's start, nil if none is known. The caller
// holds mu.
func (t *Table) current(replica *gypsum.Replica) *statement {
	own := t.statements[replica.ID]
	record, receivedAt, ok := t.Store.RecordedRateLimit(replica.ID)
	if ok && (own == nil || !own.isNewerThan(&record, receivedAt)) {
		own = &statement{RateLimit: record, statedAt: receivedAt}
	}
	if own == nil || own.Incarnation != replica.Incarnation {
		return nil
	}
	return own
}

// Limit returns the limit of a replica. ok is false if it states none.
func (t *Table) Limit(replica *gypsum.Replica) (limit gypsum.RequestRate, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.current(replica)
	if known == nil || known.Limit == nil {
		return 0, false
	}
	return *known.Limit, true
}

// ObserveRateLimit implements gypsum.RateObserver.
func (t *Table) ObserveRateLimit(replica *gypsum.Replica, limit *gypsum.RequestRate, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.statements[replica.ID]
	if last != nil && last.Incarnation > replica.Incarnation {
		return // a late response of an earlier start
	}
	known := t.current(replica)
	wasLimited := last != nil && last.Limit != nil && last.Incarnation < replica.Incarnation
	isLimited := known != nil && known.Limit != nil
	switch {
	case limit != nil:
		if !isLimited || *known.Limit != *limit {
			t.Stats.Stated.Add(1)
			t.Logger.Info("replica limits its request rate", "replica", replica.ID, "service", replica.Service, "born", replica.Incarnation,
				"requests_per_s", float64(*limit))
		}
	case !isLimited && !wasLimited:
		return
	case isLimited && !sentAt.After(known.statedAt):
		return // the response may be older than the limit
	default:
		t.Stats.Lifted.Add(1)
		t.Logger.Info("replica no longer limits its request rate", "replica", replica.ID, "service", replica.Service, "born", replica.Incarnation)
	}
	stated := &statement{RateLimit: gypsum.RateLimit{Replica: replica.ID, Incarnation: replica.Incarnation, Limit: limit}, statedAt: time.Now()}
	if last != nil {
		stated.queuedAt = last.queuedAt
	}
	t.statements[replica.ID] = stated
	t.queueRecord(stated)
}

// queueRecord queues the record of a statement unless the recorded one says the same, or one
// was queued or received a short time ago. The caller holds mu.
func (t *Table) queueRecord(stated *statement) {
	record, receivedAt, ok := t.Store.RecordedRateLimit(stated.Replica)
	ok = ok && record.Incarnation == stated.Incarnation
	interval := recordInterval
	if ok && equalLimits(record.Limit, stated.Limit) {
		interval = refreshInterval
	}
	if (ok && stated.statedAt.Sub(receivedAt) < interval) || stated.statedAt.Sub(stated.queuedAt) < recordInterval {
		return
	}
	select {
	case t.records <- stated.RateLimit:
		stated.queuedAt = stated.statedAt
	default:
		t.Logger.Warn("rate limit not recorded: queue is full", "replica", stated.Replica)
	}
}

// equalLimits reports whether two limits are equal or both absent.
func equalLimits(a, b *gypsum.RequestRate) bool {
	return a == b || (a != nil && b != nil && *a == *b)
}

// Run records limits for other daemons until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case record := <-t.records:
			recordCtx, cancel := context.WithTimeout(ctx, recordTimeout)
			if err := t.Store.RecordRateLimit(recordCtx, record); err != nil {
				t.Logger.Warn("failed to record rate limit", "replica", record.Replica, "error", err)
			}
			cancel()
		}
	}
}

// Count returns the number of replicas whose last response to this daemon stated a limit.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, stated := range t.statements {
		if stated.Limit != nil {
			count++
		}
	}
	return count
}

// Prune drops the limits of replicas that are not registered any more.
func (t *Table) Prune(registered map[gypsum.BackendID]*gypsum.Replica, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.statements, func(id gypsum.BackendID, stated *statement) bool {
		return registered[id] == nil && now.Sub(stated.statedAt) > statementRetention
	})
}

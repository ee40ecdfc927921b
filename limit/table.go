// Package limit keeps the rates to which replicas limit their requests. Such a limit
// applies to the requests of all daemons together.
package limit

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumhook/gypsum"
)

// statement is the limit that one start of a replica has stated last.
type statement struct {
	incarnation gypsum.Incarnation
	limit       gypsum.RequestRate
	statedAt    time.Time
}

// Table holds the limits that replicas have stated in their responses to this daemon. It is
// safe for concurrent use.
type Table struct {
	Logger *slog.Logger
	// Stats counts since the start of the daemon.
	Stats TableStats

	mu         sync.Mutex
	statements map[gypsum.BackendID]statement
}

// TableStats counts the limits that replicas put in force and lifted.
type TableStats struct {
	Stated atomic.Int64
	Lifted atomic.Int64
}

// NewTable returns an empty table.
func NewTable(logger *slog.Logger) *Table {
	return &Table{Logger: logger, statements: make(map[gypsum.BackendID]statement)}
}

// ObserveRateLimit implements gypsum.RateObserver.
func (t *Table) ObserveRateLimit(replica *gypsum.Replica, limit *gypsum.RequestRate, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.statements[replica.ID]
	switch {
	case ok && known.incarnation > replica.Incarnation:
		// A late response of an earlier start of the replica.
	case limit != nil:
		t.statements[replica.ID] = statement{incarnation: replica.Incarnation, limit: *limit, statedAt: time.Now()}
		if !ok || known.incarnation < replica.Incarnation || known.limit != *limit {
			t.Stats.Stated.Add(1)
			t.Logger.Info("replica limits its request rate", "replica", replica.ID, "service", replica.Service, "born", replica.Incarnation,
				"requests_per_s", float64(*limit))
		}
	case ok && (known.incarnation < replica.Incarnation || sentAt.After(known.statedAt)):
		// A response to a request sent before the limit was stated may be older than that.
		delete(t.statements, replica.ID)
		t.Stats.Lifted.Add(1)
		t.Logger.Info("replica no longer limits its request rate", "replica", replica.ID, "service", replica.Service, "born", replica.Incarnation)
	}
}

// Count returns the number of replicas that limit their request rate.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.statements)
}

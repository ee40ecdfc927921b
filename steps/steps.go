// Package steps reconstructs the course of batches from the logs of daemons: when each
// batch was submitted, started, generated, scored, stored, read and ended, and what its
// last item waited for.
package steps

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
)

// maxLineSize is the size from which a log line is rejected.
const maxLineSize = 1 << 20

// Batch is the course of a batch. Times that were not logged are zero.
type Batch struct {
	ID    gypsum.BatchID
	Model gypsum.EngineModel
	Step  int
	Items int
	// SubmittedAt is when the submission was received.
	SubmittedAt time.Time
	// LastRead is when the result of Last had been read.
	LastRead time.Time
	EndedAt  time.Time
	// Results is the number of results stored before the batch ended.
	Results int
	// Last is the item whose result was stored last before the batch ended, nil without one.
	Last *Item

	items map[gypsum.ItemID]*Item
}

// Item is the course of an item.
type Item struct {
	ID gypsum.ItemID
	// Engine ran the last attempt.
	Engine      gypsum.BackendID
	FirstStart  time.Time
	CompletedAt time.Time
	StoredAt    time.Time
	// StoreTime is the part of the time before StoredAt in which the result was stored.
	StoreTime time.Duration
	// EventTime is the expected time per event of the idle engine at the start of the last
	// attempt.
	EventTime time.Duration
	// Neighbours is the number of attempts that ran on the engine at that start.
	Neighbours int
	Moves      int
	// Broken is the number of attempts that ended early other than by a move.
	Broken int
	// Loads is the number of load orders to Engine between FirstStart and CompletedAt.
	Loads int
}

// Phases is the time of a batch on the path of its last item, divided into its parts.
type Phases struct {
	Waiting    time.Duration // from the submission to the item's first start
	Generation time.Duration // to the complete text
	Scoring    time.Duration // to the score
	Storing    time.Duration // to the stored result
	Reading    time.Duration // to the response that contains it
	Ending     time.Duration // to the end of the batch
}

// Longest returns the name and the length of the longest phase.
func (p *Phases) Longest() (string, time.Duration) {
	names := []string{"waiting", "generation", "scoring", "storing", "reading", "ending"}
	values := []time.Duration{p.Waiting, p.Generation, p.Scoring, p.Storing, p.Reading, p.Ending}
	longest := 0
	for i, value := range values {
		if value > values[longest] {
			longest = i
		}
	}
	return names[longest], values[longest]
}

// Phases returns the phases of the batch. Those whose end was not logged are 0.
func (b *Batch) Phases() Phases {
	if b.Last == nil {
		return Phases{}
	}
	item := b.Last
	phases := Phases{
		Waiting: between(b.SubmittedAt, item.FirstStart), Storing: item.StoreTime,
		Reading: between(item.StoredAt, b.LastRead), Ending: between(b.LastRead, b.EndedAt),
	}
	if item.CompletedAt.IsZero() {
		// Items without a scorer log only their result.
		phases.Generation = between(item.FirstStart, item.StoredAt) - item.StoreTime
		return phases
	}
	phases.Generation = between(item.FirstStart, item.CompletedAt)
	phases.Scoring = max(0, between(item.CompletedAt, item.StoredAt)-item.StoreTime)
	return phases
}

// between returns the time from start to end, 0 if one of them is not known.
func between(start, end time.Time) time.Duration {
	if start.IsZero() || end.IsZero() || end.Before(start) {
		return 0
	}
	return end.Sub(start)
}

// RefusalKey groups the refused and failed live requests.
type RefusalKey struct {
	Service gypsum.ServiceName
	Reason  string
	Outcome string
	Status  int
}

// Analysis is what the logs of the daemons of a deployment show.
type Analysis struct {
	// Batches are sorted by submission.
	Batches []*Batch
	// Refusals counts the live requests that were refused or failed.
	Refusals map[RefusalKey]int
	// Restarts counts the starts of daemons.
	Restarts int
	// Holders counts the acquisitions of services.
	Holders int
	// Skipped is the number of lines that are no log entries.
	Skipped int
}

// entry is a log entry with the fields of all messages that the analysis reads.
type entry struct {
	Time    time.Time          `json:"time"`
	Message string             `json:"msg"`
	Batch   gypsum.BatchID     `json:"batch"`
	Item    gypsum.ItemID      `json:"item"`
	Items   int                `json:"items"`
	Model   gypsum.EngineModel `json:"model"`
	Step    int                `json:"step"`
	Replica gypsum.BackendID   `json:"replica"`
	PaceMS  float64            `json:"pace_ms"`
	Others  int                `json:"runs_there"`
	StoreMS int64              `json:"store_ms"`
	TookMS  int64              `json:"took_ms"`
	After   int                `json:"after"`
	Results int                `json:"results"`
	Cause   any                `json:"cause"`
	Service gypsum.ServiceName `json:"service"`
	Reason  string             `json:"reason"`
	Outcome string             `json:"outcome"`
	Status  int                `json:"status"`
}

// loadOrder is a load order to an engine.
type loadOrder struct {
	engine gypsum.BackendID
	at     time.Time
}

// resultRead is a response with results of a batch.
type resultRead struct {
	at time.Time
	// count is the number of results that the reader has after the response.
	count int
}

// analyzer is the state of an analysis in progress.
type analyzer struct {
	analysis Analysis
	batches  map[gypsum.BatchID]*Batch
	reads    map[gypsum.BatchID][]resultRead
	loads    []loadOrder
}

// causeMoved is the logged cause of an attempt that ended since the item moved.
const causeMoved = "moved to another engine"

// Analyze reads log entries, one JSON object per line, from all daemons of a deployment in
// any order. Text before the object is ignored, such as a host name. Lines without one are
// counted as skipped.
func Analyze(logs io.Reader) (*Analysis, error) {
	a := &analyzer{
		analysis: Analysis{Refusals: make(map[RefusalKey]int)}, batches: make(map[gypsum.BatchID]*Batch),
		reads: make(map[gypsum.BatchID][]resultRead),
	}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineSize)
	var entries []entry
	for line := 1; scanner.Scan(); line++ {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		var e entry
		if start < 0 || json.Unmarshal(scanner.Bytes()[start:], &e) != nil || e.Message == "" {
			a.analysis.Skipped++
			continue
		}
		entries = append(entries, e)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read logs: %w", err)
	}
	slices.SortStableFunc(entries, func(x, y entry) int { return x.Time.Compare(y.Time) })
	for i := range entries {
		a.apply(&entries[i])
	}
	return a.finish(), nil
}

// batch returns the batch of an entry.
func (a *analyzer) batch(id gypsum.BatchID) *Batch {
	b, ok := a.batches[id]
	if !ok {
		b = &Batch{ID: id, items: make(map[gypsum.ItemID]*Item)}
		a.batches[id] = b
	}
	return b
}

// item returns the item of an entry.
func (a *analyzer) item(e *entry) *Item {
	b := a.batch(e.Batch)
	item, ok := b.items[e.Item]
	if !ok {
		item = &Item{ID: e.Item}
		b.items[e.Item] = item
	}
	return item
}

// apply applies the next entry in the order of time.
func (a *analyzer) apply(e *entry) {
	switch e.Message {
	case "started":
		a.analysis.Restarts++
	case "service acquired":
		a.analysis.Holders++
	case "load order sent":
		a.loads = append(a.loads, loadOrder{engine: e.Replica, at: e.Time})
	case "request refused or failed":
		a.analysis.Refusals[RefusalKey{Service: e.Service, Reason: e.Reason, Outcome: e.Outcome, Status: e.Status}]++
	case "batch stored":
		b := a.batch(e.Batch)
		b.Model, b.Step, b.Items = e.Model, e.Step, e.Items
	case "batch submitted":
		b := a.batch(e.Batch)
		if at := e.Time.Add(-time.Duration(e.TookMS) * time.Millisecond); b.SubmittedAt.IsZero() {
			b.SubmittedAt = at
		}
	case "item started":
		a.applyStart(e)
	case "item moved":
		a.item(e).Moves++
	case "attempt ended early":
		if e.Cause != causeMoved {
			a.item(e).Broken++
		}
	case "text complete; waiting for its score":
		a.item(e).CompletedAt = e.Time
	case "result stored":
		item := a.item(e)
		if item.StoredAt.IsZero() {
			item.StoredAt, item.StoreTime = e.Time, time.Duration(e.StoreMS)*time.Millisecond
		}
	case "batch results read":
		a.reads[e.Batch] = append(a.reads[e.Batch], resultRead{at: e.Time, count: e.After + e.Results})
	case "batch ended":
		if b := a.batch(e.Batch); b.EndedAt.IsZero() {
			b.EndedAt = e.Time
		}
	}
}

// applyStart applies the start of an attempt.
func (a *analyzer) applyStart(e *entry) {
	item := a.item(e)
	if item.FirstStart.IsZero() {
		item.FirstStart = e.Time
	}
	item.Engine, item.Neighbours = e.Replica, e.Others
	item.EventTime = time.Duration(e.PaceMS * float64(time.Millisecond))
}

// finish computes what depends on the whole log.
func (a *analyzer) finish() *Analysis {
	for _, b := range a.batches {
		for _, item := range b.items {
			if item.StoredAt.IsZero() || (!b.EndedAt.IsZero() && item.StoredAt.After(b.EndedAt)) {
				continue
			}
			b.Results++
			if b.Last == nil || item.StoredAt.After(b.Last.StoredAt) {
				b.Last = item
			}
		}
		if b.Last != nil {
			a.finishLast(b)
		}
		if !b.SubmittedAt.IsZero() {
			a.analysis.Batches = append(a.analysis.Batches, b)
		}
	}
	slices.SortFunc(a.analysis.Batches, func(x, y *Batch) int {
		return cmp.Or(x.SubmittedAt.Compare(y.SubmittedAt), cmp.Compare(x.ID, y.ID))
	})
	return &a.analysis
}

// finishLast computes when the last result was read and the loads beside its item.
func (a *analyzer) finishLast(b *Batch) {
	for _, read := range a.reads[b.ID] {
		if read.count >= b.Results && !read.at.Before(b.Last.StoredAt) {
			b.LastRead = read.at
			break
		}
	}
	end := b.Last.CompletedAt
	if end.IsZero() {
		end = b.Last.StoredAt
	}
	for _, load := range a.loads {
		if load.engine == b.Last.Engine && load.at.After(b.Last.FirstStart) && load.at.Before(end) {
			b.Last.Loads++
		}
	}
}

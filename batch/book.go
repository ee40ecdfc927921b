package batch

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/store"
)

// Book is the state of all batches and holders, folded from the records of the
// state topic in their order. All daemons that have folded the same records hold
// the same state.
type Book struct {
	Logger *slog.Logger

	mu      sync.RWMutex
	folded  gypsum.Offset
	batches map[gypsum.BatchID]*entry
	holders map[gypsum.ServiceName]*Holder
	beats   map[gypsum.HostID]beat
	hosts   map[gypsum.HostID]HostRecord
	changed chan struct{}
}

// entry is the state of one batch.
type entry struct {
	header   Header
	results  []Result
	listed   map[gypsum.ItemID]bool
	partials map[gypsum.ItemID]Partial
	failures map[gypsum.ItemID]Failures
	ended    bool
	changed  chan struct{}
}

// Holder is the host that runs the batches of a service.
type Holder struct {
	Host gypsum.HostID
	Boot gypsum.Incarnation
	// Fence is the offset of the claim that made it the holder.
	Fence gypsum.Offset
	// Released means that the host has given up the service.
	Released bool
	// Prior is the host that held the service before, empty for none.
	Prior gypsum.HostID
	// Since is when this daemon learned of the claim.
	Since time.Time
}

// beat is the newest sign of life of a host.
type beat struct {
	boot   gypsum.Incarnation
	number int64
	at     time.Time
}

// View is a copy of a batch's state.
type View struct {
	Header   Header
	Listed   map[gypsum.ItemID]bool
	Partials map[gypsum.ItemID]Partial
	Failures map[gypsum.ItemID]Failures
	Ended    bool
}

// NewBook returns an empty book.
func NewBook(logger *slog.Logger) *Book {
	return &Book{
		Logger: logger, folded: -1, batches: make(map[gypsum.BatchID]*entry),
		holders: make(map[gypsum.ServiceName]*Holder), beats: make(map[gypsum.HostID]beat),
		hosts: make(map[gypsum.HostID]HostRecord), changed: make(chan struct{}, 1),
	}
}

// Changed returns a channel that gets a value after the book has changed.
func (b *Book) Changed() <-chan struct{} { return b.changed }

// Apply folds records in the order of their offsets. Records that were folded
// before are passed over.
func (b *Book) Apply(update store.Update) {
	b.mu.Lock()
	now := time.Now()
	for i := range update.Records {
		record := &update.Records[i]
		if record.Offset <= b.folded {
			continue
		}
		b.folded = record.Offset
		if err := b.fold(record, now); err != nil {
			b.Logger.Warn("record passed over", "key", record.Key, "offset", record.Offset, "error", err)
		}
	}
	b.mu.Unlock()
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// fold folds one record. The caller holds mu.
func (b *Book) fold(record *gypsum.KeyedRecord, now time.Time) error {
	if len(record.Value) == 0 {
		if kind, host, _ := strings.Cut(record.Key, "/"); kind == kindHost {
			delete(b.hosts, gypsum.HostID(host))
		}
		return nil
	}
	switch kindOf(record.Key) {
	case kindHost:
		host, err := decode[HostRecord](record.Value)
		if err != nil {
			return err
		}
		b.hosts[host.Host] = host
	case kindHeader:
		header, err := decode[Header](record.Value)
		if err != nil {
			return err
		}
		b.foldHeader(header)
	case kindResult:
		result, err := decode[Result](record.Value)
		if err != nil {
			return err
		}
		b.foldResult(result)
	case kindEnd:
		end, err := decode[End](record.Value)
		if err != nil {
			return err
		}
		if known, ok := b.batches[end.Batch]; ok && !known.ended {
			known.ended = true
			known.signal()
		}
	case kindPartial:
		partial, err := decode[Partial](record.Value)
		if err != nil {
			return err
		}
		if known, ok := b.batches[partial.Batch]; ok {
			known.partials[partial.Item] = partial
		}
	case kindFailures:
		failures, err := decode[Failures](record.Value)
		if err != nil {
			return err
		}
		if known, ok := b.batches[failures.Batch]; ok {
			known.failures[failures.Item] = failures
		}
	case kindClaim:
		claim, err := decode[Claim](record.Value)
		if err != nil {
			return err
		}
		b.foldClaim(claim, record.Offset, now)
	case kindHeartbeat:
		sign, err := decode[Heartbeat](record.Value)
		if err != nil {
			return err
		}
		b.beats[sign.Host] = beat{boot: sign.Boot, number: sign.Beat, at: now}
	}
	return nil
}

// foldHeader takes in a batch. The first record of an id wins.
func (b *Book) foldHeader(header Header) {
	if _, ok := b.batches[header.ID]; ok {
		return
	}
	b.batches[header.ID] = &entry{
		header: header, listed: make(map[gypsum.ItemID]bool), partials: make(map[gypsum.ItemID]Partial),
		failures: make(map[gypsum.ItemID]Failures), changed: make(chan struct{}),
	}
}

// foldResult takes in a result. The first record of an item wins, and its position
// is the number of results before it.
func (b *Book) foldResult(result Result) {
	known, ok := b.batches[result.Batch]
	if !ok || known.listed[result.Item] {
		return
	}
	known.listed[result.Item] = true
	delete(known.partials, result.Item)
	known.results = append(known.results, result)
	known.signal()
}

// foldClaim takes in a claim. The first one that replaces the present one wins.
func (b *Book) foldClaim(claim Claim, offset gypsum.Offset, now time.Time) {
	present, ok := b.holders[claim.Service]
	if (ok && claim.Replaces != present.Fence) || (!ok && claim.Replaces >= 0) {
		return
	}
	holder := &Holder{Host: claim.Host, Boot: claim.Boot, Fence: offset, Released: claim.Released, Since: now}
	if ok {
		holder.Prior = present.Host
	}
	b.holders[claim.Service] = holder
	b.Logger.Info("holder changed", "service", claim.Service, "holder", claim.Host, "fence", offset, "released", claim.Released)
}

// signal wakes the readers that wait for a change. The caller holds the book's mu.
func (e *entry) signal() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// Holder returns the holder of a service and its newest sign of life.
func (b *Book) Holder(service gypsum.ServiceName) (holder Holder, alive time.Time, ok bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	known, ok := b.holders[service]
	if !ok {
		return Holder{}, time.Time{}, false
	}
	alive = known.Since
	if sign, seen := b.beats[known.Host]; seen && sign.boot == known.Boot && sign.at.After(alive) {
		alive = sign.at
	}
	return *known, alive, true
}

// Hosts returns the daemons that have told where they are.
func (b *Book) Hosts() []HostRecord {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return slices.Collect(maps.Values(b.hosts))
}

// Knows tells whether a batch was accepted.
func (b *Book) Knows(id gypsum.BatchID) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	_, ok := b.batches[id]
	return ok
}

// Get returns a batch's state.
func (b *Book) Get(id gypsum.BatchID) (View, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	known, ok := b.batches[id]
	if !ok {
		return View{}, false
	}
	return known.view(), true
}

// view returns a copy of the state. The caller holds the book's mu.
func (e *entry) view() View {
	return View{
		Header: e.header, Listed: maps.Clone(e.listed), Partials: maps.Clone(e.partials),
		Failures: maps.Clone(e.failures), Ended: e.ended,
	}
}

// Progress tells whether a batch is open and which of its items are listed, without copies.
func (b *Book) Progress(id gypsum.BatchID, visit func(listed map[gypsum.ItemID]bool, ended bool)) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	known, ok := b.batches[id]
	if ok {
		visit(known.listed, known.ended)
	}
	return ok
}

// Open returns the headers of the batches that are not ended and have items without
// a result.
func (b *Book) Open() []Header {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var open []Header
	for _, known := range b.batches {
		if !known.ended && len(known.listed) < known.header.Total {
			open = append(open, known.header)
		}
	}
	return open
}

// Results returns the results of a batch from a position on, the number of its
// items, and a channel that is closed at its next change.
func (b *Book) Results(id gypsum.BatchID, from int) (results []Result, header Header, changed <-chan struct{}, ok bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	known, ok := b.batches[id]
	if !ok {
		return nil, Header{}, nil, false
	}
	if from < len(known.results) {
		results = append(results, known.results[from:]...)
	}
	return results, known.header, known.changed, true
}

package batch

import (
	"log/slog"
	"maps"
	"slices"
	"strconv"
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
	claims  map[gypsum.ServiceName][]claimKey
	crashes map[gypsum.Fingerprint][]crashSeen
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
	// keys are those of the batch's records of state, texts the values in the topic of texts.
	keys  []string
	texts []Stored
}

// Holder is the host that runs the batches of a service.
type Holder struct {
	Host gypsum.HostID
	Boot gypsum.Incarnation
	// Fence is the offset of the claim that made it the holder, Term its number.
	Fence gypsum.Offset
	Term  int64
	// Released means that the host has given up the service.
	Released bool
	// Prior is the host that held the service before, empty for none.
	Prior gypsum.HostID
	// Since is when this daemon learned of the claim.
	Since time.Time
}

// claimKey is a claim's record.
type claimKey struct {
	key    string
	offset gypsum.Offset
}

// crashSeen is the record of a replica that died while it ran a request.
type crashSeen struct {
	key string
	at  time.Time
}

// beat is the newest heartbeat of a host.
type beat struct {
	boot gypsum.Incarnation
	at   time.Time
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
		hosts: make(map[gypsum.HostID]HostRecord), claims: make(map[gypsum.ServiceName][]claimKey),
		crashes: make(map[gypsum.Fingerprint][]crashSeen), changed: make(chan struct{}, 1),
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
		b.foldRemoval(record.Key)
		return nil
	}
	switch kindOf(record.Key) {
	case kindHost:
		return take(record, func(host HostRecord) { b.hosts[host.Host] = host })
	case kindHeader:
		return take(record, func(header Header) { b.foldHeader(header, record.Key) })
	case kindResult:
		return take(record, func(result Result) { b.foldResult(result, record.Key) })
	case kindEnd:
		return take(record, func(end End) { b.foldEnd(end, record.Key) })
	case kindPartial:
		return take(record, func(partial Partial) { b.foldPartial(partial, record.Key) })
	case kindFailures:
		return take(record, func(failures Failures) { b.foldFailures(failures, record.Key) })
	case kindClaim:
		return take(record, func(claim Claim) { b.foldClaim(claim, record, now) })
	case kindCrash:
		return take(record, func(crash Crash) {
			seen := crashSeen{key: record.Key, at: time.UnixMilli(crash.At)}
			b.crashes[crash.Fingerprint] = append(b.crashes[crash.Fingerprint], seen)
		})
	case kindHeartbeat:
		return take(record, func(sign Heartbeat) { b.beats[sign.Host] = beat{boot: sign.Boot, at: now} })
	}
	return nil
}

// take decodes a record and applies its content.
func take[T any](record *gypsum.KeyedRecord, apply func(T)) error {
	content, err := decode[T](record.Value)
	if err != nil {
		return err
	}
	apply(content)
	return nil
}

// foldEnd takes in the end of a batch.
func (b *Book) foldEnd(end End, key string) {
	known, ok := b.batches[end.Batch]
	if !ok {
		return
	}
	known.keys = append(known.keys, key)
	if !known.ended {
		known.ended = true
		known.signal()
	}
}

// foldPartial takes in the events that an item's run has given so far.
func (b *Book) foldPartial(partial Partial, key string) {
	if known, ok := b.batches[partial.Batch]; ok {
		known.keys, known.texts = append(known.keys, key), append(known.texts, partial.Text)
		known.partials[partial.Item] = partial
	}
}

// foldFailures takes in how often an item's runs have failed.
func (b *Book) foldFailures(failures Failures, key string) {
	if known, ok := b.batches[failures.Batch]; ok {
		known.keys = append(known.keys, key)
		known.failures[failures.Item] = failures
	}
}

// foldRemoval takes in the removal of a key.
func (b *Book) foldRemoval(key string) {
	parts := strings.Split(key, "/")
	if len(parts) < 2 {
		return
	}
	switch parts[0] {
	case kindHost:
		delete(b.hosts, gypsum.HostID(parts[1]))
	case kindHeader:
		delete(b.batches, gypsum.BatchID(parts[1]))
	case kindClaim:
		service := gypsum.ServiceName(parts[1])
		b.claims[service] = slices.DeleteFunc(b.claims[service], func(claim claimKey) bool { return claim.key == key })
	case kindCrash:
		if number, err := strconv.ParseUint(parts[1], 16, 64); err == nil {
			b.dropCrash(gypsum.Fingerprint(number), key)
		}
	}
}

// dropCrash forgets one crash of a request.
func (b *Book) dropCrash(fingerprint gypsum.Fingerprint, key string) {
	left := slices.DeleteFunc(b.crashes[fingerprint], func(crash crashSeen) bool { return crash.key == key })
	if len(left) == 0 {
		delete(b.crashes, fingerprint)
		return
	}
	b.crashes[fingerprint] = left
}

// foldHeader takes in a batch. The first record of an id wins.
func (b *Book) foldHeader(header Header, key string) {
	if known, ok := b.batches[header.ID]; ok {
		known.keys = append(known.keys, key)
		return
	}
	b.batches[header.ID] = &entry{
		header: header, listed: make(map[gypsum.ItemID]bool), partials: make(map[gypsum.ItemID]Partial),
		failures: make(map[gypsum.ItemID]Failures), changed: make(chan struct{}), keys: []string{key},
	}
}

// foldResult takes in a result. The first record of an item wins, and its position
// is the number of results before it.
func (b *Book) foldResult(result Result, key string) {
	known, ok := b.batches[result.Batch]
	if !ok {
		return
	}
	known.keys, known.texts = append(known.keys, key), append(known.texts, result.Text)
	if known.listed[result.Item] {
		return
	}
	known.listed[result.Item] = true
	delete(known.partials, result.Item)
	known.results = append(known.results, result)
	known.signal()
}

// foldClaim takes in a claim. The first one of the highest term wins.
func (b *Book) foldClaim(claim Claim, record *gypsum.KeyedRecord, now time.Time) {
	b.claims[claim.Service] = append(b.claims[claim.Service], claimKey{key: record.Key, offset: record.Offset})
	present, ok := b.holders[claim.Service]
	if ok && claim.Term <= present.Term {
		return
	}
	holder := &Holder{
		Host: claim.Host, Boot: claim.Boot, Fence: record.Offset, Term: claim.Term, Released: claim.Released, Since: now,
	}
	if ok {
		holder.Prior = present.Host
	}
	b.holders[claim.Service] = holder
	b.Logger.Info("holder changed", "service", claim.Service, "holder", claim.Host, "fence", record.Offset, "released", claim.Released)
}

// signal wakes the readers that wait for a change. The caller holds the book's mu.
func (e *entry) signal() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// Holder returns the holder of a service and its newest heartbeat.
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

// CrashCount returns how many replicas have lately died while they ran a request.
func (b *Book) CrashCount(fingerprint gypsum.Fingerprint) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	count := 0
	for _, crash := range b.crashes[fingerprint] {
		if time.Since(crash.at) < crashesFor {
			count++
		}
	}
	return count
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

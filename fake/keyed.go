package fake

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/gypsumhook/gypsum"
)

// KeyedFault is a fault of a keyed store.
type KeyedFault int

// The faults of a keyed store.
const (
	// KeyedRefuse refuses each call.
	KeyedRefuse KeyedFault = iota + 1
	// KeyedSilent carries out nothing and answers nothing until the caller gives up.
	KeyedSilent
	// KeyedLost carries out appends and loses their answers.
	KeyedLost
	// KeyedLate loses the answers of appends and carries them out LateBy later.
	KeyedLate
)

// KeyedStore is a gypsum.RecordStore in memory. It keeps the newest record of each
// key when it forgets its history.
type KeyedStore struct {
	// Delay is the time a call takes, LateBy the delay of KeyedLate.
	Delay  time.Duration
	LateBy time.Duration

	mu      sync.Mutex
	parts   map[keyedPart]*keyedLog
	fault   KeyedFault
	changed chan struct{}
	calls   int64
}

// keyedPart names a partition.
type keyedPart struct {
	topic gypsum.Topic
	part  gypsum.Partition
}

// keyedLog is one partition.
type keyedLog struct {
	records   []gypsum.KeyedRecord
	first     gypsum.Offset
	next      gypsum.Offset
	newest    map[string]gypsum.KeyedRecord
	producers map[string]*producer
}

// producer is what a partition knows of one who appends.
type producer struct {
	epoch   int64
	next    int64
	answers map[int64]gypsum.Offset
}

// NewKeyedStore returns an empty store.
func NewKeyedStore() *KeyedStore {
	return &KeyedStore{
		LateBy: 3 * time.Second, parts: make(map[keyedPart]*keyedLog), changed: make(chan struct{}),
	}
}

// SetFault puts the store into a fault, 0 ends it.
func (s *KeyedStore) SetFault(fault KeyedFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Calls returns the number of calls so far.
func (s *KeyedStore) Calls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Forget drops the history of all partitions; the newest record of each key stays.
func (s *KeyedStore) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, log := range s.parts {
		log.records, log.first = nil, log.next
	}
}

// log returns a partition, made on first use. The caller holds mu.
func (s *KeyedStore) log(topic gypsum.Topic, part gypsum.Partition) *keyedLog {
	key := keyedPart{topic, part}
	if s.parts[key] == nil {
		s.parts[key] = &keyedLog{newest: make(map[string]gypsum.KeyedRecord), producers: make(map[string]*producer)}
	}
	return s.parts[key]
}

// enter waits as a call does and returns the fault it meets.
func (s *KeyedStore) enter(ctx context.Context) (KeyedFault, error) {
	s.mu.Lock()
	s.calls++
	fault, delay := s.fault, s.Delay
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %w", gypsum.ErrStoreUnknown, ctx.Err())
	case <-time.After(delay):
	}
	switch fault {
	case KeyedRefuse:
		return 0, gypsum.ErrStoreRefused
	case KeyedSilent:
		<-ctx.Done()
		return 0, fmt.Errorf("%w: %w", gypsum.ErrStoreUnknown, ctx.Err())
	}
	return fault, nil
}

// Append is part of gypsum.RecordStore.
func (s *KeyedStore) Append(ctx context.Context, add gypsum.KeyedAppend) (gypsum.Offset, error) {
	fault, err := s.enter(ctx)
	if err != nil {
		return 0, err
	}
	switch fault {
	case KeyedLate:
		time.AfterFunc(s.LateBy, func() { _, _ = s.append(add) })
		return 0, gypsum.ErrStoreUnknown
	case KeyedLost:
		_, _ = s.append(add)
		return 0, gypsum.ErrStoreUnknown
	}
	return s.append(add)
}

// append carries out an append.
func (s *KeyedStore) append(add gypsum.KeyedAppend) (gypsum.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	log := s.log(add.Topic, add.Part)
	if add.Producer != "" {
		offset, done, err := log.admit(&add)
		if done || err != nil {
			return offset, err
		}
	}
	first := log.next
	for _, record := range add.Records {
		record.Offset = log.next
		log.next++
		log.records = append(log.records, record)
		log.newest[record.Key] = record
		if len(record.Value) == 0 {
			delete(log.newest, record.Key)
		}
	}
	if add.Producer != "" {
		log.producers[add.Producer].answers[add.Sequence] = first
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first, nil
}

// Put adds a record as another writer does, past all faults.
func (s *KeyedStore) Put(topic gypsum.Topic, record gypsum.KeyedRecord) {
	_, _ = s.append(gypsum.KeyedAppend{Topic: topic, Records: []gypsum.KeyedRecord{record}})
}

// admit checks the producer of an append; done means that it is a repeat.
func (l *keyedLog) admit(add *gypsum.KeyedAppend) (offset gypsum.Offset, done bool, err error) {
	known := l.producers[add.Producer]
	if known == nil || add.Epoch > known.epoch {
		known = &producer{epoch: add.Epoch, next: add.Sequence, answers: make(map[int64]gypsum.Offset)}
		l.producers[add.Producer] = known
	}
	if add.Epoch < known.epoch {
		return 0, false, gypsum.ErrStoreFenced
	}
	if offset, repeat := known.answers[add.Sequence]; repeat {
		return offset, true, nil
	}
	if add.Sequence != known.next {
		return 0, false, gypsum.ErrStoreSequence
	}
	known.next++
	return 0, false, nil
}

// Read is part of gypsum.RecordStore.
func (s *KeyedStore) Read(ctx context.Context, read gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	if _, err := s.enter(ctx); err != nil {
		return nil, err
	}
	deadline := time.After(read.Wait)
	for {
		s.mu.Lock()
		log, changed := s.log(read.Topic, read.Part), s.changed
		page, err := log.page(read.From, read.Max)
		s.mu.Unlock()
		if err != nil || len(page.Records) > 0 || read.Wait == 0 {
			return page, err
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", gypsum.ErrStoreUnknown, ctx.Err())
		case <-deadline:
			return page, nil
		case <-changed:
		}
	}
}

// recordOverhead is what a record takes in a page beside its key and value.
const recordOverhead = 5

// pageSize bounds a page if a read asks for no size.
const pageSize = 1 << 20

// page returns the records from an offset on, one at the least and then as many as a
// size holds, each with its key and some bytes more.
func (l *keyedLog) page(from gypsum.Offset, size gypsum.Bytes) (*gypsum.KeyedPage, error) {
	if from < l.first {
		return nil, gypsum.ErrTruncated
	}
	page := &gypsum.KeyedPage{Next: l.next, First: l.first}
	if skip := int(from - l.first); skip < len(l.records) {
		if size == 0 {
			size = pageSize
		}
		for _, record := range l.records[skip:] {
			if size -= gypsum.Bytes(len(record.Key) + len(record.Value) + recordOverhead); size < 0 && len(page.Records) > 0 {
				break
			}
			page.Records = append(page.Records, record)
		}
	}
	return page, nil
}

// newestPage is the number of records in a page of the newest.
const newestPage = 500

// LatestRecords is part of gypsum.RecordStore.
func (s *KeyedStore) LatestRecords(ctx context.Context, topic gypsum.Topic, part gypsum.Partition, after string) (*gypsum.NewestPage, error) {
	if _, err := s.enter(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	log := s.log(topic, part)
	page := &gypsum.NewestPage{Next: log.next}
	keys := make([]string, 0, len(log.newest))
	for key := range log.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page.More = len(keys) > newestPage
	for _, key := range keys[:min(len(keys), newestPage)] {
		page.Records = append(page.Records, log.newest[key])
	}
	return page, nil
}

// CutStore is a host's path to a store. While it is cut, calls are not answered.
type CutStore struct {
	gypsum.RecordStore
	mu  sync.Mutex
	cut bool
}

// SetCut cuts the path or restores it.
func (c *CutStore) SetCut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// blocked waits for the end of a call if the path is cut.
func (c *CutStore) blocked(ctx context.Context) error {
	c.mu.Lock()
	cut := c.cut
	c.mu.Unlock()
	if !cut {
		return nil
	}
	<-ctx.Done()
	return fmt.Errorf("%w: %w", gypsum.ErrStoreUnknown, ctx.Err())
}

// Append is part of gypsum.RecordStore.
func (c *CutStore) Append(ctx context.Context, add gypsum.KeyedAppend) (gypsum.Offset, error) {
	if err := c.blocked(ctx); err != nil {
		return 0, err
	}
	return c.RecordStore.Append(ctx, add)
}

// Read is part of gypsum.RecordStore.
func (c *CutStore) Read(ctx context.Context, read gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	if err := c.blocked(ctx); err != nil {
		return nil, err
	}
	return c.RecordStore.Read(ctx, read)
}

// LatestRecords is part of gypsum.RecordStore.
func (c *CutStore) LatestRecords(ctx context.Context, topic gypsum.Topic, part gypsum.Partition, after string) (*gypsum.NewestPage, error) {
	if err := c.blocked(ctx); err != nil {
		return nil, err
	}
	return c.RecordStore.LatestRecords(ctx, topic, part, after)
}

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
	// KeyedRefused refuses each call without executing it.
	KeyedRefused KeyedFault = iota + 1
	// KeyedHang executes no call and responds to none until the caller's context ends, also
	// to reads that were waiting for records before.
	KeyedHang
	// KeyedResponseLost executes appends and loses their responses.
	KeyedResponseLost
	// KeyedDelayed executes appends AppendDelay later and loses their responses.
	KeyedDelayed
)

// KeyedStore is an in-memory store of keyed records. It implements gypsum.KeyedStore.
type KeyedStore struct {
	// Latency is how long each call takes, AppendDelay the delay of KeyedDelayed.
	Latency     time.Duration
	AppendDelay time.Duration

	mu         sync.Mutex
	partitions map[partitionKey]*keyedPartition
	fault      KeyedFault
	changed    chan struct{}
	callCount  int64
}

type partitionKey struct {
	topic     gypsum.Topic
	partition gypsum.Partition
}

// keyedPartition is the content of a partition. records start at offset first, and next is
// the offset of the next record. latest has the newest record of each key, even after
// ExpireHistory has removed it from records.
type keyedPartition struct {
	records       []gypsum.KeyedRecord
	firstOffset   gypsum.Offset
	nextOffset    gypsum.Offset
	latestRecords map[string]gypsum.KeyedRecord
	producers     map[string]*producerState
}

// producerState is the state of an idempotent producer in a partition. offsets maps the
// sequence number of an append to the offset of its first record.
type producerState struct {
	epoch        int64
	nextSequence int64
	offsets      map[int64]gypsum.Offset
}

// NewKeyedStore returns an empty store.
func NewKeyedStore() *KeyedStore {
	return &KeyedStore{
		AppendDelay: 3 * time.Second, partitions: make(map[partitionKey]*keyedPartition), changed: make(chan struct{}),
	}
}

// SetFault injects a fault. 0 clears it.
func (s *KeyedStore) SetFault(fault KeyedFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetLatency sets how long each call takes from now on.
func (s *KeyedStore) SetLatency(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Latency = latency
}

// CallCount returns the number of calls so far, including those that failed.
func (s *KeyedStore) CallCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

// ExpireHistory removes all records from all partitions, as their retention does. The
// latest record of each key stays available to LatestRecords.
func (s *KeyedStore) ExpireHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, partition := range s.partitions {
		partition.records, partition.firstOffset = nil, partition.nextOffset
	}
}

// partition returns a partition and creates it if it does not exist. The caller holds mu.
func (s *KeyedStore) partition(topic gypsum.Topic, partition gypsum.Partition) *keyedPartition {
	key := partitionKey{topic, partition}
	if s.partitions[key] == nil {
		s.partitions[key] = &keyedPartition{latestRecords: make(map[string]gypsum.KeyedRecord), producers: make(map[string]*producerState)}
	}
	return s.partitions[key]
}

// simulateCall waits for the latency of a call and applies the faults that prevent its
// execution. It returns the fault in effect.
func (s *KeyedStore) simulateCall(ctx context.Context) (KeyedFault, error) {
	s.mu.Lock()
	s.callCount++
	fault, latency := s.fault, s.Latency
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return 0, fmt.Errorf("call store: %w: %w", gypsum.ErrStoreUnknown, ctx.Err())
	case <-time.After(latency):
	}
	switch fault {
	case KeyedRefused:
		return 0, gypsum.ErrStoreRefused
	case KeyedHang:
		<-ctx.Done()
		return 0, fmt.Errorf("call store: %w: %w", gypsum.ErrStoreUnknown, ctx.Err())
	}
	return fault, nil
}

// Append implements gypsum.KeyedStore.
func (s *KeyedStore) Append(ctx context.Context, req gypsum.KeyedAppend) (gypsum.Offset, error) {
	fault, err := s.simulateCall(ctx)
	if err != nil {
		return 0, err
	}
	switch fault {
	case KeyedDelayed:
		time.AfterFunc(s.AppendDelay, func() { _, _ = s.appendRecords(req) })
		return 0, gypsum.ErrStoreUnknown
	case KeyedResponseLost:
		_, _ = s.appendRecords(req)
		return 0, gypsum.ErrStoreUnknown
	}
	return s.appendRecords(req)
}

func (s *KeyedStore) appendRecords(req gypsum.KeyedAppend) (gypsum.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	partition := s.partition(req.Topic, req.Part)
	if req.Producer != "" {
		offset, duplicate, err := partition.checkProducer(&req)
		if duplicate || err != nil {
			return offset, err
		}
	}
	first := partition.nextOffset
	for _, record := range req.Records {
		record.Offset = partition.nextOffset
		partition.nextOffset++
		partition.records = append(partition.records, record)
		partition.latestRecords[record.Key] = record
		if len(record.Value) == 0 {
			delete(partition.latestRecords, record.Key)
		}
	}
	if req.Producer != "" {
		partition.producers[req.Producer].offsets[req.Sequence] = first
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first, nil
}

// AppendDirectly appends a record as another client of the store does. Faults and latency
// do not apply to it.
func (s *KeyedStore) AppendDirectly(topic gypsum.Topic, record gypsum.KeyedRecord) {
	_, _ = s.appendRecords(gypsum.KeyedAppend{Topic: topic, Records: []gypsum.KeyedRecord{record}})
}

// checkProducer checks the epoch and the sequence number of an append. If the append is a
// retry, duplicate is true and offset is that of the first attempt. It returns
// ErrStoreFenced if a later epoch of the producer has appended, and ErrStoreSequence if
// the sequence number is not the next one.
func (p *keyedPartition) checkProducer(req *gypsum.KeyedAppend) (offset gypsum.Offset, duplicate bool, err error) {
	state := p.producers[req.Producer]
	if state == nil || req.Epoch > state.epoch {
		state = &producerState{epoch: req.Epoch, nextSequence: req.Sequence, offsets: make(map[int64]gypsum.Offset)}
		p.producers[req.Producer] = state
	}
	if req.Epoch < state.epoch {
		return 0, false, gypsum.ErrStoreFenced
	}
	if offset, retried := state.offsets[req.Sequence]; retried {
		return offset, true, nil
	}
	if req.Sequence != state.nextSequence {
		return 0, false, gypsum.ErrStoreSequence
	}
	state.nextSequence++
	return 0, false, nil
}

// Read implements gypsum.KeyedStore. It waits up to req.Wait for a record.
func (s *KeyedStore) Read(ctx context.Context, req gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	if _, err := s.simulateCall(ctx); err != nil {
		return nil, err
	}
	deadline := time.After(req.Wait)
	for {
		s.mu.Lock()
		partition, changed := s.partition(req.Topic, req.Part), s.changed
		page, err := partition.readPage(req.From, req.Max)
		s.mu.Unlock()
		if err != nil || len(page.Records) > 0 || req.Wait == 0 {
			return page, err
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("wait for records: %w: %w", gypsum.ErrStoreUnknown, ctx.Err())
		case <-deadline:
			s.mu.Lock()
			hang := s.fault == KeyedHang
			s.mu.Unlock()
			if !hang {
				return page, nil
			}
			<-ctx.Done()
		case <-changed:
		}
	}
}

// recordOverhead is the size of a record in a page beyond its key and value, in bytes.
const recordOverhead = 5

// defaultPageSize limits a page in bytes if the read sets no limit.
const defaultPageSize = 1 << 20

// readPage returns the records from an offset on: at least one, if there is any, and
// then as many as fit into size bytes, each counted with its key and recordOverhead. It
// returns ErrTruncated if ExpireHistory has removed the record at the offset.
func (p *keyedPartition) readPage(from gypsum.Offset, size gypsum.Bytes) (*gypsum.KeyedPage, error) {
	if from < p.firstOffset {
		return nil, gypsum.ErrTruncated
	}
	page := &gypsum.KeyedPage{Next: p.nextOffset, First: p.firstOffset}
	if skip := int(from - p.firstOffset); skip < len(p.records) {
		if size == 0 {
			size = defaultPageSize
		}
		for _, record := range p.records[skip:] {
			if size -= gypsum.Bytes(len(record.Key) + len(record.Value) + recordOverhead); size < 0 && len(page.Records) > 0 {
				break
			}
			page.Records = append(page.Records, record)
		}
	}
	return page, nil
}

// latestPageRecords is the maximum number of records that LatestRecords returns.
const latestPageRecords = 500

// LatestRecords implements gypsum.KeyedStore.
func (s *KeyedStore) LatestRecords(ctx context.Context, topic gypsum.Topic, partitionNumber gypsum.Partition, after string) (*gypsum.LatestPage, error) {
	if _, err := s.simulateCall(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	partition := s.partition(topic, partitionNumber)
	page := &gypsum.LatestPage{Next: partition.nextOffset}
	keys := make([]string, 0, len(partition.latestRecords))
	for key := range partition.latestRecords {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page.More = len(keys) > latestPageRecords
	for _, key := range keys[:min(len(keys), latestPageRecords)] {
		page.Records = append(page.Records, partition.latestRecords[key])
	}
	return page, nil
}

package gypsum

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Topic is the name of a group of partitions of the platform's store.
type Topic string

// Partition is the number of a partition of a topic, from 0.
type Partition int

// KeyedRecord is a record of a keyed topic. One without a value removes its key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset Offset
}

// KeyedAppend is a request to add records to a keyed topic in one act.
type KeyedAppend struct {
	Topic   Topic
	Part    Partition
	Records []KeyedRecord
	// Producer, Epoch and Sequence make a repeat of the append harmless: the store
	// answers it like the first. A higher epoch fences all lower ones.
	Producer string
	Epoch    int64
	Sequence int64
}

// KeyedRead is a request for the records of a partition from an offset on.
type KeyedRead struct {
	Topic Topic
	Part  Partition
	From  Offset
	Max   Bytes
	Wait  time.Duration
}

// KeyedPage is a run of records.
type KeyedPage struct {
	Records []KeyedRecord
	// Next is the offset that the next append will get, First the oldest offset
	// that retention has left.
	Next  Offset
	First Offset
}

// NewestPage is a part of the newest records of all keys of a partition.
type NewestPage struct {
	Records []KeyedRecord
	More    bool
	Next    Offset
}

// RecordStore is the platform's log as a store of keyed records.
type RecordStore interface {
	// Append returns the offset of the first record. On ErrStoreRefused nothing
	// was done; on ErrStoreUnknown the records may be in, or may get in later.
	Append(ctx context.Context, req KeyedAppend) (Offset, error)
	// Read returns ErrTruncated if records from the offset on have expired.
	Read(ctx context.Context, req KeyedRead) (*KeyedPage, error)
	// LatestRecords returns the newest records of the keys that follow a key.
	LatestRecords(ctx context.Context, topic Topic, partition Partition, after string) (*NewestPage, error)
}

// Errors of the keyed store.
var (
	// ErrStoreRefused is a call that the store refused and did not carry out.
	ErrStoreRefused = errors.New("store refused the call")
	// ErrStoreUnknown is a call without an answer. It may have been carried out.
	ErrStoreUnknown = errors.New("store gave no answer")
	// ErrStoreFenced is an append of an epoch below one already seen.
	ErrStoreFenced = errors.New("append of an old epoch")
	// ErrStoreSequence is an append whose sequence number does not follow the last.
	ErrStoreSequence = errors.New("append out of sequence")
)

// PeerStores is the way to the store through other daemons.
type PeerStores interface {
	// StoreVia returns the store as the daemon at an address reaches it.
	StoreVia(address string) RecordStore
}

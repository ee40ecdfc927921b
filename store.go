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

// KeyedRecord is a record of a keyed topic. A record without a value deletes its key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset Offset
}

// KeyedAppend is a request to add records to a keyed topic atomically.
type KeyedAppend struct {
	Topic   Topic
	Part    Partition
	Records []KeyedRecord
	// Producer, Epoch and Sequence make the append idempotent: the store responds
	// to a retry as to the first attempt. A higher epoch fences all lower ones.
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
	// Timeout bounds the call itself, without the time that it waits for the daemon's share of the
	// store's calls. 0 means that only the context bounds it.
	Timeout time.Duration `cbor:"-"`
}

// KeyedPage is a sequence of consecutive records.
type KeyedPage struct {
	Records []KeyedRecord
	// Next is the offset that the next append will get, First the oldest offset
	// that retention has kept.
	Next  Offset
	First Offset
	// SentAt is when the read behind the page was sent to the store or earlier, by the daemon's
	// SteadyClock; 0 means that it was sent after the call began. It is not sent to other daemons,
	// whose clocks differ. Records that the store accepted earlier are in the page or before it.
	SentAt time.Duration `cbor:"-" json:"-"`
	// ResponseAge is how long before the return the store responded to that read. It is 0 if the
	// store itself was called.
	ResponseAge time.Duration `cbor:"-" json:"-"`
}

// LatestPage is a page of the latest records of the keys of a partition.
type LatestPage struct {
	Records []KeyedRecord
	More    bool
	Next    Offset
}

// KeyedStore is a client of the platform's store of keyed records.
type KeyedStore interface {
	// Append returns the offset of the first record. After ErrStoreRefused nothing
	// was appended; after ErrStoreUnknown the records may have been appended or may
	// still be appended later.
	Append(ctx context.Context, req KeyedAppend) (Offset, error)
	// Read returns ErrTruncated if records from the offset on have expired.
	Read(ctx context.Context, req KeyedRead) (*KeyedPage, error)
	// LatestRecords returns a page of the latest records of the keys after a key.
	LatestRecords(ctx context.Context, topic Topic, partition Partition, after string) (*LatestPage, error)
}

// Errors of a KeyedStore.
var (
	// ErrStoreRefused is returned when the store refused the call without executing it.
	ErrStoreRefused = errors.New("store refused the call")
	// ErrStoreRateLimited is returned when all daemons together made too many calls. It was not
	// executed, and the error says nothing about the path to the store.
	ErrStoreRateLimited = errors.New("store limited the rate of calls")
	// ErrStoreUnknown is returned when a call got no response. It may have been executed.
	ErrStoreUnknown = errors.New("no response from the store")
	// ErrStoreFenced is returned for an append with a lower epoch than the producer's newest.
	ErrStoreFenced = errors.New("append fenced by a newer epoch")
	// ErrStoreSequence is returned for an append whose sequence number does not follow
	// the last one.
	ErrStoreSequence = errors.New("append out of sequence")
)

// Peer is another daemon with the address at which daemons reach it.
type Peer struct {
	Host     HostID
	Address  string
	Location Location
}

// PeerStores returns clients of the store that connect through other daemons.
type PeerStores interface {
	// StoreVia returns a client of the store that connects through the daemon at an address.
	StoreVia(address string) KeyedStore
}

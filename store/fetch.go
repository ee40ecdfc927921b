package store

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// ErrNotFound means that the store no longer has a record.
var ErrNotFound = errors.New("record not found in the store")

// ValueRef locates a value that is stored as Count records at consecutive offsets
// from Offset on. The record keys are Key followed by the number of the record.
// Size is the size of the value in bytes.
type ValueRef struct {
	Offset gypsum.Offset
	Key    string
	Count  int
	Size   int
}

// Sizes of reads in bytes.
const (
	// recordOverhead is added for each record beyond its value, for its key and
	// lengths.
	recordOverhead = 256
	// maxReadBytes is the maximum size of one read, the store's own default.
	maxReadBytes = 1 << 20
)

// valueRecordKey returns the key of the record with the given number.
func valueRecordKey(key string, number int) string { return fmt.Sprintf("%s/%03d", key, number) }

// NewValueRecords returns the records of a value whose parts are given.
func NewValueRecords(key string, parts [][]byte) []gypsum.KeyedRecord {
	records := make([]gypsum.KeyedRecord, 0, len(parts))
	for i, value := range parts {
		records = append(records, gypsum.KeyedRecord{Key: valueRecordKey(key, i), Value: value})
	}
	return records
}

// ValueRecordKeys returns the keys of a value that is stored as count records.
func ValueRecordKeys(key string, count int) []string {
	keys := make([]string, 0, count)
	for number := range count {
		keys = append(keys, valueRecordKey(key, number))
	}
	return keys
}

// FetchValues returns the values of one partition that refs locate, by key. It reads
// them by their offsets, and by their keys if the offsets have expired. All keys
// begin with the prefix. Adjacent values are read in one call. It returns
// ErrNotFound if a record is missing.
func FetchValues(ctx context.Context, store gypsum.KeyedStore, topic gypsum.Topic, partition gypsum.Partition, prefix string, refs []ValueRef) (map[string][]byte, error) {
	state := &fetchState{fetched: make(map[string][]byte)}
	for _, ref := range refs {
		state.addValue(ref)
	}
	slices.SortFunc(state.missing, func(a, b recordRef) int { return cmp.Compare(a.offset, b.offset) })
	for len(state.missing) > 0 {
		page, err := store.Read(ctx, gypsum.KeyedRead{Topic: topic, Part: partition, From: state.missing[0].offset, Max: state.bytesToRead()})
		if errors.Is(err, gypsum.ErrTruncated) || (err == nil && !state.collectRecords(page.Records)) {
			return state.joinValues(refs, state.fetchByKey(ctx, store, topic, partition, prefix))
		}
		if err != nil {
			return nil, fmt.Errorf("read records of %s/%d: %w", topic, partition, err)
		}
	}
	return state.joinValues(refs, nil)
}

// recordRef locates a record to read.
type recordRef struct {
	key    string
	offset gypsum.Offset
	size   int
}

// fetchState is the progress of FetchValues: the records still missing and the values
// read so far.
type fetchState struct {
	missing []recordRef
	fetched map[string][]byte
}

// addValue adds the records of a value to those missing.
func (f *fetchState) addValue(ref ValueRef) {
	for number := range ref.Count {
		f.missing = append(f.missing, recordRef{
			key: valueRecordKey(ref.Key, number), offset: ref.Offset + gypsum.Offset(number), size: ref.Size/ref.Count + recordOverhead,
		})
	}
}

// bytesToRead returns the number of bytes to read for the missing records. It is
// doubled if other records lie between them.
func (f *fetchState) bytesToRead() gypsum.Bytes {
	size := recordOverhead
	for _, ref := range f.missing {
		size += ref.size
	}
	first, last := f.missing[0].offset, f.missing[len(f.missing)-1].offset
	if last-first == gypsum.Offset(len(f.missing)-1) {
		return gypsum.Bytes(min(maxReadBytes, size))
	}
	return gypsum.Bytes(min(maxReadBytes, 2*size))
}

// collectRecords stores those of the records that were missing and reports whether there
// were any.
func (f *fetchState) collectRecords(records []gypsum.KeyedRecord) bool {
	values := make(map[string][]byte, len(records))
	for i := range records {
		values[records[i].Key] = records[i].Value
	}
	missingBefore := len(f.missing)
	f.missing = slices.DeleteFunc(f.missing, func(ref recordRef) bool {
		value, ok := values[ref.key]
		if ok {
			f.fetched[ref.key] = value
		}
		return ok
	})
	return len(f.missing) < missingBefore
}

// fetchByKey reads the missing records from the latest records that follow the
// prefix.
func (f *fetchState) fetchByKey(ctx context.Context, store gypsum.KeyedStore, topic gypsum.Topic, partition gypsum.Partition, prefix string) error {
	for after := prefix; len(f.missing) > 0; {
		page, err := store.LatestRecords(ctx, topic, partition, after)
		if err != nil {
			return fmt.Errorf("read latest records of %s/%d: %w", topic, partition, err)
		}
		f.collectRecords(page.Records)
		if len(page.Records) == 0 || !page.More {
			break
		}
		after = page.Records[len(page.Records)-1].Key
		if !strings.HasPrefix(after, prefix) {
			break
		}
	}
	return nil
}

// joinValues returns each value joined from its records.
func (f *fetchState) joinValues(refs []ValueRef, err error) (map[string][]byte, error) {
	if err != nil {
		return nil, err
	}
	if len(f.missing) > 0 {
		return nil, fmt.Errorf("fetch record %s and %d more: %w", f.missing[0].key, len(f.missing)-1, ErrNotFound)
	}
	values := make(map[string][]byte, len(refs))
	for _, ref := range refs {
		value := make([]byte, 0, ref.Size)
		for number := range ref.Count {
			value = append(value, f.fetched[valueRecordKey(ref.Key, number)]...)
		}
		values[ref.Key] = value
	}
	return values, nil
}

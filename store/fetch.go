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

// ErrMissing is a record that the store no longer holds.
var ErrMissing = errors.New("record is not in the store")

// Place tells where a value stands that is cut into records with following
// offsets. Its keys are Key with the number of each record behind it.
type Place struct {
	Offset gypsum.Offset
	Key    string
	Count  int
	Size   int
}

// Sizes of reads.
const (
	// recordSlack is read for each record beyond its value: its key and length.
	recordSlack = 256
	// longestFetch is the most that one read asks for, the store's own default.
	longestFetch = 1 << 20
)

// keyOf returns the key of the record with a number.
func keyOf(key string, number int) string { return fmt.Sprintf("%s/%03d", key, number) }

// Cut returns the records of the parts of a value.
func Cut(key string, values [][]byte) []gypsum.KeyedRecord {
	records := make([]gypsum.KeyedRecord, 0, len(values))
	for i, value := range values {
		records = append(records, gypsum.KeyedRecord{Key: keyOf(key, i), Value: value})
	}
	return records
}

// Keys returns the keys of a value that is cut into a number of records.
func Keys(key string, count int) []string {
	keys := make([]string, 0, count)
	for number := range count {
		keys = append(keys, keyOf(key, number))
	}
	return keys
}

// Fetch returns the values at places of one partition, by their keys: by their
// offsets, and by the keys once the offsets have expired. All keys begin with the
// prefix. Values that stand together are read in one call.
func Fetch(ctx context.Context, store gypsum.RecordStore, topic gypsum.Topic, part gypsum.Partition, prefix string, places []Place) (map[string][]byte, error) {
	fetch := &fetching{found: make(map[string][]byte)}
	for _, place := range places {
		fetch.want(place)
	}
	slices.SortFunc(fetch.missing, func(a, b wanted) int { return cmp.Compare(a.offset, b.offset) })
	for len(fetch.missing) > 0 {
		page, err := store.Read(ctx, gypsum.KeyedRead{Topic: topic, Part: part, From: fetch.missing[0].offset, Max: fetch.size()})
		if errors.Is(err, gypsum.ErrTruncated) || (err == nil && !fetch.take(page.Records)) {
			return fetch.values(places, fetch.byKey(ctx, store, topic, part, prefix))
		}
		if err != nil {
			return nil, fmt.Errorf("fetch from %s/%d: %w", topic, part, err)
		}
	}
	return fetch.values(places, nil)
}

// wanted is a record that is wanted.
type wanted struct {
	key    string
	offset gypsum.Offset
	size   int
}

// fetching is a fetch in progress.
type fetching struct {
	missing []wanted
	found   map[string][]byte
}

// want adds the records of a place.
func (f *fetching) want(place Place) {
	for number := range place.Count {
		f.missing = append(f.missing, wanted{
			key: keyOf(place.Key, number), offset: place.Offset + gypsum.Offset(number), size: place.Size/place.Count + recordSlack,
		})
	}
}

// size returns how much to read for what is missing. Other records may stand between.
func (f *fetching) size() gypsum.Bytes {
	size := recordSlack
	for _, want := range f.missing {
		size += want.size
	}
	first, last := f.missing[0].offset, f.missing[len(f.missing)-1].offset
	if last-first == gypsum.Offset(len(f.missing)-1) {
		return gypsum.Bytes(min(longestFetch, size))
	}
	return gypsum.Bytes(min(longestFetch, 2*size))
}

// take takes the wanted ones of records, false if there were none.
func (f *fetching) take(records []gypsum.KeyedRecord) bool {
	values := make(map[string][]byte, len(records))
	for i := range records {
		values[records[i].Key] = records[i].Value
	}
	before := len(f.missing)
	f.missing = slices.DeleteFunc(f.missing, func(want wanted) bool {
		value, ok := values[want.key]
		if ok {
			f.found[want.key] = value
		}
		return ok
	})
	return len(f.missing) < before
}

// byKey reads what is missing from the newest records behind a prefix.
func (f *fetching) byKey(ctx context.Context, store gypsum.RecordStore, topic gypsum.Topic, part gypsum.Partition, prefix string) error {
	for after := prefix; len(f.missing) > 0; {
		page, err := store.LatestRecords(ctx, topic, part, after)
		if err != nil {
			return fmt.Errorf("fetch newest of %s/%d: %w", topic, part, err)
		}
		f.take(page.Records)
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

// values joins the records of each place.
func (f *fetching) values(places []Place, err error) (map[string][]byte, error) {
	if err != nil {
		return nil, err
	}
	if len(f.missing) > 0 {
		return nil, fmt.Errorf("fetch %s and %d more: %w", f.missing[0].key, len(f.missing)-1, ErrMissing)
	}
	values := make(map[string][]byte, len(places))
	for _, place := range places {
		value := make([]byte, 0, place.Size)
		for number := range place.Count {
			value = append(value, f.found[keyOf(place.Key, number)]...)
		}
		values[place.Key] = value
	}
	return values, nil
}

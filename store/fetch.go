package store

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// ErrMissing is a record that the store no longer holds.
var ErrMissing = errors.New("record is not in the store")

// Place tells where a value stands that is cut into records with following
// offsets. Its keys are Key with the number of each record behind it.
type Place struct {
	Topic  gypsum.Topic
	Part   gypsum.Partition
	Offset gypsum.Offset
	Key    string
	Count  int
}

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

// Fetch returns the values of the records at a place: by their offsets, or by
// their keys once the offsets have expired.
func Fetch(ctx context.Context, store gypsum.KeyedStore, place Place, size gypsum.Bytes) ([][]byte, error) {
	page, err := store.Read(ctx, gypsum.KeyedRead{Topic: place.Topic, Part: place.Part, From: place.Offset, Max: size})
	if err == nil {
		values, ok := pick(page.Records, place)
		if ok {
			return values, nil
		}
	} else if !errors.Is(err, gypsum.ErrTruncated) {
		return nil, fmt.Errorf("fetch %s: %w", place.Key, err)
	}
	newest, err := store.Newest(ctx, place.Topic, place.Part, place.Key)
	if err != nil {
		return nil, fmt.Errorf("fetch %s: %w", place.Key, err)
	}
	values, ok := pick(newest.Records, place)
	if !ok {
		return nil, fmt.Errorf("fetch %s: %w", place.Key, ErrMissing)
	}
	return values, nil
}

// pick returns the values of a place's keys, false if one is not there.
func pick(records []gypsum.KeyedRecord, place Place) ([][]byte, bool) {
	values := make([][]byte, place.Count)
	found := 0
	for i := range records {
		for number := range place.Count {
			if values[number] == nil && records[i].Key == keyOf(place.Key, number) {
				values[number] = records[i].Value
				found++
			}
		}
	}
	return values, found == place.Count
}

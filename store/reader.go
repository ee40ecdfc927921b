package store

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// pollTimeout bounds one call of a Reader: some records between regions. A call that was made
// just before the end of an outage delays the next one by as much.
const pollTimeout = 600 * time.Millisecond

// Reader reads a keyed topic's first partition when it is asked to. It is for topics that are read
// seldom; a Follower is for those that are followed. It may not be used concurrently. Set the
// fields before use.
type Reader struct {
	Store gypsum.KeyedStore
	Topic gypsum.Topic
	// Handle is called with each update, from Poll.
	Handle func(Update)

	loaded     bool
	nextOffset gypsum.Offset
}

// Loaded reports whether the latest records were read since the last Reset.
func (r *Reader) Loaded() bool { return r.loaded }

// Reset makes the next Poll read the latest records of all keys.
func (r *Reader) Reset() { r.loaded = false }

// Poll reads all records that the store has now: first the latest records of all keys, later those
// that were appended since the last Poll.
func (r *Reader) Poll(ctx context.Context) error {
	if !r.loaded {
		if err := r.load(ctx); err != nil {
			return err
		}
	}
	for {
		done, err := r.readPage(ctx)
		if errors.Is(err, gypsum.ErrTruncated) {
			r.loaded = false
		}
		if err != nil || done {
			return err
		}
	}
}

// load reads the latest records of all keys.
func (r *Reader) load(ctx context.Context) error {
	records, next, err := readLatestRecords(ctx, r.Store, r.Topic, pollTimeout)
	if err != nil {
		return err
	}
	r.Handle(Update{Records: records, Complete: true})
	r.loaded, r.nextOffset = true, next
	return nil
}

// readPage reads the next page and reports whether it was the last one.
func (r *Reader) readPage(ctx context.Context) (done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	page, err := r.Store.Read(ctx, gypsum.KeyedRead{Topic: r.Topic, From: r.nextOffset})
	if err != nil {
		return false, fmt.Errorf("read topic %s: %w", r.Topic, err)
	}
	if page.First > r.nextOffset {
		return false, fmt.Errorf("read topic %s from offset %d, oldest retained offset is %d: %w", r.Topic, r.nextOffset, page.First, gypsum.ErrTruncated)
	}
	if len(page.Records) == 0 {
		return true, nil
	}
	r.Handle(Update{Records: page.Records})
	r.nextOffset = page.Records[len(page.Records)-1].Offset + 1
	return r.nextOffset >= page.Next, nil
}

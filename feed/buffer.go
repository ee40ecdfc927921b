package feed

import (
	"time"

	"github.com/gypsumhook/gypsum"
)

// buffer holds the newest records of a topic that this daemon has read from the store itself: those
// at the offsets from start to end, without a gap.
type buffer struct {
	records    []gypsum.KeyedRecord
	start, end gypsum.Offset
	size       gypsum.Bytes
	// next is the offset after the last record that the store had.
	next gypsum.Offset
	// sentAt and respondedAt are the times of the newest read and of its response.
	sentAt      time.Duration
	respondedAt time.Duration
	// changed is closed at the next read.
	changed chan struct{}
}

// newBuffer returns a buffer that holds no records before an offset.
func newBuffer(from gypsum.Offset) *buffer {
	return &buffer{start: from, end: from, changed: make(chan struct{})}
}

// recordSize returns the memory that a record takes, about.
func recordSize(record *gypsum.KeyedRecord) gypsum.Bytes {
	return gypsum.Bytes(len(record.Key)+len(record.Value)) + recordOverhead
}

// recordOverhead is the size of a record beyond its key and value.
const recordOverhead = 64

// add adds the records of a page that was read from an offset on, and drops the oldest records
// beyond limit. After a gap the buffer begins again.
func (b *buffer) add(from gypsum.Offset, page *gypsum.KeyedPage, sentAt, respondedAt time.Duration, limit gypsum.Bytes) {
	if from != b.end {
		b.restart(from)
	}
	for i := range page.Records {
		record := page.Records[i]
		if record.Offset != b.end {
			b.restart(record.Offset)
		}
		b.records, b.end, b.size = append(b.records, record), record.Offset+1, b.size+recordSize(&record)
	}
	dropped := 0
	// A quarter is dropped at a time, so that the rest is rarely copied.
	for full := b.size > limit; full && b.size > limit*3/4 && dropped < len(b.records); {
		b.size -= recordSize(&b.records[dropped])
		dropped++
	}
	if dropped > 0 {
		b.records = append([]gypsum.KeyedRecord(nil), b.records[dropped:]...)
		b.start += gypsum.Offset(dropped)
	}
	b.next, b.sentAt, b.respondedAt = page.Next, sentAt, respondedAt
	close(b.changed)
	b.changed = make(chan struct{})
}

// restart drops all records.
func (b *buffer) restart(from gypsum.Offset) { b.records, b.start, b.end, b.size = nil, from, from, 0 }

// maxPageSize limits the records of a page, as the store does.
const maxPageSize = gypsum.Bytes(1 << 20)

// readFrom returns the records from an offset on, as many as a page holds. It returns false if the
// buffer does not know them.
func (b *buffer) readFrom(from gypsum.Offset) ([]gypsum.KeyedRecord, bool) {
	switch {
	case from < b.start:
		return nil, false
	case from >= b.end:
		// Beyond the end there was nothing at the time of the newest read, if that reached the end.
		return nil, b.end >= b.next
	}
	records := b.records[from-b.start:]
	size := gypsum.Bytes(0)
	for i := range records {
		if size += recordSize(&records[i]); size > maxPageSize && i > 0 {
			return records[:i], true
		}
	}
	return records, true
}

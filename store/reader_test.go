package store_test

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/store"
)

// TestReaderReadsAllRecords guards against records that a Reader skips or handles twice, with
// several pages and after the records have expired, and bounds its calls.
func TestReaderReadsAllRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		var keys []string
		reader := &store.Reader{Store: backing, Topic: topic, Handle: func(update store.Update) {
			if update.Complete {
				keys = nil
			}
			for i := range update.Records {
				keys = append(keys, update.Records[i].Key)
			}
		}}
		appendRecords := func(from, to int) {
			for i := from; i < to; i++ {
				backing.AppendDirectly(topic, gypsum.KeyedRecord{Key: fmt.Sprintf("%04d", i), Value: make([]byte, 4<<10)})
			}
		}
		appendRecords(0, 700)
		is.True(!reader.Loaded())
		is.NoErr(reader.Poll(t.Context()))
		is.Equal(len(keys), 700)
		appendRecords(700, 1200) // two pages
		is.NoErr(reader.Poll(t.Context()))
		is.Equal(len(keys), 1200)
		calls := backing.CallCount()
		is.NoErr(reader.Poll(t.Context()))
		is.Equal(backing.CallCount()-calls, int64(1))
		is.Equal(len(keys), 1200)

		appendRecords(1200, 1210)
		backing.ExpireHistory()
		is.True(reader.Poll(t.Context()) != nil)
		is.True(!reader.Loaded())
		is.NoErr(reader.Poll(t.Context()))
		is.Equal(len(keys), 1210)
	})
}

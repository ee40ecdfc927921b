package scale_test

import (
	"log/slog"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/scale"
	"github.com/gypsumhook/gypsum/store"
)

// TestRecordFormat guards against a change of the records that daemons of another build cannot
// read.
func TestRecordFormat(t *testing.T) {
	is, g := is.New(t), goldie.New(t)
	order, err := scale.EncodeOrder(&scale.Order{
		Service: "huvo11a", DataCentre: "genova", Replicas: 6, State: scale.OrderRejected, Previous: 4, AtMS: 1789261546003, Rejections: 2,
	})
	is.NoErr(err)
	is.Equal(order.Key, "o/huvo11a/genova/on_demand")
	g.Assert(t, "order", order.Value)
	initial, err := scale.EncodeInitial(&scale.Initial{
		Service: "huvo11a", OnDemand: map[gypsum.DataCentre]int{"genova": 4}, Reclaimable: map[gypsum.DataCentre]int{"genova": 1},
	})
	is.NoErr(err)
	is.Equal(initial.Key, "i/huvo11a")
	g.Assert(t, "initial", initial.Value)
}

// FuzzBook checks that no record makes the book panic.
func FuzzBook(f *testing.F) {
	f.Add("o/huvo11a/genova/on_demand", []byte{0xa1, 0x01, 0x61, 0x61})
	f.Add("i/huvo11a", []byte{0xa1, 0x02, 0xa1, 0x61, 0x61, 0x04})
	f.Fuzz(func(_ *testing.T, key string, value []byte) {
		book := scale.NewBook(slog.New(slog.DiscardHandler))
		book.Apply(store.Update{Records: []gypsum.KeyedRecord{{Key: key, Value: value}}})
	})
}

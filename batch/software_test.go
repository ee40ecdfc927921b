package batch_test

import (
	"io"
	"log/slog"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/store"
)

// TestSettledSoftware checks that the order of the records decides which software versions of a service
// are settled: the settling of a record has no effect on a later one, in whichever order they are read.
func TestSettledSoftware(t *testing.T) {
	is := is.New(t)
	record := func(key string, offset gypsum.Offset, content any) gypsum.KeyedRecord {
		value, err := cbor.Marshal(content)
		is.NoErr(err)
		return gypsum.KeyedRecord{Key: key, Value: value, Offset: offset}
	}
	one := record("s/desk", 3, batch.Software{Service: "desk", Versions: []gypsum.SoftwareVersion{"1"}})
	settledOne := record("t/desk", 4, batch.SettledSoftware{Service: "desk", Record: 3})
	both := record("s/desk", 5, batch.Software{Service: "desk", Versions: []gypsum.SoftwareVersion{"1", "2"}})
	settledLate := record("t/desk", 6, batch.SettledSoftware{Service: "desk", Record: 3}) // by a daemon that is behind
	again := record("s/desk", 7, batch.Software{Service: "desk", Versions: []gypsum.SoftwareVersion{"1"}})
	for _, row := range []struct {
		records  []gypsum.KeyedRecord
		versions int
		settled  bool
	}{
		{[]gypsum.KeyedRecord{one}, 1, false},
		{[]gypsum.KeyedRecord{one, settledOne}, 1, true},
		{[]gypsum.KeyedRecord{settledOne}, -1, false},
		{[]gypsum.KeyedRecord{one, settledOne, both}, 2, false},
		{[]gypsum.KeyedRecord{settledOne, both}, 2, false}, // the latest records
		{[]gypsum.KeyedRecord{one, settledOne, both, settledLate}, 2, false},
		{[]gypsum.KeyedRecord{both, settledLate}, 2, false},
		{[]gypsum.KeyedRecord{one, settledOne, both, settledLate, again}, 1, false},
	} {
		state := batch.NewState(slog.New(slog.NewTextHandler(io.Discard, nil)))
		state.Apply(store.Update{Records: row.records})
		recorded, ok := state.RecordedSoftware("desk")
		is.Equal(ok, row.versions > 0)
		is.Equal(len(recorded.Versions), max(0, row.versions))
		is.Equal(recorded.Settled, row.settled)
	}
}

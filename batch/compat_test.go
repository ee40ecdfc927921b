package batch_test

import (
	"encoding/hex"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/store"
)

// recordedKinds are the records of the state topic by their kinds, with the values that were
// encoded into testdata/records.golden by the first build that must run beside newer ones.
var recordedKinds = map[string]any{
	"b": batch.Header{
		ID: "b1", Route: "route", HostName: "host.example", Service: "engines", Model: "model", MinVersion: 3, ItemCount: 2, SingleVersion: true,
		MaxAttempts: 4, SubmittedMS: 1000, DueMS: 8500, ExpiresMS: 41000, Bodies: batch.ValueRef{Offset: 7, Key: "b1/0", Count: 2, Size: 900},
		Origin: "host-1", Step: 5, Scored: true,
	},
	"r": batch.Result{
		Batch: "b1", Item: "i1", State: gypsum.ItemCompleted, Versions: []gypsum.WeightVersion{3, 4},
		Text: batch.ValueRef{Offset: 9, Key: "b1/i1", Count: 1, Size: 40}, Score: "0.5",
	},
	"e": batch.End{Batch: "b1"},
	"c": batch.Claim{Service: "engines", Host: "host-1", Incarnation: 77, Term: 2, Released: true, MakesRewardCalls: true},
	"h": batch.Heartbeat{Host: "host-1", Incarnation: 77, Sequence: 12},
	"p": batch.Checkpoint{
		Batch: "b1", Item: "i1", LastEvent: 14, Versions: []gypsum.WeightVersion{3}, Text: batch.ValueRef{Offset: 8, Key: "b1/i1/p", Count: 1, Size: 20},
		Complete: true, Software: newSoftware("v2"),
	},
	"f": batch.Failures{Batch: "b1", Item: "i1", Failed: 1, Crashed: 2, RewardCallsFailed: 3},
	"n": batch.DaemonRecord{Host: "host-1", Address: "127.0.0.1:7000", Location: gypsum.Location{DataCentre: "dc-1", Region: "region-1"}, CPUShare: 0.192},
	"x": batch.Crash{Fingerprint: 1234, Replica: "replica-1", AtMS: 2000},
	"l": gypsum.RateLimit{Replica: "replica-1", Incarnation: 8},
}

func newSoftware(version gypsum.SoftwareVersion) *gypsum.SoftwareVersion { return &version }

// TestRecordsOfEarlierBuild guards against a change of the encoding of a record: during an
// upgrade, daemons of two builds write to one topic.
func TestRecordsOfEarlierBuild(t *testing.T) {
	is := is.New(t)
	content, err := os.ReadFile("testdata/records.golden")
	is.NoErr(err)
	var recorded map[string]string
	is.NoErr(json.Unmarshal(content, &recorded))
	is.Equal(len(recorded), len(recordedKinds))
	for kind, expected := range recordedKinds {
		encoded, err := hex.DecodeString(recorded[kind])
		is.NoErr(err)
		decoded := reflect.New(reflect.TypeOf(expected))
		is.NoErr(cbor.Unmarshal(encoded, decoded.Interface()))
		is.Equal(decoded.Elem().Interface(), expected) // a record of the earlier build is read as it was written
		current, err := cbor.Marshal(expected)
		is.NoErr(err)
		is.Equal(hex.EncodeToString(current), recorded[kind]) // what the earlier build knows is written as it writes it
	}
}

// TestRecordsOfLaterBuild guards against a daemon that loses its position, or a record, because a
// newer build adds a field to a record or writes a kind of record that this one does not know.
func TestRecordsOfLaterBuild(t *testing.T) {
	is := is.New(t)
	state := batch.NewState(slog.New(slog.NewTextHandler(io.Discard, nil)))
	withNewField := map[int]any{1: "b1", 5: "model", 7: 2, 9000: map[string]int{"new": 1}}
	header, err := cbor.Marshal(withNewField)
	is.NoErr(err)
	end, err := cbor.Marshal(batch.End{Batch: "b1"})
	is.NoErr(err)
	state.Apply(store.Update{Records: []gypsum.KeyedRecord{
		{Key: "b/b1", Value: header, Offset: 0},
		{Key: "new_kind/b1", Value: []byte{0xff, 0x00}, Offset: 1},
		{Key: "new_kind/b1", Offset: 2},
		{Key: "e/b1", Value: end, Offset: 3},
	}})
	snapshot, ok := state.Snapshot("b1")
	is.True(ok)
	is.Equal(snapshot.Header.Model, gypsum.EngineModel("model"))
	is.True(snapshot.Ended) // the records behind the unknown ones are applied
}

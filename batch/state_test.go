package batch_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/store"
)

var topics = batch.Topics{State: "keyed.state", Bodies: "keyed.body", Texts: "keyed.text"}

// startManager starts a daemon's manager on a store and stops it at the end of the test.
func startManager(t *testing.T, backing gypsum.KeyedStore, name string) *batch.Manager {
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 4)
	writers := make(map[gypsum.Topic]*store.Writer)
	for _, topic := range []gypsum.Topic{topics.State, topics.Bodies, topics.Texts} {
		writer := &store.Writer{Store: backing, Topic: topic, Producer: name, MaxCallBytes: 1 << 20, Logger: logger}
		writers[topic] = writer
		go func() { ended <- writer.Run(ctx) }()
	}
	state := batch.NewState(logger)
	follower := &store.Follower{Store: backing, Topic: topics.State, Handle: state.Apply, Logger: logger}
	go func() { ended <- follower.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		for range cap(ended) {
			<-ended
		}
	})
	manager := &batch.Manager{
		Host: gypsum.HostID(name), Incarnation: 1, State: state, Follower: follower, Store: backing, Topics: topics, Partitions: 1, RecordSize: 8 << 10,
		StateWriter: writers[topics.State], Logger: logger, WriterFor: func(topic gypsum.Topic, _ gypsum.Partition) *store.Writer { return writers[topic] },
	}
	if err := manager.Init(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Millisecond)
	return manager
}

// newBatch returns a batch of items with bodies of the given size.
func newBatch(id string, items, size int) *gypsum.Batch {
	now := time.Now()
	b := &gypsum.Batch{ID: gypsum.BatchID(id), Service: "motif", SubmittedAt: now, DueAt: now.Add(7 * time.Second), ExpiresAt: now.Add(40 * time.Second)}
	for i := range items {
		b.Items = append(b.Items, gypsum.BatchItem{ID: gypsum.ItemID(fmt.Sprint("item-", i)), Path: "/x", Body: make([]byte, size)})
	}
	return b
}

func storeTextResult(t *testing.T, manager *batch.Manager, id gypsum.BatchID, item int, text string) {
	t.Helper()
	err := manager.StoreResult(t.Context(), id, &gypsum.BatchResult{Item: gypsum.ItemID(fmt.Sprint("item-", item)), State: gypsum.ItemCompleted, Text: text})
	if err != nil {
		t.Fatal(err)
	}
}

// Two daemons run the same batch, one of them late. Each item gets exactly one result,
// and all daemons agree on the positions, including one that reads the store much later.
func TestFirstResultWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		a, b := startManager(t, backing, "a"), startManager(t, backing, "b")
		is.NoErr(a.AcceptBatch(t.Context(), newBatch("one", 4, 3000))) // the bodies exceed RecordSize, so they are stored in several records
		time.Sleep(time.Millisecond)
		is.NoErr(b.AcceptBatch(t.Context(), newBatch("one", 4, 3000))) // a duplicate
		storeTextResult(t, a, "one", 2, "from a")
		storeTextResult(t, b, "one", 2, "from b")
		storeTextResult(t, b, "one", 0, "also b")
		storeTextResult(t, a, "one", 0, "late a")
		time.Sleep(time.Millisecond)
		backing.ExpireHistory()
		late := startManager(t, backing, "c")
		for _, manager := range []*batch.Manager{a, b, late} {
			total, results, err := manager.ReadResults(t.Context(), "one", 0, 0)
			is.NoErr(err)
			is.Equal(total, 4)
			is.Equal(len(results), 2)
			is.Equal([]string{results[0].Text, results[1].Text}, []string{"from a", "also b"})
			body, err := manager.ItemBody(t.Context(), "one", "item-3")
			is.NoErr(err)
			is.Equal(len(body), 3000)
		}
	})
}

// A batch is reported as unknown only after the whole store was read. If the store
// cannot be read, the error does not claim that the batch is unknown.
func TestUnknownBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		a, b := startManager(t, backing, "a"), startManager(t, backing, "b")
		_, _, err := a.ReadResults(t.Context(), "none", 0, 0)
		is.True(errors.Is(err, batch.ErrNoBatch))
		is.NoErr(b.AcceptBatch(t.Context(), newBatch("one", 1, 10)))
		_, _, err = a.ReadResults(t.Context(), "one", 0, 0) // accepted by another daemon just now
		is.NoErr(err)
		backing.SetFault(fake.KeyedRefused)
		_, _, err = a.ReadResults(t.Context(), "none", 0, 0)
		is.True(err != nil && !errors.Is(err, batch.ErrNoBatch))
	})
}

// A batch that the store refused is reported as refused and does not run later. A batch
// whose header may or may not be stored is reported as neither refused nor accepted.
func TestRefusedBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		manager := startManager(t, backing, "a")
		for _, fault := range []fake.KeyedFault{fake.KeyedRefused, fake.KeyedHang} {
			backing.SetFault(fault)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			err := manager.AcceptBatch(ctx, newBatch("one", 1, 10))
			cancel()
			is.True(errors.Is(err, gypsum.ErrStoreRefused)) // its items have no header, so nothing can run
			backing.SetFault(0)
			time.Sleep(10 * time.Second)
			is.True(!manager.State.HasBatch("one"))
		}
		// The items are stored, but the response to the append of the header is lost.
		lossy := &lostResponseStore{KeyedStore: backing}
		manager = startManager(t, lossy, "b")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := manager.AcceptBatch(ctx, newBatch("two", 1, 10))
		is.True(errors.Is(err, gypsum.ErrStoreUnknown))
	})
}

// lostResponseStore is a store that loses the responses to appends to the state topic.
type lostResponseStore struct{ gypsum.KeyedStore }

// Append implements gypsum.KeyedStore.
func (h *lostResponseStore) Append(ctx context.Context, req gypsum.KeyedAppend) (gypsum.Offset, error) {
	offset, err := h.KeyedStore.Append(ctx, req)
	if req.Topic == topics.State {
		return 0, gypsum.ErrStoreUnknown
	}
	return offset, err
}

// The first claim of a term wins, both for daemons that read all claims and for those
// that read only what a cleanup has left.
func TestClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		a, b := startManager(t, backing, "a"), startManager(t, backing, "b")
		is.NoErr(a.RecordClaim(t.Context(), "motif", 1, false))
		is.NoErr(b.RecordClaim(t.Context(), "motif", 1, false)) // not the first claim of its term
		is.NoErr(b.RecordClaim(t.Context(), "motif", 2, false))
		is.NoErr(a.RecordClaim(t.Context(), "motif", 2, false)) // not the first claim of its term
		time.Sleep(time.Millisecond)
		is.NoErr(b.RemoveObsolete(t.Context(), time.Minute))
		time.Sleep(time.Millisecond)
		backing.ExpireHistory()
		for _, manager := range []*batch.Manager{a, b, startManager(t, backing, "c")} {
			holder, _, ok := manager.State.Holder("motif")
			is.True(ok)
			is.Equal([]any{holder.Host, holder.Term, holder.FencingToken}, []any{gypsum.HostID("b"), int64(2), gypsum.Offset(2)})
		}
		newest, err := backing.LatestRecords(t.Context(), topics.State, 0, "")
		is.NoErr(err)
		is.Equal(len(newest.Records), 2) // the claims of the current term
	})
}

// TestClean guards against a batch that is removed while clients may read it: until it has ended, also if all its items
// have results, and for the retention. An ended one then leaves nothing in the store.
func TestClean(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		a, b := startManager(t, backing, "a"), startManager(t, backing, "b")
		for _, id := range []string{"ended", "whole", "open"} {
			is.NoErr(a.AcceptBatch(t.Context(), newBatch(id, 1, 10)))
			if id != "open" {
				is.NoErr(a.StoreCheckpoint(t.Context(), &batch.Checkpoint{Batch: gypsum.BatchID(id), Item: "item-0", LastEvent: 1}, "some"))
				storeTextResult(t, a, gypsum.BatchID(id), 0, "text")
			}
		}
		time.Sleep(time.Millisecond)
		is.NoErr(a.EndBatch(t.Context(), "ended"))
		is.NoErr(a.RecordCrash(t.Context(), 7, &gypsum.Replica{ID: "r"}))
		time.Sleep(time.Millisecond)
		is.Equal(b.State.CrashCount(7), 1)
		const retention = 2 * time.Minute
		time.Sleep(retention - time.Second)
		is.NoErr(b.RemoveObsolete(t.Context(), retention))
		_, results, err := b.ReadResults(t.Context(), "ended", 0, 0)
		is.NoErr(err)
		is.Equal(results[0].Text, "text")
		time.Sleep(10 * time.Minute)
		is.NoErr(b.RemoveObsolete(t.Context(), retention))
		time.Sleep(time.Millisecond)
		for _, manager := range []*batch.Manager{a, b} {
			is.True(!manager.State.HasBatch("ended"))
			is.True(manager.State.HasBatch("whole"))
			is.True(manager.State.HasBatch("open"))
			is.Equal(manager.State.CrashCount(7), 0)
			_, results, err := manager.ReadResults(t.Context(), "whole", 0, 0)
			is.NoErr(err)
			is.Equal(results[0].Text, "text")
		}
		is.NoErr(a.EndBatch(t.Context(), "whole"))
		time.Sleep(time.Millisecond)
		is.NoErr(b.RemoveObsolete(t.Context(), retention))
		time.Sleep(time.Millisecond)
		is.True(!a.State.HasBatch("whole"))
		for topic, remaining := range map[gypsum.Topic]int{topics.State: 1, topics.Bodies: 1, topics.Texts: 0} {
			newest, err := backing.LatestRecords(t.Context(), topic, 0, "")
			is.NoErr(err)
			is.Equal(len(newest.Records), remaining)
		}
	})
}

// Removing an old crash keeps the newer ones of the same request.
func TestCleanKeepsNewCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		manager := startManager(t, fake.NewKeyedStore(), "a")
		is.NoErr(manager.RecordCrash(t.Context(), 7, &gypsum.Replica{ID: "old"}))
		time.Sleep(10 * time.Minute)
		is.NoErr(manager.RecordCrash(t.Context(), 7, &gypsum.Replica{ID: "new"}))
		is.NoErr(manager.RemoveObsolete(t.Context(), time.Minute))
		time.Sleep(time.Millisecond)
		is.Equal(manager.State.CrashCount(7), 1)
	})
}

// Records of the version before scores are still read, and that version reads the records of
// this one, without the fields that it does not know.
func TestRecordsOfOlderVersions(t *testing.T) {
	is := is.New(t)
	encode := func(key string, value any) gypsum.KeyedRecord {
		content, err := cbor.Marshal(value)
		is.NoErr(err)
		return gypsum.KeyedRecord{Key: key, Value: content}
	}
	state := batch.NewState(slog.New(slog.DiscardHandler))
	older := []gypsum.KeyedRecord{
		encode("b/b1/k", map[int]any{1: "b1", 2: "train", 4: "motif", 7: 3, 9: 3}),
		encode("p/b1/e1", map[int]any{1: "b1", 2: "e1", 3: 7, 4: []int{1}, 5: map[int]any{2: "text"}}),
		encode("f/b1/e2", map[int]any{1: "b1", 2: "e2", 3: 1, 4: 2}),
		encode("r/b1/e3/k", map[int]any{1: "b1", 2: "e3", 3: "completed", 4: []int{1}, 5: map[int]any{2: "text"}}),
		encode("c/motif/k", map[int]any{1: "motif", 2: "host-1", 3: 5, 4: 1}),
	}
	for i := range older {
		older[i].Offset = gypsum.Offset(i)
	}
	state.Apply(store.Update{Records: older})
	snapshot, ok := state.Snapshot("b1")
	is.True(ok)
	is.True(!snapshot.Header.Scored)
	is.Equal(snapshot.Header.Account, gypsum.AccountName(""))
	is.Equal(snapshot.Checkpoints["e1"].LastEvent, int64(7))
	is.True(!snapshot.Checkpoints["e1"].Complete)
	is.Equal(snapshot.Failures["e2"], batch.Failures{Batch: "b1", Item: "e2", Failed: 1, Crashed: 2})
	is.True(snapshot.HasResult["e3"])
	holder, _, ok := state.Holder("motif")
	is.True(ok)
	is.True(!holder.MakesRewardCalls && !holder.NamesAccounts)

	var header struct {
		ID        string `cbor:"1,keyasint"`
		ItemCount int    `cbor:"7,keyasint"`
		Step      int    `cbor:"15,keyasint"`
	}
	is.NoErr(cbor.Unmarshal(encode("", batch.Header{ID: "b2", ItemCount: 3, Step: 4, Account: "hule930"}).Value, &header))
	is.Equal(header.Step, 4) // older versions skip the account
	// Daemons of older versions do not serve their reads, and read the records of those that do.
	olderDaemon := encode("n/host-1", map[int]any{1: "host-1", 2: "10.1.0.1:7660", 4: 0.8})
	olderDaemon.Offset = gypsum.Offset(len(older))
	state.Apply(store.Update{Records: []gypsum.KeyedRecord{olderDaemon}})
	is.Equal(state.DaemonRecords(), []batch.DaemonRecord{{Host: "host-1", Address: "10.1.0.1:7660", CPUShare: 0.8}})
	is.Equal(state.DaemonCount(), 1)
	var daemon struct {
		Host     string          `cbor:"1,keyasint"`
		Address  string          `cbor:"2,keyasint"`
		Location gypsum.Location `cbor:"3,keyasint"`
		CPUShare float64         `cbor:"4,keyasint"`
	}
	announced := encode("n/host-2", batch.DaemonRecord{Host: "host-2", Address: "10.1.0.2:7660", CPUShare: 0.2, SharesReads: true})
	is.NoErr(cbor.Unmarshal(announced.Value, &daemon))
	is.Equal(daemon.Address, "10.1.0.2:7660")

	var result struct {
		Batch string             `cbor:"1,keyasint"`
		Item  string             `cbor:"2,keyasint"`
		State string             `cbor:"3,keyasint"`
		Text  struct{ _ string } `cbor:"5,keyasint"`
	}
	newer := encode("r/b1/e1/k", batch.Result{Batch: "b1", Item: "e1", State: gypsum.ItemCompleted, Score: "3e1b"})
	is.NoErr(cbor.Unmarshal(newer.Value, &result))
	is.Equal(result.Item, "e1")
	var item struct {
		ID   string `cbor:"1,keyasint"`
		Path string `cbor:"2,keyasint"`
	}
	newer = encode("", gypsum.BatchItem{ID: "e1", Path: "/t", Scorer: &gypsum.Scorer{ID: "s1", HostName: "a.example", Path: "/r"}})
	is.NoErr(cbor.Unmarshal(newer.Value, &item))
	is.Equal(item.Path, "/t")
}

// applyRecords returns a state that has applied the records with the given keys and values.
func applyRecords(t *testing.T, keys []string, values ...any) *batch.State {
	t.Helper()
	state := batch.NewState(slog.New(slog.DiscardHandler))
	var records []gypsum.KeyedRecord
	for i, value := range values {
		content, err := cbor.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, gypsum.KeyedRecord{Key: keys[i], Value: content, Offset: gypsum.Offset(i)})
	}
	state.Apply(store.Update{Records: records})
	return state
}

// The failure counts of an item do not decrease with a record that was appended later.
func TestFailureCountsDoNotDecrease(t *testing.T) {
	is := is.New(t)
	state := applyRecords(t, []string{"b/b1/k", "f/b1/e1", "f/b1/e1"}, batch.Header{ID: "b1", ItemCount: 1},
		batch.Failures{Batch: "b1", Item: "e1", Failed: 2, Crashed: 1}, batch.Failures{Batch: "b1", Item: "e1", Failed: 1, RewardCallsFailed: 1})
	snapshot, _ := state.Snapshot("b1")
	is.Equal(snapshot.Failures["e1"], batch.Failures{Batch: "b1", Item: "e1", Failed: 2, Crashed: 1, RewardCallsFailed: 1})
}

// The checkpoint of a complete text is not replaced by that of an attempt that was appended
// later.
func TestCompleteCheckpointStays(t *testing.T) {
	is := is.New(t)
	state := applyRecords(t, []string{"b/b1/k", "p/b1/e1", "p/b1/e1"}, batch.Header{ID: "b1", ItemCount: 1},
		batch.Checkpoint{Batch: "b1", Item: "e1", LastEvent: 9, Complete: true}, batch.Checkpoint{Batch: "b1", Item: "e1", LastEvent: 4})
	snapshot, _ := state.Snapshot("b1")
	is.Equal(snapshot.Checkpoints["e1"].LastEvent, int64(9))
	is.True(snapshot.Checkpoints["e1"].Complete)
}

// The limit of a replica's request rate is removed with its record, whatever the replica's ID.
func TestRateLimitRecords(t *testing.T) {
	is := is.New(t)
	limit := gypsum.RequestRate(2.5)
	for _, id := range []gypsum.BackendID{"r-1", "r/1", ""} {
		state := applyRecords(t, []string{"l/" + string(id)}, gypsum.RateLimit{Replica: id, Incarnation: 7, Limit: &limit})
		known, _, ok := state.RateLimit(id)
		is.True(ok && *known.Limit == limit && known.Incarnation == 7)
		state.Apply(store.Update{Records: []gypsum.KeyedRecord{{Key: "l/" + string(id), Offset: 1}}})
		_, _, ok = state.RateLimit(id)
		is.True(!ok)
	}
}

// TestCrashesOfOneStart checks that the crashes of a request are counted by the starts of replicas that
// crashed, and that they are forgotten at all daemons once a replica has served the request.
func TestCrashesOfOneStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		a, b := startManager(t, backing, "a"), startManager(t, backing, "b")
		record := func(manager *batch.Manager, id gypsum.BackendID, incarnation gypsum.Incarnation) {
			is.NoErr(manager.RecordCrash(t.Context(), 7, &gypsum.Replica{ID: id, Incarnation: incarnation}))
			time.Sleep(time.Millisecond)
		}
		for range 3 {
			record(a, "r", 1)
			record(b, "r", 1)
		}
		is.Equal(b.CrashCount(7), 1)
		record(a, "r", 2) // it has started again
		record(a, "s", 2)
		is.Equal(b.CrashCount(7), 3)
		for software, expected := range map[gypsum.SoftwareVersion]int{"other": 0, "": 8} {
			forgotten, err := b.ForgetCrashes(t.Context(), 7, software)
			is.NoErr(err)
			is.Equal(forgotten, expected)
		}
		time.Sleep(time.Millisecond)
		record(b, "s", 3)
		c := startManager(t, backing, "c")
		time.Sleep(time.Second)
		for _, manager := range []*batch.Manager{a, b, c} {
			is.Equal(manager.CrashCount(7), 1)
		}
	})
}

package store_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/store"
)

func appendRecord(t *testing.T, backing gypsum.KeyedStore, key string) {
	t.Helper()
	_, err := backing.Append(t.Context(), gypsum.KeyedAppend{Topic: topic, Records: []gypsum.KeyedRecord{{Key: key, Value: []byte("v")}}})
	if err != nil {
		t.Fatal(err)
	}
}

// startFollower runs a follower until the test ends; handledKeys returns the keys
// of the records that it has handled.
func startFollower(t *testing.T, backing gypsum.KeyedStore) (follower *store.Follower, handledKeys func() []string) {
	var keys []string
	follower = &store.Follower{Store: backing, Topic: topic, Logger: discardLogger(), Handle: func(update store.Update) {
		for i := range update.Records {
			keys = append(keys, update.Records[i].Key)
		}
	}}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- follower.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
	return follower, func() []string { synctest.Wait(); return keys }
}

// TestFollowerHandlesNewRecords checks that a follower handles the latest records and then
// each new one, in offset order.
func TestFollowerHandlesNewRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		appendRecord(t, backing, "b")
		appendRecord(t, backing, "a")
		follower, handledKeys := startFollower(t, backing)
		is.Equal(handledKeys(), []string{"b", "a"}) // by offset, not by key
		appendRecord(t, backing, "c")
		is.Equal(handledKeys(), []string{"b", "a", "c"})
		is.NoErr(follower.CatchUp(t.Context()))
	})
}

// TestFollowerReloadsAfterExpiry checks that a follower whose offset has expired
// continues from the latest records.
func TestFollowerReloadsAfterExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		_, handledKeys := startFollower(t, backing)
		appendRecord(t, backing, "a")
		is.Equal(handledKeys(), []string{"a"})
		backing.SetFault(fake.KeyedRefused)
		time.Sleep(2 * time.Second)
		backing.SetFault(0)
		appendRecord(t, backing, "b")
		appendRecord(t, backing, "c")
		backing.ExpireHistory()
		time.Sleep(3 * time.Second)
		keys := handledKeys()
		is.Equal(keys[len(keys)-2:], []string{"b", "c"})
	})
}

// TestFollowerReportsOutage checks that a follower notices an outage within the
// timeout of one read, and its end within a fraction of that.
func TestFollowerReportsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		follower, _ := startFollower(t, backing)
		time.Sleep(100 * time.Millisecond)
		backing.SetFault(fake.KeyedHang)
		time.Sleep(3 * time.Second)
		_, unavailable := follower.LastResponse()
		is.True(unavailable)
		is.True(follower.CatchUp(contextWithTimeout(t, time.Second)) != nil) // the end of the topic cannot be read during an outage
		time.Sleep(3 * time.Second)
		backing.SetFault(0)
		time.Sleep(900 * time.Millisecond)
		_, unavailable = follower.LastResponse()
		is.True(!unavailable)
	})
}

// contextWithTimeout returns a context that ends after d.
func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// TestFetchValues checks that values are found by their offsets, and by their keys once
// the offsets have expired.
func TestFetchValues(t *testing.T) {
	is := is.New(t)
	backing := fake.NewKeyedStore()
	var refs []store.ValueRef
	for i := range 3 {
		key := fmt.Sprintf("batch/%d", i)
		records := store.NewValueRecords(key, [][]byte{fmt.Appendf(nil, "head%d-", i), []byte("tail")})
		offset, err := backing.Append(t.Context(), gypsum.KeyedAppend{Topic: topic, Records: records})
		is.NoErr(err)
		refs = append(refs, store.ValueRef{Offset: offset, Key: key, Count: 2, Size: 10})
		appendRecord(t, backing, "other/"+key)
	}
	for _, expired := range []bool{false, true} {
		if expired {
			backing.ExpireHistory()
		}
		callsBefore := backing.CallCount()
		values, err := store.FetchValues(t.Context(), backing, topic, 0, "batch/", refs)
		is.NoErr(err)
		is.Equal(string(values["batch/1"]), "head1-tail")
		is.Equal(len(values), 3)
		is.True(backing.CallCount()-callsBefore <= 2) // one read by offset, or one of the latest records
	}
	_, err := store.FetchValues(t.Context(), backing, topic, 0, "gone/", []store.ValueRef{{Offset: 1, Key: "gone/1", Count: 1}})
	is.True(errors.Is(err, store.ErrNotFound))
}

// TestReadRateIsLimited guards against too many reads when many writers append small
// records: every daemon reads each of them, so one read per record by each daemon would
// exceed the store's read limit. MinReadInterval lets one read return many records.
func TestReadRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backing := fake.NewKeyedStore()
		handled := 0
		follower := &store.Follower{Store: backing, Topic: topic, Logger: discardLogger(), MinReadInterval: 250 * time.Millisecond, Handle: func(update store.Update) {
			handled += len(update.Records)
		}}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		time.Sleep(time.Millisecond)
		const records = 400
		callsBefore := backing.CallCount()
		for i := range records {
			backing.AppendDirectly(topic, gypsum.KeyedRecord{Key: fmt.Sprint(i), Value: []byte("v")})
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		stop()
		<-ended
		is.Equal(handled, records)
		is.True(backing.CallCount()-callsBefore <= 24) // 5 s at four reads per second
	})
}

// TestRateLimitedReadIsNoOutage guards against treating a read that was refused for its rate as an
// outage, after which registrations are kept and a configuration counts as unknown. The time
// without a read is known all the same.
func TestRateLimitedReadIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limited := &fake.LimitedStore{KeyedStore: fake.NewKeyedStore(), ReadsPerSecond: 100}
		follower, _ := startFollower(t, limited)
		time.Sleep(100 * time.Millisecond)
		limited.SetReadsPerSecond(1e-9)
		time.Sleep(3 * time.Second)
		at, unavailable := follower.LastResponse()
		is.True(!unavailable)
		is.True(time.Since(at) > 1900*time.Millisecond) // a refused read is no response
		is.True(follower.LimitedFor() > 1900*time.Millisecond)
		is.True(follower.ReadAge() > 1900*time.Millisecond)
		limited.SetReadsPerSecond(100)
		time.Sleep(2 * time.Second)
		is.Equal(follower.LimitedFor(), time.Duration(0))
		is.True(follower.ReadAge() <= 2*time.Second) // one read that waited, and the next that still waits
		is.True(follower.RecoveredAt().IsZero())
	})
}

// agedPages returns empty pages that another daemon has read.
type agedPages struct {
	clock            gypsum.SteadyClock
	age, responseAge time.Duration
}

// Read implements store.PageSource.
func (p *agedPages) Read(ctx context.Context, req gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(100 * time.Millisecond):
	}
	return &gypsum.KeyedPage{Next: req.From, SentAt: p.clock() - p.age, ResponseAge: p.responseAge}, nil
}

// TestAgesOfPages guards against pages of other daemons that count as new when they arrive: holders
// would be replaced and keys accepted on the basis of old state.
func TestAgesOfPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		clock := func() time.Duration { return time.Since(start) }
		pages := &agedPages{clock: clock, age: 1400 * time.Millisecond, responseAge: 900 * time.Millisecond}
		follower := &store.Follower{Store: fake.NewKeyedStore(), Pages: pages, Clock: clock, Topic: topic, Logger: discardLogger(), Handle: func(store.Update) {}}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		time.Sleep(2050 * time.Millisecond)
		at, unavailable := follower.LastResponse()
		is.True(!unavailable)
		is.Equal(time.Since(at), 950*time.Millisecond)
		is.Equal(follower.ReadAge(), 1450*time.Millisecond)
		stop()
		<-ended
	})
}

package dedup

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/epoch"
)

// apply applies a record to a state machine.
func apply(t testing.TB, m *StateMachine, rec *record) {
	body, err := cbor.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	m.Apply(epoch.Entry{Body: body})
}

// textResponse returns a response with a body of a size.
func textResponse(size int) *gypsum.PlainResponse {
	return &gypsum.PlainResponse{Status: http.StatusOK, Body: []byte(strings.Repeat("x", size))}
}

// TestMemoryOfKeys checks that keys beyond the bound are not accepted, that known ones are, and that there is room
// again when keys have expired, without a snapshot.
func TestMemoryOfKeys(t *testing.T) {
	is := is.New(t)
	m := NewStateMachine(time.Hour, time.Minute)
	m.Memory = &Memory{Limit: 20 * keyBytes}
	now, count := time.Now().Add(-2*time.Hour).UnixMilli(), 0
	for ; m.hasRoom(gypsum.IdempotencyKey(fmt.Sprint("key-", count))); count++ {
		apply(t, m, &record{Kind: kindIntent, Key: gypsum.IdempotencyKey(fmt.Sprint("key-", count)), IntentID: "a", UnixMilli: now})
	}
	is.True(count > 5 && count <= 10)
	is.True(m.hasRoom("key-0"))
	is.True(!m.hasRoom("further"))
	apply(t, m, &record{Kind: kindIntent, Key: "late", IntentID: "b", UnixMilli: now + 90*time.Minute.Milliseconds()})
	is.True(m.hasRoom("further"))
	_, known := m.keyState("key-0")
	is.True(!known)
}

// TestClockAheadRemovesNoKeys checks that the record of a daemon whose clock is ahead does not remove keys that
// are still to be remembered.
func TestClockAheadRemovesNoKeys(t *testing.T) {
	is := is.New(t)
	m := NewStateMachine(time.Hour, time.Minute)
	now := time.Now().UnixMilli()
	apply(t, m, &record{Kind: kindIntent, Key: "key", IntentID: "a", UnixMilli: now})
	apply(t, m, &record{Kind: kindIntent, Key: "ahead", IntentID: "b", UnixMilli: now + 3*time.Hour.Milliseconds()})
	_, known := m.keyState("key")
	is.True(known)
}

// TestOldestResponsesAreDropped checks that the responses beyond the bound of all shards are dropped, the oldest
// first, and that their keys stay.
func TestOldestResponsesAreDropped(t *testing.T) {
	is := is.New(t)
	memory := &Memory{Limit: 100 << 10}
	shards := []*StateMachine{NewStateMachine(time.Hour, time.Hour), NewStateMachine(time.Hour, time.Hour)}
	for i := range 20 {
		m, key := shards[i%2], gypsum.IdempotencyKey(fmt.Sprint("key-", i))
		m.Memory = memory
		apply(t, m, &record{Kind: kindIntent, Key: key, IntentID: "a", UnixMilli: time.Now().UnixMilli()})
		apply(t, m, &record{Kind: kindDone, Key: key, IntentID: "a", Response: textResponse(10 << 10)})
		_, responses := memory.Usage()
		is.True(responses <= 50<<10)
		state, _ := m.keyState(key)
		is.True(state.Response != nil) // the one that came last
	}
	state, known := shards[0].keyState("key-0")
	is.True(known && state.Kind == kindDone && state.Response == nil)
	body, err := shards[1].Snapshot()
	is.NoErr(err)
	_, before := memory.Usage()
	is.NoErr(shards[1].Restore(body))
	_, after := memory.Usage()
	is.Equal(after, before)
}

// TestMemoryIsThatOfTheState checks for random records, snapshots and restores that what is counted is the memory
// of the state.
func TestMemoryIsThatOfTheState(t *testing.T) {
	kinds := []recordKind{kindIntent, kindIntent, kindDone, kindNotRun, kindUnknown}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		m := NewStateMachine(time.Hour, 10*time.Minute)
		m.Memory = &Memory{Limit: 40 << 10}
		now := time.Now().Add(-5 * time.Hour).UnixMilli()
		for range 60 {
			now += rng.Int64N(15 * time.Minute.Milliseconds())
			rec := &record{
				Kind: kinds[rng.IntN(len(kinds))], Key: gypsum.IdempotencyKey(fmt.Sprint(rng.IntN(6))), IntentID: fmt.Sprint(rng.IntN(2)), UnixMilli: now,
			}
			if rec.Kind == kindDone && rng.IntN(2) == 0 {
				rec.Response = textResponse(rng.IntN(12 << 10))
			}
			apply(t, m, rec)
			if rng.IntN(10) == 0 {
				body, err := cbor.Marshal(&m.state)
				if err == nil {
					err = m.Restore(body)
				}
				if err != nil {
					t.Fatal(err)
				}
			}
			keys, responses := gypsum.Bytes(len(m.state.Voided))*voidedBytes, gypsum.Bytes(0)
			for key, state := range m.state.Keys {
				keys, responses = keys+keyMemory(key), responses+responseMemory(state.Response)
			}
			if k, r := m.Memory.Usage(); k != keys || r != responses || r > m.Memory.Limit/2 {
				t.Fatalf("seed %d: counted %d and %d, held %d and %d", seed, k, r, keys, responses)
			}
		}
	}
}

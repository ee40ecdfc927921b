// Package dedup runs non-idempotent requests at most once. Each idempotency key
// belongs to a shard, which has a stream in the log. Before a request runs, the daemon
// appends an intent to the stream and reads the stream back; the request runs only if
// that intent is the first one for its key.
package dedup

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/epoch"
)

// recordKind is the type of a record, and the state of the key after it.
type recordKind string

const (
	// kindIntent reserves the key: the request may run from then on.
	kindIntent recordKind = "intent"
	// kindDone means that the request ran; the record holds the response unless its
	// body exceeds maxStoredBody.
	kindDone recordKind = "done"
	// kindNotRun means that the request was not sent to a backend server.
	kindNotRun recordKind = "not_run"
	// kindUnknown means that the request may have run, but its response was not
	// received.
	kindUnknown recordKind = "unknown"
)

// record is the body of an entry in a shard's stream.
type record struct {
	Kind recordKind            `json:"kind"`
	Key  gypsum.IdempotencyKey `json:"key"`
	// IntentID identifies the intent to which the record belongs.
	IntentID    string                `json:"attempt"`
	Fingerprint gypsum.Fingerprint    `json:"digest,omitempty"`
	UnixMilli   int64                 `json:"at,omitempty"`
	Response    *gypsum.PlainResponse `json:"answer,omitempty"`
}

// keyState is the state of one idempotency key: its intent and, once recorded, the
// outcome.
type keyState struct {
	IntentID    string                `json:"attempt"`
	Fingerprint gypsum.Fingerprint    `json:"digest"`
	Kind        recordKind            `json:"kind"`
	UnixMilli   int64                 `json:"at"`
	Response    *gypsum.PlainResponse `json:"answer,omitempty"`
}

// snapshot is the state of a shard as stored in snapshots.
type snapshot struct {
	Keys map[gypsum.IdempotencyKey]*keyState `json:"keys"`
	// Voided maps the IDs of intents that were voided before they appeared in the stream
	// to the time in Unix milliseconds. Such an intent is ignored if it arrives later.
	Voided map[string]int64 `json:"voided"`
	// LostBefore is a time in Unix milliseconds. The records of keys generated before that
	// time may have been lost with the stream's history. 0 means that none were lost.
	LostBefore int64 `json:"floor"`
}

// StateMachine is the state machine of one shard. It implements epoch.StateMachine.
type StateMachine struct {
	// KeyWindow is how long a key is kept.
	KeyWindow time.Duration
	// ResponseWindow is how long snapshots keep the response of a key.
	ResponseWindow time.Duration
	// Memory bounds what this shard and others remember. It must be set before the first entry.
	Memory *Memory

	mu    sync.Mutex
	state snapshot
	// keyMemory and responseMemory are the parts of this shard in Memory.
	keyMemory, responseMemory gypsum.Bytes
	// kept are the keys with a response, in the order in which the responses came. It may have further ones.
	kept []gypsum.IdempotencyKey
	// expiredAt is the time of the last removal of expired keys, in Unix milliseconds.
	expiredAt int64
}

// NewStateMachine returns the state machine of a shard without keys.
func NewStateMachine(keyWindow, responseWindow time.Duration) *StateMachine {
	return &StateMachine{
		KeyWindow: keyWindow, ResponseWindow: responseWindow, Memory: &Memory{},
		state: newSnapshot(),
	}
}

func newSnapshot() snapshot {
	return snapshot{Keys: map[gypsum.IdempotencyKey]*keyState{}, Voided: map[string]int64{}}
}

// Apply applies one record to the state. The first intent of a key wins.
func (m *StateMachine) Apply(entry epoch.Entry) {
	var rec record
	if err := cbor.Unmarshal(entry.Body, &rec); err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if rec.Kind == kindIntent {
		m.applyIntent(&rec)
		return
	}
	state := m.state.Keys[rec.Key]
	if state != nil && state.IntentID == rec.IntentID {
		state.Kind = rec.Kind
		m.keepResponse(rec.Key, state, rec.Response)
	} else if _, known := m.state.Voided[rec.IntentID]; rec.Kind == kindNotRun && !known {
		m.state.Voided[rec.IntentID] = rec.UnixMilli
		m.countKeys(voidedBytes)
	}
}

// applyIntent applies an intent. It compares the times in the records and never reads
// the local clock, so that all daemons reach the same state. The caller holds mu.
func (m *StateMachine) applyIntent(rec *record) {
	if _, voided := m.state.Voided[rec.IntentID]; voided {
		return
	}
	// Daemons that write no snapshots forget expired keys as well. A clock that is ahead removes none too early.
	now := min(rec.UnixMilli, time.Now().UnixMilli())
	if now-m.expiredAt > m.KeyWindow.Milliseconds()/expiriesPerWindow {
		m.removeExpired(now)
	}
	state := m.state.Keys[rec.Key]
	if state == nil || state.Kind == kindNotRun || rec.UnixMilli-state.UnixMilli > m.KeyWindow.Milliseconds() {
		if state != nil {
			m.keepResponse(rec.Key, state, nil)
		} else {
			m.countKeys(keyMemory(rec.Key))
		}
		m.state.Keys[rec.Key] = &keyState{IntentID: rec.IntentID, Fingerprint: rec.Fingerprint, Kind: kindIntent, UnixMilli: rec.UnixMilli}
	}
}

// expiriesPerWindow is how often expired keys are removed within the time for which keys are kept.
const expiriesPerWindow = 16

// keyState returns a copy of the state of a key.
func (m *StateMachine) keyState(key gypsum.IdempotencyKey) (keyState, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, ok := m.state.Keys[key]
	if !ok {
		return keyState{}, false
	}
	return *state, true
}

// recordMayBeLost reports whether the record of an earlier request with the key could have
// been lost with the stream's history.
func (m *StateMachine) recordMayBeLost(key gypsum.IdempotencyKey, now time.Time) bool {
	m.mu.Lock()
	lostBefore := m.state.LostBefore
	m.mu.Unlock()
	if lostBefore == 0 {
		return false
	}
	if created, ok := keyTime(key); ok {
		return created.UnixMilli() <= lostBefore
	}
	return now.UnixMilli() <= lostBefore+m.KeyWindow.Milliseconds()
}

// Snapshot removes expired keys and responses from the state and returns it encoded.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeExpired(time.Now().UnixMilli())
	body, err := cbor.Marshal(&m.state)
	if err != nil {
		return nil, fmt.Errorf("encode shard state: %w", err)
	}
	return body, nil
}

// removeExpired removes expired keys, responses and voided intents. The caller holds mu.
func (m *StateMachine) removeExpired(now int64) {
	m.expiredAt = now
	for key, state := range m.state.Keys {
		age := now - state.UnixMilli
		if age > min(m.KeyWindow, m.ResponseWindow).Milliseconds() {
			m.keepResponse(key, state, nil)
		}
		if age > m.KeyWindow.Milliseconds() {
			delete(m.state.Keys, key)
			m.countKeys(-keyMemory(key))
		}
	}
	for intentID, voidedAt := range m.state.Voided {
		if now-voidedAt > m.KeyWindow.Milliseconds() {
			delete(m.state.Voided, intentID)
			m.countKeys(-voidedBytes)
		}
	}
	m.kept = slices.DeleteFunc(m.kept, func(key gypsum.IdempotencyKey) bool {
		state, ok := m.state.Keys[key]
		return !ok || state.Response == nil
	})
}

// Restore replaces the state by a snapshot.
func (m *StateMachine) Restore(body []byte) error {
	restored := newSnapshot()
	if err := cbor.Unmarshal(body, &restored); err != nil {
		return fmt.Errorf("decode shard state: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = restored
	m.recount()
	return nil
}

// MarkHistoryLost records that the stream's history up to now may lack keys.
func (m *StateMachine) MarkHistoryLost() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.LostBefore = time.Now().UnixMilli()
}

// keyTime returns the time in a UUIDv7 key, and false for any other key.
func keyTime(key gypsum.IdempotencyKey) (time.Time, bool) {
	id, err := uuid.Parse(string(key))
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanos := id.Time().UnixTime()
	return time.Unix(seconds, nanos), true
}

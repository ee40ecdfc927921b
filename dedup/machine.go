// Package dedup runs non-idempotent requests at most once. Each idempotency key
// belongs to a shard with a stream in the log. A daemon writes an intent, reads
// the stream back, and lets the request run only if its intent is the first of
// its key.
package dedup

import (
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/epoch"
)

// recordKind is what a record says of a key.
type recordKind string

const (
	// kindIntent says that the request may run from now on.
	kindIntent recordKind = "intent"
	// kindDone says that the request ran and what it answered.
	kindDone recordKind = "done"
	// kindNotRun says that the request was not handed to a backend server.
	kindNotRun recordKind = "not_run"
	// kindUnknown says that the request may have run and no answer was read.
	kindUnknown recordKind = "unknown"
)

// record is one record of a shard's stream.
type record struct {
	Kind recordKind            `json:"kind"`
	Key  gypsum.IdempotencyKey `json:"key"`
	// IntentID names the intent.
	IntentID    string                `json:"attempt"`
	Fingerprint gypsum.Fingerprint    `json:"digest,omitempty"`
	UnixMilli   int64                 `json:"at,omitempty"`
	Response    *gypsum.PlainResponse `json:"answer,omitempty"`
}

// keyState is what the stream says of a key.
type keyState struct {
	IntentID    string                `json:"attempt"`
	Fingerprint gypsum.Fingerprint    `json:"digest"`
	Kind        recordKind            `json:"kind"`
	UnixMilli   int64                 `json:"at"`
	Response    *gypsum.PlainResponse `json:"answer,omitempty"`
}

// snapshot is the whole state of a shard.
type snapshot struct {
	Keys map[gypsum.IdempotencyKey]*keyState `json:"keys"`
	// Voided are the times of attempts that were given up before their intent
	// was seen. An intent that arrives later is ignored.
	Voided map[string]int64 `json:"voided"`
	// LostBefore is the time in Unix milliseconds before which keys may be missing.
	LostBefore int64 `json:"floor"`
}

// Machine is the state of one shard. It is an epoch.Machine.
type Machine struct {
	// KeyWindow is how long a key is remembered.
	KeyWindow time.Duration
	// ResponseWindow is how long snapshots keep the answer of a key.
	ResponseWindow time.Duration

	mu    sync.Mutex
	state snapshot
}

// NewMachine returns the state of a shard without keys.
func NewMachine(keyWindow, responseWindow time.Duration) *Machine {
	return &Machine{
		KeyWindow: keyWindow, ResponseWindow: responseWindow,
		state: newSnapshot(),
	}
}

// newSnapshot returns the state of a shard without keys.
func newSnapshot() snapshot {
	return snapshot{Keys: map[gypsum.IdempotencyKey]*keyState{}, Voided: map[string]int64{}}
}

// Apply takes a record into the state. The first intent of a key wins.
func (m *Machine) Apply(entry epoch.Entry) {
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
		state.Response = rec.Response
	} else if rec.Kind == kindNotRun {
		m.state.Voided[rec.IntentID] = rec.UnixMilli
	}
}

// applyIntent takes an intent into the state. All readers compare the times
// that stand in the records, never their own clocks. The caller holds mu.
func (m *Machine) applyIntent(rec *record) {
	if _, voided := m.state.Voided[rec.IntentID]; voided {
		return
	}
	state := m.state.Keys[rec.Key]
	if state == nil || state.Kind == kindNotRun || rec.UnixMilli-state.UnixMilli > m.KeyWindow.Milliseconds() {
		m.state.Keys[rec.Key] = &keyState{IntentID: rec.IntentID, Fingerprint: rec.Fingerprint, Kind: kindIntent, UnixMilli: rec.UnixMilli}
	}
}

// lookup returns a copy of the state of a key.
func (m *Machine) lookup(key gypsum.IdempotencyKey) (keyState, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, ok := m.state.Keys[key]
	if !ok {
		return keyState{}, false
	}
	return *state, true
}

// mayBeLost tells whether an earlier run of the key could have been lost
// with the stream's history.
func (m *Machine) mayBeLost(key gypsum.IdempotencyKey, now time.Time) bool {
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

// Snapshot returns the state without the keys and answers that have expired.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.prune(time.Now().UnixMilli())
	body, err := cbor.Marshal(&m.state)
	if err != nil {
		return nil, fmt.Errorf("encode shard: %w", err)
	}
	return body, nil
}

// prune removes what is older than the windows. The caller holds mu.
func (m *Machine) prune(now int64) {
	for key, state := range m.state.Keys {
		age := now - state.UnixMilli
		if age > m.KeyWindow.Milliseconds() {
			delete(m.state.Keys, key)
		} else if age > m.ResponseWindow.Milliseconds() {
			state.Response = nil
		}
	}
	for intentID, voidedAt := range m.state.Voided {
		if now-voidedAt > m.KeyWindow.Milliseconds() {
			delete(m.state.Voided, intentID)
		}
	}
}

// Restore takes over a snapshot.
func (m *Machine) Restore(body []byte) error {
	restored := newSnapshot()
	if err := cbor.Unmarshal(body, &restored); err != nil {
		return fmt.Errorf("decode shard: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = restored
	return nil
}

// MarkHistoryLost notes that the history up to now may lack keys.
func (m *Machine) MarkHistoryLost() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.LostBefore = time.Now().UnixMilli()
}

// keyTime returns the time that a UUIDv7 key carries.
func keyTime(key gypsum.IdempotencyKey) (time.Time, bool) {
	id, err := uuid.Parse(string(key))
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanos := id.Time().UnixTime()
	return time.Unix(seconds, nanos), true
}

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

// kind is what a record says of a key.
type kind string

const (
	// kindIntent says that the request may run from now on.
	kindIntent kind = "intent"
	// kindDone says that the request ran and what it answered.
	kindDone kind = "done"
	// kindNotRun says that the request was not handed to a backend server.
	kindNotRun kind = "not_run"
	// kindUnknown says that the request may have run and no answer was read.
	kindUnknown kind = "unknown"
)

// record is one record of a shard's stream.
type record struct {
	Kind kind                  `json:"kind"`
	Key  gypsum.IdempotencyKey `json:"key"`
	// Attempt names the intent.
	Attempt string                `json:"attempt"`
	Digest  gypsum.Fingerprint    `json:"digest,omitempty"`
	At      int64                 `json:"at,omitempty"`
	Answer  *gypsum.PlainResponse `json:"answer,omitempty"`
}

// keyState is what the stream says of a key.
type keyState struct {
	Attempt string                `json:"attempt"`
	Digest  gypsum.Fingerprint    `json:"digest"`
	Kind    kind                  `json:"kind"`
	At      int64                 `json:"at"`
	Answer  *gypsum.PlainResponse `json:"answer,omitempty"`
}

// snapshot is the whole state of a shard.
type snapshot struct {
	Keys map[gypsum.IdempotencyKey]*keyState `json:"keys"`
	// Voided are the times of attempts that were given up before their intent
	// was seen. An intent that arrives later is ignored.
	Voided map[string]int64 `json:"voided"`
	// Floor is the time in Unix milliseconds before which keys may be missing.
	Floor int64 `json:"floor"`
}

// Machine is the state of one shard. It is an epoch.Machine.
type Machine struct {
	// Window is how long a key is remembered.
	Window time.Duration
	// AnswerWindow is how long snapshots keep the answer of a key.
	AnswerWindow time.Duration

	mu    sync.Mutex
	state snapshot
}

// NewMachine returns the state of a shard without keys.
func NewMachine(window, answerWindow time.Duration) *Machine {
	return &Machine{
		Window: window, AnswerWindow: answerWindow,
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
	known := m.state.Keys[rec.Key]
	if known != nil && known.Attempt == rec.Attempt {
		known.Kind = rec.Kind
		known.Answer = rec.Answer
	} else if rec.Kind == kindNotRun {
		m.state.Voided[rec.Attempt] = rec.At
	}
}

// applyIntent takes an intent into the state. All readers compare the times
// that stand in the records, never their own clocks. The caller holds mu.
func (m *Machine) applyIntent(rec *record) {
	if _, voided := m.state.Voided[rec.Attempt]; voided {
		return
	}
	known := m.state.Keys[rec.Key]
	if known == nil || known.Kind == kindNotRun || rec.At-known.At > m.Window.Milliseconds() {
		m.state.Keys[rec.Key] = &keyState{Attempt: rec.Attempt, Digest: rec.Digest, Kind: kindIntent, At: rec.At}
	}
}

// lookup returns a copy of the state of a key.
func (m *Machine) lookup(key gypsum.IdempotencyKey) (keyState, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.state.Keys[key]
	if !ok {
		return keyState{}, false
	}
	return *known, true
}

// mayBeMissing tells whether an earlier run of the key could have been lost
// with the stream's history.
func (m *Machine) mayBeMissing(key gypsum.IdempotencyKey, now time.Time) bool {
	m.mu.Lock()
	floor := m.state.Floor
	m.mu.Unlock()
	if floor == 0 {
		return false
	}
	if made, ok := keyTime(key); ok {
		return made.UnixMilli() <= floor
	}
	return now.UnixMilli() <= floor+m.Window.Milliseconds()
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
		age := now - state.At
		if age > m.Window.Milliseconds() {
			delete(m.state.Keys, key)
		} else if age > m.AnswerWindow.Milliseconds() {
			state.Answer = nil
		}
	}
	for nonce, at := range m.state.Voided {
		if now-at > m.Window.Milliseconds() {
			delete(m.state.Voided, nonce)
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

// Repair notes that the history up to now may lack keys.
func (m *Machine) Repair() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Floor = time.Now().UnixMilli()
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

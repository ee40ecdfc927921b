package config

import (
	"context"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/epoch"
)

// Stream is the name of the stream of configuration changes.
const Stream gypsum.StreamName = "config"

// maxResults is the number of decided changes whose result can be asked for.
const maxResults = 4096

// result is what became of a change.
type result struct {
	revision gypsum.Revision
	err      error
}

// StateMachine folds the config stream into a Book. It is an epoch.StateMachine.
type StateMachine struct {
	latest    *Latest
	mu        sync.Mutex
	current   *Config
	results   *lru.Cache[string, result]
	operators map[gypsum.Revision]string
}

// NewStateMachine returns a machine that publishes to book.
func NewStateMachine(latest *Latest) *StateMachine {
	results, err := lru.New[string, result](maxResults)
	if err != nil {
		panic("size of the result cache: " + err.Error())
	}
	return &StateMachine{latest: latest, current: Empty(), results: results, operators: map[gypsum.Revision]string{}}
}

// Apply folds one change.
func (m *StateMachine) Apply(entry epoch.Entry) {
	var change gypsum.Change
	if err := cbor.Unmarshal(entry.Body, &change); err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next, err := m.current.Apply(&change)
	if err != nil {
		m.recordRejection(&change, err)
		return
	}
	m.current = next
	m.operators[next.Revision] = change.Operator
	m.results.Add(change.ID, result{revision: next.Revision})
	m.latest.Update(next)
}

// recordRejection notes why a change was not accepted. A repeat of an accepted change
// keeps its first result. The caller holds mu.
func (m *StateMachine) recordRejection(change *gypsum.Change, err error) {
	if stored, ok := m.results.Peek(change.ID); ok && stored.err == nil {
		return
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		conflict.ChangedBy = m.operators[conflict.CurrentRevision]
	}
	m.results.Add(change.ID, result{err: err})
}

// Result returns what became of a change; ok is false if it is not known.
func (m *StateMachine) Result(id string) (revision gypsum.Revision, ok bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	stored, ok := m.results.Get(id)
	return stored.revision, ok, stored.err
}

// Snapshot returns the folded configuration.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Encode(m.current)
}

// Restore takes over a snapshot.
func (m *StateMachine) Restore(body []byte) error {
	restored, err := Decode(body)
	if err != nil {
		return fmt.Errorf("restore configuration: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current = restored
	m.latest.Update(restored)
	return nil
}

// Publish publishes the fold even if no change was ever made. It is to be
// called once the stream was read to its end.
func (m *StateMachine) Publish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latest.Update(m.current)
}

// Repair starts the fold from the newest configuration known to peers, after
// the stream's history was lost.
func (m *StateMachine) Repair() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.latest.Current(); current != nil && current.Revision > m.current.Revision {
		m.current = current
	}
}

// Encode returns a configuration's bytes.
func Encode(c *Config) ([]byte, error) {
	body, err := cbor.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return body, nil
}

// Decode returns the configuration of the bytes.
func Decode(body []byte) (*Config, error) {
	decoded := Empty()
	if err := cbor.Unmarshal(body, decoded); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return decoded, nil
}

// Editor makes changes: it appends them to the config stream and reports what
// the log's order decided.
type Editor struct {
	Stream       *epoch.Stream
	StateMachine *StateMachine
}

// Apply appends a change and returns the revision it was accepted at. A
// *ConflictError names what won. On gypsum.ErrLogUnavailable the change may
// yet be accepted; a repeat with the same id is idempotent.
func (e *Editor) Apply(ctx context.Context, change *gypsum.Change) (gypsum.Revision, error) {
	if err := Validate(change); err != nil {
		return 0, err
	}
	if revision, ok, err := e.StateMachine.Result(change.ID); ok {
		return revision, err
	}
	body, err := cbor.Marshal(change)
	if err != nil {
		return 0, fmt.Errorf("encode change: %w", err)
	}
	if err := e.Stream.Append(ctx, "", body); err != nil {
		return 0, fmt.Errorf("append change: %w", err)
	}
	revision, ok, err := e.StateMachine.Result(change.ID)
	if !ok {
		return 0, fmt.Errorf("change %s was not decided: %w", change.ID, gypsum.ErrLogUnavailable)
	}
	return revision, err
}

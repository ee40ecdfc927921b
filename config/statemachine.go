package config

import (
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/epoch"
)

// StreamName is the name of the log stream of configuration changes.
const StreamName gypsum.StreamName = "config"

// maxResults is the number of recent changes whose results are kept.
const maxResults = 4096

// result is the result of a change: the revision at which it was accepted, or why it was
// rejected.
type result struct {
	revision gypsum.Revision
	err      error
}

// StateMachine builds the configuration from the config stream and publishes it to a
// Registry. It implements epoch.StateMachine.
type StateMachine struct {
	registry *Registry
	mu       sync.Mutex
	current  *Config
	results  *lru.Cache[string, result]
	// operators maps each revision to the operator whose change created it.
	operators map[gypsum.Revision]string
}

// NewStateMachine returns a state machine that publishes to registry.
func NewStateMachine(registry *Registry) *StateMachine {
	results, err := lru.New[string, result](maxResults)
	if err != nil {
		panic("size of the result cache: " + err.Error())
	}
	return &StateMachine{registry: registry, current: Empty(), results: results, operators: map[gypsum.Revision]string{}}
}

// Apply applies the change in a record. A record that cannot be decoded is ignored.
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
	m.registry.StoreIfNewer(next)
}

// recordRejection records why a change was rejected. A retry of an accepted change does
// not replace its first result. The caller must hold mu.
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

// ChangeResult returns the result of a change. ok is false if the result is not known.
func (m *StateMachine) ChangeResult(id string) (revision gypsum.Revision, ok bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	stored, ok := m.results.Get(id)
	return stored.revision, ok, stored.err
}

// Snapshot returns the encoded configuration.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Encode(m.current)
}

// Restore replaces the configuration with a snapshot.
func (m *StateMachine) Restore(body []byte) error {
	restored, err := Decode(body)
	if err != nil {
		return fmt.Errorf("restore configuration: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current = restored
	m.registry.StoreIfNewer(restored)
	return nil
}

// PublishConfig publishes the configuration even if no change was ever made. Call it only
// after the stream has been read to its end.
func (m *StateMachine) PublishConfig() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.registry.StoreIfNewer(m.current)
}

// RestoreFromRegistry continues from the newest known configuration, which may come from a
// peer, after the history of the stream was lost.
func (m *StateMachine) RestoreFromRegistry() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.registry.Current(); current != nil && current.Revision > m.current.Revision {
		m.current = current
	}
}

// Encode returns the CBOR encoding of a configuration.
func Encode(c *Config) ([]byte, error) {
	body, err := cbor.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return body, nil
}

// Decode decodes a configuration encoded by Encode.
func Decode(body []byte) (*Config, error) {
	decoded := Empty()
	if err := cbor.Unmarshal(body, decoded); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return decoded, nil
}

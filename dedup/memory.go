package dedup

import (
	"slices"
	"sync/atomic"

	"github.com/gypsumhook/gypsum"
)

// Memory of what is remembered of a key, apart from the key and the response.
const (
	keyBytes      gypsum.Bytes = 384
	voidedBytes   gypsum.Bytes = 128
	responseBytes gypsum.Bytes = 256
	headerBytes   gypsum.Bytes = 64
)

// Memory bounds what the shards of a daemon remember: half of it keys, half of it the responses that are kept
// for retries. It is safe for concurrent use. The zero value has no bound.
type Memory struct {
	// Limit is the bound, 0 for none. It must not be changed after the first use.
	Limit gypsum.Bytes

	keys, responses atomic.Int64
}

// Usage returns the memory of the keys and of the responses.
func (m *Memory) Usage() (keys, responses gypsum.Bytes) {
	return gypsum.Bytes(m.keys.Load()), gypsum.Bytes(m.responses.Load())
}

// hasRoom reports whether a key of a size may be added.
func (m *Memory) hasRoom(size gypsum.Bytes) bool {
	return m.Limit <= 0 || gypsum.Bytes(m.keys.Load())+size <= m.Limit/2
}

// isOver reports whether the responses exceed their part.
func (m *Memory) isOver() bool { return m.Limit > 0 && gypsum.Bytes(m.responses.Load()) > m.Limit/2 }

// keyMemory returns the memory of a key.
func keyMemory(key gypsum.IdempotencyKey) gypsum.Bytes { return keyBytes + gypsum.Bytes(len(key)) }

// responseMemory returns the memory of a response that is kept, 0 for none.
func responseMemory(response *gypsum.PlainResponse) gypsum.Bytes {
	if response == nil {
		return 0
	}
	size := responseBytes + gypsum.Bytes(len(response.Body))
	for name, values := range response.Header {
		for _, value := range values {
			size += headerBytes + gypsum.Bytes(len(name)+len(value))
		}
	}
	return size
}

// hasRoom reports whether a key is known or may be added.
func (m *StateMachine) hasRoom(key gypsum.IdempotencyKey) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.state.Keys[key]
	return known || m.Memory.hasRoom(keyMemory(key))
}

// countKeys counts memory of keys that was added or, if it is negative, removed. The caller holds mu.
func (m *StateMachine) countKeys(size gypsum.Bytes) {
	m.keyMemory += size
	m.Memory.keys.Add(int64(size))
}

// keepResponse sets the response of a key, nil for none. If the responses need too much memory, the oldest ones
// of the shard are dropped: retries mostly come soon. The caller holds mu.
func (m *StateMachine) keepResponse(key gypsum.IdempotencyKey, state *keyState, response *gypsum.PlainResponse) {
	size := responseMemory(response) - responseMemory(state.Response)
	state.Response = response
	m.responseMemory += size
	m.Memory.responses.Add(int64(size))
	if response == nil {
		return
	}
	m.kept = append(m.kept, key)
	for m.Memory.isOver() && len(m.kept) > 0 {
		oldest := m.kept[0]
		m.kept = m.kept[1:]
		if state, ok := m.state.Keys[oldest]; ok {
			m.keepResponse(oldest, state, nil)
		}
	}
}

// recount counts the memory of a state that replaces another one. The caller holds mu.
func (m *StateMachine) recount() {
	m.Memory.responses.Add(-int64(m.responseMemory))
	m.countKeys(gypsum.Bytes(len(m.state.Voided))*voidedBytes - m.keyMemory)
	m.kept, m.responseMemory = nil, 0
	kept := make(map[gypsum.IdempotencyKey]*gypsum.PlainResponse)
	var keys []gypsum.IdempotencyKey
	for key, state := range m.state.Keys {
		m.countKeys(keyMemory(key))
		if state.Response != nil {
			kept[key], state.Response = state.Response, nil
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b gypsum.IdempotencyKey) int {
		return int(m.state.Keys[a].UnixMilli - m.state.Keys[b].UnixMilli)
	})
	for _, key := range keys {
		m.keepResponse(key, m.state.Keys[key], kept[key])
	}
}

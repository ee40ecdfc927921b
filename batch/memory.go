package batch

import (
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// Memory of batches, by their items more than by their bytes.
const (
	// openItemBytes is the memory of an item without a result, with its part of the state, and
	// finishedItemBytes that of one with a result.
	openItemBytes     = 1280
	finishedItemBytes = 640
	// cacheDivisor limits the items in the cache, without their bodies, to 1/cacheDivisor of the memory for batches. The
	// bodies may take as much as that memory.
	cacheDivisor = 2
	// pendingTime is how long a batch that may be stored counts before it is known.
	pendingTime = 10 * time.Second
)

// ErrTooManyItems is returned for a batch that there is no memory for until others have ended.
var ErrTooManyItems = errors.New("too many items are known")

// batchMemory returns an estimate of the memory of items, of whose bodies size bytes are stored.
func batchMemory(open, finished, size int) gypsum.Bytes {
	memory := open*openItemBytes + finished*finishedItemBytes
	if open > 0 {
		memory += 2 * size
	}
	return gypsum.Bytes(memory)
}

// memory returns an estimate of the memory of the batch.
func (e *batchEntry) memory() gypsum.Bytes {
	finished := len(e.results)
	open := e.header.ItemCount - finished
	if e.ended {
		open = 0
	}
	return batchMemory(open, finished, e.header.Bodies.Size)
}

// Memory returns an estimate of the memory of all known batches, and of those among pending that are
// not known yet.
func (s *State) Memory(pending map[gypsum.BatchID]pendingBatch) gypsum.Bytes {
	s.mu.RLock()
	defer s.mu.RUnlock()
	total := gypsum.Bytes(0)
	for _, entry := range s.batches {
		total += entry.memory()
	}
	for id, batch := range pending {
		if _, known := s.batches[id]; !known {
			total += batch.memory
		}
	}
	return total
}

// pendingBatch is a batch that is being stored.
type pendingBatch struct {
	memory gypsum.Bytes
	since  time.Time
}

// pendingBatches are the batches that this daemon is storing, or has stored and does not know yet.
type pendingBatches struct {
	mu      sync.Mutex
	batches map[gypsum.BatchID]pendingBatch
}

// admit counts a batch, unless the memory for batches is used up. A single one is admitted in any case.
func (m *Manager) admit(batch *gypsum.Batch, now time.Time) error {
	p := &m.pending
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, pending := range p.batches {
		if now.Sub(pending.since) > pendingTime || m.State.HasBatch(id) {
			delete(p.batches, id)
		}
	}
	size := 0
	for i := range batch.Items {
		size += len(batch.Items[i].Body)
	}
	memory := batchMemory(len(batch.Items), 0, size)
	if held := m.State.Memory(p.batches); m.Memory > 0 && held > 0 && held+memory > m.Memory {
		return fmt.Errorf("%w: %d and %d bytes of %d: %w", ErrTooManyItems, held, memory, m.Memory, gypsum.ErrStoreRefused)
	}
	if p.batches == nil {
		p.batches = make(map[gypsum.BatchID]pendingBatch)
	}
	p.batches[batch.ID] = pendingBatch{memory: memory, since: now}
	return nil
}

// withdraw ends the count of a batch that is not stored and never will be.
func (m *Manager) withdraw(id gypsum.BatchID) {
	m.pending.mu.Lock()
	defer m.pending.mu.Unlock()
	delete(m.pending.batches, id)
}

// cacheItems adds the items of a batch to the cache, and removes those that were used least recently if
// there is no memory for all.
func (m *Manager) cacheItems(id gypsum.BatchID, items cachedItems) {
	m.items.Add(id, items)
	for m.Memory > 0 && m.items.Len() > 1 {
		held, bodies := gypsum.Bytes(0), gypsum.Bytes(0)
		for _, cached := range m.items.Values() {
			held += batchMemory(len(cached.items), 0, 0)
			bodies += cached.size()
		}
		if held <= m.Memory/cacheDivisor && bodies <= m.Memory {
			return
		}
		m.items.RemoveOldest()
	}
}

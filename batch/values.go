package batch

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/store"
)

// fetchValues returns stored values by their keys.
func (m *Manager) fetchValues(ctx context.Context, topic gypsum.Topic, id gypsum.BatchID, values ...ValueRef) (map[string][]byte, error) {
	locations := make([]store.ValueRef, 0, len(values))
	for _, ref := range values {
		locations = append(locations, store.ValueRef{Offset: ref.Offset, Key: ref.Key, Count: ref.Count, Size: ref.Size})
	}
	fetched, err := store.FetchValues(ctx, m.Store, topic, m.partitionOf(id), string(id)+"/", locations)
	if err != nil {
		return nil, fmt.Errorf("fetch values of batch %s: %w", id, err)
	}
	return fetched, nil
}

// storeValues stores the parts of a value and returns a reference to it.
func (m *Manager) storeValues(ctx context.Context, topic gypsum.Topic, id gypsum.BatchID, key string, values [][]byte, size int) (ValueRef, error) {
	offset, err := m.WriterFor(topic, m.partitionOf(id)).Append(ctx, store.NewValueRecords(key, values)...)
	if err != nil {
		return ValueRef{}, fmt.Errorf("append to %s: %w", topic, err)
	}
	return ValueRef{Offset: offset, Key: key, Count: len(values), Size: size}, nil
}

// storeText stores a text and returns a reference to it. If cache is set, the text is
// cached for readers.
func (m *Manager) storeText(ctx context.Context, id gypsum.BatchID, item gypsum.ItemID, text string, cache bool) (ValueRef, error) {
	if text == "" {
		return ValueRef{}, nil
	}
	budget := int(m.RecordSize) - recordOverhead
	var values [][]byte
	for rest := text; rest != ""; {
		cut := min(budget, len(rest))
		values, rest = append(values, []byte(rest[:cut])), rest[cut:]
	}
	key := string(id) + "/" + string(item) + "/" + m.uniqueKey()
	ref, err := m.storeValues(ctx, m.Topics.Texts, id, key, values, len(text))
	if err == nil && cache {
		m.texts.add(key, text)
	}
	return ref, err
}

// itemSize returns the approximate size of an encoded item.
func itemSize(item *gypsum.BatchItem) int {
	size := len(item.ID) + len(item.Path) + len(item.Body) + len(item.Group) + 64
	for name, value := range item.Header {
		size += len(name) + len(value) + 8
	}
	if scorer := item.Scorer; scorer != nil {
		size += len(scorer.ID) + len(scorer.HostName) + len(scorer.Path) + len(scorer.Body) + 32
	}
	return size
}

// storeItems stores the items of a batch and returns a reference to them.
func (m *Manager) storeItems(ctx context.Context, batch *gypsum.Batch) (ValueRef, error) {
	var values [][]byte
	size := 0
	budget := int(m.RecordSize) - recordOverhead
	for begin := 0; begin < len(batch.Items); {
		end, estimated := begin, 0
		for end < len(batch.Items) {
			estimated += itemSize(&batch.Items[end])
			if end > begin && estimated > budget {
				break
			}
			end++
		}
		value, err := cbor.Marshal(batch.Items[begin:end])
		if err != nil {
			return ValueRef{}, fmt.Errorf("encode items: %w", err)
		}
		values, size, begin = append(values, value), size+len(value), end
	}
	key := string(batch.ID) + "/" + m.uniqueKey()
	return m.storeValues(ctx, m.Topics.Bodies, batch.ID, key, values, size)
}

// decodeItems decodes concatenated lists of items.
func decodeItems(content []byte, count int) ([]gypsum.BatchItem, error) {
	items := make([]gypsum.BatchItem, 0, count)
	for len(content) > 0 {
		var decoded []gypsum.BatchItem
		rest, err := cbor.UnmarshalFirst(content, &decoded)
		if err != nil {
			return nil, fmt.Errorf("decode item list: %w: %w", errMalformedRecord, err)
		}
		items, content = append(items, decoded...), rest
	}
	return items, nil
}

// cachedItems are the items of a submission, whose bodies were stored under a key. Of several
// submissions with the same batch id, only one is the batch.
type cachedItems struct {
	bodies string
	items  []gypsum.BatchItem
}

// size returns the size of the bodies.
func (c *cachedItems) size() (size gypsum.Bytes) {
	for i := range c.items {
		size += gypsum.Bytes(len(c.items[i].Body))
	}
	return size
}

const (
	// itemCopies is how many times a read of items holds them: as read, joined, and decoded.
	itemCopies = 3
	// itemsTimeout bounds a read of items, which continues after its callers have left, so that the next one finds
	// them in the cache.
	itemsTimeout = 4 * time.Second
)

// Items returns the items of an accepted batch. Concurrent calls for one batch share a read. The error is
// ErrReadsFull if others have to end before.
func (m *Manager) Items(ctx context.Context, header *Header) ([]gypsum.BatchItem, error) {
	if cached, ok := m.items.Get(header.ID); ok && cached.bodies == header.Bodies.Key {
		return cached.items, nil
	}
	read := m.itemReads.DoChan(header.Bodies.Key, func() (any, error) {
		readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), itemsTimeout)
		defer cancel()
		return m.readItems(readCtx, header)
	})
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("read items of batch %s: %w", header.ID, ctx.Err())
	case result := <-read:
		if result.Err != nil {
			return nil, result.Err
		}
		return result.Val.([]gypsum.BatchItem), nil
	}
}

// readItems reads the items of a batch from the store and caches them.
func (m *Manager) readItems(ctx context.Context, header *Header) ([]gypsum.BatchItem, error) {
	release, err := m.reserveRead(gypsum.Bytes(itemCopies * header.Bodies.Size))
	if err != nil {
		return nil, fmt.Errorf("read items of batch %s: %w", header.ID, err)
	}
	defer release()
	values, err := m.fetchValues(ctx, m.Topics.Bodies, header.ID, header.Bodies)
	if err != nil {
		return nil, err
	}
	items, err := decodeItems(values[header.Bodies.Key], header.ItemCount)
	if err != nil {
		return nil, fmt.Errorf("decode items of batch %s: %w", header.ID, err)
	}
	m.cacheItems(header.ID, cachedItems{bodies: header.Bodies.Key, items: items})
	return items, nil
}

// reserveRead counts the bytes that a read holds until release is called. A read that alone is larger than all of the
// memory takes all of it.
func (m *Manager) reserveRead(size gypsum.Bytes) (release func(), err error) {
	if m.ReadMemory == nil {
		return func() {}, nil
	}
	size = min(size, m.ReadMemory.Usage().Limit)
	holder := m.ReadMemory.Open("", size, nil, time.Now())
	if err := holder.Add(size); err != nil {
		holder.Close()
		return nil, fmt.Errorf("%w: %w", ErrReadsFull, err)
	}
	return holder.Close, nil
}

// EvictItems removes the items of a batch from the cache.
func (m *Manager) EvictItems(id gypsum.BatchID) { m.items.Remove(id) }

// CheckpointTexts returns the texts of a batch's checkpoints by their keys.
func (m *Manager) CheckpointTexts(ctx context.Context, id gypsum.BatchID, checkpoints map[gypsum.ItemID]Checkpoint) (map[string][]byte, error) {
	refs := make([]ValueRef, 0, len(checkpoints))
	for item := range checkpoints {
		refs = append(refs, checkpoints[item].Text)
	}
	return m.fetchValues(ctx, m.Topics.Texts, id, refs...)
}

// partitionOf returns the partition that holds the bodies and texts of a batch.
func (m *Manager) partitionOf(id gypsum.BatchID) gypsum.Partition {
	return gypsum.Partition(gypsum.Hash64(string(id)) % uint64(m.Partitions))
}

package batch

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/store"
)

// fetch returns stored values by their keys.
func (m *Manager) fetch(ctx context.Context, topic gypsum.Topic, id gypsum.BatchID, values ...Stored) (map[string][]byte, error) {
	places := make([]store.ValueRef, 0, len(values))
	for _, stored := range values {
		places = append(places, store.ValueRef{Offset: stored.Offset, Key: stored.Key, Count: stored.Count, Size: stored.Size})
	}
	found, err := store.Fetch(ctx, m.Store, topic, m.part(id), string(id)+"/", places)
	if err != nil {
		return nil, fmt.Errorf("batch %s: %w", id, err)
	}
	return found, nil
}

// storeValues stores the parts of a value and tells where.
func (m *Manager) storeValues(ctx context.Context, topic gypsum.Topic, id gypsum.BatchID, key string, values [][]byte, size int) (Stored, error) {
	offset, err := m.Write(topic, m.part(id)).Append(ctx, store.NewRecords(key, values)...)
	if err != nil {
		return Stored{}, fmt.Errorf("append to %s: %w", topic, err)
	}
	return Stored{Offset: offset, Key: key, Count: len(values), Size: size}, nil
}

// storeText stores a text and tells where. It is kept for readers if keep is set.
func (m *Manager) storeText(ctx context.Context, id gypsum.BatchID, item gypsum.ItemID, text string, keep bool) (Stored, error) {
	if text == "" {
		return Stored{}, nil
	}
	budget := int(m.RecordSize) - fetchSlack
	var values [][]byte
	for rest := text; rest != ""; {
		cut := min(budget, len(rest))
		values, rest = append(values, []byte(rest[:cut])), rest[cut:]
	}
	key := string(id) + "/" + string(item) + "/" + m.unique()
	stored, err := m.storeValues(ctx, m.Topics.Texts, id, key, values, len(text))
	if err == nil && keep {
		m.texts.add(key, text)
	}
	return stored, err
}

// itemSize returns about what an item takes in a record.
func itemSize(item *gypsum.BatchItem) int {
	size := len(item.ID) + len(item.Path) + len(item.Body) + len(item.Group) + 64
	for name, value := range item.Header {
		size += len(name) + len(value) + 8
	}
	return size
}

// storeItems stores a batch's items and tells where.
func (m *Manager) storeItems(ctx context.Context, batch *gypsum.Batch) (Stored, error) {
	var values [][]byte
	size := 0
	budget := int(m.RecordSize) - fetchSlack
	for begin := 0; begin < len(batch.Items); {
		end, weight := begin, 0
		for end < len(batch.Items) {
			weight += itemSize(&batch.Items[end])
			if end > begin && weight > budget {
				break
			}
			end++
		}
		value, err := cbor.Marshal(batch.Items[begin:end])
		if err != nil {
			return Stored{}, fmt.Errorf("encode items: %w", err)
		}
		values, size, begin = append(values, value), size+len(value), end
	}
	key := string(batch.ID) + "/" + m.unique()
	return m.storeValues(ctx, m.Topics.Bodies, batch.ID, key, values, size)
}

// decodeItems decodes lists of items that follow each other.
func decodeItems(content []byte, total int) ([]gypsum.BatchItem, error) {
	items := make([]gypsum.BatchItem, 0, total)
	for len(content) > 0 {
		var part []gypsum.BatchItem
		rest, err := cbor.UnmarshalFirst(content, &part)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errRecord, err)
		}
		items, content = append(items, part...), rest
	}
	return items, nil
}

// Items returns the items of an accepted batch.
func (m *Manager) Items(ctx context.Context, header *Header) ([]gypsum.BatchItem, error) {
	if items, ok := m.bodies.Get(header.ID); ok {
		return items, nil
	}
	values, err := m.fetch(ctx, m.Topics.Bodies, header.ID, header.Bodies)
	if err != nil {
		return nil, err
	}
	items, err := decodeItems(values[header.Bodies.Key], header.Total)
	if err != nil {
		return nil, fmt.Errorf("items of batch %s: %w", header.ID, err)
	}
	m.bodies.Add(header.ID, items)
	return items, nil
}

// Forget drops the kept items of a batch.
func (m *Manager) Forget(id gypsum.BatchID) { m.bodies.Remove(id) }

// PartialTexts returns the texts of a batch's checkpoints by their keys.
func (m *Manager) PartialTexts(ctx context.Context, id gypsum.BatchID, partials map[gypsum.ItemID]Partial) (map[string][]byte, error) {
	stored := make([]Stored, 0, len(partials))
	for item := range partials {
		stored = append(stored, partials[item].Text)
	}
	return m.fetch(ctx, m.Topics.Texts, id, stored...)
}

// part returns the partition of a batch's bodies and texts.
func (m *Manager) part(id gypsum.BatchID) gypsum.Partition {
	return gypsum.Partition(gypsum.Hash64(string(id)) % uint64(m.Parts))
}

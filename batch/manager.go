package batch

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/store"
)

// Topics are the topics that batches use.
type Topics struct {
	State  gypsum.Topic
	Bodies gypsum.Topic
	Texts  gypsum.Topic
}

// Errors of batches.
var (
	// ErrNoBatch is an id of which all records of the store hold no batch.
	ErrNoBatch = errors.New("no such batch")
	// ErrNoItem is an item that has no body to return.
	ErrNoItem = errors.New("no such item")
)

// Sizes of what a manager keeps and returns.
const (
	// cachedBatches is how many batches' items are kept until they begin to run.
	cachedBatches = 16
	// recordOverhead is read beyond a value's size, for the records' keys.
	recordOverhead = 4 << 10
)

// Manager accepts, reads and ends batches. Set the exported fields before use.
type Manager struct {
	Host        gypsum.HostID
	Incarnation gypsum.Incarnation
	State       *State
	Follower    *store.Follower
	Store       gypsum.RecordStore
	Topics      Topics
	Partitions  int
	// RecordSize bounds one record.
	RecordSize gypsum.Bytes
	// StateWriter writes the state topic, Write returns the writer of another partition.
	StateWriter *store.Writer
	WriterFor   func(gypsum.Topic, gypsum.Partition) *store.Writer
	Logger      *slog.Logger

	serial atomic.Int64
	texts  textCache
	items  *lru.Cache[gypsum.BatchID, []gypsum.BatchItem]
}

// Start prepares the manager for use.
func (m *Manager) Start() error {
	var err error
	if m.texts, err = newTextCache(); err != nil {
		return err
	}
	if m.items, err = lru.New[gypsum.BatchID, []gypsum.BatchItem](cachedBatches); err != nil {
		return fmt.Errorf("make cache of items: %w", err)
	}
	return nil
}

// uniqueKey returns a key part that no other record has.
func (m *Manager) uniqueKey() string {
	return string(m.Host) + "." + strconv.FormatInt(int64(m.Incarnation), 36) + "." + strconv.FormatInt(m.serial.Add(1), 36)
}

// Accept stores a batch. It returns nil once the batch is known to be in the store,
// gypsum.ErrStoreRefused if no part of it is and none will be, and
// gypsum.ErrStoreUnknown otherwise.
func (m *Manager) Accept(ctx context.Context, batch *gypsum.Batch) error {
	if m.State.Has(batch.ID) {
		return nil
	}
	bodies, err := m.storeItems(ctx, batch)
	if err != nil {
		// Items without a header are no batch: nothing of it will run.
		return fmt.Errorf("store items: %w: %w", gypsum.ErrStoreRefused, err)
	}
	header := Header{
		ID: batch.ID, Route: batch.Route, HostName: batch.HostName, Service: batch.Service, Model: batch.Model,
		MinVersion: batch.MinVersion, ItemCount: len(batch.Items), SingleVersion: batch.SingleVersion, MaxAttempts: batch.MaxAttempts,
		SubmittedMS: batch.SubmittedAt.UnixMilli(), DueMS: batch.DueAt.UnixMilli(), ExpiresMS: batch.ExpiresAt.UnixMilli(),
		Bodies: bodies, Origin: m.Host, Step: batch.Step,
	}
	m.items.Add(batch.ID, batch.Items)
	offset, err := m.appendRecord(ctx, header, kindHeader, string(batch.ID), m.uniqueKey())
	if err != nil {
		return err
	}
	m.Logger.Info("batch stored", "batch", batch.ID, "items", len(batch.Items), "model", batch.Model, "step", batch.Step,
		"min_version", batch.MinVersion, "offset", offset)
	return nil
}

// ensureKnown makes sure that a batch is known, or that there is none: then ErrNoBatch.
func (m *Manager) ensureKnown(ctx context.Context, id gypsum.BatchID) error {
	if m.State.Has(id) {
		return nil
	}
	if err := m.Follower.CatchUp(ctx); err != nil {
		return err
	}
	if !m.State.Has(id) {
		return fmt.Errorf("batch %s: %w", id, ErrNoBatch)
	}
	return nil
}

// ItemBody returns the body of an item. It returns ErrNoBatch or ErrNoItem only if
// that is certain.
func (m *Manager) ItemBody(ctx context.Context, id gypsum.BatchID, item gypsum.ItemID) ([]byte, error) {
	if err := m.ensureKnown(ctx, id); err != nil {
		return nil, err
	}
	_, header, _, _ := m.State.Results(id, 0)
	items, err := m.Items(ctx, &header)
	if err != nil {
		return nil, err
	}
	for i := range items {
		if items[i].ID == item {
			return items[i].Body, nil
		}
	}
	return nil, fmt.Errorf("item %s of batch %s: %w", item, id, ErrNoItem)
}

// End ends a batch. It returns nil once the end is known to be in the store.
func (m *Manager) End(ctx context.Context, id gypsum.BatchID) error {
	if err := m.ensureKnown(ctx, id); err != nil {
		return err
	}
	ended := false
	m.State.WithProgress(id, func(_ map[gypsum.ItemID]bool, done bool) { ended = done })
	if ended {
		return nil
	}
	if _, err := m.appendRecord(ctx, End{Batch: id}, kindEnd, string(id), m.uniqueKey()); err != nil {
		return err
	}
	m.Logger.Info("batch ended", "batch", id)
	return nil
}

// ReadResults returns the number of items of a batch and its results from a position on.
// It waits for the first one up to wait.
func (m *Manager) ReadResults(ctx context.Context, id gypsum.BatchID, from int, wait time.Duration) (int, []gypsum.BatchResult, error) {
	if err := m.ensureKnown(ctx, id); err != nil {
		return 0, nil, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		results, header, changed, _ := m.State.Results(id, from)
		if len(results) > 0 || from >= header.ItemCount {
			read, err := m.readTexts(ctx, id, results)
			return header.ItemCount, read, err
		}
		select {
		case <-ctx.Done():
			return 0, nil, fmt.Errorf("wait for results: %w", ctx.Err())
		case <-timer.C:
			return header.ItemCount, nil, nil
		case <-changed:
		}
	}
}

// StoreResult stores the result of an item. The first one stored counts.
func (m *Manager) StoreResult(ctx context.Context, id gypsum.BatchID, result *gypsum.BatchResult) error {
	ref, err := m.storeText(ctx, id, result.Item, result.Text, true)
	if err != nil {
		return err
	}
	_, err = m.appendRecord(ctx, Result{Batch: id, Item: result.Item, State: result.State, Versions: result.Versions, Text: ref},
		kindResult, string(id), string(result.Item), m.uniqueKey())
	return err
}

// StoreCheckpoint stores the events that an item's run has given so far.
func (m *Manager) StoreCheckpoint(ctx context.Context, id gypsum.BatchID, item gypsum.ItemID, lastEvent int64, versions []gypsum.WeightVersion, text string) error {
	ref, err := m.storeText(ctx, id, item, text, false)
	if err != nil {
		return err
	}
	_, err = m.appendRecord(ctx, Checkpoint{Batch: id, Item: item, LastEvent: lastEvent, Versions: versions, Text: ref},
		kindCheckpoint, string(id), string(item))
	return err
}

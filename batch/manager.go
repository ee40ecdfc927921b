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
	"golang.org/x/sync/singleflight"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/store"
)

// Topics are the topics of the store that batches use.
type Topics struct {
	State  gypsum.Topic
	Bodies gypsum.Topic
	Texts  gypsum.Topic
}

// Errors returned by a Manager.
var (
	// ErrNoBatch means that the store is known to contain no batch with the id.
	ErrNoBatch = errors.New("no such batch")
	// ErrNoItem means that the batch has no item with the id.
	ErrNoItem = errors.New("no such item")
	// ErrReadsFull means that there is no memory for the read of a batch until others have ended.
	ErrReadsFull = errors.New("too many bytes of batches are being read")
	// ErrBatchTaken means that a batch of another account has the id.
	ErrBatchTaken = errors.New("another batch has the id")
)

// Sizes of the caches and reads of a Manager.
const (
	// maxCachedBatches is the number of batches whose items are cached until they are run.
	maxCachedBatches = 16
	// recordOverhead is the space in bytes that is reserved in a record for its key.
	recordOverhead = 4 << 10
)

// Manager accepts, reads and ends batches. Set the exported fields and call Init before
// use.
type Manager struct {
	Host        gypsum.HostID
	Incarnation gypsum.Incarnation
	State       *State
	Follower    *store.Follower
	Store       gypsum.KeyedStore
	Topics      Topics
	Partitions  int
	// RecordSize bounds the size of a record.
	RecordSize gypsum.Bytes
	// StateWriter writes the state topic; WriterFor returns the writer of any other
	// partition.
	StateWriter *store.Writer
	WriterFor   func(gypsum.Topic, gypsum.Partition) *store.Writer
	// Memory bounds the estimated memory of the known batches, 0 for no bound.
	Memory gypsum.Bytes
	// ReadMemory bounds what reads of items hold at one time, nil for no bound.
	ReadMemory *buffer.Pool
	// Clock dates the daemon's own heartbeats. It may be nil if nothing asks for them.
	Clock  gypsum.SteadyClock
	Logger *slog.Logger

	keySerial     atomic.Int64
	lastHeartbeat atomic.Pointer[OwnHeartbeat]
	texts         textCache
	items         *lru.Cache[gypsum.BatchID, cachedItems]
	itemReads     singleflight.Group
	pending       pendingBatches
}

// Init creates the caches.
func (m *Manager) Init() error {
	var err error
	if m.texts, err = newTextCache(); err != nil {
		return err
	}
	if m.items, err = lru.New[gypsum.BatchID, cachedItems](maxCachedBatches); err != nil {
		return fmt.Errorf("create item cache: %w", err)
	}
	return nil
}

// uniqueKey returns a key component that no other record has.
func (m *Manager) uniqueKey() string {
	return string(m.Host) + "." + strconv.FormatInt(int64(m.Incarnation), 36) + "." + strconv.FormatInt(m.keySerial.Add(1), 36)
}

// AcceptBatch stores a batch. It returns nil once the batch is known to be in the store,
// gypsum.ErrStoreRefused if the batch is not stored and never will be, ErrBatchTaken if its id is
// that of another account's batch, and gypsum.ErrStoreUnknown otherwise.
func (m *Manager) AcceptBatch(ctx context.Context, batch *gypsum.Batch) error {
	if account, ok := m.State.AccountOf(batch.ID); ok {
		if !mayAccess(batch.Account, account) {
			return fmt.Errorf("accept batch %s: %w", batch.ID, ErrBatchTaken)
		}
		return nil
	}
	if err := m.admit(batch, time.Now()); err != nil {
		return fmt.Errorf("accept batch %s: %w", batch.ID, err)
	}
	bodies, err := m.storeItems(ctx, batch)
	if err != nil {
		m.withdraw(batch.ID)
		// Items without a header are not a batch, so none of them will run.
		return fmt.Errorf("store items: %w: %w", gypsum.ErrStoreRefused, err)
	}
	header := Header{
		ID: batch.ID, Route: batch.Route, HostName: batch.HostName, Service: batch.Service, Model: batch.Model,
		MinVersion: batch.MinVersion, ItemCount: len(batch.Items), SingleVersion: batch.SingleVersion, MaxAttempts: batch.MaxAttempts,
		SubmittedMS: batch.SubmittedAt.UnixMilli(), DueMS: batch.DueAt.UnixMilli(), ExpiresMS: batch.ExpiresAt.UnixMilli(),
		Bodies: bodies, Origin: m.Host, Step: batch.Step, Scored: batch.IsScored(),
		Account: batch.Account,
	}
	m.cacheItems(batch.ID, cachedItems{bodies: bodies.Key, items: batch.Items})
	offset, err := m.appendRecord(ctx, header, kindHeader, string(batch.ID), m.uniqueKey())
	if err != nil {
		if errors.Is(err, gypsum.ErrStoreRefused) {
			m.withdraw(batch.ID)
		}
		return err
	}
	if err := m.checkBatchWon(ctx, batch, offset); err != nil {
		return fmt.Errorf("accept batch %s: %w", batch.ID, err)
	}
	m.Logger.Info("batch stored", "batch", batch.ID, "items", len(batch.Items), "model", batch.Model, "step", batch.Step,
		"min_version", batch.MinVersion, "offset", offset)
	return nil
}

// checkBatchWon returns ErrBatchTaken if an earlier header of another account has the id of a batch
// whose header was appended at an offset. Without accounts there is nothing to check: whoever submits
// a batch with the same id may access it.
func (m *Manager) checkBatchWon(ctx context.Context, batch *gypsum.Batch, offset gypsum.Offset) error {
	if batch.Account == "" && !batch.AccountsInForce {
		return nil
	}
	if err := m.Follower.WaitForOffset(ctx, offset+1); err != nil {
		return fmt.Errorf("read back the header: %w: %w", gypsum.ErrStoreUnknown, err)
	}
	if account, ok := m.State.AccountOf(batch.ID); ok && !mayAccess(batch.Account, account) {
		return ErrBatchTaken
	}
	return nil
}

// checkBatchExists returns nil if the batch is known, and ErrNoBatch if the whole topic
// contains no such batch.
func (m *Manager) checkBatchExists(ctx context.Context, id gypsum.BatchID) error {
	if m.State.HasBatch(id) {
		return nil
	}
	if err := m.Follower.CatchUp(ctx); err != nil {
		return err
	}
	if !m.State.HasBatch(id) {
		return fmt.Errorf("batch %s: %w", id, ErrNoBatch)
	}
	return nil
}

// mayAccess reports whether a caller of an account, empty for none, may access a batch of an
// account. Batches without an account are those of routes that need no key, and those that a
// daemon of an older version accepted.
func mayAccess(caller, account gypsum.AccountName) bool { return account == "" || account == caller }

// IsOfAccount reports whether a batch is known to belong to an account.
func (m *Manager) IsOfAccount(id gypsum.BatchID) bool {
	account, ok := m.State.AccountOf(id)
	return ok && account != ""
}

// CheckAccess returns nil if a caller of an account, empty for none, may access a batch. Otherwise
// it returns the same errors, after the same reads of the store, as for a batch that does not
// exist: ErrNoBatch only if the whole topic contains no batch that the caller may access.
func (m *Manager) CheckAccess(ctx context.Context, id gypsum.BatchID, caller gypsum.AccountName) error {
	if account, ok := m.State.AccountOf(id); ok && mayAccess(caller, account) {
		return nil
	}
	if err := m.Follower.CatchUp(ctx); err != nil {
		return err
	}
	if account, ok := m.State.AccountOf(id); ok && mayAccess(caller, account) {
		return nil
	}
	return fmt.Errorf("batch %s: %w", id, ErrNoBatch)
}

// ItemBody returns the body of an item. It returns ErrNoBatch or ErrNoItem only if the
// batch or the item is certain not to exist.
func (m *Manager) ItemBody(ctx context.Context, id gypsum.BatchID, item gypsum.ItemID) ([]byte, error) {
	if err := m.checkBatchExists(ctx, id); err != nil {
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

// EndBatch ends a batch: the attempts at its items are cancelled and no others are started. It
// returns nil once the end is known to be in the store, gypsum.ErrStoreRefused if it is not
// stored and never will be, and gypsum.ErrStoreUnknown if it may be.
func (m *Manager) EndBatch(ctx context.Context, id gypsum.BatchID) error {
	if err := m.checkBatchExists(ctx, id); err != nil {
		return fmt.Errorf("end batch: %w: %w", gypsum.ErrStoreRefused, err)
	}
	ended := false
	m.State.VisitProgress(id, func(_ map[gypsum.ItemID]bool, done bool) { ended = done })
	if ended {
		return nil
	}
	if _, err := m.appendRecord(ctx, End{Batch: id}, kindEnd, string(id), m.uniqueKey()); err != nil {
		return err
	}
	m.Logger.Info("batch ended", "batch", id)
	return nil
}

// ReadResults returns the number of items of a batch, and its results from the given
// position. If there are none yet, it waits up to wait for the first.
func (m *Manager) ReadResults(ctx context.Context, id gypsum.BatchID, from int, wait time.Duration) (int, []gypsum.BatchResult, error) {
	if err := m.checkBatchExists(ctx, id); err != nil {
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
			return 0, nil, fmt.Errorf("wait for batch results: %w", ctx.Err())
		case <-timer.C:
			return header.ItemCount, nil, nil
		case <-changed:
		}
	}
}

// StoreResult stores the result of an item. Only the first result stored for an item
// counts.
func (m *Manager) StoreResult(ctx context.Context, id gypsum.BatchID, result *gypsum.BatchResult) error {
	ref, err := m.StoreText(ctx, id, result.Item, result.Text)
	if err != nil {
		return err
	}
	return m.RecordResult(ctx, id, result, ref)
}

// StoreText stores the complete text of an item and returns a reference to it.
func (m *Manager) StoreText(ctx context.Context, id gypsum.BatchID, item gypsum.ItemID, text string) (ValueRef, error) {
	return m.storeText(ctx, id, item, text, true)
}

// RecordResult stores the result of an item whose text is stored already.
func (m *Manager) RecordResult(ctx context.Context, id gypsum.BatchID, result *gypsum.BatchResult, text ValueRef) error {
	record := Result{Batch: id, Item: result.Item, State: result.State, Versions: result.Versions, Text: text, Score: result.Score}
	_, err := m.appendRecord(ctx, record, kindResult, string(id), string(result.Item), m.uniqueKey())
	return err
}

// StoreCheckpoint stores a checkpoint with its text.
func (m *Manager) StoreCheckpoint(ctx context.Context, checkpoint *Checkpoint, text string) error {
	ref, err := m.storeText(ctx, checkpoint.Batch, checkpoint.Item, text, false)
	if err != nil {
		return err
	}
	checkpoint.Text = ref
	return m.RecordCheckpoint(ctx, checkpoint)
}

// RecordCheckpoint stores a checkpoint whose text is stored already.
func (m *Manager) RecordCheckpoint(ctx context.Context, checkpoint *Checkpoint) error {
	_, err := m.appendRecord(ctx, checkpoint, kindCheckpoint, string(checkpoint.Batch), string(checkpoint.Item))
	return err
}

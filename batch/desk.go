package batch

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
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

// Sizes of what a desk keeps and returns.
const (
	// maxAnswer bounds the texts of one answer, below the pages' 1 MB with room for
	// the encoding.
	maxAnswer = 700 << 10
	// textsKept and textSizeKept bound the texts kept for readers: some seconds of
	// a site's results.
	textsKept    = 512
	textSizeKept = 32 << 10
	// bodiesKept is how many batches' items are kept until they begin to run.
	bodiesKept = 16
	// fetchSlack is read beyond a value's size, for the records' keys.
	fetchSlack = 4 << 10
)

// Desk accepts, reads and ends batches. Set the exported fields before use.
type Desk struct {
	Host   gypsum.HostID
	Boot   gypsum.Incarnation
	Book   *Book
	Follow *store.Follower
	Store  gypsum.KeyedStore
	Topics Topics
	Parts  int
	// RecordSize bounds one record.
	RecordSize gypsum.Bytes
	// State writes the state topic, Write returns the writer of another partition.
	State  *store.Writer
	Write  func(gypsum.Topic, gypsum.Partition) *store.Writer
	Logger *slog.Logger

	serial atomic.Int64
	texts  *lru.Cache[string, string]
	bodies *lru.Cache[gypsum.BatchID, []gypsum.BatchItem]
}

// Start prepares the desk for use.
func (d *Desk) Start() error {
	var err error
	if d.texts, err = lru.New[string, string](textsKept); err != nil {
		return fmt.Errorf("make cache of texts: %w", err)
	}
	if d.bodies, err = lru.New[gypsum.BatchID, []gypsum.BatchItem](bodiesKept); err != nil {
		return fmt.Errorf("make cache of items: %w", err)
	}
	return nil
}

// unique returns a key part that no other record has.
func (d *Desk) unique() string {
	return string(d.Host) + "." + strconv.FormatInt(int64(d.Boot), 36) + "." + strconv.FormatInt(d.serial.Add(1), 36)
}

// part returns the partition of a batch's bodies and texts.
func (d *Desk) part(id gypsum.BatchID) gypsum.Partition {
	return gypsum.Partition(gypsum.Hash64(string(id)) % uint64(d.Parts))
}

// Accept stores a batch. It returns nil once the batch is known to be in the store,
// gypsum.ErrStoreRefused if no part of it is and none will be, and
// gypsum.ErrStoreUnknown otherwise.
func (d *Desk) Accept(ctx context.Context, batch *gypsum.Batch) error {
	if d.Book.Knows(batch.ID) {
		return nil
	}
	bodies, err := d.storeItems(ctx, batch)
	if err != nil {
		// Items without a header are no batch: nothing of it will run.
		return fmt.Errorf("store items: %w: %w", gypsum.ErrStoreRefused, err)
	}
	header := Header{
		ID: batch.ID, Route: batch.Route, HostName: batch.HostName, Service: batch.Service, Model: batch.Model,
		MinVersion: batch.MinVersion, Total: len(batch.Items), Single: batch.Single, MaxAttempts: batch.MaxAttempts,
		Submitted: batch.Submitted.UnixMilli(), Due: batch.Due.UnixMilli(), GiveUp: batch.GiveUp.UnixMilli(),
		Bodies: bodies, Origin: d.Host, Step: batch.Step,
	}
	record, err := encode(header, kindHeader, string(batch.ID), d.unique())
	if err != nil {
		return fmt.Errorf("%w: %w", gypsum.ErrStoreRefused, err)
	}
	d.bodies.Add(batch.ID, batch.Items)
	offset, err := d.State.Append(ctx, record)
	if err != nil {
		return fmt.Errorf("store header: %w", err)
	}
	d.Logger.Info("batch stored", "batch", batch.ID, "items", len(batch.Items), "model", batch.Model, "step", batch.Step,
		"min_version", batch.MinVersion, "offset", offset)
	return nil
}

// storeItems stores a batch's items and tells where.
func (d *Desk) storeItems(ctx context.Context, batch *gypsum.Batch) (Stored, error) {
	var values [][]byte
	size := 0
	budget := int(d.RecordSize) - fetchSlack
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
	key := string(batch.ID) + "/" + d.unique()
	return d.storeValues(ctx, d.Topics.Bodies, batch.ID, key, values, size)
}

// storeValues stores the parts of a value and tells where.
func (d *Desk) storeValues(ctx context.Context, topic gypsum.Topic, id gypsum.BatchID, key string, values [][]byte, size int) (Stored, error) {
	offset, err := d.Write(topic, d.part(id)).Append(ctx, store.Cut(key, values)...)
	if err != nil {
		return Stored{}, fmt.Errorf("append to %s: %w", topic, err)
	}
	return Stored{Offset: offset, Key: key, Count: len(values), Size: size}, nil
}

// itemSize returns about what an item takes in a record.
func itemSize(item *gypsum.BatchItem) int {
	size := len(item.ID) + len(item.Path) + len(item.Body) + len(item.Group) + 64
	for name, value := range item.Header {
		size += len(name) + len(value) + 8
	}
	return size
}

// fetch returns stored values by their keys.
func (d *Desk) fetch(ctx context.Context, topic gypsum.Topic, id gypsum.BatchID, values ...Stored) (map[string][]byte, error) {
	places := make([]store.Place, 0, len(values))
	for _, stored := range values {
		places = append(places, store.Place{Offset: stored.Offset, Key: stored.Key, Count: stored.Count, Size: stored.Size})
	}
	found, err := store.Fetch(ctx, d.Store, topic, d.part(id), string(id)+"/", places)
	if err != nil {
		return nil, fmt.Errorf("batch %s: %w", id, err)
	}
	return found, nil
}

// Items returns the items of an accepted batch.
func (d *Desk) Items(ctx context.Context, header *Header) ([]gypsum.BatchItem, error) {
	if items, ok := d.bodies.Get(header.ID); ok {
		return items, nil
	}
	values, err := d.fetch(ctx, d.Topics.Bodies, header.ID, header.Bodies)
	if err != nil {
		return nil, err
	}
	items, err := decodeItems(values[header.Bodies.Key], header.Total)
	if err != nil {
		return nil, fmt.Errorf("items of batch %s: %w", header.ID, err)
	}
	d.bodies.Add(header.ID, items)
	return items, nil
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

// Forget drops the kept items of a batch.
func (d *Desk) Forget(id gypsum.BatchID) { d.bodies.Remove(id) }

// find makes sure that a batch is known, or that there is none: then ErrNoBatch.
func (d *Desk) find(ctx context.Context, id gypsum.BatchID) error {
	if d.Book.Knows(id) {
		return nil
	}
	if err := d.Follow.CatchUp(ctx); err != nil {
		return err
	}
	if !d.Book.Knows(id) {
		return fmt.Errorf("batch %s: %w", id, ErrNoBatch)
	}
	return nil
}

// Body returns the body of an item. It returns ErrNoBatch or ErrNoItem only if
// that is certain.
func (d *Desk) Body(ctx context.Context, id gypsum.BatchID, item gypsum.ItemID) ([]byte, error) {
	if err := d.find(ctx, id); err != nil {
		return nil, err
	}
	_, header, _, _ := d.Book.Results(id, 0)
	items, err := d.Items(ctx, &header)
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
func (d *Desk) End(ctx context.Context, id gypsum.BatchID) error {
	if err := d.find(ctx, id); err != nil {
		return err
	}
	ended := false
	d.Book.Progress(id, func(_ map[gypsum.ItemID]bool, done bool) { ended = done })
	if ended {
		return nil
	}
	record, err := encode(End{Batch: id}, kindEnd, string(id), d.unique())
	if err != nil {
		return err
	}
	if _, err := d.State.Append(ctx, record); err != nil {
		return fmt.Errorf("store end: %w", err)
	}
	d.Logger.Info("batch ended", "batch", id)
	return nil
}

// Read returns the number of items of a batch and its results from a position on.
// It waits for the first one up to wait.
func (d *Desk) Read(ctx context.Context, id gypsum.BatchID, from int, wait time.Duration) (int, []gypsum.BatchResult, error) {
	if err := d.find(ctx, id); err != nil {
		return 0, nil, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		results, header, changed, _ := d.Book.Results(id, from)
		if len(results) > 0 || from >= header.Total {
			read, err := d.readTexts(ctx, id, results)
			return header.Total, read, err
		}
		select {
		case <-ctx.Done():
			return 0, nil, fmt.Errorf("wait for results: %w", ctx.Err())
		case <-timer.C:
			return header.Total, nil, nil
		case <-changed:
		}
	}
}

// readTexts returns results with their texts, as many as one answer holds.
func (d *Desk) readTexts(ctx context.Context, id gypsum.BatchID, results []Result) ([]gypsum.BatchResult, error) {
	size, count := 0, 0
	for count < len(results) && (count == 0 || size+results[count].Text.Size <= maxAnswer) {
		size += results[count].Text.Size
		count++
	}
	texts, err := d.readStored(ctx, id, results[:count])
	if err != nil {
		return nil, err
	}
	read := make([]gypsum.BatchResult, 0, count)
	for i := range results[:count] {
		result := &results[i]
		read = append(read, gypsum.BatchResult{
			Item: result.Item, State: result.State, Text: texts[result.Text.Key], Versions: result.Versions,
		})
	}
	return read, nil
}

// readStored returns the texts of results by their keys: those kept, and the others
// from the store.
func (d *Desk) readStored(ctx context.Context, id gypsum.BatchID, results []Result) (map[string]string, error) {
	texts := make(map[string]string, len(results))
	var missing []Stored
	for i := range results {
		stored := results[i].Text
		if stored.Count == 0 {
			continue
		}
		if text, ok := d.texts.Get(stored.Key); ok {
			texts[stored.Key] = text
		} else {
			missing = append(missing, stored)
		}
	}
	values, err := d.fetch(ctx, d.Topics.Texts, id, missing...)
	if err != nil {
		return nil, err
	}
	for key, value := range values {
		texts[key] = string(value)
	}
	return texts, nil
}

// storeText stores a text and tells where. It is kept for readers if keep is set.
func (d *Desk) storeText(ctx context.Context, id gypsum.BatchID, item gypsum.ItemID, text string, keep bool) (Stored, error) {
	if text == "" {
		return Stored{}, nil
	}
	budget := int(d.RecordSize) - fetchSlack
	var values [][]byte
	for rest := text; rest != ""; {
		cut := min(budget, len(rest))
		values, rest = append(values, []byte(rest[:cut])), rest[cut:]
	}
	key := string(id) + "/" + string(item) + "/" + d.unique()
	stored, err := d.storeValues(ctx, d.Topics.Texts, id, key, values, len(text))
	if err == nil && keep && len(text) <= textSizeKept {
		d.texts.Add(key, text)
	}
	return stored, err
}

// Finish stores the result of an item. The first one stored counts.
func (d *Desk) Finish(ctx context.Context, id gypsum.BatchID, result *gypsum.BatchResult) error {
	stored, err := d.storeText(ctx, id, result.Item, result.Text, true)
	if err != nil {
		return err
	}
	record, err := encode(Result{Batch: id, Item: result.Item, State: result.State, Versions: result.Versions, Text: stored},
		kindResult, string(id), string(result.Item), d.unique())
	if err != nil {
		return err
	}
	if _, err := d.State.Append(ctx, record); err != nil {
		return fmt.Errorf("store result: %w", err)
	}
	return nil
}

// Checkpoint stores the events that an item's run has given so far.
func (d *Desk) Checkpoint(ctx context.Context, id gypsum.BatchID, item gypsum.ItemID, last int64, versions []gypsum.WeightVersion, text string) error {
	stored, err := d.storeText(ctx, id, item, text, false)
	if err != nil {
		return err
	}
	record, err := encode(Partial{Batch: id, Item: item, Last: last, Versions: versions, Text: stored},
		kindPartial, string(id), string(item))
	if err != nil {
		return err
	}
	if _, err := d.State.Append(ctx, record); err != nil {
		return fmt.Errorf("store checkpoint: %w", err)
	}
	return nil
}

// PartialTexts returns the texts of a batch's checkpoints by their keys.
func (d *Desk) PartialTexts(ctx context.Context, id gypsum.BatchID, partials map[gypsum.ItemID]Partial) (map[string][]byte, error) {
	stored := make([]Stored, 0, len(partials))
	for item := range partials {
		stored = append(stored, partials[item].Text)
	}
	return d.fetch(ctx, d.Topics.Texts, id, stored...)
}

// NoteFailures stores how often an item's runs have failed.
func (d *Desk) NoteFailures(ctx context.Context, failures Failures) error {
	record, err := encode(failures, kindFailures, string(failures.Batch), string(failures.Item))
	if err != nil {
		return err
	}
	if _, err := d.State.Append(ctx, record); err != nil {
		return fmt.Errorf("store failures: %w", err)
	}
	return nil
}

// Claim asks for a service on behalf of this host in a term, or gives it up. The
// record's place among others decides; Book tells who won.
func (d *Desk) Claim(ctx context.Context, service gypsum.ServiceName, term int64, released bool) error {
	record, err := encode(Claim{Service: service, Host: d.Host, Boot: d.Boot, Term: term, Released: released},
		kindClaim, string(service), d.unique())
	if err != nil {
		return err
	}
	offset, err := d.State.Append(ctx, record)
	if err != nil {
		return fmt.Errorf("store claim: %w", err)
	}
	return d.Follow.Reach(ctx, offset+1)
}

// Beat stores a sign of life.
func (d *Desk) Beat(ctx context.Context, number int64) error {
	record, err := encode(Heartbeat{Host: d.Host, Boot: d.Boot, Beat: number}, kindHeartbeat, string(d.Host))
	if err != nil {
		return err
	}
	if _, err := d.State.Append(ctx, record); err != nil {
		return fmt.Errorf("store heartbeat: %w", err)
	}
	return nil
}

// NoteCrash is part of gypsum.CrashBook: it stores that a replica died.
func (d *Desk) NoteCrash(ctx context.Context, fingerprint gypsum.Fingerprint, replica gypsum.BackendID) error {
	record, err := encode(Crash{Fingerprint: fingerprint, Replica: replica, At: time.Now().UnixMilli()},
		kindCrash, strconv.FormatUint(uint64(fingerprint), 16), d.unique())
	if err != nil {
		return err
	}
	if _, err := d.State.Append(ctx, record); err != nil {
		return fmt.Errorf("store crash: %w", err)
	}
	return nil
}

// Crashes is part of gypsum.CrashBook.
func (d *Desk) Crashes(fingerprint gypsum.Fingerprint) int { return d.Book.Crashes(fingerprint) }

// Announce tells other daemons where this one is, Withdraw that it is gone.
func (d *Desk) Announce(ctx context.Context, address string, location gypsum.Location) error {
	record, err := encode(HostRecord{Host: d.Host, Address: address, Location: location}, kindHost, string(d.Host))
	if err != nil {
		return err
	}
	if _, err := d.State.Append(ctx, record); err != nil {
		return fmt.Errorf("store address: %w", err)
	}
	return nil
}

// Withdraw removes what Announce has stored.
func (d *Desk) Withdraw(ctx context.Context) error {
	if _, err := d.State.Append(ctx, gypsum.KeyedRecord{Key: kindHost + "/" + string(d.Host)}); err != nil {
		return fmt.Errorf("remove address: %w", err)
	}
	return nil
}

package feed

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// Timeouts and ages.
const (
	// readerWait is how long a read of the store waits for records if others get them from this
	// daemon. The age of what they know grows by it.
	readerWait = 500 * time.Millisecond
	// feedWait is how long a request to a reader waits for records, and feedGrace how long its
	// response may take beyond that. A reader that is frozen or cut off costs both once.
	feedWait  = 300 * time.Millisecond
	feedGrace = 300 * time.Millisecond
	// retryGrace is how long the response to a request without a wait may take after a failure. It is
	// many times a round trip within a data centre.
	retryGrace = 100 * time.Millisecond
	// feedInterval is the minimum time between two requests for a topic. A request costs about 0.1 ms
	// of CPU time on each side, which would be a quarter of the smallest hosts' at 25 a second.
	feedInterval = 100 * time.Millisecond
	// maxServedAge is the age of a read up to which its records are served, and maxAge the age of
	// a page up to which it is used.
	maxServedAge = 1500 * time.Millisecond
	maxAge       = 2 * time.Second
	// readerCooldown is how long a reader is not asked after a failure. It doubles up to
	// maxReaderCooldown with each request in a row without a response, which costs up to
	// feedWait and feedGrace. A response without fresh records, as after an outage, costs nothing.
	readerCooldown    = time.Second
	maxReaderCooldown = 30 * time.Second
	// listInterval is how long the list of daemons is used.
	listInterval = 500 * time.Millisecond
	// countInterval is how long the number of readers is used.
	countInterval = 2 * time.Second
	// maxReadersPerRead bounds the readers that are asked before the daemon reads for itself.
	maxReadersPerRead = 2
)

// Errors of a reader's response.
var (
	errStale = errors.New("records of the reader are too old")
	errGap   = errors.New("records of the reader are not consecutive")
)

// Stats counts the reads of a Feed.
type Stats struct {
	// OwnReads are pages that this daemon has read from the store, Received pages from readers, and
	// Served pages for others.
	OwnReads atomic.Int64
	Received atomic.Int64
	Served   atomic.Int64
	// Broken are requests to readers without a response, Unserved those that a reader did not serve,
	// Stale and Gaps those whose records were too old or not consecutive.
	Broken   atomic.Int64
	Unserved atomic.Int64
	Stale    atomic.Int64
	Gaps     atomic.Int64
}

// Feed reads pages of topics: from a reader of the data centre if the store's allowance is not ample
// for all daemons, otherwise or if no reader responds from the store. It serves what it has read from
// the store to other daemons. It implements store.PageSource and gypsum.FeedSource. Set the exported
// fields before use.
type Feed struct {
	Self     gypsum.HostID
	Location gypsum.Location
	Store    gypsum.KeyedStore
	Peers    gypsum.PeerFeeds
	// ListDaemons returns the known daemons.
	ListDaemons func() []Daemon
	// Ample reports whether each daemon may read for itself.
	Ample func() bool
	// Clock measures ages.
	Clock gypsum.SteadyClock
	// Memory limits the records that are kept of each topic.
	Memory gypsum.Bytes
	Logger *slog.Logger
	Stats  Stats

	mu       sync.Mutex
	buffers  map[gypsum.Topic]*buffer
	failures map[readerKey]*readerFailure
	sharing  map[gypsum.Topic]bool
	asked    map[gypsum.Topic]time.Duration
	daemons  []Daemon
	listedAt time.Duration
	// readerCount is the result of ReaderCount, and countedAt the time at which it was determined.
	readerCount int
	countedAt   time.Duration
}

// readerKey identifies a reader of a topic.
type readerKey struct {
	topic gypsum.Topic
	host  gypsum.HostID
}

// readerFailure is a series of failed requests to a reader.
type readerFailure struct {
	cooldown time.Duration
	until    time.Duration
}

// Read implements store.PageSource.
func (f *Feed) Read(ctx context.Context, req gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	readers, shared := f.readersFor(req.Topic)
	if len(readers) > 0 {
		f.awaitInterval(ctx, req.Topic)
	}
	began := f.Clock()
	for _, reader := range readers[:min(maxReadersPerRead, len(readers))] {
		page, err := f.readFrom(ctx, reader, req)
		f.recordRequest(req.Topic, reader, err)
		if err == nil {
			f.stopServing(req.Topic)
			return page, nil
		}
		if ctx.Err() != nil {
			return nil, fmt.Errorf("read topic %s: %w: %w", req.Topic, gypsum.ErrStoreUnknown, err)
		}
		if f.Clock()-began >= retryGrace {
			break // A second reader may be silent too.
		}
	}
	if !shared {
		f.stopServing(req.Topic)
		return f.Store.Read(ctx, req)
	}
	req.Wait = min(req.Wait, readerWait)
	return f.readStore(ctx, req)
}

// awaitInterval waits until feedInterval has passed since the last request for a topic.
func (f *Feed) awaitInterval(ctx context.Context, topic gypsum.Topic) {
	f.mu.Lock()
	if f.asked == nil {
		f.asked = make(map[gypsum.Topic]time.Duration)
	}
	last, asked := f.asked[topic]
	wait := min(feedInterval, last+feedInterval-f.Clock())
	f.mu.Unlock()
	if asked && wait > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked[topic] = f.Clock()
}

// readersFor returns the readers that this daemon asks for a topic, none if it reads for itself, and
// whether the daemons of the data centre share their reads.
func (f *Feed) readersFor(topic gypsum.Topic) (readers []Daemon, shared bool) {
	if f.Ample() {
		f.setSharing(topic, false, nil)
		return nil, false
	}
	now := f.Clock()
	f.mu.Lock()
	excluded := func(host gypsum.HostID) bool {
		failure := f.failures[readerKey{topic, host}]
		return failure != nil && now < failure.until
	}
	readers = Readers(topic, f.Location.DataCentre, f.knownDaemons(now), excluded)
	f.mu.Unlock()
	if slices.ContainsFunc(readers, func(reader Daemon) bool { return reader.Host == f.Self }) {
		readers = nil
	}
	f.setSharing(topic, true, readers)
	return preferred(topic, f.Self, readers), true
}

// knownDaemons returns the known daemons. The caller holds mu.
func (f *Feed) knownDaemons(now time.Duration) []Daemon {
	if f.daemons == nil || now-f.listedAt >= listInterval {
		f.daemons, f.listedAt = f.ListDaemons(), now
	}
	return f.daemons
}

// ReaderCount returns the number of readers of all data centres and topics if this daemon is one of
// them, and 0 otherwise or if reads are not shared. The readers use the store's allowance for all.
func (f *Feed) ReaderCount(topics []gypsum.Topic) int {
	if f.Ample() {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock()
	if f.countedAt != 0 && now-f.countedAt < countInterval {
		return f.readerCount
	}
	f.readerCount, f.countedAt = f.countReaders(f.knownDaemons(now), topics), now
	return f.readerCount
}

// countReaders implements ReaderCount for a list of daemons.
func (f *Feed) countReaders(daemons []Daemon, topics []gypsum.Topic) int {
	dataCentres := make(map[gypsum.DataCentre]bool)
	for _, daemon := range daemons {
		dataCentres[daemon.Location.DataCentre] = true
	}
	count, self := 0, false
	for _, topic := range topics {
		for dataCentre := range dataCentres {
			readers := Readers(topic, dataCentre, daemons, func(gypsum.HostID) bool { return false })
			count += len(readers)
			self = self || slices.ContainsFunc(readers, func(reader Daemon) bool { return reader.Host == f.Self })
		}
	}
	if !self {
		return 0
	}
	return count
}

// setSharing logs when the daemon begins or ends to share reads of a topic.
func (f *Feed) setSharing(topic gypsum.Topic, sharing bool, readers []Daemon) {
	f.mu.Lock()
	if f.sharing == nil {
		f.sharing = make(map[gypsum.Topic]bool)
	}
	changed := f.sharing[topic] != sharing
	f.sharing[topic] = sharing
	f.mu.Unlock()
	if changed {
		f.Logger.Info("reads of the store are shared or no longer shared", "topic", topic, "shared", sharing, "readers", len(readers))
	}
}

// readFrom reads a page from a reader and checks it.
func (f *Feed) readFrom(ctx context.Context, reader Daemon, req gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	wait, grace := min(req.Wait, feedWait), feedGrace
	if f.hasFailed(req.Topic, reader.Host) {
		wait, grace = 0, retryGrace
	}
	ctx, cancel := context.WithTimeout(ctx, wait+grace)
	defer cancel()
	sentAt := f.Clock()
	response, err := f.Peers.FeedFrom(reader.Address).ReadFeed(ctx, gypsum.FeedRead{Topic: req.Topic, From: req.From, Wait: wait})
	if err != nil {
		return nil, err
	}
	// All of the time that the reader does not account for may have passed after it took the age.
	now := f.Clock()
	transit := max(0, now-sentAt-max(0, response.Held))
	// Ages are bounded first, since their sums with the transit could overflow and look new.
	age := min(max(0, response.Age), 2*maxAge) + transit
	page := &gypsum.KeyedPage{
		Records: response.Records, Next: response.Next, SentAt: now - age, ResponseAge: min(max(0, response.ResponseAge), 2*maxAge) + transit,
	}
	if age > maxAge {
		return nil, fmt.Errorf("page of daemon %s is %s old: %w", reader.Host, age, errStale)
	}
	for i := range page.Records {
		if expected := req.From + gypsum.Offset(i); page.Records[i].Offset != expected {
			return nil, fmt.Errorf("record %d of daemon %s instead of %d: %w", page.Records[i].Offset, reader.Host, expected, errGap)
		}
	}
	return page, nil
}

// hasFailed reports whether the last request to a reader failed.
func (f *Feed) hasFailed(topic gypsum.Topic, host gypsum.HostID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failures[readerKey{topic, host}] != nil
}

// recordRequest counts the result of a request to a reader. After a failure, the reader is not asked
// for a while, and the next daemon in the order takes its place.
func (f *Feed) recordRequest(topic gypsum.Topic, reader Daemon, err error) {
	key, broken := readerKey{topic, reader.Host}, false
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err == nil:
		delete(f.failures, key)
		f.Stats.Received.Add(1)
		return
	case errors.Is(err, errStale):
		f.Stats.Stale.Add(1)
	case errors.Is(err, errGap):
		f.Stats.Gaps.Add(1)
	case errors.Is(err, gypsum.ErrFeedUnavailable):
		f.Stats.Unserved.Add(1)
	default:
		f.Stats.Broken.Add(1)
		broken = true
	}
	if f.failures == nil {
		f.failures = make(map[readerKey]*readerFailure)
	}
	failure := f.failures[key]
	if failure == nil {
		failure = &readerFailure{cooldown: readerCooldown}
		f.failures[key] = failure
		f.Logger.Info("reader of the store failed", "topic", topic, "reader", reader.Host, "error", err)
	}
	failure.until = f.Clock() + failure.cooldown
	if broken {
		failure.cooldown = min(2*failure.cooldown, maxReaderCooldown)
	}
}

// readStore reads a page from the store and keeps its records for other daemons.
func (f *Feed) readStore(ctx context.Context, req gypsum.KeyedRead) (*gypsum.KeyedPage, error) {
	sentAt := f.Clock()
	page, err := f.Store.Read(ctx, req)
	if err != nil {
		return nil, err
	}
	f.Stats.OwnReads.Add(1)
	respondedAt := f.Clock()
	if page.SentAt != 0 {
		sentAt = page.SentAt
	}
	page.SentAt = sentAt
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.buffers == nil {
		f.buffers = make(map[gypsum.Topic]*buffer)
	}
	if f.buffers[req.Topic] == nil {
		f.buffers[req.Topic] = newBuffer(req.From)
	}
	f.buffers[req.Topic].add(req.From, page, sentAt, respondedAt, f.Memory)
	return page, nil
}

// stopServing drops the records of a topic that this daemon no longer reads from the store itself.
// They would soon be old.
func (f *Feed) stopServing(topic gypsum.Topic) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if kept := f.buffers[topic]; kept != nil {
		close(kept.changed)
		delete(f.buffers, topic)
	}
}

// ReadFeed implements gypsum.FeedSource. Only what this daemon has read from the store itself is
// served, so that records never go in a circle.
func (f *Feed) ReadFeed(ctx context.Context, req gypsum.FeedRead) (*gypsum.FeedPage, error) {
	arrived := f.Clock()
	timer := time.NewTimer(min(max(0, req.Wait), feedWait))
	defer timer.Stop()
	for waited := false; ; {
		page, changed, err := f.servePage(req, arrived)
		if err != nil || waited || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("wait for records of topic %s: %w", req.Topic, ctx.Err())
		case <-changed:
		case <-timer.C:
			waited = true
		}
	}
}

// servePage returns the page that can be served now, and a channel that is closed at the next read.
func (f *Feed) servePage(req gypsum.FeedRead, arrived time.Duration) (*gypsum.FeedPage, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept, now := f.buffers[req.Topic], f.Clock()
	if kept == nil || now-kept.sentAt > maxServedAge {
		return nil, nil, fmt.Errorf("topic %s: %w", req.Topic, gypsum.ErrFeedUnavailable)
	}
	records, ok := kept.readFrom(req.From)
	if !ok {
		return nil, nil, fmt.Errorf("topic %s from offset %d: %w", req.Topic, req.From, gypsum.ErrFeedUnavailable)
	}
	if len(records) > 0 {
		f.Stats.Served.Add(1)
	}
	return &gypsum.FeedPage{
		Records: records, Next: kept.next, Age: now - kept.sentAt, ResponseAge: now - kept.respondedAt, Held: now - arrived,
	}, kept.changed, nil
}

package runner

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
)

// phase is how far a task is.
type phase int

// The phases of a task.
const (
	phaseWaiting phase = iota
	phaseRunning
	phaseStoring
	phaseDone
)

// task is an item on its way to its result. Only the runner's goroutine uses it,
// but for its progress.
type task struct {
	batch *activeBatch
	item  *gypsum.BatchItem
	phase phase
	// engine is where it runs; next is where it goes on after a move.
	engine        *engine
	moveTarget    gypsum.BackendID
	cancel        context.CancelCauseFunc
	avoidedEngine gypsum.BackendID
	notBefore     time.Time
	startedAt     time.Time
	failures      int
	crashes       int
	lost          bool
	checkpointed  int64
	checkpointing bool

	progress progress
}

// progress is what an item's runs have given so far.
type progress struct {
	mu           sync.Mutex
	lastEvent    int64
	events       []string
	size         int
	versions     []gypsum.WeightVersion
	lastActivity time.Time
	gotEvent     bool
}

// Errors that end a run from this side.
var (
	errEventOrder        = errors.New("event out of order")
	errVersionNotAllowed = errors.New("version of the weights is too old or not the only one")
	errMoved             = errors.New("moved to another engine")
	errStalled           = errors.New("no event for too long")
	errResultNotNeeded   = errors.New("result is no longer wanted")
)

// appendEvent takes the next event.
func (p *progress) appendEvent(event gypsum.StreamEvent, engine *engine, rule *versionRule) error {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if event.Number != p.lastEvent+1 {
		return fmt.Errorf("event %d after %d: %w", event.Number, p.lastEvent, errEventOrder)
	}
	if !rule.allows(p.versions, event.Version) {
		return fmt.Errorf("event %d under version %d: %w", event.Number, event.Version, errVersionNotAllowed)
	}
	if p.gotEvent {
		engine.observeGap(now.Sub(p.lastActivity))
	}
	p.lastEvent, p.lastActivity, p.gotEvent = event.Number, now, true
	p.events = append(p.events, event.Data)
	p.size += len(event.Data)
	p.versions = addVersion(p.versions, event.Version)
	return nil
}

// versionRule is what a batch asks of versions.
type versionRule struct {
	min    gypsum.WeightVersion
	single bool
}

// allows tells whether an event of a version may follow those of others.
func (r *versionRule) allows(previous []gypsum.WeightVersion, version gypsum.WeightVersion) bool {
	if version < r.min {
		return false
	}
	return !r.single || len(previous) == 0 || (len(previous) == 1 && previous[0] == version)
}

// allowsAll tells whether a text that was made under versions may be used.
func (r *versionRule) allowsAll(versions []gypsum.WeightVersion) bool {
	for i, version := range versions {
		if !r.allows(versions[:i], version) {
			return false
		}
	}
	return true
}

// addVersion returns the versions with one more.
func addVersion(versions []gypsum.WeightVersion, version gypsum.WeightVersion) []gypsum.WeightVersion {
	if slices.Contains(versions, version) {
		return versions
	}
	return append(versions, version)
}

// reset forgets all events.
func (p *progress) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastEvent, p.events, p.size, p.versions, p.gotEvent = 0, nil, 0, nil, false
}

// restore takes over the events that an earlier run gave.
func (p *progress) restore(last int64, text string, versions []gypsum.WeightVersion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastEvent, p.events, p.size, p.versions, p.gotEvent = last, []string{text}, len(text), versions, false
}

// beginAttempt notes that a run begins and returns the number of the last event.
func (p *progress) beginAttempt() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastActivity, p.gotEvent = time.Now(), false
	return p.lastEvent
}

// status returns the number of events so far, when the last one came, and whether
// the present run has given one.
func (p *progress) status() (last int64, lastActivity time.Time, gotEvent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastEvent, p.lastActivity, p.gotEvent
}

// text returns all that was given so far.
func (p *progress) text() (last int64, text string, versions []gypsum.WeightVersion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastEvent, strings.Join(p.events, "\n"), append([]gypsum.WeightVersion(nil), p.versions...)
}

// defaultEventCount is the number of events expected of an item without an estimate.
const defaultEventCount = 20

// remainingEvents returns the expected number of events still to come. An item that has passed
// its estimate is expected to go on for half of what it gave, since long items
// are underestimated the most.
func (t *task) remainingEvents() int {
	last, _, _ := t.progress.status()
	expected := defaultEventCount
	if tokens := t.item.ExpectedTokens; tokens > 0 {
		expected = (tokens + t.batch.tokensPerEvent - 1) / t.batch.tokensPerEvent
	}
	return max(expected-int(last), int(last)/2, 1)
}

// activeBatch is a batch that is being run.
type activeBatch struct {
	header         batch.Header
	versions       versionRule
	tokensPerEvent int
	tasks          map[gypsum.ItemID]*task
	// loading and loaded tell whether the items are being read and are there.
	loading bool
	loaded  bool
	retryAt time.Time
}

// savedText is the text of an item whose batch was ended, for a batch to come.
type savedText struct {
	lastEvent int64
	text      string
	versions  []gypsum.WeightVersion
	complete  bool
	savedAt   time.Time
}

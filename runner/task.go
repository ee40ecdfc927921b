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
	job   *job
	item  *gypsum.BatchItem
	phase phase
	// engine is where it runs; next is where it goes on after a move.
	engine    *engine
	next      gypsum.BackendID
	cancel    context.CancelCauseFunc
	avoid     gypsum.BackendID
	notBefore time.Time
	begun     time.Time
	failed    int
	crashed   int
	lost      bool
	saved     int64
	saving    bool

	progress progress
}

// progress is what an item's runs have given so far.
type progress struct {
	mu       sync.Mutex
	last     int64
	parts    []string
	size     int
	versions []gypsum.WeightVersion
	at       time.Time
	fresh    bool
}

// Errors that end a run from this side.
var (
	errGap      = errors.New("event out of order")
	errVersion  = errors.New("version of the weights is too old or not the only one")
	errMoved    = errors.New("moved to another engine")
	errStalled  = errors.New("no event for too long")
	errFinished = errors.New("result is no longer wanted")
)

// add takes the next event.
func (p *progress) add(event gypsum.StreamEvent, engine *engine, needs *needs) error {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if event.Number != p.last+1 {
		return fmt.Errorf("event %d after %d: %w", event.Number, p.last, errGap)
	}
	if !needs.allow(p.versions, event.Version) {
		return fmt.Errorf("event %d under version %d: %w", event.Number, event.Version, errVersion)
	}
	if p.fresh {
		engine.observe(now.Sub(p.at))
	}
	p.last, p.at, p.fresh = event.Number, now, true
	p.parts = append(p.parts, event.Data)
	p.size += len(event.Data)
	p.versions = withVersion(p.versions, event.Version)
	return nil
}

// needs is what a batch asks of versions.
type needs struct {
	least  gypsum.WeightVersion
	single bool
}

// allow tells whether an event of a version may follow those of others.
func (n *needs) allow(before []gypsum.WeightVersion, version gypsum.WeightVersion) bool {
	if version < n.least {
		return false
	}
	return !n.single || len(before) == 0 || (len(before) == 1 && before[0] == version)
}

// allowAll tells whether a text that was made under versions may be used.
func (n *needs) allowAll(versions []gypsum.WeightVersion) bool {
	for i, version := range versions {
		if !n.allow(versions[:i], version) {
			return false
		}
	}
	return true
}

// withVersion returns the versions with one more.
func withVersion(versions []gypsum.WeightVersion, version gypsum.WeightVersion) []gypsum.WeightVersion {
	if slices.Contains(versions, version) {
		return versions
	}
	return append(versions, version)
}

// reset forgets all events.
func (p *progress) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last, p.parts, p.size, p.versions, p.fresh = 0, nil, 0, nil, false
}

// resume takes over the events that an earlier run gave.
func (p *progress) resume(last int64, text string, versions []gypsum.WeightVersion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last, p.parts, p.size, p.versions, p.fresh = last, []string{text}, len(text), versions, false
}

// begin notes that a run begins and returns the number of the last event.
func (p *progress) begin() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at, p.fresh = time.Now(), false
	return p.last
}

// events returns the number of events so far, when the last one came, and whether
// the present run has given one.
func (p *progress) events() (last int64, at time.Time, fresh bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last, p.at, p.fresh
}

// text returns all that was given so far.
func (p *progress) text() (last int64, text string, versions []gypsum.WeightVersion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last, strings.Join(p.parts, "\n"), append([]gypsum.WeightVersion(nil), p.versions...)
}

// unknownLength is the number of events expected of an item without an estimate.
const unknownLength = 20

// left returns the expected number of events still to come. An item that has passed
// its estimate is expected to go on for half of what it gave, since long items
// are underestimated the most.
func (t *task) left() int {
	last, _, _ := t.progress.events()
	expected := unknownLength
	if tokens := t.item.ExpectedTokens; tokens > 0 {
		expected = (tokens + t.job.stride - 1) / t.job.stride
	}
	return max(expected-int(last), int(last)/2, 1)
}

// job is a batch that is being run.
type job struct {
	header batch.Header
	needs  needs
	stride int
	tasks  map[gypsum.ItemID]*task
	// loading and loaded tell whether the items are being read and are there.
	loading bool
	loaded  bool
	again   time.Time
}

// finished is the text of an item whose batch was ended, for a batch to come.
type finished struct {
	last     int64
	text     string
	versions []gypsum.WeightVersion
	complete bool
	at       time.Time
}

package fake

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// BatchEngine is an in-memory model engine that runs items of durable batches.
type BatchEngine struct {
	ID gypsum.BackendID
	// EventTime is the time to generate one event, without the slowdown by running attempts.
	EventTime time.Duration
	Slots     int

	software          gypsum.SoftwareVersion
	versions          map[gypsum.EngineModel]gypsum.WeightVersion
	running           int
	loadingModel      gypsum.EngineModel
	loadOrderSequence int64
	fencingToken      gypsum.Offset
	hung              bool
	down              bool
	// crashed is closed when the engine crashes.
	crashed chan struct{}
}

// BatchAttempt is an attempt at an item that an engine has started. It generates the
// events after AfterEvent.
type BatchAttempt struct {
	Engine     gypsum.BackendID
	Item       gypsum.ItemID
	AfterEvent int64
	StartedAt  time.Time
	// Account is the account that the attempt names.
	Account gypsum.AccountName
}

// BatchLoadOrder is a load order that an engine has accepted.
type BatchLoadOrder struct {
	gypsum.ReplicaLoadOrder
	AcceptedAt time.Time
}

// BatchEngines is a set of in-memory model engines. It implements
// gypsum.EngineTransport and gypsum.Prober. Set the exported fields before use.
type BatchEngines struct {
	// LoadTime is the time to load weights, 900 ms by default.
	LoadTime time.Duration
	// EventCount returns the number of events of an item. If it is nil, every item has 10.
	EventCount func(gypsum.ItemID) int64
	// AttemptError, if set, returns the error with which an attempt at an item fails on
	// an engine before its first event. With a nil error the attempt runs normally.
	AttemptError func(gypsum.BackendID, gypsum.ItemID) error

	mu           sync.Mutex
	engines      map[gypsum.BackendID]*BatchEngine
	attempts     []BatchAttempt
	loadOrders   []BatchLoadOrder
	itemVersions map[gypsum.ItemID]map[gypsum.WeightVersion]bool
	// completedAt is when the last event of an item was first generated.
	completedAt map[gypsum.ItemID]time.Time
}

// slowdownPerAttempt is the fraction of EventTime by which each running attempt prolongs
// every event.
const slowdownPerAttempt = 0.035

// NewBatchEngines returns count engines, engine-1 and so on, that have loaded version 1
// of the models.
func NewBatchEngines(count, slots int, eventTime time.Duration, models ...gypsum.EngineModel) *BatchEngines {
	engines := &BatchEngines{
		LoadTime: 900 * time.Millisecond, engines: make(map[gypsum.BackendID]*BatchEngine),
		itemVersions: make(map[gypsum.ItemID]map[gypsum.WeightVersion]bool), completedAt: make(map[gypsum.ItemID]time.Time),
	}
	for i := range count {
		engine := &BatchEngine{
			ID: gypsum.BackendID(fmt.Sprintf("engine-%d", i+1)), EventTime: eventTime, Slots: slots,
			versions: make(map[gypsum.EngineModel]gypsum.WeightVersion), crashed: make(chan struct{}),
		}
		for _, model := range models {
			engine.versions[model] = 1
		}
		engines.engines[engine.ID] = engine
	}
	return engines
}

// Replicas returns the registrations of all engines.
func (b *BatchEngines) Replicas(service gypsum.ServiceName) []*gypsum.Replica {
	b.mu.Lock()
	defer b.mu.Unlock()
	replicas := make([]*gypsum.Replica, 0, len(b.engines))
	for id, engine := range b.engines {
		models := make(map[gypsum.EngineModel]gypsum.WeightVersion, len(engine.versions))
		for model, version := range engine.versions {
			models[model] = version
		}
		replicas = append(replicas, &gypsum.Replica{
			ID: id, Service: service, Address: string(id), State: gypsum.ReplicaReady, Slots: engine.Slots, Software: engine.software, Models: models,
		})
	}
	return replicas
}

// SetSoftware sets the version of an engine's software, which the data of its events name. It
// must be set before the engine runs attempts.
func (b *BatchEngines) SetSoftware(id gypsum.BackendID, version gypsum.SoftwareVersion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engines[id].software = version
}

// SetEventTime sets the EventTime of an engine.
func (b *BatchEngines) SetEventTime(id gypsum.BackendID, eventTime time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engines[id].EventTime = eventTime
}

// SetHung sets whether an engine hangs. A hung engine accepts connections, but sends no
// events on new or existing connections. An attempt that hangs does so for an hour, even
// if hung is cleared meanwhile, unless its context ends or the engine crashes.
func (b *BatchEngines) SetHung(id gypsum.BackendID, hung bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engines[id].hung = hung
}

// SetDown crashes an engine, which aborts all its attempts, or starts it again.
func (b *BatchEngines) SetDown(id gypsum.BackendID, down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	engine := b.engines[id]
	engine.down = down
	close(engine.crashed)
	engine.crashed = make(chan struct{})
}

// Attempts returns the attempts started so far.
func (b *BatchEngines) Attempts() []BatchAttempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]BatchAttempt(nil), b.attempts...)
}

// LoadOrders returns the load orders accepted so far.
func (b *BatchEngines) LoadOrders() []BatchLoadOrder {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]BatchLoadOrder(nil), b.loadOrders...)
}

// EventData returns the data of an event of an item.
func EventData(item gypsum.ItemID, eventNumber int64) string {
	return fmt.Sprintf("%s:%d", item, eventNumber)
}

// eventDataOf returns the data of an event as generated by engines of a software version.
func eventDataOf(item gypsum.ItemID, eventNumber int64, software gypsum.SoftwareVersion) string {
	if software == "" {
		return EventData(item, eventNumber)
	}
	return EventData(item, eventNumber) + "@" + string(software)
}

// FullText returns the text of an item with all its events, as generated by engines without a
// software version.
func (b *BatchEngines) FullText(item gypsum.ItemID) string { return b.fullTextOf(item, "") }

// fullTextOf returns the text of an item as generated by engines of a software version.
func (b *BatchEngines) fullTextOf(item gypsum.ItemID, software gypsum.SoftwareVersion) string {
	var parts []string
	for eventNumber := int64(1); eventNumber <= b.eventCount(item); eventNumber++ {
		parts = append(parts, eventDataOf(item, eventNumber, software))
	}
	return strings.Join(parts, "\n")
}

// IsFullText reports whether a text has all events of an item, all generated by engines of one
// software version.
func (b *BatchEngines) IsFullText(item gypsum.ItemID, text string) bool {
	b.mu.Lock()
	versions := make(map[gypsum.SoftwareVersion]bool)
	for _, engine := range b.engines {
		versions[engine.software] = true
	}
	b.mu.Unlock()
	for version := range versions {
		if text == b.fullTextOf(item, version) {
			return true
		}
	}
	return false
}

// eventCount returns the number of events of an item.
func (b *BatchEngines) eventCount(item gypsum.ItemID) int64 {
	if b.EventCount == nil {
		return 10
	}
	return b.EventCount(item)
}

// errConnectionReset is returned by attempts that run when their engine crashes.
var errConnectionReset = errors.New("connection reset")

// startAttempt counts and records an attempt. It returns a channel that is closed when
// the engine crashes. It returns ErrNotSent if the engine is unknown or down, and
// ErrNotRun if all its slots are in use or it is loading the model.
func (b *BatchEngines) startAttempt(attempt *gypsum.ItemAttempt, model gypsum.EngineModel) (*BatchEngine, chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	engine := b.engines[attempt.Replica.ID]
	switch {
	case engine == nil || engine.down:
		return nil, nil, gypsum.ErrNotSent
	case engine.running >= engine.Slots || (engine.loadingModel != "" && engine.loadingModel == model):
		return nil, nil, gypsum.ErrNotRun
	}
	engine.running++
	b.attempts = append(b.attempts, BatchAttempt{Engine: engine.ID, Item: attempt.Item.ID, AfterEvent: attempt.AfterEvent, StartedAt: time.Now(), Account: attempt.Account})
	return engine, engine.crashed, nil
}

// GenerateItem implements gypsum.EngineTransport.
func (b *BatchEngines) GenerateItem(ctx context.Context, attempt *gypsum.ItemAttempt, sink func(gypsum.StreamEvent) error) error {
	model := gypsum.EngineModel(attempt.Item.Header["Model"])
	engine, reset, err := b.startAttempt(attempt, model)
	if err != nil {
		return err
	}
	defer func() {
		b.mu.Lock()
		engine.running--
		b.mu.Unlock()
	}()
	if b.AttemptError != nil {
		if err := b.AttemptError(attempt.Replica.ID, attempt.Item.ID); err != nil {
			return err
		}
	}
	for eventNumber := attempt.AfterEvent + 1; eventNumber <= b.eventCount(attempt.Item.ID); eventNumber++ {
		b.mu.Lock()
		delay := time.Duration(float64(engine.EventTime) * (1 + slowdownPerAttempt*float64(engine.running)))
		version, software, hung := engine.versions[model], engine.software, engine.hung
		b.mu.Unlock()
		if hung {
			delay = time.Hour
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-reset:
			return errConnectionReset
		case <-time.After(delay):
		}
		b.recordEvent(attempt.Item.ID, eventNumber, version)
		if err := sink(gypsum.StreamEvent{Number: eventNumber, Data: eventDataOf(attempt.Item.ID, eventNumber, software), Version: version}); err != nil {
			return err
		}
	}
	return nil
}

// CompletedAt returns when the last event of an item was first generated, the zero time if
// it was not.
func (b *BatchEngines) CompletedAt(item gypsum.ItemID) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.completedAt[item]
}

// recordEvent records that a weight version generated an event of an item.
func (b *BatchEngines) recordEvent(item gypsum.ItemID, number int64, version gypsum.WeightVersion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if number == b.eventCount(item) && b.completedAt[item].IsZero() {
		b.completedAt[item] = time.Now()
	}
	if b.itemVersions[item] == nil {
		b.itemVersions[item] = make(map[gypsum.WeightVersion]bool)
	}
	b.itemVersions[item][version] = true
}

// ItemVersions returns the weight versions that generated events of an item, in all its
// attempts.
func (b *BatchEngines) ItemVersions(item gypsum.ItemID) map[gypsum.WeightVersion]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.itemVersions[item])
}

// SendLoadOrder implements gypsum.EngineTransport.
func (b *BatchEngines) SendLoadOrder(_ context.Context, order *gypsum.ReplicaLoadOrder) (gypsum.LoadOrderResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	engine := b.engines[order.Replica.ID]
	switch {
	case engine == nil || engine.down:
		return "", gypsum.ErrNotSent
	case order.FencingToken < engine.fencingToken:
		return gypsum.LoadOrderFenced, nil
	case engine.loadingModel != "" || order.ExpectedSequence != engine.loadOrderSequence:
		return gypsum.LoadOrderConflict, nil
	case engine.versions[order.Model] == order.Version:
		return gypsum.LoadOrderAlreadyLoaded, nil
	}
	engine.fencingToken, engine.loadingModel = order.FencingToken, order.Model
	engine.loadOrderSequence++
	b.loadOrders = append(b.loadOrders, BatchLoadOrder{ReplicaLoadOrder: *order, AcceptedAt: time.Now()})
	time.AfterFunc(b.LoadTime, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		engine.versions[order.Model], engine.loadingModel = order.Version, ""
	})
	return gypsum.LoadOrderAccepted, nil
}

// FetchReport implements gypsum.EngineTransport.
func (b *BatchEngines) FetchReport(_ context.Context, replica *gypsum.Replica) (*gypsum.EngineReport, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	engine := b.engines[replica.ID]
	if engine == nil || engine.down {
		return nil, gypsum.ErrNotSent
	}
	report := &gypsum.EngineReport{
		Models: make(map[gypsum.EngineModel]gypsum.WeightVersion), LoadingWeights: engine.loadingModel != "", LoadOrderSequence: engine.loadOrderSequence,
		Running: engine.running,
	}
	for model, version := range engine.versions {
		report.Models[model] = version
	}
	return report, nil
}

// AcceptsConnections implements gypsum.Prober. A hung engine accepts connections.
func (b *BatchEngines) AcceptsConnections(_ context.Context, replica *gypsum.Replica) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	engine := b.engines[replica.ID]
	return engine != nil && !engine.down
}

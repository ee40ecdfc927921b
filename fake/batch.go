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

// BatchEngine is a model engine as durable batches meet it.
type BatchEngine struct {
	ID gypsum.BackendID
	// Pace is the time of one event on the otherwise idle engine.
	Pace  time.Duration
	Slots int

	versions map[gypsum.EngineModel]gypsum.WeightVersion
	running  int
	loading  gypsum.EngineModel
	orders   int64
	fence    gypsum.Offset
	silent   bool
	down     bool
	ended    chan struct{}
}

// BatchRun is a run that an engine has begun.
type BatchRun struct {
	Engine gypsum.BackendID
	Item   gypsum.ItemID
	After  int64
	At     time.Time
}

// BatchOrder is an order that an engine has accepted.
type BatchOrder struct {
	gypsum.ReplicaLoadOrder
	At time.Time
}

// BatchEngines are model engines in memory. They are a gypsum.EngineTransport.
type BatchEngines struct {
	// LoadTime is the time of a load of weights.
	LoadTime time.Duration
	// Events gives the number of events of an item; 10 if it is nil.
	Events func(gypsum.ItemID) int64
	// Fails tells how an item ends on an engine instead of running, nil for a good run.
	Fails func(gypsum.BackendID, gypsum.ItemID) error

	mu      sync.Mutex
	engines map[gypsum.BackendID]*BatchEngine
	runs    []BatchRun
	orders  []BatchOrder
	made    map[gypsum.ItemID]map[gypsum.WeightVersion]bool
}

// slowdownPerRun is how much one more run slows an engine.
const slowdownPerRun = 0.035

// NewBatchEngines returns a number of engines that hold version 1 of the models.
func NewBatchEngines(count, slots int, pace time.Duration, models ...gypsum.EngineModel) *BatchEngines {
	made := &BatchEngines{
		LoadTime: 900 * time.Millisecond, engines: make(map[gypsum.BackendID]*BatchEngine),
		made: make(map[gypsum.ItemID]map[gypsum.WeightVersion]bool),
	}
	for i := range count {
		engine := &BatchEngine{
			ID: gypsum.BackendID(fmt.Sprintf("engine-%d", i+1)), Pace: pace, Slots: slots,
			versions: make(map[gypsum.EngineModel]gypsum.WeightVersion), ended: make(chan struct{}),
		}
		for _, model := range models {
			engine.versions[model] = 1
		}
		made.engines[engine.ID] = engine
	}
	return made
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
			ID: id, Service: service, Address: string(id), State: gypsum.ReplicaReady, Slots: engine.Slots, Models: models,
		})
	}
	return replicas
}

// Slow sets the pace of an engine.
func (b *BatchEngines) Slow(id gypsum.BackendID, pace time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engines[id].Pace = pace
}

// Silence lets an engine answer nothing more on open and new connections.
func (b *BatchEngines) Silence(id gypsum.BackendID, silent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engines[id].silent = silent
}

// Crash ends an engine with all its runs, or brings it back.
func (b *BatchEngines) Crash(id gypsum.BackendID, down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	engine := b.engines[id]
	engine.down = down
	close(engine.ended)
	engine.ended = make(chan struct{})
}

// Runs returns the runs begun so far, Orders the orders accepted.
func (b *BatchEngines) Runs() []BatchRun {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]BatchRun(nil), b.runs...)
}

// Orders returns the orders accepted so far.
func (b *BatchEngines) Orders() []BatchOrder {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]BatchOrder(nil), b.orders...)
}

// EventData returns the data of an item's event.
func EventData(item gypsum.ItemID, number int64) string { return fmt.Sprintf("%s:%d", item, number) }

// WholeText returns the text of an item that has run to its end.
func (b *BatchEngines) WholeText(item gypsum.ItemID) string {
	var parts []string
	for number := int64(1); number <= b.eventsOf(item); number++ {
		parts = append(parts, EventData(item, number))
	}
	return strings.Join(parts, "\n")
}

// eventsOf returns the number of events of an item.
func (b *BatchEngines) eventsOf(item gypsum.ItemID) int64 {
	if b.Events == nil {
		return 10
	}
	return b.Events(item)
}

// errReset is a connection that the engine has reset.
var errReset = errors.New("connection reset")

// enter begins a run.
func (b *BatchEngines) enter(run *gypsum.ItemAttempt, model gypsum.EngineModel) (*BatchEngine, chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	engine := b.engines[run.Replica.ID]
	switch {
	case engine == nil || engine.down:
		return nil, nil, gypsum.ErrNotSent
	case engine.running >= engine.Slots || (engine.loading != "" && engine.loading == model):
		return nil, nil, gypsum.ErrNotExecuted
	}
	engine.running++
	b.runs = append(b.runs, BatchRun{Engine: engine.ID, Item: run.Item.ID, After: run.AfterEvent, At: time.Now()})
	return engine, engine.ended, nil
}

// GenerateItem is part of gypsum.EngineTransport.
func (b *BatchEngines) GenerateItem(ctx context.Context, run *gypsum.ItemAttempt, sink func(gypsum.StreamEvent) error) error {
	model := gypsum.EngineModel(run.Item.Header["Model"])
	engine, ended, err := b.enter(run, model)
	if err != nil {
		return err
	}
	defer func() {
		b.mu.Lock()
		engine.running--
		b.mu.Unlock()
	}()
	if b.Fails != nil {
		if err := b.Fails(run.Replica.ID, run.Item.ID); err != nil {
			return err
		}
	}
	for number := run.AfterEvent + 1; number <= b.eventsOf(run.Item.ID); number++ {
		b.mu.Lock()
		step := time.Duration(float64(engine.Pace) * (1 + slowdownPerRun*float64(engine.running)))
		version, silent := engine.versions[model], engine.silent
		b.mu.Unlock()
		if silent {
			step = time.Hour
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ended:
			return errReset
		case <-time.After(step):
		}
		b.note(run.Item.ID, version)
		if err := sink(gypsum.StreamEvent{Number: number, Data: EventData(run.Item.ID, number), Version: version}); err != nil {
			return err
		}
	}
	return nil
}

// note keeps that a version made an event of an item.
func (b *BatchEngines) note(item gypsum.ItemID, version gypsum.WeightVersion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.made[item] == nil {
		b.made[item] = make(map[gypsum.WeightVersion]bool)
	}
	b.made[item][version] = true
}

// Versions returns the versions that made events of an item, in all its runs.
func (b *BatchEngines) Versions(item gypsum.ItemID) map[gypsum.WeightVersion]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.made[item])
}

// SendLoadOrder is part of gypsum.EngineTransport.
func (b *BatchEngines) SendLoadOrder(_ context.Context, order *gypsum.ReplicaLoadOrder) (gypsum.LoadOrderStatus, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	engine := b.engines[order.Replica.ID]
	switch {
	case engine == nil || engine.down:
		return "", gypsum.ErrNotSent
	case order.FencingToken < engine.fence:
		return gypsum.LoadOrderFenced, nil
	case engine.loading != "" || order.ExpectedSequence != engine.orders:
		return gypsum.LoadOrderConflict, nil
	case engine.versions[order.Model] == order.Version:
		return gypsum.LoadOrderAlreadyLoaded, nil
	}
	engine.fence, engine.loading = order.FencingToken, order.Model
	engine.orders++
	b.orders = append(b.orders, BatchOrder{ReplicaLoadOrder: *order, At: time.Now()})
	time.AfterFunc(b.LoadTime, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		engine.versions[order.Model], engine.loading = order.Version, ""
	})
	return gypsum.LoadOrderAccepted, nil
}

// FetchReport is part of gypsum.EngineTransport.
func (b *BatchEngines) FetchReport(_ context.Context, replica *gypsum.Replica) (*gypsum.EngineReport, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	engine := b.engines[replica.ID]
	if engine == nil || engine.down {
		return nil, gypsum.ErrNotSent
	}
	report := &gypsum.EngineReport{
		Models: make(map[gypsum.EngineModel]gypsum.WeightVersion), Busy: engine.loading != "", OrderSequence: engine.orders,
		Running: engine.running,
	}
	for model, version := range engine.versions {
		report.Models[model] = version
	}
	return report, nil
}

// AcceptsConnections is part of gypsum.Prober.
func (b *BatchEngines) AcceptsConnections(_ context.Context, replica *gypsum.Replica) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	engine := b.engines[replica.ID]
	return engine != nil && !engine.down
}

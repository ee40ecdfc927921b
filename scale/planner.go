package scale

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/duty"
	"github.com/gypsumhook/gypsum/state"
	"github.com/gypsumhook/gypsum/store"
)

// Timing of a Planner.
const (
	// decisionInterval is the time between two decisions.
	decisionInterval = time.Second
	// settleTime is how long the registrations must be known before the replicas of the start are
	// recorded: some renewals.
	settleTime = 5 * time.Second
	// loadHalfLife is the half-life of the average of open texts: more than the interval of steps.
	loadHalfLife = 5 * time.Second
	// recordTimeout bounds the append of a record.
	recordTimeout = 2 * time.Second
)

// Planner orders replicas while this daemon holds the duty. Create it with NewPlanner and set the
// exported fields before Run.
type Planner struct {
	Keeper   *duty.Keeper
	Client   gypsum.DutyClient
	Store    gypsum.KeyedStore
	Topic    gypsum.Topic
	Writer   *store.Writer
	Registry *state.Registry
	// OpenTexts returns the number of items without a result by service.
	OpenTexts func() map[gypsum.ServiceName]int
	// DataCentres are the known data centres.
	DataCentres map[gypsum.DataCentre]gypsum.Region
	// StoreUnavailable reports whether the store does not respond.
	StoreUnavailable func() bool
	Clock            gypsum.SteadyClock
	Logger           *slog.Logger
	Stats            Stats

	book   *Book
	reader *store.Reader
	plans  map[gypsum.ServiceName]*Plan
	loads  map[gypsum.ServiceName]float64
	// heldSince is when this daemon became the holder, decidedAt when it decided last.
	held      bool
	heldSince time.Duration
	decidedAt time.Duration
}

// Stats counts the orders of a Planner since its start.
type Stats struct {
	Orders   atomic.Int64
	Rejected atomic.Int64
}

// NewPlanner returns a Planner. Its exported fields must be set before Run.
func NewPlanner() *Planner {
	return &Planner{plans: make(map[gypsum.ServiceName]*Plan), loads: make(map[gypsum.ServiceName]float64)}
}

// Run decides and orders until ctx ends.
func (p *Planner) Run(ctx context.Context) error {
	p.book = NewBook(p.Logger)
	p.reader = &store.Reader{Store: p.Store, Topic: p.Topic, Handle: p.book.Apply}
	ticker := time.NewTicker(decisionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		p.tick(ctx)
	}
}

// tick decides once if this daemon holds the duty and a service has a capacity.
func (p *Planner) tick(ctx context.Context) {
	now := p.Clock()
	if !p.Keeper.Holding(gypsum.DutyCapacity) {
		p.held = false
		return
	}
	if !p.held {
		p.held, p.heldSince, p.decidedAt = true, now, now
		p.reader.Reset()
		clear(p.plans)
		clear(p.loads)
	}
	snapshot := p.Registry.Current()
	if snapshot.Config == nil || p.StoreUnavailable() {
		p.heldSince = now
		return
	}
	open := p.OpenTexts()
	for _, name := range scaledServices(snapshot.Config) {
		p.updateLoad(name, open[name], now)
		if now-p.heldSince < settleTime {
			continue
		}
		if err := p.decide(ctx, snapshot, name, open[name] == 0, now); err != nil {
			p.Logger.Warn("failed to order replicas", "service", name, "error", err)
		}
	}
	p.decidedAt = now
}

// scaledServices returns the services that have a capacity, in order.
func scaledServices(config *gypsum.RoutingConfig) []gypsum.ServiceName {
	var names []gypsum.ServiceName
	for name, service := range config.Services {
		if service.Capacity != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// updateLoad updates the average of the open texts of a service.
func (p *Planner) updateLoad(name gypsum.ServiceName, open int, now time.Duration) {
	load, ok := p.loads[name]
	if !ok {
		load = float64(open)
	}
	weight := math.Exp2(-float64(now-p.decidedAt) / float64(loadHalfLife))
	p.loads[name] = weight*load + (1-weight)*float64(open)
}

// decide decides about one service and sends its orders.
func (p *Planner) decide(ctx context.Context, snapshot *state.Snapshot, name gypsum.ServiceName, idle bool, now time.Duration) error {
	if !p.reader.Loaded() {
		if err := p.reader.Poll(ctx); err != nil {
			return err
		}
	}
	if _, ok := p.book.initial[name]; !ok {
		if err := p.recordInitial(ctx, snapshot, name); err != nil {
			return err
		}
	}
	// Orders whose outcome is not known are sent again before anything else is decided.
	for _, order := range p.unsettled(name) {
		if err := p.send(ctx, order); err != nil {
			return err
		}
	}
	if p.plans[name] == nil {
		p.plans[name] = &Plan{}
	}
	service := p.service(snapshot, name, idle)
	for _, wanted := range p.plans[name].Decide(service, now) {
		centre := service.Centres[wanted.DataCentre]
		order := Order{
			Service: name, DataCentre: wanted.DataCentre, Replicas: wanted.Replicas, Reclaimable: wanted.Reclaimable,
			Previous: max(centre.Initial, centre.Ordered), AtMS: time.Now().UnixMilli(), Rejections: centre.Rejections,
		}
		p.Logger.Info("replicas ordered", "service", name, "data_centre", order.DataCentre, "replicas", order.Replicas, "ordered_before", order.Previous,
			"ready", centre.OnDemand, "wanted_in_all", service.Wanted(), "open_texts", math.Round(service.OpenTexts))
		if err := p.record(ctx, order); err != nil {
			return err
		}
		if err := p.send(ctx, order); err != nil {
			return err
		}
	}
	return nil
}

// mayHost reports whether a data centre may have replicas of a service: it had some at the start or
// has a price. A price of an unknown data centre has no effect.
func mayHost(capacity *gypsum.CapacityConfig, initial *Initial, dataCentre gypsum.DataCentre) bool {
	_, hasPrice := capacity.Prices[dataCentre]
	return hasPrice || initial.OnDemand[dataCentre]+initial.Reclaimable[dataCentre] > 0
}

// service returns the state of a service. Data centres that the settings do not know are left out.
func (p *Planner) service(snapshot *state.Snapshot, name gypsum.ServiceName, idle bool) *Service {
	config := snapshot.Config.Services[name]
	initial := p.book.initial[name]
	service := &Service{
		Name: name, Config: config.Capacity, Engines: config.Slots > 0, OpenTexts: p.loads[name], Idle: idle && config.Slots > 0,
		Centres: make(map[gypsum.DataCentre]Centre),
	}
	now := time.Now()
	for dataCentre := range p.DataCentres {
		if !mayHost(config.Capacity, &initial, dataCentre) {
			continue
		}
		centre := Centre{Initial: initial.OnDemand[dataCentre]}
		service.Floor += centre.Initial + initial.Reclaimable[dataCentre]
		if order, ok := p.book.orders[orderKey{name, dataCentre, false}]; ok {
			age := now.Sub(time.UnixMilli(order.AtMS))
			centre.Ordered, centre.OrderAge = order.Replicas, age
			if order.State == OrderRejected {
				// What was ordered before is there by now, or will not be.
				centre.Ordered, centre.OrderAge, centre.Rejections, centre.RejectedAge = order.Previous, math.MaxInt64, order.Rejections, age
			}
		}
		service.Centres[dataCentre] = centre
	}
	for _, replica := range snapshot.Services[name] {
		centre, ok := service.Centres[replica.Location.DataCentre]
		switch {
		case !ok:
			continue
		case replica.State != gypsum.ReplicaReady:
			centre.Leaving++
		case replica.Reclaimable:
			centre.Reclaimable++
		default:
			centre.OnDemand++
		}
		service.Centres[replica.Location.DataCentre] = centre
	}
	return service
}

// recordInitial records the replicas of a service before the first order.
func (p *Planner) recordInitial(ctx context.Context, snapshot *state.Snapshot, name gypsum.ServiceName) error {
	initial := &Initial{Service: name, OnDemand: make(map[gypsum.DataCentre]int), Reclaimable: make(map[gypsum.DataCentre]int)}
	for _, replica := range snapshot.Services[name] {
		if replica.Reclaimable {
			initial.Reclaimable[replica.Location.DataCentre]++
		} else {
			initial.OnDemand[replica.Location.DataCentre]++
		}
	}
	if len(snapshot.Services[name]) == 0 {
		return nil // the registrations are not known yet
	}
	record, err := EncodeInitial(initial)
	if err != nil {
		return err
	}
	if err := p.append(ctx, record); err != nil {
		return err
	}
	p.Logger.Info("replicas of the start recorded", "service", name, "on_demand", initial.OnDemand, "reclaimable", initial.Reclaimable)
	return nil
}

// unsettled returns the orders of a service whose outcome is not known.
func (p *Planner) unsettled(name gypsum.ServiceName) []Order {
	var orders []Order
	for _, order := range p.book.orders {
		if order.Service == name && order.State == OrderSent {
			orders = append(orders, order)
		}
	}
	slices.SortFunc(orders, func(a, b Order) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return orders
}

// send sends an order and records its outcome. An order without a known outcome is sent again at
// the next decision.
func (p *Planner) send(ctx context.Context, order Order) error {
	err := p.Keeper.Do(ctx, gypsum.DutyCapacity, func(ctx context.Context, authority gypsum.DutyAuthority) error {
		return p.Client.OrderCapacity(ctx, authority, order.capacityOrder())
	})
	switch {
	case err == nil:
		order.State, order.AtMS, order.Rejections = OrderAccepted, time.Now().UnixMilli(), 0
		p.Stats.Orders.Add(1)
	case errors.Is(err, gypsum.ErrDutyConflict):
		order.State, order.AtMS, order.Rejections = OrderRejected, time.Now().UnixMilli(), order.Rejections+1
		p.Stats.Rejected.Add(1)
		p.Logger.Warn("order of replicas rejected", "service", order.Service, "data_centre", order.DataCentre, "replicas", order.Replicas, "error", err)
	default:
		return fmt.Errorf("order replicas: %w", err)
	}
	return p.record(ctx, order)
}

// record appends the record of an order and applies it.
func (p *Planner) record(ctx context.Context, order Order) error {
	record, err := EncodeOrder(&order)
	if err != nil {
		return err
	}
	return p.append(ctx, record)
}

// append appends a record and reads the topic, which may have records of an earlier holder.
func (p *Planner) append(ctx context.Context, record gypsum.KeyedRecord) error {
	appendCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if _, err := p.Writer.Append(appendCtx, record); err != nil {
		return fmt.Errorf("append record: %w", err)
	}
	return p.reader.Poll(ctx)
}

package scale_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/scale"
)

// newService returns an engine service with eight replicas in each of three data centres.
func newService() *scale.Service {
	return &scale.Service{
		Name: "motif", Engines: true, Floor: 24,
		Config: &gypsum.CapacityConfig{Min: 2, Max: 12, StartTime: 4 * time.Second, Prices: map[gypsum.DataCentre]float64{"a": 1, "b": 1.2, "c": 0.9}},
		Centres: map[gypsum.DataCentre]scale.Centre{
			"a": {OnDemand: 8, Initial: 8}, "b": {OnDemand: 8, Initial: 8}, "c": {OnDemand: 8, Initial: 8},
		},
	}
}

// decide returns the orders of a plan for a service that stays as it is for a time.
func decide(plan *scale.Plan, service *scale.Service, duration time.Duration) map[gypsum.DataCentre]int {
	orders := make(map[gypsum.DataCentre]int)
	for now := time.Duration(0); now <= duration && len(orders) == 0; now += time.Second {
		for _, order := range plan.Decide(service, now) {
			orders[order.DataCentre] = order.Replicas
		}
	}
	return orders
}

// TestDecide checks what is ordered in each situation. No order is below what is there, and none
// above the maximum.
func TestDecide(t *testing.T) {
	for _, row := range []struct {
		name   string
		change func(s *scale.Service)
		want   map[gypsum.DataCentre]int
	}{
		{"enough capacity", func(*scale.Service) {}, nil},
		{"load as at the start", func(s *scale.Service) { s.OpenTexts = 75 }, nil},
		{"more load", func(s *scale.Service) { s.OpenTexts = 90 }, map[gypsum.DataCentre]int{"a": 10, "b": 10, "c": 10}},
		{"a bounded growth", func(s *scale.Service) { s.OpenTexts = 4000 }, map[gypsum.DataCentre]int{"a": 12, "b": 12, "c": 12}},
		{"a plain service does not grow", func(s *scale.Service) { s.Engines, s.OpenTexts = false, 4000 }, nil},
		{"a replica crashed", func(s *scale.Service) { s.Centres["a"] = scale.Centre{OnDemand: 7, Initial: 8} }, map[gypsum.DataCentre]int{"c": 9}},
		{"a data centre lost", func(s *scale.Service) { s.Centres["a"] = scale.Centre{Initial: 8, Rejections: 1} }, map[gypsum.DataCentre]int{"b": 12, "c": 12}},
		{"reclaimed", func(s *scale.Service) {
			s.Floor = 28
			s.Centres["b"] = scale.Centre{OnDemand: 8, Initial: 8, Leaving: 4}
		}, map[gypsum.DataCentre]int{"a": 9, "b": 9, "c": 10}},
		{"ordered and starting", func(s *scale.Service) {
			s.OpenTexts = 90
			s.Centres["a"] = scale.Centre{OnDemand: 8, Initial: 8, Ordered: 14, OrderAge: 3 * time.Second}
		}, nil},
		{"ordered and never started", func(s *scale.Service) {
			s.OpenTexts = 84
			s.Centres["a"] = scale.Centre{OnDemand: 8, Initial: 8, Ordered: 12, OrderAge: time.Minute}
		}, map[gypsum.DataCentre]int{"b": 10, "c": 10}},
		{"rejected", func(s *scale.Service) {
			s.OpenTexts = 84
			s.Centres["a"] = scale.Centre{OnDemand: 8, Initial: 8, Rejections: 1, RejectedAge: time.Second}
		}, map[gypsum.DataCentre]int{"b": 10, "c": 10}},
		{"too many that may be reclaimed together", func(s *scale.Service) {
			s.Centres["a"] = scale.Centre{Reclaimable: 8}
		}, map[gypsum.DataCentre]int{"a": 1, "c": 9}},
		{"below the minimum", func(s *scale.Service) {
			s.Floor = 16
			s.Centres["a"] = scale.Centre{}
		}, map[gypsum.DataCentre]int{"a": 2}},
		{"minimum above what may be ordered", func(s *scale.Service) {
			s.Config.Min, s.Config.Max = 12, 12
		}, map[gypsum.DataCentre]int{"a": 12, "b": 12, "c": 12}},
		{"nothing known", func(s *scale.Service) { s.Floor, s.Centres = 0, nil }, nil},
		{"no maximum", func(s *scale.Service) { s.Config.Max, s.OpenTexts = 0, 4000 }, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			service := newService()
			row.change(service)
			orders := decide(&scale.Plan{}, service, time.Minute)
			is.Equal(len(orders), len(row.want))
			for name, count := range row.want {
				is.Equal(orders[name], count)
			}
			for name, count := range orders {
				centre := service.Centres[name]
				is.True(count >= max(centre.OnDemand, centre.Ordered, centre.Initial)) // an order below returns replicas
				is.True(count+centre.Reclaimable <= service.Config.Max)
			}
		})
	}
}

// TestHysteresis guards against orders for a replica that starts again and for a short peak of the
// load.
func TestHysteresis(t *testing.T) {
	is := is.New(t)
	plan, service := &scale.Plan{}, newService()
	for second := range 60 {
		service.OpenTexts = 60
		if second%8 < 5 {
			service.OpenTexts = 120
		}
		is.Equal(len(plan.Decide(service, time.Duration(second)*time.Second)), 0)
	}
	is.Equal(decide(&scale.Plan{}, func() *scale.Service { s := newService(); s.OpenTexts = 120; return s }(), 7*time.Second), map[gypsum.DataCentre]int{})
}

// TestReturn checks that what was added is returned after a long time without batches, and that
// no engine is returned while a batch is open.
func TestReturn(t *testing.T) {
	is := is.New(t)
	service := newService()
	service.Centres["a"] = scale.Centre{OnDemand: 11, Initial: 8, Ordered: 11, OrderAge: time.Hour}
	is.Equal(len(decide(&scale.Plan{}, service, time.Hour)), 0)
	service.Idle = true
	is.Equal(len(decide(&scale.Plan{}, service, 4*time.Minute)), 0)
	is.Equal(decide(&scale.Plan{}, service, 6*time.Minute), map[gypsum.DataCentre]int{"a": 8})
}

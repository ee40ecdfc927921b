package relay_test

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/limit"
	"github.com/gypsumhook/gypsum/relay"
	"github.com/gypsumhook/gypsum/state"
)

// instantReplicas respond at once.
type instantReplicas struct{ gypsum.ReplicaTransport }

// RoundTrip implements gypsum.ReplicaTransport.
func (instantReplicas) RoundTrip(context.Context, *gypsum.Replica, *gypsum.LiveRequest, time.Duration) (*gypsum.LiveResponse, error) {
	return &gypsum.LiveResponse{Status: http.StatusOK}, nil
}

// BenchmarkServe measures what a daemon spends on a live request with six idle replicas.
func BenchmarkServe(b *testing.B) {
	logger := slog.New(slog.DiscardHandler)
	r := relay.New()
	r.Limiter = limit.NewLimiter()
	r.Limiter.Table = limit.NewTable(logger)
	r.Limiter.Table.Store = &fake.RateLimitStore{}
	r.Registry, r.Crashes, r.Logger, r.Transport = state.NewRegistry(logger), noCrashes{}, logger, instantReplicas{}
	for _, replica := range fake.NewRewardService(deskService, 6, 6, 0).Replicas() {
		r.Registry.ApplyReplica(replica)
	}
	route := &gypsum.Route{Name: "desk", Kind: gypsum.RouteIdempotent, MaxAttempts: 3, LatencyTarget: 250 * time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		now := time.Now()
		_, refusal := r.Serve(b.Context(), &relay.Request{
			LiveRequest: gypsum.LiveRequest{ID: "r", Method: http.MethodPost, Target: "/x"},
			Route:       route, Service: deskService, Arrived: now, Deadline: now.Add(time.Second),
		})
		if refusal != nil {
			b.Fatal(refusal)
		}
	}
}

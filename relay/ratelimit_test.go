package relay_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/limit"
	"github.com/gypsumhook/gypsum/relay"
	"github.com/gypsumhook/gypsum/state"
)

const deskService = gypsum.ServiceName("desk")

// limitedDeployment is a number of daemons in front of the same three replicas of a plain
// service.
type limitedDeployment struct {
	t        *testing.T
	limits   fake.RateLimits
	records  fake.RateLimitStore
	permits  fake.PeerPermits
	peers    []gypsum.Peer
	replicas *fake.RewardService
	relays   []*relay.Relay

	mu       sync.Mutex
	served   int
	refusals []*gypsum.Refusal
}

// newLimitedDeployment starts the daemons. The replicas limit their request rates, except for
// the last ones.
func newLimitedDeployment(t *testing.T, daemons, unlimited int, rate gypsum.RequestRate) *limitedDeployment {
	d := &limitedDeployment{t: t, replicas: fake.NewRewardService(deskService, 3, 6, 25*time.Millisecond)}
	for _, replica := range d.replicas.Replicas()[:3-unlimited] {
		d.limits.SetLimit(replica.ID, rate)
	}
	d.permits.Latency = 5 * time.Millisecond
	for i := range daemons {
		name := fmt.Sprint("host-", i+1)
		d.peers = append(d.peers, gypsum.Peer{Host: gypsum.HostID(name), Address: name})
	}
	for i := range daemons {
		d.relays = append(d.relays, d.newRelay(gypsum.HostID(fmt.Sprint("host-", i+1))))
	}
	return d
}

// newRelay returns the relay of a daemon.
func (d *limitedDeployment) newRelay(name gypsum.HostID) *relay.Relay {
	logger := slog.New(slog.DiscardHandler)
	table := limit.NewTable(logger)
	table.Store = &d.records
	limiter := limit.NewLimiter()
	limiter.Self, limiter.Table, limiter.Budgets, limiter.PeerPermits, limiter.Logger = name, table, limit.NewBudgets(), &d.permits, logger
	limiter.ListPeers, limiter.HolderOf = func() []gypsum.Peer { return d.peers }, func(gypsum.ServiceName) gypsum.HostID { return "" }
	d.permits.Set(string(name), limiter)
	ctx, stop := context.WithCancel(d.t.Context())
	done := make(chan error)
	go func() { done <- table.Run(ctx) }()
	d.t.Cleanup(func() { stop(); <-done })
	r := relay.New()
	r.Limiter = limiter
	r.Registry, r.Crashes, r.Logger = state.NewRegistry(logger), noCrashes{}, logger
	r.Transport = &fake.LimitedReplicas{ReplicaTransport: d.replicas, Limits: &d.limits, Observer: table}
	for _, replica := range d.replicas.Replicas() {
		r.Registry.ApplyReplica(replica)
	}
	return r
}

// send sends a request to a daemon and counts its end.
func (d *limitedDeployment) send(daemon, number int) {
	now := time.Now()
	_, refusal := d.relays[daemon].Serve(d.t.Context(), &relay.Request{
		LiveRequest: gypsum.LiveRequest{ID: gypsum.RequestID(fmt.Sprint("r", number)), Method: http.MethodPost, Target: "/x", Header: make(http.Header)},
		Route:       &gypsum.Route{Name: "desk", Kind: gypsum.RouteIdempotent, MaxAttempts: 3, LatencyTarget: 250 * time.Millisecond},
		Service:     deskService, Arrived: now, Deadline: now.Add(2500 * time.Millisecond),
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	if refusal != nil {
		d.refusals = append(d.refusals, refusal)
		return
	}
	d.served++
}

// noCrashes is a gypsum.CrashCounter without crashes.
type noCrashes struct{}

// RecordCrash implements gypsum.CrashCounter.
func (noCrashes) RecordCrash(context.Context, gypsum.Fingerprint, *gypsum.Replica) error { return nil }

// CrashCount implements gypsum.CrashCounter.
func (noCrashes) CrashCount(gypsum.Fingerprint) int { return 0 }

// ForgetCrashes implements gypsum.CrashCounter.
func (noCrashes) ForgetCrashes(context.Context, gypsum.Fingerprint, gypsum.SoftwareVersion) (int, error) {
	return 0, nil
}

// TestDaemonsTogetherExceedRateLimit guards against live requests of many daemons that each
// keep a replica's rate limit and exceed it together. Requests beyond the limit are refused as
// not run, at once and with a retry delay; most of what the limit allows is used.
func TestDaemonsTogetherExceedRateLimit(t *testing.T) {
	const duration = 20 * time.Second
	for name, row := range map[string]struct {
		daemons, unlimited int
		limit              gypsum.RequestRate
		interval           time.Duration // between requests, over all daemons
		burst              int           // requests that arrive together at that time
	}{
		"overload":             {daemons: 12, limit: 10, interval: 10 * time.Millisecond, burst: 1},
		"many daemons":         {daemons: 60, limit: 2, interval: 50 * time.Millisecond, burst: 1},
		"bursts":               {daemons: 30, limit: 4, interval: 5 * time.Second, burst: 60},
		"no requests accepted": {daemons: 12, limit: 0, interval: 50 * time.Millisecond, burst: 1},
		"one unlimited":        {daemons: 12, unlimited: 1, limit: 2, interval: 25 * time.Millisecond, burst: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newLimitedDeployment(t, row.daemons, row.unlimited, row.limit)
				begin := time.Now()
				var wg sync.WaitGroup
				sent := 0
				for time.Since(begin) < duration {
					for range row.burst {
						sent++
						number := sent
						// Half of the requests reach the same daemon.
						wg.Go(func() { d.send((number%2)*number%row.daemons, number) })
					}
					time.Sleep(row.interval)
				}
				wg.Wait()
				for _, replica := range d.replicas.Replicas()[:3-row.unlimited] {
					most := d.limits.MostWithin(replica.ID, fake.LimitWindow, begin.Add(fake.LimitNoticeTime))
					if allowed := fake.MaxWithinLimit(row.limit); most > allowed {
						t.Errorf("%s received %d requests within %s, %d are allowed", replica.ID, most, fake.LimitWindow, allowed)
					}
				}
				for _, refusal := range d.refusals {
					is.Equal(refusal.Outcome, gypsum.OutcomeNotRun)
					is.True(refusal.RetryAfter > 0)
				}
				if row.unlimited > 0 {
					is.Equal(len(d.refusals), 0)
				}
				usable := min(float64(sent), 3*float64(row.limit)*duration.Seconds())
				if name != "bursts" {
					is.True(float64(d.served) >= 0.7*usable) // most of the limits is used
				}
			})
		})
	}
}

// TestFullAndRateLimited guards against a request that goes round in circles without a pause: a
// replica refused it as full some time ago, may have free slots again, and accepts no requests
// by its rate limit.
func TestFullAndRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newLimitedDeployment(t, 1, 0, 0)
		replicas := d.replicas.Replicas()
		d.replicas.SetFault(replicas[0].ID, fake.RewardFull)
		d.replicas.SetFault(replicas[1].ID, fake.RewardError)
		d.replicas.SetFault(replicas[2].ID, fake.RewardError)
		d.replicas.ServiceTime = 300 * time.Millisecond
		time.AfterFunc(450*time.Millisecond, func() {
			d.relays[0].Limiter.Table.ObserveRateLimit(replicas[0], new(gypsum.RequestRate), time.Now())
		})
		now := time.Now()
		response, refusal := d.relays[0].Serve(t.Context(), &relay.Request{
			LiveRequest: gypsum.LiveRequest{ID: "r", Method: http.MethodPost, Target: "/x", Header: make(http.Header)},
			Route:       &gypsum.Route{Name: "desk", Kind: gypsum.RouteIdempotent, MaxAttempts: 10, LatencyTarget: time.Second},
			Service:     deskService, Arrived: now, Deadline: now.Add(20 * time.Second),
		})
		is.True(refusal == nil)
		is.Equal(response.Status, http.StatusInternalServerError)
		is.Equal(d.relays[0].Limiter.Stats.Denied.Load(), int64(1))
	})
}

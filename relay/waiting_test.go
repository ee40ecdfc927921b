package relay_test

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fake"
	"github.com/gypsumhook/gypsum/limit"
	"github.com/gypsumhook/gypsum/origin"
	"github.com/gypsumhook/gypsum/relay"
	"github.com/gypsumhook/gypsum/state"
)

// fullDeployment is a number of daemons in front of the same replicas, which refuse requests
// while all their slots are occupied.
type fullDeployment struct {
	t        *testing.T
	replicas *fake.RewardService
	records  fake.RateLimitStore
	relays   []*relay.Relay

	mu    sync.Mutex
	order []gypsum.RequestID
}

// newFullDeployment starts the daemons in front of three replicas with two slots, which serve 240
// requests per second.
func newFullDeployment(t *testing.T, daemons int) *fullDeployment {
	d := &fullDeployment{t: t, replicas: fake.NewRewardService(deskService, 3, 2, 25*time.Millisecond)}
	d.replicas.RefusesFull = true
	logger := slog.New(slog.DiscardHandler)
	for range daemons {
		r := relay.New()
		r.Limiter = limit.NewLimiter()
		r.Limiter.Table = limit.NewTable(logger)
		r.Limiter.Table.Store = &d.records
		r.Registry, r.Crashes, r.Logger, r.Transport = state.NewRegistry(logger), noCrashes{}, logger, d.replicas
		for _, replica := range d.replicas.Replicas() {
			r.Registry.ApplyReplica(replica)
		}
		var err error
		if r.Origins, err = origin.NewTracker(); err != nil {
			t.Fatal(err)
		}
		r.Origins.Registry, r.Origins.Peers, r.Origins.Logger = r.Registry, &fake.PeerOrigins{}, logger
		r.Origins.ListPeers, r.Origins.Records = func() []gypsum.Peer { return nil }, &fake.SoftwareRecords{}
		d.relays = append(d.relays, r)
	}
	return d
}

// answer is the end of a request.
type answer struct {
	refusal *gypsum.Refusal
	took    time.Duration
}

// send sends a request to a daemon and waits for its end.
func (d *fullDeployment) send(ctx context.Context, daemon int, id gypsum.RequestID, priority int, timeout time.Duration) answer {
	now := time.Now()
	_, refusal := d.relays[daemon].Serve(ctx, &relay.Request{
		LiveRequest: gypsum.LiveRequest{ID: id, Method: http.MethodPost, Target: "/x", Header: make(http.Header)},
		Route:       &gypsum.Route{Name: "desk", Kind: gypsum.RouteNonIdempotent, MaxAttempts: 3, LatencyTarget: 250 * time.Millisecond}, Priority: priority,
		Service: deskService, Arrived: now, Deadline: now.Add(timeout),
	})
	if refusal == nil {
		d.mu.Lock()
		d.order = append(d.order, id)
		d.mu.Unlock()
	}
	return answer{refusal: refusal, took: time.Since(now)}
}

// burst sends requests at the same time, evenly to all daemons, and returns their ends.
func (d *fullDeployment) burst(count int, timeout time.Duration) []answer {
	answers := make([]answer, count)
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() {
			answers[i] = d.send(d.t.Context(), i%len(d.relays), gypsum.RequestID(fmt.Sprint("r", i)), 0, timeout)
		})
	}
	wg.Wait()
	return answers
}

// TestBurstWaitsForSlots guards against the refusal of requests that could be served within
// their latency target: 30 requests at once need 125 ms of the replicas.
func TestBurstWaitsForSlots(t *testing.T) {
	for _, daemons := range []int{1, 3} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newFullDeployment(t, daemons)
				served, inTime := 0, 0
				for _, a := range d.burst(30, 2500*time.Millisecond) {
					if a.refusal == nil {
						served++
						if a.took <= 250*time.Millisecond {
							inTime++
						}
					}
				}
				t.Logf("served %d, within the target %d", served, inTime)
				if daemons == 1 {
					is.Equal(inTime, 30)
				}
				is.True(served >= 20) // three attempts of a daemon may meet slots of the others
				for _, r := range d.relays {
					is.Equal(r.WaitingCount(), 0)
					is.Equal(r.InFlightCount(), 0)
				}
			})
		})
	}
}

// TestRefusedEarlyAndAccurately guards against requests that wait in vain, and against retry
// times at which the replicas are still full: of 200 requests at once with a deadline of 400 ms,
// those that cannot be met are refused within a quarter of the target as not run, and a retry
// at the stated time is served.
func TestRefusedEarlyAndAccurately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newFullDeployment(t, 1)
		d.burst(3, time.Second) // the response times are known
		const count = 200
		served, early, refused, retried := 0, 0, 0, 0
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range count {
			wg.Go(func() {
				first := d.send(t.Context(), 0, gypsum.RequestID(fmt.Sprint("f", i)), 0, 400*time.Millisecond)
				mu.Lock()
				if first.refusal == nil {
					served++
					mu.Unlock()
					return
				}
				refused++
				if first.took <= 62*time.Millisecond {
					early++
				}
				is.Equal(first.refusal.Outcome, gypsum.OutcomeNotRun)
				is.Equal(first.refusal.Status, http.StatusServiceUnavailable)
				is.True(first.refusal.RetryAfter > 0)
				mu.Unlock()
				time.Sleep(first.refusal.RetryAfter)
				if second := d.send(t.Context(), 0, gypsum.RequestID(fmt.Sprint("s", i)), 0, 400*time.Millisecond); second.refusal == nil {
					mu.Lock()
					retried++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		t.Logf("served %d, refused %d, within 62 ms %d, served at the retry %d", served, refused, early, retried)
		is.True(served >= 64)
		is.True(early >= refused*9/10)
		is.True(retried >= refused*8/10)
	})
}

// TestNotRefusedWithFreeSlots guards against refusals or waits while a replica has free slots.
func TestNotRefusedWithFreeSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newFullDeployment(t, 1)
		for range 50 {
			for _, a := range d.burst(6, 30*time.Millisecond) {
				is.True(a.refusal == nil)
				is.Equal(a.took, 25*time.Millisecond)
			}
		}
		is.Equal(d.relays[0].Stats.Waits.Waited.Load(), int64(0))
	})
}

// TestHigherPriorityStartsFirst guards against a queue that ignores the priority of a route.
func TestHigherPriorityStartsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newFullDeployment(t, 1)
		d.burst(6, time.Second)
		d.order = nil
		var wg sync.WaitGroup
		send := func(name string, priority int) {
			wg.Go(func() { d.send(t.Context(), 0, gypsum.RequestID(name), priority, 1500*time.Millisecond) })
			synctest.Wait()
		}
		for i := range 6 {
			send(fmt.Sprint("running", i), 0)
		}
		for i := range 12 {
			send(fmt.Sprint("low", i), 2)
		}
		for i := range 6 {
			send(fmt.Sprint("high", i), 0)
		}
		wg.Wait()
		is.Equal(len(d.order), 24)
		for _, id := range d.order[6:12] {
			is.Equal(id[:4], gypsum.RequestID("high"))
		}
	})
}

// TestClientLeavesWhileWaiting guards against slots that stay reserved for, or requests that
// are sent on behalf of, clients that have left.
func TestClientLeavesWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newFullDeployment(t, 1)
		var wg sync.WaitGroup
		ctx, leave := context.WithCancel(t.Context())
		for i := range 20 {
			wg.Go(func() {
				if i >= 6 {
					time.Sleep(time.Millisecond)
				}
				d.send(ctx, 0, gypsum.RequestID(fmt.Sprint("r", i)), 0, time.Second)
			})
		}
		time.Sleep(5 * time.Millisecond)
		is.Equal(d.relays[0].WaitingCount(), 14)
		leave()
		wg.Wait()
		is.Equal(d.relays[0].WaitingCount(), 0)
		is.Equal(len(d.replicas.Calls()), 6)
		d.order = nil
		d.burst(6, 30*time.Millisecond)
		is.Equal(len(d.order), 6)
	})
}

// TestReplicaLeavesWhileRequestsWait guards against requests that wait for replicas that are no
// longer there.
func TestReplicaLeavesWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newFullDeployment(t, 1)
		d.replicas.ServiceTime = 5 * time.Second
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Go(func() { d.send(t.Context(), 0, gypsum.RequestID(fmt.Sprint("r", i)), 0, 6*time.Second) })
		}
		synctest.Wait()
		wg.Go(func() {
			a := d.send(t.Context(), 0, "waiting", 0, 6*time.Second)
			is.Equal(a.refusal.Reason, gypsum.ReasonNoBackend)
			is.True(a.took < 200*time.Millisecond)
		})
		synctest.Wait()
		is.Equal(d.relays[0].WaitingCount(), 1)
		for _, replica := range d.replicas.Replicas() {
			leaving := *replica
			leaving.State = gypsum.ReplicaDraining
			d.relays[0].Registry.ApplyReplica(&leaving)
		}
		wg.Wait()
	})
}

// crashingReplica refuses the first request as full and accepts no connection after that.
type crashingReplica struct {
	gypsum.ReplicaTransport
	sends atomic.Int64
}

// RoundTrip implements gypsum.ReplicaTransport. It succeeds in the end, since a loop without a pause
// would never reach the deadline in virtual time.
func (c *crashingReplica) RoundTrip(context.Context, *gypsum.Replica, *gypsum.LiveRequest, time.Duration) (*gypsum.LiveResponse, error) {
	switch sends := c.sends.Add(1); {
	case sends == 1:
		return nil, gypsum.ErrNotRun
	case sends < 1000:
		return nil, gypsum.ErrNotSent
	}
	return &gypsum.LiveResponse{Status: http.StatusOK, Header: make(http.Header)}, nil
}

// TestFullReplicaCrashes guards against a request that tries to connect without a pause until its
// deadline: its replica refused it as full and accepts no connection when it has a slot again.
func TestFullReplicaCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newFullDeployment(t, 1)
		for _, replica := range d.replicas.Replicas()[1:] {
			leaving := *replica
			leaving.State = gypsum.ReplicaDraining
			d.relays[0].Registry.ApplyReplica(&leaving)
		}
		transport := &crashingReplica{}
		d.relays[0].Transport = transport
		a := d.send(t.Context(), 0, "r", 0, 1500*time.Millisecond)
		is.Equal(transport.sends.Load(), int64(2))
		is.True(a.refusal != nil)
		is.Equal(a.refusal.Outcome, gypsum.OutcomeNotRun)
	})
}

// TestNotRefusedWhileSlotsBecomeFree guards against requests that are refused although they could be
// met, since a replica with a free slot and one in use counted as one with a single slot when the
// slot became free.
func TestNotRefusedWhileSlotsBecomeFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newFullDeployment(t, 1)
		for _, replica := range d.replicas.Replicas()[1:] {
			leaving := *replica
			leaving.State = gypsum.ReplicaDraining
			d.relays[0].Registry.ApplyReplica(&leaving)
		}
		d.burst(1, time.Second) // the response time is known
		var wg sync.WaitGroup
		send := func(id string) {
			wg.Go(func() {
				a := d.send(t.Context(), 0, gypsum.RequestID(id), 0, 200*time.Millisecond)
				is.True(a.refusal == nil)
			})
		}
		send("first")
		time.Sleep(12 * time.Millisecond)
		send("second")
		time.Sleep(time.Millisecond)
		for i := range 10 { // ten of 25 ms in two slots
			send(fmt.Sprint("waiting", i))
		}
		wg.Wait()
	})
}

// unreachableReplicas are replicas that cannot be connected to, beside others.
type unreachableReplicas struct {
	gypsum.ReplicaTransport
	ids map[gypsum.BackendID]bool
}

// RoundTrip implements gypsum.ReplicaTransport.
func (u *unreachableReplicas) RoundTrip(ctx context.Context, replica *gypsum.Replica, request *gypsum.LiveRequest, timeout time.Duration) (*gypsum.LiveResponse, error) {
	if u.ids[replica.ID] {
		return nil, gypsum.ErrNotSent
	}
	return u.ReplicaTransport.RoundTrip(ctx, replica, request, timeout)
}

// TestReplicaWithManySlots guards against a daemon that ends, or refuses requests, since a registration
// states more slots than any replica has.
func TestReplicaWithManySlots(t *testing.T) {
	for _, slots := range []int{1 << 40, math.MaxInt} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := newFullDeployment(t, 1)
			d.relays[0].Transport = &unreachableReplicas{d.replicas, map[gypsum.BackendID]bool{"odd-1": true, "odd-2": true}}
			for _, id := range []gypsum.BackendID{"odd-1", "odd-2"} {
				d.relays[0].Registry.ApplyReplica(&gypsum.Replica{ID: id, Service: deskService, State: gypsum.ReplicaReady, Slots: slots})
			}
			for _, a := range d.burst(30, 2500*time.Millisecond) {
				is.True(a.refusal == nil)
			}
		})
	}
}

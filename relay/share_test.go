package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/relay"
)

// slotReplicas are replicas that refuse requests beyond their slots.
type slotReplicas struct {
	gypsum.ReplicaTransport
	serviceTime time.Duration

	mu     sync.Mutex
	inUse  map[gypsum.BackendID]int
	served map[string]int // by the client that sent them
}

// RoundTrip implements gypsum.ReplicaTransport.
func (s *slotReplicas) RoundTrip(_ context.Context, replica *gypsum.Replica, request *gypsum.LiveRequest, _ time.Duration) (*gypsum.LiveResponse, error) {
	s.mu.Lock()
	if s.inUse[replica.ID] >= replica.Slots {
		s.mu.Unlock()
		return nil, gypsum.ErrNotRun
	}
	s.inUse[replica.ID]++
	s.mu.Unlock()
	time.Sleep(s.serviceTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse[replica.ID]--
	client, _, _ := strings.Cut(string(request.ID), "/")
	s.served[client]++
	return &gypsum.LiveResponse{Status: http.StatusOK, Header: make(http.Header)}, nil
}

// TestBurstTakesNoOtherAccountsSlots guards against a burst of one account that makes the requests
// of the others fail, although they need few of the slots of the replicas. Without accounts nothing
// is divided.
func TestBurstTakesNoOtherAccountsSlots(t *testing.T) {
	for _, inForce := range []bool{true, false} {
		t.Run(fmt.Sprint("accounts ", inForce), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const daemons, accounts = 3, 20
				d := newLimitedDeployment(t, daemons, 3, 0)
				replicas := &slotReplicas{serviceTime: 25 * time.Millisecond, inUse: make(map[gypsum.BackendID]int), served: make(map[string]int)}
				for _, r := range d.relays {
					r.Transport, r.HostCount = replicas, func() int { return daemons }
				}
				sent := make(map[string]int)
				var wg sync.WaitGroup
				send := func(client string, number int) {
					sent[client]++
					account := gypsum.AccountName("")
					if inForce {
						account = gypsum.AccountName(client)
					}
					r := d.relays[number%daemons]
					wg.Go(func() {
						now := time.Now()
						_, _ = r.Serve(t.Context(), &relay.Request{
							LiveRequest: gypsum.LiveRequest{
								ID: gypsum.RequestID(fmt.Sprint(client, "/", number)), Method: http.MethodPost, Target: "/x", Header: make(http.Header),
								Account: account, AccountsInForce: inForce,
							},
							Route:   &gypsum.Route{Name: "desk", Kind: gypsum.RouteIdempotent, MaxAttempts: 3, LatencyTarget: 250 * time.Millisecond},
							Service: deskService, Arrived: now, Deadline: now.Add(1500 * time.Millisecond),
						})
					})
				}
				// The replicas have 18 slots, for 720 requests a second.
				for milli := range 8000 {
					for burst := range 3 {
						send("burst", 3*milli+burst)
					}
					if milli%20 == 0 {
						send(fmt.Sprint("a", milli/20%accounts), milli/20)
					}
					time.Sleep(time.Millisecond)
				}
				wg.Wait()
				all, light := 0.0, 0.0
				for client, count := range sent {
					all += float64(count)
					if client != "burst" {
						light += float64(replicas.served[client]) / float64(count) / accounts
					}
				}
				servedOfAll := 0.0
				for _, count := range replicas.served {
					servedOfAll += float64(count)
				}
				t.Logf("served: others %.3f, burst %.3f, all %.3f", light, float64(replicas.served["burst"])/float64(sent["burst"]), servedOfAll/all)
				if !inForce {
					is.True(light < 0.6) // the load is one in which accounts matter
					return
				}
				is.True(light > 0.8)
				is.True(servedOfAll > 0.6*720*8)
			})
		})
	}
}

package fake

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// RewardFault is a fault of a replica of a RewardService.
type RewardFault string

// The faults of a replica. RewardFull refuses calls without running them. The others run
// the call and then answer with a server error, break off the response, or send none.
const (
	RewardFull   RewardFault = "full"
	RewardError  RewardFault = "error"
	RewardBroken RewardFault = "broken"
	RewardSilent RewardFault = "silent"
)

// RewardCall is a reward call that a replica has run. Signature is empty if the replica did
// not answer it successfully.
type RewardCall struct {
	ID         gypsum.RequestID
	Replica    gypsum.BackendID
	ReceivedAt time.Time
	Signature  string
	// Account is the account that the call names.
	Account gypsum.AccountName
}

// RewardService is a set of in-memory replicas that answer reward calls. It implements
// gypsum.ReplicaTransport. Set the exported fields before use.
type RewardService struct {
	// ServiceTime is the duration of a call in a slot.
	ServiceTime time.Duration
	// ResponseStatus, if set, returns the status of the response to a call. The default is
	// 200.
	ResponseStatus func(gypsum.RequestID) int
	// RefusesFull makes a replica refuse calls while its slots are occupied. Otherwise they wait
	// for a slot there.
	RefusesFull bool

	name     gypsum.ServiceName
	mu       sync.Mutex
	replicas []*gypsum.Replica
	slots    map[gypsum.BackendID]chan struct{}
	faults   map[gypsum.BackendID]RewardFault
	calls    []RewardCall
	maxBusy  map[gypsum.BackendID]int
	// crashes is the number of replicas that are yet to crash while they run a call, downUntil
	// when a crashed replica is back.
	crashes   map[gypsum.RequestID]int
	downUntil map[gypsum.BackendID]time.Time
}

// crashDuration is how long a replica that has crashed is down.
const crashDuration = 400 * time.Millisecond

// SetCrashing makes the next replicas that run a call crash.
func (s *RewardService) SetCrashing(id gypsum.RequestID, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes[id] = count
}

// crash reports whether a replica crashes while it runs a call.
func (s *RewardService) crash(replica gypsum.BackendID, id gypsum.RequestID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashes[id] == 0 {
		return false
	}
	s.crashes[id]--
	s.downUntil[replica] = time.Now().Add(crashDuration)
	return true
}

// isDown reports whether a replica has crashed and is not back.
func (s *RewardService) isDown(replica gypsum.BackendID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.downUntil[replica])
}

// errRewardBroken is returned for a response that was broken off.
var errRewardBroken = errors.New("response broken off")

// NewRewardService returns a service with replicas reward-1 and so on.
func NewRewardService(name gypsum.ServiceName, count, slots int, serviceTime time.Duration) *RewardService {
	s := &RewardService{
		ServiceTime: serviceTime, name: name, slots: make(map[gypsum.BackendID]chan struct{}),
		faults: make(map[gypsum.BackendID]RewardFault), maxBusy: make(map[gypsum.BackendID]int),
		crashes: make(map[gypsum.RequestID]int), downUntil: make(map[gypsum.BackendID]time.Time),
	}
	for i := range count {
		id := gypsum.BackendID(fmt.Sprint("reward-", i+1))
		s.replicas = append(s.replicas, &gypsum.Replica{ID: id, Service: name, Address: string(id), State: gypsum.ReplicaReady, Slots: slots})
		s.slots[id] = make(chan struct{}, slots)
	}
	return s
}

// Replicas returns the registrations of the replicas.
func (s *RewardService) Replicas() []*gypsum.Replica { return s.replicas }

// SetFault sets the fault of a replica, empty for none.
func (s *RewardService) SetFault(id gypsum.BackendID, fault RewardFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[id] = fault
}

// Calls returns the calls that replicas have run so far.
func (s *RewardService) Calls() []RewardCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]RewardCall(nil), s.calls...)
}

// MaxInFlight returns the largest number of calls that a replica had at one time.
func (s *RewardService) MaxInFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, count := range s.maxBusy {
		most = max(most, count)
	}
	return most
}

// receive records the arrival of a call. It returns the call's index and the replica's fault.
func (s *RewardService) receive(replica gypsum.BackendID, request *gypsum.LiveRequest) (int, RewardFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.faults[replica]
	if fault == RewardFull || (s.RefusesFull && len(s.slots[replica]) == cap(s.slots[replica])) {
		return 0, RewardFull
	}
	s.calls = append(s.calls, RewardCall{ID: request.ID, Replica: replica, ReceivedAt: time.Now(), Account: request.Account})
	s.maxBusy[replica] = max(s.maxBusy[replica], len(s.slots[replica])+1)
	return len(s.calls) - 1, fault
}

// RoundTrip implements gypsum.ReplicaTransport.
func (s *RewardService) RoundTrip(ctx context.Context, replica *gypsum.Replica, request *gypsum.LiveRequest, _ time.Duration) (*gypsum.LiveResponse, error) {
	if s.isDown(replica.ID) {
		return nil, gypsum.ErrNotSent
	}
	index, fault := s.receive(replica.ID, request)
	if fault == RewardFull {
		return nil, gypsum.ErrNotRun
	}
	slots := s.slots[replica.ID]
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if s.crash(replica.ID, request.ID) {
		return nil, errRewardBroken
	}
	if fault == RewardSilent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-time.After(s.ServiceTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	status := http.StatusOK
	switch {
	case fault == RewardBroken:
		return nil, errRewardBroken
	case fault == RewardError:
		status = http.StatusInternalServerError
	case s.ResponseStatus != nil:
		status = s.ResponseStatus(request.ID)
	}
	signature := fmt.Sprintf("%s.%s.%d", replica.ID, request.ID, index)
	if status == http.StatusOK {
		s.mu.Lock()
		s.calls[index].Signature = signature
		s.mu.Unlock()
	}
	return &gypsum.LiveResponse{Status: status, Header: make(http.Header), Signature: signature}, nil
}

// Stream implements gypsum.ReplicaTransport. Reward calls are not streamed.
func (s *RewardService) Stream(context.Context, *gypsum.Replica, *gypsum.LiveRequest, time.Duration, int64) (gypsum.LiveStream, error) {
	return nil, gypsum.ErrNotSent
}

// AcceptsConnections implements gypsum.Prober.
func (s *RewardService) AcceptsConnections(_ context.Context, replica *gypsum.Replica) bool {
	return !s.isDown(replica.ID)
}

package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/check"
	"github.com/gypsumhook/gypsum/config"
)

// Times of a scene.
const (
	callGap      = 40 * time.Millisecond
	changeGap    = 3 * time.Second
	watchGap     = 100 * time.Millisecond
	inForceBound = 5 * time.Second
	leavingBound = 3 * time.Second
	callTimeout  = 4 * time.Second
	orderRepeats = 3
	// BalancerBound is how long the balancer sends calls to a frozen host.
	balancerBound = 2 * time.Second
)

// Scene is a fleet under load: callers, a trainer and an operator at work,
// while faults strike. It keeps what was seen and checks the promises.
type Scene struct {
	Fleet  *Fleet
	Record *check.Record
	Caller *check.Caller
	Rand   *rand.Rand
	// Callers is the number of callers of each kind.
	Callers int

	mu sync.Mutex
	// Isolated are daemons that can reach neither the log nor a peer that can.
	isolated map[gypsum.HostID]bool
	accepted []acceptedChange
	leaving  map[string]time.Time
	work     sync.WaitGroup
	stop     context.CancelFunc
}

// acceptedChange is a change that an operator was told is accepted.
type acceptedChange struct {
	revision gypsum.Revision
	at       time.Time
}

// NewScene returns a scene over a started fleet.
func NewScene(f *Fleet, seed uint64) *Scene {
	record := &check.Record{}
	return &Scene{
		Fleet: f, Record: record, Caller: f.NewCaller(record, callTimeout),
		Rand: rand.New(rand.NewPCG(seed, seed)), Callers: 2,
		isolated: make(map[gypsum.HostID]bool), leaving: make(map[string]time.Time),
	}
}

// Begin puts the callers, the trainer, the operator and the watch to work.
func (s *Scene) Begin(ctx context.Context) {
	ctx, s.stop = context.WithCancel(ctx)
	for number := range s.Callers {
		s.work.Go(func() { s.order(ctx, number) })
		s.work.Go(func() { s.complete(ctx, number) })
	}
	s.work.Go(func() {
		s.Fleet.NewTrainer(s.Record, 2*time.Second).Run(ctx)
	})
	s.work.Go(func() { s.operate(ctx) })
	s.work.Go(func() { s.watch(ctx) })
}

// End stops the work and returns the broken promises.
func (s *Scene) End() []string {
	s.stop()
	s.work.Wait()
	s.checkLeaving()
	return s.Caller.Check(s.Fleet.Ledger.Runs())
}

// via returns the daemon that the balancer sends a call to. The balancer
// notices after a while that a host does not answer its checks.
func (s *Scene) via(turn int) (gypsum.HostID, bool) {
	live := slices.DeleteFunc(s.Fleet.Ready(), func(id gypsum.HostID) bool {
		since, frozen := s.Fleet.Network.Frozen(id)
		return frozen && time.Since(since) > balancerBound
	})
	if len(live) == 0 {
		return "", false
	}
	return live[turn%len(live)], true
}

// order sends orders one after another, each again until its outcome is known.
func (s *Scene) order(ctx context.Context, number int) {
	for call := number; ctx.Err() == nil; call++ {
		key := check.NewKey()
		for repeat := range orderRepeats {
			via, ok := s.via(call + repeat)
			if !ok {
				break
			}
			result := s.Caller.Order(context.WithoutCancel(ctx), via, key, "crew of three")
			if result.Answer != "" {
				break
			}
			check.Pause(ctx, 2*callGap)
		}
		check.Pause(ctx, callGap)
	}
}

// complete sends completions one after another.
func (s *Scene) complete(ctx context.Context, number int) {
	recoveries := []gypsum.Recovery{gypsum.RecoveryResume, gypsum.RecoveryRestart}
	for call := number; ctx.Err() == nil; call++ {
		if via, ok := s.via(call); ok {
			prompt := fmt.Sprintf("caller %d call %d", number, call)
			s.Caller.Complete(context.WithoutCancel(ctx), via, prompt, recoveries[call%len(recoveries)])
		}
		check.Pause(ctx, callGap)
	}
}

// operate makes a change every few seconds.
func (s *Scene) operate(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		check.Pause(ctx, changeGap)
		if via, ok := s.via(turn); ok {
			s.change(ctx, via, turn, "operator")
		}
	}
}

// change makes one change of the plain service.
func (s *Scene) change(ctx context.Context, via gypsum.HostID, turn int, operator string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := s.Fleet.Change(ctx, via, &gypsum.Change{
		ID: fmt.Sprintf("%s-%d", operator, turn), Operator: operator, Kind: gypsum.ChangePutService, Name: string(check.PlainService),
		Service: &gypsum.ServiceSpec{
			Name: check.PlainService, Kind: gypsum.KindPlain, DefaultTimeout: 10 * time.Second, MaxQueue: 200 + turn, CrashLimit: 3,
		},
	})
	var conflict *config.ConflictError
	switch {
	case err == nil:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.accepted = append(s.accepted, acceptedChange{revision: revision, at: time.Now()})
	case errors.As(err, &conflict) && conflict.ChangedBy == "":
		s.Record.Breach("operator %s lost a race and was not told to whom", operator)
	}
}

// Race lets two operators change the same service at the same time.
func (s *Scene) Race(ctx context.Context) {
	live := s.Fleet.Live()
	for turn := range 4 {
		var race sync.WaitGroup
		race.Go(func() { s.change(ctx, live[0], turn, "ama") })
		race.Go(func() { s.change(ctx, live[len(live)-1], turn, "kofi") })
		race.Wait()
	}
}

// Isolate notes that a daemon can learn of nothing, or can again.
func (s *Scene) Isolate(id gypsum.HostID, isolated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isolated[id] = isolated
	if !isolated {
		// What was accepted meanwhile is due from now on.
		for i := range s.accepted {
			s.accepted[i].at = latest(s.accepted[i].at, time.Now())
		}
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Leave notes that a backend server has begun to leave.
func (s *Scene) Leave(backend string) {
	s.mu.Lock()
	s.leaving[backend] = time.Now()
	s.mu.Unlock()
	if engine, ok := s.Fleet.Engines[backend]; ok {
		engine.SetLeaving(true)
	}
	if plain, ok := s.Fleet.Plains[backend]; ok {
		plain.SetLeaving(true)
	}
}

// checkLeaving checks that leaving backend servers got no new work.
func (s *Scene) checkLeaving() {
	for backend, at := range s.leaving {
		var work []time.Time
		if engine, ok := s.Fleet.Engines[backend]; ok {
			work = engine.NewWork()
		} else {
			work = s.Fleet.Plains[backend].NewWork()
		}
		late := slices.DeleteFunc(work, func(began time.Time) bool { return began.Before(at.Add(leavingBound)) })
		if len(late) > 0 {
			s.Record.Breach("%s got %d calls more than %s after it began to leave", backend, len(late), leavingBound)
		}
	}
}

// watch checks that no daemon's revision goes down, and that accepted changes
// are in force everywhere in time.
func (s *Scene) watch(ctx context.Context) {
	seen := make(map[gypsum.HostID]gypsum.Revision)
	known := make(map[gypsum.HostID]time.Time)
	for ctx.Err() == nil {
		check.Pause(ctx, watchGap)
		for _, id := range s.Fleet.Live() {
			running := s.Fleet.Node(id)
			if running == nil || running.View().Config == nil {
				continue
			}
			if _, ok := known[id]; !ok {
				known[id] = time.Now()
			}
			revision := running.View().Config.Revision
			if revision < seen[id] {
				s.Record.Breach("revision of %s went down from %d to %d", id, seen[id], revision)
			}
			seen[id] = revision
			s.checkInForce(id, revision, known[id])
		}
	}
}

// checkInForce checks that a daemon has all changes that are due.
func (s *Scene) checkInForce(id gypsum.HostID, revision gypsum.Revision, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isolated[id] {
		return
	}
	for _, change := range s.accepted {
		if change.revision > revision && time.Since(latest(change.at, since)) > inForceBound {
			s.Record.Breach("revision %d is not in force on %s after %s", change.revision, id, inForceBound)
		}
	}
}

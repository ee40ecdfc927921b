package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/route"
)

// statusMisdirected is the status of a call that reached the wrong daemon.
const statusMisdirected = http.StatusMisdirectedRequest

// misroutedWait is the wait before a call is routed anew.
const misroutedWait = 50 * time.Millisecond

// maxOverloads is how many backend servers may refuse a call before it is refused.
const maxOverloads = 2

// Run takes a call to its answer: a non-idempotent one by way of its key's
// shard, any other to a backend server.
func (n *Node) Run(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	n.Stats.Calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, call.Budget)
	defer cancel()
	var err error
	if call.Once() {
		err = n.runOnce(ctx, call, sink)
	} else {
		err = n.place(ctx, call, sink)
	}
	if err == nil {
		n.Stats.Answers.Add(1)
		return nil
	}
	refusal := gypsum.AsRefusal(err)
	n.Stats.Refusals.add(refusal)
	return refusal
}

// runOnce hands a non-idempotent call to the daemon that holds its key's shard.
func (n *Node) runOnce(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	deadline := time.Now().Add(call.Budget)
	shard := n.shardOf(call)
	handed := false
	for attempt := 1; ; attempt++ {
		view := n.View()
		if view.Config == nil {
			return noConfiguration()
		}
		owner, ok := view.keyHolder(shard, n.Home)
		if !ok {
			return gypsum.NotRun(gypsum.ReasonPeerFailed, http.StatusServiceUnavailable, time.Second, "no host holds keys now")
		}
		onward := *call
		onward.Stage, onward.Budget, onward.Hops = gypsum.StageOnce, gypsum.Remaining(deadline), call.Hops+1
		n.Logger.Info("key routed", "request", call.ID, "service", call.Service, "shard", shard, "to_host", owner.ID, "attempt", attempt)
		err := n.submit(ctx, view, owner, &onward, sink)
		if err == nil {
			return nil
		}
		refusal := gypsum.AsRefusal(err)
		handed = handed || refusal.Outcome != gypsum.OutcomeNotRun
		// The key's shard keeps a repeat from running twice, so that another
		// holder may be tried even when the first has gone silent.
		again := refusal.Misrouted || (refusal.Reason == gypsum.ReasonPeerFailed && attempt < n.Tuning.MaxAttempts)
		if !again || !n.pause(ctx, deadline, misroutedWait) {
			return finalRefusal(refusal, handed)
		}
	}
}

// finalRefusal returns the last refusal of a call as it is told to the caller.
// Its outcome counts all attempts.
func finalRefusal(last *gypsum.Refusal, handed bool) *gypsum.Refusal {
	final := *last
	final.Misrouted = false
	if handed {
		final.Outcome = gypsum.OutcomeUnknown
	}
	return &final
}

// noConfiguration refuses a call of a daemon that has learned no configuration.
func noConfiguration() *gypsum.Refusal {
	return gypsum.NotRun(gypsum.ReasonNoConfiguration, http.StatusServiceUnavailable, time.Second, "this host has no configuration yet")
}

// pause waits before a further attempt; false if there is no time for one.
func (n *Node) pause(ctx context.Context, deadline time.Time, wait time.Duration) bool {
	if gypsum.Remaining(deadline) <= wait {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// journey is a call on its way over one or more attempts.
type journey struct {
	node     *Node
	call     gypsum.Call
	deadline time.Time
	sink     gypsum.Sink
	joiner   gypsum.Joiner
	// Handed means that an earlier attempt may have reached a backend server.
	handed    bool
	attempts  int
	overloads int
	// Busy are the backend servers that sent the call back.
	busy []gypsum.BackendID
	spec gypsum.ServiceSpec
}

// place takes a call to a backend server and tries again where that is safe.
func (n *Node) place(ctx context.Context, call *gypsum.Call, sink gypsum.Sink) error {
	view := n.View()
	if view.Config == nil {
		return noConfiguration()
	}
	spec, ok := view.Service(call.Service)
	if !ok {
		return gypsum.NotRun(gypsum.ReasonUnknownService, http.StatusNotFound, 0, fmt.Sprintf("there is no service %q", call.Service))
	}
	n.crashes.merge(call.Crashes, time.Now())
	trip := &journey{node: n, call: *call, deadline: time.Now().Add(call.Budget), sink: sink, spec: spec}
	n.retries.Earn()
	for {
		refusal := trip.attempt(ctx)
		if refusal == nil {
			return nil
		}
		trip.handed = trip.handed || refusal.Outcome != gypsum.OutcomeNotRun
		wait, again := trip.again(ctx, refusal)
		if !again || !n.pause(ctx, trip.deadline, wait) {
			final := finalRefusal(refusal, trip.handed)
			final.Crashes = n.crashes.of(call.Fingerprint)
			return final
		}
	}
}

// attempt makes one attempt at the call.
func (t *journey) attempt(ctx context.Context) *gypsum.Refusal {
	t.attempts++
	view := t.node.View()
	t.call.Crashes = t.node.crashes.of(t.call.Fingerprint)
	if count := total(t.call.Crashes); count >= t.spec.CrashLimit {
		return t.poison(count)
	}
	t.call.Budget = gypsum.Remaining(t.deadline)
	if t.call.Budget == 0 {
		return gypsum.NotRun(gypsum.ReasonTimeout, http.StatusGatewayTimeout, time.Second, "the deadline passed")
	}
	target, onward, refusal := t.node.choose(view, &t.call)
	if refusal != nil {
		return refusal
	}
	err := t.node.submit(ctx, view, target, onward, t.take)
	return t.judge(onward, err)
}

// poison refuses a request that has crashed too many backend servers.
func (t *journey) poison(count int) *gypsum.Refusal {
	refusal := gypsum.NotRun(gypsum.ReasonPoison, http.StatusUnprocessableEntity, 0,
		fmt.Sprintf("%d backend servers died while running this request", count))
	refusal.Final = true
	t.node.Logger.Warn("request refused for good", "request", t.call.ID, "service", t.call.Service, "crashes", count)
	return refusal
}

// take passes on an event and keeps track of the tokens.
func (t *journey) take(event *gypsum.Event) error {
	if event.Chunk != nil {
		fresh, err := t.joiner.Add(event.Chunk)
		if err != nil {
			return fmt.Errorf("join answer: %w", err)
		}
		if !fresh {
			return nil
		}
	}
	if event.Restart {
		t.joiner = gypsum.Joiner{}
	}
	if event.End != nil && t.call.Generation != nil && !t.joiner.Whole() {
		return fmt.Errorf("end of answer: %w", gypsum.ErrBroken)
	}
	return t.sink(event)
}

// judge learns from an attempt's result and returns its refusal, nil if the
// answer is whole.
func (t *journey) judge(onward *gypsum.Call, err error) *gypsum.Refusal {
	if err == nil {
		if onward.Target != "" {
			t.node.tracked.get(onward.Target).Succeeded()
		}
		return nil
	}
	refusal := gypsum.AsRefusal(err)
	t.node.crashes.merge(refusal.Crashes, time.Now())
	if refusal.Reason == gypsum.ReasonBackendFailed && refusal.Backend != "" {
		t.node.tracked.get(refusal.Backend).Failed(time.Now())
	}
	if refusal.Backend != "" && refusal.Reason != gypsum.ReasonPreempted {
		t.call.Excluded = append(t.call.Excluded, refusal.Backend)
	}
	return refusal
}

// again decides whether a further attempt is safe and of use, and after which wait.
func (t *journey) again(ctx context.Context, refusal *gypsum.Refusal) (time.Duration, bool) {
	if ctx.Err() != nil || refusal.Final || t.attempts-t.call.Bounces >= t.node.Tuning.MaxAttempts {
		return 0, false
	}
	if t.call.Once() && t.handed {
		return 0, false
	}
	switch {
	case refusal.Reason == gypsum.ReasonBusy:
		t.busy = append(t.busy, refusal.Backend)
		t.call.Bounces++
		return 0, true
	case refusal.Reason == gypsum.ReasonNoBackend && len(t.busy) > 0:
		// All candidates are busy: the call waits at one of them.
		t.call.Bounces = gypsum.MaxBounces
		t.call.Excluded = slices.DeleteFunc(t.call.Excluded, func(id gypsum.BackendID) bool { return slices.Contains(t.busy, id) })
		t.busy = nil
		return 0, true
	case refusal.Reason == gypsum.ReasonNoBackend:
		return 0, t.avoid(refusal)
	case refusal.Misrouted:
		return misroutedWait, true
	}
	switch refusal.Reason {
	case gypsum.ReasonOverloaded:
		t.overloads++
		return 0, t.overloads < maxOverloads && !t.node.View().saturated(&t.call)
	case gypsum.ReasonPreempted:
		// The call goes on behind its last token; nothing has failed.
		t.attempts--
		return 0, t.recover()
	case gypsum.ReasonBackendFailed, gypsum.ReasonPeerFailed:
		return 0, t.node.retries.Take() && t.recover()
	}
	return 0, false
}

// avoid prepares a call for another backend server, or another data centre if
// the one tried has none left; false if there is nowhere else to go.
func (t *journey) avoid(refusal *gypsum.Refusal) bool {
	if refusal.Backend != "" {
		return true
	}
	if refusal.Centre == "" || slices.Contains(t.call.Avoided, refusal.Centre) {
		return false
	}
	t.call.Avoided = append(t.call.Avoided, refusal.Centre)
	return true
}

// recover prepares the call for an attempt after its answer broke off.
func (t *journey) recover() bool {
	t.node.Stats.Retries.Add(1)
	if t.joiner.Tokens() == 0 || t.call.Generation == nil {
		return true
	}
	switch t.call.Recovery {
	case gypsum.RecoveryResume:
		t.node.Stats.Resumes.Add(1)
		generation := *t.call.Generation
		generation.ResumeText, generation.ResumeTokens = t.joiner.Text(), t.joiner.Tokens()
		t.call.Generation = &generation
		return true
	case gypsum.RecoveryRestart:
		t.joiner = gypsum.Joiner{}
		return t.sink(&gypsum.Event{Restart: true}) == nil
	}
	return false
}

// choose returns the daemon that takes the call over, and the call as sent to it.
func (n *Node) choose(view *View, call *gypsum.Call) (gypsum.Member, *gypsum.Call, *gypsum.Refusal) {
	onward := *call
	onward.Hops++
	mayCross := n.budgets[call.Class].Allows(time.Now())
	centre, rule := n.chooseCentre(view, call, mayCross)
	if centre == nil {
		refusal := gypsum.NotRun(gypsum.ReasonNoBackend, http.StatusServiceUnavailable, time.Second, "no backend server can take the call")
		n.Logger.Info("call not placed", "request", call.ID, "service", call.Service, "may_cross", mayCross)
		return gypsum.Member{}, nil, refusal
	}
	if !centre.Own && len(centre.Members) > 0 {
		return n.chooseFar(view, &onward, centre, rule)
	}
	return n.chooseNear(view, &onward, rule)
}

// chooseCentre returns the data centre for a call. A call that came from
// another one stays.
func (n *Node) chooseCentre(view *View, call *gypsum.Call, mayCross bool) (*route.Centre, string) {
	centres := view.Centres[call.Service]
	if call.Centre == view.Self.Location.DataCentre {
		for i := range centres {
			if centres[i].Own {
				return &centres[i], "placed_here"
			}
		}
		return nil, ""
	}
	if len(call.Avoided) > 0 {
		centres = slices.DeleteFunc(slices.Clone(centres), func(centre route.Centre) bool {
			return slices.Contains(call.Avoided, centre.Location.DataCentre)
		})
	}
	return route.ChooseCentre(centres, call.Class, view.Self.Location.Region, mayCross)
}

// chooseFar hands the call to a member of another data centre for placement there.
func (n *Node) chooseFar(view *View, onward *gypsum.Call, centre *route.Centre, rule string) (gypsum.Member, *gypsum.Call, *gypsum.Refusal) {
	if centre.Sent != nil {
		centre.Sent.Add(onward.Class)
	}
	brief := centre.Members[rand.IntN(len(centre.Members))]
	onward.Stage, onward.Centre = gypsum.StagePlace, centre.Location.DataCentre
	target := gypsum.Member{ID: brief.ID, Address: brief.Address, Location: centre.Location}
	n.Logger.Info("call sent to data centre", "request", onward.ID, "service", onward.Service, "data_centre", centre.Location.DataCentre,
		"to_host", brief.ID, "why", rule, "load", centre.Load(onward.Class), "weighed", len(view.Centres[onward.Service]))
	return target, onward, nil
}

// chooseNear places the call on a backend server of the own data centre.
func (n *Node) chooseNear(view *View, onward *gypsum.Call, rule string) (gypsum.Member, *gypsum.Call, *gypsum.Refusal) {
	pool := view.Pools[onward.Service]
	var placement gypsum.Placement
	ok := false
	if pool != nil && pool.Len() > 0 {
		placement, ok = n.Placer.Place(onward, pool)
	}
	if !ok {
		refusal := gypsum.NotRun(gypsum.ReasonNoBackend, http.StatusServiceUnavailable, time.Second, "no backend server here can take the call now")
		refusal.Centre = view.Self.Location.DataCentre
		return gypsum.Member{}, nil, refusal
	}
	if view.saturated(onward) {
		onward.Bounces = gypsum.MaxBounces
	}
	backend, _ := pool.Find(placement.Backend)
	pool.Placed(backend, onward.Class)
	onward.Stage, onward.Target = gypsum.StageQueue, placement.Backend
	n.Logger.Info("call placed", "request", onward.ID, "service", onward.Service, "backend", placement.Backend, "to_host", backend.Owner.ID,
		"why", placement.Why, "centre_why", rule, "weighed", placement.Weighed, "load", placement.Load, "excluded", len(onward.Excluded))
	return backend.Owner, onward, nil
}

// submit hands a call to a daemon and watches that its answer goes on.
func (n *Node) submit(ctx context.Context, view *View, target gypsum.Member, call *gypsum.Call, sink gypsum.Sink) error {
	if target.ID == view.Self.ID {
		return n.serve(ctx, call, sink)
	}
	if target.Location.Region != view.Self.Location.Region {
		n.countCrossing(call)
	}
	onward := *call
	// The receiver counts the budget from the arrival, and its answer has to
	// come back.
	onward.Budget -= n.trips.to(target.Location.DataCentre)
	if onward.Budget <= 0 {
		return gypsum.NotRun(gypsum.ReasonTimeout, http.StatusGatewayTimeout, time.Second, "too little time is left to go to another host")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatchdog(n.Tuning.AcceptTimeout, n.Tuning.HeartbeatTimeout, func() { cancel(errSilent) })
	defer watch.stop()
	ended := false
	err := n.Peers.Submit(ctx, target, &onward, func(event *gypsum.Event) error {
		watch.heard()
		switch {
		case event.Alive:
			return nil
		case event.Refusal != nil:
			return event.Refusal
		case event.End != nil:
			ended = true
		}
		return sink(event)
	})
	if err == nil && !ended {
		err = fmt.Errorf("answer without end: %w", gypsum.ErrBroken)
	}
	return n.peerError(ctx, target, err)
}

// errSilent is the cause of the end of a call whose daemon has gone silent.
var errSilent = errors.New("host has gone silent")

// peerError turns the failure of a call to a daemon into a refusal.
func (n *Node) peerError(ctx context.Context, target gypsum.Member, err error) error {
	var refusal *gypsum.Refusal
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, gypsum.ErrNotHanded):
		n.post(func(c *control) { c.failed(target.ID) })
		refusal = gypsum.NotRun(gypsum.ReasonPeerFailed, http.StatusServiceUnavailable, time.Second, fmt.Sprintf("host %s was not reached", target.ID))
		refusal.Misrouted = true
		return refusal
	case errors.Is(context.Cause(ctx), errSilent):
		n.post(func(c *control) { c.failed(target.ID) })
		return gypsum.Unknown(gypsum.ReasonPeerFailed, http.StatusBadGateway, time.Second, fmt.Sprintf("host %s has gone silent", target.ID))
	case ctx.Err() != nil:
		return gypsum.Unknown(gypsum.ReasonCancelled, http.StatusGatewayTimeout, 0, "the caller gave up or the deadline passed")
	}
	return gypsum.Unknown(gypsum.ReasonPeerFailed, http.StatusBadGateway, time.Second, fmt.Sprintf("host %s failed: %v", target.ID, err))
}

// countCrossing counts the bytes of a call that goes to another region.
func (n *Node) countCrossing(call *gypsum.Call) {
	n.Stats.Crossings.Add(1)
	size := 0
	if call.Plain != nil {
		size = len(call.Plain.Body)
	}
	if call.Generation != nil {
		size = len(call.Generation.Prompt) + len(call.Generation.ResumeText)
	}
	n.budgets[call.Class].Spend(gypsum.Bytes(size)+callOverhead, time.Now())
}

// callOverhead is about what a call takes on the link beside its body.
const callOverhead gypsum.Bytes = 512

// watchdog ends a call whose daemon gives no sign of life.
type watchdog struct {
	mu      sync.Mutex
	timer   *time.Timer
	silence time.Duration
}

// newWatchdog returns a watchdog that calls expired if the first sign does not
// come within first, or a further one within silence.
func newWatchdog(first, silence time.Duration, expired func()) *watchdog {
	return &watchdog{timer: time.AfterFunc(first, expired), silence: silence}
}

// heard notes a sign of life.
func (w *watchdog) heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(w.silence)
}

// stop ends the watch.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

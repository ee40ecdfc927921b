package emul

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/limit"
	"github.com/gypsumhook/gypsum/sched"
)

// Timing of the emulated holder, as in package runner.
const (
	// roundInterval is the time between two rounds without a change, and minRoundInterval the
	// least time between two rounds: changes within it are handled in one.
	roundInterval    = 50 * time.Millisecond
	minRoundInterval = 20 * time.Millisecond
	// silenceTimeout is the silence of an engine after which its attempts end.
	silenceTimeout = 1200 * time.Millisecond
	// engineCooldown is how long an engine gets no attempts after it was silent.
	engineCooldown = time.Second
)

// progressTolerance is the number of events by which a text may lack its last event due to
// rounding.
const progressTolerance = 1e-6

// epoch is the start of virtual time.
var epoch = time.Unix(0, 0)

// event is an action at a time.
type event struct {
	at     time.Duration
	serial int
	run    func()
}

// eventQueue is a heap of events by time, in order of creation at the same time.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].serial, q[j].serial)) < 0
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// itemPhase is the state of an emulated item.
type itemPhase int

// The phases of an item.
const (
	itemWaiting itemPhase = iota
	itemRunning
	itemScoring
	itemStored
)

// item is an item of a batch.
type item struct {
	batch  *batch
	id     gypsum.ItemID
	group  int
	length float64 // events of the whole text
	hint   int     // the estimate that the holder knows
	phase  itemPhase
	// generated is the number of events so far, and checkpointed how many of them survive the
	// holder.
	generated      float64
	checkpointed   float64
	checkpointedAt time.Duration
	engine         *engine
	// firstEventAt is when the current attempt sends its first event.
	firstEventAt time.Duration
	// startedAt is when the current attempt started. eventsSeen is the number of events that the
	// holder has seen, the last of them at lastEventAt, 0 before the first of the attempt.
	startedAt time.Duration
	// copy is a second attempt at the item, nil without one, and original the item of a copy.
	copy        *item
	original    *item
	eventsSeen  int
	lastEventAt time.Duration
	scoringSent bool
	avoided     gypsum.BackendID

	firstStart, completedAt, storedAt time.Duration
}

// batch is a batch of one step of a trainer.
type batch struct {
	trainer     *trainer
	id          gypsum.BatchID
	step        int
	submittedAt time.Duration
	items       []*item
	missing     []int // items of each group without a result
	wholeGroups int
	stored      []*item // in the order of their results
	// groupWholeAt is when the last result of each group was stored, 0 before.
	groupWholeAt []time.Duration
	sufficientAt time.Duration
	received     int
	readAt       time.Duration
	endedAt      time.Duration
	ended        bool
}

// trainer is a trainer in a closed loop.
type trainer struct {
	spec     *TrainerSpec
	model    gypsum.EngineModel
	index    int
	nextStep int
	latest   gypsum.WeightVersion // newest announced version
	batches  []*batch
}

// neededGroups returns how many whole groups the trainer waits for.
func (t *TrainerSpec) neededGroups() int {
	return int(math.Ceil(t.WaitShare*float64(t.Groups) - progressTolerance))
}

// engine is an emulated engine.
type engine struct {
	view     *sched.Engine
	idleTime time.Duration // true time per event when idle
	factor   float64       // by which a fault multiplies idleTime
	// periodFactor is the same for a slow period, 1 outside of one.
	periodFactor float64
	silent       bool
	running      []*item
	updatedAt    time.Duration
	timer        sched.EventTimer
	pace         sched.PaceTracker
	plan         int  // serial of the planned completion
	changed      bool // whether attempts have started or ended since the completion was planned
	unusable     time.Duration
	// rateLimit is the number of requests per second that the engine accepts, 0 for no limit,
	// and starts the times of the attempts since it was set.
	rateLimit gypsum.RequestRate
	starts    []time.Duration
}

// sim is one run of a scenario.
type sim struct {
	scenario *Scenario
	policy   *Policy
	seed     uint64
	now      time.Duration
	queue    eventQueue
	serial   int
	engines  []*engine
	byID     map[gypsum.BackendID]*engine
	trainers []*trainer
	open     []*batch
	assigned map[gypsum.BackendID]gypsum.EngineModel
	rewards  []*sched.RewardReplica
	budgets  *limit.Budgets
	periods  sched.SlowPeriods
	storeUp  bool
	hostsUp  bool
	delayed  []func() // appends that wait for the store
	// holderLostUntil is when the next holder makes its first decision.
	holderLostUntil time.Duration
	roundPlanned    bool
	lastRound       time.Duration
	result          Result
}

// Run runs a scenario with a seed under a policy. Equal arguments give equal results, and the
// texts' lengths and engines' speeds do not depend on the policy.
func Run(scenario *Scenario, policy *Policy, seed uint64) *Result {
	s := &sim{
		scenario: scenario, policy: policy, seed: seed, byID: make(map[gypsum.BackendID]*engine), assigned: make(map[gypsum.BackendID]gypsum.EngineModel),
		budgets: limit.NewBudgets(), storeUp: true, hostsUp: true, result: Result{Scenario: scenario.Name, Policy: policy.Name, Seed: seed},
	}
	s.addEngines()
	for i := range scenario.Scoring.Replicas {
		s.rewards = append(s.rewards, &sched.RewardReplica{ID: gypsum.BackendID(fmt.Sprintf("score-%d", i)), Slots: scenario.Scoring.Slots, ResponseTime: scenario.Scoring.Time})
	}
	for i := range scenario.Trainers {
		t := &trainer{spec: &scenario.Trainers[i], model: gypsum.EngineModel(fmt.Sprintf("model-%d", i)), index: i, latest: 1}
		s.trainers = append(s.trainers, t)
		s.submitDue(t)
	}
	for i := range scenario.Faults {
		s.planFault(&scenario.Faults[i], rand.New(rand.NewPCG(s.seed, uint64(1000+i))))
	}
	s.tick()
	for s.queue.Len() > 0 && s.queue[0].at < scenario.Duration {
		next, _ := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	s.summarize()
	return &s.result
}

// after plans an action.
func (s *sim) after(delay time.Duration, run func()) {
	s.serial++
	heap.Push(&s.queue, event{at: s.now + max(0, delay), serial: s.serial, run: run})
}

// addEngines creates the engines with their speeds.
func (s *sim) addEngines() {
	rng := rand.New(rand.NewPCG(s.seed, 1))
	spec := &s.scenario.Engines
	for i := range spec.Count {
		deviation := spec.SpeedSpread * (2*rng.Float64() - 1)
		e := &engine{
			idleTime: time.Duration(float64(spec.EventTime) * (1 + deviation)), factor: 1, periodFactor: 1,
			view: &sched.Engine{ID: gypsum.BackendID(fmt.Sprintf("engine-%03d", i)), Slots: spec.Slots, Versions: make(map[gypsum.EngineModel]gypsum.WeightVersion), IdleEventTime: spec.EventTime},
		}
		for j := range s.scenario.Trainers {
			e.view.Versions[gypsum.EngineModel(fmt.Sprintf("model-%d", j))] = 1
		}
		s.engines = append(s.engines, e)
		s.byID[e.view.ID] = e
	}
}

// submitDue submits the trainer's next step at its time, if the version that the trainer waits
// for has been announced: step k needs version k, and two steps may be in progress.
func (s *sim) submitDue(t *trainer) {
	step := t.nextStep
	if step > 1 && t.latest < gypsum.WeightVersion(step) {
		return
	}
	t.nextStep++
	due := time.Duration(step) * t.spec.Interval
	s.after(due-s.now, func() {
		s.submit(t, step)
		s.submitDue(t)
	})
}

// submit submits a step.
func (s *sim) submit(t *trainer, step int) {
	b := &batch{trainer: t, id: gypsum.BatchID(fmt.Sprintf("batch-%d-%d", t.index, step)), step: step, submittedAt: s.now}
	rng := rand.New(rand.NewPCG(s.seed, uint64(10+t.index)<<32|uint64(step)))
	for group := range t.spec.Groups {
		b.missing = append(b.missing, t.spec.GroupSize)
		for index := range t.spec.GroupSize {
			length, hint := drawLength(t.spec, rng)
			b.items = append(b.items, &item{batch: b, id: gypsum.ItemID(fmt.Sprintf("%s-%d-%d", b.id, group, index)), group: group, length: length, hint: hint})
		}
	}
	b.groupWholeAt = make([]time.Duration, t.spec.Groups)
	t.batches = append(t.batches, b)
	// A submission takes two appends.
	s.appendRecord(func() {
		s.appendRecord(func() { s.open = append(s.open, b); s.planRound(); s.read(b, s.now+t.spec.ReadInterval) })
	})
}

// drawLength returns the length of a text in events and its estimate.
func drawLength(spec *TrainerSpec, rng *rand.Rand) (length float64, hint int) {
	body := spec.MedianEvents * math.Exp(spec.Sigma*rng.NormFloat64())
	estimate := body * math.Exp(spec.HintSigma*rng.NormFloat64())
	limit := spec.MedianEvents * spec.TailFactor
	if rng.Float64() < spec.TailShare {
		return limit, max(1, int(estimate))
	}
	return math.Max(1, math.Min(math.Round(body), limit)), max(1, int(estimate))
}

// appendRecord runs an action once the store has appended a record.
func (s *sim) appendRecord(run func()) {
	if !s.storeUp || !s.hostsUp {
		s.delayed = append(s.delayed, func() { s.appendRecord(run) })
		return
	}
	s.after(s.scenario.Store.AppendTime, run)
}

// planFault plans the start and the end of a fault.
func (s *sim) planFault(fault *Fault, rng *rand.Rand) {
	var chosen []*engine
	for _, index := range rng.Perm(len(s.engines))[:int(math.Round(fault.Share*float64(len(s.engines))))] {
		chosen = append(chosen, s.engines[index])
	}
	apply := func(active bool) {
		switch fault.Kind {
		case FaultEngineSlow, FaultEngineSilent:
			for _, e := range chosen {
				s.advance(e)
				e.factor, e.silent = 1, active && fault.Kind == FaultEngineSilent
				if active && fault.Kind == FaultEngineSlow {
					e.factor = fault.Factor
				}
				if e.silent {
					s.after(silenceTimeout, func() { s.endSilentAttempts(e) })
				}
				s.planCompletion(e)
			}
		case FaultEngineLimited:
			for _, e := range chosen {
				e.rateLimit, e.starts = 0, nil
				if active {
					e.rateLimit = gypsum.RequestRate(fault.Factor)
				}
			}
		case FaultStoreDown:
			s.storeUp = !active
			s.runDelayed()
		case FaultHolderLost:
			if active {
				s.loseHolder(s.scenario.Holder.TakeoverTime)
			}
		case FaultHostsLost:
			s.hostsUp = !active
			if active {
				s.loseHolder(fault.Duration + s.scenario.Holder.TakeoverTime)
			}
			s.runDelayed()
		case FaultSlowPeriods:
			if active {
				s.planSlowPeriods(fault)
			}
		}
	}
	s.after(fault.At, func() { apply(true) })
	s.after(fault.At+fault.Duration, func() { apply(false) })
}

// runDelayed runs the appends that waited for the store and a host.
func (s *sim) runDelayed() {
	if !s.storeUp || !s.hostsUp {
		return
	}
	delayed := s.delayed
	s.delayed = nil
	for _, run := range delayed {
		run()
	}
}

// planSlowPeriods makes the engines slow for short periods until the end of a fault. Periods last
// between half and one and a half times their mean; the times between them are exponential. They
// depend on the seed only.
func (s *sim) planSlowPeriods(fault *Fault) {
	end := s.now + fault.Duration
	for i, e := range s.engines {
		rng := rand.New(rand.NewPCG(s.seed, uint64(100_000+i)))
		slow := rng.Float64() < fault.Share
		var next func()
		next = func() {
			s.advance(e)
			e.periodFactor = 1
			if slow && s.now < end {
				e.periodFactor = fault.Factor
			}
			s.planCompletion(e)
			if s.now >= end {
				return
			}
			length := float64(fault.Period) * (1 - fault.Share) / fault.Share * rng.ExpFloat64()
			if slow {
				length = float64(fault.Period) * (0.5 + rng.Float64())
			}
			slow = !slow
			s.after(min(time.Duration(length), end-s.now), next)
		}
		next()
	}
}

// loseHolder ends all attempts; the next holder resumes them from their checkpoints after a delay.
func (s *sim) loseHolder(delay time.Duration) {
	s.holderLostUntil = s.now + delay
	for _, e := range s.engines {
		s.advance(e)
		for _, it := range slices.Clone(e.running) {
			s.abortAttempt(it)
			it.copy = nil
			it.generated = it.checkpointed
		}
		s.planCompletion(e)
	}
	for _, replica := range s.rewards {
		replica.InFlight = 0
	}
	for _, b := range s.open {
		for _, it := range b.items {
			it.scoringSent = false
		}
	}
	s.after(delay, s.planRound)
}

// endSilentAttempts ends the attempts of an engine that is still silent.
func (s *sim) endSilentAttempts(e *engine) {
	if !e.silent {
		return
	}
	for _, it := range slices.Clone(e.running) {
		it.avoided = e.view.ID
		s.loseAttempt(it)
	}
	e.unusable = s.now + engineCooldown
	s.planRound()
	s.after(silenceTimeout, func() { s.endSilentAttempts(e) })
}

// abortAttempt ends the current attempt at an item before its text is complete.
func (s *sim) abortAttempt(it *item) {
	s.result.Aborted++
	s.stopAttempt(it)
}

// stopAttempt ends the current attempt at an item, which then waits for another.
func (s *sim) stopAttempt(it *item) {
	s.result.SlotTime += s.now - it.startedAt
	e := it.engine
	e.running = slices.DeleteFunc(e.running, func(other *item) bool { return other == it })
	e.view.Running, e.changed = len(e.running), true
	it.phase, it.engine = itemWaiting, nil
}

// advance updates the progress of an engine's attempts to the current time.
func (s *sim) advance(e *engine) {
	elapsed := s.now - e.updatedAt
	e.updatedAt = s.now
	if elapsed <= 0 || len(e.running) == 0 || e.silent {
		return
	}
	eventTime := e.currentEventTime(s.scenario.Engines.Slowdown)
	for _, it := range e.running {
		// An attempt generates nothing before its first event is due.
		active := min(elapsed, s.now-it.firstEventAt)
		if active > 0 {
			it.generated = math.Min(it.length, it.generated+float64(active)/float64(eventTime))
			s.observeEvents(e, it, eventTime)
		}
	}
}

// observeEvents adds the times between the events of an attempt that have arrived since the last
// call to the engine's timer, scaled to an idle engine as the holder does.
func (s *sim) observeEvents(e *engine, it *item, eventTime time.Duration) {
	for it.eventsSeen+1 <= int(it.generated) {
		it.eventsSeen++
		at := s.now - time.Duration((it.generated-float64(it.eventsSeen))*float64(eventTime))
		at += time.Duration(s.scenario.Engines.EventJitter * jitter(it, it.eventsSeen) * float64(eventTime))
		if it.lastEventAt > 0 {
			gap := max(0, at-it.lastEventAt)
			e.timer.Add(time.Duration(float64(gap) / (1 + sched.SlowdownPerAttempt*float64(len(e.running)))))
		}
		it.lastEventAt = at
	}
}

// jitter returns a number from 0 to 1 that depends on an event only.
func jitter(it *item, event int) float64 {
	hash := uint64(event)*0x9e3779b97f4a7c15 ^ math.Float64bits(it.length)*uint64(it.hint+it.group+1)
	return rand.New(rand.NewPCG(hash, uint64(it.batch.step))).Float64()
}

// currentEventTime returns the time per event of each attempt.
func (e *engine) currentEventTime(slowdown float64) time.Duration {
	return time.Duration(float64(e.idleTime) * e.factor * e.periodFactor * (1 + slowdown*float64(len(e.running))))
}

// planCompletion plans the end of the attempt that ends first. It must be called after each
// change of an engine's attempts or speed.
func (s *sim) planCompletion(e *engine) {
	e.changed = false
	e.plan++
	if len(e.running) == 0 || e.silent {
		return
	}
	plan, eventTime := e.plan, e.currentEventTime(s.scenario.Engines.Slowdown)
	next := time.Duration(math.MaxInt64)
	for _, it := range e.running {
		next = min(next, max(0, it.firstEventAt-s.now)+time.Duration(math.Ceil((it.length-it.generated)*float64(eventTime))))
	}
	s.after(next, func() {
		if e.plan != plan {
			return
		}
		s.advance(e)
		for _, it := range slices.Clone(e.running) {
			if it.generated >= it.length-progressTolerance {
				s.finishAttempt(it)
			}
		}
		s.planCompletion(e)
		s.planRound()
	})
}

// completeText continues with the score of a text, or stores its result.
func (s *sim) completeText(it *item) {
	it.completedAt = s.now
	if len(s.rewards) == 0 {
		s.storeResult(it)
		return
	}
	it.phase = itemScoring
}

// storeResult stores the result of an item.
func (s *sim) storeResult(it *item) {
	it.phase = itemStored
	s.appendRecord(func() {
		b := it.batch
		if it.storedAt != 0 {
			s.result.Violations = append(s.result.Violations, fmt.Sprintf("item %s has two results", it.id))
		}
		it.storedAt = s.now
		b.stored = append(b.stored, it)
		b.missing[it.group]--
		if b.missing[it.group] == 0 {
			b.groupWholeAt[it.group] = s.now
			if b.wholeGroups++; b.wholeGroups == b.trainer.spec.neededGroups() {
				b.sufficientAt = s.now
			}
		}
	})
}

// read starts a read of a batch's results at a time, as the trainer does at each interval.
func (s *sim) read(b *batch, at time.Duration) {
	s.after(at-s.now, func() {
		// The trainer looks at what it has before it reads again.
		if needed := b.neededResults(); needed > 0 && b.received >= needed {
			s.end(b)
			return
		}
		s.awaitResults(b, s.now)
	})
}

// neededResults returns the number of results at which enough groups are whole, 0 while they
// are not.
func (b *batch) neededResults() int {
	if b.sufficientAt == 0 {
		return 0
	}
	count := 0
	for _, it := range b.stored {
		if it.storedAt <= b.sufficientAt {
			count++
		}
	}
	return count
}

// awaitResults answers a read once the policy says so.
func (s *sim) awaitResults(b *batch, started time.Duration) {
	const checkInterval = 10 * time.Millisecond
	spec := b.trainer.spec
	visible := 0
	for _, it := range b.stored {
		if it.storedAt+spec.LinkTime <= s.now {
			visible++
		}
	}
	state := &ReadState{
		NewResults: visible - b.received, MissingResults: len(b.items) - visible, TotalResults: len(b.items), Sufficient: b.sufficientAt != 0 && b.sufficientAt+spec.LinkTime <= s.now, Final: visible == len(b.items),
		Waited: s.now - started, Wait: spec.ReadWait, UntilDue: b.submittedAt + spec.Due - s.now,
	}
	if !s.hostsUp || !s.policy.AnswerRead(state) {
		s.after(checkInterval, func() { s.awaitResults(b, started) })
		return
	}
	b.received, b.readAt = visible, s.now
	s.read(b, max(s.now, started+spec.ReadInterval))
}

// end ends a batch: its trainer trains and announces the next version.
func (s *sim) end(b *batch) {
	if b.ended {
		return
	}
	b.ended, b.endedAt = true, s.now
	s.open = slices.DeleteFunc(s.open, func(other *batch) bool { return other == b })
	for _, it := range b.items {
		if it.phase == itemRunning {
			s.dropCopy(it)
			e := it.engine
			s.advance(e)
			s.abortAttempt(it)
			s.planCompletion(e)
		}
	}
	t := b.trainer
	s.after(t.spec.TrainTime, func() {
		t.latest = max(t.latest, gypsum.WeightVersion(b.step+2))
		s.submitDue(t)
		s.planRound()
	})
}

// planRound plans a scheduling round minRoundInterval after the last one, unless one is
// planned.
func (s *sim) planRound() {
	if s.roundPlanned {
		return
	}
	s.roundPlanned = true
	s.after(s.lastRound+minRoundInterval-s.now, func() {
		s.roundPlanned, s.lastRound = false, s.now
		s.round()
	})
}

// tick plans a round in each interval while a batch is open.
func (s *sim) tick() {
	if len(s.open) > 0 {
		s.planRound()
	}
	s.after(roundInterval, s.tick)
}

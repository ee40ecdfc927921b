package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/sched"
)

// slowText is a text of a slowness replay.
type slowText struct {
	item   *sched.Item
	engine int
	// nextEvent is when its engine sends the next event, lastEvent when it sent the last one, zero
	// after a start.
	nextEvent, lastEvent time.Time
}

// replaySlowness replays 30 s of 24 engines with 72 texts of 10 to 100 events, each followed by
// another one, which move as move decides.
// Each engine is slow by a factor of 2.5 for 300 to 900 ms at a time, one in seven at any moment, and
// the first one stays slow from 15 s on. It returns the moves between 3 and 15 s and the time after
// 15 s after which a text of 200 events left the first engine.
func replaySlowness(move func([]sched.Attempt, []*sched.Engine, *sched.SlowPeriods) []sched.Placement) (moves int, leftAfter time.Duration, periods *sched.SlowPeriods) {
	const (
		engineCount = 24
		eventTime   = 48 * time.Millisecond
		startTime   = 250 * time.Millisecond
	)
	start := time.Unix(0, 0)
	lastingFrom, end := start.Add(15*time.Second), start.Add(30*time.Second)
	rng := rand.New(rand.NewPCG(5, 6))
	periods = &sched.SlowPeriods{}
	timers, trackers := make([]sched.EventTimer, engineCount), make([]sched.PaceTracker, engineCount)
	slow, toggleAt := make([]bool, engineCount), make([]time.Time, engineCount)
	views := make([]*sched.Engine, engineCount)
	var texts []*slowText
	for i := range engineCount {
		views[i] = &sched.Engine{ID: gypsum.BackendID(fmt.Sprint(i)), Slots: 8, IdleEventTime: eventTime, Versions: map[gypsum.EngineModel]gypsum.WeightVersion{"a": 1}}
		toggleAt[i] = start.Add(time.Duration(rng.Float64() * float64(4*time.Second)))
	}
	place := func(text *slowText, now time.Time) {
		text.item.RemainingEvents = 10 + rng.IntN(91)
		for _, placement := range sched.ScheduleItems([]sched.Item{*text.item}, views, now) {
			_, _ = fmt.Sscan(string(placement.Engine), &text.engine)
		}
		text.lastEvent, text.nextEvent = time.Time{}, now.Add(startTime)
	}
	for i := range 72 {
		texts = append(texts, &slowText{item: &sched.Item{Batch: "b", ID: gypsum.ItemID(fmt.Sprint(i)), Model: "a"}})
		place(texts[i], start)
	}
	for now := start; now.Before(end); now = now.Add(5 * time.Millisecond) {
		for i := range views {
			if !now.Before(toggleAt[i]) {
				slow[i] = !slow[i]
				length := 3600 * rng.ExpFloat64()
				if slow[i] {
					length = 300 + 600*rng.Float64()
				}
				toggleAt[i] = now.Add(time.Duration(length) * time.Millisecond)
			}
		}
		if now.Equal(lastingFrom) {
			views[texts[0].engine].Running--
			texts[0].engine, texts[0].item.RemainingEvents, texts[0].nextEvent = 0, 200, now
			views[0].Running++
		}
		if !now.Before(lastingFrom) {
			slow[0] = true
		}
		for _, text := range texts {
			if now.Before(text.nextEvent) {
				continue
			}
			slowdown := 1 + sched.SlowdownPerAttempt*float64(views[text.engine].Running)
			if !text.lastEvent.IsZero() {
				timers[text.engine].Add(time.Duration(float64(now.Sub(text.lastEvent)) / slowdown))
			}
			text.lastEvent = now
			if text.item.RemainingEvents--; text.item.RemainingEvents == 0 {
				views[text.engine].Running--
				place(text, now)
				continue
			}
			gap := slowdown * float64(eventTime) * (0.8 + 0.4*rng.Float64())
			if slow[text.engine] {
				gap *= 2.5
			}
			text.nextEvent = now.Add(time.Duration(gap))
		}
		if now.Sub(start)%(20*time.Millisecond) != 0 {
			continue
		}
		for i, view := range views {
			timers[i].Update(now)
			if ended := trackers[i].Update(now, &timers[i]); ended > 0 {
				periods.Add(ended)
			}
			trackers[i].Describe(view, now)
			if measured := timers[i].EventTime(); measured > 0 {
				view.IdleEventTime = measured
			}
		}
		var attempts []sched.Attempt
		byID := make(map[gypsum.ItemID]*slowText)
		for _, text := range texts {
			attempts = append(attempts, sched.Attempt{Item: text.item, Engine: views[text.engine].ID, RemainingEvents: text.item.RemainingEvents})
			byID[text.item.ID] = text
		}
		for _, placement := range move(attempts, views, periods) {
			text := byID[placement.Item.ID]
			_, _ = fmt.Sscan(string(placement.Engine), &text.engine)
			text.lastEvent, text.nextEvent = time.Time{}, now.Add(startTime)
			if now.After(start.Add(3*time.Second)) && now.Before(lastingFrom) {
				moves++
			}
		}
		if leftAfter == 0 && now.After(lastingFrom) && texts[0].engine != 0 {
			leftAfter = now.Sub(lastingFrom)
		}
	}
	return moves, leftAfter, periods
}

// Where engines are slow for 0.6 s at a time, texts stay on them once that is known, since a move
// costs as much. They leave an engine that stays slow soon after its slow period has become longer
// than the others were. If each slow period counts as lasting, hundreds of texts move.
func TestShortSlowPeriods(t *testing.T) {
	is := is.New(t)
	const startTime = 250 * time.Millisecond
	before, leftBefore, _ := replaySlowness(func(attempts []sched.Attempt, engines []*sched.Engine, _ *sched.SlowPeriods) []sched.Placement {
		return sched.ScheduleMoves(attempts, engines, startTime, nil)
	})
	after, leftAfter, periods := replaySlowness(func(attempts []sched.Attempt, engines []*sched.Engine, periods *sched.SlowPeriods) []sched.Placement {
		return sched.ScheduleMoves(attempts, engines, startTime, periods)
	})
	mean, lasting := periods.Remaining(0)
	t.Logf("moves: %d if slowness lasts, %d by remaining time; left after %s and %s; slow periods last %s, probability of lasting %.3f", before, after, leftBefore, leftAfter, mean, lasting)
	is.True(before > 100)
	is.True(after < before/2)
	is.True(leftAfter > 0 && leftAfter < 2*time.Second)
	is.True(mean > 500*time.Millisecond && mean < 800*time.Millisecond)
}

// A service without observed periods assumes that slowness lasts; with them, the more so the longer
// the period is compared with those observed. Old periods are forgotten.
func TestSlowPeriodsRemaining(t *testing.T) {
	is := is.New(t)
	var periods sched.SlowPeriods
	mean, lasting := periods.Remaining(0)
	is.Equal(mean, time.Duration(0))
	is.Equal(lasting, 1.0)
	for _, ms := range []int{400, 600, 800} {
		periods.Add(time.Duration(ms) * time.Millisecond)
	}
	for _, row := range []struct {
		age, mean time.Duration
		lasting   float64
	}{
		{0, 600 * time.Millisecond, 0.25},
		{500 * time.Millisecond, 200 * time.Millisecond, 1.0 / 3},
		{700 * time.Millisecond, 100 * time.Millisecond, 0.5},
		{800 * time.Millisecond, 0, 1},
	} {
		mean, lasting = periods.Remaining(row.age)
		is.Equal(mean, row.mean)
		is.Equal(lasting, row.lasting)
	}
	for range 200 {
		periods.Add(5 * time.Second)
	}
	mean, _ = periods.Remaining(0)
	is.Equal(mean, 5*time.Second)
	mean, lasting = (*sched.SlowPeriods)(nil).Remaining(time.Second)
	is.Equal(mean, time.Duration(0))
	is.Equal(lasting, 1.0)
}

// An engine without events for a while, or with a new incarnation, is in no slow period: its end
// cannot be told, and it must not count as one that lasted.
func TestPaceTrackerGaps(t *testing.T) {
	is := is.New(t)
	var timer sched.EventTimer
	var tracker sched.PaceTracker
	now := time.Unix(0, 0)
	add := func(count int, gap time.Duration) (ended time.Duration) {
		for range count {
			now = now.Add(gap)
			timer.Add(gap)
			timer.Update(now)
			ended = max(ended, tracker.Update(now, &timer))
		}
		return ended
	}
	add(100, 48*time.Millisecond)
	is.Equal(tracker.SlowFor(now), time.Duration(0))
	add(5, 120*time.Millisecond)
	is.True(tracker.SlowFor(now) > 300*time.Millisecond)
	ended := add(20, 48*time.Millisecond)
	is.True(ended > 400*time.Millisecond && ended < 800*time.Millisecond)
	add(5, 120*time.Millisecond)
	now = now.Add(3 * time.Second)
	is.Equal(tracker.Update(now, &timer), time.Duration(0))
	is.Equal(tracker.SlowFor(now), time.Duration(0))
	is.Equal(add(20, 48*time.Millisecond), time.Duration(0))
	add(5, 120*time.Millisecond)
	timer.Reset()
	is.Equal(tracker.Update(now, &timer), time.Duration(0))
	is.Equal(tracker.SlowFor(now), time.Duration(0))
}

// An engine that stays slow is usually slow after a while, so that it compares with others by that.
func TestPaceTrackerLastingSlowness(t *testing.T) {
	is := is.New(t)
	var timer sched.EventTimer
	var tracker sched.PaceTracker
	now := time.Unix(0, 0)
	for i := range 300 {
		gap := 48 * time.Millisecond
		if i >= 50 {
			gap = 120 * time.Millisecond
		}
		now = now.Add(gap)
		timer.Add(gap)
		timer.Update(now)
		tracker.Update(now, &timer)
	}
	engine := &sched.Engine{}
	tracker.Describe(engine, now)
	is.Equal(engine.SlowFor, time.Duration(0))
	is.True(engine.UsualEventTime > 100*time.Millisecond)
}

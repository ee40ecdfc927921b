package sched_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum/sched"
)

// Attempts add times while a round updates the estimate: times are averaged whole, none is
// counted without its duration or the other way round.
func TestEventTimesAreCountedWhole(t *testing.T) {
	is := is.New(t)
	const gap = 28 * time.Millisecond
	timer := &sched.EventTimer{}
	var adders sync.WaitGroup
	for range 4 {
		adders.Go(func() {
			for range 50_000 {
				timer.Add(gap)
			}
		})
	}
	added := make(chan struct{})
	go func() {
		adders.Wait()
		close(added)
	}()
	now := time.Unix(0, 0)
	for done := false; !done; now = now.Add(time.Millisecond) {
		select {
		case <-added:
			done = true
		default:
		}
		timer.Update(now)
		if eventTime := timer.EventTime(); eventTime != 0 {
			is.Equal(eventTime, gap)
		}
	}
}

// Events that arrive unevenly hardly change the estimate, however often it is updated. An
// engine that becomes slower is noticed within half a second.
func TestEventTimer(t *testing.T) {
	is := is.New(t)
	timer, now := &sched.EventTimer{}, time.Unix(0, 0)
	gaps := []time.Duration{60 * time.Millisecond, 6 * time.Millisecond, 45 * time.Millisecond, 21 * time.Millisecond} // 33 ms on average
	for i := range 200 {
		gap := gaps[i%len(gaps)]
		now = now.Add(gap)
		timer.Add(gap)
		timer.Update(now)
		if i > 20 {
			is.True(timer.EventTime() > 27*time.Millisecond && timer.EventTime() < 40*time.Millisecond)
		}
	}
	slowSince := now
	for now.Sub(slowSince) < 500*time.Millisecond {
		now = now.Add(115 * time.Millisecond)
		timer.Add(115 * time.Millisecond)
		timer.Update(now)
	}
	is.True(timer.EventTime() > 53*time.Millisecond) // 1.6 times: attempts move away
	timer.Reset()
	is.Equal(timer.EventTime(), time.Duration(0))
}

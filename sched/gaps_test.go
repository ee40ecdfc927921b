package sched_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum/sched"
)

// Attempts add times while a round takes their mean: each mean is that of whole times, none
// is counted without its duration or the other way round.
func TestGapsAreTakenWhole(t *testing.T) {
	is := is.New(t)
	const gap = 28 * time.Millisecond
	gaps := &sched.Gaps{}
	var adders sync.WaitGroup
	for range 4 {
		adders.Go(func() {
			for range 50_000 {
				gaps.Add(gap)
			}
		})
	}
	added := make(chan struct{})
	go func() {
		adders.Wait()
		close(added)
	}()
	for done := false; !done; {
		select {
		case <-added:
			done = true
		default:
		}
		if mean, ok := gaps.TakeMean(); ok {
			is.Equal(mean, gap)
		}
	}
	_, ok := gaps.TakeMean()
	is.True(!ok)
}

package sched_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/sched"
)

// TestRestartsText checks when a text that only one software version can continue is generated
// again, while the engines of a service are replaced by ones of a newer version.
func TestRestartsText(t *testing.T) {
	is := is.New(t)
	engine := func(software gypsum.SoftwareVersion, change func(*sched.Engine)) *sched.Engine {
		e := &sched.Engine{Slots: 2, Software: software, IdleEventTime: 20 * time.Millisecond, Versions: map[gypsum.EngineModel]gypsum.WeightVersion{"crew": 3}}
		if change != nil {
			change(e)
		}
		return e
	}
	item := sched.Item{Model: "crew", MinVersion: 3, GeneratedEvents: 50, Software: "old"}
	regeneration := 50 * 20 * time.Millisecond
	full := func(e *sched.Engine) { e.Running = 2 }
	leaving := func(e *sched.Engine) { e.Leaving, e.Unusable = true, true }
	for name, row := range map[string]struct {
		waited  time.Duration
		engines []*sched.Engine
		want    bool
	}{
		"version remains":           {0, []*sched.Engine{engine("old", full), engine("new", nil)}, false},
		"waited as long":            {regeneration, []*sched.Engine{engine("old", full), engine("new", nil)}, true},
		"version is leaving":        {0, []*sched.Engine{engine("old", leaving), engine("new", nil)}, true},
		"version is gone":           {0, []*sched.Engine{engine("new", nil)}, true},
		"no other engine is free":   {2 * regeneration, []*sched.Engine{engine("new", full)}, false},
		"no other has the weights":  {2 * regeneration, []*sched.Engine{engine("new", func(e *sched.Engine) { e.Versions["crew"] = 2 })}, false},
		"other accepts no requests": {2 * regeneration, []*sched.Engine{engine("new", func(e *sched.Engine) { e.RateLimited = true })}, false},
		"no engine":                 {2 * regeneration, nil, false},
	} {
		if got := sched.RestartsText(&item, row.waited, row.engines); got != row.want {
			t.Errorf("%s: restarts %t", name, got)
		}
	}
	notBegun := item
	notBegun.GeneratedEvents = 0
	is.True(!sched.RestartsText(&notBegun, time.Hour, []*sched.Engine{engine("new", nil)}))
}

// TestBegunTextsKeepSoftwareVersion checks that an item starts and moves only to engines of the
// software version that began its text, also to slower ones, and anywhere before its first event.
func TestBegunTextsKeepSoftwareVersion(t *testing.T) {
	is := is.New(t)
	engine := func(id gypsum.BackendID, software gypsum.SoftwareVersion, eventTime time.Duration) *sched.Engine {
		return &sched.Engine{
			ID: id, Slots: 8, Software: software, IdleEventTime: eventTime, Versions: map[gypsum.EngineModel]gypsum.WeightVersion{"crew": 1},
		}
	}
	engines := []*sched.Engine{engine("new", "2", 10*time.Millisecond), engine("old", "1", 40*time.Millisecond), engine("slow", "1", 200*time.Millisecond)}
	items := []sched.Item{
		{ID: "begun", Model: "crew", GeneratedEvents: 5, Software: "1", RemainingEvents: 90},
		{ID: "fresh", Model: "crew", RemainingEvents: 90},
	}
	placed := make(map[gypsum.ItemID]gypsum.BackendID)
	for _, placement := range sched.ScheduleItems(items, engines, time.Now()) {
		placed[placement.Item.ID] = placement.Engine
	}
	is.Equal(placed, map[gypsum.ItemID]gypsum.BackendID{"begun": "old", "fresh": "new"})
	attempts := []sched.Attempt{
		{Item: &items[0], Engine: "slow", RemainingEvents: 90}, {Item: &items[1], Engine: "slow", RemainingEvents: 90},
	}
	moved := make(map[gypsum.ItemID]gypsum.BackendID)
	for _, move := range sched.ScheduleMoves(attempts, engines, 250*time.Millisecond, nil) {
		moved[move.Item.ID] = move.Engine
	}
	is.Equal(moved, map[gypsum.ItemID]gypsum.BackendID{"begun": "old", "fresh": "new"})
	is.Equal(len(sched.ScheduleItems(items[:1], engines[:1], time.Now())), 0)
}

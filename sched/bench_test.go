package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/sched"
)

// BenchmarkScheduleItems measures one decision about all items of a step on all engines.
func BenchmarkScheduleItems(b *testing.B) {
	for _, size := range []struct{ engines, items int }{{9, 156}, {45, 600}, {300, 4000}, {3000, 40000}} {
		b.Run(fmt.Sprintf("%d_engines_%d_items", size.engines, size.items), func(b *testing.B) {
			items := make([]sched.Item, size.items)
			for i := range items {
				items[i] = sched.Item{ID: gypsum.ItemID(fmt.Sprint(i)), Model: "a", DueAt: time.Unix(8, 0), RemainingEvents: 5 + i%40}
			}
			for b.Loop() {
				b.StopTimer()
				engines := make([]*sched.Engine, size.engines)
				for i := range engines {
					engines[i] = &sched.Engine{ID: gypsum.BackendID(fmt.Sprint(i)), Slots: 6, IdleEventTime: idleEventTime, Versions: map[gypsum.EngineModel]gypsum.WeightVersion{"a": 1}}
				}
				b.StartTimer()
				sched.ScheduleItems(items, engines, time.Unix(0, 0))
			}
		})
	}
}

package origin_test

import (
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/origin"
)

// TestNextRecord checks what is recorded of the software versions of a service.
func TestNextRecord(t *testing.T) {
	one, two := []gypsum.SoftwareVersion{"1"}, []gypsum.SoftwareVersion{"1", "2"}
	settled := &gypsum.SoftwareRecord{Versions: one, Settled: true}
	unsettled := &gypsum.SoftwareRecord{Versions: one}
	for name, row := range map[string]struct {
		current, recent []gypsum.SoftwareVersion
		observed        bool
		record          *gypsum.SoftwareRecord
		want            origin.Record
	}{
		"no replica":                 {nil, one, true, settled, origin.RecordNothing},
		"no record":                  {one, one, true, nil, origin.RecordVersions},
		"a second version":           {two, two, true, settled, origin.RecordVersions},
		"the second version left":    {one, two, true, &gypsum.SoftwareRecord{Versions: two}, origin.RecordVersions},
		"it has just left":           {one, two, true, unsettled, origin.RecordNothing},
		"it has left long ago":       {one, one, true, unsettled, origin.RecordSettled},
		"observed for too short":     {one, one, false, unsettled, origin.RecordNothing},
		"settled":                    {one, one, true, settled, origin.RecordNothing},
		"settled, just started":      {one, one, false, settled, origin.RecordNothing},
		"two versions do not settle": {two, two, true, &gypsum.SoftwareRecord{Versions: two}, origin.RecordNothing},
	} {
		if got := origin.NextRecord(row.current, row.recent, row.observed, row.record); got != row.want {
			t.Errorf("%s: %d, want %d", name, got, row.want)
		}
	}
}

// TestRecorder checks that daemons record the software versions of a service with resumable streams
// once, and settle the record after the longest time of a stream. Records of other services are
// not written.
func TestRecorder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment(t, 4)
		for i, tracker := range d.trackers {
			route := gypsum.Route{Kind: gypsum.RouteStreaming, Resumable: true, Services: []gypsum.WeightedService{{Service: chatService, Weight: 1}}}
			plain := gypsum.Route{Kind: gypsum.RouteIdempotent, Services: []gypsum.WeightedService{{Service: "desk", Weight: 1}}}
			tracker.Registry.ApplyConfig(&gypsum.RoutingConfig{Revision: 1, Routes: []gypsum.Route{route, plain}})
			recorder := &origin.Recorder{
				Self: tracker.Self, Registry: tracker.Registry, Records: &d.records, CatchUp: tracker.CatchUp, ListPeers: tracker.ListPeers,
				Logger: slog.New(slog.DiscardHandler),
			}
			if i == 0 {
				continue // a daemon that has just stopped, and may be the first one to record
			}
			done := make(chan error)
			go func() { done <- recorder.Run(t.Context()) }()
			t.Cleanup(func() { <-done })
		}
		expect := func(offset gypsum.Offset, settled bool, versions ...gypsum.SoftwareVersion) {
			t.Helper()
			record, ok := d.records.RecordedSoftware(chatService)
			is.True(ok)
			is.True(slices.Equal(record.Versions, versions))
			is.Equal(record.Settled, settled)
			is.Equal(record.Offset, offset) // one daemon has recorded it
		}
		d.register("r-1", "1")
		time.Sleep(2 * time.Second)
		expect(1, false, "1")
		time.Sleep(time.Minute)
		expect(1, true, "1")
		d.register("r-2", "2")
		time.Sleep(2 * time.Second)
		expect(2, false, "1", "2")
		time.Sleep(time.Minute)
		d.remove("r-1")
		time.Sleep(2 * time.Second)
		expect(3, false, "2")
		time.Sleep(20 * time.Second)
		expect(3, false, "2")
		time.Sleep(20 * time.Second)
		expect(3, true, "2")
		_, ok := d.records.RecordedSoftware("desk")
		is.True(!ok)
	})
}
